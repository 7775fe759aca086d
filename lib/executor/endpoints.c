/* endpoints.c -- the endpoints of an executor: their entries, their instances and the claim on them
 *
 * An endpoint is known from its first entry until its entry is gone and no run can be alive there.
 */
#include "executor/instance.h"
#include "executor/table.h"

#include <string.h>

/* Time after a change of owner within which an earlier owner that cannot be reached has yielded its
 * endpoints or has lost its coordinators. */
#define CONTEST_MAX_MS 1000

/* An endpoint that is forgotten while it does not answer may run tasks, under another owner, for as
 * long. */
#define UNLISTED_MAX_MS 15000

static void
free_foreign_run (void *data)
{
  foreign_run_t *foreign = data;

  g_free (foreign->name);
  g_free (foreign);
}

void
executor_endpoint_free (void *data)
{
  endpoint_t *endpoint = data;

  g_free (endpoint->id);
  g_free (endpoint->address);
  g_free (endpoint->answered_address);
  g_free (endpoint->service);
  g_free (endpoint->kind);
  g_free (endpoint->rack);
  g_ptr_array_unref (endpoint->runs);
  g_ptr_array_unref (endpoint->foreign_runs);
  g_ptr_array_unref (endpoint->open_orders);
  g_free (endpoint);
}

endpoint_t *
endpoint_find (const executor_t *executor, const char *id)
{
  return g_hash_table_lookup (executor->endpoints, id);
}

void
endpoint_poll_again (endpoint_t *endpoint)
{
  endpoint->runs_known = false;
  endpoint->poll_in_flight = false;
  endpoint->poll_serial = 0;
  endpoint->poll_due_at_ms = 0;
}

static void
set_string (char **text, const char *value)
{
  if (g_strcmp0 (*text, value) == 0)
    return;
  g_free (*text);
  *text = g_strdup (value);
}

void
endpoint_note_address (endpoint_t *endpoint)
{
  set_string (&endpoint->answered_address, endpoint->address);
}

/* An answer from the earlier address says nothing of the new one. */
static void
set_address (endpoint_t *endpoint, const char *address)
{
  bool moved = endpoint->address != NULL && g_strcmp0 (endpoint->address, address) != 0;

  set_string (&endpoint->address, address);
  if (moved)
    endpoint_poll_again (endpoint);
}

/* Start times only tell instances apart: they come from a clock that may jump, so that they do not
 * show which instance is newer.  The entry may be older than the last poll result.  Where poll
 * results contain the start time too, a new entry therefore ends no runs; it invalidates polls
 * that are in flight, and the next poll decides. */
static void
apply_entry_start_time (executor_t *executor,
                        endpoint_t *endpoint,
                        const executor_endpoint_t *info,
                        int64_t now_ms)
{
  int64_t started_at_ms = info->started_at_ms;

  if (started_at_ms == 0 || started_at_ms == endpoint->entry_started_at_ms)
    return;
  endpoint->entry_started_at_ms = started_at_ms;
  if (started_at_ms == endpoint->started_at_ms)
    return;
  if (endpoint->reports_start_time)
    {
      endpoint_suspect_restart (endpoint);
      return;
    }
  if (endpoint->started_at_ms != 0)
    endpoint_restarted (executor, endpoint, now_ms);
  endpoint->started_at_ms = started_at_ms;
}

static bool
describes_observed_instance (const endpoint_t *endpoint, const executor_endpoint_t *info)
{
  return info->started_at_ms == 0 || endpoint->started_at_ms == 0
         || info->started_at_ms == endpoint->started_at_ms;
}

void
executor_set_endpoint (executor_t *executor, const executor_endpoint_t *info, int64_t now_ms)
{
  endpoint_t *endpoint = endpoint_find (executor, info->id);

  if (endpoint == NULL)
    {
      endpoint = g_new0 (endpoint_t, 1);
      endpoint->id = g_strdup (info->id);
      endpoint->runs = g_ptr_array_new ();
      endpoint->foreign_runs = g_ptr_array_new_with_free_func (free_foreign_run);
      endpoint->open_orders = open_orders_new ();
      g_hash_table_insert (executor->endpoints, endpoint->id, endpoint);
      executor->outliers.endpoints++;
    }
  apply_entry_start_time (executor, endpoint, info, now_ms);
  if (info->leaving && !endpoint->instance_leaving && describes_observed_instance (endpoint, info))
    {
      endpoint->instance_leaving = true;
      crash_history_endpoint_left (executor->crashes, endpoint->id, note_loss, executor);
    }
  set_address (endpoint, info->address);
  set_string (&endpoint->service, info->service);
  set_string (&endpoint->kind, info->kind);
  set_string (&endpoint->rack, info->rack);
  endpoint->leaving = info->leaving;
  endpoint->cold_until_ms = info->cold_until_ms;
  executor->removed_endpoints -= endpoint->entry_removed;
  endpoint->entry_removed = false;
  placement_update_ratio (executor, endpoint);
  endpoint->entry_capacity = info->free;
  if (describes_observed_instance (endpoint, info))
    capacity_report (&endpoint->capacity, &info->free);
}

static void
delete_endpoint (executor_t *executor, endpoint_t *endpoint)
{
  executor->outliers.endpoints--;
  executor->removed_endpoints -= endpoint->entry_removed;
  executor->outliers.ejected -= endpoint->outlier.state == OUTLIER_EJECTED;
  g_hash_table_remove (executor->endpoints, endpoint->id);
}

void
executor_remove_endpoint (executor_t *executor, const char *id)
{
  endpoint_t *endpoint = endpoint_find (executor, id);

  if (endpoint == NULL || endpoint->entry_removed)
    return;
  endpoint->entry_removed = true;
  executor->removed_endpoints++;
}

/* True if nothing is left to be tracked on ENDPOINT.  As long as another owner may have runs there,
 * a poll must show that there are none. */
static bool
is_departed (const executor_t *executor, const endpoint_t *endpoint, int64_t now_ms)
{
  return endpoint->entry_removed && endpoint->runs->len == 0 && endpoint->foreign_runs->len == 0
         && endpoint->open_orders->len == 0
         && (endpoint->runs_known || now_ms >= executor->contested_until_ms);
}

void
remove_departed_endpoints (executor_t *executor, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (executor->removed_endpoints == 0)
    return;
  GPtrArray *removable = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_departed (executor, value, now_ms))
      g_ptr_array_add (removable, value);
  for (guint i = 0; i < removable->len; i++)
    {
      const endpoint_t *endpoint = removable->pdata[i];
      if (!endpoint->runs_known || endpoint->unanswered_since_ms != 0)
        executor->unlisted_until_ms = now_ms + UNLISTED_MAX_MS;
      delete_endpoint (executor, removable->pdata[i]);
    }
  g_ptr_array_unref (removable);
}

void
executor_yield_endpoint (executor_t *executor, const char *id)
{
  endpoint_t *endpoint = endpoint_find (executor, id);

  if (endpoint == NULL)
    return;
  while (endpoint->runs->len > 0)
    task_remove (executor, endpoint->runs->pdata[endpoint->runs->len - 1]);
  delete_endpoint (executor, endpoint);
}

static void
endpoint_reset_token (endpoint_t *endpoint)
{
  endpoint->fenced = false;
  endpoint->token_generation++;
  /* A poll under the previous token does not show runs that another owner may start before the new
   * token has arrived. */
  endpoint_poll_again (endpoint);
}

void
executor_set_drained (executor_t *executor, bool drained)
{
  executor->drained = drained;
}

void
executor_set_discovery_until (executor_t *executor, int64_t at_ms)
{
  executor->discovery.until_ms = at_ms;
}

void
executor_set_directory_read (executor_t *executor, int64_t sent_at_ms)
{
  executor->discovery.directory_read_at_ms = sent_at_ms;
}

bool
executor_is_surveyed (const executor_t *executor)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (!endpoint->runs_known || endpoint->fenced || endpoint->foreign_runs->len > 0)
        return false;
    }
  return g_hash_table_size (executor->endpoints) > 0;
}

void
executor_set_token (executor_t *executor, int64_t token, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    endpoint_reset_token (value);
  executor->token = token;
  executor->token_since_ms = now_ms;
  executor->directory_wanted = false;
  executor->contested_until_ms =
      now_ms + CONTEST_MAX_MS + executor_longest_lease_ms (executor->options.lease_ms);
  while (executor->queue.length > 0)
    {
      task_t *task = g_queue_peek_head (&executor->queue);
      task_dequeue (executor, task);
      task_set_maybe_running (executor, task, now_ms);
    }
}
