/* test_web_server.c -- lib/reactor web server: how its connections end, requests that are sent
 * ahead of answers, and clients that make it hold much */
#include "base/clock.h"
#include "reactor/web.h"
#include "tests/port_block.h"
#include "tests/site_call.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define TICK_MS 5
#define LIMIT_BYTES 4096
#define LIMIT_MS 10000
/* More than the client's receive buffer, less than the server's send buffer. */
#define ANSWER_BYTES (32 * 1024)
#define CLIENT_BUFFER_BYTES 4096
#define CHUNK_BYTES 2048
#define CHUNK_INTERVAL_MS 10
/* By then the server has passed the whole answer to the kernel. */
#define SENT_AFTER_MS 300
#define READ_TIMEOUT_MS 10000
/* A server keeps a connection open for this long after its last answer, and a tick or two. */
#define CLOSED_AFTER_MS 3000
/* What a client without bounds sends, and how long it goes on when nothing is taken any more. */
#define GET_REQUEST "GET /b HTTP/1.1\r\n\r\n"
#define FLOOD_BYTES (8 * 1024 * 1024)
#define HALF_HEAD "GET /b HTTP/1.1\r\nHost: a.exa"
#define POST_HEAD "POST /b HTTP/1.1\r\nContent-Length: 4096\r\n\r\n"
/* A whole request that a server reads at once. */
#define POST_2500_HEAD "POST /b HTTP/1.1\r\nContent-Length: 2500\r\n\r\n"
#define CROWD_BYTES_MAX (200 * 1024)
/* Connections, and how many of them the server has descriptors for. */
#define OUT_OF_REACH 20
#define REACHED 5
#define LAST_REQUESTS "GET /a HTTP/1.1\r\n\r\n"
/* More than the server's timeout for answers that are not read. */
#define UNREAD_AHEAD_MS 30000
#define UNREAD_REQUESTS 2000
#define FLOOD_PATIENCE_MS 300
/* One request at the limits, an answer, and what the strings of a request take when empty. */
#define HELD_BYTES_MAX (128 * 1024)

static const port_range_t test_ports = { .first_port = 9900, .ports = 2, .blocks = 30 };

typedef struct
{
  port_block_t ports;
  loop_t *loop;
  web_server_t *server;
  GThread *thread;
  gint connections; /* as of the last tick */
  gint nested;      /* requests that were passed on within an answer */
  bool answering;
  bool answers_later; /* at the next tick */
  gint holds_answers; /* none is sent */
  gint connections_most;
  gint ahead_ms;      /* of the clock that ticks show */
  gint abandoned;     /* requests whose client has gone */
  gint held_bytes;    /* the most as of a tick */
  gint idle_ms;       /* before the last request */
  GPtrArray *waiting; /* web_request_t */
} rig_t;

static void
on_request (web_request_t *request, void *data)
{
  char *body = g_strnfill (ANSWER_BYTES, 'a');

  (void) data;
  web_reply (request, 200, NULL, body);
  g_free (body);
}

static void
answer (rig_t *rig, web_request_t *request)
{
  rig->answering = true;
  web_reply (request, 200, NULL, "{}");
  rig->answering = false;
}

static void
on_counted_request (web_request_t *request, void *data)
{
  rig_t *rig = data;

  g_atomic_int_set (&rig->idle_ms, (gint) request->idle_ms);
  if (rig->answering)
    g_atomic_int_inc (&rig->nested);
  if (rig->answers_later)
    g_ptr_array_add (rig->waiting, request);
  else
    answer (rig, request);
}

static void
on_abandoned (web_request_t *request, void *data)
{
  rig_t *rig = data;

  g_atomic_int_inc (&rig->abandoned);
  g_ptr_array_remove (rig->waiting, request);
}

static void
on_tick (void *data)
{
  rig_t *rig = data;

  if (rig->server == NULL)
    return;
  while (rig->waiting->len > 0 && !g_atomic_int_get (&rig->holds_answers))
    answer (rig, g_ptr_array_remove_index (rig->waiting, 0));
  web_server_tick (rig->server, clock_boot_ms () + g_atomic_int_get (&rig->ahead_ms));
  gint held_bytes = (gint) web_server_load (rig->server).held_bytes;
  if (held_bytes > g_atomic_int_get (&rig->held_bytes))
    g_atomic_int_set (&rig->held_bytes, held_bytes);
  if (web_server_connections (rig->server) > g_atomic_int_get (&rig->connections_most))
    g_atomic_int_set (&rig->connections_most, web_server_connections (rig->server));
  g_atomic_int_set (&rig->connections, web_server_connections (rig->server));
}

static void *
run_loop (void *data)
{
  loop_run (((rig_t *) data)->loop);
  return NULL;
}

static const web_server_handlers_t large_answers = { on_request, on_abandoned };
static const web_server_handlers_t counted_requests = { on_counted_request, on_abandoned };

static void
rig_start_with (rig_t *rig,
                const web_server_handlers_t *handlers,
                bool answers_later,
                const web_budget_t *budget)
{
  *rig = (rig_t){ .answers_later = answers_later, .waiting = g_ptr_array_new () };
  CU_ASSERT_EQUAL_FATAL (port_block_take (&test_ports, &rig->ports), 0);
  char *address = g_strdup_printf ("127.0.0.1:%d", rig->ports.first_port);
  web_server_options_t options = { .address = address,
                                   .limits = { LIMIT_BYTES, LIMIT_BYTES, LIMIT_MS, LIMIT_MS },
                                   .handlers = handlers,
                                   .data = rig,
                                   .budget = *budget };

  rig->loop = loop_new (TICK_MS, on_tick, rig);
  CU_ASSERT_EQUAL_FATAL (web_server_start (rig->loop, &options, &rig->server), 0);
  if (handlers == &large_answers)
    web_server_drain (rig->server, LIMIT_MS);
  rig->thread = g_thread_new ("server", run_loop, rig);
  g_free (address);
}

static void
rig_start (rig_t *rig, const web_server_handlers_t *handlers, bool answers_later)
{
  rig_start_with (rig, handlers, answers_later, &(web_budget_t){ 0 });
}

static void
rig_stop (rig_t *rig)
{
  loop_stop (rig->loop);
  g_thread_join (rig->thread);
  web_server_free (rig->server);
  loop_free (rig->loop);
  g_ptr_array_unref (rig->waiting);
  port_block_free (&rig->ports);
}

static void
wait_until_closed (rig_t *rig)
{
  int64_t until_ms = clock_boot_ms () + CLOSED_AFTER_MS;

  while (g_atomic_int_get (&rig->connections) > 0 && clock_boot_ms () < until_ms)
    clock_sleep_ms (TICK_MS);
  CU_ASSERT_EQUAL (g_atomic_int_get (&rig->connections), 0);
}

static int
connect_with_small_buffer (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int bytes = CLIENT_BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

/* Reads slowly until the server closes its side.  Returns the number of bytes, or -1 if the
 * connection was reset. */
static ssize_t
read_slowly (int fd)
{
  char chunk[CHUNK_BYTES];
  ssize_t total = 0;
  int64_t until_ms = clock_boot_ms () + READ_TIMEOUT_MS;

  while (clock_boot_ms () < until_ms)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      if (poll (&poll_fd, 1, READ_TIMEOUT_MS) <= 0)
        break;
      ssize_t received = recv (fd, chunk, sizeof chunk, 0);
      if (received <= 0)
        return received < 0 ? -1 : total;
      total += received;
      clock_sleep_ms (CHUNK_INTERVAL_MS);
    }
  return total;
}

static const struct
{
  const char *name;
  const char *sent_later; /* after the server has written its last answer */
  bool closes;            /* the client closes its side once it has read all */
} last_answer_cases[] = {
  { "the client reads slowly", "", true },
  { "the client sends another request meanwhile", "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    true },
  { "the client never closes its side", "", false },
};

/* The last answer on a connection was lost if the client had not received it when the server closed
 * the connection, and sent anything after that: the server's end then resets the connection. */
static void
test_last_answer_arrives_whole (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (last_answer_cases); i++)
    {
      rig_t rig;

      rig_start (&rig, &large_answers, false);
      int fd = connect_with_small_buffer (rig.ports.first_port);
      site_send_request (fd, "POST", "/", "", LIMIT_MS);
      clock_sleep_ms (SENT_AFTER_MS);
      const char *later = last_answer_cases[i].sent_later;
      (void) !send (fd, later, strlen (later), MSG_NOSIGNAL);
      clock_sleep_ms (SENT_AFTER_MS);
      ssize_t received = read_slowly (fd);
      if (received <= ANSWER_BYTES)
        printf ("  %s: %zd\n", last_answer_cases[i].name, received);
      CU_ASSERT_TRUE (received > ANSWER_BYTES);
      if (last_answer_cases[i].closes)
        close (fd);
      wait_until_closed (&rig);
      if (!last_answer_cases[i].closes)
        close (fd);
      rig_stop (&rig);
    }
}

#define GET_TEXT "GET / HTTP/1.1\r\n\r\n"
#define POST_TEXT "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"

static const struct
{
  const char *name;
  const char *first;
  const char *second;
  int times; /* the second is sent this often */
  int answers;
} ahead_cases[] = {
  { "one request", POST_TEXT, GET_TEXT, 1, 2 },
  { "one with a body", GET_TEXT, POST_TEXT, 1, 2 },
  { "many requests", POST_TEXT, POST_TEXT, 200, 201 },
  { "not HTTP", POST_TEXT, "???\r\n\r\n", 1, 2 },
  { "half a request", POST_TEXT, "GET / HT", 1, 1 },
};

/* Returns the number of answers that arrive until there are COUNT, or the server closes its side.
 */
static int
count_answers (int fd, int count)
{
  GString *text = g_string_new (NULL);
  char chunk[CHUNK_BYTES];
  int answers = 0;
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  while (answers < count && poll (&poll_fd, 1, READ_TIMEOUT_MS) > 0)
    {
      ssize_t received = recv (fd, chunk, sizeof chunk, 0);
      if (received <= 0)
        break;
      g_string_append_len (text, chunk, received);
      answers = 0;
      for (const char *at = strstr (text->str, "HTTP/1.1 "); at != NULL;
           at = strstr (at + 1, "HTTP/1.1 "))
        answers++;
    }
  g_string_free (text, TRUE);
  return answers;
}

static void
play_ahead_case (size_t number, bool answers_later, bool closes)
{
  GString *text = g_string_new (ahead_cases[number].first);
  rig_t rig;

  for (int i = 0; i < ahead_cases[number].times; i++)
    g_string_append (text, ahead_cases[number].second);
  rig_start (&rig, &counted_requests, answers_later);
  int fd = site_connect ("127.0.0.1", rig.ports.first_port);
  (void) !send (fd, text->str, text->len, MSG_NOSIGNAL);
  int answers = closes ? 0 : count_answers (fd, ahead_cases[number].answers);
  close (fd);
  clock_sleep_ms (2 * TICK_MS);
  wait_until_closed (&rig);
  rig_stop (&rig);
  if (!closes && answers != ahead_cases[number].answers)
    printf ("  %s: %d answers\n", ahead_cases[number].name, answers);
  if (!closes)
    CU_ASSERT_EQUAL (answers, ahead_cases[number].answers);
  if (rig.nested != 0)
    printf ("  %s: %d within an answer\n", ahead_cases[number].name, rig.nested);
  CU_ASSERT_EQUAL (rig.nested, 0);
  g_string_free (text, TRUE);
}

/* A request that was sent ahead of an answer was passed on within web_reply (), while the handlers
 * were in the middle of a change of their state. */
static void
test_requests_ahead_of_answers (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ahead_cases); i++)
    for (int later = 0; later <= 1; later++)
      for (int closes = 0; closes <= 1; closes++)
        play_ahead_case (i, later != 0, closes != 0);
}

/* --- clients that make the server hold much --- */

/* A server that has stopped reading waits: most of the time it uses no processor. */
static void
check_server_waits (const char *name)
{
  clock_t used = clock ();

  clock_sleep_ms (SENT_AFTER_MS);
  used = clock () - used;
  if (used * 1000 / CLOCKS_PER_SEC > SENT_AFTER_MS / 2)
    printf ("  %s: %ld ms of the processor\n", name, (long) (used * 1000 / CLOCKS_PER_SEC));
  CU_ASSERT (used * 1000 / CLOCKS_PER_SEC <= SENT_AFTER_MS / 2);
}

/* Sends TEXT again and again until BYTES are sent or nothing is taken any more. */
static void
flood (int fd, const char *text, size_t bytes)
{
  GString *chunk = g_string_new (NULL);
  size_t sent_bytes = 0;

  while (bytes > 0 && chunk->len < CHUNK_BYTES * 8)
    g_string_append (chunk, text);
  while (sent_bytes < bytes)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
      size_t offset = sent_bytes % chunk->len;
      if (poll (&poll_fd, 1, FLOOD_PATIENCE_MS) <= 0)
        break;
      ssize_t sent = send (fd, chunk->str + offset, MIN (chunk->len - offset, bytes - sent_bytes),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0)
        break;
      sent_bytes += (size_t) sent;
    }
  g_string_free (chunk, TRUE);
}

static const struct
{
  const char *name;
  size_t bytes;
  bool seen_gone; /* the client's disconnect is seen while its request waits */
} behind_cases[] = {
  { "one request", 1, true },
  { "less than is read ahead", LIMIT_BYTES, true },
  { "more than is read ahead, less than the kernel takes", 8 * LIMIT_BYTES, true },
  { "without a bound", FLOOD_BYTES, false },
};

/* Input was read without a bound while a request waited for its answer. */
static void
test_input_behind_open_request (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (behind_cases); i++)
    {
      rig_t rig;
      rig_start (&rig, &counted_requests, true);
      g_atomic_int_set (&rig.holds_answers, 1);
      int fd = site_connect ("127.0.0.1", rig.ports.first_port);
      flood (fd, GET_REQUEST, strlen (GET_REQUEST) + behind_cases[i].bytes);
      check_server_waits (behind_cases[i].name);
      if (g_atomic_int_get (&rig.held_bytes) > HELD_BYTES_MAX)
        printf ("  %s: %d bytes held\n", behind_cases[i].name, rig.held_bytes);
      CU_ASSERT (g_atomic_int_get (&rig.held_bytes) <= HELD_BYTES_MAX);
      CU_ASSERT_EQUAL (g_atomic_int_get (&rig.abandoned), 0);
      close (fd);
      if (!behind_cases[i].seen_gone)
        g_atomic_int_set (&rig.holds_answers, 0);
      wait_until_closed (&rig);
      if (behind_cases[i].seen_gone)
        CU_ASSERT_EQUAL (g_atomic_int_get (&rig.abandoned), 1);
      rig_stop (&rig);
    }
}

/* Answers were queued whether the client read them or not, and each let the next request be parsed.
 * A client that reads them later gets all of them. */
static void
test_answers_not_read (void)
{
  for (int later = 0; later <= 1; later++)
    {
      rig_t rig;
      rig_start (&rig, &counted_requests, later != 0);
      int fd = connect_with_small_buffer (rig.ports.first_port);
      flood (fd, GET_REQUEST, UNREAD_REQUESTS * strlen (GET_REQUEST));
      clock_sleep_ms (SENT_AFTER_MS);
      CU_ASSERT_EQUAL (count_answers (fd, UNREAD_REQUESTS), UNREAD_REQUESTS);
      flood (fd, GET_REQUEST, FLOOD_BYTES);
      check_server_waits ("unread answers");
      if (g_atomic_int_get (&rig.held_bytes) > HELD_BYTES_MAX)
        printf ("  %d bytes held\n", rig.held_bytes);
      CU_ASSERT (g_atomic_int_get (&rig.held_bytes) <= HELD_BYTES_MAX);
      close (fd);
      wait_until_closed (&rig);
      rig_stop (&rig);
    }
}

/* A connection whose last answer was not read stayed for as long as its client acknowledged
 * anything.  The ticks here come from a clock that is ahead. */
static void
test_last_answer_not_read (void)
{
  rig_t rig;
  char chunk[CHUNK_BYTES];

  rig_start (&rig, &large_answers, false);
  int fd = connect_with_small_buffer (rig.ports.first_port);
  flood (fd, LAST_REQUESTS, strlen (LAST_REQUESTS));
  clock_sleep_ms (SENT_AFTER_MS);
  CU_ASSERT_EQUAL (g_atomic_int_get (&rig.connections), 1);
  for (int i = 1; i <= 2; i++)
    {
      (void) !recv (fd, chunk, sizeof chunk, 0);
      clock_sleep_ms (SENT_AFTER_MS);
      g_atomic_int_set (&rig.ahead_ms, i * UNREAD_AHEAD_MS);
      clock_sleep_ms (SENT_AFTER_MS);
    }
  CU_ASSERT_EQUAL (g_atomic_int_get (&rig.connections), 0);
  close (fd);
  rig_stop (&rig);
}

/* --- crowds of connections --- */

typedef struct
{
  const char *name;
  web_budget_t budget;
  int connections;
  const char *sent; /* on each connection */
  int sent_more_bytes;
  bool holds_answers;
  bool stays; /* the crowd is still there when the ordinary request comes */
  int64_t least[WEB_LIMIT_COUNT];
} crowd_case_t;

static const crowd_case_t crowd_cases[] = {
  { "more connections than allowed, then gone",
    { 8, INT64_MAX },
    40,
    HALF_HEAD,
    0,
    false,
    false,
    { [WEB_LIMIT_CONNECTIONS] = 1 } },
  { "more connections than allowed, idle",
    { 8, INT64_MAX },
    40,
    GET_REQUEST,
    0,
    false,
    true,
    { [WEB_LIMIT_CONNECTIONS] = 1, [WEB_LIMIT_ROOM] = 1 } },
  { "more connections than allowed, never used",
    { 8, INT64_MAX },
    40,
    "",
    0,
    false,
    true,
    { [WEB_LIMIT_CONNECTIONS] = 1, [WEB_LIMIT_ROOM] = 1 } },
  { "bodies that never end",
    { 25, CROWD_BYTES_MAX },
    100,
    POST_HEAD,
    4000,
    false,
    true,
    { [WEB_LIMIT_BYTES] = 1 } },
  { "requests that wait",
    { 25, CROWD_BYTES_MAX },
    100,
    POST_2500_HEAD,
    2500,
    true,
    false,
    { [WEB_LIMIT_REQUESTS] = 1 } },
};

static void
play_crowd (const crowd_case_t *crowd)
{
  rig_t rig;
  int *fds = g_new0 (int, crowd->connections);

  rig_start_with (&rig, &counted_requests, true, &crowd->budget);
  g_atomic_int_set (&rig.holds_answers, crowd->holds_answers);
  for (int i = 0; i < crowd->connections; i++)
    {
      fds[i] = site_connect ("127.0.0.1", rig.ports.first_port);
      char *more = g_strnfill ((gsize) crowd->sent_more_bytes, ' ');
      char *sent = g_strconcat (crowd->sent, more, NULL);
      flood (fds[i], sent, strlen (sent));
      g_free (sent);
      g_free (more);
    }
  check_server_waits (crowd->name);
  CU_ASSERT_EQUAL (g_atomic_int_get (&rig.abandoned), 0);
  g_atomic_int_set (&rig.holds_answers, 0);
  for (int i = 0; i < crowd->connections && !crowd->stays; i++)
    close (fds[i]);
  int fd = site_connect ("127.0.0.1", rig.ports.first_port);
  (void) !send (fd, GET_REQUEST, strlen (GET_REQUEST), MSG_NOSIGNAL);
  int answers = count_answers (fd, 1);
  if (answers != 1)
    printf ("  %s: %d answers\n", crowd->name, answers);
  CU_ASSERT_EQUAL (answers, 1);
  close (fd);
  for (int i = 0; i < crowd->connections && crowd->stays; i++)
    close (fds[i]);
  wait_until_closed (&rig);
  CU_ASSERT (rig.connections_most <= crowd->budget.connections_max);
  CU_ASSERT (rig.held_bytes - crowd->budget.connections_max * WEB_CONNECTION_BYTES
             <= crowd->budget.held_bytes_max);
  web_server_load_t load = web_server_load (rig.server);
  CU_ASSERT_EQUAL (load.held_bytes, 0);
  for (int i = 0; i < WEB_LIMIT_COUNT; i++)
    if (load.limit_counts[i] < crowd->least[i])
      printf ("  %s: limit %d: %d times, %d connections and %d bytes at most\n", crowd->name, i,
              (int) load.limit_counts[i], rig.connections_most, rig.held_bytes);
  for (int i = 0; i < WEB_LIMIT_COUNT; i++)
    CU_ASSERT (load.limit_counts[i] >= crowd->least[i]);
  rig_stop (&rig);
  g_free (fds);
}

/* Bounds for each connection didn't bound their number, nor what they hold together. */
static void
test_crowds (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (crowd_cases); i++)
    play_crowd (&crowd_cases[i]);
}

/* Without descriptors the server used its processor without pause, and wrote an error to standard
 * error for each of its tries. */
static void
test_descriptors_run_out (void)
{
  rig_t rig;
  struct rlimit before;
  int fds[OUT_OF_REACH];

  rig_start (&rig, &counted_requests, true);
  getrlimit (RLIMIT_NOFILE, &before);
  for (int i = 0; i < OUT_OF_REACH; i++)
    fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct rlimit few = { .rlim_cur = (rlim_t) fds[OUT_OF_REACH - 1] + 1 + REACHED,
                        .rlim_max = before.rlim_max };
  setrlimit (RLIMIT_NOFILE, &few);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t) rig.ports.first_port) };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (int i = 0; i < OUT_OF_REACH; i++)
    CU_ASSERT_EQUAL (connect (fds[i], (struct sockaddr *) &address, sizeof address), 0);
  check_server_waits ("descriptors have run out");
  CU_ASSERT_EQUAL (g_atomic_int_get (&rig.connections), REACHED);
  for (int i = 1; i < OUT_OF_REACH; i++)
    close (fds[i]);
  (void) !send (fds[0], GET_REQUEST, strlen (GET_REQUEST), MSG_NOSIGNAL);
  CU_ASSERT_EQUAL (count_answers (fds[0], 1), 1);
  int fd = site_connect ("127.0.0.1", rig.ports.first_port);
  (void) !send (fd, GET_REQUEST, strlen (GET_REQUEST), MSG_NOSIGNAL);
  CU_ASSERT_EQUAL (count_answers (fd, 1), 1);
  close (fd);
  close (fds[0]);
  setrlimit (RLIMIT_NOFILE, &before);
  wait_until_closed (&rig);
  CU_ASSERT (web_server_load (rig.server).limit_counts[WEB_LIMIT_DESCRIPTORS] >= 1);
  rig_stop (&rig);
}

/* A request tells for how long nothing had come before it, which is long if a cut has held it up.
 */
static void
test_idle_before_requests (void)
{
  static const struct
  {
    const char *name;
    const char *requests;
    int count;
    int64_t pause_ms; /* before them */
    int64_t idle_from_ms;
    int64_t idle_below_ms;
  } parts[] = {
    { "first", GET_REQUEST, 1, 300, 290, INT64_MAX },
    { "at once", GET_REQUEST, 1, 0, 0, 200 },
    { "sent ahead", GET_REQUEST GET_REQUEST, 2, 300, 0, 200 },
    { "late", GET_REQUEST, 1, 600, 590, INT64_MAX },
  };
  rig_t rig;

  rig_start (&rig, &counted_requests, true);
  int fd = site_connect ("127.0.0.1", rig.ports.first_port);
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      clock_sleep_ms (parts[i].pause_ms);
      (void) !send (fd, parts[i].requests, strlen (parts[i].requests), MSG_NOSIGNAL);
      CU_ASSERT_EQUAL (count_answers (fd, parts[i].count), parts[i].count);
      int idle_ms = g_atomic_int_get (&rig.idle_ms);
      CU_ASSERT_TRUE (idle_ms >= parts[i].idle_from_ms && idle_ms < parts[i].idle_below_ms);
      if (idle_ms < parts[i].idle_from_ms || idle_ms >= parts[i].idle_below_ms)
        printf ("  %s: idle for %d ms\n", parts[i].name, idle_ms);
    }
  close (fd);
  wait_until_closed (&rig);
  rig_stop (&rig);
}

static const unit_test_t tests[] = {
  { "the last answer arrives whole", test_last_answer_arrives_whole },
  { "requests ahead of answers", test_requests_ahead_of_answers },
  { "input behind an open request is bounded", test_input_behind_open_request },
  { "answers that are not read are bounded", test_answers_not_read },
  { "a last answer that is not read", test_last_answer_not_read },
  { "crowds of connections", test_crowds },
  { "descriptors run out", test_descriptors_run_out },
  { "idle before requests", test_idle_before_requests },
};

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  return unit_run ("web server", tests, G_N_ELEMENTS (tests));
}
