/* fold.c -- folds the records of the configuration's log into its state
 *
 * Each entry has a last change: its revision while it exists, the offset of
 * its removal while that is remembered, else the floor, which is at least the
 * offset of every removal that was forgotten.  An edit wins if the last change
 * of its entry is not after its base.  So two edits on one base never both
 * win: the first moves the last change to its own offset, which is above any
 * base that was known when the second one was written.
 */
#include "config/fold.h"

#include "base/error.h"

#include <string.h>

const config_rules_t config_rules = { true, true, true };

typedef struct
{
  int64_t offset;
  GBytes *data;
} waiting_t;

struct config_fold_t
{
  config_rules_t rules;
  config_t *config;
  int64_t next;
  int64_t floor;
  bool has_state;
  bool incomplete;
  int64_t first; /* while incomplete: no record before this one can come */
  int64_t seen;  /* while incomplete: the offset after the last record that came */
  int64_t checkpoint_offset;
  GQueue removed;            /* of config_removed_t *, oldest first */
  GHashTable *removed_links; /* removed_key () -> GList * of the queue */
  config_recent_t recent[CONFIG_RECENT_MAX];
  guint recent_count;
  guint recent_begin; /* the oldest one */
  GQueue waiting;     /* of waiting_t * */
  int64_t counts[CONFIG_FOLD_RESULTS];
};

config_fold_t *
config_fold_new (const config_rules_t *rules)
{
  config_fold_t *fold = g_new0 (config_fold_t, 1);
  fold->rules = *rules;
  fold->config = config_new ();
  fold->floor = -1;
  fold->checkpoint_offset = -1;
  g_queue_init (&fold->removed);
  g_queue_init (&fold->waiting);
  fold->removed_links = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return fold;
}

static void
removed_free (gpointer data)
{
  config_removed_t *removed = data;
  g_free (removed->name);
  g_free (removed);
}

static void
waiting_free (gpointer data)
{
  waiting_t *waiting = data;
  g_bytes_unref (waiting->data);
  g_free (waiting);
}

static void
forget_removed (config_fold_t *fold)
{
  g_hash_table_remove_all (fold->removed_links);
  g_queue_clear_full (&fold->removed, removed_free);
}

void
config_fold_free (config_fold_t *fold)
{
  if (fold == NULL)
    return;
  forget_removed (fold);
  g_hash_table_unref (fold->removed_links);
  g_queue_clear_full (&fold->waiting, waiting_free);
  config_unref (fold->config);
  g_free (fold);
}

static char *
removed_key (config_kind_t kind, const char *name)
{
  return g_strdup_printf ("%d/%s", (int) kind, name);
}

/* Returns the revision of a remembered removal, or -1. */
static int64_t
removed_revision (const config_fold_t *fold, config_kind_t kind, const char *name)
{
  if (fold->removed.length == 0)
    return -1;
  char *key = removed_key (kind, name);
  GList *link = g_hash_table_lookup (fold->removed_links, key);
  g_free (key);
  return link ? ((config_removed_t *) link->data)->revision : -1;
}

static void
removed_drop (config_fold_t *fold, config_kind_t kind, const char *name)
{
  if (fold->removed.length == 0)
    return;
  char *key = removed_key (kind, name);
  GList *link = g_hash_table_lookup (fold->removed_links, key);
  if (link)
    {
      removed_free (link->data);
      g_queue_delete_link (&fold->removed, link);
      g_hash_table_remove (fold->removed_links, key);
    }
  g_free (key);
}

/* The floor takes the place of the oldest removal. */
static void
removed_evict (config_fold_t *fold)
{
  const config_removed_t *oldest = g_queue_peek_head (&fold->removed);
  fold->floor = MAX (fold->floor, oldest->revision);
  removed_drop (fold, oldest->kind, oldest->name);
}

static void
removed_add (config_fold_t *fold, config_kind_t kind, const char *name, int64_t revision)
{
  removed_drop (fold, kind, name);
  config_removed_t *removed = g_new (config_removed_t, 1);
  *removed = (config_removed_t){ kind, g_strdup (name), revision };
  g_queue_push_tail (&fold->removed, removed);
  g_hash_table_insert (fold->removed_links, removed_key (kind, name), fold->removed.tail);
  if (fold->removed.length > CONFIG_REMOVED_MAX)
    removed_evict (fold);
}

/* The offset of the last change that the entry can have had. */
static int64_t
last_change (const config_fold_t *fold, config_kind_t kind, const char *name)
{
  const config_entry_t *entry = config_find (fold->config, kind, name);
  if (entry)
    return entry->revision;
  int64_t revision = removed_revision (fold, kind, name);
  return revision >= 0 ? revision : fold->floor;
}

int64_t
config_fold_base (const config_fold_t *fold, config_kind_t kind, const char *name)
{
  const config_entry_t *entry = config_find (fold->config, kind, name);
  return entry ? entry->revision : fold->next - 1;
}

static const config_recent_t *
recent_find (const config_fold_t *fold, const config_id_t *id)
{
  for (guint i = 0; i < fold->recent_count; i++)
    if (memcmp (&fold->recent[i].id, id, sizeof *id) == 0)
      return &fold->recent[i];
  return NULL;
}

static void
recent_add (config_fold_t *fold, const config_recent_t *recent)
{
  if (fold->recent_count < CONFIG_RECENT_MAX)
    {
      fold->recent[fold->recent_count++] = *recent;
      return;
    }
  fold->recent[fold->recent_begin] = *recent;
  fold->recent_begin = (fold->recent_begin + 1) % CONFIG_RECENT_MAX;
}

bool
config_fold_outcome (const config_fold_t *fold, const config_id_t *id, config_recent_t *recent)
{
  const config_recent_t *found = recent_find (fold, id);
  if (found)
    *recent = *found;
  return found != NULL;
}

bool
config_fold_is_stale (const config_fold_t *fold, const config_edit_t *edit)
{
  return last_change (fold, edit->kind, edit->name) > edit->base;
}

/* A base at or after the record's own offset was not read by its author. */
static bool
edits_win (const config_fold_t *fold, const config_edits_t *edits, int64_t offset)
{
  for (guint i = 0; i < edits->edits->len; i++)
    {
      const config_edit_t *edit = &g_array_index (edits->edits, config_edit_t, i);
      if (edit->base >= offset || config_fold_is_stale (fold, edit))
        return false;
    }
  return true;
}

static void
edits_apply (config_fold_t *fold, const config_edits_t *edits, int64_t offset)
{
  for (guint i = 0; i < edits->edits->len; i++)
    {
      const config_edit_t *edit = &g_array_index (edits->edits, config_edit_t, i);
      if (edit->value)
        {
          config_put (&fold->config, edit->value);
          removed_drop (fold, edit->kind, edit->name);
          continue;
        }
      config_remove (&fold->config, edit->kind, edit->name);
      removed_add (fold, edit->kind, edit->name, offset);
    }
  config_set_revision (&fold->config, offset + 1);
  fold->has_state = true;
}

static config_fold_result_t
fold_edits (config_fold_t *fold, const config_edits_t *edits, int64_t offset)
{
  if (fold->rules.check_id && recent_find (fold, &edits->id))
    return CONFIG_FOLD_REPEATED;
  bool wins = !fold->rules.check_base || edits_win (fold, edits, offset);
  if (wins)
    edits_apply (fold, edits, offset);
  config_recent_t recent = { edits->id, wins, offset };
  recent_add (fold, &recent);
  return wins ? CONFIG_FOLD_ACCEPTED : CONFIG_FOLD_LOST;
}

static void fold_waiting (config_fold_t *fold);

/* Replaces the state by CHECKPOINT, if it is newer and leaves no hole before
 * the records that wait. */
static bool
fold_replace (config_fold_t *fold, const config_checkpoint_t *checkpoint)
{
  if (fold->rules.check_offset && checkpoint->next <= fold->next)
    return false;
  if (fold->incomplete && checkpoint->next < fold->first)
    return false;
  config_unref (fold->config);
  fold->config = config_ref (checkpoint->config);
  fold->next = checkpoint->next;
  fold->floor = checkpoint->floor;
  fold->has_state = true;
  forget_removed (fold);
  for (guint i = 0; i < checkpoint->removed->len; i++)
    {
      const config_removed_t *removed = &g_array_index (checkpoint->removed, config_removed_t, i);
      removed_add (fold, removed->kind, removed->name, removed->revision);
    }
  fold->recent_count = 0;
  fold->recent_begin = 0;
  for (guint i = 0; i < checkpoint->recent->len; i++)
    recent_add (fold, &g_array_index (checkpoint->recent, config_recent_t, i));
  fold_waiting (fold);
  if (fold->incomplete)
    fold->next = MAX (fold->next, fold->seen);
  fold->incomplete = false;
  return true;
}

static config_fold_result_t
fold_now (config_fold_t *fold, int64_t offset, const void *data, size_t size)
{
  config_record_t record;
  if (fold->rules.check_offset && offset < fold->next)
    return CONFIG_FOLD_OLD;
  config_fold_result_t result = CONFIG_FOLD_CHECKPOINT;
  if (config_record_parse (data, size, offset, &record) < 0)
    result = CONFIG_FOLD_MALFORMED;
  else if (record.edits)
    result = fold_edits (fold, record.edits, offset);
  else if (record.checkpoint->next > offset)
    result = CONFIG_FOLD_MALFORMED;
  else
    {
      fold->checkpoint_offset = MAX (fold->checkpoint_offset, offset);
      if (!fold->rules.check_offset)
        fold_replace (fold, record.checkpoint);
    }
  fold->next = offset + 1;
  config_record_clear (&record);
  return result;
}

static void
fold_waiting (config_fold_t *fold)
{
  waiting_t *waiting;
  while ((waiting = g_queue_pop_head (&fold->waiting)) != NULL)
    {
      gsize size = 0;
      const void *data = g_bytes_get_data (waiting->data, &size);
      fold->counts[fold_now (fold, waiting->offset, data, size)]++;
      waiting_free (waiting);
    }
}

/* While records are missing: a checkpoint that covers them ends the wait, any
 * other record waits. */
static config_fold_result_t
fold_while_incomplete (config_fold_t *fold, int64_t offset, const void *data, size_t size)
{
  config_record_t record;
  if (config_record_parse (data, size, offset, &record) < 0)
    return CONFIG_FOLD_MALFORMED;
  bool is_checkpoint = record.checkpoint != NULL;
  if (is_checkpoint && record.checkpoint->next <= offset)
    {
      fold->checkpoint_offset = MAX (fold->checkpoint_offset, offset);
      fold_replace (fold, record.checkpoint);
    }
  config_record_clear (&record);
  if (is_checkpoint)
    return CONFIG_FOLD_CHECKPOINT;
  waiting_t *waiting = g_new (waiting_t, 1);
  *waiting = (waiting_t){ offset, g_bytes_new (data, size) };
  g_queue_push_tail (&fold->waiting, waiting);
  if (fold->waiting.length > CONFIG_WAITING_MAX)
    {
      waiting = g_queue_pop_head (&fold->waiting);
      fold->first = waiting->offset + 1;
      waiting_free (waiting);
    }
  return CONFIG_FOLD_WAITING;
}

config_fold_result_t
config_fold_record (config_fold_t *fold, int64_t offset, const void *data, size_t size)
{
  config_fold_result_t result;
  if (!fold->incomplete)
    result = fold_now (fold, offset, data, size);
  else if (offset < fold->seen)
    result = CONFIG_FOLD_OLD;
  else
    {
      fold->seen = offset + 1;
      result = fold_while_incomplete (fold, offset, data, size);
    }
  /* A record that waits is counted when it is folded. */
  if (result != CONFIG_FOLD_WAITING)
    fold->counts[result]++;
  return result;
}

void
config_fold_lost (config_fold_t *fold, int64_t first)
{
  if (first <= fold->next || (fold->incomplete && first <= fold->seen))
    return;
  g_queue_clear_full (&fold->waiting, waiting_free);
  fold->incomplete = true;
  fold->first = first;
  fold->seen = first;
}

int
config_fold_load (config_fold_t *fold, const void *data, size_t size)
{
  config_record_t record;
  int result = config_record_parse (data, size, INT64_MAX, &record);
  if (result < 0)
    return result;
  if (record.checkpoint == NULL)
    result = ERROR_PROTOCOL;
  else if (!fold_replace (fold, record.checkpoint))
    result = ERROR_STALE_BASE;
  config_record_clear (&record);
  return result;
}

bool
config_fold_incomplete (const config_fold_t *fold)
{
  return fold->incomplete;
}

bool
config_fold_has_state (const config_fold_t *fold)
{
  return fold->has_state;
}

int64_t
config_fold_next (const config_fold_t *fold)
{
  return fold->next;
}

int64_t
config_fold_checkpoint_offset (const config_fold_t *fold)
{
  return fold->checkpoint_offset;
}

config_t *
config_fold_config (const config_fold_t *fold)
{
  return fold->config;
}

GBytes *
config_fold_checkpoint (const config_fold_t *fold)
{
  config_checkpoint_t *checkpoint = config_checkpoint_new (fold->next, fold->floor, fold->config);
  for (GList *link = fold->removed.head; link; link = link->next)
    {
      const config_removed_t *removed = link->data;
      config_checkpoint_add_removed (checkpoint, removed->kind, removed->name, removed->revision);
    }
  for (guint i = 0; i < fold->recent_count; i++)
    {
      guint index = (fold->recent_begin + i) % CONFIG_RECENT_MAX;
      g_array_append_val (checkpoint->recent, fold->recent[index]);
    }
  GBytes *record = config_checkpoint_encode (checkpoint);
  config_checkpoint_free (checkpoint);
  return record;
}

int64_t
config_fold_count (const config_fold_t *fold, config_fold_result_t result)
{
  return fold->counts[result];
}
