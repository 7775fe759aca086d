/* quota_account.c -- allocator: the units that each holder is charged with
 *
 * A holder is charged with the maximum of three values: its current share,
 * earlier shares that it may still use, and the units that it reported in use.
 * An earlier share is charged until the holder has acknowledged a later grant.
 * If the holder does not answer, the earlier share is charged until its lease
 * and then the longest use have passed, because a unit may have been acquired
 * just before the lease expired.
 *
 * Invariant: units are added only while the sum of all charges does not exceed
 * the pool.
 */
#include "quota/quota_internal.h"

#define NOT_SENT UINT64_MAX

void
allocation_init (limit_t *limit)
{
  allocation_t *allocation = &limit->allocation;

  allocation->accounts = g_ptr_array_new_with_free_func (g_free);
  allocation->orphans = g_array_new (FALSE, TRUE, sizeof (orphan_t));
  allocation->loans = g_ptr_array_new_with_free_func (loan_free);
  allocation->max_use_ms = limit->counts_starts ? QUOTA_START_USE_MS : QUOTA_INITIAL_USE_MS;
  allocation->announced_use_ms = allocation->max_use_ms;
}

void
allocation_clear (allocation_t *allocation)
{
  g_ptr_array_unref (allocation->accounts);
  g_array_unref (allocation->orphans);
  g_ptr_array_unref (allocation->loans);
}

static account_t *
find_account (const limit_t *limit, const quota_peer_t *peer)
{
  for (guint i = 0; i < limit->allocation.accounts->len; i++)
    {
      account_t *account = limit->allocation.accounts->pdata[i];
      if (account->peer == peer)
        return account;
    }
  return NULL;
}

account_t *
account_get (quota_t *quota, limit_t *limit, quota_peer_t *peer)
{
  account_t *account = find_account (limit, peer);

  if (account != NULL)
    return account;
  account = g_new0 (account_t, 1);
  account->peer = peer;
  account->limit = limit;
  account->granted_sequence = NOT_SENT;
  account->grant_changed = true;
  if (!limit->allocation.is_listed)
    g_ptr_array_add (quota->allocated_limits, limit);
  limit->allocation.is_listed = true;
  g_ptr_array_add (limit->allocation.accounts, account);
  return account;
}

int64_t
account_charge (const quota_t *quota, const account_t *account, int64_t now_ms)
{
  int64_t charge = account->granted_units;

  if (now_ms < account->prior_until_ms)
    charge = MAX (charge, account->prior_units);
  if (quota->rules.count_in_use && now_ms < account->in_use_until_ms)
    charge = MAX (charge, account->in_use);
  return charge;
}

static int64_t
charge_orphans (limit_t *limit, int64_t now_ms)
{
  GArray *orphans = limit->allocation.orphans;
  int64_t units = 0;

  for (guint i = orphans->len; i > 0; i--)
    {
      orphan_t *orphan = &g_array_index (orphans, orphan_t, i - 1);
      if (now_ms >= orphan->until_ms)
        g_array_remove_index_fast (orphans, i - 1);
      else
        units += orphan->units;
    }
  return units;
}

int64_t
allocation_charge_outside (const quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t units = charge_orphans (limit, now_ms);

  if (now_ms < allocation->unknown_until_ms)
    units += allocation->unknown_units;
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      if (account->peer->is_remote)
        units += account_charge (quota, account, now_ms);
    }
  return units;
}

int64_t
allocation_charge (const quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t units = allocation_charge_outside (quota, limit, now_ms);

  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      if (!account->peer->is_remote)
        units += account_charge (quota, account, now_ms);
    }
  return units;
}

/* Returns the time after which no unit granted to the holder so far can be in
 * use. */
static int64_t
grants_end_ms (const quota_t *quota, const account_t *account)
{
  int64_t end_ms =
      account->peer->as_allocator.last_sent_ms + with_clock_margin (peer_lease_ms (account->peer));

  if (quota->rules.count_in_use)
    end_ms += with_clock_margin (account->limit->allocation.announced_use_ms);
  return end_ms;
}

void
account_set_units (const quota_t *quota, account_t *account, int64_t units, int64_t now_ms)
{
  if (units == account->granted_units)
    return;
  if (account->granted_units > 0)
    {
      if (now_ms >= account->prior_until_ms)
        account->prior_units = 0;
      account->prior_units = MAX (account->prior_units, account->granted_units);
      account->prior_until_ms = MAX (account->prior_until_ms, grants_end_ms (quota, account));
    }
  account->granted_units = units;
  account->granted_sequence = NOT_SENT;
  account->grant_changed = true;
  account->peer->as_allocator.urgent = true;
}

void
allocation_orphan_account (quota_t *quota, limit_t *limit, quota_peer_t *peer, int64_t now_ms)
{
  account_t *account = find_account (limit, peer);

  if (account == NULL)
    return;
  account_set_units (quota, account, 0, now_ms);
  orphan_t orphan = { .units = account_charge (quota, account, now_ms),
                      .until_ms = MAX (account->prior_until_ms, account->in_use_until_ms) };
  if (orphan.units > 0)
    g_array_append_val (limit->allocation.orphans, orphan);
  g_ptr_array_remove_fast (limit->allocation.accounts, account);
  limit->allocation.active_until_ms = 0;
  limit->allocation.dirty = true;
}

void
allocation_expire_grants (quota_t *quota, limit_t *limit, quota_peer_t *peer, int64_t now_ms)
{
  account_t *account = find_account (limit, peer);

  if (account == NULL || account->granted_units == 0)
    return;
  account_set_units (quota, account, 0, now_ms);
  limit->allocation.dirty = true;
}

/* Records the units that the holder had when it chose this allocator.  They are
 * valid until the former allocator may have granted them to another holder. */
static void
record_reported_units (account_t *account, const quota_report_entry_t *report)
{
  int64_t grant_sent_ms = stream_acked_sent_ms (&account->peer->as_allocator);
  bool share_is_larger = report->held >= report->in_use;

  account->reported_units = MAX (report->held, report->in_use);
  account->reported_until_ms =
      grant_sent_ms + (share_is_larger ? report->held_for_ms : report->last_end_in_ms);
  if (grant_sent_ms == 0)
    account->reported_until_ms = 0;
}

/* Charges the holder with the units that it reported, if its first report came
 * after the activation of this allocator, and deducts them from the unknown
 * units. */
static void
deduct_reported_units (account_t *account, int64_t now_ms)
{
  allocation_t *allocation = &account->limit->allocation;

  if (!allocation->active || account->reported_deducted || account->peer->is_remote)
    return;
  account->reported_deducted = true;
  if (now_ms >= allocation->unknown_until_ms)
    return;
  account->prior_units =
      MAX (now_ms < account->prior_until_ms ? account->prior_units : 0, account->reported_units);
  account->prior_until_ms =
      MAX (account->prior_until_ms, now_ms + with_clock_margin (QUOTA_LEASE_MS)
                                        + with_clock_margin (allocation->announced_use_ms));
  if (now_ms < account->reported_until_ms)
    allocation->unknown_units -= MIN (allocation->unknown_units, account->reported_units);
}

/* Called when the holder has returned to this allocator after having chosen
 * another one.  It no longer uses the former grant but may have acquired units
 * of it, so that the grant stays charged.  While it was away it acknowledged
 * grants without applying them, so only a grant sent from now on counts as
 * applied when it is acknowledged. */
static void
resend_grant (const quota_t *quota, account_t *account, int64_t now_ms)
{
  account->grant_changed = true;
  bool was_sent = account->granted_sequence != NOT_SENT;
  account->granted_sequence = NOT_SENT;
  if (account->granted_units == 0 || !was_sent)
    return;
  if (now_ms >= account->prior_until_ms)
    account->prior_units = 0;
  account->prior_units = MAX (account->prior_units, account->granted_units);
  account->prior_until_ms = MAX (account->prior_until_ms, grants_end_ms (quota, account));
}

static void
apply_report (quota_t *quota,
              quota_peer_t *peer,
              const quota_report_entry_t *report,
              int64_t now_ms)
{
  limit_t *limit = g_hash_table_lookup (quota->limits_by_name, report->name);

  if (limit == NULL)
    return;
  account_t *account = account_get (quota, limit, peer);
  limit->allocation.dirty = true;
  if (report->withdrawn)
    {
      account->is_voter = false;
      account->demand = 0;
      limit->allocation.active_until_ms = 0;
      account_set_units (quota, account, 0, now_ms);
      account->granted_sequence = NOT_SENT;
      return;
    }
  if (report->awaiting_grant)
    resend_grant (quota, account, now_ms);
  account->is_voter = !peer->is_remote;
  account->in_use = report->in_use;
  account->in_use_until_ms =
      now_ms + with_clock_margin (report->last_end_in_ms) + QUOTA_USE_BUCKET_MS;
  account->demand = MAX (report->demand, peer->is_remote ? 0 : report->in_use);
  account->needed_use_ms = report->needed_use_ms;
  account->announced_use_ms = report->announced_use_ms;
  account->granted_outside = report->granted_outside;
  record_reported_units (account, report);
  deduct_reported_units (account, now_ms);
}

/* An acknowledged grant replaces all earlier ones. */
static void
apply_acks (quota_t *quota, quota_peer_t *peer)
{
  for (guint i = 0; i < quota->allocated_limits->len; i++)
    {
      account_t *account = find_account (quota->allocated_limits->pdata[i], peer);
      if (account == NULL)
        continue;
      if (account->granted_sequence > peer->as_allocator.acked_sequence
          || account->prior_units == 0)
        continue;
      account->prior_units = 0;
      account->limit->allocation.dirty = true;
    }
}

void
allocation_receive (quota_t *quota,
                    quota_peer_t *peer,
                    const quota_header_t *header,
                    int64_t now_ms)
{
  int64_t grant_sent_ms = stream_acked_sent_ms (&peer->as_allocator);

  if (peer->view_id != header->view_id)
    for (guint i = 0; i < quota->allocated_limits->len; i++)
      ((limit_t *) quota->allocated_limits->pdata[i])->allocation.active_until_ms = 0;
  peer->view_id = header->view_id;
  peer->no_departures = header->no_departures;
  peer->saw_departure = header->saw_departure;
  if (header->leaving && !peer->leaving)
    for (guint i = 0; i < quota->allocated_limits->len; i++)
      ((limit_t *) quota->allocated_limits->pdata[i])->allocation.dirty = true;
  peer->leaving = header->leaving;
  if (grant_sent_ms > 0)
    peer->vote_until_ms = grant_sent_ms + QUOTA_VOTE_MS;
  for (guint i = 0; i < header->entries->len; i++)
    apply_report (quota, peer, &g_array_index (header->entries, quota_report_entry_t, i), now_ms);
  apply_acks (quota, peer);
  peer->as_allocator.reply_due = true;
}

bool
allocation_append_grant (quota_t *quota,
                         limit_t *limit,
                         quota_peer_t *peer,
                         quota_message_t *message,
                         int64_t now_ms)
{
  account_t *account = find_account (limit, peer);
  allocation_t *allocation = &limit->allocation;

  (void) quota;
  (void) now_ms;
  if (account == NULL || (!account->is_voter && !peer->is_remote))
    return false;
  bool is_acked = account->last_grant_sequence > 0
                  && account->last_grant_sequence <= peer->as_allocator.acked_sequence;
  if (is_acked && !account->grant_changed)
    return false;
  quota_grant_entry_t grant = { .name = g_strdup (limit->name),
                                .units = account->granted_units,
                                .max_use_ms = allocation->max_use_ms,
                                .announced_use_ms = allocation->announced_use_ms,
                                .active = allocation->active };
  g_array_append_val (message->header.entries, grant);
  account->last_grant_sequence = peer->as_allocator.sent_sequence + 1;
  if (account->granted_sequence == NOT_SENT && allocation->active)
    account->granted_sequence = account->last_grant_sequence;
  account->grant_changed = false;
  return true;
}
