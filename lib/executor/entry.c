/* entry.c -- which entries of the directory describe a usable endpoint */
#include "executor/entry.h"

#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/* Addresses from here on are multicast, reserved or broadcast. */
#define FIRST_MULTICAST_ADDRESS UINT32_C (0xe0000000)

static bool
has_valid_length (const char *text)
{
  return text != NULL && strlen (text) <= ENTRY_TEXT_MAX_BYTES;
}

static bool
is_id (const char *id)
{
  if (!has_valid_length (id) || *id == '\0')
    return false;
  for (const char *at = id; *at != '\0'; at++)
    if (!g_ascii_isgraph (*at))
      return false;
  return true;
}

/* Bytes that are not UTF-8 are excluded too. */
static bool
is_plain_text (const char *text)
{
  if (!has_valid_length (text) || !g_utf8_validate (text, -1, NULL))
    return false;
  for (const char *at = text; *at != '\0'; at = g_utf8_next_char (at))
    if (g_unichar_iscntrl (g_utf8_get_char (at)))
      return false;
  return true;
}

static bool
is_name (const char *text)
{
  return is_plain_text (text) && *text != '\0';
}

/* Connections are opened over IPv4 only. */
static bool
is_host_address (const char *address)
{
  struct in_addr v4 = { 0 };
  char *ip = NULL;

  if (!has_valid_length (address) || address_split (address, &ip, NULL) != 0)
    return false;
  bool valid = inet_pton (AF_INET, ip, &v4) == 1 && v4.s_addr != htonl (INADDR_ANY)
               && ntohl (v4.s_addr) < FIRST_MULTICAST_ADDRESS;
  g_free (ip);
  return valid;
}

static bool
is_capacity (const resources_t *amounts)
{
  return amounts->cores_milli >= 0 && amounts->cores_milli <= ENTRY_CORES_MAX_MILLI
         && amounts->memory_mb >= 0 && amounts->memory_mb <= ENTRY_MEMORY_MAX_MB
         && amounts->gpus >= 0 && amounts->gpus <= ENTRY_GPUS_MAX;
}

bool
entry_is_usable (const char *shard, const executor_endpoint_t *endpoint)
{
  return is_name (shard) && is_id (endpoint->id) && is_host_address (endpoint->address)
         && is_name (endpoint->service) && is_plain_text (endpoint->kind)
         && is_plain_text (endpoint->rack) && is_capacity (&endpoint->free)
         && endpoint->started_at_ms >= 0 && endpoint->started_at_ms <= ENTRY_INTEGER_MAX;
}
