/* reactor_example.c -- a listener that echoes, and one call to it, on one loop */
#include "base/clock.h"
#include "reactor/web.h"

#include <stdio.h>
#include <string.h>

#define ADDRESS "127.0.0.1:17999"
#define TICK_MS 5

static webclient_t *client;
static loop_t *loop;

static void
on_request (web_request_t *request, void *data)
{
  (void) data;
  web_reply (request, 200, NULL, request->body);
}

static void
on_abandoned (web_request_t *request, void *data)
{
  (void) request;
  (void) data;
}

static void
on_answer (const webcall_answer_t *answer, void *data)
{
  (void) data;
  printf ("%d %s\n", answer->status, answer->body);
  loop_stop (loop);
}

static void
on_tick (void *data)
{
  (void) data;
  webclient_tick (client, clock_boot_ms ());
}

int
main (void)
{
  static const web_ops_t ops = { on_request, on_abandoned };
  web_t *web = NULL;

  loop = loop_new (TICK_MS, on_tick, NULL);
  client = webclient_new (loop);
  web_options_t options = { .address = ADDRESS, .bounds = { 4096, 4096, 1000, 1000 }, .ops = &ops };
  if (web_listen (loop, &options, &web) != 0)
    return 1;
  webcall_options_t call = { .address = ADDRESS,
                             .method = "POST",
                             .target = "/echo",
                             .body = "hello",
                             .body_bytes = strlen ("hello"),
                             .deadline_at_ms = clock_boot_ms () + 2000,
                             .done = on_answer };
  webcall_start (client, &call);
  loop_run (loop);
  web_free (web);
  webclient_free (client);
  loop_free (loop);
  return 0;
}
