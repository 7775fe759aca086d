/* coordinator.c -- claims of one host on keys of any data centre
 *
 * Invariants:
 * - a key is granted to this host only by a majority of its replicas in one
 *   view, all under one attempt;
 * - a key that this host has started stays in the table of own keys until no
 *   replica would grant it any more, so that "never started" is true;
 * - an attempt that has been given up is never granted later: its replies find
 *   no operation.
 */
#include "claim/coordinator.h"
#include "claim/operation.h"

#include <string.h>

/* The third replica is asked if the first two have not settled it by then. */
#define THIRD_AFTER_MS 25
/* An attempt that has not ended is made again. */
#define ATTEMPT_MS 300
/* Wait before a new attempt when replicas are not ready. */
#define NOT_READY_WAIT_MS 50
/* Two coordinators that split the votes wait a random time in these bounds. */
#define SPLIT_WAIT_MIN_MS 10
#define SPLIT_WAIT_MAX_MS 150
/* A claimant that has not answered by then counts as silent. */
#define QUERY_MS 300
/* Without any reply by then, the home counts as unreachable. */
#define SILENCE_MS 1000
/* A key that was confirmed or released is given back after this time. */
#define ERASE_AFTER_MS 1
/* Own keys are looked through for forgotten ones this often. */
#define FORGET_EVERY_MS 10000

typedef enum
{
  OWN_CLAIMING, /* by the operation, which may also be confirming or erasing */
  OWN_GRANTED,
  OWN_STARTED
} own_state_t;

/* A key that this host claims, may start or has started. */
typedef struct
{
  own_state_t state;
  operation_t *operation; /* OWN_CLAIMING */
  hash_digest_t digest;
  int64_t issued_at_ms;
  int64_t start_before_ms; /* boot clock */
  int64_t forget_at_ms;    /* boot clock */
  char *home;
} own_t;

struct claim_coordinator_t
{
  member_t *self;
  claim_rules_t rules;
  claim_limits_t limits;
  claim_view_of_t view_of;
  void *view_data;
  GRand *random;
  uint64_t last_id;
  GHashTable *operations; /* &id -> operation_t */
  GHashTable *own;        /* key -> own_t */
  int64_t next_forget_ms;
};

static void
own_free (own_t *own)
{
  g_free (own->home);
  g_free (own);
}

claim_coordinator_t *
claim_coordinator_new (member_t *self,
                       const claim_rules_t *rules,
                       const claim_limits_t *limits,
                       claim_view_of_t view_of,
                       void *data,
                       uint32_t seed)
{
  claim_coordinator_t *coordinator = g_new0 (claim_coordinator_t, 1);

  coordinator->self = member_ref (self);
  coordinator->rules = *rules;
  coordinator->limits = *limits;
  coordinator->view_of = view_of;
  coordinator->view_data = data;
  coordinator->random = g_rand_new_with_seed (seed);
  coordinator->operations =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, (GDestroyNotify) operation_free);
  coordinator->own =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) own_free);
  return coordinator;
}

void
claim_coordinator_free (claim_coordinator_t *coordinator)
{
  g_hash_table_unref (coordinator->operations);
  g_hash_table_unref (coordinator->own);
  g_rand_free (coordinator->random);
  member_unref (coordinator->self);
  g_free (coordinator);
}

static void
done (void *user, claim_done_result_t result, member_t *holder, GPtrArray *actions)
{
  claim_action_t *action = g_new0 (claim_action_t, 1);

  action->kind = CLAIM_ACTION_DONE;
  action->result = result;
  action->holder = holder != NULL ? member_ref (holder) : NULL;
  action->user = user;
  g_ptr_array_add (actions, action);
}

/* --- messages to replicas -------------------------------------------------- */

static const char *
replica_host (const operation_t *operation, int32_t index)
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
      claim_send (actions, replica_host (operation, i), msg);
    }
}

/* True if OPERATION places claims at the replicas. */
static bool
claims (const operation_t *operation)
{
  return operation->kind != OPERATION_PROBE;
}

static void
ask (operation_t *operation, asked_replica_t *replica, GPtrArray *actions)
{
  int32_t index = (int32_t) (replica - operation->replicas);
  claim_msg_t *msg = NULL;

  replica->asked = true;
  if (claims (operation))
    msg = claim_message (operation);
  else
    msg = probe_message (operation, operation->id);
  claim_send (actions, replica_host (operation, index), msg);
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
      ask (operation, next, actions);
      hopeful++;
    }
}

static void
attempt (claim_coordinator_t *coordinator,
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
static void
finish (claim_coordinator_t *coordinator,
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
  done (operation->user, result, holder, actions);
  g_hash_table_remove (coordinator->operations, &operation->id);
}

static void
finish_granted (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
{
  own_t *own = g_hash_table_lookup (coordinator->own, operation->key);

  own->state = OWN_GRANTED;
  own->operation = NULL;
  own->start_before_ms = operation->attempt_ms + coordinator->limits.start_within_ms;
  finish (coordinator, operation, CLAIM_DONE_GRANTED, NULL, actions);
}

/* Gives the claim back one tick after the action, so that whoever is told that
 * the key is free has been told before another host can start it. */
static void
erase_later (operation_t *operation, int64_t now_ms)
{
  operation->kind = OPERATION_ERASE;
  wait_until (operation, now_ms + ERASE_AFTER_MS);
}

static void
finish_confirmed (operation_t *operation, claim_time_t now, GPtrArray *actions)
{
  done (operation->user, CLAIM_DONE_FREE, NULL, actions);
  erase_later (operation, now.boot_ms);
}

/* Ends an OPERATION_ERASE, which is freed. */
static void
finish_erase (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
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

  finish (coordinator, operation, same ? CLAIM_DONE_HELD : CLAIM_DONE_REUSED, holder->member,
          actions);
}

static void
give_up (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions)
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
  finish (coordinator, operation, result, holder, actions);
}

/* --- claimants that replicas named ------------------------------------------ */

static claim_answer_result_t
own_answer (const claim_coordinator_t *coordinator, const char *key)
{
  const own_t *own = g_hash_table_lookup (coordinator->own, key);

  if (own == NULL)
    return CLAIM_ANSWER_NEVER;
  return own->state == OWN_CLAIMING ? CLAIM_ANSWER_BUSY : CLAIM_ANSWER_HOLDING;
}

static void resolve (claim_coordinator_t *coordinator,
                     operation_t *operation,
                     claim_time_t now,
                     GPtrArray *actions);

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
      claims (operation) ? CLAIM_ANSWER_NEVER : own_answer (coordinator, operation->key);
}

static void
query (claim_coordinator_t *coordinator,
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
  resolve (coordinator, operation, now, actions);
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
static void
resolve (claim_coordinator_t *coordinator,
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
      attempt (coordinator, operation, now, actions);
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
    query (coordinator, operation, now, actions);
  else if (operation_count (operation, CLAIM_REPLY_UNCERTAIN) > spare)
    finish (coordinator, operation, CLAIM_DONE_UNCERTAIN, NULL, actions);
  else
    wait_until (operation, now.boot_ms + NOT_READY_WAIT_MS);
}

static void
evaluate (claim_coordinator_t *coordinator,
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
    finish (coordinator, operation, CLAIM_DONE_FREE, NULL, actions);
  else if (operation_count (operation, CLAIM_REPLY_EXPIRED) > 0)
    finish (coordinator, operation, CLAIM_DONE_EXPIRED, NULL, actions);
  else if (good + operation_outstanding (operation) < need)
    blocked (coordinator, operation, now, actions);
  else if (!is_claim && operation->holder_count > 0)
    query (coordinator, operation, now, actions);
  else
    ask_enough (coordinator, operation, actions);
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
  operation_t *operation = g_hash_table_lookup (coordinator->operations, &reply->op);
  if (operation != NULL && operation_reply (operation, reply, from, coordinator->self))
    evaluate (coordinator, operation, now, actions);
}

static void
on_query (const claim_coordinator_t *coordinator,
          const member_t *from,
          const claim_query_t *asked,
          GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_ANSWER);
  claim_answer_t *answer = &msg->u.answer;

  answer->op = asked->op;
  answer->incarnation = from->incarnation;
  answer->attempt = coordinator->last_id;
  answer->result = CLAIM_ANSWER_GONE;
  if (asked->incarnation == coordinator->self->incarnation)
    answer->result = own_answer (coordinator, asked->key);
  claim_send (actions, from->id, msg);
}

static void
on_answer (claim_coordinator_t *coordinator,
           const member_t *from,
           const claim_answer_t *answer,
           claim_time_t now,
           GPtrArray *actions)
{
  operation_t *operation = g_hash_table_lookup (coordinator->operations, &answer->op);

  if (answer->incarnation != coordinator->self->incarnation || operation == NULL
      || operation->state != OPERATION_QUERYING)
    return;
  for (int32_t i = 0; i < operation->holder_count; i++)
    {
      asked_holder_t *asked = &operation->holders[i];
      if (asked->answered || strcmp (asked->holder.member->id, from->id) != 0)
        continue;
      bool same = member_equal (asked->holder.member, from);
      asked->answered = true;
      asked->result = same ? answer->result : CLAIM_ANSWER_GONE;
      asked->holder.attempt = answer->attempt;
    }
  resolve (coordinator, operation, now, actions);
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

/* --- requests ----------------------------------------------------------------- */

static void
begin (claim_coordinator_t *coordinator,
       operation_t *operation,
       const coordinator_event_t *event,
       claim_time_t now,
       GPtrArray *actions)
{
  operation->user = event->user;
  operation->started_ms = now.boot_ms;
  operation->give_up_ms = event->give_up_ms;
  operation->id = ++coordinator->last_id;
  g_hash_table_insert (coordinator->operations, &operation->id, operation);
  attempt (coordinator, operation, now, actions);
}

/* Own keys outlive every replica's memory of them, on any clock. */
static int64_t
forget_at_ms (const claim_coordinator_t *coordinator, int64_t issued_at_ms, claim_time_t now)
{
  const claim_limits_t *limits = &coordinator->limits;
  int64_t left_ms = issued_at_ms + limits->window_ms - now.wall_ms;

  return now.boot_ms + MAX (left_ms, 0) + 2 * limits->start_within_ms + 4 * limits->skew_ms;
}

static own_t *
own_add (claim_coordinator_t *coordinator, const coordinator_event_t *event, claim_time_t now)
{
  own_t *own = g_new0 (own_t, 1);

  own->digest = event->digest;
  own->issued_at_ms = event->issued_at_ms;
  own->home = g_strdup (event->home);
  own->forget_at_ms = forget_at_ms (coordinator, event->issued_at_ms, now);
  g_hash_table_insert (coordinator->own, g_strdup (event->key), own);
  return own;
}

/* Ends what stands in the way of a new operation on a key of this host: an
 * erasure, or a confirmation if PREEMPT. */
static void
clear_own (claim_coordinator_t *coordinator, const char *key, bool preempt, GPtrArray *actions)
{
  own_t *own = g_hash_table_lookup (coordinator->own, key);

  if (own == NULL || own->operation == NULL)
    return;
  if (own->operation->kind == OPERATION_ERASE)
    finish_erase (coordinator, own->operation, actions);
  else if (own->operation->kind == OPERATION_CONFIRM && preempt)
    finish (coordinator, own->operation, CLAIM_DONE_HELD, coordinator->self, actions);
}

static void
on_claim (claim_coordinator_t *coordinator,
          const coordinator_event_t *event,
          claim_time_t now,
          GPtrArray *actions)
{
  bool is_claim = event->kind == COORDINATOR_CLAIM;

  clear_own (coordinator, event->key, is_claim, actions);
  own_t *own = g_hash_table_lookup (coordinator->own, event->key);
  if (own != NULL)
    {
      bool same = !is_claim || memcmp (&own->digest, &event->digest, sizeof (own->digest)) == 0;
      done (event->user, same ? CLAIM_DONE_HELD : CLAIM_DONE_REUSED, coordinator->self, actions);
      return;
    }
  own = own_add (coordinator, event, now);
  operation_t *operation =
      operation_new (is_claim ? OPERATION_CLAIM : OPERATION_CONFIRM, event->key, event->home);
  own->operation = operation;
  operation->digest = event->digest;
  operation->issued_at_ms = event->issued_at_ms;
  begin (coordinator, operation, event, now, actions);
}

static void
on_probe (claim_coordinator_t *coordinator,
          const coordinator_event_t *event,
          claim_time_t now,
          GPtrArray *actions)
{
  clear_own (coordinator, event->key, false, actions);
  if (g_hash_table_contains (coordinator->own, event->key))
    {
      done (event->user, CLAIM_DONE_HELD, coordinator->self, actions);
      return;
    }
  operation_t *operation = operation_new (OPERATION_PROBE, event->key, event->home);
  operation->issued_at_ms = event->issued_at_ms;
  begin (coordinator, operation, event, now, actions);
}

/* The host holds the key up to here, so nobody else has started it. */
static void
on_release (claim_coordinator_t *coordinator,
            const coordinator_event_t *event,
            claim_time_t now,
            GPtrArray *actions)
{
  own_t *own = g_hash_table_lookup (coordinator->own, event->key);

  if (own == NULL || own->state == OWN_CLAIMING)
    {
      done (event->user, CLAIM_DONE_UNREACHABLE, NULL, actions);
      return;
    }
  if (own->state == OWN_STARTED)
    {
      done (event->user, CLAIM_DONE_HELD, coordinator->self, actions);
      return;
    }
  operation_t *operation = operation_new (OPERATION_ERASE, event->key, own->home);
  view_t *view = coordinator->view_of (own->home, coordinator->view_data);
  operation_restart (operation, ++coordinator->last_id, view, now.boot_ms);
  g_hash_table_insert (coordinator->operations, &operation->id, operation);
  own->state = OWN_CLAIMING;
  own->operation = operation;
  erase_later (operation, now.boot_ms);
  done (event->user, CLAIM_DONE_FREE, NULL, actions);
}

static void
unreached_replica (claim_coordinator_t *coordinator,
                   uint64_t id,
                   const char *host,
                   claim_time_t now,
                   GPtrArray *actions)
{
  operation_t *operation = g_hash_table_lookup (coordinator->operations, &id);

  if (operation == NULL || operation->state != OPERATION_ASKING)
    return;
  for (int32_t i = 0; i < operation->replica_count; i++)
    if (!operation->replicas[i].replied && strcmp (replica_host (operation, i), host) == 0)
      operation->replicas[i].failed = true;
  evaluate (coordinator, operation, now, actions);
}

/* A claimant that is not connected cannot say that it never started. */
static void
unreached_holder (claim_coordinator_t *coordinator,
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
      asked_holder_t *asked = &operation->holders[i];
      if (asked->answered || strcmp (asked->holder.member->id, host) != 0)
        continue;
      asked->answered = true;
      asked->result = CLAIM_ANSWER_GONE;
    }
  resolve (coordinator, operation, now, actions);
}

static void
on_unreached (claim_coordinator_t *coordinator,
              const coordinator_event_t *event,
              claim_time_t now,
              GPtrArray *actions)
{
  const claim_msg_t *msg = event->msg;

  if (msg->type == CLAIM_MSG_CLAIM)
    unreached_replica (coordinator, msg->u.claim.attempt, event->to, now, actions);
  else if (msg->type == CLAIM_MSG_PROBE)
    unreached_replica (coordinator, msg->u.probe.op, event->to, now, actions);
  else if (msg->type == CLAIM_MSG_QUERY)
    unreached_holder (coordinator, msg->u.query.op, event->to, now, actions);
}

static void
tick_asking (claim_coordinator_t *coordinator,
             operation_t *operation,
             claim_time_t now,
             GPtrArray *actions)
{
  int64_t elapsed_ms = now.boot_ms - operation->attempt_ms;

  if (elapsed_ms >= ATTEMPT_MS && operation->holder_count > 0)
    {
      query (coordinator, operation, now, actions);
      return;
    }
  if (elapsed_ms >= ATTEMPT_MS)
    {
      attempt (coordinator, operation, now, actions);
      return;
    }
  asked_replica_t *next = operation_next (operation);
  if (elapsed_ms >= THIRD_AFTER_MS && next != NULL && coordinator->rules.second_grant)
    ask (operation, next, actions);
}

static void
tick_operation (claim_coordinator_t *coordinator,
                operation_t *operation,
                claim_time_t now,
                GPtrArray *actions)
{
  bool silent = !operation->heard && now.boot_ms >= operation->started_ms + SILENCE_MS;

  if (operation->kind == OPERATION_ERASE)
    {
      if (now.boot_ms >= operation->again_ms)
        finish_erase (coordinator, operation, actions);
    }
  else if (now.boot_ms >= operation->give_up_ms || silent)
    give_up (coordinator, operation, actions);
  else if (operation->state == OPERATION_ASKING)
    tick_asking (coordinator, operation, now, actions);
  else if (operation->state == OPERATION_QUERYING)
    resolve (coordinator, operation, now, actions);
  else if (now.boot_ms >= operation->again_ms)
    attempt (coordinator, operation, now, actions);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer now_ms)
{
  const own_t *own = value;
  (void) key;
  return own->state != OWN_CLAIMING && own->forget_at_ms < *(int64_t *) now_ms;
}

static void
on_tick (claim_coordinator_t *coordinator, claim_time_t now, GPtrArray *actions)
{
  g_autoptr (GList) all = g_hash_table_get_values (coordinator->operations);

  for (GList *item = all; item != NULL; item = item->next)
    tick_operation (coordinator, item->data, now, actions);
  if (now.boot_ms < coordinator->next_forget_ms)
    return;
  coordinator->next_forget_ms = now.boot_ms + FORGET_EVERY_MS;
  g_hash_table_foreach_remove (coordinator->own, is_forgotten, &now.boot_ms);
}

void
claim_coordinator_step (claim_coordinator_t *coordinator,
                        const coordinator_event_t *event,
                        claim_time_t now,
                        GPtrArray *actions)
{
  own_t *own = NULL;

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
      own = g_hash_table_lookup (coordinator->own, event->key);
      if (own != NULL)
        own->state = OWN_STARTED;
      break;
    case COORDINATOR_MESSAGE:
      on_message (coordinator, event->from, event->msg, now, actions);
      break;
    case COORDINATOR_UNREACHED:
      on_unreached (coordinator, event, now, actions);
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
  const own_t *own = g_hash_table_lookup (coordinator->own, key);

  if (own == NULL || own->state == OWN_CLAIMING)
    return false;
  return own->state == OWN_STARTED || now_ms < own->start_before_ms
         || !coordinator->rules.start_deadline;
}

int32_t
claim_coordinator_pending (const claim_coordinator_t *coordinator)
{
  return (int32_t) g_hash_table_size (coordinator->operations);
}

int32_t
claim_coordinator_own (const claim_coordinator_t *coordinator)
{
  return (int32_t) g_hash_table_size (coordinator->own);
}
