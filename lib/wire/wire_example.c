/* wire_example.c -- connects two hosts in one process and sends a frame */
#include "base/clock.h"
#include "wire/frame.h"
#include "wire/net.h"

#include <stdatomic.h>
#include <stdio.h>

#define POLL_COUNT 500
#define POLL_INTERVAL_MS 10

static atomic_int peers_up_count;
static atomic_int frame_count;

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  (void) data;
  printf ("%zu bytes from %s\n", g_bytes_get_size (frame), host);
  atomic_fetch_add (&frame_count, 1);
}

static void
on_up (const net_peer_t *peer, void *data)
{
  (void) peer;
  (void) data;
  atomic_fetch_add (&peers_up_count, 1);
}

static void
on_down (const char *host, void *data)
{
  (void) host;
  (void) data;
}

static net_t *
start (const char *host, const char *address)
{
  static const net_ops_t ops = { on_frame, on_up, on_down };
  net_options_t options = {
    .listen_address = address,
    .self = { (char *) host, (char *) "dc", (char *) address, 1 },
    .ops = &ops,
  };
  net_t *net = NULL;

  return net_start (&options, &net) == 0 ? net : NULL;
}

static void
wait_for (atomic_int *count, int target)
{
  for (int i = 0; i < POLL_COUNT && atomic_load (count) < target; i++)
    clock_sleep_ms (POLL_INTERVAL_MS);
}

int
main (int argc, char **argv)
{
  const char *first = argc > 1 ? argv[1] : "127.0.0.1:28901";
  const char *second = argc > 2 ? argv[2] : "127.0.0.1:28902";
  net_t *a = start ("a", first);
  net_t *b = start ("b", second);

  if (a == NULL || b == NULL)
    return 1;
  net_add_address (a, second, "dc", true);
  wait_for (&peers_up_count, 2);
  frame_writer_t *writer = frame_begin (FRAME_PING);
  frame_put_string (writer, "hello");
  net_send (a, "b", frame_finish (writer));
  wait_for (&frame_count, 1);
  net_stop (a);
  net_stop (b);
  return atomic_load (&frame_count) == 1 ? 0 : 1;
}
