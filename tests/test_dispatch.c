/* test_dispatch.c -- tests of lib/dispatch: admission, starts, limits, ejection and fairness */
#include "dispatch/dispatch.h"
#include "tests/test_dispatch_fake.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define ENDPOINTS_MAX 20
#define SLOTS 4
#define ENDPOINT_ID_BYTES 16
#define TASK_TIMEOUT_MS 10000

/* A dispatch_t with the endpoints e0, e1, ..., and the number of starts at each of them. */
typedef struct
{
  fake_limits_t *limits;
  dispatch_t *dispatch;
  GArray *actions;
  dispatch_endpoint_t endpoints[ENDPOINTS_MAX];
  char names[ENDPOINTS_MAX][ENDPOINT_ID_BYTES];
  int32_t count;
  int64_t now_ms;
  uint64_t last_ticket;
  int32_t starts[ENDPOINTS_MAX];
} driver_t;

static void
driver_set_endpoints (driver_t *driver)
{
  dispatch_set_endpoints (driver->dispatch, driver->endpoints, (size_t) driver->count,
                          driver->now_ms);
}

static driver_t *
driver_new (int32_t count)
{
  driver_t *driver = g_new0 (driver_t, 1);
  dispatch_options_t options = DISPATCH_OPTIONS_DEFAULT;

  driver->limits = fake_new ();
  driver->dispatch = dispatch_new (&options, &driver->limits->base);
  driver->actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));
  driver->count = count;
  driver->now_ms = 1000000;
  for (int32_t e = 0; e < count; e++)
    {
      g_snprintf (driver->names[e], ENDPOINT_ID_BYTES, "e%d", e);
      driver->endpoints[e] = (dispatch_endpoint_t){ .id = driver->names[e],
                                                    .rack = "r1",
                                                    .slots = SLOTS,
                                                    .connections = 60,
                                                    .cores = 32,
                                                    .memory_mb = 65536 };
      fake_set (driver->limits, DISPATCH_LIMIT_SLOTS, driver->names[e], SLOTS);
    }
  driver_set_endpoints (driver);
  return driver;
}

static void
driver_free (driver_t *driver)
{
  dispatch_free (driver->dispatch);
  fake_free (driver->limits);
  g_array_unref (driver->actions);
  g_free (driver);
}

static dispatch_task_t
default_task (const driver_t *driver)
{
  return (dispatch_task_t){ .plan = "gold",
                            .kind = "check",
                            .cores = 1,
                            .memory_mb = 256,
                            .deadline_at_ms = driver->now_ms + TASK_TIMEOUT_MS };
}

static uint64_t
driver_add (driver_t *driver, const dispatch_task_t *task)
{
  dispatch_event_t event = { .kind = DISPATCH_ADD, .ticket = ++driver->last_ticket, .task = task };

  dispatch_step (driver->dispatch, &event, driver->now_ms, driver->actions);
  return event.ticket;
}

static void
driver_remove (driver_t *driver, uint64_t ticket)
{
  dispatch_event_t event = { .kind = DISPATCH_REMOVE, .ticket = ticket };

  dispatch_step (driver->dispatch, &event, driver->now_ms, driver->actions);
}

static void
driver_end (driver_t *driver, uint64_t ticket, dispatch_outcome_t outcome, int64_t elapsed_ms)
{
  dispatch_event_t event = {
    .kind = DISPATCH_ENDED, .ticket = ticket, .outcome = outcome, .elapsed_us = elapsed_ms * 1000
  };

  dispatch_step (driver->dispatch, &event, driver->now_ms, driver->actions);
}

static int32_t
endpoint_index (const char *endpoint)
{
  return (int32_t) g_ascii_strtoll (endpoint + 1, NULL, 10);
}

/* Runs a scheduling round.  Returns the number of actions, which are left in
 * driver->actions. */
static guint
driver_run (driver_t *driver)
{
  const dispatch_event_t run = { .kind = DISPATCH_RUN };

  g_array_set_size (driver->actions, 0);
  dispatch_step (driver->dispatch, &run, driver->now_ms, driver->actions);
  for (guint i = 0; i < driver->actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (driver->actions, dispatch_action_t, i);
      if (action->kind == DISPATCH_START)
        driver->starts[endpoint_index (action->endpoint)]++;
    }
  return driver->actions->len;
}

static const dispatch_action_t *
action_at (const driver_t *driver, guint i)
{
  return &g_array_index (driver->actions, dispatch_action_t, i);
}

/* Runs COUNT tasks one after the other.  Those at the first FAILING endpoints end with
 * OUTCOME after FAILING_MS, all others succeed after 20 ms.  Returns the number of
 * tasks that the failing endpoints got. */
static int32_t
run_tasks (driver_t *driver,
           int32_t count,
           int32_t failing,
           dispatch_outcome_t outcome,
           int64_t failing_ms,
           bool repeatable)
{
  int32_t before = 0;
  int32_t after = 0;

  for (int32_t e = 0; e < failing; e++)
    before += driver->starts[e];
  for (int32_t i = 0; i < count; i++)
    {
      dispatch_task_t task = default_task (driver);
      task.repeatable = repeatable;
      driver_add (driver, &task);
      CU_ASSERT_EQUAL_FATAL (driver_run (driver), 1);
      bool is_failing = endpoint_index (action_at (driver, 0)->endpoint) < failing;
      uint64_t ticket = action_at (driver, 0)->ticket;
      driver->now_ms += 20;
      driver_end (driver, ticket, is_failing ? outcome : DISPATCH_DONE,
                  is_failing ? failing_ms : 20);
      if (is_failing && outcome == DISPATCH_NOT_STARTED)
        driver_remove (driver, ticket);
    }
  for (int32_t e = 0; e < failing; e++)
    after += driver->starts[e];
  return after - before;
}

/* --- admission --- */

typedef struct
{
  const char *name;
  int32_t cores;
  int64_t memory_mb;
  int64_t timeout_ms;
  int32_t count;
  int32_t running_max; /* 0 for no limit */
  bool measured;       /* the kind was measured at 100 ms */
  int32_t queued;      /* tasks queued before */
  int expected;
  bool sets_retry;
} admit_case_t;

static const admit_case_t admit_cases[] = {
  { "idle", 1, 256, 1000, 1, 0, true, 0, 0, false },
  { "never measured", 1, 256, 5, 1, 0, false, 0, 0, false },
  { "too many cores", 33, 256, 1000, 1, 0, true, 0, ERROR_NEVER_FITS, false },
  { "too much memory", 1, 65537, 1000, 1, 0, true, 0, ERROR_NEVER_FITS, false },
  { "task as large as an endpoint", 32, 65536, 1000, 1, 0, true, 0, 0, false },
  { "shorter than the task", 1, 256, 50, 1, 0, true, 0, ERROR_DEADLINE_UNREACHABLE, false },
  { "job longer than its deadline", 1, 256, 1000, 510, 0, true, 0, ERROR_DEADLINE_UNREACHABLE,
    false },
  { "deadline passed", 1, 256, 0, 1, 0, false, 0, ERROR_DEADLINE_UNREACHABLE, false },
  { "short queue", 1, 256, 1000, 1, 0, true, 20, 0, false },
  { "long queue", 1, 256, 1000, 1, 0, true, 200, ERROR_OVERLOADED, true },
  { "at the plan's limit", 1, 256, 1000, 1, 1, true, 20, ERROR_PLAN_LIMIT, true },
};

static void
test_admit (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (admit_cases); i++)
    {
      const admit_case_t *row = &admit_cases[i];
      driver_t *driver = driver_new (4);
      dispatch_task_t task = default_task (driver);
      int64_t retry_at_ms = 0;

      for (int32_t n = 0; row->measured && n < 20; n++)
        {
          driver_add (driver, &task);
          driver_run (driver);
          driver_end (driver, driver->last_ticket, DISPATCH_DONE, 100);
        }
      if (row->running_max > 0)
        fake_set (driver->limits, DISPATCH_LIMIT_RUNNING, "gold", row->running_max);
      task.deadline_at_ms = driver->now_ms + 1000;
      for (int32_t n = 0; n < row->queued; n++)
        driver_add (driver, &task);
      task.cores = row->cores;
      task.memory_mb = row->memory_mb;
      task.deadline_at_ms = driver->now_ms + row->timeout_ms;
      int result =
          dispatch_admit (driver->dispatch, &task, row->count, driver->now_ms, &retry_at_ms);
      if (result != row->expected)
        printf ("%s: %d\n", row->name, result);
      CU_ASSERT_EQUAL (result, row->expected);
      if (row->sets_retry)
        CU_ASSERT (retry_at_ms > driver->now_ms && retry_at_ms < driver->now_ms + 60000);
      driver_free (driver);
    }
}

/* Jobs refused in succession must get increasing retry times; otherwise all clients
 * would retry at the same time. */
static void
test_retry_spread (void)
{
  driver_t *driver = driver_new (2);
  int64_t last_ms = 0;

  run_tasks (driver, 20, 0, DISPATCH_DONE, 20, false);
  dispatch_task_t task = default_task (driver);
  for (int32_t n = 0; n < 5000; n++)
    driver_add (driver, &task);
  for (int32_t n = 0; n < 100; n++)
    {
      int64_t retry_at_ms = 0;
      CU_ASSERT_EQUAL (dispatch_admit (driver->dispatch, &task, 8, driver->now_ms, &retry_at_ms),
                       ERROR_OVERLOADED);
      CU_ASSERT (retry_at_ms > last_ms);
      last_ms = retry_at_ms;
    }
  driver_free (driver);
}

/* --- starts --- */

/* Endpoints that leave, or are no longer listed, must not get tasks. */
static void
test_leaving_endpoint (void)
{
  driver_t *driver = driver_new (3);

  driver->endpoints[0].leaving = true;
  driver_set_endpoints (driver);
  run_tasks (driver, 100, 0, DISPATCH_DONE, 20, false);
  CU_ASSERT_EQUAL (driver->starts[0], 0);
  CU_ASSERT_EQUAL (driver->starts[1] + driver->starts[2], 100);
  /* Endpoints that are no longer listed get no tasks either. */
  driver->endpoints[1] = driver->endpoints[2];
  driver->endpoints[0] = driver->endpoints[2];
  driver->count = 1;
  driver_set_endpoints (driver);
  int32_t before = driver->starts[1];
  run_tasks (driver, 10, 0, DISPATCH_DONE, 20, false);
  CU_ASSERT_EQUAL (driver->starts[1], before);
  driver_free (driver);
}

/* A task must not be lost by a failed connect nor return to the same endpoint. */
static void
test_failed_connect (void)
{
  driver_t *driver = driver_new (2);
  dispatch_task_t task = default_task (driver);
  uint64_t ticket = driver_add (driver, &task);

  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 1);
  int32_t first_endpoint = endpoint_index (action_at (driver, 0)->endpoint);
  driver_end (driver, ticket, DISPATCH_NOT_STARTED, 1);
  CU_ASSERT (dispatch_is_queued (driver->dispatch, ticket));
  /* The back-off of the first endpoint has passed, but this task must avoid it. */
  driver->now_ms += 300;
  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 1);
  CU_ASSERT_EQUAL (action_at (driver, 0)->ticket, ticket);
  CU_ASSERT_NOT_EQUAL (endpoint_index (action_at (driver, 0)->endpoint), first_endpoint);
  driver_end (driver, ticket, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL (dispatch_totals (driver->dispatch).running, 0);
  driver_free (driver);
}

/* A queued task is given up once it cannot end before its deadline, and not before. */
static void
test_give_up (void)
{
  driver_t *driver = driver_new (1);
  dispatch_task_t task = default_task (driver);

  run_tasks (driver, 20, 0, DISPATCH_DONE, 20, false);
  for (int32_t n = 0; n < SLOTS; n++)
    driver_add (driver, &task);
  CU_ASSERT_EQUAL (driver_run (driver), SLOTS);
  task.deadline_at_ms = driver->now_ms + 500;
  uint64_t ticket = driver_add (driver, &task);
  driver->now_ms += 400;
  CU_ASSERT_EQUAL (driver_run (driver), 0);
  driver->now_ms += 95;
  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 1);
  CU_ASSERT_EQUAL (action_at (driver, 0)->kind, DISPATCH_GIVE_UP);
  CU_ASSERT_EQUAL (action_at (driver, 0)->ticket, ticket);
  CU_ASSERT_FALSE (dispatch_is_queued (driver->dispatch, ticket));
  driver_free (driver);
}

static int32_t
used_slots (const driver_t *driver)
{
  int32_t used = 0;

  for (int32_t e = 0; e < driver->count; e++)
    used += fake_find (driver->limits, DISPATCH_LIMIT_SLOTS, driver->names[e])->used;
  return used;
}

/* An endpoint without a limit on slots must not get more tasks than it has slots. */
static void
test_slots_without_limit (void)
{
  driver_t *driver = driver_new (2);
  dispatch_task_t task = default_task (driver);

  g_hash_table_remove_all (driver->limits->by_name[DISPATCH_LIMIT_SLOTS]);
  for (int32_t n = 0; n < 20; n++)
    driver_add (driver, &task);
  CU_ASSERT_EQUAL (driver_run (driver), 2 * SLOTS);
  driver_free (driver);
}

static void
test_limits (void)
{
  driver_t *driver = driver_new (4);
  dispatch_task_t task = default_task (driver);

  fake_set (driver->limits, DISPATCH_LIMIT_RUNNING, "gold", 3);
  fake_set (driver->limits, DISPATCH_LIMIT_STARTS, "gold", 5);
  for (int32_t n = 0; n < 10; n++)
    driver_add (driver, &task);
  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 3);
  uint64_t first_ticket = action_at (driver, 0)->ticket;
  uint64_t second = action_at (driver, 1)->ticket;
  uint64_t third = action_at (driver, 2)->ticket;
  driver_end (driver, first_ticket, DISPATCH_DONE, 20);
  driver_end (driver, second, DISPATCH_DONE, 20);
  driver_end (driver, third, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL (driver_run (driver), 2);
  CU_ASSERT_EQUAL (used_slots (driver), 2);
  /* There is no event for new starts; the periodic refresh must find them. */
  fake_set (driver->limits, DISPATCH_LIMIT_STARTS, "gold", 10);
  driver->now_ms += 50;
  CU_ASSERT_EQUAL (driver_run (driver), 1);
  driver_free (driver);
}

/* A task that needs all slots of an endpoint must not wait forever because small tasks
 * take each slot that becomes free. */
static void
test_large_task (void)
{
  driver_t *driver = driver_new (1);
  dispatch_task_t small = default_task (driver);
  dispatch_task_t large = default_task (driver);

  large.cores = 32;
  driver_add (driver, &small);
  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 1);
  uint64_t first_ticket = action_at (driver, 0)->ticket;
  uint64_t large_ticket = driver_add (driver, &large);
  CU_ASSERT_EQUAL (driver_run (driver), 0);
  /* The endpoint is now reserved for the large task. */
  uint64_t later_ticket = driver_add (driver, &small);
  CU_ASSERT_EQUAL (driver_run (driver), 0);
  driver_end (driver, first_ticket, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 1);
  CU_ASSERT_EQUAL (action_at (driver, 0)->ticket, large_ticket);
  CU_ASSERT_EQUAL (fake_available (&driver->limits->base, DISPATCH_LIMIT_SLOTS, "e0", 0), 0);
  driver_end (driver, large_ticket, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 1);
  CU_ASSERT_EQUAL (action_at (driver, 0)->ticket, later_ticket);
  driver_free (driver);
}

static void
test_mass_cancellation (void)
{
  driver_t *driver = driver_new (1);
  dispatch_task_t task = default_task (driver);

  for (int32_t n = 0; n < 20000; n++)
    driver_add (driver, &task);
  for (uint64_t ticket = 20000; ticket > 0; ticket--)
    driver_remove (driver, ticket);
  CU_ASSERT_EQUAL (dispatch_totals (driver->dispatch).queued, 0);
  CU_ASSERT_EQUAL (driver_run (driver), 0);
  driver_free (driver);
}

/* --- failures --- */

typedef struct
{
  const char *name;
  int32_t failing;
  dispatch_outcome_t outcome;
  int64_t failing_ms;
  int32_t max_first; /* starts at failing endpoints allowed in the first 2000 tasks */
  int32_t max_later; /* the same in the next 5000 */
  int32_t max_ejected;
} failing_case_t;

/* With ten endpoints.  A bound of 49 is below 1 % of 5000 tasks. */
static const failing_case_t failing_cases[] = {
  { "one fails everything", 1, DISPATCH_FAILED, 1, 50, 49, 1 },
  { "one drops connections", 1, DISPATCH_CONNECTION_LOST, 1, 50, 49, 1 },
  { "one never answers", 1, DISPATCH_TIMEOUT, 5000, 50, 49, 1 },
  { "one refuses connects", 1, DISPATCH_NOT_STARTED, 1, 50, 49, 0 },
  { "five fail everything", 5, DISPATCH_FAILED, 1, 150, 150, 5 },
};

static void
test_failing (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (failing_cases); i++)
    {
      const failing_case_t *row = &failing_cases[i];
      driver_t *driver = driver_new (10);
      int32_t first_starts =
          run_tasks (driver, 2000, row->failing, row->outcome, row->failing_ms, true);
      int32_t later_starts =
          run_tasks (driver, 5000, row->failing, row->outcome, row->failing_ms, true);
      int32_t ejected = dispatch_totals (driver->dispatch).ejected;

      printf ("%s: %d, then %d; %d ejected\n", row->name, first_starts, later_starts, ejected);
      CU_ASSERT (first_starts <= row->max_first);
      CU_ASSERT (later_starts <= row->max_later);
      CU_ASSERT (ejected <= row->max_ejected);
      driver_free (driver);
    }
}

/* Nine of ten endpoints fail, but no more than half may be ejected. */
static void
test_ejection_bound (void)
{
  driver_t *driver = driver_new (10);

  for (int32_t n = 0; n < 50; n++)
    {
      run_tasks (driver, 40, 9, DISPATCH_FAILED, 1, false);
      CU_ASSERT (dispatch_totals (driver->dispatch).ejected <= 5);
    }
  driver_free (driver);
}

/* Tasks begin to fail at every endpoint alike.  The cause is then the tasks, so no
 * endpoint may be ejected. */
static void
test_failing_tasks_eject_none (void)
{
  driver_t *driver = driver_new (10);

  run_tasks (driver, 1000, 0, DISPATCH_DONE, 20, false);
  for (int32_t n = 0; n < 100; n++)
    {
      run_tasks (driver, 30, 10, DISPATCH_FAILED, 20, false);
      CU_ASSERT_EQUAL (dispatch_totals (driver->dispatch).ejected, 0);
    }
  driver_free (driver);
}

/* Ends all tasks that the last round started; those at e0 fail if FAILED. */
static void
end_started_tasks (driver_t *driver, bool failed)
{
  GArray *started = g_array_copy (driver->actions);

  driver->now_ms += 20;
  for (guint i = 0; i < started->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (started, dispatch_action_t, i);
      bool failing = failed && endpoint_index (action->endpoint) == 0;
      driver_end (driver, action->ticket, failing ? DISPATCH_FAILED : DISPATCH_DONE, 20);
    }
  g_array_unref (started);
}

/* Adds a task for each slot, runs a round and removes the tasks that did not start.
 * Returns the number of tasks that e0 got. */
static int32_t
fill_slots (driver_t *driver, bool repeatable)
{
  dispatch_task_t task = default_task (driver);
  int32_t before = driver->starts[0];

  task.repeatable = repeatable;
  uint64_t first_ticket = driver->last_ticket + 1;
  for (int32_t n = 0; n < driver->count * SLOTS; n++)
    driver_add (driver, &task);
  driver_run (driver);
  for (uint64_t ticket = first_ticket; ticket <= driver->last_ticket; ticket++)
    driver_remove (driver, ticket);
  return driver->starts[0] - before;
}

static void
test_probe (void)
{
  driver_t *driver = driver_new (2);

  for (int32_t n = 0; n < 10; n++)
    {
      fill_slots (driver, false);
      end_started_tasks (driver, true);
    }
  CU_ASSERT_EQUAL_FATAL (dispatch_totals (driver->dispatch).ejected, 1);
  /* After the first back-off of 2 s only a repeatable task may be a probe. */
  driver->now_ms += 2100;
  CU_ASSERT_EQUAL (fill_slots (driver, false), 0);
  end_started_tasks (driver, true);
  CU_ASSERT_EQUAL (fill_slots (driver, true), 1);
  end_started_tasks (driver, true);
  /* The probe failed, so the next back-off is twice as long. */
  driver->now_ms += 2100;
  CU_ASSERT_EQUAL (fill_slots (driver, true), 0);
  end_started_tasks (driver, true);
  driver->now_ms += 2100;
  CU_ASSERT_EQUAL (fill_slots (driver, true), 1);
  CU_ASSERT_EQUAL (dispatch_totals (driver->dispatch).ejected, 1);
  end_started_tasks (driver, false);
  CU_ASSERT_EQUAL (dispatch_totals (driver->dispatch).ejected, 0);
  driver_free (driver);
}

/* A plan with one task at a time must not wait behind a plan with thousands of queued
 * tasks. */
static void
test_small_plan_beside_large (void)
{
  driver_t *driver = driver_new (4);
  dispatch_task_t heavy = default_task (driver);
  dispatch_task_t light = default_task (driver);

  heavy.plan = "silver";
  run_tasks (driver, 100, 0, DISPATCH_DONE, 20, false);
  for (int32_t n = 0; n < 4000; n++)
    driver_add (driver, &heavy);
  CU_ASSERT_EQUAL_FATAL (driver_run (driver), 4 * SLOTS);
  for (int32_t n = 0; n < 50; n++)
    {
      /* One of the four slots that become free: less than the half due to the plan. */
      uint64_t ended[4];
      for (guint i = 0; i < G_N_ELEMENTS (ended); i++)
        ended[i] = action_at (driver, i)->ticket;
      uint64_t light_ticket = driver_add (driver, &light);
      bool started = false;
      driver->now_ms += 20;
      for (guint i = 0; i < G_N_ELEMENTS (ended); i++)
        driver_end (driver, ended[i], DISPATCH_DONE, 20);
      CU_ASSERT_EQUAL_FATAL (driver_run (driver), G_N_ELEMENTS (ended));
      for (guint i = 0; i < G_N_ELEMENTS (ended); i++)
        started |= action_at (driver, i)->ticket == light_ticket;
      CU_ASSERT (started);
    }
  driver_free (driver);
}

static const unit_test_t tests[] = {
  { "admission", test_admit },
  { "retry times are spread", test_retry_spread },
  { "leaving endpoints get no tasks", test_leaving_endpoint },
  { "after a failed connect another endpoint is tried", test_failed_connect },
  { "tasks that cannot end in time are given up", test_give_up },
  { "limits of a plan", test_limits },
  { "slots without a limit", test_slots_without_limit },
  { "large tasks", test_large_task },
  { "cancellation of 20000 tasks", test_mass_cancellation },
  { "failing endpoints", test_failing },
  { "bound on ejections", test_ejection_bound },
  { "failing tasks eject no endpoint", test_failing_tasks_eject_none },
  { "a successful probe readmits", test_probe },
  { "a small plan does not wait behind a large one", test_small_plan_beside_large },
};

int
main (void)
{
  return unit_run ("dispatch", tests, G_N_ELEMENTS (tests));
}
