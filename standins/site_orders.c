/* site_orders.c -- the orders to a stand-in endpoint: starts, stops and polls over HTTP */
#include "standins/site_orders.h"

#include "base/clock.h"
#include "standins/site_audit.h"
#include "standins/site_runs.h"

#include <json-c/json.h>
#include <string.h>

/* A look that waits for an end. */
typedef struct
{
  web_request_t *request;
  int64_t until_ms;
} waiter_t;

/* An order that is carried out later. */
typedef struct
{
  char *target;
  char *body;
  int64_t due_ms;
} late_t;

static void
free_late (void *data)
{
  late_t *late = data;

  g_free (late->target);
  g_free (late->body);
  g_free (late);
}

void
site_orders_init (site_endpoint_t *endpoint)
{
  endpoint->waiters = g_ptr_array_new_with_free_func (g_free);
  endpoint->late = g_ptr_array_new_with_free_func (free_late);
}

static int64_t
number (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_int64 (value) : 0;
}

static const char *
text (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : "";
}

static void
reply_clock (web_request_t *request,
             const site_endpoint_t *endpoint,
             int status,
             const char *reason)
{
  char *body = g_strdup_printf ("{\"clock_ms\":%" G_GINT64_FORMAT "%s%s%s}",
                                site_endpoint_clock (endpoint, clock_boot_ms ()),
                                reason != NULL ? ",\"reason\":\"" : "",
                                reason != NULL ? reason : "", reason != NULL ? "\"" : "");
  web_reply (request, status, NULL, body);
  g_free (body);
}

/* Returns whether the endpoint starts one more task. */
static bool
takes_run (const site_endpoint_t *endpoint, int64_t now_ms)
{
  int32_t running = (int32_t) endpoint->runs->len;

  if (running >= site_runs_counted_room (endpoint, now_ms))
    site_audit_crowded ();
  if (running < site_runs_room (endpoint) || endpoint->faults.unguarded)
    return true;
  site_audit_refused ();
  return false;
}

/* Returns NULL, or why it is refused. */
static const char *
start_run (site_endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  const char *task = text (order, "task");
  int32_t attempt = (int32_t) number (order, "attempt");

  if (number (order, "deadline_ms") < site_endpoint_clock (endpoint, now_ms))
    return "late";
  site_runs_extend_lease (endpoint, number (order, "deadline_ms"), now_ms);
  if (site_runs_find (endpoint, task) != NULL)
    return NULL;
  if (site_runs_highest_seen (endpoint, task) >= attempt)
    return "old";
  if (!takes_run (endpoint, now_ms))
    return "room";
  site_audit_start (endpoint, task, now_ms);
  site_runs_start (endpoint, task, text (order, "spec"), attempt, now_ms);
  return NULL;
}

static void
answer_look (web_request_t *request, const site_endpoint_t *endpoint, int64_t now_ms)
{
  GString *body = g_string_new (NULL);

  g_string_append_printf (
      body, "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT ",\"active\":[",
      site_endpoint_clock (endpoint, now_ms), site_endpoint_born (endpoint));
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const run_t *run = endpoint->runs->pdata[i];
      int64_t whole_ms = run->ends_at_ms == INT64_MAX ? 0 : run->ends_at_ms - run->started_at_ms;
      g_string_append_printf (
          body, "%s[\"%s\",%d,\"\",%d]", i > 0 ? "," : "", run->task, run->attempt,
          whole_ms > 0 ? (int) (100 * (now_ms - run->started_at_ms) / whole_ms) : 0);
    }
  g_string_append (body, "],\"finished\":[");
  for (guint i = 0; i < endpoint->ends->len; i++)
    {
      const end_t *end = endpoint->ends->pdata[i];
      g_string_append_printf (body, "%s[%" G_GINT64_FORMAT ",\"%s\",%d,\"%s\",\"\"]",
                              i > 0 ? "," : "", end->number, end->task, end->attempt, end->how);
    }
  g_string_append (body, "]}");
  web_reply (request, 200, NULL, body->str);
  g_string_free (body, TRUE);
}

/* REQUEST is NULL for an order that is carried out late. */
static void
look (site_endpoint_t *endpoint, web_request_t *request, json_object *order, int64_t now_ms)
{
  int64_t wait_ms = number (order, "wait_ms");

  site_runs_acknowledge (endpoint, number (order, "ack_index"));
  if (number (order, "deadline_ms") > 0)
    site_runs_extend_lease (endpoint, number (order, "deadline_ms"), now_ms);
  if (request == NULL)
    return;
  if (wait_ms == 0 || endpoint->ends->len > 0)
    {
      answer_look (request, endpoint, now_ms);
      return;
    }
  waiter_t *waiter = g_new0 (waiter_t, 1);
  waiter->request = request;
  waiter->until_ms = now_ms + wait_ms;
  g_ptr_array_add (endpoint->waiters, waiter);
}

/* Carries out an order; REQUEST is NULL if nobody waits for its answer. */
static void
obey (site_endpoint_t *endpoint, web_request_t *request, const char *target, json_object *order)
{
  int64_t now_ms = clock_boot_ms ();
  const char *reason = NULL;

  site_runs_step (endpoint, now_ms);
  if (number (order, "fencing_token") < endpoint->token)
    reason = "fence";
  else
    {
      endpoint->token = number (order, "fencing_token");
      if (strcmp (target, "/hold") == 0)
        {
          look (endpoint, request, order, now_ms);
          return;
        }
      if (strcmp (target, "/run-start") == 0)
        {
          reason = start_run (endpoint, order, now_ms);
          if (endpoint->faults.mute)
            return;
        }
      else
        site_runs_stop (endpoint, text (order, "task"), (int32_t) number (order, "attempt"),
                        now_ms);
    }
  if (request != NULL)
    reply_clock (request, endpoint, reason != NULL ? 409 : 200, reason);
}

void
site_orders_take (web_request_t *request, void *data)
{
  site_endpoint_t *endpoint = data;

  request->user_data = NULL;
  if (strcmp (request->target, "/fault") == 0)
    {
      site_endpoint_set_faults (endpoint, request->body);
      web_reply (request, 200, NULL, "{}");
      return;
    }
  if (strcmp (request->target, "/seen") == 0)
    {
      char *body = g_strdup_printf ("{\"running\":%u,\"unacknowledged\":%u}", endpoint->runs->len,
                                    endpoint->ends->len);
      web_reply (request, 200, NULL, body);
      g_free (body);
      return;
    }
  site_runs_step (endpoint, clock_boot_ms ());
  /* The caller gets no answer. */
  if (endpoint->down_until_ms != 0)
    return;
  if (endpoint->faults.late_ms > 0)
    {
      late_t *late = g_new0 (late_t, 1);
      late->target = g_strdup (request->target);
      late->body = g_strdup (request->body);
      late->due_ms = clock_boot_ms () + endpoint->faults.late_ms;
      g_ptr_array_add (endpoint->late, late);
      return;
    }
  json_object *order = json_tokener_parse (request->body);
  if (order == NULL)
    {
      web_reply (request, 400, NULL, "{}");
      return;
    }
  obey (endpoint, request, request->target, order);
  json_object_put (order);
}

void
site_orders_abandoned (web_request_t *request, void *data)
{
  site_endpoint_t *endpoint = data;

  for (guint i = endpoint->waiters->len; i-- > 0;)
    if (((waiter_t *) endpoint->waiters->pdata[i])->request == request)
      g_ptr_array_remove_index_fast (endpoint->waiters, i);
}

/* --- time --- */

static void
carry_out_late (site_endpoint_t *endpoint, int64_t now_ms)
{
  for (guint i = 0; i < endpoint->late->len;)
    {
      const late_t *late = endpoint->late->pdata[i];
      if (late->due_ms > now_ms)
        {
          i++;
          continue;
        }
      json_object *order = json_tokener_parse (late->body);
      if (order != NULL)
        {
          obey (endpoint, NULL, late->target, order);
          json_object_put (order);
        }
      g_ptr_array_remove_index (endpoint->late, i);
    }
}

static void
answer_waiters (site_endpoint_t *endpoint, int64_t now_ms)
{
  for (guint i = endpoint->waiters->len; i-- > 0;)
    {
      waiter_t *waiter = endpoint->waiters->pdata[i];
      if (endpoint->ends->len == 0 && now_ms < waiter->until_ms)
        continue;
      web_request_t *request = waiter->request;
      g_ptr_array_remove_index_fast (endpoint->waiters, i);
      answer_look (request, endpoint, now_ms);
    }
}

void
site_orders_tick (site_endpoint_t *endpoint, int64_t now_ms)
{
  carry_out_late (endpoint, now_ms);
  answer_waiters (endpoint, now_ms);
}
