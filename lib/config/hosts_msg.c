/* hosts_msg.c -- relays the list of hosts, whole or as a difference
 *
 * Fields: version, digest of the base (0 for a whole list), digest, ids that
 * are gone, entries that are new or changed.
 */
#include "config/hosts_msg.h"

#include <limits.h>
#include <string.h>

/* Walks two sorted lists; either side is NULL where an id is only in the other. */
typedef struct
{
  const GPtrArray *before;
  const GPtrArray *after;
  guint i;
  guint j;
  const host_t *old;
  const host_t *new;
} walk_t;

static bool
walk_next (walk_t *walk)
{
  bool more_old = walk->before && walk->i < walk->before->len;
  bool more_new = walk->j < walk->after->len;
  walk->old = more_old ? walk->before->pdata[walk->i] : NULL;
  walk->new = more_new ? walk->after->pdata[walk->j] : NULL;
  if (more_old && more_new)
    {
      int order = strcmp (walk->old->id, walk->new->id);
      if (order < 0)
        walk->new = NULL;
      else if (order > 0)
        walk->old = NULL;
    }
  walk->i += walk->old != NULL;
  walk->j += walk->new != NULL;
  return walk->old || walk->new;
}

static bool
host_same (const host_t *a, const host_t *b)
{
  return a->role == b->role && strcmp (a->data_centre, b->data_centre) == 0
         && strcmp (a->address, b->address) == 0 && a->slots == b->slots
         && a->connections == b->connections && a->cores == b->cores && a->memory_mb == b->memory_mb
         && strcmp (a->rack, b->rack) == 0 && a->leaving == b->leaving;
}

static void
put_host (frame_writer_t *writer, const host_t *host)
{
  frame_put_string (writer, host->id);
  frame_put_int (writer, host->role);
  frame_put_string (writer, host->data_centre);
  frame_put_string (writer, host->address);
  frame_put_int (writer, host->slots);
  frame_put_int (writer, host->connections);
  frame_put_int (writer, host->cores);
  frame_put_int (writer, host->memory_mb);
  frame_put_string (writer, host->rack);
  frame_put_bool (writer, host->leaving);
}

/* Reads a host; NULL on failure. */
static host_t *
get_host (frame_reader_t *reader)
{
  host_t host = { 0 };
  host.id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  host.role = (host_role_t) frame_get_range (reader, HOST_ROLE_ENDPOINT, HOST_ROLE_ENTRY);
  host.data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  host.address = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  host.slots = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  host.connections = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  host.cores = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  host.memory_mb = frame_get_range (reader, 0, INT64_MAX);
  host.rack = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  host.leaving = frame_get_bool (reader);
  host_t *copy = g_new (host_t, 1);
  *copy = host;
  if (frame_ok (reader) && host.id && host.data_centre && host.address && host.rack)
    return copy;
  host_free (copy);
  return NULL;
}

GBytes *
hosts_msg (int type, const hosts_known_t *base, const hosts_known_t *known)
{
  GPtrArray *gone = g_ptr_array_new ();
  GPtrArray *changed = g_ptr_array_new ();
  walk_t walk = { .before = base ? base->list : NULL, .after = known->list };
  while (walk_next (&walk))
    {
      if (walk.new == NULL)
        g_ptr_array_add (gone, walk.old->id);
      else if (walk.old == NULL || !host_same (walk.old, walk.new))
        g_ptr_array_add (changed, (gpointer) walk.new);
    }
  frame_writer_t *writer = frame_begin (type);
  frame_put_int (writer, known->version.time);
  frame_put_uint (writer, known->version.reader);
  frame_put_uint (writer, base ? base->digest : 0);
  frame_put_uint (writer, known->digest);
  frame_put_count (writer, gone->len);
  for (guint i = 0; i < gone->len; i++)
    frame_put_string (writer, gone->pdata[i]);
  frame_put_count (writer, changed->len);
  for (guint i = 0; i < changed->len; i++)
    put_host (writer, changed->pdata[i]);
  g_ptr_array_unref (gone);
  g_ptr_array_unref (changed);
  return frame_finish (writer);
}

/* Takes the ids that are gone out of HOSTS, and the changed entries in. */
static bool
get_changes (frame_reader_t *reader, GHashTable *hosts)
{
  size_t gone = frame_get_count (reader, HOSTS_MSG_MAX);
  for (size_t i = 0; i < gone; i++)
    {
      char *id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      if (id == NULL)
        return false;
      g_hash_table_remove (hosts, id);
      g_free (id);
    }
  size_t changed = frame_get_count (reader, HOSTS_MSG_MAX);
  for (size_t i = 0; i < changed; i++)
    {
      host_t *host = get_host (reader);
      if (host == NULL)
        return false;
      g_hash_table_replace (hosts, host->id, host);
    }
  return frame_ok (reader);
}

static GPtrArray *
list_of (GHashTable *hosts)
{
  GPtrArray *list = hosts_list_new ();
  GHashTableIter iter;
  gpointer host = NULL;
  g_hash_table_iter_init (&iter, hosts);
  while (g_hash_table_iter_next (&iter, NULL, &host))
    {
      g_hash_table_iter_steal (&iter);
      g_ptr_array_add (list, host);
    }
  hosts_list_sort (list);
  return list;
}

static GPtrArray *
apply (frame_reader_t *reader, const GPtrArray *base, uint64_t digest)
{
  GHashTable *hosts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) host_free);
  for (guint i = 0; base && i < base->len; i++)
    {
      host_t *copy = host_copy (base->pdata[i]);
      g_hash_table_replace (hosts, copy->id, copy);
    }
  GPtrArray *list = get_changes (reader, hosts) ? list_of (hosts) : NULL;
  g_hash_table_unref (hosts);
  if (list && hosts_list_digest (list) != digest)
    g_clear_pointer (&list, g_ptr_array_unref);
  return list;
}

hosts_msg_result_t
hosts_msg_get (frame_reader_t *reader,
               const hosts_known_t *own,
               hosts_version_t *version,
               uint64_t *digest,
               GPtrArray **list)
{
  *list = NULL;
  version->time = frame_get_range (reader, 0, INT64_MAX - 1);
  version->reader = frame_get_uint (reader);
  uint64_t base = frame_get_uint (reader);
  *digest = frame_get_uint (reader);
  if (!frame_ok (reader))
    return HOSTS_MSG_MALFORMED;
  if (base != 0 && base != own->digest)
    return HOSTS_MSG_OTHER_BASE;
  *list = apply (reader, base != 0 ? own->list : NULL, *digest);
  return *list ? HOSTS_MSG_LIST : HOSTS_MSG_MALFORMED;
}
