/* cases_input.c -- requests at and beyond the bounds of the contract */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"

#include <stdio.h>
#include <string.h>

#define DEADLINE_MS 20000
#define TASKS_MAX 510
#define BODY_MAX_BYTES 65536

/* @I is replaced by now, @D by a deadline, @P by a time that has passed. */
#define TIMES "\"issued_at_ms\":@I,\"deadline_at_ms\":@D"
#define HEAD "{\"customer\":\"lantern\",\"kind\":\"check\"," TIMES
#define TASK "{\"id\":\"0\",\"body\":\"x\"}"
#define TASKS ",\"tasks\":[" TASK "]"
#define KEY_32 "0123456789abcdef0123456789ABCDEF"
#define KEY_128 KEY_32 KEY_32 KEY_32 KEY_32

typedef struct
{
  const char *name;
  const char *key; /* NULL: no header */
  const char *body;
  int32_t status;
  const char *kind;  /* NULL: complete */
  const char *field; /* must stand in the message, or NULL */
} input_t;

static const input_t inputs[] = {
  { "least", "least", HEAD TASKS "}", 200, NULL, NULL },
  { "comment-free spaces", "spaces", " \n " HEAD TASKS "} \n", 200, NULL, NULL },
  { "longest key", KEY_128, HEAD TASKS "}", 200, NULL, NULL },
  { "key too long", KEY_128 "x", HEAD TASKS "}", 400, "bad_request", "Idempotency-Key" },
  { "no key", NULL, HEAD TASKS "}", 400, "bad_request", "Idempotency-Key" },
  { "empty key", "", HEAD TASKS "}", 400, "bad_request", "Idempotency-Key" },
  { "space in key", "a b", HEAD TASKS "}", 400, "bad_request", "Idempotency-Key" },
  { "key beyond ASCII", "\xc3\xa9", HEAD TASKS "}", 400, "bad_request", "Idempotency-Key" },
  { "no body", "i-1", "", 400, "bad_request", NULL },
  { "no JSON", "i-2", "{\"customer\":", 400, "bad_request", NULL },
  { "more after JSON", "i-3", HEAD TASKS "}x", 400, "bad_request", NULL },
  { "two documents", "i-4", HEAD TASKS "}" HEAD TASKS "}", 400, "bad_request", NULL },
  { "an array", "i-5", "[]", 400, "bad_request", NULL },
  { "null", "i-6", "null", 400, "bad_request", NULL },
  { "no customer", "i-7", "{\"kind\":\"check\"," TIMES TASKS "}", 400, "bad_request", "customer" },
  { "customer a number", "i-8", "{\"customer\":1,\"kind\":\"check\"," TIMES TASKS "}", 400,
    "bad_request", "customer" },
  { "no kind", "i-9", "{\"customer\":\"lantern\"," TIMES TASKS "}", 400, "bad_request", "kind" },
  { "empty kind", "i-10", "{\"customer\":\"lantern\",\"kind\":\"\"," TIMES TASKS "}", 400,
    "bad_request", "kind" },
  { "kind with CR LF", "i-11",
    "{\"customer\":\"lantern\",\"kind\":\"a\\r\\nX-Task-Id: 9\"," TIMES TASKS "}", 400,
    "bad_request", "kind" },
  { "no issued_at_ms", "i-12",
    "{\"customer\":\"lantern\",\"kind\":\"check\",\"deadline_at_ms\":@D" TASKS "}", 400,
    "bad_request", "issued_at_ms" },
  { "issued_at_ms a string", "i-13",
    "{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":\"@I\",\"deadline_at_ms\":@"
    "D" TASKS "}",
    400, "bad_request", "issued_at_ms" },
  { "issued_at_ms a fraction", "i-14",
    "{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":@I.5,\"deadline_at_ms\":@D" TASKS
    "}",
    400, "bad_request", "issued_at_ms" },
  { "no deadline", "i-15",
    "{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":@I" TASKS "}", 400,
    "bad_request", "deadline_at_ms" },
  { "deadline beyond 64 bits", "i-16",
    "{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":@I,"
    "\"deadline_at_ms\":99999999999999999999999" TASKS "}",
    400, "bad_request", "deadline_at_ms" },
  { "repeatable a string", "i-17", HEAD ",\"repeatable\":\"no\"" TASKS "}", 400, "bad_request",
    "repeatable" },
  { "home a number", "i-18", HEAD ",\"home\":7" TASKS "}", 400, "bad_request", "home" },
  { "home unknown", "i-19", HEAD ",\"home\":\"nowhere\"" TASKS "}", 400, "bad_request", "home" },
  { "no tasks", "i-20", HEAD "}", 400, "bad_request", "tasks" },
  { "tasks an object", "i-21", HEAD ",\"tasks\":{}}", 400, "bad_request", "tasks" },
  { "0 tasks", "i-22", HEAD ",\"tasks\":[]}", 400, "bad_request", "tasks" },
  { "task a string", "i-23", HEAD ",\"tasks\":[\"x\"]}", 400, "bad_request", "tasks" },
  { "task without id", "i-24", HEAD ",\"tasks\":[{\"body\":\"x\"}]}", 400, "bad_request", "id" },
  { "task id a number", "i-25", HEAD ",\"tasks\":[{\"id\":0,\"body\":\"x\"}]}", 400, "bad_request",
    "id" },
  { "task id empty", "i-26", HEAD ",\"tasks\":[{\"id\":\"\",\"body\":\"x\"}]}", 400, "bad_request",
    "id" },
  { "task id with CR LF", "i-27", HEAD ",\"tasks\":[{\"id\":\"a\\r\\nb\",\"body\":\"x\"}]}", 400,
    "bad_request", "id" },
  { "task body a number", "i-29", HEAD ",\"tasks\":[{\"id\":\"0\",\"body\":1}]}", 400,
    "bad_request", "body" },
  { "same id twice", "i-30", HEAD ",\"tasks\":[" TASK "," TASK "]}", 400, "bad_request", "id" },
  { "cores a string", "i-31", HEAD ",\"tasks\":[{\"id\":\"0\",\"body\":\"x\",\"cores\":\"1\"}]}",
    400, "bad_request", "cores" },
  { "cores negative", "i-32", HEAD ",\"tasks\":[{\"id\":\"0\",\"body\":\"x\",\"cores\":-1}]}", 400,
    "bad_request", "cores" },
  { "memory negative", "i-33", HEAD ",\"tasks\":[{\"id\":\"0\",\"body\":\"x\",\"memory_mb\":-1}]}",
    400, "bad_request", "memory_mb" },
  { "too many cores", "i-34", HEAD ",\"tasks\":[{\"id\":\"0\",\"body\":\"x\",\"cores\":33}]}", 422,
    "never_fits", NULL },
  { "too much memory", "i-35",
    HEAD ",\"tasks\":[{\"id\":\"0\",\"body\":\"x\",\"memory_mb\":131073}]}", 422, "never_fits",
    NULL },
  { "customer without a plan", "i-36",
    "{\"customer\":\"nobody\",\"kind\":\"check\"," TIMES TASKS "}", 403, "unknown_customer", NULL },
  { "deadline passed", "i-37",
    "{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":@P,\"deadline_at_ms\":@P" TASKS
    "}",
    504, "deadline_passed", NULL },
};

static char *
fill_times (const char *template)
{
  GString *text = g_string_new (template);
  char number[32];
  const struct
  {
    const char *token;
    int64_t offset_ms;
  } tokens[] = { { "@I", 0 }, { "@D", DEADLINE_MS }, { "@P", -1000 } };
  for (size_t i = 0; i < G_N_ELEMENTS (tokens); i++)
    {
      g_snprintf (number, sizeof number, "%" G_GINT64_FORMAT,
                  clock_wall_ms () + tokens[i].offset_ms);
      g_string_replace (text, tokens[i].token, number, 0);
    }
  return g_string_free (text, FALSE);
}

static char *
key_header (const char *key)
{
  return key != NULL ? g_strdup_printf ("Idempotency-Key: %s\r\n", key) : g_strdup ("");
}

static void
check_input (rig_t *rig, const input_t *input)
{
  char *body = fill_times (input->body);
  char *headers = key_header (input->key);
  call_t *call = call_now (rig_host (rig, 0, 0)->caller, "POST", "/v1/jobs", headers, body);
  const reply_t *reply = call_wait (call);
  const char *kind = input->kind != NULL ? input->kind : "";
  bool ok = reply->error == 0 && reply->status == input->status
            && strcmp (reply_string (reply, "kind"), kind) == 0;
  rig_expect (rig, ok, "%s: expected %d %s, got error %d, status %d, %.300s", input->name,
              input->status, kind, reply->error, reply->status,
              reply->text != NULL ? reply->text : "");
  rig_expect (rig,
              !ok || input->field == NULL
                  || strstr (reply_string (reply, "message"), input->field) != NULL,
              "%s: the message does not name %s: %s", input->name, input->field,
              reply_string (reply, "message"));
  /* A body that cannot be read does not name the home that could be asked. */
  bool known = input->kind != NULL && input->status != 400;
  rig_expect (rig, !ok || !known || strcmp (reply_string (reply, "run"), "not_run") == 0,
              "%s: nothing ran, but the answer says %s", input->name, reply_string (reply, "run"));
  call_free (call);
  g_free (headers);
  g_free (body);
}

static void
run_inputs (rig_t *rig)
{
  int32_t complete = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (inputs); i++)
    {
      check_input (rig, &inputs[i]);
      complete += inputs[i].kind == NULL ? 1 : 0;
    }
  int32_t starts = check_count_starts (rig, NULL);
  rig_expect (rig, starts == complete, "%d starts for %d good jobs", starts, complete);
}

static void
run_task_count (rig_t *rig)
{
  job_t *job = job_simple ("too-many", TASKS_MAX + 1, 1);
  rig_expect_kind (rig, rig_submit (rig, rig_host (rig, 0, 0), job), "too_large", NULL);
  rig_expect (rig, check_count_starts (rig, NULL) == 0, "a job of 511 tasks started");
}

static void
run_body_size (rig_t *rig)
{
  job_t *job = job_new ("too-large", DEADLINE_MS);
  char *body = g_malloc (BODY_MAX_BYTES);
  memset (body, 'x', BODY_MAX_BYTES);
  job_add_echo (job, body, BODY_MAX_BYTES);
  g_free (body);
  rig_expect_kind (rig, rig_submit (rig, rig_host (rig, 0, 0), job), "too_large", NULL);
  rig_expect (rig, check_count_starts (rig, NULL) == 0, "a body over the limit started");
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 0), job_simple ("fits", 1, 1)));
}

/* A body nested or filled so as to exhaust a parser. */
static void
run_hostile_json (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  GString *nested = g_string_new (NULL);
  for (int32_t i = 0; i < 20000; i++)
    g_string_append_c (nested, '[');
  const char *bodies[] = { nested->str, "{\"customer\":\"\xff\xfe\"}", "\"\\ud800\"",
                           "{\"a\":1e999999}" };
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      call_t *call =
          call_now (host->caller, "POST", "/v1/jobs", "Idempotency-Key: hostile\r\n", bodies[i]);
      rig_expect (rig, call_wait (call)->status == 400, "hostile body %zu: status %d, error %d", i,
                  call_wait (call)->status, call_wait (call)->error);
      call_free (call);
    }
  g_string_free (nested, TRUE);
  rig_expect_complete (rig, rig_submit (rig, host, job_simple ("after-hostile", 1, 1)));
}

static char *
raw_request (const char *key, const char *body, gsize declared_bytes)
{
  return g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                          "Idempotency-Key: %s\r\nContent-Length: %zu\r\n\r\n%s",
                          key, declared_bytes, body);
}

/* Cut short at several lengths: nothing may start. */
static void
run_truncated (rig_t *rig)
{
  char *body = fill_times (HEAD TASKS "}");
  char *whole = raw_request ("truncated", body, strlen (body));
  gsize size_bytes = strlen (whole);
  const gsize cuts[] = { 0, 1, 10, 40, size_bytes / 2, size_bytes - strlen (body), size_bytes - 1 };
  for (size_t i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      raw_t raw = { .bytes = whole, .size_bytes = cuts[i], .half_close = true };
      char *answer = call_raw (rig_host (rig, 0, 0)->caller, &raw);
      rig_expect (rig, strstr (answer, " 200 ") == NULL, "a request cut at %zu was served: %.200s",
                  cuts[i], answer);
      g_free (answer);
    }
  rig_expect (rig, check_count_starts (rig, NULL) == 0, "a truncated request started");
  g_free (whole);
  g_free (body);
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 0), job_simple ("after-cut", 1, 1)));
}

/* Sent in small pieces: served all the same. */
static void
run_slow (rig_t *rig)
{
  char *body = fill_times (HEAD TASKS "}");
  char *whole = raw_request ("slow", body, strlen (body));
  raw_t raw = { .bytes = whole, .size_bytes = strlen (whole), .step_bytes = 8, .pause_ms = 5 };
  char *answer = call_raw (rig_host (rig, 0, 0)->caller, &raw);
  rig_expect (rig, g_str_has_prefix (answer, "HTTP/1.1 200 "), "a slow request got: %.300s",
              answer);
  g_free (answer);
  g_free (whole);
  g_free (body);
}

static const struct
{
  const char *name;
  const char *bytes;
} garbage[] = {
  { "no HTTP", "hello\r\n\r\n" },
  { "binary", "\x16\x03\x01\x02\x01\x01\xff\xff\r\n\r\n" },
  { "length not a number", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n" },
  { "length negative", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n" },
  { "length huge", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: g\r\nContent-Length: "
                   "99999999999999\r\n\r\n" },
  { "path with dots", "GET /../../etc/passwd HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
};

static void
run_garbage (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (garbage); i++)
    {
      raw_t raw = { .bytes = garbage[i].bytes,
                    .size_bytes = strlen (garbage[i].bytes),
                    .half_close = true };
      char *answer = call_raw (host->caller, &raw);
      rig_expect (rig, strstr (answer, " 200 ") == NULL, "%s was served: %.200s", garbage[i].name,
                  answer);
      g_free (answer);
    }
  rig_expect (rig, check_count_starts (rig, NULL) == 0, "garbage started a task");
  rig_expect_complete (rig, rig_submit (rig, host, job_simple ("after-garbage", 1, 1)));
}

static const case_t cases[] = {
  { "inputs",
    "malformed input",
    "each field at and beyond its bounds",
    "400 with the field named; nothing starts",
    { 0 },
    run_inputs },
  { "task_count",
    "511 tasks",
    "at the door",
    "refused, nothing starts",
    { .hosts = 1 },
    run_task_count },
  { "body_size",
    "body over the limit",
    "at the door",
    "413, nothing starts; the host serves on",
    { .hosts = 1, .settings = "\"max_body_bytes\":65536" },
    run_body_size },
  { "hostile_json",
    "deep nesting, broken UTF-8, huge numbers",
    "at the door",
    "400; the host serves on",
    { .hosts = 1 },
    run_hostile_json },
  { "truncated",
    "request cut short",
    "at seven lengths",
    "nothing starts; the host serves on",
    { .hosts = 1 },
    run_truncated },
  { "slow_request",
    "request in pieces of 8 bytes",
    "while it is read",
    "the whole answer",
    { .hosts = 1 },
    run_slow },
  { "garbage",
    "not HTTP, bad lengths",
    "at the door",
    "nothing starts; the host serves on",
    { .hosts = 1 },
    run_garbage },
};

const case_list_t cases_input = { cases, G_N_ELEMENTS (cases) };
