/* config_hosts.c -- the list of hosts with its version, read here or relayed
 *
 * Lists are sent on when their bytes change; otherwise beats carry the version.
 */
#include "base/error.h"
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "daemon/config_private.h"

#include <inttypes.h>
#include <string.h>

static uint64_t
digest_of (const void *data, size_t size)
{
  hash_digest_t digest = hash_digest (data, size);
  uint64_t short_digest;
  memcpy (&short_digest, digest.bytes, sizeof short_digest);
  return short_digest;
}

void
config_hosts_init (config_part_t *config)
{
  config->hosts.list = g_ptr_array_new ();
  config->hosts.poll = config_poll_new (config->part.daemon, NULL, config_hosts_read, config);
}

/* Connects to the entry hosts of the list. */
static void
meet_entry_hosts (config_part_t *config)
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

/* Puts a list of hosts in force.  Returns false if it is none. */
static bool
take_list (config_part_t *config, const void *body, size_t size)
{
  GPtrArray *list = NULL;
  int32_t skipped = 0;
  if (hosts_parse (body, size, &list, &skipped) < 0)
    {
      log_warning ("config", "The list of hosts is malformed.", NULL);
      return false;
    }
  if (skipped > 0)
    {
      char *count = g_strdup_printf ("%" PRId32, skipped);
      log_warning ("config", "The list of hosts has entries that are not valid.", "skipped", count,
                   NULL);
      g_free (count);
    }
  g_ptr_array_unref (config->hosts.list);
  config->hosts.list = list;
  g_clear_pointer (&config->hosts.body, g_bytes_unref);
  config->hosts.body = g_bytes_new (body, size);
  config->hosts.digest = digest_of (body, size);
  config->changed = true;
  meet_entry_hosts (config);
  return true;
}

static void
take_version (config_part_t *config, const hosts_version_t *version, int64_t now_ms)
{
  hosts_clock_take (&config->hosts.clock, version);
  config->hosts.at_ms = now_ms;
}

void
config_hosts_read (const config_poll_result_t *result, void *data)
{
  config_part_t *config = data;
  if (result->result < 0)
    return;
  gsize size = 0;
  const void *body = g_bytes_get_data (result->hosts, &size);
  hosts_version_t version = hosts_clock_read (&config->hosts.clock, clock_wall_ms (),
                                              hash_string (daemon_host_id (config->part.daemon)));
  bool same = config->hosts.body && g_bytes_equal (config->hosts.body, result->hosts);
  if (!same && !take_list (config, body, size))
    return;
  config->hosts_answered_at_ms = daemon_now_ms (config->part.daemon);
  config_answered (config);
  take_version (config, &version, result->sent_at_ms);
  if (!same && config->actions.read)
    config_send (config, NULL, config_msg_hosts (&version, config->hosts.body));
}

void
config_hosts_relayed (config_part_t *config, frame_reader_t *reader, int64_t now_ms)
{
  hosts_version_t version;
  const void *body = NULL;
  size_t size = 0;
  if (!config_msg_get_hosts (reader, &version, &body, &size)
      || !hosts_clock_see (&config->hosts.clock, &version))
    return;
  bool same = config->hosts.body && digest_of (body, size) == config->hosts.digest;
  if (!same && !take_list (config, body, size))
    return;
  take_version (config, &version, now_ms);
  if (!same && config->actions.read)
    config_send (config, NULL, config_msg_hosts (&version, config->hosts.body));
}

void
config_hosts_relayed_same (config_part_t *config, frame_reader_t *reader, int64_t now_ms)
{
  hosts_version_t version;
  uint64_t digest = 0;
  if (!config_msg_get_hosts_same (reader, &version, &digest)
      || !hosts_clock_see (&config->hosts.clock, &version))
    return;
  if (config->hosts.body && digest == config->hosts.digest)
    take_version (config, &version, now_ms);
}

bool
config_hosts_beat (config_part_t *config, const config_have_t *have, int64_t now_ms)
{
  if (!hosts_clock_see (&config->hosts.clock, &have->hosts))
    return false;
  if (have->hosts_digest != config->hosts.digest)
    return true;
  take_version (config, &have->hosts, now_ms);
  return false;
}

void
config_hosts_answer (config_part_t *config, const char *host, const config_have_t *have)
{
  const config_hosts_t *hosts = &config->hosts;
  const hosts_version_t *version = &hosts->clock.current;
  /* What this host reads next is newer, whatever the other one's clock says. */
  hosts_clock_see (&config->hosts.clock, &have->hosts);
  if (hosts->body == NULL || hosts_version_compare (&have->hosts, version) >= 0)
    return;
  if (have->hosts_digest == hosts->digest)
    config_send (config, host, config_msg_hosts_same (version, hosts->digest));
  else
    config_send (config, host, config_msg_hosts (version, hosts->body));
}
