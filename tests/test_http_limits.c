/* test_http_limits.c -- crowds of clients that misbehave at the multithreaded HTTP server
 *
 * While a crowd is there, the memory of the process stays under a bound that follows from the
 * server's limits; when it has gone, an ordinary request is answered.
 */
#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "tests/held_memory.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MIB (1024 * 1024)
#define THREADS 8
#define CLIENTS 64
#define BODY_MAX_BYTES MIB
#define BODIES_MAX_BYTES (4 * MIB)
#define ANSWER_BYTES (2 * MIB)
#define MEMORY_MAX_BYTES (48 * MIB)
#define ORDINARY_TIMEOUT_MS 60000

typedef struct
{
  const char *name;
  const char *head;
  gsize body_bytes; /* sent after HEAD by each client, which then waits and reads nothing */
} crowd_t;

static const crowd_t crowds[] = {
  { "nothing", "", 0 },
  { "unfinished headers", "GET / HTTP/1.1\r\nHost: x\r\nX-Half: ", 65536 },
  { "unfinished bodies", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n", 900000 },
  { "unread answers",
    "GET /large HTTP/1.1\r\nHost: x\r\n\r\nGET /large HTTP/1.1\r\nHost: x\r\n\r\n", 0 },
};

static void
on_request (const http_request_t *request, http_response_t *response, void *data)
{
  (void) data;
  response->status = 200;
  if (strcmp (request->path, "/large") == 0)
    response->body = g_bytes_new_take (g_malloc0 (ANSWER_BYTES), ANSWER_BYTES);
  else
    response->body = g_bytes_new_static ("ok", 2);
}

/* Starts a server on the first free port from FIRST_PORT.  Returns the port. */
static int
start (http_server_t **server, int first_port)
{
  for (int port = first_port; port < first_port + 1000; port++)
    {
      char *address = g_strdup_printf ("127.0.0.1:%d", port);
      http_server_options_t options = { .address = address,
                                        .threads = THREADS,
                                        .max_body_bytes = BODY_MAX_BYTES,
                                        .max_total_bytes = BODIES_MAX_BYTES,
                                        .handler = on_request };
      int result = http_server_start (&options, server);
      g_free (address);
      if (result == 0)
        return port;
    }
  CU_FAIL_FATAL ("no free port");
  return 0;
}

static int
dial (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t) port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

/* Sends what the socket takes of SIZE bytes. */
static void
send_some (int fd, const char *data, gsize size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
      data += sent;
      size -= (gsize) sent;
    }
}

static void
check_ordinary_request (int port)
{
  char *address = g_strdup_printf ("127.0.0.1:%d", port);
  http_answer_t answer = { 0 };
  http_call_t call = { .method = "GET",
                       .path = "/",
                       .deadline_at_ms = clock_boot_ms () + ORDINARY_TIMEOUT_MS,
                       .max_answer_bytes = 1000 };

  CU_ASSERT_EQUAL (http_call_once (address, &call, &answer), 0);
  http_answer_clear (&answer);
  g_free (address);
}

static void
play (const crowd_t *crowd)
{
  http_server_t *server = NULL;
  int fds[CLIENTS];
  char *body = g_malloc (crowd->body_bytes + 1);

  memset (body, 'x', crowd->body_bytes + 1);
  int port = start (&server, 29100);
  int64_t before = held_memory_bytes ();
  int64_t most = 0;
  for (int i = 0; i < CLIENTS; i++)
    {
      fds[i] = dial (port);
      send_some (fds[i], crowd->head, strlen (crowd->head));
      send_some (fds[i], body, crowd->body_bytes);
    }
  for (int i = 0; i < 50; i++)
    {
      clock_sleep_ms (10);
      most = MAX (most, held_memory_bytes () - before);
    }
  CU_ASSERT_TRUE (most <= MEMORY_MAX_BYTES);
  for (int i = 0; i < CLIENTS; i++)
    close (fds[i]);
  check_ordinary_request (port);
  http_server_stop (server);
  g_free (body);
}

static void
test_crowds (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (crowds); i++)
    {
      int64_t start_ms = clock_boot_ms ();
      play (&crowds[i]);
      printf ("\n  %s: %" G_GINT64_FORMAT " ms", crowds[i].name, clock_boot_ms () - start_ms);
    }
}

static const unit_test_t tests[] = {
  { "crowds", test_crowds },
};

int
main (void)
{
  return unit_run ("http limits", tests, G_N_ELEMENTS (tests));
}
