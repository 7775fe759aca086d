/* test_config_replica.c -- the fold of the configuration's log against a naive version
 *
 * A random world: editors with stale knowledge publish, answers are lost and
 * records appended again, readers get batches partly, late, twice and out of
 * order, from the log and from each other, records leave the log, checkpoints
 * take their place.  The naive version keeps all records that ever were and
 * recomputes the state from scratch.
 */
#include "base/error.h"
#include "config/stream_buffer.h"
#include "config/replica.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SEED 20261204
#define STEPS_TOTAL 1000000
#define STEPS_OF_EPISODE 400
/* A rule that is off has to be noticed within so many steps. */
#define STEPS_UNTIL_CAUGHT 100000
#define READERS 4
#define NAMES 8
#define KEYS (NAMES * CONFIG_KINDS)
#define EDITS_MAX 3
#define VALUES 5
#define PENDING_MAX 16
#define DELAYED_MAX 16
#define GARBAGE_MAX_BYTES 40
#define ABSENT (-1)

/* A record as its author meant it; EDIT_COUNT is 0 for any other record. */
typedef struct
{
  config_publication_id_t id;
  guint edit_count;
  struct
  {
    int key;
    int64_t base;
    int value; /* ABSENT removes */
  } edits[EDITS_MAX];
} naive_record_t;

typedef struct
{
  naive_record_t meant;
  int64_t checkpoint_next; /* of a checkpoint, else -1 */
  bool repeated;           /* an earlier record has its id */
  GBytes *data;
} world_record_t;

typedef struct
{
  stream_buffer_t *feed;
  config_replica_t *fold;
  int64_t highest_next;
} reader_t;

typedef struct
{
  int reader;
  log_batch_t *batch;
} delayed_t;

typedef struct
{
  GRand *random;
  config_rules_t rules;
  GArray *log; /* of world_record_t; all that ever were */
  int64_t first;
  reader_t readers[READERS];
  config_replica_t *straight; /* folds every record in order, with all rules */
  config_replica_t *counted;  /* the same, with the rules under test */
  GArray *pending;            /* of world_record_t: to append, or append again */
  GArray *delayed;            /* of delayed_t */
  int64_t steps;
  const char *mismatch;
} world_t;

/* How often the rare things happened, so that a run shows that they did. */
static struct
{
  int64_t lost;   /* records left the log before a reader had them */
  int64_t loaded; /* a reader took a peer's whole state */
} happened;

static int
random_below (world_t *world, int end)
{
  return g_rand_int_range (world->random, 0, end);
}

static void
record_clear (gpointer data)
{
  g_bytes_unref (((world_record_t *) data)->data);
}

static void
delayed_clear (gpointer data)
{
  log_batch_free (((delayed_t *) data)->batch);
}

static void
on_record (const log_record_t *record, void *data)
{
  gsize size = 0;
  const void *bytes = g_bytes_get_data (record->data, &size);
  config_replica_apply (((reader_t *) data)->fold, record->offset, bytes, size);
}

static void
on_lost (int64_t first, void *data)
{
  config_replica_records_lost (((reader_t *) data)->fold, first);
  happened.lost++;
}

static void
world_init (world_t *world, GRand *random, const config_rules_t *rules)
{
  *world = (world_t){ .random = random, .rules = *rules };
  world->log = g_array_new (FALSE, FALSE, sizeof (world_record_t));
  world->pending = g_array_new (FALSE, FALSE, sizeof (world_record_t));
  world->delayed = g_array_new (FALSE, FALSE, sizeof (delayed_t));
  g_array_set_clear_func (world->log, record_clear);
  g_array_set_clear_func (world->pending, record_clear);
  g_array_set_clear_func (world->delayed, delayed_clear);
  world->straight = config_replica_new (&config_rules_all);
  world->counted = config_replica_new (rules);
  for (int i = 0; i < READERS; i++)
    {
      reader_t *reader = &world->readers[i];
      stream_buffer_ops_t ops = { on_record, on_lost, reader };
      reader->fold = config_replica_new (rules);
      reader->feed = stream_buffer_new (&ops, 2048);
    }
}

static void
world_clear (world_t *world)
{
  for (int i = 0; i < READERS; i++)
    {
      stream_buffer_free (world->readers[i].feed);
      config_replica_free (world->readers[i].fold);
    }
  config_replica_free (world->straight);
  config_replica_free (world->counted);
  g_array_unref (world->log);
  g_array_unref (world->pending);
  g_array_unref (world->delayed);
}

static const world_record_t *
log_at (const world_t *world, int64_t offset)
{
  return &g_array_index (world->log, world_record_t, offset);
}

static bool
is_repeated (const world_t *world, const naive_record_t *record)
{
  for (guint i = 0; i < world->log->len; i++)
    {
      const naive_record_t *other = &log_at (world, i)->meant;
      if (other->edit_count > 0 && memcmp (&other->id, &record->id, sizeof record->id) == 0)
        return true;
    }
  return false;
}

static void
log_append (world_t *world, const world_record_t *record)
{
  int64_t offset = world->log->len;
  world_record_t copy = *record;
  gsize size = 0;
  const void *data = g_bytes_get_data (copy.data, &size);
  g_bytes_ref (copy.data);
  copy.repeated = is_repeated (world, &copy.meant);
  g_array_append_val (world->log, copy);
  config_replica_apply (world->straight, offset, data, size);
  config_replica_apply (world->counted, offset, data, size);
}

static config_kind_t
kind_of (int key)
{
  return key < NAMES ? CONFIG_PLAN : CONFIG_LIMIT;
}

static void
name_of (int key, char name[8])
{
  g_snprintf (name, 8, "n%d", key % NAMES);
}

static config_entry_t *
entry_of (int key, int value)
{
  char name[8];
  char plan[8];
  name_of (key, name);
  g_snprintf (plan, sizeof plan, "v%d", value);
  if (kind_of (key) == CONFIG_PLAN)
    return config_entry_plan (name, plan, 0);
  config_limit_t limit = { name, value, CONFIG_NO_LIMIT, 1, 1000, 999000 };
  return config_entry_limit (&limit, 0);
}

static bool
entry_has_value (const config_entry_t *entry, int key, int value)
{
  if (value == ABSENT || entry == NULL)
    return value == ABSENT && entry == NULL;
  config_entry_t *wanted = entry_of (key, value);
  bool same = config_entry_equal (wanted, entry);
  config_entry_unref (wanted);
  return same;
}

/* The naive version. */

typedef struct
{
  int values[KEYS];
  int64_t changed[KEYS];
  int64_t distinct;
} naive_state_t;

/* Returns true if the record at OFFSET wins; applies it then. */
static bool
naive_apply (const world_t *world, naive_state_t *state, int64_t offset)
{
  const naive_record_t *record = &log_at (world, offset)->meant;
  for (guint i = 0; i < record->edit_count; i++)
    if (record->edits[i].base >= offset
        || state->changed[record->edits[i].key] > record->edits[i].base)
      return false;
  for (guint i = 0; i < record->edit_count; i++)
    {
      state->values[record->edits[i].key] = record->edits[i].value;
      state->changed[record->edits[i].key] = offset;
    }
  return true;
}

/* The state after all records before NEXT; *OUTCOME (may be NULL) is set if
 * the publication ID counted. */
static void
naive_fold (const world_t *world,
            int64_t next,
            naive_state_t *state,
            const config_publication_id_t *id,
            int *outcome)
{
  for (int key = 0; key < KEYS; key++)
    {
      state->values[key] = ABSENT;
      state->changed[key] = -1;
    }
  state->distinct = 0;
  for (int64_t offset = 0; offset < next; offset++)
    {
      const naive_record_t *record = &log_at (world, offset)->meant;
      if (record->edit_count == 0 || log_at (world, offset)->repeated)
        continue;
      state->distinct++;
      bool wins = naive_apply (world, state, offset);
      if (outcome && memcmp (&record->id, id, sizeof *id) == 0)
        *outcome = wins;
    }
}

/* What the world does. */

static void
step_edit (world_t *world)
{
  reader_t *author = &world->readers[random_below (world, READERS)];
  world_record_t record = { .checkpoint_next = -1 };
  for (int i = 0; i < CONFIG_PUBLICATION_ID_BYTES; i++)
    record.meant.id.bytes[i] = (uint8_t) random_below (world, 256);
  config_edits_t *edits = config_edits_new (&record.meant.id);
  guint count = 1 + (guint) random_below (world, EDITS_MAX);
  for (guint i = 0; i < count; i++)
    {
      int key = random_below (world, KEYS);
      int value = random_below (world, VALUES) - 1;
      char name[8];
      name_of (key, name);
      int64_t base = config_replica_base_offset (author->fold, kind_of (key), name);
      if (random_below (world, 20) == 0)
        base = random_below (world, (int) world->log->len + 5) - 1;
      config_entry_t *entry = value == ABSENT ? NULL : entry_of (key, value);
      config_edits_add (edits, kind_of (key), name, base, entry);
      if (entry)
        config_entry_unref (entry);
      record.meant.edits[i].key = key;
      record.meant.edits[i].base = base;
      record.meant.edits[i].value = value;
    }
  record.meant.edit_count = count;
  record.data = config_edits_encode (edits);
  config_edits_free (edits);
  if (world->pending->len == PENDING_MAX)
    g_array_remove_index_fast (world->pending, 0);
  g_array_append_val (world->pending, record);
}

/* A record that stays pending was appended, but its author lost the answer. */
static void
step_append (world_t *world)
{
  if (world->pending->len == 0)
    return;
  guint index = (guint) random_below (world, (int) world->pending->len);
  log_append (world, &g_array_index (world->pending, world_record_t, index));
  if (random_below (world, 3) > 0)
    g_array_remove_index_fast (world->pending, index);
}

static void
step_garbage (world_t *world)
{
  guint8 bytes[GARBAGE_MAX_BYTES];
  gsize size = (gsize) random_below (world, GARBAGE_MAX_BYTES);
  for (gsize i = 0; i < size; i++)
    bytes[i] = (guint8) random_below (world, 256);
  world_record_t record = { .checkpoint_next = -1, .data = g_bytes_new (bytes, size) };
  log_append (world, &record);
  g_bytes_unref (record.data);
}

static void
step_checkpoint (world_t *world)
{
  const reader_t *reader = &world->readers[random_below (world, READERS)];
  world_record_t record = { .checkpoint_next = config_replica_next_offset (reader->fold) };
  record.data = config_replica_encode_checkpoint (reader->fold);
  log_append (world, &record);
  g_bytes_unref (record.data);
}

/* Records leave the log, but never those after the best checkpoint in it. */
static void
step_retention (world_t *world)
{
  int64_t limit = world->first;
  for (int64_t offset = world->first; offset < world->log->len; offset++)
    limit = MAX (limit, MIN (offset, log_at (world, offset)->checkpoint_next));
  if (limit > world->first)
    world->first += 1 + random_below (world, (int) (limit - world->first));
}

static log_batch_t *
log_read (const world_t *world, int64_t from, int64_t count)
{
  int64_t end = world->log->len;
  int64_t begin = MAX (from, world->first);
  int64_t next = MIN (end, begin + count);
  log_batch_t *batch = log_batch_new (from, world->first, MAX (next, begin));
  batch->end = end;
  for (int64_t offset = begin; offset < next; offset++)
    log_batch_add (batch, offset, 0, log_at (world, offset)->data);
  return batch;
}

static void
note_next (world_t *world, reader_t *reader)
{
  if (config_replica_next_offset (reader->fold) < reader->highest_next)
    world->mismatch = "a state moved to a lower offset";
  reader->highest_next = MAX (reader->highest_next, config_replica_next_offset (reader->fold));
}

static void
step_read (world_t *world)
{
  int index = random_below (world, READERS);
  reader_t *reader = &world->readers[index];
  int64_t from = stream_buffer_next_offset (reader->feed);
  if (random_below (world, 4) == 0)
    from = random_below (world, (int) from + 1);
  log_batch_t *batch = log_read (world, from, 1 + random_below (world, 20));
  if (random_below (world, 3) == 0 && world->delayed->len < DELAYED_MAX)
    {
      delayed_t delayed = { index, batch };
      g_array_append_val (world->delayed, delayed);
      return;
    }
  stream_buffer_add (reader->feed, batch);
  log_batch_free (batch);
  note_next (world, reader);
}

/* A late batch, which may come again and may go to another reader. */
static void
step_deliver (world_t *world)
{
  if (world->delayed->len == 0)
    return;
  guint index = (guint) random_below (world, (int) world->delayed->len);
  delayed_t *delayed = &g_array_index (world->delayed, delayed_t, index);
  if (random_below (world, 4) == 0)
    delayed->reader = random_below (world, READERS);
  reader_t *reader = &world->readers[delayed->reader];
  stream_buffer_add (reader->feed, delayed->batch);
  note_next (world, reader);
  if (random_below (world, 2) == 0)
    g_array_remove_index_fast (world->delayed, index);
}

static void
load_state (world_t *world, reader_t *reader, GBytes *state)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (state, &size);
  if (config_replica_load_checkpoint (reader->fold, data, size) == 0)
    {
      stream_buffer_skip_to (reader->feed, config_replica_next_offset (reader->fold));
      happened.loaded++;
    }
  note_next (world, reader);
}

static void
step_peer (world_t *world)
{
  reader_t *from = &world->readers[random_below (world, READERS)];
  reader_t *to = &world->readers[random_below (world, READERS)];
  int64_t next = stream_buffer_next_offset (to->feed);
  if (!config_replica_is_incomplete (to->fold) && stream_buffer_covers (from->feed, next))
    {
      log_batch_t *batch = stream_buffer_batch_from (from->feed, next, 512);
      stream_buffer_add (to->feed, batch);
      log_batch_free (batch);
      note_next (world, to);
      return;
    }
  GBytes *state = config_replica_encode_checkpoint (from->fold);
  load_state (world, to, state);
  g_bytes_unref (state);
}

/* What is long past comes to a reader, past its feed. */
static void
step_old (world_t *world)
{
  reader_t *reader = &world->readers[random_below (world, READERS)];
  int64_t next = config_replica_next_offset (reader->fold);
  if (next == 0 || config_replica_is_incomplete (reader->fold))
    return;
  int64_t offset = random_below (world, (int) next);
  const world_record_t *record = log_at (world, offset);
  gsize size = 0;
  const void *data = g_bytes_get_data (record->data, &size);
  if (record->checkpoint_next >= 0)
    load_state (world, reader, record->data);
  else
    config_replica_apply (reader->fold, offset, data, size);
  note_next (world, reader);
}

static void
check_reader (world_t *world, const reader_t *reader)
{
  naive_state_t state;
  config_outcome_t recent;
  int outcome = -1;
  int64_t next = config_replica_next_offset (reader->fold);
  const naive_record_t *asked = NULL;
  if (next > 0)
    asked = &log_at (world, random_below (world, (int) next))->meant;
  naive_fold (world, next, &state, asked ? &asked->id : NULL, asked ? &outcome : NULL);
  for (int key = 0; key < KEYS; key++)
    {
      char name[8];
      name_of (key, name);
      const config_entry_t *entry =
          config_find (config_replica_config (reader->fold), kind_of (key), name);
      if (!entry_has_value (entry, key, state.values[key]))
        world->mismatch = "a value differs";
      else if (entry && entry->revision != state.changed[key])
        world->mismatch = "a revision differs";
    }
  if (asked && asked->edit_count > 0
      && (!config_replica_find_outcome (reader->fold, &asked->id, &recent)
          || recent.accepted != outcome))
    world->mismatch = "an outcome differs";
}

static void
step_check (world_t *world)
{
  check_reader (world, &world->readers[random_below (world, READERS)]);
}

static const struct
{
  int weight;
  void (*run) (world_t *world);
} actions[] = {
  { 24, step_edit }, { 22, step_append },    { 25, step_read },     { 10, step_deliver },
  { 8, step_peer },  { 3, step_checkpoint }, { 3, step_retention }, { 2, step_garbage },
  { 5, step_old },   { 10, step_check },
};

static void
world_step (world_t *world)
{
  int total = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    total += actions[i].weight;
  int choice = random_below (world, total);
  size_t action = 0;
  while (choice >= actions[action].weight)
    choice -= actions[action++].weight;
  actions[action].run (world);
  world->steps++;
}

static bool
same_state (const config_replica_t *a, const config_replica_t *b)
{
  GBytes *left = config_replica_encode_checkpoint (a);
  GBytes *right = config_replica_encode_checkpoint (b);
  bool same = g_bytes_equal (left, right);
  g_bytes_unref (left);
  g_bytes_unref (right);
  return same;
}

/* The faults end: all readers read to the log's end and agree to the byte,
 * ids and removals included, whether by checkpoint or record by record. */
static void
world_finish (world_t *world)
{
  naive_state_t state;
  naive_fold (world, world->log->len, &state, NULL, NULL);
  for (int i = 0; i < READERS && world->mismatch == NULL; i++)
    {
      reader_t *reader = &world->readers[i];
      log_batch_t *batch =
          log_read (world, stream_buffer_next_offset (reader->feed), world->log->len);
      stream_buffer_add (reader->feed, batch);
      log_batch_free (batch);
      /* What a reader lost earlier, a checkpoint behind it may cover only in
       * part: then a peer's state does. */
      if (config_replica_is_incomplete (reader->fold))
        {
          GBytes *peer = config_replica_encode_checkpoint (world->straight);
          load_state (world, reader, peer);
          g_bytes_unref (peer);
        }
      check_reader (world, reader);
      if (!same_state (reader->fold, world->straight))
        world->mismatch = "the state of a reader differs from that of all records";
    }
  if (config_replica_count (world->counted, CONFIG_APPLY_ACCEPTED)
          + config_replica_count (world->counted, CONFIG_APPLY_CONFLICT)
      != state.distinct)
    world->mismatch = "a publication counts twice";
}

/* Runs until STEPS are done or a mismatch is found, which is returned. */
static const char *
run_worlds (uint32_t seed, const config_rules_t *rules, int64_t steps, int64_t *done)
{
  GRand *random = g_rand_new_with_seed (seed);
  const char *mismatch = NULL;
  for (*done = 0; *done < steps && mismatch == NULL; *done += STEPS_OF_EPISODE)
    {
      world_t world;
      world_init (&world, random, rules);
      while (world.steps < STEPS_OF_EPISODE && world.mismatch == NULL)
        world_step (&world);
      if (world.mismatch == NULL)
        world_finish (&world);
      mismatch = world.mismatch;
      world_clear (&world);
    }
  g_rand_free (random);
  return mismatch;
}

static void
test_differential (void)
{
  int64_t done = 0;
  const char *mismatch = run_worlds (SEED, &config_rules_all, STEPS_TOTAL, &done);
  printf ("\n    seed %d, %" PRId64 " steps: %s\n", SEED, done,
          mismatch ? mismatch : "no mismatch");
  printf ("    records lost to retention %" PRId64 " times, states loaded %" PRId64 " times\n",
          happened.lost, happened.loaded);
  CU_ASSERT_PTR_NULL (mismatch);
  CU_ASSERT (done >= STEPS_TOTAL);
  CU_ASSERT (happened.lost > 0 && happened.loaded > 0);
}

static const struct
{
  const char *name;
  config_rules_t rules;
} rule_cases[] = {
  { "base not checked", { false, true, true } },
  { "id not checked", { true, false, true } },
  { "offset not checked", { true, true, false } },
};

/* The differential test must notice each rule that is missing. */
static void
test_rules_needed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rule_cases); i++)
    {
      int64_t done = 0;
      const char *mismatch = run_worlds (SEED, &rule_cases[i].rules, STEPS_UNTIL_CAUGHT, &done);
      printf ("\n    %s: %s after at most %" PRId64 " steps", rule_cases[i].name,
              mismatch ? mismatch : "NOT CAUGHT", done);
      CU_ASSERT_PTR_NOT_NULL (mismatch);
    }
  printf ("\n");
}

/* A publication with one edit. */
static GBytes *
one_edit (uint32_t number, const char *name, int64_t base, const char *plan)
{
  config_publication_id_t id = { { 0 } };
  memcpy (id.bytes, &number, sizeof number);
  config_edits_t *edits = config_edits_new (&id);
  config_entry_t *entry = plan ? config_entry_plan (name, plan, 0) : NULL;
  config_edits_add (edits, CONFIG_PLAN, name, base, entry);
  if (entry)
    config_entry_unref (entry);
  GBytes *record = config_edits_encode (edits);
  config_edits_free (edits);
  return record;
}

static config_apply_result_t
fold_edit (config_replica_t *fold,
           uint32_t number,
           const char *name,
           int64_t base,
           const char *plan)
{
  GBytes *record = one_edit (number, name, base, plan);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  config_apply_result_t result =
      config_replica_apply (fold, config_replica_next_offset (fold), data, size);
  g_bytes_unref (record);
  return result;
}

/* More removals than are remembered: what is forgotten makes an edit on an old
 * base lose, an edit with today's knowledge win, and a checkpoint agree. */
static void
test_removals_bounded (void)
{
  config_replica_t *fold = config_replica_new (&config_rules_all);
  config_replica_t *copy = config_replica_new (&config_rules_all);
  char name[16];
  uint32_t number = 0;
  for (int i = 0; i < CONFIG_TOMBSTONES_MAX * 2; i++)
    {
      g_snprintf (name, sizeof name, "c%d", i);
      int64_t base = config_replica_next_offset (fold) - 1;
      CU_ASSERT_EQUAL (fold_edit (fold, number++, name, base, "gold"), CONFIG_APPLY_ACCEPTED);
      CU_ASSERT_EQUAL (fold_edit (fold, number++, name, base + 1, NULL), CONFIG_APPLY_ACCEPTED);
    }
  GBytes *checkpoint = config_replica_encode_checkpoint (fold);
  gsize size = 0;
  const void *data = g_bytes_get_data (checkpoint, &size);
  CU_ASSERT_EQUAL (config_replica_load_checkpoint (copy, data, size), 0);
  CU_ASSERT (same_state (fold, copy));
  CU_ASSERT_EQUAL (config_replica_load_checkpoint (copy, data, size), ERROR_STALE_BASE);
  CU_ASSERT_EQUAL (fold_edit (fold, number++, "c0", -1, "gold"), CONFIG_APPLY_CONFLICT);
  CU_ASSERT_EQUAL (fold_edit (fold, number++, "c0", 0, "gold"), CONFIG_APPLY_CONFLICT);
  int64_t base = config_replica_base_offset (fold, CONFIG_PLAN, "c0");
  CU_ASSERT_EQUAL (fold_edit (fold, number++, "c0", base, "gold"), CONFIG_APPLY_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (config_plan_of (config_replica_config (fold), "c0"), "gold");
  g_bytes_unref (checkpoint);
  config_replica_free (fold);
  config_replica_free (copy);
}

/* A snapshot that a reader holds does not change under later edits. */
static void
test_snapshot (void)
{
  config_replica_t *fold = config_replica_new (&config_rules_all);
  CU_ASSERT_FALSE (config_replica_has_state (fold));
  fold_edit (fold, 1, "lantern", -1, "gold");
  config_t *snapshot = config_ref (config_replica_config (fold));
  fold_edit (fold, 2, "lantern", 0, "silver");
  fold_edit (fold, 3, "compost", 1, "gold");
  CU_ASSERT_STRING_EQUAL (config_plan_of (snapshot, "lantern"), "gold");
  CU_ASSERT_PTR_NULL (config_plan_of (snapshot, "compost"));
  CU_ASSERT_EQUAL (config_revision (snapshot), 1);
  CU_ASSERT_STRING_EQUAL (config_plan_of (config_replica_config (fold), "lantern"), "silver");
  CU_ASSERT_EQUAL (config_revision (config_replica_config (fold)), 3);
  config_unref (snapshot);
  config_replica_free (fold);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("config_fold", NULL, NULL);
  CU_add_test (suite, "differential", test_differential);
  CU_add_test (suite, "rules needed", test_rules_needed);
  CU_add_test (suite, "removals bounded", test_removals_bounded);
  CU_add_test (suite, "snapshot", test_snapshot);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
