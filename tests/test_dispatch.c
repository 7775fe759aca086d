/* test_dispatch.c -- lib/dispatch: admission, starts, failures, fairness */
#include "dispatch/dispatch.h"
#include "tests/test_dispatch_fake.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

#define ENDPOINTS_MAX 20
#define SLOTS 4
#define NAME_BYTES 16
#define PATIENCE_MS 10000

/* A fleet of endpoints e0, e1, ... and a driver that knows what runs. */
typedef struct
{
  fake_limits_t *limits;
  dispatch_t *dispatch;
  GArray *actions;
  dispatch_endpoint_t rows[ENDPOINTS_MAX];
  char names[ENDPOINTS_MAX][NAME_BYTES];
  int32_t count;
  int64_t now_ms;
  uint64_t last_ticket;
  int32_t starts[ENDPOINTS_MAX];
} fleet_t;

static void
fleet_list (fleet_t *fleet)
{
  dispatch_set_endpoints (fleet->dispatch, fleet->rows, (size_t) fleet->count, fleet->now_ms);
}

static fleet_t *
fleet_new (int32_t count)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  dispatch_options_t options = DISPATCH_OPTIONS_DEFAULT;

  fleet->limits = fake_new ();
  fleet->dispatch = dispatch_new (&options, &fleet->limits->base);
  fleet->actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));
  fleet->count = count;
  fleet->now_ms = 1000000;
  for (int32_t e = 0; e < count; e++)
    {
      g_snprintf (fleet->names[e], NAME_BYTES, "e%d", e);
      fleet->rows[e] = (dispatch_endpoint_t){ .id = fleet->names[e],
                                              .rack = "r1",
                                              .slots = SLOTS,
                                              .connections = 60,
                                              .cores = 32,
                                              .memory_mb = 65536 };
      fake_set (fleet->limits, DISPATCH_SLOTS, fleet->names[e], SLOTS);
    }
  fleet_list (fleet);
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  dispatch_free (fleet->dispatch);
  fake_free (fleet->limits);
  g_array_unref (fleet->actions);
  g_free (fleet);
}

static dispatch_task_t
plain_task (const fleet_t *fleet)
{
  return (dispatch_task_t){ .plan = "gold",
                            .kind = "check",
                            .cores = 1,
                            .memory_mb = 256,
                            .deadline_at_ms = fleet->now_ms + PATIENCE_MS };
}

static uint64_t
fleet_add (fleet_t *fleet, const dispatch_task_t *task)
{
  dispatch_event_t event = { .kind = DISPATCH_ADD, .ticket = ++fleet->last_ticket, .task = task };

  dispatch_step (fleet->dispatch, &event, fleet->now_ms, fleet->actions);
  return event.ticket;
}

static void
fleet_remove (fleet_t *fleet, uint64_t ticket)
{
  dispatch_event_t event = { .kind = DISPATCH_REMOVE, .ticket = ticket };

  dispatch_step (fleet->dispatch, &event, fleet->now_ms, fleet->actions);
}

static void
fleet_end (fleet_t *fleet, uint64_t ticket, dispatch_outcome_t outcome, int64_t elapsed_ms)
{
  dispatch_event_t event = {
    .kind = DISPATCH_ENDED, .ticket = ticket, .outcome = outcome, .elapsed_us = elapsed_ms * 1000
  };

  dispatch_step (fleet->dispatch, &event, fleet->now_ms, fleet->actions);
}

static int32_t
number_of (const char *endpoint)
{
  return (int32_t) g_ascii_strtoll (endpoint + 1, NULL, 10);
}

/* Runs a round; returns the number of actions, which are in fleet->actions. */
static guint
fleet_run_round (fleet_t *fleet)
{
  const dispatch_event_t run = { .kind = DISPATCH_RUN };

  g_array_set_size (fleet->actions, 0);
  dispatch_step (fleet->dispatch, &run, fleet->now_ms, fleet->actions);
  for (guint i = 0; i < fleet->actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (fleet->actions, dispatch_action_t, i);
      if (action->kind == DISPATCH_START)
        fleet->starts[number_of (action->endpoint)]++;
    }
  return fleet->actions->len;
}

static const dispatch_action_t *
action_at (const fleet_t *fleet, guint i)
{
  return &g_array_index (fleet->actions, dispatch_action_t, i);
}

/* Runs COUNT tasks one after the other; those on the first BAD endpoints end as
 * OUTCOME after BAD_MS, all others are done after 20 ms.  Returns how many were
 * given to the bad ones. */
static int32_t
serve (fleet_t *fleet,
       int32_t count,
       int32_t bad,
       dispatch_outcome_t outcome,
       int64_t bad_ms,
       bool repeatable)
{
  int32_t before = 0;
  int32_t after = 0;

  for (int32_t e = 0; e < bad; e++)
    before += fleet->starts[e];
  for (int32_t i = 0; i < count; i++)
    {
      dispatch_task_t task = plain_task (fleet);
      task.repeatable = repeatable;
      fleet_add (fleet, &task);
      CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 1);
      bool is_bad = number_of (action_at (fleet, 0)->endpoint) < bad;
      uint64_t ticket = action_at (fleet, 0)->ticket;
      fleet->now_ms += 20;
      fleet_end (fleet, ticket, is_bad ? outcome : DISPATCH_DONE, is_bad ? bad_ms : 20);
      if (is_bad && outcome == DISPATCH_NOT_STARTED)
        fleet_remove (fleet, ticket);
    }
  for (int32_t e = 0; e < bad; e++)
    after += fleet->starts[e];
  return after - before;
}

/* Admission. */

typedef struct
{
  const char *name;
  int32_t cores;
  int64_t memory_mb;
  int64_t patience_ms;
  int32_t count;
  int32_t running_max; /* 0: no limit */
  bool measured;       /* the kind is known to take 100 ms */
  int32_t queued;      /* tasks that are there already */
  int expected;
  bool retries;
} admit_case_t;

static const admit_case_t admit_cases[] = {
  { "idle", 1, 256, 1000, 1, 0, true, 0, 0, false },
  { "never measured", 1, 256, 5, 1, 0, false, 0, 0, false },
  { "too many cores", 33, 256, 1000, 1, 0, true, 0, ERROR_NEVER_FITS, false },
  { "too much memory", 1, 65537, 1000, 1, 0, true, 0, ERROR_NEVER_FITS, false },
  { "all of an endpoint", 32, 65536, 1000, 1, 0, true, 0, 0, false },
  { "shorter than the task", 1, 256, 50, 1, 0, true, 0, ERROR_DEADLINE_UNREACHABLE, false },
  { "job longer than its deadline", 1, 256, 1000, 510, 0, true, 0, ERROR_DEADLINE_UNREACHABLE,
    false },
  { "deadline passed", 1, 256, 0, 1, 0, false, 0, ERROR_DEADLINE_UNREACHABLE, false },
  { "behind a short queue", 1, 256, 1000, 1, 0, true, 20, 0, false },
  { "behind a long queue", 1, 256, 1000, 1, 0, true, 200, ERROR_OVERLOADED, true },
  { "at the plan's limit", 1, 256, 1000, 1, 1, true, 20, ERROR_PLAN_LIMIT, true },
};

static void
test_admit (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (admit_cases); i++)
    {
      const admit_case_t *row = &admit_cases[i];
      fleet_t *fleet = fleet_new (4);
      dispatch_task_t task = plain_task (fleet);
      int64_t retry_at_ms = 0;

      for (int32_t n = 0; row->measured && n < 20; n++)
        {
          fleet_add (fleet, &task);
          fleet_run_round (fleet);
          fleet_end (fleet, fleet->last_ticket, DISPATCH_DONE, 100);
        }
      if (row->running_max > 0)
        fake_set (fleet->limits, DISPATCH_RUNNING, "gold", row->running_max);
      task.deadline_at_ms = fleet->now_ms + 1000;
      for (int32_t n = 0; n < row->queued; n++)
        fleet_add (fleet, &task);
      task.cores = row->cores;
      task.memory_mb = row->memory_mb;
      task.deadline_at_ms = fleet->now_ms + row->patience_ms;
      int result = dispatch_admit (fleet->dispatch, &task, row->count, fleet->now_ms, &retry_at_ms);
      if (result != row->expected)
        printf ("%s: %d\n", row->name, result);
      CU_ASSERT_EQUAL (result, row->expected);
      if (row->retries)
        CU_ASSERT (retry_at_ms > fleet->now_ms && retry_at_ms < fleet->now_ms + 60000);
      fleet_free (fleet);
    }
}

/* Jobs refused one after the other are told times that are apart. */
static void
test_retry_spread (void)
{
  fleet_t *fleet = fleet_new (2);
  int64_t last_ms = 0;

  serve (fleet, 20, 0, DISPATCH_DONE, 20, false);
  dispatch_task_t task = plain_task (fleet);
  for (int32_t n = 0; n < 5000; n++)
    fleet_add (fleet, &task);
  for (int32_t n = 0; n < 100; n++)
    {
      int64_t retry_at_ms = 0;
      CU_ASSERT_EQUAL (dispatch_admit (fleet->dispatch, &task, 8, fleet->now_ms, &retry_at_ms),
                       ERROR_OVERLOADED);
      CU_ASSERT (retry_at_ms > last_ms);
      last_ms = retry_at_ms;
    }
  fleet_free (fleet);
}

/* Starts. */

static void
test_leaving (void)
{
  fleet_t *fleet = fleet_new (3);

  fleet->rows[0].leaving = true;
  fleet_list (fleet);
  serve (fleet, 100, 0, DISPATCH_DONE, 20, false);
  CU_ASSERT_EQUAL (fleet->starts[0], 0);
  CU_ASSERT_EQUAL (fleet->starts[1] + fleet->starts[2], 100);
  /* Off the list altogether. */
  fleet->rows[1] = fleet->rows[2];
  fleet->rows[0] = fleet->rows[2];
  fleet->count = 1;
  fleet_list (fleet);
  int32_t before = fleet->starts[1];
  serve (fleet, 10, 0, DISPATCH_DONE, 20, false);
  CU_ASSERT_EQUAL (fleet->starts[1], before);
  fleet_free (fleet);
}

static void
test_not_started (void)
{
  fleet_t *fleet = fleet_new (2);
  dispatch_task_t task = plain_task (fleet);
  uint64_t ticket = fleet_add (fleet, &task);

  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 1);
  int32_t first = number_of (action_at (fleet, 0)->endpoint);
  fleet_end (fleet, ticket, DISPATCH_NOT_STARTED, 1);
  CU_ASSERT (dispatch_is_queued (fleet->dispatch, ticket));
  /* The first endpoint may be tried again by now, but not by this task. */
  fleet->now_ms += 300;
  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 1);
  CU_ASSERT_EQUAL (action_at (fleet, 0)->ticket, ticket);
  CU_ASSERT_NOT_EQUAL (number_of (action_at (fleet, 0)->endpoint), first);
  fleet_end (fleet, ticket, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL (dispatch_totals (fleet->dispatch).running, 0);
  fleet_free (fleet);
}

static void
test_give_up (void)
{
  fleet_t *fleet = fleet_new (1);
  dispatch_task_t task = plain_task (fleet);

  serve (fleet, 20, 0, DISPATCH_DONE, 20, false);
  for (int32_t n = 0; n < SLOTS; n++)
    fleet_add (fleet, &task);
  CU_ASSERT_EQUAL (fleet_run_round (fleet), SLOTS);
  task.deadline_at_ms = fleet->now_ms + 500;
  uint64_t ticket = fleet_add (fleet, &task);
  fleet->now_ms += 400;
  CU_ASSERT_EQUAL (fleet_run_round (fleet), 0);
  fleet->now_ms += 95;
  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 1);
  CU_ASSERT_EQUAL (action_at (fleet, 0)->kind, DISPATCH_GIVE_UP);
  CU_ASSERT_EQUAL (action_at (fleet, 0)->ticket, ticket);
  CU_ASSERT_FALSE (dispatch_is_queued (fleet->dispatch, ticket));
  fleet_free (fleet);
}

static int32_t
slots_used (const fleet_t *fleet)
{
  int32_t used = 0;

  for (int32_t e = 0; e < fleet->count; e++)
    used += fake_find (fleet->limits, DISPATCH_SLOTS, fleet->names[e])->used;
  return used;
}

/* Where no limit is known, an endpoint's own slots are the bound. */
static void
test_slots_without_limit (void)
{
  fleet_t *fleet = fleet_new (2);
  dispatch_task_t task = plain_task (fleet);

  g_hash_table_remove_all (fleet->limits->rows[DISPATCH_SLOTS]);
  for (int32_t n = 0; n < 20; n++)
    fleet_add (fleet, &task);
  CU_ASSERT_EQUAL (fleet_run_round (fleet), 2 * SLOTS);
  fleet_free (fleet);
}

static void
test_limits (void)
{
  fleet_t *fleet = fleet_new (4);
  dispatch_task_t task = plain_task (fleet);

  fake_set (fleet->limits, DISPATCH_RUNNING, "gold", 3);
  fake_set (fleet->limits, DISPATCH_STARTS, "gold", 5);
  for (int32_t n = 0; n < 10; n++)
    fleet_add (fleet, &task);
  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 3);
  uint64_t first = action_at (fleet, 0)->ticket;
  uint64_t second = action_at (fleet, 1)->ticket;
  uint64_t third = action_at (fleet, 2)->ticket;
  fleet_end (fleet, first, DISPATCH_DONE, 20);
  fleet_end (fleet, second, DISPATCH_DONE, 20);
  fleet_end (fleet, third, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL (fleet_run_round (fleet), 2);
  CU_ASSERT_EQUAL (slots_used (fleet), 2);
  /* New units of the starts limit are found by the periodic round. */
  fake_set (fleet->limits, DISPATCH_STARTS, "gold", 10);
  fleet->now_ms += 50;
  CU_ASSERT_EQUAL (fleet_run_round (fleet), 1);
  fleet_free (fleet);
}

static void
test_large (void)
{
  fleet_t *fleet = fleet_new (1);
  dispatch_task_t small = plain_task (fleet);
  dispatch_task_t large = plain_task (fleet);

  large.cores = 32;
  fleet_add (fleet, &small);
  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 1);
  uint64_t first = action_at (fleet, 0)->ticket;
  uint64_t big = fleet_add (fleet, &large);
  CU_ASSERT_EQUAL (fleet_run_round (fleet), 0);
  /* The endpoint is now kept free for the large task. */
  uint64_t later = fleet_add (fleet, &small);
  CU_ASSERT_EQUAL (fleet_run_round (fleet), 0);
  fleet_end (fleet, first, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 1);
  CU_ASSERT_EQUAL (action_at (fleet, 0)->ticket, big);
  CU_ASSERT_EQUAL (fake_left (&fleet->limits->base, DISPATCH_SLOTS, "e0", 0), 0);
  fleet_end (fleet, big, DISPATCH_DONE, 20);
  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 1);
  CU_ASSERT_EQUAL (action_at (fleet, 0)->ticket, later);
  fleet_free (fleet);
}

static void
test_cancel_wave (void)
{
  fleet_t *fleet = fleet_new (1);
  dispatch_task_t task = plain_task (fleet);

  for (int32_t n = 0; n < 20000; n++)
    fleet_add (fleet, &task);
  for (uint64_t ticket = 20000; ticket > 0; ticket--)
    fleet_remove (fleet, ticket);
  CU_ASSERT_EQUAL (dispatch_totals (fleet->dispatch).queued, 0);
  CU_ASSERT_EQUAL (fleet_run_round (fleet), 0);
  fleet_free (fleet);
}

/* Failures. */

typedef struct
{
  const char *name;
  int32_t bad;
  dispatch_outcome_t outcome;
  int64_t bad_ms;
  int32_t most_first; /* bad starts allowed in the first 2000 tasks */
  int32_t most_later; /* in the next 5000 */
  int32_t most_ejected;
} failing_case_t;

/* Ten endpoints; one in a hundred of 5000 is 50. */
static const failing_case_t failing_cases[] = {
  { "one fails everything", 1, DISPATCH_FAILED, 1, 50, 49, 1 },
  { "one cuts connections", 1, DISPATCH_CUT, 1, 50, 49, 1 },
  { "one is mute", 1, DISPATCH_TIMEOUT, 5000, 50, 49, 1 },
  { "one refuses connects", 1, DISPATCH_NOT_STARTED, 1, 50, 49, 0 },
  { "five fail everything", 5, DISPATCH_FAILED, 1, 150, 150, 5 },
};

static void
test_failing (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (failing_cases); i++)
    {
      const failing_case_t *row = &failing_cases[i];
      fleet_t *fleet = fleet_new (10);
      int32_t first = serve (fleet, 2000, row->bad, row->outcome, row->bad_ms, true);
      int32_t later = serve (fleet, 5000, row->bad, row->outcome, row->bad_ms, true);
      int32_t ejected = dispatch_totals (fleet->dispatch).ejected;

      printf ("%s: %d, then %d; %d ejected\n", row->name, first, later, ejected);
      CU_ASSERT (first <= row->most_first);
      CU_ASSERT (later <= row->most_later);
      CU_ASSERT (ejected <= row->most_ejected);
      fleet_free (fleet);
    }
}

/* Nine of ten failing: no more than half may be ejected. */
static void
test_ejection_bound (void)
{
  fleet_t *fleet = fleet_new (10);

  for (int32_t n = 0; n < 50; n++)
    {
      serve (fleet, 40, 9, DISPATCH_FAILED, 1, false);
      CU_ASSERT (dispatch_totals (fleet->dispatch).ejected <= 5);
    }
  fleet_free (fleet);
}

/* From one moment on every task fails wherever it runs. */
static void
test_bad_tasks_eject_nobody (void)
{
  fleet_t *fleet = fleet_new (10);

  serve (fleet, 1000, 0, DISPATCH_DONE, 20, false);
  for (int32_t n = 0; n < 100; n++)
    {
      serve (fleet, 30, 10, DISPATCH_FAILED, 20, false);
      CU_ASSERT_EQUAL (dispatch_totals (fleet->dispatch).ejected, 0);
    }
  fleet_free (fleet);
}

/* Ends all actions of the last round, those on e0 as failed. */
static void
end_round (fleet_t *fleet, bool failed)
{
  GArray *started = g_array_copy (fleet->actions);

  fleet->now_ms += 20;
  for (guint i = 0; i < started->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (started, dispatch_action_t, i);
      bool bad = failed && number_of (action->endpoint) == 0;
      fleet_end (fleet, action->ticket, bad ? DISPATCH_FAILED : DISPATCH_DONE, 20);
    }
  g_array_unref (started);
}

/* Fills all slots once and takes back what found none; returns how many tasks
 * e0 got. */
static int32_t
fill (fleet_t *fleet, bool repeatable)
{
  dispatch_task_t task = plain_task (fleet);
  int32_t before = fleet->starts[0];

  task.repeatable = repeatable;
  uint64_t first = fleet->last_ticket + 1;
  for (int32_t n = 0; n < fleet->count * SLOTS; n++)
    fleet_add (fleet, &task);
  fleet_run_round (fleet);
  for (uint64_t ticket = first; ticket <= fleet->last_ticket; ticket++)
    fleet_remove (fleet, ticket);
  return fleet->starts[0] - before;
}

static void
test_probe (void)
{
  fleet_t *fleet = fleet_new (2);

  for (int32_t n = 0; n < 10; n++)
    {
      fill (fleet, false);
      end_round (fleet, true);
    }
  CU_ASSERT_EQUAL_FATAL (dispatch_totals (fleet->dispatch).ejected, 1);
  /* A first back-off of 2 s has passed: only for tasks that may be repeated. */
  fleet->now_ms += 2100;
  CU_ASSERT_EQUAL (fill (fleet, false), 0);
  end_round (fleet, true);
  CU_ASSERT_EQUAL (fill (fleet, true), 1);
  end_round (fleet, true);
  /* The probe failed: the next one must wait twice as long. */
  fleet->now_ms += 2100;
  CU_ASSERT_EQUAL (fill (fleet, true), 0);
  end_round (fleet, true);
  fleet->now_ms += 2100;
  CU_ASSERT_EQUAL (fill (fleet, true), 1);
  CU_ASSERT_EQUAL (dispatch_totals (fleet->dispatch).ejected, 1);
  end_round (fleet, false);
  CU_ASSERT_EQUAL (dispatch_totals (fleet->dispatch).ejected, 0);
  fleet_free (fleet);
}

/* Fairness: a plan with one task at a time beside one with thousands queued. */
static void
test_small_plan_goes_first (void)
{
  fleet_t *fleet = fleet_new (4);
  dispatch_task_t heavy = plain_task (fleet);
  dispatch_task_t light = plain_task (fleet);

  heavy.plan = "silver";
  serve (fleet, 100, 0, DISPATCH_DONE, 20, false);
  for (int32_t n = 0; n < 4000; n++)
    fleet_add (fleet, &heavy);
  CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), 4 * SLOTS);
  for (int32_t n = 0; n < 50; n++)
    {
      /* A quarter of the slots that come free: less than the plan's half. */
      uint64_t ended[4];
      for (guint i = 0; i < G_N_ELEMENTS (ended); i++)
        ended[i] = action_at (fleet, i)->ticket;
      uint64_t mine = fleet_add (fleet, &light);
      bool first = false;
      fleet->now_ms += 20;
      for (guint i = 0; i < G_N_ELEMENTS (ended); i++)
        fleet_end (fleet, ended[i], DISPATCH_DONE, 20);
      CU_ASSERT_EQUAL_FATAL (fleet_run_round (fleet), G_N_ELEMENTS (ended));
      for (guint i = 0; i < G_N_ELEMENTS (ended); i++)
        first |= action_at (fleet, i)->ticket == mine;
      CU_ASSERT (first);
    }
  fleet_free (fleet);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "admission", test_admit },
  { "retry times are spread", test_retry_spread },
  { "leaving endpoints get nothing", test_leaving },
  { "a failed connect goes elsewhere", test_not_started },
  { "hopeless tasks are given up", test_give_up },
  { "limits of a plan", test_limits },
  { "slots without a limit", test_slots_without_limit },
  { "large tasks", test_large },
  { "a wave of cancellations", test_cancel_wave },
  { "failing endpoints", test_failing },
  { "bound on ejections", test_ejection_bound },
  { "bad tasks eject nobody", test_bad_tasks_eject_nobody },
  { "one probe readmits", test_probe },
  { "a small plan goes first", test_small_plan_goes_first },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("dispatch", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
