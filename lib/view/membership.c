/* membership.c -- beats, contact and the exchange of states
 *
 * Contact with a peer is dated by the echo of this host's own beat: the peer
 * was in the reported view when it sent its beat, which was after ours had
 * reached it, so after the echoed time.  A late message is never taken for
 * fresh contact.
 */
#include "view/membership_state.h"

#include <stdlib.h>
#include <string.h>

/* The log counts as readable if its end was read so lately. */
#define LOG_FRESH_MS 4000
/* Between two summaries to the same peer. */
#define SUMMARY_EVERY_MS 1000
/* Past views that go along with a data centre's newest one. */
#define STATES_PAST 3

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
on_changed (view_t *view, view_t *base, void *data)
{
  membership_t *membership = data;
  membership_action_t *action = g_new0 (membership_action_t, 1);

  action->kind = MEMBERSHIP_VIEW;
  action->view = view_ref (view);
  action->base = base != NULL ? view_ref (base) : NULL;
  g_ptr_array_add (membership->actions, action);
  if (strcmp (view->data_centre, membership->self->data_centre) == 0)
    membership->proposed_ms = 0;
}

membership_t *
membership_new (member_t *self, const membership_limits_t *limits, uint32_t seed, int64_t now_ms)
{
  membership_t *membership = g_new0 (membership_t, 1);

  membership->self = member_ref (self);
  membership->limits = *limits;
  membership->random = g_rand_new_with_seed (seed);
  membership->directory = directory_new (on_changed, membership);
  membership->peers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) peer_free);
  membership->started_ms = now_ms;
  membership->last_tick_ms = now_ms;
  membership->floor_ms = now_ms;
  membership->view_ms = now_ms;
  membership->log_ms = INT64_MIN;
  membership->wide_ms = INT64_MIN;
  proposal_reset (membership);
  return membership;
}

void
membership_free (membership_t *membership)
{
  g_hash_table_unref (membership->peers);
  directory_free (membership->directory);
  g_rand_free (membership->random);
  member_unref (membership->self);
  g_free (membership->successor);
  g_free (membership);
}

view_t *
membership_view (const membership_t *membership, const char *data_centre)
{
  return directory_view (membership->directory, data_centre);
}

view_t *
membership_own_view (const membership_t *membership)
{
  return directory_view (membership->directory, membership->self->data_centre);
}

bool
membership_is_member (const membership_t *membership)
{
  const view_t *view = membership_own_view (membership);

  return view != NULL && view_seat_of (view, membership->self) >= 0;
}

bool
membership_log_is_fresh (const membership_t *membership, int64_t now_ms)
{
  return membership->log_ms != INT64_MIN && now_ms - membership->log_ms <= LOG_FRESH_MS;
}

peer_t *
membership_peer_of (const membership_t *membership, const member_t *member)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, member->id);

  return peer != NULL && member_equal (peer->member, member) ? peer : NULL;
}

bool
membership_is_local (const membership_t *membership, const peer_t *peer)
{
  return strcmp (peer->member->data_centre, membership->self->data_centre) == 0;
}

bool
membership_is_replaced (const membership_t *membership, const member_t *member)
{
  const peer_t *peer = g_hash_table_lookup (membership->peers, member->id);

  if (strcmp (member->id, membership->self->id) == 0)
    return !member_equal (member, membership->self);
  return peer != NULL && peer->connected && !member_equal (peer->member, member);
}

int64_t
membership_silence_ms (const membership_t *membership, const member_t *member, int64_t now_ms)
{
  const peer_t *peer = membership_peer_of (membership, member);
  int64_t heard_ms = peer != NULL ? peer->heard_ms : membership->view_ms;

  if (member_equal (member, membership->self))
    return 0;
  return now_ms - MAX (heard_ms, membership->floor_ms);
}

bool
membership_others_stay (const membership_t *membership)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->connected && !peer->leaving && membership_is_local (membership, peer))
        return true;
    }
  return false;
}

/* --- contact ---------------------------------------------------------------------- */

static int
compare_falling (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return x < y ? 1 : x > y ? -1 : 0;
}

/* Since when COUNT members, this host included, have been in this host's view
 * together. */
static int64_t
together_since_ms (const membership_t *membership,
                   const view_t *view,
                   int32_t count,
                   int64_t now_ms)
{
  int64_t times[VIEW_SEATS_MAX];

  for (int32_t i = 0; i < view->count; i++)
    {
      const member_t *member = view->seats[i].occupant;
      const peer_t *peer = membership_peer_of (membership, member);
      times[i] = INT64_MIN;
      if (member_equal (member, membership->self))
        times[i] = now_ms;
      else if (peer != NULL && peer->contact_ms > 0)
        times[i] = peer->contact_ms;
    }
  qsort (times, (size_t) view->count, sizeof (times[0]), compare_falling);
  return times[MAX (count, 1) - 1];
}

static int64_t
wide_contact_ms (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  int64_t together_ms = together_since_ms (membership, view, view->count - 1, now_ms);

  return MAX (membership->wide_ms, MAX (together_ms, membership->log_ms));
}

int64_t
membership_contact_until_ms (const membership_t *membership, int64_t now_ms)
{
  const membership_limits_t *limits = &membership->limits;
  const view_t *view = membership_own_view (membership);
  int64_t since_ms = INT64_MIN;

  if (view == NULL || view_seat_of (view, membership->self) < 0)
    return INT64_MIN;
  int64_t majority_ms = together_since_ms (membership, view, view_majority (view->count), now_ms);
  int64_t wide_ms = wide_contact_ms (membership, view, now_ms);
  if (wide_ms != INT64_MIN && majority_ms <= wide_ms + limits->isolation_ms)
    since_ms = majority_ms;
  since_ms = MAX (since_ms, membership->log_ms);
  return since_ms < membership->floor_ms ? INT64_MIN : since_ms + limits->contact_ms;
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
send_beat (membership_t *membership, const peer_t *peer, int64_t now_ms)
{
  view_msg_t *msg = view_msg_new (VIEW_MSG_BEAT);
  view_beat_t *beat = &msg->u.beat;

  beat->incarnation = membership->self->incarnation;
  beat->sent_ms = now_ms;
  beat->echo_ms = peer->echo_ms;
  beat->leaving = membership->draining;
  beat->digest = directory_digest (membership->directory);
  if (membership_is_member (membership))
    beat->view = membership_own_view (membership)->number;
  membership_send (membership, peer->member->id, msg);
}

static void
count_state (view_t *view, void *data)
{
  (void) view;
  ++*(int32_t *) data;
}

static void
add_row (view_t *view, void *data)
{
  view_summary_t *summary = data;

  if (summary->count >= VIEW_STATES_MAX)
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

  directory_each (membership->directory, count_state, &count);
  msg->u.summary.reply = reply;
  msg->u.summary.rows = g_new0 (view_summary_row_t, (gsize) count);
  directory_each (membership->directory, add_row, &msg->u.summary);
  membership_send (membership, to, msg);
}

static void
add_states (const membership_t *membership, const char *data_centre, GPtrArray *views)
{
  const view_t *newest = directory_view (membership->directory, data_centre);
  bool own = strcmp (data_centre, membership->self->data_centre) == 0;

  for (int64_t past = own ? STATES_PAST : 0; past >= 0; past--)
    {
      view_t *view = directory_past (membership->directory, data_centre, newest->number - past);
      if (view != NULL && views->len < VIEW_STATES_MAX)
        g_ptr_array_add (views, view_ref (view));
    }
}

/* What a peer with ROWS lacks. */
typedef struct
{
  const membership_t *membership;
  const view_summary_t *summary;
  GPtrArray *views;
  int32_t known; /* data centres that both know */
} comparison_t;

static void
compare_state (view_t *view, void *data)
{
  comparison_t *comparison = data;

  for (int32_t i = 0; i < comparison->summary->count; i++)
    {
      const view_summary_row_t *row = &comparison->summary->rows[i];
      if (strcmp (row->data_centre, view->data_centre) != 0)
        continue;
      comparison->known++;
      if (row->number > view->number
          || (row->number == view->number && row->version == view_version (view)))
        return;
      break;
    }
  add_states (comparison->membership, view->data_centre, comparison->views);
}

static void
on_summary (membership_t *membership, const char *from, const view_summary_t *summary)
{
  view_msg_t *msg = view_msg_new (VIEW_MSG_STATES);
  comparison_t comparison = { membership, summary, msg->u.states.views, 0 };

  directory_each (membership->directory, compare_state, &comparison);
  if (msg->u.states.views->len > 0)
    membership_send (membership, from, msg);
  else
    view_msg_free (msg);
  if (!summary->reply)
    send_summary (membership, from, true);
}

static void
on_beat (membership_t *membership, peer_t *peer, const view_beat_t *beat, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  bool first = peer->beat_ms == 0;

  if (beat->incarnation != peer->member->incarnation)
    return;
  peer->heard_ms = now_ms;
  peer->beat_ms = now_ms;
  peer->leaving = beat->leaving;
  peer->beat_view = beat->view;
  peer->echo_ms = MAX (peer->echo_ms, beat->sent_ms);
  if (view != NULL && beat->view == view->number && beat->echo_ms >= membership->floor_ms)
    peer->contact_ms = MAX (peer->contact_ms, beat->echo_ms);
  if (first)
    send_beat (membership, peer, now_ms);
  if (beat->digest == directory_digest (membership->directory)
      || (peer->summary_ms > 0 && now_ms < peer->summary_ms + SUMMARY_EVERY_MS))
    return;
  peer->summary_ms = now_ms;
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
    case VIEW_MSG_BEAT:
      on_beat (membership, peer, &msg->u.beat, now_ms);
      break;
    case VIEW_MSG_SUMMARY:
      on_summary (membership, from, &msg->u.summary);
      break;
    case VIEW_MSG_STATES:
      for (guint i = 0; i < msg->u.states.views->len; i++)
        directory_learn (membership->directory, g_ptr_array_index (msg->u.states.views, i));
      break;
    case VIEW_MSG_DOUBT:
      suspicion_doubt (membership, from, &msg->u.doubt, now_ms);
      break;
    case VIEW_MSG_OPINION:
      suspicion_opinion (membership, &msg->u.opinion, now_ms);
      break;
    }
}

/* Tells the peers of this data centre, or ALL, about its newest state. */
static void
announce (membership_t *membership, bool all)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!peer->connected || !(all || membership_is_local (membership, peer)))
        continue;
      view_msg_t *msg = view_msg_new (VIEW_MSG_STATES);
      add_states (membership, membership->self->data_centre, msg->u.states.views);
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
      peer->met_ms = now_ms;
      peer->heard_ms = now_ms;
      g_hash_table_replace (membership->peers, g_strdup (event->member->id), peer);
    }
  bool up = event->connected && !peer->connected;
  peer->connected = event->connected;
  if (membership->limits.traffic_is_contact)
    peer->heard_ms = MAX (peer->heard_ms, event->heard_ms);
  if (up)
    send_beat (membership, peer, now_ms);
}

static void
on_record (membership_t *membership, const membership_event_t *event, int64_t now_ms)
{
  const view_t *before = membership_own_view (membership);
  int64_t number = before != NULL ? before->number : 0;

  /* A record that cannot be read is as if it were not there, at every reader. */
  (void) directory_record (membership->directory, event->offset, event->at_ms, event->data,
                           event->size);
  const view_t *after = membership_own_view (membership);
  if (after != NULL && after->number > number && membership_log_is_fresh (membership, now_ms))
    announce (membership, false);
}

static void
on_seat_moved (membership_t *membership, view_t *view)
{
  directory_learn (membership->directory, view);
  announce (membership, true);
}

static void
beat_local (membership_t *membership, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value = NULL;

  if (now_ms < membership->next_beat_ms)
    return;
  membership->next_beat_ms = now_ms + membership->limits.beat_ms;
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->connected && membership_is_local (membership, peer))
        send_beat (membership, peer, now_ms);
    }
}

/* One host of another data centre by turns, so that states spread when the log
 * is down. */
static void
beat_foreign (membership_t *membership, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_autoptr (GPtrArray) foreign = g_ptr_array_new ();

  if (now_ms < membership->next_foreign_ms)
    return;
  membership->next_foreign_ms = now_ms + membership->limits.foreign_beat_ms;
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->connected && !membership_is_local (membership, peer))
        g_ptr_array_add (foreign, value);
    }
  if (foreign->len > 0)
    send_beat (membership, g_ptr_array_index (foreign, membership->foreign_turn++ % foreign->len),
               now_ms);
}

static void
on_tick (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  /* After a freeze, old signs of life and of contact say nothing. */
  if (now_ms - membership->last_tick_ms > membership->limits.freeze_ms)
    membership->floor_ms = now_ms;
  membership->last_tick_ms = now_ms;
  if (view != NULL && view_seat_of (view, membership->self) >= 0)
    membership->wide_ms = wide_contact_ms (membership, view, now_ms);
  beat_local (membership, now_ms);
  beat_foreign (membership, now_ms);
  suspicion_tick (membership, now_ms);
  proposal_tick (membership, now_ms);
}

/* Contact in an older view says nothing about a newer one. */
static void
note_view (membership_t *membership, int64_t before, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  GHashTableIter iter;
  gpointer value = NULL;

  if (view == NULL || view->number == before)
    return;
  membership->view_ms = now_ms;
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((peer_t *) value)->contact_ms = 0;
}

void
membership_step (membership_t *membership,
                 const membership_event_t *event,
                 int64_t now_ms,
                 GPtrArray *actions)
{
  const view_t *view = membership_own_view (membership);
  int64_t before = view != NULL ? view->number : 0;

  membership->actions = actions;
  switch (event->kind)
    {
    case MEMBERSHIP_PEER:
      on_peer (membership, event, now_ms);
      break;
    case MEMBERSHIP_MESSAGE:
      on_message (membership, event->from, event->msg, now_ms);
      break;
    case MEMBERSHIP_RECORD:
      on_record (membership, event, now_ms);
      break;
    case MEMBERSHIP_CAUGHT_UP:
      directory_caught_up (membership->directory);
      membership->log_ms = MAX (membership->log_ms, event->heard_ms);
      break;
    case MEMBERSHIP_APPENDED:
      if (!event->ok)
        membership->proposed_ms = now_ms;
      break;
    case MEMBERSHIP_SEAT_MOVED:
      on_seat_moved (membership, event->view);
      break;
    case MEMBERSHIP_DRAIN:
      membership->draining = true;
      membership->drain_ms = now_ms;
      break;
    case MEMBERSHIP_TICK:
      on_tick (membership, now_ms);
      break;
    }
  note_view (membership, before, now_ms);
  membership->actions = NULL;
}
