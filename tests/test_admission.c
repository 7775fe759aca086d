/* test_admission.c -- admission decisions, retry times of refused callers, and a simulated burst */
#include "base/hash.h"
#include "scheduler/admission.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>

static const struct
{
  const char *name;
  int64_t least_wait_ms;
  int64_t least_end_ms;
  int64_t other_tasks_ms;
  int64_t deadline_at_ms; /* these two from NOW_MS; 0: none */
  int64_t start_by_ms;
  admission_t admission;
} decision_cases[] = {
  { "it may start at once, though it is unlikely to end in time", 0, 2000, 0, 1800, 0,
    ADMISSION_ADMIT },
  { "it will be late, but its caller still waits", 5000, 5900, 0, 28000, 0, ADMISSION_ADMIT },
  { "it ends just in time", 1000, 1800, 0, 1800, 0, ADMISSION_ADMIT },
  { "it can't end before its deadline", 1000, 1801, 0, 1800, 0, ADMISSION_MISSES_DEADLINE },
  { "its last task can't end before its deadline", 1000, 1700, 200, 1800, 0,
    ADMISSION_MISSES_DEADLINE },
  { "it starts just in time", 1500, 2040, 0, 28000, 1500, ADMISSION_ADMIT },
  { "it can't start within its queue's time", 1501, 2040, 0, 28000, 1500,
    ADMISSION_MISSES_START_LIMIT },
  { "its other tasks take longer than can be counted", 1, 2, INT64_MAX, 1800, 0,
    ADMISSION_MISSES_DEADLINE },
  { "it ends later than can be counted", 1, INT64_MAX, INT64_MAX, 1800, 0,
    ADMISSION_MISSES_DEADLINE },
  { "it starts later than can be counted", INT64_MAX, 1, 0, 1800, 1500,
    ADMISSION_MISSES_START_LIMIT },
};

/* Any time will do that is above 0, as the clock's are. */
#define NOW_MS 10000

static void
test_decisions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (decision_cases); i++)
    {
      const forecast_t forecast = { .min_wait_ms = decision_cases[i].least_wait_ms,
                                    .min_end_ms = decision_cases[i].least_end_ms };
      int64_t start_by_ms = decision_cases[i].start_by_ms;
      admission_t admission = admission_decide (
          &forecast, decision_cases[i].other_tasks_ms, NOW_MS + decision_cases[i].deadline_at_ms,
          start_by_ms != 0 ? NOW_MS + start_by_ms : 0, NOW_MS);
      if (admission != decision_cases[i].admission)
        printf ("\n  %s: %d ", decision_cases[i].name, admission);
      CU_ASSERT_EQUAL (admission, decision_cases[i].admission);
    }
}

static const struct
{
  const char *name;
  int64_t wait_ms;
  int64_t caller_wait_ms;
  int64_t min_ms; /* shortest retry time of 1,000 callers */
  int64_t max_ms;
} retry_cases[] = {
  { "no owner is known", -1, 1500, 1, 1200 },
  { "a short backlog", 800, 1500, 1, 800 },
  { "a backlog longer than callers wait", 4000, 1500, 2500, 6500 },
  { "a backlog twice as long", 8000, 1500, 6500, 14500 },
  { "a backlog of minutes", 200000, 1500, 28000, 28000 },
  { "the caller can't wait at all", 1000, -500, 1000, 2000 },
};

/* Guards against a fixed retry time, with which all refused callers retry together after a second
 * however long the backlog is. */
static void
test_retries (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (retry_cases); i++)
    {
      int64_t min_ms = INT64_MAX;
      int64_t max_ms = 0;
      for (int job = 0; job < 1000; job++)
        {
          char *id = g_strdup_printf ("%016x", (unsigned) job);
          int64_t retry_ms = admission_retry_after_ms (
              retry_cases[i].wait_ms, retry_cases[i].caller_wait_ms, hash_string (id));
          min_ms = MIN (min_ms, retry_ms);
          max_ms = MAX (max_ms, retry_ms);
          g_free (id);
        }
      int64_t slack_ms = (retry_cases[i].max_ms - retry_cases[i].min_ms) / 20;
      if (min_ms < retry_cases[i].min_ms || max_ms > retry_cases[i].max_ms)
        printf ("\n  %s: %d to %d ", retry_cases[i].name, (int) min_ms, (int) max_ms);
      CU_ASSERT_TRUE (min_ms >= retry_cases[i].min_ms && max_ms <= retry_cases[i].max_ms);
      CU_ASSERT_TRUE (min_ms <= retry_cases[i].min_ms + slack_ms);
      CU_ASSERT_TRUE (max_ms >= retry_cases[i].max_ms - slack_ms);
    }
}

/* --- burst --- */

#define CORES 1000.0
#define TASK_CORES 32
#define TASK_MS 900
#define JOB_TASKS 4
#define JOB_CORE_MS (JOB_TASKS * TASK_CORES * TASK_MS)
#define BURST_FROM_MS 2000
#define BURST_MS 12000
#define RUN_MS 20000
#define STEP_MS 10
#define QUEUE_TIME_MS 1500
#define HISTORY_STEPS (2100 / STEP_MS)
#define WAITING_MAX 4096

typedef struct
{
  int64_t arrived_at_ms;
  double core_ms;
  bool admitted; /* always true */
} waiting_t;

typedef struct
{
  int jobs;
  int refused;
  int expired;         /* admitted, but not started within the queue's time */
  int refused_idle;    /* refused while cores were free */
  double idle_core_ms; /* unused core time during the burst */
} replay_result_t;

/* Simulates one queue of the jobs that need the most work, served in the order of arrival.  They
 * use 0.58 of the cores; during the burst they are 2.6 times as many and an eighth of the cores is
 * unavailable.  REPORT_AGE_MS is the age of the load report that the admission of a job is based
 * on.  All jobs are admitted unless CONTROLLED. */
static replay_result_t
replay (int64_t report_age_ms, bool controlled)
{
  static waiting_t queue[WAITING_MAX];
  double backlog_history[HISTORY_STEPS] = { 0 };
  double backlog = 0;
  int head = 0;
  int tail = 0;
  GRand *rand = g_rand_new_with_seed (3);
  replay_result_t result = { 0 };

  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      bool burst = now_ms >= BURST_FROM_MS && now_ms < BURST_FROM_MS + BURST_MS;
      double cores = burst ? CORES * 7 / 8 : CORES;
      double rate = 0.58 * CORES * (burst ? 2.6 : 1.0) * STEP_MS / JOB_CORE_MS;
      int step = (int) (now_ms / STEP_MS);
      backlog_history[step % HISTORY_STEPS] = backlog;
      if (g_rand_double (rand) < rate)
        {
          int64_t reported_at_ms = MAX (now_ms - report_age_ms, 0);
          forecast_load_t load = { .report = { .cores_milli = (int64_t) (cores * 1000) },
                                   .received_at_ms = reported_at_ms };
          load.report.backlog_core_ms[2] =
              (int64_t) backlog_history[(reported_at_ms / STEP_MS) % HISTORY_STEPS];
          const forecast_task_t task = { 2,  TASK_CORES * 1000, TASK_MS, TASK_MS * 7 / 10, now_ms,
                                         1.0 };
          forecast_t forecast = forecast_task_times (&load, &task, now_ms);
          admission_t admission =
              admission_decide (&forecast, 0, now_ms + 4000, now_ms + QUEUE_TIME_MS, now_ms);
          result.jobs++;
          if (controlled && admission != ADMISSION_ADMIT)
            {
              result.refused++;
              result.refused_idle += backlog <= 0;
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
          bool started = job->core_ms < JOB_CORE_MS;
          if (!started && now_ms - job->arrived_at_ms > QUEUE_TIME_MS)
            {
              result.expired++;
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
        result.idle_core_ms += left;
    }
  g_rand_free (rand);
  return result;
}

static const struct
{
  const char *name;
  int64_t report_age_ms;
} replay_cases[] = {
  { "reports 0.1 s old", 100 },
  { "reports 0.3 s old", 300 },
  { "reports 2 s old", 2000 },
};

/* In a burst, jobs must be refused on arrival rather than after their queue's time.  A refusal that
 * is based on an old report must not leave cores idle. */
static void
test_burst (void)
{
  replay_result_t uncontrolled = replay (0, false);

  CU_ASSERT_TRUE (uncontrolled.expired > 0);
  for (size_t i = 0; i < G_N_ELEMENTS (replay_cases); i++)
    {
      replay_result_t controlled_result = replay (replay_cases[i].report_age_ms, true);
      printf ("\n  %s: of %d jobs %d refused on arrival, %d after their queue's time (%d without "
              "control); idle %.0f core-ms ",
              replay_cases[i].name, controlled_result.jobs, controlled_result.refused,
              controlled_result.expired, uncontrolled.expired, controlled_result.idle_core_ms);
      CU_ASSERT_EQUAL (controlled_result.refused_idle, 0);
      CU_ASSERT_TRUE (controlled_result.idle_core_ms <= uncontrolled.idle_core_ms);
      CU_ASSERT_TRUE (controlled_result.expired <= uncontrolled.expired);
      CU_ASSERT_TRUE (controlled_result.refused + controlled_result.expired
                      <= uncontrolled.expired + uncontrolled.expired / 10);
      if (replay_cases[i].report_age_ms <= 300)
        CU_ASSERT_TRUE (controlled_result.refused > 0);
    }
}

static const unit_test_t tests[] = {
  { "decisions", test_decisions },
  { "retry times", test_retries },
  { "a burst of the largest jobs", test_burst },
};

int
main (void)
{
  return unit_run ("admission", tests, G_N_ELEMENTS (tests));
}
