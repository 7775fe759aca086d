/* test_scheduling_host.h -- simulated hosts
 *
 * Connects lib/cluster, lib/scheduler and lib/executor of one host in the way the daemon does: it
 * carries out the actions that each library asks for, and passes on the results. */
#ifndef TESTS_TEST_SCHEDULING_HOST_H
#define TESTS_TEST_SCHEDULING_HOST_H

#include "tests/test_scheduling_network.h"

/* --- drains and answers to callers --- */

/* All hosts have learned of a drain, and of its end, within this time. */
#define DRAIN_PROPAGATION_MS 1000

static bool
is_drained (const simulation_t *sim, int data_centre, int64_t at_ms)
{
  return at_ms >= sim->drain_from_ms[data_centre] && at_ms < sim->drain_until_ms[data_centre];
}

/* Whether HOST knows that the data centre is drained.  Each host learns of a drain, and of its end,
 * with a delay of its own below DRAIN_PROPAGATION_MS. */
static bool
knows_drained (const sim_host_t *host, int data_centre)
{
  return is_drained (host->sim, data_centre,
                     host->sim->now_ms - host->index * DRAIN_PROPAGATION_MS / SIM_HOSTS);
}

/* A host answers a refused job only after owners have confirmed that none of its tasks has run.
 * That takes at most this long. */
#define REFUSAL_CONFIRM_MS 100

/* Whether HOST, within the last REFUSAL_CONFIRM_MS, knew all data centres to be drained. */
static bool
knew_all_drained (const sim_host_t *host)
{
  int64_t delay_ms = host->index * DRAIN_PROPAGATION_MS / SIM_HOSTS;
  bool all = false;

  for (int64_t ago_ms = 0; ago_ms <= REFUSAL_CONFIRM_MS && !all; ago_ms += TICK_MS)
    {
      all = true;
      for (int i = 0; i < SIM_DATA_CENTRES; i++)
        all = all && is_drained (host->sim, i, host->sim->now_ms - delay_ms - ago_ms);
    }
  return all;
}

/* Takes the answer to a job for its caller, and checks it against what the endpoints did. */
static void
receive_job_answer (sim_host_t *host, const scheduler_action_t *action)
{
  simulation_t *sim = host->sim;
  sim_job_t *job = action->user_data;

  if (job->closed || job->host_index != host->index || job->incarnation != host->incarnation)
    return;
  trace (sim, job->id, "is answered by %s: outcome %d, %s", host->name, action->outcome,
         action->reason != NULL ? action->reason : "");
  switch (action->outcome)
    {
    case SCHEDULER_COMPLETE:
      sim->result.complete++;
      sim->result.innocent_complete += !job->deadly;
      job->complete = true;
      job->complete_at_ms = sim->now_ms;
      for (int i = 0; i < job->tasks; i++)
        if (!job->done[i])
          {
            sim->result.false_answers++;
            printf ("  false answer: seed %u at %d ms: %s is complete without task %d\n",
                    sim->options->seed, (int) sim->now_ms, job->id, i);
          }
      break;
    case SCHEDULER_FAILED:
      {
        int most_failures = 0;
        int most_crashes = 0;
        for (int i = 0; i < job->tasks; i++)
          {
            most_failures = MAX (most_failures, job->failures[i]);
            most_crashes = MAX (most_crashes, job->crashes[i]);
          }
        sim->result.failed++;
        if (most_failures < MAX_ATTEMPTS && most_crashes < CRASHES_OF_GIVEN_UP)
          {
            sim->result.false_failures++;
            printf ("  false failure: seed %u at %d ms: %s after %d failures and %d crashes\n",
                    sim->options->seed, (int) sim->now_ms, job->id, most_failures, most_crashes);
          }
        break;
      }
    case SCHEDULER_REFUSED:
      sim->result.refused++;
      if (job->starts_since_sent > 0)
        {
          sim->result.false_answers++;
          printf ("  false answer: seed %u at %d ms: %s is refused after %d starts\n",
                  sim->options->seed, (int) sim->now_ms, job->id, job->starts_since_sent);
        }
      job->refused = job->total_starts == 0;
      if (action->limit == SCHEDULER_LIMIT_DRAINED)
        {
          sim->result.refused_drained++;
          sim->result.false_drain_refusals += !knew_all_drained (host);
        }
      break;
    case SCHEDULER_GIVEN_UP:
    default:
      sim->result.given_up++;
      if (job->mixed_queue != NULL)
        break; /* mixed jobs are not submitted again */
      /* The caller submits the job again after SIM_RESUBMIT_MS. */
      job->host_index = -1;
      job->resubmit_at_ms = sim->now_ms + SIM_RESUBMIT_MS;
      return;
    }
  job->closed = true;
}

/* Tells TO a status of a job of FROM.  Others there may not hear it, if FROM has lost one of them.
 */
static void
tell_job_status (sim_host_t *from, sim_host_t *to, const job_status_t *status)
{
  GHashTable *missed = cluster_missed_data_centres (from->cluster);
  const char *data_centre = g_intern_string (data_centre_name (to->data_centre));

  send_job_status (from, to, from, g_hash_table_contains (missed, data_centre), status);
  g_hash_table_unref (missed);
}

typedef struct
{
  sim_host_t *from;
  sim_host_t *to;
} known_jobs_t;

static void
tell_known_job (const char *origin, const job_status_t *status, void *data)
{
  const known_jobs_t *known = data;

  send_job_status (known->from, known->to, host_named (known->from->sim, origin), false, status);
}

/* HOST tells TO, a host of its data centre that it hears again, the jobs of others. */
static void
tell_known_jobs (sim_host_t *host, sim_host_t *to)
{
  known_jobs_t known = { host, to };

  if (host->data_centre == to->data_centre)
    scheduler_foreach_remote (host->scheduler, to->name, host->sim->now_ms, tell_known_job, &known);
}

static void
send_job_query (sim_host_t *from, sim_host_t *to, const char *job)
{
  sim_message_t *message = message_new (MESSAGE_JOB_QUERY, from, to);

  message->job = g_strdup (job);
  send_message (message);
}

/* Tells other hosts of jobs that are open for long; all of them and only to TO, unless NULL. */
static void
announce_jobs (sim_host_t *host, sim_host_t *to)
{
  simulation_t *sim = host->sim;
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));

  if (to != NULL)
    scheduler_append_open (host->scheduler, statuses);
  else
    scheduler_collect_statuses (host->scheduler, sim->now_ms, statuses);
  for (guint i = 0; i < statuses->len; i++)
    for (int k = 0; k < SIM_HOSTS; k++)
      if (k != host->index && (to == NULL || to == &sim->hosts[k]))
        tell_job_status (host, &sim->hosts[k], &g_array_index (statuses, job_status_t, i));
  bool confirm = statuses->len > 0 || scheduler_awaits_confirmation (host->scheduler);
  for (int k = 0; to == NULL && confirm && k < SIM_HOSTS; k++)
    if (k != host->index)
      send_told (host, &sim->hosts[k], MESSAGE_TOLD, sim->now_ms);
  g_array_unref (statuses);
}

static void run_scheduler_actions (sim_host_t *host);

/* Tells the scheduler which hosts register jobs now. */
static void
update_registrars (sim_host_t *host)
{
  cluster_registrars_t registrars;

  cluster_find_registrars (host->cluster, NULL, host->sim->now_ms, &registrars);
  scheduler_set_quorum (host->scheduler, registrars.quorum, registrars.required);
  scheduler_set_registrars (host->scheduler, registrars.hosts, host->scheduler_actions);
  cluster_registrars_clear (&registrars);
  run_scheduler_actions (host);
}

/* Tells the registrars the ends of jobs that nobody else was told of. */
static void
tell_registered_ends (sim_host_t *host)
{
  const GPtrArray *registrars = scheduler_registrars (host->scheduler);
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));

  scheduler_collect_registered_ends (host->scheduler, statuses);
  for (guint i = 0; statuses->len > 0 && i < registrars->len; i++)
    for (guint k = 0; k < statuses->len; k++)
      {
        sim_host_t *registrar = host_named (host->sim, registrars->pdata[i]);
        if (registrar != host)
          send_job_status (host, registrar, host, false,
                           &g_array_index (statuses, job_status_t, k));
      }
  g_array_unref (statuses);
}

/* A connection of HOST to TO was opened, or replaced. */
static void
register_jobs_again (sim_host_t *host, const sim_host_t *to)
{
  if (!is_up (host))
    return;
  scheduler_register_all (host->scheduler, to->name, host->scheduler_actions);
  run_scheduler_actions (host);
}

/* Tells the open jobs again to the hosts to which statuses were lost, and which are reached again:
 * a connection delivers all that was sent on it, in order, or is replaced by one on which all open
 * jobs are told.  A confirmation therefore never overtakes what it confirms. */
static void
repeat_lost_statuses (sim_host_t *host)
{
  for (int i = 0; i < SIM_HOSTS; i++)
    if (host->has_lost_statuses[i] && receives_from (host->sim, &host->sim->hosts[i], host))
      {
        host->has_lost_statuses[i] = false;
        announce_jobs (host, &host->sim->hosts[i]);
        register_jobs_again (host, &host->sim->hosts[i]);
      }
}

/* LOST is not heard any more: tells the other hosts of its data centre the open jobs again. */
static void
announce_past_lost (sim_host_t *host, const sim_host_t *lost)
{
  for (int i = 0; i < SIM_HOSTS; i++)
    {
      sim_host_t *other = &host->sim->hosts[i];
      if (other != host && other != lost && other->data_centre == lost->data_centre)
        announce_jobs (host, other);
    }
}

#define ANNOUNCE_INTERVAL_MS 200

/* Carries out an action about a job at another host. */
static void
run_job_action (sim_host_t *host, const scheduler_action_t *action)
{
  sim_host_t *other = host_named (host->sim, action->host);

  switch (action->kind)
    {
    case SCHEDULER_ASK:
      send_job_query (host, other, action->job_id);
      break;
    case SCHEDULER_TELL:
      send_job_status (host, other, host, false, &action->status);
      break;
    case SCHEDULER_REGISTER:
      send_registration (host, other, &action->status, action->registration);
      break;
    case SCHEDULER_ASK_OWNER:
      send_runs_message (MESSAGE_RUNS_QUERY, host, other, action->job_id, action->holder,
                         action->shard, 0, host->sim->now_ms);
      break;
    case SCHEDULER_GOES_ON:
      trace (host->sim, action->job_id,
             "%s goes on with it after %d ms: announced after %d, confirmed until %d", host->name,
             (int) action->age_ms, (int) action->announced_ms, (int) action->confirmed_ms);
      break;
    case SCHEDULER_NOTE:
    default:
      trace (host->sim, action->job_id, "%s finds it at %s: %d", host->name, action->host,
             (int) action->finding);
      break;
    }
}

static void
run_scheduler_actions (sim_host_t *host)
{
  for (guint i = 0; i < host->scheduler_actions->len; i++)
    {
      scheduler_action_t action = g_array_index (host->scheduler_actions, scheduler_action_t, i);
      if (action.kind == SCHEDULER_ANSWER)
        {
          if (action.user_data != NULL)
            receive_job_answer (host, &action);
          continue;
        }
      if (action.kind > SCHEDULER_ANSWER)
        {
          run_job_action (host, &action);
          continue;
        }
      static const message_kind_t kinds[] = { [SCHEDULER_SUBMIT] = MESSAGE_SUBMIT,
                                              [SCHEDULER_CANCEL] = MESSAGE_CANCEL,
                                              [SCHEDULER_RELEASE] = MESSAGE_RELEASE };
      sim_message_t *message =
          message_new (kinds[action.kind], host, host_named (host->sim, action.host));
      message->batch_number = action.batch_number;
      if (action.kind == SCHEDULER_SUBMIT)
        {
          trace (host->sim, action.batch.job, "%s submits %d tasks to %s for shard %s, batch %d%s",
                 host->name, (int) action.task_indexes->len, action.host, action.shard,
                 (int) action.batch_number, action.batch.maybe_running ? ", maybe running" : "");
          host->sim->result.links.moved_batches += action.batch.maybe_running;
          message->shard = g_strdup (action.shard);
          message->epoch = cluster_send_epoch (host->cluster, action.host);
          message->batch = action.batch;
          message->batch.job = g_strdup (action.batch.job);
          message->batch.spec = g_strdup (action.batch.spec);
          message->batch.service = g_strdup (action.batch.service);
          message->batch.required_label = "";
          message->batch.preferred_rack =
              action.batch.preferred_rack[0] == '\0'
                  ? ""
                  : data_centre_name (data_centre_of_shard (action.batch.preferred_rack));
          message->task_indexes = action.task_indexes;
        }
      send_message (message);
    }
  g_array_set_size (host->scheduler_actions, 0);
}

/* Whether HOST knows of an endpoint.  With partial_discovery it does not know those of odd index
 * during the first PARTIAL_DISCOVERY_MS after its start. */
static bool
has_discovered (const sim_host_t *host, int endpoint_index)
{
  const simulation_t *sim = host->sim;

  return !sim->options->partial_discovery || endpoint_index % 2 == 0
         || sim->now_ms - host->started_at_ms >= PARTIAL_DISCOVERY_MS;
}

/* Tells the executor of a shard about the endpoints that HOST has discovered. */
static void
set_endpoints (sim_host_t *host, int data_centre)
{
  simulation_t *sim = host->sim;

  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      const sim_endpoint_t *endpoint = &sim->endpoints[i];
      executor_endpoint_t info = { endpoint->id,
                                   endpoint->id,
                                   "s",
                                   sim->options->mixed_jobs && endpoint->duration_factor > 1 ? "b"
                                                                                             : "a",
                                   data_centre_name (endpoint->data_centre),
                                   endpoint->started_at_ms,
                                   { endpoint->reported_slots * 1000, 1000, 0 },
                                   false,
                                   0 };
      if (endpoint->data_centre == data_centre && has_discovered (host, i))
        executor_set_endpoint (host->owned_shards[data_centre].executor, &info, sim->now_ms);
    }
}

static void
set_drains (sim_host_t *host)
{
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    {
      scheduler_set_drained (host->scheduler, data_centre_name (i), knows_drained (host, i));
      if (host->owned_shards[i].executor != NULL)
        executor_set_drained (host->owned_shards[i].executor, knows_drained (host, i));
    }
}

/* Counts a start in a data centre that all hosts must know to be drained. */
static void
count_drained_start (simulation_t *sim, int data_centre)
{
  bool known = is_drained (sim, data_centre, sim->now_ms)
               && is_drained (sim, data_centre, sim->now_ms - DRAIN_PROPAGATION_MS);

  sim->result.starts_while_drained += known;
}

static void
claim_shard (sim_host_t *host, const char *shard, int64_t token)
{
  int data_centre = data_centre_of_shard (shard);
  owned_shard_t *owned = &host->owned_shards[data_centre];
  executor_options_t options = { SIM_LEASE_MS, SIM_STOP_MS, SIM_REMOTE_FACTOR, host->crashes,
                                 SIM_RESUBMIT_MS };

  if (owned->executor == NULL)
    {
      owned->executor = executor_new (&options);
      owned->generation++;
    }
  owned->token = token;
  owned->offers_sent_at_ms = 0;
  set_endpoints (host, data_centre);
  executor_set_drained (owned->executor, knows_drained (host, data_centre));
  executor_set_discovery_until (owned->executor, host->started_at_ms + DISCOVERY_MS);
  /* Hosts read the directory at all times. */
  executor_set_directory_read (owned->executor, INT64_MAX);
  executor_set_token (owned->executor, token, host->sim->now_ms);
}

static void
yield_shard (sim_host_t *host, const char *shard)
{
  owned_shard_t *owned = &host->owned_shards[data_centre_of_shard (shard)];

  g_clear_pointer (&owned->executor, executor_free);
}

static void
send_heartbeat (sim_host_t *host, sim_host_t *to)
{
  sim_message_t *message = message_new (MESSAGE_HEARTBEAT, host, to);
  cluster_heartbeat_t *heartbeat = &message->heartbeat;

  cluster_make_heartbeat (host->cluster, to->name, host->sim->now_ms, heartbeat);
  heartbeat->host = g_strdup (heartbeat->host);
  heartbeat->data_centre = g_strdup (heartbeat->data_centre);
  for (guint i = 0; i < heartbeat->claims->len; i++)
    {
      cluster_claim_t *claim = &g_array_index (heartbeat->claims, cluster_claim_t, i);
      claim->shard = g_strdup (claim->shard);
    }
  send_message (message);
}

/* Sends the heartbeats that are due, or all if AT_ONCE. */
static void
send_heartbeats (sim_host_t *host, bool at_once)
{
  simulation_t *sim = host->sim;

  for (int i = 0; i < SIM_HOSTS; i++)
    {
      sim_host_t *to = &sim->hosts[i];
      if (to != host && hosts_connected (sim, host, to)
          && (at_once || cluster_heartbeat_is_due (host->cluster, to->name, sim->now_ms)))
        send_heartbeat (host, to);
    }
}

static void
run_cluster_actions (sim_host_t *host)
{
  simulation_t *sim = host->sim;

  for (guint i = 0; i < host->cluster_actions->len; i++)
    {
      cluster_action_t action = g_array_index (host->cluster_actions, cluster_action_t, i);
      scheduler_set_told_at (host->scheduler, cluster_told_at_ms (host->cluster, sim->now_ms));
      switch (action.kind)
        {
        case CLUSTER_CLAIMED:
          trace (sim, any_id (), "%s claims shard %s", host->name, action.shard);
          claim_shard (host, action.shard, action.token);
          send_heartbeats (host, true);
          break;
        case CLUSTER_YIELDED:
          trace (sim, any_id (), "%s yields shard %s", host->name, action.shard);
          yield_shard (host, action.shard);
          send_heartbeats (host, true);
          break;
        case CLUSTER_OWNER_CHANGED:
          send_heartbeats (host, false);
          scheduler_set_owner (host->scheduler, action.shard, action.host, action.token,
                               sim->now_ms, host->scheduler_actions);
          run_scheduler_actions (host);
          break;
        case CLUSTER_HOST_LOST:
          trace (sim, any_id (), "%s has lost host %s", host->name, action.host);
          sim->result.links.lost_hosts++;
          for (int k = 0; k < SIM_DATA_CENTRES; k++)
            if (host->owned_shards[k].executor != NULL)
              executor_remove_coordinator (host->owned_shards[k].executor, action.host,
                                           action.alive_at_ms, sim->now_ms, host->executor_actions);
          scheduler_host_lost (host->scheduler, action.host, action.last_heard_at_ms, sim->now_ms,
                               host->scheduler_actions);
          run_scheduler_actions (host);
          announce_past_lost (host, host_named (sim, action.host));
          break;
        case CLUSTER_HOST_RESTARTED:
          scheduler_host_restarted (host->scheduler, action.host, action.started_at_ms);
          break;
        case CLUSTER_EPOCH_CHANGED:
          send_heartbeat (host, host_named (sim, action.host));
          scheduler_batches_dropped (host->scheduler, action.host, sim->now_ms,
                                     host->scheduler_actions);
          run_scheduler_actions (host);
          break;
        case CLUSTER_HOST_FOUND:
          scheduler_host_found (host->scheduler, action.started_at_ms);
          send_heartbeat (host, host_named (sim, action.host));
          /* The connection to a host that was lost is replaced, and both tell their jobs on it. */
          announce_jobs (host, host_named (sim, action.host));
          tell_known_jobs (host, host_named (sim, action.host));
          register_jobs_again (host, host_named (sim, action.host));
          if (is_up (host_named (sim, action.host)))
            announce_jobs (host_named (sim, action.host), host);
          register_jobs_again (host_named (sim, action.host), host);
          break;
        default:
          break;
        }
    }
  g_array_set_size (host->cluster_actions, 0);
}

static void
send_loss (sim_host_t *from, sim_host_t *to, const crash_loss_t *loss)
{
  sim_message_t *message = message_new (MESSAGE_LOSS, from, to);

  message->loss = *loss;
  message->loss.task = g_strdup (loss->task);
  message->loss.endpoint = g_strdup (loss->endpoint);
  send_message (message);
}

static void
send_loss_to_all (const crash_loss_t *loss, void *user)
{
  sim_host_t *host = user;

  for (int i = 0; i < SIM_HOSTS; i++)
    if (i != host->index && is_up (&host->sim->hosts[i]))
      send_loss (host, &host->sim->hosts[i], loss);
}

/* Carries out the actions of the executor that owns the shard of DATA_CENTRE. */
static void
run_executor_actions (sim_host_t *host, int data_centre)
{
  simulation_t *sim = host->sim;

  for (guint i = 0; i < host->executor_actions->len; i++)
    {
      const executor_action_t *action =
          &g_array_index (host->executor_actions, executor_action_t, i);
      if (action->kind == EXECUTOR_START)
        count_drained_start (sim, data_centre);
      if (action->kind <= EXECUTOR_POLL)
        send_order (host, data_centre, action);
      else if (action->kind == EXECUTOR_LOG)
        continue;
      else if (action->kind == EXECUTOR_LOSS)
        send_loss_to_all (&action->loss, host);
      else if (action->kind == EXECUTOR_FENCED)
        cluster_token_superseded (host->cluster, data_centre_name (data_centre), sim->now_ms,
                                  wall_clock_ms (host), host->cluster_actions);
      else
        {
          sim_message_t *message =
              message_new (MESSAGE_TASK_END, host, host_named (sim, action->coordinator));
          message->batch_number = action->batch;
          message->task_index = action->index;
          message->task_end = action->kind;
          send_message (message);
        }
    }
  g_array_set_size (host->executor_actions, 0);
}

/* Updates the cluster's view before anything else is done, as the daemon does.  If the last update
 * is too long ago, the process has been suspended and all jobs are given up. */
static void
refresh_host (sim_host_t *host)
{
  simulation_t *sim = host->sim;

  if (sim->now_ms - host->refreshed_at_ms > SUSPENSION_MS)
    {
      cluster_process_resumed (host->cluster, sim->now_ms, host->cluster_actions);
      scheduler_give_up_all (host->scheduler, "frozen", sim->now_ms, host->scheduler_actions);
      run_scheduler_actions (host);
    }
  host->refreshed_at_ms = sim->now_ms;
  if (sim->options->drains > 0)
    set_drains (host);
  cluster_step (host->cluster, sim->now_ms, wall_clock_ms (host), host->cluster_actions);
  run_cluster_actions (host);
}

/* Carries out the pending actions of all three libraries, and lets each executor start tasks. */
static void
run_all_actions (sim_host_t *host)
{
  if (host->sim->now_ms - host->refreshed_at_ms > REFRESH_INTERVAL_MS)
    refresh_host (host);
  run_cluster_actions (host);
  run_scheduler_actions (host);
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    {
      if (host->owned_shards[i].executor == NULL)
        continue;
      GArray *other_offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
      scheduler_append_other_offers (host->scheduler, data_centre_name (i), host->sim->now_ms,
                                     other_offers);
      executor_run_round (host->owned_shards[i].executor, other_offers, host->sim->now_ms,
                          host->executor_actions);
      g_array_unref (other_offers);
      run_executor_actions (host, i);
    }
  run_cluster_actions (host);
  run_scheduler_actions (host);
}

static void
send_offers (sim_host_t *host)
{
  simulation_t *sim = host->sim;
  const resources_t need = { 1000, 1, 0 };
  int64_t interval_ms =
      sim->options->offer_interval_ms != 0 ? sim->options->offer_interval_ms : OFFER_INTERVAL_MS;

  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    {
      owned_shard_t *owned = &host->owned_shards[i];
      if (owned->executor == NULL || sim->now_ms - owned->offers_sent_at_ms < interval_ms)
        continue;
      owned->offers_sent_at_ms = sim->now_ms;
      for (int k = 0; k < SIM_HOSTS; k++)
        {
          sim_message_t *message = message_new (MESSAGE_OFFERS, host, &sim->hosts[k]);
          message->shard = g_strdup (data_centre_name (i));
          message->offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
          executor_offers (owned->executor, &need, sim->now_ms, message->offers);
          /* The endpoint may be removed before the message arrives: use a static string. */
          for (guint m = 0; m < message->offers->len; m++)
            g_array_index (message->offers, executor_offer_t, m).service = "s";
          message->loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));
          executor_loads (owned->executor, sim->now_ms, message->loads);
          for (guint m = 0; m < message->loads->len; m++)
            g_array_index (message->loads, executor_load_t, m).service = "s";
          message->waiting = executor_totals (owned->executor, sim->now_ms).waiting;
          message->surveyed = executor_is_surveyed (owned->executor);
          message->token = owned->token;
          send_message (message);
        }
    }
}

/* Reports to lib/cluster which unowned shards have an endpoint that HOST can reach.  The requests
 * themselves are not simulated. */
static void
probe_unowned_shards (sim_host_t *host)
{
  simulation_t *sim = host->sim;

  for (int i = 0; i < SIM_ENDPOINTS; i++)
    {
      const sim_endpoint_t *endpoint = &sim->endpoints[i];
      if (cluster_needs_probe (host->cluster, data_centre_name (endpoint->data_centre))
          && reaches_endpoint (sim, host, endpoint) && endpoint->down_until_ms <= sim->now_ms)
        cluster_shard_reached (host->cluster, data_centre_name (endpoint->data_centre),
                               sim->now_ms);
    }
}

/* A lease of a process before this one, on a slow clock, and a stop. */
#define COLD_START_MS                                                                              \
  (SIM_LEASE_MS + SIM_LEASE_MS * EXECUTOR_CLOCK_SLACK_PERCENT / 100 + SIM_STOP_MS)

static void
sim_host_start (sim_host_t *host)
{
  static const int32_t cpu_millicores[SIM_HOSTS] = { 90, 90, 500, 500, 300, 90 };
  simulation_t *sim = host->sim;
  cluster_options_t cluster_options = {
    host->name,          data_centre_name (host->data_centre),
    ++host->incarnation, sim->options->uneven_hosts ? cpu_millicores[host->index] : 250,
    SIM_RESUBMIT_MS,     sim->options->one_hub_per_data_centre ? 1 : CLUSTER_HUBS_PER_DATA_CENTRE
  };
  scheduler_options_t scheduler_options = { .host = host->name,
                                            .data_centre = data_centre_name (host->data_centre),
                                            .lease_ms = SIM_LEASE_MS,
                                            .remote_factor = SIM_REMOTE_FACTOR,
                                            .incarnation = (uint64_t) host->incarnation << 32,
                                            .resubmit_ms = sim->options->broken_channels > 0
                                                               ? SIM_RESUBMIT_MS
                                                               : 0,
                                            .started_at_ms = sim->now_ms };

  if (scheduler_options.resubmit_ms != 0)
    scheduler_options.cold_until_ms = sim->now_ms + COLD_START_MS;
  host->cluster = cluster_new (&cluster_options, sim->now_ms);
  host->scheduler = scheduler_new (&scheduler_options);
  host->crashes = crash_history_new ();
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    {
      cluster_add_shard (host->cluster, data_centre_name (i));
      scheduler_set_rack_shard (host->scheduler, data_centre_name (i), data_centre_name (i));
    }
  scheduler_set_shards_listed (host->scheduler);
  cluster_set_ready (host->cluster, true, host->sim->now_ms);
  for (int i = 0; i < SIM_HOSTS; i++)
    if (i != host->index && is_up (&sim->hosts[i]))
      crash_history_foreach (sim->hosts[i].crashes, send_loss_to_all, &sim->hosts[i]);
  trace (sim, any_id (), "%s starts", host->name);
  host->refreshed_at_ms = sim->now_ms;
  host->started_at_ms = sim->now_ms;
  host->link_slow_until_ms = 0;
  host->link_delay_ms = 0;
  memset (host->link_free_at_us, 0, sizeof host->link_free_at_us);
  memset (host->last_arrival_ms, 0, sizeof host->last_arrival_ms);
  memset (host->held_until_ms, 0, sizeof host->held_until_ms);
  memset (host->has_lost_statuses, 0, sizeof host->has_lost_statuses);
  host->leaving_since_ms = 0;
}

/* Stops HOST at once.  Its callers notice that their connections are closed, and submit again. */
static void
sim_host_stop (sim_host_t *host)
{
  simulation_t *sim = host->sim;

  trace (sim, any_id (), "%s ends", host->name);
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      sim_job_t *job = sim->jobs->pdata[i];
      if (job->closed || job->host_index != host->index)
        continue;
      come_again (sim, job);
    }
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    g_clear_pointer (&host->owned_shards[i].executor, executor_free);
  g_clear_pointer (&host->scheduler, scheduler_free);
  g_clear_pointer (&host->crashes, crash_history_free);
  g_clear_pointer (&host->cluster, cluster_free);
  g_array_set_size (host->cluster_actions, 0);
  g_array_set_size (host->scheduler_actions, 0);
  g_array_set_size (host->executor_actions, 0);
}

/* Restores the connection of two hosts.  Both send all open batches, and tell their open jobs,
 * again. */
static void
reconnect_pair (sim_host_t *host, sim_host_t *peer)
{
  scheduler_resend_batches (host->scheduler, peer->name, host->scheduler_actions);
  run_scheduler_actions (host);
  scheduler_resend_batches (peer->scheduler, host->name, peer->scheduler_actions);
  run_scheduler_actions (peer);
  announce_jobs (host, peer);
  announce_jobs (peer, host);
  register_jobs_again (host, peer);
  register_jobs_again (peer, host);
}

/* Restores the connections of HOST after a one-way cut. */
static void
reconnect_host (sim_host_t *host)
{
  simulation_t *sim = host->sim;

  host->reconnect_pending = false;
  for (int i = 0; i < SIM_HOSTS; i++)
    {
      sim_host_t *peer = &sim->hosts[i];
      if (peer == host || !hosts_connected (sim, host, peer) || peer->frozen_until_ms > sim->now_ms)
        continue;
      reconnect_pair (host, peer);
    }
}

#define REACH_INTERVAL_MS 50

/* Tells the scheduler which data centres are out of reach. */
static void
check_reach (sim_host_t *host)
{
  GArray *unreached = g_array_new (FALSE, FALSE, sizeof (cluster_unreached_t));

  cluster_append_unreached (host->cluster, host->sim->now_ms, unreached);
  scheduler_clear_unreached (host->scheduler);
  for (guint i = 0; i < unreached->len; i++)
    {
      const cluster_unreached_t *entry = &g_array_index (unreached, cluster_unreached_t, i);
      const scheduler_unreached_t told = { entry->reached_at_ms, entry->since_ms, entry->heard };
      scheduler_add_unreached (host->scheduler, &told);
    }
  g_array_unref (unreached);
  scheduler_set_confirmed_at (host->scheduler,
                              cluster_confirmed_at_ms (host->cluster, host->sim->now_ms));
}

/* Does what the daemon does every few milliseconds, and restarts a host that has been down long
 * enough. */
static void
sim_host_tick (sim_host_t *host)
{
  simulation_t *sim = host->sim;

  if (!is_up (host))
    {
      if (sim->now_ms >= host->down_until_ms)
        sim_host_start (host);
      return;
    }
  update_link_delay (host);
  if (host->frozen_until_ms > sim->now_ms)
    return;
  if (host->reconnect_pending
      && MAX (host->send_cut_until_ms, host->receive_cut_until_ms) <= sim->now_ms)
    reconnect_host (host);
  if (sim->options->partial_discovery
      && sim->now_ms - host->started_at_ms <= PARTIAL_DISCOVERY_MS + TICK_MS)
    for (int i = 0; i < SIM_DATA_CENTRES; i++)
      if (host->owned_shards[i].executor != NULL)
        set_endpoints (host, i);
  probe_unowned_shards (host);
  refresh_host (host);
  if (sim->now_ms % REACH_INTERVAL_MS == 0)
    check_reach (host);
  if (sim->options->broken_channels > 0)
    update_registrars (host);
  scheduler_step (host->scheduler, sim->now_ms, host->scheduler_actions);
  if (sim->now_ms % ANNOUNCE_INTERVAL_MS == 0)
    {
      repeat_lost_statuses (host);
      tell_registered_ends (host);
      announce_jobs (host, NULL);
    }
  run_all_actions (host);
  send_offers (host);
  send_heartbeats (host, false);
  if (host->leaving_since_ms != 0 && sim->now_ms - host->leaving_since_ms > 3000)
    {
      sim_host_stop (host);
      host->down_until_ms = sim->now_ms + 500;
    }
}

#endif
