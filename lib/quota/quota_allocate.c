/* quota_allocate.c -- allocator: activation, and the division of units
 *
 * An allocator is active while it has the votes of a majority of its view, its
 * own vote included.  When it becomes active, earlier allocators have
 * lost their majority.  The units that they granted are known only for the
 * holders that have reported.  The rest of the limit may be held by other
 * hosts: it is unknown and counts as granted until every use under such grants
 * must have ended.  If all members have reported and no host has left within
 * that time, only the units that members have granted outside the view are
 * unknown.
 *
 * After a change of view, the allocator of the old view may still have a
 * majority of that view.  The new allocator therefore waits until it has the
 * votes of so many members of the old view that no majority is left there, or
 * for QUOTA_VIEW_WAIT_MS, which bounds the time for which a host stays active in
 * an old view without contact to the log or to a majority.
 */
#include "quota/quota_internal.h"

#include "quota/quota_fair.h"

#include <assert.h>

/* Shortest interval between two even distributions of idle units. */
#define SPREAD_INTERVAL_MS 1000

static bool
is_voter (const quota_t *quota, const account_t *account, int64_t now_ms)
{
  const quota_peer_t *peer = account->peer;

  return account->is_voter && peer->view_id == quota->view_id && now_ms < peer->vote_until_ms;
}

static const account_t *
find_voter (const quota_t *quota, const limit_t *limit, const char *host, int64_t now_ms)
{
  for (guint i = 0; i < limit->allocation.accounts->len; i++)
    {
      const account_t *account = limit->allocation.accounts->pdata[i];
      if (g_str_equal (account->peer->host, host))
        return is_voter (quota, account, now_ms) ? account : NULL;
    }
  return NULL;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return (x < y) - (x > y);
}

/* Returns the time until which this host has the votes of a majority of the
 * view; 0 if it has no majority. */
static int64_t
majority_until_ms (const quota_t *quota, const limit_t *limit, int64_t now_ms)
{
  guint quorum = quota->members->len / 2 + 1;

  if (limit->holder.allocator != quota->self || now_ms < limit->holder.vote_from_ms)
    return 0;
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (guint i = 0; i < quota->members->len; i++)
    {
      const account_t *account = find_voter (quota, limit, quota->members->pdata[i], now_ms);
      if (account != NULL)
        g_array_append_val (ends, account->peer->vote_until_ms);
    }
  g_array_sort (ends, compare_times);
  int64_t until_ms = ends->len >= quorum ? g_array_index (ends, int64_t, quorum - 1) : 0;
  g_array_unref (ends);
  return until_ms;
}

/* Returns true if no other host can have a majority of the previous view. */
static bool
is_previous_view_over (const quota_t *quota, const limit_t *limit, int64_t now_ms)
{
  if (!quota->rules.successor_waits || now_ms - quota->view_since_ms >= QUOTA_VIEW_WAIT_MS)
    return true;
  if (quota->previous_members == NULL)
    return quota->departures_known;
  guint voters = 0;
  for (guint i = 0; i < quota->previous_members->len; i++)
    voters += find_voter (quota, limit, quota->previous_members->pdata[i], now_ms) != NULL;
  return voters >= (quota->previous_members->len + 1) / 2;
}

/* Returns true if every host that may have units has reported them. */
static bool
have_all_members_reported (const quota_t *quota, const limit_t *limit, int64_t now_ms)
{
  bool no_departures = false;

  /* The last report of this host to itself may be older than what it knows now. */
  if (quota_saw_departure (quota, now_ms))
    return false;
  for (guint i = 0; i < quota->members->len; i++)
    {
      const account_t *account = find_voter (quota, limit, quota->members->pdata[i], now_ms);
      if (account == NULL || account->peer->saw_departure)
        return false;
      no_departures |= account->peer->no_departures;
    }
  return no_departures;
}

/* Sums up the reports of the voters: the units that they have, and those that
 * they have granted outside the view. */
static void
sum_reports (const limit_t *limit, int64_t now_ms, int64_t *known, int64_t *outside)
{
  const allocation_t *allocation = &limit->allocation;

  *known = 0;
  *outside = 0;
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      if (!account->is_voter)
        continue;
      if (now_ms < account->reported_until_ms)
        *known += account->reported_units;
      *outside += account->granted_outside;
    }
}

static int64_t
compute_unknown_units (const quota_t *quota, const limit_t *limit, int64_t now_ms)
{
  int64_t known = 0;
  int64_t outside = 0;

  if (!quota->rules.successor_waits)
    return 0;
  sum_reports (limit, now_ms, &known, &outside);
  if (have_all_members_reported (quota, limit, now_ms))
    return outside;
  return MAX (limit->part_units - known, 0);
}

/* Reports that came after the activation may show that no other host has units. */
static void
reduce_unknown_units (const quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t known = 0;
  int64_t outside = 0;

  if (allocation->unknown_units == 0 || !have_all_members_reported (quota, limit, now_ms))
    return;
  sum_reports (limit, now_ms, &known, &outside);
  if (outside >= allocation->unknown_units)
    return;
  allocation->unknown_units = outside;
  allocation->dirty = true;
}

/* From now on, every unit granted by earlier allocators is either charged to a
 * holder that has reported it, or unknown. */
static void
activate (quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t lease_ms = limit->is_local ? QUOTA_LEASE_MS : QUOTA_LOAN_LEASE_MS;

  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      allocation->announced_use_ms = MAX (allocation->announced_use_ms, account->announced_use_ms);
    }
  allocation->announced_at_ms = now_ms;
  allocation->unknown_units = compute_unknown_units (quota, limit, now_ms);
  allocation->unknown_until_ms =
      now_ms + with_clock_margin (lease_ms) + with_clock_margin (allocation->announced_use_ms);
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      account_t *account = allocation->accounts->pdata[i];
      account->grant_changed = true;
      account->peer->as_allocator.urgent = true;
      if (account->peer->is_remote)
        continue;
      account_set_units (quota, account, 0, now_ms);
      account->granted_sequence = UINT64_MAX;
      account->reported_deducted = account->is_voter;
      if (!account->is_voter || account->reported_units == 0)
        continue;
      account->prior_units = MAX (now_ms < account->prior_until_ms ? account->prior_units : 0,
                                  account->reported_units);
      account->prior_until_ms =
          MAX (account->prior_until_ms, now_ms + with_clock_margin (QUOTA_LEASE_MS)
                                            + with_clock_margin (allocation->announced_use_ms));
    }
  allocation->active = true;
  allocation->dirty = true;
}

static void
deactivate (limit_t *limit)
{
  allocation_t *allocation = &limit->allocation;

  allocation->active = false;
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      account_t *account = allocation->accounts->pdata[i];
      account->grant_changed = true;
      account->peer->as_allocator.urgent = true;
    }
}

void
allocation_check_active (quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;

  if (limit->removed)
    {
      allocation->active = false;
      return;
    }
  if (allocation->active && now_ms < allocation->active_until_ms)
    return;
  allocation->active_until_ms = quota->view_id > 0 ? majority_until_ms (quota, limit, now_ms) : 0;
  bool has_majority = now_ms < allocation->active_until_ms;
  if (allocation->active && !has_majority)
    deactivate (limit);
  else if (!allocation->active && has_majority && is_previous_view_over (quota, limit, now_ms))
    activate (quota, limit, now_ms);
}

/* Raises the bound on the length of a use.  A higher bound is announced first.
 * It is applied once a majority has confirmed it, so that any successor learns
 * of it, and once the leases of shares granted from loans with a lower bound
 * have expired. */
static void
raise_max_use (const quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t needed_ms = 0;
  guint informed = 0;

  if (limit->counts_starts)
    return;
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      needed_ms = MAX (needed_ms, account->needed_use_ms);
      informed += account->is_voter && account->announced_use_ms >= allocation->announced_use_ms;
    }
  if (needed_ms > allocation->announced_use_ms)
    {
      while (allocation->announced_use_ms < needed_ms)
        allocation->announced_use_ms *= 2;
      allocation->announced_at_ms = now_ms;
    }
  else if (allocation->max_use_ms == allocation->announced_use_ms
           || informed < quota->members->len / 2 + 1
           || (!limit->is_local && allocation->loans->len > 0
               && now_ms - allocation->announced_at_ms < with_clock_margin (QUOTA_LEASE_MS)))
    return;
  else
    allocation->max_use_ms = allocation->announced_use_ms;
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      account_t *account = allocation->accounts->pdata[i];
      account->grant_changed = true;
      account->peer->as_allocator.urgent = true;
    }
}

/* Accounts among which units are divided together. */
typedef struct
{
  account_t **accounts;
  quota_demand_t *demands;
  size_t count;
  int64_t total_demand;
} group_t;

static bool
is_live (const account_t *account, int64_t now_ms)
{
  const quota_peer_t *peer = account->peer;
  bool lease_expired =
      peer->as_allocator.last_sent_ms > 0
      && now_ms > peer->as_allocator.last_sent_ms + with_clock_margin (peer_lease_ms (peer));

  return (account->is_voter || peer->is_remote) && !lease_expired;
}

/* Returns true if ACCOUNT takes part in the division among the members of the
 * view.  So does a data centre whose own part is 0 units, unless the pool has
 * borrowed units.  Borrowed units are never lent again, because the second loan
 * could outlive the first. */
static bool
divides_with_members (const quota_t *quota, const limit_t *limit, const account_t *account)
{
  if (!account->peer->is_remote)
    return true;
  return limit->allocation.pool_units == limit->part_units
         && data_centre_part (quota, limit, account->peer->data_centre) == 0;
}

static void
group_add_account (group_t *group, account_t *account)
{
  group->accounts[group->count] = account;
  group->demands[group->count].demand = account->demand;
  group->total_demand += account->demand;
  group->count++;
}

/* Divides UNITS among the accounts of GROUP.  Idle units of a host that is
 * leaving go to the first host that stays. */
static void
group_divide (group_t *group, int64_t units, uint64_t rotation)
{
  account_t *first_staying = NULL;
  int64_t idle = 0;

  quota_divide_fairly (group->demands, group->count, units, rotation);
  for (size_t i = 0; i < group->count; i++)
    {
      account_t *account = group->accounts[i];
      account->target_units = group->demands[i].target;
      if (!account->peer->leaving && first_staying == NULL)
        first_staying = account;
      if (!account->peer->leaving || account->target_units <= account->demand)
        continue;
      idle += account->target_units - account->demand;
      account->target_units = account->demand;
    }
  if (first_staying != NULL)
    first_staying->target_units += idle;
}

/* Sets the targets of all accounts with a valid lease.  Returns the units that
 * are charged to no such account, and so cannot be divided. */
static int64_t
set_targets (quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  guint count = allocation->accounts->len;
  group_t local = { g_new (account_t *, count + 1), g_new (quota_demand_t, count + 1), 0, 0 };
  group_t remote = { g_new (account_t *, count + 1), g_new (quota_demand_t, count + 1), 0, 0 };
  int64_t unavailable_units = allocation_charge (quota, limit, now_ms);

  for (guint i = 0; i < count; i++)
    {
      account_t *account = allocation->accounts->pdata[i];
      account->target_units = 0;
      if (!is_live (account, now_ms))
        continue;
      unavailable_units -= account_charge (quota, account, now_ms);
      if (!divides_with_members (quota, limit, account))
        group_add_account (&remote, account);
      else if (!account->peer->is_remote || account->demand > 0)
        group_add_account (&local, account);
    }
  int64_t units = MAX (allocation->pool_units - unavailable_units, 0);
  int64_t idle = MIN (units, limit->part_units) - local.total_demand;
  int64_t reserve = limit->part_units / QUOTA_RESERVE_DIVISOR;
  int64_t lent_units = CLAMP (idle - reserve, 0, remote.total_demand);
  if (remote.count > 0)
    group_divide (&remote, lent_units, (uint64_t) allocation->rotation);
  bool scarce = (size_t) units < local.count && local.total_demand > units;
  group_divide (&local, local.count > 0 ? units - lent_units : 0,
                scarce ? (uint64_t) allocation->rotation : 0);
  g_free (local.accounts);
  g_free (local.demands);
  g_free (remote.accounts);
  g_free (remote.demands);
  return unavailable_units;
}

/* Reclaims up to NEEDED_UNITS units from holders that have more than their
 * target.  Units for which the holder has demand are reclaimed only if
 * RECLAIM_DEMAND is true. */
static void
reclaim_units (quota_t *quota,
               limit_t *limit,
               int64_t needed_units,
               bool reclaim_demand,
               int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;

  for (guint i = 0; i < allocation->accounts->len && needed_units > 0; i++)
    {
      account_t *account =
          allocation->accounts
              ->pdata[(i + (guint) allocation->rotation) % allocation->accounts->len];
      int64_t retained =
          reclaim_demand ? account->target_units : MAX (account->target_units, account->demand);
      int64_t surplus = MIN (account->granted_units - retained, needed_units);
      if (surplus <= 0)
        continue;
      account_set_units (quota, account, account->granted_units - surplus, now_ms);
      needed_units -= surplus;
    }
}

/* Adds units up to the targets, as far as SPARE units of the pool allow, and
 * returns the rest of SPARE.  If IDLE is true, this includes units beyond the
 * demand.  If the charges exceed the pool, no units are added, not even to a
 * holder that is charged with more units than it has been granted: its charge
 * may be for units whose use has just ended. */
static int64_t
grant_units (quota_t *quota, limit_t *limit, int64_t spare, bool idle, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;

  for (guint i = 0; i < allocation->accounts->len && spare >= 0; i++)
    {
      account_t *account = allocation->accounts->pdata[i];
      int64_t target_units =
          idle ? account->target_units : MIN (account->target_units, account->demand);
      int64_t charge = account_charge (quota, account, now_ms);
      int64_t units = MIN (target_units, charge + spare);
      if (!is_live (account, now_ms) || units <= account->granted_units)
        continue;
      spare -= MAX (units - charge, 0);
      account_set_units (quota, account, units, now_ms);
    }
  return spare;
}

/* Returns the units that were reclaimed but are still charged, because the
 * holder has not acknowledged the grant or still uses them. */
static int64_t
units_being_returned (const quota_t *quota, const allocation_t *allocation, int64_t now_ms)
{
  int64_t units = 0;

  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      units += account_charge (quota, account, now_ms) - account->granted_units;
    }
  return units;
}

/* Reclaims the units that a leaving host does not need, so that others can use
 * them at once. */
static void
reclaim_from_leaving (const quota_t *quota, limit_t *limit, int64_t now_ms)
{
  for (guint i = 0; i < limit->allocation.accounts->len; i++)
    {
      account_t *account = limit->allocation.accounts->pdata[i];
      if (account->peer->leaving && account->granted_units > account->target_units)
        account_set_units (quota, account, account->target_units, now_ms);
    }
}

/* Differences between the shares and their targets. */
typedef struct
{
  int64_t missing_units; /* units that holders with demand lack to reach their targets */
  int64_t granted_units;
  bool must_rebalance; /* units in demand must move, because a share is far below its target */
  bool is_uneven;      /* idle units are distributed too unevenly */
} shortfall_t;

/* Hysteresis: between holders that all have demand, units move only when one
 * has less than four fifths of its target. */
static shortfall_t
measure_shortfall (allocation_t *allocation)
{
  shortfall_t shortfall = { 0 };

  allocation->has_shortage = false;
  for (guint i = 0; i < allocation->accounts->len; i++)
    {
      const account_t *account = allocation->accounts->pdata[i];
      int64_t tolerance = account->peer->is_remote ? 0 : 1;
      int64_t missing =
          MAX (MIN (account->target_units, account->demand) - account->granted_units, 0);
      shortfall.missing_units += missing;
      shortfall.granted_units += account->granted_units;
      shortfall.must_rebalance |= 4 * missing > account->granted_units;
      shortfall.is_uneven |= account->granted_units > 2 * account->target_units + tolerance;
      shortfall.is_uneven |= 2 * account->granted_units + tolerance < account->target_units;
      allocation->has_shortage |= account->demand > account->granted_units;
    }
  return shortfall;
}

static void
allocate (quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t unavailable_units = set_targets (quota, limit, now_ms);
  shortfall_t shortfall = measure_shortfall (allocation);
  int64_t spare = allocation->pool_units - allocation_charge (quota, limit, now_ms);
  int64_t needed_units =
      shortfall.missing_units - MAX (spare, 0) - units_being_returned (quota, allocation, now_ms);
  int64_t excess = shortfall.granted_units - MAX (allocation->pool_units - unavailable_units, 0);

  if (shortfall.missing_units == 0 && shortfall.is_uneven
      && now_ms - allocation->last_spread_ms >= SPREAD_INTERVAL_MS)
    {
      allocation->last_spread_ms = now_ms;
      needed_units = INT64_MAX;
      shortfall.must_rebalance = true;
    }
  reclaim_from_leaving (quota, limit, now_ms);
  reclaim_units (quota, limit, MAX (needed_units, excess), shortfall.must_rebalance || excess > 0,
                 now_ms);
  spare = grant_units (quota, limit, spare, false, now_ms);
  if (shortfall.missing_units == 0)
    grant_units (quota, limit, spare, true, now_ms);
}

/* Earlier allocators may have granted more units than the limit had here when
 * this allocator became active.  If the part grows, the added units may
 * therefore still be in use. */
void
allocation_part_changed (const quota_t *quota,
                         limit_t *limit,
                         int64_t previous_part,
                         int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;

  if (!quota->rules.successor_waits || !allocation->active || now_ms >= allocation->unknown_until_ms
      || have_all_members_reported (quota, limit, now_ms))
    return;
  allocation->unknown_units += MAX (limit->part_units - previous_part, 0);
}

void
allocation_run (quota_t *quota, limit_t *limit, int64_t now_ms)
{
  allocation_t *allocation = &limit->allocation;
  int64_t pool = limit->part_units + loan_usable_units (limit, now_ms);
  int64_t rotation = now_ms / QUOTA_ROTATION_MS;

  if (!allocation->active)
    return;
  reduce_unknown_units (quota, limit, now_ms);
  allocation->dirty |= pool != allocation->pool_units || rotation != allocation->rotation;
  if (!allocation->dirty)
    return;
  allocation->pool_units = pool;
  allocation->rotation = rotation;
  allocation->dirty = false;
  raise_max_use (quota, limit, now_ms);
  int64_t charge_before = allocation_charge (quota, limit, now_ms);
  allocate (quota, limit, now_ms);
  assert (allocation_charge (quota, limit, now_ms) <= MAX (charge_before, pool));
}
