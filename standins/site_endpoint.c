/* site_endpoint.c -- an endpoint as a stand-in: runs, leases, tokens, ends
 *
 * Time passes in step (), which ends what is due; it is called before each order and on each
 * tick, so that an endpoint that was paused ends its runs as of the time when their lease ended.
 * An order that is to be late is kept as text and carried out by a tick.
 */
#include "standins/site_endpoint.h"

#include "base/clock.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LEASE_MAX_MS 1000
#define STOP_MS 20
/* Room that was lost counts so long as if it were there: the owner has to learn of it first. */
#define LOST_ROOM_GRACE_MS 1300
#define BODY_MAX (4 * 1024 * 1024)
/* How long it is down after a task has crashed it. */
#define CRASH_DOWN_MS 400
#define CORES_EACH_MILLI 1000
#define MEMORY_EACH_MB 100

typedef struct
{
  char *task;
  char *spec;
  int32_t attempt;
  int64_t started_at_ms;
  int64_t ends_at_ms;
  int64_t stop_at_ms;
  bool fails;
  bool crashes;
} run_t;

typedef struct
{
  int64_t number;
  char *task;
  int32_t attempt;
  const char *how;
  int32_t starts_after; /* of the same task, at any endpoint */
} end_t;

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

struct site_endpoint_t
{
  site_endpoint_options_t options;
  site_endpoint_faults_t faults;
  int64_t born_at_ms;
  int64_t born_wall_ms;
  int64_t down_until_ms; /* 0 unless it has crashed */
  int64_t entry_from_ms; /* no entry before */
  bool entry_replaces;   /* the next entry replaces that of an earlier instance */
  int32_t starts;
  int64_t token;
  int64_t lease_until_ms;
  int64_t last_end;
  int64_t sequence;
  int32_t earlier_room; /* counts until EARLIER_ROOM_UNTIL_MS */
  int64_t earlier_room_until_ms;
  GPtrArray *runs;
  GPtrArray *ends;
  GPtrArray *waiters;
  GPtrArray *late;
  GHashTable *seen; /* task -> highest attempt that was stopped or has ended */
  loop_t *loop;
  web_server_t *web; /* NULL while it accepts no connections */
};

static GPtrArray *all;   /* site_endpoint_t */
static GHashTable *done; /* tasks of which a run was done and its end acknowledged */
static site_endpoint_totals_t totals;

static void
free_run (void *data)
{
  run_t *run = data;

  g_free (run->task);
  g_free (run->spec);
  g_free (run);
}

static void
free_end (void *data)
{
  end_t *end = data;

  g_free (end->task);
  g_free (end);
}

static void
free_late (void *data)
{
  late_t *late = data;

  g_free (late->target);
  g_free (late->body);
  g_free (late);
}

/* --- the ledger --- */

static void
write_ledger (const site_endpoint_t *endpoint, const run_t *run, const char *what, int64_t at_ms)
{
  if (!endpoint->options.ledger)
    return;
  char *line = g_strdup_printf (
      "{\"at_ms\":%" G_GINT64_FORMAT ",\"endpoint\":\"%s\",\"what\":\"%s\",\"task\":\"%s\","
      "\"attempt\":%d,\"spec\":\"%s\",\"token\":%" G_GINT64_FORMAT "}\n",
      at_ms, endpoint->options.id, what, run->task, (int) run->attempt, run->spec, endpoint->token);
  (void) !write (STDOUT_FILENO, line, strlen (line));
  g_free (line);
}

/* --- runs --- */

static int32_t
highest_seen (const site_endpoint_t *endpoint, const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (endpoint->seen, task));
}

static void
note_seen (site_endpoint_t *endpoint, const char *task, int32_t attempt)
{
  g_hash_table_replace (endpoint->seen, g_strdup (task),
                        GINT_TO_POINTER (MAX (attempt, highest_seen (endpoint, task))));
}

/* How RUN has ended by NOW_MS, and in *AT_MS when; NULL if it has not. */
static const char *
end_of (const site_endpoint_t *endpoint, const run_t *run, int64_t now_ms, int64_t *at_ms)
{
  bool fails = run->fails || endpoint->faults.failing;

  if (run->ends_at_ms <= now_ms && run->ends_at_ms <= endpoint->lease_until_ms)
    {
      *at_ms = run->ends_at_ms;
      return fails ? "failed" : "done";
    }
  if (run->stop_at_ms != 0 && run->stop_at_ms <= now_ms)
    {
      *at_ms = run->stop_at_ms;
      return "stopped";
    }
  *at_ms = endpoint->lease_until_ms;
  return endpoint->lease_until_ms <= now_ms ? "lapsed" : NULL;
}

/* Loses what a process loses when it crashes. */
static void
crash (site_endpoint_t *endpoint, int64_t down_ms, int64_t now_ms)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    write_ledger (endpoint, endpoint->runs->pdata[i], "crashed", now_ms);
  g_ptr_array_set_size (endpoint->runs, 0);
  g_ptr_array_set_size (endpoint->ends, 0);
  g_ptr_array_set_size (endpoint->waiters, 0);
  g_ptr_array_set_size (endpoint->late, 0);
  g_hash_table_remove_all (endpoint->seen);
  endpoint->token = 0;
  endpoint->lease_until_ms = 0;
  endpoint->last_end = 0;
  endpoint->sequence = 0;
  endpoint->down_until_ms = now_ms + down_ms;
}

static void
restart (site_endpoint_t *endpoint, int64_t now_ms)
{
  endpoint->down_until_ms = 0;
  endpoint->born_at_ms = now_ms;
  endpoint->born_wall_ms = clock_wall_ms ();
  endpoint->entry_from_ms = now_ms + endpoint->faults.entry_lag_ms;
  endpoint->entry_replaces = endpoint->faults.relisted;
}

static void
crash_or_restart (site_endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->down_until_ms != 0 && endpoint->down_until_ms <= now_ms)
    restart (endpoint, now_ms);
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const run_t *run = endpoint->runs->pdata[i];
      if (!run->crashes || run->ends_at_ms > now_ms)
        continue;
      crash (endpoint, CRASH_DOWN_MS, now_ms);
      return;
    }
}

static void
step (site_endpoint_t *endpoint, int64_t now_ms)
{
  crash_or_restart (endpoint, now_ms);
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      const run_t *run = endpoint->runs->pdata[i];
      int64_t at_ms = 0;
      const char *how = end_of (endpoint, run, now_ms, &at_ms);
      if (how == NULL)
        continue;
      end_t *end = g_new0 (end_t, 1);
      end->number = ++endpoint->last_end;
      end->task = g_strdup (run->task);
      end->attempt = run->attempt;
      end->how = how;
      g_ptr_array_add (endpoint->ends, end);
      note_seen (endpoint, run->task, run->attempt);
      write_ledger (endpoint, run, how, at_ms);
      g_ptr_array_remove_index_fast (endpoint->runs, i);
    }
}

static run_t *
find_run (const site_endpoint_t *endpoint, const char *task)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    if (strcmp (((run_t *) endpoint->runs->pdata[i])->task, task) == 0)
      return endpoint->runs->pdata[i];
  return NULL;
}

/* --- orders --- */

static int64_t
clock_there (const site_endpoint_t *endpoint, int64_t now_ms)
{
  return now_ms - endpoint->born_at_ms + 1;
}

static int64_t
born_of (const site_endpoint_t *endpoint)
{
  return endpoint->faults.born != 0 ? endpoint->faults.born : endpoint->born_wall_ms;
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
                                clock_there (endpoint, clock_boot_ms ()),
                                reason != NULL ? ",\"reason\":\"" : "",
                                reason != NULL ? reason : "", reason != NULL ? "\"" : "");
  web_reply (request, status, NULL, body);
  g_free (body);
}

static void
extend (site_endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  int64_t until_ms = number (order, "deadline_ms") + endpoint->born_at_ms - 1;

  endpoint->lease_until_ms = MAX (endpoint->lease_until_ms, MIN (until_ms, now_ms + LEASE_MAX_MS));
}

/* Until an end is acknowledged, a start after it may be one whose owner can't know better. */
static void
count_start_after (GPtrArray *ends, const char *task)
{
  for (guint i = 0; i < ends->len; i++)
    {
      end_t *end = ends->pdata[i];
      end->starts_after += strcmp (end->task, task) == 0;
    }
}

static void
count_start (const site_endpoint_t *endpoint, const char *task, int64_t now_ms)
{
  for (guint i = 0; i < all->len; i++)
    {
      site_endpoint_t *other = all->pdata[i];
      step (other, now_ms);
      totals.twice += other != endpoint && find_run (other, task) != NULL;
      count_start_after (other->ends, task);
    }
  totals.again += g_hash_table_contains (done, task);
  totals.starts++;
}

static void
acknowledge (GPtrArray *ends, int64_t number)
{
  for (guint i = ends->len; i-- > 0;)
    {
      const end_t *end = ends->pdata[i];
      if (end->number > number)
        continue;
      if (strcmp (end->how, "done") == 0)
        {
          totals.again += end->starts_after;
          g_hash_table_add (done, g_strdup (end->task));
        }
      g_ptr_array_remove_index (ends, i);
    }
}

static int32_t
room_of (const site_endpoint_t *endpoint)
{
  return MAX (endpoint->options.room - (int32_t) endpoint->faults.lost_room, 0);
}

/* The room that an owner has to know of. */
static int32_t
counted_room (const site_endpoint_t *endpoint, int64_t now_ms)
{
  int32_t room = room_of (endpoint);

  return now_ms < endpoint->earlier_room_until_ms ? MAX (room, endpoint->earlier_room) : room;
}

/* Returns whether the endpoint starts one more task. */
static bool
takes_run (const site_endpoint_t *endpoint, int64_t now_ms)
{
  int32_t running = (int32_t) endpoint->runs->len;

  totals.crowded += running >= counted_room (endpoint, now_ms);
  if (running < room_of (endpoint) || endpoint->faults.unguarded)
    return true;
  totals.refused++;
  return false;
}

/* Returns NULL, or why it is refused. */
static const char *
start_run (site_endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  const char *task = text (order, "task");
  const char *spec = text (order, "spec");
  int32_t attempt = (int32_t) number (order, "attempt");

  if (number (order, "deadline_ms") < clock_there (endpoint, now_ms))
    return "late";
  extend (endpoint, order, now_ms);
  if (find_run (endpoint, task) != NULL)
    return NULL;
  if (highest_seen (endpoint, task) >= attempt)
    return "old";
  if (!takes_run (endpoint, now_ms))
    return "room";
  count_start (endpoint, task, now_ms);
  endpoint->starts++;
  run_t *run = g_new0 (run_t, 1);
  run->task = g_strdup (task);
  run->spec = g_strdup (spec);
  run->attempt = attempt;
  run->fails = spec[0] == 'F';
  run->crashes = spec[0] == 'X';
  run->started_at_ms = now_ms;
  int64_t work_ms = atoll (spec + (run->fails || run->crashes)) * MAX (endpoint->faults.slow, 1);
  run->ends_at_ms = endpoint->faults.hanging ? INT64_MAX : now_ms + work_ms;
  g_ptr_array_add (endpoint->runs, run);
  write_ledger (endpoint, run, "start", now_ms);
  return NULL;
}

static void
answer_look (web_request_t *request, const site_endpoint_t *endpoint, int64_t now_ms)
{
  GString *body = g_string_new (NULL);

  g_string_append_printf (
      body, "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT ",\"active\":[",
      clock_there (endpoint, now_ms), born_of (endpoint));
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

  acknowledge (endpoint->ends, number (order, "ack_index"));
  if (number (order, "deadline_ms") > 0)
    extend (endpoint, order, now_ms);
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

static void
stop_run (site_endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  run_t *run = find_run (endpoint, text (order, "task"));

  if (run == NULL)
    note_seen (endpoint, text (order, "task"), (int32_t) number (order, "attempt"));
  else if (run->stop_at_ms == 0 && run->attempt <= (int32_t) number (order, "attempt"))
    run->stop_at_ms = now_ms + STOP_MS;
}

/* Carries out an order; REQUEST is NULL if nobody waits for its answer. */
static void
obey (site_endpoint_t *endpoint, web_request_t *request, const char *target, json_object *order)
{
  int64_t now_ms = clock_boot_ms ();
  const char *reason = NULL;

  step (endpoint, now_ms);
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
        stop_run (endpoint, order, now_ms);
    }
  if (request != NULL)
    reply_clock (request, endpoint, reason != NULL ? 409 : 200, reason);
}

static void
set_flag (json_object *fault, const char *key, bool *flag)
{
  json_object *value = NULL;

  if (json_object_object_get_ex (fault, key, &value))
    *flag = json_object_get_boolean (value);
}

static void
set_number (json_object *fault, const char *key, int64_t *out)
{
  json_object *value = NULL;

  if (json_object_object_get_ex (fault, key, &value))
    *out = json_object_get_int64 (value);
}

static void
set_lost_room (site_endpoint_t *endpoint, json_object *fault, int64_t now_ms)
{
  int32_t counted = counted_room (endpoint, now_ms);

  set_number (fault, "lost_room", &endpoint->faults.lost_room);
  if (room_of (endpoint) >= counted)
    return;
  endpoint->earlier_room = counted;
  endpoint->earlier_room_until_ms = now_ms + LOST_ROOM_GRACE_MS;
}

void
site_endpoint_set_faults (site_endpoint_t *endpoint, const char *body)
{
  json_object *fault = json_tokener_parse (body);
  int64_t down_ms = 0;

  if (fault == NULL)
    return;
  set_flag (fault, "failing", &endpoint->faults.failing);
  set_flag (fault, "hanging", &endpoint->faults.hanging);
  set_flag (fault, "mute", &endpoint->faults.mute);
  set_flag (fault, "draining", &endpoint->faults.draining);
  set_flag (fault, "unlisted", &endpoint->faults.unlisted);
  set_flag (fault, "unguarded", &endpoint->faults.unguarded);
  set_lost_room (endpoint, fault, clock_boot_ms ());
  set_number (fault, "late_ms", &endpoint->faults.late_ms);
  set_number (fault, "slow", &endpoint->faults.slow);
  set_number (fault, "born", &endpoint->faults.born);
  set_flag (fault, "refusing", &endpoint->faults.refusing);
  set_flag (fault, "relisted", &endpoint->faults.relisted);
  set_number (fault, "entry_lag_ms", &endpoint->faults.entry_lag_ms);
  set_number (fault, "down_ms", &down_ms);
  if (down_ms > 0)
    crash (endpoint, down_ms, clock_boot_ms ());
  json_object_put (fault);
}

static void
on_order (web_request_t *request, void *data)
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
  step (endpoint, clock_boot_ms ());
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

static void
on_gone (web_request_t *request, void *data)
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

static int
open_listener (site_endpoint_t *endpoint)
{
  static const web_server_handlers_t ops = { on_order, on_gone };
  web_server_options_t options = { .address = endpoint->options.address,
                                   .limits = { 65536, BODY_MAX, 10000, 60000 },
                                   .handlers = &ops,
                                   .data = endpoint };

  return web_server_start (endpoint->loop, &options, &endpoint->web);
}

/* An address that can't be had is tried again on the next tick. */
static void
open_or_close_listener (site_endpoint_t *endpoint)
{
  bool closed = endpoint->down_until_ms != 0 && endpoint->faults.refusing;

  if (closed && endpoint->web != NULL)
    {
      web_server_free (endpoint->web);
      endpoint->web = NULL;
    }
  else if (!closed && endpoint->web == NULL)
    (void) open_listener (endpoint);
}

void
site_endpoint_tick (int64_t now_ms)
{
  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      site_endpoint_t *endpoint = all->pdata[i];
      step (endpoint, now_ms);
      open_or_close_listener (endpoint);
      carry_out_late (endpoint, now_ms);
      answer_waiters (endpoint, now_ms);
    }
}

/* --- reports --- */

/* The free capacity in an entry is the whole room, whatever runs there. */
static char *
entry_text (site_endpoint_t *endpoint, int64_t now_ms)
{
  int32_t room = room_of (endpoint);

  return g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
      "\"capacity\":8,\"state\":\"%s\",\"cold_remaining_ms\":0,\"free_capacity\":"
      "{\"cpu_millis\":%d,\"mem_mb\":%d,\"gpus\":0},\"labels\":[\"a\",\"%s\"],"
      "\"clock_ms\":%" G_GINT64_FORMAT ",\"sequence\":%" G_GINT64_FORMAT
      ",\"born\":%" G_GINT64_FORMAT "}",
      endpoint->options.known_as, endpoint->options.data_centre,
      endpoint->faults.draining ? "draining" : "ready", room * CORES_EACH_MILLI,
      room * MEMORY_EACH_MB, endpoint->options.rack, clock_there (endpoint, now_ms),
      ++endpoint->sequence, born_of (endpoint));
}

site_entry_change_t
site_endpoint_register (site_endpoint_t *endpoint, char **entry)
{
  int64_t now_ms = clock_boot_ms ();
  bool replaces = endpoint->entry_replaces;

  if (endpoint->faults.unlisted || endpoint->down_until_ms != 0 || now_ms < endpoint->entry_from_ms)
    return SITE_ENTRY_KEEP;
  endpoint->entry_replaces = false;
  *entry = entry_text (endpoint, now_ms);
  return replaces ? SITE_ENTRY_REPLACE : SITE_ENTRY_PUT;
}

const char *
site_endpoint_id (const site_endpoint_t *endpoint)
{
  return endpoint->options.id;
}

int64_t
site_endpoint_token (const site_endpoint_t *endpoint)
{
  return endpoint->token;
}

int32_t
site_endpoint_starts_in (const char *data_centre)
{
  int32_t starts = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const site_endpoint_t *endpoint = all->pdata[i];
      if (strcmp (endpoint->options.data_centre, data_centre) == 0)
        starts += endpoint->starts;
    }
  return starts;
}

int32_t
site_endpoint_running_in (const char *data_centre)
{
  int32_t running = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const site_endpoint_t *endpoint = all->pdata[i];
      if (strcmp (endpoint->options.data_centre, data_centre) == 0)
        running += (int32_t) endpoint->runs->len;
    }
  return running;
}

site_endpoint_totals_t
site_endpoint_totals (void)
{
  site_endpoint_totals_t now = totals;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const site_endpoint_t *endpoint = all->pdata[i];
      now.running += (int32_t) endpoint->runs->len;
      now.unacknowledged += (int32_t) endpoint->ends->len;
    }
  return now;
}

/* --- start --- */

int
site_endpoint_new (loop_t *loop, const site_endpoint_options_t *options, site_endpoint_t **out)
{
  site_endpoint_t *endpoint = g_new0 (site_endpoint_t, 1);

  endpoint->options = *options;
  endpoint->loop = loop;
  endpoint->born_at_ms = clock_boot_ms ();
  endpoint->born_wall_ms = clock_wall_ms ();
  endpoint->runs = g_ptr_array_new_with_free_func (free_run);
  endpoint->ends = g_ptr_array_new_with_free_func (free_end);
  endpoint->waiters = g_ptr_array_new_with_free_func (g_free);
  endpoint->late = g_ptr_array_new_with_free_func (free_late);
  endpoint->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int result = open_listener (endpoint);
  if (result != 0)
    return result;
  if (all == NULL)
    {
      all = g_ptr_array_new ();
      done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  g_ptr_array_add (all, endpoint);
  *out = endpoint;
  return 0;
}
