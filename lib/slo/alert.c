/* alert.c -- burn rates and alerts over three windows */
#include "slo/alert.h"

#define PPM 1000000

static const struct
{
  int64_t minutes;
  const char *name;
} windows[SLO_WINDOWS] = {
  [SLO_WINDOW_5_MIN] = { 5, "5m" },
  [SLO_WINDOW_1_HOUR] = { 60, "1h" },
  [SLO_WINDOW_6_HOURS] = { 360, "6h" },
};

static const char *const alert_names[] = {
  [SLO_ALERT_NONE] = "fine",
  [SLO_ALERT_SLOW_BURN] = "slow burn",
  [SLO_ALERT_FAST_BURN] = "fast burn",
};

int64_t
slo_window_minutes (slo_window_t window)
{
  return windows[window].minutes;
}

const char *
slo_window_name (slo_window_t window)
{
  return windows[window].name;
}

const char *
slo_alert_name (slo_alert_t alert)
{
  return alert_names[alert];
}

double
slo_burn_rate (const slo_totals_t *totals, int32_t objective_ppm)
{
  uint64_t all = totals->good_tasks + totals->bad_tasks;
  double budget = (double) (objective_ppm < PPM ? PPM - objective_ppm : 1) / PPM;

  return all == 0 ? 0 : (double) totals->bad_tasks / (double) all / budget;
}

double
slo_budget_left (const slo_totals_t *totals, int32_t objective_ppm)
{
  return 1 - slo_burn_rate (totals, objective_ppm);
}

slo_alert_t
slo_evaluate_alert (const slo_totals_t totals[SLO_WINDOWS], int32_t objective_ppm)
{
  double rates[SLO_WINDOWS];

  for (int w = 0; w < SLO_WINDOWS; w++)
    rates[w] = slo_burn_rate (&totals[w], objective_ppm);
  if (totals[SLO_WINDOW_5_MIN].bad_tasks >= SLO_ALERT_MIN_BAD_TASKS
      && rates[SLO_WINDOW_5_MIN] >= SLO_FAST_BURN_RATE
      && rates[SLO_WINDOW_1_HOUR] >= SLO_FAST_BURN_RATE)
    return SLO_ALERT_FAST_BURN;
  if (totals[SLO_WINDOW_1_HOUR].bad_tasks >= SLO_ALERT_MIN_BAD_TASKS
      && rates[SLO_WINDOW_1_HOUR] > SLO_SLOW_BURN_RATE
      && rates[SLO_WINDOW_6_HOURS] > SLO_SLOW_BURN_RATE)
    return SLO_ALERT_SLOW_BURN;
  return SLO_ALERT_NONE;
}
