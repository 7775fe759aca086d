/* test_slo.c -- lib/slo: counters, alerts, merging and rendering of reports */
#include "base/error.h"
#include "slo/counters_msg.h"
#include "slo/render.h"
#include "slo/report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#define START_MS INT64_C (1767268800000)
#define EVENTS 20000
#define HOUR_MS (60 * SLO_MINUTE_MS)

/* Classification of answers, and alerts. */

static const struct
{
  int error;
  bool late;
  slo_class_t expected;
} class_cases[] = {
  { 0, false, SLO_GOOD },
  { 0, true, SLO_LATE },
  { ERROR_TASK_FAILED, false, SLO_FAILED },
  { ERROR_CLAIMANT_LOST, true, SLO_FAILED },
  { ERROR_OVERLOADED, false, SLO_REFUSED },
  { ERROR_NOT_READY, false, SLO_REFUSED },
  { ERROR_PLAN_LIMIT, false, SLO_EXCLUDED },
  { ERROR_CANCELLED, false, SLO_EXCLUDED },
  { ERROR_BAD_REQUEST, false, SLO_EXCLUDED },
};

static void
test_classes (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (class_cases); i++)
    CU_ASSERT_EQUAL (slo_classify (class_cases[i].error, class_cases[i].late),
                     class_cases[i].expected);
}

/* The objective is 99%, so a burn rate of 1 is one bad task in a hundred. */
static const struct
{
  const char *name;
  slo_totals_t sums[SLO_WINDOWS];
  slo_alert_t expected;
  double budget_left;
} alert_cases[] = {
  { "no tasks", { { 0, 0 }, { 0, 0 }, { 0, 0 } }, SLO_ALERT_NONE, 1 },
  { "all good", { { 100, 0 }, { 1000, 0 }, { 6000, 0 } }, SLO_ALERT_NONE, 1 },
  { "within budget", { { 1000, 5 }, { 10000, 50 }, { 60000, 300 } }, SLO_ALERT_NONE, 0.5025 },
  { "fast burn", { { 80, 20 }, { 800, 200 }, { 6000, 200 } }, SLO_ALERT_FAST_BURN, -2.2258 },
  { "fast burn that has ended",
    { { 100, 0 }, { 800, 200 }, { 6000, 200 } },
    SLO_ALERT_SLOW_BURN,
    -2.2258 },
  { "short spike", { { 50, 50 }, { 10000, 50 }, { 60000, 50 } }, SLO_ALERT_NONE, 0.9167 },
  { "slow burn", { { 98, 2 }, { 980, 20 }, { 5880, 120 } }, SLO_ALERT_SLOW_BURN, -1 },
  { "slow burn that has ended", { { 100, 0 }, { 1000, 0 }, { 5880, 120 } }, SLO_ALERT_NONE, -1 },
  { "too few bad tasks for an alert", { { 0, 2 }, { 0, 2 }, { 0, 2 } }, SLO_ALERT_NONE, -99 },
};

static void
test_alerts (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (alert_cases); i++)
    {
      slo_alert_t alert = slo_evaluate_alert (alert_cases[i].sums, 990000);
      double left = slo_budget_left (&alert_cases[i].sums[SLO_WINDOW_6_HOURS], 990000);
      if (alert != alert_cases[i].expected)
        printf ("%s: %s\n", alert_cases[i].name, slo_alert_name (alert));
      CU_ASSERT_EQUAL (alert, alert_cases[i].expected);
      CU_ASSERT (fabs (left - alert_cases[i].budget_left) < 0.001);
    }
  const slo_totals_t one_bad = { 0, 1 };
  CU_ASSERT (isfinite (slo_burn_rate (&one_bad, 1000000)));
}

/* Counters, compared with a list of all events. */

typedef struct
{
  int64_t minute;
  int plan;
  int kind;
  int error;
  bool late;
  uint32_t tasks;
} event_t;

static const char *const plan_names[] = { "gold", "silver", "bronze" };
static const char *const kind_names[] = { "check", "draft" };
static const int error_codes[] = {
  0, 0, 0, 0, ERROR_TASK_FAILED, ERROR_OVERLOADED, ERROR_CANCELLED
};

typedef struct
{
  const GArray *events;
  int64_t since_minute;
  uint64_t tasks;
  uint64_t error_tasks;
  int mismatches;
} row_check_t;

static int
index_of (const char *const *names, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return (int) i;
  return -1;
}

static bool
matches (const event_t *event, const char *plan, const char *kind, int64_t minute)
{
  return event->minute == minute
         && event->plan == index_of (plan_names, G_N_ELEMENTS (plan_names), plan)
         && event->kind == index_of (kind_names, G_N_ELEMENTS (kind_names), kind);
}

static void
check_row (const slo_count_row_t *row, void *data)
{
  row_check_t *check = data;
  uint32_t counts[SLO_CLASSES] = { 0 };

  for (guint i = 0; i < check->events->len; i++)
    {
      const event_t *event = &g_array_index (check->events, event_t, i);
      if (matches (event, row->plan, row->kind, row->minute))
        counts[slo_classify (event->error, event->late)] += event->tasks;
    }
  check->mismatches +=
      memcmp (counts, row->counts, sizeof counts) != 0 || row->minute < check->since_minute;
  for (int c = 0; c < SLO_CLASSES; c++)
    check->tasks += row->counts[c];
}

static void
check_error (const slo_error_row_t *row, void *data)
{
  row_check_t *check = data;
  uint32_t count = 0;

  for (guint i = 0; i < check->events->len; i++)
    {
      const event_t *event = &g_array_index (check->events, event_t, i);
      if (event->error == row->error && matches (event, row->plan, row->kind, row->minute))
        count += event->tasks;
    }
  check->mismatches += count != row->count;
  check->error_tasks += row->count;
}

static void
check_all (const slo_source_t *source, const GArray *events, int64_t now_ms)
{
  row_check_t check = { .events = events,
                        .since_minute = now_ms / SLO_MINUTE_MS - SLO_RETENTION_MINUTES + 1 };
  slo_visitor_t visitor = { check_row, check_error, &check };
  uint64_t tasks = 0;
  uint64_t error_tasks = 0;

  slo_visit_counts (source, check.since_minute, &visitor);
  for (guint i = 0; i < events->len; i++)
    {
      const event_t *event = &g_array_index (events, event_t, i);
      if (event->minute < check.since_minute)
        continue;
      tasks += event->tasks;
      error_tasks += event->error != 0 ? event->tasks : 0;
    }
  CU_ASSERT_EQUAL (check.mismatches, 0);
  CU_ASSERT_EQUAL (check.tasks, tasks);
  CU_ASSERT_EQUAL (check.error_tasks, error_tasks);
}

static event_t
draw_event (GRand *random, int64_t now_ms)
{
  return (event_t){ .minute = now_ms / SLO_MINUTE_MS,
                    .plan = g_rand_int_range (random, 0, G_N_ELEMENTS (plan_names)),
                    .kind = g_rand_int_range (random, 0, G_N_ELEMENTS (kind_names)),
                    .error = error_codes[g_rand_int_range (random, 0, G_N_ELEMENTS (error_codes))],
                    .late = g_rand_int_range (random, 0, 10) == 0,
                    .tasks = (uint32_t) g_rand_int_range (random, 1, 510) };
}

/* State of the transfer of rows to a copy. */
typedef struct
{
  slo_source_t *copy;
  GRand *random;
  int64_t now_ms;
} transfer_t;

/* Sends each row once or twice, since repeated rows must not change the copy. */
static void
send_row (const slo_count_row_t *row, void *data)
{
  const transfer_t *transfer = data;

  for (int n = g_rand_int_range (transfer->random, 1, 3); n > 0; n--)
    slo_copy_update_counts (transfer->copy, row, transfer->now_ms);
}

static void
send_error (const slo_error_row_t *row, void *data)
{
  const transfer_t *transfer = data;

  for (int n = g_rand_int_range (transfer->random, 1, 3); n > 0; n--)
    slo_copy_update_error (transfer->copy, row, transfer->now_ms);
}

/* Counts answers over twelve hours and sends the changed minutes to a copy after
 * every fifth event.  At the end the source and the copy must both match the list. */
static void
test_counters (void)
{
  GRand *random = g_rand_new_with_seed (11);
  GArray *events = g_array_new (FALSE, FALSE, sizeof (event_t));
  slo_counters_t *counters = slo_counters_new ("a1", 1, START_MS);
  slo_counters_t *peer = slo_counters_new ("a2", 2, START_MS);
  slo_source_t *copy = slo_get_copy (peer, "a1", 1, START_MS, START_MS);
  int64_t now_ms = START_MS;
  int64_t sent = 0;

  printf ("seed 11, %d events ", EVENTS);
  for (int i = 0; i < EVENTS; i++)
    {
      now_ms += g_rand_int_range (random, 0, 2 * 12 * HOUR_MS / EVENTS);
      event_t event = draw_event (random, now_ms);
      slo_count_tasks (counters, plan_names[event.plan], kind_names[event.kind], event.error,
                       event.late, event.tasks, now_ms);
      g_array_append_val (events, event);
      if (i % 5 != 0 && i != EVENTS - 1)
        continue;
      transfer_t transfer = { copy, random, now_ms };
      slo_visitor_t visitor = { send_row, send_error, &transfer };
      slo_visit_counts (slo_local_source (counters), sent, &visitor);
      sent = now_ms / SLO_MINUTE_MS;
      slo_copy_advance (copy, now_ms);
      slo_prune (counters, now_ms);
      slo_prune (peer, now_ms);
    }
  /* Remove events past the retention period, since each check scans the whole list. */
  int64_t since_minute = now_ms / SLO_MINUTE_MS - SLO_RETENTION_MINUTES + 1;
  guint expired = 0;
  while (g_array_index (events, event_t, expired).minute < since_minute)
    expired++;
  g_array_remove_range (events, 0, expired);
  check_all (slo_local_source (counters), events, now_ms);
  check_all (copy, events, now_ms);
  CU_ASSERT_EQUAL (slo_source_info (copy).as_of_ms, now_ms);
  g_array_unref (events);
  slo_counters_free (counters);
  slo_counters_free (peer);
  g_rand_free (random);
}

/* Encoding and decoding of frames. */

typedef struct
{
  slo_counters_t *to;
  int frames;
  int truncated_accepted; /* truncated frames that were accepted */
} frame_check_t;

static int
read_frame (slo_counters_t *counters, const char *data, gsize size)
{
  frame_reader_t *reader = NULL;
  int result = frame_parse (data, size, &reader);

  if (result != 0)
    return result;
  result = slo_msg_read (counters, reader, START_MS);
  frame_reader_free (reader);
  return result;
}

static void
read_truncated (GBytes *frame, void *data)
{
  frame_check_t *check = data;
  gsize size = 0;
  const char *bytes = g_bytes_get_data (frame, &size);

  bytes += FRAME_LENGTH_BYTES;
  size -= FRAME_LENGTH_BYTES;
  for (gsize cut = 0; cut < size; cut += MAX (size / 200, 1))
    check->truncated_accepted += read_frame (check->to, bytes, cut) == 0;
  CU_ASSERT_EQUAL (read_frame (check->to, bytes, size), 0);
  check->frames++;
  g_bytes_unref (frame);
}

/* Sends more rows than fit into one frame.  Every frame is also read truncated at
 * many lengths, and must then be rejected. */
static void
test_frames (void)
{
  slo_counters_t *from = slo_counters_new ("a1", 1, START_MS - 10 * HOUR_MS);
  slo_counters_t *to = slo_counters_new ("a2", 2, START_MS);
  frame_check_t check = { .to = to };
  json_object *sent = json_object_new_object ();
  json_object *got = json_object_new_object ();

  for (int64_t minute = 300; minute >= 0; minute--)
    for (int kind = 0; kind < 10; kind++)
      {
        char name[8];
        g_snprintf (name, sizeof name, "k%d", kind);
        slo_count_tasks (from, "gold", name, kind == 3 ? ERROR_TASK_FAILED : 0, kind == 4, 7,
                         START_MS - minute * SLO_MINUTE_MS);
      }
  slo_msg_write (slo_local_source (from), 0, START_MS, read_truncated, &check);
  CU_ASSERT_EQUAL (check.frames, 2);
  CU_ASSERT_EQUAL (check.truncated_accepted, 0);
  slo_report (from, START_MS, sent);
  slo_report (to, START_MS, got);
  json_object *own = json_object_array_get_idx (json_object_object_get (sent, "sources"), 0);
  json_object *copy = json_object_array_get_idx (json_object_object_get (got, "sources"), 1);
  CU_ASSERT_STRING_EQUAL (json_object_to_json_string (json_object_object_get (own, "series")),
                          json_object_to_json_string (json_object_object_get (copy, "series")));
  /* A host rejects counters that claim to be from itself. */
  frame_writer_t *writer = frame_begin (FRAME_SLO_COUNTS);
  frame_put_string (writer, "a1");
  frame_put_uint (writer, 1);
  frame_put_int (writer, 0);
  frame_put_int (writer, START_MS);
  GBytes *frame = frame_finish (writer);
  gsize size = 0;
  const char *bytes = g_bytes_get_data (frame, &size);
  CU_ASSERT_EQUAL (read_frame (from, bytes + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES),
                   ERROR_FULL);
  g_bytes_unref (frame);
  json_object_put (sent);
  json_object_put (got);
  slo_counters_free (from);
  slo_counters_free (to);
}

/* Limits on the number of series and sources, and on the age of rows. */

static void
test_bounds (void)
{
  slo_counters_t *counters = slo_counters_new ("a1", 1, START_MS);
  json_object *report = json_object_new_object ();
  slo_count_row_t future_row = { "gold", "check", START_MS / SLO_MINUTE_MS + 100, { 1 } };
  slo_count_row_t old_row = { "gold", "check", START_MS / SLO_MINUTE_MS - 400, { 1 } };

  for (int i = 0; i < 3000; i++)
    {
      char kind[16];
      g_snprintf (kind, sizeof kind, "k%d", i);
      slo_count_tasks (counters, "gold", kind, 0, false, 1, START_MS);
    }
  slo_report (counters, START_MS, report);
  json_object *sources = json_object_object_get (report, "sources");
  json_object *series = json_object_object_get (json_object_array_get_idx (sources, 0), "series");
  CU_ASSERT (json_object_array_length (series) <= SLO_SERIES_MAX + 1);
  json_object_put (report);
  CU_ASSERT_PTR_NULL (slo_get_copy (counters, "a1", 1, START_MS, START_MS));
  for (uint64_t i = 2; i < 100; i++)
    {
      slo_source_t *copy = slo_get_copy (counters, "a2", i, START_MS, START_MS);
      CU_ASSERT_EQUAL (copy != NULL, i <= SLO_SOURCES_MAX);
      if (copy == NULL)
        continue;
      slo_copy_update_counts (copy, &future_row, START_MS);
      slo_copy_update_counts (copy, &old_row, START_MS);
    }
  /* Copies past the retention period are removed to make room for new ones. */
  CU_ASSERT_PTR_NOT_NULL (slo_get_copy (counters, "a3", 1, START_MS, START_MS + 7 * HOUR_MS));
  slo_counters_free (counters);
}

/* Merging of reports. */

/* Returns the report that HOST, with the peer PEER or none, makes from the counters. */
static json_object *
report_of (slo_counters_t *counters, const char *host, int64_t now_ms, const char *peer)
{
  json_object *report = json_object_new_object ();
  json_object *plans =
      json_tokener_parse ("{\"gold\": {\"target_ms\": 500, \"objective_ppm\": 990000}}");
  json_object *peers = json_object_new_array ();

  if (peer != NULL)
    json_object_array_add (peers, json_object_new_string (peer));
  json_object_object_add (report, "host", json_object_new_string (host));
  json_object_object_add (report, "revision", json_object_new_int64 (1));
  json_object_object_add (report, "plans", plans);
  json_object_object_add (report, "peers", peers);
  slo_report (counters, now_ms, report);
  return report;
}

static void
copy_row (const slo_count_row_t *row, void *data)
{
  slo_copy_update_counts (data, row, START_MS);
}

static void
copy_source (slo_counters_t *from,
             slo_counters_t *to,
             const char *host,
             uint64_t incarnation,
             int64_t from_ms)
{
  slo_source_t *copy = slo_get_copy (to, host, incarnation, from_ms, START_MS);
  slo_visitor_t visitor = { copy_row, NULL, copy };

  slo_visit_counts (slo_local_source (from), 0, &visitor);
  slo_copy_advance (copy, START_MS - SLO_MINUTE_MS);
}

static void
add_report (slo_merge_t *merge, slo_counters_t *counters, const char *host, const char *peer)
{
  json_object *report = report_of (counters, host, START_MS, peer);

  CU_ASSERT_EQUAL (slo_merge_add (merge, host, report), 0);
  json_object_put (report);
}

static bool
has_gap (const slo_merge_t *merge, const char *text)
{
  const GPtrArray *unknowns = slo_merge_gaps (merge);

  for (guint i = 0; i < unknowns->len; i++)
    if (strstr (g_ptr_array_index (unknowns, i), text) != NULL)
      return true;
  return false;
}

/* Host a1 was restarted.  Its first process is known only from a copy on a2, its
 * second one from its own report.  The copy of the second process on a2 is outdated
 * and must not be counted as well. */
static void
test_merge (void)
{
  int64_t long_ago_ms = START_MS - 10 * HOUR_MS;
  slo_counters_t *first = slo_counters_new ("a1", 1, long_ago_ms);
  slo_counters_t *second = slo_counters_new ("a1", 2, START_MS - HOUR_MS);
  slo_counters_t *other = slo_counters_new ("a2", 3, long_ago_ms);
  slo_merge_t *merge = slo_merge_new ();

  slo_count_tasks (first, "gold", "check", 0, false, 100, START_MS - 2 * HOUR_MS);
  slo_count_tasks (second, "gold", "check", 0, false, 10, START_MS - SLO_MINUTE_MS);
  copy_source (first, other, "a1", 1, long_ago_ms);
  copy_source (second, other, "a1", 2, START_MS - HOUR_MS);
  slo_count_tasks (second, "gold", "draft", ERROR_TASK_FAILED, false, 5, START_MS);
  slo_count_tasks (other, "gold", "check", 0, true, 7, START_MS);
  slo_count_tasks (other, "gold", "check", ERROR_PLAN_LIMIT, false, 1000, START_MS);
  add_report (merge, second, "a1", "a2");
  add_report (merge, other, "a2", "a3");
  slo_merge_add_unreachable (merge, "127.0.0.1:9", "timeout");
  slo_merge_finish (merge, START_MS);
  CU_ASSERT_EQUAL_FATAL (slo_merge_plans (merge)->len, 1);
  const slo_merge_plan_t *plan = g_ptr_array_index (slo_merge_plans (merge), 0);
  CU_ASSERT_EQUAL (plan->totals[SLO_WINDOW_6_HOURS].good_tasks, 110);
  CU_ASSERT_EQUAL (plan->totals[SLO_WINDOW_6_HOURS].bad_tasks, 12);
  CU_ASSERT_EQUAL (plan->totals[SLO_WINDOW_5_MIN].good_tasks, 10);
  CU_ASSERT_EQUAL (plan->totals[SLO_WINDOW_5_MIN].bad_tasks, 12);
  CU_ASSERT_EQUAL (plan->alert, SLO_ALERT_FAST_BURN);
  CU_ASSERT_EQUAL (plan->target_ms, 500);
  CU_ASSERT_EQUAL (plan->bad_tasks[SLO_MERGE_POINTS - 1], 12);
  char *cause = slo_render_cause (plan);
  CU_ASSERT_STRING_EQUAL (cause, "7 late, most of them check");
  g_free (cause);
  CU_ASSERT (has_gap (merge, "127.0.0.1:9 did not answer"));
  CU_ASSERT (has_gap (merge, "a3, a peer"));
  CU_ASSERT_FALSE (has_gap (merge, "a2, a peer"));
  CU_ASSERT_FALSE (has_gap (merge, "No counts are available from a1"));
  slo_merge_free (merge);
  slo_counters_free (first);
  slo_counters_free (second);
  slo_counters_free (other);
}

/* Only a2 answers, and it has no counts of a1 from before the last restart of a1. */
static void
test_merge_gaps (void)
{
  slo_counters_t *earlier = slo_counters_new ("a1", 1, START_MS - HOUR_MS);
  slo_counters_t *other = slo_counters_new ("a2", 2, START_MS - 10 * HOUR_MS);
  slo_merge_t *merge = slo_merge_new ();

  slo_count_tasks (earlier, "gold", "check", 0, false, 10, START_MS - 5 * SLO_MINUTE_MS);
  copy_source (earlier, other, "a1", 1, START_MS - HOUR_MS);
  add_report (merge, other, "a2", NULL);
  slo_merge_finish (merge, START_MS);
  CU_ASSERT (has_gap (merge, "a1 is known only from copies; its counts of the last 60 s"));
  CU_ASSERT (has_gap (merge, "No counts are available from a1 before"));
  CU_ASSERT_FALSE (has_gap (merge, "from a2"));
  CU_ASSERT_EQUAL (slo_merge_worst_alert (merge), SLO_ALERT_NONE);
  slo_merge_free (merge);
  slo_counters_free (earlier);
  slo_counters_free (other);
}

static const char *const invalid_reports[] = {
  "{}",
  "[]",
  "3",
  "{\"host\": \"a1\"}",
  "{\"host\": 3, \"sources\": []}",
  "{\"host\": \"a1\", \"sources\": 3}",
};

/* Invalid reports are rejected; a valid report may contain members of wrong types. */
static void
test_merge_invalid (void)
{
  static const char wrong_types[] =
      "{\"host\": \"a1\", \"plans\": {\"x\": 3}, \"peers\": [null, 4], \"sources\": [null, 3, {}, "
      "{\"host\": \"a1\", \"incarnation\": \"1\", \"series\": [null, 7, {\"plan\": \"gold\"}, "
      "{\"plan\": \"gold\", \"kind\": \"check\", \"windows\": [], \"errors\": {\"x\": \"y\"}, "
      "\"points\": [null, [1], [1, 2, 3], [99999999999, 2, 3]]}]}]}";
  slo_merge_t *merge = slo_merge_new ();

  for (gsize i = 0; i < G_N_ELEMENTS (invalid_reports); i++)
    {
      json_object *report = json_tokener_parse (invalid_reports[i]);
      CU_ASSERT_EQUAL (slo_merge_add (merge, "x", report), ERROR_PROTOCOL);
      json_object_put (report);
    }
  json_object *report = json_tokener_parse (wrong_types);
  CU_ASSERT_PTR_NOT_NULL_FATAL (report);
  CU_ASSERT_EQUAL (slo_merge_add (merge, "y", report), 0);
  json_object_put (report);
  slo_merge_finish (merge, START_MS);
  slo_merge_free (merge);
}

/* Names from callers must be escaped in HTML. */
static void
test_render (void)
{
  slo_counters_t *counters = slo_counters_new ("a1", 1, START_MS - 10 * HOUR_MS);
  slo_merge_t *merge = slo_merge_new ();
  GString *html = g_string_new (NULL);
  GString *text = g_string_new (NULL);

  slo_count_tasks (counters, "<script>", "\"&<b>", ERROR_TASK_FAILED, false, 50, START_MS);
  slo_count_tasks (counters, "gold", "check", 0, false, 50, START_MS);
  add_report (merge, counters, "a1", "<i>");
  slo_merge_finish (merge, START_MS);
  slo_render_html (merge, html);
  slo_render_text (merge, text);
  json_object *json = slo_render_json (merge);
  CU_ASSERT_PTR_NULL (strstr (html->str, "<script>"));
  CU_ASSERT_PTR_NULL (strstr (html->str, "<b>"));
  CU_ASSERT_PTR_NULL (strstr (html->str, "<i>"));
  CU_ASSERT_PTR_NOT_NULL (strstr (html->str, "<svg "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "fast burn"));
  /* An exceeded budget is printed as 0%, not as a negative percentage. */
  CU_ASSERT_PTR_NULL (strstr (text->str, "-"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, " 0.0%"));
  CU_ASSERT_STRING_EQUAL (json_object_get_string (json_object_object_get (json, "state")),
                          "fast burn");
  json_object_put (json);
  g_string_free (html, TRUE);
  g_string_free (text, TRUE);
  slo_merge_free (merge);
  slo_counters_free (counters);
}

static const unit_test_t tests[] = {
  { "classes", test_classes },
  { "alerts", test_alerts },
  { "counters compared with a list", test_counters },
  { "frames", test_frames },
  { "bounds", test_bounds },
  { "merge", test_merge },
  { "merge with gaps", test_merge_gaps },
  { "invalid reports", test_merge_invalid },
  { "rendering", test_render },
};

int
main (void)
{
  return unit_run ("slo", tests, G_N_ELEMENTS (tests));
}
