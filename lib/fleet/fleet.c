/* fleet.c -- the tables of a fleet: endpoints, batches, tasks and their queue
 *
 * A task is in the queue exactly while it is TASK_WAITING, in the set of unclear ones
 * while it is TASK_MAYBE, and else in the runs of one endpoint, where its room is
 * taken until its run is surely over.  A cancelled task whose run is not over
 * stays as a task without a batch.
 */
#include "fleet/table.h"

#include <string.h>

/* An owner that is not heard has yielded, or has lost its coordinators, within this time. */
#define CONTESTED_MS 1000

/* What a coordinator was told is kept for it for so long. */
#define CLOSED_KEPT_MS 1500
#define NAMES_BYTES 4096

/* --- names --- */

char *
batch_key (const char *coordinator, uint64_t number)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, coordinator, number);
}

static void
free_endpoint (void *data)
{
  endpoint_t *endpoint = data;

  g_free (endpoint->id);
  g_free (endpoint->address);
  g_free (endpoint->service);
  g_free (endpoint->kind);
  g_free (endpoint->rack);
  g_ptr_array_unref (endpoint->runs);
  g_ptr_array_unref (endpoint->foreign);
  g_ptr_array_unref (endpoint->ended_foreign);
  g_free (endpoint);
}

static void
free_foreign (void *data)
{
  foreign_run_t *foreign = data;

  g_free (foreign->name);
  g_free (foreign);
}

static void
free_task (void *data)
{
  task_t *task = data;

  g_free (task->name);
  g_free (task->avoid);
  g_free (task);
}

static void
free_batch (void *data)
{
  batch_t *batch = data;

  g_free (batch->job);
  g_free (batch->spec);
  g_free (batch->service);
  g_free (batch->label);
  g_free (batch->near_rack);
  g_ptr_array_unref (batch->tasks);
  g_array_unref (batch->ended);
  g_free (batch);
}

static void
free_call (void *data)
{
  call_t *call = data;

  g_free (call->endpoint);
  g_free (call->task);
  g_free (call);
}

static void
free_kind (void *data)
{
  kind_t *kind = data;

  g_free (kind->kind);
  g_free (kind);
}

fleet_t *
fleet_new (const fleet_options_t *options)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->options = *options;
  fleet->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_endpoint);
  fleet->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_task);
  fleet->batches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_batch);
  fleet->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_call);
  fleet->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kind);
  fleet->estimates = estimates_new ();
  fleet->load_sums = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->maybe = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->names = g_string_chunk_new (NAMES_BYTES);
  fleet->closed = g_ptr_array_new ();
  fleet->retold = g_array_new (FALSE, FALSE, sizeof (retold_t));
  fleet->usable = g_ptr_array_new ();
  fleet->open = g_ptr_array_new ();
  g_queue_init (&fleet->queue);
  return fleet;
}

void
fleet_free (fleet_t *fleet)
{
  if (fleet == NULL)
    return;
  g_hash_table_unref (fleet->load_sums);
  g_hash_table_unref (fleet->maybe);
  g_string_chunk_free (fleet->names);
  g_ptr_array_unref (fleet->closed);
  g_array_unref (fleet->retold);
  g_ptr_array_unref (fleet->usable);
  g_ptr_array_unref (fleet->open);
  g_hash_table_unref (fleet->calls);
  g_hash_table_unref (fleet->batches);
  g_hash_table_unref (fleet->tasks);
  g_hash_table_unref (fleet->endpoints);
  g_hash_table_unref (fleet->kinds);
  estimates_free (fleet->estimates);
  g_free (fleet);
}

void
fleet_set_options (fleet_t *fleet, const fleet_options_t *options)
{
  fleet->options = *options;
}

/* --- the queue --- */

static bool
goes_before (const task_t *a, const task_t *b)
{
  if (a->batch->priority != b->batch->priority)
    return a->batch->priority < b->batch->priority;
  if (a->late != b->late)
    return b->late;
  return a->batch->aim.goal_at_ms < b->batch->aim.goal_at_ms;
}

void
task_queue (fleet_t *fleet, task_t *task)
{
  GList *at = fleet->queue.tail;

  while (at != NULL && goes_before (task, at->data))
    at = at->prev;
  task->link.data = task;
  if (at == NULL)
    g_queue_push_head_link (&fleet->queue, &task->link);
  else
    g_queue_insert_after_link (&fleet->queue, at, &task->link);
  const batch_t *batch = task->batch;
  load_add (fleet->load_sums, batch->service, batch->priority,
            load_core_ms (&task->need, batch->aim.work_ms), task->late, &task->counted);
}

void
task_unqueue (fleet_t *fleet, task_t *task)
{
  g_queue_unlink (&fleet->queue, &task->link);
  load_remove (&task->counted);
}

/* --- tasks --- */

void
task_detach (task_t *task)
{
  endpoint_t *endpoint = task->endpoint;

  if (endpoint == NULL)
    return;
  g_ptr_array_remove_fast (endpoint->runs, task);
  room_add (&endpoint->used, &task->need, -1);
  task->endpoint = NULL;
}

void
task_attach (task_t *task, endpoint_t *endpoint)
{
  task->endpoint = endpoint;
  g_ptr_array_add (endpoint->runs, task);
  room_add (&endpoint->used, &task->need, 1);
}

void
batch_remove (fleet_t *fleet, batch_t *batch)
{
  char *key = batch_key (batch->coordinator, batch->number);

  g_ptr_array_remove_fast (fleet->closed, batch);
  g_hash_table_remove (fleet->batches, key);
  g_free (key);
}

void
task_leave (fleet_t *fleet, task_t *task)
{
  batch_t *batch = task->batch;

  task->batch = NULL;
  if (batch == NULL)
    return;
  g_ptr_array_remove_fast (batch->tasks, task);
  if (batch->tasks->len > 0 || batch->closed)
    return;
  if (batch->ended->len == 0)
    {
      batch_remove (fleet, batch);
      return;
    }
  batch->closed = true;
  g_ptr_array_add (fleet->closed, batch);
}

void
forget_closed (fleet_t *fleet, int64_t now_ms)
{
  for (guint i = fleet->closed->len; i-- > 0;)
    {
      batch_t *batch = fleet->closed->pdata[i];
      if (batch->closed_at_ms == 0)
        batch->closed_at_ms = now_ms;
      else if (now_ms - batch->closed_at_ms > CLOSED_KEPT_MS)
        batch_remove (fleet, batch);
    }
}

void
tell_again (fleet_t *fleet, GArray *actions)
{
  for (guint i = 0; i < fleet->retold->len; i++)
    {
      const retold_t *retold = &g_array_index (fleet->retold, retold_t, i);
      fleet_action_t *action = action_add (actions, retold->how);
      action->coordinator = retold->coordinator;
      action->batch = retold->batch;
      action->index = retold->index;
      action->reason = "told again";
    }
  g_array_set_size (fleet->retold, 0);
}

void
task_end (fleet_t *fleet, task_t *task)
{
  if (task->state == TASK_WAITING)
    task_unqueue (fleet, task);
  if (task->state == TASK_MAYBE)
    g_hash_table_remove (fleet->maybe, task->name);
  task_detach (task);
  task_leave (fleet, task);
  g_hash_table_remove (fleet->tasks, task->name);
}

/* True if another owner may have started tasks that are here too, and what it started has not
 * been seen in full. */
static bool
is_contested (const fleet_t *fleet, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (endpoint->foreign->len > 0 || (!endpoint->looked && now_ms < fleet->contested_to_ms))
        return true;
    }
  return false;
}

/* All endpoints are looked at from now on: another owner may have been there since the last
 * look, unnoticed where there was nothing to do. */
void
task_doubt (fleet_t *fleet, task_t *task, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  task->state = TASK_MAYBE;
  task->doubted_at_ms = now_ms;
  g_hash_table_insert (fleet->maybe, task->name, task);
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      if (endpoint->look_out && endpoint->look_sent_at_ms < now_ms)
        {
          endpoint->look_out = false;
          endpoint->look_serial = 0;
        }
      if (endpoint->misses == 0)
        endpoint->look_due_ms = MIN (endpoint->look_due_ms, now_ms);
    }
}

void
task_requeue (fleet_t *fleet, task_t *task, int64_t now_ms)
{
  bool was_maybe = task->state == TASK_MAYBE;

  task_detach (task);
  if (was_maybe)
    g_hash_table_remove (fleet->maybe, task->name);
  if (task->batch == NULL)
    {
      g_hash_table_remove (fleet->tasks, task->name);
      return;
    }
  if (!was_maybe && is_contested (fleet, now_ms))
    {
      task_doubt (fleet, task, now_ms);
      return;
    }
  task->state = TASK_WAITING;
  task->queued_at_ms = now_ms;
  task_queue (fleet, task);
}

fleet_action_t *
action_add (GArray *actions, fleet_action_kind_t kind)
{
  fleet_action_t action = { .kind = kind };

  g_array_append_val (actions, action);
  return &g_array_index (actions, fleet_action_t, actions->len - 1);
}

fleet_action_t *
tell (fleet_t *fleet,
      GArray *actions,
      fleet_action_kind_t kind,
      const task_t *task,
      const char *reason)
{
  if (task->batch == NULL)
    return NULL;
  ended_t ended = { task->index, kind };
  g_array_append_val (task->batch->ended, ended);
  fleet_action_t *action = action_add (actions, kind);
  action->coordinator = task->batch->coordinator;
  action->batch = task->batch->number;
  action->task = g_string_chunk_insert (fleet->names, task->name);
  action->index = task->index;
  action->attempt = task->attempt;
  action->reason = reason;
  return action;
}

fleet_action_t *
note (fleet_t *fleet,
      GArray *actions,
      fleet_note_t kind,
      const endpoint_t *endpoint,
      const task_t *task,
      int64_t now_ms)
{
  fleet_action_t *action = action_add (actions, FLEET_NOTE);

  action->note = kind;
  action->endpoint = g_string_chunk_insert (fleet->names, endpoint->id);
  action->count = (int32_t) endpoint->runs->len;
  if (task == NULL)
    return action;
  action->task = g_string_chunk_insert (fleet->names, task->name);
  action->attempt = task->attempt;
  action->elapsed_ms = now_ms - task->sent_at_ms;
  action->expected_ms = task->expected_ms;
  action->percent = task->percent;
  return action;
}

void
names_clear (fleet_t *fleet)
{
  g_string_chunk_clear (fleet->names);
}

/* Must it end: from now on its run, if there is one, is being stopped. */
void
task_stop (task_t *task, int64_t now_ms)
{
  if (task->state == TASK_STOPPING)
    return;
  task->state = TASK_STOPPING;
  task->must_end_at_ms = now_ms;
  task->stop_sent_at_ms = 0;
  task->stop_confirmed = false;
}

/* --- endpoints --- */

endpoint_t *
endpoint_find (const fleet_t *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->endpoints, id);
}

static void
set_text (char **text, const char *value)
{
  if (g_strcmp0 (*text, value) == 0)
    return;
  g_free (*text);
  *text = g_strdup (value);
}

void
endpoint_reborn (fleet_t *fleet, endpoint_t *endpoint, int64_t now_ms)
{
  while (endpoint->runs->len > 0)
    task_requeue (fleet, endpoint->runs->pdata[endpoint->runs->len - 1], now_ms);
  g_ptr_array_set_size (endpoint->foreign, 0);
  g_ptr_array_set_size (endpoint->ended_foreign, 0);
  endpoint->ack = 0;
  endpoint->ack_sent = 0;
  endpoint->looked = false;
  endpoint->clock_known = false;
  endpoint->lease_end_ms = 0;
  endpoint->whole = (room_t){ 0 };
}

static void
room_raise (room_t *room, const room_t *seen)
{
  room->cores_milli = MAX (room->cores_milli, seen->cores_milli);
  room->memory_mb = MAX (room->memory_mb, seen->memory_mb);
  room->gpus = MAX (room->gpus, seen->gpus);
}

/* Times of birth only tell lives apart: the clock that they come from may jump.  An entry may be
 * older than the last look, so that it ends no run where looks tell of the life as well: the next
 * one does, and none that was sent before is believed. */
static void
take_entry_life (fleet_t *fleet, endpoint_t *endpoint, const fleet_endpoint_t *info, int64_t now_ms)
{
  int64_t born_at_ms = info->born_at_ms;

  if (born_at_ms == 0 || born_at_ms == endpoint->entry_born_at_ms)
    return;
  endpoint->entry_born_at_ms = born_at_ms;
  endpoint->entry_free = (room_t){ 0 };
  if (born_at_ms == endpoint->born_at_ms)
    return;
  if (endpoint->tells_born)
    {
      endpoint->looked = false;
      endpoint->look_out = false;
      endpoint->look_serial = 0;
      endpoint->look_due_ms = now_ms;
      return;
    }
  if (endpoint->born_at_ms != 0)
    endpoint_reborn (fleet, endpoint, now_ms);
  endpoint->born_at_ms = born_at_ms;
}

void
fleet_set_endpoint (fleet_t *fleet, const fleet_endpoint_t *info, int64_t now_ms)
{
  endpoint_t *endpoint = endpoint_find (fleet, info->id);

  if (endpoint == NULL)
    {
      endpoint = g_new0 (endpoint_t, 1);
      endpoint->id = g_strdup (info->id);
      endpoint->runs = g_ptr_array_new ();
      endpoint->foreign = g_ptr_array_new_with_free_func (free_foreign);
      endpoint->ended_foreign = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (fleet->endpoints, endpoint->id, endpoint);
      fleet->outliers.endpoints++;
    }
  take_entry_life (fleet, endpoint, info, now_ms);
  set_text (&endpoint->address, info->address);
  set_text (&endpoint->service, info->service);
  set_text (&endpoint->kind, info->kind);
  set_text (&endpoint->rack, info->rack);
  endpoint->leaving = info->leaving;
  endpoint->cold_until_ms = info->cold_until_ms;
  fleet->departed -= endpoint->departed;
  endpoint->departed = false;
  place_rate (fleet, endpoint);
  room_raise (&endpoint->whole, &info->free);
  room_raise (&endpoint->entry_free, &info->free);
}

static void
forget_endpoint (fleet_t *fleet, endpoint_t *endpoint)
{
  fleet->outliers.endpoints--;
  fleet->departed -= endpoint->departed;
  fleet->outliers.ejected -= endpoint->outlier.state == OUTLIER_EJECTED;
  g_hash_table_remove (fleet->endpoints, endpoint->id);
}

void
fleet_drop_endpoint (fleet_t *fleet, const char *id)
{
  endpoint_t *endpoint = endpoint_find (fleet, id);

  if (endpoint == NULL || endpoint->departed)
    return;
  endpoint->departed = true;
  fleet->departed++;
}

void
forget_departed (fleet_t *fleet)
{
  GHashTableIter iter;
  void *value = NULL;

  if (fleet->departed == 0)
    return;
  GPtrArray *over = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((endpoint_t *) value)->departed && ((endpoint_t *) value)->runs->len == 0)
      g_ptr_array_add (over, value);
  for (guint i = 0; i < over->len; i++)
    forget_endpoint (fleet, over->pdata[i]);
  g_ptr_array_unref (over);
}

void
fleet_yield_endpoint (fleet_t *fleet, const char *id)
{
  endpoint_t *endpoint = endpoint_find (fleet, id);

  if (endpoint == NULL)
    return;
  while (endpoint->runs->len > 0)
    task_end (fleet, endpoint->runs->pdata[endpoint->runs->len - 1]);
  forget_endpoint (fleet, endpoint);
}

static void
endpoint_renew (endpoint_t *endpoint)
{
  endpoint->looked = false;
  endpoint->shut_out = false;
  endpoint->term++;
  /* A look under the token before shows nothing about what another owner may start
   * until the new token has arrived. */
  endpoint->look_out = false;
  endpoint->look_serial = 0;
  endpoint->look_due_ms = 0;
}

void
fleet_set_drained (fleet_t *fleet, bool drained)
{
  fleet->drained = drained;
}

void
fleet_set_unsettled (fleet_t *fleet, int64_t at_ms)
{
  fleet->unsettled_to_ms = at_ms;
}

void
fleet_renew (fleet_t *fleet, int64_t token, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    endpoint_renew (value);
  fleet->token = token;
  fleet->contested_to_ms = now_ms + CONTESTED_MS + fleet->options.lease_ms;
  while (fleet->queue.length > 0)
    {
      task_t *task = g_queue_peek_head (&fleet->queue);
      task_unqueue (fleet, task);
      task_doubt (fleet, task, now_ms);
    }
}

/* --- reports --- */

static int32_t
slots_of (const room_t *whole, const room_t *used, const room_t *need)
{
  int64_t slots = INT32_MAX;

  if (need->cores_milli > 0)
    slots = MIN (slots, (whole->cores_milli - used->cores_milli) / need->cores_milli);
  if (need->memory_mb > 0)
    slots = MIN (slots, (whole->memory_mb - used->memory_mb) / need->memory_mb);
  if (need->gpus > 0)
    slots = MIN (slots, (whole->gpus - used->gpus) / need->gpus);
  return (int32_t) CLAMP (slots, 0, INT16_MAX);
}

/* Endpoints whose speeds differ by less than this are offered together. */
#define ALIKE 1.15

static fleet_offer_t *
offer_for (GArray *offers, const endpoint_t *endpoint, double ratio)
{
  for (guint i = 0; i < offers->len; i++)
    {
      fleet_offer_t *offer = &g_array_index (offers, fleet_offer_t, i);
      if (strcmp (offer->service, endpoint->service) == 0 && ratio < offer->ratio * ALIKE
          && ratio > offer->ratio / ALIKE)
        return offer;
    }
  fleet_offer_t offer = { .service = endpoint->service, .ratio = ratio };
  g_array_append_val (offers, offer);
  return &g_array_index (offers, fleet_offer_t, offers->len - 1);
}

void
fleet_offers (const fleet_t *fleet, const room_t *need, int64_t now_ms, GArray *offers)
{
  static const room_t nothing;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (!fleet->drained && !place_is_usable (endpoint, now_ms))
        continue;
      fleet_offer_t *offer = offer_for (offers, endpoint, place_ratio (endpoint));
      if (fleet->drained)
        continue;
      offer->slots += slots_of (&endpoint->whole, &endpoint->used, need);
      offer->slots_all += slots_of (&endpoint->whole, &nothing, need);
    }
}

fleet_totals_t
fleet_totals (const fleet_t *fleet, int64_t now_ms)
{
  fleet_totals_t totals = { .usual_need = fleet->usual_need };
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      totals.endpoints++;
      totals.endpoints_ready += !fleet->drained && place_is_usable (endpoint, now_ms);
      totals.running += (int32_t) endpoint->runs->len;
    }
  totals.waiting = (int32_t) fleet->queue.length;
  return totals;
}
