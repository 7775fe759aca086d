/* cancellations.c -- messages that end or release a batch, sent until the owner confirms them */
#include "scheduler/state.h"

/* A cancellation or a release is sent again at this interval until it is confirmed.  An owner that
 * never received it would let a task run on while its resubmission runs elsewhere, or would keep it
 * and start it at its next claim.  After RESEND_TIMEOUT_MS the owner has dropped the batches of
 * this coordinator by itself. */
#define RESEND_INTERVAL_MS 60
#define RESEND_TIMEOUT_MS 3000

static void
send_cancellation (cancellation_t *cancellation, int64_t now_ms, GArray *actions)
{
  scheduler_action_t *action = scheduler_add_action (actions, cancellation->kind);

  action->host = cancellation->host;
  action->batch_number = cancellation->number;
  action->stop_reason = cancellation->reason;
  cancellation->resend_at_ms = now_ms + RESEND_INTERVAL_MS;
}

static void
add (scheduler_t *scheduler,
     const job_batch_t *batch,
     scheduler_action_kind_t kind,
     stop_reason_t reason,
     int64_t now_ms,
     GArray *actions)
{
  cancellation_t *cancellation = g_new0 (cancellation_t, 1);

  cancellation->kind = kind;
  cancellation->reason = reason;
  cancellation->number = batch->number;
  cancellation->host = batch->host;
  cancellation->expires_at_ms = now_ms + RESEND_TIMEOUT_MS;
  g_hash_table_replace (scheduler->cancellations, &cancellation->number, cancellation);
  send_cancellation (cancellation, now_ms, actions);
}

void
cancellations_cancel (scheduler_t *scheduler,
                      const job_batch_t *batch,
                      stop_reason_t reason,
                      int64_t now_ms,
                      GArray *actions)
{
  add (scheduler, batch, SCHEDULER_CANCEL, reason, now_ms, actions);
}

void
cancellations_release (scheduler_t *scheduler,
                       const job_batch_t *batch,
                       int64_t now_ms,
                       GArray *actions)
{
  add (scheduler, batch, SCHEDULER_RELEASE, STOP_UNKNOWN, now_ms, actions);
}

void
cancellations_resend (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->cancellations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cancellation_t *cancellation = value;
      if (now_ms >= cancellation->expires_at_ms)
        g_hash_table_iter_remove (&iter);
      else if (now_ms >= cancellation->resend_at_ms)
        send_cancellation (cancellation, now_ms, actions);
    }
}
