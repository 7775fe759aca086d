/* hosts.c -- parses the platform's list of hosts and skips invalid entries */
#include "platform/hosts.h"

#include "base/error.h"
#include "base/hash.h"
#include "platform/json.h"

#include <inttypes.h>
#include <string.h>

#define HOST_NAME_MAX_BYTES 128
#define HOST_SLOTS_MAX 100000
#define HOST_CORES_MAX 100000
#define HOST_MEMORY_MAX_MB (1ll << 32)

void
host_free (host_t *host)
{
  g_free (host->id);
  g_free (host->data_centre);
  g_free (host->address);
  g_free (host->rack);
  g_free (host);
}

host_t *
host_copy (const host_t *host)
{
  host_t *copy = g_new (host_t, 1);
  *copy = *host;
  copy->id = g_strdup (host->id);
  copy->data_centre = g_strdup (host->data_centre);
  copy->address = g_strdup (host->address);
  copy->rack = g_strdup (host->rack);
  return copy;
}

GPtrArray *
hosts_list_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify) host_free);
}

uint64_t
hosts_list_digest (const GPtrArray *list)
{
  uint64_t digest = 1;
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < list->len; i++)
    {
      const host_t *host = list->pdata[i];
      g_string_printf (text, "%s\n%d\n%s\n%s\n%d\n%d\n%d\n%" PRId64 "\n%s\n%d", host->id,
                       (int) host->role, host->data_centre, host->address, host->slots,
                       host->connections, host->cores, host->memory_mb, host->rack, host->leaving);
      digest += hash_string (text->str);
    }
  g_string_free (text, TRUE);
  return digest;
}

/* Checks for a host part, a colon and a port from 1 to 65535; the IP itself is not checked. */
static bool
address_valid (const char *address)
{
  const char *colon = strrchr (address, ':');
  if (colon == NULL || colon == address)
    return false;
  char *end = NULL;
  guint64 port = g_ascii_strtoull (colon + 1, &end, 10);
  return g_ascii_isdigit (colon[1]) && *end == '\0' && port >= 1 && port <= 65535;
}

static bool
role_parse (const char *text, host_role_t *role)
{
  if (strcmp (text, "endpoint") == 0)
    *role = HOST_ROLE_ENDPOINT;
  else if (strcmp (text, "entry") == 0)
    *role = HOST_ROLE_ENTRY;
  else
    return false;
  return true;
}

static bool
state_parse (const char *text, bool *leaving)
{
  *leaving = strcmp (text, "leaving") == 0;
  return *leaving || strcmp (text, "live") == 0;
}

/* Reads the sizes.  They are required for endpoints only; an entry host may omit them. */
static bool
sizes_parse (json_object *entry, host_t *host)
{
  int64_t min = host->role == HOST_ROLE_ENDPOINT ? 1 : 0;
  int64_t slots = 0;
  int64_t connections = 0;
  int64_t cores = 0;
  int64_t memory_mb = 0;
  bool valid = platform_json_int (entry, "slots", min, HOST_SLOTS_MAX, &slots)
               && platform_json_int (entry, "connections", min, HOST_SLOTS_MAX, &connections)
               && platform_json_int (entry, "cores", 0, HOST_CORES_MAX, &cores)
               && platform_json_int (entry, "memory_mb", 0, HOST_MEMORY_MAX_MB, &memory_mb);
  host->slots = (int32_t) slots;
  host->connections = (int32_t) connections;
  host->cores = (int32_t) cores;
  host->memory_mb = memory_mb;
  return valid;
}

static host_t *
host_parse (json_object *entry)
{
  if (!json_object_is_type (entry, json_type_object))
    return NULL;
  const char *id = platform_json_string (entry, "id", HOST_NAME_MAX_BYTES);
  const char *role = platform_json_string (entry, "role", HOST_NAME_MAX_BYTES);
  const char *data_centre = platform_json_string (entry, "data_centre", HOST_NAME_MAX_BYTES);
  const char *address = platform_json_string (entry, "address", HOST_NAME_MAX_BYTES);
  const char *state = platform_json_string (entry, "state", HOST_NAME_MAX_BYTES);
  const char *rack = platform_json_string (entry, "rack", HOST_NAME_MAX_BYTES);
  if (id == NULL || role == NULL || data_centre == NULL || address == NULL || state == NULL)
    return NULL;
  if (*id == '\0' || *data_centre == '\0' || !address_valid (address))
    return NULL;
  host_t *host = g_new0 (host_t, 1);
  host->id = g_strdup (id);
  host->data_centre = g_strdup (data_centre);
  host->address = g_strdup (address);
  host->rack = g_strdup (rack ? rack : "");
  if (role_parse (role, &host->role) && state_parse (state, &host->leaving)
      && sizes_parse (entry, host))
    return host;
  host_free (host);
  return NULL;
}

static int
compare_ids (gconstpointer a, gconstpointer b)
{
  const host_t *left = *(host_t *const *) a;
  const host_t *right = *(host_t *const *) b;
  return strcmp (left->id, right->id);
}

void
hosts_list_sort (GPtrArray *list)
{
  g_ptr_array_sort (list, compare_ids);
}

/* Keeps only the first of several entries with the same id.  HOSTS must be sorted. */
static void
remove_duplicates (GPtrArray *hosts, int32_t *skipped)
{
  for (guint i = 1; i < hosts->len;)
    {
      if (compare_ids (&hosts->pdata[i - 1], &hosts->pdata[i]) != 0)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (hosts, i);
      (*skipped)++;
    }
}

int
hosts_parse (const char *json, size_t size, GPtrArray **hosts, int32_t *skipped)
{
  *hosts = NULL;
  *skipped = 0;
  json_object *root = platform_json_parse (json, size);
  json_object *list = NULL;
  if (!json_object_is_type (root, json_type_object)
      || !json_object_object_get_ex (root, "hosts", &list)
      || !json_object_is_type (list, json_type_array))
    {
      json_object_put (root);
      return ERROR_PROTOCOL;
    }
  *hosts = hosts_list_new ();
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      host_t *host = host_parse (json_object_array_get_idx (list, i));
      if (host)
        g_ptr_array_add (*hosts, host);
      else
        (*skipped)++;
    }
  json_object_put (root);
  hosts_list_sort (*hosts);
  remove_duplicates (*hosts, skipped);
  return 0;
}
