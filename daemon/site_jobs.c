/* site_jobs.c -- jobs: carries out the scheduler's actions and handles callers' requests */
#include "daemon/site_private.h"

#include "base/clock.h"

const char *const outcome_names[] = {
  [SCHEDULER_COMPLETE] = "complete",   [SCHEDULER_FAILED] = "failed",
  [SCHEDULER_REFUSED] = "refused",     [SCHEDULER_GIVEN_UP] = "given_up",
  [SCHEDULER_CANCELLED] = "cancelled",
};

const char *const size_names[] = {
  [SCHEDULER_SIZE_USUAL] = "usual",
  [SCHEDULER_SIZE_LARGE] = "large",
  [SCHEDULER_SIZE_LARGEST] = "largest",
};

const char *const limit_names[] = {
  [SCHEDULER_LIMIT_NONE] = "none",
  [SCHEDULER_LIMIT_CALLER_WAIT] = "caller_wait",
  [SCHEDULER_LIMIT_QUEUE_TIME] = "queue_time",
  [SCHEDULER_LIMIT_ATTEMPTS] = "attempts",
  [SCHEDULER_LIMIT_OWNERS] = "owners",
  [SCHEDULER_LIMIT_DRAINED] = "drained",
  [SCHEDULER_LIMIT_STOPPING] = "stopping",
  [SCHEDULER_LIMIT_CAPACITY] = "capacity",
  [SCHEDULER_LIMIT_UNREACHED] = "unreached",
};

static const char *const failure_names[] = {
  [TASK_FAILURE_UNKNOWN] = "unknown",
  [TASK_FAILURE_ATTEMPTS] = "attempts",
  [TASK_FAILURE_CRASHES] = "crashes",
  [TASK_FAILURE_REJECTED] = "rejected",
};

/* The whole cause in one line, as lines of single runs may have been left out. */
static void
log_failure (const scheduler_action_t *action)
{
  const task_failure_t *failure = &action->failure;

  if (!event_begin (EVENT_JOB_FAILED))
    return;
  event_add_text ("job", action->job_id);
  event_add_text ("cause", failure_names[failure->cause]);
  event_add_number ("index", action->failed_index);
  event_add_number ("attempt", failure->attempt);
  event_add_number ("failed_runs", failure->failed_runs);
  event_add_number ("attempts_max", failure->attempts_max);
  event_add_number ("lost", failure->crashes.lost);
  event_add_number ("started", failure->crashes.started);
  event_add_number ("confirmed", failure->crashes.confirmed);
  event_end ();
}

static void
log_repeated (const scheduler_action_t *action)
{
  if (!event_begin (EVENT_JOB_REPEATED))
    return;
  event_add_text ("job", action->job_id);
  event_add_text ("outcome", outcome_names[action->outcome]);
  event_end ();
}

static void
log_answer (const scheduler_action_t *action)
{
  bool missed = action->outcome != SCHEDULER_CANCELLED
                && (action->outcome != SCHEDULER_COMPLETE || action->late_by_ms > 0);

  metrics_count_job (action);
  if (action->outcome == SCHEDULER_FAILED)
    log_failure (action);
  if (!event_begin (missed ? EVENT_JOB_MISSED : EVENT_JOB_ANSWERED))
    return;
  event_add_text ("job", action->job_id);
  event_add_text ("outcome", outcome_names[action->outcome]);
  event_add_number ("elapsed_ms", action->elapsed_ms);
  event_add_number ("late_by_ms", action->late_by_ms);
  if (missed)
    {
      event_add_text ("why",
                      action->reason != NULL ? action->reason : "it ended after its objective");
      event_add_text ("limit", limit_names[action->limit]);
      event_add_text ("size", size_names[action->size_class]);
      event_add_number ("tasks", action->tasks);
      event_add_number ("estimate_ms", action->estimate_ms);
      event_add_number ("left", action->tasks_left);
      event_add_number ("handovers", action->handovers);
      event_add_number ("returns", action->returned_tasks);
      event_add_text ("owners", action->owners);
      event_add_number ("expected_wait_ms", action->expected_wait_ms);
      event_add_number ("report_age_ms", action->report_age_ms);
    }
  event_end ();
}

static void
log_going_on (const scheduler_action_t *action)
{
  if (!event_begin (EVENT_JOB_GOES_ON))
    return;
  event_add_text ("job", action->job_id);
  event_add_number ("age_ms", action->age_ms);
  event_add_number ("announced_ms", action->announced_ms);
  event_add_number ("confirmed_ms", action->confirmed_ms);
  event_add_number ("unreached", action->unreached);
  event_end ();
}

static void
log_start (const scheduler_action_t *action)
{
  static const char *const cold_starts[] = {
    [COLD_START_NONE] = "none",
    [COLD_START_TOLD] = "told",
    [COLD_START_SURVEYED] = "surveyed",
    [COLD_START_LEASES_ENDED] = "leases_ended",
  };

  if (!event_begin (EVENT_JOB_STARTS))
    return;
  event_add_text ("job", action->job_id);
  event_add_number ("process_age_ms", action->age_ms);
  event_add_text ("cold_start", cold_starts[action->cold_start]);
  event_add_number ("waited_ms", action->waited_ms);
  event_add_number ("idle_ms", action->idle_ms);
  event_add_number ("unreached", action->unreached);
  event_add_text ("limited", action->limited ? "yes" : "no");
  event_end ();
}

static void
log_batch (const scheduler_action_t *action)
{
  if (!event_begin (action->batch.maybe_running ? EVENT_BATCH_MOVED : EVENT_BATCH_SENT))
    return;
  event_add_text ("job", action->batch.job);
  event_add_number ("batch", (int64_t) action->batch_number);
  event_add_text ("host", action->host);
  event_add_text ("shard", action->shard);
  event_add_number ("tasks", action->task_indexes->len);
  event_end ();
}

static void
run_scheduler_action (site_t *site, scheduler_action_t *action)
{
  int64_t now_ms = clock_boot_ms ();
  bool local = action->host == site->host;

  switch (action->kind)
    {
    case SCHEDULER_SUBMIT:
      action->batch.coordinator = site->host;
      log_batch (action);
      if (local)
        owner_submit (site, action->shard, &action->batch);
      else
        peers_send (site, action->host,
                    executor_msg_submit (action->shard,
                                         cluster_send_epoch (site->cluster, action->host),
                                         &action->batch, now_ms));
      g_array_unref (action->task_indexes);
      break;
    case SCHEDULER_RELEASE:
      if (local)
        {
          owner_release (site, site->host, action->batch_number);
          scheduler_batch_end_confirmed (site->scheduler, site->host, action->batch_number, false,
                                         now_ms, site->scheduler_actions);
        }
      else
        peers_send (site, action->host, executor_msg_release (action->batch_number));
      break;
    case SCHEDULER_CANCEL:
      if (!local)
        peers_send (site, action->host,
                    executor_msg_cancel (action->batch_number, action->stop_reason));
      else
        {
          bool never_started =
              owner_cancel (site, site->host, action->batch_number, action->stop_reason);
          scheduler_batch_end_confirmed (site->scheduler, site->host, action->batch_number,
                                         never_started, now_ms, site->scheduler_actions);
        }
      break;
    case SCHEDULER_ASK:
      repeats_ask (site, action);
      break;
    case SCHEDULER_TELL:
      repeats_tell (site, action);
      break;
    case SCHEDULER_REGISTER:
      repeats_register (site, action);
      break;
    case SCHEDULER_ASK_OWNER:
      repeats_ask_owner (site, action);
      break;
    case SCHEDULER_NOTE:
      repeats_log (action);
      break;
    case SCHEDULER_GOES_ON:
      log_going_on (action);
      break;
    case SCHEDULER_STARTS:
      log_start (action);
      break;
    case SCHEDULER_ANSWER:
    default:
      if (action->repeated)
        log_repeated (action);
      else
        log_answer (action);
      if (action->user_data != NULL)
        ingress_answer (action->user_data, action);
      break;
    }
}

void
site_run_scheduler_actions (site_t *site)
{
  if (site->running_scheduler_actions)
    return;
  site->running_scheduler_actions = true;
  /* Actions may append further ones and so move the array: each is copied first. */
  for (guint i = 0; i < site->scheduler_actions->len; i++)
    {
      scheduler_action_t action = g_array_index (site->scheduler_actions, scheduler_action_t, i);
      run_scheduler_action (site, &action);
    }
  g_array_set_size (site->scheduler_actions, 0);
  site->running_scheduler_actions = false;
}

static const queues_t *
current_queues (void *user)
{
  return ((site_t *) user)->queues;
}

static void
submit_job (const scheduler_job_t *job, uint64_t *number, void *user)
{
  site_t *site = user;

  *number = scheduler_submit (site->scheduler, job, clock_boot_ms (), site->scheduler_actions);
  /* Actions point into the scheduler and must be carried out before it is called again. */
  site_run_scheduler_actions (site);
  site_schedule_actions (site);
}

static void
abandon_job (uint64_t job, void *user)
{
  site_t *site = user;

  scheduler_abandon (site->scheduler, job, clock_boot_ms (), site->scheduler_actions);
  site_run_scheduler_actions (site);
  site_schedule_actions (site);
}

static bool
is_ready (void *user)
{
  const site_t *site = user;

  return !site->stopping && site->queues != NULL && scheduler_has_offers (site->scheduler);
}

static char *
render_metrics (void *user)
{
  metrics_update_gauges (user, clock_boot_ms ());
  return metrics_text ();
}

const ingress_ops_t site_ingress_ops = {
  current_queues, submit_job, abandon_job,    cancel_job,
  cancel_forget,  is_ready,   render_metrics, drain_status_json,
};
