/* test_ended_jobs.c -- for how long, and for how many jobs, an outcome is known */
#include "scheduler/ended_jobs.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define NOTHING (-1)
/* More jobs than are kept of any outcome. */
#define MANY_JOBS 40000

/* A job that ends with FIRST at time 0 and with SECOND at SECOND_AT_MS, after which OTHERS jobs
 * end as complete. */
static const struct
{
  const char *name;
  int first;
  int second; /* NOTHING: no second end */
  int64_t second_at_ms;
  int others;
  int64_t asked_at_ms;
  int known; /* NOTHING: not known */
} cases[] = {
  { "never ended", NOTHING, NOTHING, 0, 0, 0, NOTHING },
  { "complete", SCHEDULER_COMPLETE, NOTHING, 0, 0, 59999, SCHEDULER_COMPLETE },
  { "complete, too long ago", SCHEDULER_COMPLETE, NOTHING, 0, 0, 60000, NOTHING },
  { "failed", SCHEDULER_FAILED, NOTHING, 0, 0, 59999, SCHEDULER_FAILED },
  { "failed, too long ago", SCHEDULER_FAILED, NOTHING, 0, 0, 60000, NOTHING },
  { "refused", SCHEDULER_REFUSED, NOTHING, 0, 0, 0, NOTHING },
  { "given up", SCHEDULER_GIVEN_UP, NOTHING, 0, 0, 0, NOTHING },
  { "cancelled", SCHEDULER_CANCELLED, NOTHING, 0, 0, 659999, SCHEDULER_CANCELLED },
  { "cancelled, too long ago", SCHEDULER_CANCELLED, NOTHING, 0, 0, 660000, NOTHING },
  { "given up, then cancelled", SCHEDULER_GIVEN_UP, SCHEDULER_CANCELLED, 10, 0, 20,
    SCHEDULER_CANCELLED },
  { "complete, then cancelled", SCHEDULER_COMPLETE, SCHEDULER_CANCELLED, 50000, 0, 709999,
    SCHEDULER_COMPLETE },
  { "complete, then cancelled, too long ago", SCHEDULER_COMPLETE, SCHEDULER_CANCELLED, 50000, 0,
    710000, NOTHING },
  { "cancelled, then complete", SCHEDULER_CANCELLED, SCHEDULER_COMPLETE, 10, 0, 659999,
    SCHEDULER_CANCELLED },
  { "cancelled twice", SCHEDULER_CANCELLED, SCHEDULER_CANCELLED, 10, 0, 660000, NOTHING },
  { "complete, forgotten, then failed", SCHEDULER_COMPLETE, SCHEDULER_FAILED, 60000, 0, 60010,
    SCHEDULER_FAILED },
  { "complete before the last that are kept", SCHEDULER_COMPLETE, NOTHING, 0, ENDED_COMPLETE_MAX, 0,
    NOTHING },
  { "complete, among the last that are kept", SCHEDULER_COMPLETE, NOTHING, 0,
    ENDED_COMPLETE_MAX - 1, 0, SCHEDULER_COMPLETE },
  { "cancelled before many complete ones", SCHEDULER_CANCELLED, NOTHING, 0, MANY_JOBS, 0,
    SCHEDULER_CANCELLED },
};

static void
add_jobs (ended_jobs_t *jobs, scheduler_outcome_t outcome, int count, int64_t now_ms)
{
  char id[32];

  for (int i = 0; i < count; i++)
    {
      g_snprintf (id, sizeof id, "%d-%d", (int) outcome, i);
      ended_jobs_add (jobs, id, outcome, now_ms);
    }
}

static void
test_known (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      ended_jobs_t *jobs = ended_jobs_new ();
      scheduler_outcome_t outcome = SCHEDULER_REFUSED;

      if (cases[i].first != NOTHING)
        ended_jobs_add (jobs, "j", (scheduler_outcome_t) cases[i].first, 0);
      if (cases[i].second != NOTHING)
        ended_jobs_add (jobs, "j", (scheduler_outcome_t) cases[i].second, cases[i].second_at_ms);
      add_jobs (jobs, SCHEDULER_COMPLETE, cases[i].others, 0);
      bool found = ended_jobs_find (jobs, "j", cases[i].asked_at_ms, &outcome);
      int known = found ? (int) outcome : NOTHING;
      if (known != cases[i].known)
        printf ("  %s: %d\n", cases[i].name, known);
      CU_ASSERT_EQUAL (known, cases[i].known);
      ended_jobs_free (jobs);
    }
}

/* Neither the flow of jobs nor that of cancellations fills the memory of a host. */
static void
test_bounds (void)
{
  ended_jobs_t *jobs = ended_jobs_new ();

  for (int outcome = SCHEDULER_COMPLETE; outcome <= SCHEDULER_CANCELLED; outcome++)
    add_jobs (jobs, (scheduler_outcome_t) outcome, MANY_JOBS, 0);
  CU_ASSERT_EQUAL (ended_jobs_count (jobs),
                   ENDED_COMPLETE_MAX + ENDED_FAILED_MAX + ENDED_CANCELLED_MAX);
  ended_jobs_expire (jobs, ENDED_ANSWERED_RETENTION_MS);
  CU_ASSERT_EQUAL (ended_jobs_count (jobs), ENDED_CANCELLED_MAX);
  ended_jobs_expire (jobs, ENDED_CANCELLED_RETENTION_MS);
  CU_ASSERT_EQUAL (ended_jobs_count (jobs), 0);
  ended_jobs_free (jobs);
}

static void
append_id (const char *id, void *ids)
{
  g_string_append (ids, id);
  g_string_append_c (ids, ' ');
}

static const struct
{
  size_t count_max;
  const char *ids;
} list_cases[] = { { 0, "" }, { 2, "a 4-2 " }, { 9, "a 4-2 4-1 4-0 " } };

static void
test_list_of_cancelled (void)
{
  ended_jobs_t *jobs = ended_jobs_new ();

  ended_jobs_add (jobs, "a", SCHEDULER_COMPLETE, 0);
  ended_jobs_add (jobs, "b", SCHEDULER_FAILED, 0);
  add_jobs (jobs, SCHEDULER_CANCELLED, 3, 0);
  ended_jobs_add (jobs, "a", SCHEDULER_CANCELLED, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (list_cases); i++)
    {
      GString *ids = g_string_new (NULL);
      ended_jobs_foreach_cancelled (jobs, list_cases[i].count_max, append_id, ids);
      CU_ASSERT_STRING_EQUAL (ids->str, list_cases[i].ids);
      g_string_free (ids, TRUE);
    }
  ended_jobs_free (jobs);
}

static const unit_test_t tests[] = {
  { "outcomes that are known", test_known },
  { "bounds", test_bounds },
  { "the last cancelled jobs", test_list_of_cancelled },
};

int
main (void)
{
  return unit_run ("ended jobs", tests, G_N_ELEMENTS (tests));
}
