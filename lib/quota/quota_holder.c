/* quota_holder.c -- holder: the share of this host, and the choice of allocator
 *
 * A holder has one allocator at a time for each limit.  A report to it is also
 * a vote for it.  The allocator counts the vote for QUOTA_VOTE_MS from the time
 * at which it sent the grant that the report acknowledges.  The holder votes
 * for another host only after this time, counted from when it received that
 * grant and extended by the clock margin.  Therefore two hosts never have the
 * votes of a majority at the same time.
 *
 * The share granted by the former allocator stays usable until its lease
 * expires or the new allocator sends its first grant.  The first report tells
 * the new allocator of it.
 */
#include "quota/quota_internal.h"

#include "base/error.h"
#include "base/hash.h"

#include <string.h>

/* Upper bound on the length of a use, so that sums of times cannot overflow. */
#define MAX_USE_MS ((int64_t) 1 << 32)

void
holder_init (quota_t *quota, limit_t *limit)
{
  holder_t *holder = &limit->holder;

  (void) quota;
  quota_use_init (&holder->in_use);
  holder->max_use_ms = limit->counts_starts ? QUOTA_START_USE_MS : QUOTA_INITIAL_USE_MS;
  holder->announced_use_ms = holder->max_use_ms;
  holder->needed_use_ms = holder->max_use_ms;
}

void
holder_clear (holder_t *holder)
{
  quota_use_clear (&holder->in_use);
}

int64_t
holder_usable_units (const quota_t *quota, const holder_t *holder, int64_t now_ms)
{
  if (quota->rules.check_deadline && now_ms >= holder->lease_until_ms)
    return 0;
  return holder->granted_units;
}

/* Returns the next candidate for the allocator of limit NAME after AFTER.
 * Candidates are the reachable members of the view in order of their rendezvous
 * hash; after the last one, or if AFTER is NULL, the first is returned. */
static quota_peer_t *
next_candidate (quota_t *quota, const char *name, const quota_peer_t *after)
{
  quota_peer_t *best = NULL;
  quota_peer_t *first = NULL;
  uint64_t best_weight = 0;
  uint64_t first_weight = 0;
  uint64_t weight_bound = after != NULL ? hash_rendezvous (name, after->host) : UINT64_MAX;

  for (guint i = 0; i < quota->members->len; i++)
    {
      quota_peer_t *peer = peer_get (quota, quota->members->pdata[i], quota->data_centre);
      uint64_t weight = hash_rendezvous (name, peer->host);
      if (!peer_is_reachable (peer))
        continue;
      if (first == NULL || weight > first_weight)
        {
          first = peer;
          first_weight = weight;
        }
      if (weight < weight_bound && (best == NULL || weight > best_weight))
        {
          best = peer;
          best_weight = weight;
        }
    }
  return best != NULL ? best : first;
}

static void
switch_allocator (const quota_t *quota, limit_t *limit, quota_peer_t *peer, int64_t now_ms)
{
  holder_t *holder = &limit->holder;
  quota_peer_t *previous = holder->allocator;

  /* The previous process of this host may have voted just before it ended. */
  int64_t earliest_vote_ms = quota->started_at_ms + with_clock_margin (QUOTA_VOTE_MS);
  holder->vote_from_ms = MAX (MAX (holder->vote_from_ms, now_ms), earliest_vote_ms);
  if (previous != NULL && holder->has_voted)
    {
      holder->vote_from_ms =
          MAX (holder->vote_from_ms, previous->last_grant_ms + with_clock_margin (QUOTA_VOTE_MS));
      g_hash_table_insert (previous->withdrawals, g_strdup (limit->name), g_new0 (uint64_t, 1));
    }
  holder->allocator = peer;
  limit->allocation.active_until_ms = 0;
  holder->has_voted = false;
  holder->has_answered = false;
  holder->has_granted = false;
  holder->allocator_active = false;
  holder->last_active_ms = holder->vote_from_ms;
  holder->report.sequence = 0;
  holder->report.changed = true;
  peer->as_holder.urgent = true;
}

void
holder_choose_allocator (quota_t *quota, limit_t *limit, bool restart, int64_t now_ms)
{
  holder_t *holder = &limit->holder;

  if (quota->view_id == 0 || quota->members->len == 0 || limit->removed)
    return;
  if (holder->allocator_active)
    holder->last_active_ms = now_ms;
  bool must_replace = holder->allocator != NULL
                      && (!peer_is_reachable (holder->allocator)
                          || now_ms - holder->last_active_ms > QUOTA_ALLOCATOR_TIMEOUT_MS);
  if (holder->allocator != NULL && !restart && !must_replace)
    return;
  quota_peer_t *peer = next_candidate (quota, limit->name, restart ? NULL : holder->allocator);
  if (peer == NULL)
    return;
  if (peer == holder->allocator)
    holder->last_active_ms = MAX (holder->last_active_ms, now_ms);
  else
    switch_allocator (quota, limit, peer, now_ms);
}

static bool
is_same_report (const quota_report_entry_t *a, const quota_report_entry_t *b)
{
  return a->in_use == b->in_use && a->demand == b->demand && a->held == b->held
         && a->needed_use_ms == b->needed_use_ms && a->announced_use_ms == b->announced_use_ms
         && a->granted_outside == b->granted_outside;
}

bool
report_append (report_state_t *state,
               const char *name,
               const quota_report_entry_t *entry,
               const quota_stream_t *stream,
               quota_message_t *message)
{
  bool is_acked = state->sequence > 0 && state->sequence <= stream->acked_sequence;

  if (is_acked && !state->changed && is_same_report (&state->last_sent, entry))
    return false;
  quota_report_entry_t copy = *entry;
  copy.name = g_strdup (name);
  g_array_append_val (message->header.entries, copy);
  state->last_sent = *entry;
  state->sequence = stream->sent_sequence + 1;
  state->changed = false;
  return true;
}

bool
report_append_withdrawal (limit_t *limit, quota_peer_t *peer, quota_message_t *message)
{
  uint64_t *sequence = NULL;

  if (g_hash_table_size (peer->withdrawals) > 0)
    sequence = g_hash_table_lookup (peer->withdrawals, limit->name);
  if (sequence == NULL)
    return false;
  if (*sequence > 0 && *sequence <= peer->as_holder.acked_sequence)
    {
      g_hash_table_remove (peer->withdrawals, limit->name);
      return false;
    }
  quota_report_entry_t entry = { .name = g_strdup (limit->name), .withdrawn = true };
  g_array_append_val (message->header.entries, entry);
  if (*sequence == 0)
    *sequence = peer->as_holder.sent_sequence + 1;
  return true;
}

int64_t
initial_max_use_ms (const limit_t *limit)
{
  return limit->counts_starts ? QUOTA_START_USE_MS : QUOTA_INITIAL_USE_MS;
}

bool
holder_report (quota_t *quota,
               limit_t *limit,
               quota_peer_t *peer,
               quota_message_t *message,
               int64_t now_ms)
{
  holder_t *holder = &limit->holder;

  if (holder->allocator != peer || now_ms < holder->vote_from_ms)
    return report_append_withdrawal (limit, peer, message);
  if (limit->removed)
    return false;
  g_hash_table_remove (peer->withdrawals, limit->name);
  holder->has_voted = true;
  if (!holder->has_granted)
    holder->report.changed = true;
  quota_use_expire (&holder->in_use, now_ms);
  int64_t held_for_ms = holder->lease_until_ms + initial_max_use_ms (limit) - now_ms;
  quota_report_entry_t entry = {
    .in_use = holder->in_use.total,
    .demand = MAX (holder->demand, holder->in_use.total),
    .held = held_for_ms > 0 ? holder->granted_units : 0,
    .held_for_ms = MAX (held_for_ms, 0),
    .needed_use_ms = holder->needed_use_ms,
    .announced_use_ms = holder->announced_use_ms,
    .awaiting_grant = !holder->has_granted,
    .granted_outside = peer->is_self ? 0 : allocation_charge_outside (quota, limit, now_ms)
  };
  if (entry.in_use > 0)
    entry.last_end_in_ms = quota_use_last_end_ms (&holder->in_use) - now_ms;
  return report_append (&holder->report, limit->name, &entry, &peer->as_holder, message);
}

void
holder_forget_grants (limit_t *limit, const quota_peer_t *peer)
{
  holder_t *holder = &limit->holder;

  if (holder->allocator != peer)
    return;
  holder->has_granted = false;
  holder->allocator_active = false;
  holder->report.sequence = 0;
  holder->report.changed = true;
}

/* A reduced share is reported at once, because other holders wait for the
 * units. */
static void
apply_granted_units (quota_t *quota,
                     holder_t *holder,
                     quota_peer_t *peer,
                     int64_t units,
                     int64_t now_ms)
{
  int64_t units_before = holder_usable_units (quota, holder, now_ms);

  if (units > units_before)
    quota->has_grown = true;
  if (units < units_before)
    peer->as_holder.urgent = true;
  if (units != holder->granted_units || !holder->has_granted)
    holder->report.changed = true;
  holder->granted_units = units;
}

static void
apply_grant (quota_t *quota,
             limit_t *limit,
             quota_peer_t *peer,
             const quota_grant_entry_t *entry,
             int64_t lease_until_ms,
             int64_t now_ms)
{
  holder_t *holder = &limit->holder;

  if (entry->announced_use_ms > holder->announced_use_ms)
    {
      holder->announced_use_ms = entry->announced_use_ms;
      peer->as_holder.urgent = true;
    }
  holder->allocator_active = entry->active;
  if (!holder->has_answered)
    peer->as_holder.urgent = true;
  holder->has_answered = true;
  if (!entry->active)
    return;
  apply_granted_units (quota, holder, peer, entry->units, now_ms);
  if (entry->max_use_ms > holder->max_use_ms)
    quota->has_grown = true;
  holder->max_use_ms = entry->max_use_ms;
  holder->has_granted = true;
  holder->lease_until_ms = lease_until_ms;
}

void
holder_receive (quota_t *quota, quota_peer_t *peer, const quota_header_t *header, int64_t now_ms)
{
  int64_t sent_ms = stream_acked_sent_ms (&peer->as_holder);
  int64_t lease_until_ms = sent_ms > 0 ? sent_ms + QUOTA_LEASE_MS : 0;

  for (guint i = 0; i < header->entries->len; i++)
    {
      const quota_grant_entry_t *entry = &g_array_index (header->entries, quota_grant_entry_t, i);
      limit_t *limit = g_hash_table_lookup (quota->limits_by_name, entry->name);
      if (limit != NULL && limit->holder.allocator == peer && limit->holder.report.sequence > 0)
        apply_grant (quota, limit, peer, entry, lease_until_ms, now_ms);
    }
  for (guint i = 0; i < quota->limits->len; i++)
    {
      holder_t *holder = &((limit_t *) quota->limits->pdata[i])->holder;
      if (holder->allocator != peer || !holder->has_granted || !holder->allocator_active)
        continue;
      if (holder->lease_until_ms <= now_ms && lease_until_ms > now_ms && holder->granted_units > 0)
        quota->has_grown = true;
      holder->lease_until_ms = MAX (holder->lease_until_ms, lease_until_ms);
    }
}

static limit_t *
find_limit (quota_t *quota, const char *name)
{
  limit_t *limit = g_hash_table_lookup (quota->limits_by_name, name);

  return limit != NULL && !limit->removed ? limit : NULL;
}

int32_t
quota_available (quota_t *quota, const char *name, int64_t now_ms)
{
  limit_t *limit = find_limit (quota, name);

  if (limit == NULL)
    return INT32_MAX;
  quota_use_expire (&limit->holder.in_use, now_ms);
  int64_t units = holder_usable_units (quota, &limit->holder, now_ms) - limit->holder.in_use.total;
  return (int32_t) CLAMP (units, 0, INT32_MAX);
}

int
quota_acquire (quota_t *quota, const char *name, int64_t ends_at_ms, int64_t now_ms)
{
  limit_t *limit = find_limit (quota, name);

  if (limit == NULL)
    return 0;
  holder_t *holder = &limit->holder;
  int64_t end_ms =
      limit->counts_starts ? now_ms + QUOTA_START_USE_MS - QUOTA_USE_BUCKET_MS : ends_at_ms;
  int64_t use_ms = MIN (end_ms - now_ms + QUOTA_USE_BUCKET_MS, MAX_USE_MS);
  if (use_ms > holder->needed_use_ms)
    holder->needed_use_ms = use_ms;
  if (quota_available (quota, name, now_ms) == 0 || use_ms > holder->max_use_ms)
    return ERROR_FULL;
  quota_use_add (&holder->in_use, end_ms);
  return 0;
}

void
quota_release (quota_t *quota, const char *name, int64_t ends_at_ms, int64_t now_ms)
{
  limit_t *limit = find_limit (quota, name);

  (void) now_ms;
  if (limit == NULL || limit->counts_starts)
    return;
  holder_t *holder = &limit->holder;
  bool was_over_grant = holder->in_use.total > holder->granted_units;
  if (quota_use_remove (&holder->in_use, ends_at_ms) && was_over_grant && holder->allocator != NULL)
    holder->allocator->as_holder.urgent = true;
}

void
quota_set_demand (quota_t *quota, const char *name, int64_t demand)
{
  limit_t *limit = find_limit (quota, name);

  if (limit != NULL)
    limit->holder.demand = MAX (demand, 0);
}
