/* test_site_pipelining.c -- requests that a caller sends ahead of the answer to its job
 *
 * HTTP/1.1 allows them.  A host handled such a request within the answer to the job, so that it
 * gave the answer twice and aborted, with the jobs of all its callers.
 */
#include "base/clock.h"
#include "tests/site_call.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define WORK_MS 60
#define ANSWERS_WITHIN_MS 5000
#define ANSWERS_MAX 4
#define SMALL_REQUESTS 20
#define TEXT_BYTES 8192
/* "%" in a target stands for the number of the job on the connection. */
#define JOB_TARGET "/q/%"
#define OTHER_TARGET "/q/f%"

typedef struct
{
  const char *method; /* NULL: the text is sent as it is */
  const char *target;
  const char *text; /* the body; NULL: a valid job */
} ahead_t;

static const struct
{
  const char *name;
  ahead_t ahead[ANSWERS_MAX]; /* sent after the job, before its answer */
  int statuses[ANSWERS_MAX + 1];
  bool closes; /* the caller closes its connection before the answer */
} ahead_cases[] = {
  { "DELETE of the job", { { "DELETE", JOB_TARGET, "" } }, { 200, 410 }, false },
  { "another job", { { "POST", OTHER_TARGET, NULL } }, { 200, 200 }, false },
  { "GET of the job", { { "GET", JOB_TARGET, "" } }, { 200, 410 }, false },
  { "GET of the queue", { { "GET", "/q/", "" } }, { 200, 200 }, false },
  { "a job without a queue", { { "POST", "/none/f%", NULL } }, { 200, 404 }, false },
  { "a job that is invalid", { { "POST", OTHER_TARGET, "{" } }, { 200, 400 }, false },
  { "not HTTP", { { NULL, NULL, "???\r\n\r\n" } }, { 200, 400 }, false },
  { "half a request", { { NULL, NULL, "POST /q/f" } }, { 200 }, false },
  { "all together",
    { { "POST", OTHER_TARGET, NULL },
      { "DELETE", JOB_TARGET, "" },
      { "DELETE", OTHER_TARGET, "" },
      { "GET", "/q/", "" } },
    { 200, 200, 410, 410, 200 },
    false },
  { "nothing, and the end", { { 0 } }, { 0 }, true },
  { "DELETE of the job, and the end", { { "DELETE", JOB_TARGET, "" } }, { 0 }, true },
  { "another job, and the end", { { "POST", OTHER_TARGET, NULL } }, { 0 }, true },
};

static void
send_ahead (int fd, const ahead_t *ahead, int job)
{
  if (ahead->method == NULL)
    {
      const char *text = ahead->text != NULL ? ahead->text : "";
      (void) !send (fd, text, strlen (text), MSG_NOSIGNAL);
      return;
    }
  const char *number = strchr (ahead->target, '%');
  int prefix = (int) (number != NULL ? number - ahead->target : (ssize_t) strlen (ahead->target));
  bool other = prefix > 0 && ahead->target[prefix - 1] == 'f';
  char *target = number == NULL ? g_strdup (ahead->target)
                                : g_strdup_printf ("%.*s%0*x", prefix, ahead->target,
                                                   other ? 15 : 16, (unsigned) job);
  char *body = ahead->text != NULL ? g_strdup (ahead->text) : site_job_body (1, WORK_MS, "");
  site_send_request (fd, ahead->method, target, body, SITE_DEADLINE_MS);
  g_free (body);
  g_free (target);
}

/* Reads COUNT responses; their bodies are JSON objects.  Returns the number of those that came, and
 * their statuses. */
static int
read_statuses (int fd, int count, int *statuses)
{
  static const char start[] = "HTTP/1.1 ";
  char text[TEXT_BYTES] = "";
  size_t size = 0;
  int found = 0;
  int64_t until_ms = clock_boot_ms () + ANSWERS_WITHIN_MS;

  while ((found < count || text[size - 1] != '}') && clock_boot_ms () < until_ms)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      if (poll (&poll_fd, 1, ANSWERS_WITHIN_MS) <= 0)
        break;
      ssize_t received = recv (fd, text + size, sizeof text - 1 - size, 0);
      if (received <= 0)
        break;
      size += (size_t) received;
      text[size] = '\0';
      found = 0;
      for (const char *at = strstr (text, start); at != NULL && found < count;
           at = strstr (at + 1, start))
        statuses[found++] = atoi (at + strlen (start));
    }
  return found;
}

static int
count_statuses (const int *statuses)
{
  int count = 0;

  while (count <= ANSWERS_MAX && statuses[count] != 0)
    count++;
  return count;
}

static void
play_case (const site_rig_t *rig, size_t number)
{
  static const ahead_t job = { "POST", JOB_TARGET, NULL };
  const int *expected = ahead_cases[number].statuses;
  int statuses[ANSWERS_MAX + 1] = { 0 };
  int fd = site_connect ("127.0.0.1", site_caller_port (rig, 0));

  send_ahead (fd, &job, (int) number + 1);
  for (size_t i = 0; i < ANSWERS_MAX; i++)
    send_ahead (fd, &ahead_cases[number].ahead[i], (int) number + 1);
  int count = ahead_cases[number].closes ? 0 : count_statuses (expected);
  int found = count > 0 ? read_statuses (fd, count, statuses) : 0;
  close (fd);
  if (found != count || memcmp (statuses, expected, sizeof statuses) != 0)
    printf ("  %s: %d of %d answers, %d %d\n", ahead_cases[number].name, found, count, statuses[0],
            statuses[1]);
  CU_ASSERT_EQUAL (found, count);
  CU_ASSERT_EQUAL (memcmp (statuses, expected, sizeof statuses), 0);
}

static void
test_requests_ahead_of_answers (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  for (size_t i = 0; i < G_N_ELEMENTS (ahead_cases); i++)
    play_case (&rig, i);
  /* Its jobs and the connections that were closed are over, and the host has lived through them. */
  CU_ASSERT_TRUE (site_wait_for_number (&rig, "unacknowledged", 0, SITE_TEST_TIMEOUT_MS));
  CU_ASSERT_EQUAL (site_submit (&rig, 0, 0xabc, 1, WORK_MS).status, 200);
  CU_ASSERT_EQUAL (waitpid (rig.hosts[0], NULL, WNOHANG), 0);
  site_rig_stop (&rig);
}

/* A caller inside the limits: many small requests in one piece, and all answers are read. */
static void
test_small_requests_ahead (void)
{
  static const struct
  {
    const char *request;
    int status;
  } kinds[] = {
    { "GET /q/00000000000000d1 HTTP/1.1\r\nHost: " SITE_CALL_QUEUE_HOST "\r\n\r\n", 410 },
    { "GET /q/ HTTP/1.1\r\nHost: " SITE_CALL_QUEUE_HOST "\r\n\r\n", 200 },
    { "DELETE /q/00000000000000d2 HTTP/1.1\r\nHost: " SITE_CALL_QUEUE_HOST "\r\n\r\n", 410 },
    { "GET /none HTTP/1.1\r\nHost: " SITE_CALL_QUEUE_HOST "\r\n\r\n", 404 },
  };
  site_rig_t rig;
  GString *text = g_string_new ("");
  int statuses[SMALL_REQUESTS] = { 0 };

  site_rig_start (&rig);
  for (int i = 0; i < SMALL_REQUESTS; i++)
    g_string_append (text, kinds[i % G_N_ELEMENTS (kinds)].request);
  int fd = site_connect ("127.0.0.1", site_caller_port (&rig, 0));
  CU_ASSERT_EQUAL (send (fd, text->str, text->len, MSG_NOSIGNAL), (ssize_t) text->len);
  CU_ASSERT_EQUAL (read_statuses (fd, SMALL_REQUESTS, statuses), SMALL_REQUESTS);
  for (int i = 0; i < SMALL_REQUESTS; i++)
    CU_ASSERT_EQUAL (statuses[i], kinds[i % G_N_ELEMENTS (kinds)].status);
  close (fd);
  g_string_free (text, TRUE);
  site_rig_stop (&rig);
}

static const unit_test_t tests[] = {
  { "requests ahead of answers", test_requests_ahead_of_answers },
  { "small requests ahead", test_small_requests_ahead },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("pipelining", tests, G_N_ELEMENTS (tests));
}
