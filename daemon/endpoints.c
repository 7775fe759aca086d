/* endpoints.c -- calls to endpoints on traffic threads
 *
 * A connection is kept for reuse after a whole answer and is probed before it
 * is used again: a request that meets a closed connection counts as started.  When a call on any
 * connection to an endpoint fails, its idle connections are dropped as well, since they probably
 * lead to a process that is gone.  HTTP is read without pipelining, so what arrives on a connection
 * belongs to its one call.
 *
 * A call's fate is decided once, by an atomic exchange: by its thread when the
 * exchange ends, or by endpoints_tick () when it is overdue.
 */
#include "daemon/endpoints.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/queue.h"
#include "http/client.h"
#include "settings/settings.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define PART "endpoint"
/* A kept connection is probed before each use, so this only bounds how many
 * are open; the probe cannot see a close that is still on its way. */
#define IDLE_MAX_MS 5000
#define ECHO_HEADER "X-Task-Id"
#define STATUS_OK_FIRST 200
#define STATUS_OK_LAST 299
#define STATUS_CLIENT_FIRST 400
#define STATUS_CLIENT_LAST 499
#define US_PER_MS 1000

typedef struct
{
  http_connection_t *connection;
  int64_t idle_until_ms;
} idle_t;

struct endpoints_t
{
  daemon_t *daemon;
  pool_t *pool;
  pthread_mutex_t lock;
  GHashTable *idle;  /* address -> GQueue of idle_t, newest first */
  GHashTable *calls; /* set of running call_t; control thread */
  counter_t *started;
  counter_t *connects;
  counter_t *refused;
  counter_t *foreign;
  counter_t *overdue;
};

typedef struct
{
  atomic_int refs;
  atomic_bool decided;
  endpoints_t *endpoints;
  char *address;
  char *path;
  char *headers;
  char *task;
  GBytes *body;
  int64_t deadline_at_ms;
  int64_t begun_at_us;
  endpoint_done_t done;
  void *data;
  endpoint_result_t result;
} call_t;

static void
call_unref (call_t *call)
{
  if (atomic_fetch_sub (&call->refs, 1) > 1)
    return;
  g_free (call->address);
  g_free (call->path);
  g_free (call->headers);
  g_free (call->task);
  g_bytes_unref (call->body);
  g_free (call);
}

/* --- kept connections --- */

static void
idle_free (void *data)
{
  idle_t *idle = data;

  http_close (idle->connection);
  g_free (idle);
}

static void
idle_queue_free (void *data)
{
  g_queue_free_full (data, idle_free);
}

static http_connection_t *
pop_idle (endpoints_t *endpoints, const char *address)
{
  http_connection_t *connection = NULL;

  pthread_mutex_lock (&endpoints->lock);
  GQueue *queue = g_hash_table_lookup (endpoints->idle, address);
  idle_t *idle = queue != NULL ? g_queue_pop_head (queue) : NULL;
  pthread_mutex_unlock (&endpoints->lock);
  if (idle != NULL)
    connection = idle->connection;
  g_free (idle);
  return connection;
}

/* A kept connection that the endpoint has not closed, or NULL. */
static http_connection_t *
take_idle (endpoints_t *endpoints, const char *address)
{
  http_connection_t *connection = NULL;

  while ((connection = pop_idle (endpoints, address)) != NULL && !http_is_idle (connection))
    http_close (connection);
  return connection;
}

static void
keep_idle (endpoints_t *endpoints, const char *address, http_connection_t *connection)
{
  idle_t *idle = g_new (idle_t, 1);

  idle->connection = connection;
  idle->idle_until_ms = clock_boot_ms () + IDLE_MAX_MS;
  pthread_mutex_lock (&endpoints->lock);
  GQueue *queue = g_hash_table_lookup (endpoints->idle, address);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (endpoints->idle, g_strdup (address), queue);
    }
  g_queue_push_head (queue, idle);
  pthread_mutex_unlock (&endpoints->lock);
}

static void
drop_idle (endpoints_t *endpoints, const char *address)
{
  void *key = NULL;
  void *queue = NULL;

  pthread_mutex_lock (&endpoints->lock);
  bool found = g_hash_table_steal_extended (endpoints->idle, address, &key, &queue);
  pthread_mutex_unlock (&endpoints->lock);
  if (!found)
    return;
  g_free (key);
  idle_queue_free (queue);
}

/* Closes connections whose time is over, so that an idle host keeps none. */
static void
expire_idle (endpoints_t *endpoints, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  GQueue stale = G_QUEUE_INIT;

  pthread_mutex_lock (&endpoints->lock);
  g_hash_table_iter_init (&iter, endpoints->idle);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQueue *queue = value;
      idle_t *oldest = g_queue_peek_tail (queue);
      while (oldest != NULL && now_ms >= oldest->idle_until_ms)
        {
          g_queue_push_tail (&stale, g_queue_pop_tail (queue));
          oldest = g_queue_peek_tail (queue);
        }
      if (g_queue_is_empty (queue))
        g_hash_table_iter_remove (&iter);
    }
  pthread_mutex_unlock (&endpoints->lock);
  g_queue_clear_full (&stale, idle_free);
}

/* --- one call, on its thread --- */

static void
report (void *data)
{
  call_t *call = data;

  g_hash_table_remove (call->endpoints->calls, call);
  call->done (&call->result, call->data);
  call_unref (call);
}

static void
finish (call_t *call, dispatch_outcome_t outcome, http_answer_t *answer)
{
  if (atomic_exchange (&call->decided, true))
    return;
  call->result.outcome = outcome;
  call->result.elapsed_us = clock_boot_us () - call->begun_at_us;
  if (outcome == DISPATCH_DONE || outcome == DISPATCH_FAILED)
    {
      call->result.status = answer->status;
      call->result.body = g_steal_pointer (&answer->body);
    }
  atomic_fetch_add (&call->refs, 1);
  daemon_post (call->endpoints->daemon, report, call);
}

static dispatch_outcome_t
judge (call_t *call, int result, const http_answer_t *answer)
{
  if (result == ERROR_TIMEOUT)
    return DISPATCH_TIMEOUT;
  if (result != 0)
    return DISPATCH_CONNECTION_LOST;
  if (g_strcmp0 (answer->copied_header, call->task) != 0)
    {
      counter_add (call->endpoints->foreign, 1);
      return DISPATCH_CONNECTION_LOST;
    }
  bool good = answer->status >= STATUS_OK_FIRST && answer->status <= STATUS_OK_LAST;
  bool client = answer->status >= STATUS_CLIENT_FIRST && answer->status <= STATUS_CLIENT_LAST;
  return good || client ? DISPATCH_DONE : DISPATCH_FAILED;
}

static void
exchange (call_t *call, http_connection_t *connection)
{
  endpoints_t *endpoints = call->endpoints;
  const settings_t *settings = daemon_settings (endpoints->daemon);
  http_answer_t answer = { 0 };
  gsize size = 0;
  const void *body = g_bytes_get_data (call->body, &size);
  http_call_t request = {
    .method = "POST",
    .path = call->path,
    .headers = call->headers,
    .body = body,
    .body_bytes = size,
    .deadline_at_ms = call->deadline_at_ms,
    .max_answer_bytes = settings->max_answer_bytes,
    .copy_header = ECHO_HEADER,
  };

  counter_add (endpoints->started, 1);
  int result = http_exchange (connection, &request, &answer);
  dispatch_outcome_t outcome = judge (call, result, &answer);
  bool whole = outcome == DISPATCH_DONE || outcome == DISPATCH_FAILED;
  if (whole && answer.reusable)
    keep_idle (endpoints, call->address, connection);
  else
    http_close (connection);
  if (!whole)
    drop_idle (endpoints, call->address);
  finish (call, outcome, &answer);
  http_answer_clear (&answer);
}

static void
run_call (void *data, void *user)
{
  call_t *call = data;
  endpoints_t *endpoints = user;
  http_connection_t *connection = take_idle (endpoints, call->address);

  if (connection == NULL)
    {
      counter_add (endpoints->connects, 1);
      if (http_connect (call->address, &connection) != 0)
        {
          counter_add (endpoints->refused, 1);
          drop_idle (endpoints, call->address);
        }
    }
  if (connection == NULL)
    finish (call, DISPATCH_NOT_STARTED, NULL);
  else if (clock_boot_ms () >= call->deadline_at_ms || atomic_load (&call->decided))
    {
      /* Connecting took too long: nothing has been written, nothing will be. */
      keep_idle (endpoints, call->address, connection);
      finish (call, DISPATCH_NOT_STARTED, NULL);
    }
  else
    exchange (call, connection);
  call_unref (call);
}

/* --- control thread --- */

endpoints_t *
endpoints_new (daemon_t *daemon)
{
  endpoints_t *endpoints = g_new0 (endpoints_t, 1);
  int threads = (int) daemon_settings (daemon)->endpoint_threads;

  endpoints->daemon = daemon;
  pthread_mutex_init (&endpoints->lock, NULL);
  endpoints->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, idle_queue_free);
  endpoints->calls = g_hash_table_new (NULL, NULL);
  endpoints->pool = pool_new (run_call, endpoints, threads);
  endpoints->started = counter_get ("jaytrail_endpoint_requests_total", NULL);
  endpoints->connects = counter_get ("jaytrail_endpoint_connects_total", NULL);
  endpoints->refused = counter_get ("jaytrail_endpoint_connects_refused_total", NULL);
  endpoints->foreign = counter_get ("jaytrail_endpoint_foreign_answers_total", NULL);
  endpoints->overdue = counter_get ("jaytrail_endpoint_overdue_total", NULL);
  return endpoints;
}

void
endpoints_call (endpoints_t *endpoints,
                const endpoint_call_t *from,
                endpoint_done_t done,
                void *data)
{
  call_t *call = g_new0 (call_t, 1);

  atomic_init (&call->refs, 1);
  call->endpoints = endpoints;
  call->address = g_strdup (from->address);
  call->path = g_strdup_printf ("/run/%s", from->kind);
  call->headers = g_strdup_printf ("X-Job-Key: %s\r\nX-Task-Id: %s\r\nX-Plan: %s\r\n"
                                   "X-Deadline-At-Ms: %" G_GINT64_FORMAT "\r\n"
                                   "Content-Type: application/octet-stream\r\n",
                                   from->key, from->task, from->plan, from->deadline_wall_at_ms);
  call->task = g_strdup (from->task);
  call->body = from->body != NULL ? g_bytes_ref (from->body) : g_bytes_new (NULL, 0);
  call->deadline_at_ms = from->deadline_at_ms;
  call->begun_at_us = clock_boot_us ();
  call->done = done;
  call->data = data;
  g_hash_table_add (endpoints->calls, call);
  pool_push (endpoints->pool, call);
}

static void
report_overdue (endpoints_t *endpoints, call_t *call)
{
  counter_add (endpoints->overdue, 1);
  atomic_fetch_add (&call->refs, 1);
  call->result.outcome = DISPATCH_TIMEOUT;
  call->result.elapsed_us = clock_boot_us () - call->begun_at_us;
  report (call);
}

void
endpoints_tick (endpoints_t *endpoints, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *overdue = g_ptr_array_new ();

  expire_idle (endpoints, now_ms);
  g_hash_table_iter_init (&iter, endpoints->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      call_t *call = key;
      if (now_ms > call->deadline_at_ms + ENDPOINT_GRACE_MS
          && !atomic_exchange (&call->decided, true))
        g_ptr_array_add (overdue, call);
    }
  for (guint i = 0; i < overdue->len; i++)
    report_overdue (endpoints, overdue->pdata[i]);
  g_ptr_array_unref (overdue);
}
