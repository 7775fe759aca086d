/* hosts.h -- the platform's list of hosts, parsed and checked
 *
 * A list is immutable once parsed.  Pure; any thread.
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
  char *address; /* IP:port; of an entry host its peer listener */
  int32_t slots;
  int32_t connections;
  int32_t cores;
  int64_t memory_mb;
  char *rack; /* may be empty, never NULL */
  bool leaving;
} host_t;

/* Parses the body of GET /hosts.  An entry that is not valid is left out and
 * counted in *SKIPPED; returns ERROR_PROTOCOL if the whole is not a list.  The
 * result holds host_t pointers, sorted by id, and is freed by
 * g_ptr_array_unref (). */
int hosts_parse (const char *json, size_t size, GPtrArray **hosts, int32_t *skipped);

/* A copy that the caller frees (host_free). */
host_t *host_copy (const host_t *host);
void host_free (host_t *host);

/* An empty list that frees its host_t pointers. */
GPtrArray *hosts_list_new (void);

/* Sorts LIST by id. */
void hosts_list_sort (GPtrArray *list);

/* Digest of a sorted list: equal lists have equal ones.  Never 0 but by chance
 * of one in 2^64. */
uint64_t hosts_list_digest (const GPtrArray *list);

#endif
