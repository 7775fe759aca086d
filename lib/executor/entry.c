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

bool
entry_is_usable (const char *shard, const executor_endpoint_t *endpoint)
{
  return shard != NULL && endpoint->id != NULL && is_host_address (endpoint->address)
         && endpoint->service != NULL && endpoint->kind != NULL && endpoint->rack != NULL;
}
