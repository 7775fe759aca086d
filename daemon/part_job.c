/* part_job.c -- the flow of a job: checks, claim, dispatch, answer
 *
 * A submission is checked against the local state first; what is refused there
 * is confirmed at the key's replicas, so that "not_run" is said only when it is
 * true, and so that a resubmission of a job that runs elsewhere attaches
 * to it even if this host would refuse it.  What passes is claimed.  A grant
 * lets the tasks go to the dispatcher; the first start is made only while the
 * grants are valid, else the claim is renewed.
 *
 * A job that has ended gives its answer at once; tasks of it that still run at
 * endpoints keep their slots until they end, and their results are dropped.
 */
#include "daemon/part_job.h"

#include "base/clock.h"
#include "base/error.h"
#include "daemon/job_private.h"
#include "daemon/part_view.h"
#include "settings/settings.h"

#include <string.h>

/* How long a refused caller should wait if nothing better is known. */
#define RETRY_AFTER_MS 500

static void refuse (entry_t *entry, int error, int64_t retry_at_ms, const char *message);

/* --- answers --- */

static void
end_with_error (entry_t *entry, int error, bool confirmed)
{
  int64_t retry_at_ms = entry->pending_error == error ? entry->pending_retry_at_ms : 0;

  if (retry_at_ms == 0 && error_row (error)->retry)
    retry_at_ms = clock_wall_ms () + RETRY_AFTER_MS;
  job_answer_t *answer = job_answer_error (
      error, confirmed, retry_at_ms, entry->pending_error == error ? entry->pending_message : NULL);
  bool keep = entry->job != NULL && job_has_started (entry->job);
  entry_end (entry, answer, keep);
}

/* These end a key for good: it stays claimed by this host, so that a submission
 * that was on its way can never start it. */
static bool
is_final (int error)
{
  return error == ERROR_CANCELLED || error == ERROR_DEADLINE_PASSED;
}

/* --- tasks --- */

static void add_task (entry_t *entry, uint32_t index);

static void
remove_queued (entry_t *entry)
{
  if (entry->runs == NULL)
    return;
  for (uint32_t i = 0; i < job_request (entry->job)->task_count; i++)
    {
      run_t *run = &entry->runs[i];
      if (run->ticket == 0 || !part_dispatch_remove (entry->part->parts.dispatch, run->ticket))
        continue;
      run->ticket = 0;
      entry_unref (entry);
    }
}

static void
on_released (const claim_outcome_t *outcome, void *data)
{
  entry_t *entry = data;

  end_with_error (entry, entry->pending_error, outcome->result == CLAIM_FREE);
  entry_unref (entry);
}

/* Ends an entry that holds the claim.  If nothing has started, its grants are
 * themselves the confirmation that nobody else can have started; a claim that
 * a later submission may want is released first. */
static void
fail (entry_t *entry, int error)
{
  if (entry->state == ENTRY_ENDED || entry->state == ENTRY_REFUSING)
    return;
  remove_queued (entry);
  if (job_has_started (entry->job))
    {
      end_with_error (entry, error, false);
      return;
    }
  if (is_final (error))
    {
      entry_end (entry, job_answer_error (error, true, 0, NULL), true);
      return;
    }
  entry->state = ENTRY_REFUSING;
  entry->pending_error = error;
  part_claim_release (entry->part->parts.claim, entry->key, on_released, entry_ref (entry));
}

/* A queued task can no longer end in time. */
static void
on_given_up (uint64_t ticket, void *data)
{
  run_t *run = data;
  entry_t *entry = run->entry;

  (void) ticket;
  run->ticket = 0;
  fail (entry, ERROR_DEADLINE_UNREACHABLE);
  entry_unref (entry);
}

static job_attempt_t
attempt_of (dispatch_outcome_t outcome)
{
  switch (outcome)
    {
    case DISPATCH_DONE:
      return JOB_ATTEMPT_WHOLE;
    case DISPATCH_FAILED:
      return JOB_ATTEMPT_ENDED;
    case DISPATCH_NOT_STARTED:
      return JOB_ATTEMPT_NOT_STARTED;
    default:
      return JOB_ATTEMPT_UNKNOWN;
    }
}

static void
follow_verdict (entry_t *entry, run_t *run, job_verdict_t verdict)
{
  switch (verdict)
    {
    case JOB_COMPLETE:
      entry_end (entry, job_complete_answer (entry->job), true);
      break;
    case JOB_FAIL:
      fail (entry, ERROR_TASK_FAILED);
      break;
    case JOB_TRY_AGAIN:
      if (entry->state == ENTRY_RUNNING && run->ticket == 0)
        {
          counter_add (entry->part->retries, 1);
          add_task (entry, run->index);
        }
      break;
    case JOB_GO_ON:
      break;
    }
}

static void
on_call_ended (endpoint_result_t *result, void *data)
{
  run_t *run = data;
  entry_t *entry = run->entry;
  job_part_t *part = entry->part;
  bool again = result->outcome == DISPATCH_NOT_STARTED;
  uint64_t ticket = run->ticket;
  job_verdict_t verdict = job_end_task (entry->job, run->index, attempt_of (result->outcome),
                                        result->status, g_steal_pointer (&result->body));

  if (!again)
    run->ticket = 0;
  part_dispatch_report_end (part->parts.dispatch, ticket, result->outcome, result->elapsed_us,
                            daemon_now_ms (part->base.daemon));
  if (!again)
    {
      follow_verdict (entry, run, verdict);
      entry_unref (entry);
    }
  else if (entry->state != ENTRY_RUNNING && part_dispatch_remove (part->parts.dispatch, ticket))
    {
      run->ticket = 0;
      entry_unref (entry);
    }
}

static void
call_endpoint (run_t *run, const host_t *endpoint)
{
  entry_t *entry = run->entry;
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

/* Gives the tickets of an entry back and claims its key again. */
static void
reclaim (void *data)
{
  entry_t *entry = data;
  job_part_t *part = entry->part;
  int64_t now_ms = daemon_now_ms (part->base.daemon);

  remove_queued (entry);
  while (entry->held->len > 0)
    {
      run_t *run = g_ptr_array_steal_index_fast (entry->held, 0);
      part_dispatch_report_end (part->parts.dispatch, run->ticket, DISPATCH_ABANDONED, 0, now_ms);
      run->ticket = 0;
      entry_unref (entry);
    }
  if (entry->state == ENTRY_RECLAIMING)
    entry_claim (entry);
  entry_unref (entry);
}

static void
hold (run_t *run)
{
  entry_t *entry = run->entry;

  g_ptr_array_add (entry->held, run);
  if (entry->held->len == 1)
    daemon_post (entry->part->base.daemon, reclaim, entry_ref (entry));
  if (entry->state == ENTRY_RUNNING)
    entry->state = ENTRY_RECLAIMING;
}

static void
on_start (uint64_t ticket, const host_t *endpoint, void *data)
{
  run_t *run = data;
  entry_t *entry = run->entry;
  job_part_t *part = entry->part;
  int64_t now_ms = clock_boot_ms ();

  run->ticket = ticket;
  bool first = !job_has_started (entry->job);
  if (entry->state != ENTRY_RUNNING
      || (first && !part_claim_may_start (part->parts.claim, entry->key, now_ms)))
    {
      hold (run);
      return;
    }
  if (first)
    part_claim_mark_started (part->parts.claim, entry->key);
  job_start_task (entry->job, run->index);
  call_endpoint (run, endpoint);
}

/* The dispatcher holds one reference of the entry for each ticket. */
static void
add_task (entry_t *entry, uint32_t index)
{
  job_part_t *part = entry->part;
  dispatch_task_t task = entry_describe_task (entry, &job_request (entry->job)->tasks[index]);
  run_t *run = &entry->runs[index];

  entry_ref (entry);
  uint64_t ticket = part_dispatch_add (part->parts.dispatch, &task, on_start, run,
                                       daemon_now_ms (part->base.daemon));
  /* on_start () may have run already. */
  if (run->ticket == 0)
    run->ticket = ticket;
}

static void
start_job (entry_t *entry)
{
  uint32_t count = entry->request->task_count;

  entry->state = ENTRY_RUNNING;
  if (entry->job == NULL)
    {
      entry->job = job_new (entry->request);
      entry->runs = g_new0 (run_t, count);
      for (uint32_t i = 0; i < count; i++)
        entry->runs[i] = (run_t){ .entry = entry, .index = i };
    }
  for (uint32_t i = 0; i < count && entry->state == ENTRY_RUNNING; i++)
    if (entry->runs[i].ticket == 0)
      add_task (entry, i);
}

/* --- claims --- */

static int64_t
give_up_at (const entry_t *entry)
{
  return MIN (entry->deadline_at_ms, daemon_now_ms (entry->part->base.daemon) + CLAIM_WITHIN_MS);
}

static claim_params_t
ask_of (const entry_t *entry, int64_t give_up_at_ms)
{
  return (claim_params_t){ .key = entry->key,
                           .home = entry->home,
                           .digest = entry->digest,
                           .issued_at_ms = entry->request->issued_at_ms,
                           .timeout_at_ms = give_up_at_ms };
}

/* Another host holds the key; it may be this host's own earlier process. */
static void
meet_holder (entry_t *entry, const claim_outcome_t *outcome)
{
  daemon_t *daemon = entry->part->base.daemon;
  const char *host = outcome->claimant;
  uint64_t incarnation = outcome->claimant_incarnation;

  job_move_resolve (entry->part, outcome->claimant_incarnation, &host, &incarnation);
  if (strcmp (host, daemon_host_id (daemon)) != 0)
    entry_attach (entry, outcome);
  else if (incarnation == daemon_incarnation (daemon))
    end_with_error (entry, ERROR_ANSWER_GONE, false);
  else
    end_with_error (entry, ERROR_CLAIMANT_LOST, false);
}

static void
on_granted (entry_t *entry)
{
  if (entry->cancelled)
    {
      entry->job = entry->job != NULL ? entry->job : job_new (entry->request);
      fail (entry, ERROR_CANCELLED);
    }
  else
    start_job (entry);
}

static void
on_claimed (const claim_outcome_t *outcome, void *data)
{
  entry_t *entry = data;

  switch (entry->state == ENTRY_CLAIMING ? (int) outcome->result : -1)
    {
    case CLAIM_GRANTED:
      on_granted (entry);
      break;
    case CLAIM_HELD:
      meet_holder (entry, outcome);
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
      /* The entry ended while the claim was on its way. */
      if (outcome->result == CLAIM_GRANTED)
        part_claim_release (entry->part->parts.claim, entry->key, NULL, NULL);
      break;
    }
  entry_unref (entry);
}

void
entry_claim (entry_t *entry)
{
  claim_params_t ask = ask_of (entry, give_up_at (entry));

  entry->state = ENTRY_CLAIMING;
  part_claim_request (entry->part->parts.claim, &ask, on_claimed, entry_ref (entry));
}

static void
on_confirmed (const claim_outcome_t *outcome, void *data)
{
  entry_t *entry = data;

  if (entry->state == ENTRY_REFUSING && outcome->result == CLAIM_HELD)
    meet_holder (entry, outcome);
  else if (entry->state == ENTRY_REFUSING)
    end_with_error (entry, entry->pending_error, outcome->result == CLAIM_FREE);
  entry_unref (entry);
}

/* Refuses an entry that holds no claim, once the replicas have said whether
 * "not_run" is true. */
static void
refuse (entry_t *entry, int error, int64_t retry_at_ms, const char *message)
{
  entry->state = ENTRY_REFUSING;
  entry->pending_error = error;
  entry->pending_retry_at_ms = retry_at_ms;
  g_free (entry->pending_message);
  entry->pending_message = g_strdup (message);
  int64_t until_ms = daemon_now_ms (entry->part->base.daemon) + CLAIM_WITHIN_MS;
  claim_params_t ask = ask_of (entry, until_ms);
  part_claim_confirm (entry->part->parts.claim, &ask, on_confirmed, entry_ref (entry));
}

static void
begin (entry_t *entry)
{
  int64_t retry_at_ms = 0;
  const char *message = NULL;
  int error = entry_check_at_door (entry, &retry_at_ms, &message);

  if (error == ERROR_SUBMISSION_EXPIRED)
    end_with_error (entry, error, false);
  else if (error != 0)
    refuse (entry, error, retry_at_ms, message);
  else
    entry_claim (entry);
}

/* --- submissions, from the callers' threads --- */

typedef struct
{
  job_part_t *part;
  job_request_t *request;
  waiter_t *waiter;
} submission_t;

static void
take_submission (void *data)
{
  submission_t *submission = data;
  job_part_t *part = submission->part;
  entry_t *entry = g_hash_table_lookup (part->entries, submission->request->key);

  if (entry == NULL)
    {
      entry = entry_ref (entry_new (part, submission->request));
      g_ptr_array_add (entry->waiters, submission->waiter);
      begin (entry);
      entry_unref (entry);
    }
  else if (memcmp (&entry->digest, &submission->request->digest, sizeof entry->digest) != 0)
    waiter_give (submission->waiter, job_answer_error (ERROR_KEY_REUSED, false, 0, NULL));
  else if (entry->state == ENTRY_ENDED)
    waiter_give (submission->waiter, entry_answer (entry));
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
  atomic_fetch_add (&part->waiting, 1);
  daemon_post (base->daemon, take_submission, submission);
  job_answer_t *answer = waiter_take (waiter, MAX (deadline_ms, clock_boot_ms ()) + WAIT_SLACK_MS);
  atomic_fetch_sub (&part->waiting, 1);
  return answer;
}

/* --- state and cancellation --- */

void
entry_cancel (entry_t *entry)
{
  entry->cancelled = true;
  switch (entry->state)
    {
    case ENTRY_RUNNING:
    case ENTRY_RECLAIMING:
      fail (entry, ERROR_CANCELLED);
      break;
    case ENTRY_CLAIMING:
    case ENTRY_REFUSING:
    case ENTRY_ATTACHED:
    case ENTRY_ENDED:
      break;
    }
}

job_answer_t *
entry_state (entry_t *entry)
{
  if (entry->state == ENTRY_ENDED)
    return entry_answer (entry);
  if (entry->job == NULL)
    return job_answer_state ("claiming", entry->request->task_count, 0, 0);
  return job_answer_state ("running", job_request (entry->job)->task_count,
                           job_started_count (entry->job), job_done_count (entry->job));
}

job_answer_t *
part_job_refuse (const char *key, int error, const char *message)
{
  int64_t retry_at_ms = error_row (error)->retry ? clock_wall_ms () + RETRY_AFTER_MS : 0;

  return job_answer_error (error, key == NULL, retry_at_ms, message);
}

/* --- the part --- */

const char *
part_job_home_of (part_t *base, const char *key)
{
  const settings_t *settings = daemon_settings (base->daemon);
  const char *best = settings->data_centre;
  uint64_t best_weight = 0;

  for (guint i = 0; i < settings->data_centres->len; i++)
    {
      const settings_data_centre_t *data_centre = settings->data_centres->pdata[i];
      uint64_t weight = hash_rendezvous (key, data_centre->name);
      if (weight < best_weight)
        continue;
      best = data_centre->name;
      best_weight = weight;
    }
  return best;
}

static void
end_overdue (job_part_t *part, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *overdue = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, part->live);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      entry_t *entry = key;
      if (now_ms >= entry->deadline_at_ms)
        g_ptr_array_add (overdue, entry_ref (entry));
    }
  for (guint i = 0; i < overdue->len; i++)
    {
      entry_t *entry = overdue->pdata[i];
      if (entry->state == ENTRY_RUNNING || entry->state == ENTRY_RECLAIMING)
        fail (entry, ERROR_DEADLINE_PASSED);
      else if (entry->state == ENTRY_ATTACHED)
        end_with_error (entry, ERROR_DEADLINE_PASSED, false);
      entry_unref (entry);
    }
  g_ptr_array_unref (overdue);
}

static void
job_tick (part_t *base, int64_t now_ms)
{
  job_part_t *part = (job_part_t *) base;

  job_ready_update (part, now_ms);
  atomic_store (&part->last_tick_ms, now_ms);
  end_overdue (part, now_ms);
  job_peer_tick (part, now_ms);
  job_move_forget (part, now_ms);
  endpoint_client_tick (part->endpoints, now_ms);
  entries_forget (part, now_ms);
  counter_set (counter_get ("jaytrail_jobs_active", NULL), g_hash_table_size (part->live));
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

  return g_hash_table_size (part->live) == 0 && atomic_load (&part->waiting) == 0
         && job_move_done (part, now_ms);
}

static void
job_status (part_t *base, json_object *status)
{
  job_part_t *part = (job_part_t *) base;
  json_object *section = json_object_new_object ();

  json_object_object_add (section, "active",
                          json_object_new_int64 (g_hash_table_size (part->live)));
  json_object_object_add (section, "keys",
                          json_object_new_int64 (g_hash_table_size (part->entries)));
  json_object_object_add (section, "waiting_callers",
                          json_object_new_int (atomic_load (&part->waiting)));
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
entry_drop (void *data)
{
  entry_unref (data);
}

part_t *
part_job_new (daemon_t *daemon, const job_parts_t *parts)
{
  job_part_t *part = g_new0 (job_part_t, 1);

  part->base = (part_t){ &job_ops, daemon };
  part->parts = *parts;
  part->endpoints = endpoint_client_new (daemon);
  part->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_drop);
  part->live = g_hash_table_new (NULL, NULL);
  part->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  part->queries = g_hash_table_new (g_int64_hash, g_int64_equal);
  part->cancels =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_ptr_array_unref);
  g_queue_init (&part->kept);
  job_move_init (part);
  part_dispatch_set_give_up_handler (parts->dispatch, on_given_up);
  part_config_add_listener (parts->config, job_ready_on_hosts, part);
  /* Answers to an earlier process of this host must not match. */
  part->next_request_id = daemon_incarnation (daemon) | 1;
  part->attached = counter_get ("jaytrail_jobs_attached_total", NULL);
  part->retries = counter_get ("jaytrail_task_retries_total", NULL);
  part->messages = counter_get ("jaytrail_job_messages_total", NULL);
  part->tasks_started = counter_get ("jaytrail_tasks_started_total", NULL);
  return &part->base;
}

int32_t
part_job_waiting (part_t *base)
{
  return atomic_load (&((job_part_t *) base)->waiting);
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
