/* rig.c -- a small deployment of real processes */
#include "tests/system/rig.h"

#include "base/clock.h"
#include "tests/system/check.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define POLL_MS 10
#define LOG_TAIL_LINES 12
#define SHOWN_FAILURES 8

/* Plans and limits that never bind. */
#define DEFAULT_PLANS "{\"plans\":{\"lantern\":\"gold\",\"compost\":\"silver\"}}"
#define DEFAULT_LIMITS                                                                             \
  "{\"limits\":{\"gold\":{\"running_max\":100000,\"weight\":1},\"silver\":{\"weight\":1}}}"

static const char *const data_centre_names[RIG_DATA_CENTRES_MAX] = { "tw-north-a", "tw-north-b",
                                                                     "tw-north-c" };
static char *programs;

void
rig_set_programs (const char *dir)
{
  programs = g_strdup (dir);
}

char *
rig_program (const char *name)
{
  return g_build_filename (programs, name, NULL);
}

const char *
rig_data_centre (int32_t dc)
{
  return data_centre_names[dc];
}

static void
fail_v (rig_t *rig, const char *format, va_list arguments)
{
  rig->failures++;
  if (rig->failures == SHOWN_FAILURES + 1)
    printf ("\n    FAILED %s: and more", rig->name);
  if (rig->failures > SHOWN_FAILURES)
    return;
  char *text = g_strdup_vprintf (format, arguments);
  printf ("\n    FAILED %s: %s", rig->name, text);
  fflush (stdout);
  g_free (text);
}

void
rig_fail (rig_t *rig, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  fail_v (rig, format, arguments);
  va_end (arguments);
}

bool
rig_expect (rig_t *rig, bool ok, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  if (!ok)
    fail_v (rig, format, arguments);
  va_end (arguments);
  return ok;
}

/* Often says why what was waited for did not happen. */
static void
print_last_reply (rig_t *rig)
{
  if (rig->submissions->len == 0)
    return;
  submission_t *last = g_ptr_array_index (rig->submissions, rig->submissions->len - 1);
  const reply_t *reply = call_wait (last->call);
  printf ("\n      last answer, to %s at %s: error %d, status %d, %.300s", last->job->key,
          last->host->id, reply->error, reply->status, reply->text != NULL ? reply->text : "");
}

bool
rig_until (rig_t *rig, const char *what, bool (*condition) (void *data), void *data)
{
  int64_t end_ms = clock_boot_ms () + HANG_GUARD_MS;
  while (!condition (data))
    {
      if (clock_boot_ms () >= end_ms)
        {
          rig_fail (rig, "%s did not happen", what);
          print_last_reply (rig);
          return false;
        }
      clock_sleep_ms (POLL_MS);
    }
  return true;
}

rig_host_t *
rig_host (rig_t *rig, int32_t dc, int32_t n)
{
  for (guint i = 0; i < rig->hosts->len; i++)
    {
      rig_host_t *host = g_ptr_array_index (rig->hosts, i);
      if (strcmp (host->data_centre, data_centre_names[dc]) == 0 && n-- == 0)
        return host;
    }
  return NULL;
}

rig_endpoint_t *
rig_endpoint (rig_t *rig, int32_t dc, int32_t n)
{
  return g_ptr_array_index (rig->endpoints, dc * rig->options.endpoints + n);
}

/* Endpoints and the platform. */

static char *
start_standin (rig_t *rig, const char *program, const char *name, char **more, process_t **process)
{
  char *path = rig_program (program);
  GPtrArray *argv = g_ptr_array_new ();
  g_ptr_array_add (argv, path);
  for (char **word = more; *word != NULL; word++)
    g_ptr_array_add (argv, *word);
  g_ptr_array_add (argv, NULL);
  *process = process_start (rig->dir, name, (char *const *) argv->pdata);
  g_ptr_array_unref (argv);
  g_free (path);
  char *address = *process != NULL ? process_listening (*process) : NULL;
  rig_expect (rig, address != NULL, "%s does not listen", name);
  return address;
}

static void
start_endpoint (rig_t *rig, int32_t dc, int32_t n)
{
  rig_endpoint_t *endpoint = g_new0 (rig_endpoint_t, 1);
  char slots[16];
  endpoint->id = g_strdup_printf ("e%c%d", 'a' + dc, n + 1);
  endpoint->data_centre = g_strdup (data_centre_names[dc]);
  endpoint->state = "live";
  endpoint->slots = rig->options.slots;
  endpoint->journal = g_strdup_printf ("%s/%s.starts", rig->dir, endpoint->id);
  g_snprintf (slots, sizeof slots, "%d", endpoint->slots);
  char *more[] = {
    "--listen", "127.0.0.1:0", "--slots", slots, "--journal", endpoint->journal, NULL
  };
  endpoint->address = start_standin (rig, "fake_endpoint", endpoint->id, more, &endpoint->process);
  g_ptr_array_add (rig->endpoints, endpoint);
}

bool
rig_start_platform (rig_t *rig)
{
  if (rig->platform == NULL)
    rig->platform = g_strdup_printf ("127.0.0.1:%u", process_free_port ());
  char *more[] = { "--listen", rig->platform, NULL };
  process_free (rig->platform_process);
  char *address = start_standin (rig, "fake_platform", "platform", more, &rig->platform_process);
  bool started = address != NULL;
  g_free (address);
  if (started)
    rig_push_hosts (rig);
  return started;
}

static void
print_host (GString *text,
            const char *id,
            const char *role,
            const char *data_centre,
            const char *address,
            int32_t slots,
            const char *state)
{
  if (state == NULL)
    return;
  g_string_append_printf (
      text,
      "%s{\"id\":\"%s\",\"role\":\"%s\",\"data_centre\":\"%s\",\"address\":\"%s\",\"slots\":%d,"
      "\"connections\":60,\"cores\":32,\"memory_mb\":131072,\"rack\":\"r1\",\"state\":\"%s\"}",
      text->str[text->len - 1] == '[' ? "" : ",", id, role, data_centre, address, slots, state);
}

void
rig_push_hosts (rig_t *rig)
{
  GString *text = g_string_new ("{\"hosts\":[");
  for (guint i = 0; i < rig->endpoints->len; i++)
    {
      const rig_endpoint_t *endpoint = g_ptr_array_index (rig->endpoints, i);
      print_host (text, endpoint->id, "endpoint", endpoint->data_centre, endpoint->address,
                  endpoint->slots, endpoint->state);
    }
  for (guint i = 0; i < rig->hosts->len; i++)
    {
      const rig_host_t *host = g_ptr_array_index (rig->hosts, i);
      print_host (text, host->id, "entry", host->data_centre, host->peer, 0, host->state);
    }
  g_string_append (text, "]}");
  int32_t status = call_status (rig->platform, "POST", "/hosts", text->str);
  rig_expect (rig, status == 200, "the list of hosts was not taken: %d", status);
  g_string_free (text, TRUE);
}

void
rig_fault_platform (rig_t *rig, const char *fault)
{
  int32_t status = call_status (rig->platform, "POST", "/fault", fault);
  rig_expect (rig, status == 200, "the platform's fault was not taken: %d", status);
}

void
rig_fault_endpoint (rig_t *rig, rig_endpoint_t *endpoint, const char *fault)
{
  int32_t status = call_status (endpoint->address, "POST", "/fault", fault);
  rig_expect (rig, status == 200, "the endpoint's fault was not taken: %d", status);
}

/* Entry hosts. */

rig_host_t *
rig_add_host (rig_t *rig, int32_t dc)
{
  int32_t n = 0;
  while (rig_host (rig, dc, n) != NULL)
    n++;
  rig_host_t *host = g_new0 (rig_host_t, 1);
  host->id = g_strdup_printf ("%c%d", 'a' + dc, n + 1);
  host->data_centre = g_strdup (data_centre_names[dc]);
  host->caller = g_strdup_printf ("127.0.0.1:%u", process_free_port ());
  host->admin = g_strdup_printf ("127.0.0.1:%u", process_free_port ());
  host->peer = g_strdup_printf ("127.0.0.1:%u", process_free_port ());
  host->settings_file = g_strdup_printf ("%s/%s.json", rig->dir, host->id);
  host->state = "live";
  g_ptr_array_add (rig->hosts, host);
  return host;
}

static void
print_data_centre (rig_t *rig, int32_t dc, GString *text)
{
  const char *separator = "";
  g_string_append_printf (text, "%s\"%s\":[", dc > 0 ? "," : "", data_centre_names[dc]);
  rig_host_t *host = NULL;
  for (int32_t n = 0; (host = rig_host (rig, dc, n)) != NULL; n++)
    {
      g_string_append_printf (text, "%s\"%s\"", separator, host->peer);
      separator = ",";
    }
  g_string_append (text, "]");
}

static void
write_settings (rig_t *rig, const rig_host_t *host)
{
  GString *text = g_string_new ("// Written by the system tests.\n");
  g_string_append_printf (text,
                          "{\"host_id\":\"%s\",\"data_centre\":\"%s\",\"caller_listen\":\"%s\","
                          "\"admin_listen\":\"%s\",\"peer_listen\":\"%s\",\"platform\":[\"%s\"],"
                          "\"test_faults\":true,%s%s\"data_centres\":{",
                          host->id, host->data_centre, host->caller, host->admin, host->peer,
                          rig->platform, rig->options.settings != NULL ? rig->options.settings : "",
                          rig->options.settings != NULL ? "," : "");
  for (int32_t dc = 0; dc < rig->options.data_centres; dc++)
    print_data_centre (rig, dc, text);
  g_string_append (text, "}}\n");
  g_file_set_contents (host->settings_file, text->str, -1, NULL);
  g_string_free (text, TRUE);
}

bool
rig_start_host (rig_t *rig, rig_host_t *host)
{
  char *program = rig_program ("jaytraild");
  char *argv[] = { program, "--settings", host->settings_file, NULL };
  write_settings (rig, host);
  host->process = process_start (rig->dir, host->id, argv);
  g_free (program);
  return rig_expect (rig, host->process != NULL, "host %s does not start", host->id);
}

static bool
is_ready (void *data)
{
  const rig_host_t *host = data;
  return call_status (host->admin, "GET", "/readyz", NULL) == 200;
}

void
rig_wait_ready (rig_t *rig, rig_host_t *host)
{
  char *what = g_strdup_printf ("readiness of host %s", host->id);
  rig_until (rig, what, is_ready, host);
  g_free (what);
}

void
rig_await_stop (rig_t *rig, rig_host_t *host)
{
  if (host->process == NULL)
    return;
  int status = process_wait (host->process);
  rig_expect (rig, status == 0, "host %s ended with status %d after SIGTERM", host->id, status);
  process_free (host->process);
  host->process = NULL;
}

void
rig_stop_host (rig_t *rig, rig_host_t *host)
{
  if (host->process != NULL)
    process_signal (host->process, SIGTERM);
  rig_await_stop (rig, host);
}

void
rig_kill_host (rig_t *rig, rig_host_t *host)
{
  for (guint i = 0; i < rig->submissions->len; i++)
    {
      submission_t *submission = g_ptr_array_index (rig->submissions, i);
      if (submission->host == host)
        submission->may_break = true;
    }
  process_free (host->process);
  host->process = NULL;
}

void
rig_cut (rig_t *rig, rig_host_t *host, const char *data_centre, bool in, bool out)
{
  char *body = g_strdup_printf ("{\"data_centre\":\"%s\",\"in\":%s,\"out\":%s}", data_centre,
                                in ? "true" : "false", out ? "true" : "false");
  int32_t status = call_status (host->admin, "POST", "/v1/test/cut", body);
  rig_expect (rig, status == 200, "host %s did not take the cut: %d", host->id, status);
  g_free (body);
}

void
rig_cut_data_centres (rig_t *rig, int32_t a, int32_t b, bool cut)
{
  rig_host_t *host = NULL;
  for (int32_t n = 0; (host = rig_host (rig, a, n)) != NULL; n++)
    rig_cut (rig, host, data_centre_names[b], cut, cut);
  for (int32_t n = 0; (host = rig_host (rig, b, n)) != NULL; n++)
    rig_cut (rig, host, data_centre_names[a], cut, cut);
}

/* Publishing. */

static char *
write_list (rig_t *rig, const char *text)
{
  static gint number;
  if (text == NULL)
    return NULL;
  char *file = g_strdup_printf ("%s/list-%d.json", rig->dir, g_atomic_int_add (&number, 1));
  g_file_set_contents (file, text, -1, NULL);
  return file;
}

int
rig_publish (rig_t *rig, const char *plans, const char *limits, char **output)
{
  char *program = rig_program ("jaytrail");
  char *plans_file = write_list (rig, plans);
  char *limits_file = write_list (rig, limits);
  GPtrArray *argv = g_ptr_array_new ();
  char *words[] = { program, "publish", "--platform", rig->platform };
  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    g_ptr_array_add (argv, words[i]);
  if (plans_file != NULL)
    {
      g_ptr_array_add (argv, "--plans");
      g_ptr_array_add (argv, plans_file);
    }
  if (limits_file != NULL)
    {
      g_ptr_array_add (argv, "--limits");
      g_ptr_array_add (argv, limits_file);
    }
  g_ptr_array_add (argv, NULL);
  int status = process_run ((char *const *) argv->pdata, output);
  g_ptr_array_unref (argv);
  g_free (plans_file);
  g_free (limits_file);
  g_free (program);
  return status;
}

static void
publish_first (rig_t *rig)
{
  char *output = NULL;
  const char *limits = rig->options.limits != NULL ? rig->options.limits : DEFAULT_LIMITS;
  int status = rig_publish (rig, DEFAULT_PLANS, limits, &output);
  rig_expect (rig, status == 0, "publish ended with %d: %s", status, output);
  g_free (output);
}

/* The whole rig. */

static void
fill_defaults (rig_options_t *options)
{
  options->data_centres = options->data_centres != 0 ? options->data_centres : 1;
  options->hosts = options->hosts != 0 ? options->hosts : 3;
  options->endpoints = options->endpoints != 0 ? options->endpoints : 2;
  options->slots = options->slots != 0 ? options->slots : 8;
}

static void
start_hosts (rig_t *rig)
{
  for (guint i = 0; i < rig->hosts->len; i++)
    rig_start_host (rig, g_ptr_array_index (rig->hosts, i));
  for (guint i = 0; i < rig->hosts->len; i++)
    rig_wait_ready (rig, g_ptr_array_index (rig->hosts, i));
}

rig_t *
rig_new (const char *name, const rig_options_t *options)
{
  rig_t *rig = g_new0 (rig_t, 1);
  rig->options = *options;
  rig->name = name;
  rig->dir = g_dir_make_tmp ("jaytrail-system-XXXXXX", NULL);
  rig->hosts = g_ptr_array_new ();
  rig->endpoints = g_ptr_array_new ();
  rig->submissions = g_ptr_array_new ();
  rig->jobs = g_ptr_array_new ();
  rig->cancels = g_ptr_array_new ();
  fill_defaults (&rig->options);
  for (int32_t dc = 0; dc < rig->options.data_centres; dc++)
    for (int32_t n = 0; n < rig->options.endpoints; n++)
      start_endpoint (rig, dc, n);
  for (int32_t dc = 0; dc < rig->options.data_centres; dc++)
    for (int32_t n = 0; n < rig->options.hosts; n++)
      rig_add_host (rig, dc);
  if (!rig_start_platform (rig))
    return rig;
  publish_first (rig);
  if (!rig->options.no_hosts && rig->failures == 0)
    start_hosts (rig);
  return rig;
}

static void
print_log (const char *file)
{
  char *text = NULL;
  if (!g_file_get_contents (file, &text, NULL, NULL))
    return;
  char **lines = g_strsplit (g_strchomp (text), "\n", -1);
  guint count = g_strv_length (lines);
  printf ("\n    %s:", file);
  for (guint i = count > LOG_TAIL_LINES ? count - LOG_TAIL_LINES : 0; i < count; i++)
    printf ("\n      %s", lines[i]);
  g_strfreev (lines);
  g_free (text);
}

static void
print_logs (rig_t *rig)
{
  for (guint i = 0; i < rig->hosts->len; i++)
    {
      const rig_host_t *host = g_ptr_array_index (rig->hosts, i);
      char *file = g_strdup_printf ("%s/%s.log", rig->dir, host->id);
      print_log (file);
      g_free (file);
    }
  printf ("\n");
}

static void
remove_dir (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name = NULL;
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *file = g_build_filename (path, name, NULL);
      g_unlink (file);
      g_free (file);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (path);
}

static void
free_host (rig_host_t *host)
{
  process_free (host->process);
  g_free (host->id);
  g_free (host->data_centre);
  g_free (host->caller);
  g_free (host->admin);
  g_free (host->peer);
  g_free (host->settings_file);
  g_free (host);
}

static void
free_endpoint (rig_endpoint_t *endpoint)
{
  process_free (endpoint->process);
  g_free (endpoint->id);
  g_free (endpoint->data_centre);
  g_free (endpoint->address);
  g_free (endpoint->journal);
  g_free (endpoint);
}

static void
free_submission (submission_t *submission)
{
  call_free (submission->call);
  g_free (submission);
}

static void
free_cancel (cancel_t *cancel)
{
  call_free (cancel->call);
  g_free (cancel->key);
  g_free (cancel);
}

static void
free_all (GPtrArray *array, void (*free_item) (gpointer item))
{
  g_ptr_array_set_free_func (array, free_item);
  g_ptr_array_unref (array);
}

int32_t
rig_free (rig_t *rig)
{
  for (guint i = 0; i < rig->hosts->len; i++)
    {
      rig_host_t *host = g_ptr_array_index (rig->hosts, i);
      if (host->process != NULL)
        process_signal (host->process, SIGTERM);
    }
  for (guint i = 0; i < rig->hosts->len; i++)
    rig_await_stop (rig, g_ptr_array_index (rig->hosts, i));
  int32_t failures = rig->failures;
  if (failures > 0)
    print_logs (rig);
  free_all (rig->hosts, (void (*) (gpointer)) free_host);
  free_all (rig->submissions, (void (*) (gpointer)) free_submission);
  free_all (rig->cancels, (void (*) (gpointer)) free_cancel);
  free_all (rig->endpoints, (void (*) (gpointer)) free_endpoint);
  free_all (rig->jobs, (void (*) (gpointer)) job_free);
  process_free (rig->platform_process);
  if (g_getenv ("JAYTRAIL_KEEP") == NULL)
    remove_dir (rig->dir);
  g_free (rig->platform);
  g_free (rig->dir);
  g_free (rig);
  return failures;
}

/* Submissions. */

submission_t *
rig_submit (rig_t *rig, rig_host_t *host, job_t *job)
{
  submission_t *submission = g_new0 (submission_t, 1);
  char *headers = g_strdup_printf ("Idempotency-Key: %s\r\n", job->key);
  submission->job = job;
  submission->host = host;
  submission->call = call_start (host->caller, "POST", "/v1/jobs", headers, job_text (job));
  g_free (headers);
  g_ptr_array_add (rig->submissions, submission);
  if (!g_ptr_array_find (rig->jobs, job, NULL))
    g_ptr_array_add (rig->jobs, job);
  return submission;
}

bool
rig_expect_complete (rig_t *rig, submission_t *submission)
{
  const reply_t *reply = call_wait (submission->call);
  return rig_expect (rig, reply->error == 0 && reply->status == 200,
                     "%s at %s: no complete answer but error %d, status %d, %.300s; sent at "
                     "%" G_GINT64_FORMAT " ms, %d starts by now",
                     submission->job->key, submission->host->id, reply->error, reply->status,
                     reply->text != NULL ? reply->text : "", reply->begun_at_ms,
                     (int) check_count_starts (rig, submission->job->key));
}

void
rig_expect_kind (rig_t *rig, submission_t *submission, const char *kind, const char *run)
{
  const reply_t *reply = call_wait (submission->call);
  bool ok = reply->error == 0 && strcmp (reply_string (reply, "kind"), kind) == 0
            && (run == NULL || strcmp (reply_string (reply, "run"), run) == 0);
  rig_expect (rig, ok, "%s at %s: expected %s, %s, got error %d, status %d, %.300s",
              submission->job->key, submission->host->id, kind, run != NULL ? run : "any run",
              reply->error, reply->status, reply->text != NULL ? reply->text : "");
}

call_t *
rig_cancel (rig_t *rig, rig_host_t *host, const char *key)
{
  cancel_t *cancel = g_new0 (cancel_t, 1);
  char *path = g_strdup_printf ("/v1/jobs/%s", key);
  cancel->key = g_strdup (key);
  cancel->host = host;
  cancel->call = call_start (host->caller, "DELETE", path, NULL, NULL);
  g_free (path);
  g_ptr_array_add (rig->cancels, cancel);
  return cancel->call;
}

typedef struct
{
  rig_t *rig;
  const char *key;
  int32_t count;
} starts_wanted_t;

static bool
has_starts (void *data)
{
  const starts_wanted_t *wanted = data;
  return check_count_starts (wanted->rig, wanted->key) >= wanted->count;
}

bool
rig_wait_starts (rig_t *rig, const char *key, int32_t count)
{
  starts_wanted_t wanted = { rig, key, count };
  char *what = g_strdup_printf ("start %d of %s", count, key);
  bool seen = rig_until (rig, what, has_starts, &wanted);
  g_free (what);
  return seen;
}

/* What a host says about itself. */

int64_t
rig_metric (rig_host_t *host, const char *name, const char *labels)
{
  call_t *call = call_now (host->admin, "GET", "/metrics", NULL, NULL);
  const reply_t *reply = call_wait (call);
  int64_t sum = 0;
  char **lines = g_strsplit (reply->text != NULL ? reply->text : "", "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      gsize length = strcspn (*line, "{ ");
      const char *value = strrchr (*line, ' ');
      if (length == strlen (name) && strncmp (*line, name, length) == 0 && value != NULL
          && (labels == NULL || strstr (*line, labels) != NULL))
        sum += g_ascii_strtoll (value, NULL, 10);
    }
  g_strfreev (lines);
  call_free (call);
  return sum;
}

json_object *
rig_status (rig_host_t *host)
{
  call_t *call = call_now (host->admin, "GET", "/v1/status", NULL, NULL);
  json_object *status = json_object_get (call_wait (call)->json);
  call_free (call);
  return status;
}
