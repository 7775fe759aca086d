/* losses.c -- reports the runs that were lost with their endpoints to the history of crashes */
#include "executor/table.h"

void
note_loss (const crash_loss_t *loss, void *user)
{
  executor_t *executor = user;
  crash_loss_t copy = *loss;

  copy.task = g_strdup (loss->task);
  copy.endpoint = g_strdup (loss->endpoint);
  copy.address = NULL;
  g_array_append_val (executor->new_losses, copy);
}

/* The loss of the present run of TASK, as suspected. */
static crash_loss_t
loss_of_run (const task_t *task)
{
  return (crash_loss_t){ .task = task->name,
                         .attempt = task->attempt,
                         .endpoint = task->endpoint->id,
                         .address = task->endpoint->answered_address,
                         .endpoint_started_at_ms = task->endpoint->started_at_ms,
                         .had_started = task->start_confirmed_at_ms != 0,
                         .state = CRASH_SUSPECTED };
}

void
withdraw_loss (executor_t *executor, const task_t *task)
{
  const crash_loss_t run = loss_of_run (task);

  crash_history_withdraw (executor->crashes, &run, note_loss, executor);
}

void
record_loss (executor_t *executor, const task_t *task, bool restarted, int64_t now_ms)
{
  crash_loss_t loss = loss_of_run (task);

  if (task->endpoint->instance_leaving)
    return;
  if (restarted && loss.had_started && task->endpoint->reports_start_time)
    loss.state = CRASH_CONFIRMED;
  if (crash_history_add (executor->crashes, &loss, now_ms))
    note_loss (&loss, executor);
}
