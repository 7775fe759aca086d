/* test_scheduling_run.h -- callers, fault injection and main loop of the scheduling simulation */
#ifndef TESTS_TEST_SCHEDULING_RUN_H
#define TESTS_TEST_SCHEDULING_RUN_H

#include "tests/test_scheduling_host.h"
#include "tests/test_scheduling_oracle.h"

#include <math.h>

/* --- callers --- */

static bool
accepts_jobs (const simulation_t *sim, const sim_host_t *host)
{
  return is_up (host) && host->frozen_until_ms <= sim->now_ms && host->leaving_since_ms == 0;
}

/* Draws a host that accepts jobs in the data centre to which JOB was sent last.  NULL if there is
 * none, or if callers don't come again early. */
static sim_host_t *
draw_local_host (simulation_t *sim, const sim_job_t *job)
{
  sim_host_t *local[SIM_HOSTS];
  int count = 0;

  for (int i = 0; i < SIM_HOSTS; i++)
    if (sim->options->early_callers && sim->hosts[i].data_centre == job->data_centre
        && accepts_jobs (sim, &sim->hosts[i]))
      local[count++] = &sim->hosts[i];
  return count > 0 ? local[random_below (sim, count)] : NULL;
}

/* Submits JOB to a host, or tries again after 200 ms if that host accepts no jobs.  Callers that
 * come again early go to another data centre only SIM_RESUBMIT_MS after their channel broke. */
static void
send_job (simulation_t *sim, sim_job_t *job)
{
  sim_host_t *host = draw_local_host (sim, job);
  bool is_early = sim->options->early_callers && job->data_centre >= 0
                  && sim->now_ms < job->broken_at_ms + SIM_RESUBMIT_MS;

  if (host == NULL && !is_early)
    host = &sim->hosts[random_below (sim, SIM_HOSTS)];
  if (host == NULL || !accepts_jobs (sim, host))
    {
      job->resubmit_at_ms = sim->now_ms + 200;
      return;
    }
  trace (sim, job->id, "is submitted to %s", host->name);
  job->host_index = host->index;
  job->data_centre = host->data_centre;
  job->incarnation = host->incarnation;
  job->starts_since_sent = 0;
  job->submitted_at_ms = sim->now_ms;
  memset (job->done_noted, 0, sizeof job->done_noted);
  job->refused = false;
  scheduler_job_t info = {
    .id = job->id,
    .spec = "work",
    .queue = job->mixed_queue != NULL ? job->mixed_queue->name : "",
    .service = "s",
    .priority = job->mixed_queue != NULL ? job->mixed_queue->priority : 0,
    .tasks = job->tasks,
    .need = { 1000, 1, 0 },
    .estimate_ms = job->estimate_ms,
    .stretch_factor = 1.6,
    .target_ms = 60,
    .received_at_ms = sim->now_ms,
    .deadline_at_ms = job->deadline_at_ms,
    .start_by_ms = sim->options->long_waits ? sim->now_ms + DEADLINE_MS : 0,
    .attempts_max = MAX_ATTEMPTS,
    .label = "",
    .preferred_rack = job->near_data_centre >= 0 ? data_centre_name (job->near_data_centre) : "",
    .user_data = job,
  };
  job->job_number = scheduler_submit (host->scheduler, &info, sim->now_ms, host->scheduler_actions);
  run_all_actions (host);
}

/* Mean work of 60 to 900 ms per task, which is typical of sub-second tasks. */
static const mixed_queue_t mixed_queues[MIXED_QUEUES] = {
  { "check", 0, 244, 8, 60 },
  { "lookup", 1, 712, 2, 200 },
  { "draft", 2, 44, 4, 900 },
};
/* Standard deviations of the logarithm: between jobs, and between the tasks of a job. */
#define LOG_DEVIATION 0.4
#define TASK_LOG_DEVIATION 0.15
#define MAX_MEAN_MULTIPLE 4

/* Draws from a log-normal distribution.  The result is at most MAX_MEAN_MULTIPLE times MEAN. */
static double
draw_log_normal (simulation_t *sim, double mean, double log_deviation)
{
  /* The Box-Muller transform. */
  double u = 1.0 - g_rand_double (sim->mixed_rand);
  double normal = sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * g_rand_double (sim->mixed_rand));

  return fmin (mean * exp (log_deviation * normal - log_deviation * log_deviation / 2),
               MAX_MEAN_MULTIPLE * mean);
}

/* Draws a job of one of the mixed queues.  Its estimate deviates from its work. */
static void
draw_mixed (simulation_t *sim, sim_job_t *job)
{
  int point = g_rand_int_range (sim->mixed_rand, 0, 1000);
  int queue = 0;

  while (queue < MIXED_QUEUES - 1 && point >= mixed_queues[queue].job_share)
    point -= mixed_queues[queue++].job_share;
  job->mixed_queue = &mixed_queues[queue];
  double tasks = draw_log_normal (sim, job->mixed_queue->mean_tasks, LOG_DEVIATION);
  double work_ms = draw_log_normal (sim, job->mixed_queue->mean_work_ms, LOG_DEVIATION);
  job->tasks = CLAMP ((int) lround (tasks), 1, MAX_TASKS);
  job->estimate_ms = (int64_t) draw_log_normal (sim, work_ms, LOG_DEVIATION) + 1;
  for (int i = 0; i < job->tasks; i++)
    {
      job->task_work_ms[i] = (int64_t) draw_log_normal (sim, work_ms, TASK_LOG_DEVIATION) + 1;
      job->work_ms += job->task_work_ms[i];
    }
}

static void
draw_plain (simulation_t *sim, sim_job_t *job)
{
  job->tasks = 1 + random_below (sim, MAX_PLAIN_TASKS);
  job->estimate_ms = random_below (sim, 8) == 0 ? 600 : 40 + random_below (sim, 120);
  if (sim->options->task_work_ms != 0)
    job->estimate_ms = sim->options->task_work_ms;
  for (int i = 0; i < job->tasks; i++)
    job->task_work_ms[i] = job->estimate_ms;
}

/* How long the caller of JOB waits for an answer. */
static int64_t
caller_wait_ms (const simulation_t *sim, const sim_job_t *job)
{
  int64_t longest_ms = 0;

  if (sim->options->caller_wait_ms != 0)
    return sim->options->caller_wait_ms;
  if (!sim->options->long_waits)
    return DEADLINE_MS;
  for (int i = 0; i < job->tasks; i++)
    longest_ms = MAX (longest_ms, job->task_work_ms[i]);
  return DEADLINE_MS + LONG_WAIT_FACTOR * longest_ms;
}

/* A channel breaks within this time after the request, and its host sees that up to
 * CLOSE_DELAY_MAX_MS later, or never. */
#define BREAK_MAX_MS 1500
#define CLOSE_DELAY_MAX_MS 3000
/* Such a job is sent again only while its caller has at least this long. */
#define SECOND_WAIT_MS 3000

static void
create_job (simulation_t *sim)
{
  sim_job_t *job = g_new0 (sim_job_t, 1);

  g_snprintf (job->id, sizeof job->id, "%016d", (int) sim->jobs->len);
  if (sim->options->mixed_jobs)
    draw_mixed (sim, job);
  else
    draw_plain (sim, job);
  job->sent_at_ms = sim->now_ms;
  job->wait_ms = caller_wait_ms (sim, job);
  job->deadline_at_ms = sim->now_ms + job->wait_ms;
  job->host_index = -1;
  job->data_centre = -1;
  job->near_data_centre =
      random_chance (sim, sim->options->jobs_near_data) ? random_below (sim, SIM_DATA_CENTRES) : -1;
  job->leaves_at_ms = random_chance (sim, sim->options->leaving_callers)
                          ? sim->now_ms + random_below (sim, 200)
                          : INT64_MAX;
  job->deadly = random_chance (sim, sim->options->deadly_jobs);
  job->breaks_at_ms = INT64_MAX;
  if (sim->options->broken_channels > 0 && random_chance (sim, sim->options->broken_channels))
    job->breaks_at_ms = sim->now_ms + random_below (sim, BREAK_MAX_MS);
  sim->result.innocent += !job->deadly;
  g_ptr_array_add (sim->jobs, job);
  sim->result.jobs++;
  send_job (sim, job);
}

/* Mixed jobs arrive in bursts of BURST_MS, one every BURST_INTERVAL_MS. */
#define MIXED_BURST_INTERVAL_MS 15
#define BURST_INTERVAL_MS 12000
#define BURST_MS 4000

static void
submit_due_jobs (simulation_t *sim)
{
  bool burst = sim->options->mixed_jobs && sim->now_ms % BURST_INTERVAL_MS < BURST_MS;
  int64_t interval_ms = burst ? MIXED_BURST_INTERVAL_MS : JOB_INTERVAL_MS;

  if (sim->options->job_interval_ms != 0)
    interval_ms = sim->options->job_interval_ms;
  if (sim->now_ms % interval_ms == 0)
    create_job (sim);
}

/* The caller closes its connection.  A host that is frozen or was restarted does not notice. */
static void
abandon_job (simulation_t *sim, sim_job_t *job)
{
  sim_host_t *host = job->host_index >= 0 ? &sim->hosts[job->host_index] : NULL;

  job->closed = true;
  if (host == NULL || !is_up (host) || host->incarnation != job->incarnation
      || host->frozen_until_ms > sim->now_ms)
    return;
  scheduler_abandon (host->scheduler, job->job_number, sim->now_ms, host->scheduler_actions);
  run_all_actions (host);
}

/* The channel of JOB breaks.  Its host goes on until it sees that. */
static void
break_channel (simulation_t *sim, sim_job_t *job)
{
  job->breaks_at_ms = INT64_MAX;
  if (job->host_index < 0)
    return;
  stale_request_t *stale = &job->stale[job->breaks++];
  stale->host_index = job->host_index;
  stale->incarnation = job->incarnation;
  stale->number = job->job_number;
  stale->close_seen_at_ms =
      random_below (sim, 2) == 0 ? 0 : sim->now_ms + 1 + random_below (sim, CLOSE_DELAY_MAX_MS);
  come_again (sim, job);
  job->deadline_at_ms = job->resubmit_at_ms + SECOND_WAIT_MS;
  if (job->breaks < BREAKS_MAX && random_chance (sim, sim->options->second_breaks))
    job->breaks_at_ms = job->resubmit_at_ms + random_below (sim, BREAK_MAX_MS);
}

/* The host of a request sees that its channel is closed. */
static void
see_close (simulation_t *sim, stale_request_t *stale)
{
  sim_host_t *host = &sim->hosts[stale->host_index];

  stale->close_seen_at_ms = 0;
  if (!is_up (host) || host->incarnation != stale->incarnation
      || host->frozen_until_ms > sim->now_ms)
    return;
  scheduler_abandon (host->scheduler, stale->number, sim->now_ms, host->scheduler_actions);
  run_all_actions (host);
}

/* Does what the caller of JOB does: it disconnects early, submits the job again, or stops
 * waiting 1 s after the deadline, which counts as unanswered if the host could have answered. */
static void
caller_step (simulation_t *sim, sim_job_t *job)
{
  for (int i = 0; i < job->breaks; i++)
    if (job->stale[i].close_seen_at_ms != 0 && sim->now_ms >= job->stale[i].close_seen_at_ms)
      see_close (sim, &job->stale[i]);
  if (job->closed)
    return;
  if (sim->now_ms >= job->breaks_at_ms)
    break_channel (sim, job);
  if (sim->now_ms >= job->leaves_at_ms)
    abandon_job (sim, job);
  else if (job->host_index < 0 && sim->now_ms >= job->resubmit_at_ms)
    {
      if (sim->now_ms < job->deadline_at_ms + 2 * DEADLINE_MS)
        {
          job->deadline_at_ms = MAX (job->deadline_at_ms, sim->now_ms + DEADLINE_MS / 2);
          send_job (sim, job);
        }
      else
        job->closed = true;
    }
  else if (job->host_index >= 0 && sim->now_ms > job->deadline_at_ms + 1000)
    {
      const sim_host_t *host = &sim->hosts[job->host_index];
      if (is_up (host) && host->incarnation == job->incarnation
          && host->frozen_until_ms + 500 < sim->now_ms)
        {
          sim->result.unanswered++;
          printf ("  unanswered: seed %u at %d ms: %s\n", sim->options->seed, (int) sim->now_ms,
                  job->id);
        }
      abandon_job (sim, job);
    }
}

/* --- faults --- */

#define DEFAULT_CLOCK_STEP_MS 5000
#define FAULT_STAGGER_MS 170
#define FAULT_INTERVAL_MS 1000
/* How long an endpoint is cut off. */
#define CUT_MIN_MS 200
#define CUT_MAX_MS 3200

/* Share of the endpoints that crash in a burst, in thousandths, and how long they are down. */
#define BURST_SHARE 500
#define BURST_DOWN_MIN_MS 300
#define BURST_DOWN_VARIES_MS 700

/* Cuts the connections of HOST in one or both directions.  Other hosts may detect this at once;
 * HOST itself does not. */
static void
cut_one_way (simulation_t *sim, sim_host_t *host)
{
  int64_t until_ms = sim->now_ms + 100 + random_below (sim, 3000);
  int direction = random_below (sim, 3);
  bool detected = random_below (sim, 2) == 0;

  if (direction != 0)
    host->send_cut_until_ms = until_ms;
  if (direction != 1)
    host->receive_cut_until_ms = until_ms;
  host->reconnect_pending = true;
  for (int i = 0; detected && i < SIM_HOSTS; i++)
    if (i != host->index && is_up (&sim->hosts[i]))
      cluster_connection_lost (sim->hosts[i].cluster, host->name, sim->now_ms);
}

#define LINK_CUT_MIN_MS 100
#define LINK_CUT_VARIES_MS 5000

/* The cut of a link begins.  Each end may detect this at once. */
static void
link_cut_begins (simulation_t *sim, void *data)
{
  sim_link_t *link = data;

  trace (sim, any_id (), "%s and %s are cut from each other until %d", link->ends[0]->name,
         link->ends[1]->name, (int) link->cut_until_ms);
  for (int i = 0; i < 2; i++)
    if (random_below (sim, 2) == 0 && is_up (link->ends[i]))
      cluster_connection_lost (link->ends[i]->cluster, link->ends[1 - i]->name, sim->now_ms);
}

/* Restores the connection of a link, as soon as its ends reach each other. */
static void
link_cut_ends (simulation_t *sim, void *data)
{
  sim_link_t *link = data;

  if (!hosts_connected (sim, link->ends[0], link->ends[1]))
    {
      schedule_event (sim, sim->now_ms + TICK_MS, link_cut_ends, link);
      return;
    }
  link->reconnect_pending = false;
  if (!sim->options->cuts_delay_messages)
    reconnect_pair (link->ends[0], link->ends[1]);
}

/* Cuts LINK unless that is done already. */
static void
cut_link (simulation_t *sim, sim_link_t *link, int64_t from_ms, int64_t until_ms)
{
  if (link->reconnect_pending)
    return;
  link->cut_from_ms = from_ms;
  link->cut_until_ms = until_ms;
  link->reconnect_pending = true;
  schedule_event (sim, from_ms, link_cut_begins, link);
  schedule_event (sim, until_ms, link_cut_ends, link);
}

/* Draws when a cut begins, within a second. */
static int64_t
draw_cut_start_ms (simulation_t *sim)
{
  return sim->now_ms + random_below (sim, FAULT_INTERVAL_MS);
}

/* Cuts the links between the data centre and the others, one after the other. */
static void
cut_gradually (simulation_t *sim, int data_centre)
{
  int64_t until_ms =
      sim->now_ms + FAULT_INTERVAL_MS + LINK_CUT_MIN_MS + random_below (sim, LINK_CUT_VARIES_MS);

  for (int i = 0; i < SIM_HOSTS; i++)
    for (int k = 0; k < SIM_HOSTS; k++)
      if (sim->hosts[i].data_centre == data_centre && sim->hosts[k].data_centre != data_centre)
        cut_link (sim, link_between (&sim->hosts[i], &sim->hosts[k]), draw_cut_start_ms (sim),
                  until_ms);
}

/* HOST and the others of its data centre lose each other. */
static void
part_host (simulation_t *sim, const sim_host_t *host)
{
  int64_t from_ms = draw_cut_start_ms (sim);
  int64_t until_ms = from_ms + LINK_CUT_MIN_MS + random_below (sim, LINK_CUT_VARIES_MS);

  for (int k = 0; k < SIM_HOSTS; k++)
    if (&sim->hosts[k] != host && sim->hosts[k].data_centre == host->data_centre)
      cut_link (sim, link_between (host, &sim->hosts[k]), from_ms, until_ms);
}

static void
inject_link_faults (simulation_t *sim)
{
  for (int i = 0; i < SIM_HOSTS; i++)
    for (int k = i + 1; k < SIM_HOSTS; k++)
      if (random_chance (sim, sim->options->link_cuts))
        {
          int64_t from_ms = draw_cut_start_ms (sim);
          cut_link (sim, &sim->links[i][k], from_ms,
                    from_ms + LINK_CUT_MIN_MS + random_below (sim, LINK_CUT_VARIES_MS));
        }
  for (int i = 0; sim->options->parted_hosts > 0 && i < SIM_HOSTS; i++)
    if (random_chance (sim, sim->options->parted_hosts))
      part_host (sim, &sim->hosts[i]);
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    if (random_chance (sim, sim->options->gradual_cuts))
      cut_gradually (sim, i);
}

/* Whether the faults of HOST are drawn now, which is done once per second. */
static bool
fault_is_due (const sim_host_t *host)
{
  int64_t offset_ms = host->sim->options->staggered_faults ? host->index * FAULT_STAGGER_MS : 0;

  return host->sim->now_ms > 3000 && host->sim->now_ms % FAULT_INTERVAL_MS == offset_ms;
}

/* Cuts HOST off from all other hosts. */
static void
cut_off (simulation_t *sim, sim_host_t *host)
{
  host->cut_until_ms = sim->now_ms + 300 + random_below (sim, 5000);
  trace (sim, any_id (), "%s is cut off until %d", host->name, (int) host->cut_until_ms);
}

static void
inject_host_faults (simulation_t *sim)
{
  const simulation_options_t *options = sim->options;

  for (int i = 0; i < SIM_HOSTS; i++)
    {
      sim_host_t *host = &sim->hosts[i];
      if (!is_up (host) || !fault_is_due (host))
        continue;
      if (random_chance (sim, options->host_crashes))
        {
          sim_host_stop (host);
          host->down_until_ms = sim->now_ms + 300 + random_below (sim, 3000);
        }
      else if (random_chance (sim, options->host_freezes))
        host->frozen_until_ms = sim->now_ms + 100 + random_below (sim, 4000);
      else if (random_chance (sim, options->host_cuts))
        cut_off (sim, host);
      else if (random_chance (sim, options->one_way_cuts))
        cut_one_way (sim, host);
      else if (random_chance (sim, options->slow_links))
        host->link_slow_until_ms = sim->now_ms + random_below (sim, 2 * LINK_DELAY_MAX_MS);
      else if (random_chance (sim, options->clock_steps))
        {
          int step_ms =
              options->clock_step_max_ms > 0 ? options->clock_step_max_ms : DEFAULT_CLOCK_STEP_MS;
          host->wall_clock_ahead_ms = random_below (sim, 2 * step_ms) - step_ms;
        }
      else if (random_chance (sim, options->terminations) && host->leaving_since_ms == 0)
        {
          host->leaving_since_ms = sim->now_ms;
          cluster_leave (host->cluster);
        }
    }
}

static void
record_crash (simulation_t *sim, const char *task)
{
  sim_job_t *job = job_of_task (sim, task);

  record_lost_run (sim, task);
  trace (sim, task, "its endpoint crashes");
  if (job != NULL)
    job->crashes[task_index_of (task)]++;
}

/* Loses the state of an endpoint in a crash. */
static void
sim_endpoint_clear (simulation_t *sim, sim_endpoint_t *endpoint)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    record_crash (sim, ((sim_run_t *) endpoint->runs->pdata[i])->task);
  g_ptr_array_set_size (endpoint->runs, 0);
  g_ptr_array_set_size (endpoint->ended_runs, 0);
  g_hash_table_remove_all (endpoint->highest_attempts);
  endpoint->token = 0;
  endpoint->lease_until_ms = 0;
  endpoint->last_end_number = 0;
}

/* Hosts learn of the endpoints of DATA_CENTRE as they are reported now. */
static void
tell_owners (simulation_t *sim, int data_centre)
{
  for (int i = 0; i < SIM_HOSTS; i++)
    if (sim->hosts[i].owned_shards[data_centre].executor != NULL)
      set_endpoints (&sim->hosts[i], data_centre);
}

static void
report_capacity (simulation_t *sim, sim_endpoint_t *endpoint)
{
  if (endpoint->report_due_ms == 0 || sim->now_ms < endpoint->report_due_ms)
    return;
  endpoint->report_due_ms = 0;
  endpoint->reported_slots = endpoint->slots;
  tell_owners (sim, endpoint->data_centre);
}

static void
crash_endpoint (simulation_t *sim, sim_endpoint_t *endpoint, int64_t down_ms)
{
  sim_endpoint_clear (sim, endpoint);
  endpoint->down_until_ms = sim->now_ms + down_ms;
  outage_t outage = { sim->now_ms, endpoint->down_until_ms };
  g_array_append_val (endpoint->outages, outage);
}

/* Crashes the endpoints on which a deadly task has run for long enough. */
static void
crash_under_deadly_tasks (simulation_t *sim)
{
  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      sim_endpoint_t *endpoint = &sim->endpoints[i];
      bool crashes = false;
      for (guint k = 0; k < endpoint->runs->len; k++)
        {
          const sim_run_t *run = endpoint->runs->pdata[k];
          crashes = crashes || (run->crashes_at_ms != 0 && run->crashes_at_ms <= sim->now_ms);
        }
      if (crashes)
        crash_endpoint (sim, endpoint,
                        DEADLY_DOWN_MIN_MS + random_below (sim, DEADLY_DOWN_VARIES_MS));
    }
}

/* Tells the owners of ENDPOINT that it has restarted. */
static void
publish_restart (simulation_t *sim, sim_endpoint_t *endpoint)
{
  endpoint->entry_due_at_ms = 0;
  tell_owners (sim, endpoint->data_centre);
}

static void
publish_due_restarts (simulation_t *sim)
{
  for (int i = 0; i < SIM_ENDPOINTS; i++)
    if (sim->endpoints[i].entry_due_at_ms != 0 && sim->endpoints[i].entry_due_at_ms <= sim->now_ms)
      publish_restart (sim, &sim->endpoints[i]);
}

/* Starts ENDPOINT again, under its id. */
static void
restart_endpoint (simulation_t *sim, sim_endpoint_t *endpoint)
{
  endpoint->down_until_ms = 0;
  endpoint->started_at_ms = sim->now_ms;
  if (sim->options->entry_delay_max_ms > 0)
    endpoint->entry_due_at_ms =
        sim->now_ms + 1 + random_below (sim, sim->options->entry_delay_max_ms);
  else
    publish_restart (sim, endpoint);
}

/* Crashes a good part of the endpoints at once, for a short time. */
static void
inject_restart_burst (simulation_t *sim)
{
  for (int i = 0; i < SIM_ENDPOINTS; i++)
    if (sim->endpoints[i].down_until_ms == 0 && random_chance (sim, BURST_SHARE))
      crash_endpoint (sim, &sim->endpoints[i],
                      BURST_DOWN_MIN_MS + random_below (sim, BURST_DOWN_VARIES_MS));
}

/* Endpoints that crash in a burst are not down until the next faults. */
static void
end_short_outages (simulation_t *sim)
{
  if (sim->options->restart_bursts == 0)
    return;
  for (int i = 0; i < SIM_ENDPOINTS; i++)
    if (sim->endpoints[i].down_until_ms != 0 && sim->endpoints[i].down_until_ms <= sim->now_ms)
      restart_endpoint (sim, &sim->endpoints[i]);
}

static void
inject_endpoint_faults (simulation_t *sim)
{
  const simulation_options_t *options = sim->options;

  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      sim_endpoint_t *endpoint = &sim->endpoints[i];
      if (endpoint->down_until_ms == 0 && random_chance (sim, options->endpoint_crashes))
        crash_endpoint (sim, endpoint, 500 + random_below (sim, 3000));
      else if (endpoint->down_until_ms != 0 && endpoint->down_until_ms <= sim->now_ms)
        restart_endpoint (sim, endpoint);
      if (g_rand_int_range (sim->capacity_rand, 0, 1000) < options->capacity_changes)
        sim_endpoint_set_slots (sim, endpoint,
                                g_rand_int_range (sim->capacity_rand, 0, SIM_ENDPOINT_SLOTS + 1));
      if (random_chance (sim, options->endpoint_cuts))
        endpoint->cut_until_ms =
            sim->now_ms + CUT_MIN_MS
            + random_below (
                sim, (options->endpoint_cut_max_ms != 0 ? options->endpoint_cut_max_ms : CUT_MAX_MS)
                         - CUT_MIN_MS);
    }
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    if (random_chance (sim, options->data_centre_cuts))
      {
        sim->data_centre_cut_until_ms[i] = sim->now_ms + 500 + random_below (sim, 5000);
        trace (sim, any_id (), "data centre %s is cut off until %d", data_centre_name (i),
               (int) sim->data_centre_cut_until_ms[i]);
      }
  for (int i = 0; options->drains > 0 && i < SIM_DATA_CENTRES; i++)
    if (sim->now_ms >= sim->drain_until_ms[i] + DRAIN_PROPAGATION_MS
        && random_chance (sim, options->drains))
      {
        sim->drain_from_ms[i] = sim->now_ms;
        sim->drain_until_ms[i] = sim->now_ms + 200 + random_below (sim, 6000);
      }
}

/* --- main loop --- */

static void
simulation_tick (simulation_t *sim, void *data)
{
  guint active_jobs = has_links (sim) ? ACTIVE_JOBS_NARROW : ACTIVE_JOBS;

  (void) data;
  choose_narrow_links (sim);
  crash_under_deadly_tasks (sim);
  end_short_outages (sim);
  publish_due_restarts (sim);
  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      sim_endpoint_step (sim, &sim->endpoints[i]);
      report_capacity (sim, &sim->endpoints[i]);
    }
  for (int i = 0; i < SIM_HOSTS; i++)
    sim_host_tick (&sim->hosts[i]);
  for (guint i = sim->jobs->len > active_jobs ? sim->jobs->len - active_jobs : 0;
       i < sim->jobs->len; i++)
    caller_step (sim, sim->jobs->pdata[i]);
  if (sim->now_ms > 2000 && sim->now_ms < sim->options->length_ms - 4000)
    submit_due_jobs (sim);
  inject_host_faults (sim);
  if (sim->now_ms % FAULT_INTERVAL_MS == sim->options->endpoint_faults_after_ms
      && sim->now_ms > 3000)
    inject_endpoint_faults (sim);
  if (sim->now_ms % FAULT_INTERVAL_MS == 0 && sim->now_ms > 3000)
    inject_link_faults (sim);
  if (sim->now_ms % FAULT_INTERVAL_MS == 0 && sim->now_ms > 3000
      && random_chance (sim, sim->options->restart_bursts))
    inject_restart_burst (sim);
  schedule_event (sim, sim->now_ms + TICK_MS, simulation_tick, NULL);
}

static void
simulation_init (simulation_t *sim)
{
  for (int i = 0; i < SIM_HOSTS; i++)
    {
      sim_host_t *host = &sim->hosts[i];
      host->sim = sim;
      host->index = i;
      host->data_centre = i % SIM_DATA_CENTRES;
      g_snprintf (host->name, sizeof host->name, "h%d", i);
      host->cluster_actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t));
      host->scheduler_actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      host->executor_actions = g_array_new (FALSE, FALSE, sizeof (executor_action_t));
    }
  for (int i = 0; i < SIM_HOSTS; i++)
    for (int k = i + 1; k < SIM_HOSTS; k++)
      sim->links[i][k] = (sim_link_t){ .ends = { &sim->hosts[i], &sim->hosts[k] } };
  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      sim_endpoint_t *endpoint = &sim->endpoints[i];
      g_snprintf (endpoint->id, sizeof endpoint->id, "e%d", i);
      endpoint->data_centre = i % SIM_DATA_CENTRES;
      endpoint->started_at_ms = 1;
      endpoint->slots = SIM_ENDPOINT_SLOTS;
      endpoint->reported_slots = SIM_ENDPOINT_SLOTS;
      endpoint->duration_factor = i % 4 == 0 ? SLOW_FACTOR : FAST_FACTOR;
      endpoint->clock_slow_percent = i / SIM_DATA_CENTRES % (CLOCK_SLOW_MAX_PERCENT + 1);
      endpoint->outages = g_array_new (FALSE, FALSE, sizeof (outage_t));
      endpoint->runs = g_ptr_array_new_with_free_func (sim_run_free);
      endpoint->ended_runs = g_ptr_array_new_with_free_func (ended_run_free);
      endpoint->highest_attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
}

/* Sorts jobs by their work, the largest first. */
static int
compare_by_work (const void *a, const void *b)
{
  int64_t x = (*(const sim_job_t *const *) a)->work_ms;
  int64_t y = (*(const sim_job_t *const *) b)->work_ms;

  return x < y ? 1 : -(x > y);
}

/* Whether an idle fast endpoint could complete each task in time if it started the task when a
 * fault last ended a run of it, or else when the job was submitted. */
static bool
is_feasible (const sim_job_t *job)
{
  for (int i = 0; i < job->tasks; i++)
    if ((double) job->last_loss_ms[i] + FAST_FACTOR * (double) job->task_work_ms[i]
        >= (double) job->wait_ms)
      return false;
  return true;
}

/* Counts the jobs of the queue "draft", and how many could be completed in time, by size. */
static void
count_size_classes (const simulation_t *sim, simulation_result_t *result)
{
  GPtrArray *drafts = g_ptr_array_new ();

  for (guint i = 0; i < sim->jobs->len; i++)
    {
      sim_job_t *job = sim->jobs->pdata[i];
      if (job->mixed_queue == &mixed_queues[MIXED_QUEUES - 1])
        g_ptr_array_add (drafts, job);
    }
  g_ptr_array_sort (drafts, compare_by_work);
  for (guint i = 0; i < drafts->len; i++)
    {
      const sim_job_t *job = drafts->pdata[i];
      size_class_counts_t *counts = &result->size_classes[i * 10 < drafts->len       ? 0
                                                          : i * 10 < drafts->len * 3 ? 1
                                                                                     : 2];
      counts->jobs++;
      counts->complete += job->complete;
      counts->feasible += is_feasible (job);
      counts->complete_by_oracle += job->oracle_incomplete == 0;
    }
  g_ptr_array_unref (drafts);
}

simulation_result_t
simulation_run (const simulation_options_t *options)
{
  simulation_t *sim = g_new0 (simulation_t, 1);

  sim->options = options;
  sim->rand = g_rand_new_with_seed (options->seed);
  sim->capacity_rand = g_rand_new_with_seed (options->seed);
  sim->mixed_rand = g_rand_new_with_seed (options->seed);
  sim->now_ms = 1000;
  sim->events = g_sequence_new (g_free);
  sim->jobs = g_ptr_array_new_with_free_func (g_free);
  simulation_init (sim);
  schedule_event (sim, sim->now_ms, simulation_tick, NULL);
  while (sim->now_ms < options->length_ms)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
      sim_event_t event = *(sim_event_t *) g_sequence_get (first);
      g_sequence_remove (first);
      sim->now_ms = event.at_ms;
      sim->result.steps++;
      event.handler (sim, event.data);
    }
  simulation_result_t result = sim->result;
  if (options->mixed_jobs)
    oracle_run (sim);
  count_size_classes (sim, &result);
  count_links (sim, &result.links);
  for (int i = 0; i < SIM_HOSTS; i++)
    {
      if (is_up (&sim->hosts[i]))
        sim_host_stop (&sim->hosts[i]);
      g_array_unref (sim->hosts[i].cluster_actions);
      g_array_unref (sim->hosts[i].scheduler_actions);
      g_array_unref (sim->hosts[i].executor_actions);
    }
  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      g_array_unref (sim->endpoints[i].outages);
      g_ptr_array_unref (sim->endpoints[i].runs);
      g_ptr_array_unref (sim->endpoints[i].ended_runs);
      g_hash_table_unref (sim->endpoints[i].highest_attempts);
    }
  /* Frees the messages and orders of the events that are left.  An order has several events and is
   * freed with the last. */
  for (GSequenceIter *at = g_sequence_get_begin_iter (sim->events); !g_sequence_iter_is_end (at);
       at = g_sequence_iter_next (at))
    {
      const sim_event_t *event = g_sequence_get (at);
      if (event->handler == message_arrives || event->handler == message_reaches_link)
        message_free (event->data);
      else if (event->handler == order_expires)
        order_free (event->data);
    }
  g_sequence_free (sim->events);
  g_ptr_array_unref (sim->jobs);
  g_rand_free (sim->rand);
  g_rand_free (sim->capacity_rand);
  g_rand_free (sim->mixed_rand);
  g_free (sim);
  return result;
}

#endif
