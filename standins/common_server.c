/* common_server.c -- what the stand-ins share: an HTTP server and JSON helpers */
#include "standins/common_server.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_US 1000

/* Longer than any test, so that the server never closes an idle connection
 * just as a client sends its next request on it. */
#define IDLE_TIMEOUT_MS "600000"
/* Guards the stand-in's memory. */
#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define READ_STEP_BYTES 16384

static void
read_body (standin_request_t *request, long long length)
{
  char step[READ_STEP_BYTES];
  while (length < 0 || (long long) request->body->len < length)
    {
      size_t want = sizeof step;
      if (length >= 0 && length - (long long) request->body->len < (long long) want)
        want = (size_t) (length - (long long) request->body->len);
      int got = mg_read (request->conn, step, want);
      if (got <= 0)
        break;
      g_string_append_len (request->body, step, got);
      if (request->body->len > BODY_MAX_BYTES)
        break;
    }
  request->complete = length < 0 || (long long) request->body->len == length;
}

static int
on_request (struct mg_connection *conn, void *data)
{
  standin_handler_t *handler = data;
  const struct mg_request_info *info = mg_get_request_info (conn);
  standin_request_t request = { .conn = conn,
                                .method = info->request_method,
                                .path = info->local_uri,
                                .query = info->query_string ? info->query_string : "",
                                .body = g_string_new (NULL) };
  bool has_body = info->content_length > 0 || mg_get_header (conn, "Transfer-Encoding") != NULL;
  request.complete = true;
  if (has_body)
    read_body (&request, info->content_length);
  (*handler) (&request);
  g_string_free (request.body, TRUE);
  return 200;
}

int
standin_serve (const char *listen, int threads, standin_handler_t handler)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);

  char threads_text[16];
  g_snprintf (threads_text, sizeof threads_text, "%d", threads);
  const char *options[] = { "listening_ports",
                            listen,
                            "num_threads",
                            threads_text,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            IDLE_TIMEOUT_MS,
                            "request_timeout_ms",
                            IDLE_TIMEOUT_MS,
                            "tcp_nodelay",
                            "1",
                            "connection_queue",
                            "512",
                            "listen_backlog",
                            "512",
                            NULL };
  mg_init_library (0);
  struct mg_context *server = mg_start (NULL, NULL, options);
  if (server == NULL)
    {
      fprintf (stderr, "cannot listen at %s\n", listen);
      return EXIT_FAILURE;
    }
  mg_set_request_handler (server, "/", on_request, &handler);
  struct mg_server_port port;
  int ports = mg_get_server_ports (server, 1, &port);
  const char *colon = strrchr (listen, ':');
  int ip_length = colon ? (int) (colon - listen) : (int) strlen (listen);
  printf ("listening %.*s:%d\n", ip_length, listen, ports > 0 ? port.port : 0);
  fflush (stdout);

  int received = 0;
  sigwait (&signals, &received);
  /* The stand-in keeps nothing, so it ends at once, held answers included. */
  _exit (EXIT_SUCCESS);
}

void
standin_answer (standin_request_t *request,
                int status,
                const char *headers,
                const char *type,
                const char *body,
                size_t size_bytes)
{
  GString *answer = g_string_new (NULL);
  g_string_printf (answer, "HTTP/1.1 %d %s\r\n%sContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
                   status, mg_get_response_code_text (request->conn, status), headers, type,
                   size_bytes);
  g_string_append_len (answer, body, (gssize) size_bytes);
  mg_write (request->conn, answer->str, answer->len);
  g_string_free (answer, TRUE);
}

void
standin_answer_json (standin_request_t *request, int status, const char *text)
{
  standin_answer (request, status, "", "application/json", text, strlen (text));
}

void
standin_answer_error (standin_request_t *request, int status, const char *message)
{
  json_object *answer = json_object_new_object ();
  json_object_object_add (answer, "error", json_object_new_string (message));
  standin_answer_json (request, status, json_object_to_json_string (answer));
  json_object_put (answer);
}

void
standin_close (standin_request_t *request)
{
  mg_disable_connection_keep_alive (request->conn);
}

int64_t
standin_query_int (const standin_request_t *request, const char *name, int64_t otherwise)
{
  char text[32];
  if (mg_get_var (request->query, strlen (request->query), name, text, sizeof text) <= 0)
    return otherwise;
  return g_ascii_strtoll (text, NULL, 10);
}

const char *
standin_header (const standin_request_t *request, const char *name)
{
  const char *value = mg_get_header (request->conn, name);
  return value ? value : "";
}

void
standin_get_bool (json_object *object, const char *name, bool *value)
{
  json_object *member;
  if (json_object_object_get_ex (object, name, &member))
    *value = json_object_get_boolean (member);
}

void
standin_get_int (json_object *object, const char *name, int64_t *value)
{
  json_object *member;
  if (json_object_object_get_ex (object, name, &member))
    *value = json_object_get_int64 (member);
}

void
standin_get_fraction (json_object *object, const char *name, double *value)
{
  json_object *member;
  if (json_object_object_get_ex (object, name, &member))
    *value = json_object_get_double (member);
}

bool
standin_wait (pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t end_us)
{
  struct timespec end = { .tv_sec = end_us / G_USEC_PER_SEC,
                          .tv_nsec = end_us % G_USEC_PER_SEC * NS_PER_US };

  return pthread_cond_clockwait (cond, mutex, CLOCK_MONOTONIC, &end) != ETIMEDOUT;
}
