/* discovery.c -- whether a new owner knows all endpoints of its shard */
#include "executor/discovery.h"

#include <glib.h>

/* Endpoints that cannot reach the log may be missing from a listing for this long. */
#define DISCOVERY_MS 3000
/* If all hosts have just started there was no previous owner, and only endpoints that are about to
 * register may be missing. */
#define DISCOVERY_AT_START_MS 700

int64_t
discovery_until_ms (const directory_view_t *view, int64_t now_ms)
{
  int64_t complete_at_ms = MAX (view->listed_at_ms, view->followed_since_ms);

  if (!view->followed || view->listed_at_ms == 0)
    complete_at_ms = now_ms;
  return complete_at_ms + (view->all_have_just_started ? DISCOVERY_AT_START_MS : DISCOVERY_MS);
}

bool
discovery_covers (const discovery_t *discovery, int64_t at_ms, int64_t now_ms)
{
  return now_ms >= discovery->until_ms && discovery->directory_read_at_ms >= at_ms;
}
