/* test_event.c -- the list of events: lines, budgets, a reader that stops reading, explanations */
#include "base/clock.h"
#include "base/event.h"
#include "tool/explain.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define READ_BYTES (1024 * 1024)

/* Each flush is late enough to be carried out. */
static void
flush (void)
{
  static int64_t at_ms;

  at_ms = MAX (at_ms, clock_boot_ms ()) + 1000;
  event_flush (at_ms);
}

/* Standard output is a pipe while lines are written. */
static int saved_output;
static int reader;

static void
capture (void)
{
  int ends[2];

  fflush (stdout);
  (void) !pipe (ends);
  saved_output = dup (STDOUT_FILENO);
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  reader = ends[0];
  fcntl (reader, F_SETFL, O_NONBLOCK);
}

static char *
release (void)
{
  GString *text = g_string_new (NULL);
  char piece[4096];
  ssize_t got = 0;

  flush ();
  while ((got = read (reader, piece, sizeof piece)) > 0)
    {
      g_string_append_len (text, piece, got);
      flush ();
    }
  dup2 (saved_output, STDOUT_FILENO);
  close (saved_output);
  close (reader);
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

/* Every event: its line is JSON with all fields of the table, and its sentence names only
 * fields that it has. */
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

/* The page of events has each with its fields.  Tests run in the root of the repository. */
static void
test_page (void)
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

/* Routine lines give way first; what was left out is told. */
static void
test_budget (void)
{
  int64_t before = event_dropped_count ();

  clock_sleep_ms (1100);
  capture ();
  for (int i = 0; i < 1000; i++)
    write_event (event_row (EVENT_JOB_TAKEN));
  write_event (event_row (EVENT_JOB_MISSED));
  write_event (event_row (EVENT_HOST_LOST));
  clock_sleep_ms (1100);
  char *text = release ();
  CU_ASSERT_TRUE (event_dropped_count () - before > 900);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "job_missed"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "host_lost"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "lines_left_out"));
  g_free (text);
}

/* A reader that does not read costs lines, never time. */
static void
test_blocked_reader (void)
{
  int64_t before = event_dropped_count ();
  int64_t most_ms = 0;

  capture ();
  for (int second = 0; second < 3; second++)
    {
      for (int i = 0; i < 700; i++)
        {
          int64_t from_ms = clock_boot_ms ();
          write_event (event_row (EVENT_HOST_LOST));
          flush ();
          most_ms = MAX (most_ms, clock_boot_ms () - from_ms);
        }
      clock_sleep_ms (1050);
    }
  CU_ASSERT_TRUE (most_ms < 100);
  CU_ASSERT_TRUE (event_dropped_count () > before);
  g_free (release ());
}

static const struct
{
  const char *name;
  const char *lines;
  const char *cause; /* how it begins */
  size_t own;
} stories[] = {
  { "nothing", "not a line\n{\"event\":\"started\",\"at\":\"2026-01-01T00:00:00.000Z\"}\n",
    "No line names this job.", 0 },
  { "hung",
    "{\"at\":\"2026-01-01T00:00:02.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":\"j\","
    "\"outcome\":\"given_up\",\"why\":\"its deadline has passed\"}\n"
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"b\",\"event\":\"task_hung\",\"task\":"
    "\"j.0.0.1\",\"endpoint\":\"e1\",\"percent\":0,\"elapsed_ms\":400}\n",
    "A task stood still where it ran.", 2 },
  { "host lost around it",
    "{\"at\":\"2026-01-01T00:00:00.500Z\",\"host_id\":\"a\",\"event\":\"batch_sent\",\"job\":\"j\","
    "\"host\":\"b\"}\n"
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"a\",\"event\":\"host_lost\",\"host\":\"b\","
    "\"why\":\"it is silent\"}\n"
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"x\",\"event\":\"host_lost\",\"host\":\"y\"}"
    "\n"
    "{\"at\":\"2026-01-01T00:00:02.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":"
    "\"j\"}\n",
    "A host that it met was lost.", 2 },
  { "refused for the backlog, while a host was lost",
    "{\"at\":\"2026-01-01T00:00:01.000Z\",\"host_id\":\"a\",\"event\":\"host_lost\",\"host\":"
    "\"b\"}\n"
    "{\"at\":\"2026-01-01T00:00:02.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":"
    "\"j\",\"limit\":\"capacity\",\"expected_wait_ms\":4100,\"report_age_ms\":120}\n",
    "The backlog was too long for the job when it came.", 1 },
  { "too long ago",
    "{\"at\":\"2026-01-01T00:00:00.000Z\",\"host_id\":\"a\",\"event\":\"host_lost\",\"host\":"
    "\"b\"}\n"
    "{\"at\":\"2026-01-01T00:00:09.000Z\",\"host_id\":\"a\",\"event\":\"job_missed\",\"job\":"
    "\"j\"}\n",
    "The job was answered late.", 1 },
};

static void
test_explain (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (stories); i++)
    {
      explain_t *explain = explain_new ("j");
      char **lines = g_strsplit (stories[i].lines, "\n", -1);
      for (char **line = lines; *line != NULL; line++)
        explain_line (explain, *line);
      CU_ASSERT_EQUAL (explain_finish (explain), stories[i].own);
      if (!g_str_has_prefix (explain_cause (explain), stories[i].cause))
        printf ("  %s: %s\n", stories[i].name, explain_cause (explain));
      CU_ASSERT_TRUE (g_str_has_prefix (explain_cause (explain), stories[i].cause));
      json_object *object = explain_json (explain);
      CU_ASSERT_PTR_NOT_NULL (object);
      json_object_put (object);
      g_strfreev (lines);
      explain_free (explain);
    }
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "every event of the table", test_table },
  { "the page of events", test_page },
  { "budgets", test_budget },
  { "a reader that stops reading", test_blocked_reader },
  { "explanations", test_explain },
};

int
main (void)
{
  event_setup ("h");
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("events", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
