/* test_web_client.c -- HTTP client against servers that misbehave: what a call gets, and memory */
#include "base/clock.h"
#include "reactor/web.h"
#include "tests/held_memory.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define MIB (1024 * 1024)
#define WAIT_MAX_MS 20000
#define CALL_TIMEOUT_MS 10000
/* Servers that begin a large answer each and do not end it. */
#define UNFINISHED_CALLS 16
#define UNFINISHED_BYTES (6 * MIB)
#define UNFINISHED_MEMORY_MAX_BYTES (80 * MIB)
#define FILES_CALLS 20

/* One server: answers each connection with HEAD, then BODY_BYTES zeros, and leaves it open. */
typedef struct
{
  const char *head;
  gsize body_bytes;
  int listen_fd;
  char address[32];
  GThread *thread;
  atomic_bool stopping;
} server_t;

typedef struct
{
  int ended;
  int answered;
  int status;
  char body[64];
} result_t;

typedef struct
{
  loop_t *loop;
  web_client_t *client;
  result_t result;
  int ended_wanted;
  int64_t give_up_at_ms;
  int64_t before_bytes;
  int64_t most_bytes;
} rig_t;

/* --- server --- */

static void
send_all (server_t *server, int fd, const char *data, gsize size)
{
  while (size > 0 && !atomic_load (&server->stopping))
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN)
        return;
      if (sent < 0)
        clock_sleep_ms (1);
      else
        {
          data += sent;
          size -= (gsize) sent;
        }
    }
}

static void *
run_server (void *data)
{
  server_t *server = data;
  char *zeros = g_malloc0 (server->body_bytes + 1);
  GArray *fds = g_array_new (FALSE, FALSE, sizeof (int));
  int fd = -1;

  while ((fd = accept (server->listen_fd, NULL, NULL)) >= 0)
    {
      char request[4096];
      g_array_append_val (fds, fd);
      if (recv (fd, request, sizeof request, 0) <= 0)
        continue;
      send_all (server, fd, server->head, strlen (server->head));
      send_all (server, fd, zeros, server->body_bytes);
    }
  for (guint i = 0; i < fds->len; i++)
    close (g_array_index (fds, int, i));
  g_array_unref (fds);
  g_free (zeros);
  return NULL;
}

static void
server_start (server_t *server, const char *head, gsize body_bytes)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  server->head = head;
  server->body_bytes = body_bytes;
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (bind (server->listen_fd, (struct sockaddr *) &address, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (server->listen_fd, 64), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (server->listen_fd, (struct sockaddr *) &address, &size), 0);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%d", ntohs (address.sin_port));
  server->thread = g_thread_new ("server", run_server, server);
}

static void
server_stop (server_t *server)
{
  atomic_store (&server->stopping, true);
  shutdown (server->listen_fd, SHUT_RDWR);
  g_thread_join (server->thread);
  close (server->listen_fd);
}

/* --- calls --- */

static void
on_tick (void *data)
{
  rig_t *rig = data;
  int64_t now_ms = clock_boot_ms ();

  web_client_tick (rig->client, now_ms);
  rig->most_bytes = MAX (rig->most_bytes, held_memory_bytes () - rig->before_bytes);
  if (rig->result.ended >= rig->ended_wanted || now_ms >= rig->give_up_at_ms)
    loop_stop (rig->loop);
}

static void
on_done (const web_call_answer_t *answer, void *data)
{
  result_t *result = data;

  result->ended++;
  if (answer->result != WEB_CALL_ANSWERED)
    return;
  result->answered++;
  result->status = answer->status;
  g_strlcpy (result->body, answer->body, sizeof result->body);
}

static void
call (rig_t *rig, const char *address)
{
  web_call_options_t options = { .address = address,
                                 .method = "GET",
                                 .target = "/",
                                 .deadline_at_ms = clock_boot_ms () + CALL_TIMEOUT_MS,
                                 .done = on_done,
                                 .data = &rig->result };

  web_call_start (rig->client, &options);
}

static void
rig_start (rig_t *rig)
{
  *rig = (rig_t){ 0 };
  rig->loop = loop_new (5, on_tick, rig);
  rig->client = web_client_new (rig->loop);
  rig->before_bytes = held_memory_bytes ();
}

static void
rig_stop (rig_t *rig)
{
  web_client_free (rig->client);
  loop_free (rig->loop);
}

/* Waits for the end of COUNT calls. */
static void
wait_for_ends (rig_t *rig, int count)
{
  rig->ended_wanted = count;
  rig->give_up_at_ms = clock_boot_ms () + WAIT_MAX_MS;
  loop_run (rig->loop);
  CU_ASSERT_EQUAL (rig->result.ended, count);
}

/* An ordinary call must be answered. */
static void
check_ordinary_call (rig_t *rig)
{
  server_t server = { 0 };

  server_start (&server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0);
  rig->result = (result_t){ 0 };
  call (rig, server.address);
  wait_for_ends (rig, 1);
  CU_ASSERT_EQUAL (rig->result.status, 200);
  CU_ASSERT_STRING_EQUAL (rig->result.body, "ok");
  server_stop (&server);
}

/* --- tests --- */

/* An answer ends where its length says; what follows belongs to no call. */
static void
test_second_answer (void)
{
  rig_t rig;
  server_t server = { 0 };

  server_start (&server,
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
                "HTTP/1.1 503 No\r\nContent-Length: 6\r\n\r\nsecond",
                0);
  rig_start (&rig);
  call (&rig, server.address);
  wait_for_ends (&rig, 1);
  CU_ASSERT_EQUAL (rig.result.status, 200);
  CU_ASSERT_STRING_EQUAL (rig.result.body, "first");
  check_ordinary_call (&rig);
  rig_stop (&rig);
  server_stop (&server);
}

/* Answers that never end have a bound together; each call ends. */
static void
test_unfinished_answers (void)
{
  rig_t rig;
  server_t server = { 0 };

  server_start (&server, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n", UNFINISHED_BYTES);
  rig_start (&rig);
  for (int i = 0; i < UNFINISHED_CALLS; i++)
    call (&rig, server.address);
  wait_for_ends (&rig, UNFINISHED_CALLS);
  CU_ASSERT_EQUAL (rig.result.answered, 0);
  CU_ASSERT_TRUE (rig.most_bytes <= UNFINISHED_MEMORY_MAX_BYTES);
  check_ordinary_call (&rig);
  rig_stop (&rig);
  server_stop (&server);
}

/* Headers without an end fail the call. */
static void
test_endless_headers (void)
{
  rig_t rig;
  server_t server = { 0 };
  GString *head = g_string_new ("HTTP/1.1 200 OK\r\n");

  while (head->len < MIB)
    g_string_append (head, "X-Endless: 0123456789\r\n");
  server_start (&server, head->str, 0);
  rig_start (&rig);
  call (&rig, server.address);
  wait_for_ends (&rig, 1);
  CU_ASSERT_EQUAL (rig.result.answered, 0);
  check_ordinary_call (&rig);
  rig_stop (&rig);
  server_stop (&server);
  g_string_free (head, TRUE);
}

/* Without a descriptor a call fails; a later one is answered. */
static void
test_no_descriptors (void)
{
  rig_t rig;
  server_t server = { 0 };
  struct rlimit old;

  server_start (&server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0);
  rig_start (&rig);
  getrlimit (RLIMIT_NOFILE, &old);
  struct rlimit low = { .rlim_cur = 3, .rlim_max = old.rlim_max };
  setrlimit (RLIMIT_NOFILE, &low);
  for (int i = 0; i < FILES_CALLS; i++)
    call (&rig, server.address);
  CU_ASSERT_EQUAL (rig.result.ended, 0);
  setrlimit (RLIMIT_NOFILE, &old);
  wait_for_ends (&rig, FILES_CALLS);
  CU_ASSERT_EQUAL (rig.result.answered, 0);
  check_ordinary_call (&rig);
  rig_stop (&rig);
  server_stop (&server);
}

static const unit_test_t tests[] = {
  { "a second answer", test_second_answer },
  { "unfinished answers", test_unfinished_answers },
  { "endless headers", test_endless_headers },
  { "no descriptors", test_no_descriptors },
};

int
main (void)
{
  return unit_run ("web client", tests, G_N_ELEMENTS (tests));
}
