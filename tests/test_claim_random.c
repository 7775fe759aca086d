/* test_claim_random.c -- random walks of lib/claim, checked against a simple model
 *
 * Several hosts run the replica and coordinator code of the daemon in a simulated
 * network.  Messages are lost, duplicated, delayed and reordered.  Hosts freeze,
 * die and restart with the same id, their clocks step within the allowed skew,
 * and they are cut off from each other and from the log.  Views change, and some
 * hosts learn of it late.  The model is one table that grants each key once.  A
 * grant that the model would not give is a violation, and so is the result that a
 * key is free although it was started.
 *
 * Some rules are then disabled one at a time; each must lead to a violation.
 */
#include "claim/coordinator.h"
#include "claim/replica.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED 20261204u
#define HOSTS 6
#define KEYS 6
#define WALK_STEPS 1000
#define WALKS_ALL_RULES_ON 1000
#define WALKS_ONE_RULE_OFF 12000
#define IN_FLIGHT_MAX 400
#define WALL_BASE_MS INT64_C (1000000000)
#define HOME "dc"

static const claim_limits_t limits = { .key_window_ms = 900,
                                       .clock_skew_ms = 60,
                                       .start_timeout_ms = 200,
                                       .contact_timeout_ms = 150,
                                       .isolation_timeout_ms = 600,
                                       .handover_timeout_ms = 150 };

typedef struct
{
  member_t *from;
  int32_t to;
  GBytes *frame;
} packet_t;

/* A grant to a coordinator.  OPEN until the coordinator starts or releases the key. */
typedef struct
{
  bool open;
  int64_t granted_ms;
  bool reported_free; /* a later operation reported the key as free */
} grant_t;

typedef struct
{
  bool alive;
  bool frozen;
  bool cut_log;
  int32_t partition; /* hosts in different partitions cannot exchange messages */
  member_t *member;
  claim_replica_t *replica;
  claim_coordinator_t *coordinator;
  int32_t known_views;     /* number of views of the log that this host knows */
  view_t *view;            /* the latest state known to this host */
  int64_t offset_ms;       /* of this host's wall clock */
  int64_t wide_contact_ms; /* last read of the log or contact with all members but one */
  grant_t grants[KEYS];
} sim_host_t;

/* A key in the model. */
typedef struct
{
  char name[24];
  int64_t issued_at_ms;
  hash_digest_t digest;
  bool held;
  uint64_t holder; /* incarnation of the host process */
  int32_t starts;
  int64_t started_ms;
} model_key_t;

/* A request to a coordinator; passed as user_data to match its CLAIM_ACTION_DONE. */
typedef struct
{
  int32_t host;
  uint64_t incarnation;
  int32_t key;
  uint32_t key_serial;
  int64_t began_ms;
  bool is_probe; /* FREE refers to the time before the probe began */
  bool issue_time_unknown;
} request_t;

typedef struct
{
  GRand *random;
  claim_rules_t rules;
  int64_t now_ms;
  sim_host_t hosts[HOSTS];
  model_key_t keys[KEYS];
  uint32_t key_serials[KEYS];
  uint32_t next_serial;
  uint64_t next_incarnation;
  GPtrArray *log; /* view_t, in the order of their numbers */
  GPtrArray *net; /* queued messages: packet_t */
  GPtrArray *requests;
  int32_t loss_percent;
  int32_t fault_permille; /* probabilities per step */
  int32_t heal_permille;
  int32_t key_permille;
  const char *violation; /* the first one, or NULL */
} world_t;

typedef struct
{
  int64_t steps;
  int64_t results[CLAIM_DONE_EXPIRED + 1];
  int64_t starts;
  int64_t slots;
  int64_t messages;
  int64_t violations;
  const char *first;
} totals_t;

static totals_t totals;

static bool
chance (world_t *world, int32_t permille)
{
  return g_rand_int_range (world->random, 0, 1000) < permille;
}

static claim_time_t
host_time (const world_t *world, const sim_host_t *host)
{
  return (claim_time_t){ world->now_ms, WALL_BASE_MS + world->now_ms + host->offset_ms };
}

static view_t *
view_of (const char *data_centre, void *data)
{
  (void) data_centre;
  return ((sim_host_t *) data)->view;
}

static void
packet_free (packet_t *packet)
{
  member_unref (packet->from);
  g_bytes_unref (packet->frame);
  g_free (packet);
}

static void
record_violation (world_t *world, const char *what)
{
  if (world->violation == NULL)
    world->violation = what;
}

static int32_t
host_index (const char *id)
{
  return id[1] - '0';
}

static void
queue_message (world_t *world, sim_host_t *host, const char *to, const claim_msg_t *msg)
{
  int32_t copies = 1;

  totals.messages++;
  if (chance (world, world->loss_percent * 10))
    copies = 0;
  else if (chance (world, 50))
    copies = 2;
  for (int32_t i = 0; i < copies && world->net->len < IN_FLIGHT_MAX; i++)
    {
      packet_t *packet = g_new0 (packet_t, 1);
      packet->from = member_ref (host->member);
      packet->to = host_index (to);
      packet->frame = claim_msg_encode (msg);
      g_ptr_array_add (world->net, packet);
    }
}

static void
on_granted (world_t *world, sim_host_t *host, const request_t *request)
{
  model_key_t *key = &world->keys[request->key];

  if (key->held && key->holder != host->member->incarnation)
    record_violation (world, "granted to two claimants");
  if (key->starts > 0)
    record_violation (world, "granted after a start");
  key->held = true;
  key->holder = host->member->incarnation;
  host->grants[request->key] = (grant_t){ .open = true, .granted_ms = world->now_ms };
}

/* Checks the result that no host has started the key; for a probe it refers to the
 * time before the probe began.  Earlier grants must not be used after this result,
 * so they are marked. */
static void
on_free (world_t *world, const request_t *request)
{
  const model_key_t *key = &world->keys[request->key];

  if (key->starts > 0 && !request->issue_time_unknown
      && (!request->is_probe || key->started_ms < request->began_ms))
    record_violation (world, "a started key was reported as free");
  for (int32_t i = 0; i < HOSTS; i++)
    {
      grant_t *grant = &world->hosts[i].grants[request->key];
      if (world->hosts[i].alive && grant->open && grant->granted_ms < request->began_ms)
        grant->reported_free = true;
    }
}

static void
on_done (world_t *world, const claim_action_t *action)
{
  const request_t *request = action->user_data;
  sim_host_t *host = &world->hosts[request->host];

  totals.results[action->result]++;
  if (world->key_serials[request->key] != request->key_serial)
    return;
  if (action->result == CLAIM_DONE_GRANTED)
    on_granted (world, host, request);
  if (action->result == CLAIM_DONE_FREE)
    on_free (world, request);
}

static void install_view (world_t *world, sim_host_t *host, view_t *view, view_t *base);

static void
apply_actions (world_t *world, sim_host_t *host, GPtrArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const claim_action_t *action = g_ptr_array_index (actions, i);
      switch (action->kind)
        {
        case CLAIM_ACTION_SEND:
          queue_message (world, host, action->to, action->msg);
          break;
        case CLAIM_ACTION_DONE:
          on_done (world, action);
          break;
        case CLAIM_ACTION_SLOT_MOVED:
          totals.slots++;
          install_view (world, host, action->view, NULL);
          break;
        }
    }
  g_ptr_array_unref (actions);
}

static void
replica_event (world_t *world, sim_host_t *host, const replica_event_t *event)
{
  GPtrArray *actions = claim_actions_new ();

  claim_replica_step (host->replica, event, host_time (world, host), actions);
  apply_actions (world, host, actions);
}

static void
coordinator_event (world_t *world, sim_host_t *host, const coordinator_event_t *event)
{
  GPtrArray *actions = claim_actions_new ();

  claim_coordinator_step (host->coordinator, event, host_time (world, host), actions);
  apply_actions (world, host, actions);
}

static void
install_view (world_t *world, sim_host_t *host, view_t *view, view_t *base)
{
  if (host->view == NULL || view->number > host->view->number)
    {
      view_unref (host->view);
      host->view = view_ref (view);
    }
  else
    {
      view_t *merged = view_merge (host->view, view);
      view_unref (host->view);
      host->view = merged;
    }
  replica_event (world, host,
                 &(replica_event_t){ .kind = REPLICA_VIEW, .view = view, .base = base });
}

static void
set_contact (world_t *world, sim_host_t *host)
{
  replica_event (
      world, host,
      &(replica_event_t){ .kind = REPLICA_CONTACT,
                          .contact_until_ms = world->now_ms + limits.contact_timeout_ms });
}

static void
read_log (world_t *world, sim_host_t *host)
{
  if (host->cut_log)
    return;
  for (; host->known_views < (int32_t) world->log->len; host->known_views++)
    {
      view_t *base =
          host->known_views > 0 ? g_ptr_array_index (world->log, host->known_views - 1) : NULL;
      install_view (world, host, g_ptr_array_index (world->log, host->known_views), base);
    }
  host->wide_contact_ms = world->now_ms;
  set_contact (world, host);
}

/* PEER sends its views, including slot transfers, to HOST. */
static void
receive_views (world_t *world, sim_host_t *host, const sim_host_t *peer)
{
  if (!peer->alive || peer->frozen || peer->partition != host->partition || peer->view == NULL)
    return;
  for (; host->known_views < peer->known_views; host->known_views++)
    {
      view_t *base =
          host->known_views > 0 ? g_ptr_array_index (world->log, host->known_views - 1) : NULL;
      install_view (world, host, g_ptr_array_index (world->log, host->known_views), base);
    }
  if (peer->view->number == host->view->number)
    install_view (world, host, peer->view, NULL);
}

/* Simulates one round of heartbeats among the members of the host's view. */
static void
exchange_heartbeats (world_t *world, sim_host_t *host)
{
  int32_t heard = 0;

  if (host->view == NULL)
    return;
  for (int32_t i = 0; i < host->view->count; i++)
    {
      const member_t *occupant = host->view->slots[i].occupant;
      const sim_host_t *peer = &world->hosts[host_index (occupant->id)];
      heard += peer->alive && !peer->frozen && peer->partition == host->partition
               && peer->view != NULL && peer->view->number == host->view->number
               && member_equal (peer->member, occupant);
    }
  if (heard >= host->view->count - 1 && heard > 0)
    host->wide_contact_ms = world->now_ms;
  if (heard >= view_majority (host->view->count)
      && world->now_ms <= host->wide_contact_ms + limits.isolation_timeout_ms)
    set_contact (world, host);
}

static void
host_stop (sim_host_t *host)
{
  if (!host->alive)
    return;
  host->alive = false;
  claim_replica_free (host->replica);
  claim_coordinator_free (host->coordinator);
  member_unref (host->member);
  view_unref (host->view);
  host->view = NULL;
}

static void
host_start (world_t *world, int32_t index)
{
  sim_host_t *host = &world->hosts[index];
  char id[8];
  char address[16];

  g_snprintf (id, sizeof (id), "h%d", index);
  g_snprintf (address, sizeof (address), "a%" G_GUINT64_FORMAT, world->next_incarnation);
  *host = (sim_host_t){ .alive = true,
                        .member = member_new (id, world->next_incarnation, address, HOME) };
  world->next_incarnation++;
  host->replica = claim_replica_new (host->member, &world->rules, &limits);
  host->coordinator = claim_coordinator_new (host->member, &world->rules, &limits, view_of, host,
                                             g_rand_int (world->random));
}

static void
append_view_of (world_t *world, GPtrArray *members)
{
  if (members->len == 0)
    return;
  g_ptr_array_add (world->log,
                   view_new (HOME, world->log->len + 1, WALL_BASE_MS + world->now_ms, members));
}

static void
append_view (world_t *world)
{
  g_autoptr (GPtrArray) members = g_ptr_array_new ();

  for (int32_t i = 0; i < HOSTS; i++)
    if (world->hosts[i].alive && (chance (world, 800) || (world->log->len == 0 && i < 3)))
      g_ptr_array_add (members, world->hosts[i].member);
  append_view_of (world, members);
}

/* Appends a view of the hosts that can reach the log. */
static void
append_reachable_view (world_t *world)
{
  g_autoptr (GPtrArray) members = g_ptr_array_new ();

  for (int32_t i = 0; i < HOSTS; i++)
    if (world->hosts[i].alive && !world->hosts[i].cut_log)
      g_ptr_array_add (members, world->hosts[i].member);
  append_view_of (world, members);
}

static void
new_key (world_t *world, int32_t index)
{
  model_key_t *key = &world->keys[index];

  world->key_serials[index] = ++world->next_serial;
  *key = (model_key_t){ 0 };
  g_snprintf (key->name, sizeof (key->name), "k%u", world->next_serial);
  key->issued_at_ms = WALL_BASE_MS + world->now_ms
                      + g_rand_int_range (world->random, -100, (gint32) limits.clock_skew_ms);
  for (int32_t i = 0; i < HOSTS; i++)
    world->hosts[i].grants[index] = (grant_t){ 0 };
}

static void
world_init (world_t *world, const claim_rules_t *rules, uint32_t seed)
{
  *world = (world_t){ .random = g_rand_new_with_seed (seed), .rules = *rules };
  world->next_incarnation = 1;
  world->now_ms = 1000;
  world->log = g_ptr_array_new_with_free_func ((GDestroyNotify) view_unref);
  world->net = g_ptr_array_new_with_free_func ((GDestroyNotify) packet_free);
  world->requests = g_ptr_array_new_with_free_func (g_free);
  world->loss_percent = g_rand_int_range (world->random, 0, 25);
  world->fault_permille = g_rand_int_range (world->random, 0, 40);
  world->heal_permille = g_rand_int_range (world->random, 2, 40);
  world->key_permille = g_rand_int_range (world->random, 2, 20);
  for (int32_t i = 0; i < HOSTS; i++)
    host_start (world, i);
  append_view (world);
  for (int32_t i = 0; i < HOSTS; i++)
    read_log (world, &world->hosts[i]);
  for (int32_t i = 0; i < KEYS; i++)
    new_key (world, i);
}

static void
world_clear (world_t *world)
{
  g_ptr_array_unref (world->net);
  for (int32_t i = 0; i < HOSTS; i++)
    host_stop (&world->hosts[i]);
  g_ptr_array_unref (world->log);
  g_ptr_array_unref (world->requests);
  g_rand_free (world->random);
}

static sim_host_t *
random_host (world_t *world)
{
  return &world->hosts[g_rand_int_range (world->random, 0, HOSTS)];
}

static void
deliver (world_t *world)
{
  if (world->net->len == 0)
    return;
  /* Usually the oldest message, sometimes a random one. */
  guint index = chance (world, 700)
                    ? 0
                    : (guint) g_rand_int_range (world->random, 0, (gint32) world->net->len);
  packet_t *packet = g_ptr_array_index (world->net, index);
  sim_host_t *host = &world->hosts[packet->to];
  if (host->frozen)
    return;
  packet = g_ptr_array_steal_index (world->net, index);
  const sim_host_t *from = &world->hosts[host_index (packet->from->id)];
  if (host->alive && host->partition == from->partition)
    {
      gsize size = 0;
      const char *data = g_bytes_get_data (packet->frame, &size);
      frame_reader_t *reader = NULL;
      g_assert (frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader) == 0);
      claim_msg_t *msg = claim_msg_decode (reader);
      g_assert (msg != NULL);
      replica_event (
          world, host,
          &(replica_event_t){ .kind = REPLICA_MESSAGE, .from = packet->from, .msg = msg });
      coordinator_event (
          world, host,
          &(coordinator_event_t){ .kind = COORDINATOR_MESSAGE, .from = packet->from, .msg = msg });
      claim_msg_free (msg);
      frame_reader_free (reader);
    }
  packet_free (packet);
}

static request_t *
request_new (world_t *world, int32_t host, int32_t key)
{
  request_t *request = g_new0 (request_t, 1);

  request->host = host;
  request->key = key;
  request->key_serial = world->key_serials[key];
  request->began_ms = world->now_ms;
  g_ptr_array_add (world->requests, request);
  return request;
}

static const coordinator_event_kind_t coordinator_request_kinds[8] = {
  COORDINATOR_PROBE, COORDINATOR_CONFIRM, COORDINATOR_CLAIM, COORDINATOR_CLAIM,
  COORDINATOR_CLAIM, COORDINATOR_CLAIM,   COORDINATOR_CLAIM, COORDINATOR_CLAIM
};

static void
send_request (world_t *world, sim_host_t *host, int32_t index)
{
  const model_key_t *key = &world->keys[index];

  if (!host->alive || host->frozen)
    return;
  request_t *request = request_new (world, (int32_t) (host - world->hosts), index);
  coordinator_event_kind_t kind = coordinator_request_kinds[g_rand_int_range (world->random, 0, 8)];
  request->is_probe = kind == COORDINATOR_PROBE;
  /* Replicas may have removed an expired key.  A probe without the issue time cannot
   * detect that, so its result FREE does not rule out an earlier start. */
  request->issue_time_unknown = request->is_probe && chance (world, 500);
  coordinator_event (world, host,
                     &(coordinator_event_t){ .kind = kind,
                                             .key = key->name,
                                             .home = HOME,
                                             .digest = key->digest,
                                             .issued_at_ms = request->issue_time_unknown
                                                                 ? CLAIM_ISSUED_AT_UNKNOWN
                                                                 : key->issued_at_ms,
                                             .deadline_ms = world->now_ms + 500,
                                             .user_data = request });
}

/* Often sends requests for the same key to several hosts at once. */
static void
send_requests (world_t *world)
{
  int32_t index = g_rand_int_range (world->random, 0, KEYS);

  do
    send_request (world, random_host (world), index);
  while (chance (world, 400));
}

static void
start (world_t *world, sim_host_t *host, int32_t index)
{
  model_key_t *key = &world->keys[index];
  grant_t *grant = &host->grants[index];

  if (!claim_coordinator_may_start (host->coordinator, key->name, world->now_ms))
    return;
  coordinator_event (world, host,
                     &(coordinator_event_t){ .kind = COORDINATOR_STARTED, .key = key->name });
  if (grant->reported_free)
    record_violation (world, "started after the granted key was reported as free");
  if (WALL_BASE_MS + world->now_ms > key->issued_at_ms + limits.key_window_ms
                                         + limits.start_timeout_ms + 2 * limits.clock_skew_ms)
    record_violation (world, "started after its key window");
  if (++key->starts > 1)
    record_violation (world, "started twice");
  key->started_ms = world->now_ms;
  totals.starts++;
  grant->open = false;
}

static void
release (world_t *world, sim_host_t *host, int32_t index)
{
  model_key_t *key = &world->keys[index];
  request_t *request = request_new (world, (int32_t) (host - world->hosts), index);

  key->held = false;
  host->grants[index].open = false;
  coordinator_event (world, host,
                     &(coordinator_event_t){ .kind = COORDINATOR_RELEASE,
                                             .key = key->name,
                                             .deadline_ms = world->now_ms + 500,
                                             .user_data = request });
}

/* A coordinator with an open grant starts the key, releases it, or waits. */
static void
use_grant (world_t *world)
{
  int32_t first = g_rand_int_range (world->random, 0, HOSTS * KEYS);

  for (int32_t i = 0; i < HOSTS * KEYS; i++)
    {
      sim_host_t *host = &world->hosts[(first + i) % HOSTS];
      int32_t index = (first + i) / HOSTS % KEYS;
      if (!host->alive || host->frozen || !host->grants[index].open)
        continue;
      if (chance (world, 200))
        start (world, host, index);
      else if (chance (world, 300))
        release (world, host, index);
      return;
    }
}

/* Cuts off about half of the hosts from the others and from the log.  The others may
 * form a view without them. */
static void
split_network (world_t *world)
{
  for (int32_t i = 0; i < HOSTS; i++)
    {
      world->hosts[i].partition = chance (world, 500);
      world->hosts[i].cut_log = world->hosts[i].partition != 0;
    }
  if (chance (world, 700))
    append_reachable_view (world);
}

static void
toggle_link (world_t *world, sim_host_t *host)
{
  if (chance (world, 500))
    host->cut_log = !host->cut_log;
  else
    host->partition = !host->partition;
}

static void
transfer_slot (world_t *world, sim_host_t *host)
{
  const sim_host_t *successor = random_host (world);

  if (host->alive && !host->frozen && successor->alive && successor != host)
    replica_event (
        world, host,
        &(replica_event_t){ .kind = REPLICA_TRANSFER_SLOT, .successor = successor->member->id });
}

static void
inject_fault (world_t *world)
{
  sim_host_t *host = random_host (world);

  switch (g_rand_int_range (world->random, 0, 10))
    {
    case 0:
      host_stop (host);
      break;
    case 1:
      host_stop (host);
      host_start (world, (int32_t) (host - world->hosts));
      break;
    case 2:
    case 3:
      host->frozen = host->alive && !host->frozen;
      break;
    case 4:
      toggle_link (world, host);
      break;
    case 5:
      host->offset_ms = g_rand_int_range (world->random, 0, (gint32) limits.clock_skew_ms);
      break;
    case 6:
    case 7:
      append_view (world);
      break;
    case 8:
      split_network (world);
      break;
    default:
      transfer_slot (world, host);
      break;
    }
}

static void
repair_host (world_t *world)
{
  sim_host_t *host = random_host (world);

  host->frozen = false;
  host->cut_log = false;
  host->partition = 0;
  if (!host->alive)
    host_start (world, (int32_t) (host - world->hosts));
}

static void
tick (world_t *world)
{
  sim_host_t *host = random_host (world);

  if (!host->alive || host->frozen)
    return;
  replica_event (world, host, &(replica_event_t){ .kind = REPLICA_TICK });
  coordinator_event (world, host, &(coordinator_event_t){ .kind = COORDINATOR_TICK });
}

static void
update_view_or_contact (world_t *world)
{
  sim_host_t *host = random_host (world);

  if (!host->alive || host->frozen)
    return;
  if (chance (world, 300))
    read_log (world, host);
  else if (chance (world, 500))
    receive_views (world, host, random_host (world));
  else
    exchange_heartbeats (world, host);
}

/* Kinds of steps with their probabilities, in permille. */
static const struct
{
  int32_t weight;
  void (*run) (world_t *world);
} step_kinds[] = {
  { 560, deliver },
  { 140, tick },
  { 70, send_requests },
  { 90, use_grant },
  { 120, update_view_or_contact },
};

static void
step (world_t *world)
{
  int32_t pick = g_rand_int_range (world->random, 0, 1000);

  world->now_ms += g_rand_int_range (world->random, 0, 4);
  if (chance (world, 2))
    world->now_ms += g_rand_int_range (world->random, 0, 400);
  if (chance (world, world->key_permille))
    new_key (world, g_rand_int_range (world->random, 0, KEYS));
  if (chance (world, world->fault_permille))
    inject_fault (world);
  if (chance (world, world->heal_permille))
    repair_host (world);
  for (size_t i = 0; i < G_N_ELEMENTS (step_kinds); i++)
    {
      if (pick < step_kinds[i].weight)
        {
          step_kinds[i].run (world);
          return;
        }
      pick -= step_kinds[i].weight;
    }
}

/* Runs one random walk.  Returns the violation found, or NULL. */
static const char *
walk (const claim_rules_t *rules, uint32_t seed)
{
  world_t world;

  world_init (&world, rules, seed);
  for (int32_t i = 0; i < WALK_STEPS && world.violation == NULL; i++)
    {
      step (&world);
      totals.steps++;
    }
  const char *violation = world.violation;
  world_clear (&world);
  return violation;
}

static int32_t
walk_count (int32_t fallback)
{
  const char *text = g_getenv ("CLAIM_WALKS");

  return text != NULL ? atoi (text) : fallback;
}

static void
test_all_rules (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  int32_t walks = walk_count (WALKS_ALL_RULES_ON);

  totals = (totals_t){ 0 };
  for (int32_t i = 0; i < walks; i++)
    {
      const char *violation = walk (&rules, SEED + (uint32_t) i);
      if (violation == NULL)
        continue;
      if (totals.violations++ < 5)
        printf ("\n  seed %u: %s", SEED + (uint32_t) i, violation);
    }
  printf ("\n  seeds %u.., %d walks, %" G_GINT64_FORMAT " steps, %" G_GINT64_FORMAT " messages: ",
          SEED, walks, totals.steps, totals.messages);
  printf ("%" G_GINT64_FORMAT " violations; granted %" G_GINT64_FORMAT " held %" G_GINT64_FORMAT
          " free %" G_GINT64_FORMAT " uncertain %" G_GINT64_FORMAT " unreachable %" G_GINT64_FORMAT
          " expired %" G_GINT64_FORMAT ", starts %" G_GINT64_FORMAT ", slot moves %" G_GINT64_FORMAT
          "\n  ",
          totals.violations, totals.results[CLAIM_DONE_GRANTED], totals.results[CLAIM_DONE_HELD],
          totals.results[CLAIM_DONE_FREE], totals.results[CLAIM_DONE_UNCERTAIN],
          totals.results[CLAIM_DONE_UNREACHABLE], totals.results[CLAIM_DONE_EXPIRED], totals.starts,
          totals.slots);
  CU_ASSERT_EQUAL (totals.violations, 0);
  /* The walks must reach enough grants, refusals and starts to be meaningful. */
  CU_ASSERT (totals.results[CLAIM_DONE_GRANTED] > walks);
  CU_ASSERT (totals.results[CLAIM_DONE_FREE] > walks / 4);
  CU_ASSERT (totals.results[CLAIM_DONE_HELD] > walks / 4);
  CU_ASSERT (totals.starts > walks / 2);
}

/* Each case starts at a seed shortly before one that is known to lead to a violation,
 * so that the test is fast under sanitizers. */
static const struct
{
  const char *name;
  size_t offset;
  uint32_t first;
} rule_cases[] = {
  { "require_majority", offsetof (claim_rules_t, require_majority), 0 },
  { "seal_before_handover", offsetof (claim_rules_t, seal_before_handover), 9600 },
  { "start_deadline", offsetof (claim_rules_t, start_deadline), 0 },
  { "check_release_attempt", offsetof (claim_rules_t, check_release_attempt), 590 },
};

static void
test_each_rule_is_needed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rule_cases); i++)
    {
      claim_rules_t rules = CLAIM_RULES_ALL;
      const char *violation = NULL;
      int32_t walks = 0;
      *((bool *) &rules + rule_cases[i].offset) = false;
      while (violation == NULL && walks < WALKS_ONE_RULE_OFF)
        violation = walk (&rules, SEED + rule_cases[i].first + (uint32_t) walks++);
      printf ("\n  without %s: %s after %d walks from seed %u", rule_cases[i].name,
              violation != NULL ? violation : "NO VIOLATION", walks, SEED + rule_cases[i].first);
      fflush (stdout);
      CU_ASSERT_PTR_NOT_NULL (violation);
    }
  printf ("\n  ");
}

static const unit_test_t tests[] = {
  { "all rules: no violation", test_all_rules },
  { "each rule is needed", test_each_rule_is_needed },
};

int
main (void)
{
  return unit_run ("claim_random", tests, G_N_ELEMENTS (tests));
}
