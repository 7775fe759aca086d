/* share_book.c -- the allotter: what each holder of a limit is charged with
 *
 * A holder is charged with the largest of what it is granted, of earlier
 * grants that it may still go by, and of what it reported in use.  An earlier
 * grant counts until the holder has confirmed a later one.  Without a word
 * from the holder it counts until its deadline, plus the longest use of a unit
 * that may have been taken just before.
 *
 * Invariant: units are only added while the sum of all charges is at most the
 * pool.
 */
#include "share/share_internal.h"

#define NOT_SENT UINT64_MAX

void
book_init (limit_t *limit)
{
  book_t *book = &limit->book;

  book->entries = g_ptr_array_new_with_free_func (g_free);
  book->orphans = g_array_new (FALSE, TRUE, sizeof (orphan_t));
  book->loans = g_ptr_array_new_with_free_func (loan_free);
  book->use_ms = limit->starts ? SHARE_START_USE_MS : SHARE_USE_MS;
  book->told_ms = book->use_ms;
}

void
book_clear (book_t *book)
{
  g_ptr_array_unref (book->entries);
  g_array_unref (book->orphans);
  g_ptr_array_unref (book->loans);
}

static entry_t *
find_entry (const limit_t *limit, const link_t *link)
{
  for (guint i = 0; i < limit->book.entries->len; i++)
    {
      entry_t *entry = limit->book.entries->pdata[i];
      if (entry->link == link)
        return entry;
    }
  return NULL;
}

entry_t *
book_entry (share_t *share, limit_t *limit, link_t *link)
{
  entry_t *entry = find_entry (limit, link);

  if (entry != NULL)
    return entry;
  entry = g_new0 (entry_t, 1);
  entry->link = link;
  entry->limit = limit;
  entry->set_number = NOT_SENT;
  entry->changed = true;
  if (!limit->book.listed)
    g_ptr_array_add (share->booked, limit);
  limit->book.listed = true;
  g_ptr_array_add (limit->book.entries, entry);
  return entry;
}

int64_t
entry_charge (const share_t *share, const entry_t *entry, int64_t now_ms)
{
  int64_t charge = entry->units;

  if (now_ms < entry->prior_until_ms)
    charge = MAX (charge, entry->prior);
  if (share->rules.count_in_use && now_ms < entry->in_use_until_ms)
    charge = MAX (charge, entry->in_use);
  return charge;
}

static int64_t
orphan_units (limit_t *limit, int64_t now_ms)
{
  GArray *orphans = limit->book.orphans;
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
book_lent (const share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t units = orphan_units (limit, now_ms);

  if (now_ms < book->unknown_until_ms)
    units += book->unknown;
  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      if (entry->link->remote)
        units += entry_charge (share, entry, now_ms);
    }
  return units;
}

int64_t
book_charge (const share_t *share, limit_t *limit, int64_t now_ms)
{
  book_t *book = &limit->book;
  int64_t units = book_lent (share, limit, now_ms);

  for (guint i = 0; i < book->entries->len; i++)
    {
      const entry_t *entry = book->entries->pdata[i];
      if (!entry->link->remote)
        units += entry_charge (share, entry, now_ms);
    }
  return units;
}

/* When nothing granted to the entry's holder up to now can be in use any more. */
static int64_t
grants_end_ms (const share_t *share, const entry_t *entry)
{
  int64_t end = entry->link->down.last_sent_ms + with_margin (link_lease_ms (entry->link));

  if (share->rules.count_in_use)
    end += with_margin (entry->limit->book.told_ms);
  return end;
}

void
entry_set_units (const share_t *share, entry_t *entry, int64_t units, int64_t now_ms)
{
  if (units == entry->units)
    return;
  if (entry->units > 0)
    {
      if (now_ms >= entry->prior_until_ms)
        entry->prior = 0;
      entry->prior = MAX (entry->prior, entry->units);
      entry->prior_until_ms = MAX (entry->prior_until_ms, grants_end_ms (share, entry));
    }
  entry->units = units;
  entry->set_number = NOT_SENT;
  entry->changed = true;
  entry->link->down.urgent = true;
}

void
book_orphan (share_t *share, limit_t *limit, link_t *link, int64_t now_ms)
{
  entry_t *entry = find_entry (limit, link);

  if (entry == NULL)
    return;
  entry_set_units (share, entry, 0, now_ms);
  orphan_t orphan = { .units = entry_charge (share, entry, now_ms),
                      .until_ms = MAX (entry->prior_until_ms, entry->in_use_until_ms) };
  if (orphan.units > 0)
    g_array_append_val (limit->book.orphans, orphan);
  g_ptr_array_remove_fast (limit->book.entries, entry);
  limit->book.active_until_ms = 0;
  limit->book.dirty = true;
}

void
book_lapse (share_t *share, limit_t *limit, link_t *link, int64_t now_ms)
{
  entry_t *entry = find_entry (limit, link);

  if (entry == NULL || entry->units == 0)
    return;
  entry_set_units (share, entry, 0, now_ms);
  limit->book.dirty = true;
}

/* What the holder had when it turned to this allotter, for as long as the
 * former allotter cannot have given it to another. */
static void
note_known (entry_t *entry, const share_report_entry_t *report)
{
  int64_t asked_ms = stream_confirmed_ms (&entry->link->down);
  bool by_share = report->held >= report->in_use;

  entry->known = MAX (report->held, report->in_use);
  entry->known_until_ms = asked_ms + (by_share ? report->held_ms : report->ends_in_ms);
  if (asked_ms == 0)
    entry->known_until_ms = 0;
}

/* A holder that a new allotter has not heard of before: what it has is known
 * from now on. */
static void
count_known (entry_t *entry, int64_t now_ms)
{
  book_t *book = &entry->limit->book;

  if (!book->active || entry->counted || entry->link->remote)
    return;
  entry->counted = true;
  if (now_ms >= book->unknown_until_ms)
    return;
  entry->prior = MAX (now_ms < entry->prior_until_ms ? entry->prior : 0, entry->known);
  entry->prior_until_ms = MAX (entry->prior_until_ms,
                               now_ms + with_margin (SHARE_LEASE_MS) + with_margin (book->told_ms));
  if (now_ms < entry->known_until_ms)
    book->unknown -= MIN (book->unknown, entry->known);
}

/* The holder does not go by what it was granted before it turned away and came
 * back, but may have taken units of it.  It confirms numbers without adopting
 * their grants while it is away, so only a grant sent from now on counts as
 * adopted. */
static void
resend_grant (const share_t *share, entry_t *entry, int64_t now_ms)
{
  entry->changed = true;
  bool sent = entry->set_number != NOT_SENT;
  entry->set_number = NOT_SENT;
  if (entry->units == 0 || !sent)
    return;
  if (now_ms >= entry->prior_until_ms)
    entry->prior = 0;
  entry->prior = MAX (entry->prior, entry->units);
  entry->prior_until_ms = MAX (entry->prior_until_ms, grants_end_ms (share, entry));
}

static void
take_report (share_t *share, link_t *link, const share_report_entry_t *report, int64_t now_ms)
{
  limit_t *limit = g_hash_table_lookup (share->by_name, report->name);

  if (limit == NULL)
    return;
  entry_t *entry = book_entry (share, limit, link);
  limit->book.dirty = true;
  if (report->gone)
    {
      entry->votes = false;
      entry->wanted = 0;
      limit->book.active_until_ms = 0;
      entry_set_units (share, entry, 0, now_ms);
      entry->set_number = NOT_SENT;
      return;
    }
  if (report->fresh)
    resend_grant (share, entry, now_ms);
  entry->votes = !link->remote;
  entry->in_use = report->in_use;
  entry->in_use_until_ms = now_ms + with_margin (report->ends_in_ms) + SHARE_USE_STEP_MS;
  entry->wanted = MAX (report->wanted, link->remote ? 0 : report->in_use);
  entry->use_wanted_ms = report->use_ms;
  entry->told_ms = report->told_ms;
  entry->lent = report->lent;
  note_known (entry, report);
  count_known (entry, now_ms);
}

/* A confirmed grant replaces all earlier ones. */
static void
confirm_grants (share_t *share, link_t *link)
{
  for (guint i = 0; i < share->booked->len; i++)
    {
      entry_t *entry = find_entry (share->booked->pdata[i], link);
      if (entry == NULL)
        continue;
      if (entry->set_number > link->down.confirmed || entry->prior == 0)
        continue;
      entry->prior = 0;
      entry->limit->book.dirty = true;
    }
}

void
book_receive (share_t *share, link_t *link, const share_header_t *header, int64_t now_ms)
{
  int64_t asked_ms = stream_confirmed_ms (&link->down);

  if (link->view != header->view)
    for (guint i = 0; i < share->booked->len; i++)
      ((limit_t *) share->booked->pdata[i])->book.active_until_ms = 0;
  link->view = header->view;
  link->steady = header->steady;
  link->departed = header->departed;
  if (header->leaving && !link->leaving)
    for (guint i = 0; i < share->booked->len; i++)
      ((limit_t *) share->booked->pdata[i])->book.dirty = true;
  link->leaving = header->leaving;
  if (asked_ms > 0)
    link->vote_until_ms = asked_ms + SHARE_VOTE_MS;
  for (guint i = 0; i < header->entries->len; i++)
    take_report (share, link, &g_array_index (header->entries, share_report_entry_t, i), now_ms);
  confirm_grants (share, link);
  link->down.due = true;
}

bool
book_grant (share_t *share, limit_t *limit, link_t *link, share_message_t *message, int64_t now_ms)
{
  entry_t *entry = find_entry (limit, link);
  book_t *book = &limit->book;

  (void) share;
  (void) now_ms;
  if (entry == NULL || (!entry->votes && !link->remote))
    return false;
  bool confirmed = entry->sent_number > 0 && entry->sent_number <= link->down.confirmed;
  if (confirmed && !entry->changed)
    return false;
  share_grant_entry_t grant = { .name = g_strdup (limit->name),
                                .units = entry->units,
                                .use_ms = book->use_ms,
                                .told_ms = book->told_ms,
                                .active = book->active };
  g_array_append_val (message->header.entries, grant);
  entry->sent_number = link->down.number + 1;
  if (entry->set_number == NOT_SENT && book->active)
    entry->set_number = entry->sent_number;
  entry->changed = false;
  return true;
}
