/* owners.c -- records owners of shards and their offers, and moves batches to new owners
 *
 * The batches of a shard are sent again if the shard changes hands or if its owner may have lost
 * them.  To an owner that recognises them by their numbers they are sent unchanged.  If another
 * host may have started them, they are sent as tasks that may be running.
 */
#include "scheduler/state.h"

/* An owner that has lost contact with a coordinator ends its tasks within this time. */
#define OWNER_DROP_TIMEOUT_MS 900

shard_t *
scheduler_find_shard (scheduler_t *scheduler, const char *name)
{
  const char *interned = g_intern_string (name);
  shard_t *shard = g_hash_table_lookup (scheduler->shards, interned);

  if (shard == NULL)
    {
      shard = g_new0 (shard_t, 1);
      shard->name = interned;
      shard->offers = g_array_new (FALSE, FALSE, sizeof (offer_row_t));
      shard->services = g_hash_table_new (NULL, NULL);
      shard->drained = g_hash_table_contains (scheduler->drained_shards, interned);
      shard->loads = g_array_new (FALSE, FALSE, sizeof (forecast_load_t));
      g_ptr_array_add (scheduler->shard_order, shard);
      g_hash_table_insert (scheduler->shards, (void *) interned, shard);
    }
  return shard;
}

void
scheduler_set_rack_shard (scheduler_t *scheduler, const char *rack, const char *shard)
{
  const char *interned = g_intern_string (shard);

  /* The shard has endpoints, even if no owner of it has been heard yet. */
  scheduler_find_shard (scheduler, shard);
  if (g_hash_table_lookup (scheduler->shard_by_rack, rack) != interned)
    g_hash_table_replace (scheduler->shard_by_rack, g_strdup (rack), (void *) interned);
}

void
scheduler_set_drained (scheduler_t *scheduler, const char *name, bool drained)
{
  const char *interned = g_intern_string (name);
  shard_t *shard = g_hash_table_lookup (scheduler->shards, interned);

  if (drained)
    g_hash_table_add (scheduler->drained_shards, (void *) interned);
  else
    g_hash_table_remove (scheduler->drained_shards, interned);
  if (shard != NULL)
    shard->drained = drained;
}

static void
set_offers (shard_t *shard, const GArray *offers)
{
  g_array_set_size (shard->offers, 0);
  for (guint i = 0; i < offers->len; i++)
    {
      const executor_offer_t *offer = &g_array_index (offers, executor_offer_t, i);
      offer_row_t row = { g_intern_string (offer->service), offer->slots_free, offer->slots_total,
                          offer->duration_ratio };
      g_array_append_val (shard->offers, row);
      g_hash_table_add (shard->services, (void *) row.service);
    }
}

static void
set_loads (shard_t *shard, const GArray *loads, int64_t now_ms)
{
  g_array_set_size (shard->loads, 0);
  shard->has_loads = true;
  for (guint i = 0; i < loads->len; i++)
    {
      const executor_load_t *report = &g_array_index (loads, executor_load_t, i);
      forecast_load_t load = { .report = *report, .received_at_ms = now_ms };
      load.report.service = g_intern_string (report->service);
      g_array_append_val (shard->loads, load);
    }
}

void
scheduler_set_report (scheduler_t *scheduler,
                      const char *name,
                      const char *host,
                      const scheduler_report_t *report,
                      int64_t now_ms)
{
  shard_t *shard = scheduler_find_shard (scheduler, name);

  if (shard->owner != g_intern_string (host))
    return;
  set_offers (shard, report->offers);
  shard->waiting_tasks = report->waiting_tasks;
  if (report->loads != NULL)
    set_loads (shard, report->loads, now_ms);
  report_timing_add (&shard->timing, now_ms);
}

/* Returns the time within which the runs of a batch end after its owner has dropped the batch. */
static int64_t
run_end_after_drop_ms (const scheduler_t *scheduler)
{
  int64_t slack_ms = scheduler->lease_ms * EXECUTOR_CLOCK_SLACK_PERCENT / 100;

  return EXECUTOR_UNSTOPPED_MAX_MS + scheduler->lease_ms + slack_ms;
}

/* Sends the open tasks of BATCH, as a new batch, to the present owner of its shard.  The old owner
 * is sent a release even if it counts as lost, because it may still receive messages from this
 * host. */
static void
move_batch (scheduler_t *scheduler,
            job_batch_t *batch,
            const shard_t *shard,
            int64_t now_ms,
            GArray *actions)
{
  scheduled_job_t *job = batch->job;

  job->handovers++;
  job->may_have_run = true;
  job->register_again = true;
  job_batch_t *new_batch = assign_new_batch (scheduler, job, shard);
  new_batch->maybe_running = true;
  new_batch->wait_until_ms = now_ms + OWNER_DROP_TIMEOUT_MS + run_end_after_drop_ms (scheduler);
  g_array_append_vals (new_batch->open_tasks, batch->open_tasks->data, batch->open_tasks->len);
  if (batch->host != new_batch->host)
    cancellations_release (scheduler, batch, now_ms, actions);
  scheduler_remove_batch (scheduler, batch);
  assign_send_batch (job, new_batch, actions);
}

/* Moves BATCHES to the present owners of their shards, but for those of jobs that must not start
 * anew. */
static void
move_batches (scheduler_t *scheduler, GPtrArray *batches, int64_t now_ms, GArray *actions)
{
  restarts_give_up (scheduler, batches, false, now_ms, actions);
  for (guint i = 0; i < batches->len; i++)
    {
      job_batch_t *batch = batches->pdata[i];
      move_batch (scheduler, batch, scheduler_find_shard (scheduler, batch->shard), now_ms,
                  actions);
    }
}

/* Returns the batches of all jobs that are not waiting for their end to be confirmed.  The caller
 * frees the array. */
static GPtrArray *
active_batches (const scheduler_t *scheduler)
{
  GPtrArray *batches = g_ptr_array_new ();
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((job_batch_t *) value)->job->end_pending)
      g_ptr_array_add (batches, value);
  return batches;
}

void
scheduler_set_owner (scheduler_t *scheduler,
                     const char *name,
                     const char *host,
                     int64_t token,
                     int64_t now_ms,
                     GArray *actions)
{
  shard_t *shard = scheduler_find_shard (scheduler, name);

  const char *old_owner = shard->owner;
  shard->owner = host != NULL ? g_intern_string (host) : NULL;
  shard->token = token;
  if (shard->owner != old_owner)
    {
      g_array_set_size (shard->offers, 0);
      g_array_set_size (shard->loads, 0);
      shard->has_loads = false;
      shard->timing = (report_timing_t){ 0 };
      shard->waiting_tasks = 0;
    }
  if (shard->owner == NULL)
    return;
  GPtrArray *batches = active_batches (scheduler);
  for (guint i = batches->len; i-- > 0;)
    {
      const job_batch_t *batch = batches->pdata[i];
      bool has_it =
          batch->host == shard->owner && batch->token == token && batch->owner_lost_at_ms == 0;
      if (batch->shard != shard->name || has_it)
        g_ptr_array_remove_index (batches, i);
    }
  move_batches (scheduler, batches, now_ms, actions);
  g_ptr_array_unref (batches);
}

/* Returns the batches of HOST, without those that were sent before HOST was lost.  The caller frees
 * the array. */
static GPtrArray *
batches_at (const scheduler_t *scheduler, const char *host)
{
  const char *interned = g_intern_string (host);
  GPtrArray *batches = active_batches (scheduler);

  for (guint i = batches->len; i-- > 0;)
    {
      const job_batch_t *batch = batches->pdata[i];
      if (batch->host != interned || batch->owner_lost_at_ms != 0)
        g_ptr_array_remove_index (batches, i);
    }
  return batches;
}

/* An owner recognises its batches by their numbers, so that it does not take a batch twice. */
void
scheduler_resend_batches (scheduler_t *scheduler, const char *host, GArray *actions)
{
  GPtrArray *batches = batches_at (scheduler, host);

  for (guint i = 0; i < batches->len; i++)
    {
      job_batch_t *batch = batches->pdata[i];
      batch->resent = true;
      assign_send_batch (batch->job, batch, actions);
    }
  g_ptr_array_unref (batches);
}

void
scheduler_batches_dropped (scheduler_t *scheduler,
                           const char *host,
                           int64_t now_ms,
                           GArray *actions)
{
  GPtrArray *batches = batches_at (scheduler, host);

  restarts_give_up (scheduler, batches, true, now_ms, actions);
  for (guint i = 0; i < batches->len; i++)
    {
      job_batch_t *batch = batches->pdata[i];
      batch->job->handovers++;
      batch->job->may_have_run = true;
      batch->job->register_again = true;
      batch->maybe_running = true;
      batch->wait_until_ms = now_ms + run_end_after_drop_ms (scheduler);
      assign_send_batch (batch->job, batch, actions);
    }
  g_ptr_array_unref (batches);
}

void
scheduler_host_lost (scheduler_t *scheduler,
                     const char *host,
                     int64_t heard_at_ms,
                     int64_t now_ms,
                     GArray *actions)
{
  const char *interned = g_intern_string (host);

  remote_jobs_host_lost (scheduler->remote_jobs, host);
  GPtrArray *batches = batches_at (scheduler, host);
  for (guint i = batches->len; i-- > 0;)
    {
      job_batch_t *batch = batches->pdata[i];
      batch->owner_lost_at_ms = heard_at_ms;
      const shard_t *shard = scheduler_find_shard (scheduler, batch->shard);
      if (shard->owner == NULL || shard->owner == interned)
        g_ptr_array_remove_index (batches, i);
    }
  move_batches (scheduler, batches, now_ms, actions);
  g_ptr_array_unref (batches);
}

/* Other owners end the runs of a coordinator that they have not heard for resubmit_ms.  Those that
 * it owned itself live under leases that it has renewed until its end. */
int64_t
scheduler_runs_end_ms (const scheduler_t *scheduler)
{
  return MAX (scheduler->resubmit_ms, run_end_after_drop_ms (scheduler));
}

void
scheduler_host_restarted (scheduler_t *scheduler, const char *host, int64_t started_at_ms)
{
  remote_jobs_host_restarted (scheduler->remote_jobs, host,
                              started_at_ms + scheduler_runs_end_ms (scheduler));
  scheduler_host_found (scheduler, started_at_ms);
}

void
scheduler_append_other_offers (const scheduler_t *scheduler,
                               const char *name,
                               int64_t now_ms,
                               GArray *offers)
{
  const char *interned = g_intern_string (name);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const shard_t *shard = value;
      if (shard->name == interned || !slots_shard_accepts_tasks (shard)
          || report_timing_overdue_ms (&shard->timing, now_ms) > 0)
        continue;
      for (guint i = 0; i < shard->offers->len; i++)
        {
          const offer_row_t *row = &g_array_index (shard->offers, offer_row_t, i);
          executor_offer_t offer = { row->service, row->free_slots, row->total_slots,
                                     row->duration_ratio };
          g_array_append_val (offers, offer);
        }
    }
}

bool
scheduler_has_offers (const scheduler_t *scheduler)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((shard_t *) value)->owner != NULL && ((shard_t *) value)->offers->len > 0)
      return true;
  return false;
}
