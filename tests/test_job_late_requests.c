/* test_job_late_requests.c -- a request that a cut may have held up must not start its job before
 * other hosts could tell that they run it */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define ID "00000000000000a1"
#define OTHER_HOST "hb"
#define RESUBMIT_MS 1300
#define RECEIVED_MS 10000
#define DEADLINE_MS 19000
#define STEP_MS 5
/* Hosts that hear each other have told each other their jobs by then. */
#define TOLD_MS 100
/* The longest that a request waits, and while hosts that are heard again may not have told. */
#define HELD_MAX_MS 110
#define TOLD_MAX_MS 1010
#define CUT_MS (RECEIVED_MS - 2000)
#define NEVER INT64_MAX

typedef enum
{
  NOT_TOLD,     /* no host has the job */
  TOLD_OPEN,    /* another host tells that it runs it */
  TOLD_COMPLETE /* another host tells that it has run it */
} told_t;

static const struct
{
  const char *name;
  int64_t idle_ms;
  int64_t since_ms;         /* a data centre is out of reach since then; NEVER: all are reached */
  bool heard;               /* hosts of it are heard again */
  bool reached;             /* it is reached again */
  int64_t reached_again_ms; /* after RECEIVED_MS */
  told_t told;
  int64_t starts_from_ms; /* after RECEIVED_MS; NEVER: it does not start here */
  int64_t starts_by_ms;
} cases[] = {
  { "all are reached", 5000, NEVER, false, false, 0, NOT_TOLD, 0, 0 },
  { "a connection in use", 20, CUT_MS, false, false, NEVER, NOT_TOLD, 0, 0 },
  { "used since the cut", 1500, CUT_MS, false, false, NEVER, NOT_TOLD, 0, 0 },
  { "idle since before the cut", 3000, CUT_MS, false, false, NEVER, NOT_TOLD, 50, HELD_MAX_MS },
  { "heard again", 3000, CUT_MS, true, false, NEVER, NOT_TOLD, 900, TOLD_MAX_MS },
  { "seconds after the end of the cut", 6000, CUT_MS, false, true, NEVER, NOT_TOLD, 50,
    HELD_MAX_MS },
  { "used since the cut, seconds after its end", 1500, CUT_MS, false, true, NEVER, NOT_TOLD, 0, 0 },
  { "the cut has ended", 3000, CUT_MS, true, false, 300, NOT_TOLD, 300, 310 },
  { "another host runs it", 3000, CUT_MS, true, false, 300, TOLD_OPEN, NEVER, NEVER },
  { "another host has run it", 3000, CUT_MS, true, false, 300, TOLD_COMPLETE, NEVER, NEVER },
  { "another host runs it, all are reached", 3000, NEVER, false, false, 0, TOLD_OPEN, 0, 0 },
};

static void
submit (scheduler_t *scheduler, int64_t idle_ms, GArray *actions)
{
  scheduler_job_t job = test_job (ID, RECEIVED_MS, DEADLINE_MS - RECEIVED_MS);

  job.tasks = 2;
  job.idle_ms = idle_ms;
  scheduler_submit (scheduler, &job, RECEIVED_MS, actions);
}

static void
tell (scheduler_t *scheduler, told_t told, int64_t now_ms, GArray *actions)
{
  const job_status_t open = { ID, JOB_STATUS_OPEN, DEADLINE_MS };
  const job_status_t complete = { ID, JOB_STATUS_COMPLETE, 0 };

  if (told != NOT_TOLD)
    scheduler_job_told (scheduler, OTHER_HOST, told == TOLD_OPEN ? &open : &complete, now_ms,
                        actions);
}

/* Returns after how many milliseconds the job started, NEVER if it did not. */
static int64_t
play (scheduler_t *scheduler, size_t row, GArray *actions)
{
  submit (scheduler, cases[row].idle_ms, actions);
  if (take_submits (actions) > 0)
    return 0;
  for (int64_t after_ms = STEP_MS; after_ms < 2000; after_ms += STEP_MS)
    {
      if (after_ms == TOLD_MS)
        tell (scheduler, cases[row].told, RECEIVED_MS + after_ms, actions);
      if (after_ms == cases[row].reached_again_ms)
        scheduler_clear_unreached (scheduler);
      scheduler_step (scheduler, RECEIVED_MS + after_ms, actions);
      if (take_submits (actions) > 0)
        return after_ms;
    }
  return NEVER;
}

static void
test_late (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler_of ("ha", RESUBMIT_MS, RECEIVED_MS, actions);
      const scheduler_unreached_t unreached = { .reached_at_ms = cases[i].reached
                                                                     ? INT64_MAX
                                                                     : cases[i].since_ms - 600,
                                                .since_ms = cases[i].since_ms,
                                                .heard = cases[i].heard };
      if (cases[i].since_ms != NEVER)
        scheduler_add_unreached (scheduler, &unreached);
      int64_t started_ms = play (scheduler, i, actions);
      CU_ASSERT_TRUE (started_ms >= cases[i].starts_from_ms);
      CU_ASSERT_TRUE (started_ms <= cases[i].starts_by_ms);
      if (started_ms < cases[i].starts_from_ms || started_ms > cases[i].starts_by_ms)
        printf ("  %s: started after %d ms\n", cases[i].name, (int) started_ms);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "requests that a cut may have held up", test_late },
};

int
main (void)
{
  return unit_run ("job_late_requests", tests, G_N_ELEMENTS (tests));
}
