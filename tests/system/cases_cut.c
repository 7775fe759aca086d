/* cases_cut.c -- data centres and hosts that cannot reach each other */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"

#include <string.h>

#define JOBS 9
#define THREE_CENTRES                                                                              \
  {                                                                                                \
    .data_centres = 3, .hosts = 3, .endpoints = 1                                                  \
  }

static submission_t *
submit_homed (rig_t *rig, int32_t dc, int32_t n, int32_t home, const char *key)
{
  job_t *job = job_simple (key, 2, 5);
  job->home = g_strdup (rig_data_centre (home));
  job->deadline_at_ms = job->issued_at_ms + 10000;
  return rig_submit (rig, rig_host (rig, dc, n), job);
}

/* Keys that live in the data centre itself need no other one. */
static void
expect_own_service (rig_t *rig, const char *prefix)
{
  for (int32_t i = 0; i < JOBS && rig->failures == 0; i++)
    {
      char *key = g_strdup_printf ("%s-%d", prefix, i);
      rig_expect_complete (rig, submit_homed (rig, i % 3, i / 3, i % 3, key));
      g_free (key);
    }
}

static void
run_one_cut (rig_t *rig)
{
  submission_t *before = submit_homed (rig, 0, 0, 0, "before-cut");
  rig_expect_complete (rig, before);
  rig_cut_data_centres (rig, 0, 1, true);
  rig_cut_data_centres (rig, 0, 2, true);
  expect_own_service (rig, "cut");
  /* The home cannot be asked: refused, and never started behind its back. */
  submission_t *away = submit_homed (rig, 1, 0, 0, "away");
  rig_expect (rig, call_wait (away->call)->status != 200, "a job ran without asking its home");
  call_wait (rig_submit (rig, rig_host (rig, 1, 0), before->job)->call);
  rig_cut_data_centres (rig, 0, 1, false);
  rig_cut_data_centres (rig, 0, 2, false);
  call_wait (rig_submit (rig, rig_host (rig, 1, 0), before->job)->call);
  expect_own_service (rig, "healed");
}

static void
run_all_cut (rig_t *rig)
{
  rig_cut_data_centres (rig, 0, 1, true);
  rig_cut_data_centres (rig, 0, 2, true);
  rig_cut_data_centres (rig, 1, 2, true);
  rig_fault_platform (rig, "{\"outage\":true}");
  expect_own_service (rig, "alone");
  rig_fault_platform (rig, "{\"reset\":true}");
  rig_cut_data_centres (rig, 0, 1, false);
  rig_cut_data_centres (rig, 0, 2, false);
  rig_cut_data_centres (rig, 1, 2, false);
  expect_own_service (rig, "joined");
}

/* One way only: requests arrive, answers do not. */
static void
run_one_way (rig_t *rig)
{
  for (int32_t n = 0; n < 3; n++)
    rig_cut (rig, rig_host (rig, 0, n), rig_data_centre (1), false, true);
  submission_t *away = submit_homed (rig, 1, 0, 0, "one-way");
  call_wait (away->call);
  expect_own_service (rig, "one-way-own");
  for (int32_t n = 0; n < 3; n++)
    rig_cut (rig, rig_host (rig, 0, n), rig_data_centre (1), false, false);
  call_wait (rig_submit (rig, rig_host (rig, 0, 0), away->job)->call);
  call_wait (rig_submit (rig, rig_host (rig, 1, 1), away->job)->call);
}

/* A host alone may start nothing that the others could start as well. */
static void
run_host_alone (rig_t *rig)
{
  rig_host_t *alone = rig_host (rig, 0, 0);
  rig_cut (rig, alone, rig_data_centre (0), true, true);
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("host-alone-%d", i);
      job_t *job = job_simple (key, 2, 5);
      job->deadline_at_ms = job->issued_at_ms + 5000;
      submission_t *first = rig_submit (rig, alone, job);
      submission_t *second = rig_submit (rig, rig_host (rig, 0, 1), job);
      call_wait (first->call);
      call_wait (second->call);
      g_free (key);
    }
  rig_cut (rig, alone, rig_data_centre (0), false, false);
}

/* The platform is out of reach of one data centre: it gets the configuration
 * through another one. */
static void
run_platform_cut (rig_t *rig)
{
  rig_fault_platform (rig, "{\"data_centre\":\"tw-north-a\",\"outage\":true}");
  int status = rig_publish (rig,
                            "{\"plans\":{\"lantern\":\"gold\",\"compost\":\"silver\","
                            "\"garden\":\"silver\"}}",
                            NULL, NULL);
  rig_expect (rig, status == 0, "publish ended with %d", status);
  bool served = false;
  for (int32_t i = 0; i < 100 && !served; i++)
    {
      char *key = g_strdup_printf ("garden-%d", i);
      job_t *job = job_simple (key, 1, 5);
      g_free (job->customer);
      job->customer = g_strdup ("garden");
      served = call_wait (rig_submit (rig, rig_host (rig, 0, 0), job)->call)->status == 200;
      g_free (key);
      if (!served)
        clock_sleep_ms (100);
    }
  rig_expect (rig, served, "the configuration did not come through another data centre");
  rig_fault_platform (rig, "{\"reset\":true}");
}

static const case_t cases[] = {
  { "data_centre_cut", "one data centre of three is cut off", "between and during jobs",
    "each serves its own keys; no start without the home; service after the cut", THREE_CENTRES,
    run_one_cut },
  { "all_cut", "three data centres cut off from each other and from the platform", "during jobs",
    "each serves its own keys", THREE_CENTRES, run_all_cut },
  { "cut_one_way", "messages pass one way only", "during a claim", "no second start", THREE_CENTRES,
    run_one_way },
  { "host_alone",
    "one host is cut off from its data centre",
    "during claims",
    "no second start",
    { 0 },
    run_host_alone },
  { "platform_cut",
    "the platform is out of reach of one data centre",
    "an edit is published",
    "in force there through another data centre",
    { .data_centres = 2, .hosts = 2, .endpoints = 1 },
    run_platform_cut },
};

const case_list_t cases_cut = { cases, G_N_ELEMENTS (cases) };
