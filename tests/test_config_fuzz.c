/* test_config_fuzz.c -- parsers of records, messages, answers and lists on damaged input
 *
 *   test_config_fuzz             the default seed and number of inputs
 *   test_config_fuzz SEED COUNT  a longer run
 */
#include "config/config_msg.h"
#include "config/replica.h"
#include "config/hosts_msg.h"
#include "config/list.h"
#include "platform/batch.h"
#include "platform/hosts.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_SEED 20261205
#define DEFAULT_ROUNDS 200000
#define CHANGES_MAX 4
#define REPEAT_MAX_BYTES 8

static guint32 seed = DEFAULT_SEED;
static gint rounds = DEFAULT_ROUNDS;

typedef void (*consume_fn_t) (const guint8 *data, gsize size);

static void
consume_record (const guint8 *data, gsize size)
{
  config_record_t record;
  if (config_record_parse (data, size, 1000, &record) == 0)
    config_record_clear (&record);
}

/* The next offset must advance past any record, valid or not. */
static void
consume_replica (const guint8 *data, gsize size)
{
  config_replica_t *replica = config_replica_new (&config_rules_all);
  config_replica_apply (replica, 500, data, size);
  config_replica_records_lost (replica, 600);
  config_replica_apply (replica, 700, data, size);
  config_replica_load_checkpoint (replica, data, size);
  CU_ASSERT (config_replica_next_offset (replica) >= 501);
  config_replica_free (replica);
}

static GPtrArray *example_host_list (bool leaving);

static void
consume_host_list (frame_reader_t *reader)
{
  GPtrArray *own = example_host_list (true);
  hosts_snapshot_t snapshot = { { 1, 1 }, hosts_list_digest (own), own };
  hosts_version_t version;
  uint64_t digest = 0;
  GPtrArray *list = NULL;
  if (hosts_msg_decode (reader, &snapshot, &version, &digest, &list) == HOSTS_MSG_LIST)
    {
      CU_ASSERT_EQUAL (hosts_list_digest (list), digest);
      g_ptr_array_unref (list);
    }
  g_ptr_array_unref (own);
}

static void
consume_message (const guint8 *data, gsize size)
{
  frame_reader_t *reader = NULL;
  if (size < FRAME_LENGTH_BYTES
      || frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader) < 0)
    return;
  config_progress_t *progress = NULL;
  char *stream = NULL;
  log_batch_t *batch = NULL;
  hosts_version_t version;
  const void *body = NULL;
  size_t body_size = 0;
  uint64_t digest = 0;
  switch (frame_type (reader))
    {
    case CONFIG_MSG_HEARTBEAT:
    case CONFIG_MSG_PULL:
      if (config_msg_get_progress (reader, &progress))
        config_progress_free (progress);
      break;
    case CONFIG_MSG_RECORDS:
      if (config_msg_get_records (reader, &stream, &batch))
        {
          g_free (stream);
          log_batch_free (batch);
        }
      break;
    case CONFIG_MSG_STATE:
      config_msg_get_state (reader, &body, &body_size);
      break;
    case CONFIG_MSG_HOSTS:
      consume_host_list (reader);
      break;
    default:
      config_msg_get_hosts_unchanged (reader, &version, &digest);
      break;
    }
  frame_reader_free (reader);
}

static void
consume_batch (const guint8 *data, gsize size)
{
  log_batch_t *batch = NULL;
  if (log_batch_parse ((const char *) data, size, 3, &batch) < 0)
    return;
  int64_t last = 2;
  for (guint i = 0; i < batch->records->len; i++)
    {
      const log_record_t *record = &g_array_index (batch->records, log_record_t, i);
      CU_ASSERT (record->offset > last && record->offset < batch->end_offset);
      last = record->offset;
    }
  CU_ASSERT (batch->next_offset > last);
  log_batch_free (batch);
}

static void
consume_hosts (const guint8 *data, gsize size)
{
  GPtrArray *hosts = NULL;
  int32_t skipped = 0;
  if (hosts_parse ((const char *) data, size, &hosts, &skipped) < 0)
    return;
  for (guint i = 0; i < hosts->len; i++)
    {
      const host_t *host = hosts->pdata[i];
      CU_ASSERT (*host->id && *host->data_centre && host->rack && host->slots >= 0);
    }
  g_ptr_array_unref (hosts);
}

static void
consume_list (const guint8 *data, gsize size)
{
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    {
      GPtrArray *entries = NULL;
      char *message = NULL;
      int result = config_list_parse ("f", (const char *) data, size, (config_kind_t) kind,
                                      &entries, &message);
      CU_ASSERT (result == 0 ? entries != NULL : message != NULL);
      g_clear_pointer (&entries, g_ptr_array_unref);
      g_free (message);
    }
}

/* Valid examples, which the test damages. */

static config_replica_t *
example_replica (void)
{
  config_replica_t *replica = config_replica_new (&config_rules_all);
  config_limit_t limit = { "gold", 64, CONFIG_NO_LIMIT, 1, 1000, 999000 };
  config_publication_id_t id = { "an id of 16 byte" };
  config_edits_t *edits = config_edits_new (&id);
  config_entry_t *plan = config_entry_plan ("lantern", "gold", 0);
  config_entry_t *row = config_entry_limit (&limit, 0);
  config_edits_add (edits, CONFIG_PLAN, "lantern", -1, plan);
  config_edits_add (edits, CONFIG_LIMIT, "gold", -1, row);
  config_edits_add (edits, CONFIG_PLAN, "compost", -1, NULL);
  GBytes *record = config_edits_encode (edits);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  CU_ASSERT_EQUAL (config_replica_apply (replica, 7, data, size), CONFIG_APPLY_ACCEPTED);
  g_bytes_unref (record);
  config_entry_unref (plan);
  config_entry_unref (row);
  config_edits_free (edits);
  return replica;
}

static GBytes *
example_checkpoint (void)
{
  config_replica_t *replica = example_replica ();
  GBytes *record = config_replica_encode_checkpoint (replica);
  config_replica_free (replica);
  return record;
}

static GBytes *
example_edits (void)
{
  config_publication_id_t id = { "an id of 16 byte" };
  config_edits_t *edits = config_edits_new (&id);
  config_entry_t *plan = config_entry_plan ("lantern", "gold", 0);
  config_edits_add (edits, CONFIG_PLAN, "lantern", 12, plan);
  config_edits_add (edits, CONFIG_LIMIT, "gold", 300, NULL);
  GBytes *record = config_edits_encode (edits);
  config_entry_unref (plan);
  config_edits_free (edits);
  return record;
}

static GBytes *
example_progress (void)
{
  config_progress_t *progress = config_progress_new ();
  progress->platform_answered = true;
  progress->hosts_version = (hosts_version_t){ 1700000000000, 5 };
  config_progress_add_position (progress, "config", 40);
  config_progress_add_position (progress, "views", 4000);
  GBytes *frame = config_msg_progress (CONFIG_MSG_HEARTBEAT, progress);
  config_progress_free (progress);
  return frame;
}

static GBytes *
example_records (void)
{
  log_batch_t *batch = log_batch_new (3, 2, 9);
  GBytes *data = g_bytes_new_static ("record", 6);
  log_batch_add (batch, 4, 1700000000000, data);
  log_batch_add (batch, 8, 1700000000001, data);
  GBytes *frame = config_msg_records ("views", batch);
  g_bytes_unref (data);
  log_batch_free (batch);
  return frame;
}

static GPtrArray *
example_host_list (bool leaving)
{
  host_t host = { .id = (char *) "e1",
                  .data_centre = (char *) "tw-north-a",
                  .rack = (char *) "r1" };
  host.address = (char *) "127.0.0.1:9001";
  host.slots = 8;
  host.leaving = leaving;
  GPtrArray *list = hosts_list_new ();
  g_ptr_array_add (list, host_copy (&host));
  host.id = (char *) "e2";
  g_ptr_array_add (list, host_copy (&host));
  return list;
}

static GBytes *
example_hosts_message (void)
{
  GPtrArray *list = example_host_list (false);
  hosts_snapshot_t snapshot = { { 1700000000000, 5 }, hosts_list_digest (list), list };
  GBytes *frame = hosts_msg_encode (CONFIG_MSG_HOSTS, NULL, &snapshot);
  g_ptr_array_unref (list);
  return frame;
}

static GBytes *
example_text (const char *text)
{
  return g_bytes_new_static (text, strlen (text));
}

static GBytes *
example_batch (void)
{
  return example_text (
      "{\"first\":2,\"next\":9,\"records\":[{\"offset\":4,\"at_ms\":17,\"data\":\"YWJj\"},"
      "{\"offset\":8,\"at_ms\":18,\"data\":\"\"}]}");
}

static GBytes *
example_hosts (void)
{
  return example_text (
      "{\"hosts\":[{\"id\":\"e1\",\"role\":\"endpoint\",\"data_centre\":\"tw-north-a\",\"address\":"
      "\"127.0.0.1:9001\",\"slots\":8,\"connections\":60,\"cores\":32,\"memory_mb\":131072,"
      "\"rack\":\"r1\",\"state\":\"live\"},{\"id\":\"a1\",\"role\":\"entry\",\"data_centre\":"
      "\"tw-north-a\",\"address\":\"127.0.0.1:8003\",\"state\":\"leaving\"}]}");
}

static GBytes *
example_list (void)
{
  return example_text (
      "{ // plans\n \"plans\": {\"lantern\": \"gold\", /* x */ \"b\\\"c\": \"d\"}}");
}

static GBytes *
example_limits (void)
{
  return example_text ("{\"limits\": {\"gold\": {\"running_max\": 64, \"weight\": 1}}}");
}

static const struct
{
  const char *name;
  GBytes *(*example) (void);
  consume_fn_t consume;
} targets[] = {
  { "edits", example_edits, consume_record },
  { "checkpoint", example_checkpoint, consume_record },
  { "edits applied", example_edits, consume_replica },
  { "checkpoint applied", example_checkpoint, consume_replica },
  { "heartbeat", example_progress, consume_message },
  { "records", example_records, consume_message },
  { "hosts message", example_hosts_message, consume_message },
  { "batch", example_batch, consume_batch },
  { "hosts", example_hosts, consume_hosts },
  { "plans", example_list, consume_list },
  { "limits", example_limits, consume_list },
};

/* Changes bytes or bits, truncates, or appends a repetition of some bytes. */
static void
damage (GRand *random, GByteArray *bytes)
{
  int changes = g_rand_int_range (random, 1, CHANGES_MAX + 1);
  for (int i = 0; i < changes && bytes->len > 0; i++)
    {
      guint at = (guint) g_rand_int_range (random, 0, (gint32) bytes->len);
      switch (g_rand_int_range (random, 0, 4))
        {
        case 0:
          bytes->data[at] = (guint8) g_rand_int_range (random, 0, 256);
          break;
        case 1:
          bytes->data[at] ^= (guint8) (1u << g_rand_int_range (random, 0, 8));
          break;
        case 2:
          g_byte_array_set_size (bytes, at);
          break;
        default:
          {
            guint8 copy[REPEAT_MAX_BYTES];
            guint size = MIN (REPEAT_MAX_BYTES, bytes->len - at);
            memcpy (copy, bytes->data + at, size);
            g_byte_array_append (bytes, copy, size);
          }
        }
    }
}

static void
test_damaged (void)
{
  GRand *random = g_rand_new_with_seed (seed);
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      GBytes *example = targets[i].example ();
      gsize size = 0;
      const guint8 *data = g_bytes_get_data (example, &size);
      targets[i].consume (data, size);
      for (int round = 0; round < rounds / (int) G_N_ELEMENTS (targets); round++)
        {
          /* An allocation of the exact size, so that the address sanitizer detects a read
           * past its end. */
          GByteArray *bytes = g_byte_array_new ();
          g_byte_array_append (bytes, data, (guint) size);
          damage (random, bytes);
          guint8 *exact = g_memdup2 (bytes->data, bytes->len);
          targets[i].consume (exact ? exact : (const guint8 *) "", bytes->len);
          g_free (exact);
          g_byte_array_unref (bytes);
        }
      g_bytes_unref (example);
    }
  printf ("\n    seed %u, %d damaged inputs for %zu parsers\n", seed,
          rounds / (int) G_N_ELEMENTS (targets) * (int) G_N_ELEMENTS (targets),
          G_N_ELEMENTS (targets));
  g_rand_free (random);
}

static const unit_test_t tests[] = {
  { "damaged", test_damaged },
};

int
main (int argc, char **argv)
{
  if (argc == 3)
    {
      seed = (guint32) g_ascii_strtoull (argv[1], NULL, 10);
      rounds = (gint) g_ascii_strtoull (argv[2], NULL, 10);
    }
  return unit_run ("config_fuzz", tests, G_N_ELEMENTS (tests));
}
