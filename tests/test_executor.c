/* test_executor.c -- single decisions of lib/executor on scripted events
 */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* If a foreign run is stopped and in the same round adopted, its record is freed.  The stop order
 * must still contain the name of the task. */
static void
test_run_adopted_while_stopped (void)
{
  static const poll_active_t row = { "job-with-a-long-name.0.0.0", 2, 10 };
  executor_batch_t batch = batch_of ("job-with-a-long-name", 1);
  scenario_t scenario;

  scenario_begin (&scenario);
  add_endpoint (&scenario, 0, "r1", 4000);
  run_round_at (&scenario, 0);
  answer_poll (&scenario, 0, &row, 1);
  batch.maybe_running = true;
  batch.prior_runs_end_by_ms = 5000;
  scenario.now_ms = 300;
  executor_submit (scenario.executor, &batch, 300);
  run_round_at (&scenario, 300);
  CU_ASSERT_STRING_EQUAL (scenario.stop_task, row.task);
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  int64_t round_at_ms; /* the foreign run is listed at 0 */
  int expected;        /* lines about it in this round */
} unclaimed_run_cases[] = {
  { "its coordinator may still submit it", 149, 0 },
  { "nobody has claimed it", 150, 1 },
  { "the stop is sent again", 300, 0 },
};

/* A run that no coordinator claims is logged once, when its first stop is sent. */
static void
test_unclaimed_run_logged (void)
{
  static const poll_active_t row = { "j.0.0.0", 2, 10 };
  scenario_t scenario;

  scenario_begin (&scenario);
  add_endpoint (&scenario, 0, "r1", 4000);
  run_round_at (&scenario, 0);
  answer_poll (&scenario, 0, &row, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (unclaimed_run_cases); i++)
    {
      int lines = 0;
      run_round_at (&scenario, unclaimed_run_cases[i].round_at_ms);
      for (guint k = 0; k < scenario.actions->len; k++)
        {
          const executor_action_t *action = &g_array_index (scenario.actions, executor_action_t, k);
          lines += action->kind == EXECUTOR_LOG && action->log_event == EXECUTOR_LOG_UNCLAIMED;
        }
      if (lines != unclaimed_run_cases[i].expected)
        printf ("  %s: %d lines\n", unclaimed_run_cases[i].name, lines);
      CU_ASSERT_EQUAL (lines, unclaimed_run_cases[i].expected);
    }
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  const char *preferred_rack;
  int64_t estimate_ms;
  int64_t objective_at_ms;
  int64_t r1_cores_milli; /* of the endpoint in rack "r1"; the other one, in "r2", has 4,000 */
  bool r1_full;           /* all cores of the endpoint in rack "r1" are in use */
  const char *expected_endpoint;
  int64_t deadline_at_ms;
} preferred_rack_cases[] = {
  { "no preferred rack: best fit", "", 60, 10000, 2000, false, "e0", FAR_DEADLINE_MS },
  { "preferred rack has free cores", "r1", 400, 600, 4000, false, "e0", FAR_DEADLINE_MS },
  { "the other rack is preferred", "r2", 400, 600, 4000, false, "e1", FAR_DEADLINE_MS },
  { "no endpoint in the preferred rack: slower, but accepted", "r9", 400, 10000, 2000, false, "e0",
    FAR_DEADLINE_MS },
  { "endpoint in the rack too small, in time elsewhere", "r1", 60, 10000, 500, false, "e1",
    FAR_DEADLINE_MS },
  { "endpoint in the rack too small, late elsewhere", "r1", 600, 900, 500, false, "e1",
    FAR_DEADLINE_MS },
  { "rack full, in time elsewhere", "r1", 60, 10000, 1000, true, "e1", FAR_DEADLINE_MS },
  { "rack full, late elsewhere: waits", "r1", 600, 900, 1000, true, "", FAR_DEADLINE_MS },
  { "large, rack has free cores", "r1", 1200, 3000, 2000, false, "e0", 1500 },
  { "large, rack full, far too slow elsewhere: waits", "r1", 1200, 3000, 1000, true, "", 1500 },
  { "large, equally slow everywhere", "r9", 1200, 3000, 2000, false, "e0", 1500 },
};

/* Tasks take longer away from the rack of their data, so they must start there if the difference
 * matters for their times. */
static void
test_preferred_rack (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (preferred_rack_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", preferred_rack_cases[i].r1_cores_milli);
      add_endpoint (&scenario, 1, "r2", 4000);
      run_round_at (&scenario, 0);
      answer_poll (&scenario, 0, NULL, 0);
      answer_poll (&scenario, 1, NULL, 0);
      if (preferred_rack_cases[i].r1_full)
        {
          executor_batch_t other = batch_of ("other", 2);
          other.preferred_rack = "r1";
          other.objective_at_ms = 130;
          executor_submit (scenario.executor, &other, 1);
          run_round_at (&scenario, 1);
          CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
        }
      batch.preferred_rack = preferred_rack_cases[i].preferred_rack;
      batch.estimate_ms = preferred_rack_cases[i].estimate_ms;
      batch.objective_at_ms = preferred_rack_cases[i].objective_at_ms;
      batch.deadline_at_ms = preferred_rack_cases[i].deadline_at_ms;
      executor_submit (scenario.executor, &batch, 1);
      run_round_at (&scenario, 1);
      if (strcmp (scenario.start_endpoint, preferred_rack_cases[i].expected_endpoint) != 0)
        printf ("  %s: \"%s\"\n", preferred_rack_cases[i].name, scenario.start_endpoint);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, preferred_rack_cases[i].expected_endpoint);
      scenario_end (&scenario);
    }
}

/* Tasks that arrive at 0 and whose objective is 60 ms plus 1.6 times their work. */
static const struct
{
  const char *name;
  int64_t work_ms;
  int64_t deadline_at_ms;
  double ratio;
  int64_t now_ms;
  placement_tier_t tier;
} tier_cases[] = {
  { "fast endpoint, in time for any actual work", 1000, FAR_DEADLINE_MS, 0.7, 0, PLACEMENT_SAFE },
  { "slow endpoint, but 60 ms of slack are enough for the work", 200, FAR_DEADLINE_MS, 1.7, 0,
    PLACEMENT_SAFE },
  { "slow endpoint, in time unless the work is far larger", 400, FAR_DEADLINE_MS, 1.7, 0,
    PLACEMENT_IN_TIME },
  { "slow endpoint, late for any actual work", 1000, FAR_DEADLINE_MS, 1.7, 0, PLACEMENT_LATE },
  { "fast endpoint, late if the work is smaller after a wait of 740 ms", 1000, FAR_DEADLINE_MS, 0.7,
    740, PLACEMENT_LATE },
  { "fast endpoint, in time after a wait of 730 ms", 1000, FAR_DEADLINE_MS, 0.7, 730,
    PLACEMENT_SAFE },
  { "fast endpoint, too little margin before the deadline", 1000, 1700, 0.7, 0, PLACEMENT_LATE },
  { "fast endpoint, almost no margin before the deadline", 1000, 1000, 0.7, 0, PLACEMENT_UNLIKELY },
};

/* An endpoint that is always too slow for the objective must not count as fast enough merely
 * because the corrected estimate is lower than the caller's. */
static void
test_slow_endpoint_for_long_task (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (tier_cases); i++)
    {
      const placement_target_t target = { .work_ms = tier_cases[i].work_ms,
                                          .objective_at_ms = tier_cases[i].work_ms * 16 / 10 + 60,
                                          .stretch_factor = 1.6,
                                          .deadline_at_ms = tier_cases[i].deadline_at_ms };
      placement_tier_t tier = placement_tier (&target, tier_cases[i].ratio, tier_cases[i].now_ms);
      if (tier != tier_cases[i].tier)
        printf ("  %s: %d\n", tier_cases[i].name, (int) tier);
      CU_ASSERT_EQUAL (tier, tier_cases[i].tier);
    }
}

static const struct
{
  const char *name;
  placement_tier_t tier;
  int64_t expected_ms;
  placement_best_t best;
  bool acceptable;
} acceptable_cases[] = {
  { "equal to the best", PLACEMENT_SAFE, 100, { PLACEMENT_SAFE, 100 }, true },
  { "in time, where the best is safe", PLACEMENT_IN_TIME, 200, { PLACEMENT_SAFE, 100 }, true },
  { "late, where the best is in time", PLACEMENT_LATE, 300, { PLACEMENT_IN_TIME, 100 }, false },
  { "late, where the best is late too", PLACEMENT_LATE, 300, { PLACEMENT_LATE, 100 }, true },
  { "unlikely, where the best is in time",
    PLACEMENT_UNLIKELY,
    100,
    { PLACEMENT_IN_TIME, 100 },
    false },
  { "unlikely everywhere, almost as fast as the fastest",
    PLACEMENT_UNLIKELY,
    150,
    { PLACEMENT_UNLIKELY, 100 },
    true },
  { "unlikely everywhere, slow", PLACEMENT_UNLIKELY, 151, { PLACEMENT_UNLIKELY, 100 }, false },
  { "unlikely, no other endpoint",
    PLACEMENT_UNLIKELY,
    151,
    { PLACEMENT_UNLIKELY, INT64_MAX },
    true },
};

static void
test_acceptable_placement (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (acceptable_cases); i++)
    {
      bool acceptable = placement_is_acceptable (
          acceptable_cases[i].tier, acceptable_cases[i].expected_ms, &acceptable_cases[i].best);
      if (acceptable != acceptable_cases[i].acceptable)
        printf ("  %s\n", acceptable_cases[i].name);
      CU_ASSERT_EQUAL (acceptable, acceptable_cases[i].acceptable);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  double ratio; /* of the free slot of the other owner */
  bool returned;
} offer_cases[] = {
  { "as fast elsewhere", 600, 1.0, true },
  { "slow elsewhere, but in time", 300, 1.7, true },
  { "large, as fast elsewhere", 1200, 1.0, true },
  { "large, far too slow elsewhere", 1200, 1.7, false },
};

/* A large task must not be returned for another owner on whose endpoints it would miss its
 * deadline. */
static void
test_large_task_returned (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (offer_cases); i++)
    {
      executor_offer_t offer = { SERVICE, 1, 1, offer_cases[i].ratio };
      executor_batch_t other = batch_of ("other", 1);
      executor_batch_t batch = batch_of ("j", 2);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &other, 0);
      run_round_at (&scenario, 0);
      batch.estimate_ms = offer_cases[i].estimate_ms;
      batch.objective_at_ms = 3000;
      batch.deadline_at_ms = DEADLINE_MS;
      executor_submit (scenario.executor, &batch, 0);
      g_array_append_val (scenario.other_offers, offer);
      run_round_at (&scenario, 10);
      bool returned = has_action (&scenario, EXECUTOR_RETURNED);
      if (returned != offer_cases[i].returned)
        printf ("  %s\n", offer_cases[i].name);
      CU_ASSERT_EQUAL (returned, offer_cases[i].returned);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t token; /* of the claim to which the batch was addressed; the claim in force has token 7 */
  bool maybe_running;
  bool never_started; /* true if the coordinator may be told that the task never started */
} never_started_cases[] = {
  { "under the claim in force", 7, false, true },
  { "under an earlier claim", 6, false, false },
  { "maybe running", 7, true, false },
};

/* A task that another owner may have started must not be reported as never started, because the
 * coordinator would then start a second run elsewhere. */
static void
test_never_started_not_reported (void)
{
  static const executor_action_kind_t ends[] = { EXECUTOR_RETURNED, EXECUTOR_EXPIRED };

  for (size_t i = 0; i < G_N_ELEMENTS (never_started_cases); i++)
    for (size_t k = 0; k <= G_N_ELEMENTS (ends); k++)
      {
        executor_offer_t offer = { SERVICE, 1, 1, 1.0 };
        executor_batch_t other = batch_of ("other", 1);
        executor_batch_t batch = batch_of ("j", 2);
        scenario_t scenario;

        scenario_begin (&scenario);
        executor_set_token (scenario.executor, 7, 0);
        add_endpoint (&scenario, 0, "r1", 1000);
        run_round_at (&scenario, 0);
        answer_poll (&scenario, 0, NULL, 0);
        other.token = 7;
        executor_submit (scenario.executor, &other, 0);
        run_round_at (&scenario, 0);
        batch.token = never_started_cases[i].token;
        batch.maybe_running = never_started_cases[i].maybe_running;
        batch.estimate_ms = 600;
        batch.deadline_at_ms = 900;
        executor_submit (scenario.executor, &batch, 0);
        run_round_at (&scenario, 1);
        answer_poll (&scenario, 0, NULL, 0);
        if (k == G_N_ELEMENTS (ends))
          {
            CU_ASSERT_EQUAL (executor_cancel (scenario.executor, "h1", 2, 10, scenario.actions),
                             never_started_cases[i].never_started);
            scenario_end (&scenario);
            continue;
          }
        if (ends[k] == EXECUTOR_RETURNED)
          g_array_append_val (scenario.other_offers, offer);
        run_round_at (&scenario, ends[k] == EXECUTOR_RETURNED ? 10 : 800);
        if (has_action (&scenario, ends[k]) != never_started_cases[i].never_started)
          printf ("  %s\n", never_started_cases[i].name);
        CU_ASSERT_EQUAL (has_action (&scenario, ends[k]), never_started_cases[i].never_started);
        scenario_end (&scenario);
      }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int64_t at_ms; /* arrival of the third task; the second has waited since 0 */
  bool refused;
} similar_task_cases[] = {
  { "fits", 700, 1, false },
  { "similar task has waited too long", 900, 990, true },
  { "large, but its estimate may be too high", 2000, 1, false },
  { "large, and a similar task has waited too long", 2000, 600, true },
  { "far too large", 2600, 1, true },
};

/* A large job must not be refused at once because a similar one arrived at the same time. */
static void
test_large_job_refused_at_once (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (similar_task_cases); i++)
    {
      executor_batch_t running = batch_of ("running", 1);
      executor_batch_t waiting = batch_of ("waiting", 2);
      executor_batch_t batch = batch_of ("j", 3);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &running, 0);
      run_round_at (&scenario, 0);
      waiting.estimate_ms = similar_task_cases[i].estimate_ms;
      waiting.deadline_at_ms = similar_task_cases[i].at_ms + DEADLINE_MS;
      executor_submit (scenario.executor, &waiting, 0);
      batch.estimate_ms = similar_task_cases[i].estimate_ms;
      batch.deadline_at_ms = similar_task_cases[i].at_ms + DEADLINE_MS;
      executor_submit (scenario.executor, &batch, similar_task_cases[i].at_ms);
      run_round_at (&scenario, similar_task_cases[i].at_ms);
      bool refused = has_action (&scenario, EXECUTOR_EXPIRED);
      if (refused != similar_task_cases[i].refused)
        printf ("  %s\n", similar_task_cases[i].name);
      CU_ASSERT_EQUAL (refused, similar_task_cases[i].refused);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int32_t percent; /* progress at ELAPSED_MS; the deadline is at 1,500 ms */
  bool aborted;
} overdue_cases[] = {
  { "in time", 900, 30, false },
  { "far too large", 1500, 10, true },
  { "slightly too large: not certain yet", 1500, 19, false },
  { "too large, unless progress was rounded down by almost one percent", 1500, 18, false },
  { "just started", 1500, 4, false },
  { "slow endpoint: would be in time elsewhere", 200, 6, false },
};

#define START_BY_MS 1500

static const struct
{
  const char *name;
  int64_t start_by_ms;
  bool second_started; /* the batch's other task has been started */
  bool maybe_running;
  int64_t at_ms;
  bool timed_out;
} start_limit_cases[] = {
  { "just before the limit", START_BY_MS, false, false, START_BY_MS - 1, false },
  { "nothing has started", START_BY_MS, false, false, START_BY_MS, true },
  { "queue without a limit", 0, false, false, START_BY_MS, false },
  { "one task has started", START_BY_MS, true, false, START_BY_MS, false },
  { "an earlier owner may have started it", START_BY_MS, false, true, START_BY_MS, false },
};

/* A job of which no task has started is returned when the time limit of its queue has passed.  One
 * that has started is not affected by the limit. */
static void
test_start_limit (void)
{
  static const int32_t indexes[] = { 0, 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (start_limit_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, start_limit_cases[i].second_started ? 1000 : 500);
      batch.indexes = indexes;
      batch.count = 2;
      batch.start_by_ms = start_limit_cases[i].start_by_ms;
      batch.maybe_running = start_limit_cases[i].maybe_running;
      executor_submit (scenario.executor, &batch, 1);
      run_round_at (&scenario, 1);
      run_round_at (&scenario, start_limit_cases[i].at_ms);
      bool timed_out = has_action (&scenario, EXECUTOR_START_TIMEOUT);
      if (timed_out != start_limit_cases[i].timed_out)
        printf ("  %s\n", start_limit_cases[i].name);
      CU_ASSERT_EQUAL (timed_out, start_limit_cases[i].timed_out);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t objective_at_ms; /* of the task that arrives first; that of the second is 1,000 */
  int32_t priority;        /* of the second task; that of the first is 1 */
  const char *first;       /* task that starts first when resources are free, at 500 ms */
} late_task_cases[] = {
  { "both in time: in the order of their objectives", 600, 1, "a.0.0.0" },
  { "the first is late, the second can still be in time", 400, 1, "b.0.0.0" },
  { "the first is late, the second has lower priority", 400, 2, "a.0.0.0" },
};

/* A task that misses its objective in any case must not delay tasks that can still meet theirs. */
static void
test_late_tasks_queued_last (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (late_task_cases); i++)
    {
      executor_batch_t other = batch_of ("other", 1);
      executor_batch_t a = batch_of ("a", 2);
      executor_batch_t b = batch_of ("b", 3);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &other, 0);
      run_round_at (&scenario, 0);
      a.priority = 1;
      a.objective_at_ms = late_task_cases[i].objective_at_ms;
      b.priority = late_task_cases[i].priority;
      b.objective_at_ms = 1000;
      executor_submit (scenario.executor, &a, 1);
      executor_submit (scenario.executor, &b, 2);
      run_round_at (&scenario, 450);
      executor_cancel (scenario.executor, "h1", 1, 490, scenario.actions);
      executor_release (scenario.executor, "h1", 1, 490);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_LEASE_EXPIRED,
                               500, 500, scenario.actions);
      run_round_at (&scenario, 500);
      answer_poll (&scenario, 0, NULL, 0);
      run_round_at (&scenario, 501);
      if (strcmp (scenario.start_task, late_task_cases[i].first) != 0)
        printf ("  %s: %s\n", late_task_cases[i].name, scenario.start_task);
      CU_ASSERT_STRING_EQUAL (scenario.start_task, late_task_cases[i].first);
      scenario_end (&scenario);
    }
}

#define ELAPSED_MS 300

/* A task that cannot meet its deadline on any endpoint is stopped as soon as its progress shows
 * that. */
static void
test_overdue (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (overdue_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      poll_active_t row = { "j.0.0.0", 1, overdue_cases[i].percent };
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      batch.estimate_ms = overdue_cases[i].estimate_ms;
      batch.deadline_at_ms = DEADLINE_MS;
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                               scenario.actions);
      run_round_at (&scenario, ELAPSED_MS);
      answer_poll (&scenario, 0, &row, 1);
      bool notified = has_action (&scenario, EXECUTOR_OVERDUE);
      if (notified != overdue_cases[i].aborted)
        printf ("  %s\n", overdue_cases[i].name);
      CU_ASSERT_EQUAL (notified, overdue_cases[i].aborted);
      run_round_at (&scenario, ELAPSED_MS + 1);
      CU_ASSERT_EQUAL (scenario.stop_task[0] != '\0', overdue_cases[i].aborted);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int64_t stalled_ms; /* time from the confirmed start to a poll result without progress */
  bool stopped;
} hung_task_cases[] = {
  { "small", 60, 310, true },        { "small, below the time limit", 60, 290, false },
  { "large", 1000, 310, true },      { "large, below the time limit", 1000, 290, false },
  { "very large", 4000, 810, true }, { "very large, below the time limit", 4000, 790, false },
};

/* A task without progress is stopped while there is still time to start it elsewhere. */
static void
test_large_task_hung (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hung_task_cases); i++)
    {
      static const poll_active_t row = { "j.0.0.0", 1, 0 };
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      batch.estimate_ms = hung_task_cases[i].estimate_ms;
      executor_submit (scenario.executor, &batch, 1);
      run_round_at (&scenario, 1);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 1,
                               scenario.actions);
      run_round_at (&scenario, 1 + hung_task_cases[i].stalled_ms);
      answer_poll (&scenario, 0, &row, 1);
      run_round_at (&scenario, 2 + hung_task_cases[i].stalled_ms);
      if ((scenario.stop_task[0] != '\0') != hung_task_cases[i].stopped)
        printf ("  %s\n", hung_task_cases[i].name);
      CU_ASSERT_EQUAL (scenario.stop_task[0] != '\0', hung_task_cases[i].stopped);
      scenario_end (&scenario);
    }
}

/* An endpoint whose entry is gone may still be alive: its task starts elsewhere only once its run
 * is certainly over. */
static void
test_entry_removed (void)
{
  executor_batch_t batch = batch_of ("j", 1);
  poll_active_t row = { "j.0.0.0", 1, 10 };
  scenario_t scenario;

  scenario_begin_idle (&scenario, 1000);
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 0);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                           scenario.actions);
  add_endpoint (&scenario, 1, "r1", 4000);
  run_round_at (&scenario, 10);
  answer_poll (&scenario, 1, NULL, 0);
  g_array_set_size (scenario.actions, 0);
  executor_remove_endpoint (scenario.executor, "e0");
  for (int64_t now_ms = 20; now_ms < LEASE_MS; now_ms += 20)
    {
      run_round_at (&scenario, now_ms);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
      if (now_ms == 100)
        answer_poll (&scenario, 0, &row, 1);
    }
  bool started = false;
  for (int64_t now_ms = LEASE_MS; now_ms < 3 * LEASE_MS; now_ms += 20)
    {
      run_round_at (&scenario, now_ms);
      started |= strcmp (scenario.start_endpoint, "e1") == 0;
    }
  CU_ASSERT_TRUE (started);
  scenario_end (&scenario);
}

/* A new owner must ask an endpoint whose entry is missing before it starts a task that may run
 * there. */
static void
test_run_on_removed_endpoint (void)
{
  static const poll_active_t row = { "j.0.0.0", 1, 10 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin (&scenario);
  executor_set_token (scenario.executor, 7, 0);
  add_endpoint (&scenario, 0, "r1", 4000);
  add_endpoint (&scenario, 1, "r1", 4000);
  executor_remove_endpoint (scenario.executor, "e1");
  batch.token = 7;
  batch.maybe_running = true;
  batch.prior_runs_end_by_ms = 2200;
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 1);
  answer_poll (&scenario, 0, NULL, 0);
  run_round_at (&scenario, 5);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  scenario.now_ms = 8;
  answer_poll (&scenario, 1, &row, 1);
  for (int64_t now_ms = 10; now_ms < 100; now_ms += 10)
    {
      run_round_at (&scenario, now_ms);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
    }
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 100).running, 1);
  scenario_end (&scenario);
}

/* Number of EXECUTOR_DONE actions for BATCH that the last call appended. */
static int
count_done (const scenario_t *scenario, uint64_t batch)
{
  int count = 0;

  for (guint i = 0; i < scenario->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario->actions, executor_action_t, i);
      count += action->kind == EXECUTOR_DONE && action->batch == batch;
    }
  return count;
}

/* A coordinator that may have missed an answer submits its batch again.  Its tasks must not run
 * twice, and the ends of its tasks are sent again.  After a cancellation it counts as a new batch.
 */
static void
test_batch_resubmitted (void)
{
  const poll_ended_t done_run = { 1, "j.0.0.0", 1, RUN_DONE };
  const poll_result_t result = { .endpoint_clock_ms = 65, .ended = &done_run, .ended_count = 1 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_idle (&scenario, 1000);
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 0);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                           scenario.actions);
  executor_submit (scenario.executor, &batch, 10);
  run_round_at (&scenario, 10);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 0);
  scenario.now_ms = 60;
  g_array_set_size (scenario.actions, 0);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 60,
                          scenario.actions);
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 1);
  executor_submit (scenario.executor, &batch, 70);
  run_round_at (&scenario, 70);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 1);
  run_round_at (&scenario, 80);
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 0);
  executor_remove_coordinator (scenario.executor, "h1", 90, 90, scenario.actions);
  executor_submit (scenario.executor, &batch, 100);
  run_round_at (&scenario, 100);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  scenario_end (&scenario);
}

typedef enum
{
  NEVER_STARTED,
  RUN_FAILED_ONCE, /* its run has ended and another attempt is due */
  MAYBE_RUNNING    /* an earlier owner may have started it */
} waiting_state_t;

static const struct
{
  const char *name;
  waiting_state_t state;
  int64_t at_ms; /* time of the round, after the start of the drain */
  bool returned;
  bool returned_after_run;
} drained_waiting_cases[] = {
  { "never started", NEVER_STARTED, 1, true, false },
  { "its run has failed", RUN_FAILED_ONCE, 1, false, true },
  { "maybe running, the earlier owner may still start it", MAYBE_RUNNING, 1000, false, false },
  { "maybe running, the earlier owner has dropped it", MAYBE_RUNNING, 3001, false, true },
};

/* In a drained data centre nothing starts, and waiting tasks are not held until their deadline.  A
 * task that another owner may still start is not returned. */
static void
test_drained_returns_waiting (void)
{
  const poll_ended_t failed = { 1, "j.0.0.0", 1, RUN_FAILED };
  const poll_result_t result = { .endpoint_clock_ms = 65, .ended = &failed, .ended_count = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (drained_waiting_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 4000);
      batch.maybe_running = drained_waiting_cases[i].state == MAYBE_RUNNING;
      batch.prior_runs_end_by_ms = 3000;
      executor_submit (scenario.executor, &batch, 0);
      if (drained_waiting_cases[i].state == RUN_FAILED_ONCE)
        {
          run_round_at (&scenario, 0);
          executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                                   scenario.actions);
          executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                                  60, scenario.actions);
        }
      executor_set_drained (scenario.executor, true);
      if (drained_waiting_cases[i].state == MAYBE_RUNNING)
        {
          run_round_at (&scenario, 1);
          answer_poll (&scenario, 0, NULL, 0);
        }
      run_round_at (&scenario, drained_waiting_cases[i].at_ms);
      if (has_action (&scenario, EXECUTOR_RETURNED) != drained_waiting_cases[i].returned
          || has_action (&scenario, EXECUTOR_RETURNED_AFTER_RUN)
                 != drained_waiting_cases[i].returned_after_run)
        printf ("  %s\n", drained_waiting_cases[i].name);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_RETURNED),
                       drained_waiting_cases[i].returned);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_RETURNED_AFTER_RUN),
                       drained_waiting_cases[i].returned_after_run);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_START));
      scenario_end (&scenario);
    }
}

/* Runs in a drained data centre continue under a lease that is renewed, even where they would
 * otherwise have been moved to a faster endpoint. */
static void
test_drained_runs_continue (void)
{
  poll_active_t row = { "j.0.0.0", 1, 10 };
  const poll_ended_t done_run = { 1, "j.0.0.0", 1, RUN_DONE };
  const poll_result_t result = { .endpoint_clock_ms = 900, .ended = &done_run, .ended_count = 1 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_idle (&scenario, 4000);
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 0);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                           scenario.actions);
  executor_set_drained (scenario.executor, true);
  for (int64_t now_ms = 100; now_ms <= 800; now_ms += 100)
    {
      row.progress_percent = (int32_t) (now_ms / 10);
      scenario.now_ms = now_ms;
      answer_poll (&scenario, 0, &row, 1);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_OVERDUE));
      run_round_at (&scenario, now_ms);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_STOP));
      const executor_action_t *poll = last_action (&scenario, EXECUTOR_POLL);
      CU_ASSERT_TRUE (poll != NULL && poll->lease_until_endpoint_ms > now_ms);
    }
  run_round_at (&scenario, 850);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 850,
                          scenario.actions);
  CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_DONE));
  scenario_end (&scenario);
}

/* Offers of a drained data centre list its services without slots.  After the drain they are
 * complete at once, and tasks start again. */
static void
test_drained_offers (void)
{
  const resources_t need = { 1000, 10, 0 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_idle (&scenario, 4000);
  for (int drained = 1; drained >= 0; drained--)
    {
      GArray *offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
      executor_set_drained (scenario.executor, drained);
      executor_offers (scenario.executor, &need, 10, offers);
      CU_ASSERT_EQUAL_FATAL (offers->len, 1);
      CU_ASSERT_STRING_EQUAL (g_array_index (offers, executor_offer_t, 0).service, SERVICE);
      CU_ASSERT_EQUAL (g_array_index (offers, executor_offer_t, 0).slots_free, drained ? 0 : 4);
      CU_ASSERT_EQUAL (g_array_index (offers, executor_offer_t, 0).slots_total, drained ? 0 : 4);
      CU_ASSERT_EQUAL (executor_totals (scenario.executor, 10).endpoints_ready, drained ? 0 : 1);
      g_array_unref (offers);
    }
  executor_submit (scenario.executor, &batch, 10);
  run_round_at (&scenario, 10);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  scenario_end (&scenario);
}

#define LOAD_ENDPOINTS 40
#define LOAD_WAITING 600

/* Drain at full load, for an owner of 40 of 120 endpoints, all of them full and with a queue.  All
 * waiting tasks are returned in one round and no run is stopped. */
static void
test_drained_at_full_load (void)
{
  char names[LOAD_ENDPOINTS][8];
  scenario_t scenario;
  int starts = 0;
  int returned = 0;

  scenario_begin (&scenario);
  for (int i = 0; i < LOAD_ENDPOINTS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "e%d", i);
      executor_endpoint_t endpoint = { .id = names[i],
                                       .address = "127.0.0.1:1",
                                       .service = SERVICE,
                                       .kind = "a",
                                       .rack = "r1",
                                       .started_at_ms = 1,
                                       .free = { 16000, 100000, 0 } };
      executor_set_endpoint (scenario.executor, &endpoint, 0);
    }
  run_round_at (&scenario, 0);
  GArray *polls = g_array_copy (scenario.actions);
  const poll_result_t result = { .endpoint_clock_ms = 5 };
  for (guint i = 0; i < polls->len; i++)
    executor_poll_answered (scenario.executor, g_array_index (polls, executor_action_t, i).serial,
                            EXECUTOR_OK, &result, 0, scenario.actions);
  g_array_unref (polls);
  for (int i = 0; i < 2 * LOAD_ENDPOINTS + LOAD_WAITING; i++)
    {
      char *job = g_strdup_printf ("j%d", i);
      executor_batch_t batch = batch_of (job, (uint64_t) i + 1);
      batch.need.cores_milli = 8000;
      executor_submit (scenario.executor, &batch, 0);
      g_free (job);
    }
  run_round_at (&scenario, 1);
  for (guint i = 0; i < scenario.actions->len; i++)
    starts += g_array_index (scenario.actions, executor_action_t, i).kind == EXECUTOR_START;
  CU_ASSERT_EQUAL (starts, 2 * LOAD_ENDPOINTS);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 1).waiting, LOAD_WAITING);
  executor_set_drained (scenario.executor, true);
  run_round_at (&scenario, 2);
  for (guint i = 0; i < scenario.actions->len; i++)
    returned += g_array_index (scenario.actions, executor_action_t, i).kind == EXECUTOR_RETURNED;
  CU_ASSERT_EQUAL (returned, LOAD_WAITING);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_START));
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_STOP));
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 2).waiting, 0);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 2).running, 2 * LOAD_ENDPOINTS);
  scenario_end (&scenario);
}

/* A task with 60 ms of work took 600 ms, on an endpoint that was cold or warm when it started.  The
 * cases say whether that raises the expected duration of the next task. */
static const struct
{
  const char *name;
  int64_t cold_until_ms;
  bool recorded;
} cold_endpoint_cases[] = {
  { "warm", 0, true },
  { "cold at its start", 300, false },
};

static void
test_cold_endpoint (void)
{
  const poll_ended_t done_run = { 1, "j.0.0.0", 1, RUN_DONE };
  const poll_result_t result = { .endpoint_clock_ms = 605, .ended = &done_run, .ended_count = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (cold_endpoint_cases); i++)
    {
      executor_endpoint_t endpoint = { .id = "e0",
                                       .address = "127.0.0.1:1",
                                       .service = SERVICE,
                                       .kind = "a",
                                       .rack = "r1",
                                       .started_at_ms = 1,
                                       .free = { 4000, 1000, 0 },
                                       .cold_until_ms = cold_endpoint_cases[i].cold_until_ms };
      executor_batch_t batch = batch_of ("j", 1);
      executor_batch_t next = batch_of ("k", 2);
      scenario_t scenario;

      scenario_begin (&scenario);
      executor_set_endpoint (scenario.executor, &endpoint, 0);
      run_round_at (&scenario, 0);
      answer_poll (&scenario, 0, NULL, 0);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 1,
                               scenario.actions);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 600,
                              scenario.actions);
      executor_submit (scenario.executor, &next, 610);
      run_round_at (&scenario, 610);
      const executor_action_t *started = last_action (&scenario, EXECUTOR_START);
      CU_ASSERT_PTR_NOT_NULL (started);
      int64_t expected_ms = started != NULL ? started->expected_ms : -1;
      if ((expected_ms > 60) != cold_endpoint_cases[i].recorded)
        printf ("  %s: %d\n", cold_endpoint_cases[i].name, (int) expected_ms);
      CU_ASSERT_EQUAL (expected_ms > 60, cold_endpoint_cases[i].recorded);
      scenario_end (&scenario);
    }
}

/* An endpoint restarts after its clock was set back, or its entry is older than its poll results.
 */
static const struct
{
  const char *name;
  int64_t entry_started_at_ms;  /* of the second entry */
  int64_t result_started_at_ms; /* of the poll result after it */
  bool runs_lost;               /* the run of the first instance is over */
} instance_cases[] = {
  { "same instance", 1000, 1000, false },
  { "later instance", 2000, 2000, true },
  { "later instance, its clock was set back", 10, 10, true },
  { "later instance, the entry is not up to date", 1000, 10, true },
  { "entry of an instance that the poll result does not show", 2000, 1000, false },
};

/* Start times tell instances apart but do not order them, because clocks may be set back. */
static void
test_instance_after_clock_jump (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (instance_cases); i++)
    {
      const poll_active_t row = { "j.0.0.0", 1, 10 };
      poll_result_t result = { .endpoint_clock_ms = 5, .started_at_ms = 1000 };
      executor_endpoint_t endpoint = { .id = "e0",
                                       .address = "127.0.0.1:1",
                                       .service = SERVICE,
                                       .kind = "a",
                                       .rack = "r1",
                                       .started_at_ms = 1000,
                                       .free = { 1000, 1000, 0 } };
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin (&scenario);
      executor_set_endpoint (scenario.executor, &endpoint, 0);
      run_round_at (&scenario, 0);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 0,
                              scenario.actions);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                               scenario.actions);
      endpoint.started_at_ms = instance_cases[i].entry_started_at_ms;
      executor_set_endpoint (scenario.executor, &endpoint, 100);
      CU_ASSERT_EQUAL (executor_totals (scenario.executor, 100).running, 1);
      run_round_at (&scenario, 100);
      result.started_at_ms = instance_cases[i].result_started_at_ms;
      result.active = &row;
      result.active_count = instance_cases[i].runs_lost ? 0 : 1;
      g_array_set_size (scenario.actions, 0);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 101,
                              scenario.actions);
      if ((executor_totals (scenario.executor, 101).running == 0) != instance_cases[i].runs_lost)
        printf ("  %s\n", instance_cases[i].name);
      CU_ASSERT_EQUAL (executor_totals (scenario.executor, 101).running == 0,
                       instance_cases[i].runs_lost);
      /* Once a poll result has shown an instance, its entry sets the capacity of the endpoint. */
      endpoint.started_at_ms = instance_cases[i].result_started_at_ms;
      if (instance_cases[i].runs_lost
          && instance_cases[i].entry_started_at_ms != instance_cases[i].result_started_at_ms)
        executor_set_endpoint (scenario.executor, &endpoint, 102);
      run_round_at (&scenario, 102);
      CU_ASSERT_EQUAL (strcmp (scenario.start_endpoint, "e0") == 0, instance_cases[i].runs_lost);
      scenario_end (&scenario);
    }
}

/* The reported backlog must follow the queue: if tasks that have left it were still counted,
 * callers would be refused while endpoints are idle. */
static void
test_load (void)
{
  scenario_t scenario;

  scenario_begin_idle (&scenario, 1000);
  executor_batch_t batch = batch_of ("j", 1);
  batch.priority = 1;
  executor_submit (scenario.executor, &batch, 0);
  CU_ASSERT_EQUAL (load_report_at (&scenario, 0).backlog_core_ms[1], batch.estimate_ms);
  run_round_at (&scenario, 0);
  executor_load_t load = load_report_at (&scenario, 0);
  CU_ASSERT_EQUAL (load.cores_milli, 1000);
  CU_ASSERT_EQUAL (load.backlog_core_ms[1], 0);
  CU_ASSERT_EQUAL (load.next_free_ms, 0);
  executor_batch_t late_batch = batch_of ("k", 2);
  late_batch.objective_at_ms = 0;
  executor_submit (scenario.executor, &late_batch, 0);
  run_round_at (&scenario, 1);
  load = load_report_at (&scenario, 1);
  CU_ASSERT_EQUAL (load.backlog_core_ms[0], late_batch.estimate_ms);
  CU_ASSERT_EQUAL (load.late_core_ms[0], late_batch.estimate_ms);
  CU_ASSERT_EQUAL (load.backlog_core_ms[1], 0);
  CU_ASSERT_EQUAL (load.max_free_milli, 0);
  CU_ASSERT_TRUE (load.next_free_ms > 0);
  executor_cancel (scenario.executor, "h1", 2, 2, scenario.actions);
  load = load_report_at (&scenario, 2);
  CU_ASSERT_EQUAL (load.backlog_core_ms[0], 0);
  CU_ASSERT_EQUAL (load.late_core_ms[0], 0);
  scenario_end (&scenario);
}

static const unit_test_t tests[] = {
  { "a drained data centre returns waiting tasks", test_drained_returns_waiting },
  { "runs in a drained data centre continue", test_drained_runs_continue },
  { "offers of a drained data centre", test_drained_offers },
  { "a drain at full load", test_drained_at_full_load },
  { "duration on a cold endpoint", test_cold_endpoint },
  { "an instance after the clock was set back", test_instance_after_clock_jump },
  { "a batch is submitted again", test_batch_resubmitted },
  { "reported load", test_load },
  { "the entry of an endpoint is removed", test_entry_removed },
  { "a run on an endpoint whose entry is missing", test_run_on_removed_endpoint },
  { "aborted when it cannot meet its deadline", test_overdue },
  { "a run is adopted while it is being stopped", test_run_adopted_while_stopped },
  { "a run that no coordinator claims is logged", test_unclaimed_run_logged },
  { "tasks start in the rack of their data", test_preferred_rack },
  { "a slow endpoint for a long task", test_slow_endpoint_for_long_task },
  { "acceptable placement", test_acceptable_placement },
  { "not reported as never started while maybe running", test_never_started_not_reported },
  { "a large task is returned for another owner", test_large_task_returned },
  { "a large job is refused at once", test_large_job_refused_at_once },
  { "time limit of a queue", test_start_limit },
  { "late tasks are queued behind those in time", test_late_tasks_queued_last },
  { "a large task without progress", test_large_task_hung },
};

int
main (void)
{
  return unit_run ("executor", tests, G_N_ELEMENTS (tests));
}
