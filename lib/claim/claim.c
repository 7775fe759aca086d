/* claim.c -- actions returned by the replica and the coordinator */
#include "claim/claim.h"

void
claim_action_free (claim_action_t *action)
{
  g_free (action->to);
  claim_msg_free (action->msg);
  member_unref (action->holder);
  view_unref (action->view);
  g_free (action);
}

GPtrArray *
claim_actions_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify) claim_action_free);
}

void
claim_send (GPtrArray *actions, const char *to, claim_msg_t *msg)
{
  claim_action_t *action = g_new0 (claim_action_t, 1);

  action->kind = CLAIM_ACTION_SEND;
  action->to = g_strdup (to);
  action->msg = msg;
  g_ptr_array_add (actions, action);
}
