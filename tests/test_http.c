/* test_http.c -- lib/http client: complete, truncated, hanging and invalid responses */
#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"
#include "http/server.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 300
#define MAX_ANSWER_BYTES 1000
#define REQUEST_MAX_BYTES 4096

/* A server that reads one request and sends fixed bytes.  Then it closes the connection,
 * or keeps it open without sending anything more (HOLD_OPEN). */
typedef struct
{
  int listen_fd;
  uint16_t port;
  const char *bytes;
  bool hold_open;
  int fd;
  GThread *thread;
} raw_server_t;

static void *
serve_raw (void *data)
{
  raw_server_t *server = data;
  char buffer[REQUEST_MAX_BYTES];

  server->fd = accept (server->listen_fd, NULL, NULL);
  (void) !read (server->fd, buffer, sizeof buffer);
  (void) !write (server->fd, server->bytes, strlen (server->bytes));
  if (!server->hold_open)
    {
      close (server->fd);
      server->fd = -1;
    }
  return NULL;
}

static void
raw_start (raw_server_t *server, const char *bytes, bool hold_open)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  *server = (raw_server_t){ .bytes = bytes, .hold_open = hold_open, .fd = -1 };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (server->listen_fd, (struct sockaddr *) &address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (server->listen_fd, 1), 0);
  getsockname (server->listen_fd, (struct sockaddr *) &address, &size);
  server->port = ntohs (address.sin_port);
  server->thread = g_thread_new ("raw", serve_raw, server);
}

static void
raw_stop (raw_server_t *server)
{
  g_thread_join (server->thread);
  if (server->fd >= 0)
    close (server->fd);
  close (server->listen_fd);
}

#define STATUS_LINE "HTTP/1.1 200 OK\r\n"
#define TASK_ID_HEADER "X-Task-Id: 7\r\n"

static const struct
{
  const char *name;
  const char *bytes;
  bool hold_open;
  int result;
  const char *body;
  bool reusable;
} answer_cases[] = {
  { "complete", STATUS_LINE TASK_ID_HEADER "Content-Length: 2\r\n\r\nhi", true, 0, "hi", true },
  { "complete, connection closed",
    STATUS_LINE TASK_ID_HEADER "Connection: close\r\nContent-Length: 2\r\n\r\nhi", false, 0, "hi",
    false },
  { "empty", STATUS_LINE TASK_ID_HEADER "Content-Length: 0\r\n\r\n", true, 0, "", true },
  { "chunked", STATUS_LINE TASK_ID_HEADER "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    true, 0, "hi", true },
  { "chunked, truncated",
    STATUS_LINE TASK_ID_HEADER "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, ERROR_CLOSED,
    NULL, false },
  { "chunked, truncated in a chunk",
    STATUS_LINE TASK_ID_HEADER "Transfer-Encoding: chunked\r\n\r\n5\r\nhi", false, ERROR_CLOSED,
    NULL, false },
  { "truncated body", STATUS_LINE TASK_ID_HEADER "Content-Length: 10\r\n\r\nhi", false,
    ERROR_CLOSED, NULL, false },
  { "hanging body", STATUS_LINE TASK_ID_HEADER "Content-Length: 10\r\n\r\nhi", true, ERROR_TIMEOUT,
    NULL, false },
  { "hanging chunks", STATUS_LINE TASK_ID_HEADER "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
    true, ERROR_TIMEOUT, NULL, false },
  { "hanging header", "HTTP/1.1 200 OK\r\nX-Ta", true, ERROR_TIMEOUT, NULL, false },
  { "truncated header", "HTTP/1.1 200 OK\r\nX-Ta", false, ERROR_CLOSED, NULL, false },
  { "closed without a response", "", false, ERROR_CLOSED, NULL, false },
  { "no length", STATUS_LINE TASK_ID_HEADER "\r\nhi", false, ERROR_PROTOCOL, NULL, false },
  { "too large", STATUS_LINE TASK_ID_HEADER "Content-Length: 1001\r\n\r\n", true, ERROR_TOO_LARGE,
    NULL, false },
  { "not HTTP", "SSH-2.0-x\r\n\r\n", false, ERROR_CLOSED, NULL, false },
};

static void
test_answers (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (answer_cases); i++)
    {
      raw_server_t server;
      http_answer_t answer;
      raw_start (&server, answer_cases[i].bytes, answer_cases[i].hold_open);
      char *address = g_strdup_printf ("127.0.0.1:%d", server.port);
      http_call_t call = { .method = "POST",
                           .path = "/run/x",
                           .body = "b",
                           .body_bytes = 1,
                           .deadline_at_ms = clock_boot_ms () + TIMEOUT_MS,
                           .max_answer_bytes = MAX_ANSWER_BYTES,
                           .copy_header = "X-Task-Id" };
      int result = http_call_once (address, &call, &answer);
      if (result != answer_cases[i].result)
        printf ("\n  %s: %d, expected %d\n", answer_cases[i].name, result, answer_cases[i].result);
      CU_ASSERT_EQUAL (result, answer_cases[i].result);
      if (result == 0)
        {
          CU_ASSERT_EQUAL (answer.body->len, strlen (answer_cases[i].body));
          if (answer.body->len > 0)
            CU_ASSERT_EQUAL (memcmp (answer.body->data, answer_cases[i].body, answer.body->len), 0);
          CU_ASSERT_STRING_EQUAL (answer.copied_header, "7");
          CU_ASSERT_EQUAL (answer.reusable, answer_cases[i].reusable);
        }
      http_answer_clear (&answer);
      g_free (address);
      raw_stop (&server);
    }
}

static const unit_test_t tests[] = {
  { "answers", test_answers },
};

int
main (void)
{
  return unit_run ("http", tests, G_N_ELEMENTS (tests));
}
