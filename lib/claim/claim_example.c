/* claim_example.c -- example: one host claims a key at its own replica */
#include "claim/coordinator.h"
#include "claim/replica.h"

#include <stdio.h>

static view_t *
find_view (const char *data_centre, void *data)
{
  (void) data_centre;
  return data;
}

int
main (void)
{
  const claim_rules_t rules = CLAIM_RULES_ALL;
  const claim_limits_t limits = CLAIM_LIMITS_DEFAULT;
  const claim_time_t now = { .boot_ms = 5000, .wall_ms = 1000000 };
  member_t *self = member_new ("a1", 1, "127.0.0.1:8003", "tw-north-a");
  g_autoptr (GPtrArray) members = g_ptr_array_new ();
  g_autoptr (GPtrArray) asked = claim_actions_new ();
  g_autoptr (GPtrArray) answered = claim_actions_new ();
  g_autoptr (GPtrArray) ended = claim_actions_new ();

  g_ptr_array_add (members, self);
  view_t *view = view_new ("tw-north-a", 1, 0, members);
  claim_replica_t *replica = claim_replica_new (self, &rules, &limits);
  claim_coordinator_t *coordinator =
      claim_coordinator_new (self, &rules, &limits, find_view, view, 1);
  replica_event_t in_force = { .kind = REPLICA_VIEW, .view = view };
  replica_event_t contact = { .kind = REPLICA_CONTACT, .contact_until_ms = 7000 };
  claim_replica_step (replica, &in_force, now, asked);
  claim_replica_step (replica, &contact, now, asked);

  coordinator_event_t claim = { .kind = COORDINATOR_CLAIM,
                                .key = "petition-1",
                                .home = "tw-north-a",
                                .issued_at_ms = 1000000,
                                .deadline_ms = 6000 };
  claim_coordinator_step (coordinator, &claim, now, asked);
  const claim_action_t *request = g_ptr_array_index (asked, 0);
  replica_event_t arrived = { .kind = REPLICA_MESSAGE, .from = self, .msg = request->msg };
  claim_replica_step (replica, &arrived, now, answered);
  const claim_action_t *reply = g_ptr_array_index (answered, 0);
  coordinator_event_t back = { .kind = COORDINATOR_MESSAGE, .from = self, .msg = reply->msg };
  claim_coordinator_step (coordinator, &back, now, ended);
  printf ("may start: %s\n",
          claim_coordinator_may_start (coordinator, "petition-1", 5000) ? "yes" : "no");

  claim_coordinator_free (coordinator);
  claim_replica_free (replica);
  view_unref (view);
  member_unref (self);
  return 0;
}
