/* test_decode.c -- numbers that are not finite in jobs, configurations and answers of endpoints
 *
 * JSON has no such numbers, but "NaN", "Infinity" and a number too large for its type are read as
 * ones.  What they become as an integer differs between machines.
 */
#include "base/error.h"
#include "platform/decode.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

static const char *const other_numbers[] = { "NaN",       "nan",   "Infinity",
                                             "-Infinity", "1e999", "-1e999" };
/* Numbers that each of the members below may have. */
static const char *const finite_numbers[] = { "1", "1.0", "1e0" };

#define NUMBER "@"

/* Returns TEXT with NUMBER in the place of "@". */
static char *
with_number (const char *text, const char *number)
{
  char **parts = g_strsplit (text, NUMBER, -1);
  char *joined = g_strjoinv (number, parts);

  g_strfreev (parts);
  return joined;
}

/* --- decoders: whether a document is accepted --- */

static bool
accepts_job (const char *text)
{
  decode_job_t job;
  const char *message = NULL;

  if (decode_job (text, strlen (text), &job, &message) == 0)
    {
      decode_job_clear (&job);
      return true;
    }
  CU_ASSERT_STRING_EQUAL (message, "the numbers of a phase must be finite");
  return false;
}

static bool
accepts_configuration (const char *text)
{
  queues_t *queues = NULL;
  int result = decode_queues (text, strlen (text), &queues);

  if (result == 0)
    queues_free (queues);
  else
    CU_ASSERT_EQUAL (result, ERROR_PROTOCOL);
  return result == 0;
}

static bool
accepts_poll (const char *text)
{
  decode_poll_t poll;
  int result = decode_poll (text, strlen (text), &poll);

  if (result == 0)
    decode_poll_clear (&poll);
  else
    CU_ASSERT_EQUAL (result, ERROR_PROTOCOL);
  return result == 0;
}

/* The clock of an answer counts as not given. */
static bool
accepts_clock (const char *text)
{
  int64_t endpoint_clock_ms = -1;

  CU_ASSERT_EQUAL (decode_answer (200, text, strlen (text), &endpoint_clock_ms), EXECUTOR_OK);
  return endpoint_clock_ms != 0;
}

#define JOB(members) "{\"spec\":\"1\",\"best_effort\":true,\"phases\":[{" members "}]}"
#define CONFIGURATION(version, route, limits)                                                      \
  "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":"   \
  "\"/p/\",\"service\":\"s\"" route "}],\"limits\":{" limits "}}"

static const struct
{
  const char *name;
  bool (*accepts) (const char *text);
  const char *text;
} documents[] = {
  { "count", accepts_job, JOB ("\"count\":@") },
  { "cores", accepts_job, JOB ("\"count\":1,\"cpu_millis\":@") },
  { "memory", accepts_job, JOB ("\"count\":1,\"mem_mb\":@") },
  { "GPUs", accepts_job, JOB ("\"count\":1,\"gpus\":@") },
  { "estimate", accepts_job, JOB ("\"count\":1,\"estimated_ms\":@") },
  { "spread", accepts_job, JOB ("\"count\":1,\"anti_affinity\":@") },
  { "version", accepts_configuration, CONFIGURATION ("@", "", "") },
  { "priority", accepts_configuration, CONFIGURATION ("1", ",\"priority\":@", "") },
  { "attempts", accepts_configuration, CONFIGURATION ("1", ",\"max_attempts\":@", "") },
  { "target", accepts_configuration, CONFIGURATION ("1", ",\"target_latency_ms\":@", "") },
  { "time-out", accepts_configuration, CONFIGURATION ("1", ",\"timeout_ms\":@", "") },
  { "stretch factor", accepts_configuration, CONFIGURATION ("1", ",\"stretch_factor\":@", "") },
  { "header bytes", accepts_configuration, CONFIGURATION ("1", "", "\"max_header_bytes\":@") },
  { "body bytes", accepts_configuration, CONFIGURATION ("1", "", "\"max_body_bytes\":@") },
  { "header time", accepts_configuration, CONFIGURATION ("1", "", "\"header_timeout_ms\":@") },
  { "idle time", accepts_configuration, CONFIGURATION ("1", "", "\"idle_timeout_ms\":@") },
  { "clock of a poll", accepts_poll, "{\"clock_ms\":@,\"active\":[],\"finished\":[]}" },
  { "start time in a poll", accepts_poll, "{\"clock_ms\":5,\"born\":@}" },
  { "attempt of a run", accepts_poll, "{\"clock_ms\":5,\"active\":[[\"t\",@,\"\",0]]}" },
  { "progress of a run", accepts_poll, "{\"clock_ms\":5,\"active\":[[\"t\",1,\"\",@]]}" },
  { "number of an end", accepts_poll, "{\"clock_ms\":5,\"finished\":[[@,\"t\",1,\"done\"]]}" },
  { "attempt of an end", accepts_poll, "{\"clock_ms\":5,\"finished\":[[1,\"t\",@,\"done\"]]}" },
  { "clock of an answer", accepts_clock, "{\"clock_ms\":@}" },
};

static void
check_numbers (size_t document, const char *const *numbers, size_t count, bool accepted)
{
  for (size_t i = 0; i < count; i++)
    {
      char *text = with_number (documents[document].text, numbers[i]);
      bool result = documents[document].accepts (text);
      if (result != accepted)
        printf ("  %s: %s %s\n", documents[document].name, numbers[i],
                result ? "accepted" : "refused");
      CU_ASSERT_EQUAL (result, accepted);
      g_free (text);
    }
}

static void
test_numbers_not_finite (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (documents); i++)
    {
      check_numbers (i, finite_numbers, G_N_ELEMENTS (finite_numbers), true);
      check_numbers (i, other_numbers, G_N_ELEMENTS (other_numbers), false);
    }
}

static const struct
{
  int status;
  executor_answer_t answer;
} answers[] = {
  { 200, EXECUTOR_OK },          { 400, EXECUTOR_INVALID },       { 404, EXECUTOR_NO_ANSWER },
  { 409, EXECUTOR_OLD_ATTEMPT }, { 421, EXECUTOR_INSTANCE_GONE }, { 429, EXECUTOR_UNHEALTHY },
  { 500, EXECUTOR_NO_ANSWER },   { 502, EXECUTOR_NO_ANSWER },     { 503, EXECUTOR_UNHEALTHY },
};

/* A status that the platform does not know failed the job of the order. */
static void
test_unknown_status (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      int64_t endpoint_clock_ms = 0;
      CU_ASSERT_EQUAL (decode_answer (answers[i].status, "{}", 2, &endpoint_clock_ms),
                       answers[i].answer);
    }
}

static const unit_test_t tests[] = {
  { "numbers that are not finite", test_numbers_not_finite },
  { "answers with a status that is not known", test_unknown_status },
};

int
main (void)
{
  return unit_run ("decoders", tests, G_N_ELEMENTS (tests));
}
