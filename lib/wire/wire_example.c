/* wire_example.c -- two nets greet each other and exchange a frame */
#include "base/clock.h"
#include "wire/frame.h"
#include "wire/net.h"

#include <stdatomic.h>
#include <stdio.h>

#define TRIES 500
#define TRY_EVERY_MS 10

static atomic_int ups;
static atomic_int frames;

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  (void) data;
  printf ("%zu bytes from %s\n", g_bytes_get_size (frame), host);
  atomic_fetch_add (&frames, 1);
}

static void
on_up (const net_peer_t *peer, void *data)
{
  (void) peer;
  (void) data;
  atomic_fetch_add (&ups, 1);
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
    address, { (char *) host, (char *) "dc", (char *) address, 1 }, &ops, NULL
  };
  net_t *net = NULL;

  return net_start (&options, &net) == 0 ? net : NULL;
}

static void
wait_for (atomic_int *count, int target)
{
  for (int i = 0; i < TRIES && atomic_load (count) < target; i++)
    clock_sleep_ms (TRY_EVERY_MS);
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
  wait_for (&ups, 2);
  frame_writer_t *writer = frame_begin (FRAME_PING);
  frame_put_string (writer, "hello");
  net_send (a, "b", frame_finish (writer));
  wait_for (&frames, 1);
  net_stop (a);
  net_stop (b);
  return atomic_load (&frames) == 1 ? 0 : 1;
}
