/* test_admission.c -- whether a job is taken, and when a refused caller should come back */
#include "base/hash.h"
#include "flow/admission.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>

static const struct
{
  const char *name;
  int64_t least_wait_ms;
  int64_t least_end_ms;
  int64_t own_ms;
  int64_t deadline_at_ms;
  int64_t start_by_ms;
  admission_t admission;
} decisions[] = {
  { "it may start at once, though it can hardly end in time", 0, 2000, 0, 1800, 0, ADMISSION_YES },
  { "it is late, but its caller still waits", 5000, 5900, 0, 28000, 0, ADMISSION_YES },
  { "it ends just in time", 1000, 1800, 0, 1800, 0, ADMISSION_YES },
  { "it can't end before its deadline", 1000, 1801, 0, 1800, 0, ADMISSION_TOO_LATE },
  { "its last task can't", 1000, 1700, 200, 1800, 0, ADMISSION_TOO_LATE },
  { "it starts just in time", 1500, 2040, 0, 28000, 1500, ADMISSION_YES },
  { "it can't start within its queue's time", 1501, 2040, 0, 28000, 1500, ADMISSION_NO_START },
};

static void
test_decisions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (decisions); i++)
    {
      const forecast_t forecast = { .least_wait_ms = decisions[i].least_wait_ms,
                                    .least_end_ms = decisions[i].least_end_ms };
      admission_t admission = admission_decide (
          &forecast, decisions[i].own_ms, decisions[i].deadline_at_ms, decisions[i].start_by_ms, 0);
      if (admission != decisions[i].admission)
        printf ("\n  %s: %d ", decisions[i].name, admission);
      CU_ASSERT_EQUAL (admission, decisions[i].admission);
    }
}

static const struct
{
  const char *name;
  int64_t wait_ms;
  int64_t caller_wait_ms;
  int64_t least_ms; /* of 1,000 callers */
  int64_t most_ms;
} retries[] = {
  { "no owner is known", -1, 1500, 1, 1200 },
  { "a short backlog", 800, 1500, 1, 800 },
  { "a backlog longer than callers wait", 4000, 1500, 2500, 6500 },
  { "twice that", 8000, 1500, 6500, 14500 },
  { "a backlog of minutes", 200000, 1500, 28000, 28000 },
  { "no wait left", 1000, -500, 1000, 2000 },
};

/* Rejected callers came back together, a second later, whatever the backlog was. */
static void
test_retries (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (retries); i++)
    {
      int64_t least_ms = INT64_MAX;
      int64_t most_ms = 0;
      for (int job = 0; job < 1000; job++)
        {
          char *id = g_strdup_printf ("%016x", (unsigned) job);
          int64_t retry_ms =
              admission_retry_ms (retries[i].wait_ms, retries[i].caller_wait_ms, hash_string (id));
          least_ms = MIN (least_ms, retry_ms);
          most_ms = MAX (most_ms, retry_ms);
          g_free (id);
        }
      int64_t slack_ms = (retries[i].most_ms - retries[i].least_ms) / 20;
      if (least_ms < retries[i].least_ms || most_ms > retries[i].most_ms)
        printf ("\n  %s: %d to %d ", retries[i].name, (int) least_ms, (int) most_ms);
      CU_ASSERT_TRUE (least_ms >= retries[i].least_ms && most_ms <= retries[i].most_ms);
      CU_ASSERT_TRUE (least_ms <= retries[i].least_ms + slack_ms);
      CU_ASSERT_TRUE (most_ms >= retries[i].most_ms - slack_ms);
    }
}

/* --- the load --- */

#define CORES 1000.0
#define TASK_CORES 32
#define TASK_MS 900
#define JOB_TASKS 4
#define JOB_CORE_MS (JOB_TASKS * TASK_CORES * TASK_MS)
#define BURST_FROM_MS 2000
#define BURST_MS 12000
#define DAY_MS 20000
#define STEP_MS 10
#define QUEUE_TIME_MS 1500
#define HISTORY (2100 / STEP_MS)
#define WAITING_MAX 4096

typedef struct
{
  int64_t arrived_at_ms;
  double core_ms;
  bool admitted; /* else it is only watched: what would have become of it */
} waiting_t;

typedef struct
{
  int jobs;
  int refused;
  int expired;         /* admitted, and not started within the queue's time */
  int refused_idle;    /* while cores were free */
  double idle_core_ms; /* in the burst */
} outcome_t;

/* One queue of jobs of the dearest kind, at 0.58 of the cores, in the burst 2.6 times that with an
 * eighth of the cores gone.  It is worked through in the order of arrival.  REPORT_AGE_MS: of the
 * report by which jobs are admitted. */
static outcome_t
replay (int64_t report_age_ms, bool controlled)
{
  static waiting_t queue[WAITING_MAX];
  double told[HISTORY] = { 0 };
  double backlog = 0;
  int head = 0;
  int tail = 0;
  GRand *rand = g_rand_new_with_seed (3);
  outcome_t outcome = { 0 };

  for (int64_t now_ms = 0; now_ms < DAY_MS; now_ms += STEP_MS)
    {
      bool burst = now_ms >= BURST_FROM_MS && now_ms < BURST_FROM_MS + BURST_MS;
      double cores = burst ? CORES * 7 / 8 : CORES;
      double rate = 0.58 * CORES * (burst ? 2.6 : 1.0) * STEP_MS / JOB_CORE_MS;
      int step = (int) (now_ms / STEP_MS);
      told[step % HISTORY] = backlog;
      if (g_rand_double (rand) < rate)
        {
          int64_t seen_ms = MAX (now_ms - report_age_ms, 0);
          forecast_load_t load = { .told = { .cores_milli = (int64_t) (cores * 1000) },
                                   .heard_at_ms = seen_ms };
          load.told.backlog_core_ms[2] = (int64_t) told[(seen_ms / STEP_MS) % HISTORY];
          const forecast_task_t task = { 2,  TASK_CORES * 1000, TASK_MS, TASK_MS * 7 / 10, now_ms,
                                         1.0 };
          forecast_t forecast = forecast_of (&load, &task, now_ms);
          admission_t admission =
              admission_decide (&forecast, 0, now_ms + 4000, now_ms + QUEUE_TIME_MS, now_ms);
          outcome.jobs++;
          if (controlled && admission != ADMISSION_YES)
            {
              outcome.refused++;
              outcome.refused_idle += backlog <= 0;
            }
          else if (tail < WAITING_MAX)
            {
              queue[tail++] = (waiting_t){ now_ms, JOB_CORE_MS, true };
              backlog += JOB_CORE_MS;
            }
        }
      double left = cores * STEP_MS;
      while (head < tail && (left > 0 || queue[head].core_ms <= 0))
        {
          waiting_t *job = &queue[head];
          bool begun = job->core_ms < JOB_CORE_MS;
          if (!begun && now_ms - job->arrived_at_ms > QUEUE_TIME_MS)
            {
              outcome.expired++;
              backlog -= job->core_ms;
              head++;
              continue;
            }
          double done = MIN (left, job->core_ms);
          job->core_ms -= done;
          backlog -= done;
          left -= done;
          head += job->core_ms <= 0;
        }
      if (burst && now_ms > BURST_FROM_MS + 3000)
        outcome.idle_core_ms += left;
    }
  g_rand_free (rand);
  return outcome;
}

static const struct
{
  const char *name;
  int64_t report_age_ms;
} replays[] = {
  { "reports 0.1 s old", 100 },
  { "reports 0.3 s old", 300 },
  { "reports 2 s old", 2000 },
};

/* In a burst jobs were refused after their queue's time instead of on arrival; and refusing by an
 * old report must not leave cores idle. */
static void
test_burst (void)
{
  outcome_t before = replay (0, false);

  CU_ASSERT_TRUE (before.expired > 0);
  for (size_t i = 0; i < G_N_ELEMENTS (replays); i++)
    {
      outcome_t now = replay (replays[i].report_age_ms, true);
      printf ("\n  %s: of %d jobs %d refused on arrival, %d after their queue's time (%d before); "
              "idle %.0f core-ms ",
              replays[i].name, now.jobs, now.refused, now.expired, before.expired,
              now.idle_core_ms);
      CU_ASSERT_EQUAL (now.refused_idle, 0);
      CU_ASSERT_TRUE (now.idle_core_ms <= before.idle_core_ms);
      CU_ASSERT_TRUE (now.expired <= before.expired);
      CU_ASSERT_TRUE (now.refused + now.expired <= before.expired + before.expired / 10);
      if (replays[i].report_age_ms <= 300)
        CU_ASSERT_TRUE (now.refused > 0);
    }
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("admission", NULL, NULL);
  CU_add_test (suite, "decisions", test_decisions);
  CU_add_test (suite, "retry times", test_retries);
  CU_add_test (suite, "a burst of the dearest kind", test_burst);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
