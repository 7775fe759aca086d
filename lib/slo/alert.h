/* alert.h -- burn rates and alerts over three windows
 *
 * An objective of 999000 ppm leaves a budget of one task in a thousand.  The
 * burn rate is the part of bad tasks over that budget: at 1 the budget is just
 * used up.  A plan burns fast if its rate is high over both the short and the
 * middle window (it is burning now, and not by a blip), slowly if it is over 1
 * in both the middle and the long one.  Pure.
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

/* Length of a window, and its name in reports. */
int64_t slo_window_minutes (slo_window_t window);
const char *slo_window_name (slo_window_t window);

/* A budget for 30 days at this rate is gone in two days. */
#define SLO_FAST_BURN_RATE 14.4
#define SLO_SLOW_BURN_RATE 1.0
/* Fewer bad tasks than this in the shorter window raise no alert. */
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

/* Rate of SUM; 0 with no tasks.  An objective of 1000000 ppm is taken as the
 * largest below it. */
double slo_burn_rate (const slo_totals_t *sum, int32_t objective_ppm);

/* Part of the window's budget that is left; negative once it is overdrawn. */
double slo_budget_left (const slo_totals_t *sum, int32_t objective_ppm);

slo_alert_t slo_evaluate_alert (const slo_totals_t sums[SLO_WINDOWS], int32_t objective_ppm);

const char *slo_alert_name (slo_alert_t alert);

#endif
