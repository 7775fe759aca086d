/* cancels.c -- what owners must be told of batches until they confirm it: ends and releases */
#include "flow/state.h"

/* A cancellation or a release is repeated until it is confirmed, since an owner that never heard of
 * it would let a task run on beside its resubmission, or keep it for its next claim; after the
 * second time the owner has dropped the coordinator by itself. */
#define CANCEL_RETRY_MS 60
#define CANCEL_GIVE_UP_MS 3000

static void
send_cancel (cancel_t *cancel, int64_t now_ms, GArray *actions)
{
  flow_action_t *action = flow_add (actions, cancel->kind);

  action->host = cancel->host;
  action->number = cancel->number;
  cancel->due_ms = now_ms + CANCEL_RETRY_MS;
}

void
cancels_add (flow_t *flow,
             const batch_t *batch,
             flow_action_kind_t kind,
             int64_t now_ms,
             GArray *actions)
{
  cancel_t *cancel = g_new0 (cancel_t, 1);

  cancel->kind = kind;
  cancel->number = batch->number;
  cancel->host = batch->host;
  cancel->until_ms = now_ms + CANCEL_GIVE_UP_MS;
  g_hash_table_replace (flow->cancels, &cancel->number, cancel);
  send_cancel (cancel, now_ms, actions);
}

void
cancels_repeat (flow_t *flow, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, flow->cancels);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cancel_t *cancel = value;
      if (now_ms >= cancel->until_ms)
        g_hash_table_iter_remove (&iter);
      else if (now_ms >= cancel->due_ms)
        send_cancel (cancel, now_ms, actions);
    }
}
