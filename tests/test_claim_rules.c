/* test_claim_rules.c -- for each rule, the scenario that it is there for
 *
 * A scenario drives a few hosts by hand.  With all rules the key must have one
 * holder; with the one rule off it must get two.
 */
#include "tests/test_claim_world.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>

/* Delivers only what goes to host TO, or comes from it, until nothing is left. */
static void
deliver_of (world_t *world, int32_t host)
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
lose_all (world_t *world)
{
  g_ptr_array_set_size (world->net, 0);
}

/* Three replicas; the first coordinator reaches one, the second the others. */
static void
run_second_grant (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 5, rules);
  view_t *view = world_view (world, 1, 0x7);
  world_learn_all (world, 0x1f, view, NULL);
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

/* The old replicas hand over first and grant afterwards. */
static void
run_seal_first (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 8, rules);
  view_t *old_view = world_view (world, 1, 0x07);
  view_t *new_view = world_view (world, 2, 0x38);
  world_learn_all (world, 0x47, old_view, NULL);
  world_contact_all (world, 0x07);
  world_choose_key (world, old_view, 0x07, -1);
  world_learn_all (world, 0xb8, new_view, old_view);
  world_contact_all (world, 0x38);
  world_deliver_all (world);
  world_claim (world, 6);
  world_claim (world, 7);
  world_deliver_all (world);
  view_unref (old_view);
  view_unref (new_view);
}

/* The grants' end has passed while the coordinator was frozen. */
static void
run_start_deadline (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 4, rules);
  view_t *view = world_view (world, 1, 0x7);
  world_learn_all (world, 0xf, view, NULL);
  world_contact_all (world, 0x7);
  world_choose_key (world, view, 0x7, -1);
  world_claim (world, 3);
  world_deliver_all (world);
  world->now_ms += world->limits.key_window_ms + world->limits.start_timeout_ms + 60000;
  if (claim_coordinator_may_start (world->hosts[3].coordinator, world->key, world->now_ms))
    world->holders_max = 2;
  view_unref (view);
}

/* Half of the view is cut off, with a coordinator; the others go on without it
 * and grant a key that was issued later. */
static void
run_reconfirm (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 6, rules);
  view_t *old_view = world_view (world, 1, 0x3f);
  world_learn_all (world, 0x3f, old_view, NULL);
  world_contact_all (world, 0x3f);
  for (int32_t i = 0; i < 3; i++)
    for (int32_t j = 3; j < 6; j++)
      world_block (world, i, j, true);
  world_choose_key (world, old_view, 0x0b, 0);
  view_t *new_view = world_view (world, 2, 0x38);
  world_learn_all (world, 0x38, new_view, old_view);
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

/* The release of the first attempt arrives after the second was granted. */
static void
run_attempt_in_release (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 5, rules);
  view_t *view = world_view (world, 1, 0x7);
  world_learn_all (world, 0x1f, view, NULL);
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

/* The votes were split two to one, and one of the two is lost: the hand-overs
 * name both claimants. */
static void
run_contested (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 6, rules);
  view_t *old_view = world_view (world, 1, 0x0f);
  world_learn_all (world, 0x3f, old_view, NULL);
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
  /* Host 2, which granted to host 5, dies; host 0's hand-over comes first. */
  for (int32_t i = 0; i < 6; i++)
    world_block (world, i, 2, true);
  lose_all (world);
  view_t *new_view = world_view (world, 2, 0x0b);
  world_learn_all (world, 0x3b, new_view, old_view);
  world_contact_all (world, 0x0b);
  deliver_of (world, 0);
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

/* Two changes follow each other; the replicas of the middle view have nothing
 * yet when the last view asks them. */
static void
run_vouch (const claim_rules_t *rules, world_t *world)
{
  world_init (world, 9, rules);
  view_t *first = world_view (world, 1, 0x007);
  view_t *second = world_view (world, 2, 0x038);
  view_t *third = world_view (world, 3, 0x1c0);
  world_learn_all (world, 0x007, first, NULL);
  world_contact_all (world, 0x007);
  world_choose_key (world, first, 0x007, -1);
  world_claim (world, 0);
  world_deliver_all (world);
  for (int32_t i = 0; i < 3; i++)
    for (int32_t j = 3; j < 6; j++)
      world_block (world, i, j, true);
  world_learn_all (world, 0x038, second, first);
  world_learn_all (world, 0x1f8, third, second);
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
  { "second_grant", offsetof (claim_rules_t, require_majority), run_second_grant },
  { "seal_first", offsetof (claim_rules_t, seal_before_handover), run_seal_first },
  { "start_deadline", offsetof (claim_rules_t, start_deadline), run_start_deadline },
  { "reconfirm", offsetof (claim_rules_t, require_contact), run_reconfirm },
  { "attempt_in_release", offsetof (claim_rules_t, check_release_attempt), run_attempt_in_release },
  { "contested", offsetof (claim_rules_t, keep_all_claimants), run_contested },
  { "vouch", offsetof (claim_rules_t, require_complete_history), run_vouch },
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

/* Lets TIME_MS pass for HOSTS, with contact for the replicas among them. */
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

/* Two members of the middle view die before they have handed anything over; the
 * last view must not wait for them. */
static void
test_members_die_between_views (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  world_t world;

  world_init (&world, 6, &rules);
  view_t *first = world_view (&world, 1, 0x07);
  view_t *second = world_view (&world, 2, 0x0e);
  view_t *third = world_view (&world, 3, 0x19);
  world_learn_all (&world, 0x07, first, NULL);
  isolate (&world, 1);
  isolate (&world, 2);
  world_learn_all (&world, 0x39, first, NULL);
  world_learn_all (&world, 0x39, second, first);
  world_learn_all (&world, 0x39, third, second);
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

/* The successor of a seat grants what the seat's first occupant would have, and
 * remembers what that one has granted. */
static void
test_seat_is_passed (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  world_t world;

  world_init (&world, 7, &rules);
  view_t *first = world_view (&world, 1, 0x07);
  view_t *second = world_view (&world, 2, 0x0f);
  world_learn_all (&world, 0x7f, first, NULL);
  world_learn_all (&world, 0x7f, second, first);
  pass_time (&world, 0x7f, 500);
  world_choose_key (&world, second, 0x07, -1);
  world_claim (&world, 5);
  world_deliver_all (&world);
  CU_ASSERT (world.hosts[5].granted);
  world_replica (&world, 0, &(replica_event_t){ .kind = REPLICA_TRANSFER_SEAT, .successor = "h4" });
  pass_time (&world, 0x7f, 1000);
  replica_status_t status;
  claim_replica_status (world.hosts[0].replica, &status);
  CU_ASSERT (status.seat_transferred);
  isolate (&world, 0);
  int32_t seat = view_seat_named (second, "h0");
  view_t *moved = view_with_occupant (second, seat, world.hosts[4].member, 1);
  world_learn_all (&world, 0x7e, moved, first);
  /* Others are gone, too: the successor and host 2 are needed. */
  isolate (&world, 1);
  world_claim (&world, 6);
  world_deliver_all (&world);
  pass_time (&world, 0x7c, 1000);
  CU_ASSERT_EQUAL (world.hosts[6].last, CLAIM_DONE_HELD);
  isolate (&world, 3);
  world_choose_key (&world, second, 0x0d, -1);
  world.hosts[6].ends = 0;
  world_claim (&world, 6);
  world_deliver_all (&world);
  pass_time (&world, 0x7c, 1000);
  CU_ASSERT_EQUAL (world.hosts[6].ends, 1);
  CU_ASSERT_EQUAL (world.hosts[6].last, CLAIM_DONE_GRANTED);
  view_unref (first);
  view_unref (second);
  view_unref (moved);
  world_clear (&world);
}

/* Two of three old replicas are cut off and come back: what they granted is
 * known again. */
static void
test_lost_replicas_come_back (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  world_t world;

  world_init (&world, 7, &rules);
  view_t *first = world_view (&world, 1, 0x07);
  view_t *second = world_view (&world, 2, 0x39);
  world_learn_all (&world, 0x07, first, NULL);
  world_learn_all (&world, 0x78, first, NULL);
  world_choose_key (&world, second, 0x38, -1);
  world_contact_all (&world, 0x07);
  isolate (&world, 1);
  isolate (&world, 2);
  world_learn_all (&world, 0x79, second, first);
  pass_time (&world, 0x79, 3000);
  world_claim (&world, 6);
  world_deliver_all (&world);
  CU_ASSERT_EQUAL (world.hosts[6].last, CLAIM_DONE_UNCERTAIN);
  memset (world.blocked, 0, sizeof (world.blocked));
  world_learn_all (&world, 0x06, second, first);
  pass_time (&world, 0x7f, 3000);
  world_claim (&world, 6);
  world_deliver_all (&world);
  CU_ASSERT_EQUAL (world.hosts[6].last, CLAIM_DONE_GRANTED);
  view_unref (first);
  view_unref (second);
  world_clear (&world);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("claim_rules", NULL, NULL);
  CU_add_test (suite, "scenarios", test_scenarios);
  CU_add_test (suite, "members die between views", test_members_die_between_views);
  CU_add_test (suite, "a seat is passed", test_seat_is_passed);
  CU_add_test (suite, "lost replicas come back", test_lost_replicas_come_back);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
