/* dispatch_metrics.c -- metrics of the dispatch part
 *
 * The values of labels come from callers, so the number of label sets is limited:
 * after LABEL_SETS_MAX sets, new ones are counted under the label "other".
 */
#include "daemon/dispatch_metrics.h"

#include "base/counter.h"
#include "base/error.h"

#define LABEL_SETS_MAX 512
#define US_PER_MS 1000

static const char *const outcome_labels[] = {
  [DISPATCH_DONE] = "done",
  [DISPATCH_FAILED] = "failed",
  [DISPATCH_TIMEOUT] = "timeout",
  [DISPATCH_CONNECTION_LOST] = "cut",
  [DISPATCH_NOT_STARTED] = "not_started",
  [DISPATCH_ABANDONED] = "abandoned",
};

/* Upper bounds of the buckets of the task duration histogram. */
static const int32_t bucket_bounds_ms[] = { 5,   10,   25,   50,   100,   250,
                                            500, 1000, 2500, 5000, 10000, 30000 };

static char *
escape_label (const char *label)
{
  char *copy = g_strdup (label);

  return g_strdelimit (copy, "\"\\\n", '_');
}

/* Returns the counter NAME with LABELS, or the one with the labels FALLBACK if LABELS is
 * new and there are LABEL_SETS_MAX sets already.  Frees LABELS. */
static counter_t *
get_bounded_counter (const char *name, char *labels, const char *fallback)
{
  static GHashTable *known;
  char *full = g_strdup_printf ("%s{%s}", name, labels);

  if (known == NULL)
    known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  counter_t *counter = g_hash_table_lookup (known, full);
  if (counter == NULL && g_hash_table_size (known) >= LABEL_SETS_MAX)
    counter = counter_get (name, fallback);
  else if (counter == NULL)
    {
      counter = counter_get (name, labels);
      g_hash_table_insert (known, g_strdup (full), counter);
    }
  g_free (labels);
  g_free (full);
  return counter;
}

static void
count_task (const char *plan, const char *kind, const char *outcome)
{
  char *escaped_plan = escape_label (plan);
  char *escaped_kind = escape_label (kind);
  char *labels = g_strdup_printf ("plan=\"%s\",kind=\"%s\",outcome=\"%s\"", escaped_plan,
                                  escaped_kind, outcome);
  char *other = g_strdup_printf ("plan=\"other\",kind=\"other\",outcome=\"%s\"", outcome);

  counter_add (get_bounded_counter ("jaytrail_tasks_total", labels, other), 1);
  g_free (other);
  g_free (escaped_kind);
  g_free (escaped_plan);
}

static void
observe_duration (int64_t elapsed_us)
{
  static counter_t *buckets[G_N_ELEMENTS (bucket_bounds_ms)];
  static counter_t *count;
  static counter_t *sum;

  if (count == NULL)
    {
      for (gsize i = 0; i < G_N_ELEMENTS (bucket_bounds_ms); i++)
        {
          char *label = g_strdup_printf ("le=\"%d\"", bucket_bounds_ms[i]);
          buckets[i] = counter_get ("jaytrail_task_ms_bucket", label);
          g_free (label);
        }
      count = counter_get ("jaytrail_task_ms_count", NULL);
      sum = counter_get ("jaytrail_task_ms_sum", NULL);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (bucket_bounds_ms); i++)
    if (elapsed_us <= (int64_t) bucket_bounds_ms[i] * US_PER_MS)
      counter_add (buckets[i], 1);
  counter_add (count, 1);
  counter_add (sum, elapsed_us / US_PER_MS);
}

void
dispatch_metrics_task_ended (const char *plan,
                             const char *kind,
                             dispatch_outcome_t outcome,
                             int64_t elapsed_us)
{
  count_task (plan, kind, outcome_labels[outcome]);
  if (outcome == DISPATCH_DONE)
    observe_duration (elapsed_us);
}

void
dispatch_metrics_task_given_up (const char *plan, const char *kind)
{
  count_task (plan, kind, "given_up");
}

void
dispatch_metrics_job_refused (const char *plan, int error)
{
  char *escaped_plan = escape_label (plan);
  char *labels = g_strdup_printf ("plan=\"%s\",error=\"%s\"", escaped_plan, error_name (error));

  counter_add (get_bounded_counter ("jaytrail_refused_jobs_total", labels, "plan=\"other\""), 1);
  g_free (escaped_plan);
}

static void
set_plan_gauges (const dispatch_plan_state_t *state, void *data)
{
  (void) data;
  char *escaped_plan = escape_label (state->plan);

  counter_set (get_bounded_counter ("jaytrail_queue_depth",
                                    g_strdup_printf ("plan=\"%s\"", escaped_plan),
                                    "plan=\"other\""),
               state->queued);
  counter_set (get_bounded_counter ("jaytrail_running",
                                    g_strdup_printf ("plan=\"%s\"", escaped_plan),
                                    "plan=\"other\""),
               state->running);
  g_free (escaped_plan);
}

void
dispatch_metrics_set_gauges (dispatch_t *dispatch)
{
  dispatch_totals_t totals = dispatch_totals (dispatch);

  counter_set (counter_get ("jaytrail_endpoints", NULL), totals.endpoints);
  counter_set (counter_get ("jaytrail_ejected", NULL), totals.ejected);
  dispatch_each_plan (dispatch, set_plan_gauges, NULL);
}
