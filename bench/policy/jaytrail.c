/* jaytrail.c -- the decision code of lib/dispatch as a policy of the bench
 *
 * Slots are split among the hosts in `share`; a host never uses more than its
 * share.  In the modes that move shares, a host's demand is what it uses and
 * what it has queued; units that are idle move to hosts with unmet demand after
 * one round trip.
 */
#include "bench/policy/policies.h"

#include "base/error.h"

#include <math.h>
#include <stdio.h>

#define HOSTS_MAX 8
#define REPORT_EVERY_US 200000
#define ROUND_TRIP_US 2000
/* As in the daemon: between two requests of one host. */
#define ASK_EVERY_US 25000
#define ID_BYTES 8

typedef struct jaytrail_t jaytrail_t;

typedef struct
{
  dispatch_limits_t limits; /* first */
  jaytrail_t *all;
  dispatch_t *dispatch;
  int32_t share[WORLD_ENDPOINTS];
  int32_t used[WORLD_ENDPOINTS];
  bool added;        /* a job has come since the last request for slots */
  int64_t ask_at_us; /* not before */
} host_state_t;

struct jaytrail_t
{
  policy_t base;
  hosts_mode_t mode;
  int32_t count;
  host_state_t hosts[HOSTS_MAX];
  int32_t *host; /* of each task */
  char ids[WORLD_ENDPOINTS][ID_BYTES];
  int64_t report_at_us;
  GArray *actions;
};

static int32_t
endpoint_number (const char *id)
{
  return (int32_t) g_ascii_strtoll (id + 1, NULL, 10);
}

static int
limit_take (dispatch_limits_t *limits,
            dispatch_limit_t limit,
            const char *name,
            int32_t units,
            int64_t ends_at_ms,
            int64_t now_ms)
{
  (void) ends_at_ms;
  (void) now_ms;
  host_state_t *host = (host_state_t *) limits;

  if (limit != DISPATCH_LIMIT_SLOTS)
    return 0;
  int32_t e = endpoint_number (name);
  if (host->used[e] + units > host->share[e])
    return ERROR_FULL;
  host->used[e] += units;
  return 0;
}

static void
limit_give (dispatch_limits_t *limits,
            dispatch_limit_t limit,
            const char *name,
            int32_t units,
            int64_t ends_at_ms,
            int64_t now_ms)
{
  (void) ends_at_ms;
  (void) now_ms;
  if (limit == DISPATCH_LIMIT_SLOTS)
    ((host_state_t *) limits)->used[endpoint_number (name)] -= units;
}

static int32_t
limit_left (dispatch_limits_t *limits, dispatch_limit_t limit, const char *name, int64_t now_ms)
{
  (void) now_ms;
  const host_state_t *host = (host_state_t *) limits;

  if (limit != DISPATCH_LIMIT_SLOTS)
    return INT32_MAX;
  int32_t e = endpoint_number (name);
  return host->share[e] - host->used[e];
}

static const dispatch_limits_ops_t limit_ops = { limit_take, limit_give, limit_left };

static int64_t
now_ms (const policy_t *policy)
{
  return sim_now_us (policy->sim) / SIM_US_PER_MS;
}

/* Slots of one endpoint that HOST could use. */
static int32_t
demand (const host_state_t *host, int32_t endpoint)
{
  double queued = dispatch_totals (host->dispatch).queued;
  int32_t more = (int32_t) ceil (queued / WORLD_ENDPOINTS);

  return MIN (host->used[endpoint] + more, WORLD_SLOTS);
}

/* Max-min by demand; what nobody wants is spread evenly. */
static void
allot (jaytrail_t *all, int32_t endpoint)
{
  int32_t wanted[HOSTS_MAX];
  int32_t left = WORLD_SLOTS;

  for (int32_t h = 0; h < all->count; h++)
    {
      wanted[h] = demand (&all->hosts[h], endpoint);
      all->hosts[h].share[endpoint] = all->hosts[h].used[endpoint];
      left -= all->hosts[h].share[endpoint];
    }
  for (bool idle = false; left > 0;)
    {
      host_state_t *least = NULL;
      for (int32_t i = 0; i < all->count; i++)
        {
          host_state_t *host = &all->hosts[(endpoint + i) % all->count];
          if (!idle && host->share[endpoint] >= wanted[(endpoint + i) % all->count])
            continue;
          if (least == NULL || host->share[endpoint] < least->share[endpoint])
            least = host;
        }
      idle = least == NULL;
      if (least == NULL)
        continue;
      least->share[endpoint]++;
      left--;
    }
}

static void
step_one (jaytrail_t *all, int32_t h, const dispatch_event_t *event)
{
  host_state_t *host = &all->hosts[h];

  g_array_set_size (all->actions, 0);
  dispatch_step (host->dispatch, event, now_ms (&all->base), all->actions);
  for (guint i = 0; i < all->actions->len; i++)
    {
      dispatch_action_t action = g_array_index (all->actions, dispatch_action_t, i);
      int32_t task = (int32_t) action.ticket - 1;
      if (action.kind == DISPATCH_START)
        sim_start (all->base.sim, task, endpoint_number (action.endpoint));
      else
        sim_give_up (all->base.sim, task);
    }
}

static void
allot_all (jaytrail_t *all)
{
  const dispatch_event_t grown = { .kind = DISPATCH_LIMITS_RAISED };

  for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
    allot (all, e);
  for (int32_t h = 0; h < all->count; h++)
    step_one (all, h, &grown);
}

/* Half of what a peer has idle is lent to HOST. */
static void
borrow (jaytrail_t *all, int32_t h)
{
  const dispatch_event_t grown = { .kind = DISPATCH_LIMITS_RAISED };
  host_state_t *host = &all->hosts[h];

  for (int32_t i = 1; i <= 2 && i < all->count; i++)
    {
      host_state_t *peer = &all->hosts[(h + i) % all->count];
      for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
        {
          int32_t idle = (peer->share[e] - peer->used[e] + 1) / 2;
          idle = MIN (idle, MAX (demand (host, e) - host->share[e], 0));
          peer->share[e] -= idle;
          host->share[e] += idle;
        }
    }
  step_one (all, h, &grown);
}

static int32_t
host_of (const jaytrail_t *all, int32_t job)
{
  return g_array_index (sim_world (all->base.sim)->jobs, world_job_t, job).host % all->count;
}

static dispatch_task_t
task_row (const jaytrail_t *all, int32_t task, int64_t deadline_us)
{
  const world_t *world = sim_world (all->base.sim);
  const world_task_t *row = &g_array_index (world->tasks, world_task_t, task);
  const world_job_t *job = &g_array_index (world->jobs, world_job_t, row->job);

  return (dispatch_task_t){ .plan = world_plans[job->plan],
                            .kind = world_kinds[row->kind],
                            .cores = 1,
                            .memory_mb = 256,
                            .deadline_at_ms = deadline_us / SIM_US_PER_MS,
                            .repeatable = row->kind == 0 };
}

static int
jaytrail_admit (policy_t *policy, int32_t job, int64_t deadline_us, int64_t *retry_at_us)
{
  jaytrail_t *all = (jaytrail_t *) policy;
  const world_job_t *row = &g_array_index (sim_world (policy->sim)->jobs, world_job_t, job);
  dispatch_task_t task = task_row (all, row->first, deadline_us);
  int64_t retry_at_ms = 0;
  int result = dispatch_admit (all->hosts[host_of (all, job)].dispatch, &task, row->count,
                               now_ms (policy), &retry_at_ms);

  if (all->mode == HOSTS_ONE && row->host != 0)
    sim_message (policy->sim, 2);
  *retry_at_us = retry_at_ms * SIM_US_PER_MS;
  return result;
}

static void
jaytrail_add (policy_t *policy, int32_t task, int64_t deadline_us)
{
  jaytrail_t *all = (jaytrail_t *) policy;
  dispatch_task_t row = task_row (all, task, deadline_us);
  dispatch_event_t event = { .kind = DISPATCH_ADD, .ticket = (uint64_t) task + 1, .task = &row };

  all->host[task] =
      host_of (all, g_array_index (sim_world (policy->sim)->tasks, world_task_t, task).job);
  all->hosts[all->host[task]].added = true;
  step_one (all, all->host[task], &event);
}

static void
jaytrail_ended (policy_t *policy, int32_t task, dispatch_outcome_t outcome, int64_t elapsed_us)
{
  jaytrail_t *all = (jaytrail_t *) policy;
  dispatch_event_t event = { .kind = DISPATCH_ENDED,
                             .ticket = (uint64_t) task + 1,
                             .outcome = outcome,
                             .elapsed_us = elapsed_us };

  step_one (all, all->host[task], &event);
}

static bool
jaytrail_drop (policy_t *policy, int32_t task)
{
  jaytrail_t *all = (jaytrail_t *) policy;
  dispatch_event_t event = { .kind = DISPATCH_REMOVE, .ticket = (uint64_t) task + 1 };
  dispatch_t *dispatch = all->hosts[all->host[task]].dispatch;

  if (!dispatch_is_queued (dispatch, event.ticket))
    return false;
  dispatch_step (dispatch, &event, now_ms (policy), NULL);
  return true;
}

/* A job that waits makes its host ask for slots, once. */
static void
ask (jaytrail_t *all, int32_t h)
{
  host_state_t *host = &all->hosts[h];
  bool waits = host->added && dispatch_totals (host->dispatch).queued > 0;

  if (!waits)
    host->added = false;
  if (!waits || sim_now_us (all->base.sim) < host->ask_at_us
      || (all->mode != HOSTS_ASK && all->mode != HOSTS_PEERS))
    return;
  host->added = false;
  host->ask_at_us = sim_now_us (all->base.sim) + ASK_EVERY_US;
  /* The allotting host asks the other holders; peers answer by themselves. */
  sim_message (all->base.sim, 2L * (all->count - 1));
  sim_wake (all->base.sim, sim_now_us (all->base.sim) + ROUND_TRIP_US, h);
}

static void
jaytrail_wake (policy_t *policy, int32_t h)
{
  jaytrail_t *all = (jaytrail_t *) policy;

  if (all->mode == HOSTS_ASK)
    allot_all (all);
  else
    borrow (all, h);
}

static void
report (jaytrail_t *all)
{
  if (all->mode < HOSTS_SHARES || sim_now_us (all->base.sim) < all->report_at_us)
    return;
  all->report_at_us = sim_now_us (all->base.sim) + REPORT_EVERY_US;
  sim_message (all->base.sim, 2L * (all->count - 1));
  allot_all (all);
}

static void
jaytrail_run (policy_t *policy)
{
  jaytrail_t *all = (jaytrail_t *) policy;
  const dispatch_event_t run = { .kind = DISPATCH_RUN };

  report (all);
  for (int32_t h = 0; h < all->count; h++)
    {
      step_one (all, h, &run);
      ask (all, h);
    }
}

static void
jaytrail_free (policy_t *policy)
{
  jaytrail_t *all = (jaytrail_t *) policy;

  for (int32_t h = 0; h < all->count; h++)
    dispatch_free (all->hosts[h].dispatch);
  g_array_unref (all->actions);
  g_free (all->host);
  g_free (all);
}

static const policy_ops_t jaytrail_ops = { .name = "jaytrail",
                                           .admit = jaytrail_admit,
                                           .add = jaytrail_add,
                                           .drop = jaytrail_drop,
                                           .ended = jaytrail_ended,
                                           .run = jaytrail_run,
                                           .wake = jaytrail_wake,
                                           .free = jaytrail_free };

static void
make_host (jaytrail_t *all, const dispatch_options_t *options, int32_t h)
{
  host_state_t *host = &all->hosts[h];
  dispatch_endpoint_t rows[WORLD_ENDPOINTS];
  dispatch_options_t own = *options;

  own.seed += (uint32_t) h;
  host->all = all;
  host->limits.ops = &limit_ops;
  host->dispatch = dispatch_new (&own, &host->limits);
  for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
    {
      rows[e] = (dispatch_endpoint_t){ .id = all->ids[e],
                                       .rack = "",
                                       .slots = WORLD_SLOTS,
                                       .connections = 60,
                                       .cores = 32,
                                       .memory_mb = 131072 };
      host->share[e] = WORLD_SLOTS / all->count;
      if ((e + h) % all->count < WORLD_SLOTS % all->count)
        host->share[e]++;
    }
  dispatch_set_endpoints (host->dispatch, rows, WORLD_ENDPOINTS, 0);
  dispatch_set_local_only (host->dispatch, all->mode == HOSTS_LOCAL);
}

policy_t *
policy_jaytrail (const world_t *world,
                 const dispatch_options_t *options,
                 int32_t hosts,
                 hosts_mode_t mode)
{
  jaytrail_t *all = g_new0 (jaytrail_t, 1);

  g_assert (hosts <= HOSTS_MAX);
  all->base.ops = &jaytrail_ops;
  all->mode = mode;
  all->count = mode == HOSTS_ONE ? 1 : hosts;
  all->host = g_new0 (int32_t, world->tasks->len);
  all->actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));
  for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
    g_snprintf (all->ids[e], ID_BYTES, "e%d", e);
  for (int32_t h = 0; h < all->count; h++)
    make_host (all, options, h);
  return &all->base;
}
