/* test_scheduling_endpoint.h -- simulated endpoints: fencing tokens, leases, runs and their results
 *
 * Also tells which hosts and endpoints can reach each other, and finds the job of a task. */
#ifndef TESTS_TEST_SCHEDULING_ENDPOINT_H
#define TESTS_TEST_SCHEDULING_ENDPOINT_H

#include "tests/test_scheduling_state.h"

/* --- reachability --- */

static bool
is_up (const sim_host_t *host)
{
  return host->cluster != NULL;
}

static bool
data_centres_connected (const simulation_t *sim, int a, int b)
{
  return a == b
         || (sim->data_centre_cut_until_ms[a] <= sim->now_ms
             && sim->data_centre_cut_until_ms[b] <= sim->now_ms);
}

static sim_link_t *
link_between (const sim_host_t *a, const sim_host_t *b)
{
  return &a->sim->links[MIN (a->index, b->index)][MAX (a->index, b->index)];
}

static bool
is_link_cut (const sim_host_t *a, const sim_host_t *b)
{
  const sim_link_t *link = link_between (a, b);

  return a->sim->now_ms >= link->cut_from_ms && a->sim->now_ms < link->cut_until_ms;
}

static bool
hosts_connected (const simulation_t *sim, const sim_host_t *a, const sim_host_t *b)
{
  return is_up (a) && is_up (b) && a->cut_until_ms <= sim->now_ms && b->cut_until_ms <= sim->now_ms
         && !is_link_cut (a, b) && data_centres_connected (sim, a->data_centre, b->data_centre);
}

/* Whether a message that A sends to B now arrives. */
static bool
receives_from (const simulation_t *sim, const sim_host_t *b, const sim_host_t *a)
{
  return hosts_connected (sim, a, b) && a->send_cut_until_ms <= sim->now_ms
         && b->receive_cut_until_ms <= sim->now_ms;
}

static bool
reaches_endpoint (const simulation_t *sim, const sim_host_t *host, const sim_endpoint_t *endpoint)
{
  return endpoint->cut_until_ms <= sim->now_ms
         && data_centres_connected (sim, host->data_centre, endpoint->data_centre);
}

/* --- jobs --- */

static sim_job_t *
job_of_task (const simulation_t *sim, const char *task)
{
  /* A job's id is its index in the array; a task's id begins with that of its job. */
  guint index = (guint) atoi (task);

  return index < sim->jobs->len ? sim->jobs->pdata[index] : NULL;
}

static int
task_index_of (const char *task)
{
  return atoi (strrchr (task, '.') + 1);
}

/* --- endpoints --- */

static void
sim_run_free (void *data)
{
  sim_run_t *run = data;

  g_free (run->task);
  g_free (run);
}

static void
ended_run_free (void *data)
{
  ended_run_t *end = data;

  g_free (end->task);
  g_free (end);
}

static void
sim_endpoint_end_run (simulation_t *sim, sim_endpoint_t *endpoint, guint index, run_result_t result)
{
  sim_run_t *run = endpoint->runs->pdata[index];
  ended_run_t *end = g_new0 (ended_run_t, 1);
  sim_job_t *job = job_of_task (sim, run->task);

  trace (sim, run->task, "ends on %s, attempt %d, result %d", endpoint->id, (int) run->attempt,
         result);
  end->number = ++endpoint->last_end_number;
  end->task = g_strdup (run->task);
  end->attempt = run->attempt;
  end->result = result;
  end->ended_at_ms = sim->now_ms;
  g_ptr_array_add (endpoint->ended_runs, end);
  int32_t highest = GPOINTER_TO_INT (g_hash_table_lookup (endpoint->highest_attempts, run->task));
  g_hash_table_replace (endpoint->highest_attempts, g_strdup (run->task),
                        GINT_TO_POINTER (MAX (highest, run->attempt)));
  if (job != NULL && result == RUN_DONE)
    job->done[task_index_of (run->task)] = true;
  if (job != NULL && result == RUN_FAILED)
    job->failures[task_index_of (run->task)]++;
  g_ptr_array_remove_index_fast (endpoint->runs, index);
}

/* Records that a fault has ended the run of TASK, so that the task has to be run again. */
static void
record_lost_run (simulation_t *sim, const char *task)
{
  sim_job_t *job = job_of_task (sim, task);

  if (job != NULL)
    job->last_loss_ms[task_index_of (task)] = sim->now_ms - job->sent_at_ms;
}

/* Ends the runs that are done, have been stopped, or have outlived the lease. */
static void
sim_endpoint_step (simulation_t *sim, sim_endpoint_t *endpoint)
{
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      const sim_run_t *run = endpoint->runs->pdata[i];
      if (run->ends_at_ms <= MIN (sim->now_ms, endpoint->lease_until_ms))
        sim_endpoint_end_run (sim, endpoint, i, run->fails ? RUN_FAILED : RUN_DONE);
      else if (run->stop_at_ms != 0 && run->stop_at_ms <= sim->now_ms)
        sim_endpoint_end_run (sim, endpoint, i, RUN_STOPPED);
      else if (endpoint->lease_until_ms <= sim->now_ms)
        sim_endpoint_end_run (sim, endpoint, i, RUN_LEASE_EXPIRED);
    }
}

static bool
is_running (const sim_endpoint_t *endpoint, const char *task)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    if (strcmp (((sim_run_t *) endpoint->runs->pdata[i])->task, task) == 0)
      return true;
  return false;
}

/* The slots that an owner has to know of. */
static int
counted_slots (const simulation_t *sim, const sim_endpoint_t *endpoint)
{
  return sim->now_ms < endpoint->earlier_slots_until_ms
             ? MAX (endpoint->slots, endpoint->earlier_slots)
             : endpoint->slots;
}

static void
sim_endpoint_set_slots (simulation_t *sim, sim_endpoint_t *endpoint, int slots)
{
  int counted = counted_slots (sim, endpoint);

  endpoint->slots = slots;
  endpoint->report_due_ms =
      sim->now_ms + 1 + g_rand_int_range (sim->capacity_rand, 0, SIM_REPORT_DELAY_MS);
  if (slots >= counted)
    return;
  endpoint->earlier_slots = counted;
  endpoint->earlier_slots_until_ms = sim->now_ms + SIM_CAPACITY_GRACE_MS;
}

/* Whether the endpoint starts one more task. */
static bool
sim_endpoint_takes_run (simulation_t *sim, const sim_endpoint_t *endpoint)
{
  int running = (int) endpoint->runs->len;

  sim->result.overfull_starts += running >= counted_slots (sim, endpoint);
  if (running < endpoint->slots || sim->options->unguarded_endpoints)
    return true;
  sim->result.refused_starts++;
  return false;
}

static void
check_start_invariants (simulation_t *sim,
                        const sim_endpoint_t *endpoint,
                        const char *task,
                        bool late)
{
  sim_job_t *job = job_of_task (sim, task);

  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      sim_endpoint_t *other = &sim->endpoints[i];
      sim_endpoint_step (sim, other);
      if (other != endpoint && is_running (other, task))
        {
          sim->result.concurrent_runs++;
          printf ("  concurrent runs: seed %u at %d ms: %s on %s and %s\n", sim->options->seed,
                  (int) sim->now_ms, task, other->id, endpoint->id);
        }
    }
  if (job == NULL)
    return;
  job->starts_since_sent++;
  job->total_starts++;
  int index = task_index_of (task);
  if (job->done_noted[index] && !late)
    {
      sim->result.repeated_starts++;
      trace (sim, task, "starts on %s, although its end is acknowledged", endpoint->id);
    }
  if (job->crashes[index] >= CRASHES_BEFORE_LIMIT
      && ++job->starts_after_crashes[index] > STARTS_AFTER_CRASHES_MAX)
    {
      sim->result.deadly_starts++;
      printf ("  deadly start: seed %u at %d ms: %s, %d endpoints crashed under it\n",
              sim->options->seed, (int) sim->now_ms, task, job->crashes[index]);
    }
  if (job->refused)
    {
      sim->result.false_answers++;
      printf ("  false answer: seed %u at %d ms: %s starts after its job was refused\n",
              sim->options->seed, (int) sim->now_ms, task);
    }
}

/* The endpoint's own clock, which is 1 when the endpoint starts and may be slow. */
static int64_t
sim_endpoint_clock_ms (const simulation_t *sim, const sim_endpoint_t *endpoint)
{
  return (sim->now_ms - endpoint->started_at_ms) * (100 - endpoint->clock_slow_percent) / 100 + 1;
}

/* Extends the lease to UNTIL_ENDPOINT_MS on the endpoint's clock, or to the longest one granted. */
static void
sim_endpoint_extend_lease (const simulation_t *sim,
                           sim_endpoint_t *endpoint,
                           int64_t until_endpoint_ms)
{
  int64_t lease_ms =
      MIN (until_endpoint_ms - sim_endpoint_clock_ms (sim, endpoint), (int64_t) SIM_LEASE_MS);

  endpoint->lease_until_ms =
      MAX (endpoint->lease_until_ms,
           sim->now_ms + lease_ms * 100 / (100 - endpoint->clock_slow_percent));
}

static executor_answer_t
sim_endpoint_start_run (simulation_t *sim,
                        sim_endpoint_t *endpoint,
                        const executor_action_t *order,
                        int64_t token,
                        bool late)
{
  sim_endpoint_step (sim, endpoint);
  if (token < endpoint->token)
    return EXECUTOR_STALE_TOKEN;
  endpoint->token = token;
  if (order->lease_until_endpoint_ms < sim_endpoint_clock_ms (sim, endpoint))
    return EXECUTOR_LEASE_EXPIRED;
  if (is_running (endpoint, order->task))
    return EXECUTOR_OK;
  sim_endpoint_extend_lease (sim, endpoint, order->lease_until_endpoint_ms);
  if (GPOINTER_TO_INT (g_hash_table_lookup (endpoint->highest_attempts, order->task))
      >= order->attempt)
    {
      sim->result.reused_attempts++;
      return EXECUTOR_OLD_ATTEMPT;
    }
  if (!sim_endpoint_takes_run (sim, endpoint))
    return EXECUTOR_NO_CAPACITY;
  trace (sim, order->task, "starts on %s, attempt %d", endpoint->id, (int) order->attempt);
  check_start_invariants (sim, endpoint, order->task, late);
  sim_run_t *run = g_new0 (sim_run_t, 1);
  const sim_job_t *job = job_of_task (sim, order->task);
  int64_t work_ms = job != NULL ? job->task_work_ms[task_index_of (order->task)] : 50;
  int64_t duration_ms = (int64_t) ((double) work_ms * endpoint->duration_factor);
  run->task = g_strdup (order->task);
  run->attempt = order->attempt;
  run->started_at_ms = sim->now_ms;
  run->ends_at_ms =
      random_chance (sim, sim->options->hanging_runs) ? INT64_MAX : sim->now_ms + duration_ms;
  if (run->ends_at_ms == INT64_MAX)
    record_lost_run (sim, order->task);
  run->fails = random_chance (sim, sim->options->failing_runs);
  if (job != NULL && job->deadly && task_index_of (order->task) == 0)
    run->crashes_at_ms = sim->now_ms + 1 + random_below (sim, DEADLY_AFTER_MAX_MS);
  g_ptr_array_add (endpoint->runs, run);
  return EXECUTOR_OK;
}

static executor_answer_t
sim_endpoint_stop_run (simulation_t *sim,
                       sim_endpoint_t *endpoint,
                       const executor_action_t *order,
                       int64_t token)
{
  sim_endpoint_step (sim, endpoint);
  if (token < endpoint->token)
    return EXECUTOR_STALE_TOKEN;
  endpoint->token = token;
  int32_t highest = GPOINTER_TO_INT (g_hash_table_lookup (endpoint->highest_attempts, order->task));
  if (!is_running (endpoint, order->task))
    g_hash_table_replace (endpoint->highest_attempts, g_strdup (order->task),
                          GINT_TO_POINTER (MAX (highest, order->attempt)));
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      sim_run_t *run = endpoint->runs->pdata[i];
      if (strcmp (run->task, order->task) == 0 && run->attempt <= order->attempt
          && run->stop_at_ms == 0)
        run->stop_at_ms = sim->now_ms + random_below (sim, SIM_STOP_MS);
    }
  return EXECUTOR_OK;
}

typedef struct
{
  poll_result_t poll_result;
  GArray *active;
  GArray *ended;
} run_listing_t;

static run_listing_t
sim_endpoint_list_runs (simulation_t *sim, sim_endpoint_t *endpoint)
{
  run_listing_t listing = { .active = g_array_new (FALSE, FALSE, sizeof (poll_active_t)),
                            .ended = g_array_new (FALSE, FALSE, sizeof (poll_ended_t)) };

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const sim_run_t *run = endpoint->runs->pdata[i];
      int64_t duration_ms = run->ends_at_ms - run->started_at_ms;
      poll_active_t row = { g_strdup (run->task), run->attempt, 0 };
      if (run->ends_at_ms != INT64_MAX && duration_ms > 0)
        row.progress_percent = (int32_t) (100 * (sim->now_ms - run->started_at_ms) / duration_ms);
      g_array_append_val (listing.active, row);
    }
  for (guint i = 0; i < endpoint->ended_runs->len; i++)
    {
      const ended_run_t *end = endpoint->ended_runs->pdata[i];
      poll_ended_t row = { end->number, g_strdup (end->task), end->attempt, end->result };
      g_array_append_val (listing.ended, row);
    }
  listing.poll_result = (poll_result_t){
    .endpoint_clock_ms = sim_endpoint_clock_ms (sim, endpoint),
    .started_at_ms = endpoint->started_at_ms,
    .active = (const poll_active_t *) (void *) listing.active->data,
    .active_count = listing.active->len,
    .ended = (const poll_ended_t *) (void *) listing.ended->data,
    .ended_count = listing.ended->len,
  };
  return listing;
}

static void
run_listing_clear (run_listing_t *listing)
{
  for (guint i = 0; listing->active != NULL && i < listing->active->len; i++)
    g_free ((char *) g_array_index (listing->active, poll_active_t, i).task);
  for (guint i = 0; listing->ended != NULL && i < listing->ended->len; i++)
    g_free ((char *) g_array_index (listing->ended, poll_ended_t, i).task);
  if (listing->active != NULL)
    g_array_unref (listing->active);
  if (listing->ended != NULL)
    g_array_unref (listing->ended);
}

#endif
