/* config_hosts.c -- the versioned list of hosts
 *
 * A host that reads the platform (a reader) gets the list from there and sends
 * changes to the other hosts of its data centre.  Heartbeats carry the version
 * and the digest of the list, so that a host that missed a change pulls it.
 */
#include "base/clock.h"
#include "base/hash.h"
#include "daemon/config_private.h"

#include <string.h>

void
config_hosts_init (config_part_t *config)
{
  config->hosts.list = hosts_list_new ();
  config->hosts.poll = config_poll_new (config->part.daemon, NULL, config_hosts_on_poll, config);
}

/* Connects to the entry hosts of the list, except this host and those that are leaving. */
static void
connect_to_entry_hosts (config_part_t *config)
{
  for (guint i = 0; i < config->hosts.list->len; i++)
    {
      const host_t *host = config->hosts.list->pdata[i];
      if (host->role != HOST_ROLE_ENTRY || host->leaving)
        continue;
      if (strcmp (host->address, daemon_peer_address (config->part.daemon)) != 0)
        daemon_add_address (config->part.daemon, host->address, host->data_centre);
    }
}

static hosts_snapshot_t
current_snapshot (const config_hosts_t *hosts)
{
  hosts_snapshot_t snapshot = { hosts->clock.current, hosts->digest, hosts->list };
  return snapshot;
}

static void
adopt_version (config_part_t *config, const hosts_version_t *version, int64_t now_ms)
{
  hosts_clock_adopt (&config->hosts.clock, version);
  config->hosts.confirmed_at_ms = now_ms;
}

/* Makes LIST the current list and takes ownership of it.  A reader sends the difference to
 * the hosts of its data centre. */
static void
adopt_list (config_part_t *config,
            GPtrArray *list,
            uint64_t digest,
            const hosts_version_t *version,
            int64_t now_ms)
{
  config_hosts_t *hosts = &config->hosts;
  hosts_snapshot_t before = current_snapshot (hosts);
  GPtrArray *old = hosts->list;
  hosts->list = list;
  hosts->digest = digest;
  adopt_version (config, version, now_ms);
  config->notify_pending = true;
  connect_to_entry_hosts (config);
  if (config->relay_actions.read_platform)
    {
      hosts_snapshot_t after = current_snapshot (hosts);
      config_send (config, NULL,
                   hosts_msg_encode (CONFIG_MSG_HOSTS, before.digest ? &before : NULL, &after));
    }
  g_ptr_array_unref (old);
}

void
config_hosts_on_poll (const config_poll_result_t *result, void *data)
{
  config_part_t *config = data;
  config_hosts_t *hosts = &config->hosts;
  if (result->result < 0)
    return;
  hosts_version_t version = hosts_clock_new_version (
      &hosts->clock, clock_wall_ms (), hash_string (daemon_host_id (config->part.daemon)));
  config->hosts_answered_at_ms = daemon_now_ms (config->part.daemon);
  config_note_platform_answer (config);
  if (result->hosts_digest == hosts->digest)
    adopt_version (config, &version, result->sent_at_ms);
  else if (result->hosts)
    adopt_list (config, g_ptr_array_ref (result->hosts), result->hosts_digest, &version,
                result->sent_at_ms);
  /* Otherwise a peer sent another list while the request was running, and the response was
   * not parsed.  The next poll parses it. */
}

void
config_hosts_on_list (config_part_t *config, frame_reader_t *reader, int64_t now_ms)
{
  hosts_snapshot_t own = current_snapshot (&config->hosts);
  hosts_version_t version;
  uint64_t digest = 0;
  GPtrArray *list = NULL;
  hosts_msg_result_t result = hosts_msg_decode (reader, &own, &version, &digest, &list);
  if (result == HOSTS_MSG_MALFORMED)
    return;
  /* A difference to another base list cannot be applied.  The next heartbeat makes this host
   * pull the whole list. */
  if (result == HOSTS_MSG_LIST && hosts_clock_observe (&config->hosts.clock, &version))
    adopt_list (config, list, digest, &version, now_ms);
  else if (list)
    g_ptr_array_unref (list);
}

void
config_hosts_on_unchanged (config_part_t *config, frame_reader_t *reader, int64_t now_ms)
{
  hosts_version_t version;
  uint64_t digest = 0;
  if (!config_msg_get_hosts_unchanged (reader, &version, &digest)
      || !hosts_clock_observe (&config->hosts.clock, &version))
    return;
  if (digest == config->hosts.digest)
    adopt_version (config, &version, now_ms);
}

bool
config_hosts_on_heartbeat (config_part_t *config, const config_progress_t *progress, int64_t now_ms)
{
  if (!hosts_clock_observe (&config->hosts.clock, &progress->hosts_version))
    return false;
  if (progress->hosts_digest != config->hosts.digest)
    return true;
  adopt_version (config, &progress->hosts_version, now_ms);
  return false;
}

void
config_hosts_answer_pull (config_part_t *config,
                          const char *host,
                          const config_progress_t *progress)
{
  const config_hosts_t *hosts = &config->hosts;
  hosts_snapshot_t snapshot = current_snapshot (hosts);
  /* Advances the clock, so that the next list that this host reads gets a newer version even
   * if the wall clock of the other host is ahead. */
  hosts_clock_observe (&config->hosts.clock, &progress->hosts_version);
  if (hosts_version_compare (&progress->hosts_version, &snapshot.version) >= 0)
    return;
  if (progress->hosts_digest == hosts->digest)
    config_send (config, host, config_msg_hosts_unchanged (&snapshot.version, hosts->digest));
  else
    config_send (config, host, hosts_msg_encode (CONFIG_MSG_HOSTS, NULL, &snapshot));
}
