/* dispatch_limits.c -- implements the limits of lib/dispatch with the quota part */
#include "daemon/dispatch_limits.h"

#include "base/error.h"
#include "daemon/part_quota.h"

#include <math.h>

#define LIMIT_NAME_BYTES 320

typedef struct
{
  dispatch_limits_t base;
  part_t *quota;
  bool retain;
} limits_t;

static const char *const prefixes[] = {
  [DISPATCH_LIMIT_RUNNING] = "running",
  [DISPATCH_LIMIT_STARTS] = "starts",
  [DISPATCH_LIMIT_SLOTS] = "slots",
};

static const char *
limit_name (char *buffer, dispatch_limit_t limit, const char *name)
{
  g_snprintf (buffer, LIMIT_NAME_BYTES, "%s/%s", prefixes[limit], name);
  return buffer;
}

static int
limits_acquire (dispatch_limits_t *base,
                dispatch_limit_t limit,
                const char *name,
                int32_t units,
                int64_t ends_at_ms,
                int64_t now_ms)
{
  part_t *quota = ((limits_t *) base)->quota;
  char full_name[LIMIT_NAME_BYTES];
  int32_t acquired = 0;

  limit_name (full_name, limit, name);
  while (acquired < units && part_quota_acquire (quota, full_name, ends_at_ms, now_ms) == 0)
    acquired++;
  if (acquired == units)
    return 0;
  while (acquired-- > 0)
    part_quota_release (quota, full_name, ends_at_ms, now_ms);
  return ERROR_FULL;
}

static void
limits_release (dispatch_limits_t *base,
                dispatch_limit_t limit,
                const char *name,
                int32_t units,
                int64_t ends_at_ms,
                int64_t now_ms)
{
  char full_name[LIMIT_NAME_BYTES];

  if (((limits_t *) base)->retain)
    return;
  limit_name (full_name, limit, name);
  for (int32_t i = 0; i < units; i++)
    part_quota_release (((limits_t *) base)->quota, full_name, ends_at_ms, now_ms);
}

static int32_t
limits_available (dispatch_limits_t *base, dispatch_limit_t limit, const char *name, int64_t now_ms)
{
  char full_name[LIMIT_NAME_BYTES];

  return part_quota_available (((limits_t *) base)->quota, limit_name (full_name, limit, name),
                               now_ms);
}

static const dispatch_limits_ops_t limits_ops = { limits_acquire, limits_release,
                                                  limits_available };

dispatch_limits_t *
dispatch_limits_new (part_t *quota)
{
  limits_t *limits = g_new0 (limits_t, 1);

  limits->base.ops = &limits_ops;
  limits->quota = quota;
  return &limits->base;
}

void
dispatch_limits_retain_released (dispatch_limits_t *limits, bool retain)
{
  ((limits_t *) limits)->retain = retain;
}

typedef struct
{
  part_t *quota;
  GHashTable *reported;
  int64_t now_ms;
  double queued;
  double slots;
} demand_report_t;

static void
report_demand (const demand_report_t *report,
               dispatch_limit_t limit,
               const char *name,
               int32_t demand)
{
  char full_name[LIMIT_NAME_BYTES];

  limit_name (full_name, limit, name);
  /* A missing entry reads as 0, which is also the demand of an idle host. */
  if (GPOINTER_TO_INT (g_hash_table_lookup (report->reported, full_name)) == demand)
    return;
  g_hash_table_insert (report->reported, g_strdup (full_name), GINT_TO_POINTER (demand));
  part_quota_set_demand (report->quota, full_name, demand, report->now_ms);
}

static void
report_plan_demand (const dispatch_plan_state_t *state, void *data)
{
  const demand_report_t *report = data;
  int32_t demand = (int32_t) (state->queued + state->running);

  report_demand (report, DISPATCH_LIMIT_RUNNING, state->plan, demand);
  report_demand (report, DISPATCH_LIMIT_STARTS, state->plan,
                 (int32_t) (state->queued + state->recent_starts));
}

/* Divides the queue among the usable endpoints in proportion to their slots. */
static void
report_endpoint_demand (const dispatch_endpoint_state_t *state, void *data)
{
  const demand_report_t *report = data;
  bool usable = !state->leaving && !state->ejected && !state->silent;
  int32_t queue_share = usable && report->slots > 0
                            ? (int32_t) ceil (report->queued * state->slots / report->slots)
                            : 0;

  report_demand (report, DISPATCH_LIMIT_SLOTS, state->id,
                 MIN (state->running + queue_share, state->slots));
}

static void
add_usable_slots (const dispatch_endpoint_state_t *state, void *data)
{
  if (!state->leaving && !state->ejected && !state->silent)
    ((demand_report_t *) data)->slots += state->slots;
}

void
dispatch_limits_report_demand (dispatch_t *dispatch,
                               part_t *quota,
                               GHashTable *reported,
                               int64_t now_ms)
{
  demand_report_t report = { .quota = quota, .reported = reported, .now_ms = now_ms };

  report.queued = dispatch_totals (dispatch).queued;
  dispatch_each_endpoint (dispatch, now_ms, add_usable_slots, &report);
  dispatch_each_plan (dispatch, report_plan_demand, &report);
  dispatch_each_endpoint (dispatch, now_ms, report_endpoint_demand, &report);
}
