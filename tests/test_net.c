/* test_net.c -- tests of the connections between hosts: HELLO, frames, partitions and reconnects */
#include "base/clock.h"
#include "tests/unit_runner.h"
#include "wire/frame.h"
#include "wire/net.h"
#include "wire/socket.h"

#include <CUnit/CUnit.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Limits the time that a failing test waits; it is not a bound on the tested code. */
#define WAIT_MAX_MS 20000
#define POLL_INTERVAL_MS 10
/* Time for which a connection attempt is pending when its host starts, well below the time-out of
 * the attempt, and maximum time until the connection must then be open. */
#define CONNECT_PENDING_MS 100
#define CONNECTED_MAX_MS 300
/* Together more than the kernel takes for a peer that does not read. */
#define LARGE_FRAMES 16
#define LARGE_FRAME_BYTES (1024 * 1024)
#define PEER_BUFFER_BYTES 4096

typedef struct
{
  atomic_int peers_up_count;
  atomic_int peers_down_count;
  atomic_int frame_count;
  net_t *net;
  char *address;
} host_t;

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  (void) host;
  (void) frame;
  atomic_fetch_add (&((host_t *) data)->frame_count, 1);
}

static void
on_up (const net_peer_t *peer, void *data)
{
  (void) peer;
  atomic_fetch_add (&((host_t *) data)->peers_up_count, 1);
}

static void
on_down (const char *host, void *data)
{
  (void) host;
  atomic_fetch_add (&((host_t *) data)->peers_down_count, 1);
}

/* Listens on the first free port, starting at FIRST_PORT. */
static void
host_start (host_t *host, const char *id, const char *data_centre, int first_port)
{
  static const net_ops_t ops = { on_frame, on_up, on_down };

  for (int port = first_port; port < first_port + 1000 && host->net == NULL; port++)
    {
      g_free (host->address);
      host->address = g_strdup_printf ("127.0.0.1:%d", port);
      net_options_t options = { .listen_address = host->address,
                                .self = { (char *) id, (char *) data_centre, host->address, 1 },
                                .ops = &ops,
                                .data = host };
      net_start (&options, &host->net);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (host->net);
}

static void
host_stop (host_t *host)
{
  net_stop (host->net);
  g_free (host->address);
}

static bool
wait_for_count (atomic_int *count, int target)
{
  for (int waited_ms = 0; waited_ms < WAIT_MAX_MS; waited_ms += POLL_INTERVAL_MS)
    {
      if (atomic_load (count) >= target)
        return true;
      clock_sleep_ms (POLL_INTERVAL_MS);
    }
  return false;
}

static void
send_frame (host_t *from, const char *to)
{
  frame_writer_t *writer = frame_begin (FRAME_PING);

  CU_ASSERT_EQUAL (net_send (from->net, to, frame_finish (writer)), 0);
}

static void
test_frames (void)
{
  host_t a = { 0 };
  host_t b = { 0 };

  host_start (&a, "a", "x", 24100);
  host_start (&b, "b", "x", 25200);
  net_add_address (a.net, b.address, "x", true);
  CU_ASSERT_TRUE (wait_for_count (&a.peers_up_count, 1));
  CU_ASSERT_TRUE (wait_for_count (&b.peers_up_count, 1));
  for (int i = 0; i < 100; i++)
    send_frame (&a, "b");
  CU_ASSERT_TRUE (wait_for_count (&b.frame_count, 100));
  CU_ASSERT_EQUAL (atomic_load (&a.frame_count), 0);
  host_stop (&b);
  CU_ASSERT_TRUE (wait_for_count (&a.peers_down_count, 1));
  host_stop (&a);
}

/* A HELLO that was dropped by a partition must be exchanged after the partition has ended. */
static void
test_hello_after_partition (void)
{
  host_t a = { 0 };
  host_t b = { 0 };

  host_start (&a, "a", "x", 24100);
  host_start (&b, "b", "y", 25200);
  net_set_partition (a.net, "y", true, false);
  net_add_address (a.net, b.address, "y", true);
  clock_sleep_ms (500);
  CU_ASSERT_EQUAL (atomic_load (&a.peers_up_count), 0);
  net_set_partition (a.net, "y", false, false);
  CU_ASSERT_TRUE (wait_for_count (&a.peers_up_count, 1));
  CU_ASSERT_TRUE (wait_for_count (&b.peers_up_count, 1));
  host_stop (&b);
  host_stop (&a);
}

/* net_reconnect () must replace the connection by a new one over which frames are delivered. */
static void
test_reconnect (void)
{
  host_t a = { 0 };
  host_t b = { 0 };

  host_start (&a, "a", "x", 24100);
  host_start (&b, "b", "x", 25200);
  net_add_address (a.net, b.address, "x", true);
  CU_ASSERT_TRUE (wait_for_count (&a.peers_up_count, 1));
  net_reconnect (a.net, "b");
  net_reconnect (a.net, "nobody");
  CU_ASSERT_TRUE (wait_for_count (&a.peers_down_count, 1));
  CU_ASSERT_TRUE (wait_for_count (&a.peers_up_count, 2));
  send_frame (&a, "b");
  CU_ASSERT_TRUE (wait_for_count (&b.frame_count, 1));
  host_stop (&b);
  host_stop (&a);
}

/* Listens on ADDRESS, but does not answer connection attempts, because its accept queue is full
 * with the connection *FILLER_FD. */
static int
start_unresponsive_listener (const char *address, int *filler_fd)
{
  struct sockaddr_storage storage;
  socklen_t size = socket_parse_address (address, &storage);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *) &storage, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 0), 0);
  *filler_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (connect (*filler_fd, (struct sockaddr *) &storage, size), 0);
  return fd;
}

/* A connection attempt that was begun before the host started does not succeed and would delay the
 * connection until its time-out.  A HELLO from the host must end the attempt and cause a new one.
 */
static void
test_hello_while_connecting (void)
{
  host_t a = { 0 };
  host_t b = { 0 };
  int filler_fd = -1;

  host_start (&a, "a", "x", 24100);
  host_start (&b, "b", "x", 25200);
  int port = atoi (strrchr (b.address, ':') + 1);
  char *address = g_strdup (b.address);
  host_stop (&b);
  b = (host_t){ 0 };
  int listener_fd = start_unresponsive_listener (address, &filler_fd);
  net_add_address (a.net, address, "x", true);
  clock_sleep_ms (CONNECT_PENDING_MS);
  CU_ASSERT_EQUAL (atomic_load (&a.peers_up_count), 0);
  close (filler_fd);
  close (listener_fd);
  host_start (&b, "b", "x", port);
  CU_ASSERT_EQUAL_FATAL (g_strcmp0 (b.address, address), 0);
  int64_t started_ms = clock_boot_ms ();
  net_add_address (b.net, a.address, "x", true);
  CU_ASSERT_TRUE (wait_for_count (&a.peers_up_count, 1));
  CU_ASSERT_TRUE (clock_boot_ms () - started_ms <= CONNECTED_MAX_MS);
  host_stop (&b);
  host_stop (&a);
  g_free (address);
}

static void
fill (frame_writer_t *writer)
{
  void *bytes = g_malloc0 (LARGE_FRAME_BYTES);

  frame_put_bytes (writer, bytes, LARGE_FRAME_BYTES);
  g_free (bytes);
}

/* Accepts the connection of a host as host "b", which then reads nothing. */
static int
accept_as_b (int listener_fd)
{
  frame_writer_t *writer = frame_begin (FRAME_HELLO);
  gsize size = 0;
  int fd = accept (listener_fd, NULL, NULL);

  frame_put_int (writer, 1);
  frame_put_string (writer, "b");
  frame_put_string (writer, "x");
  frame_put_uint (writer, 1);
  frame_put_string (writer, "127.0.0.1:9");
  GBytes *hello = frame_finish (writer);
  const void *data = g_bytes_get_data (hello, &size);
  CU_ASSERT_EQUAL (send (fd, data, size, MSG_NOSIGNAL), (ssize_t) size);
  g_bytes_unref (hello);
  return fd;
}

/* Frames for a peer that does not read are unsent until it reads them. */
static void
test_unsent_bytes (void)
{
  host_t a = { 0 };
  host_t b = { 0 };
  struct sockaddr_storage storage;
  int buffer_bytes = PEER_BUFFER_BYTES;
  char *chunk = g_malloc (LARGE_FRAME_BYTES);

  host_start (&a, "a", "x", 24100);
  host_start (&b, "b", "x", 25200); /* finds a free port */
  char *address = g_strdup (b.address);
  host_stop (&b);
  socklen_t size = socket_parse_address (address, &storage);
  int one = 1;
  int listener_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  setsockopt (listener_fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  CU_ASSERT_EQUAL_FATAL (bind (listener_fd, (struct sockaddr *) &storage, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (listener_fd, 1), 0);
  net_add_address (a.net, address, "x", true);
  int fd = accept_as_b (listener_fd);
  CU_ASSERT_TRUE (wait_for_count (&a.peers_up_count, 1));
  for (int i = 0; i < LARGE_FRAMES; i++)
    {
      frame_writer_t *writer = frame_begin (FRAME_PING);
      fill (writer);
      CU_ASSERT_EQUAL (net_send (a.net, "b", frame_finish (writer)), 0);
    }
  int64_t sent_bytes = (int64_t) LARGE_FRAMES * LARGE_FRAME_BYTES;
  CU_ASSERT_TRUE (net_unsent_bytes (a.net) > sent_bytes - sent_bytes / 8);
  int64_t received_bytes = 0;
  while (received_bytes < sent_bytes)
    {
      ssize_t received = recv (fd, chunk, LARGE_FRAME_BYTES, 0);
      CU_ASSERT_TRUE_FATAL (received > 0);
      received_bytes += received;
    }
  for (int waited_ms = 0; net_unsent_bytes (a.net) > 0 && waited_ms < WAIT_MAX_MS;
       waited_ms += POLL_INTERVAL_MS)
    {
      (void) !recv (fd, chunk, LARGE_FRAME_BYTES, MSG_DONTWAIT);
      clock_sleep_ms (POLL_INTERVAL_MS);
    }
  CU_ASSERT_EQUAL (net_unsent_bytes (a.net), 0);
  CU_ASSERT_EQUAL (atomic_load (&a.peers_down_count), 0);
  close (fd);
  close (listener_fd);
  host_stop (&a);
  g_free (address);
  g_free (chunk);
}

static const unit_test_t tests[] = {
  { "frames arrive once", test_frames },
  { "HELLO after a partition", test_hello_after_partition },
  { "reconnect", test_reconnect },
  { "HELLO from a host during a connection attempt to it", test_hello_while_connecting },
  { "unsent bytes", test_unsent_bytes },
};

int
main (void)
{
  return unit_run ("net", tests, G_N_ELEMENTS (tests));
}
