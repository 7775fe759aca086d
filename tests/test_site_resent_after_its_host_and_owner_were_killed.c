/* test_site_resent_after_its_host_and_owner_were_killed.c -- a job whose host was killed together
 * with owners of the endpoints that run it, and that is sent again to a host of the same data
 * centre at any time after that, must not run beside its first runs
 *
 * Real processes of the soak's rig.
 */
#include "base/clock.h"
#include "tests/resent_job.h"
#include "tests/resent_rig.h"
#include "tests/site_rig.h"
#include "tests/soak/rig_private.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define HOSTS 9
#define ENDPOINTS 6
#define ROOM 8
#define ZONES RESENT_ZONES_MAX
/* As many as the endpoints of a data centre run at once. */
#define TASKS 16
#define WORK_MS 2000
#define FILLER_WORK_MS 4000
#define CALLER_WAIT_MS 9000
/* An answer may be as late as this. */
#define LATE_MAX_MS 1000
/* By then hosts have found all others, and capacity and load are known. */
#define SETTLED_AFTER_MS 1500
/* The tasks have started by then, and capacity and load are known again. */
#define FILLED_AFTER_MS 700
#define KILLED_AFTER_MS 80
#define FIRST_JOB 0xe00
#define FILLER_JOB 0xf00

/* Who is killed with the first host. */
typedef enum
{
  NOBODY_ELSE,      /* the first host is the owner of its data centre's endpoints */
  OWN_OWNER,        /* the owner of its data centre's endpoints */
  NEXT_OWNER,       /* the owner of those of another data centre */
  NEXT_DATA_CENTRE, /* all hosts of another data centre: nobody owns its endpoints, so that the job
                       may wait to its deadline */
  ALL_OWNERS        /* the owners of all data centres */
} killed_t;

typedef struct
{
  killed_t killed;
  int again_after_ms; /* from the kill */
} case_t;

static const case_t cases[] = {
  { NOBODY_ELSE, 0 },       { NOBODY_ELSE, 300 }, { NOBODY_ELSE, 1300 }, { OWN_OWNER, 50 },
  { OWN_OWNER, 700 },       { NEXT_OWNER, 0 },    { NEXT_OWNER, 300 },   { NEXT_OWNER, 1300 },
  { NEXT_DATA_CENTRE, 50 }, { ALL_OWNERS, 0 },    { ALL_OWNERS, 50 },    { ALL_OWNERS, 700 },
};

static const char *const killed_names[] = {
  [NOBODY_ELSE] = "an owner",
  [OWN_OWNER] = "a host and its owner",
  [NEXT_OWNER] = "a host and another data centre's owner",
  [NEXT_DATA_CENTRE] = "a host and another data centre",
  [ALL_OWNERS] = "a host and all owners",
};

/* Returns the token of the last claim of ZONE's endpoints that HOST has logged, or -1. */
static int64_t
last_claim (const rig_t *rig, int host, const char *zone)
{
  char *name = g_strdup_printf ("%s/%s.log", rig->directory, rig->hosts[host].name);
  char *claim = g_strdup_printf ("\"shard_claimed\",\"shard\":\"%s\"", zone);
  char *log = NULL;
  int64_t token = -1;

  if (g_file_get_contents (name, &log, NULL, NULL))
    for (const char *at = strstr (log, claim); at != NULL; at = strstr (at + 1, claim))
      {
        const char *number = strstr (at, "\"token\":");
        if (number != NULL)
          token = MAX (token, g_ascii_strtoll (number + strlen ("\"token\":"), NULL, 10));
      }
  g_free (log);
  g_free (claim);
  g_free (name);
  return token;
}

/* Returns the owner of the endpoints of ZONE, by its number. */
static int
find_owner (const rig_t *rig, int zone)
{
  int64_t newest = -1;
  int owner = -1;

  for (int i = 0; i < rig->hosts_count; i++)
    {
      int64_t token = last_claim (rig, i, rig_zone_name (zone));
      if (token > newest)
        {
          newest = token;
          owner = i;
        }
    }
  CU_ASSERT_TRUE_FATAL (owner >= 0);
  return owner;
}

/* Returns a host of ZONE that is neither NONE_OF nor NOR_OF. */
static int
find_other (const rig_t *rig, int zone, int none_of, int nor_of)
{
  for (int i = zone; i < rig->hosts_count; i += rig->zones)
    if (i != none_of && i != nor_of)
      return i;
  return -1;
}

static void
kill_hosts (rig_t *rig, killed_t killed, int first, int zone)
{
  int next = (zone + 1) % rig->zones;

  rig_kill_host (rig, first, "killed");
  if (killed == OWN_OWNER || killed == ALL_OWNERS)
    rig_kill_host (rig, find_owner (rig, zone), "killed");
  if (killed == NEXT_OWNER || killed == ALL_OWNERS)
    rig_kill_host (rig, find_owner (rig, next), "killed");
  if (killed == ALL_OWNERS)
    rig_kill_host (rig, find_owner (rig, (zone + 2) % rig->zones), "killed");
  for (int i = next; killed == NEXT_DATA_CENTRE && i < rig->hosts_count; i += rig->zones)
    rig_kill_host (rig, i, "killed");
}

/* Whether tasks run for owners of other data centres, as those of the first host's are taken. */
static bool
is_filled (killed_t killed)
{
  return killed != NOBODY_ELSE && killed != OWN_OWNER;
}

/* Reads the answer to JOB on FD, which was sent to HOST, and records it.  Returns its status. */
static int
read_answer (rig_t *rig, int host, const resent_job_t *job, int fd)
{
  site_response_t answer = site_read_response (fd, clock_boot_ms () + CALLER_WAIT_MS + LATE_MAX_MS);

  resent_job_answered (rig, host, job, answer.status, answer.body);
  close (fd);
  return answer.status;
}

/* Sends JOB to FIRST_HOST, kills that and others, as ROW says, and sends it again to SECOND_HOST.
 * Returns the status that its caller got. */
static int
send_and_kill (rig_t *rig,
               const case_t *row,
               const resent_job_t *job,
               int first_host,
               int second_host)
{
  int first = resent_job_send (rig, first_host, job);

  clock_sleep_ms (KILLED_AFTER_MS);
  int64_t killed_ms = clock_boot_ms ();
  kill_hosts (rig, row->killed, first_host, first_host % rig->zones);
  resent_job_broken (rig, first_host, job);
  resent_sleep_until (killed_ms + row->again_after_ms);
  int second = resent_job_send (rig, second_host, job);
  int status = read_answer (rig, second_host, job, second);
  close (first);
  return status;
}

/* Returns whether the second request got an answer as it should. */
static bool
play (rig_t *rig, size_t number, bool log_down)
{
  const case_t *row = &cases[number];
  const resent_job_t job = { FIRST_JOB + number, TASKS, WORK_MS, CALLER_WAIT_MS };
  const resent_job_t filler = { FILLER_JOB + number, TASKS, FILLER_WORK_MS, CALLER_WAIT_MS };
  const plan_fault_t fault = { .kind = PLAN_LOG_DOWN };
  int zone = (int) number % rig->zones;
  int owner = find_owner (rig, zone);
  int second_host = find_other (rig, zone, owner, -1);
  int first_host = row->killed == NOBODY_ELSE ? owner : find_other (rig, zone, owner, second_host);
  int filling = -1;

  if (is_filled (row->killed))
    {
      filling = resent_job_send (rig, second_host, &filler);
      clock_sleep_ms (FILLED_AFTER_MS);
    }
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  if (log_down)
    rig_begin (rig, &fault);
  int status = send_and_kill (rig, row, &job, first_host, second_host);
  if (filling >= 0)
    (void) read_answer (rig, second_host, &filler, filling);
  if (log_down)
    rig_end (rig, &fault);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  bool is_allowed = status == 200 || (row->killed == NEXT_DATA_CENTRE && status == 504);
  CU_ASSERT_TRUE (is_allowed);
  if (!is_allowed)
    printf ("  %s killed, again after %d ms%s: answered %d\n", killed_names[row->killed],
            row->again_after_ms, log_down ? ", without the log" : "", status);
  return is_allowed;
}

static void
play_rows (bool log_down)
{
  for (size_t row = 0; row < G_N_ELEMENTS (cases); row++)
    {
      rig_t rig = { .programs = site_programs (),
                    .hosts_count = HOSTS,
                    .endpoints_count = ENDPOINTS,
                    .room = ROOM,
                    .zones = ZONES,
                    .book = book_new () };

      CU_ASSERT_TRUE_FATAL (rig_start (&rig));
      clock_sleep_ms (SETTLED_AFTER_MS);
      bool is_allowed = play (&rig, row, log_down);
      rig_watch (&rig);
      int32_t findings = book_check (rig.book, clock_boot_ms ());
      CU_ASSERT_EQUAL (findings, 0);
      rig_stop (&rig, findings > 0 || !is_allowed);
      book_free (rig.book);
    }
}

static void
test_with_the_log (void)
{
  play_rows (false);
}

static void
test_without_the_log (void)
{
  play_rows (true);
}

static const unit_test_t tests[] = {
  { "the log is there", test_with_the_log },
  { "the log answers 503", test_without_the_log },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site_resent_after_its_host_and_owner_were_killed", tests,
                         G_N_ELEMENTS (tests), argc > 1 ? argv[1] : NULL);
}
