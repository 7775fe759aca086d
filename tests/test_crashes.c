/* test_crashes.c -- history of the tasks whose endpoints were lost */
#include "executor/crashes.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>

#define STEPS_MAX 6
#define TASK "j.0.0.0"

typedef enum
{
  END_OF_STEPS,
  LOST,            /* a run whose start was confirmed, on ENDPOINT, whose lease expired */
  LOST_EARLY,      /* the same, but its start was not confirmed */
  RESTARTED,       /* ENDPOINT was found restarted with a run whose start was confirmed */
  RESTARTED_EARLY, /* the same, but its start was not confirmed */
  ANSWERED_SAME,   /* ENDPOINT answers as the same instance */
  ANSWERED_LATER,  /* ENDPOINT answers as a later instance */
  LEARNED_LOST,    /* another owner has counted one lost endpoint */
  LEARNED_TWO,     /* another owner has counted two restarted ones */
  DONE
} step_kind_t;

typedef struct
{
  int64_t at_ms;
  step_kind_t kind;
  const char *endpoint;
} step_t;

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  int64_t decide_at_ms;
  crash_decision_t decision;
  crash_counts_t counts;
} cases[] = {
  { "no loss", { { 0, END_OF_STEPS, "" } }, 0, CRASH_START, { 0, 0 } },
  { "one lost", { { 0, LOST, "e0" } }, 0, CRASH_START_ALONE, { 1, 0 } },
  { "one restarted", { { 0, RESTARTED, "e0" } }, 0, CRASH_START_ALONE, { 1, 1 } },
  { "lost, then restarted: one loss",
    { { 0, LOST, "e0" }, { 9, ANSWERED_LATER, "e0" } },
    9,
    CRASH_START_ALONE,
    { 1, 1 } },
  { "lost, then found cut off only",
    { { 0, LOST, "e0" }, { 9, ANSWERED_SAME, "e0" } },
    9,
    CRASH_START,
    { 0, 0 } },
  { "answers twice",
    { { 0, LOST, "e0" }, { 9, ANSWERED_LATER, "e0" }, { 10, ANSWERED_LATER, "e0" } },
    10,
    CRASH_START_ALONE,
    { 1, 1 } },
  { "another endpoint answers",
    { { 0, LOST, "e0" }, { 9, ANSWERED_SAME, "e1" } },
    9,
    CRASH_START_ALONE,
    { 1, 0 } },
  { "two restarted",
    { { 0, RESTARTED, "e0" }, { 1, RESTARTED, "e1" } },
    1,
    CRASH_GIVE_UP,
    { 2, 2 } },
  { "the same endpoint restarted twice",
    { { 0, RESTARTED, "e0" }, { 1, RESTARTED, "e0" } },
    1,
    CRASH_GIVE_UP,
    { 2, 2 } },
  { "two lost: held back",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" } },
    CRASH_HOLD_MS,
    CRASH_HOLD,
    { 2, 0 } },
  { "two lost: held back for a limited time",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" } },
    CRASH_HOLD_MS + 1,
    CRASH_START_ALONE,
    { 2, 0 } },
  { "two lost, one restarted: held back",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" }, { 2, ANSWERED_LATER, "e0" } },
    2,
    CRASH_HOLD,
    { 2, 1 } },
  { "two lost, both restarted",
    { { 0, LOST, "e0" },
      { 1, LOST, "e1" },
      { 2, ANSWERED_LATER, "e1" },
      { 3, ANSWERED_LATER, "e0" } },
    3,
    CRASH_GIVE_UP,
    { 2, 2 } },
  { "two lost, one cut off only",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" }, { 2, ANSWERED_SAME, "e0" } },
    2,
    CRASH_START_ALONE,
    { 1, 0 } },
  { "three lost",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" }, { 2, LOST, "e2" } },
    CRASH_HOLD_MS + 2,
    CRASH_GIVE_UP,
    { 3, 0 } },
  { "not known whether it had started: never confirmed",
    { { 0, LOST_EARLY, "e0" }, { 1, ANSWERED_LATER, "e0" }, { 2, RESTARTED_EARLY, "e1" } },
    2,
    CRASH_HOLD,
    { 2, 0 } },
  { "told of one loss", { { 0, LEARNED_LOST, "" } }, 0, CRASH_START_ALONE, { 1, 0 } },
  { "told of the loss that it has confirmed",
    { { 0, RESTARTED, "e0" }, { 1, LEARNED_LOST, "" } },
    1,
    CRASH_START_ALONE,
    { 1, 1 } },
  { "told of two crashes", { { 0, LEARNED_TWO, "" } }, 0, CRASH_GIVE_UP, { 2, 2 } },
  { "told of two crashes after one",
    { { 0, RESTARTED, "e0" }, { 1, LEARNED_TWO, "" } },
    1,
    CRASH_GIVE_UP,
    { 2, 2 } },
  { "done", { { 0, LOST, "e0" }, { 1, DONE, "" } }, 1, CRASH_START, { 0, 0 } },
  { "done, then its endpoint restarts",
    { { 0, LOST, "e0" }, { 1, DONE, "" }, { 2, ANSWERED_LATER, "e0" } },
    2,
    CRASH_START,
    { 0, 0 } },
  { "kept while its job may wait",
    { { 0, RESTARTED, "e0" } },
    CRASH_RETENTION_MS,
    CRASH_START_ALONE,
    { 1, 1 } },
  { "forgotten in the end",
    { { 0, RESTARTED, "e0" } },
    CRASH_RETENTION_MS + 1,
    CRASH_START,
    { 0, 0 } },
};

static void
carry_out (crash_history_t *history, const step_t *step)
{
  bool confirmed = step->kind != LOST_EARLY && step->kind != RESTARTED_EARLY;
  const crash_run_t run = { TASK, step->endpoint, 1, confirmed };

  switch (step->kind)
    {
    case LOST:
    case LOST_EARLY:
      crash_history_add_lost (history, &run, step->at_ms);
      break;
    case RESTARTED:
    case RESTARTED_EARLY:
      crash_history_add_restarted (history, &run, step->at_ms);
      break;
    case ANSWERED_SAME:
      crash_history_endpoint_answered (history, step->endpoint, 1);
      break;
    case ANSWERED_LATER:
      crash_history_endpoint_answered (history, step->endpoint, 2);
      break;
    case LEARNED_LOST:
      crash_history_learn (history, TASK, (crash_counts_t){ 1, 0 }, step->at_ms);
      break;
    case LEARNED_TWO:
      crash_history_learn (history, TASK, (crash_counts_t){ 2, 2 }, step->at_ms);
      break;
    case DONE:
      crash_history_forget (history, TASK);
      break;
    case END_OF_STEPS:
    default:
      break;
    }
}

static void
test_decisions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      crash_history_t *history = crash_history_new ();
      for (int k = 0; k < STEPS_MAX && cases[i].steps[k].kind != END_OF_STEPS; k++)
        carry_out (history, &cases[i].steps[k]);
      crash_history_expire (history, cases[i].decide_at_ms);
      crash_decision_t decision = crash_history_decide (history, TASK, cases[i].decide_at_ms);
      crash_counts_t counts = crash_history_counts (history, TASK);
      if (decision != cases[i].decision || counts.lost != cases[i].counts.lost
          || counts.confirmed != cases[i].counts.confirmed)
        printf ("  %s: decision %d, %d lost, %d confirmed\n", cases[i].name, decision, counts.lost,
                counts.confirmed);
      CU_ASSERT_EQUAL (decision, cases[i].decision);
      CU_ASSERT_EQUAL (counts.lost, cases[i].counts.lost);
      CU_ASSERT_EQUAL (counts.confirmed, cases[i].counts.confirmed);
      CU_ASSERT_EQUAL (crash_history_decide (history, "j.0.0.1", 0), CRASH_START);
      crash_history_free (history);
    }
}

static void
test_events (void)
{
  static const crash_change_t expected[] = { CRASH_SUSPECTED, CRASH_CONFIRMED, CRASH_SUSPECTED,
                                             CRASH_WITHDRAWN };
  crash_history_t *history = crash_history_new ();

  CU_ASSERT_FALSE (crash_history_has_events (history));
  crash_history_add_lost (history, &(crash_run_t){ TASK, "e0", 1, true }, 0);
  crash_history_endpoint_answered (history, "e0", 2);
  crash_history_add_lost (history, &(crash_run_t){ TASK, "e1", 1, true }, 0);
  crash_history_endpoint_answered (history, "e1", 1);
  CU_ASSERT_TRUE (crash_history_has_events (history));
  GPtrArray *events = crash_history_take_events (history);
  CU_ASSERT_EQUAL_FATAL (events->len, G_N_ELEMENTS (expected));
  for (guint i = 0; i < events->len; i++)
    {
      const crash_event_t *event = events->pdata[i];
      CU_ASSERT_EQUAL (event->change, expected[i]);
      CU_ASSERT_STRING_EQUAL (event->task, TASK);
      CU_ASSERT_STRING_EQUAL (event->endpoint, i < 2 ? "e0" : "e1");
    }
  g_ptr_array_unref (events);
  CU_ASSERT_FALSE (crash_history_has_events (history));
  crash_history_free (history);
}

/* With too many tasks, the one whose counts changed first is forgotten. */
static void
test_bounded (void)
{
  crash_history_t *history = crash_history_new ();
  char name[32];

  for (int i = 0; i <= CRASH_TASKS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "j.0.0.%d", i);
      crash_history_add_restarted (history, &(crash_run_t){ name, "e0", 1, true }, i);
    }
  CU_ASSERT_EQUAL (crash_history_counts (history, "j.0.0.0").lost, 0);
  CU_ASSERT_EQUAL (crash_history_counts (history, "j.0.0.1").lost, 1);
  CU_ASSERT_EQUAL (crash_history_counts (history, name).lost, 1);
  crash_history_free (history);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("crashes", NULL, NULL);
  CU_add_test (suite, "decisions", test_decisions);
  CU_add_test (suite, "events", test_events);
  CU_add_test (suite, "bounded", test_bounded);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
