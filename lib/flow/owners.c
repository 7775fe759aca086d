/* owners.c -- which host owns each shard, what it offers, and the batches that it was given
 *
 * When a shard changes hands, or its owner may have lost what it was sent, the batches there
 * are sent again: as they were where the owner knows them by their numbers, as tasks that may be
 * running where another host may have started them.
 */
#include "flow/state.h"

/* An owner that has lost its coordinator ends its tasks within this time. */
#define OWNER_DROPS_MS 900

static shard_t *
find_shard (flow_t *flow, const char *name)
{
  const char *interned = g_intern_string (name);
  shard_t *shard = g_hash_table_lookup (flow->shards, interned);

  if (shard == NULL)
    {
      shard = g_new0 (shard_t, 1);
      shard->name = interned;
      shard->rows = g_array_new (FALSE, FALSE, sizeof (row_t));
      shard->services = g_hash_table_new (NULL, NULL);
      shard->drained = g_hash_table_contains (flow->drained, interned);
      shard->loads = g_array_new (FALSE, FALSE, sizeof (forecast_load_t));
      g_ptr_array_add (flow->order, shard);
      g_hash_table_insert (flow->shards, (void *) interned, shard);
    }
  return shard;
}

void
flow_set_rack (flow_t *flow, const char *rack, const char *shard)
{
  const char *interned = g_intern_string (shard);

  if (g_hash_table_lookup (flow->racks, rack) != interned)
    g_hash_table_replace (flow->racks, g_strdup (rack), (void *) interned);
}

void
flow_set_drained (flow_t *flow, const char *name, bool drained)
{
  const char *interned = g_intern_string (name);
  shard_t *shard = g_hash_table_lookup (flow->shards, interned);

  if (drained)
    g_hash_table_add (flow->drained, (void *) interned);
  else
    g_hash_table_remove (flow->drained, interned);
  if (shard != NULL)
    shard->drained = drained;
}

void
flow_offer (flow_t *flow,
            const char *name,
            const char *host,
            const fleet_offer_t *offers,
            size_t count,
            int32_t waiting)
{
  shard_t *shard = find_shard (flow, name);

  if (shard->owner != g_intern_string (host))
    return;
  g_array_set_size (shard->rows, 0);
  for (size_t i = 0; i < count; i++)
    {
      row_t row = { g_intern_string (offers[i].service), offers[i].slots_free,
                    offers[i].slots_total, offers[i].duration_ratio };
      g_array_append_val (shard->rows, row);
      g_hash_table_add (shard->services, (void *) row.service);
    }
  shard->waiting = waiting;
}

void
flow_load (flow_t *flow,
           const char *name,
           const char *host,
           const fleet_load_t *loads,
           size_t count,
           int64_t now_ms)
{
  shard_t *shard = find_shard (flow, name);

  if (shard->owner != g_intern_string (host))
    return;
  g_array_set_size (shard->loads, 0);
  shard->reported = true;
  for (size_t i = 0; i < count; i++)
    {
      forecast_load_t load = { .told = loads[i], .heard_at_ms = now_ms };
      load.told.service = g_intern_string (loads[i].service);
      g_array_append_val (shard->loads, load);
    }
}

/* What an owner has started is over so long after it has dropped it. */
static int64_t
runs_over_ms (const flow_t *flow)
{
  int64_t slack_ms = flow->lease_ms * FLEET_CLOCK_SLACK_PERCENT / 100;

  return FLEET_UNSTOPPED_MAX_MS + flow->lease_ms + slack_ms;
}

/* Sends what is left of BATCH to the owner that its shard has now.  The one before may be lost and
 * hear this host all the same. */
static void
move_batch (flow_t *flow, batch_t *batch, const shard_t *shard, int64_t now_ms, GArray *actions)
{
  job_t *job = batch->job;

  job->handovers++;
  job->may_have_run = true;
  batch_t *next = spread_batch (flow, job, shard);
  next->maybe = true;
  next->wait_until_ms = now_ms + OWNER_DROPS_MS + runs_over_ms (flow);
  g_array_append_vals (next->open, batch->open->data, batch->open->len);
  if (batch->host != next->host)
    cancels_add (flow, batch, FLOW_RELEASE, now_ms, actions);
  flow_drop_batch (flow, batch);
  spread_send (job, next, actions);
}

static GPtrArray *
open_batches (const flow_t *flow)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, flow->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((batch_t *) value)->job->ending)
      g_ptr_array_add (found, value);
  return found;
}

void
flow_owner (flow_t *flow,
            const char *name,
            const char *host,
            int64_t token,
            int64_t now_ms,
            GArray *actions)
{
  shard_t *shard = find_shard (flow, name);

  const char *before = shard->owner;
  shard->owner = host != NULL ? g_intern_string (host) : NULL;
  shard->token = token;
  if (shard->owner != before)
    {
      g_array_set_size (shard->rows, 0);
      g_array_set_size (shard->loads, 0);
      shard->reported = false;
      shard->waiting = 0;
    }
  if (shard->owner == NULL)
    return;
  GPtrArray *batches = open_batches (flow);
  for (guint i = 0; i < batches->len; i++)
    {
      batch_t *batch = batches->pdata[i];
      if (batch->shard == shard->name
          && (batch->host != shard->owner || batch->token != token || batch->lost_at_ms != 0))
        move_batch (flow, batch, shard, now_ms, actions);
    }
  g_ptr_array_unref (batches);
}

/* The open batches of HOST, unless it was lost after they were sent; the caller frees the array. */
static GPtrArray *
batches_at (const flow_t *flow, const char *host)
{
  const char *interned = g_intern_string (host);
  GPtrArray *batches = open_batches (flow);

  for (guint i = batches->len; i-- > 0;)
    {
      const batch_t *batch = batches->pdata[i];
      if (batch->host != interned || batch->lost_at_ms != 0)
        g_ptr_array_remove_index (batches, i);
    }
  return batches;
}

/* The owner knows its batches by their numbers, so that one which it has is not taken twice. */
void
flow_resync (flow_t *flow, const char *host, GArray *actions)
{
  GPtrArray *batches = batches_at (flow, host);

  for (guint i = 0; i < batches->len; i++)
    {
      batch_t *batch = batches->pdata[i];
      batch->sent_again = true;
      spread_send (batch->job, batch, actions);
    }
  g_ptr_array_unref (batches);
}

void
flow_dropped (flow_t *flow, const char *host, int64_t now_ms, GArray *actions)
{
  GPtrArray *batches = batches_at (flow, host);

  for (guint i = 0; i < batches->len; i++)
    {
      batch_t *batch = batches->pdata[i];
      batch->job->handovers++;
      batch->job->may_have_run = true;
      batch->maybe = true;
      batch->wait_until_ms = now_ms + runs_over_ms (flow);
      spread_send (batch->job, batch, actions);
    }
  g_ptr_array_unref (batches);
}

void
flow_host_lost (flow_t *flow,
                const char *host,
                int64_t heard_at_ms,
                int64_t now_ms,
                GArray *actions)
{
  const char *interned = g_intern_string (host);
  GPtrArray *batches = batches_at (flow, host);

  for (guint i = 0; i < batches->len; i++)
    {
      batch_t *batch = batches->pdata[i];
      batch->lost_at_ms = heard_at_ms;
      const shard_t *shard = find_shard (flow, batch->shard);
      if (shard->owner != NULL && shard->owner != interned)
        move_batch (flow, batch, shard, now_ms, actions);
    }
  g_ptr_array_unref (batches);
}

void
flow_offers_elsewhere (const flow_t *flow, const char *name, GArray *offers)
{
  const char *interned = g_intern_string (name);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, flow->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const shard_t *shard = value;
      if (shard->name == interned || shard->owner == NULL || shard->drained)
        continue;
      for (guint i = 0; i < shard->rows->len; i++)
        {
          const row_t *row = &g_array_index (shard->rows, row_t, i);
          fleet_offer_t offer = { row->service, row->slots, row->slots_all, row->ratio };
          g_array_append_val (offers, offer);
        }
    }
}

bool
flow_has_offers (const flow_t *flow)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, flow->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((shard_t *) value)->owner != NULL && ((shard_t *) value)->rows->len > 0)
      return true;
  return false;
}
