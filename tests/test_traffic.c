/* test_traffic.c -- messages and bytes by kind, the seconds that deserve a line, unsent bytes */
#include "base/clock.h"
#include "base/traffic.h"
#include "reactor/web.h"
#include "tests/port_block.h"
#include "wire/frame.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS 5
#define CALLS 3
#define CALL_TIMEOUT_MS 5000
#define LIMIT_BYTES 4096
#define SHORT_TIMEOUT_MS 50
/* More than the kernel takes for a peer that does not read. */
#define LARGE_BODY_BYTES (32 * 1024 * 1024)
#define PEER_BUFFER_BYTES 4096

static const port_range_t test_ports = { .first_port = 9970, .ports = 3, .blocks = 9 };

/* --- kinds --- */

static void
test_names (void)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (int i = 0; i < TRAFFIC_KINDS; i++)
    {
      const char *name = traffic_kind_name ((traffic_kind_t) i);
      CU_ASSERT_PTR_NOT_NULL_FATAL (name);
      CU_ASSERT_TRUE (g_hash_table_add (names, (void *) name));
    }
  g_hash_table_unref (names);
}

static void
test_frame_types (void)
{
  for (int type = 1; type <= FRAME_TYPE_MAX; type++)
    {
      GBytes *frame = frame_finish (frame_begin (type));
      CU_ASSERT_EQUAL (frame_type_of (frame), type);
      g_bytes_unref (frame);
    }
}

/* --- seconds --- */

#define STEPS_MAX 6

typedef struct
{
  int64_t at_ms;
  traffic_kind_t kind; /* one message of it was sent since the step before */
  int64_t sent_bytes;
  int64_t received_bytes;
  int64_t unanswered;
  int64_t connections;
  int64_t unsent_bytes;
  bool ends_second;
  traffic_second_t second; /* if ENDS_SECOND */
} step_t;

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX]; /* up to one with at_ms 0 */
} watch_cases[] = {
  { "the first tick ends nothing", { { .at_ms = 7000 }, { .at_ms = 7005 } } },
  { "sums of all kinds, and of calls to endpoints only",
    { { .at_ms = 7000 },
      { .at_ms = 7005,
        .kind = TRAFFIC_START,
        .sent_bytes = 100,
        .received_bytes = 10,
        .unanswered = 1,
        .connections = 1 },
      { .at_ms = 7010,
        .kind = TRAFFIC_LOG,
        .sent_bytes = 20,
        .received_bytes = 200,
        .unanswered = 1,
        .connections = 1 },
      { .at_ms = 8000,
        .kind = TRAFFIC_PROBE,
        .sent_bytes = 3,
        .received_bytes = 4,
        .unanswered = 2,
        .connections = 3,
        .ends_second = true,
        .second = { .sent_bytes = 123,
                    .received_bytes = 214,
                    .loop_delay_ms = 985,
                    .unanswered = 3,
                    .connections = 4 } } } },
  { "what one second had is not in the next one",
    { { .at_ms = 7000 },
      { .at_ms = 7300, .kind = TRAFFIC_OFFER, .sent_bytes = 50, .unsent_bytes = 70 },
      { .at_ms = 7305, .unsent_bytes = 20 },
      { .at_ms = 8005,
        .ends_second = true,
        .second = { .sent_bytes = 50, .loop_delay_ms = 695, .unsent_bytes = 70 } },
      { .at_ms = 8010, .kind = TRAFFIC_CALLER, .sent_bytes = 9, .unsent_bytes = 1 },
      { .at_ms = 9005,
        .ends_second = true,
        .second = { .sent_bytes = 9, .loop_delay_ms = 990, .unsent_bytes = 1 } } } },
  { "a long gap ends one second",
    { { .at_ms = 7000 },
      { .at_ms = 12000, .ends_second = true, .second = { .loop_delay_ms = 4995 } },
      { .at_ms = 12005 },
      { .at_ms = 12995 } } },
};

static bool
seconds_are_equal (const traffic_second_t *a, const traffic_second_t *b)
{
  return a->sent_bytes == b->sent_bytes && a->received_bytes == b->received_bytes
         && a->unsent_bytes == b->unsent_bytes && a->loop_delay_ms == b->loop_delay_ms
         && a->unanswered == b->unanswered && a->connections == b->connections;
}

static bool
run_step (const step_t *step, traffic_t *traffic, traffic_watch_t *watch)
{
  traffic_count_t *count = &traffic->kinds[step->kind];

  traffic_add (&count->sent, (size_t) step->sent_bytes);
  traffic_add (&count->received, (size_t) step->received_bytes);
  count->unanswered += step->unanswered;
  count->connections += step->connections;
  traffic_watch_unsent (watch, step->unsent_bytes);
  bool ends = traffic_watch_tick (watch, traffic, step->at_ms);
  return ends == step->ends_second && (!ends || seconds_are_equal (&watch->last, &step->second));
}

static void
test_watch (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (watch_cases); i++)
    {
      traffic_t traffic = { 0 };
      traffic_watch_t watch = { .tick_ms = TICK_MS };
      for (int k = 0; k < STEPS_MAX && watch_cases[i].steps[k].at_ms != 0; k++)
        {
          bool held = run_step (&watch_cases[i].steps[k], &traffic, &watch);
          if (!held)
            printf ("\n  %s, step %d\n", watch_cases[i].name, k);
          CU_ASSERT_TRUE (held);
        }
    }
}

static const struct
{
  const char *name;
  traffic_second_t second;
  bool notable;
} notable_cases[] = {
  { "nothing", { 0 }, false },
  { "much traffic that leaves at once",
    { .sent_bytes = 9000000, .received_bytes = 9000000 },
    false },
  { "new connections", { .sent_bytes = 9000, .connections = 50 }, false },
  { "one call without an answer", { .unanswered = 1 }, true },
  { "a loop that is a little late", { .loop_delay_ms = 39 }, false },
  { "a loop that is late", { .loop_delay_ms = 40 }, true },
  { "few bytes on the way", { .sent_bytes = 1000, .unsent_bytes = 16383 }, false },
  { "as many as wait on a full link", { .sent_bytes = 100000, .unsent_bytes = 16384 }, true },
  { "less than 100 ms of traffic", { .sent_bytes = 500000, .unsent_bytes = 49999 }, false },
  { "100 ms of traffic", { .sent_bytes = 500000, .unsent_bytes = 50000 }, true },
};

static void
test_notable (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (notable_cases); i++)
    {
      bool held = traffic_is_notable (&notable_cases[i].second) == notable_cases[i].notable;
      if (!held)
        printf ("\n  %s\n", notable_cases[i].name);
      CU_ASSERT_TRUE (held);
    }
}

/* --- HTTP --- */

typedef struct
{
  port_block_t ports;
  char *address;
  char *unread_address;
  loop_t *loop;
  web_server_t *server;
  web_client_t *client;
  traffic_t sent;     /* of the client */
  traffic_t received; /* of the server */
  bool mute;
  int done;
  int64_t largest_unacked_bytes;
  web_call_result_t result; /* of the last call */
} rig_t;

static void
on_request (web_request_t *request, void *data)
{
  if (!((const rig_t *) data)->mute)
    web_reply (request, 200, "X-More: 1\r\n", "{\"answer\":1}");
}

static void
on_abandoned (web_request_t *request, void *data)
{
  (void) request;
  (void) data;
}

static void
on_tick (void *data)
{
  rig_t *rig = data;

  rig->largest_unacked_bytes =
      MAX (rig->largest_unacked_bytes, web_client_unacked_bytes (rig->client));
  web_server_tick (rig->server, clock_boot_ms ());
  web_client_tick (rig->client, clock_boot_ms ());
}

static void
call (rig_t *rig, const char *address, const char *body, size_t size, int64_t timeout_ms);

static void
on_answer (const web_call_answer_t *answer, void *data)
{
  rig_t *rig = data;

  rig->done++;
  rig->result = answer->result;
  if (rig->done < CALLS && answer->result == WEB_CALL_ANSWERED)
    call (rig, rig->address, "hello", strlen ("hello"), CALL_TIMEOUT_MS);
  else
    loop_stop (rig->loop);
}

static void
call (rig_t *rig, const char *address, const char *body, size_t size, int64_t timeout_ms)
{
  web_call_options_t options = { .address = address,
                                 .method = "POST",
                                 .target = "/run-start",
                                 .headers = "X-Other: 2\r\n",
                                 .body = body,
                                 .body_bytes = size,
                                 .deadline_at_ms = clock_boot_ms () + timeout_ms,
                                 .done = on_answer,
                                 .data = rig,
                                 .traffic = &rig->sent.kinds[TRAFFIC_START] };

  web_call_start (rig->client, &options);
}

static void
rig_start (rig_t *rig)
{
  static const web_server_handlers_t handlers = { on_request, on_abandoned };

  *rig = (rig_t){ 0 };
  CU_ASSERT_EQUAL_FATAL (port_block_take (&test_ports, &rig->ports), 0);
  rig->address = g_strdup_printf ("127.0.0.1:%d", rig->ports.first_port);
  rig->unread_address = g_strdup_printf ("127.0.0.1:%d", rig->ports.first_port + 1);
  rig->loop = loop_new (TICK_MS, on_tick, rig);
  rig->client = web_client_new (rig->loop);
  web_server_options_t options = { .address = rig->address,
                                   .limits = { LIMIT_BYTES, LIMIT_BYTES, CALL_TIMEOUT_MS,
                                               CALL_TIMEOUT_MS },
                                   .handlers = &handlers,
                                   .data = rig,
                                   .traffic = &rig->received.kinds[TRAFFIC_CALLER] };
  CU_ASSERT_EQUAL_FATAL (web_server_start (rig->loop, &options, &rig->server), 0);
}

static void
rig_stop (rig_t *rig)
{
  web_server_free (rig->server);
  web_client_free (rig->client);
  loop_free (rig->loop);
  port_block_free (&rig->ports);
  g_free (rig->unread_address);
  g_free (rig->address);
}

/* Both sides count the same messages with the same bytes. */
static void
test_calls (void)
{
  rig_t rig;

  rig_start (&rig);
  call (&rig, rig.address, "hello", strlen ("hello"), CALL_TIMEOUT_MS);
  loop_run (rig.loop);
  const traffic_count_t *client = &rig.sent.kinds[TRAFFIC_START];
  const traffic_count_t *server = &rig.received.kinds[TRAFFIC_CALLER];
  CU_ASSERT_EQUAL (client->sent.messages, CALLS);
  CU_ASSERT_EQUAL (client->received.messages, CALLS);
  CU_ASSERT_EQUAL (client->connections, 1);
  CU_ASSERT_EQUAL (client->unanswered, 0);
  CU_ASSERT_EQUAL (server->received.messages, CALLS);
  CU_ASSERT_EQUAL (server->sent.messages, CALLS);
  CU_ASSERT_EQUAL (client->sent.bytes, server->received.bytes);
  CU_ASSERT_EQUAL (client->received.bytes, server->sent.bytes);
  CU_ASSERT_TRUE (client->sent.bytes
                  > CALLS * (int64_t) strlen ("POST /run-start HTTP/1.1\r\nX-Other: 2\r\nhello"));
  CU_ASSERT_TRUE (client->received.bytes
                  > CALLS * (int64_t) strlen ("HTTP/1.1 200 OK\r\nX-More: 1\r\n{\"answer\":1}"));
  rig_stop (&rig);
}

static void
test_unanswered_call (void)
{
  rig_t rig;

  rig_start (&rig);
  rig.mute = true;
  call (&rig, rig.address, "hello", strlen ("hello"), SHORT_TIMEOUT_MS);
  loop_run (rig.loop);
  CU_ASSERT_EQUAL (rig.result, WEB_CALL_TIMEOUT);
  CU_ASSERT_EQUAL (rig.sent.kinds[TRAFFIC_START].sent.messages, 1);
  CU_ASSERT_EQUAL (rig.sent.kinds[TRAFFIC_START].received.messages, 0);
  CU_ASSERT_EQUAL (rig.sent.kinds[TRAFFIC_START].unanswered, 1);
  CU_ASSERT_TRUE (rig.largest_unacked_bytes < LIMIT_BYTES);
  rig_stop (&rig);
}

/* Listens on PORT, but never reads. */
static int
start_unread_listener (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int bytes = PEER_BUFFER_BYTES;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *) &address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 1), 0);
  return fd;
}

/* What a link does not take is unacknowledged, whether it waits in the process or the kernel. */
static void
test_unacked_bytes (void)
{
  rig_t rig;
  char *body = g_strnfill (LARGE_BODY_BYTES, 'a');

  rig_start (&rig);
  int fd = start_unread_listener (rig.ports.first_port + 1);
  call (&rig, rig.unread_address, body, LARGE_BODY_BYTES, SHORT_TIMEOUT_MS);
  loop_run (rig.loop);
  CU_ASSERT_EQUAL (rig.result, WEB_CALL_TIMEOUT);
  CU_ASSERT_TRUE (rig.largest_unacked_bytes > LARGE_BODY_BYTES - LARGE_BODY_BYTES / 8);
  CU_ASSERT_EQUAL (web_client_unacked_bytes (rig.client), 0);
  close (fd);
  rig_stop (&rig);
  g_free (body);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "names of kinds", test_names },
  { "types of frames", test_frame_types },
  { "seconds", test_watch },
  { "notable seconds", test_notable },
  { "both sides of a call count the same", test_calls },
  { "a call without an answer", test_unanswered_call },
  { "unacknowledged bytes", test_unacked_bytes },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("traffic", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
