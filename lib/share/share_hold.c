/* share_hold.c -- the holder: its share of a limit, and whose grants it takes
 *
 * A holder follows one allotter at a time.  Its reports are votes for it; a
 * vote lasts SHARE_VOTE_MS from when the allotter sent the grant that the
 * report confirms, and the holder votes for another host only when the vote
 * has run out, counted from when it received that grant.  So two hosts never have the votes of a
 * majority at the same time.  The share of the former allotter stays usable until its deadline or
 * the successor's first grant: the successor is told of it in the first report.
 */
#include "share/share_internal.h"

#include "base/error.h"
#include "base/hash.h"

#include <string.h>

/* Bounds a use, so that sums of times cannot overflow. */
#define USE_MAX_MS ((int64_t) 1 << 32)

void
hold_init (share_t *share, limit_t *limit)
{
  hold_t *hold = &limit->hold;

  (void) share;
  share_use_init (&hold->use);
  hold->use_ms = limit->starts ? SHARE_START_USE_MS : SHARE_USE_MS;
  hold->told_ms = hold->use_ms;
  hold->use_wanted_ms = hold->use_ms;
}

void
hold_clear (hold_t *hold)
{
  share_use_clear (&hold->use);
}

int64_t
hold_held (const share_t *share, const hold_t *hold, int64_t now_ms)
{
  if (share->rules.check_deadline && now_ms >= hold->lease_until_ms)
    return 0;
  return hold->units;
}

/* Place of a host in the order of allotters of a limit: the first that is
 * reachable is chosen. */
static link_t *
next_candidate (share_t *share, const char *name, const link_t *after)
{
  link_t *best = NULL;
  link_t *first = NULL;
  uint64_t best_weight = 0;
  uint64_t first_weight = 0;
  uint64_t bound = after != NULL ? hash_rendezvous (name, after->host) : UINT64_MAX;

  for (guint i = 0; i < share->members->len; i++)
    {
      link_t *link = link_get (share, share->members->pdata[i], share->data_centre);
      uint64_t weight = hash_rendezvous (name, link->host);
      if (!link_is_reachable (link))
        continue;
      if (first == NULL || weight > first_weight)
        {
          first = link;
          first_weight = weight;
        }
      if (weight < bound && (best == NULL || weight > best_weight))
        {
          best = link;
          best_weight = weight;
        }
    }
  return best != NULL ? best : first;
}

static void
follow (const share_t *share, limit_t *limit, link_t *link, int64_t now_ms)
{
  hold_t *hold = &limit->hold;
  link_t *old = hold->allotter;

  /* The predecessor of this process may have voted just before it died. */
  int64_t first_ms = share->born_ms + with_margin (SHARE_VOTE_MS);
  hold->vote_ms = MAX (MAX (hold->vote_ms, now_ms), first_ms);
  if (old != NULL && hold->voted)
    {
      hold->vote_ms = MAX (hold->vote_ms, old->granted_ms + with_margin (SHARE_VOTE_MS));
      g_hash_table_insert (old->gone, g_strdup (limit->name), g_new0 (uint64_t, 1));
    }
  hold->allotter = link;
  limit->book.active_until_ms = 0;
  hold->voted = false;
  hold->answered = false;
  hold->granted = false;
  hold->active = false;
  hold->active_ms = hold->vote_ms;
  hold->report.number = 0;
  hold->report.changed = true;
  link->up.urgent = true;
}

void
hold_choose (share_t *share, limit_t *limit, bool afresh, int64_t now_ms)
{
  hold_t *hold = &limit->hold;

  if (share->view == 0 || share->members->len == 0 || limit->removed)
    return;
  if (hold->active)
    hold->active_ms = now_ms;
  bool useless =
      hold->allotter != NULL
      && (!link_is_reachable (hold->allotter) || now_ms - hold->active_ms > SHARE_PATIENCE_MS);
  if (hold->allotter != NULL && !afresh && !useless)
    return;
  link_t *link = next_candidate (share, limit->name, afresh ? NULL : hold->allotter);
  if (link == NULL)
    return;
  if (link == hold->allotter)
    hold->active_ms = MAX (hold->active_ms, now_ms);
  else
    follow (share, limit, link, now_ms);
}

static bool
is_same_report (const share_report_entry_t *a, const share_report_entry_t *b)
{
  return a->in_use == b->in_use && a->wanted == b->wanted && a->held == b->held
         && a->use_ms == b->use_ms && a->told_ms == b->told_ms && a->lent == b->lent;
}

bool
report_put (report_state_t *state,
            const char *name,
            const share_report_entry_t *entry,
            const share_stream_t *stream,
            share_message_t *message)
{
  bool confirmed = state->number > 0 && state->number <= stream->confirmed;

  if (confirmed && !state->changed && is_same_report (&state->sent, entry))
    return false;
  share_report_entry_t copy = *entry;
  copy.name = g_strdup (name);
  g_array_append_val (message->header.entries, copy);
  state->sent = *entry;
  state->number = stream->number + 1;
  state->changed = false;
  return true;
}

bool
report_gone (limit_t *limit, link_t *link, share_message_t *message)
{
  uint64_t *number = NULL;

  if (g_hash_table_size (link->gone) > 0)
    number = g_hash_table_lookup (link->gone, limit->name);
  if (number == NULL)
    return false;
  if (*number > 0 && *number <= link->up.confirmed)
    {
      g_hash_table_remove (link->gone, limit->name);
      return false;
    }
  share_report_entry_t entry = { .name = g_strdup (limit->name), .gone = true };
  g_array_append_val (message->header.entries, entry);
  if (*number == 0)
    *number = link->up.number + 1;
  return true;
}

int64_t
least_use_ms (const limit_t *limit)
{
  return limit->starts ? SHARE_START_USE_MS : SHARE_USE_MS;
}

bool
hold_report (share_t *share, limit_t *limit, link_t *link, share_message_t *message, int64_t now_ms)
{
  hold_t *hold = &limit->hold;

  if (hold->allotter != link || now_ms < hold->vote_ms)
    return report_gone (limit, link, message);
  if (limit->removed)
    return false;
  g_hash_table_remove (link->gone, limit->name);
  hold->voted = true;
  if (!hold->granted)
    hold->report.changed = true;
  share_use_expire (&hold->use, now_ms);
  int64_t reserved_ms = hold->lease_until_ms + least_use_ms (limit) - now_ms;
  share_report_entry_t entry = { .in_use = hold->use.total,
                                 .wanted = MAX (hold->wanted, hold->use.total),
                                 .held = reserved_ms > 0 ? hold->units : 0,
                                 .held_ms = MAX (reserved_ms, 0),
                                 .use_ms = hold->use_wanted_ms,
                                 .told_ms = hold->told_ms,
                                 .fresh = !hold->granted,
                                 .lent = link->self ? 0 : book_lent (share, limit, now_ms) };
  if (entry.in_use > 0)
    entry.ends_in_ms = share_use_last (&hold->use) - now_ms;
  return report_put (&hold->report, limit->name, &entry, &link->up, message);
}

void
hold_forget_grants (limit_t *limit, const link_t *link)
{
  hold_t *hold = &limit->hold;

  if (hold->allotter != link)
    return;
  hold->granted = false;
  hold->active = false;
  hold->report.number = 0;
  hold->report.changed = true;
}

/* Units that are taken away are reported at once, since others wait for them. */
static void
adopt_units (share_t *share, hold_t *hold, link_t *link, int64_t units, int64_t now_ms)
{
  int64_t before = hold_held (share, hold, now_ms);

  if (units > before)
    share->grown = true;
  if (units < before)
    link->up.urgent = true;
  if (units != hold->units || !hold->granted)
    hold->report.changed = true;
  hold->units = units;
}

static void
adopt (share_t *share,
       limit_t *limit,
       link_t *link,
       const share_grant_entry_t *entry,
       int64_t lease_until_ms,
       int64_t now_ms)
{
  hold_t *hold = &limit->hold;

  if (entry->told_ms > hold->told_ms)
    {
      hold->told_ms = entry->told_ms;
      link->up.urgent = true;
    }
  hold->active = entry->active;
  if (!hold->answered)
    link->up.urgent = true;
  hold->answered = true;
  if (!entry->active)
    return;
  adopt_units (share, hold, link, entry->units, now_ms);
  if (entry->use_ms > hold->use_ms)
    share->grown = true;
  hold->use_ms = entry->use_ms;
  hold->granted = true;
  hold->lease_until_ms = lease_until_ms;
}

void
hold_receive (share_t *share, link_t *link, const share_header_t *header, int64_t now_ms)
{
  int64_t sent_ms = stream_confirmed_ms (&link->up);
  int64_t lease_until_ms = sent_ms > 0 ? sent_ms + SHARE_LEASE_MS : 0;

  for (guint i = 0; i < header->entries->len; i++)
    {
      const share_grant_entry_t *entry = &g_array_index (header->entries, share_grant_entry_t, i);
      limit_t *limit = g_hash_table_lookup (share->by_name, entry->name);
      if (limit != NULL && limit->hold.allotter == link && limit->hold.report.number > 0)
        adopt (share, limit, link, entry, lease_until_ms, now_ms);
    }
  for (guint i = 0; i < share->limits->len; i++)
    {
      hold_t *hold = &((limit_t *) share->limits->pdata[i])->hold;
      if (hold->allotter != link || !hold->granted || !hold->active)
        continue;
      if (hold->lease_until_ms <= now_ms && lease_until_ms > now_ms && hold->units > 0)
        share->grown = true;
      hold->lease_until_ms = MAX (hold->lease_until_ms, lease_until_ms);
    }
}

static limit_t *
find_limit (share_t *share, const char *name)
{
  limit_t *limit = g_hash_table_lookup (share->by_name, name);

  return limit != NULL && !limit->removed ? limit : NULL;
}

int32_t
share_available (share_t *share, const char *name, int64_t now_ms)
{
  limit_t *limit = find_limit (share, name);

  if (limit == NULL)
    return INT32_MAX;
  share_use_expire (&limit->hold.use, now_ms);
  int64_t units = hold_held (share, &limit->hold, now_ms) - limit->hold.use.total;
  return (int32_t) CLAMP (units, 0, INT32_MAX);
}

int
share_take (share_t *share, const char *name, int64_t ends_at_ms, int64_t now_ms)
{
  limit_t *limit = find_limit (share, name);

  if (limit == NULL)
    return 0;
  hold_t *hold = &limit->hold;
  int64_t end = limit->starts ? now_ms + SHARE_START_USE_MS - SHARE_USE_STEP_MS : ends_at_ms;
  int64_t use_ms = MIN (end - now_ms + SHARE_USE_STEP_MS, USE_MAX_MS);
  if (use_ms > hold->use_wanted_ms)
    hold->use_wanted_ms = use_ms;
  if (share_available (share, name, now_ms) == 0 || use_ms > hold->use_ms)
    return ERROR_FULL;
  share_use_add (&hold->use, end);
  return 0;
}

void
share_give (share_t *share, const char *name, int64_t ends_at_ms, int64_t now_ms)
{
  limit_t *limit = find_limit (share, name);

  (void) now_ms;
  if (limit == NULL || limit->starts)
    return;
  hold_t *hold = &limit->hold;
  bool over = hold->use.total > hold->units;
  if (share_use_remove (&hold->use, ends_at_ms) && over && hold->allotter != NULL)
    hold->allotter->up.urgent = true;
}

void
share_set_demand (share_t *share, const char *name, int64_t wanted)
{
  limit_t *limit = find_limit (share, name);

  if (limit != NULL)
    limit->hold.wanted = MAX (wanted, 0);
}
