/* test_report_timing.c -- overdue reports, and what a coordinator sends to an owner that falls
 * silent
 */
#include "scheduler/report_timing.h"
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <string.h>

/* An owner that has reported REPORTS times, every INTERVAL_MS, and then not for SILENT_MS. */
static const struct
{
  const char *name;
  int reports;
  int64_t interval_ms;
  int64_t silent_ms;
  int64_t overdue_ms;
} timing_cases[] = {
  { "never reported", 0, 0, 5000, 0 },
  { "busy, silent for a few intervals", 100, 15, 60, 0 },
  { "busy, silent", 100, 15, 100, 40 },
  { "idle, silent for one interval", 100, 300, 300, 0 },
  { "idle, silent for four", 100, 300, 1200, 0 },
  { "idle, silent for longer", 100, 300, 1300, 100 },
  { "reports once a minute", 100, 60000, 1300, 100 },
  { "reported once", 1, 0, 400, 0 },
  { "reported once, silent", 1, 0, 500, 100 },
};

static void
test_timing (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (timing_cases); i++)
    {
      report_timing_t timing = { 0 };
      int64_t now_ms = 1000;

      for (int k = 0; k < timing_cases[i].reports; k++)
        {
          now_ms += timing_cases[i].interval_ms;
          report_timing_add (&timing, now_ms);
        }
      int64_t overdue_ms = report_timing_overdue_ms (&timing, now_ms + timing_cases[i].silent_ms);
      if (ABS (overdue_ms - timing_cases[i].overdue_ms) > 2)
        printf ("  %s: %d\n", timing_cases[i].name, (int) overdue_ms);
      CU_ASSERT_TRUE (ABS (overdue_ms - timing_cases[i].overdue_ms) <= 2);
    }
}

#define SILENT_AT_MS 1000
#define END_MS 1800
#define REPORT_INTERVAL_MS 15
#define SLOTS 200
#define JOB_INTERVAL_MS 1

/* Owners x and y have free slots and report every REPORT_INTERVAL_MS until SILENT_AT_MS.  The
 * coordinator is in the data centre of y, so that y gets all tasks.  Then some of them fall silent,
 * as if they were cut off. */
static const struct
{
  const char *name;
  bool x_silent;
  bool y_silent;
  int sent_to_y_min; /* from SILENT_AT_MS to END_MS */
  int sent_to_y_max;
} silence_cases[] = {
  { "both report", false, false, END_MS - SILENT_AT_MS, END_MS - SILENT_AT_MS },
  /* It is suspect after 60 ms, and its last report was up to one interval before. */
  { "y is cut off", false, true, 0, 60 + REPORT_INTERVAL_MS },
  /* All owners are suspect alike: its free slots are used all the same. */
  { "this host is cut off", true, true, SLOTS, END_MS - SILENT_AT_MS },
};

static void
report (scheduler_t *scheduler, const char *shard, int64_t now_ms)
{
  const executor_offer_t offer = { "s", SLOTS, SLOTS, 1.0 };
  const executor_load_t load = { .service = "s", .cores_milli = SLOTS * 1000 };

  report_offers (scheduler, shard, shard, &offer, 1, &load, now_ms);
}

/* Submits a new job. */
static void
submit (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  static int jobs;
  char id[16];

  g_snprintf (id, sizeof id, "j%d", ++jobs);
  scheduler_job_t job = test_job (id, now_ms, 1500);

  job.estimate_ms = 60;
  scheduler_submit (scheduler, &job, now_ms, actions);
}

/* Counts the batches for owner HOST in ACTIONS, and clears them. */
static int
take_batches (GArray *actions, const char *host)
{
  int count = 0;

  for (guint i = 0; i < actions->len; i++)
    {
      scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      if (action->kind != SCHEDULER_SUBMIT)
        continue;
      count += strcmp (action->host, host) == 0;
      g_array_unref (action->task_indexes);
    }
  g_array_set_size (actions, 0);
  return count;
}

/* Replays a cut of a data centre.  Tasks that are sent to its owner before the owner counts as lost
 * are lost with their jobs. */
static void
test_owner_falls_silent (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "y",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };

  for (size_t i = 0; i < G_N_ELEMENTS (silence_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);
      int sent_to_y = 0;

      scheduler_set_owner (scheduler, "x", "x", 1, 0, actions);
      scheduler_set_owner (scheduler, "y", "y", 1, 0, actions);
      for (int64_t now_ms = 0; now_ms < END_MS; now_ms += JOB_INTERVAL_MS)
        {
          bool reports = now_ms % REPORT_INTERVAL_MS == 0;
          if (reports && (now_ms < SILENT_AT_MS || !silence_cases[i].x_silent))
            report (scheduler, "x", now_ms);
          if (reports && (now_ms < SILENT_AT_MS || !silence_cases[i].y_silent))
            report (scheduler, "y", now_ms);
          submit (scheduler, now_ms, actions);
          int sent = take_batches (actions, "y");
          if (now_ms >= SILENT_AT_MS)
            sent_to_y += sent;
        }
      if (sent_to_y < silence_cases[i].sent_to_y_min || sent_to_y > silence_cases[i].sent_to_y_max)
        printf ("  %s: %d\n", silence_cases[i].name, sent_to_y);
      CU_ASSERT_TRUE (sent_to_y >= silence_cases[i].sent_to_y_min);
      CU_ASSERT_TRUE (sent_to_y <= silence_cases[i].sent_to_y_max);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "overdue reports", test_timing },
  { "an owner falls silent", test_owner_falls_silent },
};

int
main (void)
{
  return unit_run ("report timing", tests, G_N_ELEMENTS (tests));
}
