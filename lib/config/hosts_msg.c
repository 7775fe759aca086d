/* hosts_msg.c -- encodes and decodes the list of hosts, complete or as a delta
 *
 * Fields of the message: version, digest of the base list (0 for a complete
 * list), digest of the resulting list, ids of removed hosts, entries that are new
 * or changed.
 */
#include "config/hosts_msg.h"

#include <limits.h>
#include <string.h>

/* Iterates over two lists sorted by id, in the order of ids.  The field old or new
 * is NULL if the current id is not in that list. */
typedef struct
{
  const GPtrArray *old_list;
  const GPtrArray *new_list;
  guint i;
  guint j;
  const host_t *old;
  const host_t *new;
} merge_iter_t;

static bool
merge_iter_next (merge_iter_t *iter)
{
  bool more_old = iter->old_list && iter->i < iter->old_list->len;
  bool more_new = iter->j < iter->new_list->len;
  iter->old = more_old ? iter->old_list->pdata[iter->i] : NULL;
  iter->new = more_new ? iter->new_list->pdata[iter->j] : NULL;
  if (more_old && more_new)
    {
      int order = strcmp (iter->old->id, iter->new->id);
      if (order < 0)
        iter->new = NULL;
      else if (order > 0)
        iter->old = NULL;
    }
  iter->i += iter->old != NULL;
  iter->j += iter->new != NULL;
  return iter->old || iter->new;
}

static bool
host_equal (const host_t *a, const host_t *b)
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

/* Reads a host.  Returns NULL on failure. */
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
hosts_msg_encode (int type, const hosts_snapshot_t *base, const hosts_snapshot_t *snapshot)
{
  GPtrArray *removed = g_ptr_array_new ();
  GPtrArray *changed = g_ptr_array_new ();
  merge_iter_t iter = { .old_list = base ? base->list : NULL, .new_list = snapshot->list };
  while (merge_iter_next (&iter))
    {
      if (iter.new == NULL)
        g_ptr_array_add (removed, iter.old->id);
      else if (iter.old == NULL || !host_equal (iter.old, iter.new))
        g_ptr_array_add (changed, (gpointer) iter.new);
    }
  frame_writer_t *writer = frame_begin (type);
  frame_put_int (writer, snapshot->version.time_ms);
  frame_put_uint (writer, snapshot->version.reader_hash);
  frame_put_uint (writer, base ? base->digest : 0);
  frame_put_uint (writer, snapshot->digest);
  frame_put_count (writer, removed->len);
  for (guint i = 0; i < removed->len; i++)
    frame_put_string (writer, removed->pdata[i]);
  frame_put_count (writer, changed->len);
  for (guint i = 0; i < changed->len; i++)
    put_host (writer, changed->pdata[i]);
  g_ptr_array_unref (removed);
  g_ptr_array_unref (changed);
  return frame_finish (writer);
}

/* Removes from HOSTS the ids listed as removed, and adds or replaces the changed
 * entries. */
static bool
read_changes (frame_reader_t *reader, GHashTable *hosts)
{
  size_t removed = frame_get_count (reader, HOSTS_MSG_ENTRIES_MAX);
  for (size_t i = 0; i < removed; i++)
    {
      char *id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      if (id == NULL)
        return false;
      g_hash_table_remove (hosts, id);
      g_free (id);
    }
  size_t changed = frame_get_count (reader, HOSTS_MSG_ENTRIES_MAX);
  for (size_t i = 0; i < changed; i++)
    {
      host_t *host = get_host (reader);
      if (host == NULL)
        return false;
      g_hash_table_replace (hosts, host->id, host);
    }
  return frame_ok (reader);
}

/* Moves all entries of HOSTS to a sorted list. */
static GPtrArray *
list_from_table (GHashTable *hosts)
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

/* Reads changes and applies them to BASE, which may be NULL.  Returns NULL if they
 * are malformed or the resulting list does not have DIGEST. */
static GPtrArray *
apply_changes (frame_reader_t *reader, const GPtrArray *base, uint64_t digest)
{
  GHashTable *hosts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) host_free);
  for (guint i = 0; base && i < base->len; i++)
    {
      host_t *copy = host_copy (base->pdata[i]);
      g_hash_table_replace (hosts, copy->id, copy);
    }
  GPtrArray *list = read_changes (reader, hosts) ? list_from_table (hosts) : NULL;
  g_hash_table_unref (hosts);
  if (list && hosts_list_digest (list) != digest)
    g_clear_pointer (&list, g_ptr_array_unref);
  return list;
}

hosts_msg_result_t
hosts_msg_decode (frame_reader_t *reader,
                  const hosts_snapshot_t *own,
                  hosts_version_t *version,
                  uint64_t *digest,
                  GPtrArray **list)
{
  *list = NULL;
  version->time_ms = frame_get_range (reader, 0, INT64_MAX - 1);
  version->reader_hash = frame_get_uint (reader);
  uint64_t base = frame_get_uint (reader);
  *digest = frame_get_uint (reader);
  if (!frame_ok (reader))
    return HOSTS_MSG_MALFORMED;
  if (base != 0 && base != own->digest)
    return HOSTS_MSG_BASE_MISMATCH;
  *list = apply_changes (reader, base != 0 ? own->list : NULL, *digest);
  return *list ? HOSTS_MSG_LIST : HOSTS_MSG_MALFORMED;
}
