/* scheduler.c -- the jobs of one coordinator, from submission to the ends of their tasks
 *
 * A task is unassigned, at one owner, or done.  A batch holds the tasks that one owner was sent
 * together.  When its shard changes hands, the open tasks are sent to the new owner as a new batch
 * of tasks that may be running.
 *
 * Invariant: a task is sent again as "never started" only if the only owner that it was ever sent
 * to has returned it or has never accepted it.
 */
#include "scheduler/state.h"

#include <string.h>

#define STRING_CHUNK_BYTES 1024
/* Bounds what a new connection between hosts is sent. */
#define CANCELLED_LISTED_MAX 256

/* --- memory --- */

static void
free_batch (void *data)
{
  job_batch_t *batch = data;

  g_array_unref (batch->open_tasks);
  g_free (batch);
}

static void
free_job (void *data)
{
  scheduled_job_t *job = data;

  g_free ((char *) job->request.id);
  g_free ((char *) job->request.queue);
  g_free ((char *) job->request.spec);
  g_free ((char *) job->request.service);
  g_free ((char *) job->request.label);
  g_free ((char *) job->request.preferred_rack);
  g_array_unref (job->unassigned);
  g_ptr_array_unref (job->batches);
  g_ptr_array_unref (job->requests);
  g_array_unref (job->followers);
  g_ptr_array_unref (job->confirmed_by);
  g_ptr_array_unref (job->cleared_hosts);
  g_array_unref (job->owner_replies);
  g_free (job);
}

static void
free_shard (void *data)
{
  shard_t *shard = data;

  g_array_unref (shard->offers);
  g_hash_table_unref (shard->services);
  g_array_unref (shard->loads);
  g_free (shard);
}

scheduler_t *
scheduler_new (const scheduler_options_t *options)
{
  scheduler_t *scheduler = g_new0 (scheduler_t, 1);

  scheduler->host = g_intern_string (options->host);
  scheduler->data_centre = g_intern_string (options->data_centre);
  scheduler->lease_ms = options->lease_ms;
  scheduler->remote_factor = MAX (options->remote_factor, 1.0);
  scheduler->shard_by_rack = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scheduler->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_job);
  scheduler->batches = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_batch);
  scheduler->shards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_shard);
  scheduler->drained_shards = g_hash_table_new (NULL, NULL);
  scheduler->shard_order = g_ptr_array_new ();
  /* Hosts must draw different random numbers, and a test must be able to repeat them. */
  scheduler->rand = g_rand_new_with_seed ((guint32) hash_string (options->host));
  scheduler->ended_jobs = ended_jobs_new ();
  scheduler->jobs_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  scheduler->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  scheduler->remote_jobs = remote_jobs_new ();
  scheduler->untold_ends = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  scheduler->told_ends = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  scheduler->registered_ends = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  scheduler->told_registered_ends = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  scheduler->unreached = g_array_new (FALSE, FALSE, sizeof (scheduler_unreached_t));
  scheduler->confirmed_at_ms = INT64_MAX;
  scheduler->resubmit_ms = options->resubmit_ms;
  scheduler->started_at_ms = options->started_at_ms;
  scheduler->cold_until_ms = options->cold_until_ms;
  scheduler->stop_ms = options->stop_ms;
  scheduler->cold_for_ms = options->cold_until_ms - options->started_at_ms;
  scheduler->size_history = size_history_new ();
  scheduler->answer_strings = g_string_chunk_new (STRING_CHUNK_BYTES);
  scheduler->cancellations = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  scheduler->answer_by_ms = INT64_MAX;
  scheduler->last_number = options->incarnation;
  return scheduler;
}

void
scheduler_free (scheduler_t *scheduler)
{
  if (scheduler == NULL)
    return;
  g_hash_table_unref (scheduler->shard_by_rack);
  g_hash_table_unref (scheduler->batches);
  g_hash_table_unref (scheduler->jobs);
  g_hash_table_unref (scheduler->shards);
  g_hash_table_unref (scheduler->drained_shards);
  g_ptr_array_unref (scheduler->shard_order);
  g_rand_free (scheduler->rand);
  g_hash_table_unref (scheduler->cancellations);
  ended_jobs_free (scheduler->ended_jobs);
  g_hash_table_unref (scheduler->jobs_by_id);
  g_hash_table_unref (scheduler->requests);
  remote_jobs_free (scheduler->remote_jobs);
  job_statuses_clear (scheduler->untold_ends);
  job_statuses_clear (scheduler->told_ends);
  g_array_unref (scheduler->untold_ends);
  g_array_unref (scheduler->told_ends);
  job_statuses_clear (scheduler->registered_ends);
  job_statuses_clear (scheduler->told_registered_ends);
  g_array_unref (scheduler->registered_ends);
  g_array_unref (scheduler->told_registered_ends);
  g_clear_pointer (&scheduler->registrars, g_ptr_array_unref);
  g_array_unref (scheduler->unreached);
  size_history_free (scheduler->size_history);
  g_string_chunk_free (scheduler->answer_strings);
  g_free (scheduler);
}

scheduler_action_t *
scheduler_add_action (GArray *actions, scheduler_action_kind_t kind)
{
  scheduler_action_t action = { .kind = kind };

  g_array_append_val (actions, action);
  return &g_array_index (actions, scheduler_action_t, actions->len - 1);
}

void
scheduler_remove_batch (scheduler_t *scheduler, job_batch_t *batch)
{
  g_ptr_array_remove_fast (batch->job->batches, batch);
  g_hash_table_remove (scheduler->batches, &batch->number);
}

/* --- jobs --- */

static placement_target_t
objective_of (const scheduler_job_t *info)
{
  double objective_ms =
      info->stretch_factor * (double) info->estimate_ms + (double) info->target_ms;

  return (placement_target_t){ .work_ms = info->estimate_ms,
                               .objective_at_ms = info->received_at_ms + (int64_t) objective_ms,
                               .stretch_factor = info->stretch_factor,
                               .deadline_at_ms = info->deadline_at_ms };
}

void
scheduler_limit_deadline (scheduled_job_t *job, int64_t until_ms, scheduler_limit_t limit)
{
  if (job->request.deadline_at_ms <= until_ms)
    return;
  job->request.deadline_at_ms = until_ms;
  job->aim.deadline_at_ms = until_ms;
  job->deadline_limit = limit;
}

void
scheduler_stop (scheduler_t *scheduler, int64_t answer_by_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  scheduler->answer_by_ms = answer_by_ms;
  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    scheduler_limit_deadline (value, answer_by_ms, SCHEDULER_LIMIT_STOPPING);
}

/* Refuses a new job that can't be served in time because this host stops, because a data centre is
 * out of reach, or because of the backlog.  Returns true if it was refused. */
static bool
refuse_on_arrival (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  static const char *const reasons[] = {
    [ADMISSION_MISSES_DEADLINE] = "the backlog leaves no time for it before its deadline",
    [ADMISSION_MISSES_START_LIMIT] = "the backlog is longer than its queue's time",
  };
  bool is_shortened = job->deadline_limit == SCHEDULER_LIMIT_STOPPING
                      || job->deadline_limit == SCHEDULER_LIMIT_UNREACHED;
  if (is_shortened && scheduler_cannot_finish (job, now_ms))
    {
      scheduler_refuse_job (scheduler, job, job->deadline_limit, scheduler_deadline_reason (job),
                            now_ms, actions);
      return true;
    }
  admission_t admission = forecast_job_admit (scheduler, job, now_ms);

  if (admission == ADMISSION_ADMIT)
    return false;
  scheduler_refuse_job (scheduler, job, SCHEDULER_LIMIT_CAPACITY, reasons[admission], now_ms,
                        actions);
  return true;
}

/* Appends the answer to a repeated request, and returns true, if the job has ended before. */
static bool
answer_repeated (scheduler_t *scheduler,
                 const scheduler_job_t *info,
                 int64_t now_ms,
                 GArray *actions)
{
  scheduler_outcome_t outcome = SCHEDULER_CANCELLED;

  if (!ended_jobs_find (scheduler->ended_jobs, info->id, now_ms, &outcome))
    return false;
  scheduler_action_t *action = scheduler_add_action (actions, SCHEDULER_ANSWER);
  action->repeated = true;
  action->outcome = outcome;
  action->user_data = info->user_data;
  action->job_id = g_string_chunk_insert (scheduler->answer_strings, info->id);
  return true;
}

static scheduled_job_t *
new_job (scheduler_t *scheduler, const scheduler_job_t *info)
{
  scheduled_job_t *job = g_new0 (scheduled_job_t, 1);

  job->number = ++scheduler->last_number;
  job->request = *info;
  job->request.id = g_strdup (info->id);
  job->request.queue = g_strdup (info->queue != NULL ? info->queue : "");
  job->request.spec = g_strdup (info->spec);
  job->request.service = g_strdup (info->service);
  job->request.label = g_strdup (info->label);
  job->request.preferred_rack = g_strdup (info->preferred_rack);
  job->aim = objective_of (info);
  job->deadline_limit =
      info->deadline_from_queue ? SCHEDULER_LIMIT_QUEUE_TIME : SCHEDULER_LIMIT_CALLER_WAIT;
  scheduler_limit_deadline (job, scheduler->answer_by_ms, SCHEDULER_LIMIT_STOPPING);
  job->size_class = size_history_add (scheduler->size_history, job->request.queue,
                                      (double) info->tasks * (double) info->need.cores_milli
                                          * (double) info->estimate_ms);
  job->tasks_left = info->tasks;
  job->unassigned = g_array_sized_new (FALSE, FALSE, sizeof (int32_t), (guint) info->tasks);
  for (int32_t i = info->tasks; i-- > 0;)
    g_array_append_val (job->unassigned, i);
  job->batches = g_ptr_array_new ();
  job->requests = g_ptr_array_new ();
  job->followers = g_array_new (FALSE, FALSE, sizeof (job_follower_t));
  job->confirmed_by = g_ptr_array_new ();
  job->cleared_hosts = g_ptr_array_new ();
  job->owner_replies = g_array_new (FALSE, FALSE, sizeof (owner_reply_t));
  g_hash_table_insert (scheduler->jobs, &job->number, job);
  g_hash_table_insert (scheduler->jobs_by_id, (void *) job->request.id, job);
  job->random = g_rand_int (scheduler->rand);
  job->expected_wait_ms = -1;
  job->report_age_ms = -1;
  if (info->start_by_ms != 0)
    job->start_limit_ms = MAX (info->start_by_ms - info->received_at_ms, 1);
  return job;
}

void
scheduler_start_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  unannounced_limit_deadline (scheduler, job);
  if (refuse_on_arrival (scheduler, job, now_ms, actions))
    return;
  cold_start_log (scheduler, job, now_ms, actions);
  assign_job_tasks (scheduler, job, now_ms, actions);
}

uint64_t
scheduler_submit (scheduler_t *scheduler,
                  const scheduler_job_t *info,
                  int64_t now_ms,
                  GArray *actions)
{
  if (answer_repeated (scheduler, info, now_ms, actions))
    return ++scheduler->last_number;
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, info->id);

  if (job != NULL)
    return repeats_add_request (scheduler, job, info->user_data);
  job = new_job (scheduler, info);
  uint64_t number = repeats_add_request (scheduler, job, info->user_data);

  if (!repeats_wait (scheduler, job, now_ms, actions)
      && !cold_start_wait (scheduler, job, now_ms, actions))
    (void) late_request_wait (scheduler, job, now_ms, actions);
  if (!job_registry_wait (scheduler, job, now_ms, actions) && job->waits_since_ms == 0)
    scheduler_start_job (scheduler, job, now_ms, actions);
  return number;
}

bool
scheduler_cancel (scheduler_t *scheduler, const char *id, int64_t now_ms, GArray *actions)
{
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, id);

  if (job != NULL)
    {
      job->end_pending = false;
      scheduler_end_job (scheduler, job, SCHEDULER_CANCELLED, SCHEDULER_LIMIT_NONE,
                         "it was cancelled", now_ms, actions);
    }
  ended_jobs_add (scheduler->ended_jobs, id, SCHEDULER_CANCELLED, now_ms);
  return job != NULL;
}

void
scheduler_foreach_cancelled (const scheduler_t *scheduler,
                             void (*function) (const char *id, void *data),
                             void *data)
{
  ended_jobs_foreach_cancelled (scheduler->ended_jobs, CANCELLED_LISTED_MAX, function, data);
}

void
scheduler_abandon (scheduler_t *scheduler, uint64_t number, int64_t now_ms, GArray *actions)
{
  const job_request_t *request = g_hash_table_lookup (scheduler->requests, &number);

  if (request == NULL)
    return;
  scheduled_job_t *job = request->job;
  g_ptr_array_remove (job->requests, (void *) request);
  g_hash_table_remove (scheduler->requests, &number);
  if (!repeats_is_wanted (job, now_ms))
    scheduler_drop_job (scheduler, job, now_ms, actions);
}

static job_batch_t *
find_batch (const scheduler_t *scheduler, const char *host, uint64_t number)
{
  job_batch_t *batch = g_hash_table_lookup (scheduler->batches, &number);

  return batch != NULL && strcmp (batch->host, host) == 0 ? batch : NULL;
}

/* Returns the position of task INDEX among the open tasks of BATCH, -1 if it is not one. */
static int
find_open_task (const job_batch_t *batch, int32_t index)
{
  for (guint i = 0; i < batch->open_tasks->len; i++)
    if (g_array_index (batch->open_tasks, int32_t, i) == index)
      return (int) i;
  return -1;
}

static bool
remove_open_task (job_batch_t *batch, int32_t index)
{
  int position = find_open_task (batch, index);

  if (position >= 0)
    g_array_remove_index_fast (batch->open_tasks, (guint) position);
  return position >= 0;
}

void
scheduler_note_failure (scheduler_t *scheduler,
                        const char *host,
                        uint64_t number,
                        int32_t index,
                        const task_failure_t *failure)
{
  const job_batch_t *batch = find_batch (scheduler, host, number);

  if (batch == NULL || find_open_task (batch, index) < 0)
    return;
  batch->job->failure = *failure;
  batch->job->failed_index = index;
}

scheduler_task_end_t
scheduler_task_end_of (executor_action_kind_t how)
{
  static const scheduler_task_end_t task_ends[] = {
    [EXECUTOR_DONE] = SCHEDULER_TASK_DONE,
    [EXECUTOR_FAILED] = SCHEDULER_TASK_FAILED,
    [EXECUTOR_RETURNED] = SCHEDULER_TASK_RETURNED,
    [EXECUTOR_EXPIRED] = SCHEDULER_TASK_EXPIRED,
    [EXECUTOR_OVERDUE] = SCHEDULER_TASK_OVERDUE,
    [EXECUTOR_NOT_OWNED] = SCHEDULER_TASK_NOT_OWNED,
    [EXECUTOR_START_TIMEOUT] = SCHEDULER_TASK_UNSTARTED,
    [EXECUTOR_RETURNED_AFTER_RUN] = SCHEDULER_TASK_VACATED,
  };

  return task_ends[how];
}

void
scheduler_task_ended (scheduler_t *scheduler,
                      const char *host,
                      uint64_t number,
                      int32_t index,
                      scheduler_task_end_t how,
                      int64_t now_ms,
                      GArray *actions)
{
  job_batch_t *batch = find_batch (scheduler, host, number);

  if (batch != NULL && (batch->maybe_running || batch->resent) && how == SCHEDULER_TASK_NOT_OWNED)
    {
      /* Its tasks may run under another owner of the shard, and only that owner knows about them.
       * HOST may have owned the shard when the batch was sent the first time. */
      if (batch->owner_lost_at_ms == 0)
        batch->owner_lost_at_ms = now_ms;
      return;
    }
  if (batch == NULL || !remove_open_task (batch, index))
    return;
  scheduled_job_t *job = batch->job;
  job->may_have_run |= how == SCHEDULER_TASK_DONE || how == SCHEDULER_TASK_FAILED
                       || how == SCHEDULER_TASK_OVERDUE || how == SCHEDULER_TASK_VACATED;
  /* The next attempts of the task get higher numbers than those at this owner. */
  job->handovers += how == SCHEDULER_TASK_VACATED;
  if (batch->open_tasks->len == 0 && !batch->cancel_requested)
    scheduler_remove_batch (scheduler, batch);
  switch (how)
    {
    case SCHEDULER_TASK_DONE:
      if (--job->tasks_left == 0)
        {
          job->outcome = SCHEDULER_COMPLETE;
          scheduler_answer_job (scheduler, job, now_ms, actions);
        }
      break;
    case SCHEDULER_TASK_FAILED:
      scheduler_end_job (scheduler, job, SCHEDULER_FAILED, SCHEDULER_LIMIT_ATTEMPTS,
                         "a task has failed as often as is allowed, or has crashed its endpoints",
                         now_ms, actions);
      break;
    case SCHEDULER_TASK_UNSTARTED:
    case SCHEDULER_TASK_RETURNED:
    case SCHEDULER_TASK_NOT_OWNED:
    case SCHEDULER_TASK_VACATED:
      /* It is assigned again in the next step, with the offers that are known by then. */
      job->returned_tasks++;
      if (!job->end_pending)
        g_array_append_val (job->unassigned, index);
      break;
    case SCHEDULER_TASK_OVERDUE:
      if (job->failure.cause == TASK_FAILURE_REJECTED && job->failed_index == index)
        {
          scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_ATTEMPTS,
                             "endpoints reject the start orders of a task as malformed", now_ms,
                             actions);
          break;
        }
      scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, job->deadline_limit,
                         "a task takes too long for its deadline", now_ms, actions);
      break;
    case SCHEDULER_TASK_EXPIRED:
    default:
      scheduler_refuse_job (scheduler, job, job->deadline_limit, "cannot end before its deadline",
                            now_ms, actions);
      break;
    }
}

void
scheduler_batch_end_confirmed (scheduler_t *scheduler,
                               const char *host,
                               uint64_t number,
                               bool never_started,
                               int64_t now_ms,
                               GArray *actions)
{
  job_batch_t *batch = find_batch (scheduler, host, number);

  g_hash_table_remove (scheduler->cancellations, &number);
  if (batch == NULL || !batch->cancel_requested)
    return;
  scheduled_job_t *job = batch->job;
  job->may_have_run |= !never_started;
  scheduler_remove_batch (scheduler, batch);
  if (!job->end_pending || (job->may_have_run && job->awaits_stops))
    return;
  if (job->may_have_run && scheduler_await_stops (scheduler, job, now_ms))
    return;
  if (job->batches->len == 0 || job->may_have_run)
    scheduler_answer_job (scheduler, job, now_ms, actions);
}

void
scheduler_give_up_all (scheduler_t *scheduler, const char *reason, int64_t now_ms, GArray *actions)
{
  GList *jobs = g_hash_table_get_values (scheduler->jobs);

  for (GList *at = jobs; at != NULL; at = at->next)
    {
      scheduled_job_t *job = at->data;
      job->may_have_run |= job->was_sent;
      scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_OWNERS, reason, now_ms,
                         actions);
    }
  g_list_free (jobs);
}

int32_t
scheduler_job_count (const scheduler_t *scheduler)
{
  return (int32_t) g_hash_table_size (scheduler->jobs);
}
