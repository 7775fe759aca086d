/* site_drain.c -- which data centres are drained
 *
 * Learns it from the platform's log and from other hosts, and passes it to the scheduler and to the
 * executors of owned shards.
 */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"
#include "drain/drain_msg.h"

#include <json-c/json.h>

/* Interval at which a host whose set of drains is not the newest requests it from another. */
#define SET_REQUEST_INTERVAL_MS 50
/* Interval at which the owner of a drained shard reports how many tasks still run there, and logs
 * how many it has returned to their coordinators. */
#define REPORT_INTERVAL_MS 1000
/* A reported number of running tasks that is older than this is not shown. */
#define RUNNING_MAX_AGE_MS 5000
/* The log is read again at once after a suspension of more than 1/RESUME_REFRESH_DIVISOR of the
 * time within which a drain must take effect.  After a shorter one the regular reads learn of a
 * drain in time. */
#define RESUME_REFRESH_DIVISOR 2

/* How many tasks still run in a drained shard, as its owner reported it. */
typedef struct
{
  int32_t running;
  int64_t received_at_ms;
} drain_running_t;

/* --- changes --- */

static void
apply_change (site_t *site, const drain_t *change, const char *from)
{
  counter_add (
      counter_get (change->drained ? "jaytrail_drains_begun_total" : "jaytrail_drains_ended_total",
                   NULL),
      1);
  if (event_begin (change->drained ? EVENT_DRAIN_BEGUN : EVENT_DRAIN_ENDED))
    {
      event_add_text ("data_centre", change->data_centre);
      event_add_number ("offset", (int64_t) change->record_offset);
      event_add_text ("from", from);
      event_end ();
    }
  scheduler_set_drained (site->scheduler, change->data_centre, change->drained);
  owner_set_drained (site, change->data_centre, change->drained);
  if (!change->drained)
    g_hash_table_remove (site->running_in_drained, change->data_centre);
}

/* Applies CHANGES (of drain_t) and frees the array.  FROM names their source in the log. */
static void
apply_changes (site_t *site, GArray *changes, const char *from)
{
  bool any = changes->len > 0;

  for (guint i = 0; i < changes->len; i++)
    apply_change (site, &g_array_index (changes, drain_t, i), from);
  g_array_unref (changes);
  if (!any)
    return;
  site->drains_changed = true;
  site->drain_report_due_ms = 0;
  site_schedule_actions (site);
}

/* Announces a changed set to other hosts without delay.  Called only when the set is complete,
 * since the heartbeat carries the offset up to which it is. */
static void
send_heartbeats_if_changed (site_t *site)
{
  if (!site->drains_changed)
    return;
  site->drains_changed = false;
  peers_send_heartbeats (site, clock_boot_ms (), true);
}

static GArray *
new_changes (void)
{
  return g_array_new (FALSE, FALSE, sizeof (drain_t));
}

/* --- the log --- */

void
drain_on_record (const char *name, uint64_t offset, bool drained, void *user)
{
  site_t *site = user;
  GArray *changes = new_changes ();

  drains_apply_record (site->drains, name, offset, drained, clock_boot_ms (), changes);
  apply_changes (site, changes, "platform");
}

void
drain_on_list (const drain_t *listed, size_t count, uint64_t end, void *user)
{
  site_t *site = user;
  GArray *changes = new_changes ();

  drains_merge (site->drains, listed, count, end, clock_boot_ms (), changes);
  apply_changes (site, changes, "platform");
  send_heartbeats_if_changed (site);
}

void
drain_on_log_read (uint64_t end, void *user)
{
  site_t *site = user;

  drains_advance (site->drains, end);
  send_heartbeats_if_changed (site);
}

/* --- peers --- */

void
drain_send_set (site_t *site, const char *host)
{
  if (drains_are_initialised (site->drains))
    peers_send (site, host, drain_msg_set (site->drains, clock_boot_ms ()));
}

void
drain_read_set_request (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) reader;
  drain_send_set (site, host);
}

static void
free_drain_name (void *data)
{
  g_free ((char *) ((drain_t *) data)->data_centre);
}

void
drain_read_set (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (drain_t));
  int64_t now_ms = clock_boot_ms ();
  uint64_t end = 0;

  g_array_set_clear_func (listed, free_drain_name);
  if (drain_msg_read_set (reader, now_ms, listed, &end) == 0)
    {
      GArray *changes = new_changes ();
      drains_merge (site->drains, (const drain_t *) (void *) listed->data, listed->len, end, now_ms,
                    changes);
      apply_changes (site, changes, host);
      /* This host may be the only one that some others can hear. */
      send_heartbeats_if_changed (site);
    }
  g_array_unref (listed);
}

void
drain_read_running_tasks (site_t *site, const char *host, frame_reader_t *reader)
{
  char *name = NULL;
  int32_t count = 0;

  (void) host;
  if (drain_msg_read_running_tasks (reader, &name, &count) != 0)
    return;
  if (drains_contain (site->drains, name))
    {
      drain_running_t *report = g_new0 (drain_running_t, 1);
      *report = (drain_running_t){ count, clock_boot_ms () };
      g_hash_table_replace (site->running_in_drained, (void *) g_intern_string (name), report);
    }
  g_free (name);
}

static void
request_newer_set (site_t *site, int64_t now_ms)
{
  if (now_ms < site->drain_request_due_ms)
    return;
  const char *host = cluster_find_newer_drains (site->cluster, drains_end_offset (site->drains));
  if (host == NULL)
    return;
  site->drain_request_due_ms = now_ms + SET_REQUEST_INTERVAL_MS;
  peers_send (site, host, drain_msg_set_request ());
}

/* --- periodic work --- */

static int32_t
running_tasks (const owned_shard_t *owned, int64_t now_ms)
{
  return executor_totals (owned->executor, now_ms).running;
}

static void
log_returned_tasks (owned_shard_t *owned, int64_t now_ms)
{
  if (owned->returned_by_drain == 0)
    return;
  counter_add (counter_get ("jaytrail_tasks_sent_away_total", NULL), owned->returned_by_drain);
  if (event_begin (EVENT_DRAIN_SENT_AWAY))
    {
      event_add_text ("data_centre", owned->name);
      event_add_number ("tasks", owned->returned_by_drain);
      event_add_number ("running", running_tasks (owned, now_ms));
      event_end ();
    }
  owned->returned_by_drain = 0;
}

static void
report_running_tasks (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms < site->drain_report_due_ms)
    return;
  site->drain_report_due_ms = now_ms + REPORT_INTERVAL_MS;
  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_shard_t *owned = value;
      log_returned_tasks (owned, now_ms);
      if (drains_contain (site->drains, owned->name))
        peers_send_all (site, drain_msg_running_tasks (owned->name, running_tasks (owned, now_ms)));
    }
}

void
drain_tick (site_t *site, int64_t now_ms)
{
  request_newer_set (site, now_ms);
  report_running_tasks (site, now_ms);
}

void
drain_process_resumed (site_t *site, int64_t suspended_ms, int64_t now_ms)
{
  if (suspended_ms > site->settings->drain_apply_ms / RESUME_REFRESH_DIVISOR)
    log_client_refresh (site->log_client, now_ms);
}

bool
drain_is_current (const site_t *site)
{
  return drains_are_initialised (site->drains) && log_client_is_refreshed (site->log_client);
}

/* --- metrics and status --- */

/* Returns how many tasks still run in data centre NAME, or -1 if this host does not know. */
static int32_t
last_known_running (const site_t *site, const char *name, int64_t now_ms)
{
  const char *interned = g_intern_string (name);
  const owned_shard_t *owned = g_hash_table_lookup (site->owned_shards, interned);
  const drain_running_t *report = g_hash_table_lookup (site->running_in_drained, interned);

  if (owned != NULL)
    return running_tasks (owned, now_ms);
  return report != NULL && now_ms - report->received_at_ms < RUNNING_MAX_AGE_MS ? report->running
                                                                                : -1;
}

void
drain_update_metrics (site_t *site)
{
  GArray *list = drains_list (site->drains, false);
  int64_t now_ms = clock_boot_ms ();
  int64_t running = 0;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (drains_contain (site->drains, ((owned_shard_t *) value)->name))
      running += running_tasks (value, now_ms);
  counter_set (counter_get ("jaytrail_data_centres_drained", NULL), list->len);
  counter_set (counter_get ("jaytrail_drains_known", NULL), drains_are_initialised (site->drains));
  counter_set (counter_get ("jaytrail_drains_end_offset", NULL),
               (int64_t) drains_end_offset (site->drains));
  counter_set (counter_get ("jaytrail_tasks_running_drained", NULL), running);
  g_array_unref (list);
}

static json_object *
drain_json (const site_t *site, const drain_t *drain, int64_t now_ms)
{
  json_object *row = json_object_new_object ();
  int64_t for_ms = now_ms - drain->first_seen_at_ms;
  int32_t running = last_known_running (site, drain->data_centre, now_ms);

  json_object_object_add (row, "data_centre", json_object_new_string (drain->data_centre));
  json_object_object_add (row, "offset", json_object_new_uint64 (drain->record_offset));
  json_object_object_add (row, "for_ms", json_object_new_int64 (for_ms));
  json_object_object_add (row, "since_wall_ms", json_object_new_int64 (clock_wall_ms () - for_ms));
  json_object_object_add (row, "running", running >= 0 ? json_object_new_int (running) : NULL);
  return row;
}

char *
drain_status_json (void *user)
{
  const site_t *site = user;
  json_object *page = json_object_new_object ();
  json_object *rows = json_object_new_array ();
  GArray *list = drains_list (site->drains, false);
  int64_t now_ms = clock_boot_ms ();

  for (guint i = 0; i < list->len; i++)
    json_object_array_add (rows, drain_json (site, &g_array_index (list, drain_t, i), now_ms));
  json_object_object_add (page, "host", json_object_new_string (site->host));
  json_object_object_add (page, "known",
                          json_object_new_boolean (drains_are_initialised (site->drains)));
  json_object_object_add (page, "end_offset",
                          json_object_new_uint64 (drains_end_offset (site->drains)));
  json_object_object_add (page, "log_reachable", json_object_new_boolean (site->store_reachable));
  json_object_object_add (page, "drains", rows);
  char *text = g_strdup (json_object_to_json_string_ext (page, JSON_C_TO_STRING_PLAIN));
  json_object_put (page);
  g_array_unref (list);
  return text;
}
