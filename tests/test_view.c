/* test_view.c -- views: the fold of the log, joining, leaving, suspicion and contact */
#include "tests/test_view_sim.h"

#include "base/error.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>

#define SEED 20261204u

static void
start_hosts (view_sim_t *world, int32_t count)
{
  membership_limits_t limits = MEMBERSHIP_LIMITS_DEFAULT;

  view_sim_init (world, &limits, SEED);
  for (int32_t i = 0; i < count; i++)
    view_sim_start_host (world, i);
}

/* All living hosts know the same view, with COUNT seats. */
static bool
all_agree (const view_sim_t *world, int32_t count)
{
  for (int32_t i = 0; i < world->count; i++)
    {
      if (!world->hosts[i].alive)
        continue;
      const view_t *view = view_sim_view (world, i);
      const view_t *first = view_sim_view (world, view_sim_log_reader (world));
      if (view == NULL || first == NULL || view->count != count || view->number != first->number
          || view_version (view) != view_version (first))
        return false;
    }
  return true;
}

static void
test_first_view (void)
{
  view_sim_t world;

  start_hosts (&world, 8);
  view_sim_run (&world, 4000);
  CU_ASSERT (all_agree (&world, 8));
  /* The first view, and a checkpoint. */
  CU_ASSERT (world.appends <= 3);
  view_sim_clear (&world);
}

static void
test_join_together (void)
{
  view_sim_t world;

  start_hosts (&world, 3);
  view_sim_run (&world, 4000);
  int64_t before = world.appends;
  for (int32_t i = 3; i < 8; i++)
    view_sim_start_host (&world, i);
  view_sim_run (&world, 3000);
  CU_ASSERT (all_agree (&world, 8));
  CU_ASSERT (world.appends - before <= 2);
  view_sim_clear (&world);
}

static void
test_death_and_restart (void)
{
  view_sim_t world;

  start_hosts (&world, 6);
  view_sim_run (&world, 4000);
  view_sim_stop_host (&world, 4);
  view_sim_run (&world, 4000);
  CU_ASSERT (all_agree (&world, 5));
  view_sim_start_host (&world, 4);
  view_sim_run (&world, 2000);
  CU_ASSERT (all_agree (&world, 6));
  /* Restarted before anybody has noticed its death: the new process replaces
   * the old one. */
  view_sim_stop_host (&world, 5);
  view_sim_start_host (&world, 5);
  view_sim_run (&world, 2000);
  CU_ASSERT (all_agree (&world, 6));
  CU_ASSERT (view_seat_of_member (view_sim_view (&world, 0), world.hosts[5].member) >= 0);
  view_sim_clear (&world);
}

static void
test_leave (void)
{
  view_sim_t world;

  start_hosts (&world, 4);
  view_sim_run (&world, 4000);
  view_sim_step_host (&world, 2, &(membership_event_t){ .kind = MEMBERSHIP_DRAIN });
  view_sim_run (&world, 1500);
  CU_ASSERT (all_agree (&world, 3));
  CU_ASSERT_FALSE (membership_is_member (world.hosts[2].membership));
  CU_ASSERT_EQUAL (world.passes, 0);
  view_sim_clear (&world);
}

static void
test_all_replaced_at_once (void)
{
  view_sim_t world;

  start_hosts (&world, 5);
  view_sim_run (&world, 4000);
  for (int32_t i = 0; i < 5; i++)
    view_sim_stop_host (&world, i);
  for (int32_t i = 5; i < 10; i++)
    view_sim_start_host (&world, i);
  view_sim_run (&world, 9000);
  CU_ASSERT (all_agree (&world, 5));
  view_sim_clear (&world);
}

static void
test_log_down (void)
{
  view_sim_t world;

  start_hosts (&world, 5);
  view_sim_run (&world, 4000);
  int64_t number = view_sim_view (&world, 0)->number;
  world.log_down = true;
  view_sim_stop_host (&world, 4);
  view_sim_start_host (&world, 5);
  view_sim_run (&world, 10000);
  CU_ASSERT_EQUAL (view_sim_view (&world, 0)->number, number);
  /* The majority goes on, and the new host knows the view from its peers. */
  CU_ASSERT (membership_contact_until_ms (world.hosts[0].membership, world.now_ms) > world.now_ms);
  CU_ASSERT_PTR_NOT_NULL_FATAL (view_sim_view (&world, 5));
  CU_ASSERT_EQUAL (view_sim_view (&world, 5)->number, number);
  CU_ASSERT_FALSE (membership_is_member (world.hosts[5].membership));
  view_sim_step_host (&world, 1, &(membership_event_t){ .kind = MEMBERSHIP_DRAIN });
  view_sim_run (&world, 3000);
  CU_ASSERT (world.passes > 0);
  world.log_down = false;
  view_sim_run (&world, 6000);
  CU_ASSERT (all_agree (&world, 4));
  view_sim_clear (&world);
}

/* One host is cut off from the others and from the log. */
static void
test_contact_ends (void)
{
  view_sim_t world;

  start_hosts (&world, 5);
  view_sim_run (&world, 4000);
  world.log_down = true;
  view_sim_run (&world, 3000);
  CU_ASSERT (membership_contact_until_ms (world.hosts[4].membership, world.now_ms) > world.now_ms);
  for (int32_t i = 0; i < 4; i++)
    view_sim_set_cut (&world, i, 4, true);
  int64_t cut_ms = world.now_ms;
  view_sim_run (&world, 5000);
  CU_ASSERT (membership_contact_until_ms (world.hosts[4].membership, world.now_ms)
             <= cut_ms + world.limits.contact_timeout_ms);
  CU_ASSERT (membership_contact_until_ms (world.hosts[0].membership, world.now_ms) > world.now_ms);
  view_sim_clear (&world);
}

/* A majority without the log and without two members stops after the bound on
 * isolation. */
static void
test_isolated_majority (void)
{
  view_sim_t world;

  start_hosts (&world, 6);
  view_sim_run (&world, 4000);
  world.log_down = true;
  view_sim_run (&world, 2000);
  for (int32_t i = 0; i < 4; i++)
    for (int32_t j = 4; j < 6; j++)
      view_sim_set_cut (&world, i, j, true);
  view_sim_run (&world, world.limits.isolation_timeout_ms / 2);
  CU_ASSERT (membership_contact_until_ms (world.hosts[0].membership, world.now_ms) > world.now_ms);
  view_sim_run (&world, world.limits.isolation_timeout_ms * 2);
  CU_ASSERT (membership_contact_until_ms (world.hosts[0].membership, world.now_ms) <= world.now_ms);
  view_sim_clear (&world);
}

static void
test_freeze (void)
{
  view_sim_t world;

  start_hosts (&world, 5);
  view_sim_run (&world, 4000);
  world.log_down = true;
  view_sim_run (&world, 3000);
  world.hosts[3].frozen = true;
  view_sim_run (&world, 1000);
  world.hosts[3].frozen = false;
  world.now_ms += VIEW_SIM_STEP_MS;
  view_sim_step_host (&world, 3, &(membership_event_t){ .kind = MEMBERSHIP_TICK });
  /* Contact from before the freeze does not count. */
  CU_ASSERT (membership_contact_until_ms (world.hosts[3].membership, world.now_ms) <= world.now_ms);
  view_sim_run (&world, 1500);
  CU_ASSERT (membership_contact_until_ms (world.hosts[3].membership, world.now_ms) > world.now_ms);
  view_sim_clear (&world);
}

/* A link between two hosts that loses everything removes nobody, since others
 * hear both. */
static void
test_second_opinion (void)
{
  view_sim_t world;

  start_hosts (&world, 5);
  view_sim_run (&world, 4000);
  int64_t number = view_sim_view (&world, 0)->number;
  world.loss_permille[3][0] = 1000;
  view_sim_run (&world, 10000);
  CU_ASSERT_EQUAL (view_sim_view (&world, 0)->number, number);
  view_sim_clear (&world);
}

/* --- the fold ---------------------------------------------------------------- */

static int32_t changes;

static void
count_change (view_t *view, view_t *base, void *data)
{
  (void) view;
  (void) base;
  (void) data;
  changes++;
}

static void
put (view_directory_t *directory, int64_t offset, int64_t base, const char *id)
{
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  g_ptr_array_add (members, member_new (id, 1, id, "dc"));
  GBytes *record = view_record_change ("dc", base, members);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  CU_ASSERT_EQUAL (view_directory_apply_record (directory, offset, 7, data, size), 0);
  g_bytes_unref (record);
}

/* Records as {base, id} in offset order, and the member of the last view. */
static const struct
{
  int64_t first; /* offset of the first record */
  struct
  {
    int64_t base;
    const char *id;
  } records[5];
  int64_t number;
  const char *last;
} fold_cases[] = {
  { 0, { { 0, "a" }, { 0, "b" }, { 1, "c" }, { 1, "d" }, { 0, "e" } }, 2, "c" },
  { 0, { { 0, "a" }, { 2, "b" }, { 1, "c" }, { 2, "d" }, { 3, "e" } }, 4, "e" },
  /* The start of the stream is gone: the state is not known. */
  { 9, { { 0, "a" }, { 1, "b" }, { 2, "c" } }, 0, NULL },
};

static void
test_first_on_a_base_wins (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fold_cases); i++)
    {
      view_directory_t *directory = view_directory_new (count_change, NULL);
      for (int64_t j = 0; j < 5 && fold_cases[i].records[j].id != NULL; j++)
        put (directory, fold_cases[i].first + j, fold_cases[i].records[j].base,
             fold_cases[i].records[j].id);
      const view_t *view = view_directory_newest (directory, "dc");
      if (fold_cases[i].last == NULL)
        CU_ASSERT_PTR_NULL (view);
      if (fold_cases[i].last != NULL && view != NULL)
        {
          CU_ASSERT_EQUAL (view->number, fold_cases[i].number);
          CU_ASSERT_STRING_EQUAL (view->seats[0].name, fold_cases[i].last);
        }
      view_directory_free (directory);
    }
}

/* A late reader starts from a checkpoint or a peer and goes on from there. */
static void
test_late_reader (void)
{
  view_directory_t *directory = view_directory_new (count_change, NULL);
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  g_ptr_array_add (members, member_new ("x", 1, "x", "dc"));
  view_t *view = view_new ("dc", 6, 7, members);

  put (directory, 50, 6, "y");
  CU_ASSERT_PTR_NULL (view_directory_newest (directory, "dc"));
  view_directory_merge (directory, view);
  CU_ASSERT_EQUAL (view_directory_newest (directory, "dc")->number, 7);
  CU_ASSERT_STRING_EQUAL (view_directory_newest (directory, "dc")->seats[0].name, "y");
  put (directory, 51, 6, "z");
  CU_ASSERT_STRING_EQUAL (view_directory_newest (directory, "dc")->seats[0].name, "y");
  CU_ASSERT_EQUAL (view_directory_apply_record (directory, 52, 7, "junk", 4), ERROR_PROTOCOL);
  view_unref (view);
  view_directory_free (directory);
}

static const struct
{
  const char *name;
  void (*run) (void);
} cases[] = {
  { "the first record on a base wins", test_first_on_a_base_wins },
  { "a late reader", test_late_reader },
  { "eight hosts, one first view", test_first_view },
  { "five hosts join together", test_join_together },
  { "death and restart", test_death_and_restart },
  { "leaving", test_leave },
  { "all replaced at once", test_all_replaced_at_once },
  { "the log is down", test_log_down },
  { "contact ends when cut off", test_contact_ends },
  { "an isolated majority stops", test_isolated_majority },
  { "contact starts anew after a freeze", test_freeze },
  { "a second opinion keeps a member", test_second_opinion },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("view", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_add_test (suite, cases[i].name, cases[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
