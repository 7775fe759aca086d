/* test_event.c -- tests of the event log: format of lines, rate limits, a reader of standard output
 * that stops reading, and the causes that `jaytrail explain` names */
#include "base/clock.h"
#include "base/event.h"
#include "tests/unit_runner.h"
#include "tool/explain.h"

#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Tasks that run for one owner and whose callers leave at once. */
#define ORDER_WAVE 1200

/* Advances the time by 1 s at each call, so that the flush interval has always passed. */
static void
flush_now (void)
{
  static int64_t at_ms;

  at_ms = MAX (at_ms, clock_boot_ms ()) + 1000;
  event_flush (at_ms);
}

/* Between capture () and release (), standard output is a pipe. */
static int saved_output;
static int reader_fd;

static void
capture (void)
{
  int pipe_fds[2];

  fflush (stdout);
  (void) !pipe (pipe_fds);
  saved_output = dup (STDOUT_FILENO);
  dup2 (pipe_fds[1], STDOUT_FILENO);
  close (pipe_fds[1]);
  reader_fd = pipe_fds[0];
  fcntl (reader_fd, F_SETFL, O_NONBLOCK);
}

static char *
release (void)
{
  GString *text = g_string_new (NULL);
  char chunk[4096];
  ssize_t size = 0;

  flush_now ();
  while ((size = read (reader_fd, chunk, sizeof chunk)) > 0)
    {
      g_string_append_len (text, chunk, size);
      flush_now ();
    }
  dup2 (saved_output, STDOUT_FILENO);
  close (saved_output);
  close (reader_fd);
  return g_string_free (text, FALSE);
}

static void
write_event (const event_row_t *row)
{
  char **fields = g_strsplit (row->fields, " ", -1);

  if (event_begin (row->event))
    {
      for (char **field = fields; *field != NULL; field++)
        if (**field != '\0')
          event_add_text (*field, "a \"b\"\n\\");
      event_end ();
    }
  g_strfreev (fields);
}

/* For every event: the line is valid JSON with all fields of the table, special characters are
 * escaped, and the template refers only to fields of the event. */
static void
test_table (void)
{
  for (int i = 0; i <= EVENT_LAST; i++)
    {
      const event_row_t *row = event_row ((event_t) i);
      CU_ASSERT_PTR_EQUAL (event_from_name (row->name), row);
      capture ();
      write_event (row);
      char *text = release ();
      json_object *line = json_tokener_parse (text);
      CU_ASSERT_PTR_NOT_NULL (line);
      char **fields = g_strsplit (row->fields, " ", -1);
      for (char **field = fields; line != NULL && *field != NULL; field++)
        if (**field != '\0')
          {
            json_object *value = NULL;
            CU_ASSERT_TRUE (json_object_object_get_ex (line, *field, &value));
            CU_ASSERT_STRING_EQUAL (json_object_get_string (value), "a \"b\"\n\\");
          }
      for (const char *at = strchr (row->message_template, '{'); at != NULL;
           at = strchr (at + 1, '{'))
        {
          char *name = g_strndup (at + 1, strcspn (at + 1, "}"));
          CU_ASSERT_TRUE (strcmp (name, "host_id") == 0
                          || g_strv_contains ((const char *const *) fields, name));
          g_free (name);
        }
      g_strfreev (fields);
      json_object_put (line);
      g_free (text);
    }
}

/* docs/LOGS.md lists every event with its fields.  Tests run in the root of the repository. */
static void
test_documentation (void)
{
  char *page = NULL;

  CU_ASSERT_TRUE (g_file_get_contents ("docs/LOGS.md", &page, NULL, NULL));
  for (int i = 0; page != NULL && i <= EVENT_LAST; i++)
    {
      const event_row_t *row = event_row ((event_t) i);
      char *start = g_strdup_printf ("| `%s` |", row->name);
      const char *line = strstr (page, start);
      CU_ASSERT_PTR_NOT_NULL (line);
      char *text = line != NULL ? g_strndup (line, strcspn (line, "\n")) : g_strdup ("");
      char **fields = g_strsplit (row->fields, " ", -1);
      for (char **field = fields; *field != NULL; field++)
        if (**field != '\0')
          {
            char *quoted = g_strdup_printf ("`%s`", *field);
            CU_ASSERT_PTR_NOT_NULL (strstr (text, quoted));
            g_free (quoted);
          }
      g_strfreev (fields);
      g_free (text);
      g_free (start);
    }
  g_free (page);
}

/* Too many routine lines must not displace lines of the other classes, and dropped lines must be
 * reported. */
static void
test_rate_limits (void)
{
  int64_t dropped_before = event_dropped_count ();

  clock_sleep_ms (1100);
  capture ();
  for (int i = 0; i < 1000; i++)
    write_event (event_row (EVENT_JOB_TAKEN));
  write_event (event_row (EVENT_JOB_MISSED));
  write_event (event_row (EVENT_HOST_LOST));
  clock_sleep_ms (1100);
  char *text = release ();
  CU_ASSERT_TRUE (event_dropped_count () - dropped_before > 900);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "job_missed"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "host_lost"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "lines_left_out"));
  g_free (text);
}

/* Lines about orders have a limit of their own: no others displace them, nor they any others. */
static void
test_order_lines (void)
{
  static const struct
  {
    event_t many;
    event_t one;
  } order_cases[] = {
    { EVENT_ORDER_UNANSWERED, EVENT_STOP_ORDERED },
    { EVENT_LOG_LOST, EVENT_STOP_ORDERED },
    { EVENT_STOP_ORDERED, EVENT_ORDER_UNANSWERED },
    { EVENT_STOP_ORDERED, EVENT_TASK_STARTED },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (order_cases); i++)
    {
      const event_row_t *one = event_row (order_cases[i].one);
      int64_t dropped_before = event_dropped_count ();
      clock_sleep_ms (1100);
      capture ();
      for (int k = 0; k < 3000; k++)
        write_event (event_row (order_cases[i].many));
      write_event (one);
      clock_sleep_ms (1100);
      char *text = release ();
      CU_ASSERT_TRUE (event_dropped_count () > dropped_before);
      CU_ASSERT_PTR_NOT_NULL (strstr (text, one->name));
      g_free (text);
    }
}

/* A line about an order is written at once, and takes along what came before it; others wait. */
static void
test_order_line_written (void)
{
  static const struct
  {
    event_t event;
    bool is_written;
  } flush_cases[] = { { EVENT_STOP_ORDERED, true }, { EVENT_ORDER_UNANSWERED, false } };

  for (gsize i = 0; i < G_N_ELEMENTS (flush_cases); i++)
    {
      const event_row_t *row = event_row (flush_cases[i].event);
      char chunk[4096] = "";
      clock_sleep_ms (1100);
      capture ();
      write_event (event_row (EVENT_LOG_LOST));
      flush_now ();
      (void) !read (reader_fd, chunk, sizeof chunk - 1);
      memset (chunk, 0, sizeof chunk);
      write_event (row);
      event_flush (0);
      (void) !read (reader_fd, chunk, sizeof chunk - 1);
      CU_ASSERT_EQUAL (strstr (chunk, row->name) != NULL, flush_cases[i].is_written);
      g_free (release ());
    }
}

/* A host that is busy is read late, or is killed before it was read: as many orders to stop as an
 * owner gives at once wait for the reader, in whole lines, beside lines of other classes. */
static void
test_order_wave (void)
{
  int64_t dropped_before = 0;
  int orders = 0;
  int others = 0;

  clock_sleep_ms (1100);
  dropped_before = event_dropped_count ();
  capture ();
  for (int i = 0; i < ORDER_WAVE; i++)
    {
      write_event (event_row (EVENT_STOP_ORDERED));
      if (i % 4 == 0)
        write_event (event_row (EVENT_ORDER_UNANSWERED));
      if (i % 100 == 0)
        flush_now ();
    }
  char *text = release ();
  char **written = g_strsplit (g_strchomp (text), "\n", -1);
  for (char **line = written; *line != NULL; line++)
    {
      json_object *object = json_tokener_parse (*line);
      CU_ASSERT_PTR_NOT_NULL (object);
      orders += strstr (*line, event_row (EVENT_STOP_ORDERED)->name) != NULL;
      others += strstr (*line, event_row (EVENT_ORDER_UNANSWERED)->name) != NULL;
      json_object_put (object);
    }
  CU_ASSERT_EQUAL (orders, ORDER_WAVE);
  CU_ASSERT_EQUAL (others, ORDER_WAVE / 4);
  CU_ASSERT_EQUAL (event_dropped_count (), dropped_before);
  g_strfreev (written);
  g_free (text);
}

/* If standard output is not read, lines are dropped, but writing must not block. */
static void
test_blocked_reader (void)
{
  int64_t dropped_before = event_dropped_count ();
  int64_t max_elapsed_ms = 0;

  capture ();
  for (int second = 0; second < 3; second++)
    {
      for (int i = 0; i < 700; i++)
        {
          int64_t started_ms = clock_boot_ms ();
          write_event (event_row (EVENT_HOST_LOST));
          flush_now ();
          max_elapsed_ms = MAX (max_elapsed_ms, clock_boot_ms () - started_ms);
        }
      clock_sleep_ms (1050);
    }
  CU_ASSERT_TRUE (max_elapsed_ms < 100);
  CU_ASSERT_TRUE (event_dropped_count () > dropped_before);
  g_free (release ());
}

static const struct
{
  const char *name;
  const char *lines;
  const char *cause; /* expected prefix */
  size_t job_line_count;
} explain_cases[] = {
  { "no line of the job",
    "not a line\n{\"event\":\"started\",\"at\":\"2026-01-01T00:00:00.000Z\"}\n",
    "No line names this job.", 0 },
  { "task hung",
    "{\"at\":\"2026-01-01T00:00:02.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":\"j\","
    "\"outcome\":\"given_up\",\"why\":\"its deadline has passed\"}\n"
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"b\",\"event\":\"task_hung\",\"task\":"
    "\"j.0.0.1\",\"endpoint\":\"e1\",\"percent\":0,\"elapsed_ms\":400}\n",
    "A task stood still where it ran.", 2 },
  { "host lost while the job ran",
    "{\"at\":\"2026-01-01T00:00:00.500Z\",\"host_id\":\"a\",\"event\":\"batch_sent\",\"job\":\"j\","
    "\"host\":\"b\"}\n"
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"a\",\"event\":\"host_lost\",\"host\":\"b\","
    "\"why\":\"it is silent\"}\n"
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"x\",\"event\":\"host_lost\",\"host\":\"y\"}"
    "\n"
    "{\"at\":\"2026-01-01T00:00:02.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":"
    "\"j\"}\n",
    "A host that it met was lost.", 2 },
  { "refused for its backlog while a host was lost",
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"a\",\"event\":\"host_lost\",\"host\":"
    "\"b\"}\n"
    "{\"at\":\"2026-01-01T00:00:02.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":"
    "\"j\",\"limit\":\"capacity\",\"expected_wait_ms\":4100,\"report_age_ms\":120}\n",
    "The backlog was too long for the job when it came.", 1 },
  { "host lost too long before",
    "{\"at\":\"2026-01-01T00:00:00.000Z\",\"host_id\":\"a\",\"event\":\"host_lost\",\"host\":"
    "\"b\"}\n"
    "{\"at\":\"2026-01-01T00:00:09.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":"
    "\"j\"}\n",
    "The job was answered late.", 1 },
};

static void
test_explain (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (explain_cases); i++)
    {
      explain_t *explain = explain_new ("j");
      char **lines = g_strsplit (explain_cases[i].lines, "\n", -1);
      for (char **line = lines; *line != NULL; line++)
        explain_line (explain, *line);
      CU_ASSERT_EQUAL (explain_finish (explain), explain_cases[i].job_line_count);
      if (!g_str_has_prefix (explain_cause (explain), explain_cases[i].cause))
        printf ("  %s: %s\n", explain_cases[i].name, explain_cause (explain));
      CU_ASSERT_TRUE (g_str_has_prefix (explain_cause (explain), explain_cases[i].cause));
      json_object *object = explain_json (explain);
      CU_ASSERT_PTR_NOT_NULL (object);
      json_object_put (object);
      g_strfreev (lines);
      explain_free (explain);
    }
}

static const unit_test_t tests[] = {
  { "every event of the table", test_table },
  { "documentation of events", test_documentation },
  { "rate limits", test_rate_limits },
  { "lines about orders", test_order_lines },
  { "a line about an order is written at once", test_order_line_written },
  { "many orders at once, read late", test_order_wave },
  { "standard output that is not read", test_blocked_reader },
  { "causes named by explain", test_explain },
};

int
main (void)
{
  event_setup ("h");
  return unit_run ("events", tests, G_N_ELEMENTS (tests));
}
