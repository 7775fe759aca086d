/* test_job.c -- lib/job: limits of submissions, answers, and jobs against a reference model */
#include "base/error.h"
#include "job/answer.h"
#include "job/job.h"
#include "job/request.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <json-c/json.h>
#include <string.h>

#define SEED 20261203u
#define RANDOM_JOBS 20000
#define FIELDS "\"customer\":\"c\",\"kind\":\"k\",\"issued_at_ms\":1,\"deadline_at_ms\":2"
#define TASKS "\"tasks\":[{\"id\":\"0\"}]"

/* Submissions; if one is invalid, the message must contain FRAGMENT. */
static const struct
{
  const char *body;
  int result;
  const char *fragment;
} bodies[] = {
  { "{" FIELDS "," TASKS "}", 0, NULL },
  { " {" FIELDS "," TASKS "}\n", 0, NULL },
  { "{" FIELDS "," TASKS ",\"newer\":1}", 0, NULL },
  { "{" FIELDS ",\"home\":null," TASKS "}", 0, NULL },
  { "{" FIELDS ",\"repeatable\":true," TASKS "}", 0, NULL },
  { "{" FIELDS ",\"tasks\":[{\"id\":\"0\",\"body\":\"\",\"cores\":0,\"memory_mb\":0}]}", 0, NULL },
  { "", ERROR_BAD_REQUEST, "body" },
  { "{", ERROR_BAD_REQUEST, "body" },
  { "[]", ERROR_BAD_REQUEST, "body" },
  { "null", ERROR_BAD_REQUEST, "body" },
  { "{" FIELDS "," TASKS "} {}", ERROR_BAD_REQUEST, "body" },
  { "{" FIELDS "," TASKS ",\"x\":\"\xff\"}", ERROR_BAD_REQUEST, "body" },
  { "{" FIELDS "," TASKS ",\"x\":[[[[[[[[[[1]]]]]]]]]]}", ERROR_BAD_REQUEST, "body" },
  { "{" TASKS "}", ERROR_BAD_REQUEST, "customer is required" },
  { "{\"customer\":1}", ERROR_BAD_REQUEST, "customer must be a string" },
  { "{\"customer\":\"\"}", ERROR_BAD_REQUEST, "customer must be 1 to 128" },
  { "{\"customer\":\"c\",\"kind\":\"../x\"}", ERROR_BAD_REQUEST, "kind must consist" },
  { "{\"customer\":\"c\",\"kind\":\"k\",\"issued_at_ms\":\"1\"}", ERROR_BAD_REQUEST,
    "issued_at_ms must be a whole number" },
  { "{\"customer\":\"c\",\"kind\":\"k\",\"issued_at_ms\":-1}", ERROR_BAD_REQUEST,
    "issued_at_ms is out of range" },
  { "{\"customer\":\"c\",\"kind\":\"k\",\"issued_at_ms\":1.5}", ERROR_BAD_REQUEST,
    "issued_at_ms must be a whole number" },
  { "{\"customer\":\"c\",\"kind\":\"k\",\"issued_at_ms\":1}", ERROR_BAD_REQUEST,
    "deadline_at_ms is required" },
  { "{" FIELDS ",\"repeatable\":\"yes\"," TASKS "}", ERROR_BAD_REQUEST, "repeatable must be" },
  { "{" FIELDS ",\"home\":3," TASKS "}", ERROR_BAD_REQUEST, "home must be" },
  { "{" FIELDS "}", ERROR_BAD_REQUEST, "tasks is required" },
  { "{" FIELDS ",\"tasks\":{}}", ERROR_BAD_REQUEST, "tasks must be a list" },
  { "{" FIELDS ",\"tasks\":[]}", ERROR_BAD_REQUEST, "at least one task" },
  { "{" FIELDS ",\"tasks\":[1]}", ERROR_BAD_REQUEST, "list of objects" },
  { "{" FIELDS ",\"tasks\":[{}]}", ERROR_BAD_REQUEST, "tasks[].id is required" },
  { "{" FIELDS ",\"tasks\":[{\"id\":\"a b\"}]}", ERROR_BAD_REQUEST, "tasks[].id must be 1 to 128" },
  { "{" FIELDS ",\"tasks\":[{\"id\":\"0\"},{\"id\":\"0\"}]}", ERROR_BAD_REQUEST, "unique" },
  { "{" FIELDS ",\"tasks\":[{\"id\":\"0\",\"body\":{}}]}", ERROR_BAD_REQUEST, "tasks[].body" },
  { "{" FIELDS ",\"tasks\":[{\"id\":\"0\",\"cores\":-1}]}", ERROR_BAD_REQUEST, "tasks[].cores" },
  { "{" FIELDS ",\"tasks\":[{\"id\":\"0\",\"memory_mb\":\"1\"}]}", ERROR_BAD_REQUEST, "memory_mb" },
};

static void
check_body (const char *text, int expected, const char *fragment)
{
  GBytes *body = g_bytes_new_static (text, strlen (text));
  job_request_t *request = NULL;
  char *message = NULL;
  int result = job_request_parse ("key", body, &request, &message);

  if (result != expected || (fragment != NULL && strstr (message, fragment) == NULL))
    printf ("\n  %s: %d %s\n", text, result, message);
  CU_ASSERT_EQUAL (result, expected);
  if (fragment != NULL)
    CU_ASSERT_PTR_NOT_NULL (strstr (message, fragment));
  CU_ASSERT_EQUAL (result == 0, request != NULL);
  job_request_unref (request);
  g_free (message);
  g_bytes_unref (body);
}

static void
test_bodies (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    check_body (bodies[i].body, bodies[i].result, bodies[i].fragment);
}

static char *
make_body (uint32_t tasks, bool repeatable)
{
  GString *text = g_string_new ("{" FIELDS ",\"repeatable\":");

  g_string_append_printf (text, "%s,\"tasks\":[", repeatable ? "true" : "false");
  for (uint32_t i = 0; i < tasks; i++)
    g_string_append_printf (text, "%s{\"id\":\"%u\"}", i > 0 ? "," : "", i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
test_counts (void)
{
  static const struct
  {
    uint32_t tasks;
    int result;
  } cases[] = { { 1, 0 }, { JOB_TASKS_MAX, 0 }, { JOB_TASKS_MAX + 1, ERROR_TOO_LARGE } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = make_body (cases[i].tasks, false);
      check_body (text, cases[i].result, NULL);
      g_free (text);
    }
}

static void
test_keys (void)
{
  char longest[JOB_KEY_MAX_BYTES + 2];

  memset (longest, 'k', sizeof longest);
  longest[JOB_KEY_MAX_BYTES] = '\0';
  CU_ASSERT_TRUE (job_key_is_valid (longest));
  longest[JOB_KEY_MAX_BYTES] = 'k';
  longest[JOB_KEY_MAX_BYTES + 1] = '\0';
  CU_ASSERT_FALSE (job_key_is_valid (longest));
  CU_ASSERT_FALSE (job_key_is_valid (""));
  CU_ASSERT_FALSE (job_key_is_valid (NULL));
  CU_ASSERT_FALSE (job_key_is_valid ("a b"));
  CU_ASSERT_FALSE (job_key_is_valid ("a\x7f"));
  CU_ASSERT_FALSE (job_key_is_valid ("\xc3\xa9"));
  CU_ASSERT_TRUE (job_key_is_valid ("!~"));
}

/* The answer of each error kind has the kind's status and name, and says "not_run"
 * only where the error table allows it. */
static void
test_error_answers (void)
{
  for (int i = 1; i <= error_kind_count (); i++)
    for (int confirmed = 0; confirmed <= 1; confirmed++)
      {
        const error_row_t *row = error_row (-i);
        job_answer_t *answer = job_answer_error (-i, confirmed, 7, NULL);
        gsize size = 0;
        const char *text = g_bytes_get_data (answer->body, &size);
        char *copy = g_strndup (text, size);
        json_object *root = json_tokener_parse (copy);
        bool not_run = row->execution == EXECUTION_NOT_RUN
                       || (row->execution == EXECUTION_NOT_RUN_IF_CONFIRMED && confirmed);
        CU_ASSERT_EQUAL (answer->status, row->http_status);
        CU_ASSERT_STRING_EQUAL (json_object_get_string (json_object_object_get (root, "kind")),
                                row->name);
        CU_ASSERT_STRING_EQUAL (json_object_get_string (json_object_object_get (root, "run")),
                                not_run ? "not_run" : "may_have_run");
        CU_ASSERT_EQUAL (json_object_get_int64 (json_object_object_get (root, "retry_at_ms")), 7);
        json_object_put (root);
        g_free (copy);
        job_answer_unref (answer);
      }
}

static const struct
{
  const char *body;
  size_t size;
  const char *member;
  const char *json;
} results[] = {
  { "", 0, "body", "\"\"" },
  { "a\0b", 3, "body", "\"a\\u0000b\"" },
  { "\0", 1, "body", "\"\\u0000\"" },
  { "\xc3\xa9", 2, "body", "\"\xc3\xa9\"" },
  { "\"\\", 2, "body", "\"\\\"\\\\\"" },
  { "a\0\xff", 3, "body_base64", "\"YQD\\/\"" },
  { "\xc3", 1, "body_base64", "\"ww==\"" },
};

static void
test_results (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (results); i++)
    {
      GByteArray *body = g_byte_array_new ();
      g_byte_array_append (body, (const guint8 *) results[i].body, (guint) results[i].size);
      job_result_t result = { .task = "0", .status = 200, .body = body };
      job_answer_t *answer = job_answer_complete (&result, 1);
      char *expected =
          g_strdup_printf ("{\"state\":\"complete\",\"results\":[{\"task\":\"0\",\"status\":200,"
                           "\"%s\":%s}]}",
                           results[i].member, results[i].json);
      gsize size = 0;
      const char *text = g_bytes_get_data (answer->body, &size);
      CU_ASSERT_EQUAL_FATAL (size, strlen (expected));
      CU_ASSERT_EQUAL (memcmp (text, expected, size), 0);
      g_free (expected);
      job_answer_unref (answer);
      g_byte_array_unref (body);
    }
}

/* --- random jobs against a reference model --- */

/* The reference model of one task. */
typedef struct
{
  int starts;
  bool running;
  bool done;
} task_model_t;

typedef struct
{
  task_model_t tasks[JOB_TASKS_MAX];
  uint32_t count;
  bool repeatable;
  bool ended; /* the job is complete or has failed */
} job_model_t;

static uint32_t
model_done_count (const job_model_t *model)
{
  uint32_t done = 0;

  for (uint32_t i = 0; i < model->count; i++)
    done += model->tasks[i].done;
  return done;
}

static void
start_random (GRand *rand, job_t *job, job_model_t *model)
{
  uint32_t i = g_rand_int_range (rand, 0, (gint32) model->count);
  job_task_state_t state = job_task_state (job, i);

  if (model->ended || (state != JOB_TASK_WAITING && state != JOB_TASK_RETRYING))
    return;
  CU_ASSERT_FALSE (model->tasks[i].running);
  CU_ASSERT_FALSE (model->tasks[i].done);
  job_start_task (job, i);
  model->tasks[i].starts++;
  model->tasks[i].running = true;
  CU_ASSERT (model->tasks[i].starts == 1 || model->repeatable);
}

static void
end_random (GRand *rand, job_t *job, job_model_t *model)
{
  uint32_t i = g_rand_int_range (rand, 0, (gint32) model->count);
  int roll = g_rand_int_range (rand, 0, 100);
  job_attempt_outcome_t outcome = roll < 80   ? JOB_ATTEMPT_DONE
                                  : roll < 90 ? JOB_ATTEMPT_FAILED
                                  : roll < 97 ? JOB_ATTEMPT_NOT_STARTED
                                              : JOB_ATTEMPT_UNKNOWN;

  if (!model->tasks[i].running)
    return;
  job_action_t action = job_end_task (job, i, outcome, 200, NULL);
  model->tasks[i].running = false;
  model->tasks[i].done = outcome == JOB_ATTEMPT_DONE;
  if (outcome == JOB_ATTEMPT_NOT_STARTED)
    model->tasks[i].starts--;
  bool complete = model_done_count (model) == model->count;
  CU_ASSERT_EQUAL (action == JOB_ACTION_COMPLETE, complete && outcome == JOB_ATTEMPT_DONE);
  if (outcome == JOB_ATTEMPT_UNKNOWN || (outcome == JOB_ATTEMPT_FAILED && !model->repeatable))
    CU_ASSERT_EQUAL (action, JOB_ACTION_FAIL);
  if (outcome == JOB_ATTEMPT_NOT_STARTED)
    CU_ASSERT_EQUAL (action, JOB_ACTION_RETRY_TASK);
  model->ended = model->ended || action == JOB_ACTION_FAIL || action == JOB_ACTION_COMPLETE;
}

/* Starts and ends random tasks of a random job, and compares every action with the
 * model.  Guards against two attempts at a task at the same time, a second attempt
 * in a job that is not repeatable, more retries than the budget, and completion
 * before every task is done. */
static void
run_random_job (GRand *rand)
{
  job_model_t model = { .count = (uint32_t) g_rand_int_range (rand, 1, 12),
                        .repeatable = g_rand_boolean (rand) };
  char *text = make_body (model.count, model.repeatable);
  GBytes *body = g_bytes_new_take (text, strlen (text));
  job_request_t *request = NULL;
  char *message = NULL;

  CU_ASSERT_EQUAL_FATAL (job_request_parse ("key", body, &request, &message), 0);
  job_t *job = job_new (request);
  for (int step = 0; step < 60; step++)
    if (g_rand_boolean (rand))
      start_random (rand, job, &model);
    else
      end_random (rand, job, &model);
  CU_ASSERT (job_retry_count (job) <= 1 + model.count / 10);
  if (model_done_count (&model) == model.count)
    job_answer_unref (job_complete_answer (job));
  job_free (job);
  job_request_unref (request);
  g_bytes_unref (body);
}

static void
test_random_jobs (void)
{
  GRand *rand = g_rand_new_with_seed (SEED);

  printf ("seed %u ", SEED);
  for (int i = 0; i < RANDOM_JOBS; i++)
    run_random_job (rand);
  g_rand_free (rand);
}

static const unit_test_t tests[] = {
  { "bodies", test_bodies },   { "task counts", test_counts },
  { "keys", test_keys },       { "error answers", test_error_answers },
  { "results", test_results }, { "random jobs against a reference model", test_random_jobs },
};

int
main (void)
{
  return unit_run ("job", tests, G_N_ELEMENTS (tests));
}
