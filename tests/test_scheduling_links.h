/* test_scheduling_links.h -- plays and checks cases of hosts whose links carry a part of the demand
 *
 * What the links carry is computed from the bytes of the messages, without regard to what the
 * scheduler does.
 */
#ifndef TESTS_TEST_SCHEDULING_LINKS_H
#define TESTS_TEST_SCHEDULING_LINKS_H

#include "tests/test_scheduling_check.h"

#include <CUnit/Basic.h>

/* --- arithmetic --- */

#define LENGTH_MS 20000
#define TASK_WORK_MS 60
#define OFFER_INTERVAL_NARROW_MS 30
#define MS_PER_S 1000.0
#define OFFERS_S (MS_PER_S / OFFER_INTERVAL_NARROW_MS)
#define HEARTBEATS_S (MS_PER_S / HEARTBEAT_MS)

#define OWNERS SIM_DATA_CENTRES
#define OTHER_HOSTS (SIM_HOSTS - 1)
/* Jobs have 1 to 6 tasks.  They are spread over the owners, in one batch for each. */
#define TASKS_PER_JOB ((1 + MAX_PLAIN_TASKS) / 2.0)
#define BATCHES_PER_JOB ((1 + 2 + 3 + 3 + 3 + 3) / 6.0)
/* Share of the batches that come from another host than the owner's, and that such a host, which is
 * an owner itself, sends. */
#define REMOTE_BATCHES (OTHER_HOSTS / (double) SIM_HOSTS)
#define OWNER_TO_OWNER_BATCHES ((OWNERS - 1.0) / SIM_HOSTS)

/* What passes the links of the owners in one direction. */
typedef struct
{
  double job_bytes;      /* of a job, over the links of all owners */
  double steady_bytes_s; /* over the link of one owner, whatever the demand */
} traffic_t;

/* Each run needs a start order, a poll that lists its end, and a report. */
static const traffic_t traffic[] = {
  [LINK_OUT] = { .job_bytes = TASKS_PER_JOB * (START_BYTES + POLL_BYTES + REPORT_BYTES)
                              + BATCHES_PER_JOB * OWNER_TO_OWNER_BATCHES * BATCH_BYTES,
                 .steady_bytes_s = OFFERS_S * OTHER_HOSTS * OFFERS_BYTES
                                   + HEARTBEATS_S * OTHER_HOSTS * HEARTBEAT_BYTES },
  [LINK_IN] = { .job_bytes = TASKS_PER_JOB * (ANSWER_BYTES + ANSWER_BYTES + LISTED_RUN_BYTES)
                             + BATCHES_PER_JOB * REMOTE_BATCHES * BATCH_BYTES,
                .steady_bytes_s = OFFERS_S * (OWNERS - 1) * OFFERS_BYTES
                                  + HEARTBEATS_S * OTHER_HOSTS * HEARTBEAT_BYTES },
};

/* What waits in the queue of a link, or in the fuller one of two. */
static traffic_t
queued_traffic (link_queues_t queues)
{
  switch (queues)
    {
    case LINK_SEPARATE:
    case LINK_OUT_ONLY:
      return traffic[LINK_OUT];
    case LINK_IN_ONLY:
      return traffic[LINK_IN];
    case LINK_SHARED:
    default:
      return (traffic_t){ traffic[LINK_OUT].job_bytes + traffic[LINK_IN].job_bytes,
                          traffic[LINK_OUT].steady_bytes_s + traffic[LINK_IN].steady_bytes_s };
    }
}

/* --- cases --- */

#define WIDE_PERCENT 200
#define SPELL_FROM_MS 6000
#define SPELL_UNTIL_MS 11000
#define SEEDS 3

typedef struct
{
  const char *name;
  int64_t job_interval_ms;
  int link_percent; /* of the demand that a narrow link carries */
  link_queues_t queues;
  int64_t from_ms;
  int64_t until_ms;
  bool one_owner;
  int min_served_percent; /* jobs in time, of those that the links carry */
} narrow_case_t;

/* The intervals of a demand for half of the endpoints' slots, and of one so small that a start
 * order passes a link of the same bytes a second in 12 ms. */
#define FULL_MS 10
#define SMALL_MS 65

static double
jobs_s (const narrow_case_t *test)
{
  return MS_PER_S / (double) test->job_interval_ms;
}

/* The speed of a link that carries PERCENT of the demand of TEST. */
static int64_t
link_of_demand (const narrow_case_t *test, int percent)
{
  traffic_t queued = queued_traffic (test->queues);

  return (int64_t) (percent * (queued.steady_bytes_s + jobs_s (test) * queued.job_bytes / OWNERS)
                    / 100);
}

static simulation_options_t
options_of (const narrow_case_t *test)
{
  return (simulation_options_t){
    .length_ms = LENGTH_MS,
    .job_interval_ms = test->job_interval_ms,
    .task_work_ms = TASK_WORK_MS,
    .offer_interval_ms = OFFER_INTERVAL_NARROW_MS,
    .links = { .queues = test->queues,
               .narrow_bytes_s = link_of_demand (test, test->link_percent),
               .wide_bytes_s = link_of_demand (test, WIDE_PERCENT),
               .narrow_from_ms = test->from_ms,
               .narrow_until_ms = test->until_ms,
               .one_owner = test->one_owner },
  };
}

/* The share of the jobs that the links of the owners carry.  If only one of them is narrow, the
 * others carry all, and so do their endpoints: those of two data centres end
 * 2 * 3 * (3 / 0.7 + 1 / 1.7) / 0.06 = 487 tasks a second, of which there are 350. */
static double
carried_share (const narrow_case_t *test)
{
  traffic_t queued = queued_traffic (test->queues);
  double bytes_s = (double) link_of_demand (test, test->link_percent);

  if (test->one_owner)
    return 1.0;
  return MIN (OWNERS * (bytes_s - queued.steady_bytes_s) / queued.job_bytes / jobs_s (test), 1.0);
}

/* --- checks --- */

/* Two calls in a row without an answer make an endpoint unresponsive, and it gets no tasks. */
#define UNANSWERED_PERCENT_MAX 2
/* No host is down.  Each may be lost once when links become narrow. */
#define LOST_HOSTS_MAX SIM_HOSTS
#define MOVED_BATCHES_PERCENT_MAX 1 /* of the jobs */
#define NORMAL_PERCENT 99           /* of the jobs are in time while no link is narrow */

static void
print_links (const char *name, uint32_t seed, double carried, const link_counts_t *links)
{
  const phase_counts_t *phases = links->phases;

  printf (
      "\n  %s, seed %u: in time %d of %d, %.0f carried; before %d of %d, after %d of %d; orders "
      "%d, unanswered %d, lost hosts %d, moved batches %d, longest wait %d ms ",
      name, seed, phases[PHASE_NARROW].in_time, phases[PHASE_NARROW].jobs, carried,
      phases[PHASE_BEFORE].in_time, phases[PHASE_BEFORE].jobs, phases[PHASE_AFTER].in_time,
      phases[PHASE_AFTER].jobs, links->orders, links->unanswered_orders, links->lost_hosts,
      links->moved_batches, (int) links->max_wait_ms);
}

static void
check_narrow (const narrow_case_t *test, uint32_t seed)
{
  unsigned failures = CU_get_number_of_failures ();
  simulation_case_t simulation = { test->name, 1, options_of (test), 0 };
  simulation_result_t result = check_result (&simulation, seed);
  const link_counts_t *links = &result.links;
  const phase_counts_t *phases = links->phases;
  double carried = carried_share (test) * phases[PHASE_NARROW].jobs;

  print_links (test->name, seed, carried, links);
  CU_ASSERT_TRUE (100.0 * phases[PHASE_NARROW].in_time >= test->min_served_percent * carried);
  CU_ASSERT_TRUE (100 * links->unanswered_orders <= UNANSWERED_PERCENT_MAX * links->orders);
  CU_ASSERT_TRUE (links->lost_hosts <= LOST_HOSTS_MAX);
  CU_ASSERT_TRUE (100 * links->moved_batches <= MOVED_BATCHES_PERCENT_MAX * result.jobs);
  CU_ASSERT_TRUE (100 * phases[PHASE_BEFORE].in_time >= NORMAL_PERCENT * phases[PHASE_BEFORE].jobs);
  CU_ASSERT_TRUE (100 * phases[PHASE_AFTER].in_time >= NORMAL_PERCENT * phases[PHASE_AFTER].jobs);
  failures = CU_get_number_of_failures () - failures;
  if (failures > 0)
    printf ("(%u checks fail) ", failures);
}

/* Runs the cases whose names begin with NAME for COUNT seeds from FIRST on, and prints their
 * results.
 */
static void
print_cases (const narrow_case_t *cases,
             size_t case_count,
             const char *name,
             uint32_t first,
             uint32_t count)
{
  for (size_t i = 0; i < case_count; i++)
    for (uint32_t seed = first; seed < first + count; seed++)
      {
        if (strncmp (cases[i].name, name, strlen (name)) != 0)
          continue;
        simulation_options_t options = options_of (&cases[i]);
        options.seed = seed;
        simulation_result_t result = simulation_run (&options);
        double jobs = result.links.phases[PHASE_NARROW].jobs;
        print_links (cases[i].name, seed, carried_share (&cases[i]) * jobs, &result.links);
        printf ("\n");
        print_result (cases[i].name, seed, &result);
      }
}

/* Handles the arguments CASE SEED [COUNT [ID]]: prints the results of the cases whose names begin
 * with CASE, for COUNT seeds from SEED on, and the events of the jobs and tasks whose ids begin
 * with ID.  Returns false if there are no such arguments. */
static bool
print_cases_of_arguments (const narrow_case_t *cases, size_t case_count, int argc, char **argv)
{
  if (argc < 3)
    return false;
  traced_id = argc >= 5 ? argv[4] : NULL;
  print_cases (cases, case_count, argv[1], (uint32_t) atoi (argv[2]),
               argc >= 4 ? (uint32_t) atoi (argv[3]) : 1);
  return true;
}

#endif
