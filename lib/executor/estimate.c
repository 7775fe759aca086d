/* estimate.c -- correction of callers' duration estimates by measured durations */
#include "executor/estimate.h"

#include <glib.h>
#include <math.h>

/* The sums are multiplied by this factor before each new task is added; the average covers about
 * 1,000 tasks. */
#define DECAY 0.999
/* With fewer tasks, estimates are not corrected. */
#define TASKS_MIN 24
/* With a lower variance of the log estimates, the slope of the regression is not reliable. */
#define VARIANCE_MIN 0.01

/* Exponentially weighted sums over the logarithms of estimates (x) and durations (y). */
typedef struct
{
  double count;
  double x;
  double y;
  double xx;
  double xy;
  uint32_t tasks;
} regression_t;

struct estimates_t
{
  GHashTable *regressions; /* "service/priority" -> regression_t */
};

static char *
regression_key (const char *service, int32_t priority)
{
  return g_strdup_printf ("%s/%d", service, (int) priority);
}

estimates_t *
estimates_new (void)
{
  estimates_t *estimates = g_new0 (estimates_t, 1);

  estimates->regressions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return estimates;
}

void
estimates_free (estimates_t *estimates)
{
  g_hash_table_unref (estimates->regressions);
  g_free (estimates);
}

void
estimates_add (estimates_t *estimates,
               const char *service,
               int32_t priority,
               int64_t estimate_ms,
               double work_ms)
{
  char *key = regression_key (service, priority);
  regression_t *regression = g_hash_table_lookup (estimates->regressions, key);

  if (regression == NULL)
    {
      regression = g_new0 (regression_t, 1);
      g_hash_table_insert (estimates->regressions, key, regression);
    }
  else
    g_free (key);
  double x = log (fmax ((double) estimate_ms, 1.0));
  double y = log (fmax (work_ms, 1.0));
  regression->count = regression->count * DECAY + 1;
  regression->x = regression->x * DECAY + x;
  regression->y = regression->y * DECAY + y;
  regression->xx = regression->xx * DECAY + x * x;
  regression->xy = regression->xy * DECAY + x * y;
  regression->tasks++;
}

int64_t
estimates_correct (const estimates_t *estimates,
                   const char *service,
                   int32_t priority,
                   int64_t estimate_ms)
{
  char *key = regression_key (service, priority);
  const regression_t *regression = g_hash_table_lookup (estimates->regressions, key);

  g_free (key);
  if (regression == NULL || regression->tasks < TASKS_MIN)
    return estimate_ms;
  double mean_x = regression->x / regression->count;
  double variance = regression->xx / regression->count - mean_x * mean_x;
  if (variance < VARIANCE_MIN)
    return estimate_ms;
  double slope =
      (regression->xy / regression->count - mean_x * regression->y / regression->count) / variance;
  double corrected_offset = CLAMP (slope, 0.0, 1.0) * (log ((double) estimate_ms) - mean_x);
  return MAX ((int64_t) exp (mean_x + corrected_offset), 1);
}
