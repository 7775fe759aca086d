/* http_api.c -- the HTTP listeners for callers and for administration
 *
 * A route has a method, a path and a handler; a path that ends in "*" matches
 * any suffix.  Handlers that need state of the control thread post a closure to
 * it and wait for the result.
 */
#include "daemon/http_api.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "daemon/part_burn.h"
#include "daemon/part_job.h"
#include "http/server.h"
#include "job/answer.h"
#include "job/request.h"

#include <pthread.h>
#include <string.h>

#define ADMIN_THREADS 16
#define ADMIN_BODY_MAX_BYTES 65536
/* Threads of the caller listener that are reserved for health checks and refusals. */
#define RESERVED_THREADS 3
/* /livez fails if the control thread has not run a tick for this long. */
#define LIVENESS_TIMEOUT_MS 5000
#define RETRY_AFTER_MIN_S 1
#define JOBS_PATH "/v1/jobs"
#define METRICS_CONTENT_TYPE "text/plain; version=0.0.4"

typedef struct
{
  part_t base;
  daemon_t *daemon;
  part_t *job;
  part_t *burn;
  http_server_t *caller_server;
  http_server_t *admin_server;
  counter_t *overloaded;
} http_api_t;

typedef void (*route_handler_t) (http_api_t *api,
                                 const http_request_t *request,
                                 http_response_t *response);

typedef struct
{
  const char *method;
  const char *path;
  route_handler_t handler;
} route_t;

/* --- helpers --- */

/* Takes ownership of ANSWER. */
static void
respond_with_answer (http_response_t *response, job_answer_t *answer)
{
  response->status = answer->status;
  response->body = g_bytes_ref (answer->body);
  if (answer->retry_at_ms > 0)
    {
      int64_t wait_ms = answer->retry_at_ms - clock_wall_ms ();
      response->retry_after_s = MAX ((wait_ms + 999) / 1000, RETRY_AFTER_MIN_S);
    }
  job_answer_unref (answer);
}

static void
respond_with_text (http_response_t *response, int status, const char *text)
{
  response->status = status;
  response->content_type = "text/plain";
  response->body = g_bytes_new (text, strlen (text));
}

static void
respond_with_json (http_response_t *response, json_object *object)
{
  size_t size = 0;
  const char *text = json_object_to_json_string_length (
      object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED, &size);

  response->status = 200;
  response->body = g_bytes_new (text, size);
  json_object_put (object);
}

/* A call of BUILD on the control thread; see call_control_thread (). */
typedef struct
{
  http_api_t *api;
  json_object *(*build) (http_api_t *api);
  json_object *result;
  pthread_mutex_t lock;
  pthread_cond_t done;
} control_call_t;

static void
run_control_call (void *data)
{
  control_call_t *call = data;
  json_object *result = call->build (call->api);

  pthread_mutex_lock (&call->lock);
  call->result = result;
  pthread_cond_signal (&call->done);
  pthread_mutex_unlock (&call->lock);
}

/* Runs BUILD on the control thread, waits, and returns its result. */
static json_object *
call_control_thread (http_api_t *api, json_object *(*build) (http_api_t *api))
{
  control_call_t call = { .api = api, .build = build };

  pthread_mutex_init (&call.lock, NULL);
  pthread_cond_init (&call.done, NULL);
  daemon_post (api->daemon, run_control_call, &call);
  pthread_mutex_lock (&call.lock);
  while (call.result == NULL)
    pthread_cond_wait (&call.done, &call.lock);
  pthread_mutex_unlock (&call.lock);
  pthread_mutex_destroy (&call.lock);
  pthread_cond_destroy (&call.done);
  return call.result;
}

/* Returns the decoded query parameter NAME, which the caller frees, or NULL. */
static char *
query_value (const http_request_t *request, const char *name)
{
  if (request->query == NULL)
    return NULL;
  GHashTable *values = g_uri_parse_params (request->query, -1, "&", G_URI_PARAMS_NONE, NULL);
  char *value = values != NULL ? g_strdup (g_hash_table_lookup (values, name)) : NULL;
  if (values != NULL)
    g_hash_table_unref (values);
  return value;
}

/* --- caller requests --- */

static void
submit_job (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  const settings_t *settings = daemon_settings (api->daemon);
  job_request_t *job = NULL;
  char *message = NULL;

  if (!job_key_is_valid (request->idempotency_key))
    {
      respond_with_answer (
          response, part_job_refuse (NULL, ERROR_BAD_REQUEST,
                                     "Idempotency-Key must be 1 to 128 visible ASCII characters."));
      return;
    }
  if (request->body_error != 0)
    {
      respond_with_answer (response,
                           part_job_refuse (request->idempotency_key, request->body_error, NULL));
      return;
    }
  if (part_job_waiting_callers (api->job) >= settings->caller_threads - RESERVED_THREADS)
    {
      counter_add (api->overloaded, 1);
      respond_with_answer (response,
                           part_job_refuse (request->idempotency_key, ERROR_OVERLOADED, NULL));
      return;
    }
  int error = job_request_parse (request->idempotency_key, request->body, &job, &message);
  if (error != 0)
    respond_with_answer (response, part_job_refuse (request->idempotency_key, error, message));
  else
    respond_with_answer (response, part_job_submit (api->job, job));
  job_request_unref (job);
  g_free (message);
}

static void
query_job (http_api_t *api,
           const http_request_t *request,
           http_response_t *response,
           job_answer_t *(*operation) (part_t *job, const char *key, const char *home))
{
  const char *key = request->path + strlen (JOBS_PATH "/");

  if (!job_key_is_valid (key))
    {
      respond_with_answer (response,
                           part_job_refuse (NULL, ERROR_BAD_REQUEST,
                                            "The key must be 1 to 128 visible ASCII characters."));
      return;
    }
  char *home = query_value (request, "home");
  respond_with_answer (response, operation (api->job, key, home));
  g_free (home);
}

static void
get_job (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  query_job (api, request, response, part_job_state);
}

static void
cancel_job (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  query_job (api, request, response, part_job_cancel);
}

/* --- health and administration --- */

static void
get_livez (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  bool alive = clock_boot_ms () - part_job_last_tick_ms (api->job) < LIVENESS_TIMEOUT_MS;

  (void) request;
  respond_with_text (response, alive ? 200 : 503, alive ? "ok\n" : "control thread is stuck\n");
}

static void
get_readyz (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  bool draining = daemon_is_draining (api->daemon);
  bool ready = part_job_is_ready (api->job) && !draining;

  (void) request;
  respond_with_text (response, ready ? 200 : 503,
                     ready      ? "ready\n"
                     : draining ? "draining\n"
                                : "no accepted configuration yet\n");
}

static void
get_metrics (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  GString *text = g_string_new (NULL);

  (void) api;
  (void) request;
  counter_print (text);
  response->status = 200;
  response->content_type = METRICS_CONTENT_TYPE;
  response->body = g_string_free_to_bytes (text);
}

static json_object *
build_status (http_api_t *api)
{
  return daemon_status (api->daemon);
}

static void
get_status (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  (void) request;
  respond_with_json (response, call_control_thread (api, build_status));
}

static json_object *
build_burn (http_api_t *api)
{
  json_object *report = json_object_new_object ();

  part_burn_report (api->burn, report);
  return report;
}

static void
get_burn (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  (void) request;
  respond_with_json (response, call_control_thread (api, build_burn));
}

/* For tests, if the settings allow it: drops traffic from or to a data centre.  The body is
 * {"data_centre": string, "in": bool, "out": bool}. */
static void
post_block_traffic (http_api_t *api, const http_request_t *request, http_response_t *response)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (request->body, &size);
  char *copy = g_strndup (text, size);
  json_object *root = json_tokener_parse (copy);
  json_object *name = NULL;
  bool allowed = daemon_settings (api->daemon)->test_faults;

  g_free (copy);
  if (allowed && json_object_object_get_ex (root, "data_centre", &name))
    {
      daemon_block_traffic (api->daemon, json_object_get_string (name),
                            json_object_get_boolean (json_object_object_get (root, "in")),
                            json_object_get_boolean (json_object_object_get (root, "out")));
      respond_with_text (response, 200, "ok\n");
    }
  else if (allowed)
    respond_with_answer (response,
                         part_job_refuse (NULL, ERROR_BAD_REQUEST, "data_centre is required."));
  else
    respond_with_answer (response, part_job_refuse (NULL, ERROR_NOT_FOUND, NULL));
  json_object_put (root);
}

/* --- routing --- */

static const route_t caller_routes[] = {
  { "POST", JOBS_PATH, submit_job },        { "GET", JOBS_PATH "/*", get_job },
  { "DELETE", JOBS_PATH "/*", cancel_job }, { "GET", "/livez", get_livez },
  { "GET", "/readyz", get_readyz },         { NULL, NULL, NULL },
};

static const route_t admin_routes[] = {
  { "GET", "/livez", get_livez },
  { "GET", "/readyz", get_readyz },
  { "GET", "/metrics", get_metrics },
  { "GET", "/v1/status", get_status },
  { "GET", "/v1/burn", get_burn },
  { "POST", "/v1/test/cut", post_block_traffic },
  { NULL, NULL, NULL },
};

static bool
path_matches (const char *pattern, const char *path)
{
  size_t length = strlen (pattern);

  if (pattern[length - 1] != '*')
    return strcmp (pattern, path) == 0;
  return strncmp (pattern, path, length - 1) == 0;
}

static void
route (http_api_t *api,
       const route_t *routes,
       const http_request_t *request,
       http_response_t *response)
{
  bool found = false;

  for (const route_t *row = routes; row->path != NULL; row++)
    {
      if (!path_matches (row->path, request->path))
        continue;
      found = true;
      if (strcmp (row->method, request->method) != 0)
        continue;
      row->handler (api, request, response);
      return;
    }
  respond_with_answer (
      response, part_job_refuse (NULL, found ? ERROR_METHOD_NOT_ALLOWED : ERROR_NOT_FOUND, NULL));
}

static void
handle_caller (const http_request_t *request, http_response_t *response, void *data)
{
  route (data, caller_routes, request, response);
}

static void
handle_admin (const http_request_t *request, http_response_t *response, void *data)
{
  route (data, admin_routes, request, response);
}

/* --- part --- */

static void
http_api_drain (part_t *base, int64_t now_ms)
{
  http_api_t *api = (http_api_t *) base;

  (void) now_ms;
  http_server_drain (api->caller_server);
}

/* Running requests for administration do not delay a stop. */
static bool
http_api_drained (part_t *base, int64_t now_ms)
{
  http_api_t *api = (http_api_t *) base;

  (void) now_ms;
  return http_server_active (api->caller_server) == 0;
}

static const part_ops_t http_api_ops = { .name = "front",
                                         .drain = http_api_drain,
                                         .drained = http_api_drained };

int
http_api_start (daemon_t *daemon, part_t *job, part_t *burn, const char **address)
{
  const settings_t *settings = daemon_settings (daemon);
  http_api_t *api = g_new0 (http_api_t, 1);
  http_server_options_t caller_options = { .address = settings->caller_listen,
                                           .threads = settings->caller_threads,
                                           .max_body_bytes = settings->max_body_bytes,
                                           .max_total_bytes = settings->max_total_bytes,
                                           .handler = handle_caller,
                                           .data = api };
  http_server_options_t admin_options = { .address = settings->admin_listen,
                                          .threads = ADMIN_THREADS,
                                          .max_body_bytes = ADMIN_BODY_MAX_BYTES,
                                          .max_total_bytes = ADMIN_BODY_MAX_BYTES * ADMIN_THREADS,
                                          .handler = handle_admin,
                                          .data = api };

  api->base.ops = &http_api_ops;
  api->daemon = daemon;
  api->job = job;
  api->burn = burn;
  api->overloaded = counter_get ("jaytrail_callers_overloaded_total", NULL);
  *address = settings->admin_listen;
  if (http_server_start (&admin_options, &api->admin_server) != 0)
    return ERROR_IO;
  *address = settings->caller_listen;
  if (http_server_start (&caller_options, &api->caller_server) != 0)
    return ERROR_IO;
  daemon_add_part (daemon, &api->base);
  return 0;
}
