/* test_claim_rules.c -- shows for each safety rule which failure it prevents
 *
 * Each scenario is a fixed sequence of events on a few hosts.  The key must get
 * one holder if all rules are enabled, and two if the scenario's rule is
 * disabled.  Further tests cover changes of the view and slot transfers.
 */
#include "tests/test_claim_world.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

/* Delivers all messages to or from HOST, including those sent in response. */
static void
deliver_messages_of (world_t *world, int32_t host)
{
  for (guint i = 0; i < world->net->len;)
    {
      const world_packet_t *packet = g_ptr_array_index (world->net, i);
      if (packet->from != host && packet->to != host)
        i++;
      else
        {
          world_deliver (world, i, false);
          i = 0;
        }
    }
}

static void
drop_all_messages (world_t *world)
{
  g_ptr_array_set_size (world->net, 0);
}

/* Of three replicas, the first coordinator reaches one and the second the other
 * two.  If one grant is enough, both start the key. */
static void
run_require_majority (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 5, rules);
  view_t *view = world_view (world, 1, 0x7);
  world_install_view_all (world, 0x1f, view, NULL);
  world_contact_all (world, 0x7);
  world_choose_key (world, view, 0x7, 0);
  world_block (world, 3, 1, true);
  world_block (world, 3, 2, true);
  world_block (world, 4, 0, true);
  world_block (world, 3, 4, true);
  world_claim (world, 3);
  world_claim (world, 4);
  world_deliver_all (world);
  for (int32_t i = 0; i < 8; i++)
    {
      world->now_ms += 30;
      world_tick (world, 0x18);
      world_deliver_all (world);
    }
  view_unref (view);
}

/* The old replicas do not know of the new view yet.  If they hand over and then go
 * on granting, the new replicas do not learn of the later grants. */
static void
run_seal_before_handover (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 8, rules);
  view_t *old_view = world_view (world, 1, 0x07);
  view_t *new_view = world_view (world, 2, 0x38);
  world_install_view_all (world, 0x47, old_view, NULL);
  world_contact_all (world, 0x07);
  world_choose_key (world, old_view, 0x07, -1);
  world_install_view_all (world, 0xb8, new_view, old_view);
  world_contact_all (world, 0x38);
  world_deliver_all (world);
  world_claim (world, 6);
  world_claim (world, 7);
  world_deliver_all (world);
  view_unref (old_view);
  view_unref (new_view);
}

/* The coordinator is frozen after the grant and starts the key when the replicas
 * have already removed it. */
static void
run_start_deadline (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 4, rules);
  view_t *view = world_view (world, 1, 0x7);
  world_install_view_all (world, 0xf, view, NULL);
  world_contact_all (world, 0x7);
  world_choose_key (world, view, 0x7, -1);
  world_claim (world, 3);
  world_deliver_all (world);
  world->now_ms += world->limits.key_window_ms + world->limits.start_timeout_ms + 60000;
  if (claim_coordinator_may_start (world->hosts[3].coordinator, world->key, world->now_ms))
    world->holders_max = 2;
  view_unref (view);
}

/* Half of the members are cut off together with a coordinator.  The others form a
 * new view and grant a key issued later, which the cut-off replicas must not grant
 * as well. */
static void
run_require_contact (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 6, rules);
  view_t *old_view = world_view (world, 1, 0x3f);
  world_install_view_all (world, 0x3f, old_view, NULL);
  world_contact_all (world, 0x3f);
  for (int32_t i = 0; i < 3; i++)
    for (int32_t j = 3; j < 6; j++)
      world_block (world, i, j, true);
  world_choose_key (world, old_view, 0x0b, 0);
  view_t *new_view = world_view (world, 2, 0x38);
  world_install_view_all (world, 0x38, new_view, old_view);
  for (int32_t i = 0; i < 100; i++)
    {
      world->now_ms += 100;
      world_contact_all (world, 0x38);
      world_tick (world, 0x3f);
      world_deliver_all (world);
    }
  world->issued_at_ms = WORLD_WALL_MS + world->now_ms;
  world_claim (world, 0);
  world_claim (world, 4);
  world_deliver_all (world);
  world->now_ms += 30;
  world_tick (world, 0x3f);
  world_deliver_all (world);
  view_unref (old_view);
  view_unref (new_view);
}

/* The release of a first attempt arrives after the second attempt of the same
 * coordinator was granted, and must not erase that claim. */
static void
run_check_release_attempt (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 5, rules);
  view_t *view = world_view (world, 1, 0x7);
  world_install_view_all (world, 0x1f, view, NULL);
  world_contact_all (world, 0x7);
  world_choose_key (world, view, 0x7, -1);
  world_claim (world, 3);
  world_deliver_all (world);
  world_release (world, 3);
  world->now_ms += 30;
  world_tick (world, 0x08);
  GPtrArray *late = world->net;
  world->net = g_ptr_array_new_with_free_func ((GDestroyNotify) world_packet_free);
  world_claim (world, 3);
  world_deliver_all (world);
  g_ptr_array_unref (world->net);
  world->net = late;
  world_deliver_all (world);
  world_claim (world, 4);
  world_deliver_all (world);
  view_unref (view);
}

/* Two replicas granted the key to one claimant and one to the other; one of the
 * two is lost.  The hand-overs then name both claimants, and neither can be
 * trusted to be the only one. */
static void
run_keep_all_claimants (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 6, rules);
  view_t *old_view = world_view (world, 1, 0x0f);
  world_install_view_all (world, 0x3f, old_view, NULL);
  world_contact_all (world, 0x0f);
  world_choose_key (world, old_view, 0x07, -1);
  world_block (world, 4, 1, true);
  world_block (world, 4, 2, true);
  world_block (world, 5, 0, true);
  world_claim (world, 4);
  world_deliver_all (world);
  world->now_ms += 30;
  world_tick (world, 0x10);
  world_deliver_all (world);
  world_claim (world, 5);
  world_deliver_all (world);
  world->now_ms += 30;
  world_tick (world, 0x20);
  world_deliver_all (world);
  world_block (world, 4, 1, false);
  world_block (world, 4, 5, true);
  /* Host 2, which granted the key to host 5, dies.  The hand-over of host 0 arrives
   * first. */
  for (int32_t i = 0; i < 6; i++)
    world_block (world, i, 2, true);
  drop_all_messages (world);
  view_t *new_view = world_view (world, 2, 0x0b);
  world_install_view_all (world, 0x3b, new_view, old_view);
  world_contact_all (world, 0x0b);
  deliver_messages_of (world, 0);
  world_deliver_all (world);
  for (int32_t i = 0; i < 30; i++)
    {
      world->now_ms += 20;
      world_tick (world, 0x10);
      world_deliver_all (world);
    }
  view_unref (old_view);
  view_unref (new_view);
}

/* Two changes of the view follow each other.  The replicas of the middle view have
 * not received any keys yet when the replicas of the last view pull from them. */
static void
run_require_complete_history (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 9, rules);
  view_t *first = world_view (world, 1, 0x007);
  view_t *second = world_view (world, 2, 0x038);
  view_t *third = world_view (world, 3, 0x1c0);
  world_install_view_all (world, 0x007, first, NULL);
  world_contact_all (world, 0x007);
  world_choose_key (world, first, 0x007, -1);
  world_claim (world, 0);
  world_deliver_all (world);
  for (int32_t i = 0; i < 3; i++)
    for (int32_t j = 3; j < 6; j++)
      world_block (world, i, j, true);
  world_install_view_all (world, 0x038, second, first);
  world_install_view_all (world, 0x1f8, third, second);
  world_contact_all (world, 0x1c0);
  world_deliver_all (world);
  world_claim (world, 6);
  world_deliver_all (world);
  view_unref (first);
  view_unref (second);
  view_unref (third);
}

static const struct
{
  const char *name;
  size_t offset;
  void (*run) (const claim_rules_t *rules, world_t *world);
} cases[] = {
  { "require_majority", offsetof (claim_rules_t, require_majority), run_require_majority },
  { "seal_before_handover", offsetof (claim_rules_t, seal_before_handover),
    run_seal_before_handover },
  { "start_deadline", offsetof (claim_rules_t, start_deadline), run_start_deadline },
  { "require_contact", offsetof (claim_rules_t, require_contact), run_require_contact },
  { "check_release_attempt", offsetof (claim_rules_t, check_release_attempt),
    run_check_release_attempt },
  { "keep_all_claimants", offsetof (claim_rules_t, keep_all_claimants), run_keep_all_claimants },
  { "require_complete_history", offsetof (claim_rules_t, require_complete_history),
    run_require_complete_history },
};

static int32_t
holders_with (size_t index, bool rule)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  world_t world;

  *((bool *) &rules + cases[index].offset) = rule;
  cases[index].run (&rules, &world);
  int32_t holders = world.holders_max;
  world_clear (&world);
  return holders;
}

static void
test_scenarios (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int32_t with = holders_with (i, true);
      int32_t without = holders_with (i, false);
      printf ("\n  %s: %d holder with the rule, %d without", cases[i].name, with, without);
      CU_ASSERT_EQUAL (with, 1);
      CU_ASSERT_EQUAL (without, 2);
    }
  printf ("\n  ");
}

/* Lets TIME_MS pass for HOSTS, with contact for their replicas all the time. */
static void
pass_time (world_t *world, uint32_t hosts, int64_t time_ms)
{
  for (int64_t end_ms = world->now_ms + time_ms; world->now_ms < end_ms; world->now_ms += 50)
    {
      world_contact_all (world, hosts);
      world_tick (world, hosts);
      world_deliver_all (world);
    }
}

static void
isolate (world_t *world, int32_t host)
{
  for (int32_t i = 0; i < world->count; i++)
    world_block (world, host, i, true);
}

/* Two members of the middle view die before they have handed over.  The replicas
 * of the last view must not wait for them for ever. */
static void
test_members_die_between_views (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  world_t world;

  world_init (&world, 6, &rules);
  view_t *first = world_view (&world, 1, 0x07);
  view_t *second = world_view (&world, 2, 0x0e);
  view_t *third = world_view (&world, 3, 0x19);
  world_install_view_all (&world, 0x07, first, NULL);
  isolate (&world, 1);
  isolate (&world, 2);
  world_install_view_all (&world, 0x39, first, NULL);
  world_install_view_all (&world, 0x39, second, first);
  world_install_view_all (&world, 0x39, third, second);
  pass_time (&world, 0x39, 30000);
  world.issued_at_ms = WORLD_WALL_MS + world.now_ms;
  world_choose_key (&world, third, 0x19, -1);
  world_claim (&world, 5);
  world_deliver_all (&world);
  CU_ASSERT (world.hosts[5].granted);
  view_unref (first);
  view_unref (second);
  view_unref (third);
  world_clear (&world);
}

/* The successor to a slot knows the earlier grants of that slot and grants its
 * other keys. */
static void
test_slot_transfer (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  world_t world;

  world_init (&world, 7, &rules);
  view_t *first = world_view (&world, 1, 0x07);
  view_t *second = world_view (&world, 2, 0x0f);
  world_install_view_all (&world, 0x7f, first, NULL);
  world_install_view_all (&world, 0x7f, second, first);
  pass_time (&world, 0x7f, 500);
  world_choose_key (&world, second, 0x07, -1);
  world_claim (&world, 5);
  world_deliver_all (&world);
  CU_ASSERT (world.hosts[5].granted);
  world_replica (&world, 0, &(replica_event_t){ .kind = REPLICA_TRANSFER_SLOT, .successor = "h4" });
  pass_time (&world, 0x7f, 1000);
  replica_status_t status;
  claim_replica_status (world.hosts[0].replica, &status);
  CU_ASSERT (status.slot_transferred);
  isolate (&world, 0);
  int32_t slot = view_slot_named (second, "h0");
  view_t *moved = view_with_occupant (second, slot, world.hosts[4].member, 1);
  world_install_view_all (&world, 0x7e, moved, first);
  /* Host 1 is cut off too, so a majority needs the successor and host 2. */
  isolate (&world, 1);
  world_claim (&world, 6);
  world_deliver_all (&world);
  pass_time (&world, 0x7c, 1000);
  CU_ASSERT_EQUAL (world.hosts[6].last_result, CLAIM_DONE_HELD);
  isolate (&world, 3);
  world_choose_key (&world, second, 0x0d, -1);
  world.hosts[6].done_count = 0;
  world_claim (&world, 6);
  world_deliver_all (&world);
  pass_time (&world, 0x7c, 1000);
  CU_ASSERT_EQUAL (world.hosts[6].done_count, 1);
  CU_ASSERT_EQUAL (world.hosts[6].last_result, CLAIM_DONE_GRANTED);
  view_unref (first);
  view_unref (second);
  view_unref (moved);
  world_clear (&world);
}

/* Two of three old replicas are cut off, which makes the key uncertain.  After they
 * are reachable again they hand over, and the key can be granted. */
static void
test_lost_replicas_reachable_again (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  world_t world;

  world_init (&world, 7, &rules);
  view_t *first = world_view (&world, 1, 0x07);
  view_t *second = world_view (&world, 2, 0x39);
  world_install_view_all (&world, 0x07, first, NULL);
  world_install_view_all (&world, 0x78, first, NULL);
  world_choose_key (&world, second, 0x38, -1);
  world_contact_all (&world, 0x07);
  isolate (&world, 1);
  isolate (&world, 2);
  world_install_view_all (&world, 0x79, second, first);
  pass_time (&world, 0x79, 3000);
  world_claim (&world, 6);
  world_deliver_all (&world);
  CU_ASSERT_EQUAL (world.hosts[6].last_result, CLAIM_DONE_UNCERTAIN);
  memset (world.blocked, 0, sizeof (world.blocked));
  world_install_view_all (&world, 0x06, second, first);
  pass_time (&world, 0x7f, 3000);
  world_claim (&world, 6);
  world_deliver_all (&world);
  CU_ASSERT_EQUAL (world.hosts[6].last_result, CLAIM_DONE_GRANTED);
  view_unref (first);
  view_unref (second);
  world_clear (&world);
}

static const unit_test_t tests[] = {
  { "scenarios", test_scenarios },
  { "members die between views", test_members_die_between_views },
  { "a slot is transferred", test_slot_transfer },
  { "lost replicas become reachable again", test_lost_replicas_reachable_again },
};

int
main (void)
{
  return unit_run ("claim_rules", tests, G_N_ELEMENTS (tests));
}
