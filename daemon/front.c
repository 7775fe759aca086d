/* front.c -- the two HTTP listeners
 *
 * Routes are a table of method, path and handler; a path that ends in "*"
 * matches the rest.  What needs control state posts a closure to the control
 * thread and waits for it.
 */
#include "daemon/front.h"

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
/* Threads of the caller listener that are kept for health and refusals. */
#define RESERVED_THREADS 3
/* A control thread that has not ticked for this long is not alive. */
#define ALIVE_WITHIN_MS 5000
#define RETRY_AFTER_MIN_S 1
#define JOBS_PATH "/v1/jobs"
#define TEXT_PLAIN "text/plain; version=0.0.4"

typedef struct
{
  part_t base;
  daemon_t *daemon;
  part_t *job;
  part_t *burn;
  http_server_t *callers;
  http_server_t *admin;
  counter_t *overloaded;
} front_t;

typedef void (*route_handler_t) (front_t *front,
                                 const http_request_t *request,
                                 http_response_t *response);

typedef struct
{
  const char *method;
  const char *path;
  route_handler_t handler;
} route_t;

/* --- helpers --- */

/* Takes ANSWER over. */
static void
give_answer (http_response_t *response, job_answer_t *answer)
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
give_text (http_response_t *response, int status, const char *text)
{
  response->status = status;
  response->content_type = "text/plain";
  response->body = g_bytes_new (text, strlen (text));
}

static void
give_json (http_response_t *response, json_object *object)
{
  size_t size = 0;
  const char *text = json_object_to_json_string_length (
      object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED, &size);

  response->status = 200;
  response->body = g_bytes_new (text, size);
  json_object_put (object);
}

/* Runs MAKE on the control thread and waits for its JSON. */
typedef struct
{
  front_t *front;
  json_object *(*make) (front_t *front);
  json_object *result;
  pthread_mutex_t lock;
  pthread_cond_t done;
} control_call_t;

static void
run_control_call (void *data)
{
  control_call_t *call = data;
  json_object *result = call->make (call->front);

  pthread_mutex_lock (&call->lock);
  call->result = result;
  pthread_cond_signal (&call->done);
  pthread_mutex_unlock (&call->lock);
}

static json_object *
ask_control (front_t *front, json_object *(*make) (front_t *front))
{
  control_call_t call = { .front = front, .make = make };

  pthread_mutex_init (&call.lock, NULL);
  pthread_cond_init (&call.done, NULL);
  daemon_post (front->daemon, run_control_call, &call);
  pthread_mutex_lock (&call.lock);
  while (call.result == NULL)
    pthread_cond_wait (&call.done, &call.lock);
  pthread_mutex_unlock (&call.lock);
  pthread_mutex_destroy (&call.lock);
  pthread_cond_destroy (&call.done);
  return call.result;
}

/* The value of NAME in the query, decoded, or NULL; the caller frees it. */
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

/* --- callers --- */

static void
submit_job (front_t *front, const http_request_t *request, http_response_t *response)
{
  const settings_t *settings = daemon_settings (front->daemon);
  job_request_t *job = NULL;
  char *message = NULL;

  if (!job_key_is_valid (request->idempotency_key))
    {
      give_answer (response,
                   part_job_refuse (NULL, ERROR_BAD_REQUEST,
                                    "Idempotency-Key must be 1 to 128 visible ASCII characters."));
      return;
    }
  if (request->body_error != 0)
    {
      give_answer (response, part_job_refuse (request->idempotency_key, request->body_error, NULL));
      return;
    }
  if (part_job_waiting_callers (front->job) >= settings->caller_threads - RESERVED_THREADS)
    {
      counter_add (front->overloaded, 1);
      give_answer (response, part_job_refuse (request->idempotency_key, ERROR_OVERLOADED, NULL));
      return;
    }
  int error = job_request_parse (request->idempotency_key, request->body, &job, &message);
  if (error != 0)
    give_answer (response, part_job_refuse (request->idempotency_key, error, message));
  else
    give_answer (response, part_job_submit (front->job, job));
  job_request_unref (job);
  g_free (message);
}

static void
ask_job (front_t *front,
         const http_request_t *request,
         http_response_t *response,
         job_answer_t *(*ask) (part_t *job, const char *key, const char *home))
{
  const char *key = request->path + strlen (JOBS_PATH "/");

  if (!job_key_is_valid (key))
    {
      give_answer (response,
                   part_job_refuse (NULL, ERROR_BAD_REQUEST,
                                    "The key must be 1 to 128 visible ASCII characters."));
      return;
    }
  char *home = query_value (request, "home");
  give_answer (response, ask (front->job, key, home));
  g_free (home);
}

static void
get_job (front_t *front, const http_request_t *request, http_response_t *response)
{
  ask_job (front, request, response, part_job_state);
}

static void
cancel_job (front_t *front, const http_request_t *request, http_response_t *response)
{
  ask_job (front, request, response, part_job_cancel);
}

/* --- health and administration --- */

static void
get_livez (front_t *front, const http_request_t *request, http_response_t *response)
{
  bool alive = clock_boot_ms () - part_job_last_tick_ms (front->job) < ALIVE_WITHIN_MS;

  (void) request;
  give_text (response, alive ? 200 : 503, alive ? "ok\n" : "control thread is stuck\n");
}

static void
get_readyz (front_t *front, const http_request_t *request, http_response_t *response)
{
  bool draining = daemon_is_draining (front->daemon);
  bool ready = part_job_is_ready (front->job) && !draining;

  (void) request;
  give_text (response, ready ? 200 : 503,
             ready      ? "ready\n"
             : draining ? "draining\n"
                        : "no accepted configuration yet\n");
}

static void
get_metrics (front_t *front, const http_request_t *request, http_response_t *response)
{
  GString *text = g_string_new (NULL);

  (void) front;
  (void) request;
  counter_print (text);
  response->status = 200;
  response->content_type = TEXT_PLAIN;
  response->body = g_string_free_to_bytes (text);
}

static json_object *
make_status (front_t *front)
{
  return daemon_status (front->daemon);
}

static void
get_status (front_t *front, const http_request_t *request, http_response_t *response)
{
  (void) request;
  give_json (response, ask_control (front, make_status));
}

static json_object *
make_burn (front_t *front)
{
  json_object *report = json_object_new_object ();

  part_burn_report (front->burn, report);
  return report;
}

static void
get_burn (front_t *front, const http_request_t *request, http_response_t *response)
{
  (void) request;
  give_json (response, ask_control (front, make_burn));
}

/* {"data_centre": "x", "in": bool, "out": bool}, for tests only. */
static void
post_cut (front_t *front, const http_request_t *request, http_response_t *response)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (request->body, &size);
  char *copy = g_strndup (text, size);
  json_object *root = json_tokener_parse (copy);
  json_object *name = NULL;
  bool allowed = daemon_settings (front->daemon)->test_faults;

  g_free (copy);
  if (allowed && json_object_object_get_ex (root, "data_centre", &name))
    {
      daemon_cut (front->daemon, json_object_get_string (name),
                  json_object_get_boolean (json_object_object_get (root, "in")),
                  json_object_get_boolean (json_object_object_get (root, "out")));
      give_text (response, 200, "ok\n");
    }
  else if (allowed)
    give_answer (response, part_job_refuse (NULL, ERROR_BAD_REQUEST, "data_centre is required."));
  else
    give_answer (response, part_job_refuse (NULL, ERROR_NOT_FOUND, NULL));
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
  { "POST", "/v1/test/cut", post_cut },
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
route (front_t *front,
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
      row->handler (front, request, response);
      return;
    }
  give_answer (response,
               part_job_refuse (NULL, found ? ERROR_METHOD_NOT_ALLOWED : ERROR_NOT_FOUND, NULL));
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

/* --- the part --- */

static void
front_drain (part_t *base, int64_t now_ms)
{
  front_t *front = (front_t *) base;

  (void) now_ms;
  http_server_drain (front->callers);
}

/* Administration does not hold up a stop. */
static bool
front_drained (part_t *base, int64_t now_ms)
{
  front_t *front = (front_t *) base;

  (void) now_ms;
  return http_server_active (front->callers) == 0;
}

static const part_ops_t front_ops = { .name = "front",
                                      .drain = front_drain,
                                      .drained = front_drained };

int
front_start (daemon_t *daemon, part_t *job, part_t *burn, const char **address)
{
  const settings_t *settings = daemon_settings (daemon);
  front_t *front = g_new0 (front_t, 1);
  http_server_options_t callers = { .address = settings->caller_listen,
                                    .threads = settings->caller_threads,
                                    .max_body_bytes = settings->max_body_bytes,
                                    .max_total_bytes = settings->max_total_bytes,
                                    .handler = handle_caller,
                                    .data = front };
  http_server_options_t admin = { .address = settings->admin_listen,
                                  .threads = ADMIN_THREADS,
                                  .max_body_bytes = ADMIN_BODY_MAX_BYTES,
                                  .max_total_bytes = ADMIN_BODY_MAX_BYTES * ADMIN_THREADS,
                                  .handler = handle_admin,
                                  .data = front };

  front->base.ops = &front_ops;
  front->daemon = daemon;
  front->job = job;
  front->burn = burn;
  front->overloaded = counter_get ("jaytrail_callers_overloaded_total", NULL);
  *address = settings->admin_listen;
  if (http_server_start (&admin, &front->admin) != 0)
    return ERROR_IO;
  *address = settings->caller_listen;
  if (http_server_start (&callers, &front->callers) != 0)
    return ERROR_IO;
  daemon_add_part (daemon, &front->base);
  return 0;
}
