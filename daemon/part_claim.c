/* part_claim.c -- runs the replica and the coordinator of idempotency keys, see lib/claim */
#include "daemon/part_claim.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "claim/coordinator.h"
#include "claim/replica.h"
#include "daemon/part_view.h"
#include "settings/settings.h"

#include <string.h>

/* How long a draining replica waits for other replicas to pull its keys, once it knows of
 * a view without it. */
#define HANDOVER_TIMEOUT_MS 3000
/* How long draining this part may take in total. */
#define LEAVE_TIMEOUT_MS 9000

typedef struct
{
  part_t part;
  part_t *view;
  claim_replica_t *replica;
  claim_coordinator_t *coordinator;
  GHashTable *members_by_host; /* host id -> member_t; hosts that have sent frames */
  int64_t drain_started_at_ms; /* 0 while not draining */
  int64_t left_view_at_ms;     /* when a draining host first saw a view without it; 0 before */
  counter_t *messages;
  counter_t *bytes;
  counter_t *results[CLAIM_DONE_EXPIRED + 1];
  counter_t *keys;
  counter_t *own_keys;
  counter_t *contested;
  counter_t *losses;
} part_claim_t;

/* A request to the coordinator that has not been answered. */
typedef struct
{
  claim_done_t done;
  void *data;
} pending_request_t;

/* Maps the results of lib/claim to those of part_claim.h and to the labels of the metric. */
static const struct
{
  claim_result_t result;
  const char *label;
} result_map[] = {
  [CLAIM_DONE_GRANTED] = { CLAIM_GRANTED, "result=\"granted\"" },
  [CLAIM_DONE_HELD] = { CLAIM_HELD, "result=\"held\"" },
  [CLAIM_DONE_REUSED] = { CLAIM_REUSED, "result=\"reused\"" },
  [CLAIM_DONE_FREE] = { CLAIM_FREE, "result=\"free\"" },
  [CLAIM_DONE_UNCERTAIN] = { CLAIM_UNCERTAIN, "result=\"uncertain\"" },
  [CLAIM_DONE_UNREACHABLE] = { CLAIM_UNREACHABLE, "result=\"unreachable\"" },
  [CLAIM_DONE_EXPIRED] = { CLAIM_EXPIRED, "result=\"expired\"" },
};

static void coordinator_step (part_claim_t *claim, const coordinator_event_t *event);

static claim_time_t
time_now (const part_claim_t *claim)
{
  return (claim_time_t){ daemon_now_ms (claim->part.daemon), clock_wall_ms () };
}

static void
send_message (part_claim_t *claim, const char *to, const claim_msg_t *msg)
{
  GBytes *frame = claim_msg_encode (msg);

  counter_add (claim->messages, 1);
  counter_add (claim->bytes, (int64_t) g_bytes_get_size (frame));
  if (daemon_send (claim->part.daemon, to, frame) != 0)
    coordinator_step (
        claim, &(coordinator_event_t){ .kind = COORDINATOR_SEND_FAILED, .to = to, .msg = msg });
}

static void
report_result (part_claim_t *claim, const claim_action_t *action)
{
  pending_request_t *request = action->user_data;
  const member_t *holder = action->holder;
  claim_outcome_t outcome = { .result = result_map[action->result].result };

  counter_add (claim->results[action->result], 1);
  if (holder != NULL)
    {
      outcome.claimant = holder->id;
      outcome.claimant_address = holder->address;
      outcome.claimant_data_centre = holder->data_centre;
      outcome.claimant_incarnation = holder->incarnation;
    }
  if (request->done != NULL)
    request->done (&outcome, request->data);
  g_free (request);
}

static void
run_actions (part_claim_t *claim, const GPtrArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const claim_action_t *action = g_ptr_array_index (actions, i);
      switch (action->kind)
        {
        case CLAIM_ACTION_SEND:
          send_message (claim, action->to, action->msg);
          break;
        case CLAIM_ACTION_DONE:
          report_result (claim, action);
          break;
        case CLAIM_ACTION_SLOT_MOVED:
          log_info ("claim", "A slot was transferred to another host.", NULL);
          part_view_announce_slot_transfer (claim->view, action->view);
          break;
        }
    }
}

static void
coordinator_step (part_claim_t *claim, const coordinator_event_t *event)
{
  g_autoptr (GPtrArray) actions = claim_actions_new ();

  claim_coordinator_step (claim->coordinator, event, time_now (claim), actions);
  run_actions (claim, actions);
}

static void
replica_step (part_claim_t *claim, const replica_event_t *event)
{
  g_autoptr (GPtrArray) actions = claim_actions_new ();

  claim_replica_step (claim->replica, event, time_now (claim), actions);
  run_actions (claim, actions);
}

/* Returns HOST, the sender of a frame, as a member, or NULL if HOST is unknown. */
static member_t *
find_sender (part_claim_t *claim, const char *host)
{
  daemon_peer_t peer;
  member_t *member = g_hash_table_lookup (claim->members_by_host, host);

  if (strcmp (host, daemon_host_id (claim->part.daemon)) == 0)
    return part_view_self (claim->view);
  if (!daemon_find_peer (claim->part.daemon, host, &peer))
    return NULL;
  if (member != NULL && member->incarnation == peer.incarnation)
    return member;
  member = member_new (peer.host, peer.incarnation, peer.address, peer.data_centre);
  g_hash_table_replace (claim->members_by_host, g_strdup (host), member);
  return member;
}

static void
claim_frame (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  part_claim_t *claim = (part_claim_t *) part;
  member_t *sender = find_sender (claim, from);
  claim_msg_t *msg = claim_msg_decode (reader);

  (void) now_ms;
  if (sender == NULL || msg == NULL)
    log_warning ("claim", "Ignored a frame that is malformed or from an unknown host.", "from",
                 from, NULL);
  else
    {
      member_ref (sender);
      replica_step (claim,
                    &(replica_event_t){ .kind = REPLICA_MESSAGE, .from = sender, .msg = msg });
      coordinator_step (
          claim, &(coordinator_event_t){ .kind = COORDINATOR_MESSAGE, .from = sender, .msg = msg });
      member_unref (sender);
    }
  claim_msg_free (msg);
}

static void
publish_counters (part_claim_t *claim)
{
  replica_status_t status;

  claim_replica_status (claim->replica, &status);
  counter_set (claim->keys, status.keys);
  counter_set (claim->contested, status.contested);
  counter_set (claim->losses, status.losses);
  counter_set (claim->own_keys, claim_coordinator_own_key_count (claim->coordinator));
}

static void
claim_tick (part_t *part, int64_t now_ms)
{
  part_claim_t *claim = (part_claim_t *) part;
  replica_event_t contact = { .kind = REPLICA_CONTACT,
                              .contact_until_ms =
                                  part_view_contact_until_ms (claim->view, now_ms) };

  replica_step (claim, &contact);
  replica_step (claim, &(replica_event_t){ .kind = REPLICA_TICK });
  coordinator_step (claim, &(coordinator_event_t){ .kind = COORDINATOR_TICK });
  publish_counters (claim);
}

static void
claim_drain (part_t *part, int64_t now_ms)
{
  ((part_claim_t *) part)->drain_started_at_ms = now_ms;
}

/* True if a graceful stop need not wait for the replica any more: others have its keys, no
 * other host stays, or the handover timed out. */
static bool
has_handed_over (part_claim_t *claim, int64_t now_ms)
{
  replica_status_t status;

  claim_replica_status (claim->replica, &status);
  if (status.slot_transferred || !part_view_has_remaining_peer (claim->view))
    return true;
  if (part_view_is_member (claim->view))
    return false;
  if (claim->left_view_at_ms == 0)
    claim->left_view_at_ms = now_ms;
  return claim_replica_handed_over (claim->replica)
         || now_ms >= claim->left_view_at_ms + HANDOVER_TIMEOUT_MS;
}

static bool
claim_drained (part_t *part, int64_t now_ms)
{
  part_claim_t *claim = (part_claim_t *) part;

  if (claim->drain_started_at_ms == 0)
    return true;
  return (has_handed_over (claim, now_ms)
          && claim_coordinator_operation_count (claim->coordinator) == 0)
         || now_ms >= claim->drain_started_at_ms + LEAVE_TIMEOUT_MS;
}

static void
claim_status (part_t *part, json_object *status)
{
  part_claim_t *claim = (part_claim_t *) part;
  json_object *section = json_object_new_object ();
  replica_status_t replica;
  int64_t now_ms = daemon_now_ms (part->daemon);
  bool contact = now_ms <= part_view_contact_until_ms (claim->view, now_ms);

  claim_replica_status (claim->replica, &replica);
  json_object_object_add (section, "keys", json_object_new_int64 (replica.keys));
  json_object_object_add (section, "contested", json_object_new_int64 (replica.contested));
  json_object_object_add (section, "losses", json_object_new_int64 (replica.losses));
  json_object_object_add (section, "handovers_due", json_object_new_int64 (replica.handovers_due));
  json_object_object_add (section, "settled", json_object_new_boolean (replica.view_complete));
  json_object_object_add (section, "contact", json_object_new_boolean (contact));
  json_object_object_add (section, "sealed", json_object_new_boolean (replica.slot_transferred));
  json_object_object_add (
      section, "own", json_object_new_int64 (claim_coordinator_own_key_count (claim->coordinator)));
  json_object_object_add (status, "claim", section);
}

static const part_ops_t claim_ops = {
  .name = "claim",
  .frame_first = FRAME_CLAIM_FIRST,
  .frame_last = FRAME_CLAIM_LAST,
  .frame = claim_frame,
  .tick = claim_tick,
  .drain = claim_drain,
  .drained = claim_drained,
  .status = claim_status,
};

static void
on_view (view_t *view, view_t *base, void *data)
{
  replica_step (data, &(replica_event_t){ .kind = REPLICA_VIEW, .view = view, .base = base });
}

static void
on_offer_slot (const char *successor, void *data)
{
  replica_step (data, &(replica_event_t){ .kind = REPLICA_TRANSFER_SLOT, .successor = successor });
}

static view_t *
find_view (const char *data_centre, void *data)
{
  return part_view_newest (data, data_centre);
}

static void
init_counters (part_claim_t *claim)
{
  claim->messages = counter_get ("jaytrail_claim_messages_total", NULL);
  claim->bytes = counter_get ("jaytrail_claim_bytes_total", NULL);
  claim->keys = counter_get ("jaytrail_keys", NULL);
  claim->own_keys = counter_get ("jaytrail_keys_own", NULL);
  claim->contested = counter_get ("jaytrail_keys_contested", NULL);
  claim->losses = counter_get ("jaytrail_key_losses", NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (result_map); i++)
    claim->results[i] = counter_get ("jaytrail_claims_total", result_map[i].label);
}

part_t *
part_claim_new (daemon_t *daemon, part_t *view)
{
  part_claim_t *claim = g_new0 (part_claim_t, 1);
  const settings_t *settings = daemon_settings (daemon);
  const claim_rules_t rules = CLAIM_RULES_ALL;
  claim_limits_t limits = CLAIM_LIMITS_DEFAULT;
  member_t *self = part_view_self (view);

  limits.key_window_ms = settings->key_window_ms;
  limits.clock_skew_ms = settings->clock_skew_ms;
  claim->part = (part_t){ &claim_ops, daemon };
  claim->view = view;
  claim->replica = claim_replica_new (self, &rules, &limits);
  claim->coordinator =
      claim_coordinator_new (self, &rules, &limits, find_view, view, (uint32_t) self->incarnation);
  claim->members_by_host =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) member_unref);
  init_counters (claim);
  part_view_listener_t listener = { on_view, on_offer_slot, claim };
  part_view_set_listener (view, &listener);
  return &claim->part;
}

static pending_request_t *
pending_request_new (claim_done_t done, void *data)
{
  pending_request_t *request = g_new0 (pending_request_t, 1);

  *request = (pending_request_t){ done, data };
  return request;
}

static void
start_operation (part_t *part,
                 coordinator_event_kind_t kind,
                 const claim_params_t *params,
                 claim_done_t done,
                 void *data)
{
  coordinator_step ((part_claim_t *) part,
                    &(coordinator_event_t){ .kind = kind,
                                            .key = params->key,
                                            .home = params->home,
                                            .digest = params->digest,
                                            .issued_at_ms = params->issued_at_ms,
                                            .deadline_ms = params->timeout_at_ms,
                                            .user_data = pending_request_new (done, data) });
}

void
part_claim_request (part_t *part, const claim_params_t *params, claim_done_t done, void *data)
{
  start_operation (part, COORDINATOR_CLAIM, params, done, data);
}

void
part_claim_confirm (part_t *part, const claim_params_t *params, claim_done_t done, void *data)
{
  start_operation (part, COORDINATOR_CONFIRM, params, done, data);
}

void
part_claim_probe (part_t *part,
                  const char *key,
                  const char *home,
                  int64_t timeout_at_ms,
                  claim_done_t done,
                  void *data)
{
  claim_params_t params = { .key = key,
                            .home = home,
                            .issued_at_ms = CLAIM_ISSUED_AT_UNKNOWN,
                            .timeout_at_ms = timeout_at_ms };

  start_operation (part, COORDINATOR_PROBE, &params, done, data);
}

void
part_claim_release (part_t *part, const char *key, claim_done_t done, void *data)
{
  coordinator_step ((part_claim_t *) part,
                    &(coordinator_event_t){ .kind = COORDINATOR_RELEASE,
                                            .key = key,
                                            .user_data = pending_request_new (done, data) });
}

bool
part_claim_may_start (part_t *part, const char *key, int64_t now_ms)
{
  return claim_coordinator_may_start (((part_claim_t *) part)->coordinator, key, now_ms);
}

void
part_claim_mark_started (part_t *part, const char *key)
{
  coordinator_step ((part_claim_t *) part,
                    &(coordinator_event_t){ .kind = COORDINATOR_STARTED, .key = key });
}
