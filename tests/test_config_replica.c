/* test_config_replica.c -- replicas of the configuration compared with a simple model
 *
 * Guards against replicas that diverge.  In a random simulation, authors publish
 * edits from stale replicas and append records again after lost answers; readers
 * receive batches partially, late, twice and out of order, from the log and from
 * each other; the log drops records that a checkpoint covers.  The model keeps
 * all records and recomputes the state from the first one.
 */
#include "base/error.h"
#include "config/replica.h"
#include "config/stream_buffer.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SEED 20261204
#define STEPS_TOTAL 1000000
#define STEPS_PER_SIMULATION 400
/* A disabled rule must cause a mismatch within this number of steps. */
#define DETECTION_STEPS_MAX 100000
#define READERS 4
#define NAMES 8
#define KEYS (NAMES * CONFIG_KINDS)
#define EDITS_MAX 3
#define VALUES 5
#define PENDING_MAX 16
#define DELAYED_MAX 16
#define GARBAGE_MAX_BYTES 40
#define ABSENT (-1)

/* The edits of a publication; edit_count is 0 for any other record. */
typedef struct
{
  config_publication_id_t id;
  guint edit_count;
  struct
  {
    int key;
    int64_t base_offset;
    int value; /* ABSENT removes */
  } edits[EDITS_MAX];
} model_record_t;

typedef struct
{
  model_record_t model;
  int64_t checkpoint_next_offset; /* next offset of a checkpoint; -1 for other records */
  bool duplicate;                 /* an earlier record has the same id */
  GBytes *data;
} sim_record_t;

typedef struct
{
  stream_buffer_t *buffer;
  config_replica_t *replica;
  int64_t highest_next_offset;
} reader_t;

typedef struct
{
  int reader;
  log_batch_t *batch;
} delayed_batch_t;

typedef struct
{
  GRand *random;
  config_rules_t rules;
  GArray *log; /* of sim_record_t; all records ever appended */
  int64_t first_offset;
  reader_t readers[READERS];
  config_replica_t *reference; /* applies every record in order, with all rules */
  config_replica_t *tested;    /* likewise, with the rules under test */
  GArray *pending;             /* of sim_record_t: records to append, possibly again */
  GArray *delayed;             /* of delayed_batch_t */
  int64_t steps;
  const char *mismatch;
} simulation_t;

/* Counts of rare events, to check that the simulation covers them. */
static struct
{
  int64_t records_lost;  /* the log dropped records before a reader had read them */
  int64_t states_loaded; /* a reader loaded the state of a peer */
} event_counts;

static int
random_below (simulation_t *sim, int end)
{
  return g_rand_int_range (sim->random, 0, end);
}

static void
record_clear (gpointer data)
{
  g_bytes_unref (((sim_record_t *) data)->data);
}

static void
delayed_clear (gpointer data)
{
  log_batch_free (((delayed_batch_t *) data)->batch);
}

static void
on_record (const log_record_t *record, void *data)
{
  gsize size = 0;
  const void *bytes = g_bytes_get_data (record->data, &size);
  config_replica_apply (((reader_t *) data)->replica, record->offset, bytes, size);
}

static void
on_records_lost (int64_t first_offset, void *data)
{
  config_replica_records_lost (((reader_t *) data)->replica, first_offset);
  event_counts.records_lost++;
}

static void
simulation_init (simulation_t *sim, GRand *random, const config_rules_t *rules)
{
  *sim = (simulation_t){ .random = random, .rules = *rules };
  sim->log = g_array_new (FALSE, FALSE, sizeof (sim_record_t));
  sim->pending = g_array_new (FALSE, FALSE, sizeof (sim_record_t));
  sim->delayed = g_array_new (FALSE, FALSE, sizeof (delayed_batch_t));
  g_array_set_clear_func (sim->log, record_clear);
  g_array_set_clear_func (sim->pending, record_clear);
  g_array_set_clear_func (sim->delayed, delayed_clear);
  sim->reference = config_replica_new (&config_rules_all);
  sim->tested = config_replica_new (rules);
  for (int i = 0; i < READERS; i++)
    {
      reader_t *reader = &sim->readers[i];
      stream_buffer_ops_t ops = { on_record, on_records_lost, reader };
      reader->replica = config_replica_new (rules);
      reader->buffer = stream_buffer_new (&ops, 2048);
    }
}

static void
simulation_clear (simulation_t *sim)
{
  for (int i = 0; i < READERS; i++)
    {
      stream_buffer_free (sim->readers[i].buffer);
      config_replica_free (sim->readers[i].replica);
    }
  config_replica_free (sim->reference);
  config_replica_free (sim->tested);
  g_array_unref (sim->log);
  g_array_unref (sim->pending);
  g_array_unref (sim->delayed);
}

static const sim_record_t *
log_at (const simulation_t *sim, int64_t offset)
{
  return &g_array_index (sim->log, sim_record_t, offset);
}

static bool
is_duplicate (const simulation_t *sim, const model_record_t *record)
{
  for (guint i = 0; i < sim->log->len; i++)
    {
      const model_record_t *other = &log_at (sim, i)->model;
      if (other->edit_count > 0 && memcmp (&other->id, &record->id, sizeof record->id) == 0)
        return true;
    }
  return false;
}

static void
log_append (simulation_t *sim, const sim_record_t *record)
{
  int64_t offset = sim->log->len;
  sim_record_t copy = *record;
  gsize size = 0;
  const void *data = g_bytes_get_data (copy.data, &size);
  g_bytes_ref (copy.data);
  copy.duplicate = is_duplicate (sim, &copy.model);
  g_array_append_val (sim->log, copy);
  config_replica_apply (sim->reference, offset, data, size);
  config_replica_apply (sim->tested, offset, data, size);
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

/* The model. */

typedef struct
{
  int values[KEYS];
  int64_t last_change[KEYS];
  int64_t publication_count;
} model_state_t;

/* Applies the record at OFFSET if it is accepted.  Returns whether it is. */
static bool
model_apply (const simulation_t *sim, model_state_t *state, int64_t offset)
{
  const model_record_t *record = &log_at (sim, offset)->model;
  for (guint i = 0; i < record->edit_count; i++)
    if (record->edits[i].base_offset >= offset
        || state->last_change[record->edits[i].key] > record->edits[i].base_offset)
      return false;
  for (guint i = 0; i < record->edit_count; i++)
    {
      state->values[record->edits[i].key] = record->edits[i].value;
      state->last_change[record->edits[i].key] = offset;
    }
  return true;
}

/* Computes the state after all records before NEXT.  Sets *OUTCOME, unless it is
 * NULL, to whether publication ID was accepted, if it is among them. */
static void
model_run (const simulation_t *sim,
           int64_t next,
           model_state_t *state,
           const config_publication_id_t *id,
           int *outcome)
{
  for (int key = 0; key < KEYS; key++)
    {
      state->values[key] = ABSENT;
      state->last_change[key] = -1;
    }
  state->publication_count = 0;
  for (int64_t offset = 0; offset < next; offset++)
    {
      const model_record_t *record = &log_at (sim, offset)->model;
      if (record->edit_count == 0 || log_at (sim, offset)->duplicate)
        continue;
      state->publication_count++;
      bool accepted = model_apply (sim, state, offset);
      if (outcome && memcmp (&record->id, id, sizeof *id) == 0)
        *outcome = accepted;
    }
}

/* The steps of the simulation. */

static void
step_edit (simulation_t *sim)
{
  reader_t *author = &sim->readers[random_below (sim, READERS)];
  sim_record_t record = { .checkpoint_next_offset = -1 };
  for (int i = 0; i < CONFIG_PUBLICATION_ID_BYTES; i++)
    record.model.id.bytes[i] = (uint8_t) random_below (sim, 256);
  config_edits_t *edits = config_edits_new (&record.model.id);
  guint count = 1 + (guint) random_below (sim, EDITS_MAX);
  for (guint i = 0; i < count; i++)
    {
      int key = random_below (sim, KEYS);
      int value = random_below (sim, VALUES) - 1;
      char name[8];
      name_of (key, name);
      int64_t base_offset = config_replica_base_offset (author->replica, kind_of (key), name);
      if (random_below (sim, 20) == 0)
        base_offset = random_below (sim, (int) sim->log->len + 5) - 1;
      config_entry_t *entry = value == ABSENT ? NULL : entry_of (key, value);
      config_edits_add (edits, kind_of (key), name, base_offset, entry);
      if (entry)
        config_entry_unref (entry);
      record.model.edits[i].key = key;
      record.model.edits[i].base_offset = base_offset;
      record.model.edits[i].value = value;
    }
  record.model.edit_count = count;
  record.data = config_edits_encode (edits);
  config_edits_free (edits);
  if (sim->pending->len == PENDING_MAX)
    g_array_remove_index_fast (sim->pending, 0);
  g_array_append_val (sim->pending, record);
}

/* Appends a pending record.  If it stays pending, its author did not receive the
 * answer and will append it again. */
static void
step_append (simulation_t *sim)
{
  if (sim->pending->len == 0)
    return;
  guint index = (guint) random_below (sim, (int) sim->pending->len);
  log_append (sim, &g_array_index (sim->pending, sim_record_t, index));
  if (random_below (sim, 3) > 0)
    g_array_remove_index_fast (sim->pending, index);
}

static void
step_garbage (simulation_t *sim)
{
  guint8 bytes[GARBAGE_MAX_BYTES];
  gsize size = (gsize) random_below (sim, GARBAGE_MAX_BYTES);
  for (gsize i = 0; i < size; i++)
    bytes[i] = (guint8) random_below (sim, 256);
  sim_record_t record = { .checkpoint_next_offset = -1, .data = g_bytes_new (bytes, size) };
  log_append (sim, &record);
  g_bytes_unref (record.data);
}

static void
step_checkpoint (simulation_t *sim)
{
  const reader_t *reader = &sim->readers[random_below (sim, READERS)];
  sim_record_t record = { .checkpoint_next_offset = config_replica_next_offset (reader->replica) };
  record.data = config_replica_encode_checkpoint (reader->replica);
  log_append (sim, &record);
  g_bytes_unref (record.data);
}

/* Drops records from the log, but only records that precede the checkpoint that
 * covers the most records, and that this checkpoint covers. */
static void
step_retention (simulation_t *sim)
{
  int64_t limit = sim->first_offset;
  for (int64_t offset = sim->first_offset; offset < sim->log->len; offset++)
    limit = MAX (limit, MIN (offset, log_at (sim, offset)->checkpoint_next_offset));
  if (limit > sim->first_offset)
    sim->first_offset += 1 + random_below (sim, (int) (limit - sim->first_offset));
}

static log_batch_t *
log_read (const simulation_t *sim, int64_t from, int64_t count)
{
  int64_t end = sim->log->len;
  int64_t begin = MAX (from, sim->first_offset);
  int64_t next = MIN (end, begin + count);
  log_batch_t *batch = log_batch_new (from, sim->first_offset, MAX (next, begin));
  batch->end_offset = end;
  for (int64_t offset = begin; offset < next; offset++)
    log_batch_add (batch, offset, 0, log_at (sim, offset)->data);
  return batch;
}

static void
check_next_offset (simulation_t *sim, reader_t *reader)
{
  if (config_replica_next_offset (reader->replica) < reader->highest_next_offset)
    sim->mismatch = "a state moved to a lower offset";
  reader->highest_next_offset =
      MAX (reader->highest_next_offset, config_replica_next_offset (reader->replica));
}

static void
step_read (simulation_t *sim)
{
  int index = random_below (sim, READERS);
  reader_t *reader = &sim->readers[index];
  int64_t from = stream_buffer_next_offset (reader->buffer);
  if (random_below (sim, 4) == 0)
    from = random_below (sim, (int) from + 1);
  log_batch_t *batch = log_read (sim, from, 1 + random_below (sim, 20));
  if (random_below (sim, 3) == 0 && sim->delayed->len < DELAYED_MAX)
    {
      delayed_batch_t delayed = { index, batch };
      g_array_append_val (sim->delayed, delayed);
      return;
    }
  stream_buffer_add (reader->buffer, batch);
  log_batch_free (batch);
  check_next_offset (sim, reader);
}

/* Delivers a delayed batch, possibly to another reader; it may be delivered again. */
static void
step_deliver (simulation_t *sim)
{
  if (sim->delayed->len == 0)
    return;
  guint index = (guint) random_below (sim, (int) sim->delayed->len);
  delayed_batch_t *delayed = &g_array_index (sim->delayed, delayed_batch_t, index);
  if (random_below (sim, 4) == 0)
    delayed->reader = random_below (sim, READERS);
  reader_t *reader = &sim->readers[delayed->reader];
  stream_buffer_add (reader->buffer, delayed->batch);
  check_next_offset (sim, reader);
  if (random_below (sim, 2) == 0)
    g_array_remove_index_fast (sim->delayed, index);
}

static void
load_state (simulation_t *sim, reader_t *reader, GBytes *state)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (state, &size);
  if (config_replica_load_checkpoint (reader->replica, data, size) == 0)
    {
      stream_buffer_skip_to (reader->buffer, config_replica_next_offset (reader->replica));
      event_counts.states_loaded++;
    }
  check_next_offset (sim, reader);
}

static void
step_peer (simulation_t *sim)
{
  reader_t *from = &sim->readers[random_below (sim, READERS)];
  reader_t *to = &sim->readers[random_below (sim, READERS)];
  int64_t next = stream_buffer_next_offset (to->buffer);
  if (!config_replica_is_incomplete (to->replica) && stream_buffer_covers (from->buffer, next))
    {
      log_batch_t *batch = stream_buffer_batch_from (from->buffer, next, 512);
      stream_buffer_add (to->buffer, batch);
      log_batch_free (batch);
      check_next_offset (sim, to);
      return;
    }
  GBytes *state = config_replica_encode_checkpoint (from->replica);
  load_state (sim, to, state);
  g_bytes_unref (state);
}

/* Passes an old record to a replica directly, bypassing the stream buffer, which
 * would ignore it. */
static void
step_replay (simulation_t *sim)
{
  reader_t *reader = &sim->readers[random_below (sim, READERS)];
  int64_t next = config_replica_next_offset (reader->replica);
  if (next == 0 || config_replica_is_incomplete (reader->replica))
    return;
  int64_t offset = random_below (sim, (int) next);
  const sim_record_t *record = log_at (sim, offset);
  gsize size = 0;
  const void *data = g_bytes_get_data (record->data, &size);
  if (record->checkpoint_next_offset >= 0)
    load_state (sim, reader, record->data);
  else
    config_replica_apply (reader->replica, offset, data, size);
  check_next_offset (sim, reader);
}

static void
check_reader (simulation_t *sim, const reader_t *reader)
{
  model_state_t state;
  config_outcome_t found;
  int outcome = -1;
  int64_t next = config_replica_next_offset (reader->replica);
  const model_record_t *publication = NULL;
  if (next > 0)
    publication = &log_at (sim, random_below (sim, (int) next))->model;
  model_run (sim, next, &state, publication ? &publication->id : NULL,
             publication ? &outcome : NULL);
  for (int key = 0; key < KEYS; key++)
    {
      char name[8];
      name_of (key, name);
      const config_entry_t *entry =
          config_find (config_replica_config (reader->replica), kind_of (key), name);
      if (!entry_has_value (entry, key, state.values[key]))
        sim->mismatch = "a value differs";
      else if (entry && entry->revision != state.last_change[key])
        sim->mismatch = "a revision differs";
    }
  if (publication && publication->edit_count > 0
      && (!config_replica_find_outcome (reader->replica, &publication->id, &found)
          || found.accepted != outcome))
    sim->mismatch = "an outcome differs";
}

static void
step_check (simulation_t *sim)
{
  check_reader (sim, &sim->readers[random_below (sim, READERS)]);
}

static const struct
{
  int weight;
  void (*run) (simulation_t *sim);
} actions[] = {
  { 24, step_edit },  { 22, step_append },    { 25, step_read },     { 10, step_deliver },
  { 8, step_peer },   { 3, step_checkpoint }, { 3, step_retention }, { 2, step_garbage },
  { 5, step_replay }, { 10, step_check },
};

static void
simulation_step (simulation_t *sim)
{
  int total = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    total += actions[i].weight;
  int choice = random_below (sim, total);
  size_t action = 0;
  while (choice >= actions[action].weight)
    choice -= actions[action++].weight;
  actions[action].run (sim);
  sim->steps++;
}

static bool
states_equal (const config_replica_t *a, const config_replica_t *b)
{
  GBytes *left = config_replica_encode_checkpoint (a);
  GBytes *right = config_replica_encode_checkpoint (b);
  bool same = g_bytes_equal (left, right);
  g_bytes_unref (left);
  g_bytes_unref (right);
  return same;
}

/* Ends the faults.  All readers read to the end of the log; their checkpoints must
 * then be identical, including outcomes and tombstones, whether the state came
 * from a checkpoint or from single records. */
static void
simulation_finish (simulation_t *sim)
{
  model_state_t state;
  model_run (sim, sim->log->len, &state, NULL, NULL);
  for (int i = 0; i < READERS && sim->mismatch == NULL; i++)
    {
      reader_t *reader = &sim->readers[i];
      log_batch_t *batch =
          log_read (sim, stream_buffer_next_offset (reader->buffer), sim->log->len);
      stream_buffer_add (reader->buffer, batch);
      log_batch_free (batch);
      /* The last checkpoint may cover only some of the records that a reader has
       * lost.  The state of a peer covers all of them. */
      if (config_replica_is_incomplete (reader->replica))
        {
          GBytes *peer = config_replica_encode_checkpoint (sim->reference);
          load_state (sim, reader, peer);
          g_bytes_unref (peer);
        }
      check_reader (sim, reader);
      if (!states_equal (reader->replica, sim->reference))
        sim->mismatch = "the state of a reader differs from that of all records";
    }
  if (config_replica_count (sim->tested, CONFIG_APPLY_ACCEPTED)
          + config_replica_count (sim->tested, CONFIG_APPLY_CONFLICT)
      != state.publication_count)
    sim->mismatch = "a publication was counted twice";
}

/* Runs simulations for STEPS steps.  Returns the first mismatch, or NULL. */
static const char *
run_simulations (uint32_t seed, const config_rules_t *rules, int64_t steps, int64_t *done)
{
  GRand *random = g_rand_new_with_seed (seed);
  const char *mismatch = NULL;
  for (*done = 0; *done < steps && mismatch == NULL; *done += STEPS_PER_SIMULATION)
    {
      simulation_t sim;
      simulation_init (&sim, random, rules);
      while (sim.steps < STEPS_PER_SIMULATION && sim.mismatch == NULL)
        simulation_step (&sim);
      if (sim.mismatch == NULL)
        simulation_finish (&sim);
      mismatch = sim.mismatch;
      simulation_clear (&sim);
    }
  g_rand_free (random);
  return mismatch;
}

static void
test_differential (void)
{
  int64_t done = 0;
  const char *mismatch = run_simulations (SEED, &config_rules_all, STEPS_TOTAL, &done);
  printf ("\n    seed %d, %" PRId64 " steps: %s\n", SEED, done,
          mismatch ? mismatch : "no mismatch");
  printf ("    records lost to retention %" PRId64 " times, states loaded %" PRId64 " times\n",
          event_counts.records_lost, event_counts.states_loaded);
  CU_ASSERT_PTR_NULL (mismatch);
  CU_ASSERT (done >= STEPS_TOTAL);
  CU_ASSERT (event_counts.records_lost > 0 && event_counts.states_loaded > 0);
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

/* The differential test must detect the absence of each rule. */
static void
test_rules_needed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rule_cases); i++)
    {
      int64_t done = 0;
      const char *mismatch =
          run_simulations (SEED, &rule_cases[i].rules, DETECTION_STEPS_MAX, &done);
      printf ("\n    %s: %s after at most %" PRId64 " steps", rule_cases[i].name,
              mismatch ? mismatch : "NOT DETECTED", done);
      CU_ASSERT_PTR_NOT_NULL (mismatch);
    }
  printf ("\n");
}

/* Encodes a publication with one edit; PLAN is NULL to remove the entry. */
static GBytes *
encode_edit (uint32_t id_number, const char *name, int64_t base_offset, const char *plan)
{
  config_publication_id_t id = { { 0 } };
  memcpy (id.bytes, &id_number, sizeof id_number);
  config_edits_t *edits = config_edits_new (&id);
  config_entry_t *entry = plan ? config_entry_plan (name, plan, 0) : NULL;
  config_edits_add (edits, CONFIG_PLAN, name, base_offset, entry);
  if (entry)
    config_entry_unref (entry);
  GBytes *record = config_edits_encode (edits);
  config_edits_free (edits);
  return record;
}

static config_apply_result_t
apply_edit (config_replica_t *replica,
            uint32_t id_number,
            const char *name,
            int64_t base_offset,
            const char *plan)
{
  GBytes *record = encode_edit (id_number, name, base_offset, plan);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  config_apply_result_t result =
      config_replica_apply (replica, config_replica_next_offset (replica), data, size);
  g_bytes_unref (record);
  return result;
}

/* Removes more entries than tombstones are kept.  An edit of such an entry with an
 * old base offset must be rejected, an edit with the current base offset accepted,
 * and a replica that loads a checkpoint must have the same state. */
static void
test_tombstones_bounded (void)
{
  config_replica_t *replica = config_replica_new (&config_rules_all);
  config_replica_t *copy = config_replica_new (&config_rules_all);
  char name[16];
  uint32_t id_number = 0;
  for (int i = 0; i < CONFIG_TOMBSTONES_MAX * 2; i++)
    {
      g_snprintf (name, sizeof name, "c%d", i);
      int64_t base_offset = config_replica_next_offset (replica) - 1;
      CU_ASSERT_EQUAL (apply_edit (replica, id_number++, name, base_offset, "gold"),
                       CONFIG_APPLY_ACCEPTED);
      CU_ASSERT_EQUAL (apply_edit (replica, id_number++, name, base_offset + 1, NULL),
                       CONFIG_APPLY_ACCEPTED);
    }
  GBytes *checkpoint = config_replica_encode_checkpoint (replica);
  gsize size = 0;
  const void *data = g_bytes_get_data (checkpoint, &size);
  CU_ASSERT_EQUAL (config_replica_load_checkpoint (copy, data, size), 0);
  CU_ASSERT (states_equal (replica, copy));
  CU_ASSERT_EQUAL (config_replica_load_checkpoint (copy, data, size), ERROR_STALE_BASE);
  CU_ASSERT_EQUAL (apply_edit (replica, id_number++, "c0", -1, "gold"), CONFIG_APPLY_CONFLICT);
  CU_ASSERT_EQUAL (apply_edit (replica, id_number++, "c0", 0, "gold"), CONFIG_APPLY_CONFLICT);
  int64_t base_offset = config_replica_base_offset (replica, CONFIG_PLAN, "c0");
  CU_ASSERT_EQUAL (apply_edit (replica, id_number++, "c0", base_offset, "gold"),
                   CONFIG_APPLY_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (config_plan_of (config_replica_config (replica), "c0"), "gold");
  g_bytes_unref (checkpoint);
  config_replica_free (replica);
  config_replica_free (copy);
}

/* A referenced snapshot does not change with later edits. */
static void
test_snapshot (void)
{
  config_replica_t *replica = config_replica_new (&config_rules_all);
  CU_ASSERT_FALSE (config_replica_has_state (replica));
  apply_edit (replica, 1, "lantern", -1, "gold");
  config_t *snapshot = config_ref (config_replica_config (replica));
  apply_edit (replica, 2, "lantern", 0, "silver");
  apply_edit (replica, 3, "compost", 1, "gold");
  CU_ASSERT_STRING_EQUAL (config_plan_of (snapshot, "lantern"), "gold");
  CU_ASSERT_PTR_NULL (config_plan_of (snapshot, "compost"));
  CU_ASSERT_EQUAL (config_revision (snapshot), 1);
  CU_ASSERT_STRING_EQUAL (config_plan_of (config_replica_config (replica), "lantern"), "silver");
  CU_ASSERT_EQUAL (config_revision (config_replica_config (replica)), 3);
  config_unref (snapshot);
  config_replica_free (replica);
}

static const unit_test_t tests[] = {
  { "differential", test_differential },
  { "rules needed", test_rules_needed },
  { "tombstones bounded", test_tombstones_bounded },
  { "snapshot", test_snapshot },
};

int
main (void)
{
  return unit_run ("config_replica", tests, G_N_ELEMENTS (tests));
}
