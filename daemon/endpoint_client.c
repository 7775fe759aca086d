/* endpoint_client.c -- HTTP calls to endpoints on traffic threads
 *
 * A connection is kept after a complete answer and probed before it is used
 * again, because a task whose request is sent on a closed connection counts as
 * started.  When a call fails, the idle connections to the same endpoint are
 * closed too, since they probably lead to a process that has exited.  Requests
 * are not pipelined, so an answer on a connection belongs to its only call.
 *
 * The outcome of a call is decided exactly once, with an atomic exchange: by its
 * thread when the HTTP exchange ends, or by endpoint_client_tick () when the call
 * is overdue.
 */
#include "daemon/endpoint_client.h"

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
/* Limits how many idle connections are open.  Connections that the endpoint has closed are
 * found by the probe before each use, except if the close is still in transit. */
#define IDLE_TIMEOUT_MS 5000
#define TASK_ID_HEADER "X-Task-Id"
#define STATUS_OK_FIRST 200
#define STATUS_OK_LAST 299
#define STATUS_CLIENT_FIRST 400
#define STATUS_CLIENT_LAST 499
#define US_PER_MS 1000

typedef struct
{
  http_connection_t *connection;
  int64_t expires_at_ms;
} idle_connection_t;

struct endpoint_client_t
{
  daemon_t *daemon;
  pool_t *pool;
  pthread_mutex_t lock;
  GHashTable *idle_connections; /* address -> GQueue of idle_connection_t, newest first */
  GHashTable *running_calls;    /* set of call_t; used by the control thread only */
  counter_t *requests;
  counter_t *connects;
  counter_t *connects_refused;
  counter_t *mismatched_answers;
  counter_t *overdue_calls;
};

typedef struct
{
  atomic_int refs;
  atomic_bool outcome_decided;
  endpoint_client_t *client;
  char *address;
  char *path;
  char *headers;
  char *task_id;
  GBytes *body;
  int64_t deadline_at_ms;
  int64_t started_at_us;
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
  g_free (call->task_id);
  g_bytes_unref (call->body);
  g_free (call);
}

/* --- idle connections --- */

static void
idle_connection_free (void *data)
{
  idle_connection_t *idle = data;

  http_close (idle->connection);
  g_free (idle);
}

static void
idle_queue_free (void *data)
{
  g_queue_free_full (data, idle_connection_free);
}

static http_connection_t *
pop_idle_connection (endpoint_client_t *client, const char *address)
{
  http_connection_t *connection = NULL;

  pthread_mutex_lock (&client->lock);
  GQueue *queue = g_hash_table_lookup (client->idle_connections, address);
  idle_connection_t *idle = queue != NULL ? g_queue_pop_head (queue) : NULL;
  pthread_mutex_unlock (&client->lock);
  if (idle != NULL)
    connection = idle->connection;
  g_free (idle);
  return connection;
}

/* Returns an idle connection that the endpoint has not closed, or NULL. */
static http_connection_t *
take_idle_connection (endpoint_client_t *client, const char *address)
{
  http_connection_t *connection = NULL;

  while ((connection = pop_idle_connection (client, address)) != NULL && !http_is_idle (connection))
    http_close (connection);
  return connection;
}

static void
store_idle_connection (endpoint_client_t *client,
                       const char *address,
                       http_connection_t *connection)
{
  idle_connection_t *idle = g_new (idle_connection_t, 1);

  idle->connection = connection;
  idle->expires_at_ms = clock_boot_ms () + IDLE_TIMEOUT_MS;
  pthread_mutex_lock (&client->lock);
  GQueue *queue = g_hash_table_lookup (client->idle_connections, address);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (client->idle_connections, g_strdup (address), queue);
    }
  g_queue_push_head (queue, idle);
  pthread_mutex_unlock (&client->lock);
}

static void
close_idle_connections (endpoint_client_t *client, const char *address)
{
  void *key = NULL;
  void *queue = NULL;

  pthread_mutex_lock (&client->lock);
  bool found = g_hash_table_steal_extended (client->idle_connections, address, &key, &queue);
  pthread_mutex_unlock (&client->lock);
  if (!found)
    return;
  g_free (key);
  idle_queue_free (queue);
}

/* Closes idle connections that have expired, also when no calls are made. */
static void
close_expired_connections (endpoint_client_t *client, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  GQueue stale = G_QUEUE_INIT;

  pthread_mutex_lock (&client->lock);
  g_hash_table_iter_init (&iter, client->idle_connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQueue *queue = value;
      idle_connection_t *oldest = g_queue_peek_tail (queue);
      while (oldest != NULL && now_ms >= oldest->expires_at_ms)
        {
          g_queue_push_tail (&stale, g_queue_pop_tail (queue));
          oldest = g_queue_peek_tail (queue);
        }
      if (g_queue_is_empty (queue))
        g_hash_table_iter_remove (&iter);
    }
  pthread_mutex_unlock (&client->lock);
  g_queue_clear_full (&stale, idle_connection_free);
}

/* --- a call, on its traffic thread --- */

static void
report_result (void *data)
{
  call_t *call = data;

  g_hash_table_remove (call->client->running_calls, call);
  call->done (&call->result, call->data);
  call_unref (call);
}

static void
decide_outcome (call_t *call, dispatch_outcome_t outcome, http_answer_t *answer)
{
  if (atomic_exchange (&call->outcome_decided, true))
    return;
  call->result.outcome = outcome;
  call->result.elapsed_us = clock_boot_us () - call->started_at_us;
  if (outcome == DISPATCH_DONE || outcome == DISPATCH_FAILED)
    {
      call->result.status = answer->status;
      call->result.body = g_steal_pointer (&answer->body);
    }
  atomic_fetch_add (&call->refs, 1);
  daemon_post (call->client->daemon, report_result, call);
}

static dispatch_outcome_t
classify_answer (call_t *call, int result, const http_answer_t *answer)
{
  if (result == ERROR_TIMEOUT)
    return DISPATCH_TIMEOUT;
  if (result != 0)
    return DISPATCH_CONNECTION_LOST;
  if (g_strcmp0 (answer->copied_header, call->task_id) != 0)
    {
      counter_add (call->client->mismatched_answers, 1);
      return DISPATCH_CONNECTION_LOST;
    }
  bool is_success = answer->status >= STATUS_OK_FIRST && answer->status <= STATUS_OK_LAST;
  bool is_client_error =
      answer->status >= STATUS_CLIENT_FIRST && answer->status <= STATUS_CLIENT_LAST;
  return is_success || is_client_error ? DISPATCH_DONE : DISPATCH_FAILED;
}

static void
exchange_request (call_t *call, http_connection_t *connection)
{
  endpoint_client_t *client = call->client;
  const settings_t *settings = daemon_settings (client->daemon);
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
    .copy_header = TASK_ID_HEADER,
  };

  counter_add (client->requests, 1);
  int result = http_exchange (connection, &request, &answer);
  dispatch_outcome_t outcome = classify_answer (call, result, &answer);
  bool complete = outcome == DISPATCH_DONE || outcome == DISPATCH_FAILED;
  if (complete && answer.reusable)
    store_idle_connection (client, call->address, connection);
  else
    http_close (connection);
  if (!complete)
    close_idle_connections (client, call->address);
  decide_outcome (call, outcome, &answer);
  http_answer_clear (&answer);
}

static void
run_call (void *data, void *user)
{
  call_t *call = data;
  endpoint_client_t *client = user;
  http_connection_t *connection = take_idle_connection (client, call->address);

  if (connection == NULL)
    {
      counter_add (client->connects, 1);
      if (http_connect (call->address, &connection) != 0)
        {
          counter_add (client->connects_refused, 1);
          close_idle_connections (client, call->address);
        }
    }
  if (connection == NULL)
    decide_outcome (call, DISPATCH_NOT_STARTED, NULL);
  else if (clock_boot_ms () >= call->deadline_at_ms || atomic_load (&call->outcome_decided))
    {
      /* The deadline passed before anything was sent, so the task has not started. */
      store_idle_connection (client, call->address, connection);
      decide_outcome (call, DISPATCH_NOT_STARTED, NULL);
    }
  else
    exchange_request (call, connection);
  call_unref (call);
}

/* --- control thread --- */

endpoint_client_t *
endpoint_client_new (daemon_t *daemon)
{
  endpoint_client_t *client = g_new0 (endpoint_client_t, 1);
  int threads = (int) daemon_settings (daemon)->endpoint_threads;

  client->daemon = daemon;
  pthread_mutex_init (&client->lock, NULL);
  client->idle_connections =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, idle_queue_free);
  client->running_calls = g_hash_table_new (NULL, NULL);
  client->pool = pool_new (run_call, client, threads);
  client->requests = counter_get ("jaytrail_endpoint_requests_total", NULL);
  client->connects = counter_get ("jaytrail_endpoint_connects_total", NULL);
  client->connects_refused = counter_get ("jaytrail_endpoint_connects_refused_total", NULL);
  client->mismatched_answers = counter_get ("jaytrail_endpoint_foreign_answers_total", NULL);
  client->overdue_calls = counter_get ("jaytrail_endpoint_overdue_total", NULL);
  return client;
}

void
endpoint_client_call (endpoint_client_t *client,
                      const endpoint_call_t *from,
                      endpoint_done_t done,
                      void *data)
{
  call_t *call = g_new0 (call_t, 1);

  atomic_init (&call->refs, 1);
  call->client = client;
  call->address = g_strdup (from->address);
  call->path = g_strdup_printf ("/run/%s", from->kind);
  call->headers =
      g_strdup_printf ("X-Job-Key: %s\r\nX-Task-Id: %s\r\nX-Plan: %s\r\n"
                       "X-Deadline-At-Ms: %" G_GINT64_FORMAT "\r\n"
                       "Content-Type: application/octet-stream\r\n",
                       from->job_key, from->task_id, from->plan, from->deadline_wall_ms);
  call->task_id = g_strdup (from->task_id);
  call->body = from->body != NULL ? g_bytes_ref (from->body) : g_bytes_new (NULL, 0);
  call->deadline_at_ms = from->deadline_at_ms;
  call->started_at_us = clock_boot_us ();
  call->done = done;
  call->data = data;
  g_hash_table_add (client->running_calls, call);
  pool_push (client->pool, call);
}

static void
report_overdue (endpoint_client_t *client, call_t *call)
{
  counter_add (client->overdue_calls, 1);
  atomic_fetch_add (&call->refs, 1);
  call->result.outcome = DISPATCH_TIMEOUT;
  call->result.elapsed_us = clock_boot_us () - call->started_at_us;
  report_result (call);
}

void
endpoint_client_tick (endpoint_client_t *client, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *overdue_calls = g_ptr_array_new ();

  close_expired_connections (client, now_ms);
  g_hash_table_iter_init (&iter, client->running_calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      call_t *call = key;
      if (now_ms > call->deadline_at_ms + ENDPOINT_GRACE_MS
          && !atomic_exchange (&call->outcome_decided, true))
        g_ptr_array_add (overdue_calls, call);
    }
  for (guint i = 0; i < overdue_calls->len; i++)
    report_overdue (client, overdue_calls->pdata[i]);
  g_ptr_array_unref (overdue_calls);
}
