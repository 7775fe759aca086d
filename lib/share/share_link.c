/* share_link.c -- numbering and leases of the messages between two hosts
 *
 * A pair has four streams: reports and grants each way.  `up` numbers what
 * this host sends as a holder and remembers what it has seen of the answers;
 * `down` does so as an allotter.  A message with a number that was seen, or of
 * an incarnation that was replaced, is dropped: it could bring back a share
 * that has been taken away since.
 */
#include "share/share_internal.h"

link_t *
link_get (share_t *share, const char *host, const char *data_centre)
{
  link_t *link = g_hash_table_lookup (share->by_host, host);

  if (link != NULL || data_centre == NULL)
    return link;
  link = g_new0 (link_t, 1);
  link->host = g_strdup (host);
  link->data_centre = g_strdup (data_centre);
  link->remote = !g_str_equal (data_centre, share->data_centre);
  link->self = g_str_equal (host, share->host);
  link->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (share->links, link);
  g_hash_table_insert (share->by_host, link->host, link);
  return link;
}

void
link_free (void *data)
{
  link_t *link = data;

  g_hash_table_unref (link->gone);
  g_free (link->host);
  g_free (link->data_centre);
  g_free (link);
}

int64_t
with_margin (int64_t duration_ms)
{
  return duration_ms + duration_ms / SHARE_CLOCK_MARGIN + 1;
}

int64_t
link_lease_ms (const link_t *link)
{
  return link->remote ? SHARE_LOAN_LEASE_MS : SHARE_LEASE_MS;
}

static bool
is_retired (const link_t *link, uint64_t incarnation)
{
  for (unsigned i = 0; i < SHARE_RETIRED_KEPT; i++)
    if (link->retired[i] == incarnation)
      return true;
  return false;
}

/* The host has been replaced: its numbers start again, and nothing that it
 * held is known any more. */
static void
replace_incarnation (share_t *share, link_t *link, uint64_t incarnation, int64_t now_ms)
{
  if (link->incarnation != 0)
    {
      for (guint i = 0; i < share->limits->len; i++)
        {
          book_orphan (share, share->limits->pdata[i], link, now_ms);
          hold_forget_grants (share->limits->pdata[i], link);
          loan_forget_grants (share->limits->pdata[i], link);
        }
      if (!link->remote)
        share->departed_ms = now_ms;
      link->retired[link->retired_next++ % SHARE_RETIRED_KEPT] = link->incarnation;
    }
  link->incarnation = incarnation;
  link->up.confirmed = 0;
  link->up.seen = 0;
  link->down.confirmed = 0;
  link->down.seen = 0;
  link->vote_until_ms = 0;
}

bool
link_receive (share_t *share,
              link_t *link,
              share_stream_t *stream,
              const share_header_t *header,
              int64_t now_ms)
{
  if (header->incarnation == 0 || is_retired (link, header->incarnation))
    return false;
  if (header->incarnation != link->incarnation)
    replace_incarnation (share, link, header->incarnation, now_ms);
  link->heard_ms = now_ms;
  link->suspect = false;
  /* The entries that a report leaves out were confirmed by the predecessor of
   * this process, which is gone: the answer tells the sender so. */
  if (stream == &link->down && header->to_incarnation != 0
      && header->to_incarnation != share->incarnation)
    {
      stream->due = true;
      return false;
    }
  if (share->rules.number_messages && header->number <= stream->seen)
    return false;
  stream->seen = header->number;
  if (header->to_incarnation == share->incarnation && header->confirmed <= stream->number)
    stream->confirmed = header->confirmed;
  return true;
}

void
link_send (share_t *share,
           link_t *link,
           share_stream_t *stream,
           share_message_t *message,
           int64_t now_ms)
{
  stream->number++;
  stream->sent_at_ms[stream->number % SHARE_SENT_KEPT] = now_ms;
  stream->last_sent_ms = now_ms;
  if (stream->urgent)
    stream->urgent_ms = MAX (stream->urgent_ms, now_ms) + SHARE_URGENT_MS;
  stream->urgent = false;
  stream->due = false;
  message->header.incarnation = share->incarnation;
  message->header.to_incarnation = link->incarnation;
  message->header.number = stream->number;
  message->header.confirmed = stream->seen;
}

int64_t
stream_confirmed_ms (const share_stream_t *stream)
{
  if (stream->confirmed == 0 || stream->confirmed + SHARE_SENT_KEPT <= stream->number)
    return 0;
  return stream->sent_at_ms[stream->confirmed % SHARE_SENT_KEPT];
}

bool
link_is_reachable (const link_t *link)
{
  return link->self || !link->suspect;
}

bool
stream_may_hurry (const share_stream_t *stream, int64_t now_ms)
{
  return stream->urgent && stream->urgent_ms - now_ms < SHARE_URGENT_BURST * SHARE_URGENT_MS;
}

bool
stream_is_due (const share_stream_t *stream, int64_t now_ms, int64_t pause_ms)
{
  return stream->last_sent_ms == 0 || now_ms - stream->last_sent_ms >= pause_ms;
}
