/* test_claim_world.h -- simulated hosts and network for the tests of lib/claim
 *
 * Each host runs a replica and a coordinator.  Messages are queued until the test
 * delivers them, and links can be blocked.  All hosts share one clock and one key.
 * Host I has the id "hI" and bit I in masks of hosts.
 */
#ifndef TESTS_TEST_CLAIM_WORLD_H
#define TESTS_TEST_CLAIM_WORLD_H

#include "claim/coordinator.h"
#include "claim/replica.h"

#include <string.h>

#define WORLD_HOSTS 9
#define WORLD_HOME "dc"
#define WORLD_WALL_MS INT64_C (1000000000)

typedef struct
{
  member_t *member;
  claim_replica_t *replica;
  claim_coordinator_t *coordinator;
  view_t *view;
  bool granted;       /* the host was granted the key and has not released it */
  bool released;      /* it has released the key once */
  int32_t done_count; /* operations that ended */
  claim_done_result_t last_result;
} world_host_t;

typedef struct
{
  int32_t from;
  int32_t to;
  GBytes *frame;
} world_packet_t;

typedef struct
{
  claim_limits_t limits;
  int32_t count;
  int64_t now_ms;
  int64_t issued_at_ms;
  int32_t holders; /* hosts that were granted the key and have not released it */
  int32_t holders_max;
  bool blocked[WORLD_HOSTS][WORLD_HOSTS]; /* links, by sender and receiver */
  char key[32];
  world_host_t hosts[WORLD_HOSTS];
  GPtrArray *net; /* queued messages: world_packet_t, oldest first */
} world_t;

static view_t *
world_view_of (const char *data_centre, void *data)
{
  (void) data_centre;
  return ((world_host_t *) data)->view;
}

static void
world_packet_free (world_packet_t *packet)
{
  g_bytes_unref (packet->frame);
  g_free (packet);
}

static void
world_init (world_t *world, int32_t count, const claim_rules_t *rules)
{
  *world = (world_t){ .limits = CLAIM_LIMITS_DEFAULT, .count = count, .now_ms = 1000 };
  world->issued_at_ms = WORLD_WALL_MS + world->now_ms;
  world->net = g_ptr_array_new_with_free_func ((GDestroyNotify) world_packet_free);
  for (int32_t i = 0; i < count; i++)
    {
      world_host_t *host = &world->hosts[i];
      char id[4] = { 'h', (char) ('0' + i), '\0', '\0' };
      host->member = member_new (id, (uint64_t) i + 1, id, WORLD_HOME);
      host->replica = claim_replica_new (host->member, rules, &world->limits);
      host->coordinator = claim_coordinator_new (host->member, rules, &world->limits, world_view_of,
                                                 host, (uint32_t) i);
    }
}

static void
world_clear (world_t *world)
{
  g_ptr_array_unref (world->net);
  for (int32_t i = 0; i < world->count; i++)
    {
      claim_replica_free (world->hosts[i].replica);
      claim_coordinator_free (world->hosts[i].coordinator);
      member_unref (world->hosts[i].member);
      view_unref (world->hosts[i].view);
    }
}

static void
world_done (world_t *world, world_host_t *host, claim_done_result_t result)
{
  host->done_count++;
  host->last_result = result;
  if (result != CLAIM_DONE_GRANTED)
    return;
  host->granted = true;
  world->holders++;
  world->holders_max = MAX (world->holders_max, world->holders);
}

static void world_coordinator (world_t *world, int32_t index, const coordinator_event_t *event);

static void
world_apply (world_t *world, int32_t index, GPtrArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const claim_action_t *action = g_ptr_array_index (actions, i);
      if (action->kind == CLAIM_ACTION_DONE && action->user_data != NULL)
        world_done (world, &world->hosts[index], action->result);
      if (action->kind != CLAIM_ACTION_SEND)
        continue;
      int32_t to = action->to[1] - '0';
      if (world->blocked[index][to])
        {
          world_coordinator (world, index,
                             &(coordinator_event_t){ .kind = COORDINATOR_SEND_FAILED,
                                                     .to = action->to,
                                                     .msg = action->msg });
          continue;
        }
      world_packet_t *packet = g_new0 (world_packet_t, 1);
      *packet = (world_packet_t){ index, to, claim_msg_encode (action->msg) };
      g_ptr_array_add (world->net, packet);
    }
  g_ptr_array_unref (actions);
}

static claim_time_t
world_time (const world_t *world)
{
  return (claim_time_t){ world->now_ms, WORLD_WALL_MS + world->now_ms };
}

static void
world_replica (world_t *world, int32_t index, const replica_event_t *event)
{
  GPtrArray *actions = claim_actions_new ();

  claim_replica_step (world->hosts[index].replica, event, world_time (world), actions);
  world_apply (world, index, actions);
}

static void
world_coordinator (world_t *world, int32_t index, const coordinator_event_t *event)
{
  GPtrArray *actions = claim_actions_new ();

  claim_coordinator_step (world->hosts[index].coordinator, event, world_time (world), actions);
  world_apply (world, index, actions);
}

/* Returns a new view whose members are the hosts of MASK. */
static view_t *
world_view (const world_t *world, int64_t number, uint32_t mask)
{
  g_autoptr (GPtrArray) members = g_ptr_array_new ();

  for (int32_t i = 0; i < world->count; i++)
    if ((mask >> i & 1) != 0)
      g_ptr_array_add (members, world->hosts[i].member);
  return view_new (WORLD_HOME, number, WORLD_WALL_MS + world->now_ms, members);
}

static void
world_install_view (world_t *world, int32_t index, view_t *view, view_t *base)
{
  world_host_t *host = &world->hosts[index];

  view_unref (host->view);
  host->view = view_ref (view);
  world_replica (world, index,
                 &(replica_event_t){ .kind = REPLICA_VIEW, .view = view, .base = base });
}

static inline void
world_install_view_all (world_t *world, uint32_t hosts, view_t *view, view_t *base)
{
  for (int32_t i = 0; i < world->count; i++)
    if ((hosts >> i & 1) != 0)
      world_install_view (world, i, view, base);
}

/* Gives host INDEX contact, so that it may grant for contact_timeout_ms. */
static void
world_contact (world_t *world, int32_t index)
{
  world_replica (
      world, index,
      &(replica_event_t){ .kind = REPLICA_CONTACT,
                          .contact_until_ms = world->now_ms + world->limits.contact_timeout_ms });
}

static inline void
world_contact_all (world_t *world, uint32_t hosts)
{
  for (int32_t i = 0; i < world->count; i++)
    if ((hosts >> i & 1) != 0)
      world_contact (world, i);
}

static inline void
world_tick (world_t *world, uint32_t hosts)
{
  for (int32_t i = 0; i < world->count; i++)
    if ((hosts >> i & 1) != 0)
      {
        world_replica (world, i, &(replica_event_t){ .kind = REPLICA_TICK });
        world_coordinator (world, i, &(coordinator_event_t){ .kind = COORDINATOR_TICK });
      }
}

/* Removes packet INDEX from the queue and delivers it unless LOST. */
static void
world_deliver (world_t *world, guint index, bool lost)
{
  world_packet_t *packet = g_ptr_array_steal_index (world->net, index);

  if (!lost)
    {
      gsize size = 0;
      const char *data = g_bytes_get_data (packet->frame, &size);
      frame_reader_t *reader = NULL;
      int result = frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader);
      g_assert (result == 0);
      claim_msg_t *msg = claim_msg_decode (reader);
      g_assert (msg != NULL);
      member_t *from = world->hosts[packet->from].member;
      world_replica (world, packet->to,
                     &(replica_event_t){ .kind = REPLICA_MESSAGE, .from = from, .msg = msg });
      world_coordinator (
          world, packet->to,
          &(coordinator_event_t){ .kind = COORDINATOR_MESSAGE, .from = from, .msg = msg });
      claim_msg_free (msg);
      frame_reader_free (reader);
    }
  world_packet_free (packet);
}

static inline void
world_deliver_all (world_t *world)
{
  while (world->net->len > 0)
    world_deliver (world, 0, false);
}

static void
world_request (world_t *world, int32_t index, coordinator_event_kind_t kind)
{
  world_coordinator (world, index,
                     &(coordinator_event_t){ .kind = kind,
                                             .key = world->key,
                                             .home = WORLD_HOME,
                                             .issued_at_ms = world->issued_at_ms,
                                             .deadline_ms = world->now_ms + 5000,
                                             .user_data = world });
}

static inline void
world_claim (world_t *world, int32_t index)
{
  world_request (world, index, COORDINATOR_CLAIM);
}

/* Releases the key if host INDEX was granted it and has not released it before. */
static inline void
world_release (world_t *world, int32_t index)
{
  if (!world->hosts[index].granted || world->hosts[index].released)
    return;
  world->hosts[index].released = true;
  world->hosts[index].granted = false;
  world->holders--;
  world_coordinator (world, index,
                     &(coordinator_event_t){ .kind = COORDINATOR_RELEASE, .key = world->key });
}

/* Chooses a key whose replicas in VIEW are exactly the hosts of MASK.  The first
 * replica is host FIRST, or any of them if FIRST is negative. */
static inline void
world_choose_key (world_t *world, const view_t *view, uint32_t mask, int32_t first)
{
  for (int32_t i = 0;; i++)
    {
      int32_t slots[VIEW_REPLICAS_PER_KEY];
      uint32_t found = 0;
      g_snprintf (world->key, sizeof (world->key), "key-%d", i);
      int32_t count = view_replicas (view, world->key, slots);
      for (int32_t j = 0; j < count; j++)
        found |= 1u << (view->slots[slots[j]].occupant->id[1] - '0');
      if (found == mask && (first < 0 || view->slots[slots[0]].occupant->id[1] - '0' == first))
        return;
    }
}

static inline void
world_block (world_t *world, int32_t a, int32_t b, bool blocked)
{
  world->blocked[a][b] = blocked;
  world->blocked[b][a] = blocked;
}

#endif
