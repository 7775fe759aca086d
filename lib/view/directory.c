/* directory.c -- the views of all data centres, folded from the log and from peers */
#include "view/directory.h"

#include "base/error.h"
#include "base/hash.h"

#include <string.h>

/* The first record of a stream has this offset. */
#define FIRST_OFFSET 0

typedef struct
{
  int64_t at_ms;
  view_record_t *record;
} pending_t;

struct directory_t
{
  directory_changed_t changed;
  void *data;
  GHashTable *chains; /* data centre -> GPtrArray of view_t, oldest first */
  GQueue *pending;    /* pending_t, in the order of the log */
  bool any_record;
  bool from_start; /* the first record of the stream was read */
};

/* --- records ------------------------------------------------------------------ */

GBytes *
view_record_change (const char *data_centre, int64_t base, const GPtrArray *members)
{
  frame_writer_t *writer = frame_begin (VIEW_RECORD_CHANGE);

  frame_put_string (writer, data_centre);
  frame_put_int (writer, base);
  frame_put_count (writer, members->len);
  for (guint i = 0; i < members->len; i++)
    member_put (writer, g_ptr_array_index (members, i));
  return frame_finish (writer);
}

GBytes *
view_record_checkpoint (const view_t *view)
{
  frame_writer_t *writer = frame_begin (VIEW_RECORD_CHECKPOINT);

  view_put (writer, view);
  return frame_finish (writer);
}

void
view_record_free (view_record_t *record)
{
  g_free (record->data_centre);
  g_clear_pointer (&record->members, g_ptr_array_unref);
  view_unref (record->view);
  g_free (record);
}

static bool
get_change (frame_reader_t *reader, view_record_t *record)
{
  record->data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  record->base = frame_get_range (reader, 0, INT64_MAX - 1);
  record->members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  size_t count = frame_get_count (reader, VIEW_SEATS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      member_t *member = member_get (reader);
      if (member == NULL)
        return false;
      g_ptr_array_add (record->members, member);
    }
  return record->data_centre != NULL && count > 0;
}

static bool
get_checkpoint (frame_reader_t *reader, view_record_t *record)
{
  record->view = view_get (reader);
  if (record->view == NULL)
    return false;
  record->data_centre = g_strdup (record->view->data_centre);
  return true;
}

view_record_t *
view_record_decode (const void *data, size_t size)
{
  frame_reader_t *reader = NULL;
  view_record_t *record = g_new0 (view_record_t, 1);
  bool valid = false;

  if (size > FRAME_LENGTH_BYTES
      && frame_parse ((const char *) data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader)
             == 0)
    {
      record->kind = (view_record_kind_t) frame_type (reader);
      if (record->kind == VIEW_RECORD_CHANGE)
        valid = get_change (reader, record);
      else if (record->kind == VIEW_RECORD_CHECKPOINT)
        valid = get_checkpoint (reader, record);
      valid = valid && frame_ok (reader);
      frame_reader_free (reader);
    }
  if (valid)
    return record;
  view_record_free (record);
  return NULL;
}

/* --- chains of views ------------------------------------------------------------ */

static void
pending_free (pending_t *pending)
{
  view_record_free (pending->record);
  g_free (pending);
}

directory_t *
directory_new (directory_changed_t changed, void *data)
{
  directory_t *directory = g_new0 (directory_t, 1);

  directory->changed = changed;
  directory->data = data;
  directory->chains =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_ptr_array_unref);
  directory->pending = g_queue_new ();
  return directory;
}

void
directory_free (directory_t *directory)
{
  g_hash_table_unref (directory->chains);
  g_queue_free_full (directory->pending, (GDestroyNotify) pending_free);
  g_free (directory);
}

static GPtrArray *
chain_of (directory_t *directory, const char *data_centre)
{
  GPtrArray *chain = g_hash_table_lookup (directory->chains, data_centre);

  if (chain == NULL)
    {
      chain = g_ptr_array_new_with_free_func ((GDestroyNotify) view_unref);
      g_hash_table_insert (directory->chains, g_strdup (data_centre), chain);
    }
  return chain;
}

static view_t *
chain_last (const GPtrArray *chain)
{
  return chain->len > 0 ? g_ptr_array_index (chain, chain->len - 1) : NULL;
}

view_t *
directory_view (const directory_t *directory, const char *data_centre)
{
  const GPtrArray *chain = g_hash_table_lookup (directory->chains, data_centre);

  return chain != NULL ? chain_last (chain) : NULL;
}

view_t *
directory_past (const directory_t *directory, const char *data_centre, int64_t number)
{
  const GPtrArray *chain = g_hash_table_lookup (directory->chains, data_centre);

  for (guint i = 0; chain != NULL && i < chain->len; i++)
    {
      view_t *view = g_ptr_array_index (chain, i);
      if (view->number == number)
        return view;
    }
  return NULL;
}

static void
tell (directory_t *directory, const char *data_centre)
{
  view_t *view = directory_view (directory, data_centre);

  directory->changed (view, directory_past (directory, data_centre, view->number - 1),
                      directory->data);
}

/* Merges the epochs of VIEW into the same view of CHAIN.  Returns true if that
 * changed it. */
static bool
chain_merge (GPtrArray *chain, guint index, view_t *view)
{
  view_t *known = g_ptr_array_index (chain, index);
  view_t *merged = view_merge (known, view);

  if (merged == known)
    {
      view_unref (merged);
      return false;
    }
  chain->pdata[index] = merged;
  view_unref (known);
  return true;
}

/* Puts VIEW in its place.  Returns true if something has changed. */
static bool
chain_put (GPtrArray *chain, view_t *view)
{
  guint at = chain->len;

  while (at > 0 && ((view_t *) g_ptr_array_index (chain, at - 1))->number > view->number)
    at--;
  if (at > 0 && ((view_t *) g_ptr_array_index (chain, at - 1))->number == view->number)
    return chain_merge (chain, at - 1, view);
  if (at == 0 && chain->len >= DIRECTORY_HISTORY)
    return false;
  g_ptr_array_insert (chain, (gint) at, view_ref (view));
  if (chain->len > DIRECTORY_HISTORY)
    g_ptr_array_remove_index (chain, 0);
  return true;
}

/* Builds on the newest state if RECORD is the first on it. */
static bool
apply_change (directory_t *directory, const view_record_t *record, int64_t at_ms)
{
  view_t *newest = directory_view (directory, record->data_centre);
  int64_t number = newest != NULL ? newest->number : 0;

  if (record->base != number || (newest == NULL && !directory->from_start))
    return false;
  view_t *view = view_new (record->data_centre, number + 1, at_ms, record->members);
  chain_put (chain_of (directory, record->data_centre), view);
  view_unref (view);
  tell (directory, record->data_centre);
  return true;
}

static bool
is_stale (const directory_t *directory, const view_record_t *record)
{
  const view_t *newest = directory_view (directory, record->data_centre);

  return newest != NULL && record->base < newest->number;
}

/* Tries the waiting records again, in the order of the log, after a state has
 * advanced. */
static void
apply_pending (directory_t *directory)
{
  GList *item = directory->pending->head;

  while (item != NULL)
    {
      pending_t *pending = item->data;
      GList *next = item->next;
      if (apply_change (directory, pending->record, pending->at_ms)
          || is_stale (directory, pending->record))
        {
          pending_free (pending);
          g_queue_delete_link (directory->pending, item);
        }
      item = next;
    }
}

int
directory_record (directory_t *directory,
                  int64_t offset,
                  int64_t at_ms,
                  const void *data,
                  size_t size)
{
  view_record_t *record = view_record_decode (data, size);

  if (!directory->any_record)
    directory->from_start = directory->from_start || offset == FIRST_OFFSET;
  directory->any_record = true;
  if (record == NULL)
    return ERROR_PROTOCOL;
  if (record->kind == VIEW_RECORD_CHECKPOINT)
    directory_learn (directory, record->view);
  else if (!apply_change (directory, record, at_ms) && !is_stale (directory, record))
    {
      pending_t *pending = g_new0 (pending_t, 1);
      *pending = (pending_t){ at_ms, record };
      g_queue_push_tail (directory->pending, pending);
      if (directory->pending->length > DIRECTORY_PENDING_MAX)
        pending_free (g_queue_pop_head (directory->pending));
      return 0;
    }
  view_record_free (record);
  return 0;
}

void
directory_caught_up (directory_t *directory)
{
  if (!directory->any_record)
    directory->from_start = true;
}

void
directory_learn (directory_t *directory, view_t *view)
{
  GPtrArray *chain = chain_of (directory, view->data_centre);

  if (!chain_put (chain, view))
    return;
  tell (directory, view->data_centre);
  apply_pending (directory);
}

void
directory_each (const directory_t *directory, void (*each) (view_t *view, void *data), void *data)
{
  GHashTableIter iter;
  gpointer chain = NULL;

  g_hash_table_iter_init (&iter, directory->chains);
  while (g_hash_table_iter_next (&iter, NULL, &chain))
    if (chain_last (chain) != NULL)
      each (chain_last (chain), data);
}

static void
add_digest (view_t *view, void *data)
{
  uint64_t *digest = data;

  *digest += hash_string (view->data_centre) * (view_version (view) + 1);
}

uint64_t
directory_digest (const directory_t *directory)
{
  uint64_t digest = 0;

  directory_each (directory, add_digest, &digest);
  return digest;
}
