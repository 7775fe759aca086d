/* assign.c -- assigns the tasks of a job to owners
 *
 * Each task takes the best free slot: one with the best expected outcome, in the local data centre
 * if it has one, and the fastest of these.  If no suitable slot is free, the task is queued at the
 * owner where it is expected to end first (forecast_job.c).  As long as an owner has not reported
 * its load, the task is queued at the owner with the shortest queue relative to its number of slots
 * instead.
 *
 * An owner whose next report is overdue may have been cut off.  It is given tasks only if they
 * would wait for longer at every other owner.
 *
 * A job with its data in a rack counts as slower in the shards of other racks.  Once an owner has
 * returned tasks of the job, that rack is taken to be full, and all shards count as equally far.
 */
#include "scheduler/state.h"

/* Speeds that differ by less than this factor count as equal. */
#define EQUAL_SPEED_FACTOR 1.1
/* Attempts of a task under one owner stay below this number, so that the attempt numbers of
 * successive owners do not overlap. */
#define ATTEMPTS_PER_OWNER 32

typedef struct
{
  shard_t *shard;
  offer_row_t *offer;
  double ratio; /* expected duration over the caller's estimate */
  placement_tier_t tier;
} slot_choice_t;

/* True if A is better than B.  Of slots with the same expected outcome those of the local data
 * centre come first: a job is lost if a data centre with a part of it is cut off.  Then the
 * faster slot is better. */
static bool
is_better (const scheduler_t *scheduler, const slot_choice_t *a, const slot_choice_t *b)
{
  if (b->offer == NULL)
    return true;
  if (a->tier != b->tier)
    return a->tier > b->tier;
  bool a_is_local = a->shard->name == scheduler->data_centre;
  bool b_is_local = b->shard->name == scheduler->data_centre;
  if (a_is_local != b_is_local)
    return a_is_local;
  return a->ratio * EQUAL_SPEED_FACTOR <= b->ratio;
}

/* True if the report of every owner is overdue.  In that case this host is more likely to be the
 * one that was cut off or suspended. */
static bool
all_reports_overdue (const scheduler_t *scheduler, int64_t now_ms)
{
  for (guint i = 0; i < scheduler->shard_order->len; i++)
    {
      const shard_t *shard = scheduler->shard_order->pdata[i];
      if (slots_shard_accepts_tasks (shard)
          && report_timing_overdue_ms (&shard->timing, now_ms) == 0)
        return false;
    }
  return true;
}

/* Returns the best free slot for a task of JOB; its offer is NULL if there is none, or if the task
 * should rather wait.  Slots of owners whose report is overdue are not chosen unless TRUST_ALL.
 * *BEST_OUTCOME is set to the best that the task can expect if it waits. */
static slot_choice_t
best_free_slot (scheduler_t *scheduler,
                const scheduled_job_t *job,
                bool trust_all,
                int64_t now_ms,
                placement_best_t *best_outcome)
{
  slot_choice_t best = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  *best_outcome = PLACEMENT_BEST_NONE;
  g_hash_table_iter_init (&iter, scheduler->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      shard_t *shard = value;
      double remote_factor = slots_remote_factor (scheduler, shard, job);
      bool trusted = trust_all || report_timing_overdue_ms (&shard->timing, now_ms) == 0;
      for (guint i = 0; slots_shard_accepts_tasks (shard) && i < shard->offers->len; i++)
        {
          offer_row_t *offer = &g_array_index (shard->offers, offer_row_t, i);
          if (!slots_serve_job (offer, job))
            continue;
          slot_choice_t candidate = { shard, offer, offer->duration_ratio * remote_factor,
                                      PLACEMENT_UNLIKELY };
          candidate.tier = placement_tier (&job->aim, candidate.ratio, now_ms);
          placement_best_add (best_outcome, candidate.tier,
                              slots_expected_run_ms (candidate.ratio, job));
          if (offer->free_slots > 0 && trusted && is_better (scheduler, &candidate, &best))
            best = candidate;
        }
    }
  if (best.offer != NULL && !slots_are_acceptable (best.ratio, job, best_outcome, now_ms))
    best = (slot_choice_t){ 0 };
  return best;
}

/* Returns the shard with the fewest waiting tasks per acceptable slot; NULL if there is none. */
static shard_t *
shortest_queue (scheduler_t *scheduler,
                const scheduled_job_t *job,
                const placement_best_t *best_outcome,
                int64_t now_ms)
{
  shard_t *best = NULL;
  double best_length = 0;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      shard_t *shard = value;
      if (!slots_shard_accepts_tasks (shard))
        continue;
      int32_t slots = slots_summarise (scheduler, shard, job, best_outcome, now_ms).acceptable;
      if (slots == 0)
        continue;
      double length = (double) (shard->waiting_tasks + 1) / slots;
      if (best == NULL || length < best_length
          || (length <= best_length && shard->name == scheduler->data_centre))
        {
          best = shard;
          best_length = length;
        }
    }
  return best;
}

job_batch_t *
assign_new_batch (scheduler_t *scheduler, scheduled_job_t *job, const shard_t *shard)
{
  job_batch_t *batch = g_new0 (job_batch_t, 1);

  batch->number = ++scheduler->last_number;
  batch->job = job;
  batch->host = shard->owner;
  batch->shard = shard->name;
  batch->token = shard->token;
  batch->open_tasks = g_array_new (FALSE, FALSE, sizeof (int32_t));
  g_ptr_array_add (job->batches, batch);
  g_hash_table_insert (scheduler->batches, &batch->number, batch);
  return batch;
}

void
assign_send_batch (const scheduled_job_t *job, const job_batch_t *batch, GArray *actions)
{
  scheduler_action_t *action = scheduler_add_action (actions, SCHEDULER_SUBMIT);

  action->host = batch->host;
  action->shard = batch->shard;
  action->batch_number = batch->number;
  action->task_indexes = g_array_new (FALSE, FALSE, sizeof (int32_t));
  g_array_append_vals (action->task_indexes, batch->open_tasks->data, batch->open_tasks->len);
  action->batch = (executor_batch_t){
    .batch = batch->number,
    .token = batch->token,
    .job = job->request.id,
    .spec = job->request.spec,
    .service = job->request.service,
    .priority = job->request.priority,
    .need = job->request.need,
    .estimate_ms = job->request.estimate_ms,
    .objective_at_ms = job->aim.objective_at_ms,
    .stretch_factor = job->aim.stretch_factor,
    .deadline_at_ms = job->request.deadline_at_ms,
    .start_by_ms = job->request.start_by_ms,
    .attempts_max = job->request.attempts_max,
    .attempt_base = job->handovers * ATTEMPTS_PER_OWNER,
    .required_label = job->request.label,
    .preferred_rack = job->request.preferred_rack,
    .tasks_per_endpoint_max = job->request.spread_max,
    .maybe_running = batch->maybe_running,
    .prior_runs_end_by_ms = batch->wait_until_ms,
    .indexes = (const int32_t *) (void *) action->task_indexes->data,
    .count = action->task_indexes->len,
  };
}

static job_batch_t *
new_batch_for (scheduler_t *scheduler,
               scheduled_job_t *job,
               GPtrArray *new_batches,
               const shard_t *shard)
{
  for (guint i = 0; i < new_batches->len; i++)
    if (((job_batch_t *) new_batches->pdata[i])->shard == shard->name)
      return new_batches->pdata[i];
  job_batch_t *batch = assign_new_batch (scheduler, job, shard);
  g_ptr_array_add (new_batches, batch);
  return batch;
}

void
assign_job_tasks (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  GPtrArray *new_batches = g_ptr_array_new ();
  bool trust_all = all_reports_overdue (scheduler, now_ms);

  while (job->unassigned->len > 0)
    {
      placement_best_t best_outcome = PLACEMENT_BEST_NONE;
      slot_choice_t choice = best_free_slot (scheduler, job, trust_all, now_ms, &best_outcome);
      shard_t *shard = choice.shard;
      if (shard == NULL)
        shard = forecast_job_choose_owner (scheduler, job, &best_outcome, now_ms);
      if (shard == NULL)
        shard = shortest_queue (scheduler, job, &best_outcome, now_ms);
      if (shard == NULL)
        break;
      if (choice.offer != NULL)
        choice.offer->free_slots--;
      else
        shard->waiting_tasks++;
      job_batch_t *batch = new_batch_for (scheduler, job, new_batches, shard);
      guint last = job->unassigned->len - 1;
      g_array_append_val (batch->open_tasks, g_array_index (job->unassigned, int32_t, last));
      g_array_set_size (job->unassigned, last);
      job->was_sent = true;
    }
  for (guint i = 0; i < new_batches->len; i++)
    assign_send_batch (job, new_batches->pdata[i], actions);
  g_ptr_array_unref (new_batches);
}
