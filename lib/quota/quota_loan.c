/* quota_loan.c -- allocator: units borrowed from other data centres
 *
 * A limit over all data centres is divided evenly into parts, which depend on
 * the limit alone.  An allocator whose part is too small requests the missing
 * units, as a holder, from the allocators of the other data centres.  A loan
 * counts in the pool only while its lease ends after the leases of the shares
 * that are granted from it.  Charges that exceed the own part are reported to
 * the lenders as units in use.
 */
#include "quota/quota_internal.h"

#include "base/hash.h"

void
loan_free (void *data)
{
  loan_t *loan = data;

  g_free (loan->data_centre);
  g_free (loan);
}

/* If the units cannot be divided evenly, the data centres with the highest
 * rendezvous hash get one more, so that the units of small limits are not all
 * in the same data centre. */
int64_t
data_centre_part (const quota_t *quota, const limit_t *limit, const char *data_centre)
{
  int64_t count = quota->data_centres->len;
  int64_t rank = 0;
  uint64_t weight = hash_rendezvous (limit->name, data_centre);

  if (limit->units <= 0)
    return 0;
  if (limit->is_local || count == 0)
    return limit->units;
  for (guint i = 0; i < quota->data_centres->len; i++)
    rank += hash_rendezvous (limit->name, quota->data_centres->pdata[i]) > weight;
  return limit->units / count + (rank < limit->units % count);
}

static bool
is_usable (const limit_t *limit, const loan_t *loan, int64_t now_ms)
{
  return loan->max_use_ms >= limit->allocation.announced_use_ms
         && now_ms + with_clock_margin (QUOTA_LEASE_MS) < loan->lease_until_ms;
}

int64_t
loan_usable_units (const limit_t *limit, int64_t now_ms)
{
  int64_t units = 0;

  for (guint i = 0; i < limit->allocation.loans->len; i++)
    {
      const loan_t *loan = limit->allocation.loans->pdata[i];
      if (is_usable (limit, loan, now_ms))
        units += loan->units;
    }
  return units;
}

/* Like next_candidate (), for the known hosts of DATA_CENTRE. */
static quota_peer_t *
next_lender (quota_t *quota, const char *name, const char *data_centre, const quota_peer_t *after)
{
  quota_peer_t *best = NULL;
  quota_peer_t *first = NULL;
  uint64_t best_weight = 0;
  uint64_t first_weight = 0;
  uint64_t bound = after != NULL ? hash_rendezvous (name, after->host) : UINT64_MAX;

  for (guint i = 0; i < quota->peers->len; i++)
    {
      quota_peer_t *peer = quota->peers->pdata[i];
      if (!peer_is_reachable (peer) || !g_str_equal (peer->data_centre, data_centre))
        continue;
      uint64_t weight = hash_rendezvous (name, peer->host);
      if (first == NULL || weight > first_weight)
        {
          first = peer;
          first_weight = weight;
        }
      if (weight < bound && (best == NULL || weight > best_weight))
        {
          best = peer;
          best_weight = weight;
        }
    }
  return best != NULL ? best : first;
}

static void
choose_lender (quota_t *quota, limit_t *limit, loan_t *loan, int64_t now_ms)
{
  bool must_replace =
      loan->lender == NULL || !peer_is_reachable (loan->lender)
      || (!loan->lender_active && now_ms - loan->last_active_ms > QUOTA_ALLOCATOR_TIMEOUT_MS);

  if (loan->lender_active && loan->lender != NULL && peer_is_reachable (loan->lender))
    loan->last_active_ms = now_ms;
  if (!must_replace)
    return;
  quota_peer_t *peer = next_lender (quota, limit->name, loan->data_centre, loan->lender);
  loan->last_active_ms = now_ms;
  if (peer == NULL || peer == loan->lender)
    return;
  if (loan->lender != NULL && loan->report.sequence > 0)
    g_hash_table_insert (loan->lender->withdrawals, g_strdup (limit->name), g_new0 (uint64_t, 1));
  loan->lender = peer;
  loan->units = 0;
  loan->lease_until_ms = 0;
  loan->in_use = 0;
  loan->lender_active = false;
  loan->report.sequence = 0;
  loan->report.changed = true;
  peer->as_holder.urgent = true;
}

/* Returns the units in demand here that exceed the part of this data centre. */
static int64_t
compute_shortage (const limit_t *limit, int64_t now_ms)
{
  const allocation_t *allocation = &limit->allocation;
  int64_t demand = 0;
  int64_t unknown_units = 0;

  if (!allocation->active)
    return 0;
  if (now_ms < allocation->unknown_until_ms)
    unknown_units = allocation->unknown_units;
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      if (account->is_voter)
        demand += account->demand;
    }
  return MAX (demand + unknown_units - limit->part_units, 0);
}

/* Charges what exceeds the own part to the loans.  A loan may be charged with
 * more units than it has now, up to what was charged before, because its lender
 * still counts those. */
static void
charge_loans (const quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t uncovered = MAX (allocation_charge (quota, limit, now_ms) - limit->part_units, 0);

  for (guint i = 0; i < allocation->loans->len; i++)
    {
      loan_t *loan = allocation->loans->pdata[i];
      int64_t max_in_use = MAX (loan->units, loan->in_use);
      loan->in_use = MIN (uncovered, max_in_use);
      uncovered -= loan->in_use;
    }
}

static loan_t *
find_loan (const limit_t *limit, const char *data_centre)
{
  for (guint i = 0; i < limit->allocation.loans->len; i++)
    {
      loan_t *loan = limit->allocation.loans->pdata[i];
      if (g_str_equal (loan->data_centre, data_centre))
        return loan;
    }
  return NULL;
}

static void
open_loans (quota_t *quota, limit_t *limit)
{
  for (guint i = 0; i < quota->data_centres->len; i++)
    {
      const char *data_centre = quota->data_centres->pdata[i];
      if (g_str_equal (data_centre, quota->data_centre) || find_loan (limit, data_centre) != NULL)
        continue;
      loan_t *loan = g_new0 (loan_t, 1);
      loan->data_centre = g_strdup (data_centre);
      loan->report.changed = true;
      g_ptr_array_add (limit->allocation.loans, loan);
    }
}

static bool
is_needed (const loan_t *loan)
{
  return loan->report.last_sent.demand > 0 || loan->units > 0 || loan->in_use > 0;
}

void
loan_tick (quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;

  if (limit->is_local || limit->removed)
    return;
  if (compute_shortage (limit, now_ms) > 0)
    open_loans (quota, limit);
  for (guint i = 0; i < allocation->loans->len; i++)
    {
      loan_t *loan = allocation->loans->pdata[i];
      if (loan->lender == NULL || allocation->active)
        choose_lender (quota, limit, loan, now_ms);
    }
}

/* Returns the units to be requested for LOAN: the shortage that the loans
 * before it in the list do not cover. */
static int64_t
compute_loan_demand (const limit_t *limit, const loan_t *loan, int64_t now_ms)
{
  int64_t demand = compute_shortage (limit, now_ms);

  for (guint i = 0; i < limit->allocation.loans->len; i++)
    {
      const loan_t *other = limit->allocation.loans->pdata[i];
      if (other == loan)
        break;
      if (is_usable (limit, other, now_ms))
        demand -= other->units;
    }
  return MAX (demand, 0);
}

bool
loan_is_open (const limit_t *limit, const quota_peer_t *peer, int64_t now_ms)
{
  const loan_t *loan = find_loan (limit, peer->data_centre);

  if (loan == NULL || loan->lender != peer)
    return false;
  return is_needed (loan) || loan->report.sequence > peer->as_holder.acked_sequence
         || compute_loan_demand (limit, loan, now_ms) > 0;
}

bool
loan_report (quota_t *quota,
             limit_t *limit,
             quota_peer_t *peer,
             quota_message_t *message,
             int64_t now_ms)
{
  loan_t *loan = find_loan (limit, peer->data_centre);
  allocation_t *allocation = &limit->allocation;

  if (loan == NULL || loan->lender != peer)
    return report_append_withdrawal (limit, peer, message);
  charge_loans (quota, limit, now_ms);
  quota_report_entry_t entry = { .in_use = loan->in_use,
                                 .demand = compute_loan_demand (limit, loan, now_ms),
                                 .needed_use_ms = allocation->announced_use_ms,
                                 .announced_use_ms = allocation->announced_use_ms,
                                 .awaiting_grant = !loan->lender_active };
  if (entry.in_use > 0)
    entry.last_end_in_ms =
        with_clock_margin (QUOTA_LEASE_MS) + with_clock_margin (allocation->announced_use_ms);
  if (entry.demand == 0 && entry.in_use == 0 && loan->report.sequence == 0)
    return report_append_withdrawal (limit, peer, message);
  g_hash_table_remove (peer->withdrawals, limit->name);
  return report_append (&loan->report, limit->name, &entry, &peer->as_holder, message);
}

static void
apply_grant (quota_t *quota,
             limit_t *limit,
             loan_t *loan,
             const quota_grant_entry_t *grant,
             int64_t lease_until_ms,
             int64_t now_ms)
{
  loan->lender_active = grant->active;
  if (!grant->active)
    return;
  charge_loans (quota, limit, now_ms);
  if (grant->units != loan->units)
    {
      loan->report.changed = true;
      limit->allocation.dirty = true;
    }
  if (grant->units < loan->units)
    loan->lender->as_holder.urgent = true;
  loan->units = grant->units;
  loan->max_use_ms = grant->max_use_ms;
  loan->lease_until_ms = lease_until_ms;
}

void
loan_receive (quota_t *quota, quota_peer_t *peer, const quota_header_t *header, int64_t now_ms)
{
  int64_t sent_ms = stream_acked_sent_ms (&peer->as_holder);
  int64_t lease_until_ms = sent_ms > 0 ? sent_ms + QUOTA_LOAN_LEASE_MS : 0;

  for (guint i = 0; i < header->entries->len; i++)
    {
      const quota_grant_entry_t *grant = &g_array_index (header->entries, quota_grant_entry_t, i);
      limit_t *limit = g_hash_table_lookup (quota->limits_by_name, grant->name);
      loan_t *loan = limit != NULL ? find_loan (limit, peer->data_centre) : NULL;
      if (loan != NULL && loan->lender == peer && loan->report.sequence > 0)
        apply_grant (quota, limit, loan, grant, lease_until_ms, now_ms);
    }
  for (guint i = 0; i < quota->limits->len; i++)
    {
      loan_t *loan = find_loan (quota->limits->pdata[i], peer->data_centre);
      if (loan != NULL && loan->lender == peer && loan->lender_active)
        loan->lease_until_ms = MAX (loan->lease_until_ms, lease_until_ms);
    }
}

void
loan_forget_grants (limit_t *limit, const quota_peer_t *peer)
{
  loan_t *loan = find_loan (limit, peer->data_centre);

  if (loan == NULL || loan->lender != peer)
    return;
  loan->lender_active = false;
  loan->report.sequence = 0;
  loan->report.changed = true;
}
