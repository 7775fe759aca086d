/* reactor_example.c -- an echo server and one call to it on the same loop */
#include "base/clock.h"
#include "reactor/web.h"

#include <stdio.h>
#include <string.h>

#define ADDRESS "127.0.0.1:17999"
#define TICK_MS 5

static web_client_t *client;
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
on_answer (const web_call_answer_t *answer, void *data)
{
  (void) data;
  printf ("%d %s\n", answer->status, answer->body);
  loop_stop (loop);
}

static void
on_tick (void *data)
{
  (void) data;
  web_client_tick (client, clock_boot_ms ());
}

int
main (void)
{
  static const web_server_handlers_t handlers = { on_request, on_abandoned };
  web_server_t *server = NULL;

  loop = loop_new (TICK_MS, on_tick, NULL);
  client = web_client_new (loop);
  web_server_options_t options = { .address = ADDRESS,
                                   .limits = { 4096, 4096, 1000, 1000 },
                                   .handlers = &handlers };
  if (web_server_start (loop, &options, &server) != 0)
    return 1;
  web_call_options_t call = { .address = ADDRESS,
                              .method = "POST",
                              .target = "/echo",
                              .body = "hello",
                              .body_bytes = strlen ("hello"),
                              .deadline_at_ms = clock_boot_ms () + 2000,
                              .done = on_answer };
  web_call_start (client, &call);
  loop_run (loop);
  web_server_free (server);
  web_client_free (client);
  loop_free (loop);
  return 0;
}
