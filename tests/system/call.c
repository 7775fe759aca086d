/* call.c -- HTTP calls of the system tests, each on a thread of its own */
#include "tests/system/call.h"

#include "base/clock.h"
#include "http/client.h"
#include "base/address.h"
#include "tests/system/process.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_MAX_BYTES (256 * 1024 * 1024)
#define RAW_READ_S 20
#define RAW_CHUNK_BYTES 4096

struct call_t
{
  GThread *thread;
  gint done;
  char *address;
  char *method;
  char *path;
  char *headers;
  char *body;
  reply_t reply;
};

static gpointer
call_run (gpointer data)
{
  call_t *call = data;
  http_answer_t answer;
  http_call_t request = { .method = call->method,
                          .path = call->path,
                          .headers = call->headers,
                          .body = call->body,
                          .body_bytes = strlen (call->body),
                          .deadline_at_ms = clock_boot_ms () + HANG_GUARD_MS,
                          .max_answer_bytes = ANSWER_MAX_BYTES };
  call->reply.error = http_call_once (call->address, &request, &answer);
  if (call->reply.error == 0)
    {
      call->reply.status = answer.status;
      call->reply.text_bytes = answer.body->len;
      call->reply.text = g_strndup ((const char *) answer.body->data, answer.body->len);
      call->reply.json = json_tokener_parse (call->reply.text);
      http_answer_clear (&answer);
    }
  g_atomic_int_set (&call->done, 1);
  return NULL;
}

call_t *
call_start (const char *address,
            const char *method,
            const char *path,
            const char *headers,
            const char *body)
{
  call_t *call = g_new0 (call_t, 1);
  call->address = g_strdup (address);
  call->method = g_strdup (method);
  call->path = g_strdup (path);
  call->headers = g_strdup (headers != NULL ? headers : "");
  call->body = g_strdup (body != NULL ? body : "");
  call->reply.begun_at_ms = clock_wall_ms ();
  call->thread = g_thread_new ("call", call_run, call);
  return call;
}

bool
call_done (call_t *call)
{
  return g_atomic_int_get (&call->done) != 0;
}

const reply_t *
call_wait (call_t *call)
{
  if (call->thread != NULL)
    g_thread_join (call->thread);
  call->thread = NULL;
  return &call->reply;
}

void
call_free (call_t *call)
{
  call_wait (call);
  g_free (call->address);
  g_free (call->method);
  g_free (call->path);
  g_free (call->headers);
  g_free (call->body);
  g_free (call->reply.text);
  json_object_put (call->reply.json);
  g_free (call);
}

call_t *
call_now (const char *address,
          const char *method,
          const char *path,
          const char *headers,
          const char *body)
{
  call_t *call = call_start (address, method, path, headers, body);
  call_wait (call);
  return call;
}

int32_t
call_status (const char *address, const char *method, const char *path, const char *body)
{
  call_t *call = call_now (address, method, path, NULL, body);
  int32_t status = call->reply.error != 0 ? call->reply.error : call->reply.status;
  call_free (call);
  return status;
}

const char *
reply_string (const reply_t *reply, const char *name)
{
  json_object *member = NULL;
  if (!json_object_is_type (reply->json, json_type_object)
      || !json_object_object_get_ex (reply->json, name, &member)
      || !json_object_is_type (member, json_type_string))
    return "";
  return json_object_get_string (member);
}

static int
raw_connect (const char *address)
{
  char *ip = NULL;
  uint16_t port = 0;
  if (address_split (address, &ip, &port) != 0)
    return -1;
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, ip, &to.sin_addr);
  g_free (ip);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval guard = { .tv_sec = RAW_READ_S };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof guard);
  if (connect (fd, (struct sockaddr *) &to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
raw_send (int fd, const raw_t *raw)
{
  gsize sent = 0;
  while (sent < raw->size_bytes)
    {
      gsize step =
          MIN (raw->step_bytes > 0 ? raw->step_bytes : raw->size_bytes, raw->size_bytes - sent);
      ssize_t written = send (fd, raw->bytes + sent, step, MSG_NOSIGNAL);
      if (written <= 0)
        return;
      sent += (gsize) written;
      if (raw->pause_ms > 0 && sent < raw->size_bytes)
        clock_sleep_ms (raw->pause_ms);
    }
  if (raw->half_close)
    shutdown (fd, SHUT_WR);
}

char *
call_raw (const char *address, const raw_t *raw)
{
  GString *text = g_string_new (NULL);
  int fd = raw_connect (address);
  if (fd < 0)
    return g_string_free (text, FALSE);
  raw_send (fd, raw);
  char chunk[RAW_CHUNK_BYTES];
  ssize_t got = 0;
  while ((got = recv (fd, chunk, sizeof chunk, 0)) > 0)
    g_string_append_len (text, chunk, got);
  close (fd);
  return g_string_free (text, FALSE);
}
