/* test_job_cold_start_spread.c -- hosts are killed one after the other: leases that the last ones
 * have granted may end later than the longest lease after the start of this process
 */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define RESUBMIT_MS 1300
#define STARTED_MS 10000
#define COLD_MS 1080
#define STEP_MS 5
#define UNTIL_MS 3000
#define NEVER INT64_MAX
#define TOKEN 1

/* Times are counted from the start of this process. */
static const struct
{
  const char *name;
  int64_t received_ms;
  int64_t heard_ms; /* a later process of another host is heard; NEVER: it is not */
  int64_t began_ms; /* and has begun */
  int64_t surveyed_ms;
  int64_t starts_from_ms;
  int64_t starts_by_ms;
} cases[] = {
  { "no other host is restarted", 100, NEVER, 0, NEVER, COLD_MS, COLD_MS + 10 },
  { "one is, later than this one", 100, 700, 600, NEVER, 600 + COLD_MS, 600 + COLD_MS + 10 },
  { "one is, and all shards are surveyed", 100, 700, 600, 900, 900, 910 },
  { "one is, earlier than this one", 100, 200, -300, NEVER, COLD_MS, COLD_MS + 10 },
  { "one is, after leases of before have ended", 1200, 1500, 1400, NEVER, 1200, 1200 },
};

static scheduler_t *
new_scheduler (GArray *actions)
{
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const executor_load_t load = { .service = "s", .cores_milli = 4000 };
  const scheduler_options_t options = { .host = "ha",
                                        .data_centre = "y",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .resubmit_ms = RESUBMIT_MS,
                                        .started_at_ms = STARTED_MS,
                                        .cold_until_ms = STARTED_MS + COLD_MS };
  scheduler_t *scheduler = scheduler_new (&options);

  scheduler_set_owner (scheduler, "y", "hy", TOKEN, STARTED_MS, actions);
  report_offers (scheduler, "y", "hy", &offer, 1, &load, STARTED_MS);
  scheduler_set_shards_listed (scheduler);
  return scheduler;
}

static void
submit (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  scheduler_job_t job = test_job ("00000000000000a1", now_ms, 9000);

  job.tasks = 2;
  job.estimate_ms = 900;
  scheduler_submit (scheduler, &job, now_ms, actions);
}

/* Returns when the job has started, NEVER if it did not. */
static int64_t
play (scheduler_t *scheduler, size_t row, GArray *actions)
{
  for (int64_t after_ms = 0; after_ms < UNTIL_MS; after_ms += STEP_MS)
    {
      if (after_ms == cases[row].heard_ms)
        scheduler_host_restarted (scheduler, "hw", STARTED_MS + cases[row].began_ms);
      if (after_ms == cases[row].surveyed_ms)
        scheduler_set_surveyed (scheduler, "y", TOKEN);
      if (after_ms == cases[row].received_ms)
        submit (scheduler, STARTED_MS + after_ms, actions);
      scheduler_step (scheduler, STARTED_MS + after_ms, actions);
      if (take_submits (actions) > 0)
        return after_ms;
    }
  return NEVER;
}

static void
test_spread (void)
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
  { "jobs that arrive while hosts are restarted", test_spread },
};

int
main (void)
{
  return unit_run ("job_cold_start_spread", tests, G_N_ELEMENTS (tests));
}
