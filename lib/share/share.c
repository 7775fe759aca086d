/* share.c -- events, and which messages are due
 *
 * After each event the books that changed are allotted again, and then one
 * report and one grant at most go to each host: at once where a unit changes
 * hands, within SHARE_BUSY_MS where a number has changed, else every
 * SHARE_IDLE_MS, which renews all shares of the pair.  Each report is
 * answered by a grant.
 */
#include "share/share_internal.h"

#include "base/hash.h"

#include <string.h>

const share_rules_t share_rules_all = { true, true, true, true };

static void
action_free (void *data)
{
  share_action_t *action = data;

  share_message_free (action->message);
  g_free (action->host);
  g_free (action);
}

GPtrArray *
share_actions_new (void)
{
  return g_ptr_array_new_with_free_func (action_free);
}

static void
limit_free (void *data)
{
  limit_t *limit = data;

  hold_clear (&limit->hold);
  book_clear (&limit->book);
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

share_t *
share_new (const char *host,
           const char *data_centre,
           uint64_t incarnation,
           const GPtrArray *data_centres,
           const share_rules_t *rules)
{
  share_t *share = g_new0 (share_t, 1);

  share->host = g_strdup (host);
  share->data_centre = g_strdup (data_centre);
  share->incarnation = incarnation;
  share->data_centres = copy_names (data_centres);
  share->rules = *rules;
  share->limits = g_ptr_array_new_with_free_func (limit_free);
  share->booked = g_ptr_array_new ();
  share->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  share->links = g_ptr_array_new_with_free_func (link_free);
  share->by_host = g_hash_table_new (g_str_hash, g_str_equal);
  share->members = g_ptr_array_new_with_free_func (g_free);
  share->self = link_get (share, host, data_centre);
  share->born_ms = -1;
  return share;
}

void
share_unref (share_t *share)
{
  if (share == NULL)
    return;
  g_hash_table_unref (share->by_name);
  g_ptr_array_unref (share->booked);
  g_ptr_array_unref (share->limits);
  g_hash_table_unref (share->by_host);
  g_ptr_array_unref (share->links);
  g_ptr_array_unref (share->members);
  if (share->last_members != NULL)
    g_ptr_array_unref (share->last_members);
  g_ptr_array_unref (share->data_centres);
  g_free (share->host);
  g_free (share->data_centre);
  g_free (share);
}

/* A limit that another host knows of earlier than this one has a place too. */
static limit_t *
limit_get (share_t *share, const char *name)
{
  limit_t *limit = g_hash_table_lookup (share->by_name, name);

  if (limit != NULL)
    return limit;
  limit = g_new0 (limit_t, 1);
  limit->name = g_strdup (name);
  limit->starts = g_str_has_prefix (name, "starts/");
  limit->local = g_str_has_prefix (name, "slots/");
  limit->removed = true;
  hold_init (share, limit);
  book_init (limit);
  g_ptr_array_add (share->limits, limit);
  g_hash_table_insert (share->by_name, limit->name, limit);
  return limit;
}

static void
on_limit (share_t *share, const share_event_t *event, int64_t now_ms)
{
  limit_t *limit = limit_get (share, event->name);

  int64_t part = limit->part;

  limit->removed = event->units == SHARE_NO_LIMIT;
  limit->units = MAX (event->units, 0);
  limit->part = loan_part (share, limit, share->data_centre);
  allot_note_part (share, limit, part, now_ms);
  limit->book.dirty = true;
  share->grown = true;
  if (limit->hold.allotter == NULL)
    hold_choose (share, limit, true, now_ms);
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

/* The same on every host with the same number and members.  A seat of the view
 * can pass to another host without a new number. */
static int64_t
view_id (int64_t number, const GPtrArray *members)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "%" G_GINT64_FORMAT, number);
  for (guint i = 0; i < members->len; i++)
    g_string_append_printf (text, " %s", (const char *) members->pdata[i]);
  int64_t id = (int64_t) (hash_string (text->str) >> 2) + 1;
  g_string_free (text, TRUE);
  return id;
}

/* Somebody has left if a member is missing, if a view in between was not seen,
 * or if a new view has the same names: then a member was replaced. */
static void
note_departures (share_t *share, int64_t number, const GPtrArray *members, int64_t now_ms)
{
  bool left = share->view > 0 && number > share->view_number + 1;

  if (share->view == 0)
    {
      share->first_view_ms = now_ms;
      share->departures_known = number <= 1;
    }
  else
    share->has_joined = true;
  left |= share->view > 0 && members->len == share->members->len;
  for (guint i = 0; i < share->members->len && !left; i++)
    left = !has_name (members, share->members->pdata[i]);
  if (left)
    share->departed_ms = now_ms;
}

static void
on_view (share_t *share, const share_event_t *event, int64_t now_ms)
{
  if (event->number < MAX (share->view_number, 1) || event->members->len == 0)
    return;
  GPtrArray *members = copy_names (event->members);
  g_ptr_array_sort (members, compare_names);
  int64_t id = view_id (event->number, members);
  if (id == share->view)
    {
      g_ptr_array_unref (members);
      return;
    }
  note_departures (share, event->number, members, now_ms);
  if (share->last_members != NULL)
    g_ptr_array_unref (share->last_members);
  share->last_members = NULL;
  if (share->view > 0)
    share->last_members = share->members;
  else
    g_ptr_array_unref (share->members);
  share->members = members;
  share->view = id;
  share->view_number = event->number;
  share->view_ms = now_ms;
  for (guint i = 0; i < share->limits->len; i++)
    {
      limit_t *limit = share->limits->pdata[i];
      limit->book.active_until_ms = 0;
      hold_choose (share, limit, true, now_ms);
    }
  for (guint i = 0; i < share->links->len; i++)
    ((link_t *) share->links->pdata[i])->up.urgent = true;
}

/* A host that was not heard from for long is tried again after a while. */
#define SUSPECT_FOR_MS 5000

static void
check_links (share_t *share, int64_t now_ms)
{
  for (guint i = 0; i < share->links->len; i++)
    {
      link_t *link = share->links->pdata[i];
      bool silent = link->unanswered_ms > 0 && now_ms - link->unanswered_ms > SHARE_SUSPECT_MS;
      if (silent && !link->suspect)
        {
          link->suspect = true;
          link->suspect_ms = now_ms;
        }
      else if (link->suspect && now_ms - link->suspect_ms > SUSPECT_FOR_MS)
        {
          link->suspect = false;
          link->unanswered_ms = 0;
        }
      bool lapsed = link->down.last_sent_ms > 0
                    && now_ms > link->down.last_sent_ms + with_margin (link_lease_ms (link));
      for (guint k = 0; lapsed && k < share->booked->len; k++)
        book_lapse (share, share->booked->pdata[k], link, now_ms);
    }
}

/* After a pause of this process, answers are still to be read: nobody is
 * suspected for that. */
static void
note_pause (share_t *share, int64_t now_ms)
{
  bool paused = now_ms - share->tick_ms > SHARE_SUSPECT_MS / 2;

  for (guint i = 0; paused && i < share->links->len; i++)
    ((link_t *) share->links->pdata[i])->unanswered_ms = 0;
  share->tick_ms = now_ms;
}

static void
on_tick (share_t *share, int64_t now_ms)
{
  note_pause (share, now_ms);
  check_links (share, now_ms);
  for (guint i = 0; i < share->limits->len; i++)
    {
      limit_t *limit = share->limits->pdata[i];
      hold_choose (share, limit, false, now_ms);
      limit->book.dirty |= limit->book.is_short;
      loan_tick (share, limit, now_ms);
    }
}

static void
on_message (share_t *share, const share_event_t *event, int64_t now_ms)
{
  const share_message_t *message = event->message;
  link_t *link = link_get (share, event->host, event->data_centre);
  bool report = message->type == SHARE_FRAME_REPORT;

  if (!report && message->header.to_incarnation != share->incarnation)
    return;
  for (guint i = 0; report && i < message->header.entries->len; i++)
    limit_get (share, g_array_index (message->header.entries, share_report_entry_t, i).name);
  if (!link_receive (share, link, report ? &link->down : &link->up, &message->header, now_ms))
    return;
  if (report)
    {
      book_receive (share, link, &message->header, now_ms);
      return;
    }
  link->unanswered_ms = 0;
  link->granted_ms = now_ms;
  if (link->remote)
    loan_receive (share, link, &message->header, now_ms);
  else
    hold_receive (share, link, &message->header, now_ms);
}

static void
on_peer (share_t *share, const share_event_t *event, int64_t now_ms)
{
  link_t *link = link_get (share, event->host, event->data_centre);

  if (link == NULL || link->self)
    return;
  link->suspect = !event->up;
  link->suspect_ms = now_ms;
  link->unanswered_ms = 0;
}

/* Reports at once to the hosts whose grants are too small for the demand. */
static void
on_ask (share_t *share, int64_t now_ms)
{
  for (guint i = 0; i < share->limits->len; i++)
    {
      limit_t *limit = share->limits->pdata[i];
      hold_t *hold = &limit->hold;
      bool lacks = hold->wanted > hold_held (share, hold, now_ms);
      if (lacks && hold->wanted != hold->report.sent.wanted && hold->allotter != NULL)
        hold->allotter->up.urgent = true;
    }
}

static void
on_leave (share_t *share)
{
  share->leaving = true;
  for (guint i = 0; i < share->links->len; i++)
    ((link_t *) share->links->pdata[i])->up.urgent = true;
}

bool
share_has_left (const share_t *share, int64_t now_ms)
{
  for (guint i = 0; i < share->limits->len; i++)
    {
      const limit_t *limit = share->limits->pdata[i];
      const hold_t *hold = &limit->hold;
      if (limit->removed || hold->allotter == NULL)
        continue;
      if (hold->use.total > 0 || hold_held (share, hold, now_ms) > 0 || hold->report.changed
          || hold->report.number > hold->allotter->up.confirmed)
        return false;
    }
  return share->leaving;
}

/* True if this host follows LINK in a limit that it may vote on now. */
static bool
is_followed (const share_t *share, const link_t *link, int64_t now_ms)
{
  for (guint i = 0; i < share->limits->len; i++)
    {
      const limit_t *limit = share->limits->pdata[i];
      if (limit->hold.allotter == link && now_ms >= limit->hold.vote_ms && !limit->removed)
        return true;
      if (link->remote && loan_is_open (limit, link, now_ms))
        return true;
    }
  return false;
}

/* A process that was restarted may see a view before the one in which it takes
 * its predecessor's place: until a view has followed, its predecessor counts as
 * a host that has left. */
#define STEADY_AFTER_MS 1000

/* Since when a host that left cannot use anything any more, if it left then. */
static int64_t
departures_since_ms (const share_t *share, int64_t now_ms)
{
  int64_t longest_ms = SHARE_USE_MS;

  for (guint i = 0; i < share->limits->len; i++)
    longest_ms = MAX (longest_ms, ((limit_t *) share->limits->pdata[i])->hold.told_ms);
  return now_ms - with_margin (SHARE_LOAN_LEASE_MS) - with_margin (longest_ms);
}

bool
share_saw_departure (const share_t *share, int64_t now_ms)
{
  int64_t since_ms = departures_since_ms (share, now_ms);
  bool has_joined = share->has_joined || share->departures_known;

  return (share->departed_ms > 0 && share->departed_ms > since_ms)
         || (!has_joined && share->first_view_ms > since_ms);
}

/* Says in HEADER whether a host that is no member any more may hold units. */
static void
put_departures (const share_t *share, share_header_t *header, int64_t now_ms)
{
  header->departed = share_saw_departure (share, now_ms);
  header->steady =
      share->view > 0 && !header->departed && now_ms - share->first_view_ms >= STEADY_AFTER_MS
      && (share->departures_known || share->first_view_ms < departures_since_ms (share, now_ms));
}

static void
add_action (GPtrArray *actions, const link_t *link, share_message_t *message)
{
  share_action_t *action = g_new (share_action_t, 1);

  action->host = g_strdup (link->host);
  action->message = message;
  g_ptr_array_add (actions, action);
}

static void
send_report (share_t *share, link_t *link, bool renew, int64_t now_ms, GPtrArray *actions)
{
  share_message_t *message = share_message_new (SHARE_FRAME_REPORT);

  for (guint i = 0; i < share->limits->len; i++)
    if (link->remote)
      loan_report (share, share->limits->pdata[i], link, message, now_ms);
    else
      hold_report (share, share->limits->pdata[i], link, message, now_ms);
  if (message->header.entries->len == 0 && !renew)
    {
      share_message_free (message);
      return;
    }
  message->header.view = link->remote ? 0 : share->view;
  message->header.leaving = share->leaving;
  put_departures (share, &message->header, now_ms);
  link_send (share, link, &link->up, message, now_ms);
  if (link->unanswered_ms == 0)
    link->unanswered_ms = now_ms;
  add_action (actions, link, message);
}

static void
send_grant (share_t *share, link_t *link, int64_t now_ms, GPtrArray *actions)
{
  share_message_t *message = share_message_new (SHARE_FRAME_GRANT);
  bool owed = link->down.due;

  for (guint i = 0; i < share->booked->len; i++)
    book_grant (share, share->booked->pdata[i], link, message, now_ms);
  if (message->header.entries->len == 0 && !owed)
    {
      link->down.urgent = false;
      share_message_free (message);
      return;
    }
  message->header.view = share->view;
  link_send (share, link, &link->down, message, now_ms);
  add_action (actions, link, message);
}

/* A grant without a recent report would extend nothing: it waits for one. */
static bool
is_grant_due (const link_t *link, int64_t now_ms)
{
  if (link->down.due)
    return true;
  return link->incarnation != 0 && now_ms - link->heard_ms < link_lease_ms (link)
         && stream_may_hurry (&link->down, now_ms);
}

static void
flush (share_t *share, bool tick, int64_t now_ms, GPtrArray *actions)
{
  for (guint i = 0; i < share->links->len; i++)
    {
      link_t *link = share->links->pdata[i];
      bool urgent = stream_may_hurry (&link->up, now_ms);
      bool busy = tick && stream_is_due (&link->up, now_ms, SHARE_BUSY_MS);
      bool idle = tick && stream_is_due (&link->up, now_ms, SHARE_IDLE_MS);
      if ((urgent || busy) && is_followed (share, link, now_ms))
        send_report (share, link, urgent || idle, now_ms, actions);
      if (is_grant_due (link, now_ms))
        send_grant (share, link, now_ms, actions);
    }
}

void
share_step (share_t *share, const share_event_t *event, int64_t now_ms, GPtrArray *actions)
{
  bool tick = event->kind == SHARE_EVENT_TICK;

  if (share->born_ms < 0)
    share->born_ms = now_ms;
  switch (event->kind)
    {
    case SHARE_EVENT_TICK:
      on_tick (share, now_ms);
      break;
    case SHARE_EVENT_MESSAGE:
      on_message (share, event, now_ms);
      break;
    case SHARE_EVENT_VIEW:
      on_view (share, event, now_ms);
      break;
    case SHARE_EVENT_LIMIT:
      on_limit (share, event, now_ms);
      break;
    case SHARE_EVENT_PEER:
      on_peer (share, event, now_ms);
      break;
    case SHARE_EVENT_LEAVE:
      on_leave (share);
      break;
    case SHARE_EVENT_ASK:
      on_ask (share, now_ms);
      break;
    }
  for (guint i = 0; i < share->booked->len; i++)
    {
      allot_check_active (share, share->booked->pdata[i], now_ms);
      allot_run (share, share->booked->pdata[i], now_ms);
    }
  flush (share, tick, now_ms, actions);
}

bool
share_has_grown (share_t *share)
{
  bool grown = share->grown;

  share->grown = false;
  return grown;
}

void
share_each (share_t *share,
            int64_t now_ms,
            void (*each) (const share_status_t *status, void *data),
            void *data)
{
  for (guint i = 0; i < share->limits->len; i++)
    {
      limit_t *limit = share->limits->pdata[i];
      hold_t *hold = &limit->hold;
      if (limit->removed)
        continue;
      share_use_expire (&hold->use, now_ms);
      share_status_t status = { .name = limit->name,
                                .limit = limit->units,
                                .held = hold_held (share, hold, now_ms),
                                .in_use = hold->use.total,
                                .wanted = hold->wanted,
                                .allotter = hold->allotter != NULL ? hold->allotter->host : NULL,
                                .allots = limit->book.active };
      each (&status, data);
    }
}
