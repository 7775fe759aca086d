/* coordinator.c -- claims one host's keys at the replicas of any data centre
 *
 * Invariants:
 * - a key counts as granted only if a majority of its replicas in one view has
 *   granted it under the same attempt;
 * - a key that this host has started stays in the table of own keys until no
 *   replica would grant it any more, so that the answer "not started" to a query
 *   is always true;
 * - an abandoned attempt is never granted later, because its replies no longer
 *   match an operation.
 */
#include "claim/attempt.h"

#include <string.h>

/* The third replica is asked if the first two have not decided the operation
 * after this time. */
#define THIRD_REPLICA_DELAY_MS 25
/* Time after which an undecided attempt queries the claimants named so far or, if
 * there are none, is replaced by a new attempt. */
#define ATTEMPT_TIMEOUT_MS 300
/* An operation that has received no reply after this time ends as unreachable. */
#define NO_REPLY_TIMEOUT_MS 1000
/* Interval between scans for expired own keys. */
#define EXPIRY_SCAN_INTERVAL_MS 10000

static void
own_key_free (own_key_t *own)
{
  g_free (own->home);
  g_free (own);
}

claim_coordinator_t *
claim_coordinator_new (member_t *self,
                       const claim_rules_t *rules,
                       const claim_limits_t *limits,
                       claim_find_view_t find_view,
                       void *data,
                       uint32_t seed)
{
  claim_coordinator_t *coordinator = g_new0 (claim_coordinator_t, 1);

  coordinator->self = member_ref (self);
  coordinator->rules = *rules;
  coordinator->limits = *limits;
  coordinator->find_view = find_view;
  coordinator->find_view_data = data;
  coordinator->random = g_rand_new_with_seed (seed);
  coordinator->operations =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, (GDestroyNotify) operation_free);
  coordinator->own_keys =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) own_key_free);
  return coordinator;
}

void
claim_coordinator_free (claim_coordinator_t *coordinator)
{
  g_hash_table_unref (coordinator->operations);
  g_hash_table_unref (coordinator->own_keys);
  g_rand_free (coordinator->random);
  member_unref (coordinator->self);
  g_free (coordinator);
}

static void
on_reply (claim_coordinator_t *coordinator,
          const member_t *from,
          const claim_reply_t *reply,
          claim_time_t now,
          GPtrArray *actions)
{
  if (reply->incarnation != coordinator->self->incarnation)
    return;
  operation_t *operation = g_hash_table_lookup (coordinator->operations, &reply->request_id);
  if (operation != NULL && operation_record_reply (operation, reply, from, coordinator->self))
    attempt_evaluate (coordinator, operation, now, actions);
}

static void
on_query (const claim_coordinator_t *coordinator,
          const member_t *from,
          const claim_query_t *query,
          GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_ANSWER);
  claim_answer_t *answer = &msg->u.answer;

  answer->request_id = query->request_id;
  answer->incarnation = from->incarnation;
  answer->attempt = coordinator->last_attempt_id;
  answer->result = CLAIM_ANSWER_UNAVAILABLE;
  if (query->incarnation == coordinator->self->incarnation)
    answer->result = attempt_own_answer (coordinator, query->key);
  claim_send (actions, from->id, msg);
}

static void
on_answer (claim_coordinator_t *coordinator,
           const member_t *from,
           const claim_answer_t *answer,
           claim_time_t now,
           GPtrArray *actions)
{
  operation_t *operation = g_hash_table_lookup (coordinator->operations, &answer->request_id);

  if (answer->incarnation != coordinator->self->incarnation || operation == NULL
      || operation->state != OPERATION_QUERYING)
    return;
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      queried_holder_t *queried = &operation->holders[i];
      if (queried->answered || strcmp (queried->holder.member->id, from->id) != 0)
        continue;
      bool same = member_equal (queried->holder.member, from);
      queried->answered = true;
      queried->result = same ? answer->result : CLAIM_ANSWER_UNAVAILABLE;
      queried->holder.attempt = answer->attempt;
    }
  attempt_evaluate_answers (coordinator, operation, now, actions);
}

static void
on_message (claim_coordinator_t *coordinator,
            const member_t *from,
            const claim_msg_t *msg,
            claim_time_t now,
            GPtrArray *actions)
{
  if (msg->type == CLAIM_MSG_REPLY)
    on_reply (coordinator, from, &msg->u.reply, now, actions);
  else if (msg->type == CLAIM_MSG_QUERY)
    on_query (coordinator, from, &msg->u.query, actions);
  else if (msg->type == CLAIM_MSG_ANSWER)
    on_answer (coordinator, from, &msg->u.answer, now, actions);
}

/* --- requests --- */

static void
begin_operation (claim_coordinator_t *coordinator,
                 operation_t *operation,
                 const coordinator_event_t *event,
                 claim_time_t now,
                 GPtrArray *actions)
{
  operation->user_data = event->user_data;
  operation->started_ms = now.boot_ms;
  operation->deadline_ms = event->deadline_ms;
  operation->attempt_id = ++coordinator->last_attempt_id;
  g_hash_table_insert (coordinator->operations, &operation->attempt_id, operation);
  attempt_begin (coordinator, operation, now, actions);
}

/* Own keys must be kept longer than any replica keeps them, whatever the clock
 * differences within the skew limit. */
static int64_t
own_key_expiry_ms (const claim_coordinator_t *coordinator, int64_t issued_at_ms, claim_time_t now)
{
  const claim_limits_t *limits = &coordinator->limits;
  int64_t left_ms = issued_at_ms + limits->key_window_ms - now.wall_ms;

  return now.boot_ms + MAX (left_ms, 0) + 2 * limits->start_timeout_ms + 4 * limits->clock_skew_ms;
}

static own_key_t *
own_key_add (claim_coordinator_t *coordinator, const coordinator_event_t *event, claim_time_t now)
{
  own_key_t *own = g_new0 (own_key_t, 1);

  own->digest = event->digest;
  own->issued_at_ms = event->issued_at_ms;
  own->home = g_strdup (event->home);
  own->expires_at_ms = own_key_expiry_ms (coordinator, event->issued_at_ms, now);
  g_hash_table_insert (coordinator->own_keys, g_strdup (event->key), own);
  return own;
}

/* Ends an operation of this host on KEY that would block a new one: an
 * OPERATION_ERASE always, an OPERATION_CONFIRM if PREEMPT. */
static void
clear_own_operation (claim_coordinator_t *coordinator,
                     const char *key,
                     bool preempt,
                     GPtrArray *actions)
{
  own_key_t *own = g_hash_table_lookup (coordinator->own_keys, key);

  if (own == NULL || own->operation == NULL)
    return;
  if (own->operation->kind == OPERATION_ERASE)
    attempt_finish_erase (coordinator, own->operation, actions);
  else if (own->operation->kind == OPERATION_CONFIRM && preempt)
    attempt_finish (coordinator, own->operation, CLAIM_DONE_HELD, coordinator->self, actions);
}

static void
on_claim (claim_coordinator_t *coordinator,
          const coordinator_event_t *event,
          claim_time_t now,
          GPtrArray *actions)
{
  bool is_claim = event->kind == COORDINATOR_CLAIM;

  clear_own_operation (coordinator, event->key, is_claim, actions);
  own_key_t *own = g_hash_table_lookup (coordinator->own_keys, event->key);
  if (own != NULL)
    {
      bool same = !is_claim || memcmp (&own->digest, &event->digest, sizeof (own->digest)) == 0;
      attempt_report_result (event->user_data, same ? CLAIM_DONE_HELD : CLAIM_DONE_REUSED,
                             coordinator->self, actions);
      return;
    }
  own = own_key_add (coordinator, event, now);
  operation_t *operation =
      operation_new (is_claim ? OPERATION_CLAIM : OPERATION_CONFIRM, event->key, event->home);
  own->operation = operation;
  operation->digest = event->digest;
  operation->issued_at_ms = event->issued_at_ms;
  begin_operation (coordinator, operation, event, now, actions);
}

static void
on_probe (claim_coordinator_t *coordinator,
          const coordinator_event_t *event,
          claim_time_t now,
          GPtrArray *actions)
{
  clear_own_operation (coordinator, event->key, false, actions);
  if (g_hash_table_contains (coordinator->own_keys, event->key))
    {
      attempt_report_result (event->user_data, CLAIM_DONE_HELD, coordinator->self, actions);
      return;
    }
  operation_t *operation = operation_new (OPERATION_PROBE, event->key, event->home);
  operation->issued_at_ms = event->issued_at_ms;
  begin_operation (coordinator, operation, event, now, actions);
}

/* A granted key is reported as free: this host has held it until now, so no other
 * host has started it. */
static void
on_release (claim_coordinator_t *coordinator,
            const coordinator_event_t *event,
            claim_time_t now,
            GPtrArray *actions)
{
  own_key_t *own = g_hash_table_lookup (coordinator->own_keys, event->key);

  if (own == NULL || own->state == OWN_KEY_CLAIMING)
    {
      attempt_report_result (event->user_data, CLAIM_DONE_UNREACHABLE, NULL, actions);
      return;
    }
  if (own->state == OWN_KEY_STARTED)
    {
      attempt_report_result (event->user_data, CLAIM_DONE_HELD, coordinator->self, actions);
      return;
    }
  operation_t *operation = operation_new (OPERATION_ERASE, event->key, own->home);
  view_t *view = coordinator->find_view (own->home, coordinator->find_view_data);
  operation_restart (operation, ++coordinator->last_attempt_id, view, now.boot_ms);
  g_hash_table_insert (coordinator->operations, &operation->attempt_id, operation);
  own->state = OWN_KEY_CLAIMING;
  own->operation = operation;
  attempt_schedule_erase (operation, now.boot_ms);
  attempt_report_result (event->user_data, CLAIM_DONE_FREE, NULL, actions);
}

static void
on_replica_send_failed (claim_coordinator_t *coordinator,
                        uint64_t id,
                        const char *host,
                        claim_time_t now,
                        GPtrArray *actions)
{
  operation_t *operation = g_hash_table_lookup (coordinator->operations, &id);

  if (operation == NULL || operation->state != OPERATION_ASKING)
    return;
  for (int32_t i = 0; i < operation->replica_count; i++)
    if (!operation->replicas[i].replied && strcmp (attempt_replica_host (operation, i), host) == 0)
      operation->replicas[i].failed = true;
  attempt_evaluate (coordinator, operation, now, actions);
}

/* A claimant that is not connected cannot confirm that it has not started the
 * key. */
static void
on_holder_send_failed (claim_coordinator_t *coordinator,
                       uint64_t id,
                       const char *host,
                       claim_time_t now,
                       GPtrArray *actions)
{
  operation_t *operation = g_hash_table_lookup (coordinator->operations, &id);

  if (operation == NULL || operation->state != OPERATION_QUERYING)
    return;
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      queried_holder_t *queried = &operation->holders[i];
      if (queried->answered || strcmp (queried->holder.member->id, host) != 0)
        continue;
      queried->answered = true;
      queried->result = CLAIM_ANSWER_UNAVAILABLE;
    }
  attempt_evaluate_answers (coordinator, operation, now, actions);
}

static void
on_send_failed (claim_coordinator_t *coordinator,
                const coordinator_event_t *event,
                claim_time_t now,
                GPtrArray *actions)
{
  const claim_msg_t *msg = event->msg;

  if (msg->type == CLAIM_MSG_CLAIM)
    on_replica_send_failed (coordinator, msg->u.claim.attempt, event->to, now, actions);
  else if (msg->type == CLAIM_MSG_PROBE)
    on_replica_send_failed (coordinator, msg->u.probe.request_id, event->to, now, actions);
  else if (msg->type == CLAIM_MSG_QUERY)
    on_holder_send_failed (coordinator, msg->u.query.request_id, event->to, now, actions);
}

static void
tick_asking (claim_coordinator_t *coordinator,
             operation_t *operation,
             claim_time_t now,
             GPtrArray *actions)
{
  int64_t elapsed_ms = now.boot_ms - operation->attempt_started_ms;

  if (elapsed_ms >= ATTEMPT_TIMEOUT_MS && operation->holder_count > 0)
    {
      attempt_query_holders (coordinator, operation, now, actions);
      return;
    }
  if (elapsed_ms >= ATTEMPT_TIMEOUT_MS)
    {
      attempt_begin (coordinator, operation, now, actions);
      return;
    }
  asked_replica_t *next = operation_next_replica (operation);
  if (elapsed_ms >= THIRD_REPLICA_DELAY_MS && next != NULL && coordinator->rules.require_majority)
    attempt_ask_replica (operation, next, actions);
}

static void
tick_operation (claim_coordinator_t *coordinator,
                operation_t *operation,
                claim_time_t now,
                GPtrArray *actions)
{
  bool no_reply =
      !operation->any_reply && now.boot_ms >= operation->started_ms + NO_REPLY_TIMEOUT_MS;

  if (operation->kind == OPERATION_ERASE)
    {
      if (now.boot_ms >= operation->retry_at_ms)
        attempt_finish_erase (coordinator, operation, actions);
    }
  else if (now.boot_ms >= operation->deadline_ms || no_reply)
    attempt_give_up (coordinator, operation, actions);
  else if (operation->state == OPERATION_ASKING)
    tick_asking (coordinator, operation, now, actions);
  else if (operation->state == OPERATION_QUERYING)
    attempt_evaluate_answers (coordinator, operation, now, actions);
  else if (now.boot_ms >= operation->retry_at_ms)
    attempt_begin (coordinator, operation, now, actions);
}

static gboolean
own_key_is_expired (gpointer key, gpointer value, gpointer now_ms)
{
  const own_key_t *own = value;
  (void) key;
  return own->state != OWN_KEY_CLAIMING && own->expires_at_ms < *(int64_t *) now_ms;
}

static void
on_tick (claim_coordinator_t *coordinator, claim_time_t now, GPtrArray *actions)
{
  g_autoptr (GList) all = g_hash_table_get_values (coordinator->operations);

  for (GList *item = all; item != NULL; item = item->next)
    tick_operation (coordinator, item->data, now, actions);
  if (now.boot_ms < coordinator->next_expiry_scan_ms)
    return;
  coordinator->next_expiry_scan_ms = now.boot_ms + EXPIRY_SCAN_INTERVAL_MS;
  g_hash_table_foreach_remove (coordinator->own_keys, own_key_is_expired, &now.boot_ms);
}

void
claim_coordinator_step (claim_coordinator_t *coordinator,
                        const coordinator_event_t *event,
                        claim_time_t now,
                        GPtrArray *actions)
{
  own_key_t *own = NULL;

  switch (event->kind)
    {
    case COORDINATOR_CLAIM:
    case COORDINATOR_CONFIRM:
      on_claim (coordinator, event, now, actions);
      break;
    case COORDINATOR_PROBE:
      on_probe (coordinator, event, now, actions);
      break;
    case COORDINATOR_RELEASE:
      on_release (coordinator, event, now, actions);
      break;
    case COORDINATOR_STARTED:
      own = g_hash_table_lookup (coordinator->own_keys, event->key);
      if (own != NULL)
        own->state = OWN_KEY_STARTED;
      break;
    case COORDINATOR_MESSAGE:
      on_message (coordinator, event->from, event->msg, now, actions);
      break;
    case COORDINATOR_SEND_FAILED:
      on_send_failed (coordinator, event, now, actions);
      break;
    case COORDINATOR_TICK:
      on_tick (coordinator, now, actions);
      break;
    }
}

bool
claim_coordinator_may_start (const claim_coordinator_t *coordinator,
                             const char *key,
                             int64_t now_ms)
{
  const own_key_t *own = g_hash_table_lookup (coordinator->own_keys, key);

  if (own == NULL || own->state == OWN_KEY_CLAIMING)
    return false;
  return own->state == OWN_KEY_STARTED || now_ms < own->start_deadline_ms
         || !coordinator->rules.start_deadline;
}

int32_t
claim_coordinator_operation_count (const claim_coordinator_t *coordinator)
{
  return (int32_t) g_hash_table_size (coordinator->operations);
}

int32_t
claim_coordinator_own_key_count (const claim_coordinator_t *coordinator)
{
  return (int32_t) g_hash_table_size (coordinator->own_keys);
}
