/* test_site_cancellation.c -- jobs that are cancelled at another host than their own
 *
 * A cancellation was lost with a connection that was silent, and was answered "no such job".
 */
#include "base/clock.h"
#include "tests/site_call.h"
#include "tests/site_rig.h"
#include "tests/soak/rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define HOSTS 4
#define MANY_HOSTS 12
#define ENDPOINTS 6
#define DATA_CENTRES 2
#define TASKS 200
#define FEW_TASKS 2
#define CALLER_WAIT_MS 20000
#define LEAVES_AFTER_MS 50
/* Keeps a faulty run from hanging. */
#define ANSWERED_WITHIN_MS 4000
/* Hosts see each other within this time from their start. */
#define SETTLE_MS 2000
/* Within this time a silent connection is noticed and replaced, and the cancellation confirmed. */
#define CANCELLED_WITHIN_MS 2500

typedef enum
{
  HERE,      /* the job's own host */
  ELSEWHERE, /* any other */
  NOWHERE    /* the job doesn't exist */
} place_t;

static const struct
{
  const char *name;
  const char *target;
  place_t place;
  bool silent;  /* the open connections of the host that is asked are silent */
  bool stopped; /* a third host doesn't run */
  int deadline_ms;
  int status; /* 0: the caller of the cancellation leaves before it is answered */
} cases[] = {
  { "at its own host", "/q/0000000000c0de01", HERE, false, false, 3000, 200 },
  { "at another host", "/q/0000000000c0de02", ELSEWHERE, false, false, 3000, 200 },
  { "no host has it", "/q/0000000000c0de03", NOWHERE, false, false, 3000, 410 },
  { "at another host with silent connections", "/q/0000000000c0de04", ELSEWHERE, true, false, 3000,
    200 },
  { "no host has it, silent connections", "/q/0000000000c0de05", NOWHERE, true, false, 3000, 410 },
  { "at another host, its caller waits shortly", "/q/0000000000c0de06", ELSEWHERE, true, false, 200,
    202 },
  { "at another host, its caller leaves", "/q/0000000000c0de08", ELSEWHERE, true, false, 3000, 0 },
  { "no host has it, one is silent", "/q/0000000000c0de07", NOWHERE, false, true, 3000, 202 },
};

/* Whether HOST may run tasks of the job, so that its silence ends the job. */
static bool
owns_shard (const rig_t *rig, int host)
{
  static const char gauge[] = "\njaytrail_shards_owned ";
  site_response_t page = site_call (rig_caller_port (rig, host) + 1, "GET", "/metrics", "");
  const char *line = strstr (page.body, gauge);

  return line == NULL || g_ascii_strtoll (line + strlen (gauge), NULL, 10) > 0;
}

/* A host other than the job's that owns no endpoints. */
static int
other_host (const rig_t *rig)
{
  for (int i = HOSTS - 1; i > 0; i--)
    if (!owns_shard (rig, i))
      return i;
  CU_FAIL ("each other host owns a shard");
  return HOSTS - 1;
}

static void
play (rig_t *rig, size_t row)
{
  char *body = site_job_json (TASKS, "900", 900, "");
  int asked = cases[row].place == HERE ? 0 : other_host (rig);
  int third = asked == 1 ? 2 : 1;
  int fd = site_connect (RIG_CALLER_IP, rig_caller_port (rig, 0));

  if (cases[row].place != NOWHERE)
    site_send_request (fd, "POST", cases[row].target, body, CALLER_WAIT_MS);
  clock_sleep_ms (300);
  if (cases[row].silent)
    proxy_mute (rig->proxy, rig->hosts[asked].name);
  if (cases[row].stopped)
    kill (rig->hosts[third].pid, SIGSTOP);
  clock_sleep_ms (100);
  int64_t from_ms = clock_boot_ms ();
  int cancel_fd = site_connect (RIG_CALLER_IP, rig_caller_port (rig, asked));
  site_send_request (cancel_fd, "DELETE", cases[row].target, "", cases[row].deadline_ms);
  site_response_t cancelled = site_read_response (
      cancel_fd, from_ms + (cases[row].status != 0 ? ANSWERED_WITHIN_MS : LEAVES_AFTER_MS));
  close (cancel_fd);
  if (cancelled.status != cases[row].status)
    printf ("  %s: %d after %d ms\n", cases[row].name, cancelled.status,
            (int) (clock_boot_ms () - from_ms));
  CU_ASSERT_EQUAL (cancelled.status, cases[row].status);
  if (cases[row].place != NOWHERE)
    {
      site_response_t answer = site_read_response (fd, from_ms + CANCELLED_WITHIN_MS);
      if (answer.status != 200)
        printf ("  %s: the job: %d %s\n", cases[row].name, answer.status, answer.body);
      CU_ASSERT_EQUAL (answer.status, 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (answer.body, "cancelled"));
    }
  if (cases[row].stopped)
    kill (rig->hosts[third].pid, SIGCONT);
  close (fd);
  g_free (body);
}

static void
test_cancellations (void)
{
  rig_t rig = { .programs = site_programs (),
                .hosts_count = HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = DATA_CENTRES,
                .book = book_new () };
  unsigned failures = CU_get_number_of_failures ();

  CU_ASSERT_TRUE_FATAL (rig_start (&rig));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      clock_sleep_ms (SETTLE_MS);
      play (&rig, i);
    }
  rig_stop (&rig, CU_get_number_of_failures () != failures);
  book_free (rig.book);
}

static int
cancel_at (const rig_t *rig, int host, const char *target)
{
  int fd = site_connect (RIG_CALLER_IP, rig_caller_port (rig, host));

  site_send_request (fd, "DELETE", target, "", ANSWERED_WITHIN_MS);
  site_response_t cancelled = site_read_response (fd, clock_boot_ms () + ANSWERED_WITHIN_MS);
  close (fd);
  return cancelled.status;
}

/* With so many hosts some are connected to hubs only, both those that are asked and that of the
 * job. */
static void
test_through_hubs (void)
{
  rig_t rig = { .programs = site_programs (),
                .hosts_count = MANY_HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = DATA_CENTRES,
                .book = book_new () };
  char *body = site_job_json (FEW_TASKS, "900", 900, "");
  unsigned failures = CU_get_number_of_failures ();

  CU_ASSERT_TRUE_FATAL (rig_start (&rig));
  clock_sleep_ms (SETTLE_MS);
  for (int i = 0; i < MANY_HOSTS; i++)
    {
      char *target = g_strdup_printf ("/q/0000000000c0df%02d", i);
      int fd = site_connect (RIG_CALLER_IP, rig_caller_port (&rig, i));
      site_send_request (fd, "POST", target, body, CALLER_WAIT_MS);
      clock_sleep_ms (100);
      CU_ASSERT_EQUAL (cancel_at (&rig, MANY_HOSTS - 1 - i, target), 200);
      site_response_t answer = site_read_response (fd, clock_boot_ms () + CANCELLED_WITHIN_MS);
      CU_ASSERT_PTR_NOT_NULL (strstr (answer.body, "cancelled"));
      CU_ASSERT_EQUAL (cancel_at (&rig, i, "/q/0000000000c0dfff"), 410);
      close (fd);
      g_free (target);
    }
  rig_stop (&rig, CU_get_number_of_failures () != failures);
  book_free (rig.book);
  g_free (body);
}

static const unit_test_t tests[] = {
  { "jobs are cancelled", test_cancellations },
  { "through hubs", test_through_hubs },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("site, cancellations", tests, G_N_ELEMENTS (tests));
}
