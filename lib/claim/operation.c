/* operation.c -- a claim, probe, confirmation or release in progress */
#include "claim/operation.h"

#include <string.h>

operation_t *
operation_new (operation_kind_t kind, const char *key, const char *home)
{
  operation_t *operation = g_new0 (operation_t, 1);

  operation->kind = kind;
  operation->key = g_strdup (key);
  operation->home = g_strdup (home);
  return operation;
}

static void
clear_attempt (operation_t *operation)
{
  for (int32_t i = 0; i < operation->holder_count; i++)
    member_unref (operation->holders[i].holder.member);
  operation->holder_count = 0;
  operation->replica_count = 0;
  memset (operation->replicas, 0, sizeof (operation->replicas));
  view_unref (operation->view);
  operation->view = NULL;
}

void
operation_free (operation_t *operation)
{
  clear_attempt (operation);
  member_unref (operation->last_holder);
  g_free (operation->key);
  g_free (operation->home);
  g_free (operation);
}

void
operation_restart (operation_t *operation, uint64_t attempt_id, view_t *view, int64_t now_ms)
{
  int32_t slots[VIEW_REPLICAS_PER_KEY];

  clear_attempt (operation);
  operation->attempt_id = attempt_id;
  operation->state = OPERATION_ASKING;
  operation->attempt_started_ms = now_ms;
  if (view == NULL)
    return;
  operation->view = view_ref (view);
  operation->replica_count = view_replicas (view, operation->key, slots);
  for (int32_t i = 0; i < operation->replica_count; i++)
    operation->replicas[i].slot = slots[i];
}

int32_t
operation_reply_count (const operation_t *operation, claim_reply_result_t result)
{
  int32_t count = 0;

  for (int32_t i = 0; i < operation->replica_count; i++)
    count += operation->replicas[i].replied && operation->replicas[i].result == result;
  return count;
}

int32_t
operation_outstanding_count (const operation_t *operation)
{
  int32_t count = 0;

  for (int32_t i = 0; i < operation->replica_count; i++)
    count += !operation->replicas[i].replied && !operation->replicas[i].failed;
  return count;
}

asked_replica_t *
operation_next_replica (operation_t *operation)
{
  for (int32_t i = 0; i < operation->replica_count; i++)
    if (!operation->replicas[i].asked)
      return &operation->replicas[i];
  return NULL;
}

static asked_replica_t *
find_replica (operation_t *operation, const char *slot)
{
  for (int32_t i = 0; i < operation->replica_count; i++)
    if (strcmp (operation->view->slots[operation->replicas[i].slot].name, slot) == 0)
      return &operation->replicas[i];
  return NULL;
}

static void
add_holder (operation_t *operation, const claim_holder_t *holder)
{
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      claim_holder_t *known = &operation->holders[i].holder;
      if (!member_equal (known->member, holder->member))
        continue;
      known->attempt = MAX (known->attempt, holder->attempt);
      return;
    }
  if (operation->holder_count == CLAIM_HOLDERS_MAX)
    return;
  queried_holder_t *seen = &operation->holders[operation->holder_count++];
  *seen = (queried_holder_t){ .holder = *holder };
  member_ref (holder->member);
}

static void
set_last_holder (operation_t *operation, const claim_holder_t *holder)
{
  member_t *old = operation->last_holder;

  operation->last_holder = member_ref (holder->member);
  operation->last_digest_differs =
      memcmp (&holder->digest, &operation->digest, sizeof (operation->digest)) != 0;
  member_unref (old);
}

/* Returns the replica that sent REPLY, or NULL.  A reply without a slot comes from a
 * host that has no slot for the key in its own view; it is matched by its sender. */
static asked_replica_t *
find_sender (operation_t *operation, const claim_reply_t *reply, const member_t *from)
{
  if (reply->slot != NULL)
    return reply->view_number == operation->view->number ? find_replica (operation, reply->slot)
                                                         : NULL;
  for (int32_t i = 0; i < operation->replica_count; i++)
    if (member_equal (operation->view->slots[operation->replicas[i].slot].occupant, from))
      return &operation->replicas[i];
  return NULL;
}

bool
operation_record_reply (operation_t *operation,
                        const claim_reply_t *reply,
                        const member_t *from,
                        const member_t *self)
{
  operation->any_reply = true;
  if (operation->state != OPERATION_ASKING || operation->view == NULL)
    return false;
  asked_replica_t *replica = find_sender (operation, reply, from);
  if (replica == NULL || replica->replied)
    return false;
  replica->replied = true;
  replica->failed = false;
  replica->result = reply->result;
  operation->any_uncertain |= reply->result == CLAIM_REPLY_UNCERTAIN;
  for (int32_t i = 0; i < reply->holder_count; i++)
    {
      add_holder (operation, &reply->holders[i]);
      if (!member_equal (reply->holders[i].member, self))
        set_last_holder (operation, &reply->holders[i]);
    }
  return true;
}
