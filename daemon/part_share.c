/* part_share.c -- limits as shares with deadlines
 *
 * Each host takes its even part of a limit over the members of its view.
 */
#include "daemon/part_share.h"

#include "base/error.h"
#include "daemon/part_config.h"
#include "daemon/part_view.h"

#include <string.h>

#define RATE_WINDOW_MS 1000

typedef struct
{
  int64_t limit;
  int64_t in_use;
  bool rate;
  int64_t window_ends_at_ms;
} entry_t;

typedef struct
{
  part_t part;
  part_t *view;
  GHashTable *entries; /* limit name to entry_t */
  void (*grown) (void *data);
  void *grown_data;
} share_part_t;

static int64_t
local_part (share_part_t *self, int64_t limit)
{
  GPtrArray *members = part_view_members (self->view);
  int64_t count = members != NULL && members->len > 0 ? members->len : 1;
  int64_t rank = 0;

  for (guint i = 0; members != NULL && i < members->len; i++)
    if (strcmp (members->pdata[i], daemon_host_id (self->part.daemon)) == 0)
      rank = i;
  return limit * (rank + 1) / count - limit * rank / count;
}

static void
set_limit (share_part_t *self, char *name, int64_t limit, bool rate)
{
  entry_t *entry = g_hash_table_lookup (self->entries, name);

  if (limit < 0)
    {
      g_hash_table_remove (self->entries, name);
      g_free (name);
      return;
    }
  if (entry == NULL)
    {
      entry = g_new0 (entry_t, 1);
      entry->rate = rate;
      g_hash_table_insert (self->entries, g_strdup (name), entry);
    }
  entry->limit = limit;
  g_free (name);
}

static void
set_plan (const config_limit_t *limit, void *data)
{
  set_limit (data, g_strconcat ("running/", limit->plan, NULL), limit->running_max, false);
  set_limit (data, g_strconcat ("starts/", limit->plan, NULL), limit->starts_per_s_max, true);
}

static void
configured (const config_t *config, GPtrArray *hosts, void *data)
{
  share_part_t *self = data;

  if (config != NULL)
    config_each_limit (config, set_plan, self);
  for (guint i = 0; hosts != NULL && i < hosts->len; i++)
    {
      const host_t *host = hosts->pdata[i];
      if (host->role == HOST_ROLE_ENDPOINT
          && strcmp (host->data_centre, daemon_data_centre (self->part.daemon)) == 0)
        set_limit (self, g_strconcat ("slots/", host->id, NULL), host->slots, false);
    }
  if (self->grown != NULL)
    self->grown (self->grown_data);
}

static void
roll_window (entry_t *entry, int64_t now_ms)
{
  if (!entry->rate || now_ms < entry->window_ends_at_ms)
    return;
  entry->in_use = 0;
  entry->window_ends_at_ms = now_ms + RATE_WINDOW_MS;
}

int32_t
part_share_free (part_t *part, const char *limit, int64_t now_ms)
{
  share_part_t *self = (share_part_t *) part;
  entry_t *entry = g_hash_table_lookup (self->entries, limit);

  if (entry == NULL)
    return INT32_MAX;
  roll_window (entry, now_ms);
  return (int32_t) CLAMP (local_part (self, entry->limit) - entry->in_use, 0, INT32_MAX);
}

int
part_share_take (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms)
{
  share_part_t *self = (share_part_t *) part;
  entry_t *entry = g_hash_table_lookup (self->entries, limit);

  (void) ends_at_ms;
  if (part_share_free (part, limit, now_ms) == 0)
    return ERROR_FULL;
  if (entry != NULL)
    entry->in_use++;
  return 0;
}

void
part_share_give (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms)
{
  share_part_t *self = (share_part_t *) part;
  entry_t *entry = g_hash_table_lookup (self->entries, limit);

  (void) ends_at_ms;
  (void) now_ms;
  if (entry != NULL && !entry->rate && entry->in_use > 0)
    entry->in_use--;
}

void
part_share_demand (part_t *part, const char *limit, int32_t wanted, int64_t now_ms)
{
  (void) part;
  (void) limit;
  (void) wanted;
  (void) now_ms;
}

void
part_share_ask (part_t *part, int64_t now_ms)
{
  (void) part;
  (void) now_ms;
}

void
part_share_listen (part_t *part, void (*grown) (void *data), void *data)
{
  share_part_t *self = (share_part_t *) part;

  self->grown = grown;
  self->grown_data = data;
}

static const part_ops_t share_ops = { .name = "share",
                                      .frame_first = FRAME_SHARE_FIRST,
                                      .frame_last = FRAME_SHARE_LAST };

part_t *
part_share_new (daemon_t *daemon, part_t *view, part_t *config)
{
  share_part_t *self = g_new0 (share_part_t, 1);

  self->part.ops = &share_ops;
  self->part.daemon = daemon;
  self->view = view;
  self->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  part_config_listen (config, configured, self);
  return &self->part;
}
