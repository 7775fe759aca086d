/* test_net.c -- connections between hosts: greeting, frames, cuts and their end */
#include "base/clock.h"
#include "wire/frame.h"
#include "wire/net.h"
#include "wire/socket.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A guard against hanging, not a bound. */
#define GUARD_MS 20000
#define TRY_EVERY_MS 10
/* How long a connect has hung when its host comes up, well below the time after which it is given
 * up, and how soon there must be a connection then. */
#define DIAL_BEFORE_MS 100
#define GREETED_MAX_MS 300

typedef struct
{
  atomic_int ups;
  atomic_int downs;
  atomic_int frames;
  net_t *net;
  char *address;
} node_t;

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  (void) host;
  (void) frame;
  atomic_fetch_add (&((node_t *) data)->frames, 1);
}

static void
on_up (const net_peer_t *peer, void *data)
{
  (void) peer;
  atomic_fetch_add (&((node_t *) data)->ups, 1);
}

static void
on_down (const char *host, void *data)
{
  (void) host;
  atomic_fetch_add (&((node_t *) data)->downs, 1);
}

/* Listens on the first free port from FIRST on. */
static void
node_start (node_t *node, const char *host, const char *data_centre, int first)
{
  static const net_ops_t ops = { on_frame, on_up, on_down };

  for (int port = first; port < first + 1000 && node->net == NULL; port++)
    {
      g_free (node->address);
      node->address = g_strdup_printf ("127.0.0.1:%d", port);
      net_options_t options = { .listen_address = node->address,
                                .self = { (char *) host, (char *) data_centre, node->address, 1 },
                                .ops = &ops,
                                .data = node };
      net_start (&options, &node->net);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->net);
}

static void
node_stop (node_t *node)
{
  net_stop (node->net);
  g_free (node->address);
}

static bool
reaches (atomic_int *count, int target)
{
  for (int waited_ms = 0; waited_ms < GUARD_MS; waited_ms += TRY_EVERY_MS)
    {
      if (atomic_load (count) >= target)
        return true;
      clock_sleep_ms (TRY_EVERY_MS);
    }
  return false;
}

static void
send_one (node_t *from, const char *to)
{
  frame_writer_t *writer = frame_begin (FRAME_PING);

  CU_ASSERT_EQUAL (net_send (from->net, to, frame_finish (writer)), 0);
}

static void
test_frames (void)
{
  node_t a = { 0 };
  node_t b = { 0 };

  node_start (&a, "a", "x", 24100);
  node_start (&b, "b", "x", 25200);
  net_add_address (a.net, b.address, "x", true);
  CU_ASSERT_TRUE (reaches (&a.ups, 1));
  CU_ASSERT_TRUE (reaches (&b.ups, 1));
  for (int i = 0; i < 100; i++)
    send_one (&a, "b");
  CU_ASSERT_TRUE (reaches (&b.frames, 100));
  CU_ASSERT_EQUAL (atomic_load (&a.frames), 0);
  node_stop (&b);
  CU_ASSERT_TRUE (reaches (&a.downs, 1));
  node_stop (&a);
}

/* A greeting that a cut has swallowed is made up for when the cut ends. */
static void
test_cut_greeting (void)
{
  node_t a = { 0 };
  node_t b = { 0 };

  node_start (&a, "a", "x", 24100);
  node_start (&b, "b", "y", 25200);
  net_set_partition (a.net, "y", true, false);
  net_add_address (a.net, b.address, "y", true);
  clock_sleep_ms (500);
  CU_ASSERT_EQUAL (atomic_load (&a.ups), 0);
  net_set_partition (a.net, "y", false, false);
  CU_ASSERT_TRUE (reaches (&a.ups, 1));
  CU_ASSERT_TRUE (reaches (&b.ups, 1));
  node_stop (&b);
  node_stop (&a);
}

/* A connection that may have gone silent is dialed anew, and carries frames again. */
static void
test_reconnect (void)
{
  node_t a = { 0 };
  node_t b = { 0 };

  node_start (&a, "a", "x", 24100);
  node_start (&b, "b", "x", 25200);
  net_add_address (a.net, b.address, "x", true);
  CU_ASSERT_TRUE (reaches (&a.ups, 1));
  net_reconnect (a.net, "b");
  net_reconnect (a.net, "nobody");
  CU_ASSERT_TRUE (reaches (&a.downs, 1));
  CU_ASSERT_TRUE (reaches (&a.ups, 2));
  send_one (&a, "b");
  CU_ASSERT_TRUE (reaches (&b.frames, 1));
  node_stop (&b);
  node_stop (&a);
}

/* Listens on ADDRESS and answers no connect: its queue of connections is full. */
static int
start_deaf_listener (const char *address, int *filler)
{
  struct sockaddr_storage storage;
  socklen_t size = socket_parse_address (address, &storage);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *) &storage, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 0), 0);
  *filler = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (connect (*filler, (struct sockaddr *) &storage, size), 0);
  return fd;
}

/* A host that greets is there, whatever became of a connect to it from before it was. */
static void
test_greeted_while_dialing (void)
{
  node_t a = { 0 };
  node_t b = { 0 };
  int filler = -1;

  node_start (&a, "a", "x", 24100);
  node_start (&b, "b", "x", 25200);
  int port = atoi (strrchr (b.address, ':') + 1);
  char *address = g_strdup (b.address);
  node_stop (&b);
  b = (node_t){ 0 };
  int listener = start_deaf_listener (address, &filler);
  net_add_address (a.net, address, "x", true);
  clock_sleep_ms (DIAL_BEFORE_MS);
  CU_ASSERT_EQUAL (atomic_load (&a.ups), 0);
  close (filler);
  close (listener);
  node_start (&b, "b", "x", port);
  CU_ASSERT_EQUAL_FATAL (g_strcmp0 (b.address, address), 0);
  int64_t from_ms = clock_boot_ms ();
  net_add_address (b.net, a.address, "x", true);
  CU_ASSERT_TRUE (reaches (&a.ups, 1));
  CU_ASSERT_TRUE (clock_boot_ms () - from_ms <= GREETED_MAX_MS);
  node_stop (&b);
  node_stop (&a);
  g_free (address);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "frames arrive once", test_frames },
  { "greeting after a cut", test_cut_greeting },
  { "dialed anew", test_reconnect },
  { "greeted while dialing", test_greeted_while_dialing },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("net", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
