/* membership.c -- heartbeats, contact and the exchange of states
 *
 * A peer's heartbeat echoes the send time of the last heartbeat that it received
 * from this host.  The peer sent its own heartbeat after that time, and was then in
 * the view that it reports.  So the echoed time, which is on this host's clock, is
 * taken as the time of the contact.  The time of arrival would be wrong: a delayed message
 * would count as recent contact.
 */
#include "view/membership_state.h"

#include <stdlib.h>
#include <string.h>

/* The log counts as readable for this long after its end was read. */
#define LOG_FRESH_FOR_MS 4000
/* Minimum time between two unsolicited summaries to the same peer. */
#define SUMMARY_INTERVAL_MS 1000
/* Number of earlier views of this host's data centre sent along with its newest one. */
#define PAST_VIEWS_SENT 3

static void
action_free (membership_action_t *action)
{
  g_free (action->to);
  view_msg_free (action->msg);
  g_clear_pointer (&action->record, g_bytes_unref);
  view_unref (action->view);
  view_unref (action->base);
  g_free (action);
}

GPtrArray *
membership_actions_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify) action_free);
}

static void
peer_free (peer_t *peer)
{
  member_unref (peer->member);
  g_free (peer);
}

static void
on_view_changed (view_t *view, view_t *base, void *data)
{
  membership_t *membership = data;
  membership_action_t *action = g_new0 (membership_action_t, 1);

  action->kind = MEMBERSHIP_VIEW_CHANGED;
  action->view = view_ref (view);
  action->base = base != NULL ? view_ref (base) : NULL;
  g_ptr_array_add (membership->actions, action);
  if (strcmp (view->data_centre, membership->self->data_centre) == 0)
    membership->last_proposal_ms = 0;
}

membership_t *
membership_new (member_t *self, const membership_limits_t *limits, uint32_t seed, int64_t now_ms)
{
  membership_t *membership = g_new0 (membership_t, 1);

  membership->self = member_ref (self);
  membership->limits = *limits;
  membership->random = g_rand_new_with_seed (seed);
  membership->directory = view_directory_new (on_view_changed, membership);
  membership->peers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) peer_free);
  membership->process_start_ms = now_ms;
  membership->last_tick_ms = now_ms;
  membership->contact_valid_from_ms = now_ms;
  membership->view_learned_ms = now_ms;
  membership->log_read_ms = INT64_MIN;
  membership->last_not_isolated_ms = INT64_MIN;
  proposal_reset (membership);
  return membership;
}

void
membership_free (membership_t *membership)
{
  g_hash_table_unref (membership->peers);
  view_directory_free (membership->directory);
  g_rand_free (membership->random);
  member_unref (membership->self);
  g_free (membership->successor);
  g_free (membership);
}

view_t *
membership_view (const membership_t *membership, const char *data_centre)
{
  return view_directory_newest (membership->directory, data_centre);
}

view_t *
membership_own_view (const membership_t *membership)
{
  return view_directory_newest (membership->directory, membership->self->data_centre);
}

bool
membership_is_member (const membership_t *membership)
{
  const view_t *view = membership_own_view (membership);

  return view != NULL && view_slot_of_member (view, membership->self) >= 0;
}

bool
membership_log_is_fresh (const membership_t *membership, int64_t now_ms)
{
  return membership->log_read_ms != INT64_MIN
         && now_ms - membership->log_read_ms <= LOG_FRESH_FOR_MS;
}

peer_t *
membership_find_peer (const membership_t *membership, const member_t *member)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, member->id);

  return peer != NULL && member_equal (peer->member, member) ? peer : NULL;
}

bool
membership_peer_is_local (const membership_t *membership, const peer_t *peer)
{
  return strcmp (peer->member->data_centre, membership->self->data_centre) == 0;
}

bool
membership_member_is_replaced (const membership_t *membership, const member_t *member)
{
  const peer_t *peer = g_hash_table_lookup (membership->peers, member->id);

  if (strcmp (member->id, membership->self->id) == 0)
    return !member_equal (member, membership->self);
  return peer != NULL && peer->connected && !member_equal (peer->member, member);
}

int64_t
membership_silence_ms (const membership_t *membership, const member_t *member, int64_t now_ms)
{
  const peer_t *peer = membership_find_peer (membership, member);
  int64_t heard_ms = peer != NULL ? peer->last_heard_ms : membership->view_learned_ms;

  if (member_equal (member, membership->self))
    return 0;
  return now_ms - MAX (heard_ms, membership->contact_valid_from_ms);
}

bool
membership_has_remaining_peer (const membership_t *membership)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->connected && !peer->leaving && membership_peer_is_local (membership, peer))
        return true;
    }
  return false;
}

/* --- contact ---------------------------------------------------------------------- */

static int
compare_descending (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return x < y ? 1 : x > y ? -1 : 0;
}

/* Returns the latest time since which this host has had contact with each of COUNT
 * members of VIEW, itself included; INT64_MIN if there is none. */
static int64_t
common_contact_ms (const membership_t *membership,
                   const view_t *view,
                   int32_t count,
                   int64_t now_ms)
{
  int64_t times[VIEW_SLOTS_MAX];

  for (int32_t i = 0; i < view->count; i++)
    {
      const member_t *member = view->slots[i].occupant;
      const peer_t *peer = membership_find_peer (membership, member);
      times[i] = INT64_MIN;
      if (member_equal (member, membership->self))
        times[i] = now_ms;
      else if (peer != NULL && peer->last_contact_ms > 0)
        times[i] = peer->last_contact_ms;
    }
  qsort (times, (size_t) view->count, sizeof (times[0]), compare_descending);
  return times[MAX (count, 1) - 1];
}

/* Returns the latest time at which this host was certainly not isolated: it had read the
 * log, or had contact with all members but one. */
static int64_t
latest_not_isolated_ms (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  int64_t near_full_ms = common_contact_ms (membership, view, view->count - 1, now_ms);

  return MAX (membership->last_not_isolated_ms, MAX (near_full_ms, membership->log_read_ms));
}

int64_t
membership_contact_until_ms (const membership_t *membership, int64_t now_ms)
{
  const membership_limits_t *limits = &membership->limits;
  const view_t *view = membership_own_view (membership);
  int64_t since_ms = INT64_MIN;

  if (view == NULL || view_slot_of_member (view, membership->self) < 0)
    return INT64_MIN;
  int64_t majority_ms = common_contact_ms (membership, view, view_majority (view->count), now_ms);
  int64_t not_isolated_ms = latest_not_isolated_ms (membership, view, now_ms);
  if (not_isolated_ms != INT64_MIN && majority_ms <= not_isolated_ms + limits->isolation_timeout_ms)
    since_ms = majority_ms;
  since_ms = MAX (since_ms, membership->log_read_ms);
  return since_ms < membership->contact_valid_from_ms ? INT64_MIN
                                                      : since_ms + limits->contact_timeout_ms;
}

/* --- messages ---------------------------------------------------------------------- */

void
membership_send (membership_t *membership, const char *to, view_msg_t *msg)
{
  membership_action_t *action = g_new0 (membership_action_t, 1);

  action->kind = MEMBERSHIP_SEND;
  action->to = g_strdup (to);
  action->msg = msg;
  g_ptr_array_add (membership->actions, action);
}

static void
send_heartbeat (membership_t *membership, const peer_t *peer, int64_t now_ms)
{
  view_msg_t *msg = view_msg_new (VIEW_MSG_HEARTBEAT);
  view_heartbeat_t *heartbeat = &msg->u.heartbeat;

  heartbeat->incarnation = membership->self->incarnation;
  heartbeat->sent_ms = now_ms;
  heartbeat->echo_ms = peer->peer_sent_ms;
  heartbeat->leaving = membership->draining;
  heartbeat->directory_digest = view_directory_digest (membership->directory);
  if (membership_is_member (membership))
    heartbeat->view_number = membership_own_view (membership)->number;
  membership_send (membership, peer->member->id, msg);
}

static void
count_view (view_t *view, void *data)
{
  (void) view;
  ++*(int32_t *) data;
}

static void
add_summary_row (view_t *view, void *data)
{
  view_summary_t *summary = data;

  if (summary->count >= VIEW_MSG_STATES_MAX)
    return;
  view_summary_row_t *row = &summary->rows[summary->count++];
  row->data_centre = g_strdup (view->data_centre);
  row->number = view->number;
  row->version = view_version (view);
}

static void
send_summary (membership_t *membership, const char *to, bool reply)
{
  view_msg_t *msg = view_msg_new (VIEW_MSG_SUMMARY);
  int32_t count = 0;

  view_directory_foreach (membership->directory, count_view, &count);
  msg->u.summary.is_reply = reply;
  msg->u.summary.rows = g_new0 (view_summary_row_t, (gsize) count);
  view_directory_foreach (membership->directory, add_summary_row, &msg->u.summary);
  membership_send (membership, to, msg);
}

/* Adds the newest view of DATA_CENTRE to VIEWS.  For this host's data centre, the views
 * before it are added first. */
static void
add_views (const membership_t *membership, const char *data_centre, GPtrArray *views)
{
  const view_t *newest = view_directory_newest (membership->directory, data_centre);
  bool own = strcmp (data_centre, membership->self->data_centre) == 0;

  for (int64_t past = own ? PAST_VIEWS_SENT : 0; past >= 0; past--)
    {
      view_t *view =
          view_directory_find (membership->directory, data_centre, newest->number - past);
      if (view != NULL && views->len < VIEW_MSG_STATES_MAX)
        g_ptr_array_add (views, view_ref (view));
    }
}

/* The states that the sender of SUMMARY lacks. */
typedef struct
{
  const membership_t *membership;
  const view_summary_t *summary;
  GPtrArray *views;
  int32_t common_count; /* data centres that both hosts know */
} summary_diff_t;

static void
add_missing_views (view_t *view, void *data)
{
  summary_diff_t *diff = data;

  for (int32_t i = 0; i < diff->summary->count; i++)
    {
      const view_summary_row_t *row = &diff->summary->rows[i];
      if (strcmp (row->data_centre, view->data_centre) != 0)
        continue;
      diff->common_count++;
      if (row->number > view->number
          || (row->number == view->number && row->version == view_version (view)))
        return;
      break;
    }
  add_views (diff->membership, view->data_centre, diff->views);
}

static void
on_summary (membership_t *membership, const char *from, const view_summary_t *summary)
{
  view_msg_t *msg = view_msg_new (VIEW_MSG_STATES);
  summary_diff_t diff = { membership, summary, msg->u.states.views, 0 };

  view_directory_foreach (membership->directory, add_missing_views, &diff);
  if (msg->u.states.views->len > 0)
    membership_send (membership, from, msg);
  else
    view_msg_free (msg);
  if (!summary->is_reply)
    send_summary (membership, from, true);
}

static void
on_heartbeat (membership_t *membership,
              peer_t *peer,
              const view_heartbeat_t *heartbeat,
              int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  bool first_heartbeat = peer->last_heartbeat_ms == 0;

  if (heartbeat->incarnation != peer->member->incarnation)
    return;
  peer->last_heard_ms = now_ms;
  peer->last_heartbeat_ms = now_ms;
  peer->leaving = heartbeat->leaving;
  peer->reported_view_number = heartbeat->view_number;
  peer->peer_sent_ms = MAX (peer->peer_sent_ms, heartbeat->sent_ms);
  if (view != NULL && heartbeat->view_number == view->number
      && heartbeat->echo_ms >= membership->contact_valid_from_ms)
    peer->last_contact_ms = MAX (peer->last_contact_ms, heartbeat->echo_ms);
  if (first_heartbeat)
    send_heartbeat (membership, peer, now_ms);
  if (heartbeat->directory_digest == view_directory_digest (membership->directory)
      || (peer->summary_sent_ms > 0 && now_ms < peer->summary_sent_ms + SUMMARY_INTERVAL_MS))
    return;
  peer->summary_sent_ms = now_ms;
  send_summary (membership, peer->member->id, false);
}

static void
on_message (membership_t *membership, const char *from, const view_msg_t *msg, int64_t now_ms)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, from);

  if (peer == NULL)
    return;
  switch (msg->type)
    {
    case VIEW_MSG_HEARTBEAT:
      on_heartbeat (membership, peer, &msg->u.heartbeat, now_ms);
      break;
    case VIEW_MSG_SUMMARY:
      on_summary (membership, from, &msg->u.summary);
      break;
    case VIEW_MSG_STATES:
      for (guint i = 0; i < msg->u.states.views->len; i++)
        view_directory_merge (membership->directory, g_ptr_array_index (msg->u.states.views, i));
      break;
    case VIEW_MSG_SUSPICION_QUERY:
      suspicion_on_query (membership, from, &msg->u.suspicion_query, now_ms);
      break;
    case VIEW_MSG_SUSPICION_REPLY:
      suspicion_on_reply (membership, &msg->u.suspicion_reply, now_ms);
      break;
    }
}

/* Sends the newest views of this data centre to its connected peers, or to the connected
 * peers of all data centres. */
static void
send_own_views (membership_t *membership, bool all_peers)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!peer->connected || !(all_peers || membership_peer_is_local (membership, peer)))
        continue;
      view_msg_t *msg = view_msg_new (VIEW_MSG_STATES);
      add_views (membership, membership->self->data_centre, msg->u.states.views);
      membership_send (membership, peer->member->id, msg);
    }
}

/* --- events ----------------------------------------------------------------------- */

static void
on_peer (membership_t *membership, const membership_event_t *event, int64_t now_ms)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, event->member->id);

  if (peer == NULL || !member_equal (peer->member, event->member))
    {
      peer = g_new0 (peer_t, 1);
      peer->member = member_ref (event->member);
      peer->first_seen_ms = now_ms;
      peer->last_heard_ms = now_ms;
      g_hash_table_replace (membership->peers, g_strdup (event->member->id), peer);
    }
  bool reconnected = event->connected && !peer->connected;
  peer->connected = event->connected;
  if (membership->limits.traffic_counts_as_heartbeat)
    peer->last_heard_ms = MAX (peer->last_heard_ms, event->as_of_ms);
  if (reconnected)
    send_heartbeat (membership, peer, now_ms);
}

static void
on_record (membership_t *membership, const membership_event_t *event, int64_t now_ms)
{
  const view_t *old_view = membership_own_view (membership);
  int64_t old_number = old_view != NULL ? old_view->number : 0;

  /* Every reader ignores a malformed record, so all compute the same views. */
  (void) view_directory_apply_record (membership->directory, event->offset, event->recorded_at_ms,
                                      event->data, event->size);
  const view_t *new_view = membership_own_view (membership);
  if (new_view != NULL && new_view->number > old_number
      && membership_log_is_fresh (membership, now_ms))
    send_own_views (membership, false);
}

static void
on_slot_transferred (membership_t *membership, view_t *view)
{
  view_directory_merge (membership->directory, view);
  send_own_views (membership, true);
}

static void
send_local_heartbeats (membership_t *membership, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value = NULL;

  if (now_ms < membership->next_heartbeat_ms)
    return;
  membership->next_heartbeat_ms = now_ms + membership->limits.heartbeat_interval_ms;
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->connected && membership_peer_is_local (membership, peer))
        send_heartbeat (membership, peer, now_ms);
    }
}

/* Sends a heartbeat to one host of another data centre, in turn, so that states spread
 * between data centres while the log is unavailable. */
static void
send_remote_heartbeat (membership_t *membership, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_autoptr (GPtrArray) remote_peers = g_ptr_array_new ();

  if (now_ms < membership->next_remote_heartbeat_ms)
    return;
  membership->next_remote_heartbeat_ms = now_ms + membership->limits.remote_heartbeat_interval_ms;
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->connected && !membership_peer_is_local (membership, peer))
        g_ptr_array_add (remote_peers, value);
    }
  if (remote_peers->len > 0)
    send_heartbeat (
        membership,
        g_ptr_array_index (remote_peers, membership->remote_heartbeat_count++ % remote_peers->len),
        now_ms);
}

static void
on_tick (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  /* While the process was paused, it received nothing: earlier times of traffic and of
   * contact no longer tell which peers are alive and in the view. */
  if (now_ms - membership->last_tick_ms > membership->limits.pause_threshold_ms)
    membership->contact_valid_from_ms = now_ms;
  membership->last_tick_ms = now_ms;
  if (view != NULL && view_slot_of_member (view, membership->self) >= 0)
    membership->last_not_isolated_ms = latest_not_isolated_ms (membership, view, now_ms);
  send_local_heartbeats (membership, now_ms);
  send_remote_heartbeat (membership, now_ms);
  suspicion_tick (membership, now_ms);
  proposal_tick (membership, now_ms);
}

/* Discards all contact if the view has changed since the view PREVIOUS_NUMBER:
 * contact in an older view does not show that a peer is in the newer one. */
static void
reset_contact_if_replaced (membership_t *membership, int64_t previous_number, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  GHashTableIter iter;
  gpointer value = NULL;

  if (view == NULL || view->number == previous_number)
    return;
  membership->view_learned_ms = now_ms;
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((peer_t *) value)->last_contact_ms = 0;
}

void
membership_step (membership_t *membership,
                 const membership_event_t *event,
                 int64_t now_ms,
                 GPtrArray *actions)
{
  const view_t *view = membership_own_view (membership);
  int64_t previous_number = view != NULL ? view->number : 0;

  membership->actions = actions;
  switch (event->kind)
    {
    case MEMBERSHIP_PEER_STATUS:
      on_peer (membership, event, now_ms);
      break;
    case MEMBERSHIP_MESSAGE:
      on_message (membership, event->from, event->msg, now_ms);
      break;
    case MEMBERSHIP_RECORD:
      on_record (membership, event, now_ms);
      break;
    case MEMBERSHIP_STREAM_END:
      view_directory_stream_end (membership->directory);
      membership->log_read_ms = MAX (membership->log_read_ms, event->as_of_ms);
      break;
    case MEMBERSHIP_APPEND_DONE:
      if (!event->ok)
        membership->last_proposal_ms = now_ms;
      break;
    case MEMBERSHIP_SLOT_TRANSFERRED:
      on_slot_transferred (membership, event->view);
      break;
    case MEMBERSHIP_DRAIN:
      membership->draining = true;
      membership->drain_started_ms = now_ms;
      break;
    case MEMBERSHIP_TICK:
      on_tick (membership, now_ms);
      break;
    }
  reset_contact_if_replaced (membership, previous_number, now_ms);
  membership->actions = NULL;
}
