/* share_allot.c -- the allotter: when it may allot, and how much to whom
 *
 * An allotter is active while a majority of its view follows it, itself
 * included.  When it becomes active, earlier allotters have lost their
 * majority; what they granted is known from the holders that were heard of.
 * The rest of the limit may be held by others, so it stays unknown, and counts
 * as granted, until every use under those grants has ended.  If all members
 * are heard and nobody has left for that long, only what members report as
 * lent to others is unknown.
 *
 * A view change can leave the allotter of the old view with a majority of it.
 * So the new one also waits until too few members of the old view are left for
 * that, or for SHARE_VIEW_WAIT_MS, the bound on a host that goes on in an old
 * view without contact to the log or to a majority.
 */
#include "share/share_internal.h"

#include "share/share_fair.h"

#include <assert.h>

/* Idle units are spread again at most this often. */
#define SPREAD_PAUSE_MS 1000

static bool
is_voter (const share_t *share, const entry_t *entry, int64_t now_ms)
{
  const link_t *link = entry->link;

  return entry->votes && link->view == share->view && now_ms < link->vote_until_ms;
}

static const entry_t *
voter_of (const share_t *share, const limit_t *limit, const char *host, int64_t now_ms)
{
  for (guint i = 0; i < limit->book.entries->len; i++)
    {
      const entry_t *entry = limit->book.entries->pdata[i];
      if (g_str_equal (entry->link->host, host))
        return is_voter (share, entry, now_ms) ? entry : NULL;
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

/* Until when a majority of the view follows this host; 0 if it does not. */
static int64_t
majority_until_ms (const share_t *share, const limit_t *limit, int64_t now_ms)
{
  guint need = share->members->len / 2 + 1;

  if (limit->hold.allotter != share->self || now_ms < limit->hold.vote_ms)
    return 0;
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (guint i = 0; i < share->members->len; i++)
    {
      const entry_t *entry = voter_of (share, limit, share->members->pdata[i], now_ms);
      if (entry != NULL)
        g_array_append_val (ends, entry->link->vote_until_ms);
    }
  g_array_sort (ends, compare_times);
  int64_t until = ends->len >= need ? g_array_index (ends, int64_t, need - 1) : 0;
  g_array_unref (ends);
  return until;
}

/* True if no other host can have a majority of the view before this one. */
static bool
is_last_view_over (const share_t *share, const limit_t *limit, int64_t now_ms)
{
  if (!share->rules.successor_waits || now_ms - share->view_ms >= SHARE_VIEW_WAIT_MS)
    return true;
  if (share->last_members == NULL)
    return share->departures_known;
  guint heard = 0;
  for (guint i = 0; i < share->last_members->len; i++)
    heard += voter_of (share, limit, share->last_members->pdata[i], now_ms) != NULL;
  return heard >= (share->last_members->len + 1) / 2;
}

/* True if all that could hold a share have been heard. */
static bool
is_everyone_heard (const share_t *share, const limit_t *limit, int64_t now_ms)
{
  bool steady = false;

  /* This host's own last report may be older than what it knows now. */
  if (share_saw_departure (share, now_ms))
    return false;
  for (guint i = 0; i < share->members->len; i++)
    {
      const entry_t *entry = voter_of (share, limit, share->members->pdata[i], now_ms);
      if (entry == NULL || entry->link->departed)
        return false;
      steady |= entry->link->steady;
    }
  return steady;
}

/* Sums up what voters say: units known to be with them, and lent to others. */
static void
sum_voters (const limit_t *limit, int64_t now_ms, int64_t *known, int64_t *lent)
{
  const book_t *book = &limit->book;

  *known = 0;
  *lent = 0;
  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      if (!entry->votes)
        continue;
      if (now_ms < entry->known_until_ms)
        *known += entry->known;
      *lent += entry->lent;
    }
}

static int64_t
unknown_units (const share_t *share, const limit_t *limit, int64_t now_ms)
{
  int64_t known = 0;
  int64_t lent = 0;

  if (!share->rules.successor_waits)
    return 0;
  sum_voters (limit, now_ms, &known, &lent);
  if (is_everyone_heard (share, limit, now_ms))
    return lent;
  return MAX (limit->part - known, 0);
}

/* Members that were heard late may show that nobody else holds anything. */
static void
review_unknown (const share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t known = 0;
  int64_t lent = 0;

  if (book->unknown == 0 || !is_everyone_heard (share, limit, now_ms))
    return;
  sum_voters (limit, now_ms, &known, &lent);
  if (lent >= book->unknown)
    return;
  book->unknown = lent;
  book->dirty = true;
}

/* Every grant of earlier allotters is now either with a holder that has told
 * of it, or unknown. */
static void
activate (share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t lease_ms = limit->local ? SHARE_LEASE_MS : SHARE_LOAN_LEASE_MS;

  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      book->told_ms = MAX (book->told_ms, entry->told_ms);
    }
  book->told_at_ms = now_ms;
  book->unknown = unknown_units (share, limit, now_ms);
  book->unknown_until_ms = now_ms + with_margin (lease_ms) + with_margin (book->told_ms);
  for (guint i = 0; i < book->entries->len; i++)
    {
      entry_t *entry = book->entries->pdata[i];
      entry->changed = true;
      entry->link->down.urgent = true;
      if (entry->link->remote)
        continue;
      entry_set_units (share, entry, 0, now_ms);
      entry->set_number = UINT64_MAX;
      entry->counted = entry->votes;
      if (!entry->votes || entry->known == 0)
        continue;
      entry->prior = MAX (now_ms < entry->prior_until_ms ? entry->prior : 0, entry->known);
      entry->prior_until_ms = MAX (entry->prior_until_ms, now_ms + with_margin (SHARE_LEASE_MS)
                                                              + with_margin (book->told_ms));
    }
  book->active = true;
  book->dirty = true;
}

static void
deactivate (limit_t *limit)
{
  book_t *book = &limit->book;

  book->active = false;
  for (guint i = 0; i < book->entries->len; i++)
    {
      entry_t *entry = book->entries->pdata[i];
      entry->changed = true;
      entry->link->down.urgent = true;
    }
}

void
allot_check_active (share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;

  if (limit->removed)
    {
      book->active = false;
      return;
    }
  if (book->active && now_ms < book->active_until_ms)
    return;
  book->active_until_ms = share->view > 0 ? majority_until_ms (share, limit, now_ms) : 0;
  bool may = now_ms < book->active_until_ms;
  if (book->active && !may)
    deactivate (limit);
  else if (!book->active && may && is_last_view_over (share, limit, now_ms))
    activate (share, limit, now_ms);
}

/* A longer use is announced first.  It is allowed once a majority knows of it,
 * so that any successor hears of it, and once no loan with a shorter use counts
 * any more. */
static void
raise_use (const share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t wanted_ms = 0;
  guint told = 0;

  if (limit->starts)
    return;
  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      wanted_ms = MAX (wanted_ms, entry->use_wanted_ms);
      told += entry->votes && entry->told_ms >= book->told_ms;
    }
  if (wanted_ms > book->told_ms)
    {
      while (book->told_ms < wanted_ms)
        book->told_ms *= 2;
      book->told_at_ms = now_ms;
    }
  else if (book->use_ms == book->told_ms || told < share->members->len / 2 + 1
           || (!limit->local && book->loans->len > 0
               && now_ms - book->told_at_ms < with_margin (SHARE_LEASE_MS)))
    return;
  else
    book->use_ms = book->told_ms;
  for (guint i = 0; i < book->entries->len; i++)
    {
      entry_t *entry = book->entries->pdata[i];
      entry->changed = true;
      entry->link->down.urgent = true;
    }
}

typedef struct
{
  entry_t **entries;
  share_demand_t *demands;
  size_t count;
  int64_t wanted;
} group_t;

static bool
is_live (const entry_t *entry, int64_t now_ms)
{
  const link_t *link = entry->link;
  bool lapsed = link->down.last_sent_ms > 0
                && now_ms > link->down.last_sent_ms + with_margin (link_lease_ms (link));

  return (entry->votes || link->remote) && !lapsed;
}

/* A data centre without a part of its own shares like the hosts of this one.
 * Borrowed units are never lent on: the loans' deadlines do not nest. */
static bool
is_peer_holder (const share_t *share, const limit_t *limit, const entry_t *entry)
{
  if (!entry->link->remote)
    return true;
  return limit->book.pool == limit->part && loan_part (share, limit, entry->link->data_centre) == 0;
}

static void
group_add (group_t *group, entry_t *entry)
{
  group->entries[group->count] = entry;
  group->demands[group->count].wanted = entry->wanted;
  group->wanted += entry->wanted;
  group->count++;
}

/* Idle units of a host that leaves go to the first that stays. */
static void
group_divide (group_t *group, int64_t units, uint64_t turn)
{
  entry_t *stays = NULL;
  int64_t idle = 0;

  share_fair (group->demands, group->count, units, turn);
  for (size_t i = 0; i < group->count; i++)
    {
      entry_t *entry = group->entries[i];
      entry->target = group->demands[i].target;
      if (!entry->link->leaving && stays == NULL)
        stays = entry;
      if (!entry->link->leaving || entry->target <= entry->wanted)
        continue;
      idle += entry->target - entry->wanted;
      entry->target = entry->wanted;
    }
  if (stays != NULL)
    stays->target += idle;
}

/* Sets the targets of all live entries; returns units that are with the others. */
static int64_t
set_targets (share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  guint count = book->entries->len;
  group_t own = { g_new (entry_t *, count + 1), g_new (share_demand_t, count + 1), 0, 0 };
  group_t lent = { g_new (entry_t *, count + 1), g_new (share_demand_t, count + 1), 0, 0 };
  int64_t blocked = book_charge (share, limit, now_ms);

  for (guint i = 0; i < count; i++)
    {
      entry_t *entry = book->entries->pdata[i];
      entry->target = 0;
      if (!is_live (entry, now_ms))
        continue;
      blocked -= entry_charge (share, entry, now_ms);
      if (!is_peer_holder (share, limit, entry))
        group_add (&lent, entry);
      else if (!entry->link->remote || entry->wanted > 0)
        group_add (&own, entry);
    }
  int64_t units = MAX (book->pool - blocked, 0);
  int64_t idle = MIN (units, limit->part) - own.wanted;
  int64_t reserve = limit->part / SHARE_RESERVE_DIVISOR;
  int64_t lend = CLAMP (idle - reserve, 0, lent.wanted);
  if (lent.count > 0)
    group_divide (&lent, lend, (uint64_t) book->turn);
  bool scarce = (size_t) units < own.count && own.wanted > units;
  group_divide (&own, own.count > 0 ? units - lend : 0, scarce ? (uint64_t) book->turn : 0);
  g_free (own.entries);
  g_free (own.demands);
  g_free (lent.entries);
  g_free (lent.demands);
  return blocked;
}

/* Takes units from those with more than their target, as far as NEED goes;
 * only idle ones unless STRICT. */
static void
take_back (share_t *share, limit_t *limit, int64_t need, bool strict, int64_t now_ms)
{
  book_t *book = &limit->book;

  for (guint i = 0; i < book->entries->len && need > 0; i++)
    {
      entry_t *entry = book->entries->pdata[(i + (guint) book->turn) % book->entries->len];
      int64_t keep = strict ? entry->target : MAX (entry->target, entry->wanted);
      int64_t surplus = MIN (entry->units - keep, need);
      if (surplus <= 0)
        continue;
      entry_set_units (share, entry, entry->units - surplus, now_ms);
      need -= surplus;
    }
}

/* Adds units up to the targets while the pool lasts: IDLE also beyond demand.
 * While charges exceed the pool nothing is added, not even under a charge: it
 * may be for units that have just ended. */
static int64_t
hand_out (share_t *share, limit_t *limit, int64_t spare, bool idle, int64_t now_ms)
{
  book_t *book = &limit->book;

  for (guint i = 0; i < book->entries->len && spare >= 0; i++)
    {
      entry_t *entry = book->entries->pdata[i];
      int64_t goal = idle ? entry->target : MIN (entry->target, entry->wanted);
      int64_t charge = entry_charge (share, entry, now_ms);
      int64_t units = MIN (goal, charge + spare);
      if (!is_live (entry, now_ms) || units <= entry->units)
        continue;
      spare -= MAX (units - charge, 0);
      entry_set_units (share, entry, units, now_ms);
    }
  return spare;
}

/* Units that are on their way back: taken away and not yet confirmed. */
static int64_t
returning (const share_t *share, const book_t *book, int64_t now_ms)
{
  int64_t units = 0;

  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      units += entry_charge (share, entry, now_ms) - entry->units;
    }
  return units;
}

/* What a host that leaves does not need is of use to the others at once. */
static void
free_leaving (const share_t *share, limit_t *limit, int64_t now_ms)
{
  for (guint i = 0; i < limit->book.entries->len; i++)
    {
      entry_t *entry = limit->book.entries->pdata[i];
      if (entry->link->leaving && entry->units > entry->target)
        entry_set_units (share, entry, entry->target, now_ms);
    }
}

/* What an allotment has to mend. */
typedef struct
{
  int64_t missing; /* units up to the targets of those with demand */
  int64_t granted;
  bool strict; /* targets and units differ by so much that units in demand move */
  bool uneven; /* idle units lie too unevenly */
} gap_t;

/* Hysteresis: between holders that all have demand, units move only when one
 * has less than four fifths of its target. */
static gap_t
measure_gap (book_t *book)
{
  gap_t gap = { 0 };

  book->is_short = false;
  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      int64_t least = entry->link->remote ? 0 : 1;
      int64_t lacks = MAX (MIN (entry->target, entry->wanted) - entry->units, 0);
      gap.missing += lacks;
      gap.granted += entry->units;
      gap.strict |= 4 * lacks > entry->units;
      gap.uneven |= entry->units > 2 * entry->target + least;
      gap.uneven |= 2 * entry->units + least < entry->target;
      book->is_short |= entry->wanted > entry->units;
    }
  return gap;
}

static void
allot (share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t blocked = set_targets (share, limit, now_ms);
  gap_t gap = measure_gap (book);
  int64_t spare = book->pool - book_charge (share, limit, now_ms);
  int64_t need = gap.missing - MAX (spare, 0) - returning (share, book, now_ms);
  int64_t over = gap.granted - MAX (book->pool - blocked, 0);

  if (gap.missing == 0 && gap.uneven && now_ms - book->spread_ms >= SPREAD_PAUSE_MS)
    {
      book->spread_ms = now_ms;
      need = INT64_MAX;
      gap.strict = true;
    }
  free_leaving (share, limit, now_ms);
  take_back (share, limit, MAX (need, over), gap.strict || over > 0, now_ms);
  spare = hand_out (share, limit, spare, false, now_ms);
  if (gap.missing == 0)
    hand_out (share, limit, spare, true, now_ms);
}

/* Earlier allotters may have granted more than this one took for the limit when
 * it became active: what is added now may still be out. */
void
allot_note_part (const share_t *share, limit_t *limit, int64_t part, int64_t now_ms)
{
  book_t *book = &limit->book;

  if (!share->rules.successor_waits || !book->active || now_ms >= book->unknown_until_ms
      || is_everyone_heard (share, limit, now_ms))
    return;
  book->unknown += MAX (limit->part - part, 0);
}

void
allot_run (share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t pool = limit->part + loan_usable (limit, now_ms);
  int64_t turn = now_ms / SHARE_TURN_MS;

  if (!book->active)
    return;
  review_unknown (share, limit, now_ms);
  book->dirty |= pool != book->pool || turn != book->turn;
  if (!book->dirty)
    return;
  book->pool = pool;
  book->turn = turn;
  book->dirty = false;
  raise_use (share, limit, now_ms);
  int64_t before = book_charge (share, limit, now_ms);
  allot (share, limit, now_ms);
  assert (book_charge (share, limit, now_ms) <= MAX (before, pool));
}
