/* attempt.c -- attempts of an operation: requests, queries and their evaluation */
#include "claim/attempt.h"

#include <string.h>

/* Delay before a new attempt when too few replicas are ready or reachable. */
#define NOT_READY_RETRY_MS 50
/* Bounds of the random back-off when several coordinators claim a key at the same
 * time and none gets a majority. */
#define SPLIT_VOTE_BACKOFF_MIN_MS 10
#define SPLIT_VOTE_BACKOFF_MAX_MS 150
/* A claimant that has not answered a query after this time is taken to hold the
 * key. */
#define QUERY_TIMEOUT_MS 300
/* Delay between reporting a confirmed or released key as free and erasing this
 * host's claim on it. */
#define ERASE_DELAY_MS 1

void
attempt_report_result (void *user_data,
                       claim_done_result_t result,
                       member_t *holder,
                       GPtrArray *actions)
{
  claim_action_t *action = g_new0 (claim_action_t, 1);

  action->kind = CLAIM_ACTION_DONE;
  action->result = result;
  action->holder = holder != NULL ? member_ref (holder) : NULL;
  action->user_data = user_data;
  g_ptr_array_add (actions, action);
}

/* --- messages to replicas --- */

const char *
attempt_replica_host (const operation_t *operation, int32_t index)
{
  return operation->view->slots[operation->replicas[index].slot].occupant->id;
}

static claim_msg_t *
claim_message (const operation_t *operation)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_CLAIM);
  claim_request_t *claim = &msg->u.claim;

  claim->attempt = operation->attempt_id;
  claim->view_number = operation->view->number;
  claim->key = g_strdup (operation->key);
  claim->digest = operation->digest;
  claim->issued_at_ms = operation->issued_at_ms;
  return msg;
}

static claim_msg_t *
probe_message (const operation_t *operation, uint64_t request_id)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_PROBE);
  claim_probe_t *probe = &msg->u.probe;

  probe->request_id = request_id;
  probe->view_number = operation->view->number;
  probe->key = g_strdup (operation->key);
  probe->issued_at_ms = operation->issued_at_ms;
  return msg;
}

static void
set_erased_claim (claim_msg_t *msg, const member_t *claimant, uint64_t attempt)
{
  msg->u.probe.erase_host = g_strdup (claimant->id);
  msg->u.probe.erase_incarnation = claimant->incarnation;
  msg->u.probe.erase_attempt = attempt;
}

/* Tells all replicas to erase the claim of CLAIMANT, which has not started the key
 * under any attempt up to ATTEMPT and never will.  Replies are ignored. */
static void
send_erase (const operation_t *operation,
            const member_t *claimant,
            uint64_t attempt,
            GPtrArray *actions)
{
  for (int32_t i = 0; i < operation->replica_count; i++)
    {
      claim_msg_t *msg = probe_message (operation, 0);
      set_erased_claim (msg, claimant, attempt);
      claim_send (actions, attempt_replica_host (operation, i), msg);
    }
}

/* Returns true if OPERATION places claims at the replicas. */
static bool
places_claims (const operation_t *operation)
{
  return operation->kind != OPERATION_PROBE;
}

void
attempt_ask_replica (operation_t *operation, asked_replica_t *replica, GPtrArray *actions)
{
  int32_t index = (int32_t) (replica - operation->replicas);
  claim_msg_t *msg = NULL;

  replica->asked = true;
  if (places_claims (operation))
    msg = claim_message (operation);
  else
    msg = probe_message (operation, operation->attempt_id);
  claim_send (actions, attempt_replica_host (operation, index), msg);
}

/* --- start and end of an operation --- */

static int32_t
required_replies (const claim_coordinator_t *coordinator, const operation_t *operation)
{
  if (places_claims (operation) && !coordinator->rules.require_majority)
    return 1;
  return view_majority (operation->replica_count);
}

static void
wait_for_retry (operation_t *operation, int64_t retry_at_ms)
{
  operation->state = OPERATION_WAITING;
  operation->retry_at_ms = retry_at_ms;
}

/* Sends requests until the replicas that have agreed or may still agree are enough
 * for the required number of replies. */
static void
ask_quorum (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  claim_reply_result_t agreeing =
      operation->kind == OPERATION_CLAIM ? CLAIM_REPLY_GRANTED : CLAIM_REPLY_FREE;
  int32_t candidates = 0;

  for (int32_t i = 0; i < operation->replica_count; i++)
    {
      const asked_replica_t *replica = &operation->replicas[i];
      candidates +=
          replica->asked && !replica->failed && (!replica->replied || replica->result == agreeing);
    }
  while (candidates < required_replies (coordinator, operation))
    {
      asked_replica_t *next = operation_next_replica (operation);
      if (next == NULL)
        return;
      attempt_ask_replica (operation, next, actions);
      candidates++;
    }
}

void
attempt_begin (claim_coordinator_t *coordinator,
               operation_t *operation,
               claim_time_t now,
               GPtrArray *actions)
{
  view_t *view = coordinator->find_view (operation->home, coordinator->find_view_data);

  g_hash_table_steal (coordinator->operations, &operation->attempt_id);
  operation_restart (operation, ++coordinator->last_attempt_id, view, now.boot_ms);
  g_hash_table_insert (coordinator->operations, &operation->attempt_id, operation);
  if (operation->replica_count == 0)
    {
      wait_for_retry (operation, now.boot_ms + NOT_READY_RETRY_MS);
      return;
    }
  ask_quorum (coordinator, operation, actions);
}

void
attempt_finish (claim_coordinator_t *coordinator,
                operation_t *operation,
                claim_done_result_t result,
                member_t *holder,
                GPtrArray *actions)
{
  if (places_claims (operation) && result != CLAIM_DONE_GRANTED)
    {
      send_erase (operation, coordinator->self, operation->attempt_id, actions);
      g_hash_table_remove (coordinator->own_keys, operation->key);
    }
  attempt_report_result (operation->user_data, result, holder, actions);
  g_hash_table_remove (coordinator->operations, &operation->attempt_id);
}

static void
finish_granted (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  own_key_t *own = g_hash_table_lookup (coordinator->own_keys, operation->key);

  own->state = OWN_KEY_GRANTED;
  own->operation = NULL;
  own->start_deadline_ms = operation->attempt_started_ms + coordinator->limits.start_timeout_ms;
  attempt_finish (coordinator, operation, CLAIM_DONE_GRANTED, NULL, actions);
}

/* The claim is erased one tick after the result was reported, so that the caller
 * learns that the key is free before another host can start it. */
void
attempt_schedule_erase (operation_t *operation, int64_t now_ms)
{
  operation->kind = OPERATION_ERASE;
  wait_for_retry (operation, now_ms + ERASE_DELAY_MS);
}

static void
finish_confirmed (operation_t *operation, claim_time_t now, GPtrArray *actions)
{
  attempt_report_result (operation->user_data, CLAIM_DONE_FREE, NULL, actions);
  attempt_schedule_erase (operation, now.boot_ms);
}

void
attempt_finish_erase (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  send_erase (operation, coordinator->self, operation->attempt_id, actions);
  g_hash_table_remove (coordinator->own_keys, operation->key);
  g_hash_table_remove (coordinator->operations, &operation->attempt_id);
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
  g_autoptr (GPtrArray) holder_refs =
      g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  member_t *holder = operation->last_holder;

  if (holder != NULL)
    {
      g_ptr_array_add (holder_refs, member_ref (holder));
      result = operation->kind == OPERATION_CLAIM && operation->last_digest_differs
                   ? CLAIM_DONE_REUSED
                   : CLAIM_DONE_HELD;
    }
  else if (operation->any_uncertain)
    result = CLAIM_DONE_UNCERTAIN;
  attempt_finish (coordinator, operation, result, holder, actions);
}

/* --- queries to claimants --- */

claim_answer_result_t
attempt_own_answer (const claim_coordinator_t *coordinator, const char *key)
{
  const own_key_t *own = g_hash_table_lookup (coordinator->own_keys, key);

  if (own == NULL)
    return CLAIM_ANSWER_NOT_STARTED;
  return own->state == OWN_KEY_CLAIMING ? CLAIM_ANSWER_CLAIMING : CLAIM_ANSWER_HOLDING;
}

/* Answers for this host if a replica named it as a claimant.  If this operation
 * places claims, this host has not started the key, so its older claim is
 * stale. */
static void
answer_for_self (const claim_coordinator_t *coordinator,
                 const operation_t *operation,
                 queried_holder_t *queried)
{
  queried->answered = true;
  queried->holder.attempt = operation->attempt_id;
  queried->result = places_claims (operation) ? CLAIM_ANSWER_NOT_STARTED
                                              : attempt_own_answer (coordinator, operation->key);
}

void
attempt_query_holders (claim_coordinator_t *coordinator,
                       operation_t *operation,
                       claim_time_t now,
                       GPtrArray *actions)
{
  operation->state = OPERATION_QUERYING;
  operation->query_deadline_ms = now.boot_ms + QUERY_TIMEOUT_MS;
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      queried_holder_t *queried = &operation->holders[i];
      if (member_equal (queried->holder.member, coordinator->self))
        {
          answer_for_self (coordinator, operation, queried);
          continue;
        }
      claim_msg_t *msg = claim_msg_new (CLAIM_MSG_QUERY);
      msg->u.query.request_id = operation->attempt_id;
      msg->u.query.incarnation = queried->holder.member->incarnation;
      msg->u.query.key = g_strdup (operation->key);
      claim_send (actions, queried->holder.member->id, msg);
    }
  attempt_evaluate_answers (coordinator, operation, now, actions);
}

static queried_holder_t *
find_queried_holder (operation_t *operation, bool answered, claim_answer_result_t result)
{
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      queried_holder_t *queried = &operation->holders[i];
      if (queried->answered == answered && (!answered || queried->result == result))
        return queried;
    }
  return NULL;
}

static void
send_erase_not_started (operation_t *operation, GPtrArray *actions)
{
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      const queried_holder_t *queried = &operation->holders[i];
      if (queried->answered && queried->result == CLAIM_ANSWER_NOT_STARTED)
        send_erase (operation, queried->holder.member, queried->holder.attempt, actions);
    }
  member_unref (operation->last_holder);
  operation->last_holder = NULL;
}

void
attempt_evaluate_answers (claim_coordinator_t *coordinator,
                          operation_t *operation,
                          claim_time_t now,
                          GPtrArray *actions)
{
  queried_holder_t *queried = find_queried_holder (operation, true, CLAIM_ANSWER_HOLDING);

  if (queried == NULL && find_queried_holder (operation, false, 0) != NULL
      && now.boot_ms < operation->query_deadline_ms)
    return;
  if (queried == NULL)
    queried = find_queried_holder (operation, true, CLAIM_ANSWER_UNAVAILABLE);
  if (queried == NULL)
    queried = find_queried_holder (operation, false, 0);
  if (queried == NULL && operation->kind == OPERATION_PROBE)
    queried = find_queried_holder (operation, true, CLAIM_ANSWER_CLAIMING);
  if (queried != NULL)
    {
      claim_holder_t holder = queried->holder;
      member_ref (holder.member);
      finish_held (coordinator, operation, &holder, actions);
      member_unref (holder.member);
      return;
    }
  bool claiming = find_queried_holder (operation, true, CLAIM_ANSWER_CLAIMING) != NULL;
  send_erase_not_started (operation, actions);
  if (!claiming)
    {
      attempt_begin (coordinator, operation, now, actions);
      return;
    }
  send_erase (operation, coordinator->self, operation->attempt_id, actions);
  wait_for_retry (operation, now.boot_ms
                                 + g_rand_int_range (coordinator->random, SPLIT_VOTE_BACKOFF_MIN_MS,
                                                     SPLIT_VOTE_BACKOFF_MAX_MS));
}

/* --- replies --- */

/* Too few replicas can still agree in this attempt. */
static void
on_no_quorum (claim_coordinator_t *coordinator,
              operation_t *operation,
              claim_time_t now,
              GPtrArray *actions)
{
  int32_t allowed_refusals = operation->replica_count - required_replies (coordinator, operation);

  if (operation->holder_count > 0)
    attempt_query_holders (coordinator, operation, now, actions);
  else if (operation_reply_count (operation, CLAIM_REPLY_UNCERTAIN) > allowed_refusals)
    attempt_finish (coordinator, operation, CLAIM_DONE_UNCERTAIN, NULL, actions);
  else
    wait_for_retry (operation, now.boot_ms + NOT_READY_RETRY_MS);
}

void
attempt_evaluate (claim_coordinator_t *coordinator,
                  operation_t *operation,
                  claim_time_t now,
                  GPtrArray *actions)
{
  bool is_claim = places_claims (operation);
  int32_t required = required_replies (coordinator, operation);
  int32_t agreeing =
      operation_reply_count (operation, is_claim ? CLAIM_REPLY_GRANTED : CLAIM_REPLY_FREE);

  if (agreeing >= required && operation->kind == OPERATION_CLAIM)
    finish_granted (coordinator, operation, actions);
  else if (agreeing >= required && is_claim)
    finish_confirmed (operation, now, actions);
  else if (agreeing >= required)
    attempt_finish (coordinator, operation, CLAIM_DONE_FREE, NULL, actions);
  else if (operation_reply_count (operation, CLAIM_REPLY_EXPIRED) > 0)
    attempt_finish (coordinator, operation, CLAIM_DONE_EXPIRED, NULL, actions);
  else if (agreeing + operation_outstanding_count (operation) < required)
    on_no_quorum (coordinator, operation, now, actions);
  else if (!is_claim && operation->holder_count > 0)
    attempt_query_holders (coordinator, operation, now, actions);
  else
    ask_quorum (coordinator, operation, actions);
}
