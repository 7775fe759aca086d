/* test_platform.c -- parsing of the platform's answers, and the platform client against a faulty
 * server */
#include "base/error.h"
#include "platform/hosts.h"
#include "platform/platform.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_MAX_BYTES 4096
/* Where an answer is expected, the timeout is long enough for a loaded machine; where a timeout is
 * expected, it is short. */
#define TIMEOUT_MS 20000
#define TIMEOUT_EXPECTED_MS 300

#define ENTRY(id, rest)                                                                            \
  "{\"id\":\"" id "\",\"data_centre\":\"a\",\"address\":\"127.0.0.1:9\"," rest "}"
#define SIZES "\"slots\":8,\"connections\":60,\"cores\":4,\"memory_mb\":64"
#define LIVE "\"role\":\"endpoint\",\"state\":\"live\"," SIZES

static const struct
{
  const char *json;
  int result;
  guint hosts;
  int32_t skipped;
} host_cases[] = {
  { "", ERROR_PROTOCOL, 0, 0 },
  { "{}", ERROR_PROTOCOL, 0, 0 },
  { "{\"hosts\":{}}", ERROR_PROTOCOL, 0, 0 },
  { "{\"hosts\":[]} x", ERROR_PROTOCOL, 0, 0 },
  { "{\"hosts\":[]}", 0, 0, 0 },
  { "{\"hosts\":[1,null,[]]}", 0, 0, 3 },
  { "{\"hosts\":[" ENTRY ("b", LIVE) "," ENTRY ("a", LIVE) "]}", 0, 2, 0 },
  { "{\"hosts\":[" ENTRY ("a", LIVE) "," ENTRY ("a", LIVE) "]}", 0, 1, 1 },
  { "{\"hosts\":[" ENTRY ("a", "\"role\":\"entry\",\"state\":\"leaving\"") "]}", 0, 1, 0 },
  { "{\"hosts\":[" ENTRY ("a", "\"role\":\"endpoint\",\"state\":\"live\"") "]}", 0, 0, 1 },
  { "{\"hosts\":[" ENTRY ("a", "\"role\":\"x\",\"state\":\"live\"," SIZES) "]}", 0, 0, 1 },
  { "{\"hosts\":[" ENTRY ("a", "\"role\":\"endpoint\",\"state\":\"x\"," SIZES) "]}", 0, 0, 1 },
  { "{\"hosts\":[" ENTRY ("", LIVE) "]}", 0, 0, 1 },
  { "{\"hosts\":[" ENTRY ("a", LIVE ",\"rack\":\"r1\"") "]}", 0, 1, 0 },
};

static void
test_hosts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (host_cases); i++)
    {
      GPtrArray *hosts = NULL;
      int32_t skipped = 0;
      CU_ASSERT_EQUAL (
          hosts_parse (host_cases[i].json, strlen (host_cases[i].json), &hosts, &skipped),
          host_cases[i].result);
      CU_ASSERT_EQUAL (skipped, host_cases[i].skipped);
      if (hosts == NULL)
        continue;
      CU_ASSERT_EQUAL (hosts->len, host_cases[i].hosts);
      for (guint j = 1; j < hosts->len; j++)
        CU_ASSERT (strcmp (((host_t *) hosts->pdata[j - 1])->id, ((host_t *) hosts->pdata[j])->id)
                   < 0);
      g_ptr_array_unref (hosts);
    }
}

/* Answers to a read from offset 5. */
static const struct
{
  const char *json;
  int result;
  guint records;
  int64_t next;
} batch_cases[] = {
  { "{\"first\":0,\"next\":5,\"records\":[]}", 0, 0, 5 },
  { "{\"first\":0,\"next\":3,\"records\":[]}", 0, 0, 5 },
  { "{\"first\":9,\"next\":9,\"records\":[]}", 0, 0, 9 },
  { "{\"first\":0,\"next\":9,\"records\":[{\"offset\":5,\"at_ms\":1,\"data\":\"YQ==\"}]}", 0, 1,
    6 },
  { "{\"first\":0,\"next\":6,\"records\":[{\"offset\":4,\"at_ms\":1,\"data\":\"\"}]}",
    ERROR_PROTOCOL, 0, 0 },
  { "{\"first\":0,\"next\":6,\"records\":[{\"offset\":6,\"at_ms\":1,\"data\":\"\"}]}",
    ERROR_PROTOCOL, 0, 0 },
  { "{\"first\":0,\"next\":7,\"records\":[{\"offset\":6,\"at_ms\":1,\"data\":\"\"},"
    "{\"offset\":6,\"at_ms\":1,\"data\":\"\"}]}",
    ERROR_PROTOCOL, 0, 0 },
  { "{\"first\":0,\"next\":7,\"records\":[{\"offset\":6,\"at_ms\":1}]}", ERROR_PROTOCOL, 0, 0 },
  { "{\"first\":9,\"next\":7,\"records\":[]}", ERROR_PROTOCOL, 0, 0 },
  { "{\"first\":0,\"next\":7}", ERROR_PROTOCOL, 0, 0 },
  { "[]", ERROR_PROTOCOL, 0, 0 },
};

static void
test_batches (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (batch_cases); i++)
    {
      log_batch_t *batch = NULL;
      const char *json = batch_cases[i].json;
      CU_ASSERT_EQUAL (log_batch_parse (json, strlen (json), 5, &batch), batch_cases[i].result);
      if (batch == NULL)
        continue;
      CU_ASSERT_EQUAL (batch->records->len, batch_cases[i].records);
      CU_ASSERT_EQUAL (batch->next_offset, batch_cases[i].next);
      log_batch_free (batch);
    }
}

/* A server on its own thread.  It handles each connection according to the next script and records
 * the requests. */
typedef struct
{
  const char *answer; /* NULL closes the connection without an answer */
  bool keep_open;     /* keep the connection open after the answer */
} script_t;

typedef struct
{
  int listener;
  char address[32];
  const script_t *scripts;
  size_t count;
  GThread *thread;
  GString *requests;
} server_t;

static gpointer
server_main (gpointer data)
{
  server_t *server = data;
  int open_connections[8];
  size_t open_count = 0;
  char request[REQUEST_MAX_BYTES];
  for (size_t i = 0; i < server->count; i++)
    {
      int connection = accept (server->listener, NULL, NULL);
      const script_t *script = &server->scripts[i];
      ssize_t size = script->answer ? recv (connection, request, sizeof request, 0) : 0;
      if (size > 0)
        g_string_append_len (server->requests, request, size);
      if (script->answer
          && send (connection, script->answer, strlen (script->answer), MSG_NOSIGNAL) < 0)
        break;
      if (script->keep_open && open_count < G_N_ELEMENTS (open_connections))
        open_connections[open_count++] = connection;
      else
        close (connection);
    }
  /* Keep the connections open until the client closes them. */
  while (open_count > 0)
    {
      while (recv (open_connections[open_count - 1], request, sizeof request, 0) > 0)
        ;
      close (open_connections[--open_count]);
    }
  return NULL;
}

static void
server_start (server_t *server, const script_t *scripts, size_t count)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  *server = (server_t){ .scripts = scripts, .count = count, .requests = g_string_new (NULL) };
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (server->listener, (struct sockaddr *) &address, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (server->listener, 8), 0);
  getsockname (server->listener, (struct sockaddr *) &address, &size);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%d", ntohs (address.sin_port));
  server->thread = g_thread_new ("server", server_main, server);
}

static void
server_stop (server_t *server)
{
  g_thread_join (server->thread);
  close (server->listener);
  g_string_free (server->requests, TRUE);
}

#define HEAD "HTTP/1.1 200 OK\r\nConnection: close\r\n"

static const struct
{
  const char *name;
  script_t script;
  int64_t timeout_ms;
  int result;
} append_cases[] = {
  { "complete", { HEAD "Content-Length: 12\r\n\r\n{\"offset\":7}", false }, TIMEOUT_MS, 0 },
  { "no length", { HEAD "\r\n{\"offset\":7}", false }, TIMEOUT_MS, ERROR_PROTOCOL },
  { "no answer", { NULL, false }, TIMEOUT_MS, ERROR_IO },
  { "error", { "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false }, TIMEOUT_MS, ERROR_IO },
  { "truncated", { HEAD "Content-Length: 12\r\n\r\n{\"off", false }, TIMEOUT_MS, ERROR_IO },
  { "garbage", { HEAD "Content-Length: 3\r\n\r\n{{{", false }, TIMEOUT_MS, ERROR_PROTOCOL },
  { "no offset", { HEAD "Content-Length: 2\r\n\r\n{}", false }, TIMEOUT_MS, 0 },
  { "too large",
    { HEAD "Content-Length: 99999999999\r\n\r\n{}", false },
    TIMEOUT_MS,
    ERROR_TOO_LARGE },
  { "silent", { "", true }, TIMEOUT_EXPECTED_MS, ERROR_TIMEOUT },
  { "silent in the body",
    { HEAD "Content-Length: 12\r\n\r\n{\"off", true },
    TIMEOUT_EXPECTED_MS,
    ERROR_TIMEOUT },
};

static void
test_appends (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (append_cases); i++)
    {
      server_t server;
      server_start (&server, &append_cases[i].script, 1);
      const char *addresses[] = { server.address, NULL };
      platform_client_t *client = platform_client_new (addresses, "a", 0);
      int64_t offset = -1;
      int result =
          platform_append (client, "config", "abc", 3, append_cases[i].timeout_ms, &offset);
      /* Two timeouts race here; depending on which one fires first, the call ends with
       * ERROR_TIMEOUT or ERROR_IO. */
      if (append_cases[i].result == ERROR_TIMEOUT && result == ERROR_IO)
        result = ERROR_TIMEOUT;
      if (result != append_cases[i].result)
        printf ("\n    %s: %s", append_cases[i].name, error_name (result));
      CU_ASSERT_EQUAL (result, append_cases[i].result);
      CU_ASSERT ((result == 0) == (platform_retry_delay_ms (client) == 0));
      platform_client_free (client);
      server_stop (&server);
    }
}

/* After a failed call the client must use the next address: the first one refuses connections, the
 * second one answers. */
static void
test_rotation (void)
{
  static const script_t scripts[] = { { HEAD "Content-Length: 12\r\n\r\n{\"offset\":7}", false } };
  server_t stopped;
  server_t server;
  int64_t offset = 0;
  server_start (&stopped, NULL, 0);
  close (stopped.listener);
  server_start (&server, scripts, 1);
  const char *addresses[] = { stopped.address, server.address, NULL };
  platform_client_t *client = platform_client_new (addresses, NULL, 0);
  CU_ASSERT_EQUAL (platform_append (client, "config", "abc", 3, TIMEOUT_MS, &offset),
                   ERROR_NOT_CONNECTED);
  CU_ASSERT (platform_retry_delay_ms (client) >= PLATFORM_RETRY_MIN_MS / 2);
  CU_ASSERT_EQUAL (platform_append (client, "config", "abc", 3, TIMEOUT_MS, &offset), 0);
  CU_ASSERT_EQUAL (offset, 7);
  CU_ASSERT_EQUAL (platform_retry_delay_ms (client), 0);
  platform_client_free (client);
  server_stop (&server);
  g_thread_join (stopped.thread);
  g_string_free (stopped.requests, TRUE);
}

/* The retry delay must grow with each failure, but not beyond PLATFORM_RETRY_MAX_MS. */
static void
test_retry_delay (void)
{
  const char *addresses[] = { "127.0.0.1:1", NULL };
  platform_client_t *client = platform_client_new (addresses, NULL, 1);
  GBytes *body = NULL;
  int64_t max_delay_ms = 0;
  for (int i = 0; i < 12; i++)
    {
      CU_ASSERT_EQUAL (platform_fetch_hosts (client, TIMEOUT_MS, &body), ERROR_NOT_CONNECTED);
      int64_t delay_ms = platform_retry_delay_ms (client);
      CU_ASSERT (delay_ms >= PLATFORM_RETRY_MIN_MS / 2 && delay_ms <= PLATFORM_RETRY_MAX_MS);
      max_delay_ms = MAX (max_delay_ms, delay_ms);
    }
  CU_ASSERT (max_delay_ms > PLATFORM_RETRY_MAX_MS / 2);
  platform_client_free (client);
}

static const unit_test_t tests[] = {
  { "hosts", test_hosts },       { "batches", test_batches },         { "appends", test_appends },
  { "rotation", test_rotation }, { "retry delay", test_retry_delay },
};

int
main (void)
{
  return unit_run ("platform", tests, G_N_ELEMENTS (tests));
}
