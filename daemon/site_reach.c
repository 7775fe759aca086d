/* site_reach.c -- tells the scheduler which data centres are out of reach, and logs changes */
#include "daemon/site_private.h"

/* Jobs must be given up 110 ms after a data centre counts as unreached, or later. */
#define CHECK_INTERVAL_MS 50
/* A request that was sent into a cut may arrive so long after its end: TCP doubles its time-out
 * with each retransmission, so that the next one comes about as long after the end as the cut
 * lasted, and hosts that are cut off for 20 s are forgotten. */
#define DELIVERED_LATE_MS 20000

/* Returns the entry of DATA_CENTRE, which is interned, in UNREACHED, or NULL. */
static const cluster_unreached_t *
find_unreached (const GArray *unreached, const char *data_centre)
{
  for (guint i = 0; i < unreached->len; i++)
    {
      const cluster_unreached_t *entry = &g_array_index (unreached, cluster_unreached_t, i);
      if (entry->data_centre == data_centre)
        return entry;
    }
  return NULL;
}

static void
log_unreached (const site_t *site, const cluster_unreached_t *entry, int64_t now_ms)
{
  if (!event_begin (EVENT_DATA_CENTRE_UNREACHED))
    return;
  event_add_text ("data_centre", entry->data_centre);
  event_add_number ("silent_ms", now_ms - entry->reached_at_ms);
  event_add_number ("jobs", scheduler_count_untold (site->scheduler, entry->reached_at_ms));
  event_end ();
}

static void
log_reached (const cluster_unreached_t *entry, int64_t now_ms)
{
  if (!event_begin (EVENT_DATA_CENTRE_REACHED))
    return;
  event_add_text ("data_centre", entry->data_centre);
  event_add_number ("after_ms", now_ms - entry->reached_at_ms);
  event_end ();
}

static recovered_t *
find_recovered (const GArray *recovered, const char *data_centre)
{
  for (guint i = 0; i < recovered->len; i++)
    {
      recovered_t *entry = &g_array_index (recovered, recovered_t, i);
      if (entry->data_centre == data_centre)
        return entry;
    }
  return NULL;
}

/* ENTRY is reached again.  Only the latest cut of a data centre is kept: connections that have been
 * idle since before an earlier one have been idle since before the latest one, too. */
static void
add_recovered (site_t *site, const cluster_unreached_t *entry, int64_t now_ms)
{
  const recovered_t recovered = { entry->data_centre, entry->since_ms, now_ms };
  recovered_t *known = find_recovered (site->recovered, entry->data_centre);

  if (known == NULL)
    g_array_append_val (site->recovered, recovered);
  else
    {
      known->since_ms = MAX (known->since_ms, entry->since_ms);
      known->reached_again_ms = now_ms;
    }
}

static void
remove_recovered (site_t *site, int64_t now_ms)
{
  for (guint i = site->recovered->len; i-- > 0;)
    if (now_ms
        >= g_array_index (site->recovered, recovered_t, i).reached_again_ms + DELIVERED_LATE_MS)
      g_array_remove_index_fast (site->recovered, i);
}

static void
take_changes (site_t *site, const GArray *before, const GArray *after, int64_t now_ms)
{
  for (guint i = 0; i < after->len; i++)
    {
      const cluster_unreached_t *entry = &g_array_index (after, cluster_unreached_t, i);
      if (find_unreached (before, entry->data_centre) == NULL)
        log_unreached (site, entry, now_ms);
    }
  for (guint i = 0; i < before->len; i++)
    {
      const cluster_unreached_t *entry = &g_array_index (before, cluster_unreached_t, i);
      if (find_unreached (after, entry->data_centre) != NULL)
        continue;
      log_reached (entry, now_ms);
      add_recovered (site, entry, now_ms);
    }
}

static void
tell_scheduler (const site_t *site, int64_t now_ms)
{
  scheduler_set_confirmed_at (site->scheduler, cluster_confirmed_at_ms (site->cluster, now_ms));
  scheduler_clear_unreached (site->scheduler);
  for (guint i = 0; i < site->unreached->len; i++)
    {
      const cluster_unreached_t *entry = &g_array_index (site->unreached, cluster_unreached_t, i);
      const scheduler_unreached_t unreached = { entry->reached_at_ms, entry->since_ms,
                                                entry->heard };
      scheduler_add_unreached (site->scheduler, &unreached);
    }
  for (guint i = 0; i < site->recovered->len; i++)
    {
      const recovered_t *recovered = &g_array_index (site->recovered, recovered_t, i);
      /* Its hosts may not have told all their jobs before. */
      int64_t told_at_ms = recovered->reached_again_ms + CLUSTER_EXCHANGE_MS;
      const scheduler_unreached_t reached = { .reached_at_ms = INT64_MAX,
                                              .since_ms = recovered->since_ms,
                                              .heard = now_ms < told_at_ms };
      scheduler_add_unreached (site->scheduler, &reached);
    }
}

void
reach_tick (site_t *site, int64_t now_ms)
{
  GArray *before = site->unreached;

  if (now_ms < site->reach_due_ms)
    return;
  site->reach_due_ms = now_ms + CHECK_INTERVAL_MS;
  site->unreached = g_array_new (FALSE, FALSE, sizeof (cluster_unreached_t));
  cluster_append_unreached (site->cluster, now_ms, site->unreached);
  remove_recovered (site, now_ms);
  take_changes (site, before, site->unreached, now_ms);
  g_array_unref (before);
  tell_scheduler (site, now_ms);
}
