/* test_site_resent_past_silent_relays.c -- a job that is sent again from a host that is no hub to
 * another such host, whose data centre's two relays for the first host stand still as the job is
 * announced, must run once at a time
 *
 * Another hub there takes their place within half a second, and confirms that it was told; the
 * first host may go on for that only if the others there were told, too.
 */
#include "base/clock.h"
#include "base/hash.h"
#include "tests/resent_job.h"
#include "tests/resent_rig.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define HOSTS 18
#define ENDPOINTS 12
#define RELAYS 2
#define SETTLED_MS 3000
#define READY_MAX_MS 5000
#define NONE (-1)

/* Times are counted from the first request.  The job is announced at 390 to 590 ms. */
static const struct
{
  const char *name;
  int64_t silent_ms; /* NONE: both relays go on */
  int64_t resumes_ms;
  int64_t again_ms;
} cases[] = {
  { "both relays go on", NONE, NONE, 1900 },
  { "silent just before the announcement", 250, 2800, 1900 },
};

/* Who takes part: hosts by their numbers. */
typedef struct
{
  int first;
  int second;
  int relays[RELAYS];
} actors_t;

/* Sets RELAYS to the hubs of ZONE with the greatest weights for FIRST.  Returns false if one of
 * them is likely to own the endpoints there: its silence is noticed sooner. */
static bool
find_relays (const rig_t *rig, const ranking_t *ranking, int zone, int first, int relays[RELAYS])
{
  for (int k = 0; k < RELAYS; k++)
    {
      uint64_t best = 0;
      relays[k] = NONE;
      for (int i = zone; i < rig->hosts_count; i += rig->zones)
        {
          uint64_t weight = hash_rendezvous (rig->hosts[first].name, rig->hosts[i].name);
          if (!ranking_is_hub (ranking, rig->hosts[i].name) || (k > 0 && i == relays[0])
              || (relays[k] != NONE && weight <= best))
            continue;
          relays[k] = i;
          best = weight;
        }
      if (ranking_position (ranking, rig->hosts[relays[k]].name) == 0)
        return false;
    }
  return true;
}

static bool
find_actors (const rig_t *rig, actors_t *actors)
{
  ranking_t *ranking = resent_job_rank_hosts (rig);
  int seconds[RESENT_ZONES_MAX];
  bool found = false;

  resent_job_find_non_hubs (rig, true, seconds);
  for (int first = 0; first < rig->hosts_count && !found; first++)
    for (int zone = 0; zone < rig->zones && !found; zone++)
      {
        if (zone == first % rig->zones || ranking_is_hub (ranking, rig->hosts[first].name))
          continue;
        actors->first = first;
        actors->second = seconds[zone];
        found = find_relays (rig, ranking, zone, first, actors->relays);
      }
  ranking_free (ranking);
  return found;
}

static void
signal_relays (const rig_t *rig, const actors_t *actors, int number)
{
  for (int k = 0; k < RELAYS; k++)
    kill (rig->hosts[actors->relays[k]].pid, number);
}

static void
play (rig_t *rig, const actors_t *actors, size_t row)
{
  const resent_job_t job = { 0xe0 + row, 2, 5000, 12000 };
  int first = resent_job_send (rig, actors->first, &job);
  int64_t began_at_ms = clock_boot_ms ();

  if (cases[row].silent_ms != NONE)
    {
      clock_sleep_ms (began_at_ms + cases[row].silent_ms - clock_boot_ms ());
      signal_relays (rig, actors, SIGSTOP);
    }
  clock_sleep_ms (began_at_ms + cases[row].again_ms - clock_boot_ms ());
  int second = resent_job_send (rig, actors->second, &job);
  if (cases[row].silent_ms != NONE)
    {
      clock_sleep_ms (began_at_ms + cases[row].resumes_ms - clock_boot_ms ());
      signal_relays (rig, actors, SIGCONT);
    }
  site_response_t answer = site_read_response (second, clock_boot_ms () + job.caller_wait_ms);
  resent_job_answered (rig, actors->second, &job, answer.status, answer.body);
  printf ("  %s: from %s past %s and %s to %s (%d)\n", cases[row].name,
          rig->hosts[actors->first].name, rig->hosts[actors->relays[0]].name,
          rig->hosts[actors->relays[1]].name, rig->hosts[actors->second].name, answer.status);
  close (first);
  close (second);
}

/* Plays ROW when both hosts that take requests were restarted: one that has owned endpoints, as any
 * may have at the start, stays connected to all. */
static void
play_row (rig_t *rig, size_t row)
{
  actors_t actors = { 0 };

  CU_ASSERT_TRUE_FATAL (find_actors (rig, &actors));
  const int restarted[] = { actors.first, actors.second };
  CU_ASSERT_TRUE (resent_restart (rig, restarted, G_N_ELEMENTS (restarted), READY_MAX_MS));
  clock_sleep_ms (SETTLED_MS);
  play (rig, &actors, row);
}

static void
test_relays (void)
{
  resent_play_rows (HOSTS, ENDPOINTS, SETTLED_MS, G_N_ELEMENTS (cases), play_row);
}

static const unit_test_t tests[] = {
  { "sent again past relays that stand still", test_relays },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("site_resent_past_silent_relays", tests, G_N_ELEMENTS (tests));
}
