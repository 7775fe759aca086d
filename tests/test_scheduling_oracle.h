/* test_scheduling_oracle.h -- which jobs a scheduler with complete knowledge completes in time
 *
 * Replays the jobs, the endpoints and the outages of a simulation that has ended, with a single
 * queue, without hosts, messages or hung runs.  The oracle knows the duration of each task.  It
 * starts a task only on an endpoint that completes it in time, on the slowest of these, and drops a
 * job as soon as it can't be completed in time.  Jobs of a higher priority go first, as they do in
 * lib/scheduler and lib/executor.  If an endpoint becomes silent, its runs may continue until their
 * lease ends, and the oracle also waits for that before it starts the tasks again.
 */
#ifndef TESTS_TEST_SCHEDULING_ORACLE_H
#define TESTS_TEST_SCHEDULING_ORACLE_H

#include "tests/test_scheduling_state.h"

#define ORACLE_STEP_MS 5

typedef struct
{
  sim_job_t *job;
  int task_index;
  int64_t may_run_until_ms; /* a run on an endpoint that became silent may go on until then */
  int endpoint_index;       /* -1 while the task waits */
  int64_t ends_at_ms;       /* while the task runs */
} oracle_task_t;

typedef struct
{
  const simulation_t *sim;
  GPtrArray *tasks; /* oracle_task_t: tasks that have not ended */
  int used_slots[SIM_ENDPOINTS];
  guint next_job;
} oracle_t;

static bool
is_down (const sim_endpoint_t *endpoint, int64_t at_ms)
{
  for (guint i = 0; i < endpoint->outages->len; i++)
    {
      const outage_t *outage = &g_array_index (endpoint->outages, outage_t, i);
      if (outage->from_ms <= at_ms && at_ms < outage->until_ms)
        return true;
    }
  return false;
}

/* Duration of TASK on ENDPOINT. */
static double
oracle_run_ms (const oracle_task_t *task, const sim_endpoint_t *endpoint)
{
  return endpoint->duration_factor * (double) task->job->task_work_ms[task->task_index];
}

/* Sorts by priority, then by the latest time at which a fast endpoint must start the task to
 * complete it in time. */
static int
compare_oracle_order (const void *a, const void *b)
{
  const oracle_task_t *x = *(const oracle_task_t *const *) a;
  const oracle_task_t *y = *(const oracle_task_t *const *) b;

  if (x->job->mixed_queue->priority != y->job->mixed_queue->priority)
    return x->job->mixed_queue->priority - y->job->mixed_queue->priority;
  double latest_start_x =
      (double) x->job->deadline_at_ms - FAST_FACTOR * (double) x->job->task_work_ms[x->task_index];
  double latest_start_y =
      (double) y->job->deadline_at_ms - FAST_FACTOR * (double) y->job->task_work_ms[y->task_index];
  return latest_start_x < latest_start_y ? -1 : latest_start_x > latest_start_y;
}

static void
oracle_drop (oracle_t *oracle, const sim_job_t *job)
{
  for (guint i = oracle->tasks->len; i-- > 0;)
    {
      const oracle_task_t *task = oracle->tasks->pdata[i];
      if (task->job != job)
        continue;
      if (task->endpoint_index >= 0)
        oracle->used_slots[task->endpoint_index]--;
      g_ptr_array_remove_index (oracle->tasks, i);
    }
}

static void
oracle_receive_jobs (oracle_t *oracle, int64_t now_ms)
{
  const GPtrArray *jobs = oracle->sim->jobs;

  for (; oracle->next_job < jobs->len; oracle->next_job++)
    {
      sim_job_t *job = jobs->pdata[oracle->next_job];
      if (job->sent_at_ms > now_ms)
        return;
      job->oracle_incomplete = job->tasks;
      for (int i = 0; i < job->tasks; i++)
        {
          oracle_task_t *task = g_new0 (oracle_task_t, 1);
          *task = (oracle_task_t){ .job = job, .task_index = i, .endpoint_index = -1 };
          g_ptr_array_add (oracle->tasks, task);
        }
    }
}

/* Removes the tasks that have ended, and queues those again whose endpoint has crashed. */
static void
oracle_end_runs (oracle_t *oracle, int64_t now_ms)
{
  for (guint i = oracle->tasks->len; i-- > 0;)
    {
      oracle_task_t *task = oracle->tasks->pdata[i];
      if (task->endpoint_index < 0)
        continue;
      if (task->ends_at_ms <= now_ms)
        {
          oracle->used_slots[task->endpoint_index]--;
          task->job->oracle_incomplete--;
          g_ptr_array_remove_index (oracle->tasks, i);
        }
      else if (is_down (&oracle->sim->endpoints[task->endpoint_index], now_ms))
        {
          oracle->used_slots[task->endpoint_index]--;
          task->endpoint_index = -1;
          if (!oracle->sim->options->crashed_refuse)
            task->may_run_until_ms = now_ms + SIM_LEASE_MS;
        }
    }
}

/* Returns the index of the slowest endpoint that can complete TASK in time, or -1 for none. */
static int
oracle_choose_endpoint (const oracle_t *oracle, const oracle_task_t *task, int64_t now_ms)
{
  int best = -1;

  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      const sim_endpoint_t *endpoint = &oracle->sim->endpoints[i];
      if (oracle->used_slots[i] >= SIM_ENDPOINT_SLOTS || is_down (endpoint, now_ms)
          || (double) now_ms + oracle_run_ms (task, endpoint) > (double) task->job->deadline_at_ms)
        continue;
      if (best < 0 || endpoint->duration_factor > oracle->sim->endpoints[best].duration_factor)
        best = i;
    }
  return best;
}

static void
oracle_start_tasks (oracle_t *oracle, int64_t now_ms)
{
  g_ptr_array_sort (oracle->tasks, compare_oracle_order);
  for (guint i = 0; i < oracle->tasks->len;)
    {
      oracle_task_t *task = oracle->tasks->pdata[i];
      const sim_job_t *job = task->job;
      double shortest_ms = FAST_FACTOR * (double) job->task_work_ms[task->task_index];
      int64_t from_ms = MAX (now_ms, task->may_run_until_ms);
      if (task->endpoint_index < 0 && (double) from_ms + shortest_ms > (double) job->deadline_at_ms)
        {
          oracle_drop (oracle, job);
          i = 0;
          continue;
        }
      int endpoint_index = task->endpoint_index < 0 && from_ms == now_ms
                               ? oracle_choose_endpoint (oracle, task, now_ms)
                               : -1;
      if (endpoint_index >= 0)
        {
          task->endpoint_index = endpoint_index;
          task->ends_at_ms =
              now_ms + (int64_t) oracle_run_ms (task, &oracle->sim->endpoints[endpoint_index]);
          oracle->used_slots[endpoint_index]++;
        }
      i++;
    }
}

/* Sets the oracle_incomplete field of the jobs of SIM, which has ended: 0 for those that the oracle
 * completes in time. */
static void
oracle_run (const simulation_t *sim)
{
  oracle_t oracle = { .sim = sim, .tasks = g_ptr_array_new_with_free_func (g_free) };

  for (int64_t now_ms = 0; now_ms < sim->options->length_ms; now_ms += ORACLE_STEP_MS)
    {
      oracle_receive_jobs (&oracle, now_ms);
      oracle_end_runs (&oracle, now_ms);
      oracle_start_tasks (&oracle, now_ms);
    }
  g_ptr_array_unref (oracle.tasks);
}

#endif
