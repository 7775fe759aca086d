/* site_drain.c -- which data centres are drained: from the log, from peers, to fleets and the flow
 */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"
#include "drain/drain_msg.h"

#include <json-c/json.h>

/* A host that is behind asks this often. */
#define PULL_EVERY_MS 50
/* How many tasks still run is told, and what was sent away is logged, this often. */
#define TELL_EVERY_MS 1000
/* A count of runs that was not renewed for so long is not shown. */
#define RUNS_KEPT_MS 5000
/* A host that stood still for a shorter part of the time in which a drain must be known learns of
 * it in time by its usual reads. */
#define THAWED_PART 2

/* How many tasks the owner of a drained shard says still run there. */
typedef struct
{
  int32_t runs;
  int64_t told_at_ms;
} drain_runs_t;

/* --- changes --- */

static void
apply_one (site_t *site, const drain_t *change, const char *from)
{
  counter_add (
      counter_get (change->drained ? "jaytrail_drains_begun_total" : "jaytrail_drains_ended_total",
                   NULL),
      1);
  if (event_begin (change->drained ? EVENT_DRAIN_BEGUN : EVENT_DRAIN_ENDED))
    {
      event_text ("data_centre", change->data_centre);
      event_number ("offset", (int64_t) change->record_offset);
      event_text ("from", from);
      event_end ();
    }
  scheduler_set_drained (site->flow, change->data_centre, change->drained);
  owner_set_drained (site, change->data_centre, change->drained);
  if (!change->drained)
    g_hash_table_remove (site->drain_runs, change->data_centre);
}

/* Takes over CHANGES, which it frees. */
static void
apply (site_t *site, GArray *changes, const char *from)
{
  bool any = changes->len > 0;

  for (guint i = 0; i < changes->len; i++)
    apply_one (site, &g_array_index (changes, drain_t, i), from);
  g_array_unref (changes);
  if (!any)
    return;
  site->drain_news = true;
  site->drain_tell_due_ms = 0;
  site_pump (site);
}

/* Peers hear at once of a set that is complete and has changed. */
static void
tell_news (site_t *site)
{
  if (!site->drain_news)
    return;
  site->drain_news = false;
  peers_beat (site, clock_boot_ms (), true);
}

static GArray *
new_changes (void)
{
  return g_array_new (FALSE, FALSE, sizeof (drain_t));
}

/* --- the log --- */

void
drain_record (const char *name, uint64_t offset, bool drained, void *user)
{
  site_t *site = user;
  GArray *changes = new_changes ();

  drains_apply_record (site->drains, name, offset, drained, clock_boot_ms (), changes);
  apply (site, changes, "platform");
}

void
drain_listed (const drain_t *listed, size_t count, uint64_t end, void *user)
{
  site_t *site = user;
  GArray *changes = new_changes ();

  drains_merge (site->drains, listed, count, end, clock_boot_ms (), changes);
  apply (site, changes, "platform");
  tell_news (site);
}

void
drain_read (uint64_t end, void *user)
{
  site_t *site = user;

  drains_advance (site->drains, end);
  tell_news (site);
}

/* --- peers --- */

void
drain_tell (site_t *site, const char *host)
{
  if (drains_are_initialised (site->drains))
    peers_send (site, host, drain_msg_set (site->drains, clock_boot_ms ()));
}

void
drain_read_pull (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) reader;
  drain_tell (site, host);
}

static void
free_name (void *data)
{
  g_free ((char *) ((drain_t *) data)->data_centre);
}

void
drain_read_set (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (drain_t));
  int64_t now_ms = clock_boot_ms ();
  uint64_t end = 0;

  g_array_set_clear_func (listed, free_name);
  if (drain_msg_read_set (reader, now_ms, listed, &end) == 0)
    {
      GArray *changes = new_changes ();
      drains_merge (site->drains, (const drain_t *) (void *) listed->data, listed->len, end, now_ms,
                    changes);
      apply (site, changes, host);
      /* Hosts that this one alone hears are told. */
      tell_news (site);
    }
  g_array_unref (listed);
}

void
drain_read_runs (site_t *site, const char *host, frame_reader_t *reader)
{
  char *name = NULL;
  int32_t count = 0;

  (void) host;
  if (drain_msg_read_running_tasks (reader, &name, &count) != 0)
    return;
  if (drains_contain (site->drains, name))
    {
      drain_runs_t *runs = g_new0 (drain_runs_t, 1);
      *runs = (drain_runs_t){ count, clock_boot_ms () };
      g_hash_table_replace (site->drain_runs, (void *) g_intern_string (name), runs);
    }
  g_free (name);
}

static void
pull (site_t *site, int64_t now_ms)
{
  if (now_ms < site->drain_pull_due_ms)
    return;
  const char *host = cluster_find_newer_drains (site->crew, drains_end_offset (site->drains));
  if (host == NULL)
    return;
  site->drain_pull_due_ms = now_ms + PULL_EVERY_MS;
  peers_send (site, host, drain_msg_set_request ());
}

/* --- time --- */

static int32_t
running_at (const owned_t *owned, int64_t now_ms)
{
  return executor_totals (owned->fleet, now_ms).running;
}

static void
log_sent_away (owned_t *owned, int64_t now_ms)
{
  if (owned->sent_away == 0)
    return;
  counter_add (counter_get ("jaytrail_tasks_sent_away_total", NULL), owned->sent_away);
  if (event_begin (EVENT_DRAIN_SENT_AWAY))
    {
      event_text ("data_centre", owned->name);
      event_number ("tasks", owned->sent_away);
      event_number ("running", running_at (owned, now_ms));
      event_end ();
    }
  owned->sent_away = 0;
}

static void
tell_runs (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms < site->drain_tell_due_ms)
    return;
  site->drain_tell_due_ms = now_ms + TELL_EVERY_MS;
  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_t *owned = value;
      log_sent_away (owned, now_ms);
      if (drains_contain (site->drains, owned->name))
        peers_send_all (site, drain_msg_running_tasks (owned->name, running_at (owned, now_ms)));
    }
}

void
drain_tick (site_t *site, int64_t now_ms)
{
  pull (site, now_ms);
  tell_runs (site, now_ms);
}

void
drain_thawed (site_t *site, int64_t still_ms, int64_t now_ms)
{
  if (still_ms > site->settings->drain_apply_ms / THAWED_PART)
    log_client_refresh (site->store, now_ms);
}

bool
drain_is_settled (const site_t *site)
{
  return drains_are_initialised (site->drains) && log_client_is_refreshed (site->store);
}

/* --- reports --- */

/* How many tasks still run in NAME; -1 if that is not known here. */
static int32_t
runs_in (const site_t *site, const char *name, int64_t now_ms)
{
  const char *interned = g_intern_string (name);
  const owned_t *owned = g_hash_table_lookup (site->owned, interned);
  const drain_runs_t *runs = g_hash_table_lookup (site->drain_runs, interned);

  if (owned != NULL)
    return running_at (owned, now_ms);
  return runs != NULL && now_ms - runs->told_at_ms < RUNS_KEPT_MS ? runs->runs : -1;
}

void
drain_metrics (site_t *site)
{
  GArray *list = drains_list (site->drains, false);
  int64_t now_ms = clock_boot_ms ();
  int64_t running = 0;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (drains_contain (site->drains, ((owned_t *) value)->name))
      running += running_at (value, now_ms);
  counter_set (counter_get ("jaytrail_data_centres_drained", NULL), list->len);
  counter_set (counter_get ("jaytrail_drains_known", NULL), drains_are_initialised (site->drains));
  counter_set (counter_get ("jaytrail_drains_end_offset", NULL),
               (int64_t) drains_end_offset (site->drains));
  counter_set (counter_get ("jaytrail_tasks_running_drained", NULL), running);
  g_array_unref (list);
}

static json_object *
row_of (const site_t *site, const drain_t *drain, int64_t now_ms)
{
  json_object *row = json_object_new_object ();
  int64_t for_ms = now_ms - drain->first_seen_at_ms;
  int32_t runs = runs_in (site, drain->data_centre, now_ms);

  json_object_object_add (row, "data_centre", json_object_new_string (drain->data_centre));
  json_object_object_add (row, "offset", json_object_new_uint64 (drain->record_offset));
  json_object_object_add (row, "for_ms", json_object_new_int64 (for_ms));
  json_object_object_add (row, "since_wall_ms", json_object_new_int64 (clock_wall_ms () - for_ms));
  json_object_object_add (row, "running", runs >= 0 ? json_object_new_int (runs) : NULL);
  return row;
}

char *
drain_page (void *user)
{
  const site_t *site = user;
  json_object *page = json_object_new_object ();
  json_object *rows = json_object_new_array ();
  GArray *list = drains_list (site->drains, false);
  int64_t now_ms = clock_boot_ms ();

  for (guint i = 0; i < list->len; i++)
    json_object_array_add (rows, row_of (site, &g_array_index (list, drain_t, i), now_ms));
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
