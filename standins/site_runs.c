/* site_runs.c -- the runs of a stand-in endpoint: leases, stops, ends, crashes */
#include "standins/site_runs.h"

#include "base/clock.h"
#include "standins/site_audit.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LEASE_MAX_MS 1000
#define STOP_MS 20
/* How long lost room counts as if it were there. */
#define LOST_ROOM_GRACE_MS 1300
/* How long it is down after a task has crashed it. */
#define CRASH_DOWN_MS 400

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

void
site_runs_init (site_endpoint_t *endpoint)
{
  endpoint->runs = g_ptr_array_new_with_free_func (free_run);
  endpoint->ends = g_ptr_array_new_with_free_func (free_end);
  endpoint->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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

/* --- ends --- */

int32_t
site_runs_highest_seen (const site_endpoint_t *endpoint, const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (endpoint->seen, task));
}

static void
note_seen (site_endpoint_t *endpoint, const char *task, int32_t attempt)
{
  g_hash_table_replace (endpoint->seen, g_strdup (task),
                        GINT_TO_POINTER (MAX (attempt, site_runs_highest_seen (endpoint, task))));
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

void
site_runs_crash (site_endpoint_t *endpoint, int64_t down_ms, int64_t now_ms)
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
      site_runs_crash (endpoint, CRASH_DOWN_MS, now_ms);
      return;
    }
}

void
site_runs_step (site_endpoint_t *endpoint, int64_t now_ms)
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

/* --- orders --- */

run_t *
site_runs_find (const site_endpoint_t *endpoint, const char *task)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    if (strcmp (((run_t *) endpoint->runs->pdata[i])->task, task) == 0)
      return endpoint->runs->pdata[i];
  return NULL;
}

void
site_runs_start (site_endpoint_t *endpoint,
                 const char *task,
                 const char *spec,
                 int32_t attempt,
                 int64_t now_ms)
{
  run_t *run = g_new0 (run_t, 1);

  endpoint->starts++;
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
}

void
site_runs_stop (site_endpoint_t *endpoint, const char *task, int32_t attempt, int64_t now_ms)
{
  run_t *run = site_runs_find (endpoint, task);

  if (run == NULL)
    note_seen (endpoint, task, attempt);
  else if (run->stop_at_ms == 0 && run->attempt <= attempt)
    run->stop_at_ms = now_ms + STOP_MS;
}

void
site_runs_extend_lease (site_endpoint_t *endpoint, int64_t until_ms, int64_t now_ms)
{
  int64_t until_here_ms = until_ms + endpoint->born_at_ms - 1;

  endpoint->lease_until_ms =
      MAX (endpoint->lease_until_ms, MIN (until_here_ms, now_ms + LEASE_MAX_MS));
}

void
site_runs_acknowledge (site_endpoint_t *endpoint, int64_t number)
{
  for (guint i = endpoint->ends->len; i-- > 0;)
    {
      const end_t *end = endpoint->ends->pdata[i];
      if (end->number > number)
        continue;
      if (strcmp (end->how, "done") == 0)
        site_audit_done (end);
      g_ptr_array_remove_index (endpoint->ends, i);
    }
}

/* --- room --- */

int32_t
site_runs_room (const site_endpoint_t *endpoint)
{
  return MAX (endpoint->options.room - (int32_t) endpoint->faults.lost_room, 0);
}

int32_t
site_runs_counted_room (const site_endpoint_t *endpoint, int64_t now_ms)
{
  int32_t room = site_runs_room (endpoint);

  return now_ms < endpoint->earlier_room_until_ms ? MAX (room, endpoint->earlier_room) : room;
}

void
site_runs_room_changed (site_endpoint_t *endpoint, int32_t counted, int64_t now_ms)
{
  if (site_runs_room (endpoint) >= counted)
    return;
  endpoint->earlier_room = counted;
  endpoint->earlier_room_until_ms = now_ms + LOST_ROOM_GRACE_MS;
}
