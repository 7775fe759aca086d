/* publish.c -- reads the configuration from the log and publishes whole lists
 *
 * An append whose answer is lost may have taken effect, may never, or may
 * still.  The record is then looked for in the log and appended again under
 * its id: however many copies there are, the first one decides.
 */
#include "tool/publish.h"

#include "base/clock.h"
#include "base/error.h"
#include "config/stream_buffer.h"
#include "config/list.h"

#include <string.h>

#define READ_WAIT_MS 300
/* An unanswered record is looked for this long before it is appended again. */
#define READ_BACK_MS 2000
#define CHANGED_MAX_CHARS 200

typedef struct
{
  platform_client_t *client;
  config_replica_t *fold;
  stream_buffer_t *feed;
  const config_edits_t *edits; /* NULL until they are known */
  bool seen;                   /* EDITS' id was folded */
  config_outcome_t outcome;
  GString *changed; /* entries of EDITS that others changed */
} reader_t;

/* The edits of a publication that has just lost: which ones came too late? */
static void
note_changed (reader_t *reader)
{
  for (guint i = 0; i < reader->edits->edits->len; i++)
    {
      const config_edit_t *edit = &g_array_index (reader->edits->edits, config_edit_t, i);
      if (!config_replica_is_stale (reader->fold, edit))
        continue;
      const char *separator = reader->changed->len > 0 ? ", " : "";
      if (reader->changed->len > CHANGED_MAX_CHARS)
        {
          g_string_append (reader->changed, ", ...");
          return;
        }
      g_string_append_printf (reader->changed, "%s%s.%s", separator, config_list_name (edit->kind),
                              edit->name);
    }
}

static void
on_record (const log_record_t *record, void *data)
{
  reader_t *reader = data;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (record->data, &size);
  config_replica_apply (reader->fold, record->offset, bytes, size);
  if (reader->edits == NULL || reader->seen)
    return;
  reader->seen = config_replica_find_outcome (reader->fold, &reader->edits->id, &reader->outcome);
  if (reader->seen && !reader->outcome.accepted)
    note_changed (reader);
}

static void
on_lost (int64_t first, void *data)
{
  config_replica_records_lost (((reader_t *) data)->fold, first);
}

static void
reader_init (reader_t *reader, platform_client_t *client, config_replica_t *fold)
{
  stream_buffer_ops_t ops = { on_record, on_lost, reader };
  *reader = (reader_t){ .client = client, .fold = fold };
  reader->changed = g_string_new (NULL);
  reader->feed = stream_buffer_new (&ops, 0);
}

static void
reader_clear (reader_t *reader)
{
  stream_buffer_free (reader->feed);
  g_string_free (reader->changed, TRUE);
}

/* Waits as long as the client wants before a retry, but not past END_AT_MS. */
static void
wait_retry (reader_t *reader, int64_t end_at_ms)
{
  int64_t left_ms = end_at_ms - clock_boot_ms ();
  if (left_ms > 0)
    clock_sleep_ms (MIN (left_ms, platform_retry_delay_ms (reader->client)));
}

/* Reads once.  Returns 1 if the log's end was reached, 0 if there is more. */
static int
read_once (reader_t *reader, int64_t wait_ms, int64_t end_at_ms)
{
  log_batch_t *batch = NULL;
  int64_t timeout_ms = CLAMP (end_at_ms - clock_boot_ms (), 1, PLATFORM_TIMEOUT_MS + wait_ms);
  int result =
      platform_read (reader->client, CONFIG_STREAM, stream_buffer_next_offset (reader->feed),
                     wait_ms, timeout_ms, &batch);
  if (result < 0)
    return result;
  stream_buffer_add (reader->feed, batch);
  bool end = stream_buffer_next_offset (reader->feed) >= batch->end_offset;
  log_batch_free (batch);
  return end ? 1 : 0;
}

/* Reads to the log's end, and on until a host has appended the checkpoint that
 * covers lost records. */
static int
read_to_end (reader_t *reader, int64_t end_at_ms)
{
  bool incomplete = false;
  for (;;)
    {
      if (clock_boot_ms () >= end_at_ms)
        return incomplete ? ERROR_NOT_FOUND : ERROR_TIMEOUT;
      int result = read_once (reader, incomplete ? READ_WAIT_MS : 0, end_at_ms);
      incomplete = config_replica_is_incomplete (reader->fold);
      if (result < 0)
        wait_retry (reader, end_at_ms);
      else if (result == 1 && !incomplete)
        return 0;
    }
}

int
config_read (platform_client_t *client, config_replica_t *fold, int64_t end_at_ms)
{
  reader_t reader;
  reader_init (&reader, client, fold);
  int result = read_to_end (&reader, end_at_ms);
  reader_clear (&reader);
  return result;
}

/* Reads until the record is found or the time is over. */
static void
read_back (reader_t *reader, int64_t end_at_ms)
{
  while (!reader->seen && clock_boot_ms () < end_at_ms)
    if (read_once (reader, READ_WAIT_MS, end_at_ms) < 0)
      wait_retry (reader, end_at_ms);
}

/* Appends RECORD until a copy of it is read back.  Returns 0, or what is known
 * when the time is over. */
static int
append_until_seen (reader_t *reader, GBytes *record, int64_t end_at_ms)
{
  bool may_be_there = false;
  while (!reader->seen && clock_boot_ms () < end_at_ms)
    {
      gsize size = 0;
      const void *data = g_bytes_get_data (record, &size);
      int64_t offset = 0;
      int64_t timeout_ms = CLAMP (end_at_ms - clock_boot_ms (), 1, PLATFORM_TIMEOUT_MS);
      int result = platform_append (reader->client, CONFIG_STREAM, data, size, timeout_ms, &offset);
      may_be_there = may_be_there || result != ERROR_NOT_CONNECTED;
      int64_t until_ms = result == 0 ? end_at_ms : clock_boot_ms () + READ_BACK_MS;
      if (result < 0)
        wait_retry (reader, end_at_ms);
      if (may_be_there)
        read_back (reader, MIN (until_ms, end_at_ms));
    }
  if (reader->seen)
    return 0;
  return may_be_there ? ERROR_UNKNOWN_OUTCOME : ERROR_NOT_CONNECTED;
}

static void
publish_edits (reader_t *reader, int64_t end_at_ms, config_publish_t *outcome)
{
  GBytes *record = config_edits_encode (reader->edits);
  outcome->result = append_until_seen (reader, record, end_at_ms);
  g_bytes_unref (record);
  if (outcome->result < 0)
    return;
  outcome->revision = reader->outcome.offset + 1;
  if (reader->outcome.accepted)
    return;
  outcome->result = ERROR_LOST_RACE;
  outcome->revision = config_revision (config_replica_config (reader->fold));
  if (reader->changed->len > 0)
    outcome->changed = g_strdup (reader->changed->str);
}

void
config_publish (platform_client_t *client,
                GPtrArray *const lists[CONFIG_KINDS],
                const config_publication_id_t *id,
                int64_t end_at_ms,
                config_publish_t *outcome)
{
  reader_t reader;
  config_replica_t *fold = config_replica_new (&config_rules_all);
  *outcome = (config_publish_t){ 0 };
  reader_init (&reader, client, fold);
  outcome->result = read_to_end (&reader, end_at_ms);
  if (outcome->result == 0)
    {
      config_edits_t *edits = config_diff (fold, lists, id);
      outcome->edit_count = edits->edits->len;
      outcome->revision = config_revision (config_replica_config (fold));
      reader.edits = edits;
      if (edits->edits->len > 0)
        publish_edits (&reader, end_at_ms, outcome);
      config_edits_free (edits);
    }
  reader_clear (&reader);
  config_replica_free (fold);
}

void
config_publish_clear (config_publish_t *outcome)
{
  g_free (outcome->changed);
  *outcome = (config_publish_t){ 0 };
}

config_publication_id_t
config_id_random (void)
{
  config_publication_id_t id;
  char *uuid = g_uuid_string_random ();
  int digits = 0;
  memset (&id, 0, sizeof id);
  for (const char *at = uuid; *at && digits < CONFIG_PUBLICATION_ID_BYTES * 2; at++)
    if (g_ascii_isxdigit (*at))
      {
        id.bytes[digits / 2] = (uint8_t) (id.bytes[digits / 2] << 4 | g_ascii_xdigit_value (*at));
        digits++;
      }
  g_free (uuid);
  return id;
}
