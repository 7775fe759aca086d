/* test_http.c -- lib/http: what counts as a whole answer, and listeners under bad input */
#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"
#include "http/server.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WITHIN_MS 300
#define MAX_ANSWER_BYTES 1000
#define REQUEST_MAX_BYTES 4096

/* A server that reads one request, sends fixed bytes, and then closes or keeps
 * the connection open without another byte. */
typedef struct
{
  int listen_fd;
  uint16_t port;
  const char *bytes;
  bool hang;
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
  if (!server->hang)
    {
      close (server->fd);
      server->fd = -1;
    }
  return NULL;
}

static void
raw_start (raw_server_t *server, const char *bytes, bool hang)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  *server = (raw_server_t){ .bytes = bytes, .hang = hang, .fd = -1 };
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

#define HEAD "HTTP/1.1 200 OK\r\n"
#define ID "X-Task-Id: 7\r\n"

static const struct
{
  const char *name;
  const char *bytes;
  bool hang;
  int result;
  const char *body;
  bool reusable;
} answers[] = {
  { "whole", HEAD ID "Content-Length: 2\r\n\r\nhi", true, 0, "hi", true },
  { "whole and closed", HEAD ID "Connection: close\r\nContent-Length: 2\r\n\r\nhi", false, 0, "hi",
    false },
  { "empty", HEAD ID "Content-Length: 0\r\n\r\n", true, 0, "", true },
  { "chunked", HEAD ID "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", true, 0, "hi",
    true },
  { "chunked, cut", HEAD ID "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, ERROR_CLOSED,
    NULL, false },
  { "chunked, cut in a chunk", HEAD ID "Transfer-Encoding: chunked\r\n\r\n5\r\nhi", false,
    ERROR_CLOSED, NULL, false },
  { "cut body", HEAD ID "Content-Length: 10\r\n\r\nhi", false, ERROR_CLOSED, NULL, false },
  { "hanging body", HEAD ID "Content-Length: 10\r\n\r\nhi", true, ERROR_TIMEOUT, NULL, false },
  { "hanging chunks", HEAD ID "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", true, ERROR_TIMEOUT,
    NULL, false },
  { "hanging head", "HTTP/1.1 200 OK\r\nX-Ta", true, ERROR_TIMEOUT, NULL, false },
  { "cut head", "HTTP/1.1 200 OK\r\nX-Ta", false, ERROR_CLOSED, NULL, false },
  { "nothing", "", false, ERROR_CLOSED, NULL, false },
  { "no length", HEAD ID "\r\nhi", false, ERROR_PROTOCOL, NULL, false },
  { "too large", HEAD ID "Content-Length: 1001\r\n\r\n", true, ERROR_TOO_LARGE, NULL, false },
  { "not HTTP", "SSH-2.0-x\r\n\r\n", false, ERROR_CLOSED, NULL, false },
};

static void
test_answers (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      raw_server_t server;
      http_answer_t answer;
      raw_start (&server, answers[i].bytes, answers[i].hang);
      char *address = g_strdup_printf ("127.0.0.1:%d", server.port);
      http_call_t call = { .method = "POST",
                           .path = "/run/x",
                           .body = "b",
                           .body_bytes = 1,
                           .deadline_at_ms = clock_boot_ms () + WITHIN_MS,
                           .max_answer_bytes = MAX_ANSWER_BYTES,
                           .echo_header = "X-Task-Id" };
      int result = http_call_once (address, &call, &answer);
      if (result != answers[i].result)
        printf ("\n  %s: %d, expected %d\n", answers[i].name, result, answers[i].result);
      CU_ASSERT_EQUAL (result, answers[i].result);
      if (result == 0)
        {
          CU_ASSERT_EQUAL (answer.body->len, strlen (answers[i].body));
          if (answer.body->len > 0)
            CU_ASSERT_EQUAL (memcmp (answer.body->data, answers[i].body, answer.body->len), 0);
          CU_ASSERT_STRING_EQUAL (answer.echo, "7");
          CU_ASSERT_EQUAL (answer.reusable, answers[i].reusable);
        }
      http_answer_clear (&answer);
      g_free (address);
      raw_stop (&server);
    }
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "answers", test_answers },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("http", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
