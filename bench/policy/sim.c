/* sim.c -- runs one policy over one workload in simulated time */
#include "bench/policy/sim.h"

#include "dispatch/heap.h"

#include <math.h>

#define FAIL_US 5000
#define REFUSED_US 1000
/* How long a call without a deadline waits for an endpoint that is mute. */
#define MUTE_LATE_US 2000000

typedef enum
{
  EVENT_SUBMIT,
  EVENT_END,
  EVENT_TICK,
  EVENT_WAKE
} event_kind_t;

typedef struct
{
  heap_node_t node; /* key: time in us */
  event_kind_t kind;
  int32_t number; /* job, task or wake argument */
  dispatch_outcome_t outcome;
} event_t;

typedef struct
{
  int64_t deadline_us;
  int64_t started_us;
  event_t *end; /* while it runs */
  int32_t endpoint;
} task_state_t;

typedef struct
{
  int32_t tries;
  int32_t left; /* tasks that have not ended */
  bool failed;
  bool late;
} job_state_t;

struct sim_t
{
  const world_t *world;
  policy_t *policy;
  sim_result_t *result;
  heap_t events;
  uint64_t last_order;
  int64_t now_us;
  task_state_t *tasks;
  job_state_t *jobs;
  int32_t open_jobs;
};

static event_t *
push (sim_t *sim, event_kind_t kind, int64_t at_us, int32_t number)
{
  event_t *event = g_new0 (event_t, 1);

  event->node.key = at_us;
  event->node.tie_break = ++sim->last_order;
  event->kind = kind;
  event->number = number;
  heap_push (&sim->events, &event->node);
  return event;
}

int64_t
sim_now_us (const sim_t *sim)
{
  return sim->now_us;
}

const world_t *
sim_world (const sim_t *sim)
{
  return sim->world;
}

void
sim_message (sim_t *sim, int64_t count)
{
  sim->result->messages += count;
}

void
sim_wake (sim_t *sim, int64_t at_us, int32_t what)
{
  push (sim, EVENT_WAKE, at_us, what);
}

static const world_job_t *
job_row (const sim_t *sim, int32_t job)
{
  return &g_array_index (sim->world->jobs, world_job_t, job);
}

static int32_t
job_of (const sim_t *sim, int32_t task)
{
  return g_array_index (sim->world->tasks, world_task_t, task).job;
}

/* What happens to a task that starts now: when it ends, and how. */
static event_t *
plan_end (sim_t *sim, int32_t task, int32_t endpoint)
{
  const world_endpoint_t *row = &sim->world->endpoints[endpoint];
  int64_t deadline_us = sim->tasks[task].deadline_us;
  int64_t end_us = sim->now_us + world_time_us (sim->world, task, endpoint);
  dispatch_outcome_t outcome = DISPATCH_DONE;
  fault_t fault = world_fault (sim->world, endpoint, sim->now_us);

  if (fault == FAULT_FAILS)
    {
      end_us = sim->now_us + FAIL_US;
      outcome = DISPATCH_FAILED;
    }
  if (fault == FAULT_REFUSES)
    {
      end_us = sim->now_us + REFUSED_US;
      outcome = DISPATCH_NOT_STARTED;
    }
  bool cut = row->fault == FAULT_REFUSES && sim->now_us < row->fault_from_us
             && end_us >= row->fault_from_us;
  if (cut)
    {
      end_us = row->fault_from_us;
      outcome = DISPATCH_CONNECTION_LOST;
    }
  /* A call is cut off at its deadline; one that is made after it runs on. */
  if (sim->tasks[task].deadline_us <= sim->now_us)
    deadline_us = fault == FAULT_MUTE ? sim->now_us + MUTE_LATE_US : INT64_MAX;
  if (fault == FAULT_MUTE || end_us > deadline_us)
    {
      end_us = deadline_us;
      outcome = DISPATCH_TIMEOUT;
    }
  event_t *event = push (sim, EVENT_END, end_us, task);
  event->outcome = outcome;
  return event;
}

void
sim_start (sim_t *sim, int32_t task, int32_t endpoint)
{
  task_state_t *state = &sim->tasks[task];

  g_assert (state->end == NULL);
  state->started_us = sim->now_us;
  state->endpoint = endpoint;
  state->end = plan_end (sim, task, endpoint);
}

static void
finish_job (sim_t *sim, int32_t job)
{
  job_state_t *state = &sim->jobs[job];
  const world_job_t *row = job_row (sim, job);
  sim_result_t *result = sim->result;
  double response_ms = (double) (sim->now_us - row->arrive_us) / SIM_US_PER_MS;

  sim->open_jobs--;
  if (!state->failed)
    {
      result->response_ms[job] = response_ms;
      result->good++;
      result->good_tasks += row->count;
      for (int32_t task = row->first; task < row->first + row->count; task++)
        result->good_work_ms += g_array_index (sim->world->tasks, world_task_t, task).size_ms;
      return;
    }
  if (state->late)
    result->late++;
  /* A caller whose submission was too late comes back at once. */
  if (state->late && sim->world->row->retries && state->tries < SIM_TRIES_MAX
      && sim->now_us < sim->world->end_us)
    {
      sim->open_jobs++;
      push (sim, EVENT_SUBMIT, sim->now_us, job);
    }
}

/* A job that has failed leaves no tasks in the queues. */
static void
drop_rest (sim_t *sim, int32_t job)
{
  const world_job_t *row = job_row (sim, job);

  if (sim->policy->ops->drop == NULL)
    return;
  for (int32_t task = row->first; task < row->first + row->count; task++)
    if (sim->policy->ops->drop (sim->policy, task))
      sim->jobs[job].left--;
}

static void
end_task (sim_t *sim, int32_t task, bool whole, bool late)
{
  int32_t job = job_of (sim, task);
  job_state_t *state = &sim->jobs[job];

  state->left--;
  if (!whole && !state->failed)
    drop_rest (sim, job);
  state->failed |= !whole;
  state->late |= late;
  if (state->left == 0)
    finish_job (sim, job);
}

void
sim_give_up (sim_t *sim, int32_t task)
{
  end_task (sim, task, false, true);
}

static void
submit (sim_t *sim, int32_t job)
{
  const world_job_t *row = job_row (sim, job);
  job_state_t *state = &sim->jobs[job];
  policy_t *policy = sim->policy;
  int64_t deadline_us = sim->now_us + row->patience_us;
  int64_t retry_at_us = 0;

  state->tries++;
  if (policy->ops->admit != NULL
      && policy->ops->admit (policy, job, deadline_us, &retry_at_us) != 0)
    {
      sim->result->refused++;
      bool again = sim->world->row->retries && state->tries < SIM_TRIES_MAX
                   && retry_at_us < sim->world->end_us;
      if (again)
        push (sim, EVENT_SUBMIT, MAX (retry_at_us, sim->now_us + 1), job);
      else
        sim->open_jobs--;
      return;
    }
  state->left = row->count;
  state->failed = false;
  state->late = false;
  for (int32_t task = row->first; task < row->first + row->count; task++)
    {
      sim->tasks[task].deadline_us = deadline_us;
      policy->ops->add (policy, task, deadline_us);
    }
}

static void
on_end (sim_t *sim, const event_t *event)
{
  int32_t task = event->number;
  task_state_t *state = &sim->tasks[task];
  sim_result_t *result = sim->result;
  int64_t elapsed_us = sim->now_us - state->started_us;

  state->end = NULL;
  sim->policy->ops->ended (sim->policy, task, event->outcome, elapsed_us);
  if (event->outcome == DISPATCH_NOT_STARTED)
    {
      result->wasted_connects++;
      return;
    }
  result->starts++;
  result->endpoint_starts[state->endpoint]++;
  bool whole = event->outcome == DISPATCH_DONE;
  bool late = event->outcome == DISPATCH_TIMEOUT || sim->now_us > state->deadline_us;
  result->failed_starts += !whole;
  result->endpoint_failed[state->endpoint] += !whole;
  end_task (sim, task, whole && !late, late);
}

static void
step (sim_t *sim, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_SUBMIT:
      submit (sim, event->number);
      break;
    case EVENT_END:
      on_end (sim, event);
      break;
    case EVENT_WAKE:
      sim->policy->ops->wake (sim->policy, event->number);
      break;
    case EVENT_TICK:
      if (sim->open_jobs > 0)
        push (sim, EVENT_TICK, sim->now_us + SIM_TICK_US, 0);
      break;
    }
  sim->policy->ops->run (sim->policy);
}

sim_result_t *
sim_run (const world_t *world, policy_t *policy)
{
  sim_t sim = { .world = world, .policy = policy, .result = g_new0 (sim_result_t, 1) };
  heap_node_t *node = NULL;

  sim.tasks = g_new0 (task_state_t, world->tasks->len);
  sim.jobs = g_new0 (job_state_t, world->jobs->len);
  sim.result->response_ms = g_new (double, world->jobs->len);
  policy->sim = &sim;
  sim.open_jobs = (int32_t) world->jobs->len;
  for (guint job = 0; job < world->jobs->len; job++)
    {
      sim.result->response_ms[job] = NAN;
      push (&sim, EVENT_SUBMIT, job_row (&sim, (int32_t) job)->arrive_us, (int32_t) job);
    }
  push (&sim, EVENT_TICK, SIM_TICK_US, 0);
  while ((node = heap_peek (&sim.events)) != NULL && sim.open_jobs > 0)
    {
      heap_remove (&sim.events, node);
      sim.now_us = node->key;
      step (&sim, (event_t *) node);
      g_free (node);
    }
  while ((node = heap_peek (&sim.events)) != NULL)
    {
      heap_remove (&sim.events, node);
      g_free (node);
    }
  heap_clear (&sim.events);
  policy->ops->free (policy);
  g_free (sim.tasks);
  g_free (sim.jobs);
  return sim.result;
}

void
sim_result_free (sim_result_t *result)
{
  g_free (result->response_ms);
  g_free (result);
}
