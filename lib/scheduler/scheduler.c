/* scheduler.c -- assigns the tasks of one coordinator's jobs to owners and decides the answers
 *
 * A task is unassigned, at one owner, or done.  A batch holds the tasks that one owner was sent
 * together.  When its shard changes hands, the open tasks are sent to the new owner as a new batch
 * of tasks that may be running.
 *
 * Invariant: a task is sent again as "never started" only if the only owner that it was ever sent
 * to has returned it or has never accepted it.
 *
 * The answer "not run" requires a confirmation from every owner that was sent a part of the job.
 * If an owner does not confirm in time, the job is answered as "given up" instead.
 */
#include "scheduler/state.h"

#include <string.h>

/* A job is refused if its tasks find no owner for this long.  When the drain of a data centre ends,
 * its owner offers its endpoints again within this time. */
#define NO_OWNER_TIMEOUT_MS 300
/* A job with tasks at a lost owner is given up if no other owner takes over within this time. */
#define TAKEOVER_TIMEOUT_MS 700
/* Owners confirm a cancellation within this time; a job does not wait longer for it. */
#define CONFIRM_TIMEOUT_MS 60
/* A job can end in time only if this fraction of its estimated duration remains before its
 * deadline. */
#define MIN_RUN_FRACTION 0.6
#define STRING_CHUNK_BYTES 1024

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
  scheduler->jobs_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  scheduler->batches = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_batch);
  scheduler->shards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_shard);
  scheduler->drained_shards = g_hash_table_new (NULL, NULL);
  scheduler->shard_order = g_ptr_array_new ();
  /* Hosts must draw different random numbers, and a test must be able to repeat them. */
  scheduler->rand = g_rand_new_with_seed ((guint32) hash_string (options->host));
  scheduler->size_history = size_history_new ();
  scheduler->answer_strings = g_string_chunk_new (STRING_CHUNK_BYTES);
  scheduler->cancellations = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return scheduler;
}

void
scheduler_free (scheduler_t *scheduler)
{
  if (scheduler == NULL)
    return;
  g_hash_table_unref (scheduler->shard_by_rack);
  g_hash_table_unref (scheduler->jobs_by_id);
  g_hash_table_unref (scheduler->batches);
  g_hash_table_unref (scheduler->jobs);
  g_hash_table_unref (scheduler->shards);
  g_hash_table_unref (scheduler->drained_shards);
  g_ptr_array_unref (scheduler->shard_order);
  g_rand_free (scheduler->rand);
  g_hash_table_unref (scheduler->cancellations);
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

/* --- answers --- */

void
scheduler_remove_batch (scheduler_t *scheduler, job_batch_t *batch)
{
  g_ptr_array_remove_fast (batch->job->batches, batch);
  g_hash_table_remove (scheduler->batches, &batch->number);
}

static void
remove_job (scheduler_t *scheduler, scheduled_job_t *job)
{
  while (job->batches->len > 0)
    scheduler_remove_batch (scheduler, job->batches->pdata[job->batches->len - 1]);
  if (g_hash_table_lookup (scheduler->jobs_by_id, job->request.id) == job)
    g_hash_table_remove (scheduler->jobs_by_id, job->request.id);
  g_hash_table_remove (scheduler->jobs, &job->number);
}

/* Writes "host:tasks" for each owner that has open tasks of JOB. */
static void
format_owners (const scheduled_job_t *job, char *text, size_t size)
{
  size_t used = 0;

  text[0] = '\0';
  for (guint i = 0; i < job->batches->len && used < size; i++)
    {
      const job_batch_t *batch = job->batches->pdata[i];
      if (batch->open_tasks->len > 0)
        used += (size_t) g_snprintf (text + used, size - used, "%s%s:%u", used > 0 ? " " : "",
                                     batch->host, batch->open_tasks->len);
    }
}

static void
answer_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  scheduler_action_t *action = scheduler_add_action (actions, SCHEDULER_ANSWER);

  action->outcome = job->outcome;
  if (job->outcome == SCHEDULER_REFUSED && job->may_have_run)
    action->outcome = SCHEDULER_GIVEN_UP;
  action->user_data = job->request.user_data;
  action->reason = job->reason;
  action->limit = job->limit;
  if (action->outcome == SCHEDULER_REFUSED)
    action->retry_after_ms = forecast_job_retry_after_ms (scheduler, job, now_ms);
  action->elapsed_ms = now_ms - job->request.received_at_ms;
  action->late_by_ms = now_ms - job->aim.objective_at_ms;
  action->job_id = g_string_chunk_insert (scheduler->answer_strings, job->request.id);
  action->queue = g_string_chunk_insert (scheduler->answer_strings, job->request.queue);
  action->expected_wait_ms = job->expected_wait_ms;
  action->report_age_ms = job->report_age_ms;
  action->tasks = job->request.tasks;
  action->estimate_ms = job->request.estimate_ms;
  action->size_class = job->size_class;
  action->tasks_left = job->tasks_left;
  action->handovers = job->handovers;
  action->returned_tasks = job->returned_tasks;
  format_owners (job, action->owners, sizeof action->owners);
  remove_job (scheduler, job);
}

static void
cancel_batches (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      job_batch_t *batch = job->batches->pdata[i];
      batch->cancel_requested = true;
      cancellations_add (scheduler, batch, SCHEDULER_CANCEL, now_ms, actions);
    }
}

/* Ends JOB before it is complete.  If it is refused, but its owners must first confirm that none of
 * its tasks has run, the answer follows later. */
static void
end_job (scheduler_t *scheduler,
         scheduled_job_t *job,
         scheduler_outcome_t outcome,
         scheduler_limit_t limit,
         const char *reason,
         int64_t now_ms,
         GArray *actions)
{
  if (job->end_pending)
    return;
  job->outcome = outcome;
  job->reason = reason;
  job->limit = limit;
  cancel_batches (scheduler, job, now_ms, actions);
  if (outcome != SCHEDULER_REFUSED || job->may_have_run || job->batches->len == 0)
    {
      answer_job (scheduler, job, now_ms, actions);
      return;
    }
  job->end_pending = true;
  job->confirm_by_ms = now_ms + CONFIRM_TIMEOUT_MS;
}

static void
refuse_job (scheduler_t *scheduler,
            scheduled_job_t *job,
            scheduler_limit_t limit,
            const char *reason,
            int64_t now_ms,
            GArray *actions)
{
  end_job (scheduler, job, SCHEDULER_REFUSED, limit, reason, now_ms, actions);
}

/* Returns the limit that the deadline of JOB stands for. */
static scheduler_limit_t
deadline_limit (const scheduled_job_t *job)
{
  return job->request.deadline_from_queue ? SCHEDULER_LIMIT_QUEUE_TIME
                                          : SCHEDULER_LIMIT_CALLER_WAIT;
}

/* True if all data centres that have endpoints for JOB are drained.  A data centre whose owner has
 * not sent an offer yet may have endpoints for it. */
static bool
is_drained_everywhere (const scheduler_t *scheduler, const scheduled_job_t *job)
{
  const char *service = g_intern_string (job->request.service);
  bool some_drained = false;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const shard_t *shard = value;
      bool serves = g_hash_table_contains (shard->services, service);
      if (shard->drained)
        some_drained |= serves;
      else if (serves || g_hash_table_size (shard->services) == 0)
        return false;
    }
  return some_drained;
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

/* Refuses a new job that can't be served in time because of the backlog.  Returns true if it was
 * refused. */
static bool
refuse_on_arrival (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  static const char *const reasons[] = {
    [ADMISSION_MISSES_DEADLINE] = "the backlog leaves no time for it before its deadline",
    [ADMISSION_MISSES_START_LIMIT] = "the backlog is longer than its queue's time",
  };
  admission_t admission = forecast_job_admit (scheduler, job, now_ms);

  if (admission == ADMISSION_ADMIT)
    return false;
  refuse_job (scheduler, job, SCHEDULER_LIMIT_CAPACITY, reasons[admission], now_ms, actions);
  return true;
}

uint64_t
scheduler_submit (scheduler_t *scheduler,
                  const scheduler_job_t *info,
                  int64_t now_ms,
                  GArray *actions)
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
  job->size_class = size_history_add (scheduler->size_history, job->request.queue,
                                      (double) info->tasks * (double) info->need.cores_milli
                                          * (double) info->estimate_ms);
  job->tasks_left = info->tasks;
  job->unassigned = g_array_sized_new (FALSE, FALSE, sizeof (int32_t), (guint) info->tasks);
  for (int32_t i = info->tasks; i-- > 0;)
    g_array_append_val (job->unassigned, i);
  job->batches = g_ptr_array_new ();
  g_hash_table_insert (scheduler->jobs, &job->number, job);
  g_hash_table_replace (scheduler->jobs_by_id, (char *) job->request.id, job);
  job->random = g_rand_int (scheduler->rand);
  job->expected_wait_ms = -1;
  job->report_age_ms = -1;
  if (info->start_by_ms != 0)
    job->start_limit_ms = MAX (info->start_by_ms - info->received_at_ms, 1);
  uint64_t number = job->number;
  if (!refuse_on_arrival (scheduler, job, now_ms, actions))
    assign_job_tasks (scheduler, job, now_ms, actions);
  return number;
}

bool
scheduler_cancel (scheduler_t *scheduler, const char *id, int64_t now_ms, GArray *actions)
{
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, id);

  if (job == NULL)
    return false;
  job->end_pending = false;
  end_job (scheduler, job, SCHEDULER_CANCELLED, SCHEDULER_LIMIT_NONE, "it was cancelled", now_ms,
           actions);
  return true;
}

void
scheduler_abandon (scheduler_t *scheduler, uint64_t number, int64_t now_ms, GArray *actions)
{
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs, &number);

  if (job == NULL)
    return;
  if (!job->end_pending)
    cancel_batches (scheduler, job, now_ms, actions);
  remove_job (scheduler, job);
}

static job_batch_t *
find_batch (const scheduler_t *scheduler, const char *host, uint64_t number)
{
  job_batch_t *batch = g_hash_table_lookup (scheduler->batches, &number);

  return batch != NULL && strcmp (batch->host, host) == 0 ? batch : NULL;
}

static bool
remove_open_task (job_batch_t *batch, int32_t index)
{
  for (guint i = 0; i < batch->open_tasks->len; i++)
    if (g_array_index (batch->open_tasks, int32_t, i) == index)
      {
        g_array_remove_index_fast (batch->open_tasks, i);
        return true;
      }
  return false;
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
          answer_job (scheduler, job, now_ms, actions);
        }
      break;
    case SCHEDULER_TASK_FAILED:
      end_job (scheduler, job, SCHEDULER_FAILED, SCHEDULER_LIMIT_ATTEMPTS,
               "a task has failed as often as is allowed", now_ms, actions);
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
      end_job (scheduler, job, SCHEDULER_GIVEN_UP, deadline_limit (job),
               "a task takes too long for its deadline", now_ms, actions);
      break;
    case SCHEDULER_TASK_EXPIRED:
    default:
      refuse_job (scheduler, job, deadline_limit (job), "cannot end before its deadline", now_ms,
                  actions);
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
  if (job->end_pending && (job->batches->len == 0 || job->may_have_run))
    answer_job (scheduler, job, now_ms, actions);
}

void
scheduler_give_up_all (scheduler_t *scheduler, const char *reason, int64_t now_ms, GArray *actions)
{
  GList *jobs = g_hash_table_get_values (scheduler->jobs);

  for (GList *at = jobs; at != NULL; at = at->next)
    {
      scheduled_job_t *job = at->data;
      job->may_have_run |= job->was_sent;
      end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_OWNERS, reason, now_ms, actions);
    }
  g_list_free (jobs);
}

/* --- timeouts --- */

static bool
takeover_timed_out (const scheduled_job_t *job, int64_t now_ms)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      const job_batch_t *batch = job->batches->pdata[i];
      if (batch->owner_lost_at_ms != 0 && now_ms - batch->owner_lost_at_ms > TAKEOVER_TIMEOUT_MS)
        return true;
    }
  return false;
}

/* Handles a JOB with unassigned tasks for which the queue's time for a first start has passed.  If
 * none of its tasks has started, it is refused.  If another part of it may have started, the job
 * meets the limit, and its unassigned tasks are assigned again without a limit.  Returns true if
 * they must not be assigned now. */
static bool
start_limit_passed (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (!job->may_have_run && (int32_t) job->unassigned->len == job->request.tasks)
    {
      refuse_job (scheduler, job, SCHEDULER_LIMIT_QUEUE_TIME,
                  "no task has started within its queue's time", now_ms, actions);
      return true;
    }
  /* The other owners are about to report whether their parts have started. */
  if (!job->may_have_run && now_ms < job->request.start_by_ms + CONFIRM_TIMEOUT_MS)
    return true;
  job->request.start_by_ms = 0;
  return false;
}

static void
step_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (job->end_pending)
    {
      if (now_ms < job->confirm_by_ms)
        return;
      job->may_have_run = true;
      answer_job (scheduler, job, now_ms, actions);
      return;
    }
  if (now_ms >= job->request.deadline_at_ms)
    {
      refuse_job (scheduler, job, deadline_limit (job), "its deadline has passed", now_ms, actions);
      return;
    }
  if (takeover_timed_out (job, now_ms))
    {
      end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_OWNERS,
               "the host that ran a part of it is lost", now_ms, actions);
      return;
    }
  if (job->unassigned->len == 0)
    return;
  if (job->request.start_by_ms != 0 && now_ms >= job->request.start_by_ms
      && start_limit_passed (scheduler, job, now_ms, actions))
    return;
  guint action_count = actions->len;
  assign_job_tasks (scheduler, job, now_ms, actions);
  /* The actions that were just appended refer to the job, which must not end in the same step. */
  if (job->unassigned->len == 0 || actions->len > action_count)
    {
      job->no_owner_since_ms = 0;
      return;
    }
  if (is_drained_everywhere (scheduler, job))
    {
      refuse_job (scheduler, job, SCHEDULER_LIMIT_DRAINED,
                  "every data centre with endpoints for it is drained", now_ms, actions);
      return;
    }
  bool cannot_finish = now_ms + (int64_t) (MIN_RUN_FRACTION * (double) job->request.estimate_ms)
                       > job->request.deadline_at_ms;
  if (job->no_owner_since_ms == 0)
    job->no_owner_since_ms = now_ms;
  if (cannot_finish || now_ms - job->no_owner_since_ms > NO_OWNER_TIMEOUT_MS)
    refuse_job (scheduler, job, SCHEDULER_LIMIT_OWNERS, "no owner of endpoints is known", now_ms,
                actions);
}

void
scheduler_step (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  GList *jobs = g_hash_table_get_values (scheduler->jobs);

  g_string_chunk_clear (scheduler->answer_strings);
  for (GList *at = jobs; at != NULL; at = at->next)
    step_job (scheduler, at->data, now_ms, actions);
  g_list_free (jobs);
  cancellations_resend (scheduler, now_ms, actions);
}

int32_t
scheduler_job_count (const scheduler_t *scheduler)
{
  return (int32_t) g_hash_table_size (scheduler->jobs);
}
