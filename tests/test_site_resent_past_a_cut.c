/* test_site_resent_past_a_cut.c -- a job that is sent again to another data centre, while that of
 * its first host is cut off, must run once at a time, on real processes */
#include "tests/soak/rig.h"
#include "tests/unit_runner.h"

#include "base/clock.h"
#include "tests/site_call.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define ENDPOINTS 6
#define ZONES 3
#define TASKS 8
/* Hosts are in the zones x, y and z in turn. */
#define SECOND_HOST 0
#define FIRST_HOST 1
#define FIRST_ZONE "zone-y"
#define CALLER_WAIT_MS 9000
#define CUT_AFTER_MS 600
#define SENT_AGAIN_AFTER_MS 1300
/* From the second request to the end of the cut. */
#define CUT_LASTS_MS 6000
#define SERVED_WITHIN_MS 12000
#define FIRST_JOB 0xc0
#define CUT_RULE 1

typedef enum
{
  CUT_ALL,         /* the data centre is cut off from the others, the log and callers */
  CUT_NOT_CALLERS, /* callers still reach it */
  CUT_HOSTS,       /* only its hosts are cut off, and only from hosts of the others */
  HOST_KILLED      /* its first host is killed; nothing is cut */
} cut_t;

static const struct
{
  const char *name;
  cut_t cut;
  int hosts;
  int work_ms;
} cut_cases[] = {
  { "a data centre is cut off", CUT_ALL, 6, 4000 },
  { "a data centre is cut off, but not from its callers", CUT_NOT_CALLERS, 6, 4000 },
  { "only hosts are cut off", CUT_HOSTS, 6, 4000 },
  { "only hosts are cut off, many of them", CUT_HOSTS, 18, 6000 },
  { "the first host is killed", HOST_KILLED, 6, 4000 },
};

static char programs[4096];

static void
hold (rig_t *rig, const char *from, const char *to)
{
  proxy_rule (rig->proxy, CUT_RULE, PROXY_HOLD, from, to, 0, false);
}

/* Whether HOST, by its number, is in FIRST_ZONE. */
static bool
is_cut_off (int host)
{
  return host % ZONES == FIRST_HOST % ZONES;
}

static void
cut_hosts (rig_t *rig)
{
  for (int i = 0; i < rig->hosts_count; i++)
    for (int k = 0; is_cut_off (i) && k < rig->hosts_count; k++)
      if (!is_cut_off (k))
        hold (rig, rig->hosts[i].name, rig->hosts[k].name);
}

static void
cut_zone (rig_t *rig, bool callers_too)
{
  static const char *const others[] = { "zone-x", "zone-z" };

  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    hold (rig, FIRST_ZONE, others[i]);
  for (int i = 0; i < rig->hosts_count; i++)
    {
      if (!is_cut_off (i))
        continue;
      hold (rig, rig->hosts[i].name, "log");
      if (callers_too)
        hold (rig, "callers", rig->hosts[i].name);
    }
}

static void
begin_cut (rig_t *rig, cut_t cut)
{
  if (cut == CUT_HOSTS)
    cut_hosts (rig);
  else if (cut == HOST_KILLED)
    rig_begin (rig, &(plan_fault_t){ .kind = PLAN_KILL_HOST, .target = FIRST_HOST });
  else
    cut_zone (rig, cut == CUT_ALL);
}

static void
note (rig_t *rig, book_kind_t kind, int host, uint64_t job, int work_ms, site_response_t *answer)
{
  char *spec = g_strdup_printf ("%d", work_ms);
  const book_row_t row = { .at_ms = clock_boot_ms (),
                           .kind = kind,
                           .job = job,
                           .index = TASKS,
                           .host = host,
                           .number = host,
                           .status = answer != NULL ? answer->status : 0,
                           .text = answer != NULL ? answer->body : spec };

  book_add (rig->book, &row);
  g_free (spec);
}

static int
send_job (rig_t *rig, int host, uint64_t job, int work_ms)
{
  char *spec = g_strdup_printf ("%d", work_ms);
  char *body = site_job_json (TASKS, spec, work_ms, "");
  char *target = g_strdup_printf ("/q/%016" G_GINT64_MODIFIER "x", job);
  int fd = site_connect (RIG_CALLER_IP, rig_caller_port (rig, host));

  note (rig, BOOK_SENT, host, job, work_ms, NULL);
  site_send_request (fd, "POST", target, body, CALLER_WAIT_MS);
  g_free (target);
  g_free (body);
  g_free (spec);
  return fd;
}

/* Sends a small job to HOST until it is answered as completed. */
static bool
is_served (rig_t *rig, int host, uint64_t job)
{
  int64_t until_ms = clock_boot_ms () + SERVED_WITHIN_MS;

  while (clock_boot_ms () < until_ms)
    {
      int fd = send_job (rig, host, job, 20);
      site_response_t answer = site_read_response (fd, clock_boot_ms () + CALLER_WAIT_MS);
      note (rig, BOOK_ANSWERED, host, job, 20, &answer);
      close (fd);
      if (answer.status == 200)
        return true;
      clock_sleep_ms (200);
    }
  return false;
}

/* Plays row I of the table.  Returns what the second request got. */
static int
play (rig_t *rig, size_t i)
{
  uint64_t job = FIRST_JOB + i;
  int work_ms = cut_cases[i].work_ms;

  int first = send_job (rig, FIRST_HOST, job, work_ms);
  clock_sleep_ms (CUT_AFTER_MS);
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  begin_cut (rig, cut_cases[i].cut);
  clock_sleep_ms (SENT_AGAIN_AFTER_MS);
  int second = send_job (rig, SECOND_HOST, job, work_ms);
  int64_t sent_ms = clock_boot_ms ();
  site_response_t answer = site_read_response (second, sent_ms + CUT_LASTS_MS);
  int64_t left_ms = sent_ms + CUT_LASTS_MS - clock_boot_ms ();
  clock_sleep_ms (MAX (left_ms, 0));
  proxy_end_rule (rig->proxy, CUT_RULE);
  if (answer.status == 0)
    answer = site_read_response (second, sent_ms + CALLER_WAIT_MS + SENT_AGAIN_AFTER_MS);
  note (rig, BOOK_ANSWERED, SECOND_HOST, job, work_ms, &answer);
  CU_ASSERT_TRUE (is_served (rig, SECOND_HOST, job + 0x1000));
  CU_ASSERT_TRUE (cut_cases[i].cut == HOST_KILLED || is_served (rig, FIRST_HOST, job + 0x2000));
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  close (first);
  close (second);
  return answer.status;
}

static void
test_cuts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cut_cases); i++)
    {
      rig_t rig = { .programs = programs,
                    .hosts_count = cut_cases[i].hosts,
                    .endpoints_count = ENDPOINTS,
                    .zones = ZONES };
      rig.book = book_new ();
      CU_ASSERT_TRUE (rig_start (&rig));
      int status = play (&rig, i);
      rig_watch (&rig);
      int32_t findings = book_check (rig.book, clock_boot_ms ());
      /* The job is whole, as the first host has run it or another one after it. */
      CU_ASSERT_EQUAL (status, 200);
      CU_ASSERT_EQUAL (findings, 0);
      if (status != 200 || findings > 0)
        printf ("  %s: answered %d, %d findings\n", cut_cases[i].name, status, (int) findings);
      rig_stop (&rig, status != 200 || findings > 0);
      book_free (rig.book);
    }
}

static const unit_test_t tests[] = {
  { "sent again while the data centre of its first host is cut off", test_cuts },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  char *directory = g_path_get_dirname (argv[0]);
  g_snprintf (programs, sizeof programs, "%s/..", directory);
  g_free (directory);
  return unit_run_named ("site_resent_past_a_cut", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
