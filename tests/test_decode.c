/* test_decode.c -- numbers that are not finite, and texts that can't be passed on as they are, in
 * jobs, configurations and answers of endpoints
 *
 * JSON has no such numbers, but "NaN", "Infinity" and a number too large for its type are read as
 * ones.  What they become as an integer differs between machines.
 *
 * A JSON string may have the character U+0000, which ends a string of C, and the escape of half a
 * surrogate pair, which no encoding has.
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

/* --- texts --- */

static const struct
{
  const char *text;    /* within a JSON string */
  const char *decoded; /* NULL: it can't be passed on */
  bool has_nul;
} texts[] = {
  { "", "", false },
  { "a", "a", false },
  { "\\u0001\\n", "\1\n", false },
  { "\\\\u0000", "\\u0000", false },
  { "\\u00e9", "\xc3\xa9", false },
  { "\xc3\xa9", "\xc3\xa9", false },
  { "\\ud83d\\ude00", "\xf0\x9f\x98\x80", false },
  { "\\u0000", NULL, true },
  { "a\\u0000b", NULL, true },
  { "\\\\\\u0000", NULL, true },
  { "\\ud83d", NULL, false },
  { "\\ud83d\\u0041", NULL, false },
  { "\\ud83d\\ud83d\\ude00", NULL, false },
  { "\\ude00", NULL, false },
  { "\xff", NULL, false },
  { "\xed\xa0\x80", NULL, false },
};

#define TEXT_MESSAGE "the texts of a job must be valid Unicode without the character U+0000"
#define SPEC_MESSAGE "spec must be a string of at most 4000 bytes"
#define PHASES ",\"best_effort\":true,\"phases\":[{\"count\":1}]}"

/* Any of its texts makes a job invalid, the names of its members too. */
static const char *const job_texts[] = {
  "{\"spec\":\"@\"" PHASES,
  "{\"spec\":\"1\",\"note\":\"@\"" PHASES,
  "{\"spec\":\"1\",\"spec@\":\"2\"" PHASES,
  JOB ("\"count\":1,\"affinity\":\"@\""),
  JOB ("\"count\":1,\"required_label\":\"@\""),
};

static void
test_texts_of_jobs (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (job_texts); k++)
      {
        char *body = with_number (job_texts[k], texts[i].text);
        const char *message = NULL;
        decode_job_t job;
        int result = decode_job (body, strlen (body), &job, &message);
        if ((result == 0) != (texts[i].decoded != NULL))
          printf ("  %s: %s\n", body, result == 0 ? "accepted" : message);
        CU_ASSERT_EQUAL (result, texts[i].decoded != NULL ? 0 : ERROR_BAD_REQUEST);
        if (result != 0)
          CU_ASSERT_EQUAL (g_strcmp0 (message, TEXT_MESSAGE), 0);
        if (result == 0 && k == 0)
          CU_ASSERT_EQUAL (g_strcmp0 (job.spec, texts[i].decoded), 0);
        if (result == 0)
          decode_job_clear (&job);
        g_free (body);
      }
}

static const struct
{
  int chars; /* of one byte, before END */
  const char *end;
  const char *message; /* NULL: accepted */
} spec_lengths[] = {
  { 4000, "", NULL },         { 4001, "", SPEC_MESSAGE },
  { 3998, "\xc3\xa9", NULL }, { 3999, "\xc3\xa9", SPEC_MESSAGE },
  { 3998, "\\u00e9", NULL },  { 3999, "\\u00e9", SPEC_MESSAGE },
  { 3999, "\\n", NULL },      { 10, "\\u0000", TEXT_MESSAGE },
};

static void
test_length_of_spec (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (spec_lengths); i++)
    {
      char *chars = g_strnfill ((gsize) spec_lengths[i].chars, 'a');
      char *body = g_strdup_printf ("{\"spec\":\"%s%s\"" PHASES, chars, spec_lengths[i].end);
      const char *message = NULL;
      decode_job_t job;
      int result = decode_job (body, strlen (body), &job, &message);
      CU_ASSERT_EQUAL (result, spec_lengths[i].message == NULL ? 0 : ERROR_BAD_REQUEST);
      CU_ASSERT_EQUAL (g_strcmp0 (message, spec_lengths[i].message), 0);
      if (result == 0)
        decode_job_clear (&job);
      g_free (body);
      g_free (chars);
    }
}

/* Whether the rows of runs are read. */
static bool
accepts_rows (const char *text)
{
  decode_poll_t poll;

  CU_ASSERT_EQUAL_FATAL (decode_poll (text, strlen (text), &poll), 0);
  bool has_rows = poll.result.active_count + poll.result.ended_count > 0;
  decode_poll_clear (&poll);
  return has_rows;
}

static bool
accepts_reason (const char *text)
{
  int64_t endpoint_clock_ms = 0;

  return decode_answer (409, text, strlen (text), &endpoint_clock_ms) == EXECUTOR_NO_CAPACITY;
}

#define ROUTE(host, path, service)                                                                 \
  "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h" host "\",\"path_prefix\":\"/p/" path   \
  "\",\"service\":\"s" service "\"}]}"

static const struct
{
  const char *name;
  bool (*accepts) (const char *text);
  const char *text;
} text_documents[] = {
  { "host", accepts_configuration, ROUTE ("@", "", "") },
  { "path", accepts_configuration, ROUTE ("", "@", "") },
  { "service", accepts_configuration, ROUTE ("", "", "@") },
  { "task that runs", accepts_rows, "{\"clock_ms\":5,\"active\":[[\"t@\",1,\"\",0]]}" },
  { "task that ended", accepts_rows, "{\"clock_ms\":5,\"finished\":[[1,\"t@\",1,\"done\"]]}" },
  { "how it ended", accepts_rows, "{\"clock_ms\":5,\"finished\":[[1,\"t\",1,\"done@\"]]}" },
};

/* What a NUL would cut off is not read as something else. */
static void
test_texts_with_nul (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (text_documents); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (texts); k++)
      {
        char *text = with_number (text_documents[i].text, texts[k].text);
        bool accepted = text_documents[i].accepts (text);
        if (accepted == texts[k].has_nul)
          printf ("  %s: %s\n", text_documents[i].name, texts[k].text);
        CU_ASSERT_EQUAL (accepted, !texts[k].has_nul);
        g_free (text);
      }
  CU_ASSERT_TRUE (accepts_reason ("{\"reason\":\"room\"}"));
  CU_ASSERT_FALSE (accepts_reason ("{\"reason\":\"room\\u0000\"}"));
}

static const unit_test_t tests[] = {
  { "texts of jobs", test_texts_of_jobs },
  { "the length of a spec", test_length_of_spec },
  { "texts with a NUL", test_texts_with_nul },
  { "numbers that are not finite", test_numbers_not_finite },
  { "answers with a status that is not known", test_unknown_status },
};

int
main (void)
{
  return unit_run ("decoders", tests, G_N_ELEMENTS (tests));
}
