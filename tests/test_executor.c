/* test_executor.c -- single decisions of lib/executor on scripted events */
#include "executor/executor.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

#define LEASE_MS 1000
#define STOP_TIMEOUT_MS 50
#define RESUBMIT_MS 1300
#define SERVICE "s"
#define DEADLINE_MS 1500
#define FAR_DEADLINE_MS 20000

typedef struct
{
  executor_t *executor;
  GArray *actions;
  GArray *other_offers;
  int64_t now_ms;
  uint64_t poll_serial[2]; /* by number of the endpoint */
  uint64_t start_serial;   /* of the last start order */
  char start_endpoint[8];  /* endpoint of the last start order */
  char start_task[32];     /* task of the last start order */
  char stop_task[32];      /* task of the last stop order */
} scenario_t;

static const char *const endpoint_ids[] = { "e0", "e1" };

static void
scenario_begin (scenario_t *scenario)
{
  const executor_options_t options = {
    .lease_ms = LEASE_MS, .stop_ms = STOP_TIMEOUT_MS, .remote_factor = 2, .resubmit_ms = RESUBMIT_MS
  };

  *scenario = (scenario_t){ .executor = executor_new (&options),
                            .actions = g_array_new (FALSE, FALSE, sizeof (executor_action_t)),
                            .other_offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t)) };
}

static void
scenario_end (scenario_t *scenario)
{
  executor_free (scenario->executor);
  g_array_unref (scenario->actions);
  g_array_unref (scenario->other_offers);
}

static void
add_instance (scenario_t *scenario,
              int number,
              const char *rack,
              int64_t cores_milli,
              int64_t started_at_ms)
{
  executor_endpoint_t endpoint = { .id = endpoint_ids[number],
                                   .address = "127.0.0.1:1",
                                   .service = SERVICE,
                                   .kind = "a",
                                   .rack = rack,
                                   .started_at_ms = started_at_ms,
                                   .free = { cores_milli, 1000, 0 } };

  executor_set_endpoint (scenario->executor, &endpoint, scenario->now_ms);
}

static void
add_endpoint (scenario_t *scenario, int number, const char *rack, int64_t cores_milli)
{
  add_instance (scenario, number, rack, cores_milli, 1);
}

/* Runs one round at NOW_MS and records the orders that it appends. */
static void
run_round_at (scenario_t *scenario, int64_t now_ms)
{
  scenario->now_ms = now_ms;
  scenario->stop_task[0] = '\0';
  scenario->start_endpoint[0] = '\0';
  g_array_set_size (scenario->actions, 0);
  executor_run_round (scenario->executor, scenario->other_offers, now_ms, scenario->actions);
  for (guint i = 0; i < scenario->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario->actions, executor_action_t, i);
      if (action->kind == EXECUTOR_POLL)
        scenario->poll_serial[strcmp (action->endpoint, endpoint_ids[1]) == 0] = action->serial;
      if (action->kind == EXECUTOR_STOP)
        g_strlcpy (scenario->stop_task, action->task, sizeof scenario->stop_task);
      if (action->kind == EXECUTOR_START)
        {
          scenario->start_serial = action->serial;
          g_strlcpy (scenario->start_endpoint, action->endpoint, sizeof scenario->start_endpoint);
          g_strlcpy (scenario->start_task, action->task, sizeof scenario->start_task);
        }
    }
}

/* The endpoint answers its last poll with COUNT active runs. */
static void
answer_poll (scenario_t *scenario, int number, const poll_active_t *rows, size_t count)
{
  const poll_result_t result = { .endpoint_clock_ms = scenario->now_ms + 5,
                                 .active = rows,
                                 .active_count = count };

  g_array_set_size (scenario->actions, 0);
  executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_OK, &result,
                          scenario->now_ms, scenario->actions);
}

/* The endpoints confirm all starts that the last round has ordered. */
static void
confirm_starts (scenario_t *scenario)
{
  GArray *serials = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (guint i = 0; i < scenario->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario->actions, executor_action_t, i);
      if (action->kind == EXECUTOR_START)
        g_array_append_val (serials, action->serial);
    }
  for (guint i = 0; i < serials->len; i++)
    executor_start_answered (scenario->executor, g_array_index (serials, uint64_t, i), EXECUTOR_OK,
                             scenario->now_ms + 5, scenario->now_ms, scenario->actions);
  g_array_unref (serials);
}

/* Begins a scenario with one endpoint, "e0" in rack "r1", without runs. */
static void
scenario_begin_idle (scenario_t *scenario, int64_t cores_milli)
{
  scenario_begin (scenario);
  add_endpoint (scenario, 0, "r1", cores_milli);
  run_round_at (scenario, 0);
  answer_poll (scenario, 0, NULL, 0);
}

/* True if the last event or round appended an action of KIND. */
static bool
has_action (const scenario_t *scenario, executor_action_kind_t kind)
{
  for (guint i = 0; i < scenario->actions->len; i++)
    if (g_array_index (scenario->actions, executor_action_t, i).kind == kind)
      return true;
  return false;
}

static executor_batch_t
batch_of (const char *job, uint64_t number)
{
  static const int32_t indexes[] = { 0 };

  return (executor_batch_t){ .coordinator = "h1",
                             .batch = number,
                             .job = job,
                             .spec = "work",
                             .service = SERVICE,
                             .need = { 1000, 10, 0 },
                             .estimate_ms = 60,
                             .objective_at_ms = 10000,
                             .deadline_at_ms = FAR_DEADLINE_MS,
                             .attempts_max = 3,
                             .required_label = "",
                             .preferred_rack = "",
                             .indexes = indexes,
                             .count = 1 };
}

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
      executor_release (scenario.executor, "h1", 1);
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

/* Returns the last action of KIND of the last event or round, or NULL. */
static const executor_action_t *
last_action (const scenario_t *scenario, executor_action_kind_t kind)
{
  const executor_action_t *found = NULL;

  for (guint i = 0; i < scenario->actions->len; i++)
    if (g_array_index (scenario->actions, executor_action_t, i).kind == kind)
      found = &g_array_index (scenario->actions, executor_action_t, i);
  return found;
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

#define SLOW_CLOCK_PERCENT 98

/* Time of the clock of an endpoint that shows 5 at time 0 and loses 2 percent. */
static int64_t
slow_clock_ms (int64_t now_ms)
{
  return 5 + now_ms * SLOW_CLOCK_PERCENT / 100;
}

static const struct
{
  const char *name;
  int64_t idle_ms;
  bool reads_clock_first;
} slow_clock_cases[] = {
  { "just polled", 0, false },      { "idle for 1 s", 1000, false },
  { "idle for 9 s", 9000, false },  { "idle for 30 s", 30000, true },
  { "idle for 90 s", 90000, true },
};

/* A lease that ends later on the endpoint than its owner believes lets a late order start a run
 * whose task runs elsewhere by then. */
static void
test_lease_on_slow_clock (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (slow_clock_cases); i++)
    {
      int64_t start_ms = slow_clock_cases[i].idle_ms;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      batch.deadline_at_ms = start_ms + FAR_DEADLINE_MS;
      batch.objective_at_ms = batch.deadline_at_ms;
      executor_submit (scenario.executor, &batch, start_ms);
      run_round_at (&scenario, start_ms);
      CU_ASSERT_EQUAL (!has_action (&scenario, EXECUTOR_START),
                       slow_clock_cases[i].reads_clock_first);
      if (!has_action (&scenario, EXECUTOR_START))
        {
          const poll_result_t result = { .endpoint_clock_ms = slow_clock_ms (start_ms) };
          executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                                  start_ms, scenario.actions);
          run_round_at (&scenario, start_ms);
        }
      const executor_action_t *start = last_action (&scenario, EXECUTOR_START);
      CU_ASSERT_PTR_NOT_NULL (start);
      int64_t until_ms = start != NULL ? start->lease_until_endpoint_ms : INT64_MAX;
      int64_t owner_end_ms = start_ms + LEASE_MS + LEASE_MS * EXECUTOR_CLOCK_SLACK_PERCENT / 100;
      if (until_ms > slow_clock_ms (owner_end_ms))
        printf ("  %s: %d ms too late\n", slow_clock_cases[i].name,
                (int) (until_ms - slow_clock_ms (owner_end_ms)));
      CU_ASSERT_TRUE (until_ms <= slow_clock_ms (owner_end_ms));
      scenario_end (&scenario);
    }
}

/* The clock of an idle endpoint is read from time to time; otherwise its next lease would be too
 * short for the run. */
static void
test_lease_after_long_idle (void)
{
  scenario_t scenario;
  executor_batch_t batch = batch_of ("j", 1);

  scenario_begin_idle (&scenario, 1000);
  for (int64_t now_ms = 1000; now_ms < 90000; now_ms += 1000)
    {
      const poll_result_t result = { .endpoint_clock_ms = slow_clock_ms (now_ms) };
      run_round_at (&scenario, now_ms);
      if (has_action (&scenario, EXECUTOR_POLL))
        executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                                now_ms, scenario.actions);
    }
  batch.deadline_at_ms = 90000 + FAR_DEADLINE_MS;
  batch.objective_at_ms = batch.deadline_at_ms;
  executor_submit (scenario.executor, &batch, 90000);
  run_round_at (&scenario, 90000);
  const executor_action_t *start = last_action (&scenario, EXECUTOR_START);
  CU_ASSERT_PTR_NOT_NULL (start);
  int64_t until_ms = start != NULL ? start->lease_until_endpoint_ms : 0;
  int64_t granted_ms = until_ms - slow_clock_ms (90000);
  CU_ASSERT_TRUE (granted_ms >= LEASE_MS * 2 / 3);
  CU_ASSERT_TRUE (granted_ms <= LEASE_MS + LEASE_MS * EXECUTOR_CLOCK_SLACK_PERCENT / 100);
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  poll_active_t row; /* listed by the endpoint after it has refused the order */
  size_t count;
  bool starts_again;
} old_attempt_cases[] = {
  { "a later attempt has ended", { "j.0.0.0", 5, 10 }, 0, true },
  { "a later attempt is running", { "j.0.0.0", 5, 10 }, 1, false },
};

/* An endpoint refuses an order because it has had a later attempt, of an earlier owner or
 * submission; that attempt may be running. */
static void
test_start_refused_for_later_attempt (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (old_attempt_cases); i++)
    {
      const poll_active_t *row = &old_attempt_cases[i].row;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;
      bool started_again = false;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", 1000);
      add_endpoint (&scenario, 1, "r2", 1000);
      run_round_at (&scenario, 0);
      answer_poll (&scenario, 0, NULL, 0);
      answer_poll (&scenario, 1, NULL, 0);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      int refusing = strcmp (scenario.start_endpoint, "e1") == 0;
      answer_poll (&scenario, refusing, NULL, 0);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OLD_ATTEMPT, 6, 1,
                               scenario.actions);
      for (int64_t now_ms = 2; now_ms < 40; now_ms++)
        {
          run_round_at (&scenario, now_ms);
          started_again |= has_action (&scenario, EXECUTOR_START);
          const executor_action_t *stop = last_action (&scenario, EXECUTOR_STOP);
          uint64_t stop_serial = stop != NULL ? stop->serial : 0;
          answer_poll (&scenario, refusing, row, old_attempt_cases[i].count);
          if (stop_serial != 0)
            executor_stop_answered (scenario.executor, stop_serial, EXECUTOR_OK, now_ms + 5, now_ms,
                                    scenario.actions);
        }
      if (started_again != old_attempt_cases[i].starts_again)
        printf ("  %s\n", old_attempt_cases[i].name);
      CU_ASSERT_EQUAL (started_again, old_attempt_cases[i].starts_again);
      scenario_end (&scenario);
    }
}

/* What was known of a start order when its endpoint started again. */
typedef enum
{
  ORDER_ANSWERED,
  ORDER_IN_FLIGHT,
  ORDER_UNANSWERED,
  ORDER_STOPPED /* unanswered, and a stop was confirmed before */
} order_state_t;

static const struct
{
  const char *name;
  order_state_t order;
  int64_t restarted_at_ms;
  bool stop_required; /* of the first attempt, at the new instance */
} restart_cases[] = {
  { "the order was answered", ORDER_ANSWERED, 200, false },
  { "the order was in flight", ORDER_IN_FLIGHT, 50, true },
  { "the order was not answered", ORDER_UNANSWERED, 200, true },
  { "the order was not answered and its attempt was stopped", ORDER_STOPPED, 600, true },
  { "the order was not answered, 16 s ago", ORDER_STOPPED, 16000, false },
};

static uint64_t
serial_of_last (const scenario_t *scenario, executor_action_kind_t kind)
{
  const executor_action_t *action = last_action (scenario, kind);

  CU_ASSERT_PTR_NOT_NULL (action);
  return action != NULL ? action->serial : 0;
}

/* The instance STARTED_AT_MS of "e0" answers its last poll and lists no runs. */
static void
answer_poll_of_instance (scenario_t *scenario, int64_t started_at_ms)
{
  const poll_result_t result = { .endpoint_clock_ms = scenario->now_ms + 5,
                                 .started_at_ms = started_at_ms };

  executor_poll_answered (scenario->executor, scenario->poll_serial[0], EXECUTOR_OK, &result,
                          scenario->now_ms, scenario->actions);
}

/* Runs rounds until the attempt of the order is stopped and its task waits again. */
static void
stop_unanswered_order (scenario_t *scenario)
{
  run_round_at (scenario, 100);
  answer_poll_of_instance (scenario, 1);
  run_round_at (scenario, 101);
  uint64_t stop_serial = serial_of_last (scenario, EXECUTOR_STOP);
  answer_poll_of_instance (scenario, 1);
  executor_stop_answered (scenario->executor, stop_serial, EXECUTOR_OK, 106, 102,
                          scenario->actions);
  executor_cancel (scenario->executor, "h1", 1, 102, scenario->actions);
  run_round_at (scenario, 103);
  answer_poll_of_instance (scenario, 1);
  run_round_at (scenario, 104);
  CU_ASSERT_EQUAL (executor_totals (scenario->executor, 104).running, 0);
}

/* A start order that is carried out late by a later instance of its endpoint starts a run, since
 * that instance knows no stop and its clock starts anew. */
static void
test_late_order_after_restart (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (restart_cases); i++)
    {
      int64_t now_ms = restart_cases[i].restarted_at_ms;
      order_state_t order = restart_cases[i].order;
      executor_batch_t batch = batch_of ("j", 1);
      executor_batch_t next = batch_of ("k", 2);
      scenario_t scenario;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", 1000);
      run_round_at (&scenario, 0);
      answer_poll_of_instance (&scenario, 1);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      uint64_t start_serial = scenario.start_serial;
      answer_poll_of_instance (&scenario, 1);
      if (order == ORDER_ANSWERED)
        executor_start_answered (scenario.executor, start_serial, EXECUTOR_OK, 6, 1,
                                 scenario.actions);
      if (order == ORDER_UNANSWERED || order == ORDER_STOPPED)
        executor_start_answered (scenario.executor, start_serial, EXECUTOR_NO_ANSWER, 0, 80,
                                 scenario.actions);
      if (order == ORDER_STOPPED)
        stop_unanswered_order (&scenario);
      executor_endpoint_t later = { .id = "e0",
                                    .address = "127.0.0.1:1",
                                    .service = SERVICE,
                                    .kind = "a",
                                    .rack = "r1",
                                    .started_at_ms = 2,
                                    .free = { 1000, 1000, 0 } };
      executor_set_endpoint (scenario.executor, &later, now_ms);
      next.deadline_at_ms = now_ms + FAR_DEADLINE_MS;
      next.objective_at_ms = next.deadline_at_ms;
      executor_submit (scenario.executor, &next, now_ms);
      run_round_at (&scenario, now_ms);
      answer_poll_of_instance (&scenario, 2);
      run_round_at (&scenario, now_ms + 1);
      if (has_action (&scenario, EXECUTOR_STOP) != restart_cases[i].stop_required)
        printf ("  %s\n", restart_cases[i].name);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_STOP), restart_cases[i].stop_required);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_START), !restart_cases[i].stop_required);
      uint64_t stop_serial =
          restart_cases[i].stop_required ? serial_of_last (&scenario, EXECUTOR_STOP) : 0;
      answer_poll_of_instance (&scenario, 2);
      if (restart_cases[i].stop_required)
        {
          executor_stop_answered (scenario.executor, stop_serial, EXECUTOR_OK, now_ms + 7,
                                  now_ms + 2, scenario.actions);
          run_round_at (&scenario, now_ms + 3);
          CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_START));
          answer_poll_of_instance (&scenario, 2);
          run_round_at (&scenario, now_ms + 4);
          CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_START));
        }
      scenario_end (&scenario);
    }
}

/* The coordinator "h1" is silent from 0 on. */
static const struct
{
  const char *name;
  int64_t start_ms;
  int64_t lost_ms; /* when it counts as lost; 0 if it does not */
  int64_t lease_min_ms;
} silent_coordinator_cases[] = {
  { "just heard", 0, 0, LEASE_MS },
  { "silent for a heartbeat", 100, 0, LEASE_MS },
  { "silent for 700 ms", 700, 0, 400 },
  { "lost, and a stop is not answered", 700, 800, 300 },
};

/* The caller of a coordinator that has crashed submits its job again RESUBMIT_MS later; no run may
 * be alive then, even if its endpoint cannot be told to stop it. */
static void
test_lease_of_silent_coordinator (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (silent_coordinator_cases); i++)
    {
      int64_t start_ms = silent_coordinator_cases[i].start_ms;
      int64_t lost_ms = silent_coordinator_cases[i].lost_ms;
      int64_t until_ms = 0;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_coordinator_heard (scenario.executor, "h1", 0);
      executor_submit (scenario.executor, &batch, start_ms);
      for (int64_t now_ms = start_ms; now_ms < start_ms + 400; now_ms += 50)
        {
          if (lost_ms != 0 && now_ms == lost_ms)
            executor_remove_coordinator (scenario.executor, "h1", 0, now_ms, scenario.actions);
          run_round_at (&scenario, now_ms);
          for (guint k = 0; k < scenario.actions->len; k++)
            until_ms = MAX (
                until_ms,
                g_array_index (scenario.actions, executor_action_t, k).lease_until_endpoint_ms);
          if (lost_ms == 0)
            break;
          executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_NO_ANSWER,
                                  NULL, now_ms, scenario.actions);
        }
      /* The clock of the endpoint shows 5 ms more. */
      if (until_ms - 5 >= RESUBMIT_MS)
        printf ("  %s: until %d\n", silent_coordinator_cases[i].name, (int) until_ms);
      CU_ASSERT_TRUE (until_ms - 5 < RESUBMIT_MS);
      /* The clock was read at 0 and may be slow. */
      CU_ASSERT_TRUE (until_ms - 5 - start_ms + start_ms * EXECUTOR_CLOCK_SLACK_PERCENT / 100 + 1
                      >= silent_coordinator_cases[i].lease_min_ms);
      scenario_end (&scenario);
    }
}

static executor_load_t
load_report_at (const scenario_t *scenario, int64_t now_ms)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));

  executor_loads (scenario->executor, now_ms, loads);
  CU_ASSERT_EQUAL_FATAL (loads->len, 1);
  executor_load_t load = g_array_index (loads, executor_load_t, 0);
  g_array_unref (loads);
  return load;
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

/* --- endpoints that are lost under a task --- */

/* Endpoint NUMBER answers its last poll as the instance STARTED_AT_MS, without runs. */
static void
answer_as_instance (scenario_t *scenario, int number, int64_t started_at_ms)
{
  const poll_result_t result = { .endpoint_clock_ms = scenario->now_ms + 5,
                                 .started_at_ms = started_at_ms };

  g_array_set_size (scenario->actions, 0);
  executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_OK, &result,
                          scenario->now_ms, scenario->actions);
}

/* Begins a scenario with two idle endpoints and a batch, whose first task has started on e0. */
static void
scenario_begin_with_run (scenario_t *scenario, const executor_batch_t *batch)
{
  scenario_begin (scenario);
  add_endpoint (scenario, 0, "r1", 3000);
  add_endpoint (scenario, 1, "r1", 4000);
  run_round_at (scenario, 10);
  answer_as_instance (scenario, 0, 1);
  answer_as_instance (scenario, 1, 1);
  executor_submit (scenario->executor, batch, 10);
  run_round_at (scenario, 10);
  CU_ASSERT_STRING_EQUAL (scenario->start_endpoint, "e0");
  confirm_starts (scenario);
}

static const struct
{
  const char *name;
  bool confirmed; /* the start, before the poll shows the restart */
} unnoticed_instance_cases[] = {
  { "the start was confirmed", true },
  { "the start was not answered", false },
};

/* The first order to an endpoint that has restarted unnoticed starts a run on the new instance.
 * That run goes on, and its task does not start elsewhere. */
static void
test_run_on_unnoticed_instance (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (unnoticed_instance_cases); i++)
    {
      const poll_active_t row = { "j.0.0.0", 1, 10 };
      const poll_result_t result = {
        .endpoint_clock_ms = 5, .started_at_ms = 900, .active = &row, .active_count = 1
      };
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", 3000);
      add_endpoint (&scenario, 1, "r1", 4000);
      run_round_at (&scenario, 0);
      answer_as_instance (&scenario, 0, 1);
      answer_as_instance (&scenario, 1, 1);
      executor_submit (scenario.executor, &batch, 1000);
      run_round_at (&scenario, 1000);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      if (unnoticed_instance_cases[i].confirmed)
        executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 101, 1001,
                                 scenario.actions);
      run_round_at (&scenario, 1002);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                              1003, scenario.actions);
      bool stopped = false;
      for (int64_t now_ms = 1004; now_ms < 1004 + LEASE_MS / 2; now_ms += 10)
        {
          run_round_at (&scenario, now_ms);
          CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
          stopped |= scenario.stop_task[0] != '\0';
        }
      if (stopped)
        printf ("  %s: stopped\n", unnoticed_instance_cases[i].name);
      CU_ASSERT_FALSE (stopped);
      scenario_end (&scenario);
    }
}

/* The endpoint of the last start order restarts at NOW_MS. */
static void
restart_endpoint_at (scenario_t *scenario, int64_t now_ms)
{
  int number = strcmp (scenario->start_endpoint, "e1") == 0;

  executor_start_answered (scenario->executor, scenario->start_serial, EXECUTOR_OK,
                           scenario->now_ms, scenario->now_ms, scenario->actions);
  run_round_at (scenario, now_ms);
  answer_as_instance (scenario, number, now_ms);
  run_round_at (scenario, now_ms + 1);
}

/* A task that crashes the endpoints that start it would take them down one after the other. */
static void
test_crashing_task_given_up (void)
{
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_with_run (&scenario, &batch);
  restart_endpoint_at (&scenario, 50);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  restart_endpoint_at (&scenario, 100);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_FAILED));
  scenario_end (&scenario);
}

/* Endpoints that leave and start again have not crashed under the tasks that they cut short. */
static void
test_leaving_endpoints_not_crashed (void)
{
  executor_endpoint_t leaving = { .address = "127.0.0.1:1",
                                  .service = SERVICE,
                                  .kind = "a",
                                  .rack = "r1",
                                  .started_at_ms = 1,
                                  .free = { 3000, 1000, 0 },
                                  .leaving = true };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_with_run (&scenario, &batch);
  for (int number = 0; number < 2; number++)
    {
      leaving.id = endpoint_ids[number];
      executor_set_endpoint (scenario.executor, &leaving, scenario.now_ms);
      restart_endpoint_at (&scenario, 50 + 50 * number);
      add_instance (&scenario, number, "r1", 3000, 50 + 50 * number);
      run_round_at (&scenario, 60 + 50 * number);
      answer_as_instance (&scenario, number, 50 + 50 * number);
      run_round_at (&scenario, 61 + 50 * number);
    }
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 120).running, 1);
  scenario_end (&scenario);
}

/* A run on a later instance, which is alive, must not count as lost with the earlier instance. */
static void
test_run_on_later_instance_not_lost (void)
{
  const poll_active_t row = { "j.0.0.0", 1, 10 };
  const poll_result_t result = {
    .endpoint_clock_ms = 5, .started_at_ms = 8, .active = &row, .active_count = 1
  };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_with_run (&scenario, &batch);
  for (int64_t now_ms = 200; now_ms <= 400; now_ms += 200)
    {
      run_round_at (&scenario, now_ms);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_NO_ANSWER, NULL,
                              now_ms + 100, scenario.actions);
    }
  run_round_at (&scenario, 600);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 601,
                          scenario.actions);
  run_round_at (&scenario, 610);
  answer_as_instance (&scenario, 0, 605);
  run_round_at (&scenario, 620);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  int64_t restarted_at_ms; /* start of the instance that answers in the end; 0 if none answers */
  bool given_up;
} lost_cases[] = {
  { "e0 has crashed as well", 2000, true },
  { "e0 was only cut off", 1, false },
  { "e0 stays silent", 0, false },
};

/* A lease that expires shows a crash only once its endpoint answers as another instance. */
static void
test_lost_endpoint_resolved (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (lost_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;
      int64_t now_ms = 0;

      scenario_begin_with_run (&scenario, &batch);
      uint64_t lost_poll = scenario.poll_serial[0];
      executor_poll_answered (scenario.executor, lost_poll, EXECUTOR_NO_ANSWER, NULL, 500,
                              scenario.actions);
      while (now_ms < 2 * LEASE_MS && strcmp (scenario.start_endpoint, "e1") != 0)
        run_round_at (&scenario, now_ms += 10);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
      restart_endpoint_at (&scenario, now_ms + 10);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
      if (lost_cases[i].restarted_at_ms != 0)
        answer_as_instance (&scenario, 0, lost_cases[i].restarted_at_ms);
      run_round_at (&scenario, now_ms + 20);
      if (has_action (&scenario, EXECUTOR_FAILED) != lost_cases[i].given_up)
        printf ("  %s\n", lost_cases[i].name);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_FAILED), lost_cases[i].given_up);
      scenario_end (&scenario);
    }
}

/* Runs beside a task that crashes its endpoint would be lost with it. */
static void
test_nothing_starts_beside_suspect (void)
{
  static const int32_t other_indexes[] = { 0, 1, 2, 3, 4, 5, 6 };
  executor_batch_t batch = batch_of ("j", 1);
  executor_batch_t other = batch_of ("other", 2);
  scenario_t scenario;
  int starts[2] = { 0, 0 };

  scenario_begin_with_run (&scenario, &batch);
  restart_endpoint_at (&scenario, 50);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  add_instance (&scenario, 0, "r1", 3000, 50);
  answer_as_instance (&scenario, 0, 50);
  other.indexes = other_indexes;
  other.count = G_N_ELEMENTS (other_indexes);
  executor_submit (scenario.executor, &other, 52);
  run_round_at (&scenario, 52);
  for (guint i = 0; i < scenario.actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario.actions, executor_action_t, i);
      if (action->kind == EXECUTOR_START)
        starts[strcmp (action->endpoint, "e1") == 0]++;
    }
  CU_ASSERT_EQUAL (starts[0], 3);
  CU_ASSERT_EQUAL (starts[1], 0);
  scenario_end (&scenario);
}

/* A task that is held back after crashes must not make others be refused for the time that it has
 * waited. */
static void
test_held_task_refuses_no_other (void)
{
  const executor_options_t options = { .lease_ms = LEASE_MS, .stop_ms = STOP_TIMEOUT_MS };
  executor_batch_t running = batch_of ("running", 1);
  executor_batch_t held = batch_of ("held", 2);
  executor_batch_t other = batch_of ("other", 3);
  scenario_t scenario;

  scenario_begin (&scenario);
  executor_free (scenario.executor);
  crash_history_t *crashes = crash_history_new ();
  executor_options_t with_crashes = options;
  with_crashes.crashes = crashes;
  scenario.executor = executor_new (&with_crashes);
  for (int i = 0; i < 2; i++)
    {
      crash_loss_t loss = { .task = "held.0.0.0",
                            .attempt = i + 1,
                            .endpoint = endpoint_ids[i],
                            .endpoint_started_at_ms = 1,
                            .had_started = true };
      CU_ASSERT_TRUE (crash_history_add (crashes, &loss, 0));
    }
  add_endpoint (&scenario, 0, "r1", 1000);
  run_round_at (&scenario, 0);
  answer_poll (&scenario, 0, NULL, 0);
  executor_submit (scenario.executor, &running, 0);
  executor_submit (scenario.executor, &held, 0);
  run_round_at (&scenario, 0);
  CU_ASSERT_STRING_EQUAL (scenario.start_task, "running.0.0.0");
  confirm_starts (&scenario);
  other.deadline_at_ms = 560;
  executor_submit (scenario.executor, &other, 300);
  run_round_at (&scenario, 300);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_EXPIRED));
  scenario_end (&scenario);
  crash_history_free (crashes);
}

/* If several endpoints are lost, those that are left must not all be given to the tasks that were
 * on them. */
static void
test_suspects_leave_endpoints (void)
{
  static const int32_t indexes[] = { 0, 1, 2 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;
  int starts = 0;

  batch.indexes = indexes;
  batch.count = G_N_ELEMENTS (indexes);
  scenario_begin_with_run (&scenario, &batch);
  run_round_at (&scenario, 49);
  answer_as_instance (&scenario, 0, 50);
  run_round_at (&scenario, 50);
  answer_as_instance (&scenario, 0, 50);
  run_round_at (&scenario, 51);
  for (guint i = 0; i < scenario.actions->len; i++)
    starts += g_array_index (scenario.actions, executor_action_t, i).kind == EXECUTOR_START;
  CU_ASSERT_TRUE (starts <= 1);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 51).running, 1);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 51).waiting, 2);
  scenario_end (&scenario);
}

/* --- capacity that shrinks and grows --- */

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
  executor_cancel (scenario.executor, "h1", 2, 3, scenario.actions);
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

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "a drained data centre returns waiting tasks", test_drained_returns_waiting },
  { "runs in a drained data centre continue", test_drained_runs_continue },
  { "offers of a drained data centre", test_drained_offers },
  { "a drain at full load", test_drained_at_full_load },
  { "duration on a cold endpoint", test_cold_endpoint },
  { "an instance after the clock was set back", test_instance_after_clock_jump },
  { "the lease of a silent coordinator", test_lease_of_silent_coordinator },
  { "a start refused for a later attempt", test_start_refused_for_later_attempt },
  { "a late order after a restart", test_late_order_after_restart },
  { "a lease on a slow clock", test_lease_on_slow_clock },
  { "a lease after a long idle time", test_lease_after_long_idle },
  { "a batch is submitted again", test_batch_resubmitted },
  { "reported load", test_load },
  { "the entry of an endpoint is removed", test_entry_removed },
  { "a run on an endpoint whose entry is missing", test_run_on_removed_endpoint },
  { "an endpoint's capacity shrinks and grows", test_capacity_reported },
  { "an endpoint's capacity shrinks while a run is being stopped", test_capacity_stopping },
  { "an endpoint restarts with another capacity", test_capacity_after_restart },
  { "an endpoint refuses every start", test_capacity_refused },
  { "the fastest endpoint has no capacity left", test_capacity_of_fastest_lost },
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
  { "a run on an instance that was not noticed before", test_run_on_unnoticed_instance },
  { "a task that crashes endpoints is given up", test_crashing_task_given_up },
  { "endpoints that leave have not crashed", test_leaving_endpoints_not_crashed },
  { "a run on a later instance does not count as lost", test_run_on_later_instance_not_lost },
  { "a lost endpoint answers again", test_lost_endpoint_resolved },
  { "nothing starts beside a suspect task", test_nothing_starts_beside_suspect },
  { "a task that is held back refuses no other", test_held_task_refuses_no_other },
  { "suspect tasks leave endpoints to others", test_suspects_leave_endpoints },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("executor", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
