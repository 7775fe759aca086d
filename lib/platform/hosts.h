/* hosts.h -- parses and checks the platform's list of hosts
 *
 * A parsed list is not changed any more.  Pure functions; any thread.
 */
#ifndef PLATFORM_HOSTS_H
#define PLATFORM_HOSTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  HOST_ROLE_ENDPOINT,
  HOST_ROLE_ENTRY
} host_role_t;

typedef struct
{
  char *id;
  host_role_t role;
  char *data_centre;
  char *address; /* IP:port; for an entry host that of its peer listener */
  int32_t slots;
  int32_t connections;
  int32_t cores;
  int64_t memory_mb;
  char *rack; /* may be empty, but is never NULL */
  bool leaving;
} host_t;

/* Parses the body of GET /hosts.  Returns 0, or ERROR_PROTOCOL if the body is not a list of hosts.
 * Invalid entries and duplicates are skipped and counted in *SKIPPED.  *HOSTS holds host_t pointers
 * sorted by id; the caller frees it with g_ptr_array_unref (). */
int hosts_parse (const char *json, size_t size, GPtrArray **hosts, int32_t *skipped);

/* Returns a deep copy, which the caller frees with host_free (). */
host_t *host_copy (const host_t *host);
void host_free (host_t *host);

/* Returns an empty list that owns the host_t pointers added to it. */
GPtrArray *hosts_list_new (void);

/* Sorts LIST by id. */
void hosts_list_sort (GPtrArray *list);

/* Returns a digest of LIST.  Equal lists have equal digests.  The digest is 0 only by chance, with
 * a probability of about 2^-64. */
uint64_t hosts_list_digest (const GPtrArray *list);

#endif
