/* part_quota.c -- limits over many hosts, as leased shares
 *
 * Connects lib/quota to the view, the configuration, the host list and the peers.
 * Units are acquired at a time that is read from the clock in the call itself.  The
 * time of the current turn of the event loop may have been read before a freeze of
 * the process, during which leases may have expired.
 */
#include "daemon/part_quota.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "daemon/part_config.h"
#include "daemon/part_view.h"
#include "daemon/quota_status.h"
#include "settings/settings.h"
#include "quota/quota.h"

#include <string.h>

#define REFUSED_KINDS 3
/* Maximum time for which a draining host waits until its shares are taken back. */
#define DRAIN_TIMEOUT_MS 1500

static const char *const refused_prefixes[REFUSED_KINDS] = { "running/", "starts/", "slots/" };
static const char *const refused_labels[REFUSED_KINDS] = { "limit=\"running\"", "limit=\"starts\"",
                                                           "limit=\"slots\"" };

typedef struct
{
  part_t part;
  part_t *view;
  quota_t *quota;
  GHashTable *known_units;  /* limit name -> int64_t: the limit in lib/quota */
  GHashTable *listed_names; /* limits in the configuration being applied */
  void (*on_raised) (void *data);
  void *on_raised_data;
  int64_t drain_deadline_ms;
  counter_t *messages[2]; /* of reports and of grants */
  counter_t *bytes[2];
  counter_t *refused[REFUSED_KINDS];
} quota_part_t;

static void
send_actions (quota_part_t *self, const GPtrArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const quota_action_t *action = actions->pdata[i];
      int which = action->message->type == QUOTA_FRAME_REPORT ? 0 : 1;
      GBytes *frame = quota_message_encode (action->message);
      if (strcmp (action->host, daemon_host_id (self->part.daemon)) != 0)
        {
          counter_add (self->messages[which], 1);
          counter_add (self->bytes[which], (int64_t) g_bytes_get_size (frame));
        }
      daemon_send (self->part.daemon, action->host, frame);
    }
}

static void
step (quota_part_t *self, const quota_event_t *event, int64_t now_ms)
{
  GPtrArray *actions = quota_actions_new ();

  quota_step (self->quota, event, now_ms, actions);
  send_actions (self, actions);
  g_ptr_array_unref (actions);
  if (quota_has_grown (self->quota) && self->on_raised != NULL)
    self->on_raised (self->on_raised_data);
}

static void
set_limit (quota_part_t *self, const char *name, int64_t units, int64_t now_ms)
{
  const int64_t *known = g_hash_table_lookup (self->known_units, name);
  quota_event_t event = { .kind = QUOTA_EVENT_LIMIT, .name = name, .units = units };

  g_hash_table_add (self->listed_names, g_strdup (name));
  if (known != NULL && *known == units)
    return;
  int64_t *copy = g_new (int64_t, 1);
  *copy = units;
  g_hash_table_insert (self->known_units, g_strdup (name), copy);
  step (self, &event, now_ms);
}

static void
set_plan_limits (const config_limit_t *limit, void *data)
{
  quota_part_t *self = data;
  int64_t now_ms = clock_boot_ms ();
  char *running = g_strconcat ("running/", limit->plan, NULL);
  char *starts = g_strconcat ("starts/", limit->plan, NULL);

  set_limit (self, running,
             limit->running_max == CONFIG_NO_LIMIT ? QUOTA_NO_LIMIT : limit->running_max, now_ms);
  set_limit (self, starts,
             limit->starts_per_s_max == CONFIG_NO_LIMIT ? QUOTA_NO_LIMIT : limit->starts_per_s_max,
             now_ms);
  g_free (running);
  g_free (starts);
}

static void
set_slot_limits (quota_part_t *self, const GPtrArray *hosts)
{
  for (guint i = 0; i < hosts->len; i++)
    {
      const host_t *host = hosts->pdata[i];
      if (host->role != HOST_ROLE_ENDPOINT
          || strcmp (host->data_centre, daemon_data_centre (self->part.daemon)) != 0)
        continue;
      char *name = g_strconcat ("slots/", host->id, NULL);
      set_limit (self, name, host->slots, clock_boot_ms ());
      g_free (name);
    }
}

/* Resets the limits that are no longer listed: an unlisted endpoint has no slots, and an
 * unlisted plan has no limit. */
static void
drop_unlisted_limits (quota_part_t *self)
{
  GList *names = g_hash_table_get_keys (self->known_units);

  for (GList *item = names; item != NULL; item = item->next)
    {
      char *name = g_strdup (item->data);
      bool slots = g_str_has_prefix (name, "slots/");
      if (!g_hash_table_contains (self->listed_names, name))
        set_limit (self, name, slots ? 0 : QUOTA_NO_LIMIT, clock_boot_ms ());
      g_free (name);
    }
  g_list_free (names);
}

static void
on_config (const config_t *config, GPtrArray *hosts, void *data)
{
  quota_part_t *self = data;

  if (config == NULL)
    return;
  g_hash_table_remove_all (self->listed_names);
  config_foreach_limit (config, set_plan_limits, self);
  if (hosts != NULL)
    set_slot_limits (self, hosts);
  drop_unlisted_limits (self);
}

static void
on_frame (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  quota_part_t *self = (quota_part_t *) part;
  daemon_peer_t peer = { .data_centre = daemon_data_centre (part->daemon) };
  bool is_self = strcmp (from, daemon_host_id (part->daemon)) == 0;
  quota_message_t *message = NULL;

  if (!is_self && !daemon_find_peer (part->daemon, from, &peer))
    return;
  if (quota_message_decode (reader, &message) != 0)
    {
      log_warning ("share", "Ignored an invalid quota message.", "from", from, NULL);
      return;
    }
  quota_event_t event = {
    .kind = QUOTA_EVENT_MESSAGE, .host = from, .data_centre = peer.data_centre, .message = message
  };
  step (self, &event, now_ms);
  quota_message_free (message);
}

static void
on_tick (part_t *part, int64_t now_ms)
{
  quota_part_t *self = (quota_part_t *) part;
  quota_event_t view = { .kind = QUOTA_EVENT_VIEW,
                         .view_number = part_view_number (self->view),
                         .members = part_view_members (self->view) };
  quota_event_t tick = { .kind = QUOTA_EVENT_TICK };

  if (view.view_number > 0 && view.members != NULL)
    step (self, &view, now_ms);
  step (self, &tick, now_ms);
}

static void
set_peer (quota_part_t *self, const char *host, bool up, int64_t now_ms)
{
  daemon_peer_t peer;
  quota_event_t event = { .kind = QUOTA_EVENT_PEER, .host = host, .is_reachable = up };

  if (!daemon_find_peer (self->part.daemon, host, &peer))
    return;
  event.data_centre = peer.data_centre;
  step (self, &event, now_ms);
}

static void
on_peer_up (part_t *part, const char *host, int64_t now_ms)
{
  set_peer ((quota_part_t *) part, host, true, now_ms);
}

static void
on_peer_down (part_t *part, const char *host, int64_t now_ms)
{
  set_peer ((quota_part_t *) part, host, false, now_ms);
}

static void
on_drain (part_t *part, int64_t now_ms)
{
  quota_part_t *self = (quota_part_t *) part;
  quota_event_t event = { .kind = QUOTA_EVENT_LEAVE };

  self->drain_deadline_ms = now_ms + DRAIN_TIMEOUT_MS;
  step (self, &event, now_ms);
}

/* Waits until the allocators have taken back the shares of this host.  A share that is not
 * returned is unavailable to other hosts until its lease and the longest use of its units
 * have passed. */
static bool
is_drained (part_t *part, int64_t now_ms)
{
  const quota_part_t *self = (const quota_part_t *) part;

  return now_ms >= self->drain_deadline_ms || quota_has_left (self->quota, now_ms);
}

static void
on_status (part_t *part, json_object *status)
{
  quota_status_add (((quota_part_t *) part)->quota, clock_boot_ms (), status);
}

int
part_quota_acquire (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms)
{
  quota_part_t *self = (quota_part_t *) part;
  int result = quota_acquire (self->quota, limit, ends_at_ms, clock_boot_ms ());

  (void) now_ms;
  for (int i = 0; result != 0 && i < REFUSED_KINDS; i++)
    if (g_str_has_prefix (limit, refused_prefixes[i]))
      counter_add (self->refused[i], 1);
  return result;
}

void
part_quota_release (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms)
{
  quota_release (((quota_part_t *) part)->quota, limit, ends_at_ms, now_ms);
}

int32_t
part_quota_available (part_t *part, const char *limit, int64_t now_ms)
{
  (void) now_ms;
  return quota_available (((quota_part_t *) part)->quota, limit, clock_boot_ms ());
}

void
part_quota_set_demand (part_t *part, const char *limit, int32_t demand, int64_t now_ms)
{
  (void) now_ms;
  quota_set_demand (((quota_part_t *) part)->quota, limit, demand);
}

void
part_quota_request (part_t *part, int64_t now_ms)
{
  quota_event_t event = { .kind = QUOTA_EVENT_REQUEST };

  step ((quota_part_t *) part, &event, now_ms);
}

void
part_quota_set_listener (part_t *part, void (*on_raised) (void *data), void *data)
{
  quota_part_t *self = (quota_part_t *) part;

  self->on_raised = on_raised;
  self->on_raised_data = data;
}

static const part_ops_t quota_part_ops = { .name = "share",
                                           .frame_first = FRAME_QUOTA_FIRST,
                                           .frame_last = FRAME_QUOTA_LAST,
                                           .frame = on_frame,
                                           .tick = on_tick,
                                           .peer_up = on_peer_up,
                                           .peer_down = on_peer_down,
                                           .drain = on_drain,
                                           .drained = is_drained,
                                           .status = on_status };

static quota_t *
create_quota (daemon_t *daemon)
{
  const GPtrArray *list = daemon_settings (daemon)->data_centres;
  GPtrArray *names = g_ptr_array_new ();

  for (guint i = 0; i < list->len; i++)
    g_ptr_array_add (names, ((const settings_data_centre_t *) list->pdata[i])->name);
  quota_t *quota = quota_new (daemon_host_id (daemon), daemon_data_centre (daemon),
                              daemon_incarnation (daemon), names, &quota_rules_all);
  g_ptr_array_unref (names);
  return quota;
}

part_t *
part_quota_new (daemon_t *daemon, part_t *view, part_t *config)
{
  static const char *const labels[] = { "type=\"report\"", "type=\"grant\"" };
  quota_part_t *self = g_new0 (quota_part_t, 1);

  self->part.ops = &quota_part_ops;
  self->part.daemon = daemon;
  self->view = view;
  self->quota = create_quota (daemon);
  self->known_units = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->listed_names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < 2; i++)
    {
      self->messages[i] = counter_get ("jaytrail_share_messages_total", labels[i]);
      self->bytes[i] = counter_get ("jaytrail_share_bytes_total", labels[i]);
    }
  for (int i = 0; i < REFUSED_KINDS; i++)
    self->refused[i] = counter_get ("jaytrail_share_refused_total", refused_labels[i]);
  part_config_add_listener (config, on_config, self);
  return &self->part;
}
