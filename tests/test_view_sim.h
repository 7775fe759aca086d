/* test_view_sim.h -- hosts of lib/view with a simulated log, network and clock
 *
 * Used by test_view.c and by the benchmark of the failure detector.
 */
#ifndef TESTS_TEST_VIEW_SIM_H
#define TESTS_TEST_VIEW_SIM_H

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
  bool paused;
  member_t *member;
  membership_t *membership;
  guint records_read; /* number of records read from the log */
  int64_t last_heard_ms[VIEW_SIM_HOSTS_MAX];
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
  int32_t host_count;
  int64_t now_ms;
  bool log_down;
  bool single_log_reader; /* only the first running host reads the log and relays it */
  bool link_cut[VIEW_SIM_HOSTS_MAX][VIEW_SIM_HOSTS_MAX];
  int32_t loss_permille[VIEW_SIM_HOSTS_MAX][VIEW_SIM_HOSTS_MAX];
  int32_t traffic_permille; /* probability of other traffic on a link per step */
  uint64_t next_incarnation;
  GPtrArray *log;       /* view_sim_log_record_t */
  GPtrArray *in_flight; /* view_sim_packet_t */
  view_sim_host_t hosts[VIEW_SIM_HOSTS_MAX];
  int64_t messages_sent;
  int64_t bytes_sent;
  int64_t appends;
  int64_t slot_offers; /* OFFER_SLOT actions */
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

/* Initialises SIM.  view_sim_clear () releases it. */
static void
view_sim_init (view_sim_t *sim, const membership_limits_t *limits, uint32_t seed)
{
  *sim = (view_sim_t){ .limits = *limits,
                       .random = g_rand_new_with_seed (seed),
                       .now_ms = 1000,
                       .single_log_reader = true,
                       .next_incarnation = 1 };
  sim->log = g_ptr_array_new_with_free_func ((GDestroyNotify) view_sim_log_record_free);
  sim->in_flight = g_ptr_array_new_with_free_func ((GDestroyNotify) view_sim_packet_free);
}

static void
view_sim_stop_host (view_sim_t *sim, int32_t index)
{
  view_sim_host_t *host = &sim->hosts[index];

  if (!host->alive)
    return;
  host->alive = false;
  membership_free (host->membership);
  member_unref (host->member);
}

static void
view_sim_start_host (view_sim_t *sim, int32_t index)
{
  view_sim_host_t *host = &sim->hosts[index];
  char id[8];

  g_snprintf (id, sizeof (id), "h%02d", index);
  *host = (view_sim_host_t){ .alive = true };
  host->member = member_new (id, sim->next_incarnation++, id, VIEW_SIM_DATA_CENTRE);
  host->membership =
      membership_new (host->member, &sim->limits, g_rand_int (sim->random), sim->now_ms);
  sim->host_count = MAX (sim->host_count, index + 1);
}

static void
view_sim_clear (view_sim_t *sim)
{
  for (int32_t i = 0; i < sim->host_count; i++)
    view_sim_stop_host (sim, i);
  g_ptr_array_unref (sim->log);
  g_ptr_array_unref (sim->in_flight);
  g_rand_free (sim->random);
}

/* Sends the message of ACTION unless it is lost.  It arrives in the next step. */
static void
view_sim_send (view_sim_t *sim, int32_t from, const membership_action_t *action)
{
  int32_t to = atoi (action->to + 1);
  view_sim_host_t *target = &sim->hosts[to];
  GBytes *frame = view_msg_encode (action->msg);

  sim->messages_sent++;
  sim->bytes_sent += (int64_t) g_bytes_get_size (frame);
  if (!target->alive || sim->link_cut[from][to]
      || g_rand_int_range (sim->random, 0, 1000) < sim->loss_permille[from][to])
    {
      g_bytes_unref (frame);
      return;
    }
  view_sim_packet_t *packet = g_new0 (view_sim_packet_t, 1);
  *packet = (view_sim_packet_t){ from, to, target->member->incarnation, frame };
  g_ptr_array_add (sim->in_flight, packet);
}

/* Passes EVENT to the host and executes the resulting actions. */
static void
view_sim_step_host (view_sim_t *sim, int32_t index, const membership_event_t *event)
{
  g_autoptr (GPtrArray) actions = membership_actions_new ();

  membership_step (sim->hosts[index].membership, event, sim->now_ms, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      membership_action_t *action = g_ptr_array_index (actions, i);
      if (action->kind == MEMBERSHIP_SEND)
        view_sim_send (sim, index, action);
      else if (action->kind == MEMBERSHIP_OFFER_SLOT)
        sim->slot_offers++;
      else if (action->kind == MEMBERSHIP_APPEND && !sim->log_down)
        {
          view_sim_log_record_t *record = g_new0 (view_sim_log_record_t, 1);
          *record = (view_sim_log_record_t){ g_bytes_ref (action->record),
                                             VIEW_SIM_WALL_OFFSET_MS + sim->now_ms };
          g_ptr_array_add (sim->log, record);
          sim->appends++;
        }
    }
}

/* Returns true if the host is alive and not paused. */
static bool
view_sim_host_runs (const view_sim_t *sim, int32_t index)
{
  return sim->hosts[index].alive && !sim->hosts[index].paused;
}

/* Delivers the messages of the last step, except to hosts that are not running or have
 * restarted. */
static void
view_sim_deliver (view_sim_t *sim)
{
  g_autoptr (GPtrArray) packets = sim->in_flight;

  sim->in_flight = g_ptr_array_new_with_free_func ((GDestroyNotify) view_sim_packet_free);
  for (guint i = 0; i < packets->len; i++)
    {
      view_sim_packet_t *packet = g_ptr_array_index (packets, i);
      view_sim_host_t *target = &sim->hosts[packet->to];
      if (!view_sim_host_runs (sim, packet->to) || !sim->hosts[packet->from].alive
          || target->member->incarnation != packet->to_incarnation)
        continue;
      gsize size = 0;
      const char *data = g_bytes_get_data (packet->frame, &size);
      frame_reader_t *reader = NULL;
      int result = frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader);
      g_assert (result == 0);
      view_msg_t *msg = view_msg_decode (reader);
      g_assert (msg != NULL);
      target->last_heard_ms[packet->from] = sim->now_ms;
      view_sim_step_host (sim, packet->to,
                          &(membership_event_t){ .kind = MEMBERSHIP_MESSAGE,
                                                 .from = sim->hosts[packet->from].member->id,
                                                 .msg = msg });
      view_msg_free (msg);
      frame_reader_free (reader);
    }
}

/* Reports the state of its peers to the host, after random other traffic. */
static void
view_sim_report_peers (view_sim_t *sim, int32_t index)
{
  view_sim_host_t *host = &sim->hosts[index];

  for (int32_t i = 0; i < sim->host_count; i++)
    {
      const view_sim_host_t *peer = &sim->hosts[i];
      if (i == index || peer->member == NULL || !peer->alive)
        continue;
      bool connected = !sim->link_cut[index][i] && !sim->link_cut[i][index];
      if (connected && !peer->paused
          && g_rand_int_range (sim->random, 0, 1000) < sim->traffic_permille)
        host->last_heard_ms[i] = sim->now_ms;
      view_sim_step_host (sim, index,
                          &(membership_event_t){ .kind = MEMBERSHIP_PEER_STATUS,
                                                 .member = peer->member,
                                                 .connected = connected,
                                                 .as_of_ms = host->last_heard_ms[i] });
    }
}

/* Returns the first running host, or -1. */
static int32_t
view_sim_log_reader (const view_sim_t *sim)
{
  for (int32_t i = 0; i < sim->host_count; i++)
    if (view_sim_host_runs (sim, i))
      return i;
  return -1;
}

/* Passes new records to the host, if it reads the log or is connected to the reader. */
static void
view_sim_read_log (view_sim_t *sim, int32_t index)
{
  view_sim_host_t *host = &sim->hosts[index];
  int32_t reader = view_sim_log_reader (sim);
  bool reads = !sim->single_log_reader || index == reader;

  if (!reads && (sim->link_cut[index][reader] || sim->link_cut[reader][index]))
    return;
  if (sim->log_down)
    return;
  for (; host->records_read < sim->log->len; host->records_read++)
    {
      const view_sim_log_record_t *record = g_ptr_array_index (sim->log, host->records_read);
      gsize size = 0;
      const void *data = g_bytes_get_data (record->data, &size);
      view_sim_step_host (sim, index,
                          &(membership_event_t){ .kind = MEMBERSHIP_RECORD,
                                                 .offset = host->records_read,
                                                 .recorded_at_ms = record->at_ms,
                                                 .data = data,
                                                 .size = size });
    }
  if (reads)
    view_sim_step_host (
        sim, index,
        &(membership_event_t){ .kind = MEMBERSHIP_STREAM_END, .as_of_ms = sim->now_ms });
}

/* Advances the simulated time by TIME_MS. */
static void
view_sim_run (view_sim_t *sim, int64_t time_ms)
{
  int64_t end_ms = sim->now_ms + time_ms;

  while (sim->now_ms < end_ms)
    {
      sim->now_ms += VIEW_SIM_STEP_MS;
      view_sim_deliver (sim);
      for (int32_t i = 0; i < sim->host_count; i++)
        {
          if (!view_sim_host_runs (sim, i))
            continue;
          view_sim_read_log (sim, i);
          view_sim_report_peers (sim, i);
          view_sim_step_host (sim, i, &(membership_event_t){ .kind = MEMBERSHIP_TICK });
        }
    }
}

static inline view_t *
view_sim_view (const view_sim_t *sim, int32_t index)
{
  return membership_view (sim->hosts[index].membership, VIEW_SIM_DATA_CENTRE);
}

/* Cuts or restores the link between A and B in both directions. */
static inline void
view_sim_set_cut (view_sim_t *sim, int32_t a, int32_t b, bool cut)
{
  sim->link_cut[a][b] = cut;
  sim->link_cut[b][a] = cut;
}

#endif
