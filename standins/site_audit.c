/* site_audit.c -- counts what must never happen at the stand-in endpoints of this process */
#include "standins/site_audit.h"

#include "standins/site_runs.h"

#include <string.h>

static GPtrArray *all;   /* site_endpoint_t */
static GHashTable *done; /* tasks of which a run was done and its end acknowledged */
static site_endpoint_totals_t totals;

void
site_audit_add (site_endpoint_t *endpoint)
{
  if (all == NULL)
    {
      all = g_ptr_array_new ();
      done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  g_ptr_array_add (all, endpoint);
}

void
site_audit_each (void (*visit) (site_endpoint_t *endpoint, int64_t now_ms), int64_t now_ms)
{
  for (guint i = 0; all != NULL && i < all->len; i++)
    visit (all->pdata[i], now_ms);
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

void
site_audit_start (const site_endpoint_t *endpoint, const char *task, int64_t now_ms)
{
  for (guint i = 0; i < all->len; i++)
    {
      site_endpoint_t *other = all->pdata[i];
      site_runs_step (other, now_ms);
      totals.twice += other != endpoint && site_runs_find (other, task) != NULL;
      count_start_after (other->ends, task);
    }
  totals.again += g_hash_table_contains (done, task);
  totals.starts++;
}

void
site_audit_crowded (void)
{
  totals.crowded++;
}

void
site_audit_refused (void)
{
  totals.refused++;
}

void
site_audit_done (const end_t *end)
{
  totals.again += end->starts_after;
  g_hash_table_add (done, g_strdup (end->task));
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
