/* resent_cut.c -- plays a job that is sent again to another host while the first one is cut off */
#include "tests/resent_cut.h"

#include "base/clock.h"
#include "tests/resent_job.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define ENDPOINTS 6
#define ZONES RESENT_ZONES_MAX
#define TASKS 8
#define SMALL_WORK_MS 20
#define CALLER_WAIT_MS 9000
#define FILLER_WORK_MS 8000
#define SENT_AGAIN_AFTER_MS 1300
/* From the second request to the end of the cut. */
#define CUT_LASTS_MS 6000
#define SERVED_WITHIN_MS 12000
#define FIRST_JOB 0xc0
#define CUT_RULE 1
#define CALLERS_RULE 2
/* Between two pairs of hosts that are cut one after the other. */
#define LINK_GAP_MS 30
/* A job that is open for so long has started, and is not announced. */
#define YOUNG_MS 200
/* A cut that heals and comes back. */
#define FIRST_CUT_MS 700
#define HEALED_MS 300
#define READY_MAX_MS 20000
/* By then hosts have found all others, and capacity and load are known. */
#define SETTLED_AFTER_MS 1000

static const char *const zones[] = { "zone-x", "zone-y", "zone-z" };

static const resent_cut_case_t *cases;
static size_t case_count;

typedef struct
{
  rig_t *rig;
  const resent_cut_case_t *row;
  int first_host; /* of ROW, or a host of its data centre that is no hub */
  int second_host;
} play_t;

static void
hold (const play_t *play, const char *from, const char *to, bool one_way)
{
  proxy_rule (play->rig->proxy, CUT_RULE, PROXY_HOLD, from, to, 0, one_way);
}

static const char *
host_name (const play_t *play, int host)
{
  return play->rig->hosts[host].name;
}

/* Whether HOST, by its number, is in the data centre of the first host. */
static bool
is_cut_off (const play_t *play, int host)
{
  return host % ZONES == play->first_host % ZONES;
}

static void
cut_hosts (const play_t *play, bool one_way, int gap_ms)
{
  for (int i = 0; i < play->row->hosts; i++)
    for (int k = 0; is_cut_off (play, i) && k < play->row->hosts; k++)
      if (!is_cut_off (play, k))
        {
          hold (play, host_name (play, i), host_name (play, k), one_way);
          clock_sleep_ms (gap_ms);
        }
}

/* Cuts HOST from all other hosts; ONE_WAY: what it sends. */
static void
cut_host (const play_t *play, int host, bool one_way)
{
  for (int i = 0; i < play->row->hosts; i++)
    if (i != host)
      hold (play, host_name (play, host), host_name (play, i), one_way);
}

static void
cut_zone (const play_t *play, int zone, bool callers_too)
{
  for (int i = 0; i < ZONES; i++)
    if (i != zone)
      hold (play, zones[zone], zones[i], false);
  for (int i = 0; i < play->row->hosts; i++)
    {
      if (i % ZONES != zone)
        continue;
      hold (play, host_name (play, i), "log", false);
      if (callers_too)
        hold (play, "callers", host_name (play, i), false);
    }
}

/* Whether HOST or endpoint NUMBER, of which there are COUNT, is in the half of the first host's
 * data centre that is cut off with it. */
static bool
is_in_half (const play_t *play, int number, int count)
{
  return is_cut_off (play, number) && number / ZONES < count / ZONES / 2;
}

static void
cut_half (const play_t *play)
{
  int hosts = play->row->hosts;

  for (int i = 0; i < hosts; i++)
    {
      bool inside = is_in_half (play, i, hosts);
      for (int k = 0; inside && k < hosts; k++)
        if (!is_in_half (play, k, hosts))
          hold (play, host_name (play, i), host_name (play, k), false);
      for (int k = 0; k < ENDPOINTS; k++)
        {
          char *endpoint = g_strdup_printf ("e%d", k);
          if (is_in_half (play, k, ENDPOINTS) != inside)
            hold (play, host_name (play, i), endpoint, false);
          g_free (endpoint);
        }
    }
}

static void
cut_twice (const play_t *play)
{
  cut_zone (play, play->first_host % ZONES, false);
  clock_sleep_ms (FIRST_CUT_MS);
  proxy_end_rule (play->rig->proxy, CUT_RULE);
  clock_sleep_ms (HEALED_MS);
  cut_zone (play, play->first_host % ZONES, false);
}

static void
kill_host (const play_t *play, int host)
{
  rig_begin (play->rig, &(plan_fault_t){ .kind = PLAN_KILL_HOST, .target = host });
}

static void
begin_cut (const play_t *play)
{
  switch (play->row->cut)
    {
    case CUT_ALL:
    case CUT_NOT_CALLERS:
      cut_zone (play, play->first_host % ZONES, play->row->cut == CUT_ALL);
      break;
    case CUT_SECOND:
      cut_zone (play, play->row->second_host % ZONES, false);
      break;
    case CUT_EACH:
      for (int zone = 0; zone < ZONES; zone++)
        cut_zone (play, zone, false);
      break;
    case CUT_HOSTS:
    case CUT_HOSTS_SENT:
      cut_hosts (play, play->row->cut == CUT_HOSTS_SENT, 0);
      break;
    case CUT_LINK_BY_LINK:
      cut_hosts (play, false, LINK_GAP_MS);
      break;
    case CUT_NOT_CALLERS_TWICE:
      cut_twice (play);
      break;
    case CUT_ALL_OWNER_KILLED:
      cut_zone (play, play->first_host % ZONES, true);
      kill_host (play, (play->first_host + ZONES) % play->row->hosts);
      break;
    case CUT_FIRST_HOST:
    case CUT_FIRST_HOST_SENT:
      cut_host (play, play->first_host, play->row->cut == CUT_FIRST_HOST_SENT);
      break;
    case CUT_SECOND_HOST:
      cut_host (play, play->second_host, false);
      break;
    case CUT_BOTH_HOSTS:
      hold (play, host_name (play, play->first_host), host_name (play, play->second_host), false);
      break;
    case CUT_HALF:
      cut_half (play);
      break;
    case HOST_KILLED:
    default:
      kill_host (play, play->first_host);
      break;
    }
}

/* Sends a small job with ID to HOST until it is answered as completed. */
static bool
is_served (rig_t *rig, int host, uint64_t id)
{
  const resent_job_t job = { id, TASKS, SMALL_WORK_MS, CALLER_WAIT_MS };
  int64_t until_ms = clock_boot_ms () + SERVED_WITHIN_MS;

  while (clock_boot_ms () < until_ms)
    {
      int fd = resent_job_send (rig, host, &job);
      site_response_t answer = site_read_response (fd, clock_boot_ms () + CALLER_WAIT_MS);
      resent_job_answered (rig, host, &job, answer.status, answer.body);
      close (fd);
      if (answer.status == 200)
        return true;
      clock_sleep_ms (200);
    }
  return false;
}

/* Whether HOST has logged TEXT. */
static bool
has_logged (const rig_t *rig, int host, const char *text)
{
  char *name = g_strdup_printf ("%s/%s.log", rig->directory, rig->hosts[host].name);
  char *log = NULL;
  bool found = g_file_get_contents (name, &log, NULL, NULL) && strstr (log, text) != NULL;

  g_free (log);
  g_free (name);
  return found;
}

/* Whether the first host knows an owner of each data centre. */
static bool
knows_owners (const play_t *play)
{
  bool all = true;

  for (int i = 0; i < ZONES; i++)
    {
      char *text = g_strdup_printf ("\"shard_owner\",\"shard\":\"%s\"", zones[i]);
      all &= has_logged (play->rig, play->first_host, text);
      g_free (text);
    }
  return all;
}

/* Waits until the first host has an owner for its job in its own data centre. */
static void
wait_for_owners (const play_t *play)
{
  int64_t until_ms = clock_boot_ms () + READY_MAX_MS;

  while (!knows_owners (play) && clock_boot_ms () < until_ms)
    clock_sleep_ms (20);
  CU_ASSERT_TRUE (knows_owners (play));
  clock_sleep_ms (SETTLED_AFTER_MS);
}

/* Sends a job that takes all endpoints of the first host's data centre, if the row says so. Returns
 * its connection or -1. */
static int
fill_zone (const play_t *play, uint64_t id)
{
  const resent_job_t job = { id, TASKS, FILLER_WORK_MS, CALLER_WAIT_MS };

  if (!play->row->first_zone_busy)
    return -1;
  int fd = resent_job_send (play->rig, play->first_host, &job);
  clock_sleep_ms (SETTLED_AFTER_MS);
  return fd;
}

/* Sends the first request and begins the cut, in the order that the row names.  Returns the
 * connection, and sets *TROUBLE. */
static int
send_first (const play_t *play, const resent_job_t *job, int32_t *trouble)
{
  const resent_cut_case_t *row = play->row;
  bool cut_first = row->first_is_held || row->known_cut_ms > 0;
  int first = cut_first ? -1 : resent_job_send (play->rig, play->first_host, job);

  clock_sleep_ms (row->cut_after_ms);
  *trouble = book_trouble (play->rig->book, clock_boot_ms ());
  begin_cut (play);
  clock_sleep_ms (row->known_cut_ms);
  return cut_first ? resent_job_send (play->rig, play->first_host, job) : first;
}

static void
hold_callers (const play_t *play)
{
  proxy_rule (play->rig->proxy, CALLERS_RULE, PROXY_HOLD, "callers",
              host_name (play, play->first_host), 0, false);
}

/* Cuts callers from the first host, if the row says so. */
static void
cut_callers (const play_t *play, int64_t first_sent_ms)
{
  if (play->row->callers_cut_ms == 0)
    return;
  clock_sleep_ms (MAX (first_sent_ms + play->row->callers_cut_ms - clock_boot_ms (), 0));
  hold_callers (play);
}

/* Sends JOB again, to the second host, as the caller has lost its channel to the first one. Returns
 * the connection. */
static int
send_second (const play_t *play, const resent_job_t *job)
{
  resent_job_broken (play->rig, play->first_host, job);
  return resent_job_send (play->rig, play->second_host, job);
}

/* Sends the third request, if the row says so.  Returns its connection or -1. */
static int
send_third (const play_t *play, const resent_job_t *job)
{
  if (!play->row->third_request)
    return -1;
  clock_sleep_ms (SENT_AGAIN_AFTER_MS);
  return resent_job_send (play->rig, play->row->third_host, job);
}

static void
end_cut (const play_t *play)
{
  proxy_end_rule (play->rig->proxy, CUT_RULE);
  proxy_end_rule (play->rig->proxy, CALLERS_RULE);
}

/* Whether STATUS says that the second request could not be served, as the row allows. */
static bool
is_unserved (const resent_cut_case_t *row, int status)
{
  return row->may_be_unserved && (status == 503 || status == 504);
}

/* Sends JOB to the second host, as its caller does after an answer that is none, until it is whole.
 * Returns the last status. */
static int
send_until_whole (const play_t *play, const resent_job_t *job)
{
  int64_t until_ms = clock_boot_ms () + SERVED_WITHIN_MS;
  int status = 0;

  while (status != 200 && clock_boot_ms () < until_ms)
    {
      clock_sleep_ms (SENT_AGAIN_AFTER_MS);
      int fd = resent_job_send (play->rig, play->second_host, job);
      site_response_t answer = site_read_response (fd, clock_boot_ms () + CALLER_WAIT_MS);
      status = answer.status;
      resent_job_answered (play->rig, play->second_host, job, status, answer.body);
      close (fd);
    }
  return status;
}

/* Records the ANSWER to the second request, and asserts that the hosts serve small jobs.  Returns
 * what the caller got in the end. */
static int
finish_case (const play_t *play, const resent_job_t *job, const site_response_t *answer)
{
  rig_t *rig = play->rig;
  int status = answer->status;

  resent_job_answered (rig, play->second_host, job, status, answer->body);
  if (is_unserved (play->row, status))
    status = send_until_whole (play, job);
  CU_ASSERT_TRUE (is_served (rig, play->second_host, job->id + 0x1000));
  CU_ASSERT_TRUE (play->row->cut == HOST_KILLED
                  || is_served (rig, play->first_host, job->id + 0x2000));
  return status;
}

/* A case whose first request is delivered after the end of the cut.  Returns what the caller of the
 * second request got in the end. */
static int
play_delivered_late (const play_t *play, uint64_t id)
{
  rig_t *rig = play->rig;
  const resent_job_t job = { id, TASKS, play->row->work_ms, CALLER_WAIT_MS };

  wait_for_owners (play);
  int first = site_connect (RIG_CALLER_IP, rig_caller_port (rig, play->first_host));
  clock_sleep_ms (SETTLED_AFTER_MS);
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  begin_cut (play);
  hold_callers (play);
  resent_job_send_on (rig, play->first_host, &job, first);
  clock_sleep_ms (SENT_AGAIN_AFTER_MS);
  resent_job_broken (rig, play->first_host, &job);
  close (first);
  clock_sleep_ms (play->row->cut_ends_ms);
  proxy_end_rule (rig->proxy, CUT_RULE);
  clock_sleep_ms (play->row->callers_held_ms - YOUNG_MS);
  int second = resent_job_send (rig, play->second_host, &job);
  clock_sleep_ms (YOUNG_MS);
  proxy_end_rule (rig->proxy, CALLERS_RULE);
  site_response_t answer = site_read_response (second, clock_boot_ms () + CALLER_WAIT_MS);
  int status = finish_case (play, &job, &answer);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  close (second);
  return status;
}

/* Returns what the caller of the second request got in the end. */
static int
play_case (const play_t *play, uint64_t id)
{
  rig_t *rig = play->rig;
  const resent_cut_case_t *row = play->row;
  const resent_job_t job = { id, TASKS, row->work_ms, CALLER_WAIT_MS };
  int32_t trouble = 0;

  wait_for_owners (play);
  int filler = fill_zone (play, id + 0x3000);
  int64_t begun_ms = clock_boot_ms ();
  int first = send_first (play, &job, &trouble);
  int64_t broken_ms = begun_ms + (row->broken_at_once ? 0 : row->cut_after_ms);
  if (row->known_cut_ms > 0)
    broken_ms = clock_boot_ms ();
  cut_callers (play, broken_ms);
  clock_sleep_ms (MAX (broken_ms + SENT_AGAIN_AFTER_MS - clock_boot_ms (), 0));
  int second = send_second (play, &job);
  int64_t sent_ms = clock_boot_ms ();
  int64_t cut_ends_ms = sent_ms + (row->cut_ends_ms > 0 ? row->cut_ends_ms : CUT_LASTS_MS);
  int third = send_third (play, &job);
  site_response_t answer = site_read_response (second, cut_ends_ms);
  clock_sleep_ms (MAX (cut_ends_ms - clock_boot_ms (), 0));
  end_cut (play);
  if (answer.status == 0)
    answer = site_read_response (second, sent_ms + CALLER_WAIT_MS + SENT_AGAIN_AFTER_MS);
  int status = finish_case (play, &job, &answer);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  close (first);
  close (second);
  if (third >= 0)
    close (third);
  if (filler >= 0)
    close (filler);
  return status;
}

/* Returns HOST, or a host of its data centre that is no hub, if WITHOUT_HUBS. */
static int
choose_host (const play_t *play, int host, bool without_hubs)
{
  int non_hubs[RESENT_ZONES_MAX];

  if (!without_hubs)
    return host;
  resent_job_find_non_hubs (play->rig, false, non_hubs);
  CU_ASSERT_TRUE_FATAL (non_hubs[host % ZONES] >= 0);
  return non_hubs[host % ZONES];
}

static void
play_cases (void)
{
  for (size_t i = 0; i < case_count; i++)
    {
      rig_t rig = { .programs = site_programs (),
                    .hosts_count = cases[i].hosts,
                    .endpoints_count = ENDPOINTS,
                    .zones = ZONES };
      play_t play = { .rig = &rig, .row = &cases[i] };
      rig.book = book_new ();
      CU_ASSERT_TRUE (rig_start (&rig));
      play.first_host = choose_host (&play, cases[i].first_host, cases[i].first_is_no_hub);
      play.second_host = choose_host (&play, cases[i].second_host, cases[i].second_is_no_hub);
      int status = cases[i].callers_held_ms > 0 ? play_delivered_late (&play, FIRST_JOB + i)
                                                : play_case (&play, FIRST_JOB + i);
      rig_watch (&rig);
      int32_t findings = book_check (rig.book, clock_boot_ms ());
      /* The job is whole, as the first host has run it or another one after it. */
      CU_ASSERT_EQUAL (status, 200);
      CU_ASSERT_EQUAL (findings, 0);
      if (status != 200 || findings > 0)
        printf ("  %s: answered %d, %d findings\n", cases[i].name, status, (int) findings);
      rig_stop (&rig, status != 200 || findings > 0);
      book_free (rig.book);
    }
}

int
resent_cut_main (const char *suite,
                 const char *name,
                 const resent_cut_case_t *suite_cases,
                 size_t count,
                 int argc,
                 char **argv)
{
  const unit_test_t tests[] = { { name, play_cases } };

  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  cases = suite_cases;
  case_count = count;
  return unit_run_named (suite, tests, G_N_ELEMENTS (tests), argc > 1 ? argv[1] : NULL);
}
