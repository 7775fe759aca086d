/* part_dispatch.c -- queues tasks and starts them on endpoints with a free slot
 *
 * One queue in the order of arrival; each task goes to the first endpoint of
 * this data centre with a free slot.
 */
#include "daemon/part_dispatch.h"

#include "daemon/part_config.h"
#include "daemon/part_share.h"

#include <string.h>

#define LIMIT_NAME_BYTES 320

typedef struct
{
  uint64_t ticket;
  char *plan;
  char *endpoint; /* NULL while queued */
  int64_t deadline_at_ms;
  dispatch_start_t start;
  void *data;
} entry_t;

typedef struct
{
  part_t base;
  part_t *share;
  GPtrArray *endpoints; /* host_t of the last list */
  GQueue waiting;       /* entry_t */
  GHashTable *entries;  /* ticket -> entry_t */
  uint64_t last_ticket;
} dispatch_part_t;

static void
entry_free (void *data)
{
  entry_t *entry = data;

  g_free (entry->plan);
  g_free (entry->endpoint);
  g_free (entry);
}

static const char *
limit_name (char *buffer, const char *kind, const char *name)
{
  g_snprintf (buffer, LIMIT_NAME_BYTES, "%s/%s", kind, name);
  return buffer;
}

static const host_t *
take_slot (dispatch_part_t *part, const entry_t *entry, int64_t now_ms)
{
  char name[LIMIT_NAME_BYTES];

  for (guint i = 0; part->endpoints != NULL && i < part->endpoints->len; i++)
    {
      const host_t *host = g_ptr_array_index (part->endpoints, i);
      if (host->role != HOST_ROLE_ENDPOINT || host->leaving
          || strcmp (host->data_centre, daemon_data_centre (part->base.daemon)) != 0)
        continue;
      if (part_share_take (part->share, limit_name (name, "slots", host->id), entry->deadline_at_ms,
                           now_ms)
          == 0)
        return host;
    }
  return NULL;
}

/* Takes the plan's units and a slot, or nothing. */
static const host_t *
take_all (dispatch_part_t *part, const entry_t *entry, int64_t now_ms)
{
  char running[LIMIT_NAME_BYTES];
  char name[LIMIT_NAME_BYTES];

  limit_name (running, "running", entry->plan);
  if (part_share_take (part->share, running, entry->deadline_at_ms, now_ms) != 0)
    return NULL;
  const host_t *host = take_slot (part, entry, now_ms);
  if (host != NULL
      && part_share_take (part->share, limit_name (name, "starts", entry->plan),
                          entry->deadline_at_ms, now_ms)
             == 0)
    return host;
  if (host != NULL)
    part_share_give (part->share, limit_name (name, "slots", host->id), entry->deadline_at_ms,
                     now_ms);
  part_share_give (part->share, running, entry->deadline_at_ms, now_ms);
  return NULL;
}

static void
start_waiting (dispatch_part_t *part, int64_t now_ms)
{
  for (guint left = g_queue_get_length (&part->waiting); left > 0; left--)
    {
      entry_t *entry = g_queue_pop_head (&part->waiting);
      const host_t *host = take_all (part, entry, now_ms);
      if (host == NULL)
        {
          g_queue_push_tail (&part->waiting, entry);
          continue;
        }
      entry->endpoint = g_strdup (host->id);
      entry->start (entry->ticket, host, entry->data);
    }
}

static void
on_hosts (const config_t *config, GPtrArray *hosts, void *data)
{
  (void) config;
  dispatch_part_t *part = data;

  g_clear_pointer (&part->endpoints, g_ptr_array_unref);
  if (hosts != NULL)
    part->endpoints = g_ptr_array_ref (hosts);
}

int
part_dispatch_admit (part_t *base,
                     const dispatch_task_t *task,
                     int32_t count,
                     int64_t now_ms,
                     int64_t *retry_at_ms)
{
  (void) base;
  (void) task;
  (void) count;
  (void) now_ms;
  (void) retry_at_ms;
  return 0;
}

uint64_t
part_dispatch_add (part_t *base,
                   const dispatch_task_t *task,
                   dispatch_start_t start,
                   void *data,
                   int64_t now_ms)
{
  (void) now_ms;
  dispatch_part_t *part = (dispatch_part_t *) base;
  entry_t *entry = g_new0 (entry_t, 1);

  entry->ticket = ++part->last_ticket;
  entry->plan = g_strdup (task->plan);
  entry->deadline_at_ms = task->deadline_at_ms;
  entry->start = start;
  entry->data = data;
  g_hash_table_insert (part->entries, &entry->ticket, entry);
  g_queue_push_tail (&part->waiting, entry);
  return entry->ticket;
}

bool
part_dispatch_remove (part_t *base, uint64_t ticket)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  entry_t *entry = g_hash_table_lookup (part->entries, &ticket);

  if (entry == NULL || entry->endpoint != NULL)
    return false;
  g_queue_remove (&part->waiting, entry);
  g_hash_table_remove (part->entries, &ticket);
  return true;
}

void
part_dispatch_ended (part_t *base,
                     uint64_t ticket,
                     dispatch_outcome_t outcome,
                     int64_t elapsed_us,
                     int64_t now_ms)
{
  (void) elapsed_us;
  dispatch_part_t *part = (dispatch_part_t *) base;
  entry_t *entry = g_hash_table_lookup (part->entries, &ticket);
  char name[LIMIT_NAME_BYTES];

  if (entry == NULL || entry->endpoint == NULL)
    return;
  part_share_give (part->share, limit_name (name, "slots", entry->endpoint), entry->deadline_at_ms,
                   now_ms);
  part_share_give (part->share, limit_name (name, "running", entry->plan), entry->deadline_at_ms,
                   now_ms);
  g_clear_pointer (&entry->endpoint, g_free);
  if (outcome == DISPATCH_NOT_STARTED)
    g_queue_push_tail (&part->waiting, entry);
  else
    g_hash_table_remove (part->entries, &ticket);
}

static void
dispatch_tick (part_t *base, int64_t now_ms)
{
  start_waiting ((dispatch_part_t *) base, now_ms);
}

static const part_ops_t dispatch_ops = { .name = "dispatch", .tick = dispatch_tick };

part_t *
part_dispatch_new (daemon_t *daemon, part_t *config, part_t *share)
{
  dispatch_part_t *part = g_new0 (dispatch_part_t, 1);

  part->base.ops = &dispatch_ops;
  part->base.daemon = daemon;
  part->share = share;
  part->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, entry_free);
  g_queue_init (&part->waiting);
  part_config_listen (config, on_hosts, part);
  daemon_add_part (daemon, &part->base);
  return &part->base;
}
