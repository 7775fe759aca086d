/* job_ready.c -- readiness of this host for submissions
 *
 * A host is ready when it has a configuration, a view and a share of the slots of
 * its data centre's endpoints.  Without slots all submissions would wait in its
 * queue.
 */
#include "daemon/job_private.h"
#include "daemon/part_config.h"
#include "daemon/part_quota.h"
#include "daemon/part_view.h"

#include <string.h>

/* A longer gap between two ticks shows that the process was frozen. */
#define FREEZE_GAP_MS 1000
/* After this time a host is ready even if it has never held a free slot. */
#define WARMUP_TIMEOUT_MS 5000
/* Size of the buffer for the name of an endpoint's limit, "slots/ID". */
#define LIMIT_NAME_BYTES 320

void
job_ready_on_hosts (const config_t *config, GPtrArray *hosts, void *data)
{
  job_part_t *part = data;

  (void) config;
  if (hosts == NULL || hosts == part->hosts)
    return;
  g_clear_pointer (&part->hosts, g_ptr_array_unref);
  part->hosts = g_ptr_array_ref (hosts);
}

/* True if this host holds a free slot of an endpoint in its data centre, or if the
 * data centre has no endpoint. */
static bool
has_free_slot (job_part_t *part, int64_t now_ms)
{
  bool has_endpoint = false;
  char limit[LIMIT_NAME_BYTES];

  /* Before the first host list the endpoints are unknown. */
  if (part->hosts == NULL)
    return false;
  for (guint i = 0; i < part->hosts->len; i++)
    {
      const host_t *host = part->hosts->pdata[i];
      if (host->role != HOST_ROLE_ENDPOINT || host->leaving
          || strcmp (host->data_centre, daemon_data_centre (part->base.daemon)) != 0)
        continue;
      has_endpoint = true;
      g_snprintf (limit, sizeof limit, "slots/%s", host->id);
      if (part_quota_available (part->parts.share, limit, now_ms) > 0)
        return true;
    }
  return !has_endpoint;
}

/* After a start or a freeze the host has no shares, and its warm-up begins anew. */
void
job_ready_update (job_part_t *part, int64_t now_ms)
{
  daemon_t *daemon = part->base.daemon;
  int64_t last_tick_ms = atomic_load (&part->last_tick_ms);
  bool is_configured =
      part_config_current (part->parts.config) != NULL && part_view_number (part->parts.view) > 0;

  if (!is_configured || now_ms - last_tick_ms > FREEZE_GAP_MS)
    {
      part->warmed_up = false;
      part->warmup_started_at_ms = now_ms;
    }
  part->warmed_up = part->warmed_up || has_free_slot (part, now_ms)
                    || now_ms - part->warmup_started_at_ms >= WARMUP_TIMEOUT_MS;
  atomic_store (&part->ready, is_configured && part->warmed_up && !daemon_is_draining (daemon));
}
