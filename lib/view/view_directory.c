/* view_directory.c -- decoding of view records and the history of views per data centre */
#include "view/view_directory.h"

#include "base/error.h"
#include "base/hash.h"

#include <string.h>

/* Offset of the first record of a stream. */
#define FIRST_OFFSET 0

typedef struct
{
  int64_t recorded_at_ms;
  view_record_t *record;
} pending_record_t;

struct view_directory_t
{
  view_directory_changed_t changed;
  void *data;
  GHashTable *histories; /* data centre -> GPtrArray of view_t, by ascending number */
  GQueue *pending;       /* pending_record_t, in log order */
  bool record_seen;
  bool read_from_start; /* no record of the stream was missed */
};

/* --- records ------------------------------------------------------------------ */

GBytes *
view_record_change (const char *data_centre, int64_t base_number, const GPtrArray *members)
{
  frame_writer_t *writer = frame_begin (VIEW_RECORD_CHANGE);

  frame_put_string (writer, data_centre);
  frame_put_int (writer, base_number);
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
change_get (frame_reader_t *reader, view_record_t *record)
{
  record->data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  record->base_number = frame_get_range (reader, 0, INT64_MAX - 1);
  record->members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  size_t count = frame_get_count (reader, VIEW_SLOTS_MAX);
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
checkpoint_get (frame_reader_t *reader, view_record_t *record)
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
        valid = change_get (reader, record);
      else if (record->kind == VIEW_RECORD_CHECKPOINT)
        valid = checkpoint_get (reader, record);
      valid = valid && frame_ok (reader);
      frame_reader_free (reader);
    }
  if (valid)
    return record;
  view_record_free (record);
  return NULL;
}

/* --- view histories ------------------------------------------------------------- */

static void
pending_record_free (pending_record_t *pending)
{
  view_record_free (pending->record);
  g_free (pending);
}

view_directory_t *
view_directory_new (view_directory_changed_t changed, void *data)
{
  view_directory_t *directory = g_new0 (view_directory_t, 1);

  directory->changed = changed;
  directory->data = data;
  directory->histories =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_ptr_array_unref);
  directory->pending = g_queue_new ();
  return directory;
}

void
view_directory_free (view_directory_t *directory)
{
  g_hash_table_unref (directory->histories);
  g_queue_free_full (directory->pending, (GDestroyNotify) pending_record_free);
  g_free (directory);
}

static GPtrArray *
history_get (view_directory_t *directory, const char *data_centre)
{
  GPtrArray *history = g_hash_table_lookup (directory->histories, data_centre);

  if (history == NULL)
    {
      history = g_ptr_array_new_with_free_func ((GDestroyNotify) view_unref);
      g_hash_table_insert (directory->histories, g_strdup (data_centre), history);
    }
  return history;
}

static view_t *
history_newest (const GPtrArray *history)
{
  return history->len > 0 ? g_ptr_array_index (history, history->len - 1) : NULL;
}

view_t *
view_directory_newest (const view_directory_t *directory, const char *data_centre)
{
  const GPtrArray *history = g_hash_table_lookup (directory->histories, data_centre);

  return history != NULL ? history_newest (history) : NULL;
}

view_t *
view_directory_find (const view_directory_t *directory, const char *data_centre, int64_t number)
{
  const GPtrArray *history = g_hash_table_lookup (directory->histories, data_centre);

  for (guint i = 0; history != NULL && i < history->len; i++)
    {
      view_t *view = g_ptr_array_index (history, i);
      if (view->number == number)
        return view;
    }
  return NULL;
}

static void
notify_changed (view_directory_t *directory, const char *data_centre)
{
  view_t *view = view_directory_newest (directory, data_centre);

  directory->changed (view, view_directory_find (directory, data_centre, view->number - 1),
                      directory->data);
}

/* Merges the slot epochs of VIEW into the view at INDEX, which has the same number.
 * Returns true if that changed the stored view. */
static bool
history_merge (GPtrArray *history, guint index, view_t *view)
{
  view_t *known = g_ptr_array_index (history, index);
  view_t *merged = view_merge (known, view);

  if (merged == known)
    {
      view_unref (merged);
      return false;
    }
  history->pdata[index] = merged;
  view_unref (known);
  return true;
}

/* Inserts VIEW at its place by number, or merges it into the view with the same number.
 * Returns true if HISTORY has changed: a view older than a full history is ignored. */
static bool
history_insert (GPtrArray *history, view_t *view)
{
  guint position = history->len;

  while (position > 0
         && ((view_t *) g_ptr_array_index (history, position - 1))->number > view->number)
    position--;
  if (position > 0
      && ((view_t *) g_ptr_array_index (history, position - 1))->number == view->number)
    return history_merge (history, position - 1, view);
  if (position == 0 && history->len >= VIEW_DIRECTORY_HISTORY_MAX)
    return false;
  g_ptr_array_insert (history, (gint) position, view_ref (view));
  if (history->len > VIEW_DIRECTORY_HISTORY_MAX)
    g_ptr_array_remove_index (history, 0);
  return true;
}

/* Appends the view that RECORD describes if its base is the newest view.  Without a view,
 * the record applies only if no earlier record was missed.  Returns true if it was
 * applied. */
static bool
apply_change (view_directory_t *directory, const view_record_t *record, int64_t recorded_at_ms)
{
  view_t *newest = view_directory_newest (directory, record->data_centre);
  int64_t number = newest != NULL ? newest->number : 0;

  if (record->base_number != number || (newest == NULL && !directory->read_from_start))
    return false;
  view_t *view = view_new (record->data_centre, number + 1, recorded_at_ms, record->members);
  history_insert (history_get (directory, record->data_centre), view);
  view_unref (view);
  notify_changed (directory, record->data_centre);
  return true;
}

static bool
is_stale (const view_directory_t *directory, const view_record_t *record)
{
  const view_t *newest = view_directory_newest (directory, record->data_centre);

  return newest != NULL && record->base_number < newest->number;
}

/* Applies the pending records that build on the newest views, in log order, and discards
 * those whose base has been replaced. */
static void
apply_pending (view_directory_t *directory)
{
  GList *item = directory->pending->head;

  while (item != NULL)
    {
      pending_record_t *pending = item->data;
      GList *next = item->next;
      if (apply_change (directory, pending->record, pending->recorded_at_ms)
          || is_stale (directory, pending->record))
        {
          pending_record_free (pending);
          g_queue_delete_link (directory->pending, item);
        }
      item = next;
    }
}

int
view_directory_apply_record (view_directory_t *directory,
                             int64_t offset,
                             int64_t recorded_at_ms,
                             const void *data,
                             size_t size)
{
  view_record_t *record = view_record_decode (data, size);

  if (!directory->record_seen)
    directory->read_from_start = directory->read_from_start || offset == FIRST_OFFSET;
  directory->record_seen = true;
  if (record == NULL)
    return ERROR_PROTOCOL;
  if (record->kind == VIEW_RECORD_CHECKPOINT)
    view_directory_merge (directory, record->view);
  else if (!apply_change (directory, record, recorded_at_ms) && !is_stale (directory, record))
    {
      pending_record_t *pending = g_new0 (pending_record_t, 1);
      *pending = (pending_record_t){ recorded_at_ms, record };
      g_queue_push_tail (directory->pending, pending);
      if (directory->pending->length > VIEW_DIRECTORY_PENDING_MAX)
        pending_record_free (g_queue_pop_head (directory->pending));
      return 0;
    }
  view_record_free (record);
  return 0;
}

void
view_directory_stream_end (view_directory_t *directory)
{
  if (!directory->record_seen)
    directory->read_from_start = true;
}

void
view_directory_merge (view_directory_t *directory, view_t *view)
{
  GPtrArray *history = history_get (directory, view->data_centre);

  if (!history_insert (history, view))
    return;
  notify_changed (directory, view->data_centre);
  apply_pending (directory);
}

void
view_directory_foreach (const view_directory_t *directory,
                        void (*each) (view_t *view, void *data),
                        void *data)
{
  GHashTableIter iter;
  gpointer history = NULL;

  g_hash_table_iter_init (&iter, directory->histories);
  while (g_hash_table_iter_next (&iter, NULL, &history))
    if (history_newest (history) != NULL)
      each (history_newest (history), data);
}

static void
add_digest (view_t *view, void *data)
{
  uint64_t *digest = data;

  *digest += hash_string (view->data_centre) * (view_version (view) + 1);
}

uint64_t
view_directory_digest (const view_directory_t *directory)
{
  uint64_t digest = 0;

  view_directory_foreach (directory, add_digest, &digest);
  return digest;
}
