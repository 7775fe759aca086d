/* part_job.c -- coordination of a job: checks, claim, dispatch, answer
 *
 * A submission is first checked against the state of this host.  A refusal is
 * confirmed at the key's replicas before it is answered, for two reasons: the
 * answer may say "not_run" only if no host has started the job, and a
 * resubmission of a job that runs at another host must attach to it even if this
 * host would refuse it.
 *
 * A submission that passes the checks is claimed.  When the claim is granted, the
 * tasks are queued at the dispatcher.  The first task is started only while the
 * grants are valid; otherwise the key is claimed again.
 *
 * A job that ends is answered at once.  Its tasks that still run at endpoints
 * keep their slots until they end, and their results are discarded.
 */
#include "daemon/part_job.h"

#include "base/clock.h"
#include "base/error.h"
#include "daemon/job_private.h"
#include "daemon/part_view.h"
#include "settings/settings.h"

#include <string.h>

/* Default delay before a retry, for errors without a known retry time. */
#define RETRY_AFTER_MS 500

static void
refuse_unclaimed (job_entry_t *entry, int error, int64_t retry_at_ms, const char *message);

/* --- answers --- */

static void
end_with_error (job_entry_t *entry, int error, bool confirmed)
{
  int64_t retry_at_ms = entry->pending_error == error ? entry->pending_retry_at_ms : 0;

  if (retry_at_ms == 0 && error_row (error)->retryable)
    retry_at_ms = clock_wall_ms () + RETRY_AFTER_MS;
  job_answer_t *answer = job_answer_error (
      error, confirmed, retry_at_ms, entry->pending_error == error ? entry->pending_message : NULL);
  bool keep = entry->job != NULL && job_has_started (entry->job);
  job_entry_end (entry, answer, keep);
}

/* True if a job that ends with ERROR keeps its key claimed by this host, so that a
 * delayed submission with the same key cannot start it. */
static bool
is_key_ended_by (int error)
{
  return error == ERROR_CANCELLED || error == ERROR_DEADLINE_PASSED;
}

/* --- tasks --- */

static void add_task (job_entry_t *entry, uint32_t index);

static void
remove_queued_tasks (job_entry_t *entry)
{
  if (entry->task_runs == NULL)
    return;
  for (uint32_t i = 0; i < job_request (entry->job)->task_count; i++)
    {
      task_run_t *run = &entry->task_runs[i];
      if (run->ticket == 0 || !part_dispatch_remove (entry->part->parts.dispatch, run->ticket))
        continue;
      run->ticket = 0;
      job_entry_unref (entry);
    }
}

static void
on_released (const claim_outcome_t *outcome, void *data)
{
  job_entry_t *entry = data;

  end_with_error (entry, entry->pending_error, outcome->result == CLAIM_FREE);
  job_entry_unref (entry);
}

/* Ends an entry that holds the claim with ERROR.  If no task has started, the
 * grants already prove that no other host has started one.  Unless the error ends
 * the key, the claim is released first, so that a resubmission can claim it. */
static void
fail_claimed (job_entry_t *entry, int error)
{
  if (entry->state == JOB_ENTRY_ENDED || entry->state == JOB_ENTRY_REFUSING)
    return;
  remove_queued_tasks (entry);
  if (job_has_started (entry->job))
    {
      end_with_error (entry, error, false);
      return;
    }
  if (is_key_ended_by (error))
    {
      job_entry_end (entry, job_answer_error (error, true, 0, NULL), true);
      return;
    }
  entry->state = JOB_ENTRY_REFUSING;
  entry->pending_error = error;
  part_claim_release (entry->part->parts.claim, entry->key, on_released, job_entry_ref (entry));
}

/* The dispatcher has removed a queued task that can no longer meet its deadline. */
static void
on_deadline_unreachable (uint64_t ticket, void *data)
{
  task_run_t *run = data;
  job_entry_t *entry = run->entry;

  (void) ticket;
  run->ticket = 0;
  fail_claimed (entry, ERROR_DEADLINE_UNREACHABLE);
  job_entry_unref (entry);
}

static job_attempt_outcome_t
attempt_outcome_of (dispatch_outcome_t outcome)
{
  switch (outcome)
    {
    case DISPATCH_DONE:
      return JOB_ATTEMPT_DONE;
    case DISPATCH_FAILED:
      return JOB_ATTEMPT_FAILED;
    case DISPATCH_NOT_STARTED:
      return JOB_ATTEMPT_NOT_STARTED;
    default:
      return JOB_ATTEMPT_UNKNOWN;
    }
}

static void
apply_action (job_entry_t *entry, task_run_t *run, job_action_t action)
{
  switch (action)
    {
    case JOB_ACTION_COMPLETE:
      job_entry_end (entry, job_complete_answer (entry->job), true);
      break;
    case JOB_ACTION_FAIL:
      fail_claimed (entry, ERROR_TASK_FAILED);
      break;
    case JOB_ACTION_RETRY_TASK:
      if (entry->state == JOB_ENTRY_RUNNING && run->ticket == 0)
        {
          counter_add (entry->part->task_retries, 1);
          add_task (entry, run->index);
        }
      break;
    case JOB_ACTION_NONE:
      break;
    }
}

static void
on_call_ended (endpoint_result_t *result, void *data)
{
  task_run_t *run = data;
  job_entry_t *entry = run->entry;
  job_part_t *part = entry->part;
  bool not_started = result->outcome == DISPATCH_NOT_STARTED;
  uint64_t ticket = run->ticket;
  job_action_t action = job_end_task (entry->job, run->index, attempt_outcome_of (result->outcome),
                                      result->status, g_steal_pointer (&result->body));

  if (!not_started)
    run->ticket = 0;
  part_dispatch_report_end (part->parts.dispatch, ticket, result->outcome, result->elapsed_us,
                            daemon_now_ms (part->base.daemon));
  if (!not_started)
    {
      apply_action (entry, run, action);
      job_entry_unref (entry);
    }
  else if (entry->state != JOB_ENTRY_RUNNING && part_dispatch_remove (part->parts.dispatch, ticket))
    {
      run->ticket = 0;
      job_entry_unref (entry);
    }
}

static void
call_endpoint (task_run_t *run, const host_t *endpoint)
{
  job_entry_t *entry = run->entry;
  const job_request_t *request = job_request (entry->job);
  const job_task_t *task = &request->tasks[run->index];
  endpoint_call_t call = {
    .address = endpoint->address,
    .kind = request->kind,
    .job_key = request->key,
    .task_id = task->id,
    .plan = entry->plan,
    .body = task->body,
    .deadline_at_ms = entry->deadline_at_ms,
    .deadline_wall_ms = request->deadline_at_ms,
  };

  counter_add (entry->part->tasks_started, 1);
  endpoint_client_call (entry->part->endpoints, &call, on_call_ended, run);
}

/* Returns all tickets of an entry to the dispatcher and claims its key again. */
static void
reclaim_key (void *data)
{
  job_entry_t *entry = data;
  job_part_t *part = entry->part;
  int64_t now_ms = daemon_now_ms (part->base.daemon);

  remove_queued_tasks (entry);
  while (entry->deferred_runs->len > 0)
    {
      task_run_t *run = g_ptr_array_steal_index_fast (entry->deferred_runs, 0);
      part_dispatch_report_end (part->parts.dispatch, run->ticket, DISPATCH_ABANDONED, 0, now_ms);
      run->ticket = 0;
      job_entry_unref (entry);
    }
  if (entry->state == JOB_ENTRY_RECLAIMING)
    job_entry_claim (entry);
  job_entry_unref (entry);
}

static void
defer_start (task_run_t *run)
{
  job_entry_t *entry = run->entry;

  g_ptr_array_add (entry->deferred_runs, run);
  if (entry->deferred_runs->len == 1)
    daemon_post (entry->part->base.daemon, reclaim_key, job_entry_ref (entry));
  if (entry->state == JOB_ENTRY_RUNNING)
    entry->state = JOB_ENTRY_RECLAIMING;
}

static void
on_dispatched (uint64_t ticket, const host_t *endpoint, void *data)
{
  task_run_t *run = data;
  job_entry_t *entry = run->entry;
  job_part_t *part = entry->part;
  int64_t now_ms = clock_boot_ms ();

  run->ticket = ticket;
  bool first = !job_has_started (entry->job);
  if (entry->state != JOB_ENTRY_RUNNING
      || (first && !part_claim_may_start (part->parts.claim, entry->key, now_ms)))
    {
      defer_start (run);
      return;
    }
  if (first)
    part_claim_mark_started (part->parts.claim, entry->key);
  job_start_task (entry->job, run->index);
  call_endpoint (run, endpoint);
}

/* Queues a task at the dispatcher, whose ticket holds a reference of the entry. */
static void
add_task (job_entry_t *entry, uint32_t index)
{
  job_part_t *part = entry->part;
  dispatch_task_t task = job_entry_describe_task (entry, &job_request (entry->job)->tasks[index]);
  task_run_t *run = &entry->task_runs[index];

  job_entry_ref (entry);
  uint64_t ticket = part_dispatch_add (part->parts.dispatch, &task, on_dispatched, run,
                                       daemon_now_ms (part->base.daemon));
  /* on_dispatched () may already have set the ticket. */
  if (run->ticket == 0)
    run->ticket = ticket;
}

static void
start_job (job_entry_t *entry)
{
  uint32_t count = entry->request->task_count;

  entry->state = JOB_ENTRY_RUNNING;
  if (entry->job == NULL)
    {
      entry->job = job_new (entry->request);
      entry->task_runs = g_new0 (task_run_t, count);
      for (uint32_t i = 0; i < count; i++)
        entry->task_runs[i] = (task_run_t){ .entry = entry, .index = i };
    }
  for (uint32_t i = 0; i < count && entry->state == JOB_ENTRY_RUNNING; i++)
    if (entry->task_runs[i].ticket == 0)
      add_task (entry, i);
}

/* --- claims --- */

static int64_t
claim_timeout_at_ms (const job_entry_t *entry)
{
  return MIN (entry->deadline_at_ms, daemon_now_ms (entry->part->base.daemon) + CLAIM_TIMEOUT_MS);
}

static claim_params_t
claim_request_of (const job_entry_t *entry, int64_t give_up_at_ms)
{
  return (claim_params_t){ .key = entry->key,
                           .home = entry->home,
                           .digest = entry->digest,
                           .issued_at_ms = entry->request->issued_at_ms,
                           .timeout_at_ms = give_up_at_ms };
}

/* Attaches ENTRY to the host that holds its key.  The holder may also be this
 * process, whose answer is no longer kept, or an earlier process of this host,
 * whose jobs are lost. */
static void
attach_to_holder (job_entry_t *entry, const claim_outcome_t *outcome)
{
  daemon_t *daemon = entry->part->base.daemon;
  const char *host = outcome->claimant;
  uint64_t incarnation = outcome->claimant_incarnation;

  job_transfer_resolve (entry->part, outcome->claimant_incarnation, &host, &incarnation);
  if (strcmp (host, daemon_host_id (daemon)) != 0)
    job_entry_attach (entry, outcome);
  else if (incarnation == daemon_incarnation (daemon))
    end_with_error (entry, ERROR_ANSWER_GONE, false);
  else
    end_with_error (entry, ERROR_CLAIMANT_LOST, false);
}

static void
on_granted (job_entry_t *entry)
{
  if (entry->cancelled)
    {
      entry->job = entry->job != NULL ? entry->job : job_new (entry->request);
      fail_claimed (entry, ERROR_CANCELLED);
    }
  else
    start_job (entry);
}

static void
on_claimed (const claim_outcome_t *outcome, void *data)
{
  job_entry_t *entry = data;

  switch (entry->state == JOB_ENTRY_CLAIMING ? (int) outcome->result : -1)
    {
    case CLAIM_GRANTED:
      on_granted (entry);
      break;
    case CLAIM_HELD:
      attach_to_holder (entry, outcome);
      break;
    case CLAIM_REUSED:
      end_with_error (entry, ERROR_KEY_REUSED, false);
      break;
    case CLAIM_UNCERTAIN:
      end_with_error (entry, ERROR_KEY_UNCERTAIN, false);
      break;
    case CLAIM_EXPIRED:
      end_with_error (entry, ERROR_SUBMISSION_EXPIRED, false);
      break;
    case CLAIM_UNREACHABLE:
    case CLAIM_FREE:
      end_with_error (entry, ERROR_HOME_UNREACHABLE, false);
      break;
    default:
      /* The entry has ended since the claim was sent. */
      if (outcome->result == CLAIM_GRANTED)
        part_claim_release (entry->part->parts.claim, entry->key, NULL, NULL);
      break;
    }
  job_entry_unref (entry);
}

void
job_entry_claim (job_entry_t *entry)
{
  claim_params_t ask = claim_request_of (entry, claim_timeout_at_ms (entry));

  entry->state = JOB_ENTRY_CLAIMING;
  part_claim_request (entry->part->parts.claim, &ask, on_claimed, job_entry_ref (entry));
}

static void
on_confirmed (const claim_outcome_t *outcome, void *data)
{
  job_entry_t *entry = data;

  if (entry->state == JOB_ENTRY_REFUSING && outcome->result == CLAIM_HELD)
    attach_to_holder (entry, outcome);
  else if (entry->state == JOB_ENTRY_REFUSING)
    end_with_error (entry, entry->pending_error, outcome->result == CLAIM_FREE);
  job_entry_unref (entry);
}

/* Refuses an entry that holds no claim, after the replicas have said whether the
 * answer may be "not_run". */
static void
refuse_unclaimed (job_entry_t *entry, int error, int64_t retry_at_ms, const char *message)
{
  entry->state = JOB_ENTRY_REFUSING;
  entry->pending_error = error;
  entry->pending_retry_at_ms = retry_at_ms;
  g_free (entry->pending_message);
  entry->pending_message = g_strdup (message);
  int64_t until_ms = daemon_now_ms (entry->part->base.daemon) + CLAIM_TIMEOUT_MS;
  claim_params_t ask = claim_request_of (entry, until_ms);
  part_claim_confirm (entry->part->parts.claim, &ask, on_confirmed, job_entry_ref (entry));
}

static void
check_and_claim (job_entry_t *entry)
{
  int64_t retry_at_ms = 0;
  const char *message = NULL;
  int error = job_entry_check_before_claim (entry, &retry_at_ms, &message);

  if (error == ERROR_SUBMISSION_EXPIRED)
    end_with_error (entry, error, false);
  else if (error != 0)
    refuse_unclaimed (entry, error, retry_at_ms, message);
  else
    job_entry_claim (entry);
}

/* --- submissions --- */

typedef struct
{
  job_part_t *part;
  job_request_t *request;
  waiter_t *waiter;
} submission_t;

static void
handle_submission (void *data)
{
  submission_t *submission = data;
  job_part_t *part = submission->part;
  job_entry_t *entry = g_hash_table_lookup (part->entries, submission->request->key);

  if (entry == NULL)
    {
      entry = job_entry_ref (job_entry_new (part, submission->request));
      g_ptr_array_add (entry->waiters, submission->waiter);
      check_and_claim (entry);
      job_entry_unref (entry);
    }
  else if (memcmp (&entry->digest, &submission->request->digest, sizeof entry->digest) != 0)
    waiter_complete (submission->waiter, job_answer_error (ERROR_KEY_REUSED, false, 0, NULL));
  else if (entry->state == JOB_ENTRY_ENDED)
    waiter_complete (submission->waiter, job_entry_answer (entry));
  else
    g_ptr_array_add (entry->waiters, submission->waiter);
  job_request_unref (submission->request);
  g_free (submission);
}

job_answer_t *
part_job_submit (part_t *base, job_request_t *request)
{
  job_part_t *part = (job_part_t *) base;
  submission_t *submission = g_new0 (submission_t, 1);
  waiter_t *waiter = waiter_new ();
  int64_t deadline_ms = clock_wall_to_boot_ms (request->deadline_at_ms);

  submission->part = part;
  submission->request = job_request_ref (request);
  submission->waiter = waiter;
  atomic_fetch_add (&part->waiting_callers, 1);
  daemon_post (base->daemon, handle_submission, submission);
  job_answer_t *answer =
      waiter_wait (waiter, MAX (deadline_ms, clock_boot_ms ()) + ANSWER_WAIT_MARGIN_MS);
  atomic_fetch_sub (&part->waiting_callers, 1);
  return answer;
}

/* --- state and cancellation --- */

void
job_entry_cancel (job_entry_t *entry)
{
  entry->cancelled = true;
  switch (entry->state)
    {
    case JOB_ENTRY_RUNNING:
    case JOB_ENTRY_RECLAIMING:
      fail_claimed (entry, ERROR_CANCELLED);
      break;
    case JOB_ENTRY_CLAIMING:
    case JOB_ENTRY_REFUSING:
    case JOB_ENTRY_ATTACHED:
    case JOB_ENTRY_ENDED:
      break;
    }
}

job_answer_t *
job_entry_state (job_entry_t *entry)
{
  if (entry->state == JOB_ENTRY_ENDED)
    return job_entry_answer (entry);
  if (entry->job == NULL)
    return job_answer_state ("claiming", entry->request->task_count, 0, 0);
  return job_answer_state ("running", job_request (entry->job)->task_count,
                           job_started_count (entry->job), job_done_count (entry->job));
}

job_answer_t *
part_job_refuse (const char *key, int error, const char *message)
{
  int64_t retry_at_ms = error_row (error)->retryable ? clock_wall_ms () + RETRY_AFTER_MS : 0;

  return job_answer_error (error, key == NULL, retry_at_ms, message);
}

/* --- part operations --- */

const char *
part_job_default_home (part_t *base, const char *key)
{
  const settings_t *settings = daemon_settings (base->daemon);
  const char *home = settings->data_centre;
  uint64_t home_weight = 0;

  for (guint i = 0; i < settings->data_centres->len; i++)
    {
      const settings_data_centre_t *data_centre = settings->data_centres->pdata[i];
      uint64_t weight = hash_rendezvous (key, data_centre->name);
      if (weight < home_weight)
        continue;
      home = data_centre->name;
      home_weight = weight;
    }
  return home;
}

static void
end_overdue_jobs (job_part_t *part, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *overdue = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, part->active_entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      job_entry_t *entry = key;
      if (now_ms >= entry->deadline_at_ms)
        g_ptr_array_add (overdue, job_entry_ref (entry));
    }
  for (guint i = 0; i < overdue->len; i++)
    {
      job_entry_t *entry = overdue->pdata[i];
      if (entry->state == JOB_ENTRY_RUNNING || entry->state == JOB_ENTRY_RECLAIMING)
        fail_claimed (entry, ERROR_DEADLINE_PASSED);
      else if (entry->state == JOB_ENTRY_ATTACHED)
        end_with_error (entry, ERROR_DEADLINE_PASSED, false);
      job_entry_unref (entry);
    }
  g_ptr_array_unref (overdue);
}

static void
job_tick (part_t *base, int64_t now_ms)
{
  job_part_t *part = (job_part_t *) base;

  job_ready_update (part, now_ms);
  atomic_store (&part->last_tick_ms, now_ms);
  end_overdue_jobs (part, now_ms);
  job_peer_tick (part, now_ms);
  job_transfer_expire (part, now_ms);
  endpoint_client_tick (part->endpoints, now_ms);
  job_entries_expire (part, now_ms);
  counter_set (counter_get ("jaytrail_jobs_active", NULL),
               g_hash_table_size (part->active_entries));
  counter_set (counter_get ("jaytrail_kept_answers_bytes", NULL), part->kept_bytes);
}

static void
job_drain (part_t *base, int64_t now_ms)
{
  (void) now_ms;
  atomic_store (&((job_part_t *) base)->ready, false);
}

static bool
job_drained (part_t *base, int64_t now_ms)
{
  job_part_t *part = (job_part_t *) base;

  return g_hash_table_size (part->active_entries) == 0 && atomic_load (&part->waiting_callers) == 0
         && job_transfer_advance (part, now_ms);
}

static void
job_status (part_t *base, json_object *status)
{
  job_part_t *part = (job_part_t *) base;
  json_object *section = json_object_new_object ();

  json_object_object_add (section, "active",
                          json_object_new_int64 (g_hash_table_size (part->active_entries)));
  json_object_object_add (section, "keys",
                          json_object_new_int64 (g_hash_table_size (part->entries)));
  json_object_object_add (section, "waiting_callers",
                          json_object_new_int (atomic_load (&part->waiting_callers)));
  json_object_object_add (section, "kept_answers_bytes", json_object_new_int64 (part->kept_bytes));
  json_object_object_add (status, "ready", json_object_new_boolean (atomic_load (&part->ready)));
  json_object_object_add (status, "jobs", section);
}

static const part_ops_t job_ops = {
  .name = "job",
  .frame_first = FRAME_JOB_FIRST,
  .frame_last = FRAME_JOB_LAST,
  .frame = job_peer_frame,
  .tick = job_tick,
  .peer_up = job_peer_up,
  .peer_down = job_peer_down,
  .drain = job_drain,
  .drained = job_drained,
  .status = job_status,
};

static void
unref_entry_data (void *data)
{
  job_entry_unref (data);
}

part_t *
part_job_new (daemon_t *daemon, const job_parts_t *parts)
{
  job_part_t *part = g_new0 (job_part_t, 1);

  part->base = (part_t){ &job_ops, daemon };
  part->parts = *parts;
  part->endpoints = endpoint_client_new (daemon);
  part->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, unref_entry_data);
  part->active_entries = g_hash_table_new (NULL, NULL);
  part->attached_entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  part->queries = g_hash_table_new (g_int64_hash, g_int64_equal);
  part->pending_cancels =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_ptr_array_unref);
  g_queue_init (&part->kept_entries);
  job_transfer_init (part);
  part_dispatch_set_give_up_handler (parts->dispatch, on_deadline_unreachable);
  part_config_add_listener (parts->config, job_ready_on_hosts, part);
  /* Request ids start at a random number, so that answers to an earlier process of
   * this host match no request. */
  part->next_request_id = daemon_incarnation (daemon) | 1;
  part->jobs_attached = counter_get ("jaytrail_jobs_attached_total", NULL);
  part->task_retries = counter_get ("jaytrail_task_retries_total", NULL);
  part->messages_sent = counter_get ("jaytrail_job_messages_total", NULL);
  part->tasks_started = counter_get ("jaytrail_tasks_started_total", NULL);
  return &part->base;
}

int32_t
part_job_waiting_callers (part_t *base)
{
  return atomic_load (&((job_part_t *) base)->waiting_callers);
}

bool
part_job_is_ready (part_t *base)
{
  return atomic_load (&((job_part_t *) base)->ready);
}

int64_t
part_job_last_tick_ms (part_t *base)
{
  return atomic_load (&((job_part_t *) base)->last_tick_ms);
}
