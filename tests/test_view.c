/* test_view.c -- views: records of the log, joining, leaving, failure detection, contact */
#include "tests/test_view_sim.h"

#include "base/error.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>

#define SEED 20261204u

static void
start_hosts (view_sim_t *sim, int32_t count)
{
  membership_limits_t limits = MEMBERSHIP_LIMITS_DEFAULT;

  view_sim_init (sim, &limits, SEED);
  for (int32_t i = 0; i < count; i++)
    view_sim_start_host (sim, i);
}

/* Returns true if all running hosts have the same view, with COUNT slots. */
static bool
all_have_same_view (const view_sim_t *sim, int32_t count)
{
  for (int32_t i = 0; i < sim->host_count; i++)
    {
      if (!sim->hosts[i].alive)
        continue;
      const view_t *view = view_sim_view (sim, i);
      const view_t *first = view_sim_view (sim, view_sim_log_reader (sim));
      if (view == NULL || first == NULL || view->count != count || view->number != first->number
          || view_version (view) != view_version (first))
        return false;
    }
  return true;
}

static void
test_first_view (void)
{
  view_sim_t sim;

  start_hosts (&sim, 8);
  view_sim_run (&sim, 4000);
  CU_ASSERT (all_have_same_view (&sim, 8));
  /* The first view, a checkpoint, and at most one superfluous proposal. */
  CU_ASSERT (sim.appends <= 3);
  view_sim_clear (&sim);
}

static void
test_join_together (void)
{
  view_sim_t sim;

  start_hosts (&sim, 3);
  view_sim_run (&sim, 4000);
  int64_t before = sim.appends;
  for (int32_t i = 3; i < 8; i++)
    view_sim_start_host (&sim, i);
  view_sim_run (&sim, 3000);
  CU_ASSERT (all_have_same_view (&sim, 8));
  CU_ASSERT (sim.appends - before <= 2);
  view_sim_clear (&sim);
}

static void
test_crash_and_restart (void)
{
  view_sim_t sim;

  start_hosts (&sim, 6);
  view_sim_run (&sim, 4000);
  view_sim_stop_host (&sim, 4);
  view_sim_run (&sim, 4000);
  CU_ASSERT (all_have_same_view (&sim, 5));
  view_sim_start_host (&sim, 4);
  view_sim_run (&sim, 2000);
  CU_ASSERT (all_have_same_view (&sim, 6));
  /* Host 5 restarts before its crash is detected: the new process replaces the
   * old one. */
  view_sim_stop_host (&sim, 5);
  view_sim_start_host (&sim, 5);
  view_sim_run (&sim, 2000);
  CU_ASSERT (all_have_same_view (&sim, 6));
  CU_ASSERT (view_slot_of_member (view_sim_view (&sim, 0), sim.hosts[5].member) >= 0);
  view_sim_clear (&sim);
}

static void
test_leave (void)
{
  view_sim_t sim;

  start_hosts (&sim, 4);
  view_sim_run (&sim, 4000);
  view_sim_step_host (&sim, 2, &(membership_event_t){ .kind = MEMBERSHIP_DRAIN });
  view_sim_run (&sim, 1500);
  CU_ASSERT (all_have_same_view (&sim, 3));
  CU_ASSERT_FALSE (membership_is_member (sim.hosts[2].membership));
  CU_ASSERT_EQUAL (sim.slot_offers, 0);
  view_sim_clear (&sim);
}

static void
test_all_replaced_at_once (void)
{
  view_sim_t sim;

  start_hosts (&sim, 5);
  view_sim_run (&sim, 4000);
  for (int32_t i = 0; i < 5; i++)
    view_sim_stop_host (&sim, i);
  for (int32_t i = 5; i < 10; i++)
    view_sim_start_host (&sim, i);
  view_sim_run (&sim, 9000);
  CU_ASSERT (all_have_same_view (&sim, 5));
  view_sim_clear (&sim);
}

static void
test_log_unavailable (void)
{
  view_sim_t sim;

  start_hosts (&sim, 5);
  view_sim_run (&sim, 4000);
  int64_t number = view_sim_view (&sim, 0)->number;
  sim.log_down = true;
  view_sim_stop_host (&sim, 4);
  view_sim_start_host (&sim, 5);
  view_sim_run (&sim, 10000);
  CU_ASSERT_EQUAL (view_sim_view (&sim, 0)->number, number);
  /* The majority still has contact, and the new host has learned the view from its
   * peers. */
  CU_ASSERT (membership_contact_until_ms (sim.hosts[0].membership, sim.now_ms) > sim.now_ms);
  CU_ASSERT_PTR_NOT_NULL_FATAL (view_sim_view (&sim, 5));
  CU_ASSERT_EQUAL (view_sim_view (&sim, 5)->number, number);
  CU_ASSERT_FALSE (membership_is_member (sim.hosts[5].membership));
  view_sim_step_host (&sim, 1, &(membership_event_t){ .kind = MEMBERSHIP_DRAIN });
  view_sim_run (&sim, 3000);
  CU_ASSERT (sim.slot_offers > 0);
  sim.log_down = false;
  view_sim_run (&sim, 6000);
  CU_ASSERT (all_have_same_view (&sim, 4));
  view_sim_clear (&sim);
}

/* A host that is cut off from the others and from the log must stop granting when its
 * contact has expired. */
static void
test_contact_expires_when_cut_off (void)
{
  view_sim_t sim;

  start_hosts (&sim, 5);
  view_sim_run (&sim, 4000);
  sim.log_down = true;
  view_sim_run (&sim, 3000);
  CU_ASSERT (membership_contact_until_ms (sim.hosts[4].membership, sim.now_ms) > sim.now_ms);
  for (int32_t i = 0; i < 4; i++)
    view_sim_set_cut (&sim, i, 4, true);
  int64_t cut_ms = sim.now_ms;
  view_sim_run (&sim, 5000);
  CU_ASSERT (membership_contact_until_ms (sim.hosts[4].membership, sim.now_ms)
             <= cut_ms + sim.limits.contact_timeout_ms);
  CU_ASSERT (membership_contact_until_ms (sim.hosts[0].membership, sim.now_ms) > sim.now_ms);
  view_sim_clear (&sim);
}

/* A majority that has lost both the log and two members must stop granting after the
 * isolation timeout. */
static void
test_isolated_majority (void)
{
  view_sim_t sim;

  start_hosts (&sim, 6);
  view_sim_run (&sim, 4000);
  sim.log_down = true;
  view_sim_run (&sim, 2000);
  for (int32_t i = 0; i < 4; i++)
    for (int32_t j = 4; j < 6; j++)
      view_sim_set_cut (&sim, i, j, true);
  view_sim_run (&sim, sim.limits.isolation_timeout_ms / 2);
  CU_ASSERT (membership_contact_until_ms (sim.hosts[0].membership, sim.now_ms) > sim.now_ms);
  view_sim_run (&sim, sim.limits.isolation_timeout_ms * 2);
  CU_ASSERT (membership_contact_until_ms (sim.hosts[0].membership, sim.now_ms) <= sim.now_ms);
  view_sim_clear (&sim);
}

static void
test_process_pause (void)
{
  view_sim_t sim;

  start_hosts (&sim, 5);
  view_sim_run (&sim, 4000);
  sim.log_down = true;
  view_sim_run (&sim, 3000);
  sim.hosts[3].paused = true;
  view_sim_run (&sim, 1000);
  sim.hosts[3].paused = false;
  sim.now_ms += VIEW_SIM_STEP_MS;
  view_sim_step_host (&sim, 3, &(membership_event_t){ .kind = MEMBERSHIP_TICK });
  /* Contact from before the pause does not count. */
  CU_ASSERT (membership_contact_until_ms (sim.hosts[3].membership, sim.now_ms) <= sim.now_ms);
  view_sim_run (&sim, 1500);
  CU_ASSERT (membership_contact_until_ms (sim.hosts[3].membership, sim.now_ms) > sim.now_ms);
  view_sim_clear (&sim);
}

/* If one link loses all messages in one direction, no member must be removed, because
 * other members still hear the silent one. */
static void
test_lossy_link_keeps_member (void)
{
  view_sim_t sim;

  start_hosts (&sim, 5);
  view_sim_run (&sim, 4000);
  int64_t number = view_sim_view (&sim, 0)->number;
  sim.loss_permille[3][0] = 1000;
  view_sim_run (&sim, 10000);
  CU_ASSERT_EQUAL (view_sim_view (&sim, 0)->number, number);
  view_sim_clear (&sim);
}

/* --- the directory ----------------------------------------------------------- */

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
apply_change (view_directory_t *directory, int64_t offset, int64_t base, const char *id)
{
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  g_ptr_array_add (members, member_new (id, 1, id, "dc"));
  GBytes *record = view_record_change ("dc", base, members);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  CU_ASSERT_EQUAL (view_directory_apply_record (directory, offset, 7, data, size), 0);
  g_bytes_unref (record);
}

/* Records as {base, id} in offset order, and the number and the only member of the
 * newest view. */
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
} directory_cases[] = {
  { 0, { { 0, "a" }, { 0, "b" }, { 1, "c" }, { 1, "d" }, { 0, "e" } }, 2, "c" },
  { 0, { { 0, "a" }, { 2, "b" }, { 1, "c" }, { 2, "d" }, { 3, "e" } }, 4, "e" },
  /* The start of the stream has expired, so the state is unknown. */
  { 9, { { 0, "a" }, { 1, "b" }, { 2, "c" } }, 0, NULL },
};

static void
test_first_record_with_base_wins (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (directory_cases); i++)
    {
      view_directory_t *directory = view_directory_new (count_change, NULL);
      for (int64_t j = 0; j < 5 && directory_cases[i].records[j].id != NULL; j++)
        apply_change (directory, directory_cases[i].first + j, directory_cases[i].records[j].base,
                      directory_cases[i].records[j].id);
      const view_t *view = view_directory_newest (directory, "dc");
      if (directory_cases[i].last == NULL)
        CU_ASSERT_PTR_NULL (view);
      if (directory_cases[i].last != NULL && view != NULL)
        {
          CU_ASSERT_EQUAL (view->number, directory_cases[i].number);
          CU_ASSERT_STRING_EQUAL (view->slots[0].name, directory_cases[i].last);
        }
      view_directory_free (directory);
    }
}

/* A reader that missed the first records takes the state of a peer and applies the
 * records that build on it, also those that it read before. */
static void
test_late_reader (void)
{
  view_directory_t *directory = view_directory_new (count_change, NULL);
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  g_ptr_array_add (members, member_new ("x", 1, "x", "dc"));
  view_t *view = view_new ("dc", 6, 7, members);

  apply_change (directory, 50, 6, "y");
  CU_ASSERT_PTR_NULL (view_directory_newest (directory, "dc"));
  view_directory_merge (directory, view);
  CU_ASSERT_EQUAL (view_directory_newest (directory, "dc")->number, 7);
  CU_ASSERT_STRING_EQUAL (view_directory_newest (directory, "dc")->slots[0].name, "y");
  apply_change (directory, 51, 6, "z");
  CU_ASSERT_STRING_EQUAL (view_directory_newest (directory, "dc")->slots[0].name, "y");
  CU_ASSERT_EQUAL (view_directory_apply_record (directory, 52, 7, "junk", 4), ERROR_PROTOCOL);
  view_unref (view);
  view_directory_free (directory);
}

static const unit_test_t cases[] = {
  { "the first record with a base takes effect", test_first_record_with_base_wins },
  { "a reader without the first records", test_late_reader },
  { "eight hosts, one first view", test_first_view },
  { "five hosts join at the same time", test_join_together },
  { "crash and restart", test_crash_and_restart },
  { "leaving", test_leave },
  { "all replaced at once", test_all_replaced_at_once },
  { "the log is unavailable", test_log_unavailable },
  { "contact expires when cut off", test_contact_expires_when_cut_off },
  { "an isolated majority loses contact", test_isolated_majority },
  { "contact before a process pause does not count", test_process_pause },
  { "a lossy link removes no member", test_lossy_link_keeps_member },
};

int
main (void)
{
  return unit_run ("view", cases, G_N_ELEMENTS (cases));
}
