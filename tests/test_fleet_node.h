/* test_fleet_node.h -- hosts of the random worlds: what the daemon does between the libraries */
#ifndef TESTS_TEST_FLEET_NODE_H
#define TESTS_TEST_FLEET_NODE_H

#include "tests/test_fleet_net.h"

/* --- the glue of a host --- */

#define DRAIN_MS 1000

static bool
is_drained (const world_t *world, int zone, int64_t at_ms)
{
  return at_ms >= world->drain_from_ms[zone] && at_ms < world->drain_until_ms[zone];
}

/* Hosts hear of a drain, and of its end, at different times within DRAIN_MS. */
static bool
knows_drained (const node_t *node, int zone)
{
  return is_drained (node->world, zone,
                     node->world->now_ms - node->number * DRAIN_MS / WORLD_HOSTS);
}

/* A refusal is confirmed within this time. */
#define REFUSAL_MS 100

/* True if NODE has known a moment ago that all data centres were drained. */
static bool
knew_all_drained (const node_t *node)
{
  int64_t heard_ms = node->number * DRAIN_MS / WORLD_HOSTS;
  bool all = false;

  for (int64_t ago_ms = 0; ago_ms <= REFUSAL_MS && !all; ago_ms += TICK_MS)
    {
      all = true;
      for (int i = 0; i < WORLD_ZONES; i++)
        all = all && is_drained (node->world, i, node->world->now_ms - heard_ms - ago_ms);
    }
  return all;
}

static void
answer_job (node_t *node, const scheduler_action_t *action)
{
  world_t *world = node->world;
  job_t *job = action->user_data;

  if (job->over || job->host != node->number || job->incarnation != node->incarnation)
    return;
  trace (world, job->id, "is answered by %s: outcome %d, %s", node->name, action->outcome,
         action->reason != NULL ? action->reason : "");
  switch (action->outcome)
    {
    case SCHEDULER_COMPLETE:
      world->result.complete++;
      job->complete = true;
      for (int i = 0; i < job->tasks; i++)
        if (!job->done[i])
          {
            world->result.untrue++;
            printf ("  untrue: seed %u at %d ms: %s is complete without task %d\n",
                    world->options->seed, (int) world->now_ms, job->id, i);
          }
      break;
    case SCHEDULER_FAILED:
      {
        int most = 0;
        for (int i = 0; i < job->tasks; i++)
          most = MAX (most, job->failures[i]);
        world->result.failed++;
        world->result.false_failed += most < ATTEMPTS_MAX;
        break;
      }
    case SCHEDULER_REFUSED:
      world->result.refused++;
      if (job->starts > 0)
        {
          world->result.untrue++;
          printf ("  untrue: seed %u at %d ms: %s is refused after %d starts\n",
                  world->options->seed, (int) world->now_ms, job->id, job->starts);
        }
      job->refused = job->all_starts == 0;
      if (action->limit == SCHEDULER_LIMIT_DRAINED)
        {
          world->result.drained_out++;
          world->result.falsely_drained += !knew_all_drained (node);
        }
      break;
    case SCHEDULER_GIVEN_UP:
    default:
      world->result.given_up++;
      if (job->mixed != NULL)
        break; /* it would come again after its deadline */
      /* The caller submits again after a while. */
      job->host = -1;
      job->resend_at_ms = world->now_ms + WORLD_RESEND_MS;
      return;
    }
  job->over = true;
}

static void
run_flow_actions (node_t *node)
{
  for (guint i = 0; i < node->scheduler_actions->len; i++)
    {
      scheduler_action_t action = g_array_index (node->scheduler_actions, scheduler_action_t, i);
      if (action.kind == SCHEDULER_ANSWER)
        {
          answer_job (node, &action);
          continue;
        }
      static const message_kind_t kinds[] = { [SCHEDULER_SUBMIT] = MESSAGE_SUBMIT,
                                              [SCHEDULER_CANCEL] = MESSAGE_CANCEL,
                                              [SCHEDULER_RELEASE] = MESSAGE_RELEASE };
      message_t *message =
          message_new (kinds[action.kind], node, node_named (node->world, action.host));
      message->number = action.batch_number;
      if (action.kind == SCHEDULER_SUBMIT)
        {
          trace (node->world, action.batch.job, "%s gives %d tasks to %s for %s, batch %d%s",
                 node->name, (int) action.task_indexes->len, action.host, action.shard,
                 (int) action.batch_number, action.batch.maybe_running ? ", maybe running" : "");
          message->shard = g_strdup (action.shard);
          message->epoch = cluster_send_epoch (node->crew, action.host);
          message->batch = action.batch;
          message->batch.job = g_strdup (action.batch.job);
          message->batch.spec = g_strdup (action.batch.spec);
          message->batch.service = g_strdup (action.batch.service);
          message->batch.required_label = "";
          message->batch.preferred_rack = action.batch.preferred_rack[0] == '\0'
                                              ? ""
                                              : zone_name (zone_of (action.batch.preferred_rack));
          message->indexes = action.task_indexes;
        }
      send_message (message);
    }
  g_array_set_size (node->scheduler_actions, 0);
}

/* A host that has just started may not know of some endpoints yet. */
static bool
knows (const node_t *node, int machine)
{
  const world_t *world = node->world;

  return !world->options->blind || machine % 2 == 0
         || world->now_ms - node->started_at_ms >= BLIND_MS;
}

static void
set_machines (node_t *node, int zone)
{
  world_t *world = node->world;

  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      const machine_t *machine = &world->machines[i];
      executor_endpoint_t info = { machine->id,
                                   machine->id,
                                   "s",
                                   world->options->mixed && machine->slowness > 1 ? "b" : "a",
                                   zone_name (machine->zone),
                                   machine->born_at_ms,
                                   { WORLD_ROOM * 1000, 1000, 0 },
                                   false,
                                   0 };
      if (machine->zone == zone && knows (node, i))
        executor_set_endpoint (node->owned[zone].fleet, &info, world->now_ms);
    }
}

static void
set_drains (node_t *node)
{
  for (int i = 0; i < WORLD_ZONES; i++)
    {
      scheduler_set_drained (node->flow, zone_name (i), knows_drained (node, i));
      if (node->owned[i].fleet != NULL)
        executor_set_drained (node->owned[i].fleet, knows_drained (node, i));
    }
}

static void
count_drained_start (world_t *world, int zone)
{
  bool late =
      is_drained (world, zone, world->now_ms) && is_drained (world, zone, world->now_ms - DRAIN_MS);

  world->result.drained_starts += late;
}

static void
claim (node_t *node, const char *shard, int64_t token)
{
  int zone = zone_of (shard);
  shard_owned_t *owned = &node->owned[zone];
  executor_options_t options = { WORLD_LEASE_MS, WORLD_STOP_MS, WORLD_REMOTE_FACTOR };

  if (owned->fleet == NULL)
    {
      owned->fleet = executor_new (&options);
      owned->life++;
    }
  owned->token = token;
  owned->told_at_ms = 0;
  set_machines (node, zone);
  executor_set_drained (owned->fleet, knows_drained (node, zone));
  executor_set_discovery_until (owned->fleet, node->started_at_ms + SETTLED_AFTER_MS);
  executor_set_token (owned->fleet, token, node->world->now_ms);
}

static void
yield (node_t *node, const char *shard)
{
  shard_owned_t *owned = &node->owned[zone_of (shard)];

  g_clear_pointer (&owned->fleet, executor_free);
}

static void
run_crew_actions (node_t *node)
{
  world_t *world = node->world;

  for (guint i = 0; i < node->crew_actions->len; i++)
    {
      cluster_action_t action = g_array_index (node->crew_actions, cluster_action_t, i);
      switch (action.kind)
        {
        case CLUSTER_CLAIMED:
          trace (world, traced != NULL ? traced : "", "%s claims %s", node->name, action.shard);
          claim (node, action.shard, action.token);
          memset (node->beat_at_ms, 0, sizeof node->beat_at_ms);
          break;
        case CLUSTER_YIELDED:
          trace (world, traced != NULL ? traced : "", "%s yields %s", node->name, action.shard);
          yield (node, action.shard);
          memset (node->beat_at_ms, 0, sizeof node->beat_at_ms);
          break;
        case CLUSTER_OWNER_CHANGED:
          scheduler_set_owner (node->flow, action.shard, action.host, action.token, world->now_ms,
                               node->scheduler_actions);
          run_flow_actions (node);
          break;
        case CLUSTER_HOST_LOST:
          trace (world, traced != NULL ? traced : "", "%s loses %s", node->name, action.host);
          for (int k = 0; k < WORLD_ZONES; k++)
            if (node->owned[k].fleet != NULL)
              executor_remove_coordinator (node->owned[k].fleet, action.host, world->now_ms,
                                           node->executor_actions);
          scheduler_host_lost (node->flow, action.host, action.last_heard_at_ms, world->now_ms,
                               node->scheduler_actions);
          run_flow_actions (node);
          break;
        case CLUSTER_EPOCH_CHANGED:
          scheduler_batches_dropped (node->flow, action.host, world->now_ms,
                                     node->scheduler_actions);
          run_flow_actions (node);
          break;
        case CLUSTER_HOST_FOUND:
          memset (node->beat_at_ms, 0, sizeof node->beat_at_ms);
          break;
        default:
          break;
        }
    }
  g_array_set_size (node->crew_actions, 0);
}

static void
run_fleet_actions (node_t *node, int zone)
{
  world_t *world = node->world;

  for (guint i = 0; i < node->executor_actions->len; i++)
    {
      const executor_action_t *action =
          &g_array_index (node->executor_actions, executor_action_t, i);
      if (action->kind == EXECUTOR_START)
        count_drained_start (world, zone);
      if (action->kind <= EXECUTOR_POLL)
        give_order (node, zone, action);
      else if (action->kind == EXECUTOR_LOG)
        continue;
      else if (action->kind == EXECUTOR_FENCED)
        cluster_token_superseded (node->crew, zone_name (zone), world->now_ms, wall_of (node),
                                  node->crew_actions);
      else
        {
          message_t *message =
              message_new (MESSAGE_END, node, node_named (world, action->coordinator));
          message->number = action->batch;
          message->index = action->index;
          message->how = action->kind;
          send_message (message);
        }
    }
  g_array_set_size (node->executor_actions, 0);
}

/* As the daemon: beliefs first, when they are not fresh. */
static void
refresh (node_t *node)
{
  world_t *world = node->world;

  if (world->now_ms - node->refreshed_at_ms > STILL_MS)
    {
      cluster_process_resumed (node->crew, world->now_ms, node->crew_actions);
      scheduler_give_up_all (node->flow, "frozen", world->now_ms, node->scheduler_actions);
      run_flow_actions (node);
    }
  node->refreshed_at_ms = world->now_ms;
  if (world->options->drains > 0)
    set_drains (node);
  cluster_step (node->crew, world->now_ms, wall_of (node), node->crew_actions);
  run_crew_actions (node);
}

static void
pump (node_t *node)
{
  if (node->world->now_ms - node->refreshed_at_ms > REFRESH_MS)
    refresh (node);
  run_crew_actions (node);
  run_flow_actions (node);
  for (int i = 0; i < WORLD_ZONES; i++)
    {
      if (node->owned[i].fleet == NULL)
        continue;
      GArray *elsewhere = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
      scheduler_append_other_offers (node->flow, zone_name (i), elsewhere);
      executor_run_round (node->owned[i].fleet, elsewhere, node->world->now_ms,
                          node->executor_actions);
      g_array_unref (elsewhere);
      run_fleet_actions (node, i);
    }
  run_crew_actions (node);
  run_flow_actions (node);
}

static void
send_beats (node_t *node)
{
  world_t *world = node->world;

  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      node_t *to = &world->nodes[i];
      if (to == node || !nodes_reach (world, node, to)
          || world->now_ms - node->beat_at_ms[i]
                 < cluster_heartbeat_interval_ms (node->crew, to->name))
        continue;
      node->beat_at_ms[i] = world->now_ms;
      message_t *message = message_new (MESSAGE_BEAT, node, to);
      cluster_make_heartbeat (node->crew, to->name, world->now_ms, &message->beat);
      message->beat.host = g_strdup (message->beat.host);
      message->beat.data_centre = g_strdup (message->beat.data_centre);
      for (guint k = 0; k < message->beat.claims->len; k++)
        {
          cluster_claim_t *one = &g_array_index (message->beat.claims, cluster_claim_t, k);
          one->shard = g_strdup (one->shard);
        }
      send_message (message);
    }
}

static void
send_offers (node_t *node)
{
  world_t *world = node->world;
  const resources_t need = { 1000, 1, 0 };

  for (int i = 0; i < WORLD_ZONES; i++)
    {
      shard_owned_t *owned = &node->owned[i];
      if (owned->fleet == NULL || world->now_ms - owned->told_at_ms < OFFER_MS)
        continue;
      owned->told_at_ms = world->now_ms;
      for (int k = 0; k < WORLD_HOSTS; k++)
        {
          message_t *message = message_new (MESSAGE_OFFER, node, &world->nodes[k]);
          message->shard = g_strdup (zone_name (i));
          message->offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
          executor_offers (owned->fleet, &need, world->now_ms, message->offers);
          /* The strings of an endpoint that goes must not be pointed to. */
          for (guint m = 0; m < message->offers->len; m++)
            g_array_index (message->offers, executor_offer_t, m).service = "s";
          message->loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));
          executor_loads (owned->fleet, world->now_ms, message->loads);
          for (guint m = 0; m < message->loads->len; m++)
            g_array_index (message->loads, executor_load_t, m).service = "s";
          message->waiting = executor_totals (owned->fleet, world->now_ms).waiting;
          send_message (message);
        }
    }
}

static void
probe_orphans (node_t *node)
{
  world_t *world = node->world;

  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      const machine_t *machine = &world->machines[i];
      if (cluster_needs_probe (node->crew, zone_name (machine->zone))
          && reaches_machine (world, node, machine) && machine->down_until_ms <= world->now_ms)
        cluster_shard_reached (node->crew, zone_name (machine->zone), world->now_ms);
    }
}

static void
node_start (node_t *node)
{
  static const int32_t powers[WORLD_HOSTS] = { 90, 90, 500, 500, 300, 90 };
  world_t *world = node->world;
  cluster_options_t crew = {
    node->name,          zone_name (node->zone),
    ++node->incarnation, world->options->uneven ? powers[node->number] : 250,
    WORLD_RESEND_MS,     world->options->few_hubs ? 1 : CLUSTER_HUBS_PER_DATA_CENTRE
  };
  scheduler_options_t flow = { node->name, zone_name (node->zone), WORLD_LEASE_MS,
                               WORLD_REMOTE_FACTOR };

  node->crew = cluster_new (&crew, world->now_ms);
  node->flow = scheduler_new (&flow);
  for (int i = 0; i < WORLD_ZONES; i++)
    {
      cluster_add_shard (node->crew, zone_name (i));
      scheduler_set_rack_shard (node->flow, zone_name (i), zone_name (i));
    }
  cluster_set_ready (node->crew, true);
  node->refreshed_at_ms = world->now_ms;
  node->started_at_ms = world->now_ms;
  node->leaving_from_ms = 0;
  memset (node->beat_at_ms, 0, sizeof node->beat_at_ms);
}

/* Callers on its connections notice that they are closed. */
static void
node_stop (node_t *node)
{
  world_t *world = node->world;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      job_t *job = world->jobs->pdata[i];
      if (job->over || job->host != node->number)
        continue;
      job->host = -1;
      job->resend_at_ms = world->now_ms + WORLD_RESEND_MS;
    }
  for (int i = 0; i < WORLD_ZONES; i++)
    g_clear_pointer (&node->owned[i].fleet, executor_free);
  g_clear_pointer (&node->flow, scheduler_free);
  g_clear_pointer (&node->crew, cluster_free);
  g_array_set_size (node->crew_actions, 0);
  g_array_set_size (node->scheduler_actions, 0);
  g_array_set_size (node->executor_actions, 0);
}

/* Its connections were cut one way and are made anew: both ends send what they still owe. */
static void
reconnect (node_t *node)
{
  world_t *world = node->world;

  node->reconnects = false;
  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      node_t *peer = &world->nodes[i];
      if (peer == node || !nodes_reach (world, node, peer) || peer->frozen_until_ms > world->now_ms)
        continue;
      scheduler_resend_batches (node->flow, peer->name, node->scheduler_actions);
      run_flow_actions (node);
      scheduler_resend_batches (peer->flow, node->name, peer->scheduler_actions);
      run_flow_actions (peer);
    }
}

static void
node_tick (node_t *node)
{
  world_t *world = node->world;

  if (!is_up (node))
    {
      if (world->now_ms >= node->down_until_ms)
        node_start (node);
      return;
    }
  if (node->frozen_until_ms > world->now_ms)
    return;
  if (node->reconnects && MAX (node->mute_until_ms, node->deaf_until_ms) <= world->now_ms)
    reconnect (node);
  if (world->options->blind && world->now_ms - node->started_at_ms <= BLIND_MS + TICK_MS)
    for (int i = 0; i < WORLD_ZONES; i++)
      if (node->owned[i].fleet != NULL)
        set_machines (node, i);
  probe_orphans (node);
  refresh (node);
  scheduler_step (node->flow, world->now_ms, node->scheduler_actions);
  pump (node);
  send_offers (node);
  send_beats (node);
  if (node->leaving_from_ms != 0 && world->now_ms - node->leaving_from_ms > 3000)
    {
      node_stop (node);
      node->down_until_ms = world->now_ms + 500;
    }
}

#endif
