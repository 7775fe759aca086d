/* flow.c -- jobs of one coordinator: which owner gets their tasks, and what is answered
 *
 * A task is unplaced, at one owner, or done.  A batch is what one owner was given at one
 * time; when its shard changes hands, the tasks that are left are sent to the new
 * owner as a new batch of tasks that may be running.  Invariant: a task is sent anew
 * as "never started" only if the one owner that it was ever given to returned it, or never took
 * it.
 *
 * An answer that says "not run" needs the word of every owner that was given a part of the
 * job; who does not answer in time turns it into "given up".
 */
#include "flow/state.h"

#include <string.h>

/* A job whose tasks find no owner for this long is refused.  Owners whose data centre is used again
 * after a drain offer their endpoints within it. */
#define NO_OWNER_MS 300
/* What a lost owner was given is given up if no other has taken over by then. */
#define ORPHAN_MS 700
/* Owners confirm a cancellation within this time. */
#define CONFIRM_MS 60
/* A part of a job's usual duration that must fit before its deadline. */
#define HOPELESS 0.6
#define NAMES_BYTES 1024

/* --- memory --- */

static void
free_batch (void *data)
{
  batch_t *batch = data;

  g_array_unref (batch->open);
  g_free (batch);
}

static void
free_job (void *data)
{
  job_t *job = data;

  g_free ((char *) job->info.id);
  g_free ((char *) job->info.queue);
  g_free ((char *) job->info.spec);
  g_free ((char *) job->info.service);
  g_free ((char *) job->info.label);
  g_free ((char *) job->info.near_rack);
  g_array_unref (job->unplaced);
  g_ptr_array_unref (job->batches);
  g_free (job);
}

static void
free_shard (void *data)
{
  shard_t *shard = data;

  g_array_unref (shard->rows);
  g_hash_table_unref (shard->services);
  g_array_unref (shard->loads);
  g_free (shard);
}

flow_t *
flow_new (const flow_options_t *options)
{
  flow_t *flow = g_new0 (flow_t, 1);

  flow->host = g_intern_string (options->host);
  flow->data_centre = g_intern_string (options->data_centre);
  flow->lease_ms = options->lease_ms;
  flow->remote_factor = MAX (options->remote_factor, 1.0);
  flow->racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  flow->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_job);
  flow->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  flow->batches = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_batch);
  flow->shards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_shard);
  flow->drained = g_hash_table_new (NULL, NULL);
  flow->order = g_ptr_array_new ();
  /* Hosts must not draw alike, and a test must draw the same again. */
  flow->rand = g_rand_new_with_seed ((guint32) hash_string (options->host));
  flow->sizes = sizes_new ();
  flow->names = g_string_chunk_new (NAMES_BYTES);
  flow->cancels = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return flow;
}

void
flow_free (flow_t *flow)
{
  if (flow == NULL)
    return;
  g_hash_table_unref (flow->racks);
  g_hash_table_unref (flow->by_id);
  g_hash_table_unref (flow->batches);
  g_hash_table_unref (flow->jobs);
  g_hash_table_unref (flow->shards);
  g_hash_table_unref (flow->drained);
  g_ptr_array_unref (flow->order);
  g_rand_free (flow->rand);
  g_hash_table_unref (flow->cancels);
  sizes_free (flow->sizes);
  g_string_chunk_free (flow->names);
  g_free (flow);
}

flow_action_t *
flow_add (GArray *actions, flow_action_kind_t kind)
{
  flow_action_t action = { .kind = kind };

  g_array_append_val (actions, action);
  return &g_array_index (actions, flow_action_t, actions->len - 1);
}

/* --- ends --- */

void
flow_drop_batch (flow_t *flow, batch_t *batch)
{
  g_ptr_array_remove_fast (batch->job->batches, batch);
  g_hash_table_remove (flow->batches, &batch->number);
}

static void
drop_job (flow_t *flow, job_t *job)
{
  while (job->batches->len > 0)
    flow_drop_batch (flow, job->batches->pdata[job->batches->len - 1]);
  if (g_hash_table_lookup (flow->by_id, job->info.id) == job)
    g_hash_table_remove (flow->by_id, job->info.id);
  g_hash_table_remove (flow->jobs, &job->number);
}

/* "host:tasks" of each owner that still has some. */
static void
name_owners (const job_t *job, char *text, size_t size)
{
  size_t used = 0;

  text[0] = '\0';
  for (guint i = 0; i < job->batches->len && used < size; i++)
    {
      const batch_t *batch = job->batches->pdata[i];
      if (batch->open->len > 0)
        used += (size_t) g_snprintf (text + used, size - used, "%s%s:%u", used > 0 ? " " : "",
                                     batch->host, batch->open->len);
    }
}

static void
answer (flow_t *flow, job_t *job, int64_t now_ms, GArray *actions)
{
  flow_action_t *action = flow_add (actions, FLOW_ANSWER);

  action->outcome = job->outcome;
  if (job->outcome == FLOW_REFUSED && job->may_have_run)
    action->outcome = FLOW_GIVEN_UP;
  action->user = job->info.user;
  action->reason = job->reason;
  action->limit = job->limit;
  if (action->outcome == FLOW_REFUSED)
    action->retry_after_ms = outlook_retry_ms (flow, job, now_ms);
  action->elapsed_ms = now_ms - job->info.received_at_ms;
  action->late_by_ms = now_ms - job->aim.goal_at_ms;
  action->job = g_string_chunk_insert (flow->names, job->info.id);
  action->queue = g_string_chunk_insert (flow->names, job->info.queue);
  action->expected_wait_ms = job->expected_wait_ms;
  action->report_age_ms = job->report_age_ms;
  action->tasks = job->info.tasks;
  action->estimate_ms = job->info.estimate_ms;
  action->size = job->size;
  action->left = job->left;
  action->handovers = job->handovers;
  action->returns = job->returns;
  name_owners (job, action->owners, sizeof action->owners);
  drop_job (flow, job);
}

static void
cancel_batches (flow_t *flow, job_t *job, int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      batch_t *batch = job->batches->pdata[i];
      batch->cancelled = true;
      cancels_add (flow, batch, FLOW_CANCEL, now_ms, actions);
    }
}

/* The job has no chance any more.  If it may be that nothing has run, that is confirmed
 * first. */
static void
end_job (flow_t *flow,
         job_t *job,
         flow_outcome_t outcome,
         flow_limit_t limit,
         const char *reason,
         int64_t now_ms,
         GArray *actions)
{
  if (job->ending)
    return;
  job->outcome = outcome;
  job->reason = reason;
  job->limit = limit;
  cancel_batches (flow, job, now_ms, actions);
  if (outcome != FLOW_REFUSED || job->may_have_run || job->batches->len == 0)
    {
      answer (flow, job, now_ms, actions);
      return;
    }
  job->ending = true;
  job->confirm_by_ms = now_ms + CONFIRM_MS;
}

static void
refuse (flow_t *flow,
        job_t *job,
        flow_limit_t limit,
        const char *reason,
        int64_t now_ms,
        GArray *actions)
{
  end_job (flow, job, FLOW_REFUSED, limit, reason, now_ms, actions);
}

/* The limit that sets the deadline of JOB. */
static flow_limit_t
deadline_limit (const job_t *job)
{
  return job->info.deadline_of_queue ? FLOW_LIMIT_QUEUE_TIME : FLOW_LIMIT_CALLER_WAIT;
}

/* True if all data centres that have endpoints for JOB are drained.  One whose owner has not
 * offered anything yet may have some. */
static bool
is_drained_out (const flow_t *flow, const job_t *job)
{
  const char *service = g_intern_string (job->info.service);
  bool some_drained = false;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, flow->shards);
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
aim_of (const flow_job_t *info)
{
  double objective_ms = info->stretch * (double) info->estimate_ms + (double) info->target_ms;

  return (placement_target_t){ .work_ms = info->estimate_ms,
                               .goal_at_ms = info->received_at_ms + (int64_t) objective_ms,
                               .stretch = info->stretch,
                               .deadline_at_ms = info->deadline_at_ms };
}

/* Refuses a job that has just come if the backlog leaves it no chance.  Returns true if so. */
static bool
refuse_on_arrival (flow_t *flow, job_t *job, int64_t now_ms, GArray *actions)
{
  static const char *const reasons[] = {
    [ADMISSION_TOO_LATE] = "the backlog leaves no time for it before its deadline",
    [ADMISSION_NO_START] = "the backlog is longer than its queue's time",
  };
  admission_t admission = outlook_admit (flow, job, now_ms);

  if (admission == ADMISSION_YES)
    return false;
  refuse (flow, job, FLOW_LIMIT_CAPACITY, reasons[admission], now_ms, actions);
  return true;
}

uint64_t
flow_submit (flow_t *flow, const flow_job_t *info, int64_t now_ms, GArray *actions)
{
  job_t *job = g_new0 (job_t, 1);

  job->number = ++flow->last;
  job->info = *info;
  job->info.id = g_strdup (info->id);
  job->info.queue = g_strdup (info->queue != NULL ? info->queue : "");
  job->info.spec = g_strdup (info->spec);
  job->info.service = g_strdup (info->service);
  job->info.label = g_strdup (info->label);
  job->info.near_rack = g_strdup (info->near_rack);
  job->aim = aim_of (info);
  job->size = sizes_add (flow->sizes, job->info.queue,
                         (double) info->tasks * (double) info->need.cores_milli
                             * (double) info->estimate_ms);
  job->left = info->tasks;
  job->unplaced = g_array_sized_new (FALSE, FALSE, sizeof (int32_t), (guint) info->tasks);
  for (int32_t i = info->tasks; i-- > 0;)
    g_array_append_val (job->unplaced, i);
  job->batches = g_ptr_array_new ();
  g_hash_table_insert (flow->jobs, &job->number, job);
  g_hash_table_replace (flow->by_id, (char *) job->info.id, job);
  job->draw = g_rand_int (flow->rand);
  job->expected_wait_ms = -1;
  job->report_age_ms = -1;
  if (info->start_by_ms != 0)
    job->start_limit_ms = MAX (info->start_by_ms - info->received_at_ms, 1);
  uint64_t number = job->number;
  if (!refuse_on_arrival (flow, job, now_ms, actions))
    spread_job (flow, job, now_ms, actions);
  return number;
}

bool
flow_cancel (flow_t *flow, const char *id, int64_t now_ms, GArray *actions)
{
  job_t *job = g_hash_table_lookup (flow->by_id, id);

  if (job == NULL)
    return false;
  job->ending = false;
  end_job (flow, job, FLOW_CANCELLED, FLOW_LIMIT_NONE, "it was cancelled", now_ms, actions);
  return true;
}

void
flow_abandon (flow_t *flow, uint64_t number, int64_t now_ms, GArray *actions)
{
  job_t *job = g_hash_table_lookup (flow->jobs, &number);

  if (job == NULL)
    return;
  if (!job->ending)
    cancel_batches (flow, job, now_ms, actions);
  drop_job (flow, job);
}

static batch_t *
batch_of (const flow_t *flow, const char *host, uint64_t number)
{
  batch_t *batch = g_hash_table_lookup (flow->batches, &number);

  return batch != NULL && strcmp (batch->host, host) == 0 ? batch : NULL;
}

static bool
take_open (batch_t *batch, int32_t index)
{
  for (guint i = 0; i < batch->open->len; i++)
    if (g_array_index (batch->open, int32_t, i) == index)
      {
        g_array_remove_index_fast (batch->open, i);
        return true;
      }
  return false;
}

flow_task_end_t
flow_end_of (fleet_action_kind_t how)
{
  static const flow_task_end_t ends_of[] = {
    [FLEET_DONE] = FLOW_TASK_DONE,
    [FLEET_FAILED] = FLOW_TASK_FAILED,
    [FLEET_RETURNED] = FLOW_TASK_RETURNED,
    [FLEET_EXPIRED] = FLOW_TASK_EXPIRED,
    [FLEET_OVERDUE] = FLOW_TASK_OVERDUE,
    [FLEET_NOT_OWNED] = FLOW_TASK_NOT_OWNED,
    [FLEET_START_TIMEOUT] = FLOW_TASK_UNSTARTED,
    [FLEET_RETURNED_AFTER_RUN] = FLOW_TASK_VACATED,
  };

  return ends_of[how];
}

void
flow_task_ended (flow_t *flow,
                 const char *host,
                 uint64_t number,
                 int32_t index,
                 flow_task_end_t how,
                 int64_t now_ms,
                 GArray *actions)
{
  batch_t *batch = batch_of (flow, host, number);

  if (batch != NULL && (batch->maybe || batch->sent_again) && how == FLOW_TASK_NOT_OWNED)
    {
      /* They may run under another owner of the shard: only that one can tell.  A host that was
       * sent them twice may have owned it the first time. */
      if (batch->lost_at_ms == 0)
        batch->lost_at_ms = now_ms;
      return;
    }
  if (batch == NULL || !take_open (batch, index))
    return;
  job_t *job = batch->job;
  job->may_have_run |= how == FLOW_TASK_DONE || how == FLOW_TASK_FAILED || how == FLOW_TASK_OVERDUE
                       || how == FLOW_TASK_VACATED;
  /* Its next attempts are numbered above those that it had there. */
  job->handovers += how == FLOW_TASK_VACATED;
  if (batch->open->len == 0 && !batch->cancelled)
    flow_drop_batch (flow, batch);
  switch (how)
    {
    case FLOW_TASK_DONE:
      if (--job->left == 0)
        {
          job->outcome = FLOW_COMPLETE;
          answer (flow, job, now_ms, actions);
        }
      break;
    case FLOW_TASK_FAILED:
      end_job (flow, job, FLOW_FAILED, FLOW_LIMIT_ATTEMPTS,
               "a task has failed as often as is allowed", now_ms, actions);
      break;
    case FLOW_TASK_UNSTARTED:
    case FLOW_TASK_RETURNED:
    case FLOW_TASK_NOT_OWNED:
    case FLOW_TASK_VACATED:
      /* Placed in the next step, with what is known by then. */
      job->returns++;
      if (!job->ending)
        g_array_append_val (job->unplaced, index);
      break;
    case FLOW_TASK_OVERDUE:
      end_job (flow, job, FLOW_GIVEN_UP, deadline_limit (job),
               "a task takes too long for its deadline", now_ms, actions);
      break;
    case FLOW_TASK_EXPIRED:
    default:
      refuse (flow, job, deadline_limit (job), "cannot end before its deadline", now_ms, actions);
      break;
    }
}

void
flow_cancelled (flow_t *flow,
                const char *host,
                uint64_t number,
                bool never_started,
                int64_t now_ms,
                GArray *actions)
{
  batch_t *batch = batch_of (flow, host, number);

  g_hash_table_remove (flow->cancels, &number);
  if (batch == NULL || !batch->cancelled)
    return;
  job_t *job = batch->job;
  job->may_have_run |= !never_started;
  flow_drop_batch (flow, batch);
  if (job->ending && (job->batches->len == 0 || job->may_have_run))
    answer (flow, job, now_ms, actions);
}

void
flow_give_up_all (flow_t *flow, const char *reason, int64_t now_ms, GArray *actions)
{
  GList *jobs = g_hash_table_get_values (flow->jobs);

  for (GList *at = jobs; at != NULL; at = at->next)
    {
      job_t *job = at->data;
      job->may_have_run |= job->was_sent;
      end_job (flow, job, FLOW_GIVEN_UP, FLOW_LIMIT_OWNERS, reason, now_ms, actions);
    }
  g_list_free (jobs);
}

/* --- time --- */

static bool
is_orphaned (const job_t *job, int64_t now_ms)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      const batch_t *batch = job->batches->pdata[i];
      if (batch->lost_at_ms != 0 && now_ms - batch->lost_at_ms > ORPHAN_MS)
        return true;
    }
  return false;
}

/* The queue's time for a first start has passed, and some tasks of JOB have no owner.  Where
 * nothing has started the job is refused.  Where another part of it may have, the limit is met:
 * these are placed again without it.  Returns true if they are not to be placed now. */
static bool
end_of_start_time (flow_t *flow, job_t *job, int64_t now_ms, GArray *actions)
{
  if (!job->may_have_run && (int32_t) job->unplaced->len == job->info.tasks)
    {
      refuse (flow, job, FLOW_LIMIT_QUEUE_TIME, "no task has started within its queue's time",
              now_ms, actions);
      return true;
    }
  /* The other owners are about to say whether their parts have started. */
  if (!job->may_have_run && now_ms < job->info.start_by_ms + CONFIRM_MS)
    return true;
  job->info.start_by_ms = 0;
  return false;
}

static void
step_job (flow_t *flow, job_t *job, int64_t now_ms, GArray *actions)
{
  if (job->ending)
    {
      if (now_ms < job->confirm_by_ms)
        return;
      job->may_have_run = true;
      answer (flow, job, now_ms, actions);
      return;
    }
  if (now_ms >= job->info.deadline_at_ms)
    {
      refuse (flow, job, deadline_limit (job), "its deadline has passed", now_ms, actions);
      return;
    }
  if (is_orphaned (job, now_ms))
    {
      end_job (flow, job, FLOW_GIVEN_UP, FLOW_LIMIT_OWNERS,
               "the host that ran a part of it is lost", now_ms, actions);
      return;
    }
  if (job->unplaced->len == 0)
    return;
  if (job->info.start_by_ms != 0 && now_ms >= job->info.start_by_ms
      && end_of_start_time (flow, job, now_ms, actions))
    return;
  guint before = actions->len;
  spread_job (flow, job, now_ms, actions);
  /* What was just sent names the job, which must not end in the same step. */
  if (job->unplaced->len == 0 || actions->len > before)
    {
      job->stuck_at_ms = 0;
      return;
    }
  if (is_drained_out (flow, job))
    {
      refuse (flow, job, FLOW_LIMIT_DRAINED, "every data centre with endpoints for it is drained",
              now_ms, actions);
      return;
    }
  bool hopeless =
      now_ms + (int64_t) (HOPELESS * (double) job->info.estimate_ms) > job->info.deadline_at_ms;
  if (job->stuck_at_ms == 0)
    job->stuck_at_ms = now_ms;
  if (hopeless || now_ms - job->stuck_at_ms > NO_OWNER_MS)
    refuse (flow, job, FLOW_LIMIT_OWNERS, "no owner of endpoints is known", now_ms, actions);
}

void
flow_step (flow_t *flow, int64_t now_ms, GArray *actions)
{
  GList *jobs = g_hash_table_get_values (flow->jobs);

  g_string_chunk_clear (flow->names);
  for (GList *at = jobs; at != NULL; at = at->next)
    step_job (flow, at->data, now_ms, actions);
  g_list_free (jobs);
  cancels_repeat (flow, now_ms, actions);
}

int32_t
flow_jobs (const flow_t *flow)
{
  return (int32_t) g_hash_table_size (flow->jobs);
}
