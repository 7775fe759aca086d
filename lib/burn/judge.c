/* judge.c -- burn rates and alerts over three windows */
#include "burn/judge.h"

#define PPM 1000000

static const struct
{
  int64_t minutes;
  const char *name;
} windows[BURN_WINDOWS] = {
  [BURN_5_MIN] = { 5, "5m" },
  [BURN_1_HOUR] = { 60, "1h" },
  [BURN_6_HOURS] = { 360, "6h" },
};

static const char *const alert_names[] = {
  [BURN_FINE] = "fine",
  [BURN_SLOW] = "slow burn",
  [BURN_FAST] = "fast burn",
};

int64_t
burn_window_minutes (burn_window_t window)
{
  return windows[window].minutes;
}

const char *
burn_window_name (burn_window_t window)
{
  return windows[window].name;
}

const char *
burn_alert_name (burn_alert_t alert)
{
  return alert_names[alert];
}

double
burn_rate (const burn_sum_t *sum, int32_t objective_ppm)
{
  uint64_t all = sum->good + sum->bad;
  double budget = (double) (objective_ppm < PPM ? PPM - objective_ppm : 1) / PPM;

  return all == 0 ? 0 : (double) sum->bad / (double) all / budget;
}

double
burn_budget_left (const burn_sum_t *sum, int32_t objective_ppm)
{
  return 1 - burn_rate (sum, objective_ppm);
}

burn_alert_t
burn_judge (const burn_sum_t sums[BURN_WINDOWS], int32_t objective_ppm)
{
  double rates[BURN_WINDOWS];

  for (int w = 0; w < BURN_WINDOWS; w++)
    rates[w] = burn_rate (&sums[w], objective_ppm);
  if (sums[BURN_5_MIN].bad >= BURN_MIN_BAD && rates[BURN_5_MIN] >= BURN_FAST_RATE
      && rates[BURN_1_HOUR] >= BURN_FAST_RATE)
    return BURN_FAST;
  if (sums[BURN_1_HOUR].bad >= BURN_MIN_BAD && rates[BURN_1_HOUR] > BURN_SLOW_RATE
      && rates[BURN_6_HOURS] > BURN_SLOW_RATE)
    return BURN_SLOW;
  return BURN_FINE;
}
