/* spread.c -- which owners the tasks of a job go to
 *
 * Task by task the best free slot is taken: the slowest that is fast enough, the own data centre
 * first among equals, so that the fast ones stay free for tasks that need them. Where no slot
 * is free that would do, the task queues where it should end first (outlook.c); while
 * an owner has told no load, at the one with the shortest queue for its size.
 * A job whose data lie in a rack counts as slower in other shards, until an owner has returned
 * tasks of it: then that rack is full.
 */
#include "flow/state.h"

#include <string.h>

/* Speeds that differ by less than this count as equal. */
#define ALIKE 1.1
/* Attempts under one owner stay below this number. */
#define ATTEMPTS_EACH 32

typedef struct
{
  shard_t *shard;
  row_t *row;
  double ratio; /* duration over estimate */
  placement_tier_t tier;
} place_t;

static bool
suits (const row_t *row, const flow_job_t *job)
{
  return strcmp (row->service, job->service) == 0;
}

/* Like the owner's choice of an endpoint: the slowest that is fast enough, else the fastest; the
 * own data centre first among equals. */
static bool
is_better (const flow_t *flow, const place_t *a, const place_t *b)
{
  if (b->row == NULL)
    return true;
  if (a->tier != b->tier)
    return a->tier > b->tier;
  bool alike = a->ratio < b->ratio * ALIKE && b->ratio < a->ratio * ALIKE;
  if (alike)
    return a->shard->name == flow->data_centre && b->shard->name != flow->data_centre;
  return a->tier == PLACEMENT_SAFE ? a->ratio > b->ratio : a->ratio < b->ratio;
}

double
spread_distance (const flow_t *flow, const shard_t *shard, const job_t *job)
{
  if (job->info.near_rack[0] == '\0')
    return 1.0;
  const char *home = g_hash_table_lookup (flow->racks, job->info.near_rack);
  return home == shard->name && job->returns == 0 ? 1.0 : flow->remote_factor;
}

static int64_t
expected_ms_of (double ratio, const job_t *job)
{
  return (int64_t) (ratio * (double) job->info.estimate_ms);
}

bool
spread_is_worth (double ratio, const job_t *job, const placement_best_t *hope, int64_t now_ms)
{
  return placement_is_acceptable (placement_tier (&job->aim, ratio, now_ms),
                                  expected_ms_of (ratio, job), hope);
}

/* The best free slot, and in *HOPE what the job may hope for, if it waits. */
static place_t
best_place (flow_t *flow, const job_t *job, int64_t now_ms, placement_best_t *hope)
{
  place_t best = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  *hope = PLACEMENT_BEST_NONE;
  g_hash_table_iter_init (&iter, flow->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      shard_t *shard = value;
      double distance = spread_distance (flow, shard, job);
      for (guint i = 0; shard->owner != NULL && !shard->drained && i < shard->rows->len; i++)
        {
          row_t *row = &g_array_index (shard->rows, row_t, i);
          if (row->slots_all <= 0 || !suits (row, &job->info))
            continue;
          place_t one = { shard, row, row->ratio * distance, PLACEMENT_UNLIKELY };
          one.tier = placement_tier (&job->aim, one.ratio, now_ms);
          placement_best_add (hope, one.tier, expected_ms_of (one.ratio, job));
          if (row->slots > 0 && is_better (flow, &one, &best))
            best = one;
        }
    }
  if (best.row != NULL && !spread_is_worth (best.ratio, job, hope, now_ms))
    best = (place_t){ 0 };
  return best;
}

/* Slots of SHARD, free or not, on which the job would do at least as well as HOPE. */
static int32_t
slots_all (const flow_t *flow,
           const shard_t *shard,
           const job_t *job,
           const placement_best_t *hope,
           int64_t now_ms)
{
  double distance = spread_distance (flow, shard, job);
  int32_t slots = 0;

  for (guint i = 0; i < shard->rows->len; i++)
    {
      const row_t *row = &g_array_index (shard->rows, row_t, i);
      if (suits (row, &job->info) && spread_is_worth (row->ratio * distance, job, hope, now_ms))
        slots += row->slots_all;
    }
  return slots;
}

/* The shard with the shortest queue for its size. */
static shard_t *
shortest_queue (flow_t *flow, const job_t *job, const placement_best_t *hope, int64_t now_ms)
{
  shard_t *best = NULL;
  double best_length = 0;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, flow->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      shard_t *shard = value;
      int32_t slots = slots_all (flow, shard, job, hope, now_ms);
      if (shard->owner == NULL || shard->drained || slots == 0)
        continue;
      double length = (double) (shard->waiting + 1) / slots;
      if (best == NULL || length < best_length
          || (length <= best_length && shard->name == flow->data_centre))
        {
          best = shard;
          best_length = length;
        }
    }
  return best;
}

batch_t *
spread_batch (flow_t *flow, job_t *job, const shard_t *shard)
{
  batch_t *batch = g_new0 (batch_t, 1);

  batch->number = ++flow->last;
  batch->job = job;
  batch->host = shard->owner;
  batch->shard = shard->name;
  batch->token = shard->token;
  batch->open = g_array_new (FALSE, FALSE, sizeof (int32_t));
  g_ptr_array_add (job->batches, batch);
  g_hash_table_insert (flow->batches, &batch->number, batch);
  return batch;
}

void
spread_send (const job_t *job, const batch_t *batch, GArray *actions)
{
  flow_action_t *action = flow_add (actions, FLOW_SUBMIT);

  action->host = batch->host;
  action->shard = batch->shard;
  action->number = batch->number;
  action->indexes = g_array_new (FALSE, FALSE, sizeof (int32_t));
  g_array_append_vals (action->indexes, batch->open->data, batch->open->len);
  action->batch = (fleet_batch_t){
    .batch = batch->number,
    .token = batch->token,
    .job = job->info.id,
    .spec = job->info.spec,
    .service = job->info.service,
    .priority = job->info.priority,
    .need = job->info.need,
    .estimate_ms = job->info.estimate_ms,
    .goal_at_ms = job->aim.goal_at_ms,
    .stretch = job->aim.stretch,
    .deadline_at_ms = job->info.deadline_at_ms,
    .start_by_ms = job->info.start_by_ms,
    .attempts_max = job->info.attempts_max,
    .attempt_base = job->handovers * ATTEMPTS_EACH,
    .required_label = job->info.label,
    .preferred_rack = job->info.near_rack,
    .tasks_per_endpoint_max = job->info.spread_max,
    .maybe_running = batch->maybe,
    .prior_runs_end_by_ms = batch->wait_until_ms,
    .indexes = (const int32_t *) (void *) action->indexes->data,
    .count = action->indexes->len,
  };
}

static batch_t *
batch_for (flow_t *flow, job_t *job, GPtrArray *fresh, const shard_t *shard)
{
  for (guint i = 0; i < fresh->len; i++)
    if (((batch_t *) fresh->pdata[i])->shard == shard->name)
      return fresh->pdata[i];
  batch_t *batch = spread_batch (flow, job, shard);
  g_ptr_array_add (fresh, batch);
  return batch;
}

void
spread_job (flow_t *flow, job_t *job, int64_t now_ms, GArray *actions)
{
  GPtrArray *fresh = g_ptr_array_new ();

  while (job->unplaced->len > 0)
    {
      placement_best_t hope = PLACEMENT_BEST_NONE;
      place_t place = best_place (flow, job, now_ms, &hope);
      shard_t *shard = place.shard;
      if (shard == NULL)
        shard = outlook_choose (flow, job, &hope, now_ms);
      if (shard == NULL)
        shard = shortest_queue (flow, job, &hope, now_ms);
      if (shard == NULL)
        break;
      if (place.row != NULL)
        place.row->slots--;
      else
        shard->waiting++;
      batch_t *batch = batch_for (flow, job, fresh, shard);
      guint last = job->unplaced->len - 1;
      g_array_append_val (batch->open, g_array_index (job->unplaced, int32_t, last));
      g_array_set_size (job->unplaced, last);
      job->was_sent = true;
    }
  for (guint i = 0; i < fresh->len; i++)
    spread_send (job, fresh->pdata[i], actions);
  g_ptr_array_unref (fresh);
}
