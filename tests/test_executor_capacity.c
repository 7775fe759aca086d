/* test_executor_capacity.c -- endpoints whose capacity shrinks and grows
 */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Submits COUNT jobs of one task of one core, each due at once. */
static void
submit_jobs (scenario_t *scenario, int first, int count)
{
  for (int i = first; i < first + count; i++)
    {
      char *job = g_strdup_printf ("j%d", i);
      executor_batch_t batch = batch_of (job, (uint64_t) i);
      executor_submit (scenario->executor, &batch, scenario->now_ms);
      g_free (job);
    }
}

static int
count_actions (const scenario_t *scenario, executor_action_kind_t kind)
{
  int count = 0;

  for (guint i = 0; i < scenario->actions->len; i++)
    count += g_array_index (scenario->actions, executor_action_t, i).kind == kind;
  return count;
}

static executor_offer_t
offer_at (const scenario_t *scenario, int64_t now_ms)
{
  const resources_t need = { 1000, 10, 0 };
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));

  executor_offers (scenario->executor, &need, now_ms, offers);
  CU_ASSERT_EQUAL_FATAL (offers->len, 1);
  executor_offer_t offer = g_array_index (offers, executor_offer_t, 0);
  g_array_unref (offers);
  return offer;
}

static const struct
{
  const char *name;
  int before; /* tasks when the endpoint has 4 cores */
  int64_t cores_milli;
  int starts_after; /* of 8 tasks that are submitted when it has CORES_MILLI */
  int slots_free;   /* then, before these are started */
  int slots_total;
} capacity_cases[] = {
  { "unchanged", 1, 4000, 3, 3, 4 },          { "shrinks while idle", 0, 2000, 2, 2, 2 },
  { "shrinks while full", 4, 2000, 0, 0, 2 }, { "shrinks while partly used", 1, 2000, 1, 1, 2 },
  { "shrinks to nothing", 2, 0, 0, 0, 0 },    { "grows", 4, 6000, 2, 2, 6 },
};

/* Guards against an endpoint that has shrunk getting tasks by the most that it ever reported.  No
 * run is stopped. */
static void
test_capacity_reported (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (capacity_cases); i++)
    {
      scenario_t scenario;

      scenario_begin_idle (&scenario, 4000);
      submit_jobs (&scenario, 1, capacity_cases[i].before);
      run_round_at (&scenario, 1);
      CU_ASSERT_EQUAL (count_actions (&scenario, EXECUTOR_START), capacity_cases[i].before);
      scenario.now_ms = 10;
      add_endpoint (&scenario, 0, "r1", capacity_cases[i].cores_milli);
      executor_offer_t offer = offer_at (&scenario, 10);
      CU_ASSERT_EQUAL (offer.slots_free, capacity_cases[i].slots_free);
      CU_ASSERT_EQUAL (offer.slots_total, capacity_cases[i].slots_total);
      CU_ASSERT_EQUAL (load_report_at (&scenario, 10).cores_milli, capacity_cases[i].cores_milli);
      submit_jobs (&scenario, 100, 8);
      run_round_at (&scenario, 10);
      if (count_actions (&scenario, EXECUTOR_START) != capacity_cases[i].starts_after)
        printf ("  %s\n", capacity_cases[i].name);
      CU_ASSERT_EQUAL (count_actions (&scenario, EXECUTOR_START), capacity_cases[i].starts_after);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_STOP));
      scenario_end (&scenario);
    }
}

/* What is being stopped still counts: an endpoint that shrinks meanwhile gets nothing for it. */
static void
test_capacity_stopping (void)
{
  scenario_t scenario;

  scenario_begin_idle (&scenario, 2000);
  submit_jobs (&scenario, 1, 2);
  run_round_at (&scenario, 1);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 2,
                           scenario.actions);
  executor_cancel (scenario.executor, "h1", 2, STOP_UNKNOWN, 3, scenario.actions);
  scenario.now_ms = 3;
  add_endpoint (&scenario, 0, "r1", 1000);
  submit_jobs (&scenario, 10, 1);
  run_round_at (&scenario, 4);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_START));
  CU_ASSERT_EQUAL (offer_at (&scenario, 4).slots_free, 0);
  scenario_end (&scenario);
}

/* The capacity of an earlier instance says nothing about that of the next. */
static void
test_capacity_after_restart (void)
{
  poll_result_t result = { .endpoint_clock_ms = 5, .started_at_ms = 1 };
  executor_endpoint_t endpoint = { .id = "e0",
                                   .address = "127.0.0.1:1",
                                   .service = SERVICE,
                                   .kind = "a",
                                   .rack = "r1",
                                   .started_at_ms = 2,
                                   .free = { 1000, 1000, 0 } };
  scenario_t scenario;

  scenario_begin (&scenario);
  add_endpoint (&scenario, 0, "r1", 4000);
  run_round_at (&scenario, 0);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 0,
                          scenario.actions);
  submit_jobs (&scenario, 1, 3);
  run_round_at (&scenario, 1);
  CU_ASSERT_EQUAL (count_actions (&scenario, EXECUTOR_START), 3);
  confirm_starts (&scenario);
  executor_set_endpoint (scenario.executor, &endpoint, 10);
  run_round_at (&scenario, 10);
  result.started_at_ms = 2;
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 11,
                          scenario.actions);
  run_round_at (&scenario, 12);
  CU_ASSERT_EQUAL (count_actions (&scenario, EXECUTOR_START), 1);
  /* An entry of the earlier instance arrives late. */
  scenario.now_ms = 13;
  add_endpoint (&scenario, 0, "r1", 4000);
  run_round_at (&scenario, 13);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 14,
                          scenario.actions);
  CU_ASSERT_EQUAL (offer_at (&scenario, 14).slots_total, 1);
  scenario_end (&scenario);
}

#define REFUSING_MS 1500
#define REFUSED_STARTS_MAX 10

/* Guards against an endpoint that refuses every start being asked every 20 ms, until its entry is
 * written again. */
static void
test_capacity_refused (void)
{
  scenario_t scenario;
  int refused = 0;

  scenario_begin_idle (&scenario, 4000);
  submit_jobs (&scenario, 1, 1);
  for (int64_t now_ms = 1; now_ms < REFUSING_MS; now_ms++)
    {
      run_round_at (&scenario, now_ms);
      if (has_action (&scenario, EXECUTOR_POLL))
        answer_poll (&scenario, 0, NULL, 0);
      if (scenario.start_endpoint[0] == '\0')
        continue;
      refused++;
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_NO_CAPACITY,
                               now_ms + 5, now_ms, scenario.actions);
    }
  CU_ASSERT_TRUE (refused > 1);
  CU_ASSERT_TRUE (refused <= REFUSED_STARTS_MAX);
  scenario.now_ms = REFUSING_MS;
  add_endpoint (&scenario, 0, "r1", 3000);
  run_round_at (&scenario, REFUSING_MS);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  scenario_end (&scenario);
}

/* Guards against tasks waiting for the fastest endpoint although it has no capacity left. */
static void
test_capacity_of_fastest_lost (void)
{
  const poll_ended_t done_run = { 1, "k.0.0.0", 1, RUN_DONE };
  const poll_result_t result = { .endpoint_clock_ms = 1505, .ended = &done_run, .ended_count = 1 };
  executor_batch_t slow = batch_of ("k", 1);
  executor_batch_t urgent = batch_of ("u", 2);
  scenario_t scenario;

  /* A run of 1,500 ms shows that e0 is far slower than the estimate. */
  scenario_begin_idle (&scenario, 4000);
  slow.estimate_ms = 300;
  executor_submit (scenario.executor, &slow, 1);
  run_round_at (&scenario, 1);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 2,
                           scenario.actions);
  run_round_at (&scenario, 100);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 1501,
                          scenario.actions);
  scenario.now_ms = 1502;
  executor_endpoint_t fast = { .id = "e1",
                               .address = "127.0.0.1:1",
                               .service = SERVICE,
                               .kind = "b",
                               .rack = "r1",
                               .started_at_ms = 1,
                               .free = { 0, 0, 0 } };
  executor_set_endpoint (scenario.executor, &fast, 1502);
  run_round_at (&scenario, 1502);
  answer_poll (&scenario, 0, NULL, 0);
  answer_poll (&scenario, 1, NULL, 0);
  urgent.estimate_ms = 300;
  urgent.objective_at_ms = 1510 + 400;
  executor_submit (scenario.executor, &urgent, 1510);
  run_round_at (&scenario, 1510);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  scenario_end (&scenario);
}

static const unit_test_t tests[] = {
  { "an endpoint's capacity shrinks and grows", test_capacity_reported },
  { "an endpoint's capacity shrinks while a run is being stopped", test_capacity_stopping },
  { "an endpoint restarts with another capacity", test_capacity_after_restart },
  { "an endpoint refuses every start", test_capacity_refused },
  { "the fastest endpoint has no capacity left", test_capacity_of_fastest_lost },
};

int
main (void)
{
  return unit_run ("capacity of endpoints", tests, G_N_ELEMENTS (tests));
}
