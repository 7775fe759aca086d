/* test_crashes.c -- history of the tasks whose endpoints were lost */
#include "executor/crashes.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

#define STEPS_MAX 6
#define TASK "j.0.0.0"

typedef enum
{
  END_OF_STEPS,
  LOST,           /* a run whose start was confirmed, on ENDPOINT, whose lease expired */
  LOST_EARLY,     /* the same, but its start was not confirmed */
  RESTARTED,      /* ENDPOINT was found restarted with a run whose start was confirmed */
  TOLD_LOST,      /* another host tells of a loss on ENDPOINT */
  TOLD_WITHDRAWN, /* another host tells that the loss on ENDPOINT is withdrawn */
  TOLD_CONFIRMED, /* another host tells that it is confirmed */
  ANSWERED_SAME,  /* ENDPOINT answers as the same instance */
  ANSWERED_LATER, /* ENDPOINT answers as a later instance */
  REPLACED,       /* another endpoint answers at the address of ENDPOINT */
  LEFT,           /* ENDPOINT says that it leaves */
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
  { "no loss", { { 0, END_OF_STEPS, "" } }, 0, CRASH_START, { .lost = 0, .confirmed = 0 } },
  { "one lost", { { 0, LOST, "e0" } }, 0, CRASH_START_ALONE, { .lost = 1, .confirmed = 0 } },
  { "one restarted",
    { { 0, RESTARTED, "e0" } },
    0,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "lost, then restarted: one loss",
    { { 0, LOST, "e0" }, { 9, ANSWERED_LATER, "e0" } },
    9,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "lost, then found cut off only",
    { { 0, LOST, "e0" }, { 9, ANSWERED_SAME, "e0" } },
    9,
    CRASH_START,
    { .lost = 0, .confirmed = 0 } },
  { "answers twice",
    { { 0, LOST, "e0" }, { 9, ANSWERED_LATER, "e0" }, { 10, ANSWERED_LATER, "e0" } },
    10,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "another endpoint answers",
    { { 0, LOST, "e0" }, { 9, ANSWERED_SAME, "e1" } },
    9,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 0 } },
  { "two restarted",
    { { 0, RESTARTED, "e0" }, { 1, RESTARTED, "e1" } },
    1,
    CRASH_START_ALONE,
    { .lost = 2, .confirmed = 2 } },
  { "three restarted",
    { { 0, RESTARTED, "e0" }, { 1, RESTARTED, "e1" }, { 2, RESTARTED, "e2" } },
    2,
    CRASH_GIVE_UP,
    { .lost = 3, .confirmed = 3 } },
  { "two restarted, one lost: not given up before that has crashed too",
    { { 0, RESTARTED, "e0" }, { 1, RESTARTED, "e1" }, { 2, LOST, "e2" } },
    CRASH_HOLD_MS + 2,
    CRASH_UNDECIDED,
    { .lost = 3, .confirmed = 2 } },
  { "two restarted, one order unanswered: held back",
    { { 0, RESTARTED, "e0" }, { 1, RESTARTED, "e1" }, { 2, LOST_EARLY, "e2" } },
    2,
    CRASH_HOLD,
    { .lost = 3, .confirmed = 2 } },
  { "the same loss, told again",
    { { 0, RESTARTED, "e0" }, { 1, RESTARTED, "e0" }, { 2, TOLD_CONFIRMED, "e0" } },
    2,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "two lost: held back",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" } },
    CRASH_HOLD_MS,
    CRASH_HOLD,
    { .lost = 2, .confirmed = 0 } },
  { "two lost: held back for a limited time",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" } },
    CRASH_HOLD_MS + 1,
    CRASH_START_ALONE,
    { .lost = 2, .confirmed = 0 } },
  { "two lost, one restarted: held back",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" }, { 2, ANSWERED_LATER, "e0" } },
    2,
    CRASH_HOLD,
    { .lost = 2, .confirmed = 1 } },
  { "two lost, both restarted",
    { { 0, LOST, "e0" },
      { 1, LOST, "e1" },
      { 2, ANSWERED_LATER, "e1" },
      { 3, ANSWERED_LATER, "e0" } },
    3,
    CRASH_START_ALONE,
    { .lost = 2, .confirmed = 2 } },
  { "two lost, one cut off only",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" }, { 2, ANSWERED_SAME, "e0" } },
    2,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 0 } },
  { "three lost: neither starts nor is given up",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" }, { 2, LOST, "e2" } },
    CRASH_RETENTION_MS,
    CRASH_UNDECIDED,
    { .lost = 3, .confirmed = 0 } },
  { "three lost, one found cut off only",
    { { 0, LOST, "e0" }, { 1, LOST, "e1" }, { 2, LOST, "e2" }, { 3, ANSWERED_SAME, "e1" } },
    CRASH_HOLD_MS + 2,
    CRASH_START_ALONE,
    { .lost = 2, .confirmed = 0 } },
  { "three lost, all replaced",
    { { 0, LOST, "e0" },
      { 1, LOST, "e1" },
      { 2, LOST, "e2" },
      { 3, REPLACED, "e2" },
      { 4, REPLACED, "e0" },
      { 5, REPLACED, "e1" } },
    5,
    CRASH_GIVE_UP,
    { .lost = 3, .confirmed = 3 } },
  { "lost, then replaced",
    { { 0, LOST, "e0" }, { 1, REPLACED, "e0" } },
    1,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "an unanswered order, then replaced: never confirmed",
    { { 0, LOST_EARLY, "e0" }, { 1, REPLACED, "e0" } },
    1,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 0 } },
  { "found cut off only, then replaced: it had not crashed under the task",
    { { 0, LOST, "e0" }, { 1, ANSWERED_SAME, "e0" }, { 2, REPLACED, "e0" } },
    2,
    CRASH_START,
    { .lost = 0, .confirmed = 0 } },
  { "lost, then it leaves",
    { { 0, LOST, "e0" }, { 1, LEFT, "e0" }, { 2, REPLACED, "e0" } },
    2,
    CRASH_START,
    { .lost = 0, .confirmed = 0 } },
  { "told late that a confirmed loss was withdrawn",
    { { 0, RESTARTED, "e0" }, { 1, TOLD_WITHDRAWN, "e0" } },
    1,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "told that a withdrawn loss is confirmed, both with one revision",
    { { 0, LOST, "e0" }, { 1, ANSWERED_SAME, "e0" }, { 2, TOLD_CONFIRMED, "e0" } },
    2,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "not known whether it had started: never confirmed",
    { { 0, LOST_EARLY, "e0" }, { 1, ANSWERED_LATER, "e0" } },
    1,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 0 } },
  { "an unanswered order, whose run was seen and then lost",
    { { 0, LOST_EARLY, "e0" },
      { 1, ANSWERED_SAME, "e0" },
      { 2, LOST, "e0" },
      { 3, ANSWERED_LATER, "e0" } },
    3,
    CRASH_START_ALONE,
    { .lost = 1, .started = 1, .confirmed = 1 } },
  { "three orders unanswered: it may have crashed none",
    { { 0, LOST_EARLY, "e0" }, { 1, LOST_EARLY, "e1" }, { 2, LOST_EARLY, "e2" } },
    CRASH_HOLD_MS + 2,
    CRASH_START_ALONE,
    { .lost = 3 } },
  { "three orders unanswered: held back",
    { { 0, LOST_EARLY, "e0" }, { 1, LOST_EARLY, "e1" }, { 2, LOST_EARLY, "e2" } },
    CRASH_HOLD_MS + 1,
    CRASH_HOLD,
    { .lost = 3 } },
  { "five orders unanswered",
    { { 0, LOST_EARLY, "e0" },
      { 1, LOST_EARLY, "e1" },
      { 2, LOST_EARLY, "e2" },
      { 3, LOST_EARLY, "e3" },
      { 4, LOST_EARLY, "e4" } },
    CRASH_RETENTION_MS,
    CRASH_UNDECIDED,
    { .lost = 5 } },
  { "told of one crash",
    { { 0, TOLD_CONFIRMED, "e0" } },
    0,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "told of a crash beside its own",
    { { 0, RESTARTED, "e0" }, { 1, TOLD_CONFIRMED, "e1" } },
    1,
    CRASH_START_ALONE,
    { .lost = 2, .confirmed = 2 } },
  { "told of two crashes beside its own",
    { { 0, RESTARTED, "e0" }, { 1, TOLD_CONFIRMED, "e1" }, { 2, TOLD_CONFIRMED, "e2" } },
    2,
    CRASH_GIVE_UP,
    { .lost = 3, .confirmed = 3 } },
  { "told that the loss is confirmed",
    { { 0, LOST, "e0" }, { 1, TOLD_CONFIRMED, "e0" } },
    1,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "told late of a loss that is withdrawn",
    { { 0, TOLD_WITHDRAWN, "e0" }, { 1, TOLD_LOST, "e0" } },
    1,
    CRASH_START,
    { .lost = 0, .confirmed = 0 } },
  { "told late of a loss that is confirmed",
    { { 0, TOLD_CONFIRMED, "e0" }, { 1, TOLD_LOST, "e0" }, { 2, TOLD_CONFIRMED, "e0" } },
    2,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "told of a loss, its endpoint answers here",
    { { 0, LOST, "e0" }, { 1, TOLD_WITHDRAWN, "e1" }, { 2, ANSWERED_LATER, "e0" } },
    2,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "silent twice in one run, then restarted",
    { { 0, LOST, "e0" },
      { 1, ANSWERED_SAME, "e0" },
      { 2, LOST, "e0" },
      { 3, ANSWERED_LATER, "e0" } },
    3,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "done", { { 0, LOST, "e0" }, { 1, DONE, "" } }, 1, CRASH_START, { .lost = 1, .confirmed = 0 } },
  { "done, then its endpoint restarts",
    { { 0, LOST, "e0" }, { 1, DONE, "" }, { 2, ANSWERED_LATER, "e0" } },
    2,
    CRASH_START,
    { .lost = 1, .confirmed = 1 } },
  { "done, then lost again",
    { { 0, RESTARTED, "e0" }, { 1, DONE, "" }, { 2, RESTARTED, "e1" } },
    2,
    CRASH_START_ALONE,
    { .lost = 2, .confirmed = 2 } },
  { "done in between: its crashes count together",
    { { 0, RESTARTED, "e0" },
      { 1, DONE, "" },
      { 2, RESTARTED, "e1" },
      { 3, DONE, "" },
      { 4, RESTARTED, "e2" } },
    4,
    CRASH_GIVE_UP,
    { .lost = 3, .confirmed = 3 } },
  { "done, and its loss withdrawn, then lost again",
    { { 0, LOST, "e0" }, { 1, DONE, "" }, { 2, ANSWERED_SAME, "e0" }, { 3, LOST, "e1" } },
    3,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 0 } },
  { "kept while its job may wait",
    { { 0, RESTARTED, "e0" } },
    CRASH_RETENTION_MS,
    CRASH_START_ALONE,
    { .lost = 1, .confirmed = 1 } },
  { "forgotten in the end",
    { { 0, RESTARTED, "e0" } },
    CRASH_RETENTION_MS + 1,
    CRASH_START,
    { .lost = 0, .confirmed = 0 } },
};

static void
count_change (const crash_loss_t *loss, void *count)
{
  (void) loss;
  ++*(int *) count;
}

static void
carry_out (crash_history_t *history, const step_t *step)
{
  static const crash_state_t states[] = {
    [LOST] = CRASH_SUSPECTED,           [LOST_EARLY] = CRASH_SUSPECTED,
    [RESTARTED] = CRASH_CONFIRMED,      [TOLD_LOST] = CRASH_SUSPECTED,
    [TOLD_WITHDRAWN] = CRASH_WITHDRAWN, [TOLD_CONFIRMED] = CRASH_CONFIRMED
  };
  int changes = 0;

  if (step->kind == DONE)
    crash_history_note_success (history, TASK);
  else if (step->kind == ANSWERED_SAME || step->kind == ANSWERED_LATER)
    crash_history_endpoint_answered (history, step->endpoint, step->endpoint,
                                     step->kind == ANSWERED_SAME ? 1 : 2, count_change, &changes);
  else if (step->kind == REPLACED)
    crash_history_endpoint_answered (history, "other", step->endpoint, 5, count_change, &changes);
  else if (step->kind == LEFT)
    crash_history_endpoint_left (history, step->endpoint, count_change, &changes);
  else
    {
      bool told =
          step->kind == TOLD_LOST || step->kind == TOLD_WITHDRAWN || step->kind == TOLD_CONFIRMED;
      /* The owner of the endpoint has found the loss, and then perhaps resolved it. */
      crash_loss_t loss = { .task = TASK,
                            .attempt = 1,
                            .endpoint = step->endpoint,
                            .address = step->endpoint, /* an address of its own */
                            .endpoint_started_at_ms = 1,
                            .had_started = step->kind != LOST_EARLY,
                            .state = states[step->kind],
                            .revision = step->kind == TOLD_LOST ? 1 : 2 };
      if (told)
        crash_history_merge (history, &loss, step->at_ms);
      else
        crash_history_add (history, &loss, step->at_ms);
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
add_to_other (const crash_loss_t *loss, void *other)
{
  crash_history_merge (other, loss, 0);
}

/* A host that has just started takes the losses that another one knows. */
static void
test_copied (void)
{
  crash_loss_t losses[] = { { TASK, 1, "e0", 1, true, CRASH_CONFIRMED, 0, NULL },
                            { TASK, 2, "e0", 5, true, CRASH_SUSPECTED, 0, NULL },
                            { "j.0.0.1", 1, "e0", 1, true, CRASH_SUSPECTED, 0, NULL } };
  crash_history_t *history = crash_history_new ();
  crash_history_t *other = crash_history_new ();
  int changes = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (losses); i++)
    CU_ASSERT_TRUE (crash_history_add (history, &losses[i], 0));
  CU_ASSERT_FALSE (crash_history_add (history, &losses[0], 0));
  crash_history_foreach (history, add_to_other, other);
  crash_history_foreach (history, add_to_other, other);
  CU_ASSERT_EQUAL (crash_history_counts (other, TASK).lost, 2);
  CU_ASSERT_EQUAL (crash_history_counts (other, TASK).confirmed, 1);
  crash_history_endpoint_answered (other, "e0", "", 9, count_change, &changes);
  CU_ASSERT_EQUAL (changes, 2);
  CU_ASSERT_EQUAL (crash_history_counts (other, TASK).confirmed, 2);
  CU_ASSERT_EQUAL (crash_history_counts (other, "j.0.0.1").confirmed, 1);
  crash_history_free (history);
  crash_history_free (other);
}

/* With too many tasks, the one whose losses changed first is forgotten. */
static void
test_bounded (void)
{
  crash_history_t *history = crash_history_new ();
  char name[32];

  for (int i = 0; i <= CRASH_TASKS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "j.0.0.%d", i);
      crash_history_add (history,
                         &(crash_loss_t){ name, 1, "e0", 1, true, CRASH_CONFIRMED, 0, NULL }, i);
    }
  CU_ASSERT_EQUAL (crash_history_counts (history, "j.0.0.0").lost, 0);
  CU_ASSERT_EQUAL (crash_history_counts (history, "j.0.0.1").lost, 1);
  CU_ASSERT_EQUAL (crash_history_counts (history, name).lost, 1);
  crash_history_free (history);
}

#define RESOLVED_TASKS 1000
#define RESOLVED_INTERVAL_MS 100
/* Losses that are resolved between two removals. */
#define RESOLVED_HELD_MAX 200

/* A host that owns no endpoint is told of losses and how they were resolved.  It kept the name of
 * each task for as long as the endpoint was suspected again and again. */
static void
test_resolved_elsewhere_forgotten (void)
{
  static const crash_state_t states[] = { CRASH_SUSPECTED, CRASH_WITHDRAWN, CRASH_SUSPECTED,
                                          CRASH_CONFIRMED };
  crash_history_t *history = crash_history_new ();
  size_t held_max = 0;
  char name[32];

  for (int i = 0; i < RESOLVED_TASKS; i++)
    {
      g_snprintf (name, sizeof name, "j.0.0.%d", i);
      for (int32_t k = 0; k < (int32_t) G_N_ELEMENTS (states); k++)
        crash_history_merge (
            history, &(crash_loss_t){ name, 1, "e0", 1, true, states[k], k + 1, "127.0.0.1:1" },
            i * RESOLVED_INTERVAL_MS);
      crash_history_expire (history, i * RESOLVED_INTERVAL_MS);
      held_max = MAX (held_max, crash_history_suspect_count (history));
    }
  CU_ASSERT_TRUE (held_max <= RESOLVED_HELD_MAX);
  crash_history_free (history);
}

static const unit_test_t tests[] = {
  { "decisions", test_decisions },
  { "copied", test_copied },
  { "bounded", test_bounded },
  { "names of tasks whose losses others have resolved were kept",
    test_resolved_elsewhere_forgotten },
};

int
main (void)
{
  return unit_run ("crashes", tests, G_N_ELEMENTS (tests));
}
