/* cases_platform.c -- a platform that is down, slow, loses answers or forgets */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"

#include <string.h>

#define JOBS 12

static void
expect_service (rig_t *rig, const char *prefix)
{
  for (int32_t i = 0; i < JOBS && rig->failures == 0; i++)
    {
      char *key = g_strdup_printf ("%s-%d", prefix, i);
      rig_expect_complete (
          rig, rig_submit (rig, rig_host (rig, 0, i % rig->options.hosts), job_simple (key, 2, 5)));
      g_free (key);
    }
}

static const struct
{
  const char *name;
  const char *fault;
} faults[] = {
  { "outage", "{\"outage\":true}" },
  { "slow", "{\"delay_ms\":2000}" },
  { "hang", "{\"hang\":true}" },
  { "lost-answers", "{\"lose_answers\":true}" },
};

/* Jobs need nothing of the platform. */
static void
run_during_jobs (rig_t *rig)
{
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      rig_fault_platform (rig, faults[i].fault);
      expect_service (rig, faults[i].name);
      rig_fault_platform (rig, "{\"reset\":true}");
    }
}

/* One host of three dies while no view can change. */
static void
run_outage_and_kill (rig_t *rig)
{
  rig_fault_platform (rig, "{\"outage\":true}");
  rig_kill_host (rig, rig_host (rig, 0, 0));
  for (int32_t i = 0; i < JOBS && rig->failures == 0; i++)
    {
      char *key = g_strdup_printf ("outage-kill-%d", i);
      rig_expect_complete (rig,
                           rig_submit (rig, rig_host (rig, 0, 1 + i % 2), job_simple (key, 2, 5)));
      g_free (key);
    }
  rig_fault_platform (rig, "{\"reset\":true}");
}

/* A host that starts during an outage learns everything from its peers. */
static void
run_start_in_outage (rig_t *rig)
{
  rig_fault_platform (rig, "{\"outage\":true}");
  rig_host_t *host = rig_add_host (rig, 0);
  rig_start_host (rig, host);
  rig_wait_ready (rig, host);
  rig_expect_complete (rig, rig_submit (rig, host, job_simple ("in-outage", 3, 5)));
  rig_fault_platform (rig, "{\"reset\":true}");
}

/* With no peer either there is nothing to serve by: not ready, and a truthful refusal. */
static void
run_alone_in_outage (rig_t *rig)
{
  rig_fault_platform (rig, "{\"outage\":true}");
  rig_host_t *host = rig_host (rig, 0, 0);
  rig_start_host (rig, host);
  while (call_status (host->admin, "GET", "/livez", NULL) != 200)
    clock_sleep_ms (10);
  rig_expect (rig, call_status (host->admin, "GET", "/readyz", NULL) == 503,
              "a host without configuration is ready");
  rig_expect_kind (rig, rig_submit (rig, host, job_simple ("alone", 1, 5)), "not_ready", NULL);
  rig_fault_platform (rig, "{\"reset\":true}");
  rig_wait_ready (rig, host);
  rig_expect_complete (rig, rig_submit (rig, host, job_simple ("not-alone", 1, 5)));
}

static int64_t
revision_of (rig_host_t *host)
{
  json_object *status = rig_status (host);
  json_object *revision = NULL;
  json_object_object_get_ex (status, "revision", &revision);
  int64_t result = revision != NULL ? json_object_get_int64 (revision) : -1;
  json_object_put (status);
  return result;
}

/* The platform comes back empty: what was accepted stays in force. */
static void
run_forgotten_log (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  int64_t before = revision_of (host);
  process_kill (rig->platform_process);
  rig_start_platform (rig);
  expect_service (rig, "forgotten");
  int64_t after = revision_of (host);
  rig_expect (rig, before >= 0 && after >= before,
              "the revision went from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, before, after);
}

static const case_t cases[] = {
  { "platform_faults",
    "platform down, slow, hanging, losing answers",
    "while jobs come",
    "all jobs complete",
    { 0 },
    run_during_jobs },
  { "platform_down_host_killed",
    "platform down and kill -9 of one host of three",
    "while jobs come",
    "all jobs complete",
    { 0 },
    run_outage_and_kill },
  { "start_in_outage",
    "platform down",
    "a host starts",
    "ready by its peers",
    { 0 },
    run_start_in_outage },
  { "alone_in_outage",
    "platform down, no peer",
    "a host starts",
    "not ready, jobs refused, ready after the outage",
    { .hosts = 1, .no_hosts = true },
    run_alone_in_outage },
  { "platform_empty",
    "the platform comes back empty",
    "while jobs come",
    "jobs complete, the revision never goes back",
    { 0 },
    run_forgotten_log },
};

const case_list_t cases_platform = { cases, G_N_ELEMENTS (cases) };
