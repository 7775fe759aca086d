/* judge.h -- burn rates and alerts over three windows
 *
 * An objective of 999000 ppm leaves a budget of one task in a thousand.  The
 * burn rate is the part of bad tasks over that budget: at 1 the budget is just
 * used up.  A plan burns fast if its rate is high over both the short and the
 * middle window (it is burning now, and not by a blip), slowly if it is over 1
 * in both the middle and the long one.  Pure.
 */
#ifndef BURN_JUDGE_H
#define BURN_JUDGE_H

#include <stdint.h>

typedef enum
{
  BURN_5_MIN,
  BURN_1_HOUR,
  BURN_6_HOURS,
  BURN_WINDOWS
} burn_window_t;

/* Length of a window, and its name in reports. */
int64_t burn_window_minutes (burn_window_t window);
const char *burn_window_name (burn_window_t window);

/* A budget for 30 days at this rate is gone in two days. */
#define BURN_FAST_RATE 14.4
#define BURN_SLOW_RATE 1.0
/* Fewer bad tasks than this in the shorter window raise no alert. */
#define BURN_MIN_BAD 3

typedef struct
{
  uint64_t good;
  uint64_t bad; /* late, refused and failed */
} burn_sum_t;

typedef enum
{
  BURN_FINE,
  BURN_SLOW,
  BURN_FAST
} burn_alert_t;

/* Rate of SUM; 0 with no tasks.  An objective of 1000000 ppm is taken as the
 * largest below it. */
double burn_rate (const burn_sum_t *sum, int32_t objective_ppm);

/* Part of the window's budget that is left; negative once it is overdrawn. */
double burn_budget_left (const burn_sum_t *sum, int32_t objective_ppm);

burn_alert_t burn_judge (const burn_sum_t sums[BURN_WINDOWS], int32_t objective_ppm);

const char *burn_alert_name (burn_alert_t alert);

#endif
