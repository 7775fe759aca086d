/* record_msg.c -- encodes and decodes the records of the configuration's log stream */
#include "config/record.h"

#include "base/error.h"
#include "config/validate.h"
#include "wire/frame.h"

#include <string.h>

static void
edit_clear (gpointer data)
{
  config_edit_t *edit = data;
  g_free (edit->name);
  if (edit->entry)
    config_entry_unref (edit->entry);
}

static void
tombstone_clear (gpointer data)
{
  g_free (((config_tombstone_t *) data)->name);
}

config_edits_t *
config_edits_new (const config_publication_id_t *id)
{
  config_edits_t *edits = g_new0 (config_edits_t, 1);
  edits->id = *id;
  edits->edits = g_array_new (FALSE, FALSE, sizeof (config_edit_t));
  g_array_set_clear_func (edits->edits, edit_clear);
  return edits;
}

void
config_edits_free (config_edits_t *edits)
{
  if (edits == NULL)
    return;
  g_array_unref (edits->edits);
  g_free (edits);
}

void
config_edits_add (config_edits_t *edits,
                  config_kind_t kind,
                  const char *name,
                  int64_t base_offset,
                  config_entry_t *entry)
{
  config_edit_t edit = { kind, g_strdup (name), base_offset,
                         entry ? config_entry_ref (entry) : NULL };
  g_array_append_val (edits->edits, edit);
}

config_checkpoint_t *
config_checkpoint_new (int64_t next_offset, int64_t evicted_revision, config_t *config)
{
  config_checkpoint_t *checkpoint = g_new0 (config_checkpoint_t, 1);
  checkpoint->next_offset = next_offset;
  checkpoint->evicted_revision = evicted_revision;
  checkpoint->config = config_ref (config);
  checkpoint->tombstones = g_array_new (FALSE, FALSE, sizeof (config_tombstone_t));
  g_array_set_clear_func (checkpoint->tombstones, tombstone_clear);
  checkpoint->outcomes = g_array_new (FALSE, FALSE, sizeof (config_outcome_t));
  return checkpoint;
}

void
config_checkpoint_free (config_checkpoint_t *checkpoint)
{
  if (checkpoint == NULL)
    return;
  config_unref (checkpoint->config);
  g_array_unref (checkpoint->tombstones);
  g_array_unref (checkpoint->outcomes);
  g_free (checkpoint);
}

void
config_checkpoint_add_tombstone (config_checkpoint_t *checkpoint,
                                 config_kind_t kind,
                                 const char *name,
                                 int64_t revision)
{
  config_tombstone_t tombstone = { kind, g_strdup (name), revision };
  g_array_append_val (checkpoint->tombstones, tombstone);
}

static void
put_entry_value (frame_writer_t *writer, const config_entry_t *entry)
{
  if (entry->kind == CONFIG_PLAN)
    {
      frame_put_string (writer, entry->value.plan);
      return;
    }
  int64_t values[CONFIG_FIELDS];
  config_limit_to_values (entry->value.limit, values);
  for (int i = 0; i < CONFIG_FIELDS; i++)
    frame_put_int (writer, values[i]);
}

/* Reads the value of the entry NAME.  Returns NULL on failure. */
static config_entry_t *
get_entry (frame_reader_t *reader, config_kind_t kind, char *name, int64_t revision)
{
  if (kind == CONFIG_PLAN)
    {
      char *plan = frame_get_string (reader, CONFIG_NAME_MAX_BYTES);
      config_entry_t *entry =
          plan && config_name_valid (plan) ? config_entry_plan (name, plan, revision) : NULL;
      g_free (plan);
      return entry;
    }
  int64_t values[CONFIG_FIELDS];
  bool valid = true;
  for (int i = 0; i < CONFIG_FIELDS; i++)
    {
      values[i] = frame_get_int (reader);
      valid = valid && config_field_valid (&config_fields[i], values[i]);
    }
  if (!valid || !frame_ok (reader))
    return NULL;
  config_limit_t limit = { .plan = name };
  config_limit_from_values (&limit, values);
  return config_entry_limit (&limit, revision);
}

/* Reads a customer or plan name.  Returns NULL on failure. */
static char *
get_valid_name (frame_reader_t *reader)
{
  char *name = frame_get_string (reader, CONFIG_NAME_MAX_BYTES);
  if (name && config_name_valid (name))
    return name;
  g_free (name);
  return NULL;
}

static void
put_edit (frame_writer_t *writer, const config_edit_t *edit)
{
  frame_put_int (writer, edit->kind);
  frame_put_string (writer, edit->name);
  frame_put_int (writer, edit->base_offset);
  frame_put_bool (writer, edit->entry == NULL);
  if (edit->entry)
    put_entry_value (writer, edit->entry);
}

/* Finishes the frame and removes its length prefix, which the log does not need. */
static GBytes *
finish_record (frame_writer_t *writer)
{
  GBytes *frame = frame_finish (writer);
  GBytes *record = g_bytes_new_from_bytes (frame, FRAME_LENGTH_BYTES,
                                           g_bytes_get_size (frame) - FRAME_LENGTH_BYTES);
  g_bytes_unref (frame);
  return record;
}

GBytes *
config_edits_encode (const config_edits_t *edits)
{
  frame_writer_t *writer = frame_begin (CONFIG_RECORD_EDITS);
  frame_put_bytes (writer, edits->id.bytes, CONFIG_PUBLICATION_ID_BYTES);
  frame_put_count (writer, edits->edits->len);
  for (guint i = 0; i < edits->edits->len; i++)
    put_edit (writer, &g_array_index (edits->edits, config_edit_t, i));
  return finish_record (writer);
}

static void
put_entries (frame_writer_t *writer, const config_t *config, config_kind_t kind)
{
  GPtrArray *entries = config_entries (config, kind);
  frame_put_count (writer, entries->len);
  for (guint i = 0; i < entries->len; i++)
    {
      const config_entry_t *entry = entries->pdata[i];
      frame_put_string (writer, entry->name);
      frame_put_int (writer, entry->revision);
      put_entry_value (writer, entry);
    }
  g_ptr_array_unref (entries);
}

GBytes *
config_checkpoint_encode (const config_checkpoint_t *checkpoint)
{
  frame_writer_t *writer = frame_begin (CONFIG_RECORD_CHECKPOINT);
  frame_put_int (writer, checkpoint->next_offset);
  frame_put_int (writer, checkpoint->evicted_revision);
  frame_put_int (writer, config_revision (checkpoint->config));
  put_entries (writer, checkpoint->config, CONFIG_PLAN);
  put_entries (writer, checkpoint->config, CONFIG_LIMIT);
  frame_put_count (writer, checkpoint->tombstones->len);
  for (guint i = 0; i < checkpoint->tombstones->len; i++)
    {
      const config_tombstone_t *tombstone =
          &g_array_index (checkpoint->tombstones, config_tombstone_t, i);
      frame_put_int (writer, tombstone->kind);
      frame_put_string (writer, tombstone->name);
      frame_put_int (writer, tombstone->revision);
    }
  frame_put_count (writer, checkpoint->outcomes->len);
  for (guint i = 0; i < checkpoint->outcomes->len; i++)
    {
      const config_outcome_t *outcome = &g_array_index (checkpoint->outcomes, config_outcome_t, i);
      frame_put_bytes (writer, outcome->id.bytes, CONFIG_PUBLICATION_ID_BYTES);
      frame_put_bool (writer, outcome->accepted);
      frame_put_int (writer, outcome->offset);
    }
  return finish_record (writer);
}

static bool
get_edit (frame_reader_t *reader, int64_t offset, config_edits_t *edits)
{
  config_kind_t kind = (config_kind_t) frame_get_range (reader, CONFIG_PLAN, CONFIG_LIMIT);
  char *name = get_valid_name (reader);
  int64_t base_offset = frame_get_range (reader, -1, INT64_MAX);
  bool removal = frame_get_bool (reader);
  config_entry_t *entry = NULL;
  if (name && !removal)
    entry = get_entry (reader, kind, name, offset);
  bool valid = name != NULL && frame_ok (reader) && (removal || entry != NULL);
  if (valid)
    config_edits_add (edits, kind, name, base_offset, entry);
  if (entry)
    config_entry_unref (entry);
  g_free (name);
  return valid;
}

static bool
get_edits (frame_reader_t *reader, int64_t offset, config_record_t *record)
{
  config_publication_id_t id;
  frame_get_fixed (reader, id.bytes, CONFIG_PUBLICATION_ID_BYTES);
  size_t count = frame_get_count (reader, CONFIG_RECORD_EDITS_MAX);
  record->edits = config_edits_new (&id);
  for (size_t i = 0; i < count; i++)
    if (!get_edit (reader, offset, record->edits))
      return false;
  return frame_ok (reader);
}

static bool
get_entries (frame_reader_t *reader, config_kind_t kind, int64_t next_offset, config_t **config)
{
  size_t count = frame_get_count (reader, CONFIG_RECORD_ENTRIES_MAX);
  for (size_t i = 0; i < count; i++)
    {
      char *name = get_valid_name (reader);
      int64_t revision = frame_get_range (reader, 0, next_offset - 1);
      config_entry_t *entry = name ? get_entry (reader, kind, name, revision) : NULL;
      g_free (name);
      if (entry == NULL)
        return false;
      config_put (config, entry);
      config_entry_unref (entry);
    }
  return frame_ok (reader);
}

static bool
get_tombstones (frame_reader_t *reader, config_checkpoint_t *checkpoint)
{
  size_t count = frame_get_count (reader, CONFIG_RECORD_ENTRIES_MAX);
  for (size_t i = 0; i < count; i++)
    {
      config_kind_t kind = (config_kind_t) frame_get_range (reader, CONFIG_PLAN, CONFIG_LIMIT);
      char *name = get_valid_name (reader);
      int64_t revision = frame_get_range (reader, 0, checkpoint->next_offset - 1);
      if (name)
        config_checkpoint_add_tombstone (checkpoint, kind, name, revision);
      g_free (name);
      if (name == NULL || !frame_ok (reader))
        return false;
    }
  return frame_ok (reader);
}

static bool
get_outcomes (frame_reader_t *reader, config_checkpoint_t *checkpoint)
{
  size_t count = frame_get_count (reader, CONFIG_RECORD_OUTCOMES_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      config_outcome_t outcome;
      memset (&outcome, 0, sizeof outcome);
      frame_get_fixed (reader, outcome.id.bytes, CONFIG_PUBLICATION_ID_BYTES);
      outcome.accepted = frame_get_bool (reader);
      outcome.offset = frame_get_range (reader, 0, checkpoint->next_offset - 1);
      g_array_append_val (checkpoint->outcomes, outcome);
    }
  return frame_ok (reader);
}

static bool
get_checkpoint (frame_reader_t *reader, config_record_t *record)
{
  int64_t next_offset = frame_get_range (reader, 0, INT64_MAX - 1);
  int64_t evicted_revision = frame_get_range (reader, -1, next_offset);
  int64_t revision = frame_get_range (reader, 0, next_offset);
  config_t *config = config_new ();
  bool valid = frame_ok (reader) && get_entries (reader, CONFIG_PLAN, next_offset, &config)
               && get_entries (reader, CONFIG_LIMIT, next_offset, &config);
  config_set_revision (&config, revision);
  record->checkpoint = config_checkpoint_new (next_offset, evicted_revision, config);
  config_unref (config);
  return valid && get_tombstones (reader, record->checkpoint)
         && get_outcomes (reader, record->checkpoint);
}

int
config_record_parse (const void *data, size_t size, int64_t offset, config_record_t *record)
{
  frame_reader_t *reader = NULL;
  *record = (config_record_t){ 0 };
  if (frame_parse (data, size, &reader) < 0)
    return ERROR_PROTOCOL;
  bool valid = false;
  if (frame_type (reader) == CONFIG_RECORD_EDITS)
    valid = get_edits (reader, offset, record);
  else if (frame_type (reader) == CONFIG_RECORD_CHECKPOINT)
    valid = get_checkpoint (reader, record);
  frame_reader_free (reader);
  if (valid)
    return 0;
  config_record_clear (record);
  return ERROR_PROTOCOL;
}

void
config_record_clear (config_record_t *record)
{
  config_edits_free (record->edits);
  config_checkpoint_free (record->checkpoint);
  *record = (config_record_t){ 0 };
}
