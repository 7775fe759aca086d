/* site_metrics.c -- counters, gauges and latency histograms in the text format of Prometheus
 *
 * Histograms have fixed bounds; their buckets become cumulative when they are printed.  Counters on
 * the path of a task are looked up by name once and then kept.
 */
#include "base/counter.h"
#include "daemon/site_private.h"

static const int64_t bounds_ms[] = { 1, 3, 10, 30, 100, 200, 300, 500, 800, 1200, 1600, 3000 };
#define BOUND_COUNT G_N_ELEMENTS (bounds_ms)

typedef struct
{
  const char *name;
  const char *description;
  int64_t counts[BOUND_COUNT + 1]; /* the last one: values above all bounds */
  int64_t sum_ms;
} histogram_t;

static histogram_t answer_times = { "jaytrail_answer_ms",
                                    "From a request to its answer",
                                    { 0 },
                                    0 };
static histogram_t run_times = { "jaytrail_run_ms",
                                 "From a start order to the end of the run",
                                 { 0 },
                                 0 };
static histogram_t wait_times = { "jaytrail_wait_ms",
                                  "From the queue to the start order",
                                  { 0 },
                                  0 };

static void
histogram_add (histogram_t *histogram, int64_t value_ms)
{
  gsize bucket = 0;

  while (bucket < BOUND_COUNT && value_ms > bounds_ms[bucket])
    bucket++;
  histogram->counts[bucket]++;
  histogram->sum_ms += value_ms;
}

static void
histogram_print (const histogram_t *histogram, GString *text)
{
  int64_t count = 0;

  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
                          histogram->description, histogram->name);
  for (gsize i = 0; i < BOUND_COUNT; i++)
    {
      count += histogram->counts[i];
      g_string_append_printf (text, "%s_bucket{le=\"%" G_GINT64_FORMAT "\"} %" G_GINT64_FORMAT "\n",
                              histogram->name, bounds_ms[i], count);
    }
  count += histogram->counts[BOUND_COUNT];
  g_string_append_printf (text,
                          "%s_bucket{le=\"+Inf\"} %" G_GINT64_FORMAT "\n%s_sum %" G_GINT64_FORMAT
                          "\n%s_count %" G_GINT64_FORMAT "\n",
                          histogram->name, count, histogram->name, histogram->sum_ms,
                          histogram->name, count);
}

static counter_t *
labelled_counter (const char *name, const char *label, const char *value)
{
  char *labels = g_strdup_printf ("%s=\"%s\"", label, value);
  counter_t *counter = counter_get (name, labels);

  g_free (labels);
  return counter;
}

static counter_t *
job_counter (const char *outcome, const char *size)
{
  char *labels = g_strdup_printf ("outcome=\"%s\",size=\"%s\"", outcome, size);
  counter_t *counter = counter_get ("jaytrail_jobs_total", labels);

  g_free (labels);
  return counter;
}

static void
count_limit (scheduler_limit_t limit)
{
  static counter_t *counters[SCHEDULER_LIMIT_LAST + 1];

  if (limit == SCHEDULER_LIMIT_NONE)
    return;
  if (counters[limit] == NULL)
    counters[limit] = labelled_counter ("jaytrail_jobs_limited_total", "limit", limit_names[limit]);
  counter_add (counters[limit], 1);
}

/* Counts a job by its queue.  Queue names come from the configuration, so there are few label
 * values.
 */
static void
count_queue (const scheduler_action_t *answer)
{
  char *queue = g_strdup_printf ("queue=\"%s\"", answer->queue);

  if (answer->limit == SCHEDULER_LIMIT_CAPACITY)
    counter_add (counter_get ("jaytrail_queue_rejected_total", queue), 1);
  else
    counter_add (counter_get ("jaytrail_queue_admitted_total", queue), 1);
  if (answer->outcome == SCHEDULER_REFUSED)
    {
      char *labels = g_strdup_printf ("%s,limit=\"%s\"", queue, limit_names[answer->limit]);
      counter_add (counter_get ("jaytrail_queue_refused_total", labels), 1);
      g_free (labels);
    }
  if (answer->report_age_ms >= 0)
    {
      counter_set (counter_get ("jaytrail_queue_expected_wait_ms", queue),
                   answer->expected_wait_ms);
      counter_set (counter_get ("jaytrail_queue_report_age_ms", queue), answer->report_age_ms);
    }
  g_free (queue);
}

void
metrics_count_job (const scheduler_action_t *answer)
{
  static counter_t *counters[SCHEDULER_CANCELLED + 1][SCHEDULER_SIZE_LARGEST + 1];
  static counter_t *late;

  if (late == NULL)
    {
      late = counter_get ("jaytrail_jobs_late_total", NULL);
      for (int outcome = 0; outcome <= SCHEDULER_CANCELLED; outcome++)
        for (int size = 0; size <= SCHEDULER_SIZE_LARGEST; size++)
          counters[outcome][size] = job_counter (outcome_names[outcome], size_names[size]);
    }
  counter_add (counters[answer->outcome][answer->size_class], 1);
  if (answer->outcome == SCHEDULER_COMPLETE && answer->late_by_ms > 0)
    counter_add (late, 1);
  count_limit (answer->limit);
  count_queue (answer);
  histogram_add (&answer_times, answer->elapsed_ms);
}

void
metrics_count_task_event (event_t event, int64_t elapsed_ms)
{
  static counter_t *counters[EVENT_LAST + 1];

  if (counters[event] == NULL)
    counters[event] = labelled_counter ("jaytrail_events_total", "event", event_row (event)->name);
  counter_add (counters[event], 1);
  if (event == EVENT_TASK_DONE)
    histogram_add (&run_times, elapsed_ms);
}

void
metrics_count_start (int64_t waited_ms, bool doubtful)
{
  static counter_t *starts;
  static counter_t *doubtful_starts;

  if (starts == NULL)
    {
      starts = counter_get ("jaytrail_starts_total", NULL);
      doubtful_starts = counter_get ("jaytrail_starts_doubtful_total", NULL);
    }
  counter_add (starts, 1);
  if (doubtful)
    counter_add (doubtful_starts, 1);
  histogram_add (&wait_times, waited_ms);
}

static void
set_gauge (const char *name, int64_t value)
{
  counter_set (counter_get (name, NULL), value);
}

void
metrics_update_gauges (site_t *site, int64_t now_ms)
{
  executor_totals_t sum = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      executor_totals_t totals = executor_totals (((owned_shard_t *) value)->executor, now_ms);
      sum.endpoints += totals.endpoints;
      sum.endpoints_ready += totals.endpoints_ready;
      sum.running += totals.running;
      sum.waiting += totals.waiting;
    }
  set_gauge ("jaytrail_endpoints_known", g_hash_table_size (site->directory));
  set_gauge ("jaytrail_endpoints_owned", sum.endpoints);
  set_gauge ("jaytrail_endpoints_usable", sum.endpoints_ready);
  set_gauge ("jaytrail_tasks_running", sum.running);
  set_gauge ("jaytrail_tasks_waiting", sum.waiting);
  set_gauge ("jaytrail_shards_owned", g_hash_table_size (site->owned_shards));
  drain_update_metrics (site);
  traffic_update_metrics (site);
  client_limits_update_metrics (site);
  set_gauge ("jaytrail_jobs_open", scheduler_job_count (site->scheduler));
  set_gauge ("jaytrail_hosts_heard", cluster_alive_hosts (site->cluster));
  set_gauge ("jaytrail_configuration_version", site->queues != NULL ? site->queues->version : 0);
  set_gauge ("jaytrail_log_reachable", site->store_reachable);
  set_gauge ("jaytrail_lines_written_total", event_written_count ());
  set_gauge ("jaytrail_lines_left_out_total", event_dropped_count ());
}

char *
metrics_text (void)
{
  GString *text = g_string_new (NULL);

  counter_print (text);
  histogram_print (&answer_times, text);
  histogram_print (&run_times, text);
  histogram_print (&wait_times, text);
  return g_string_free (text, FALSE);
}
