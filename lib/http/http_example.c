/* http_example.c -- an echo server and one call to it */
#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"

#include <stdio.h>
#include <string.h>

#define TIMEOUT_MS 5000
#define MAX_BYTES 4096

static void
echo (const http_request_t *request, http_response_t *response, void *data)
{
  (void) data;
  response->status = 200;
  response->body = g_bytes_ref (request->body);
}

int
main (int argc, char **argv)
{
  const char *address = argc > 1 ? argv[1] : "127.0.0.1:28903";
  http_server_options_t options = { .address = address,
                                    .threads = 2,
                                    .max_body_bytes = MAX_BYTES,
                                    .max_total_bytes = MAX_BYTES,
                                    .handler = echo };
  http_server_t *server = NULL;
  http_answer_t answer = { 0 };
  http_call_t call = { .method = "POST",
                       .path = "/",
                       .body = "hello",
                       .body_bytes = strlen ("hello"),
                       .deadline_at_ms = clock_boot_ms () + TIMEOUT_MS,
                       .max_answer_bytes = MAX_BYTES };

  if (http_server_start (&options, &server) != 0)
    return 1;
  int result = http_call_once (address, &call, &answer);
  if (result == 0)
    printf ("%d %.*s\n", answer.status, (int) answer.body->len, (const char *) answer.body->data);
  http_answer_clear (&answer);
  http_server_stop (server);
  return result == 0 ? 0 : 1;
}
