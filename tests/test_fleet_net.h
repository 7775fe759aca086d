/* test_fleet_net.h -- orders and messages of the random worlds on their way */
#ifndef TESTS_TEST_FLEET_NET_H
#define TESTS_TEST_FLEET_NET_H

#include "tests/test_fleet_machine.h"

/* --- orders on their way --- */

typedef struct
{
  node_t *node;
  uint64_t incarnation;
  int zone;
  uint32_t life;
  machine_t *machine;
  int64_t machine_born_at_ms;
  executor_action_t order; /* with a task of its own */
  int64_t token;
  int64_t give_up_at_ms;
  bool answered;
  bool mute; /* the answer is lost */
  executor_answer_t answer;
  int64_t clock_there_ms;
  listing_t listing;
} order_t;

static shard_owned_t *
owner_of (const order_t *order)
{
  shard_owned_t *owned = &order->node->owned[order->zone];
  bool same = is_up (order->node) && order->node->incarnation == order->incarnation
              && owned->fleet != NULL && owned->life == order->life;

  return same ? owned : NULL;
}

static void
order_free (order_t *order)
{
  listing_clear (&order->listing);
  g_free ((char *) order->order.task);
  g_free (order);
}

static void
tell_answer (world_t *world, order_t *order)
{
  shard_owned_t *owned = owner_of (order);
  node_t *node = order->node;

  if (owned == NULL)
    return;
  if (order->order.kind == EXECUTOR_START)
    executor_start_answered (owned->fleet, order->order.serial, order->answer,
                             order->clock_there_ms, world->now_ms, node->executor_actions);
  else if (order->order.kind == EXECUTOR_STOP)
    executor_stop_answered (owned->fleet, order->order.serial, order->answer, order->clock_there_ms,
                            world->now_ms, node->executor_actions);
  else
    executor_poll_answered (owned->fleet, order->order.serial, order->answer,
                            order->answer == EXECUTOR_OK ? &order->listing.look : NULL,
                            world->now_ms, node->executor_actions);
  pump (node);
}

/* A frozen process reads what has come once it wakes. */
static bool
postpone (world_t *world, const node_t *node, event_fn_t run, void *data)
{
  if (!is_up (node) || node->frozen_until_ms <= world->now_ms)
    return false;
  plan (world, node->frozen_until_ms + 1, run, data);
  return true;
}

static void
order_timeout (world_t *world, void *data)
{
  order_t *order = data;

  if (postpone (world, order->node, order_timeout, data))
    return;
  if (!order->answered)
    {
      order->answered = true;
      order->answer = EXECUTOR_NO_ANSWER;
      tell_answer (world, order);
    }
}

static void
order_answered (world_t *world, void *data)
{
  order_t *order = data;

  if (postpone (world, order->node, order_answered, data))
    return;
  if (order->answered || !reaches_machine (world, order->node, order->machine))
    return;
  order->answered = true;
  tell_answer (world, order);
}

static void
order_arrives (world_t *world, void *data)
{
  order_t *order = data;
  machine_t *machine = order->machine;

  if (!reaches_machine (world, order->node, machine))
    return;
  if (machine->down_until_ms != 0 && world->options->refusing)
    {
      order->answer =
          order->order.kind == EXECUTOR_START ? EXECUTOR_UNHEALTHY : EXECUTOR_INSTANCE_GONE;
      plan (world, world->now_ms + 1, order_answered, order);
      return;
    }
  if (machine->down_until_ms != 0 || machine->born_at_ms != order->machine_born_at_ms)
    return;
  machine_step (world, machine);
  if (order->order.kind == EXECUTOR_START)
    order->answer = machine_start (world, machine, &order->order, order->token);
  else if (order->order.kind == EXECUTOR_STOP)
    order->answer = machine_stop (world, machine, &order->order, order->token);
  else if (order->token < machine->token)
    order->answer = EXECUTOR_STALE_TOKEN;
  else
    {
      machine->token = order->token;
      for (guint i = machine->ends->len; i-- > 0;)
        if (((end_t *) machine->ends->pdata[i])->number <= order->order.ack_number)
          g_ptr_array_remove_index (machine->ends, i);
      if (order->order.lease_until_endpoint_ms > 0)
        machine->lease_until_ms =
            MAX (machine->lease_until_ms,
                 MIN (order->order.lease_until_endpoint_ms + machine->born_at_ms - 1,
                      world->now_ms + WORLD_LEASE_MS));
      if (order->order.wait_ms > 0 && machine->ends->len == 0)
        {
          /* Waits for an end; asks itself again. */
          order->order.wait_ms = MAX (order->order.wait_ms - TICK_MS, 0);
          order->order.lease_until_endpoint_ms = 0;
          plan (world, world->now_ms + TICK_MS, order_arrives, order);
          return;
        }
      listing_clear (&order->listing);
      order->listing = machine_list (world, machine);
    }
  order->clock_there_ms = clock_there (world, machine);
  if (!order->mute)
    plan (world, world->now_ms + 1 + draw (world, 3), order_answered, order);
}

static void
order_ends (world_t *world, void *data)
{
  (void) world;
  order_free (data);
}

static void
give_order (node_t *node, int zone, const executor_action_t *action)
{
  world_t *world = node->world;
  order_t *order = g_new0 (order_t, 1);

  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    if (strcmp (world->machines[i].id, action->endpoint) == 0)
      order->machine = &world->machines[i];
  order->node = node;
  order->incarnation = node->incarnation;
  order->zone = zone;
  order->life = node->owned[zone].life;
  order->machine_born_at_ms = order->machine->born_at_ms;
  order->order = *action;
  order->order.task = g_strdup (action->task);
  order->token = node->owned[zone].token;
  int64_t arrives_ms = world->now_ms + 1 + draw (world, 3);
  int64_t limit_ms = action->wait_ms + ORDER_MAX_MS;
  int64_t last_ms = world->now_ms + 20000;
  if (happens (world, world->options->late))
    {
      order->mute = true;
      arrives_ms = world->now_ms + 2000 + draw (world, 10000);
    }
  else
    order->mute = happens (world, world->options->lost);
  trace (world, action->task != NULL ? action->task : "",
         "%s orders %s on %s, attempt %d, arrives at %d%s", node->name,
         action->kind == EXECUTOR_START ? "a start" : "a stop", action->endpoint,
         (int) action->attempt, (int) arrives_ms, order->mute ? ", no answer" : "");
  plan (world, arrives_ms, order_arrives, order);
  plan (world, world->now_ms + limit_ms, order_timeout, order);
  plan (world, last_ms, order_ends, order);
}

/* --- messages between hosts --- */

typedef enum
{
  MESSAGE_SUBMIT,
  MESSAGE_CANCEL,
  MESSAGE_CANCELLED,
  MESSAGE_RELEASE,
  MESSAGE_END,
  MESSAGE_OFFER,
  MESSAGE_BEAT
} message_kind_t;

typedef struct
{
  message_kind_t kind;
  node_t *from;
  node_t *to;
  uint64_t to_incarnation;
  char *shard;
  uint64_t epoch;
  executor_batch_t batch;
  GArray *indexes;
  uint64_t number;
  int32_t index;
  executor_action_kind_t how;
  bool never;
  GArray *offers;
  GArray *loads;
  int32_t waiting;
  cluster_heartbeat_t beat;
} message_t;

/* The time of day of a host. */
static int64_t
wall_of (const node_t *node)
{
  return node->world->now_ms + node->wall_ahead_ms;
}

static int
zone_of (const char *shard)
{
  for (int i = 0; i < WORLD_ZONES; i++)
    if (strcmp (zone_name (i), shard) == 0)
      return i;
  return 0;
}

static void
message_free (message_t *message)
{
  g_free (message->shard);
  g_free ((char *) message->batch.job);
  g_free ((char *) message->batch.spec);
  g_free ((char *) message->batch.service);
  if (message->indexes != NULL)
    g_array_unref (message->indexes);
  if (message->offers != NULL)
    g_array_unref (message->offers);
  if (message->loads != NULL)
    g_array_unref (message->loads);
  cluster_heartbeat_clear (&message->beat);
  g_free (message);
}

static message_t *
message_new (message_kind_t kind, node_t *from, node_t *to)
{
  message_t *message = g_new0 (message_t, 1);

  message->kind = kind;
  message->from = from;
  message->to = to;
  message->to_incarnation = to->incarnation;
  return message;
}

static void send_message (message_t *message);

static void
take_submit (node_t *node, message_t *message)
{
  shard_owned_t *owned = &node->owned[zone_of (message->shard)];

  message->batch.coordinator = message->from->name;
  if (message->from != node
      && !cluster_accepts_epoch (node->crew, message->from->name, message->epoch))
    return;
  if (owned->fleet != NULL)
    {
      executor_submit (owned->fleet, &message->batch, node->world->now_ms);
      return;
    }
  for (guint i = 0; i < message->indexes->len; i++)
    {
      message_t *end = message_new (MESSAGE_END, node, message->from);
      end->number = message->batch.batch;
      end->index = g_array_index (message->indexes, int32_t, i);
      end->how = EXECUTOR_NOT_OWNED;
      send_message (end);
    }
}

static void
take_end (node_t *node, const message_t *message)
{
  scheduler_task_ended (node->flow, message->from->name, message->number, message->index,
                        scheduler_task_end_of (message->how), node->world->now_ms,
                        node->scheduler_actions);
}

static void
take_cancel (node_t *node, const message_t *message)
{
  message_t *reply = message_new (MESSAGE_CANCELLED, node, message->from);

  reply->number = message->number;
  for (int i = 0; i < WORLD_ZONES; i++)
    if (node->owned[i].fleet != NULL)
      reply->never |= executor_cancel (node->owned[i].fleet, message->from->name, message->number,
                                       node->world->now_ms, node->executor_actions);
  send_message (reply);
}

static void
take_release (node_t *node, const message_t *message)
{
  message_t *reply = message_new (MESSAGE_CANCELLED, node, message->from);

  reply->number = message->number;
  for (int i = 0; i < WORLD_ZONES; i++)
    if (node->owned[i].fleet != NULL)
      executor_release (node->owned[i].fleet, message->from->name, message->number);
  send_message (reply);
}

static void message_arrives (world_t *world, void *data);

/* Bytes that a cut has held up arrive when it ends, in their order. */
static bool
hold_back (world_t *world, message_t *message)
{
  const node_t *from = message->from;
  const node_t *to = message->to;

  if (!world->options->held || from == to || !is_up (from) || !is_up (to)
      || nodes_reach (world, from, to))
    return false;
  int64_t until_ms = MAX (from->cut_until_ms, to->cut_until_ms);
  if (from->zone != to->zone)
    until_ms = MAX (until_ms,
                    MAX (world->zone_cut_until_ms[from->zone], world->zone_cut_until_ms[to->zone]));
  plan (world, until_ms + 1, message_arrives, message);
  return true;
}

static void
message_arrives (world_t *world, void *data)
{
  message_t *message = data;
  node_t *node = message->to;

  if (postpone (world, node, message_arrives, data) || hold_back (world, message))
    return;
  bool arrives = is_up (node) && node->incarnation == message->to_incarnation
                 && (message->from == node || hears (world, node, message->from));
  if (arrives)
    {
      switch (message->kind)
        {
        case MESSAGE_SUBMIT:
          take_submit (node, message);
          break;
        case MESSAGE_CANCEL:
          take_cancel (node, message);
          break;
        case MESSAGE_RELEASE:
          take_release (node, message);
          break;
        case MESSAGE_CANCELLED:
          scheduler_batch_end_confirmed (node->flow, message->from->name, message->number,
                                         message->never, world->now_ms, node->scheduler_actions);
          break;
        case MESSAGE_END:
          take_end (node, message);
          break;
        case MESSAGE_OFFER:
          scheduler_set_offers (node->flow, message->shard, message->from->name,
                                (const executor_offer_t *) (void *) message->offers->data,
                                message->offers->len, message->waiting);
          scheduler_set_loads (node->flow, message->shard, message->from->name,
                               (const executor_load_t *) (void *) message->loads->data,
                               message->loads->len, world->now_ms);
          break;
        case MESSAGE_BEAT:
        default:
          cluster_receive_heartbeat (node->crew, &message->beat, world->now_ms, node->crew_actions);
          cluster_step (node->crew, world->now_ms, wall_of (node), node->crew_actions);
          break;
        }
      pump (node);
    }
  message_free (message);
}

/* Messages from one host to another keep their order: the delay is fixed. */
static void
send_message (message_t *message)
{
  world_t *world = message->from->world;
  int64_t delay_ms = message->from == message->to ? 0 : 1;

  plan (world, world->now_ms + delay_ms, message_arrives, message);
}

static node_t *
node_named (world_t *world, const char *name)
{
  for (int i = 0; i < WORLD_HOSTS; i++)
    if (strcmp (world->nodes[i].name, name) == 0)
      return &world->nodes[i];
  return NULL;
}

#endif
