/* slopes_config.c -- what one entry and one edit of the configuration cost
 *
 * Folds publications of one edit into states of growing size and prints, for
 * each size: bytes of memory an entry, processor time a folded edit with a
 * reader that holds each state, bytes of a checkpoint an entry, and the time to
 * write and to load one.  Then the same for the list of hosts: memory, time to
 * parse it, and the bytes that relay it whole and after one change.
 */
#include "config/replica.h"
#include "config/hosts_msg.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define SEED 20261207
#define EDITS 20000
#define NS_PER_S 1000000000
#define NS_PER_US 1000.0
#define NS_PER_MS 1000000.0

static const int sizes[] = { 1000, 10000, 100000 };

static int64_t
processor_ns (void)
{
  struct timespec time;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (int64_t) time.tv_sec * NS_PER_S + time.tv_nsec;
}

/* A publication that gives customer NUMBER a plan. */
static GBytes *
edit_of (const config_replica_t *fold, uint32_t edit, int number, int plan)
{
  char customer[32];
  char name[16];
  config_publication_id_t id = { { 0 } };
  memcpy (id.bytes, &edit, sizeof edit);
  g_snprintf (customer, sizeof customer, "customer-%08d", number);
  g_snprintf (name, sizeof name, "plan-%d", plan);
  config_edits_t *edits = config_edits_new (&id);
  config_entry_t *entry = config_entry_plan (customer, name, 0);
  config_edits_add (edits, CONFIG_PLAN, customer,
                    config_replica_base_offset (fold, CONFIG_PLAN, customer), entry);
  GBytes *record = config_edits_encode (edits);
  config_entry_unref (entry);
  config_edits_free (edits);
  return record;
}

static bool
fold_one (config_replica_t *fold, GBytes *record)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  return config_replica_apply (fold, config_replica_next_offset (fold), data, size)
         == CONFIG_APPLY_ACCEPTED;
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

/* Fills FOLD; returns the bytes of memory that this took. */
static size_t
fill (config_replica_t *fold, int size, uint32_t *edit)
{
  size_t before = heap_bytes ();
  for (int i = 0; i < size; i++)
    {
      GBytes *record = edit_of (fold, ++*edit, i, 0);
      if (!fold_one (fold, record))
        printf ("an edit was not accepted\n");
      g_bytes_unref (record);
    }
  return heap_bytes () - before;
}

/* Processor time of EDITS folds; a reader takes every state, as the daemon's
 * publication does. */
static int64_t
time_edits (config_replica_t *fold, int size, uint32_t *edit, GRand *random)
{
  int64_t total_ns = 0;
  config_t *snapshot = config_ref (config_replica_config (fold));
  for (int i = 0; i < EDITS; i++)
    {
      GBytes *record = edit_of (fold, ++*edit, g_rand_int_range (random, 0, size), 1 + i);
      int64_t begin_ns = processor_ns ();
      if (!fold_one (fold, record))
        printf ("an edit was not accepted\n");
      config_t *next = config_ref (config_replica_config (fold));
      config_unref (snapshot);
      snapshot = next;
      total_ns += processor_ns () - begin_ns;
      g_bytes_unref (record);
    }
  config_unref (snapshot);
  return total_ns;
}

static void
run (int size, GRand *random)
{
  uint32_t edit = 0;
  config_replica_t *fold = config_replica_new (&config_rules_all);
  size_t bytes = fill (fold, size, &edit);
  int64_t edits_ns = time_edits (fold, size, &edit, random);
  int64_t begin_ns = processor_ns ();
  GBytes *checkpoint = config_replica_encode_checkpoint (fold);
  int64_t write_ns = processor_ns () - begin_ns;
  gsize checkpoint_size = 0;
  const void *data = g_bytes_get_data (checkpoint, &checkpoint_size);
  config_replica_t *copy = config_replica_new (&config_rules_all);
  begin_ns = processor_ns ();
  int loaded = config_replica_load_checkpoint (copy, data, checkpoint_size);
  int64_t load_ns = processor_ns () - begin_ns;
  printf ("| %6d | %6.1f | %6.2f | %6.1f | %7.2f | %7.2f |%s\n", size, (double) bytes / size,
          (double) edits_ns / EDITS / NS_PER_US, (double) checkpoint_size / size,
          (double) write_ns / NS_PER_MS, (double) load_ns / NS_PER_MS,
          loaded < 0 ? " NOT LOADED" : "");
  g_bytes_unref (checkpoint);
  config_replica_free (copy);
  config_replica_free (fold);
}

/* The body of a list of SIZE endpoints, the first LEAVING of them leaving. */
static GString *
hosts_body (int size, int leaving)
{
  GString *text = g_string_new ("{\"hosts\":[");
  for (int i = 0; i < size; i++)
    g_string_append_printf (
        text,
        "%s{\"id\":\"e%06d\",\"role\":\"endpoint\",\"data_centre\":\"tw-north-a\","
        "\"address\":\"10.0.%d.%d:9001\",\"slots\":8,\"connections\":60,"
        "\"cores\":32,\"memory_mb\":131072,\"rack\":\"r%d\",\"state\":\"%s\"}",
        i ? "," : "", i, i / 250 % 250, i % 250, i / 8, i < leaving ? "leaving" : "live");
  g_string_append (text, "]}");
  return text;
}

/* Parses the list; *NS is the processor time. */
static GPtrArray *
hosts_of (int size, int leaving, int64_t *ns)
{
  GString *text = hosts_body (size, leaving);
  GPtrArray *list = NULL;
  int32_t skipped = 0;
  int64_t begin_ns = processor_ns ();
  if (hosts_parse (text->str, text->len, &list, &skipped) < 0 || skipped > 0)
    printf ("the list was not taken whole\n");
  *ns = processor_ns () - begin_ns;
  g_string_free (text, TRUE);
  return list;
}

static void
run_hosts (int size)
{
  int64_t parse_ns = 0;
  size_t before = heap_bytes ();
  GPtrArray *list = hosts_of (size, 0, &parse_ns);
  size_t bytes = heap_bytes () - before;
  int64_t again_ns = 0;
  GPtrArray *next = hosts_of (size, 1, &again_ns);
  hosts_snapshot_t base = { { 1, 1 }, hosts_list_digest (list), list };
  hosts_snapshot_t known = { { 2, 1 }, hosts_list_digest (next), next };
  GBytes *whole = hosts_msg_encode (FRAME_CONFIG_LAST, NULL, &known);
  int64_t begin_ns = processor_ns ();
  GBytes *change = hosts_msg_encode (FRAME_CONFIG_LAST, &base, &known);
  int64_t change_ns = processor_ns () - begin_ns;
  printf ("| %6d | %6.1f | %7.2f | %6.1f | %4zu | %6.2f |\n", size, (double) bytes / size,
          (double) parse_ns / NS_PER_MS, (double) g_bytes_get_size (whole) / size,
          g_bytes_get_size (change), (double) change_ns / NS_PER_MS);
  g_bytes_unref (whole);
  g_bytes_unref (change);
  g_ptr_array_unref (list);
  g_ptr_array_unref (next);
}

int
main (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  printf ("seed %d, %d edits at each size\n", SEED, EDITS);
  printf ("| entries | bytes an entry | us a folded edit | checkpoint bytes an entry "
          "| write a checkpoint, ms | load it, ms |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    run (sizes[i], random);
  printf ("\n| hosts | bytes a host | parse, ms | relayed whole, bytes a host "
          "| one change, bytes | find the change, ms |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    run_hosts (sizes[i]);
  g_rand_free (random);
  return 0;
}
