/* test_view_sim.h -- hosts with the membership code, a log and a net in simulated time
 *
 * Used by the tests of the views and by the bench of suspicion.
 */
#ifndef TESTS_TEST_VIEW_WORLD_H
#define TESTS_TEST_VIEW_WORLD_H

#include "view/membership.h"

#include <stdlib.h>
#include <string.h>

#define VIEW_SIM_HOSTS_MAX 16
#define VIEW_SIM_STEP_MS 50
#define VIEW_SIM_DATA_CENTRE "dc"
#define VIEW_SIM_WALL_OFFSET_MS INT64_C (1000000000)

typedef struct
{
  bool alive;
  bool frozen;
  member_t *member;
  membership_t *membership;
  guint read; /* records of the log that were read */
  int64_t heard_ms[VIEW_SIM_HOSTS_MAX];
} view_sim_host_t;

typedef struct
{
  int32_t from;
  int32_t to;
  uint64_t to_incarnation;
  GBytes *frame;
} view_sim_packet_t;

typedef struct
{
  GBytes *data;
  int64_t at_ms;
} view_sim_log_record_t;

typedef struct
{
  membership_limits_t limits;
  GRand *random;
  int32_t count;
  int64_t now_ms;
  bool log_down;
  bool one_reader; /* only the first living host reads the log; the others get records from it */
  bool cut[VIEW_SIM_HOSTS_MAX][VIEW_SIM_HOSTS_MAX];
  int32_t loss_permille[VIEW_SIM_HOSTS_MAX][VIEW_SIM_HOSTS_MAX];
  int32_t traffic_permille; /* chance of other traffic on a link in a step */
  uint64_t next_incarnation;
  GPtrArray *log; /* view_sim_log_record_t */
  GPtrArray *net; /* view_sim_packet_t */
  view_sim_host_t hosts[VIEW_SIM_HOSTS_MAX];
  int64_t messages;
  int64_t bytes;
  int64_t appends;
  int64_t passes; /* seats that were to be passed */
} view_sim_t;

static void
view_sim_packet_free (view_sim_packet_t *packet)
{
  g_bytes_unref (packet->frame);
  g_free (packet);
}

static void
view_sim_log_record_free (view_sim_log_record_t *record)
{
  g_bytes_unref (record->data);
  g_free (record);
}

static void
view_sim_init (view_sim_t *world, const membership_limits_t *limits, uint32_t seed)
{
  *world = (view_sim_t){ .limits = *limits,
                         .random = g_rand_new_with_seed (seed),
                         .now_ms = 1000,
                         .one_reader = true,
                         .next_incarnation = 1 };
  world->log = g_ptr_array_new_with_free_func ((GDestroyNotify) view_sim_log_record_free);
  world->net = g_ptr_array_new_with_free_func ((GDestroyNotify) view_sim_packet_free);
}

static void
view_sim_stop_host (view_sim_t *world, int32_t index)
{
  view_sim_host_t *host = &world->hosts[index];

  if (!host->alive)
    return;
  host->alive = false;
  membership_free (host->membership);
  member_unref (host->member);
}

static void
view_sim_start_host (view_sim_t *world, int32_t index)
{
  view_sim_host_t *host = &world->hosts[index];
  char id[8];

  g_snprintf (id, sizeof (id), "h%02d", index);
  *host = (view_sim_host_t){ .alive = true };
  host->member = member_new (id, world->next_incarnation++, id, VIEW_SIM_DATA_CENTRE);
  host->membership =
      membership_new (host->member, &world->limits, g_rand_int (world->random), world->now_ms);
  world->count = MAX (world->count, index + 1);
}

static void
view_sim_clear (view_sim_t *world)
{
  for (int32_t i = 0; i < world->count; i++)
    view_sim_stop_host (world, i);
  g_ptr_array_unref (world->log);
  g_ptr_array_unref (world->net);
  g_rand_free (world->random);
}

static void
view_sim_send (view_sim_t *world, int32_t from, const membership_action_t *action)
{
  int32_t to = atoi (action->to + 1);
  view_sim_host_t *target = &world->hosts[to];
  GBytes *frame = view_msg_encode (action->msg);

  world->messages++;
  world->bytes += (int64_t) g_bytes_get_size (frame);
  if (!target->alive || world->cut[from][to]
      || g_rand_int_range (world->random, 0, 1000) < world->loss_permille[from][to])
    {
      g_bytes_unref (frame);
      return;
    }
  view_sim_packet_t *packet = g_new0 (view_sim_packet_t, 1);
  *packet = (view_sim_packet_t){ from, to, target->member->incarnation, frame };
  g_ptr_array_add (world->net, packet);
}

static void
view_sim_step_host (view_sim_t *world, int32_t index, const membership_event_t *event)
{
  g_autoptr (GPtrArray) actions = membership_actions_new ();

  membership_step (world->hosts[index].membership, event, world->now_ms, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      membership_action_t *action = g_ptr_array_index (actions, i);
      if (action->kind == MEMBERSHIP_SEND)
        view_sim_send (world, index, action);
      else if (action->kind == MEMBERSHIP_OFFER_SEAT)
        world->passes++;
      else if (action->kind == MEMBERSHIP_APPEND && !world->log_down)
        {
          view_sim_log_record_t *record = g_new0 (view_sim_log_record_t, 1);
          *record = (view_sim_log_record_t){ g_bytes_ref (action->record),
                                             VIEW_SIM_WALL_OFFSET_MS + world->now_ms };
          g_ptr_array_add (world->log, record);
          world->appends++;
        }
    }
}

static bool
view_sim_host_runs (const view_sim_t *world, int32_t index)
{
  return world->hosts[index].alive && !world->hosts[index].frozen;
}

static void
view_sim_deliver (view_sim_t *world)
{
  g_autoptr (GPtrArray) packets = world->net;

  world->net = g_ptr_array_new_with_free_func ((GDestroyNotify) view_sim_packet_free);
  for (guint i = 0; i < packets->len; i++)
    {
      view_sim_packet_t *packet = g_ptr_array_index (packets, i);
      view_sim_host_t *target = &world->hosts[packet->to];
      if (!view_sim_host_runs (world, packet->to) || !world->hosts[packet->from].alive
          || target->member->incarnation != packet->to_incarnation)
        continue;
      gsize size = 0;
      const char *data = g_bytes_get_data (packet->frame, &size);
      frame_reader_t *reader = NULL;
      int result = frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader);
      g_assert (result == 0);
      view_msg_t *msg = view_msg_decode (reader);
      g_assert (msg != NULL);
      target->heard_ms[packet->from] = world->now_ms;
      view_sim_step_host (world, packet->to,
                          &(membership_event_t){ .kind = MEMBERSHIP_MESSAGE,
                                                 .from = world->hosts[packet->from].member->id,
                                                 .msg = msg });
      view_msg_free (msg);
      frame_reader_free (reader);
    }
}

static void
view_sim_report_peers (view_sim_t *world, int32_t index)
{
  view_sim_host_t *host = &world->hosts[index];

  for (int32_t i = 0; i < world->count; i++)
    {
      const view_sim_host_t *peer = &world->hosts[i];
      if (i == index || peer->member == NULL || !peer->alive)
        continue;
      bool connected = !world->cut[index][i] && !world->cut[i][index];
      if (connected && !peer->frozen
          && g_rand_int_range (world->random, 0, 1000) < world->traffic_permille)
        host->heard_ms[i] = world->now_ms;
      view_sim_step_host (world, index,
                          &(membership_event_t){ .kind = MEMBERSHIP_PEER_STATUS,
                                                 .member = peer->member,
                                                 .connected = connected,
                                                 .as_of_ms = host->heard_ms[i] });
    }
}

static int32_t
view_sim_log_reader (const view_sim_t *world)
{
  for (int32_t i = 0; i < world->count; i++)
    if (view_sim_host_runs (world, i))
      return i;
  return -1;
}

static void
view_sim_read_log (view_sim_t *world, int32_t index)
{
  view_sim_host_t *host = &world->hosts[index];
  int32_t reader = view_sim_log_reader (world);
  bool reads = !world->one_reader || index == reader;

  if (!reads && (world->cut[index][reader] || world->cut[reader][index]))
    return;
  if (world->log_down)
    return;
  for (; host->read < world->log->len; host->read++)
    {
      const view_sim_log_record_t *record = g_ptr_array_index (world->log, host->read);
      gsize size = 0;
      const void *data = g_bytes_get_data (record->data, &size);
      view_sim_step_host (world, index,
                          &(membership_event_t){ .kind = MEMBERSHIP_RECORD,
                                                 .offset = host->read,
                                                 .recorded_at_ms = record->at_ms,
                                                 .data = data,
                                                 .size = size });
    }
  if (reads)
    view_sim_step_host (
        world, index,
        &(membership_event_t){ .kind = MEMBERSHIP_STREAM_END, .as_of_ms = world->now_ms });
}

/* Lets TIME_MS pass. */
static void
view_sim_run (view_sim_t *world, int64_t time_ms)
{
  int64_t end_ms = world->now_ms + time_ms;

  while (world->now_ms < end_ms)
    {
      world->now_ms += VIEW_SIM_STEP_MS;
      view_sim_deliver (world);
      for (int32_t i = 0; i < world->count; i++)
        {
          if (!view_sim_host_runs (world, i))
            continue;
          view_sim_read_log (world, i);
          view_sim_report_peers (world, i);
          view_sim_step_host (world, i, &(membership_event_t){ .kind = MEMBERSHIP_TICK });
        }
    }
}

static inline view_t *
view_sim_view (const view_sim_t *world, int32_t index)
{
  return membership_view (world->hosts[index].membership, VIEW_SIM_DATA_CENTRE);
}

static inline void
view_sim_set_cut (view_sim_t *world, int32_t a, int32_t b, bool cut)
{
  world->cut[a][b] = cut;
  world->cut[b][a] = cut;
}

#endif
