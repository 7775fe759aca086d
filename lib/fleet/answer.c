/* answer.c -- what the answers of endpoints say about their runs
 *
 * An answer is matched with its call by serial; an answer to a call that is no
 * longer of interest says only that the endpoint is alive.  Ends are taken from
 * looks alone, in the order of their numbers.
 */
#include "fleet/table.h"

#include <math.h>
#include <string.h>

/* How long an endpoint that is full by its own word gets nothing. */
#define FULL_MS 20
/* A task must show progress within this time, or within this part of its duration if that is
 * longer. */
#define HANG_MIN_MS 300
#define HANG_PERCENT 20
/* Progress below this says little about the whole. */
#define MOVE_PERCENT_MIN 5
/* A new start must gain at least this. */
#define MOVE_SLACK_MS 30
/* Progress so much slower than expected shows a slow endpoint rather than a large task. */
#define LARGE_MAX 3.0
/* What is left must exceed the time that is left by this before a task is given up. */
#define OVERDUE_PERCENT 108
/* Names of ends under another owner that are kept, for tasks that are handed over. */
#define ENDED_FOREIGN_MAX 512
/* An endpoint that calls itself unhealthy is asked again after this. */
#define UNHEALTHY_MS 300

static void
heard (fleet_t *fleet,
       endpoint_t *endpoint,
       int64_t clock_there_ms,
       int64_t now_ms,
       GArray *actions)
{
  if (endpoint->misses >= SILENT_MISSES)
    note (fleet, actions, FLEET_NOTE_HEARD, endpoint, NULL, now_ms)->elapsed_ms =
        now_ms - endpoint->silent_from_ms;
  endpoint->silent_from_ms = 0;
  endpoint->misses = 0;
  if (clock_there_ms == 0)
    return;
  /* The answer took some time to come: the clock there shows more by now. */
  endpoint->clock_ahead_ms = clock_there_ms - now_ms;
  endpoint->clock_known = true;
}

static void
not_heard (fleet_t *fleet,
           endpoint_t *endpoint,
           int64_t sent_at_ms,
           int64_t now_ms,
           GArray *actions)
{
  if (endpoint->silent_from_ms == 0)
    endpoint->silent_from_ms = MAX (sent_at_ms, 1);
  if (++endpoint->misses == SILENT_MISSES)
    note (fleet, actions, FLEET_NOTE_SILENT, endpoint, NULL, now_ms);
}

/* A call under a token that is no longer this owner's says nothing. */
static void
shut_out (endpoint_t *endpoint, uint32_t term, GArray *actions)
{
  if (endpoint->shut_out || term != endpoint->term)
    return;
  endpoint->shut_out = true;
  fleet_action_t *action = action_add (actions, FLEET_SHUT_OUT);
  action->endpoint = endpoint->id;
}

static call_t *
take_call (fleet_t *fleet, uint64_t serial)
{
  call_t *call = g_hash_table_lookup (fleet->calls, &serial);

  if (call != NULL)
    g_hash_table_steal (fleet->calls, &serial);
  return call;
}

static void
free_call (call_t *call)
{
  g_free (call->endpoint);
  g_free (call->task);
  g_free (call);
}

/* The task of CALL if its run is still the one that the call was about. */
static task_t *
task_of (const fleet_t *fleet, const call_t *call)
{
  task_t *task = g_hash_table_lookup (fleet->tasks, call->task);
  bool same = task != NULL && task->endpoint != NULL && task->attempt == call->attempt
              && strcmp (task->endpoint->id, call->endpoint) == 0;

  return same ? task : NULL;
}

/* What an answer is about. */
typedef struct
{
  endpoint_t *endpoint;
  task_t *task;  /* NULL if the run is no longer of interest */
  uint32_t term; /* of the endpoint when the call was made */
} subject_t;

/* Returns false if the call, or its endpoint, is no longer known. */
static bool
take_subject (fleet_t *fleet, uint64_t serial, subject_t *subject)
{
  call_t *call = take_call (fleet, serial);

  names_clear (fleet);
  if (call == NULL)
    return false;
  *subject =
      (subject_t){ endpoint_find (fleet, call->endpoint), task_of (fleet, call), call->term };
  free_call (call);
  return subject->endpoint != NULL;
}

static void
judge (fleet_t *fleet, endpoint_t *endpoint, bool failed, int64_t now_ms, GArray *actions)
{
  if (outlier_record (&endpoint->outlier, &fleet->outliers, &fleet->base, failed, now_ms))
    note (fleet, actions,
          endpoint->outlier.state == OUTLIER_EJECTED ? FLEET_NOTE_EJECTED : FLEET_NOTE_READMITTED,
          endpoint, NULL, now_ms);
}

static void
fail_task (fleet_t *fleet, task_t *task, const char *reason, GArray *actions)
{
  tell (fleet, actions, FLEET_FAILED, task, reason);
  task_end (fleet, task);
}

static const char *const refusals[] = {
  [FLEET_OK] = "",
  [FLEET_NO_ROOM] = "it has no room",
  [FLEET_OLD] = "a later attempt was there",
  [FLEET_LATE] = "the lease had run out on arrival",
  [FLEET_BAD_TOKEN] = "it obeys another owner",
  [FLEET_UNHEALTHY] = "it can't be reached, or says that it is unhealthy",
  [FLEET_INVALID] = "the order is malformed",
  [FLEET_GONE] = "it is another endpoint by now",
  [FLEET_UNKNOWN] = "no answer",
};

void
fleet_started (fleet_t *fleet,
               uint64_t serial,
               fleet_answer_t answer,
               int64_t clock_there_ms,
               int64_t now_ms,
               GArray *actions)
{
  subject_t subject;

  if (!take_subject (fleet, serial, &subject))
    return;
  endpoint_t *endpoint = subject.endpoint;
  task_t *task = subject.task;
  if (answer != FLEET_UNKNOWN && answer != FLEET_GONE)
    heard (fleet, endpoint, clock_there_ms, now_ms, actions);
  if (task == NULL)
    return;
  switch (answer)
    {
    case FLEET_OK:
      if (task->state == TASK_STARTING || task->state == TASK_UNSURE)
        task->state = TASK_RUNNING;
      if (task->answered_at_ms == 0)
        {
          task->answered_at_ms = now_ms;
          task->percent_at_ms = now_ms;
        }
      return;
    case FLEET_UNKNOWN:
      not_heard (fleet, endpoint, task->sent_at_ms, now_ms, actions);
      if (task->state == TASK_STARTING)
        {
          note (fleet, actions, FLEET_NOTE_UNANSWERED, endpoint, task, now_ms);
          task->state = TASK_UNSURE;
          endpoint->look_due_ms = now_ms;
        }
      return;
    case FLEET_GONE:
      not_heard (fleet, endpoint, task->sent_at_ms, now_ms, actions);
      break;
    case FLEET_NO_ROOM:
      endpoint->full_until_ms = now_ms + FULL_MS;
      break;
    case FLEET_BAD_TOKEN:
      shut_out (endpoint, subject.term, actions);
      break;
    case FLEET_UNHEALTHY:
      endpoint->full_until_ms = now_ms + UNHEALTHY_MS;
      judge (fleet, endpoint, true, now_ms, actions);
      break;
    case FLEET_INVALID:
      fail_task (fleet, task, "endpoint refuses the order as malformed", actions);
      return;
    case FLEET_OLD:
    case FLEET_LATE:
    default:
      break;
    }
  endpoint->outlier.probe_running = false;
  note (fleet, actions, FLEET_NOTE_REFUSED, endpoint, task, now_ms)->reason = refusals[answer];
  /* The order had no effect and never will. */
  task_requeue (fleet, task, now_ms);
}

void
fleet_stopped (fleet_t *fleet,
               uint64_t serial,
               fleet_answer_t answer,
               int64_t clock_there_ms,
               int64_t now_ms,
               GArray *actions)
{
  subject_t subject;

  if (!take_subject (fleet, serial, &subject))
    return;
  endpoint_t *endpoint = subject.endpoint;
  task_t *task = subject.task;
  if (answer == FLEET_UNKNOWN || answer == FLEET_GONE)
    {
      not_heard (fleet, endpoint, now_ms, now_ms, actions);
      return;
    }
  heard (fleet, endpoint, clock_there_ms, now_ms, actions);
  if (answer == FLEET_BAD_TOKEN)
    shut_out (endpoint, subject.term, actions);
  if (answer == FLEET_OK && task != NULL && task->state == TASK_STOPPING)
    {
      task->stop_confirmed = true;
      task->stop_sent_at_ms = now_ms;
    }
  endpoint->look_due_ms = now_ms;
}

/* --- looks --- */

static task_t *
run_named (const endpoint_t *endpoint, const char *name, int32_t attempt)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      task_t *task = endpoint->runs->pdata[i];
      if (task->attempt == attempt && strcmp (task->name, name) == 0)
        return task;
    }
  return NULL;
}

static void
end_run (fleet_t *fleet, task_t *task, run_end_t how, int64_t now_ms, GArray *actions)
{
  endpoint_t *endpoint = task->endpoint;

  if (how == RUN_DONE)
    {
      int64_t elapsed_ms = now_ms - task->sent_at_ms;
      judge (fleet, endpoint, false, now_ms, actions);
      if (task->answered_at_ms != 0)
        place_learn (fleet, task, elapsed_ms);
      note (fleet, actions, FLEET_NOTE_DONE, endpoint, task, now_ms);
      tell (fleet, actions, FLEET_DONE, task, NULL);
      task_end (fleet, task);
      return;
    }
  if (how == RUN_LAPSED || how == RUN_OTHER)
    note (fleet, actions, FLEET_NOTE_LAPSED, endpoint, task, now_ms);
  if (how == RUN_FAILED)
    {
      note (fleet, actions, FLEET_NOTE_FAILED, endpoint, task, now_ms);
      task->failures++;
      judge (fleet, endpoint, true, now_ms, actions);
      g_free (task->avoid);
      task->avoid = g_strdup (endpoint->id);
      if (task->batch != NULL && task->failures >= task->batch->attempts_max)
        {
          fail_task (fleet, task, "failed as often as is allowed", actions);
          return;
        }
    }
  task_requeue (fleet, task, now_ms);
}

static void
note_foreign (endpoint_t *endpoint, const look_active_t *row, int64_t now_ms)
{
  for (guint i = 0; i < endpoint->foreign->len; i++)
    {
      foreign_run_t *foreign = endpoint->foreign->pdata[i];
      if (foreign->attempt == row->attempt && strcmp (foreign->name, row->task) == 0)
        {
          foreign->present = true;
          return;
        }
    }
  foreign_run_t *foreign = g_new0 (foreign_run_t, 1);
  foreign->name = g_strdup (row->task);
  foreign->attempt = row->attempt;
  foreign->seen_at_ms = now_ms;
  foreign->present = true;
  g_ptr_array_add (endpoint->foreign, foreign);
}

static void
note_active (endpoint_t *endpoint, const look_active_t *row, int64_t now_ms)
{
  task_t *task = run_named (endpoint, row->task, row->attempt);

  if (task == NULL)
    {
      note_foreign (endpoint, row, now_ms);
      return;
    }
  task->percent_at_ms = row->percent > task->percent ? now_ms : task->percent_at_ms;
  task->percent = row->percent;
  if (task->state == TASK_STARTING || task->state == TASK_UNSURE)
    task->state = TASK_RUNNING;
  if (task->answered_at_ms == 0)
    {
      task->answered_at_ms = now_ms;
      task->percent_at_ms = now_ms;
    }
}

static void
take_ends (fleet_t *fleet,
           endpoint_t *endpoint,
           const look_t *look,
           int64_t now_ms,
           GArray *actions)
{
  for (size_t i = 0; i < look->ended_count; i++)
    {
      const look_ended_t *row = &look->ended[i];
      if (row->number <= endpoint->ack)
        continue;
      endpoint->ack = row->number;
      task_t *task = run_named (endpoint, row->task, row->attempt);
      if (task != NULL)
        end_run (fleet, task, row->how, now_ms, actions);
      else if (row->how == RUN_DONE && endpoint->ended_foreign->len < ENDED_FOREIGN_MAX)
        g_ptr_array_add (endpoint->ended_foreign, g_strdup (row->task));
    }
}

static bool
is_active (const look_t *look, const task_t *task)
{
  for (size_t i = 0; i < look->active_count; i++)
    if (look->active[i].attempt == task->attempt && strcmp (look->active[i].task, task->name) == 0)
      return true;
  return false;
}

/* True if TASK's run was to be seen in a look that was sent at SENT_AT_MS. */
static bool
was_due (const task_t *task, int64_t sent_at_ms)
{
  return (task->state == TASK_RUNNING && task->answered_at_ms < sent_at_ms)
         || (task->state == TASK_STOPPING && task->stop_confirmed
             && task->stop_sent_at_ms < sent_at_ms);
}

/* The shortest duration that TASK may expect on an endpoint that has room for it now, if it needs
 * WORK_MS at the speed that estimates are made for. */
static double
best_elsewhere_ms (const fleet_t *fleet, const task_t *task, double work_ms, int64_t now_ms)
{
  double best_ms = INFINITY;
  GHashTableIter iter;
  void *value = NULL;

  if (fleet->drained)
    return best_ms;
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (endpoint != task->endpoint && place_may_run (endpoint, task)
          && place_is_usable (endpoint, now_ms)
          && room_fits (&endpoint->whole, &endpoint->used, &task->need))
        best_ms = fmin (best_ms, work_ms * place_ratio (endpoint)
                                     * place_distance (fleet, endpoint, task->batch));
    }
  return best_ms;
}

/* What a look shows of a run's end. */
typedef struct
{
  double rest_ms; /* until it ends where it is */
  double left_ms; /* until the deadline */
  double work_ms; /* of the whole task, at the speed that estimates are made for */
} outlook_t;

/* Returns false if the run's progress says nothing yet. */
static bool
outlook_of (const fleet_t *fleet, const task_t *task, int64_t now_ms, outlook_t *outlook)
{
  const batch_t *batch = task->batch;

  if (batch == NULL || task->percent < MOVE_PERCENT_MIN || task->percent >= 100)
    return false;
  double elapsed_ms = (double) (now_ms - task->sent_at_ms);
  /* Whole percents are shown: it may be almost one further. */
  double whole_ms = 100.0 * elapsed_ms / (task->percent + 1);
  double speed = place_ratio (task->endpoint) * place_distance (fleet, task->endpoint, task->batch);
  bool large = whole_ms < LARGE_MAX * (double) task->expected_ms;

  outlook->rest_ms = whole_ms - elapsed_ms;
  outlook->left_ms = (double) (batch->aim.deadline_at_ms - now_ms);
  outlook->work_ms = large ? whole_ms / speed : (double) batch->aim.work_ms;
  return true;
}

/* True if TASK misses its deadline where it is, and would meet it if it were started anew on a
 * faster endpoint.  A task is moved once only. */
static bool
should_move (const fleet_t *fleet, const task_t *task, int64_t now_ms)
{
  outlook_t outlook;

  if (task->moved || !outlook_of (fleet, task, now_ms, &outlook)
      || outlook.rest_ms < outlook.left_ms)
    return false;
  double again_ms = best_elsewhere_ms (fleet, task, outlook.work_ms, now_ms);
  return again_ms + (double) fleet->options.stop_ms + MOVE_SLACK_MS < outlook.left_ms;
}

/* True if TASK misses its deadline where it is, and would on the fastest endpoint too. */
static bool
is_overdue (const fleet_t *fleet, const task_t *task, int64_t now_ms)
{
  outlook_t outlook;
  double fastest = INFINITY;
  GHashTableIter iter;
  void *value = NULL;

  if (!outlook_of (fleet, task, now_ms, &outlook)
      || outlook.rest_ms * 100 < outlook.left_ms * OVERDUE_PERCENT)
    return false;
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (place_is_usable (value, now_ms))
      fastest = fmin (fastest, place_ratio (value));
  return outlook.work_ms * fastest > outlook.left_ms;
}

/* Ends a run that is of no use any more, and tells its coordinator. */
static void
give_up (fleet_t *fleet, task_t *task, int64_t now_ms, GArray *actions)
{
  note (fleet, actions, FLEET_NOTE_CUT, task->endpoint, task, now_ms);
  tell (fleet, actions, FLEET_OVERDUE, task, "can't end before its deadline");
  task_stop (task, now_ms);
  task_leave (fleet, task);
}

static void
check_runs (fleet_t *fleet,
            endpoint_t *endpoint,
            const look_t *look,
            int64_t sent_at_ms,
            int64_t now_ms,
            GArray *actions)
{
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      task_t *task = endpoint->runs->pdata[i];
      if (is_active (look, task))
        {
          int64_t still_ms = now_ms - task->percent_at_ms;
          int64_t patience_ms = MAX (HANG_MIN_MS, task->expected_ms * HANG_PERCENT / 100);
          if (task->state == TASK_RUNNING && still_ms > patience_ms)
            {
              judge (fleet, endpoint, true, now_ms, actions);
              note (fleet, actions, FLEET_NOTE_HUNG, endpoint, task, now_ms);
              task_stop (task, now_ms);
            }
          else if (task->state == TASK_RUNNING && should_move (fleet, task, now_ms))
            {
              task->moved = true;
              note (fleet, actions, FLEET_NOTE_MOVED, endpoint, task, now_ms);
              task_stop (task, now_ms);
            }
          else if (task->state == TASK_RUNNING && is_overdue (fleet, task, now_ms))
            give_up (fleet, task, now_ms, actions);
        }
      else if (was_due (task, sent_at_ms))
        task_requeue (fleet, task, now_ms);
      else if (task->state == TASK_UNSURE && task->sent_at_ms < sent_at_ms)
        /* It may yet be carried out: only a stop settles it. */
        task_stop (task, now_ms);
    }
}

static void
drop_absent_foreign (endpoint_t *endpoint)
{
  for (guint i = endpoint->foreign->len; i-- > 0;)
    {
      foreign_run_t *foreign = endpoint->foreign->pdata[i];
      if (!foreign->present)
        g_ptr_array_remove_index_fast (endpoint->foreign, i);
      else
        foreign->present = false;
    }
}

void
fleet_looked (fleet_t *fleet,
              uint64_t serial,
              fleet_answer_t answer,
              const look_t *look,
              int64_t now_ms,
              GArray *actions)
{
  subject_t subject;

  if (!take_subject (fleet, serial, &subject) || subject.endpoint->look_serial != serial)
    return;
  endpoint_t *endpoint = subject.endpoint;
  int64_t sent_at_ms = endpoint->look_sent_at_ms;
  endpoint->look_out = false;
  if (answer == FLEET_BAD_TOKEN)
    {
      heard (fleet, endpoint, 0, now_ms, actions);
      shut_out (endpoint, subject.term, actions);
      return;
    }
  if (answer != FLEET_OK)
    {
      not_heard (fleet, endpoint, sent_at_ms, now_ms, actions);
      return;
    }
  if (look->born_at_ms != 0)
    {
      if (endpoint->born_at_ms != 0 && look->born_at_ms != endpoint->born_at_ms)
        {
          note (fleet, actions, FLEET_NOTE_REBORN, endpoint, NULL, now_ms);
          endpoint_reborn (fleet, endpoint, now_ms);
          if (look->born_at_ms == endpoint->entry_born_at_ms)
            endpoint->whole = endpoint->entry_free;
        }
      endpoint->born_at_ms = look->born_at_ms;
      endpoint->tells_born = true;
    }
  heard (fleet, endpoint, look->clock_there_ms, now_ms, actions);
  endpoint->looked = true;
  endpoint->looked_at_ms = sent_at_ms;
  endpoint->look_due_ms = now_ms;
  for (size_t i = 0; i < look->active_count; i++)
    note_active (endpoint, &look->active[i], now_ms);
  drop_absent_foreign (endpoint);
  take_ends (fleet, endpoint, look, now_ms, actions);
  check_runs (fleet, endpoint, look, sent_at_ms, now_ms, actions);
}
