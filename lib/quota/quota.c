/* quota.c -- handles events and sends the messages that are due
 *
 * After each event, the units of each limit that has changed are divided again.
 * Then at most one report and one grant go to each host: at once if units move
 * between hosts, within QUOTA_BUSY_INTERVAL_MS if another value has changed,
 * and otherwise every QUOTA_IDLE_INTERVAL_MS, which renews the leases between
 * the two hosts.  Each report is answered by a grant.
 */
#include "quota/quota_internal.h"

#include "base/hash.h"

#include <string.h>

const quota_rules_t quota_rules_all = { true, true, true, true };

static void
action_free (void *data)
{
  quota_action_t *action = data;

  quota_message_free (action->message);
  g_free (action->host);
  g_free (action);
}

GPtrArray *
quota_actions_new (void)
{
  return g_ptr_array_new_with_free_func (action_free);
}

static void
limit_free (void *data)
{
  limit_t *limit = data;

  holder_clear (&limit->holder);
  allocation_clear (&limit->allocation);
  g_free (limit->name);
  g_free (limit);
}

static GPtrArray *
copy_names (const GPtrArray *names)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < names->len; i++)
    g_ptr_array_add (copy, g_strdup (names->pdata[i]));
  return copy;
}

quota_t *
quota_new (const char *host,
           const char *data_centre,
           uint64_t incarnation,
           const GPtrArray *data_centres,
           const quota_rules_t *rules)
{
  quota_t *quota = g_new0 (quota_t, 1);

  quota->host = g_strdup (host);
  quota->data_centre = g_strdup (data_centre);
  quota->incarnation = incarnation;
  quota->data_centres = copy_names (data_centres);
  quota->rules = *rules;
  quota->limits = g_ptr_array_new_with_free_func (limit_free);
  quota->allocated_limits = g_ptr_array_new ();
  quota->limits_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  quota->peers = g_ptr_array_new_with_free_func (peer_free);
  quota->peers_by_host = g_hash_table_new (g_str_hash, g_str_equal);
  quota->members = g_ptr_array_new_with_free_func (g_free);
  quota->self = peer_get (quota, host, data_centre);
  quota->started_at_ms = -1;
  return quota;
}

void
quota_free (quota_t *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_unref (quota->limits_by_name);
  g_ptr_array_unref (quota->allocated_limits);
  g_ptr_array_unref (quota->limits);
  g_hash_table_unref (quota->peers_by_host);
  g_ptr_array_unref (quota->peers);
  g_ptr_array_unref (quota->members);
  if (quota->previous_members != NULL)
    g_ptr_array_unref (quota->previous_members);
  g_ptr_array_unref (quota->data_centres);
  g_free (quota->host);
  g_free (quota->data_centre);
  g_free (quota);
}

/* Returns the limit NAME, which is created if needed: a report may name a limit
 * before this host has it in its configuration. */
static limit_t *
limit_get (quota_t *quota, const char *name)
{
  limit_t *limit = g_hash_table_lookup (quota->limits_by_name, name);

  if (limit != NULL)
    return limit;
  limit = g_new0 (limit_t, 1);
  limit->name = g_strdup (name);
  limit->counts_starts = g_str_has_prefix (name, "starts/");
  limit->is_local = g_str_has_prefix (name, "slots/");
  limit->removed = true;
  holder_init (quota, limit);
  allocation_init (limit);
  g_ptr_array_add (quota->limits, limit);
  g_hash_table_insert (quota->limits_by_name, limit->name, limit);
  return limit;
}

static void
on_limit (quota_t *quota, const quota_event_t *event, int64_t now_ms)
{
  limit_t *limit = limit_get (quota, event->name);

  int64_t previous_part = limit->part_units;

  limit->removed = event->units == QUOTA_NO_LIMIT;
  limit->units = MAX (event->units, 0);
  limit->part_units = data_centre_part (quota, limit, quota->data_centre);
  allocation_part_changed (quota, limit, previous_part, now_ms);
  limit->allocation.dirty = true;
  quota->has_grown = true;
  if (limit->holder.allocator == NULL)
    holder_choose_allocator (quota, limit, true, now_ms);
}

static bool
has_name (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (g_str_equal (names->pdata[i], name))
      return true;
  return false;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

/* Returns an id that is the same on every host for the same number and members.
 * The number alone is not enough, because a member can be replaced by another
 * host without a new number. */
static int64_t
make_view_id (int64_t number, const GPtrArray *members)
{
  GString *key = g_string_new (NULL);

  g_string_printf (key, "%" G_GINT64_FORMAT, number);
  for (guint i = 0; i < members->len; i++)
    g_string_append_printf (key, " %s", (const char *) members->pdata[i]);
  int64_t id = (int64_t) (hash_string (key->str) >> 2) + 1;
  g_string_free (key, TRUE);
  return id;
}

/* A host has left if a member is missing or if a view in between was not seen.
 * It has also left if the new view has as many members as the old one and none
 * is missing: then the process of a member was replaced. */
static void
record_departures (quota_t *quota, int64_t number, const GPtrArray *members, int64_t now_ms)
{
  bool has_departure = quota->view_id > 0 && number > quota->view_number + 1;

  if (quota->view_id == 0)
    {
      quota->first_view_ms = now_ms;
      quota->departures_known = number <= 1;
    }
  else
    quota->saw_second_view = true;
  has_departure |= quota->view_id > 0 && members->len == quota->members->len;
  for (guint i = 0; i < quota->members->len && !has_departure; i++)
    has_departure = !has_name (members, quota->members->pdata[i]);
  if (has_departure)
    quota->last_departure_ms = now_ms;
}

static void
on_view (quota_t *quota, const quota_event_t *event, int64_t now_ms)
{
  if (event->view_number < MAX (quota->view_number, 1) || event->members->len == 0)
    return;
  GPtrArray *members = copy_names (event->members);
  g_ptr_array_sort (members, compare_names);
  int64_t id = make_view_id (event->view_number, members);
  if (id == quota->view_id)
    {
      g_ptr_array_unref (members);
      return;
    }
  record_departures (quota, event->view_number, members, now_ms);
  if (quota->previous_members != NULL)
    g_ptr_array_unref (quota->previous_members);
  quota->previous_members = NULL;
  if (quota->view_id > 0)
    quota->previous_members = quota->members;
  else
    g_ptr_array_unref (quota->members);
  quota->members = members;
  quota->view_id = id;
  quota->view_number = event->view_number;
  quota->view_since_ms = now_ms;
  for (guint i = 0; i < quota->limits->len; i++)
    {
      limit_t *limit = quota->limits->pdata[i];
      limit->allocation.active_until_ms = 0;
      holder_choose_allocator (quota, limit, true, now_ms);
    }
  for (guint i = 0; i < quota->peers->len; i++)
    ((quota_peer_t *) quota->peers->pdata[i])->as_holder.urgent = true;
}

/* A host that was marked as unreachable is tried again after this time. */
#define SUSPECT_RETRY_MS 5000

static void
check_peers (quota_t *quota, int64_t now_ms)
{
  for (guint i = 0; i < quota->peers->len; i++)
    {
      quota_peer_t *peer = quota->peers->pdata[i];
      bool is_unresponsive = peer->unanswered_since_ms > 0
                             && now_ms - peer->unanswered_since_ms > QUOTA_SUSPECT_TIMEOUT_MS;
      if (is_unresponsive && !peer->is_suspected)
        {
          peer->is_suspected = true;
          peer->suspected_at_ms = now_ms;
        }
      else if (peer->is_suspected && now_ms - peer->suspected_at_ms > SUSPECT_RETRY_MS)
        {
          peer->is_suspected = false;
          peer->unanswered_since_ms = 0;
        }
      bool lease_expired =
          peer->as_allocator.last_sent_ms > 0
          && now_ms > peer->as_allocator.last_sent_ms + with_clock_margin (peer_lease_ms (peer));
      for (guint k = 0; lease_expired && k < quota->allocated_limits->len; k++)
        allocation_expire_grants (quota, quota->allocated_limits->pdata[k], peer, now_ms);
    }
}

/* After a pause of this process, answers may be waiting unread, so that no host
 * may be suspected for a missing answer. */
static void
detect_pause (quota_t *quota, int64_t now_ms)
{
  bool paused = now_ms - quota->last_tick_ms > QUOTA_SUSPECT_TIMEOUT_MS / 2;

  for (guint i = 0; paused && i < quota->peers->len; i++)
    ((quota_peer_t *) quota->peers->pdata[i])->unanswered_since_ms = 0;
  quota->last_tick_ms = now_ms;
}

static void
on_tick (quota_t *quota, int64_t now_ms)
{
  detect_pause (quota, now_ms);
  check_peers (quota, now_ms);
  for (guint i = 0; i < quota->limits->len; i++)
    {
      limit_t *limit = quota->limits->pdata[i];
      holder_choose_allocator (quota, limit, false, now_ms);
      limit->allocation.dirty |= limit->allocation.has_shortage;
      loan_tick (quota, limit, now_ms);
    }
}

static void
on_message (quota_t *quota, const quota_event_t *event, int64_t now_ms)
{
  const quota_message_t *message = event->message;
  quota_peer_t *peer = peer_get (quota, event->host, event->data_centre);
  bool report = message->type == QUOTA_FRAME_REPORT;

  if (!report && message->header.to_incarnation != quota->incarnation)
    return;
  for (guint i = 0; report && i < message->header.entries->len; i++)
    limit_get (quota, g_array_index (message->header.entries, quota_report_entry_t, i).name);
  if (!peer_receive (quota, peer, report ? &peer->as_allocator : &peer->as_holder, &message->header,
                     now_ms))
    return;
  if (report)
    {
      allocation_receive (quota, peer, &message->header, now_ms);
      return;
    }
  peer->unanswered_since_ms = 0;
  peer->last_grant_ms = now_ms;
  if (peer->is_remote)
    loan_receive (quota, peer, &message->header, now_ms);
  else
    holder_receive (quota, peer, &message->header, now_ms);
}

static void
on_peer (quota_t *quota, const quota_event_t *event, int64_t now_ms)
{
  quota_peer_t *peer = peer_get (quota, event->host, event->data_centre);

  if (peer == NULL || peer->is_self)
    return;
  peer->is_suspected = !event->is_reachable;
  peer->suspected_at_ms = now_ms;
  peer->unanswered_since_ms = 0;
}

/* Reports at once to the allocators whose grants are smaller than the demand. */
static void
on_request (quota_t *quota, int64_t now_ms)
{
  for (guint i = 0; i < quota->limits->len; i++)
    {
      limit_t *limit = quota->limits->pdata[i];
      holder_t *holder = &limit->holder;
      bool is_short = holder->demand > holder_usable_units (quota, holder, now_ms);
      if (is_short && holder->demand != holder->report.last_sent.demand
          && holder->allocator != NULL)
        holder->allocator->as_holder.urgent = true;
    }
}

static void
on_leave (quota_t *quota)
{
  quota->leaving = true;
  for (guint i = 0; i < quota->peers->len; i++)
    ((quota_peer_t *) quota->peers->pdata[i])->as_holder.urgent = true;
}

bool
quota_has_left (const quota_t *quota, int64_t now_ms)
{
  for (guint i = 0; i < quota->limits->len; i++)
    {
      const limit_t *limit = quota->limits->pdata[i];
      const holder_t *holder = &limit->holder;
      if (limit->removed || holder->allocator == NULL)
        continue;
      if (holder->in_use.total > 0 || holder_usable_units (quota, holder, now_ms) > 0
          || holder->report.changed
          || holder->report.sequence > holder->allocator->as_holder.acked_sequence)
        return false;
    }
  return quota->leaving;
}

/* Returns true if PEER is the allocator of a limit and this host may vote for
 * it now, or if PEER is the lender of an open loan. */
static bool
must_report_to (const quota_t *quota, const quota_peer_t *peer, int64_t now_ms)
{
  for (guint i = 0; i < quota->limits->len; i++)
    {
      const limit_t *limit = quota->limits->pdata[i];
      if (limit->holder.allocator == peer && now_ms >= limit->holder.vote_from_ms
          && !limit->removed)
        return true;
      if (peer->is_remote && loan_is_open (limit, peer, now_ms))
        return true;
    }
  return false;
}

/* A restarted process may first see a view from before it replaced its
 * predecessor.  Until another view has followed, its predecessor counts as a
 * host that has left, and no_departures is not reported before this time has
 * passed. */
#define JOIN_SETTLE_MS 1000

/* A host that left before the returned time cannot have any unit in use now. */
static int64_t
departure_horizon_ms (const quota_t *quota, int64_t now_ms)
{
  int64_t longest_ms = QUOTA_INITIAL_USE_MS;

  for (guint i = 0; i < quota->limits->len; i++)
    longest_ms = MAX (longest_ms, ((limit_t *) quota->limits->pdata[i])->holder.announced_use_ms);
  return now_ms - with_clock_margin (QUOTA_LOAN_LEASE_MS) - with_clock_margin (longest_ms);
}

bool
quota_saw_departure (const quota_t *quota, int64_t now_ms)
{
  int64_t since_ms = departure_horizon_ms (quota, now_ms);
  bool has_joined = quota->saw_second_view || quota->departures_known;

  return (quota->last_departure_ms > 0 && quota->last_departure_ms > since_ms)
         || (!has_joined && quota->first_view_ms > since_ms);
}

/* Sets the fields of HEADER that say whether a host that is no longer a member
 * may still have units. */
static void
set_departure_flags (const quota_t *quota, quota_header_t *header, int64_t now_ms)
{
  header->saw_departure = quota_saw_departure (quota, now_ms);
  header->no_departures =
      quota->view_id > 0 && !header->saw_departure
      && now_ms - quota->first_view_ms >= JOIN_SETTLE_MS
      && (quota->departures_known || quota->first_view_ms < departure_horizon_ms (quota, now_ms));
}

static void
add_action (GPtrArray *actions, const quota_peer_t *peer, quota_message_t *message)
{
  quota_action_t *action = g_new (quota_action_t, 1);

  action->host = g_strdup (peer->host);
  action->message = message;
  g_ptr_array_add (actions, action);
}

static void
send_report (quota_t *quota, quota_peer_t *peer, bool renew, int64_t now_ms, GPtrArray *actions)
{
  quota_message_t *message = quota_message_new (QUOTA_FRAME_REPORT);

  for (guint i = 0; i < quota->limits->len; i++)
    if (peer->is_remote)
      loan_report (quota, quota->limits->pdata[i], peer, message, now_ms);
    else
      holder_report (quota, quota->limits->pdata[i], peer, message, now_ms);
  if (message->header.entries->len == 0 && !renew)
    {
      quota_message_free (message);
      return;
    }
  message->header.view_id = peer->is_remote ? 0 : quota->view_id;
  message->header.leaving = quota->leaving;
  set_departure_flags (quota, &message->header, now_ms);
  peer_send (quota, peer, &peer->as_holder, message, now_ms);
  if (peer->unanswered_since_ms == 0)
    peer->unanswered_since_ms = now_ms;
  add_action (actions, peer, message);
}

static void
send_grant (quota_t *quota, quota_peer_t *peer, int64_t now_ms, GPtrArray *actions)
{
  quota_message_t *message = quota_message_new (QUOTA_FRAME_GRANT);
  bool reply_due = peer->as_allocator.reply_due;

  for (guint i = 0; i < quota->allocated_limits->len; i++)
    allocation_append_grant (quota, quota->allocated_limits->pdata[i], peer, message, now_ms);
  if (message->header.entries->len == 0 && !reply_due)
    {
      peer->as_allocator.urgent = false;
      quota_message_free (message);
      return;
    }
  message->header.view_id = quota->view_id;
  peer_send (quota, peer, &peer->as_allocator, message, now_ms);
  add_action (actions, peer, message);
}

/* A grant is only sent while there is a recent report, because a lease is
 * counted from a report and would not be extended otherwise. */
static bool
is_grant_due (const quota_peer_t *peer, int64_t now_ms)
{
  if (peer->as_allocator.reply_due)
    return true;
  return peer->incarnation != 0 && now_ms - peer->last_heard_ms < peer_lease_ms (peer)
         && stream_may_send_urgent (&peer->as_allocator, now_ms);
}

static void
send_due_messages (quota_t *quota, bool tick, int64_t now_ms, GPtrArray *actions)
{
  for (guint i = 0; i < quota->peers->len; i++)
    {
      quota_peer_t *peer = quota->peers->pdata[i];
      bool urgent = stream_may_send_urgent (&peer->as_holder, now_ms);
      bool busy =
          tick && stream_interval_has_passed (&peer->as_holder, now_ms, QUOTA_BUSY_INTERVAL_MS);
      bool idle =
          tick && stream_interval_has_passed (&peer->as_holder, now_ms, QUOTA_IDLE_INTERVAL_MS);
      if ((urgent || busy) && must_report_to (quota, peer, now_ms))
        send_report (quota, peer, urgent || idle, now_ms, actions);
      if (is_grant_due (peer, now_ms))
        send_grant (quota, peer, now_ms, actions);
    }
}

void
quota_step (quota_t *quota, const quota_event_t *event, int64_t now_ms, GPtrArray *actions)
{
  bool tick = event->kind == QUOTA_EVENT_TICK;

  if (quota->started_at_ms < 0)
    quota->started_at_ms = now_ms;
  switch (event->kind)
    {
    case QUOTA_EVENT_TICK:
      on_tick (quota, now_ms);
      break;
    case QUOTA_EVENT_MESSAGE:
      on_message (quota, event, now_ms);
      break;
    case QUOTA_EVENT_VIEW:
      on_view (quota, event, now_ms);
      break;
    case QUOTA_EVENT_LIMIT:
      on_limit (quota, event, now_ms);
      break;
    case QUOTA_EVENT_PEER:
      on_peer (quota, event, now_ms);
      break;
    case QUOTA_EVENT_LEAVE:
      on_leave (quota);
      break;
    case QUOTA_EVENT_REQUEST:
      on_request (quota, now_ms);
      break;
    }
  for (guint i = 0; i < quota->allocated_limits->len; i++)
    {
      allocation_check_active (quota, quota->allocated_limits->pdata[i], now_ms);
      allocation_run (quota, quota->allocated_limits->pdata[i], now_ms);
    }
  send_due_messages (quota, tick, now_ms, actions);
}

bool
quota_has_grown (quota_t *quota)
{
  bool grown = quota->has_grown;

  quota->has_grown = false;
  return grown;
}

void
quota_for_each (quota_t *quota,
                int64_t now_ms,
                void (*each) (const quota_status_t *status, void *data),
                void *data)
{
  for (guint i = 0; i < quota->limits->len; i++)
    {
      limit_t *limit = quota->limits->pdata[i];
      holder_t *holder = &limit->holder;
      if (limit->removed)
        continue;
      quota_use_expire (&holder->in_use, now_ms);
      quota_status_t status = { .name = limit->name,
                                .limit = limit->units,
                                .held = holder_usable_units (quota, holder, now_ms),
                                .in_use = holder->in_use.total,
                                .demand = holder->demand,
                                .allocator =
                                    holder->allocator != NULL ? holder->allocator->host : NULL,
                                .is_allocator = limit->allocation.active };
      each (&status, data);
    }
}
