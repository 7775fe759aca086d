/* site_updates.c -- applies updates from the platform and other hosts
 *
 * Configurations, entries of the directory of endpoints, and hosts.  Drains are in site_drain.c.
 */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"

#include <string.h>

/* Endpoints of the directory, over three times as many as a deployment has.  Other hosts tell
 * endpoints, too. */
#define DIRECTORY_ENTRIES_MAX 65536

bool
site_apply_config (site_t *site, const char *data, size_t size, const char *from)
{
  queues_t *queues = NULL;

  if (decode_queues (data, size, &queues) != 0)
    {
      if (event_begin (EVENT_CONFIGURATION_INVALID))
        {
          event_add_text ("from", from);
          event_end ();
        }
      return false;
    }
  if (site->queues != NULL && queues->version <= site->queues->version)
    {
      queues_free (queues);
      return false;
    }
  queues_free (site->queues);
  site->queues = queues;
  g_clear_pointer (&site->queues_json, g_bytes_unref);
  site->queues_json = g_bytes_new (data, size);
  ingress_apply_config (site->ingress);
  if (event_begin (EVENT_CONFIGURATION))
    {
      event_add_number ("version", queues->version);
      event_add_text ("from", from);
      event_add_number ("queues", queues->queues->len);
      event_end ();
    }
  return true;
}

static void
on_config (const char *data, size_t size, void *user)
{
  site_t *site = user;

  if (site_apply_config (site, data, size, "platform"))
    peers_send_heartbeats (site, clock_boot_ms (), true);
}

static void
log_endpoint (event_t event, const executor_entry_t *entry)
{
  if (!event_begin (event))
    return;
  event_add_text ("endpoint", entry->endpoint.id);
  event_add_text ("shard", entry->shard);
  if (event == EVENT_ENDPOINT_FOUND)
    event_add_text ("kind", entry->endpoint.kind);
  event_end ();
}

static bool
capacity_changed (const executor_entry_t *from, const executor_entry_t *to)
{
  const resources_t *old = &from->endpoint.free;
  const resources_t *new = &to->endpoint.free;

  return old->cores_milli != new->cores_milli || old->memory_mb != new->memory_mb
         || old->gpus != new->gpus;
}

static void
log_capacity (const executor_entry_t *from, const executor_entry_t *to)
{
  if (!event_begin (EVENT_ENDPOINT_CAPACITY))
    return;
  event_add_text ("endpoint", to->endpoint.id);
  event_add_text ("shard", to->shard);
  event_add_number ("cores_milli", to->endpoint.free.cores_milli);
  event_add_number ("memory_mb", to->endpoint.free.memory_mb);
  event_add_number ("gpus", to->endpoint.free.gpus);
  event_add_number ("old_cores_milli", from->endpoint.free.cores_milli);
  event_add_number ("old_memory_mb", from->endpoint.free.memory_mb);
  event_add_number ("old_gpus", from->endpoint.free.gpus);
  event_end ();
}

void
site_apply_entry (site_t *site, const executor_entry_t *entry)
{
  const executor_entry_t *previous = g_hash_table_lookup (site->directory, entry->endpoint.id);

  if (previous != NULL && previous->offset > entry->offset)
    return;
  if (previous == NULL && g_hash_table_size (site->directory) >= DIRECTORY_ENTRIES_MAX)
    {
      counter_add (counter_get ("jaytrail_directory_entries_dropped_total", NULL), 1);
      return;
    }
  /* Two owners would use it.  Its owner follows what runs there, and its next entry counts. */
  if (previous != NULL && strcmp (previous->shard, entry->shard) != 0)
    {
      site_remove_entry (site, entry->endpoint.id);
      return;
    }
  if (previous == NULL)
    log_endpoint (EVENT_ENDPOINT_FOUND, entry);
  else if (entry->endpoint.leaving && !previous->endpoint.leaving)
    log_endpoint (EVENT_ENDPOINT_LEAVING, entry);
  if (previous != NULL && capacity_changed (previous, entry))
    log_capacity (previous, entry);
  executor_entry_t *copy = g_new0 (executor_entry_t, 1);
  executor_entry_copy (copy, entry);
  bool unchanged =
      previous != NULL && previous->endpoint.started_at_ms == copy->endpoint.started_at_ms
      && previous->endpoint.leaving == copy->endpoint.leaving && !capacity_changed (previous, copy)
      && strcmp (previous->endpoint.address, copy->endpoint.address) == 0;
  if (!unchanged)
    peers_send_entry (site, copy);
  g_hash_table_replace (site->directory, (void *) copy->endpoint.id, copy);
  removed_entries_forget (site->removed_entries, copy->endpoint.id);
  cluster_add_shard (site->cluster, copy->shard);
  scheduler_set_rack_shard (site->scheduler, copy->endpoint.rack, copy->shard);
  owner_set_entry (site, copy);
}

static void
on_entry (const executor_entry_t *entry, void *user)
{
  site_apply_entry (user, entry);
}

void
site_remove_entry (site_t *site, const char *id)
{
  const executor_entry_t *entry = g_hash_table_lookup (site->directory, id);

  if (entry == NULL)
    return;
  log_endpoint (EVENT_ENDPOINT_GONE, entry);
  peers_send_removal (site, id);
  owner_remove_endpoint (site, id, entry->shard);
  removed_entries_add (site->removed_entries, entry, clock_boot_ms ());
  g_hash_table_remove (site->directory, id);
}

static void
on_entry_removed (const char *id, void *user)
{
  site_remove_entry (user, id);
}

static void
on_peer (const char *host, const char *address, const char *data_centre, int32_t power, void *user)
{
  peers_add_host (user, host, address, data_centre, power);
}

static void
on_reachable (bool reachable, void *user)
{
  site_t *site = user;

  site->store_reachable = reachable;
  if (event_begin (reachable ? EVENT_LOG_REGAINED : EVENT_LOG_LOST))
    event_end ();
}

const log_client_ops_t site_log_client_ops = {
  on_config, drain_on_record,  drain_on_list, drain_on_log_read,
  on_entry,  on_entry_removed, on_peer,       on_reachable,
};

void
site_free_entry (void *data)
{
  executor_entry_clear (data);
  g_free (data);
}
