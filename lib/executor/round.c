/* round.c -- a scheduling round: ended runs, stops, starts and polls
 *
 * The order matters.  Runs that are over release their resources first, then tasks that may be
 * running under another owner are resolved, then tasks start in the order of the queue.  Polls are
 * sent last, so that they cover the runs that were just started.
 */
#include "executor/answer.h"
#include "executor/leases.h"
#include "executor/table.h"

#include <string.h>

/* An endpoint delays its answer to a poll until a run ends, for at most this time.  This delay
 * must be well below the lease and must end soon after the next expected end of a run, because
 * the answer may be lost. */
#define POLL_WAIT_MAX_MS 350
#define POLL_WAIT_MIN_MS 60
#define POLL_WAIT_MARGIN_MS 30
/* Poll interval while the state of a run or task on the endpoint is unclear. */
#define POLL_INTERVAL_UNSETTLED_MS 25
/* An unresponsive endpoint is polled again after this time, which doubles with each unanswered
 * call. */
#define POLL_RETRY_MS 20
#define POLL_RETRY_DOUBLINGS_MAX 4
/* An unanswered stop order is sent again after this time. */
#define STOP_RETRY_MS 120
/* The coordinator of a foreign run may submit its task within this time to have it adopted. */
#define ADOPTION_GRACE_MS 150
/* A task may be returned for placement with another owner after this time in the queue. */
#define RETURN_AFTER_MS 4
/* A task is refused when this percentage of its shortest expected duration no longer fits before
 * its deadline.  It is below 100 because estimates are rough. */
#define UNREACHABLE_WORK_PERCENT 60
/* A task counts as new for this time after it was queued. */
#define NEW_TASK_MS 20
/* The clock of an idle endpoint is read again when a lease may have to be shorter by this
 * percentage because the clock may be slow. */
#define CLOCK_REFRESH_DRIFT_PERCENT 25
/* The end of a stopped run may be listed this much later than the stop is answered. */
#define STOP_LISTING_DELAY_MS 30

static call_t *
register_call (executor_t *executor,
               const endpoint_t *endpoint,
               const char *task,
               int32_t attempt,
               int64_t wait_ms,
               int64_t now_ms)
{
  call_t *call = g_new0 (call_t, 1);

  call->endpoint = g_strdup (endpoint->id);
  call->task = g_strdup (task);
  call->attempt = attempt;
  call->token_generation = endpoint->token_generation;
  call->serial = ++executor->last_serial;
  call->sent_at_ms = now_ms;
  call->timed = wait_ms == 0;
  g_hash_table_insert (executor->calls, &call->serial, call);
  if (call->timed)
    order_window_record_call (&executor->order_window, call->serial, now_ms);
  return call;
}

/* --- ended runs --- */

/* True if ENDPOINT does not answer.  A lease also expires where the endpoint answers but the lease
 * was not renewed. */
static bool
is_silent (const executor_t *executor, const endpoint_t *endpoint, int64_t now_ms)
{
  int64_t poll_max_ms = POLL_WAIT_MAX_MS + order_window_delay_ms (&executor->order_window, now_ms);

  return endpoint->unanswered_since_ms != 0
         || (endpoint->poll_in_flight && now_ms - endpoint->poll_sent_at_ms > poll_max_ms);
}

/* True if TASK, under which endpoints were lost before, may have been lost with this one as well:
 * the endpoint has confirmed a stop, and answered no poll since. */
static bool
may_be_lost_while_stopped (const executor_t *executor, const task_t *task)
{
  return task->endpoint->last_poll_sent_at_ms < task->stop_sent_at_ms
         && crash_history_counts (executor->crashes, task->name).lost > 0;
}

static void
requeue_ended_runs (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      task_t *task = endpoint->runs->pdata[i];
      bool stopped =
          task->state == TASK_STOPPING && task->stop_confirmed
          && now_ms - task->stop_sent_at_ms > executor->options.stop_ms + STOP_LISTING_DELAY_MS;
      bool lease_expired = now_ms > run_end_ms (executor, task);
      if (!lease_expired && !stopped)
        continue;
      if (lease_expired && task->batch != NULL)
        log_event (executor, actions, EXECUTOR_LOG_LEASE_EXPIRED, endpoint, task, now_ms);
      bool lost = lease_expired ? is_silent (executor, endpoint, now_ms)
                                : may_be_lost_while_stopped (executor, task);
      if (lost)
        record_loss (executor, task, false, now_ms);
      task_requeue (executor, task, now_ms);
    }
}

/* Tells the other hosts what this one has learned about lost endpoints.  One of them may become the
 * next owner of their tasks. */
static void
report_losses (executor_t *executor, GArray *actions)
{
  for (guint i = 0; i < executor->new_losses->len; i++)
    {
      const crash_loss_t *loss = &g_array_index (executor->new_losses, crash_loss_t, i);
      executor_action_t *action = action_append (actions, EXECUTOR_LOSS);
      action->loss = *loss;
      action->loss.task = g_string_chunk_insert (executor->action_strings, loss->task);
      action->loss.endpoint = g_string_chunk_insert (executor->action_strings, loss->endpoint);
      action->crashes = crash_history_counts (executor->crashes, loss->task);
    }
  g_array_set_size (executor->new_losses, 0);
}

/* Returns the action, which is valid until the next one is appended. */
static executor_action_t *
send_stop (executor_t *executor,
           const endpoint_t *endpoint,
           const char *name,
           int32_t attempt,
           stop_reason_t reason,
           int64_t now_ms,
           GArray *actions)
{
  executor_action_t *action = action_append (actions, EXECUTOR_STOP);

  action->stop_reason = reason;

  action->endpoint = endpoint->id;
  action->address = endpoint->address;
  /* Copied, because a foreign run may be adopted and its record freed later in this round. */
  action->task = g_string_chunk_insert (executor->action_strings, name);
  action->attempt = attempt;
  action->serial = register_call (executor, endpoint, name, attempt, 0, now_ms)->serial;
  return action;
}

static void
log_unclaimed_run (executor_t *executor,
                   const endpoint_t *endpoint,
                   const foreign_run_t *foreign,
                   int64_t now_ms,
                   GArray *actions)
{
  executor_action_t *action =
      log_event (executor, actions, EXECUTOR_LOG_UNCLAIMED, endpoint, NULL, now_ms);

  action->task = g_string_chunk_insert (executor->action_strings, foreign->name);
  action->attempt = foreign->attempt;
  action->elapsed_ms = now_ms - foreign->seen_at_ms;
}

/* True if a stop that was last sent at SENT_AT_MS, 0 for never, is to be sent. */
static bool
is_stop_due (int64_t sent_at_ms, int64_t now_ms)
{
  return sent_at_ms == 0 || now_ms - sent_at_ms >= STOP_RETRY_MS;
}

static void
send_task_stops (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      task_t *task = endpoint->runs->pdata[i];
      if (task->state != TASK_STOPPING || task->stop_confirmed
          || !is_stop_due (task->stop_sent_at_ms, now_ms))
        continue;
      executor_action_t *action = send_stop (executor, endpoint, task->name, task->attempt,
                                             task->stop_reason, now_ms, actions);
      action->repeated = task->stop_sent_at_ms != 0;
      action->elapsed_ms = now_ms - task->start_sent_at_ms;
      action->coordinator = task->stop_coordinator;
      task->stop_sent_at_ms = now_ms;
    }
}

static void
send_order_stops (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < endpoint->open_orders->len; i++)
    {
      open_order_t *order = endpoint->open_orders->pdata[i];
      if (!order->stop_required || !is_stop_due (order->stop_sent_at_ms, now_ms))
        continue;
      executor_action_t *action = send_stop (executor, endpoint, order->task, order->attempt,
                                             STOP_START_UNANSWERED, now_ms, actions);
      action->repeated = order->stop_sent_at_ms != 0;
      action->elapsed_ms = now_ms - (order->until_ms - ORDER_DELAY_MAX_MS);
      order->stop_sent_at_ms = now_ms;
    }
}

static void
send_foreign_stops (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < endpoint->foreign_runs->len; i++)
    {
      foreign_run_t *foreign = endpoint->foreign_runs->pdata[i];
      if (now_ms - foreign->seen_at_ms < ADOPTION_GRACE_MS
          || !is_stop_due (foreign->stop_sent_at_ms, now_ms))
        continue;
      if (foreign->stop_sent_at_ms == 0)
        log_unclaimed_run (executor, endpoint, foreign, now_ms, actions);
      executor_action_t *action = send_stop (executor, endpoint, foreign->name, foreign->attempt,
                                             STOP_UNCLAIMED, now_ms, actions);
      action->repeated = foreign->stop_sent_at_ms != 0;
      action->elapsed_ms = now_ms - foreign->seen_at_ms;
      foreign->stop_sent_at_ms = now_ms;
    }
}

static void
send_stops (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  send_task_stops (executor, endpoint, now_ms, actions);
  send_order_stops (executor, endpoint, now_ms, actions);
  send_foreign_stops (executor, endpoint, now_ms, actions);
}

/* --- starts --- */

static void
start_task (executor_t *executor,
            task_t *task,
            endpoint_t *endpoint,
            int64_t now_ms,
            GArray *actions)
{
  executor_action_t *action = action_append (actions, EXECUTOR_START);

  task->runs_alone = false;
  task_dequeue (executor, task);
  endpoint->outlier.probe_running |= endpoint->outlier.state == OUTLIER_EJECTED;
  task->state = TASK_STARTING;
  task->highest_attempt =
      MAX (MAX (task->attempt, task->highest_attempt), task->batch->attempt_base) + 1;
  task->attempt = task->highest_attempt;
  task->ever_started = true;
  task->batch->ever_started = true;
  task->start_sent_at_ms = now_ms;
  task->order_open = true;
  task->start_confirmed_at_ms = 0;
  task->confirmed_by_later = false;
  task->progress_percent = 0;
  task->progress_at_ms = now_ms;
  task->expected_ms = placement_expected_ms (executor, endpoint, task->batch);
  task_attach (task, endpoint);
  capacity_record_start (&endpoint->capacity, &endpoint->used, now_ms);
  task->lease_until_endpoint_ms = extend_lease (executor, endpoint, now_ms);
  action->endpoint = endpoint->id;
  action->address = endpoint->address;
  action->task = task->name;
  action->attempt = task->attempt;
  action->spec = task->batch->spec;
  action->elapsed_ms = now_ms - task->queued_at_ms;
  action->expected_ms = task->expected_ms;
  action->min_ms = placement_min_ms (executor, task->batch);
  action->remaining_ms = task->batch->target.deadline_at_ms - now_ms;
  action->lease_until_endpoint_ms = task->lease_until_endpoint_ms;
  action->coordinator = task->batch->coordinator;
  action->batch = task->batch->number;
  action->index = task->index;
  call_t *call = register_call (executor, endpoint, task->name, task->attempt, 0, now_ms);
  call->is_start = true;
  task->start_serial = call->serial;
  action->serial = call->serial;
  order_window_record_start (&executor->order_window,
                             load_core_ms (&task->need, task->expected_ms));
}

static bool
is_equivalent (const task_t *a, const task_t *b)
{
  return a != NULL && a->batch == b->batch && a->batch->tasks_per_endpoint_max == 0
         && a->avoid_endpoint_id == NULL && b->avoid_endpoint_id == NULL;
}

/* True if TASK could hardly meet its deadline on the fastest endpoint. */
static bool
is_deadline_unreachable (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  int64_t min_ms = placement_min_ms (executor, task->batch);

  if (min_ms == INT64_MAX)
    min_ms = task->batch->target.work_ms;
  return now_ms + min_ms * UNREACHABLE_WORK_PERCENT / 100 > task->batch->target.deadline_at_ms;
}

/* True if TASK is new and similar tasks have waited without a start for so long that it could
 * hardly meet its deadline after the same wait. */
static bool
would_expire_in_queue (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  const batch_t *batch = task->batch;
  int64_t min_ms = placement_min_ms (executor, batch);

  if (now_ms - task->queued_at_ms > NEW_TASK_MS || min_ms == INT64_MAX)
    return false;
  for (const GList *link = executor->queue.head; link != NULL && link->data != task;
       link = link->next)
    {
      const task_t *other = link->data;
      int64_t waited_ms = now_ms - other->queued_at_ms;
      /* A task whose endpoint was lost waits for other reasons. */
      if (crash_history_decide (executor->crashes, other->name, now_ms) != CRASH_START)
        continue;
      if (other->batch->priority == batch->priority && !other->ever_started
          && resources_fit (&task->need, &(resources_t){ 0 }, &other->need)
          && strcmp (other->batch->service, batch->service) == 0)
        return now_ms + waited_ms + min_ms * UNREACHABLE_WORK_PERCENT / 100
               > batch->target.deadline_at_ms;
    }
  return false;
}

/* True if another owner has a free slot on which TASK can expect an acceptable outcome, compared
 * with the best one on this owner's endpoints; the slot is then counted as taken.  A task that
 * another owner may have started stays here: only the endpoints of this shard can show whether it
 * was started, or refuse the start. */
static bool
fits_other_owner (const executor_t *executor,
                  const task_t *task,
                  const placement_best_t *best_here,
                  GArray *other_offers,
                  int64_t now_ms)
{
  const batch_t *batch = task->batch;

  if (task->ever_started || batch->maybe_running || now_ms - task->queued_at_ms < RETURN_AFTER_MS)
    return false;
  for (guint i = 0; i < other_offers->len; i++)
    {
      executor_offer_t *offer = &g_array_index (other_offers, executor_offer_t, i);
      double remote_factor =
          batch->preferred_rack[0] != '\0' ? executor->options.remote_factor : 1.0;
      double ratio = offer->duration_ratio * remote_factor;
      int64_t expected_ms = (int64_t) (ratio * (double) batch->target.work_ms);
      placement_tier_t tier = placement_tier (&batch->target, ratio, now_ms);
      if (offer->slots_free > 0 && strcmp (offer->service, batch->service) == 0
          && placement_is_acceptable (tier, expected_ms, best_here))
        {
          offer->slots_free--;
          return true;
        }
    }
  return false;
}

/* Outcome and reason of a task that leaves the queue without a start. */
typedef struct
{
  executor_action_kind_t outcome;
  const char *reason;
} queue_exit_t;

static queue_exit_t
deadline_exit (const task_t *task)
{
  return (queue_exit_t){ task->batch->maybe_running ? EXECUTOR_OVERDUE : EXECUTOR_EXPIRED,
                         "cannot meet its deadline" };
}

static void
exit_queue (executor_t *executor,
            task_t *task,
            queue_exit_t queue_exit,
            int64_t now_ms,
            GArray *actions)
{
  executor_action_t *action =
      notify_coordinator (executor, actions, queue_exit.outcome, task, queue_exit.reason);

  action->elapsed_ms = now_ms - task->queued_at_ms;
  action->expected_ms = placement_min_ms (executor, task->batch);
  action->count = (int32_t) executor->usable->len;
  action->waiting_tasks = (int32_t) executor->queue.length;
  task_remove (executor, task);
}

/* A task that misses its objective on any endpoint is queued behind those of its priority that can
 * still meet theirs.  Otherwise, during a burst of more work than can be done in time, late tasks
 * would delay the others until those are late too. */
static void
demote_if_late (executor_t *executor, task_t *task, int64_t now_ms)
{
  int64_t min_ms = placement_min_ms (executor, task->batch);

  if (task->misses_objective || min_ms == INT64_MAX
      || now_ms + min_ms <= task->batch->target.objective_at_ms)
    return;
  task->misses_objective = true;
  task_dequeue (executor, task);
  task_enqueue (executor, task);
}

/* Returns all waiting tasks of a drained data centre in one round, since at full load the queue
 * may be as long as its deadlines allow.  A task that an earlier owner may have started is returned
 * once the runs of that owner have ended. */
static void
return_waiting_tasks (executor_t *executor, int64_t now_ms, GArray *actions)
{
  for (GList *link = executor->queue.head; link != NULL;)
    {
      task_t *task = link->data;
      const batch_t *batch = task->batch;
      link = link->next;
      if (batch->maybe_running
          && now_ms < MAX (batch->prior_runs_end_by_ms, executor->contested_until_ms))
        continue;
      bool maybe_ran = task->ever_started || batch->maybe_running;
      executor_action_t *action = notify_coordinator (
          executor, actions, maybe_ran ? EXECUTOR_RETURNED_AFTER_RUN : EXECUTOR_RETURNED, task,
          "the data centre is drained");
      action->drained = true;
      action->elapsed_ms = now_ms - task->queued_at_ms;
      task_remove (executor, task);
    }
}

static bool
start_limit_passed (const task_t *task, int64_t now_ms)
{
  const batch_t *batch = task->batch;

  return batch->start_by_ms != 0 && !batch->ever_started && now_ms >= batch->start_by_ms;
}

static void
give_up_crashed (executor_t *executor, task_t *task, GArray *actions)
{
  executor_action_t *action = action_append (actions, EXECUTOR_LOG);

  action->log_event = EXECUTOR_LOG_CRASHED;
  action->task = g_string_chunk_insert (executor->action_strings, task->name);
  action->attempt = task->attempt;
  action->crashes = crash_history_counts (executor->crashes, task->name);
  fail_task (executor, task, TASK_FAILURE_CRASHES, actions);
}

/* True if this host can send another start order without delay. */
static bool
may_send_start (executor_t *executor)
{
  if (order_window_is_open (&executor->order_window))
    return true;
  order_window_record_wait (&executor->order_window);
  return false;
}

/* Starts TASK alone, if it may and if there is an endpoint for it; it waits otherwise, and leaves
 * the queue when its deadline can't be met. */
static void
start_alone (executor_t *executor, task_t *task, int64_t now_ms, GArray *actions)
{
  endpoint_t *endpoint = placement_choose_alone (executor, task, now_ms);

  if (endpoint != NULL && may_send_start (executor))
    {
      start_task (executor, task, endpoint, now_ms, actions);
      task->runs_alone = true;
      executor->alone_left--;
    }
  else if (!task->ever_started && is_deadline_unreachable (executor, task, now_ms))
    exit_queue (executor, task, deadline_exit (task), now_ms, actions);
}

/* Handles a waiting task under which endpoints were lost.  Returns false if there are none. */
static bool
handle_suspect (executor_t *executor, task_t *task, int64_t now_ms, GArray *actions)
{
  static const queue_exit_t held = { EXECUTOR_OVERDUE, "its endpoints may have crashed under it" };

  switch (crash_history_decide (executor->crashes, task->name, now_ms))
    {
    case CRASH_GIVE_UP:
      give_up_crashed (executor, task, actions);
      return true;
    case CRASH_HOLD:
    case CRASH_UNDECIDED:
      if (is_deadline_unreachable (executor, task, now_ms))
        exit_queue (executor, task, held, now_ms, actions);
      return true;
    case CRASH_START_ALONE:
      start_alone (executor, task, now_ms, actions);
      return true;
    case CRASH_START:
    default:
      return false;
    }
}

static void
start_tasks (executor_t *executor, GArray *other_offers, int64_t now_ms, GArray *actions)
{
  static const queue_exit_t start_timeout = { EXECUTOR_START_TIMEOUT,
                                              "not started within its queue's timeout" };
  static const queue_exit_t returned = { EXECUTOR_RETURNED, "another owner has free slots" };
  const task_t *unplaced = NULL;
  placement_best_t unplaced_best = PLACEMENT_BEST_NONE;

  for (GList *link = executor->queue.head; link != NULL;)
    {
      task_t *task = link->data;
      link = link->next;
      if (handle_suspect (executor, task, now_ms, actions))
        continue;
      placement_best_t best = unplaced_best;
      /* If no endpoint was found for a task, there is none for an equivalent one. */
      endpoint_t *endpoint = NULL;
      if (!is_equivalent (unplaced, task))
        endpoint = placement_choose (executor, task, now_ms, &best);
      bool refuse = endpoint == NULL && !task->ever_started
                    && (is_deadline_unreachable (executor, task, now_ms)
                        || would_expire_in_queue (executor, task, now_ms));
      if (refuse)
        endpoint = placement_fallback (executor, task, now_ms);
      if (endpoint != NULL && !may_send_start (executor))
        endpoint = NULL;
      if (endpoint != NULL)
        start_task (executor, task, endpoint, now_ms, actions);
      else if (refuse)
        exit_queue (executor, task, deadline_exit (task), now_ms, actions);
      else if (start_limit_passed (task, now_ms))
        exit_queue (executor, task, start_timeout, now_ms, actions);
      else if (fits_other_owner (executor, task, &best, other_offers, now_ms))
        exit_queue (executor, task, returned, now_ms, actions);
      else
        {
          unplaced = task;
          unplaced_best = best;
          demote_if_late (executor, task, now_ms);
        }
    }
}

/* --- polls --- */

/* True if the state of every run on the endpoint is known, so that a poll may wait for the next
 * end.  *WAIT_MS is set to how long it may wait. */
static bool
get_poll_wait_ms (const endpoint_t *endpoint, int64_t now_ms, int64_t *wait_ms)
{
  int64_t next_ms = POLL_WAIT_MAX_MS;

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *task = endpoint->runs->pdata[i];
      if (task->state == TASK_STOPPING || task->state == TASK_START_UNCONFIRMED)
        return false;
      next_ms =
          MIN (next_ms, task->start_sent_at_ms + task->expected_ms - now_ms + POLL_WAIT_MARGIN_MS);
    }
  *wait_ms = MAX (next_ms, POLL_WAIT_MIN_MS);
  return endpoint->runs_known && endpoint->foreign_runs->len == 0;
}

/* Numbers of ends begin anew with each instance, so that an acknowledgement may only go to the one
 * that has listed the ends: it is sent once, while that instance answers, and again only after
 * another answer from it.  Returns 0 if none is due. */
static int64_t
ack_number_due (const endpoint_t *endpoint)
{
  if (endpoint->restart_suspected || endpoint->unanswered_since_ms != 0
      || endpoint->ack_number <= endpoint->ack_number_confirmed)
    return 0;
  return endpoint->ack_number;
}

static void
send_poll (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  int64_t wait_ms = 0;
  bool may_hold_poll = get_poll_wait_ms (endpoint, now_ms, &wait_ms)
                       && g_hash_table_size (executor->maybe_running) == 0;
  bool renew_lease = endpoint->runs->len > 0 && endpoint->clock_known
                     && !blocks_lease_renewal (endpoint, now_ms)
                     && next_lease_ms (executor, endpoint, now_ms) > 0;
  executor_action_t *action = action_append (actions, EXECUTOR_POLL);

  action->endpoint = endpoint->id;
  action->address = endpoint->address;
  action->ack_number = ack_number_due (endpoint);
  if (may_hold_poll && endpoint->runs->len > 0)
    action->wait_ms = wait_ms;
  action->lease_until_endpoint_ms = renew_lease ? extend_lease (executor, endpoint, now_ms) : 0;
  action->serial = register_call (executor, endpoint, "", 0, action->wait_ms, now_ms)->serial;
  endpoint->ack_number_sent = action->ack_number;
  endpoint->poll_in_flight = true;
  endpoint->poll_serial = action->serial;
  endpoint->poll_sent_at_ms = now_ms;
  endpoint->poll_due_at_ms = now_ms + (may_hold_poll ? 0 : POLL_INTERVAL_UNSETTLED_MS);
}

/* True if the clock of ENDPOINT, which may have no runs, should be read again. */
static bool
needs_clock (const executor_t *executor, const endpoint_t *endpoint, int64_t now_ms)
{
  int64_t refresh_drift_ms = executor->options.lease_ms * CLOCK_REFRESH_DRIFT_PERCENT / 100;
  int64_t age_ms = now_ms - MAX (endpoint->clock_read_at_ms, endpoint->last_poll_sent_at_ms);

  return !endpoint->entry_removed && !endpoint->leaving
         && age_ms * EXECUTOR_CLOCK_SLACK_PERCENT / 100 > refresh_drift_ms;
}

static bool
needs_poll (const executor_t *executor, const endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->poll_in_flight || endpoint->fenced || now_ms < endpoint->poll_due_at_ms)
    return false;
  int64_t retry_ms = (int64_t) POLL_RETRY_MS
                     << MIN (endpoint->unanswered_calls, POLL_RETRY_DOUBLINGS_MAX);
  if (endpoint->unanswered_calls > 0 && now_ms - endpoint->poll_sent_at_ms < retry_ms)
    return false;
  return !endpoint->runs_known || g_hash_table_size (executor->maybe_running) > 0
         || endpoint->runs->len > 0 || endpoint->foreign_runs->len > 0
         || endpoint->ack_number > endpoint->ack_number_confirmed || endpoint->ends_held
         || endpoint->unanswered_since_ms != 0
         || endpoint->listing_needed_ms > endpoint->last_poll_sent_at_ms
         || needs_clock (executor, endpoint, now_ms);
}

void
executor_run_round (executor_t *executor, GArray *other_offers, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  action_strings_clear (executor);
  order_window_step (&executor->order_window, now_ms);
  remove_departed_endpoints (executor, now_ms);
  remove_closed_batches (executor, now_ms);
  done_tasks_expire (executor->done_tasks, now_ms);
  done_tasks_expire (executor->reported_tasks, now_ms);
  resend_ends (executor, actions);
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      forget_old_clock (executor, endpoint, now_ms);
      requeue_ended_runs (executor, endpoint, now_ms, actions);
      open_orders_expire (endpoint->open_orders, now_ms);
      if (!endpoint->fenced)
        send_stops (executor, endpoint, now_ms, actions);
    }
  crash_history_expire (executor->crashes, now_ms);
  report_losses (executor, actions);
  resolve_maybe_running (executor, now_ms, actions);
  if (executor->drained)
    return_waiting_tasks (executor, now_ms, actions);
  if (executor->queue.length > 0)
    {
      placement_begin_round (executor, now_ms);
      start_tasks (executor, other_offers, now_ms, actions);
    }
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (needs_poll (executor, value, now_ms))
      send_poll (executor, value, now_ms, actions);
}
