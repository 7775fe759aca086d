/* test_job_cold_start.c -- a job that arrives at a host that was just started must not start beside
 * runs that only earlier processes knew of
 */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define ID "00000000000000a1"
#define RESUBMIT_MS 1300
#define STARTED_MS 10000
#define COLD_MS 1080
/* Runs of an earlier process have ended so long after the start of this one. */
#define RUNS_END_MS RESUBMIT_MS
#define STEP_MS 5
#define NEVER INT64_MAX
#define TOKEN 1
#define LATER_TOKEN 2

/* Times are counted from the start of the process. */
static const struct
{
  const char *name;
  int64_t received_ms;
  int64_t listed_ms;      /* all shards are known; NEVER: they are not */
  int64_t surveyed_ms[2]; /* each shard, by its first owner */
  int64_t changes_ms;     /* another host owns the second shard from then on */
  int64_t resurveyed_ms;  /* and has surveyed it */
  int64_t all_told_ms;    /* a hub that is older has told all jobs that it knows */
  bool is_known;          /* one of these was at an earlier process of this host */
  int64_t starts_from_ms;
  int64_t starts_by_ms;
} cases[] = {
  { "surveyed before it came", 300, 100, { 200, 250 }, NEVER, NEVER, NEVER, false, 300, 300 },
  { "surveyed later", 100, 50, { 200, 250 }, NEVER, NEVER, NEVER, false, 250, 260 },
  { "one shard is not",
    100,
    50,
    { 200, NEVER },
    NEVER,
    NEVER,
    NEVER,
    false,
    COLD_MS,
    COLD_MS + 10 },
  { "none is", 100, 50, { NEVER, NEVER }, NEVER, NEVER, NEVER, false, COLD_MS, COLD_MS + 10 },
  { "not all shards are known",
    100,
    NEVER,
    { 200, 250 },
    NEVER,
    NEVER,
    NEVER,
    false,
    COLD_MS,
    COLD_MS + 10 },
  { "known later", 100, 600, { 200, 250 }, NEVER, NEVER, NEVER, false, 600, 610 },
  { "its leases have ended",
    1090,
    NEVER,
    { NEVER, NEVER },
    NEVER,
    NEVER,
    NEVER,
    false,
    1090,
    1090 },
  { "another owner claims it", 100, 50, { 400, 250 }, 300, 500, NEVER, false, 500, 510 },
  { "another owner, not surveyed",
    100,
    50,
    { 400, 250 },
    300,
    NEVER,
    NEVER,
    false,
    COLD_MS,
    COLD_MS + 10 },
  { "an older hub has told all", 100, NEVER, { NEVER, NEVER }, NEVER, NEVER, 50, false, 100, 100 },
  { "told later", 100, NEVER, { NEVER, NEVER }, NEVER, NEVER, 300, false, 300, 310 },
  { "told of the job",
    100,
    NEVER,
    { NEVER, NEVER },
    NEVER,
    NEVER,
    50,
    true,
    RUNS_END_MS,
    RUNS_END_MS + 10 },
  { "told of the job, surveyed",
    100,
    50,
    { 60, 60 },
    NEVER,
    NEVER,
    50,
    true,
    RUNS_END_MS,
    RUNS_END_MS + 10 },
};

static void
own (scheduler_t *scheduler, const char *shard, const char *host, int64_t token, GArray *actions)
{
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const executor_load_t load = { .service = "s", .cores_milli = 4000 };

  scheduler_set_owner (scheduler, shard, host, token, STARTED_MS, actions);
  report_offers (scheduler, shard, host, &offer, 1, &load, STARTED_MS);
}

static scheduler_t *
new_scheduler (GArray *actions)
{
  const scheduler_options_t options = { .host = "ha",
                                        .data_centre = "y",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .resubmit_ms = RESUBMIT_MS,
                                        .started_at_ms = STARTED_MS,
                                        .cold_until_ms = STARTED_MS + COLD_MS };
  scheduler_t *scheduler = scheduler_new (&options);

  own (scheduler, "y", "hy", TOKEN, actions);
  own (scheduler, "z", "hz", TOKEN, actions);
  return scheduler;
}

static void
submit (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  scheduler_job_t job = test_job (ID, now_ms, 9000);

  job.tasks = 2;
  job.estimate_ms = 900;
  scheduler_submit (scheduler, &job, now_ms, actions);
}

/* What is told AFTER_MS after the start of the process. */
static void
tell (scheduler_t *scheduler, size_t row, int64_t after_ms, GArray *actions)
{
  static const char *const shards[] = { "y", "z" };
  const job_status_t stopped = { ID, JOB_STATUS_STOPPED, STARTED_MS + 5000 };

  if (after_ms == cases[row].listed_ms)
    scheduler_set_shards_listed (scheduler);
  for (size_t i = 0; i < G_N_ELEMENTS (shards); i++)
    if (after_ms == cases[row].surveyed_ms[i])
      scheduler_set_surveyed (scheduler, shards[i], TOKEN);
  if (after_ms == cases[row].changes_ms)
    own (scheduler, "z", "hw", LATER_TOKEN, actions);
  if (after_ms == cases[row].all_told_ms && cases[row].is_known)
    scheduler_job_told (scheduler, "ha", &stopped, STARTED_MS + after_ms, actions);
  if (after_ms == cases[row].all_told_ms)
    scheduler_all_told (scheduler);
  if (after_ms == cases[row].resurveyed_ms)
    scheduler_set_surveyed (scheduler, "z", LATER_TOKEN);
}

/* Returns when the job has started, NEVER if it did not. */
static int64_t
play (scheduler_t *scheduler, size_t row, GArray *actions)
{
  for (int64_t after_ms = 0; after_ms < 2000; after_ms += STEP_MS)
    {
      tell (scheduler, row, after_ms, actions);
      if (after_ms == cases[row].received_ms)
        submit (scheduler, STARTED_MS + after_ms, actions);
      scheduler_step (scheduler, STARTED_MS + after_ms, actions);
      if (take_submits (actions) > 0)
        return after_ms;
    }
  return NEVER;
}

static void
test_cold (void)
{
  for (size_t row = 0; row < G_N_ELEMENTS (cases); row++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler (actions);
      int64_t started_ms = play (scheduler, row, actions);
      CU_ASSERT_TRUE (started_ms >= cases[row].starts_from_ms);
      CU_ASSERT_TRUE (started_ms <= cases[row].starts_by_ms);
      if (started_ms < cases[row].starts_from_ms || started_ms > cases[row].starts_by_ms)
        printf ("  %s: started after %d ms\n", cases[row].name, (int) started_ms);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "jobs that arrive just after the start", test_cold },
};

int
main (void)
{
  return unit_run ("job_cold_start", tests, G_N_ELEMENTS (tests));
}
