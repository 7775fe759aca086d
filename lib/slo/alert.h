/* alert.h -- burn rates and alerts over three windows
 *
 * An objective of 999000 ppm leaves an error budget of one task in a thousand.
 * The burn rate is the fraction of bad tasks divided by that budget: at a rate of
 * 1 the budget is exactly used up.  The fast-burn alert requires a high rate over
 * both the 5-minute and the 1-hour window, so that neither a short spike nor an
 * incident that is over raises it.  The slow-burn alert requires a rate above 1
 * over both the 1-hour and the 6-hour window.
 *
 * Functions have no side effects and may be called from any thread.
 */
#ifndef SLO_ALERT_H
#define SLO_ALERT_H

#include <stdint.h>

typedef enum
{
  SLO_WINDOW_5_MIN,
  SLO_WINDOW_1_HOUR,
  SLO_WINDOW_6_HOURS,
  SLO_WINDOWS
} slo_window_t;

/* Return the length of a window and its name in reports. */
int64_t slo_window_minutes (slo_window_t window);
const char *slo_window_name (slo_window_t window);

/* At this rate a 30-day error budget is used up in two days. */
#define SLO_FAST_BURN_RATE 14.4
#define SLO_SLOW_BURN_RATE 1.0
/* An alert requires at least this many bad tasks in the shorter of its windows, so
 * that single failures at low traffic raise none. */
#define SLO_ALERT_MIN_BAD_TASKS 3

typedef struct
{
  uint64_t good_tasks;
  uint64_t bad_tasks; /* late, refused and failed */
} slo_totals_t;

typedef enum
{
  SLO_ALERT_NONE,
  SLO_ALERT_SLOW_BURN,
  SLO_ALERT_FAST_BURN
} slo_alert_t;

/* Returns the burn rate of TOTALS, 0 if there are no tasks.  An objective of 1000000
 * ppm is treated as 999999 ppm, to avoid a division by zero. */
double slo_burn_rate (const slo_totals_t *totals, int32_t objective_ppm);

/* Returns the fraction of the window's error budget that is left; negative if the
 * budget is exceeded. */
double slo_budget_left (const slo_totals_t *totals, int32_t objective_ppm);

/* Returns the most severe alert that the totals of the windows raise. */
slo_alert_t slo_evaluate_alert (const slo_totals_t totals[SLO_WINDOWS], int32_t objective_ppm);

/* Returns the name of an alert in reports. */
const char *slo_alert_name (slo_alert_t alert);

#endif
