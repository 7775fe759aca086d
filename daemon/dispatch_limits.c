/* dispatch_limits.c -- the limits of lib/dispatch over the shares of this host */
#include "daemon/dispatch_limits.h"

#include "base/error.h"
#include "daemon/part_share.h"

#include <math.h>

#define LIMIT_NAME_BYTES 320

typedef struct
{
  dispatch_limits_t base;
  part_t *share;
  bool hold;
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
limits_take (dispatch_limits_t *base,
             dispatch_limit_t limit,
             const char *name,
             int32_t units,
             int64_t ends_at_ms,
             int64_t now_ms)
{
  part_t *share = ((limits_t *) base)->share;
  char full[LIMIT_NAME_BYTES];
  int32_t taken = 0;

  limit_name (full, limit, name);
  while (taken < units && part_share_take (share, full, ends_at_ms, now_ms) == 0)
    taken++;
  if (taken == units)
    return 0;
  while (taken-- > 0)
    part_share_give (share, full, ends_at_ms, now_ms);
  return ERROR_FULL;
}

static void
limits_give (dispatch_limits_t *base,
             dispatch_limit_t limit,
             const char *name,
             int32_t units,
             int64_t ends_at_ms,
             int64_t now_ms)
{
  char full[LIMIT_NAME_BYTES];

  if (((limits_t *) base)->hold)
    return;
  limit_name (full, limit, name);
  for (int32_t i = 0; i < units; i++)
    part_share_give (((limits_t *) base)->share, full, ends_at_ms, now_ms);
}

static int32_t
limits_left (dispatch_limits_t *base, dispatch_limit_t limit, const char *name, int64_t now_ms)
{
  char full[LIMIT_NAME_BYTES];

  return part_share_free (((limits_t *) base)->share, limit_name (full, limit, name), now_ms);
}

static const dispatch_limits_ops_t limits_ops = { limits_take, limits_give, limits_left };

dispatch_limits_t *
dispatch_limits_new (part_t *share)
{
  limits_t *limits = g_new0 (limits_t, 1);

  limits->base.ops = &limits_ops;
  limits->share = share;
  return &limits->base;
}

void
dispatch_limits_hold (dispatch_limits_t *limits, bool hold)
{
  ((limits_t *) limits)->hold = hold;
}

typedef struct
{
  part_t *share;
  GHashTable *sent;
  int64_t now_ms;
  double queued;
  double slots;
} demand_walk_t;

static void
tell (const demand_walk_t *walk, dispatch_limit_t limit, const char *name, int32_t wanted)
{
  char full[LIMIT_NAME_BYTES];

  limit_name (full, limit, name);
  /* An absent entry reads as 0, which is also what an idle host wants. */
  if (GPOINTER_TO_INT (g_hash_table_lookup (walk->sent, full)) == wanted)
    return;
  g_hash_table_insert (walk->sent, g_strdup (full), GINT_TO_POINTER (wanted));
  part_share_demand (walk->share, full, wanted, walk->now_ms);
}

static void
tell_plan (const dispatch_plan_state_t *state, void *data)
{
  const demand_walk_t *walk = data;
  int32_t wanted = (int32_t) (state->queued + state->running);

  tell (walk, DISPATCH_LIMIT_RUNNING, state->plan, wanted);
  tell (walk, DISPATCH_LIMIT_STARTS, state->plan, (int32_t) (state->queued + state->recent_starts));
}

/* The queue is spread over the endpoints by their slots. */
static void
tell_endpoint (const dispatch_endpoint_state_t *state, void *data)
{
  const demand_walk_t *walk = data;
  bool usable = !state->leaving && !state->ejected && !state->silent;
  int32_t more =
      usable && walk->slots > 0 ? (int32_t) ceil (walk->queued * state->slots / walk->slots) : 0;

  tell (walk, DISPATCH_LIMIT_SLOTS, state->id, MIN (state->running + more, state->slots));
}

static void
count_slots (const dispatch_endpoint_state_t *state, void *data)
{
  if (!state->leaving && !state->ejected && !state->silent)
    ((demand_walk_t *) data)->slots += state->slots;
}

void
dispatch_limits_demand (dispatch_t *dispatch, part_t *share, GHashTable *sent, int64_t now_ms)
{
  demand_walk_t walk = { .share = share, .sent = sent, .now_ms = now_ms };

  walk.queued = dispatch_totals (dispatch).queued;
  dispatch_each_endpoint (dispatch, now_ms, count_slots, &walk);
  dispatch_each_plan (dispatch, tell_plan, &walk);
  dispatch_each_endpoint (dispatch, now_ms, tell_endpoint, &walk);
}
