/* repeats.c -- requests of a job that is open already, at this host or at another one
 *
 * A caller that has lost its channel sends its job again, to any host, and the first host may not
 * know that the channel is lost.  So each host announces the jobs that have been open for a part of
 * the time after which callers send them again, and a request of a job that was announced waits
 * here: for the answer of the other host, which is asked again and again and thereby knows that
 * somebody waits, or until the runs for that host have certainly ended (lost_host.c).
 *
 * If two hosts run one job all the same, as neither knew of the other, the one whose name is
 * greater stops and waits for the other.
 */
#include "scheduler/state.h"

#include <string.h>

/* A job is announced once it has been open for this part of resubmit_ms.  What remains is for
 * collecting, relaying and reading the announcement. */
#define ANNOUNCE_PERCENT 30
/* Callers at a host that has not asked for this long do not wait any more. */
#define FOLLOWER_LEASE_MS 1000
/* A host that has asked waits for this long: it asks again, unless it knows that another one runs
 * the job. */
#define WAITS_VALID_MS (3 * REPEATS_ASK_INTERVAL_MS)
/* How often the entries of other hosts are searched for expired ones. */
#define EXPIRE_INTERVAL_MS 500
/* Ends that were not collected; the oldest are kept. */
#define UNTOLD_ENDS_MAX 65536

/* --- requests --- */

uint64_t
repeats_add_request (scheduler_t *scheduler, scheduled_job_t *job, void *user_data)
{
  job_request_t *request = g_new0 (job_request_t, 1);

  request->number = ++scheduler->last_number;
  request->job = job;
  request->user_data = user_data;
  g_ptr_array_add (job->requests, request);
  g_hash_table_insert (scheduler->requests, &request->number, request);
  return request->number;
}

bool
repeats_is_wanted (const scheduled_job_t *job, int64_t now_ms)
{
  if (job->requests->len > 0)
    return true;
  for (guint i = 0; i < job->followers->len; i++)
    if (now_ms < g_array_index (job->followers, job_follower_t, i).until_ms)
      return true;
  return false;
}

static void
add_follower (scheduled_job_t *job, const char *host, int64_t now_ms)
{
  job_follower_t follower = { g_intern_string (host), now_ms + FOLLOWER_LEASE_MS };

  for (guint i = 0; i < job->followers->len; i++)
    if (g_array_index (job->followers, job_follower_t, i).host == follower.host)
      {
        g_array_remove_index_fast (job->followers, i);
        break;
      }
  g_array_append_val (job->followers, follower);
}

/* --- actions --- */

scheduler_action_t *
repeats_add_action (scheduler_t *scheduler,
                    scheduler_action_kind_t kind,
                    const char *host,
                    const char *id,
                    GArray *actions)
{
  scheduler_action_t *action = scheduler_add_action (actions, kind);

  action->host = g_intern_string (host);
  action->job_id = g_string_chunk_insert (scheduler->answer_strings, id);
  return action;
}

static void
tell (scheduler_t *scheduler, const char *host, const job_status_t *status, GArray *actions)
{
  scheduler_action_t *action =
      repeats_add_action (scheduler, SCHEDULER_TELL, host, status->id, actions);

  action->status = *status;
  action->status.id = action->job_id;
}

static void
note (scheduler_t *scheduler,
      const char *id,
      const char *host,
      scheduler_finding_t finding,
      job_evidence_t evidence,
      int64_t age_ms,
      GArray *actions)
{
  scheduler_action_t *action = repeats_add_action (scheduler, SCHEDULER_NOTE, host, id, actions);

  action->finding = finding;
  action->evidence = evidence;
  action->age_ms = age_ms;
}

/* --- a job that waits --- */

typedef struct
{
  scheduler_t *scheduler;
  const char *id;
  const char *holder;
  GArray *actions;
} question_t;

/* Asks the host of REMOTE unless it is the holder, which was asked, or its runs just end. */
static void
ask_other (const remote_job_t *remote, void *data)
{
  const question_t *question = data;

  if (remote->over_at_ms == INT64_MAX && remote->host != question->holder)
    repeats_add_action (question->scheduler, SCHEDULER_ASK, remote->host, question->id,
                        question->actions);
}

/* Asks the host of REMOTE for JOB, if that is due.  If it may be waiting as well, so may all
 * others: they are asked too, and thereby know that this host waits. */
static void
ask (scheduler_t *scheduler,
     scheduled_job_t *job,
     const remote_job_t *remote,
     int64_t now_ms,
     GArray *actions)
{
  if (job->holder != remote->host)
    {
      job->holder = remote->host;
      job->asked_since_ms = now_ms;
      job->ask_at_ms = now_ms;
      job->ask_owners_at_ms = now_ms;
    }
  if (now_ms < job->ask_at_ms || remote->host == scheduler->host)
    return;
  job->ask_at_ms = now_ms + REPEATS_ASK_INTERVAL_MS;
  repeats_add_action (scheduler, SCHEDULER_ASK, remote->host, job->request.id, actions);
  question_t question = { scheduler, job->request.id, remote->host, actions };
  if (!remote->runs)
    remote_jobs_foreach_host (scheduler->remote_jobs, question.id, now_ms, ask_other, &question);
}

/* JOB waits from now on for the host of REMOTE. */
static void
found_elsewhere (scheduler_t *scheduler,
                 scheduled_job_t *job,
                 const remote_job_t *remote,
                 int64_t now_ms,
                 GArray *actions)
{
  bool open = remote->over_at_ms == INT64_MAX;

  job->may_have_run = true;
  note (scheduler, job->request.id, remote->host,
        open ? SCHEDULER_FOUND_OPEN : SCHEDULER_FOUND_STOPPING, remote->evidence,
        now_ms - remote->learned_at_ms, actions);
}

bool
repeats_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  const remote_job_t *remote = remote_jobs_find (scheduler->remote_jobs, job->request.id, now_ms);

  if (remote == NULL)
    return false;
  job->waits_since_ms = now_ms;
  found_elsewhere (scheduler, job, remote, now_ms, actions);
  ask (scheduler, job, remote, now_ms, actions);
  return true;
}

/* Runs JOB here, as no other host does any more.  The time for which it has waited does not count
 * towards its start.  A job that was stopped for a later request has no caller that would read the
 * answer, and is not run; nor is one that may have been started where nobody was told of it. */
static void
start_waiting (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (job->yielded)
    {
      scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_OWNERS,
                         "it was sent again to another host, which has not ended it", now_ms,
                         actions);
      return;
    }
  if (job->confirmed_late)
    {
      scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_UNREACHED,
                         "a data centre was told of it late, and may run it", now_ms, actions);
      return;
    }
  if (job->holder != NULL)
    note (scheduler, job->request.id, scheduler->host, SCHEDULER_FOUND_OVER, job->waited_by, 0,
          actions);
  if (job->request.start_by_ms != 0)
    job->request.start_by_ms += now_ms - job->waits_since_ms;
  job->waits_since_ms = 0;
  job->announce_again = job->announced;
  job->register_again = job->holder != NULL;
  scheduler_start_job (scheduler, job, now_ms, actions);
}

/* Whether the host of REMOTE, which is asked for JOB, has been silent for so long that it counts as
 * lost. */
static bool
is_silent (const scheduler_t *scheduler,
           const scheduled_job_t *job,
           const remote_job_t *remote,
           int64_t now_ms)
{
  return job->holder == remote->host && remote->over_at_ms == INT64_MAX
         && now_ms - MAX (job->asked_since_ms, remote->learned_at_ms) >= scheduler->resubmit_ms;
}

/* Returns the entry of the host that JOB waits for; NULL if no host has it any more. */
static const remote_job_t *
current_holder (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  const char *id = job->request.id;
  const remote_job_t *remote = remote_jobs_find (scheduler->remote_jobs, id, now_ms);

  if (remote != NULL && !remote->unheard && is_silent (scheduler, job, remote, now_ms))
    {
      note (scheduler, id, remote->host, SCHEDULER_FOUND_SILENT, JOB_EVIDENCE_TOLD,
            now_ms - remote->learned_at_ms, actions);
      remote_jobs_host_silent (scheduler->remote_jobs, id, remote->host);
    }
  if (remote != NULL && remote->unheard && lost_host_runs_are_over (scheduler, job, remote, now_ms))
    {
      job->waited_by = JOB_EVIDENCE_OWNERS;
      g_ptr_array_add (job->cleared_hosts, (void *) remote->host);
      remote_jobs_ended (scheduler->remote_jobs, id, remote->host, JOB_EVIDENCE_OWNERS, now_ms,
                         now_ms);
      return remote_jobs_find (scheduler->remote_jobs, id, now_ms);
    }
  if (remote != NULL)
    job->waited_by = remote->evidence;
  return remote;
}

/* Whether JOB must not start yet although no host is known to have it. */
static bool
is_held (scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  return !job_registry_is_confirmed (scheduler, job, now_ms)
         || !scheduler_is_warm (scheduler, now_ms) || late_request_is_held (scheduler, job, now_ms);
}

void
repeats_step_waiting (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  const remote_job_t *remote = current_holder (scheduler, job, now_ms, actions);

  unannounced_step_waiting (scheduler, job, now_ms);
  job_registry_step (scheduler, job, remote != NULL, now_ms, actions);
  if (now_ms >= job->request.deadline_at_ms)
    scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, job->deadline_limit,
                       "another host may be running it", now_ms, actions);
  else if (remote == NULL && !is_held (scheduler, job, now_ms))
    start_waiting (scheduler, job, now_ms, actions);
  else if (remote != NULL)
    {
      if (job->holder == NULL)
        found_elsewhere (scheduler, job, remote, now_ms, actions);
      ask (scheduler, job, remote, now_ms, actions);
      if (remote->unheard)
        lost_host_ask_owners (scheduler, job, remote, now_ms, actions);
    }
}

/* --- what other hosts tell --- */

/* Stops the runs of JOB, which the host of REMOTE runs as well, and makes it wait for that host. */
static void
yield (scheduler_t *scheduler,
       scheduled_job_t *job,
       const remote_job_t *remote,
       int64_t now_ms,
       GArray *actions)
{
  note (scheduler, job->request.id, remote->host, SCHEDULER_FOUND_YIELDED, JOB_EVIDENCE_TOLD, 0,
        actions);
  scheduler_cancel_batches (scheduler, job, STOP_OTHER_HOST, now_ms, actions);
  scheduler_remove_batches (scheduler, job);
  g_array_set_size (job->unassigned, 0);
  job->may_have_run = true;
  job->yielded = true;
  job->runs_end_ms = now_ms + scheduler->resubmit_ms;
  job->waits_since_ms = now_ms;
  ask (scheduler, job, remote, now_ms, actions);
}

/* Whether owners may start tasks of JOB anew: an owner was lost, or has lost this host, since its
 * tasks were sent. */
static bool
was_moved (const scheduled_job_t *job)
{
  for (guint i = 0; i < job->batches->len; i++)
    if (((const job_batch_t *) job->batches->pdata[i])->maybe_running)
      return true;
  return false;
}

/* Whether this host stops JOB, which HOST runs as well.  Of two whose tasks were not moved, or both
 * were, the one with the greater name does. */
static bool
yields_to (const scheduler_t *scheduler, const scheduled_job_t *job, const char *host)
{
  return was_moved (job) || strcmp (scheduler->host, host) > 0;
}

static void
told_open (scheduler_t *scheduler,
           const char *host,
           const job_status_t *status,
           int64_t now_ms,
           GArray *actions)
{
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, status->id);
  bool is_open = job != NULL && job->waits_since_ms == 0 && !job->end_pending;
  bool runs_here = is_open && job->was_sent;
  bool runs_there = status->kind == JOB_STATUS_OPEN;
  bool known = remote_jobs_open (scheduler->remote_jobs, status->id, host, runs_there,
                                 status->until_ms, now_ms);

  if (runs_here && runs_there && !yields_to (scheduler, job, host))
    note (scheduler, status->id, host, SCHEDULER_FOUND_AT_BOTH, JOB_EVIDENCE_TOLD, 0, actions);
  if (!known || (runs_here && (!runs_there || !yields_to (scheduler, job, host))))
    return;
  if (runs_here)
    yield (scheduler, job, remote_jobs_find (scheduler->remote_jobs, status->id, now_ms), now_ms,
           actions);
  else if (is_open)
    repeats_wait (scheduler, job, now_ms, actions);
}

/* The job with ID has ended with OUTCOME at HOST, for good. */
static void
told_outcome (scheduler_t *scheduler,
              const char *host,
              const char *id,
              scheduler_outcome_t outcome,
              int64_t now_ms,
              GArray *actions)
{
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, id);

  remote_jobs_ended (scheduler->remote_jobs, id, host, JOB_EVIDENCE_TOLD, now_ms, now_ms);
  ended_jobs_add (scheduler->ended_jobs, id, outcome, now_ms);
  if (job == NULL || job->waits_since_ms == 0)
    return;
  note (scheduler, id, host, SCHEDULER_FOUND_ENDED, JOB_EVIDENCE_TOLD, 0, actions);
  scheduler_end_job (scheduler, job, outcome, SCHEDULER_LIMIT_NONE, "it has ended at another host",
                     now_ms, actions);
}

/* Another host tells what it has heard of a job of this one.  An earlier process of this host may
 * have run it, if this one is young. */
static void
told_of_earlier_process (scheduler_t *scheduler, const job_status_t *status, int64_t now_ms)
{
  int64_t over_at_ms =
      MIN (status->until_ms, scheduler->started_at_ms + scheduler_runs_end_ms (scheduler));

  if (status->kind == JOB_STATUS_STOPPED && now_ms < over_at_ms
      && !g_hash_table_contains (scheduler->jobs_by_id, status->id))
    remote_jobs_ended (scheduler->remote_jobs, status->id, scheduler->host,
                       JOB_EVIDENCE_HOST_RESTARTED, over_at_ms, now_ms);
}

void
scheduler_job_told (scheduler_t *scheduler,
                    const char *host,
                    const job_status_t *status,
                    int64_t now_ms,
                    GArray *actions)
{
  static const scheduler_outcome_t outcomes[] = {
    [JOB_STATUS_COMPLETE] = SCHEDULER_COMPLETE,
    [JOB_STATUS_FAILED] = SCHEDULER_FAILED,
    [JOB_STATUS_CANCELLED] = SCHEDULER_CANCELLED,
  };

  if (scheduler->resubmit_ms == 0)
    return;
  if (g_intern_string (host) == scheduler->host)
    told_of_earlier_process (scheduler, status, now_ms);
  else if (status->kind == JOB_STATUS_OPEN || status->kind == JOB_STATUS_WAITING)
    told_open (scheduler, host, status, now_ms, actions);
  else if (status->kind == JOB_STATUS_STOPPED)
    remote_jobs_ended (scheduler->remote_jobs, status->id, host, JOB_EVIDENCE_TOLD,
                       status->until_ms, now_ms);
  else
    told_outcome (scheduler, host, status->id, outcomes[status->kind], now_ms, actions);
}

void
scheduler_job_unheard (scheduler_t *scheduler, const char *id, const char *host)
{
  remote_jobs_host_silent (scheduler->remote_jobs, id, host);
}

/* --- what this host tells --- */

job_status_kind_t
repeats_open_kind (const scheduled_job_t *job)
{
  bool runs = job->waits_since_ms == 0 && !was_moved (job);

  return runs ? JOB_STATUS_OPEN : JOB_STATUS_WAITING;
}

static job_status_t
open_status (const scheduled_job_t *job)
{
  return (job_status_t){ job->request.id, repeats_open_kind (job), job->request.deadline_at_ms };
}

/* The status of a job that has ended with OUTCOME; its runs, if any, end by RUNS_END_MS. */
static job_status_t
ended_status (const char *id, scheduler_outcome_t outcome, int64_t runs_end_ms)
{
  switch (outcome)
    {
    case SCHEDULER_COMPLETE:
      return (job_status_t){ id, JOB_STATUS_COMPLETE, 0 };
    case SCHEDULER_FAILED:
      return (job_status_t){ id, JOB_STATUS_FAILED, 0 };
    case SCHEDULER_CANCELLED:
      return (job_status_t){ id, JOB_STATUS_CANCELLED, 0 };
    case SCHEDULER_REFUSED:
    case SCHEDULER_GIVEN_UP:
    default:
      return (job_status_t){ id, JOB_STATUS_STOPPED, runs_end_ms };
    }
}

/* The status of a job that is not open here.  This process can't know what an earlier one of this
 * host has run, but that its runs end. */
static job_status_t
closed_status (scheduler_t *scheduler, const char *id, int64_t now_ms)
{
  scheduler_outcome_t outcome = SCHEDULER_GIVEN_UP;
  int64_t runs_end_ms = remote_jobs_over_at (scheduler->remote_jobs, id, scheduler->host, now_ms);

  ended_jobs_find (scheduler->ended_jobs, id, now_ms, &outcome);
  return ended_status (
      id, outcome, MAX (runs_end_ms, scheduler->started_at_ms + scheduler_runs_end_ms (scheduler)));
}

/* Which of this host, at which JOB waits, and HOST, which asks for it and hence waits too, may run
 * it: of all hosts that have it, the one with the least name, if none of them runs it.  NULL if
 * neither may, as far as is known here. */
static const char *
may_run_next (const scheduler_t *scheduler,
              const scheduled_job_t *job,
              const char *host,
              int64_t now_ms)
{
  const char *id = job->request.id;
  int64_t asked_since_ms = now_ms - WAITS_VALID_MS;
  const char *first = remote_jobs_first_waiting (scheduler->remote_jobs, id, scheduler->host,
                                                 asked_since_ms, now_ms);

  if (first == NULL || remote_jobs_over_at (scheduler->remote_jobs, id, host, now_ms) <= now_ms)
    return NULL;
  if (!job->yielded && !job->confirmed_late && strcmp (scheduler->host, first) < 0)
    return scheduler->host;
  return first == g_intern_string (host) ? first : NULL;
}

void
scheduler_job_asked (scheduler_t *scheduler,
                     const char *host,
                     const char *id,
                     int64_t now_ms,
                     GArray *actions)
{
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, id);
  const char *next = NULL;

  remote_jobs_asked (scheduler->remote_jobs, id, host, now_ms);
  if (job != NULL && job->waits_since_ms != 0)
    next = may_run_next (scheduler, job, host, now_ms);
  if (next == scheduler->host)
    remote_jobs_end_open (scheduler->remote_jobs, id);
  bool has_it = job != NULL && (next == NULL || next == scheduler->host);

  if (has_it)
    add_follower (job, host, now_ms);
  job_status_t status = has_it ? open_status (job) : closed_status (scheduler, id, now_ms);
  if (!has_it && job != NULL)
    status.until_ms = MAX (status.until_ms, job->runs_end_ms);
  tell (scheduler, host, &status, actions);
}

void
repeats_job_ends (scheduler_t *scheduler,
                  const scheduled_job_t *job,
                  scheduler_outcome_t outcome,
                  int64_t now_ms,
                  GArray *actions)
{
  bool may_run_on = outcome == SCHEDULER_GIVEN_UP && job->was_sent && scheduler->resubmit_ms > 0;
  /* Runs of an earlier request here may go on, too. */
  int64_t earlier_end_ms =
      remote_jobs_over_at (scheduler->remote_jobs, job->request.id, scheduler->host, now_ms);
  int64_t runs_end_ms = may_run_on ? now_ms + scheduler->resubmit_ms : MAX (now_ms, earlier_end_ms);
  job_status_t status = ended_status (job->request.id, outcome, runs_end_ms);

  if (may_run_on)
    remote_jobs_ended (scheduler->remote_jobs, status.id, scheduler->host, JOB_EVIDENCE_TOLD,
                       runs_end_ms, now_ms);
  for (guint i = 0; i < job->followers->len; i++)
    tell (scheduler, g_array_index (job->followers, job_follower_t, i).host, &status, actions);
  if (!job->announced)
    job_registry_add_end (scheduler, &status);
  if (!job->announced || scheduler->untold_ends->len >= UNTOLD_ENDS_MAX)
    return;
  status.id = g_strdup (status.id);
  g_array_append_val (scheduler->untold_ends, status);
}

/* Whether JOB should be announced: its caller may soon send it again.  One that was stopped for a
 * later request is announced by the host of that.  As long as a data centre has not confirmed it,
 * it is announced again: those that were to pass it on there may be lost, and the hub that confirms
 * in their place has to pass it on as well. */
static bool
is_due (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  int64_t due_at_ms = job->request.received_at_ms + scheduler->resubmit_ms * ANNOUNCE_PERCENT / 100;

  bool is_untold =
      !job->announced || job->announce_again || !unannounced_is_confirmed (scheduler, job);

  return is_untold && !job->yielded && (job->was_sent || job->waits_since_ms != 0)
         && now_ms >= due_at_ms;
}

void
scheduler_collect_statuses (scheduler_t *scheduler, int64_t now_ms, GArray *statuses)
{
  GHashTableIter iter;
  void *value = NULL;
  GArray *ends = scheduler->untold_ends;

  if (scheduler->resubmit_ms == 0)
    return;
  job_statuses_clear (scheduler->told_ends);
  scheduler->untold_ends = scheduler->told_ends;
  scheduler->told_ends = ends;
  g_array_append_vals (statuses, ends->data, ends->len);
  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      scheduled_job_t *job = value;
      if (!is_due (scheduler, job, now_ms))
        continue;
      job_status_t status = open_status (job);
      if (!job->announced)
        job->announced_at_ms = now_ms;
      job->announced = true;
      job->announce_again = false;
      g_array_append_val (statuses, status);
    }
}

void
scheduler_append_open (const scheduler_t *scheduler, GArray *statuses)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const scheduled_job_t *job = value;
      job_status_t status = open_status (job);
      if (job->announced && !job->yielded)
        g_array_append_val (statuses, status);
    }
}

typedef struct
{
  const scheduler_t *scheduler;
  const char *receiver; /* interned */
  int64_t now_ms;
  void (*function) (const char *host, const job_status_t *status, void *data);
  void *data;
} remote_walk_t;

/* A host that runs the job stops for none of these, as its own announcement may have crossed them.
 */
static void
tell_remote (const char *id, const remote_job_t *job, int64_t deadline_at_ms, void *data)
{
  const remote_walk_t *walk = data;
  job_status_t status = { id, JOB_STATUS_WAITING, deadline_at_ms };

  if (job->over_at_ms != INT64_MAX)
    status = (job_status_t){ id, JOB_STATUS_STOPPED, job->over_at_ms };
  else if (job->host == walk->receiver)
    status = (job_status_t){ id, JOB_STATUS_STOPPED,
                             walk->now_ms + scheduler_runs_end_ms (walk->scheduler) };
  walk->function (job->host, &status, walk->data);
}

void
scheduler_foreach_remote (const scheduler_t *scheduler,
                          const char *receiver,
                          int64_t now_ms,
                          void (*function) (const char *host,
                                            const job_status_t *status,
                                            void *data),
                          void *data)
{
  remote_walk_t walk = { scheduler, g_intern_string (receiver), now_ms, function, data };

  remote_jobs_foreach (scheduler->remote_jobs, now_ms, tell_remote, &walk);
}

void
repeats_expire (scheduler_t *scheduler, int64_t now_ms)
{
  if (now_ms < scheduler->expire_remote_at_ms)
    return;
  scheduler->expire_remote_at_ms = now_ms + EXPIRE_INTERVAL_MS;
  remote_jobs_expire (scheduler->remote_jobs, now_ms);
}
