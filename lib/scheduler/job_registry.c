/* job_registry.c -- a job is known to its data centre before its first task starts
 *
 * A caller without an answer sends its job again at a time of its own choice, and nearly always to
 * a host of the same data centre.  A host therefore registers each job with the registrars, the
 * hubs of its data centre that it hears, and starts nothing of it before a quorum of them has
 * confirmed (cluster/registrars.c).  Two quorums have a registrar in common, which tells the second
 * host of the first one; the request then waits like that of any job that another host has
 * (repeats.c).
 * Two hosts that register one job at the same time are both told, and the one with the least name
 * runs it.
 *
 * A registrar keeps what it is told among the jobs of other hosts (remote_jobs.h).  One that joins
 * is told all open jobs.  A confirmation that comes late says nothing any more: the others may have
 * lost this host since, and taken the job.
 */
#include "scheduler/state.h"

#include <string.h>

/* A registrar that has not confirmed a job is asked again after this. */
#define REGISTER_RETRY_MS 50
/* Confirmations count for this long after the registration was sent.  By then no host can have lost
 * this one for its silence since, and have taken its jobs. */
#define CONFIRMED_FOR_MS 300
/* Ends that were not collected; further ones are not told, and their entries expire. */
#define REGISTERED_ENDS_MAX 65536

static bool
is_registrar (const scheduler_t *scheduler, const char *host)
{
  return scheduler->registrars != NULL && g_ptr_array_find (scheduler->registrars, host, NULL);
}

static bool
has_confirmed (const scheduled_job_t *job, const char *host)
{
  return g_ptr_array_find (job->confirmed_by, host, NULL);
}

/* A job that is new does not run, though it may not wait yet. */
static job_status_kind_t
status_kind (const scheduled_job_t *job)
{
  return job->was_sent ? repeats_open_kind (job) : JOB_STATUS_WAITING;
}

static void
send_registration (scheduler_t *scheduler,
                   const scheduled_job_t *job,
                   const char *host,
                   GArray *actions)
{
  scheduler_action_t *action =
      repeats_add_action (scheduler, SCHEDULER_REGISTER, host, job->request.id, actions);

  action->status.id = action->job_id;
  action->status.kind = status_kind (job);
  action->status.until_ms = job->request.deadline_at_ms;
  action->registration = job->registration;
}

/* Registers JOB with all registrars but this host; with UNCONFIRMED, with those that have not
 * confirmed it. */
static void
send_registrations (scheduler_t *scheduler,
                    const scheduled_job_t *job,
                    bool unconfirmed,
                    GArray *actions)
{
  for (guint i = 0; i < scheduler->registrars->len; i++)
    {
      const char *host = scheduler->registrars->pdata[i];
      if (host != scheduler->host && !(unconfirmed && has_confirmed (job, host)))
        send_registration (scheduler, job, host, actions);
    }
}

/* This host itself may be one of the registrars. */
static bool
is_confirmed_by_quorum (const scheduler_t *scheduler, const scheduled_job_t *job)
{
  guint len = scheduler->registrars->len;
  guint quorum = scheduler->quorum != 0 ? scheduler->quorum : len / 2 + 1;
  guint count = 0;

  for (guint i = 0; i < len; i++)
    {
      const char *host = scheduler->registrars->pdata[i];
      bool confirmed = host == scheduler->host || has_confirmed (job, host);
      if (host == scheduler->required && !confirmed)
        return false;
      count += confirmed;
    }
  return count >= quorum;
}

/* The end of an earlier request of JOB here must not be told after JOB is registered. */
static void
drop_untold_end (GArray *ends, const scheduled_job_t *job)
{
  for (guint i = ends->len; i-- > 0;)
    {
      const job_status_t *end = &g_array_index (ends, job_status_t, i);
      if (strcmp (end->id, job->request.id) != 0)
        continue;
      g_free ((char *) end->id);
      g_array_remove_index (ends, i);
    }
}

/* Forgets what registrars have confirmed so far, and what they may still confirm. */
static void
begin_registration (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms)
{
  g_ptr_array_set_size (job->confirmed_by, 0);
  job->registration = ++scheduler->last_number;
  job->registered_since_ms = now_ms;
}

bool
job_registry_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (scheduler->registrars == NULL)
    return false;
  drop_untold_end (scheduler->registered_ends, job);
  drop_untold_end (scheduler->untold_ends, job);
  begin_registration (scheduler, job, now_ms);
  job->register_at_ms = now_ms + REGISTER_RETRY_MS;
  send_registrations (scheduler, job, true, actions);
  if (job_registry_is_confirmed (scheduler, job, now_ms))
    return false;
  if (job->waits_since_ms == 0)
    job->waits_since_ms = now_ms;
  return true;
}

bool
job_registry_is_confirmed (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  bool is_recent = now_ms - job->registered_since_ms <= CONFIRMED_FOR_MS;

  return scheduler->registrars == NULL || job->was_sent
         || (is_recent && is_confirmed_by_quorum (scheduler, job));
}

void
job_registry_step (scheduler_t *scheduler,
                   scheduled_job_t *job,
                   bool is_elsewhere,
                   int64_t now_ms,
                   GArray *actions)
{
  bool confirmed = job_registry_is_confirmed (scheduler, job, now_ms);
  bool expired = now_ms - job->registered_since_ms > CONFIRMED_FOR_MS;

  if (scheduler->registrars == NULL || !scheduler_is_warm (scheduler, now_ms)
      || (confirmed && !is_elsewhere)
      || (now_ms < job->register_at_ms && (is_elsewhere || !expired)))
    return;
  if (expired)
    begin_registration (scheduler, job, now_ms);
  job->register_at_ms = now_ms + (confirmed ? REPEATS_ASK_INTERVAL_MS : REGISTER_RETRY_MS);
  send_registrations (scheduler, job, !confirmed, actions);
}

void
job_registry_step_running (scheduler_t *scheduler, scheduled_job_t *job, GArray *actions)
{
  if (scheduler->registrars == NULL || !job->register_again || !job->was_sent)
    return;
  job->register_again = false;
  send_registrations (scheduler, job, false, actions);
}

/* --- the hosts that register jobs --- */

void
scheduler_register_all (scheduler_t *scheduler, const char *host, GArray *actions)
{
  const char *interned = g_intern_string (host);
  GHashTableIter iter;
  void *job = NULL;

  if (interned == scheduler->host || !is_registrar (scheduler, interned))
    return;
  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &job))
    send_registration (scheduler, job, interned, actions);
}

/* Whether the registrars are HOSTS, in that order. */
static bool
are_registrars (const scheduler_t *scheduler, const GPtrArray *hosts)
{
  const GPtrArray *registrars = scheduler->registrars;

  if (registrars == NULL || hosts == NULL)
    return registrars == hosts;
  if (registrars->len != hosts->len)
    return false;
  for (guint i = 0; i < hosts->len; i++)
    if (strcmp (registrars->pdata[i], hosts->pdata[i]) != 0)
      return false;
  return true;
}

void
scheduler_set_registrars (scheduler_t *scheduler, const GPtrArray *hosts, GArray *actions)
{
  GPtrArray *before = scheduler->registrars;

  if (are_registrars (scheduler, hosts))
    return;
  scheduler->registrars = hosts != NULL ? g_ptr_array_new () : NULL;
  for (guint i = 0; hosts != NULL && i < hosts->len; i++)
    g_ptr_array_add (scheduler->registrars, (void *) g_intern_string (hosts->pdata[i]));
  for (guint i = 0; hosts != NULL && i < hosts->len; i++)
    if (before == NULL || !g_ptr_array_find (before, scheduler->registrars->pdata[i], NULL))
      scheduler_register_all (scheduler, scheduler->registrars->pdata[i], actions);
  if (before != NULL)
    g_ptr_array_unref (before);
}

void
scheduler_set_quorum (scheduler_t *scheduler, guint quorum, const char *required)
{
  scheduler->quorum = quorum;
  scheduler->required = g_intern_string (required);
}

void
job_registry_add_end (scheduler_t *scheduler, const job_status_t *status)
{
  job_status_t end = *status;

  if (scheduler->registrars == NULL || scheduler->registered_ends->len >= REGISTERED_ENDS_MAX)
    return;
  end.id = g_strdup (status->id);
  end.kind = JOB_STATUS_STOPPED;
  g_array_append_val (scheduler->registered_ends, end);
}

const GPtrArray *
scheduler_registrars (const scheduler_t *scheduler)
{
  return scheduler->registrars;
}

void
scheduler_collect_registered_ends (scheduler_t *scheduler, GArray *statuses)
{
  GArray *ends = scheduler->registered_ends;

  if (scheduler->registrars == NULL || scheduler->registrars->len == 0)
    return;
  job_statuses_clear (scheduler->told_registered_ends);
  scheduler->registered_ends = scheduler->told_registered_ends;
  scheduler->told_registered_ends = ends;
  g_array_append_vals (statuses, ends->data, ends->len);
}

void
scheduler_job_registered (scheduler_t *scheduler,
                          const char *host,
                          const char *id,
                          uint64_t number,
                          int64_t now_ms,
                          GArray *actions)
{
  scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, id);
  const char *interned = g_intern_string (host);

  if (job == NULL || job->registration != number || has_confirmed (job, interned))
    return;
  g_ptr_array_add (job->confirmed_by, (void *) interned);
  if (job->waits_since_ms != 0 && !job->end_pending
      && job_registry_is_confirmed (scheduler, job, now_ms))
    repeats_step_waiting (scheduler, job, now_ms, actions);
}

/* --- a registrar --- */

/* Whether HOST, which is heard, is known to have the job with ID.  Its entry then stays as it is:
 * it may hold more than a registration, and the time from which replies of owners count. */
static bool
is_known_open (const scheduler_t *scheduler, const char *id, const char *host, int64_t now_ms)
{
  const remote_job_t *remote = remote_jobs_find_host (scheduler->remote_jobs, id, host, now_ms);

  return remote != NULL && remote->over_at_ms == INT64_MAX && !remote->unheard;
}

typedef struct
{
  const char *registering; /* interned */
  int64_t now_ms;
  GArray *claims;
} claims_walk_t;

static void
add_claim (const remote_job_t *remote, void *data)
{
  const claims_walk_t *walk = data;
  job_claim_t claim = { .host = remote->host,
                        .kind = JOB_STATUS_WAITING,
                        .until_ms = remote->expires_at_ms,
                        .unheard = remote->unheard };

  bool is_own_request = remote->host == walk->registering && remote->over_at_ms == INT64_MAX;

  if (is_own_request || remote->over_at_ms <= walk->now_ms)
    return;
  if (remote->runs)
    claim.kind = JOB_STATUS_OPEN;
  if (remote->over_at_ms != INT64_MAX)
    {
      claim.kind = JOB_STATUS_STOPPED;
      claim.until_ms = remote->over_at_ms;
    }
  g_array_append_val (walk->claims, claim);
}

bool
scheduler_register (scheduler_t *scheduler,
                    const char *host,
                    const job_status_t *status,
                    int64_t now_ms,
                    GArray *claims)
{
  claims_walk_t walk = { g_intern_string (host), now_ms, claims };
  const scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, status->id);
  bool runs = status->kind == JOB_STATUS_OPEN;

  if (job != NULL)
    {
      const job_claim_t own = { .host = scheduler->host,
                                .kind = status_kind (job),
                                .until_ms = job->request.deadline_at_ms };
      g_array_append_val (claims, own);
    }
  remote_jobs_foreach_host (scheduler->remote_jobs, status->id, now_ms, add_claim, &walk);
  if (runs || !is_known_open (scheduler, status->id, host, now_ms))
    (void) remote_jobs_open (scheduler->remote_jobs, status->id, host, runs, status->until_ms,
                             now_ms);
  return scheduler_is_warm (scheduler, now_ms);
}

/* The host of CLAIM has JOB, which waits here. */
static void
learn_claim (scheduler_t *scheduler,
             const scheduled_job_t *job,
             const job_claim_t *claim,
             int64_t now_ms)
{
  const char *id = job->request.id;
  const remote_job_t *known =
      remote_jobs_find_host (scheduler->remote_jobs, id, claim->host, now_ms);

  if (claim->kind == JOB_STATUS_STOPPED)
    remote_jobs_ended (scheduler->remote_jobs, id, claim->host, JOB_EVIDENCE_TOLD, claim->until_ms,
                       now_ms);
  else if (known == NULL || known->over_at_ms != INT64_MAX)
    (void) remote_jobs_open (scheduler->remote_jobs, id, claim->host,
                             claim->kind == JOB_STATUS_OPEN, claim->until_ms, now_ms);
  if (claim->unheard)
    remote_jobs_host_silent (scheduler->remote_jobs, id, claim->host);
}

/* Whether owners have told this host that no run of JOB is left for the host of CLAIM, which the
 * registrar has lost.  The registrar can't know that. */
static bool
is_cleared (const scheduled_job_t *job, const job_claim_t *claim)
{
  return claim->unheard && claim->kind != JOB_STATUS_STOPPED
         && g_ptr_array_find (job->cleared_hosts, g_intern_string (claim->host), NULL);
}

void
scheduler_job_claimed (scheduler_t *scheduler,
                       const char *id,
                       const job_claim_t *claim,
                       int64_t now_ms,
                       GArray *actions)
{
  const scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, id);
  const job_status_t status = { id, claim->kind, claim->until_ms };

  /* An earlier process of this host may have run the job. */
  bool is_own = g_intern_string (claim->host) == scheduler->host;

  if (job == NULL || is_cleared (job, claim) || (is_own && claim->kind != JOB_STATUS_STOPPED))
    return;
  if (job->waits_since_ms != 0)
    learn_claim (scheduler, job, claim, now_ms);
  else if (!is_own && (claim->kind == JOB_STATUS_OPEN || !job->was_sent))
    scheduler_job_told (scheduler, claim->host, &status, now_ms, actions);
}
