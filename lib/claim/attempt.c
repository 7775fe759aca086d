/* attempt.c -- one attempt of an operation: asks replicas and claimants, and ends */
#include "claim/attempt.h"

#include <string.h>

/* Wait before a new attempt when replicas are not ready. */
#define NOT_READY_WAIT_MS 50
/* Two coordinators that split the votes wait a random time in these bounds. */
#define SPLIT_WAIT_MIN_MS 10
#define SPLIT_WAIT_MAX_MS 150
/* A claimant that has not answered by then counts as silent. */
#define QUERY_MS 300
/* A key that was confirmed or released is given back after this time. */
#define ERASE_AFTER_MS 1

void
attempt_done (void *user, claim_done_result_t result, member_t *holder, GPtrArray *actions)
{
  claim_action_t *action = g_new0 (claim_action_t, 1);

  action->kind = CLAIM_ACTION_DONE;
  action->result = result;
  action->holder = holder != NULL ? member_ref (holder) : NULL;
  action->user = user;
  g_ptr_array_add (actions, action);
}

/* --- messages to replicas -------------------------------------------------- */

const char *
attempt_replica_host (const operation_t *operation, int32_t index)
{
  return operation->view->seats[operation->replicas[index].seat].occupant->id;
}

static claim_msg_t *
claim_message (const operation_t *operation)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_CLAIM);
  claim_request_t *claim = &msg->u.claim;

  claim->attempt = operation->id;
  claim->view = operation->view->number;
  claim->key = g_strdup (operation->key);
  claim->digest = operation->digest;
  claim->issued_at_ms = operation->issued_at_ms;
  return msg;
}

static claim_msg_t *
probe_message (const operation_t *operation, uint64_t op)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_PROBE);
  claim_probe_t *probe = &msg->u.probe;

  probe->op = op;
  probe->view = operation->view->number;
  probe->key = g_strdup (operation->key);
  probe->issued_at_ms = operation->issued_at_ms;
  return msg;
}

static void
set_erase (claim_msg_t *msg, const member_t *claimant, uint64_t attempt)
{
  msg->u.probe.erase_host = g_strdup (claimant->id);
  msg->u.probe.erase_incarnation = claimant->incarnation;
  msg->u.probe.erase_attempt = attempt;
}

/* Tells all replicas that CLAIMANT has not started under any attempt up to
 * ATTEMPT and never will; no reply is awaited. */
static void
erase (const operation_t *operation, const member_t *claimant, uint64_t attempt, GPtrArray *actions)
{
  for (int32_t i = 0; i < operation->replica_count; i++)
    {
      claim_msg_t *msg = probe_message (operation, 0);
      set_erase (msg, claimant, attempt);
      claim_send (actions, attempt_replica_host (operation, i), msg);
    }
}

/* True if OPERATION places claims at the replicas. */
static bool
claims (const operation_t *operation)
{
  return operation->kind != OPERATION_PROBE;
}

void
attempt_ask (operation_t *operation, asked_replica_t *replica, GPtrArray *actions)
{
  int32_t index = (int32_t) (replica - operation->replicas);
  claim_msg_t *msg = NULL;

  replica->asked = true;
  if (claims (operation))
    msg = claim_message (operation);
  else
    msg = probe_message (operation, operation->id);
  claim_send (actions, attempt_replica_host (operation, index), msg);
}

/* --- the life of an operation ---------------------------------------------- */

static int32_t
needed (const claim_coordinator_t *coordinator, const operation_t *operation)
{
  if (claims (operation) && !coordinator->rules.second_grant)
    return 1;
  return view_majority (operation->replica_count);
}

static void
wait_until (operation_t *operation, int64_t again_ms)
{
  operation->state = OPERATION_WAITING;
  operation->again_ms = again_ms;
}

/* Asks so many replicas that enough could still agree. */
static void
ask_enough (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  claim_reply_result_t good =
      operation->kind == OPERATION_CLAIM ? CLAIM_REPLY_GRANTED : CLAIM_REPLY_FREE;
  int32_t hopeful = 0;

  for (int32_t i = 0; i < operation->replica_count; i++)
    {
      const asked_replica_t *replica = &operation->replicas[i];
      hopeful +=
          replica->asked && !replica->failed && (!replica->replied || replica->result == good);
    }
  while (hopeful < needed (coordinator, operation))
    {
      asked_replica_t *next = operation_next (operation);
      if (next == NULL)
        return;
      attempt_ask (operation, next, actions);
      hopeful++;
    }
}

void
attempt_begin (claim_coordinator_t *coordinator,
               operation_t *operation,
               claim_time_t now,
               GPtrArray *actions)
{
  view_t *view = coordinator->view_of (operation->home, coordinator->view_data);

  g_hash_table_steal (coordinator->operations, &operation->id);
  operation_restart (operation, ++coordinator->last_id, view, now.boot_ms);
  g_hash_table_insert (coordinator->operations, &operation->id, operation);
  if (operation->replica_count == 0)
    {
      wait_until (operation, now.boot_ms + NOT_READY_WAIT_MS);
      return;
    }
  ask_enough (coordinator, operation, actions);
}

/* Ends OPERATION, which is freed.  Claims that were not granted are erased. */
void
attempt_finish (claim_coordinator_t *coordinator,
                operation_t *operation,
                claim_done_result_t result,
                member_t *holder,
                GPtrArray *actions)
{
  if (claims (operation) && result != CLAIM_DONE_GRANTED)
    {
      erase (operation, coordinator->self, operation->id, actions);
      g_hash_table_remove (coordinator->own, operation->key);
    }
  attempt_done (operation->user, result, holder, actions);
  g_hash_table_remove (coordinator->operations, &operation->id);
}

static void
finish_granted (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  own_t *own = g_hash_table_lookup (coordinator->own, operation->key);

  own->state = OWN_GRANTED;
  own->operation = NULL;
  own->start_before_ms = operation->attempt_ms + coordinator->limits.start_within_ms;
  attempt_finish (coordinator, operation, CLAIM_DONE_GRANTED, NULL, actions);
}

/* Gives the claim back one tick after the action, so that whoever is told that
 * the key is free has been told before another host can start it. */
void
attempt_erase_later (operation_t *operation, int64_t now_ms)
{
  operation->kind = OPERATION_ERASE;
  wait_until (operation, now_ms + ERASE_AFTER_MS);
}

static void
finish_confirmed (operation_t *operation, claim_time_t now, GPtrArray *actions)
{
  attempt_done (operation->user, CLAIM_DONE_FREE, NULL, actions);
  attempt_erase_later (operation, now.boot_ms);
}

/* Ends an OPERATION_ERASE, which is freed. */
void
attempt_finish_erase (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  erase (operation, coordinator->self, operation->id, actions);
  g_hash_table_remove (coordinator->own, operation->key);
  g_hash_table_remove (coordinator->operations, &operation->id);
}

static void
finish_held (claim_coordinator_t *coordinator,
             operation_t *operation,
             const claim_holder_t *holder,
             GPtrArray *actions)
{
  bool same = operation->kind != OPERATION_CLAIM
              || memcmp (&holder->digest, &operation->digest, sizeof (holder->digest)) == 0;

  attempt_finish (coordinator, operation, same ? CLAIM_DONE_HELD : CLAIM_DONE_REUSED,
                  holder->member, actions);
}

void
attempt_give_up (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  claim_done_result_t result = CLAIM_DONE_UNREACHABLE;
  g_autoptr (GPtrArray) keep = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  member_t *holder = operation->last_seen;

  if (holder != NULL)
    {
      g_ptr_array_add (keep, member_ref (holder));
      result = operation->kind == OPERATION_CLAIM && operation->last_other_digest
                   ? CLAIM_DONE_REUSED
                   : CLAIM_DONE_HELD;
    }
  else if (operation->uncertain)
    result = CLAIM_DONE_UNCERTAIN;
  attempt_finish (coordinator, operation, result, holder, actions);
}

/* --- claimants that replicas named ------------------------------------------ */

claim_answer_result_t
attempt_own_answer (const claim_coordinator_t *coordinator, const char *key)
{
  const own_t *own = g_hash_table_lookup (coordinator->own, key);

  if (own == NULL)
    return CLAIM_ANSWER_NEVER;
  return own->state == OWN_CLAIMING ? CLAIM_ANSWER_BUSY : CLAIM_ANSWER_HOLDING;
}

/* This host's own older claim, found contested: this operation knows that
 * nothing has started under it. */
static void
answer_self (const claim_coordinator_t *coordinator,
             const operation_t *operation,
             asked_holder_t *asked)
{
  asked->answered = true;
  asked->holder.attempt = operation->id;
  asked->result =
      claims (operation) ? CLAIM_ANSWER_NEVER : attempt_own_answer (coordinator, operation->key);
}

void
attempt_query (claim_coordinator_t *coordinator,
               operation_t *operation,
               claim_time_t now,
               GPtrArray *actions)
{
  operation->state = OPERATION_QUERYING;
  operation->query_until_ms = now.boot_ms + QUERY_MS;
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      asked_holder_t *asked = &operation->holders[i];
      if (member_equal (asked->holder.member, coordinator->self))
        {
          answer_self (coordinator, operation, asked);
          continue;
        }
      claim_msg_t *msg = claim_msg_new (CLAIM_MSG_QUERY);
      msg->u.query.op = operation->id;
      msg->u.query.incarnation = asked->holder.member->incarnation;
      msg->u.query.key = g_strdup (operation->key);
      claim_send (actions, asked->holder.member->id, msg);
    }
  attempt_resolve (coordinator, operation, now, actions);
}

static asked_holder_t *
find_answer (operation_t *operation, bool answered, claim_answer_result_t result)
{
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      asked_holder_t *asked = &operation->holders[i];
      if (asked->answered == answered && (!answered || asked->result == result))
        return asked;
    }
  return NULL;
}

static void
erase_never (operation_t *operation, GPtrArray *actions)
{
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      const asked_holder_t *asked = &operation->holders[i];
      if (asked->answered && asked->result == CLAIM_ANSWER_NEVER)
        erase (operation, asked->holder.member, asked->holder.attempt, actions);
    }
  member_unref (operation->last_seen);
  operation->last_seen = NULL;
}

/* Goes on once every claimant has answered, or one holds the key, or the time
 * for answers is over. */
void
attempt_resolve (claim_coordinator_t *coordinator,
                 operation_t *operation,
                 claim_time_t now,
                 GPtrArray *actions)
{
  asked_holder_t *asked = find_answer (operation, true, CLAIM_ANSWER_HOLDING);

  if (asked == NULL && find_answer (operation, false, 0) != NULL
      && now.boot_ms < operation->query_until_ms)
    return;
  if (asked == NULL)
    asked = find_answer (operation, true, CLAIM_ANSWER_GONE);
  if (asked == NULL)
    asked = find_answer (operation, false, 0);
  if (asked == NULL && operation->kind == OPERATION_PROBE)
    asked = find_answer (operation, true, CLAIM_ANSWER_BUSY);
  if (asked != NULL)
    {
      claim_holder_t holder = asked->holder;
      member_ref (holder.member);
      finish_held (coordinator, operation, &holder, actions);
      member_unref (holder.member);
      return;
    }
  bool busy = find_answer (operation, true, CLAIM_ANSWER_BUSY) != NULL;
  erase_never (operation, actions);
  if (!busy)
    {
      attempt_begin (coordinator, operation, now, actions);
      return;
    }
  erase (operation, coordinator->self, operation->id, actions);
  wait_until (operation,
              now.boot_ms
                  + g_rand_int_range (coordinator->random, SPLIT_WAIT_MIN_MS, SPLIT_WAIT_MAX_MS));
}

/* --- replies ----------------------------------------------------------------- */

/* Enough replicas can no longer agree in this attempt. */
static void
blocked (claim_coordinator_t *coordinator,
         operation_t *operation,
         claim_time_t now,
         GPtrArray *actions)
{
  int32_t spare = operation->replica_count - needed (coordinator, operation);

  if (operation->holder_count > 0)
    attempt_query (coordinator, operation, now, actions);
  else if (operation_count (operation, CLAIM_REPLY_UNCERTAIN) > spare)
    attempt_finish (coordinator, operation, CLAIM_DONE_UNCERTAIN, NULL, actions);
  else
    wait_until (operation, now.boot_ms + NOT_READY_WAIT_MS);
}

void
attempt_evaluate (claim_coordinator_t *coordinator,
                  operation_t *operation,
                  claim_time_t now,
                  GPtrArray *actions)
{
  bool is_claim = claims (operation);
  int32_t need = needed (coordinator, operation);
  int32_t good = operation_count (operation, is_claim ? CLAIM_REPLY_GRANTED : CLAIM_REPLY_FREE);

  if (good >= need && operation->kind == OPERATION_CLAIM)
    finish_granted (coordinator, operation, actions);
  else if (good >= need && is_claim)
    finish_confirmed (operation, now, actions);
  else if (good >= need)
    attempt_finish (coordinator, operation, CLAIM_DONE_FREE, NULL, actions);
  else if (operation_count (operation, CLAIM_REPLY_EXPIRED) > 0)
    attempt_finish (coordinator, operation, CLAIM_DONE_EXPIRED, NULL, actions);
  else if (good + operation_outstanding (operation) < need)
    blocked (coordinator, operation, now, actions);
  else if (!is_claim && operation->holder_count > 0)
    attempt_query (coordinator, operation, now, actions);
  else
    ask_enough (coordinator, operation, actions);
}
