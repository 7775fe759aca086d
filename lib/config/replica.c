/* replica.c -- applies the records of the configuration's log to its state
 *
 * The offset of an entry's last change is its revision if the entry exists, the
 * revision of its tombstone if it was removed and the tombstone is still kept,
 * and otherwise evicted_revision, which is at least the offset of every removal
 * whose tombstone was evicted.  An edit is accepted if that offset is not after
 * its base offset.
 *
 * Two edits of one entry with the same base offset are therefore never both
 * accepted: the first one moves the entry's last change to its own offset, which
 * is higher than the base offset of the second.
 */
#include "config/replica.h"

#include "base/error.h"

#include <string.h>

const config_rules_t config_rules_all = { true, true, true };

typedef struct
{
  int64_t offset;
  GBytes *data;
} deferred_t;

struct config_replica_t
{
  config_rules_t rules;
  config_t *config;
  int64_t next_offset;
  int64_t evicted_revision;
  bool has_state;
  bool incomplete;
  int64_t first_available; /* while incomplete: no record before this offset is available */
  int64_t received_end;    /* while incomplete: the offset after the last record received */
  int64_t checkpoint_offset;
  GQueue tombstones;           /* of config_tombstone_t *, oldest first */
  GHashTable *tombstone_links; /* tombstone_key () -> GList * of the queue */
  config_outcome_t outcomes[CONFIG_OUTCOMES_MAX];
  guint outcome_count;
  guint oldest_outcome; /* index of the oldest outcome once the ring is full */
  GQueue deferred;      /* of deferred_t *, in the order of offsets */
  int64_t counts[CONFIG_APPLY_RESULTS];
};

config_replica_t *
config_replica_new (const config_rules_t *rules)
{
  config_replica_t *replica = g_new0 (config_replica_t, 1);
  replica->rules = *rules;
  replica->config = config_new ();
  replica->evicted_revision = -1;
  replica->checkpoint_offset = -1;
  g_queue_init (&replica->tombstones);
  g_queue_init (&replica->deferred);
  replica->tombstone_links = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return replica;
}

static void
tombstone_free (gpointer data)
{
  config_tombstone_t *tombstone = data;
  g_free (tombstone->name);
  g_free (tombstone);
}

static void
deferred_free (gpointer data)
{
  deferred_t *deferred = data;
  g_bytes_unref (deferred->data);
  g_free (deferred);
}

static void
tombstones_clear (config_replica_t *replica)
{
  g_hash_table_remove_all (replica->tombstone_links);
  g_queue_clear_full (&replica->tombstones, tombstone_free);
}

void
config_replica_free (config_replica_t *replica)
{
  if (replica == NULL)
    return;
  tombstones_clear (replica);
  g_hash_table_unref (replica->tombstone_links);
  g_queue_clear_full (&replica->deferred, deferred_free);
  config_unref (replica->config);
  g_free (replica);
}

static char *
tombstone_key (config_kind_t kind, const char *name)
{
  return g_strdup_printf ("%d/%s", (int) kind, name);
}

/* Returns the offset of the entry's removal, or -1 if there is no tombstone. */
static int64_t
tombstone_revision (const config_replica_t *replica, config_kind_t kind, const char *name)
{
  if (replica->tombstones.length == 0)
    return -1;
  char *key = tombstone_key (kind, name);
  GList *link = g_hash_table_lookup (replica->tombstone_links, key);
  g_free (key);
  return link ? ((config_tombstone_t *) link->data)->revision : -1;
}

static void
tombstone_remove (config_replica_t *replica, config_kind_t kind, const char *name)
{
  if (replica->tombstones.length == 0)
    return;
  char *key = tombstone_key (kind, name);
  GList *link = g_hash_table_lookup (replica->tombstone_links, key);
  if (link)
    {
      tombstone_free (link->data);
      g_queue_delete_link (&replica->tombstones, link);
      g_hash_table_remove (replica->tombstone_links, key);
    }
  g_free (key);
}

/* Removes the oldest tombstone.  evicted_revision then covers its removal. */
static void
tombstone_evict_oldest (config_replica_t *replica)
{
  const config_tombstone_t *oldest = g_queue_peek_head (&replica->tombstones);
  replica->evicted_revision = MAX (replica->evicted_revision, oldest->revision);
  tombstone_remove (replica, oldest->kind, oldest->name);
}

static void
tombstone_add (config_replica_t *replica, config_kind_t kind, const char *name, int64_t revision)
{
  tombstone_remove (replica, kind, name);
  config_tombstone_t *tombstone = g_new (config_tombstone_t, 1);
  *tombstone = (config_tombstone_t){ kind, g_strdup (name), revision };
  g_queue_push_tail (&replica->tombstones, tombstone);
  g_hash_table_insert (replica->tombstone_links, tombstone_key (kind, name),
                       replica->tombstones.tail);
  if (replica->tombstones.length > CONFIG_TOMBSTONES_MAX)
    tombstone_evict_oldest (replica);
}

/* Returns the offset of the entry's last change, or an upper bound of it if the
 * entry's tombstone was evicted. */
static int64_t
last_change_offset (const config_replica_t *replica, config_kind_t kind, const char *name)
{
  const config_entry_t *entry = config_find (replica->config, kind, name);
  if (entry)
    return entry->revision;
  int64_t revision = tombstone_revision (replica, kind, name);
  return revision >= 0 ? revision : replica->evicted_revision;
}

int64_t
config_replica_base_offset (const config_replica_t *replica, config_kind_t kind, const char *name)
{
  const config_entry_t *entry = config_find (replica->config, kind, name);
  return entry ? entry->revision : replica->next_offset - 1;
}

static const config_outcome_t *
outcome_find (const config_replica_t *replica, const config_publication_id_t *id)
{
  for (guint i = 0; i < replica->outcome_count; i++)
    if (memcmp (&replica->outcomes[i].id, id, sizeof *id) == 0)
      return &replica->outcomes[i];
  return NULL;
}

static void
outcome_add (config_replica_t *replica, const config_outcome_t *outcome)
{
  if (replica->outcome_count < CONFIG_OUTCOMES_MAX)
    {
      replica->outcomes[replica->outcome_count++] = *outcome;
      return;
    }
  replica->outcomes[replica->oldest_outcome] = *outcome;
  replica->oldest_outcome = (replica->oldest_outcome + 1) % CONFIG_OUTCOMES_MAX;
}

bool
config_replica_find_outcome (const config_replica_t *replica,
                             const config_publication_id_t *id,
                             config_outcome_t *outcome)
{
  const config_outcome_t *found = outcome_find (replica, id);
  if (found)
    *outcome = *found;
  return found != NULL;
}

bool
config_replica_is_stale (const config_replica_t *replica, const config_edit_t *edit)
{
  return last_change_offset (replica, edit->kind, edit->name) > edit->base_offset;
}

/* True if no entry has changed after the base offset of its edit.  A base offset
 * at or after the record's own offset is rejected: its author cannot have read
 * the log that far. */
static bool
edits_are_current (const config_replica_t *replica, const config_edits_t *edits, int64_t offset)
{
  for (guint i = 0; i < edits->edits->len; i++)
    {
      const config_edit_t *edit = &g_array_index (edits->edits, config_edit_t, i);
      if (edit->base_offset >= offset || config_replica_is_stale (replica, edit))
        return false;
    }
  return true;
}

static void
edits_commit (config_replica_t *replica, const config_edits_t *edits, int64_t offset)
{
  for (guint i = 0; i < edits->edits->len; i++)
    {
      const config_edit_t *edit = &g_array_index (edits->edits, config_edit_t, i);
      if (edit->entry)
        {
          config_put (&replica->config, edit->entry);
          tombstone_remove (replica, edit->kind, edit->name);
          continue;
        }
      config_remove (&replica->config, edit->kind, edit->name);
      tombstone_add (replica, edit->kind, edit->name, offset);
    }
  config_set_revision (&replica->config, offset + 1);
  replica->has_state = true;
}

static config_apply_result_t
apply_edits (config_replica_t *replica, const config_edits_t *edits, int64_t offset)
{
  if (replica->rules.check_id && outcome_find (replica, &edits->id))
    return CONFIG_APPLY_DUPLICATE;
  bool accepted = !replica->rules.check_base || edits_are_current (replica, edits, offset);
  if (accepted)
    edits_commit (replica, edits, offset);
  config_outcome_t outcome = { edits->id, accepted, offset };
  outcome_add (replica, &outcome);
  return accepted ? CONFIG_APPLY_ACCEPTED : CONFIG_APPLY_CONFLICT;
}

static void apply_deferred (config_replica_t *replica);

/* Replaces the state by CHECKPOINT and applies the deferred records.  Returns
 * false if the checkpoint is not newer than the state, or if it would leave a gap
 * before the deferred records. */
static bool
replace_state (config_replica_t *replica, const config_checkpoint_t *checkpoint)
{
  if (replica->rules.check_offset && checkpoint->next_offset <= replica->next_offset)
    return false;
  if (replica->incomplete && checkpoint->next_offset < replica->first_available)
    return false;
  config_unref (replica->config);
  replica->config = config_ref (checkpoint->config);
  replica->next_offset = checkpoint->next_offset;
  replica->evicted_revision = checkpoint->evicted_revision;
  replica->has_state = true;
  tombstones_clear (replica);
  for (guint i = 0; i < checkpoint->tombstones->len; i++)
    {
      const config_tombstone_t *tombstone =
          &g_array_index (checkpoint->tombstones, config_tombstone_t, i);
      tombstone_add (replica, tombstone->kind, tombstone->name, tombstone->revision);
    }
  replica->outcome_count = 0;
  replica->oldest_outcome = 0;
  for (guint i = 0; i < checkpoint->outcomes->len; i++)
    outcome_add (replica, &g_array_index (checkpoint->outcomes, config_outcome_t, i));
  apply_deferred (replica);
  if (replica->incomplete)
    replica->next_offset = MAX (replica->next_offset, replica->received_end);
  replica->incomplete = false;
  return true;
}

static config_apply_result_t
apply_now (config_replica_t *replica, int64_t offset, const void *data, size_t size)
{
  config_record_t record;
  if (replica->rules.check_offset && offset < replica->next_offset)
    return CONFIG_APPLY_STALE;
  config_apply_result_t result = CONFIG_APPLY_CHECKPOINT;
  if (config_record_parse (data, size, offset, &record) < 0)
    result = CONFIG_APPLY_MALFORMED;
  else if (record.edits)
    result = apply_edits (replica, record.edits, offset);
  else if (record.checkpoint->next_offset > offset)
    result = CONFIG_APPLY_MALFORMED;
  else
    {
      replica->checkpoint_offset = MAX (replica->checkpoint_offset, offset);
      if (!replica->rules.check_offset)
        replace_state (replica, record.checkpoint);
    }
  replica->next_offset = offset + 1;
  config_record_clear (&record);
  return result;
}

static void
apply_deferred (config_replica_t *replica)
{
  deferred_t *deferred;
  while ((deferred = g_queue_pop_head (&replica->deferred)) != NULL)
    {
      gsize size = 0;
      const void *data = g_bytes_get_data (deferred->data, &size);
      replica->counts[apply_now (replica, deferred->offset, data, size)]++;
      deferred_free (deferred);
    }
}

/* Handles a record while earlier ones are missing: a checkpoint that covers the
 * missing records replaces the state, edits are deferred. */
static config_apply_result_t
apply_while_incomplete (config_replica_t *replica, int64_t offset, const void *data, size_t size)
{
  config_record_t record;
  if (config_record_parse (data, size, offset, &record) < 0)
    return CONFIG_APPLY_MALFORMED;
  bool is_checkpoint = record.checkpoint != NULL;
  if (is_checkpoint && record.checkpoint->next_offset <= offset)
    {
      replica->checkpoint_offset = MAX (replica->checkpoint_offset, offset);
      replace_state (replica, record.checkpoint);
    }
  config_record_clear (&record);
  if (is_checkpoint)
    return CONFIG_APPLY_CHECKPOINT;
  deferred_t *deferred = g_new (deferred_t, 1);
  *deferred = (deferred_t){ offset, g_bytes_new (data, size) };
  g_queue_push_tail (&replica->deferred, deferred);
  if (replica->deferred.length > CONFIG_DEFERRED_MAX)
    {
      deferred = g_queue_pop_head (&replica->deferred);
      replica->first_available = deferred->offset + 1;
      deferred_free (deferred);
    }
  return CONFIG_APPLY_DEFERRED;
}

config_apply_result_t
config_replica_apply (config_replica_t *replica, int64_t offset, const void *data, size_t size)
{
  config_apply_result_t result;
  if (!replica->incomplete)
    result = apply_now (replica, offset, data, size);
  else if (offset < replica->received_end)
    result = CONFIG_APPLY_STALE;
  else
    {
      replica->received_end = offset + 1;
      result = apply_while_incomplete (replica, offset, data, size);
    }
  /* A deferred record is counted when it is applied. */
  if (result != CONFIG_APPLY_DEFERRED)
    replica->counts[result]++;
  return result;
}

void
config_replica_records_lost (config_replica_t *replica, int64_t first_offset)
{
  if (first_offset <= replica->next_offset
      || (replica->incomplete && first_offset <= replica->received_end))
    return;
  g_queue_clear_full (&replica->deferred, deferred_free);
  replica->incomplete = true;
  replica->first_available = first_offset;
  replica->received_end = first_offset;
}

int
config_replica_load_checkpoint (config_replica_t *replica, const void *data, size_t size)
{
  config_record_t record;
  int result = config_record_parse (data, size, INT64_MAX, &record);
  if (result < 0)
    return result;
  if (record.checkpoint == NULL)
    result = ERROR_PROTOCOL;
  else if (!replace_state (replica, record.checkpoint))
    result = ERROR_STALE_BASE;
  config_record_clear (&record);
  return result;
}

bool
config_replica_is_incomplete (const config_replica_t *replica)
{
  return replica->incomplete;
}

bool
config_replica_has_state (const config_replica_t *replica)
{
  return replica->has_state;
}

int64_t
config_replica_next_offset (const config_replica_t *replica)
{
  return replica->next_offset;
}

int64_t
config_replica_checkpoint_offset (const config_replica_t *replica)
{
  return replica->checkpoint_offset;
}

config_t *
config_replica_config (const config_replica_t *replica)
{
  return replica->config;
}

GBytes *
config_replica_encode_checkpoint (const config_replica_t *replica)
{
  config_checkpoint_t *checkpoint =
      config_checkpoint_new (replica->next_offset, replica->evicted_revision, replica->config);
  for (GList *link = replica->tombstones.head; link; link = link->next)
    {
      const config_tombstone_t *tombstone = link->data;
      config_checkpoint_add_tombstone (checkpoint, tombstone->kind, tombstone->name,
                                       tombstone->revision);
    }
  for (guint i = 0; i < replica->outcome_count; i++)
    {
      guint index = (replica->oldest_outcome + i) % CONFIG_OUTCOMES_MAX;
      g_array_append_val (checkpoint->outcomes, replica->outcomes[index]);
    }
  GBytes *record = config_checkpoint_encode (checkpoint);
  config_checkpoint_free (checkpoint);
  return record;
}

int64_t
config_replica_count (const config_replica_t *replica, config_apply_result_t result)
{
  return replica->counts[result];
}
