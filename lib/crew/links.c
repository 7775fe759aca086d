/* links.c -- who talks to whom: hubs, readers, and how often beats are sent
 *
 * Which host is a hub is the roster's; here it is decided what follows from that for this host.
 */
#include "crew/state.h"

#include <string.h>

/* With more hosts than this, those of other data centres hear a host less often. */
#define BEAT_FEW_HOSTS 12
/* So many hosts of each data centre follow the directory. */
#define READERS 3

bool
crew_owns_any (const crew_t *crew)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const shard_t *) value)->own)
      return true;
  return false;
}

void
crew_know (crew_t *crew, const char *host, const char *data_centre, int32_t power)
{
  roster_know (crew->roster, host, data_centre, power);
}

bool
crew_is_hub (const crew_t *crew)
{
  return roster_is_hub (crew->roster, crew->host);
}

bool
crew_host_is_hub (const crew_t *crew, const char *host)
{
  return roster_is_hub (crew->roster, host);
}

bool
crew_reads (const crew_t *crew)
{
  return roster_place (crew->roster, crew->host) < READERS || crew_owns_any (crew);
}

bool
crew_wants_link (const crew_t *crew, const char *host)
{
  const peer_t *peer = crew_find_peer (crew, host);
  bool owner = peer != NULL && peer->alive && peer->claims->len > 0;

  return owner || crew_is_hub (crew) || crew_owns_any (crew) || roster_is_hub (crew->roster, host);
}

int64_t
crew_beat_every_ms (const crew_t *crew, const char *host)
{
  const peer_t *peer = crew_find_peer (crew, host);
  bool near = peer == NULL || strcmp (peer->data_centre, crew->data_centre) == 0;

  if (roster_is_small (crew->roster))
    return near || roster_hosts (crew->roster) <= BEAT_FEW_HOSTS ? BEAT_NEAR_MS : BEAT_FAR_MS;
  bool hubs = crew_is_hub (crew) && roster_is_hub (crew->roster, host);
  if (hubs)
    return near ? BEAT_NEAR_MS : BEAT_FAR_MS;
  bool owner = crew_owns_any (crew) || (peer != NULL && peer->claims->len > 0);
  return owner ? BEAT_FAR_MS : BEAT_SLOW_MS;
}

bool
crew_wants_directory (const crew_t *crew, const char *host)
{
  const peer_t *peer = crew_find_peer (crew, host);

  return peer != NULL && peer->alive && !peer->reads && roster_is_hub (crew->roster, host)
         && strcmp (peer->data_centre, crew->data_centre) == 0;
}

const char *
crew_some_hub (const crew_t *crew)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && !peer->leaving && roster_is_hub (crew->roster, peer->host))
        return peer->host;
    }
  return NULL;
}
