/* test_net_limits.c -- crowds of peers that misbehave at the address for other hosts
 *
 * Each crowd is played against one net_t.  Its memory and descriptors must stay under a bound that
 * follows from the limits, and a host that behaves must be able to send a frame beside the crowd.
 */
#include "base/clock.h"
#include "tests/held_memory.h"
#include "tests/unit_runner.h"
#include "wire/frame.h"
#include "wire/net.h"
#include "wire/socket.h"

#include <CUnit/CUnit.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Limits the time that a failing test waits; it is not a bound on the tested code. */
#define WAIT_MAX_MS 20000
#define POLL_INTERVAL_MS 10
#define MIB (1024 * 1024)
/* Peers that announce a large frame before their HELLO, and what each tries to send of it. */
#define UNNAMED_PEERS 16
#define UNNAMED_PEER_BYTES (8 * MIB)
#define UNNAMED_MEMORY_MAX_BYTES (16 * MIB)
/* Connections without a HELLO, opened at once. */
#define SILENT_PEERS 600
#define SILENT_OPEN_MAX 300
/* Peers that send a HELLO and then a large frame that they do not finish. */
#define UNFINISHED_PEERS 16
#define UNFINISHED_PEER_BYTES (16 * MIB)
#define UNFINISHED_MEMORY_MAX_BYTES (160 * MIB)
/* Complete frames that are not handled while they arrive. */
#define UNHANDLED_FRAMES 1536
#define UNHANDLED_FRAME_BYTES 65536
#define UNHANDLED_MEMORY_MAX_BYTES (24 * MIB)
/* Peers that take a connection from this host and read nothing, and what is sent to each. */
#define UNREAD_PEERS 4
#define UNREAD_FRAMES 64
#define UNREAD_FRAME_BYTES MIB
#define UNREAD_MEMORY_MAX_BYTES (96 * MIB)
/* Hosts that say HELLO from an address of their own each, one after the other. */
#define TOLD_ADDRESSES 6000
/* Peers that each send complete frames, which are not handled while they arrive. */
#define FAST_PEERS 16
#define FAST_PEER_FRAMES 112
#define FAST_MEMORY_MAX_BYTES (96 * MIB)
/* Descriptors left to the process.  All are taken by connections that want to be accepted. */
#define FILES_LEFT 40
#define FILES_PEERS 200
#define SPIN_WATCH_MS 1000
#define SPIN_CPU_MAX_MS 500

typedef struct
{
  atomic_int up_count;
  atomic_int frame_count;
  atomic_bool keeps; /* frames are kept in KEPT, as by a loop that does not get to them */
  GAsyncQueue *kept;
  net_t *net;
  char *address;
} host_t;

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  host_t *self = data;

  (void) host;
  atomic_fetch_add (&self->frame_count, 1);
  if (atomic_load (&self->keeps) && g_bytes_get_size (frame) >= UNHANDLED_FRAME_BYTES)
    g_async_queue_push (self->kept, g_bytes_ref (frame));
}

static void
on_up (const net_peer_t *peer, void *data)
{
  (void) peer;
  atomic_fetch_add (&((host_t *) data)->up_count, 1);
}

static void
on_down (const char *host, void *data)
{
  (void) host;
  (void) data;
}

static void
host_start (host_t *host, const char *id, int first_port)
{
  static const net_ops_t ops = { on_frame, on_up, on_down };

  host->kept = g_async_queue_new_full ((GDestroyNotify) g_bytes_unref);
  for (int port = first_port; port < first_port + 1000 && host->net == NULL; port++)
    {
      g_free (host->address);
      host->address = g_strdup_printf ("127.0.0.1:%d", port);
      net_options_t options = { .listen_address = host->address,
                                .self = { (char *) id, "x", host->address, 1 },
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
  g_async_queue_unref (host->kept);
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

static int
open_files (void)
{
  int count = 0;
  DIR *directory = opendir ("/proc/self/fd");

  CU_ASSERT_PTR_NOT_NULL_FATAL (directory);
  while (directory != NULL && readdir (directory) != NULL)
    count++;
  if (directory != NULL)
    closedir (directory);
  return count;
}

/* Connects FD to HOST, after which FD does not block. */
static void
connect_to (const host_t *host, int fd)
{
  struct sockaddr_storage storage;
  socklen_t size = socket_parse_address (host->address, &storage);

  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *) &storage, size), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
}

/* Opens a connection to HOST. */
static int
dial (const host_t *host)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  connect_to (host, fd);
  return fd;
}

/* Sends up to SIZE bytes, until the peer closes or has taken nothing for a second.  Returns how
 * many were taken. */
static gsize
send_some (int fd, const void *data, gsize size)
{
  gsize sent = 0;
  int idle_ms = 0;

  while (sent < size && idle_ms < 1000)
    {
      ssize_t taken = send (fd, (const char *) data + sent, size - sent, MSG_NOSIGNAL);
      if (taken < 0 && errno != EAGAIN)
        break;
      if (taken < 0)
        {
          clock_sleep_ms (POLL_INTERVAL_MS);
          idle_ms += POLL_INTERVAL_MS;
          continue;
        }
      sent += (gsize) taken;
      idle_ms = 0;
    }
  return sent;
}

static void
send_hello (int fd, const char *host, const char *address)
{
  frame_writer_t *writer = frame_begin (FRAME_HELLO);

  frame_put_int (writer, 1);
  frame_put_string (writer, host);
  frame_put_string (writer, "x");
  frame_put_uint (writer, 1);
  frame_put_string (writer, address);
  GBytes *hello = frame_finish (writer);
  gsize size = 0;
  const void *data = g_bytes_get_data (hello, &size);
  send_some (fd, data, size);
  g_bytes_unref (hello);
}

/* Announces a frame of FRAME_MAX_BYTES and sends SIZE bytes of it. */
static void
send_unfinished (int fd, gsize size)
{
  const guint8 length[] = { FRAME_MAX_BYTES >> 24, (FRAME_MAX_BYTES >> 16) & 0xff, 0, 0 };
  guint8 *zeros = g_malloc0 (MIB);

  send_some (fd, length, sizeof length);
  for (gsize sent = 0; sent < size; sent += MIB)
    if (send_some (fd, zeros, MIB) < MIB)
      break;
  g_free (zeros);
}

static void
close_all (const int *fds, int count)
{
  for (int i = 0; i < count; i++)
    if (fds[i] >= 0)
      close (fds[i]);
}

/* A host that behaves must get a frame through to HOST. */
static void
check_ordinary_host (host_t *host)
{
  host_t other = { 0 };
  int frames = atomic_load (&host->frame_count);

  host_start (&other, "ordinary", 27300);
  net_add_address (other.net, host->address, "x", true);
  CU_ASSERT_TRUE (wait_for_count (&other.up_count, 1));
  CU_ASSERT_EQUAL (net_send (other.net, "a", frame_finish (frame_begin (FRAME_PING))), 0);
  CU_ASSERT_TRUE (wait_for_count (&host->frame_count, frames + 1));
  host_stop (&other);
}

/* Who has not sent a HELLO makes this host keep no more than a small frame. */
static void
test_large_frames_before_hello (void)
{
  host_t a = { 0 };
  int fds[UNNAMED_PEERS];

  host_start (&a, "a", 26100);
  int64_t before = held_memory_bytes ();
  int64_t most = 0;
  for (int i = 0; i < UNNAMED_PEERS; i++)
    {
      fds[i] = dial (&a);
      send_unfinished (fds[i], UNNAMED_PEER_BYTES);
      most = MAX (most, held_memory_bytes () - before);
    }
  CU_ASSERT_TRUE (most <= UNNAMED_MEMORY_MAX_BYTES);
  check_ordinary_host (&a);
  close_all (fds, UNNAMED_PEERS);
  host_stop (&a);
}

static void
test_silent_connections (void)
{
  host_t a = { 0 };
  int fds[SILENT_PEERS];

  host_start (&a, "a", 26100);
  int before = open_files ();
  int most = 0;
  for (int i = 0; i < SILENT_PEERS; i++)
    {
      fds[i] = dial (&a);
      most = MAX (most, open_files () - before - (i + 1));
    }
  CU_ASSERT_TRUE (most <= SILENT_OPEN_MAX);
  check_ordinary_host (&a);
  close_all (fds, SILENT_PEERS);
  host_stop (&a);
}

/* Without a free descriptor accepting pauses: no loop, and it goes on when one is free. */
static void
test_no_descriptors (void)
{
  host_t a = { 0 };
  int fds[FILES_PEERS];
  int count = 0;
  struct rlimit old;
  struct timespec cpu_from;
  struct timespec cpu_to;

  host_start (&a, "a", 26100);
  getrlimit (RLIMIT_NOFILE, &old);
  struct rlimit low = { .rlim_cur = (rlim_t) open_files () + FILES_LEFT, .rlim_max = old.rlim_max };
  setrlimit (RLIMIT_NOFILE, &low);
  while (count < FILES_PEERS && (fds[count] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) >= 0)
    count++;
  CU_ASSERT_TRUE (count < FILES_PEERS);
  for (int i = 0; i < count; i++)
    connect_to (&a, fds[i]);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &cpu_from);
  clock_sleep_ms (SPIN_WATCH_MS);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &cpu_to);
  int64_t cpu_ms =
      (cpu_to.tv_sec - cpu_from.tv_sec) * 1000 + (cpu_to.tv_nsec - cpu_from.tv_nsec) / 1000000;
  CU_ASSERT_TRUE (cpu_ms <= SPIN_CPU_MAX_MS);
  setrlimit (RLIMIT_NOFILE, &old);
  check_ordinary_host (&a);
  close_all (fds, count);
  host_stop (&a);
}

static void
test_unfinished_frames (void)
{
  host_t a = { 0 };
  int fds[UNFINISHED_PEERS];

  host_start (&a, "a", 26100);
  int64_t before = held_memory_bytes ();
  int64_t most = 0;
  for (int i = 0; i < UNFINISHED_PEERS; i++)
    {
      char *name = g_strdup_printf ("peer-%d", i);
      fds[i] = dial (&a);
      send_hello (fds[i], name, a.address);
      send_unfinished (fds[i], UNFINISHED_PEER_BYTES);
      most = MAX (most, held_memory_bytes () - before);
      g_free (name);
    }
  CU_ASSERT_TRUE (most <= UNFINISHED_MEMORY_MAX_BYTES);
  check_ordinary_host (&a);
  close_all (fds, UNFINISHED_PEERS);
  host_stop (&a);
}

/* A host that does not get to the frames of a peer stops reading them; none is lost. */
static void
test_unhandled_frames (void)
{
  host_t a = { 0 };
  guint8 *frame = g_malloc0 (FRAME_LENGTH_BYTES + UNHANDLED_FRAME_BYTES);
  int sent = 0;

  /* A frame is an array of its type (PING) and a byte string. */
  const guint8 head[] = { 0, 1, 0, 0, 0xdd, 0, 0, 0, 2, FRAME_PING, 0xc6, 0, 0, 0xff, 0xf5 };
  memcpy (frame, head, sizeof head);
  host_start (&a, "a", 26100);
  atomic_store (&a.keeps, true);
  int fd = dial (&a);
  send_hello (fd, "fast", a.address);
  int64_t before = held_memory_bytes ();
  gsize part = 0;
  for (sent = 0; sent < UNHANDLED_FRAMES; sent++)
    {
      part = send_some (fd, frame, FRAME_LENGTH_BYTES + UNHANDLED_FRAME_BYTES);
      if (part < FRAME_LENGTH_BYTES + UNHANDLED_FRAME_BYTES)
        break;
    }
  CU_ASSERT_TRUE (held_memory_bytes () - before <= UNHANDLED_MEMORY_MAX_BYTES);
  CU_ASSERT_TRUE (sent < UNHANDLED_FRAMES);
  check_ordinary_host (&a);
  atomic_store (&a.keeps, false);
  void *kept = NULL;
  while ((kept = g_async_queue_try_pop (a.kept)) != NULL)
    g_bytes_unref (kept);
  /* The frame that was cut short is completed. */
  send_some (fd, frame + part, FRAME_LENGTH_BYTES + UNHANDLED_FRAME_BYTES - part);
  CU_ASSERT_TRUE (wait_for_count (&a.frame_count, sent + 2));
  close (fd);
  host_stop (&a);
  g_free (frame);
}

/* What many peers send and nobody handles has a bound together. */
static void
test_unhandled_frames_together (void)
{
  host_t a = { 0 };
  int fds[FAST_PEERS];
  guint8 *frame = g_malloc0 (FRAME_LENGTH_BYTES + UNHANDLED_FRAME_BYTES);
  const guint8 head[] = { 0, 1, 0, 0, 0xdd, 0, 0, 0, 2, FRAME_PING, 0xc6, 0, 0, 0xff, 0xf5 };

  memcpy (frame, head, sizeof head);
  host_start (&a, "a", 26100);
  atomic_store (&a.keeps, true);
  int64_t before = held_memory_bytes ();
  for (int i = 0; i < FAST_PEERS; i++)
    {
      char *name = g_strdup_printf ("fast-%d", i);
      fds[i] = dial (&a);
      send_hello (fds[i], name, a.address);
      for (int sent = 0; sent < FAST_PEER_FRAMES; sent++)
        if (send_some (fds[i], frame, FRAME_LENGTH_BYTES + UNHANDLED_FRAME_BYTES)
            < FRAME_LENGTH_BYTES + UNHANDLED_FRAME_BYTES)
          break;
      g_free (name);
    }
  CU_ASSERT_TRUE (held_memory_bytes () - before <= FAST_MEMORY_MAX_BYTES);
  atomic_store (&a.keeps, false);
  void *kept = NULL;
  while ((kept = g_async_queue_try_pop (a.kept)) != NULL)
    g_bytes_unref (kept);
  check_ordinary_host (&a);
  close_all (fds, FAST_PEERS);
  host_stop (&a);
  g_free (frame);
}

/* Answers the connection of a host that has dialed LISTEN_FD with a HELLO as NAME, and reads
 * nothing. Returns the connection. */
static int
accept_as (int listen_fd, const char *name, const char *address)
{
  int fd = -1;

  for (int waited_ms = 0; waited_ms < WAIT_MAX_MS && fd < 0; waited_ms += POLL_INTERVAL_MS)
    {
      fd = accept4 (listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        clock_sleep_ms (POLL_INTERVAL_MS);
    }
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  send_hello (fd, name, address);
  return fd;
}

/* What waits for peers that do not read has a bound for all of them together. */
static void
test_unread_frames (void)
{
  host_t a = { 0 };
  int listeners[UNREAD_PEERS];
  int fds[UNREAD_PEERS];
  guint8 *zeros = g_malloc0 (UNREAD_FRAME_BYTES);

  host_start (&a, "a", 26100);
  int64_t before = held_memory_bytes ();
  int64_t most = 0;
  for (int i = 0; i < UNREAD_PEERS; i++)
    {
      char *address = NULL;
      char *name = g_strdup_printf ("unread-%d", i);
      listeners[i] = -1;
      for (int port = 28100; listeners[i] < 0 && port < 28400; port++)
        {
          g_free (address);
          address = g_strdup_printf ("127.0.0.1:%d", port);
          listeners[i] = socket_listen (address);
        }
      net_add_address (a.net, address, "x", true);
      fds[i] = accept_as (listeners[i], name, address);
      CU_ASSERT_TRUE (wait_for_count (&a.up_count, i + 1));
      for (int sent = 0; sent < UNREAD_FRAMES; sent++)
        {
          frame_writer_t *writer = frame_begin (FRAME_PING);
          frame_put_bytes (writer, zeros, UNREAD_FRAME_BYTES);
          net_send (a.net, name, frame_finish (writer));
          most = MAX (most, held_memory_bytes () - before);
        }
      g_free (address);
      g_free (name);
    }
  CU_ASSERT_TRUE (most <= UNREAD_MEMORY_MAX_BYTES);
  check_ordinary_host (&a);
  close_all (fds, UNREAD_PEERS);
  close_all (listeners, UNREAD_PEERS);
  host_stop (&a);
  g_free (zeros);
}

/* Each HELLO tells an address to which this host then connects again and again. */
static void
test_told_addresses (void)
{
  host_t a = { 0 };

  host_start (&a, "a", 26100);
  for (int i = 0; i < TOLD_ADDRESSES; i++)
    {
      char *name = g_strdup_printf ("told-%d", i);
      char *address = g_strdup_printf ("127.77.%d.%d:9", i / 250, i % 250 + 1);
      int fd = dial (&a);
      send_hello (fd, name, address);
      close (fd);
      g_free (name);
      g_free (address);
    }
  check_ordinary_host (&a);
  CU_ASSERT_TRUE (net_address_count (a.net) <= NET_ADDRESSES_MAX);
  CU_ASSERT_TRUE (net_address_count (a.net) >= NET_ADDRESSES_MAX / 2);
  host_stop (&a);
}

static const unit_test_t tests[] = {
  { "large frames before the HELLO", test_large_frames_before_hello },
  { "connections without a HELLO", test_silent_connections },
  { "no descriptors", test_no_descriptors },
  { "unfinished frames", test_unfinished_frames },
  { "frames that are not handled", test_unhandled_frames },
  { "frames of many peers that are not handled", test_unhandled_frames_together },
  { "frames that are not read", test_unread_frames },
  { "addresses told by peers", test_told_addresses },
};

int
main (void)
{
  return unit_run ("net limits", tests, G_N_ELEMENTS (tests));
}
