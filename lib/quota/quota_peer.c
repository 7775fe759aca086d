/* quota_peer.c -- message numbers and reachability of other hosts
 *
 * Between two hosts there are reports and grants in each direction.  The stream
 * as_holder numbers the reports of this host and acknowledges the grants that
 * it receives; as_allocator numbers the grants of this host and acknowledges
 * reports.  A message with a number that is not above the last one received, or
 * from an incarnation that was replaced, is dropped: it could restore a share
 * that has been reclaimed since.
 */
#include "quota/quota_internal.h"

quota_peer_t *
peer_get (quota_t *quota, const char *host, const char *data_centre)
{
  quota_peer_t *peer = g_hash_table_lookup (quota->peers_by_host, host);

  if (peer != NULL || data_centre == NULL)
    return peer;
  peer = g_new0 (quota_peer_t, 1);
  peer->host = g_strdup (host);
  peer->data_centre = g_strdup (data_centre);
  peer->is_remote = !g_str_equal (data_centre, quota->data_centre);
  peer->is_self = g_str_equal (host, quota->host);
  peer->withdrawals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (quota->peers, peer);
  g_hash_table_insert (quota->peers_by_host, peer->host, peer);
  return peer;
}

void
peer_free (void *data)
{
  quota_peer_t *peer = data;

  g_hash_table_unref (peer->withdrawals);
  g_free (peer->host);
  g_free (peer->data_centre);
  g_free (peer);
}

int64_t
with_clock_margin (int64_t duration_ms)
{
  return duration_ms + duration_ms / QUOTA_CLOCK_MARGIN_DIVISOR + 1;
}

int64_t
peer_lease_ms (const quota_peer_t *peer)
{
  return peer->is_remote ? QUOTA_LOAN_LEASE_MS : QUOTA_LEASE_MS;
}

static bool
is_retired (const quota_peer_t *peer, uint64_t incarnation)
{
  for (unsigned i = 0; i < QUOTA_RETIRED_KEPT; i++)
    if (peer->retired_incarnations[i] == incarnation)
      return true;
  return false;
}

/* Handles the first message of a new process of PEER: message numbers begin
 * anew, and the units of the former process become orphans. */
static void
change_incarnation (quota_t *quota, quota_peer_t *peer, uint64_t incarnation, int64_t now_ms)
{
  if (peer->incarnation != 0)
    {
      for (guint i = 0; i < quota->limits->len; i++)
        {
          allocation_orphan_account (quota, quota->limits->pdata[i], peer, now_ms);
          holder_forget_grants (quota->limits->pdata[i], peer);
          loan_forget_grants (quota->limits->pdata[i], peer);
        }
      if (!peer->is_remote)
        quota->last_departure_ms = now_ms;
      peer->retired_incarnations[peer->retired_count++ % QUOTA_RETIRED_KEPT] = peer->incarnation;
    }
  peer->incarnation = incarnation;
  peer->as_holder.acked_sequence = 0;
  peer->as_holder.received_sequence = 0;
  peer->as_allocator.acked_sequence = 0;
  peer->as_allocator.received_sequence = 0;
  peer->vote_until_ms = 0;
}

bool
peer_receive (quota_t *quota,
              quota_peer_t *peer,
              quota_stream_t *stream,
              const quota_header_t *header,
              int64_t now_ms)
{
  if (header->incarnation == 0 || is_retired (peer, header->incarnation))
    return false;
  if (header->incarnation != peer->incarnation)
    change_incarnation (quota, peer, header->incarnation, now_ms);
  peer->last_heard_ms = now_ms;
  peer->is_suspected = false;
  /* The report omits entries that the previous process of this host has
   * acknowledged, and is therefore useless here.  The answer tells the sender
   * of the new incarnation, so that it reports all entries again. */
  if (stream == &peer->as_allocator && header->to_incarnation != 0
      && header->to_incarnation != quota->incarnation)
    {
      stream->reply_due = true;
      return false;
    }
  if (quota->rules.number_messages && header->sequence <= stream->received_sequence)
    return false;
  stream->received_sequence = header->sequence;
  if (header->to_incarnation == quota->incarnation
      && header->acked_sequence <= stream->sent_sequence)
    stream->acked_sequence = header->acked_sequence;
  return true;
}

void
peer_send (quota_t *quota,
           quota_peer_t *peer,
           quota_stream_t *stream,
           quota_message_t *message,
           int64_t now_ms)
{
  stream->sent_sequence++;
  stream->sent_at_ms[stream->sent_sequence % QUOTA_SENT_TIMES_KEPT] = now_ms;
  stream->last_sent_ms = now_ms;
  if (stream->urgent)
    stream->urgent_tat_ms = MAX (stream->urgent_tat_ms, now_ms) + QUOTA_URGENT_INTERVAL_MS;
  stream->urgent = false;
  stream->reply_due = false;
  message->header.incarnation = quota->incarnation;
  message->header.to_incarnation = peer->incarnation;
  message->header.sequence = stream->sent_sequence;
  message->header.acked_sequence = stream->received_sequence;
}

int64_t
stream_acked_sent_ms (const quota_stream_t *stream)
{
  if (stream->acked_sequence == 0
      || stream->acked_sequence + QUOTA_SENT_TIMES_KEPT <= stream->sent_sequence)
    return 0;
  return stream->sent_at_ms[stream->acked_sequence % QUOTA_SENT_TIMES_KEPT];
}

bool
peer_is_reachable (const quota_peer_t *peer)
{
  return peer->is_self || !peer->is_suspected;
}

bool
stream_may_send_urgent (const quota_stream_t *stream, int64_t now_ms)
{
  return stream->urgent
         && stream->urgent_tat_ms - now_ms < QUOTA_URGENT_BURST * QUOTA_URGENT_INTERVAL_MS;
}

bool
stream_interval_has_passed (const quota_stream_t *stream, int64_t now_ms, int64_t interval_ms)
{
  return stream->last_sent_ms == 0 || now_ms - stream->last_sent_ms >= interval_ms;
}
