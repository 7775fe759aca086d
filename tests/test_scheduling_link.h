/* test_scheduling_link.h -- the links of simulated hosts, on which bytes wait in order */
#ifndef TESTS_TEST_SCHEDULING_LINK_H
#define TESTS_TEST_SCHEDULING_LINK_H

#include "tests/test_scheduling_state.h"

/* Bytes on the link, with the headers of all layers. */
#define START_BYTES 1400
#define POLL_BYTES 500 /* also of a stop */
#define ANSWER_BYTES 200
#define LISTED_RUN_BYTES 100 /* of each run that the answer to a poll lists */
#define BATCH_BYTES 1300     /* with the specification of its tasks */
#define OFFERS_BYTES 130
#define HEARTBEAT_BYTES 150
#define REPORT_BYTES 100 /* the end of a task, and all other messages between hosts */

typedef enum
{
  LINK_OUT,
  LINK_IN
} link_direction_t;

#define US_PER_MS 1000
#define US_PER_S 1000000

static bool
has_links (const simulation_t *sim)
{
  return sim->options->links.narrow_bytes_s > 0;
}

/* When the links of SIM stop being narrow. */
static int64_t
narrow_until_ms (const simulation_t *sim)
{
  return sim->options->links.narrow_until_ms != 0 ? sim->options->links.narrow_until_ms
                                                  : sim->options->length_ms;
}

/* The speed of the link of HOST at AT_US, and in *UNTIL_US the time until which it holds. */
static int64_t
link_speed (const sim_host_t *host, int64_t at_us, int64_t *until_us)
{
  const link_options_t *links = &host->sim->options->links;
  int64_t from_us = links->narrow_from_ms * US_PER_MS;
  int64_t end_us = narrow_until_ms (host->sim) * US_PER_MS;

  *until_us = INT64_MAX;
  if (!host->has_narrow_link || at_us >= end_us)
    return links->wide_bytes_s;
  *until_us = at_us < from_us ? from_us : end_us;
  return at_us < from_us ? links->wide_bytes_s : links->narrow_bytes_s;
}

/* When BYTES that begin to pass at AT_US have passed the link of HOST. */
static int64_t
link_passed_at_us (const sim_host_t *host, int64_t at_us, int64_t bytes)
{
  while (bytes > 0)
    {
      int64_t until_us = 0;
      int64_t speed_bytes_s = link_speed (host, at_us, &until_us);
      if (speed_bytes_s == 0)
        return at_us;
      int64_t needed_us = (bytes * US_PER_S + speed_bytes_s - 1) / speed_bytes_s;
      if (until_us == INT64_MAX || at_us + needed_us <= until_us)
        return at_us + needed_us;
      bytes -= (until_us - at_us) * speed_bytes_s / US_PER_S;
      at_us = until_us;
    }
  return at_us;
}

/* Puts BYTES into the queue of the link of HOST and returns when they have passed it. */
static int64_t
link_pass (sim_host_t *host, link_direction_t direction, int64_t bytes)
{
  simulation_t *sim = host->sim;
  link_queues_t queues = sim->options->links.queues;
  int64_t now_us = sim->now_ms * US_PER_MS;

  host->link_bytes[direction] += bytes;
  if (!has_links (sim) || (queues == LINK_OUT_ONLY && direction == LINK_IN)
      || (queues == LINK_IN_ONLY && direction == LINK_OUT))
    return sim->now_ms;
  int64_t *free_at_us = &host->link_free_at_us[queues == LINK_SHARED ? LINK_OUT : direction];
  *free_at_us = link_passed_at_us (host, MAX (*free_at_us, now_us), bytes);
  int64_t passed_at_ms = (*free_at_us + US_PER_MS - 1) / US_PER_MS;
  sim->result.links.max_wait_ms = MAX (sim->result.links.max_wait_ms, passed_at_ms - sim->now_ms);
  return passed_at_ms;
}

/* Chooses the hosts whose links become narrow, once it is time. */
static void
choose_narrow_links (simulation_t *sim)
{
  const link_options_t *links = &sim->options->links;

  if (!has_links (sim) || sim->links_chosen || sim->now_ms < links->narrow_from_ms)
    return;
  sim->links_chosen = true;
  for (int i = 0; i < SIM_HOSTS; i++)
    sim->hosts[i].has_narrow_link =
        !links->one_owner || sim->hosts[i].owned_shards[0].executor != NULL;
}

/* The phase of JOB, or PHASES for none. */
static link_phase_t
link_phase_of (const simulation_t *sim, const sim_job_t *job)
{
  int64_t from_ms = sim->options->links.narrow_from_ms;
  int64_t until_ms = narrow_until_ms (sim);

  if (job->sent_at_ms >= until_ms + SIM_RECOVERY_MS)
    return PHASE_AFTER;
  if (job->sent_at_ms >= from_ms && job->sent_at_ms < until_ms)
    return PHASE_NARROW;
  return job->sent_at_ms + job->wait_ms <= from_ms ? PHASE_BEFORE : PHASES;
}

/* Counts the jobs of each phase, and the bytes of the busiest host. */
static void
count_links (const simulation_t *sim, link_counts_t *counts)
{
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const sim_job_t *job = sim->jobs->pdata[i];
      link_phase_t phase = link_phase_of (sim, job);
      if (phase == PHASES)
        continue;
      counts->phases[phase].jobs++;
      counts->phases[phase].in_time +=
          job->complete && job->complete_at_ms <= job->sent_at_ms + job->wait_ms;
    }
  for (int i = 0; i < SIM_HOSTS; i++)
    {
      const int64_t *bytes = sim->hosts[i].link_bytes;
      if (bytes[LINK_OUT] + bytes[LINK_IN] <= counts->sent_bytes + counts->received_bytes)
        continue;
      counts->sent_bytes = bytes[LINK_OUT];
      counts->received_bytes = bytes[LINK_IN];
    }
}

#endif
