/* site_crowd.c -- crowds of badly behaving clients at one host of a rig, and what they cost it */
#include "tests/site_crowd.h"
#include "tests/site_usage.h"

#include "base/clock.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define HOST 0
/* So small that a host can't leave its answers in the kernel. */
#define RECEIVE_BUFFER_BYTES 4096
#define BLOCK_BYTES 65536
#define STUCK_MS 1000   /* without a byte taken: the crowd sends no more */
#define SENDING_MS 8000 /* keeps a crowd whose bytes are taken slowly from hanging */
#define STAY_MS 1000    /* the connections stay open */
#define SAMPLE_MS 50
#define GUARD_MS 30000 /* keeps an ordinary request from hanging */
#define KIB 1024
/* A log that is longer, of a check that failed, is cut. */
#define LOG_KEPT_BYTES (1024 * 1024)
#define QUEUE_VERSION 4
#define ORDINARY_JOB 0xabc
#define ORDINARY_WORK_MS 60

typedef struct
{
  int fd; /* -1: closed by the host */
  char *first;
  char *repeated; /* whole copies of it, about BLOCK_BYTES */
  size_t repeated_bytes;
  int64_t sent_bytes;
  bool last_sent;
} member_t;

typedef struct
{
  const crowd_t *crowd;
  const site_rig_t *rig;
  member_t *members;
  crowd_result_t result;
  int64_t sample_due_ms;
} play_t;

/* --- the host --- */

static void
sample (play_t *play)
{
  int64_t now_ms = clock_boot_ms ();

  if (now_ms < play->sample_due_ms)
    return;
  play->sample_due_ms = now_ms + SAMPLE_MS;
  site_usage_t usage = site_read_usage (play->rig->hosts[HOST]);
  crowd_result_t *result = &play->result;
  result->resident_bytes = MAX (result->resident_bytes, usage.resident_max_bytes);
  result->descriptors = MAX (result->descriptors, usage.descriptors);
  result->channels = MAX (result->channels, usage.channels);
}

static int
count_limit_lines (const site_rig_t *rig, crowd_listener_t listener)
{
  static const char *const lines[] = {
    [CROWD_FRONTEND] = "\"event\":\"clients_limited\",\"listener\":\"caller\"",
    [CROWD_READY] = "\"event\":\"clients_limited\",\"listener\":\"ready\"",
    [CROWD_CONTROL_PLANE] = "\"event\":\"clients_limited\"",
  };

  return site_count_lines (rig, HOST, lines[listener]);
}

/* Returns the sum of the counters of LISTENER, or a negative number if one is missing. */
static int
count_limits (const site_rig_t *rig, const char *listener)
{
  static const char *const causes[] = {
    "paused_connections", "paused_descriptors", "closed_idle",
    "closed_bytes",       "refused_requests",   "closed_unread"
  };
  int count = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (causes); i++)
    {
      char *name = g_strdup_printf ("jaytrail_%s_limits_total{cause=\"%s\"}", listener, causes[i]);
      int value = site_host_gauge (rig, HOST, name);
      g_free (name);
      if (value < 0)
        return value;
      count += value;
    }
  return count;
}

static void
read_metrics (play_t *play)
{
  static const char *const listeners[] = { [CROWD_FRONTEND] = "caller", [CROWD_READY] = "ready" };
  int callers_max = site_host_gauge (play->rig, HOST, "jaytrail_caller_connections_max");
  int ready_max = site_host_gauge (play->rig, HOST, "jaytrail_ready_connections_max");

  play->result.clients_max = callers_max > 0 && ready_max > 0 ? callers_max + ready_max : -1;
  if (play->crowd->listener != CROWD_CONTROL_PLANE)
    play->result.limits_counted = count_limits (play->rig, listeners[play->crowd->listener]);
}

static int64_t
log_bytes (const site_rig_t *rig)
{
  char *log = g_strdup_printf ("%s/h%d.log", rig->directory, HOST);
  struct stat info = { 0 };

  CU_ASSERT_EQUAL (stat (log, &info), 0);
  if (info.st_size > LOG_KEPT_BYTES)
    CU_ASSERT_EQUAL (truncate (log, LOG_KEPT_BYTES), 0);
  g_free (log);
  return info.st_size;
}

/* --- the crowd --- */

static char *
with_number (const char *text, int number)
{
  char **parts = g_strsplit (text, "%", -1);
  char *digits = g_strdup_printf ("%016x", (unsigned) number + 1);
  char *whole = g_strjoinv (digits, parts);

  g_free (digits);
  g_strfreev (parts);
  return whole;
}

static char *
repeat (const char *text, int number, size_t *bytes)
{
  char *one = with_number (text, number);
  GString *block = g_string_new (one);

  while (block->len < BLOCK_BYTES)
    g_string_append (block, one);
  *bytes = block->len;
  g_free (one);
  return g_string_free (block, FALSE);
}

/* Connects without waiting for it: a host whose descriptors are used up may not accept, or refuse.
 */
static int
connect_member (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int size = RECEIVE_BUFFER_BYTES;

  CU_ASSERT_FATAL (fd >= 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) != 0)
    CU_ASSERT_TRUE (errno == EINPROGRESS || errno == ECONNREFUSED);
  return fd;
}

static void
open_crowd (play_t *play)
{
  const crowd_t *crowd = play->crowd;
  int port = site_caller_port (play->rig, HOST) + (int) crowd->listener;

  play->members = g_new0 (member_t, crowd->connections);
  for (int i = 0; i < crowd->connections; i++)
    {
      member_t *member = &play->members[i];
      member->fd = connect_member (port);
      member->first = with_number (crowd->first != NULL ? crowd->first : "", i);
      if (crowd->repeated != NULL)
        member->repeated = repeat (crowd->repeated, i, &member->repeated_bytes);
      sample (play);
    }
}

/* What MEMBER sends next, of *BYTES bytes; NULL if it has sent all. */
static const char *
next_bytes (const crowd_t *crowd, const member_t *member, size_t *bytes)
{
  int64_t first_bytes = (int64_t) strlen (member->first);

  if (member->sent_bytes < first_bytes)
    {
      *bytes = (size_t) (first_bytes - member->sent_bytes);
      return member->first + member->sent_bytes;
    }
  if (member->repeated != NULL && member->sent_bytes < crowd->bytes_max)
    {
      size_t at = (size_t) (member->sent_bytes - first_bytes) % member->repeated_bytes;
      *bytes = MIN (member->repeated_bytes - at, (size_t) (crowd->bytes_max - member->sent_bytes));
      return member->repeated + at;
    }
  *bytes = crowd->last != NULL && !member->last_sent ? strlen (crowd->last) : 0;
  return *bytes > 0 ? crowd->last : NULL;
}

/* Sends what the kernel takes at once.  Returns the number of bytes. */
static int64_t
send_next (play_t *play, member_t *member)
{
  size_t bytes = 0;
  const char *text = next_bytes (play->crowd, member, &bytes);
  ssize_t sent = send (member->fd, text, bytes, MSG_NOSIGNAL | MSG_DONTWAIT);

  if (sent < 0 && errno != EAGAIN && errno != ENOTCONN)
    {
      close (member->fd);
      member->fd = -1;
      play->result.refused++;
    }
  if (sent <= 0)
    return 0;
  member->last_sent = text == play->crowd->last;
  member->sent_bytes += sent;
  play->result.sent_bytes += sent;
  return sent;
}

/* One turn of all members.  Returns the bytes sent, or -1 if none has more to send. */
static int64_t
send_turn (play_t *play)
{
  struct pollfd *poll_fds = g_new0 (struct pollfd, play->crowd->connections);
  int64_t sent = 0;
  size_t bytes = 0;
  int sending = 0;

  for (int i = 0; i < play->crowd->connections; i++)
    {
      bool more = next_bytes (play->crowd, &play->members[i], &bytes) != NULL;
      poll_fds[i] = (struct pollfd){ .fd = more ? play->members[i].fd : -1, .events = POLLOUT };
      sending += poll_fds[i].fd >= 0;
    }
  if (sending > 0 && poll (poll_fds, (nfds_t) play->crowd->connections, SAMPLE_MS) > 0)
    for (int i = 0; i < play->crowd->connections; i++)
      if (poll_fds[i].revents != 0)
        sent += send_next (play, &play->members[i]);
  g_free (poll_fds);
  return sending > 0 ? sent : -1;
}

static void
send_all (play_t *play)
{
  int64_t until_ms = clock_boot_ms () + SENDING_MS;
  int64_t stuck_ms = clock_boot_ms () + STUCK_MS;
  int64_t sent = 0;

  while (sent >= 0 && clock_boot_ms () < MIN (until_ms, stuck_ms))
    {
      sent = send_turn (play);
      if (sent > 0)
        stuck_ms = clock_boot_ms () + STUCK_MS;
      sample (play);
    }
}

static void
stay (play_t *play)
{
  int64_t until_ms = clock_boot_ms () + STAY_MS;

  while (clock_boot_ms () < until_ms)
    {
      clock_sleep_ms (SAMPLE_MS);
      sample (play);
    }
}

static bool
is_closed_by_host (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };

  return poll (&poll_fd, 1, 0) > 0;
}

static void
close_crowd (play_t *play)
{
  for (int i = 0; i < play->crowd->connections; i++)
    {
      member_t *member = &play->members[i];
      if (member->fd >= 0)
        {
          play->result.refused += is_closed_by_host (member->fd);
          close (member->fd);
        }
      g_free (member->first);
      g_free (member->repeated);
    }
  g_free (play->members);
}

/* --- afterwards --- */

/* One request that can be repeated, until it is answered or refused. */
static int
ordinary_status (const site_rig_t *rig, int64_t until_ms)
{
  char *target = g_strdup_printf ("/q/%016x", ORDINARY_JOB);
  char *body = site_job_body (1, ORDINARY_WORK_MS, "");
  int fd = site_connect ("127.0.0.1", site_caller_port (rig, HOST));
  int status = 0;

  if (fd >= 0)
    {
      site_send_request (fd, "POST", target, body, CROWD_QUEUE_TIMEOUT_MS);
      status = site_read_response (fd, until_ms).status;
      close (fd);
    }
  g_free (body);
  g_free (target);
  return status;
}

/* A refusal (429, 503) may be tried again, as every caller does; nothing else may. */
static bool
is_answered (const site_rig_t *rig)
{
  int64_t until_ms = clock_boot_ms () + GUARD_MS;
  int status = ordinary_status (rig, until_ms);

  while ((status == 429 || status == 503) && clock_boot_ms () < until_ms)
    {
      clock_sleep_ms (SAMPLE_MS);
      status = ordinary_status (rig, until_ms);
    }
  if (status != 200)
    printf ("  ordinary request: status %d\n", status);
  return status == 200;
}

static bool
host_lives (site_rig_t *rig)
{
  if (waitpid (rig->hosts[HOST], NULL, WNOHANG) == 0)
    return true;
  rig->hosts[HOST] = 0;
  return false;
}

static void
print_figures (const play_t *play)
{
  const crowd_result_t *result = &play->result;

  printf ("  %s: %d KB sent, resident %d to %d KB, descriptors %d (channels %d), log %d KB, %d "
          "closed, %s, %s\n",
          play->crowd->name, (int) (result->sent_bytes / KIB), (int) (result->idle_bytes / KIB),
          (int) (result->resident_bytes / KIB), result->descriptors, result->channels,
          (int) (result->log_bytes / KIB), result->refused, result->lives ? "lives" : "ENDED",
          result->answers ? "answers" : "NO ANSWER");
  (void) fflush (stdout);
}

/* The test itself needs a descriptor for each connection. */
static void
raise_descriptor_limit (void)
{
  struct rlimit files;

  CU_ASSERT_EQUAL (getrlimit (RLIMIT_NOFILE, &files), 0);
  files.rlim_cur = files.rlim_max;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &files), 0);
}

crowd_result_t
crowd_play (const crowd_t *crowd, const site_limits_t *limits)
{
  site_rig_t rig;
  play_t play = { .crowd = crowd, .rig = &rig };

  site_rig_start_limited (&rig, limits);
  raise_descriptor_limit ();
  site_put_queue (&rig, QUEUE_VERSION, "/q/", CROWD_QUEUE_TIMEOUT_MS);
  CU_ASSERT_TRUE (site_wait_for_queue (&rig, "/q/", SITE_TEST_TIMEOUT_MS));
  play.result.idle_bytes = site_read_usage (rig.hosts[HOST]).resident_bytes;
  open_crowd (&play);
  send_all (&play);
  stay (&play);
  close_crowd (&play);
  play.result.limit_lines = count_limit_lines (&rig, crowd->listener);
  play.result.log_bytes = log_bytes (&rig);
  play.result.answers = is_answered (&rig);
  read_metrics (&play);
  play.sample_due_ms = 0;
  sample (&play);
  play.result.lives = host_lives (&rig);
  print_figures (&play);
  site_rig_stop (&rig);
  return play.result;
}
