/* part_view.c -- connects the membership protocol of lib/view to peers, ticks and the log */
#include "daemon/part_view.h"

#include "base/counter.h"
#include "base/log.h"
#include "daemon/part_config.h"
#include "view/membership.h"

#include <string.h>

#define VIEWS_STREAM "views"

typedef struct
{
  part_t part;
  part_t *config;
  member_t *self;
  membership_t *membership;
  GPtrArray *members;  /* of char *, owned by LISTED_VIEW or SELF */
  view_t *listed_view; /* the view from which MEMBERS was made */
  part_view_listener_t listener;
  counter_t *view_changes;
  counter_t *proposals;
  counter_t *messages;
  counter_t *bytes;
} part_view_t;

static void step (part_view_t *view, const membership_event_t *event);

static void
on_appended (int result, int64_t offset, void *data)
{
  (void) offset;
  step (data, &(membership_event_t){ .kind = MEMBERSHIP_APPEND_DONE, .ok = result == 0 });
}

static void
send_message (part_view_t *view, const char *to, const view_msg_t *msg)
{
  GBytes *frame = view_msg_encode (msg);

  counter_add (view->messages, 1);
  counter_add (view->bytes, (int64_t) g_bytes_get_size (frame));
  /* An error is ignored like a lost message: the protocol sends again. */
  (void) daemon_send (view->part.daemon, to, frame);
}

static void
log_view (const view_t *changed)
{
  g_autofree char *number = g_strdup_printf ("%" G_GINT64_FORMAT, changed->number);
  g_autofree char *slots = g_strdup_printf ("%d", changed->count);

  log_info ("view", "A new view is in force.", "data_centre", changed->data_centre, "number",
            number, "members", slots, NULL);
}

static void
on_view_changed (part_view_t *view, view_t *changed, view_t *base)
{
  daemon_t *daemon = view->part.daemon;

  counter_add (view->view_changes, 1);
  log_view (changed);
  for (int32_t i = 0; i < changed->count; i++)
    {
      const member_t *member = changed->slots[i].occupant;
      if (!member_equal (member, view->self))
        daemon_add_address (daemon, member->address, member->data_centre);
    }
  if (strcmp (changed->data_centre, daemon_data_centre (daemon)) == 0
      && view->listener.view_changed != NULL)
    view->listener.view_changed (changed, base, view->listener.data);
}

static void
append (part_view_t *view, GBytes *record)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);

  counter_add (view->proposals, 1);
  part_config_append (view->config, VIEWS_STREAM, data, size, on_appended, view);
}

static void
run_action (part_view_t *view, const membership_action_t *action)
{
  switch (action->kind)
    {
    case MEMBERSHIP_SEND:
      send_message (view, action->to, action->msg);
      break;
    case MEMBERSHIP_APPEND:
      append (view, action->record);
      break;
    case MEMBERSHIP_VIEW_CHANGED:
      on_view_changed (view, action->view, action->base);
      break;
    case MEMBERSHIP_OFFER_SLOT:
      if (view->listener.offer_slot != NULL)
        view->listener.offer_slot (action->to, view->listener.data);
      break;
    }
}

static void
step (part_view_t *view, const membership_event_t *event)
{
  g_autoptr (GPtrArray) actions = membership_actions_new ();

  membership_step (view->membership, event, daemon_now_ms (view->part.daemon), actions);
  for (guint i = 0; i < actions->len; i++)
    run_action (view, g_ptr_array_index (actions, i));
}

static void
report_peer (const daemon_peer_t *peer, void *data)
{
  part_view_t *view = data;
  member_t *member = member_new (peer->host, peer->incarnation, peer->address, peer->data_centre);

  step (view, &(membership_event_t){ .kind = MEMBERSHIP_PEER_STATUS,
                                     .member = member,
                                     .connected = peer->connected,
                                     .as_of_ms = peer->last_received_at_ms });
  member_unref (member);
}

static void
view_peer_event (part_t *part, const char *host, int64_t now_ms)
{
  daemon_peer_t peer;

  (void) now_ms;
  if (daemon_find_peer (part->daemon, host, &peer))
    report_peer (&peer, part);
}

static void
view_frame (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  view_msg_t *msg = view_msg_decode (reader);

  (void) now_ms;
  if (msg == NULL)
    {
      log_warning ("view", "Ignored a malformed frame.", "from", from, NULL);
      return;
    }
  step ((part_view_t *) part,
        &(membership_event_t){ .kind = MEMBERSHIP_MESSAGE, .from = from, .msg = msg });
  view_msg_free (msg);
}

static void
update_members (part_view_t *view)
{
  view_t *current = part_view_newest (&view->part, daemon_data_centre (view->part.daemon));

  if (current == view->listed_view || current == NULL)
    return;
  view_unref (view->listed_view);
  view->listed_view = view_ref (current);
  g_ptr_array_set_size (view->members, 0);
  for (int32_t i = 0; i < current->count; i++)
    g_ptr_array_add (view->members, current->slots[i].occupant->id);
  if (view_slot_of_host (current, view->self->id) < 0)
    g_ptr_array_add (view->members, view->self->id);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static void
view_tick (part_t *part, int64_t now_ms)
{
  part_view_t *view = (part_view_t *) part;

  (void) now_ms;
  daemon_foreach_peer (part->daemon, report_peer, view);
  step (view, &(membership_event_t){ .kind = MEMBERSHIP_TICK });
  update_members (view);
  g_ptr_array_sort (view->members, compare_names);
}

static void
view_drain (part_t *part, int64_t now_ms)
{
  (void) now_ms;
  step ((part_view_t *) part, &(membership_event_t){ .kind = MEMBERSHIP_DRAIN });
}

static void
view_status (part_t *part, json_object *status)
{
  const part_view_t *view = (part_view_t *) part;
  json_object *section = json_object_new_object ();
  json_object *members = json_object_new_array ();

  for (guint i = 0; i < view->members->len; i++)
    json_object_array_add (members, json_object_new_string (g_ptr_array_index (view->members, i)));
  json_object_object_add (section, "number", json_object_new_int64 (part_view_number (part)));
  json_object_object_add (section, "member", json_object_new_boolean (part_view_is_member (part)));
  json_object_object_add (section, "members", members);
  json_object_object_add (status, "view", section);
}

static void
on_record (const part_config_record_t *record, void *data)
{
  step (data, &(membership_event_t){ .kind = MEMBERSHIP_RECORD,
                                     .offset = record->offset,
                                     .recorded_at_ms = record->at_ms,
                                     .data = record->data,
                                     .size = record->size });
}

static void
on_stream_end (int64_t sent_at_ms, void *data)
{
  step (data, &(membership_event_t){ .kind = MEMBERSHIP_STREAM_END, .as_of_ms = sent_at_ms });
}

static const part_ops_t view_ops = {
  .name = "view",
  .frame_first = FRAME_VIEW_FIRST,
  .frame_last = FRAME_VIEW_LAST,
  .frame = view_frame,
  .tick = view_tick,
  .peer_up = view_peer_event,
  .peer_down = view_peer_event,
  .drain = view_drain,
  .status = view_status,
};

part_t *
part_view_new (daemon_t *daemon, part_t *config)
{
  part_view_t *view = g_new0 (part_view_t, 1);
  const membership_limits_t limits = MEMBERSHIP_LIMITS_DEFAULT;
  uint64_t incarnation = daemon_incarnation (daemon);

  view->part = (part_t){ &view_ops, daemon };
  view->config = config;
  view->self = member_new (daemon_host_id (daemon), incarnation, daemon_peer_address (daemon),
                           daemon_data_centre (daemon));
  view->membership =
      membership_new (view->self, &limits, (uint32_t) incarnation, daemon_now_ms (daemon));
  view->members = g_ptr_array_new ();
  g_ptr_array_add (view->members, view->self->id);
  view->view_changes = counter_get ("jaytrail_view_changes_total", NULL);
  view->proposals = counter_get ("jaytrail_view_proposals_total", NULL);
  view->messages = counter_get ("jaytrail_view_messages_total", NULL);
  view->bytes = counter_get ("jaytrail_view_bytes_total", NULL);
  part_config_follower_t follower = { on_record, on_stream_end, view };
  part_config_follow (config, VIEWS_STREAM, &follower);
  return &view->part;
}

GPtrArray *
part_view_members (part_t *part)
{
  return ((part_view_t *) part)->members;
}

view_t *
part_view_newest (part_t *part, const char *data_centre)
{
  return membership_view (((part_view_t *) part)->membership, data_centre);
}

int64_t
part_view_number (part_t *part)
{
  const view_t *view = part_view_newest (part, daemon_data_centre (part->daemon));

  return view != NULL ? view->number : 0;
}

member_t *
part_view_self (part_t *part)
{
  return ((part_view_t *) part)->self;
}

bool
part_view_is_member (part_t *part)
{
  return membership_is_member (((part_view_t *) part)->membership);
}

int64_t
part_view_contact_until_ms (part_t *part, int64_t now_ms)
{
  return membership_contact_until_ms (((part_view_t *) part)->membership, now_ms);
}

void
part_view_set_listener (part_t *part, const part_view_listener_t *listener)
{
  ((part_view_t *) part)->listener = *listener;
}

void
part_view_announce_slot_transfer (part_t *part, view_t *view)
{
  step ((part_view_t *) part,
        &(membership_event_t){ .kind = MEMBERSHIP_SLOT_TRANSFERRED, .view = view });
}

bool
part_view_has_remaining_peer (part_t *part)
{
  return membership_has_remaining_peer (((part_view_t *) part)->membership);
}
