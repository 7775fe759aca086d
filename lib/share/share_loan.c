/* share_loan.c -- the allotter: units of other data centres
 *
 * A limit over all data centres is divided evenly into parts that never move.
 * An allotter whose part is too small asks the allotters of the other data
 * centres, as a holder there, for what it lacks.  A loan counts in its pool
 * only while the loan outlives the leases that are given under it.  What the
 * own part does not cover is reported as in use of the loans.
 */
#include "share/share_internal.h"

#include "base/hash.h"

void
loan_free (void *data)
{
  loan_t *loan = data;

  g_free (loan->data_centre);
  g_free (loan);
}

/* Parts that differ by one go by the order of weights, so that not all small
 * limits lie in the same data centre. */
int64_t
loan_part (const share_t *share, const limit_t *limit, const char *data_centre)
{
  int64_t count = share->data_centres->len;
  int64_t rank = 0;
  uint64_t weight = hash_rendezvous (limit->name, data_centre);

  if (limit->units <= 0)
    return 0;
  if (limit->local || count == 0)
    return limit->units;
  for (guint i = 0; i < share->data_centres->len; i++)
    rank += hash_rendezvous (limit->name, share->data_centres->pdata[i]) > weight;
  return limit->units / count + (rank < limit->units % count);
}

static bool
is_usable (const limit_t *limit, const loan_t *loan, int64_t now_ms)
{
  return loan->use_ms >= limit->book.told_ms
         && now_ms + with_margin (SHARE_LEASE_MS) < loan->lease_until_ms;
}

int64_t
loan_usable (const limit_t *limit, int64_t now_ms)
{
  int64_t units = 0;

  for (guint i = 0; i < limit->book.loans->len; i++)
    {
      const loan_t *loan = limit->book.loans->pdata[i];
      if (is_usable (limit, loan, now_ms))
        units += loan->units;
    }
  return units;
}

/* The next host of DATA_CENTRE in the order of allotters of NAME. */
static link_t *
next_lender (share_t *share, const char *name, const char *data_centre, const link_t *after)
{
  link_t *best = NULL;
  link_t *first = NULL;
  uint64_t best_weight = 0;
  uint64_t first_weight = 0;
  uint64_t bound = after != NULL ? hash_rendezvous (name, after->host) : UINT64_MAX;

  for (guint i = 0; i < share->links->len; i++)
    {
      link_t *link = share->links->pdata[i];
      if (!link_is_reachable (link) || !g_str_equal (link->data_centre, data_centre))
        continue;
      uint64_t weight = hash_rendezvous (name, link->host);
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
choose_lender (share_t *share, limit_t *limit, loan_t *loan, int64_t now_ms)
{
  bool useless = loan->lender == NULL || !link_is_reachable (loan->lender)
                 || (!loan->active && now_ms - loan->active_ms > SHARE_PATIENCE_MS);

  if (loan->active && loan->lender != NULL && link_is_reachable (loan->lender))
    loan->active_ms = now_ms;
  if (!useless)
    return;
  link_t *link = next_lender (share, limit->name, loan->data_centre, loan->lender);
  loan->active_ms = now_ms;
  if (link == NULL || link == loan->lender)
    return;
  if (loan->lender != NULL && loan->report.number > 0)
    g_hash_table_insert (loan->lender->gone, g_strdup (limit->name), g_new0 (uint64_t, 1));
  loan->lender = link;
  loan->units = 0;
  loan->lease_until_ms = 0;
  loan->in_use = 0;
  loan->active = false;
  loan->report.number = 0;
  loan->report.changed = true;
  link->up.urgent = true;
}

/* Units that holders here want beyond the own part. */
static int64_t
lack (const limit_t *limit, int64_t now_ms)
{
  const book_t *book = &limit->book;
  int64_t wanted = 0;
  int64_t blocked = 0;

  if (!book->active)
    return 0;
  if (now_ms < book->unknown_until_ms)
    blocked = book->unknown;
  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      if (entry->votes)
        wanted += entry->wanted;
    }
  return MAX (wanted + blocked - limit->part, 0);
}

/* Charges what the own part does not cover to the loans.  A loan may be
 * charged with what it had granted before, which its lender still counts. */
static void
charge_loans (const share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t over = MAX (book_charge (share, limit, now_ms) - limit->part, 0);

  for (guint i = 0; i < book->loans->len; i++)
    {
      loan_t *loan = book->loans->pdata[i];
      int64_t most = MAX (loan->units, loan->in_use);
      loan->in_use = MIN (over, most);
      over -= loan->in_use;
    }
}

static loan_t *
find_loan (const limit_t *limit, const char *data_centre)
{
  for (guint i = 0; i < limit->book.loans->len; i++)
    {
      loan_t *loan = limit->book.loans->pdata[i];
      if (g_str_equal (loan->data_centre, data_centre))
        return loan;
    }
  return NULL;
}

static void
open_loans (share_t *share, limit_t *limit)
{
  for (guint i = 0; i < share->data_centres->len; i++)
    {
      const char *data_centre = share->data_centres->pdata[i];
      if (g_str_equal (data_centre, share->data_centre) || find_loan (limit, data_centre) != NULL)
        continue;
      loan_t *loan = g_new0 (loan_t, 1);
      loan->data_centre = g_strdup (data_centre);
      loan->report.changed = true;
      g_ptr_array_add (limit->book.loans, loan);
    }
}

static bool
is_wanted (const loan_t *loan)
{
  return loan->report.sent.wanted > 0 || loan->units > 0 || loan->in_use > 0;
}

void
loan_tick (share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;

  if (limit->local || limit->removed)
    return;
  if (lack (limit, now_ms) > 0)
    open_loans (share, limit);
  for (guint i = 0; i < book->loans->len; i++)
    {
      loan_t *loan = book->loans->pdata[i];
      if (loan->lender == NULL || book->active)
        choose_lender (share, limit, loan, now_ms);
    }
}

/* What lenders earlier in the list already provide is not asked of this one. */
static int64_t
wanted_of (const limit_t *limit, const loan_t *loan, int64_t now_ms)
{
  int64_t wanted = lack (limit, now_ms);

  for (guint i = 0; i < limit->book.loans->len; i++)
    {
      const loan_t *other = limit->book.loans->pdata[i];
      if (other == loan)
        break;
      if (is_usable (limit, other, now_ms))
        wanted -= other->units;
    }
  return MAX (wanted, 0);
}

bool
loan_is_open (const limit_t *limit, const link_t *link, int64_t now_ms)
{
  const loan_t *loan = find_loan (limit, link->data_centre);

  if (loan == NULL || loan->lender != link)
    return false;
  return is_wanted (loan) || loan->report.number > link->up.confirmed
         || wanted_of (limit, loan, now_ms) > 0;
}

bool
loan_report (share_t *share, limit_t *limit, link_t *link, share_message_t *message, int64_t now_ms)
{
  loan_t *loan = find_loan (limit, link->data_centre);
  book_t *book = &limit->book;

  if (loan == NULL || loan->lender != link)
    return report_gone (limit, link, message);
  charge_loans (share, limit, now_ms);
  share_report_entry_t entry = { .in_use = loan->in_use,
                                 .wanted = wanted_of (limit, loan, now_ms),
                                 .use_ms = book->told_ms,
                                 .told_ms = book->told_ms,
                                 .fresh = !loan->active };
  if (entry.in_use > 0)
    entry.ends_in_ms = with_margin (SHARE_LEASE_MS) + with_margin (book->told_ms);
  if (entry.wanted == 0 && entry.in_use == 0 && loan->report.number == 0)
    return report_gone (limit, link, message);
  g_hash_table_remove (link->gone, limit->name);
  return report_put (&loan->report, limit->name, &entry, &link->up, message);
}

static void
take_grant (share_t *share,
            limit_t *limit,
            loan_t *loan,
            const share_grant_entry_t *grant,
            int64_t lease_until_ms,
            int64_t now_ms)
{
  loan->active = grant->active;
  if (!grant->active)
    return;
  charge_loans (share, limit, now_ms);
  if (grant->units != loan->units)
    {
      loan->report.changed = true;
      limit->book.dirty = true;
    }
  if (grant->units < loan->units)
    loan->lender->up.urgent = true;
  loan->units = grant->units;
  loan->use_ms = grant->use_ms;
  loan->lease_until_ms = lease_until_ms;
}

void
loan_receive (share_t *share, link_t *link, const share_header_t *header, int64_t now_ms)
{
  int64_t sent_ms = stream_confirmed_ms (&link->up);
  int64_t lease_until_ms = sent_ms > 0 ? sent_ms + SHARE_LOAN_LEASE_MS : 0;

  for (guint i = 0; i < header->entries->len; i++)
    {
      const share_grant_entry_t *grant = &g_array_index (header->entries, share_grant_entry_t, i);
      limit_t *limit = g_hash_table_lookup (share->by_name, grant->name);
      loan_t *loan = limit != NULL ? find_loan (limit, link->data_centre) : NULL;
      if (loan != NULL && loan->lender == link && loan->report.number > 0)
        take_grant (share, limit, loan, grant, lease_until_ms, now_ms);
    }
  for (guint i = 0; i < share->limits->len; i++)
    {
      loan_t *loan = find_loan (share->limits->pdata[i], link->data_centre);
      if (loan != NULL && loan->lender == link && loan->active)
        loan->lease_until_ms = MAX (loan->lease_until_ms, lease_until_ms);
    }
}

void
loan_forget_grants (limit_t *limit, const link_t *link)
{
  loan_t *loan = find_loan (limit, link->data_centre);

  if (loan == NULL || loan->lender != link)
    return;
  loan->active = false;
  loan->report.number = 0;
  loan->report.changed = true;
}
