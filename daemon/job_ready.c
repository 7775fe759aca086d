/* job_ready.c -- when a host may be sent submissions
 *
 * It needs a configuration, a view, and shares of its data centre's endpoints,
 * without which whatever it is sent would wait.
 */
#include "daemon/job_private.h"
#include "daemon/part_config.h"
#include "daemon/part_quota.h"
#include "daemon/part_view.h"

#include <string.h>

/* A gap between ticks that shows that the process was frozen. */
#define FREEZE_GAP_MS 1000
/* How long a host without slots stays unready. */
#define WARM_WITHIN_MS 5000
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

/* True if this host holds a free slot, or its data centre has no endpoint. */
static bool
holds_slots (job_part_t *part, int64_t now_ms)
{
  bool any = false;
  char limit[LIMIT_NAME_BYTES];

  /* Without a list nothing is known of the endpoints. */
  if (part->hosts == NULL)
    return false;
  for (guint i = 0; i < part->hosts->len; i++)
    {
      const host_t *host = part->hosts->pdata[i];
      if (host->role != HOST_ROLE_ENDPOINT || host->leaving
          || strcmp (host->data_centre, daemon_data_centre (part->base.daemon)) != 0)
        continue;
      any = true;
      g_snprintf (limit, sizeof limit, "slots/%s", host->id);
      if (part_quota_available (part->parts.share, limit, now_ms) > 0)
        return true;
    }
  return !any;
}

/* A host that has just started, or was frozen, has no shares yet: what it is
 * sent would wait for them. */
void
job_ready_update (job_part_t *part, int64_t now_ms)
{
  daemon_t *daemon = part->base.daemon;
  int64_t last_tick_ms = atomic_load (&part->last_tick_ms);
  bool able =
      part_config_current (part->parts.config) != NULL && part_view_number (part->parts.view) > 0;

  if (!able || now_ms - last_tick_ms > FREEZE_GAP_MS)
    {
      part->warm = false;
      part->cold_since_ms = now_ms;
    }
  part->warm =
      part->warm || holds_slots (part, now_ms) || now_ms - part->cold_since_ms >= WARM_WITHIN_MS;
  atomic_store (&part->ready, able && part->warm && !daemon_is_draining (daemon));
}
