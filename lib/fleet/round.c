/* round.c -- one round: starts, stops, looks, and runs whose lease has ended
 *
 * The order matters: what is over frees its room first, then unclear tasks are
 * settled, then tasks start in the order of the queue, and looks go out last, so
 * that they cover what was just started.
 */
#include "fleet/table.h"

#include <string.h>

/* A look waits for an end, well below the lease, and not much beyond the next end that is
 * expected: its answer may be lost. */
#define LOOK_WAIT_MAX_MS 350
#define LOOK_WAIT_MIN_MS 60
#define LOOK_WAIT_BEYOND_MS 30
/* While something must be settled. */
#define LOOK_SOON_MS 25
/* An endpoint that does not answer is asked again after this; the wait doubles. */
#define LOOK_RETRY_MS 20
#define LOOK_RETRY_DOUBLINGS 4
/* A stop without an answer is sent again after this. */
#define STOP_RETRY_MS 120
/* A run of another owner may be claimed by its coordinator for this long. */
#define FOREIGN_GRACE_MS 150
/* After this long in the queue a task may be returned for another owner. */
#define RETURN_AFTER_MS 4
/* A task is given up when this part of its usual duration does not fit any more: estimates
 * are rough. */
#define HOPELESS_PERCENT 60
/* A task counts as having just come for this long. */
#define FRESH_MS 20
/* The listing of an end may trail the stop's answer by this. */
#define STOP_SLACK_MS 30

static uint64_t
remember_call (fleet_t *fleet, const endpoint_t *endpoint, const char *task, int32_t attempt)
{
  call_t *call = g_new0 (call_t, 1);

  call->endpoint = g_strdup (endpoint->id);
  call->task = g_strdup (task);
  call->attempt = attempt;
  call->term = endpoint->term;
  call->serial = ++fleet->serial;
  g_hash_table_insert (fleet->calls, &call->serial, call);
  return call->serial;
}

/* True if a run there must end and has not for so long that the lease must run
 * out. */
static bool
is_barred (const endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->foreign->len > 0)
    return true;
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *task = endpoint->runs->pdata[i];
      if (task->state == TASK_STOPPING && now_ms - task->must_end_at_ms > FLEET_UNSTOPPED_MAX_MS)
        return true;
    }
  return false;
}

/* Renews the lease by the next order.  Returns its end on the endpoint's clock. */
static int64_t
extend_lease (const fleet_t *fleet, endpoint_t *endpoint, int64_t now_ms)
{
  int64_t lease_ms = fleet->options.lease_ms;
  int64_t end_ms = now_ms + lease_ms + lease_ms * FLEET_CLOCK_SLACK_PERCENT / 100;

  endpoint->lease_end_ms = MAX (endpoint->lease_end_ms, end_ms);
  return now_ms + endpoint->clock_ahead_ms + lease_ms;
}

/* --- what is over --- */

static void
end_lapsed (fleet_t *fleet, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  bool lapsed = now_ms > endpoint->lease_end_ms;

  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      task_t *task = endpoint->runs->pdata[i];
      bool stopped = task->state == TASK_STOPPING && task->stop_confirmed
                     && now_ms - task->stop_sent_at_ms > fleet->options.stop_ms + STOP_SLACK_MS;
      if (!lapsed && !stopped)
        continue;
      if (lapsed && task->batch != NULL)
        note (fleet, actions, FLEET_NOTE_LAPSED, endpoint, task, now_ms);
      task_requeue (fleet, task, now_ms);
    }
}

static void
stop_run (fleet_t *fleet,
          const endpoint_t *endpoint,
          const char *name,
          int32_t attempt,
          GArray *actions)
{
  fleet_action_t *action = action_add (actions, FLEET_STOP);

  action->endpoint = endpoint->id;
  action->address = endpoint->address;
  /* A run of another owner may be adopted, and its record go, later in the same round. */
  action->task = g_string_chunk_insert (fleet->names, name);
  action->attempt = attempt;
  action->serial = remember_call (fleet, endpoint, name, attempt);
}

static void
send_stops (fleet_t *fleet, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      task_t *task = endpoint->runs->pdata[i];
      if (task->state != TASK_STOPPING || task->stop_confirmed
          || (task->stop_sent_at_ms != 0 && now_ms - task->stop_sent_at_ms < STOP_RETRY_MS))
        continue;
      task->stop_sent_at_ms = now_ms;
      stop_run (fleet, endpoint, task->name, task->attempt, actions);
    }
  for (guint i = 0; i < endpoint->foreign->len; i++)
    {
      foreign_run_t *foreign = endpoint->foreign->pdata[i];
      if (now_ms - foreign->seen_at_ms < FOREIGN_GRACE_MS
          || (foreign->stop_sent_at_ms != 0 && now_ms - foreign->stop_sent_at_ms < STOP_RETRY_MS))
        continue;
      foreign->stop_sent_at_ms = now_ms;
      stop_run (fleet, endpoint, foreign->name, foreign->attempt, actions);
    }
}

/* --- tasks that another owner may have started --- */

/* Takes over the run of TASK on ENDPOINT, if it is one of the foreign runs there. */
static bool
adopt (fleet_t *fleet, endpoint_t *endpoint, task_t *task, int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < endpoint->foreign->len; i++)
    {
      const foreign_run_t *foreign = endpoint->foreign->pdata[i];
      if (strcmp (foreign->name, task->name) != 0)
        continue;
      g_hash_table_remove (fleet->maybe, task->name);
      task->state = foreign->stop_sent_at_ms != 0 ? TASK_STOPPING : TASK_RUNNING;
      task->must_end_at_ms = now_ms;
      task->attempt = foreign->attempt;
      task->ever_started = true;
      task->batch->ever_started = true;
      task->sent_at_ms = now_ms;
      task->answered_at_ms = now_ms;
      task->percent_at_ms = now_ms;
      task->expected_ms = place_expected_ms (fleet, endpoint, task->batch);
      task_attach (task, endpoint);
      /* The owner before may have renewed its lease a moment ago. */
      extend_lease (fleet, endpoint, now_ms);
      g_ptr_array_remove_index_fast (endpoint->foreign, i);
      note (fleet, actions, FLEET_NOTE_ADOPTED, endpoint, task, now_ms);
      return true;
    }
  return false;
}

static bool
has_ended_there (const endpoint_t *endpoint, const task_t *task)
{
  for (guint i = 0; i < endpoint->ended_foreign->len; i++)
    if (strcmp (endpoint->ended_foreign->pdata[i], task->name) == 0)
      return true;
  return false;
}

static void
settle_one (fleet_t *fleet, task_t *task, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;
  bool all_seen = true;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      if (adopt (fleet, endpoint, task, now_ms, actions))
        return;
      if (has_ended_there (endpoint, task))
        {
          tell (fleet, actions, FLEET_DONE, task, "ended under another owner");
          task_end (fleet, task);
          return;
        }
      all_seen = all_seen && endpoint->looked && endpoint->looked_at_ms >= task->doubted_at_ms;
    }
  if ((all_seen && now_ms >= fleet->unsettled_to_ms)
      || now_ms >= MAX (task->batch->wait_until_ms, fleet->contested_to_ms))
    task_requeue (fleet, task, now_ms);
}

static void
settle_maybe (fleet_t *fleet, int64_t now_ms, GArray *actions)
{
  if (g_hash_table_size (fleet->maybe) == 0)
    return;
  GList *tasks = g_hash_table_get_values (fleet->maybe);
  for (GList *at = tasks; at != NULL; at = at->next)
    settle_one (fleet, at->data, now_ms, actions);
  g_list_free (tasks);
}

/* --- starts --- */

static void
start (fleet_t *fleet, task_t *task, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  fleet_action_t *action = action_add (actions, FLEET_START);

  task_unqueue (fleet, task);
  endpoint->outlier.probe_running |= endpoint->outlier.state == OUTLIER_EJECTED;
  task->state = TASK_STARTING;
  task->attempt = MAX (task->attempt, task->batch->attempt_base) + 1;
  task->ever_started = true;
  task->batch->ever_started = true;
  task->sent_at_ms = now_ms;
  task->answered_at_ms = 0;
  task->percent = 0;
  task->percent_at_ms = now_ms;
  task->expected_ms = place_expected_ms (fleet, endpoint, task->batch);
  task_attach (task, endpoint);
  task->lease_there_ms = extend_lease (fleet, endpoint, now_ms);
  action->endpoint = endpoint->id;
  action->address = endpoint->address;
  action->task = task->name;
  action->attempt = task->attempt;
  action->spec = task->batch->spec;
  action->elapsed_ms = now_ms - task->queued_at_ms;
  action->expected_ms = task->expected_ms;
  action->least_ms = place_least_ms (fleet, task->batch);
  action->left_ms = task->batch->aim.deadline_at_ms - now_ms;
  action->lease_until_there_ms = task->lease_there_ms;
  action->coordinator = task->batch->coordinator;
  action->batch = task->batch->number;
  action->index = task->index;
  action->serial = remember_call (fleet, endpoint, task->name, task->attempt);
}

static bool
is_alike (const task_t *a, const task_t *b)
{
  return a != NULL && a->batch == b->batch && a->batch->spread_max == 0 && a->avoid == NULL
         && b->avoid == NULL;
}

/* Even the fastest endpoint would need most of the time that is left. */
static bool
is_hopeless (const fleet_t *fleet, const task_t *task, int64_t now_ms)
{
  int64_t least_ms = place_least_ms (fleet, task->batch);

  if (least_ms == INT64_MAX)
    least_ms = task->batch->aim.work_ms;
  return now_ms + least_ms * HOPELESS_PERCENT / 100 > task->batch->aim.deadline_at_ms;
}

/* A task has just come, and its like have waited so long without a start that it would be hopeless
 * if it waited as long. */
static bool
comes_too_late (const fleet_t *fleet, const task_t *task, int64_t now_ms)
{
  const batch_t *batch = task->batch;
  int64_t least_ms = place_least_ms (fleet, batch);

  if (now_ms - task->queued_at_ms > FRESH_MS || least_ms == INT64_MAX)
    return false;
  for (const GList *at = fleet->queue.head; at != NULL && at->data != task; at = at->next)
    {
      const task_t *other = at->data;
      int64_t waited_ms = now_ms - other->queued_at_ms;
      if (other->batch->priority == batch->priority && !other->ever_started
          && room_fits (&task->need, &(room_t){ 0 }, &other->need)
          && strcmp (other->batch->service, batch->service) == 0)
        return now_ms + waited_ms + least_ms * HOPELESS_PERCENT / 100 > batch->aim.deadline_at_ms;
    }
  return false;
}

/* True if another owner has a slot on which TASK would do as well as it may hope to do here;
 * the slot is taken off.  A task in doubt stays: the owner before may still start it, which only
 * the endpoints of this shard can tell or refuse. */
static bool
goes_elsewhere (const fleet_t *fleet,
                const task_t *task,
                const place_hope_t *here,
                GArray *elsewhere,
                int64_t now_ms)
{
  const batch_t *batch = task->batch;

  if (task->ever_started || batch->doubted || now_ms - task->queued_at_ms < RETURN_AFTER_MS)
    return false;
  for (guint i = 0; i < elsewhere->len; i++)
    {
      fleet_offer_t *offer = &g_array_index (elsewhere, fleet_offer_t, i);
      double distance = batch->near_rack[0] != '\0' ? fleet->options.remote_factor : 1.0;
      double ratio = offer->ratio * distance;
      int64_t expected_ms = (int64_t) (ratio * (double) batch->aim.work_ms);
      place_tier_t tier = place_tier (&batch->aim, ratio, now_ms);
      if (offer->slots > 0 && strcmp (offer->service, batch->service) == 0
          && place_is_worth (tier, expected_ms, here))
        {
          offer->slots--;
          return true;
        }
    }
  return false;
}

/* Why a task that finds no place leaves the queue. */
typedef struct
{
  fleet_action_kind_t how;
  const char *reason;
} leave_t;

static leave_t
too_late (const task_t *task)
{
  return (leave_t){ task->batch->doubted ? FLEET_OVERDUE : FLEET_EXPIRED,
                    "cannot end before its deadline" };
}

static void
leave_queue (fleet_t *fleet, task_t *task, leave_t leave, int64_t now_ms, GArray *actions)
{
  fleet_action_t *told = tell (fleet, actions, leave.how, task, leave.reason);

  told->elapsed_ms = now_ms - task->queued_at_ms;
  told->expected_ms = place_least_ms (fleet, task->batch);
  told->count = (int32_t) fleet->usable->len;
  told->waiting = (int32_t) fleet->queue.length;
  task_end (fleet, task);
}

/* Load: bursts that leave more work than can be done in time.  A task that misses its objective
 * wherever it starts goes behind those of its priority that can still meet theirs, so that one
 * that is late does not make others late. */
static void
yield_to_timely (fleet_t *fleet, task_t *task, int64_t now_ms)
{
  int64_t least_ms = place_least_ms (fleet, task->batch);

  if (task->late || least_ms == INT64_MAX || now_ms + least_ms <= task->batch->aim.goal_at_ms)
    return;
  task->late = true;
  task_unqueue (fleet, task);
  task_queue (fleet, task);
}

/* Load: a data centre is drained at full load, with a queue as long as its deadlines allow.  All
 * that waits goes back in one round.  The owner before a task in doubt has dropped it by the time
 * up to which its runs may live. */
static void
send_away (fleet_t *fleet, int64_t now_ms, GArray *actions)
{
  for (GList *at = fleet->queue.head; at != NULL;)
    {
      task_t *task = at->data;
      const batch_t *batch = task->batch;
      at = at->next;
      if (batch->doubted && now_ms < MAX (batch->wait_until_ms, fleet->contested_to_ms))
        continue;
      bool ran = task->ever_started || batch->doubted;
      fleet_action_t *told = tell (fleet, actions, ran ? FLEET_VACATED : FLEET_RETURNED, task,
                                   "the data centre is drained");
      told->drained = true;
      told->elapsed_ms = now_ms - task->queued_at_ms;
      task_end (fleet, task);
    }
}

static bool
is_unstarted (const task_t *task, int64_t now_ms)
{
  const batch_t *batch = task->batch;

  return batch->start_by_ms != 0 && !batch->ever_started && now_ms >= batch->start_by_ms;
}

static void
start_tasks (fleet_t *fleet, GArray *elsewhere, int64_t now_ms, GArray *actions)
{
  static const leave_t unstarted = { FLEET_UNSTARTED, "its queue's time has passed" };
  static const leave_t returned = { FLEET_RETURNED, "another owner has room" };
  const task_t *stuck = NULL;
  place_hope_t stuck_hope = PLACE_NO_HOPE;

  for (GList *at = fleet->queue.head; at != NULL;)
    {
      task_t *task = at->data;
      at = at->next;
      place_hope_t hope = stuck_hope;
      /* What did not fit for one task does not fit for its like. */
      endpoint_t *endpoint = NULL;
      if (!is_alike (stuck, task))
        endpoint = place_choose (fleet, task, now_ms, &hope);
      bool refuse = endpoint == NULL && !task->ever_started
                    && (is_hopeless (fleet, task, now_ms) || comes_too_late (fleet, task, now_ms));
      if (refuse)
        endpoint = place_last_resort (fleet, task, now_ms);
      if (endpoint != NULL)
        start (fleet, task, endpoint, now_ms, actions);
      else if (refuse)
        leave_queue (fleet, task, too_late (task), now_ms, actions);
      else if (is_unstarted (task, now_ms))
        leave_queue (fleet, task, unstarted, now_ms, actions);
      else if (goes_elsewhere (fleet, task, &hope, elsewhere, now_ms))
        leave_queue (fleet, task, returned, now_ms, actions);
      else
        {
          stuck = task;
          stuck_hope = hope;
          yield_to_timely (fleet, task, now_ms);
        }
    }
}

/* --- looks --- */

/* Nothing there has to be found out at once.  *WAIT_MS is set to how long a look may wait. */
static bool
is_settled (const endpoint_t *endpoint, int64_t now_ms, int64_t *wait_ms)
{
  int64_t next_ms = LOOK_WAIT_MAX_MS;

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *task = endpoint->runs->pdata[i];
      if (task->state == TASK_STOPPING || task->state == TASK_UNSURE)
        return false;
      next_ms = MIN (next_ms, task->sent_at_ms + task->expected_ms - now_ms + LOOK_WAIT_BEYOND_MS);
    }
  *wait_ms = MAX (next_ms, LOOK_WAIT_MIN_MS);
  return endpoint->looked && endpoint->foreign->len == 0;
}

static void
look (fleet_t *fleet, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  int64_t wait_ms = 0;
  bool settled = is_settled (endpoint, now_ms, &wait_ms) && g_hash_table_size (fleet->maybe) == 0;
  bool hold = endpoint->runs->len > 0 && endpoint->clock_known && !is_barred (endpoint, now_ms);
  fleet_action_t *action = action_add (actions, FLEET_LOOK);

  action->endpoint = endpoint->id;
  action->address = endpoint->address;
  action->ack = endpoint->ack;
  if (settled && endpoint->runs->len > 0)
    action->wait_ms = wait_ms;
  action->lease_until_there_ms = hold ? extend_lease (fleet, endpoint, now_ms) : 0;
  action->serial = remember_call (fleet, endpoint, "", 0);
  endpoint->ack_sent = endpoint->ack;
  endpoint->look_out = true;
  endpoint->look_serial = action->serial;
  endpoint->look_sent_at_ms = now_ms;
  endpoint->look_due_ms = now_ms + (settled ? 0 : LOOK_SOON_MS);
}

static bool
wants_look (const fleet_t *fleet, const endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->look_out || endpoint->shut_out || now_ms < endpoint->look_due_ms)
    return false;
  int64_t retry_ms = (int64_t) LOOK_RETRY_MS << MIN (endpoint->misses, LOOK_RETRY_DOUBLINGS);
  if (endpoint->misses > 0 && now_ms - endpoint->look_sent_at_ms < retry_ms)
    return false;
  return !endpoint->looked || g_hash_table_size (fleet->maybe) > 0 || endpoint->runs->len > 0
         || endpoint->foreign->len > 0 || endpoint->ack > endpoint->ack_sent
         || endpoint->silent_from_ms != 0;
}

void
fleet_run (fleet_t *fleet, GArray *elsewhere, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  names_clear (fleet);
  forget_departed (fleet);
  forget_closed (fleet, now_ms);
  tell_again (fleet, actions);
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      end_lapsed (fleet, endpoint, now_ms, actions);
      if (!endpoint->shut_out)
        send_stops (fleet, endpoint, now_ms, actions);
    }
  settle_maybe (fleet, now_ms, actions);
  if (fleet->drained)
    send_away (fleet, now_ms, actions);
  if (fleet->queue.length > 0)
    {
      place_prepare (fleet, now_ms);
      start_tasks (fleet, elsewhere, now_ms, actions);
    }
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (wants_look (fleet, value, now_ms))
      look (fleet, value, now_ms, actions);
}
