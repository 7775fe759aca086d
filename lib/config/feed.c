/* feed.c -- one log stream in order, and its last records for peers
 *
 * KEPT holds the records of [begin, next) that the log had when they were
 * read; a batch for a peer says by its range what it covers.
 */
#include "config/feed.h"

struct feed_t
{
  feed_ops_t ops;
  size_t keep_bytes;
  size_t kept_bytes;
  int64_t begin;
  int64_t next;
  GQueue kept; /* of log_record_t * */
};

feed_t *
feed_new (const feed_ops_t *ops, size_t keep_bytes)
{
  feed_t *feed = g_new0 (feed_t, 1);
  feed->ops = *ops;
  feed->keep_bytes = keep_bytes;
  g_queue_init (&feed->kept);
  return feed;
}

static void
record_free (gpointer data)
{
  log_record_t *record = data;
  g_bytes_unref (record->data);
  g_free (record);
}

void
feed_free (feed_t *feed)
{
  if (feed == NULL)
    return;
  g_queue_clear_full (&feed->kept, record_free);
  g_free (feed);
}

static void
keep (feed_t *feed, const log_record_t *record)
{
  log_record_t *copy = g_new (log_record_t, 1);
  *copy = *record;
  g_bytes_ref (copy->data);
  g_queue_push_tail (&feed->kept, copy);
  feed->kept_bytes += g_bytes_get_size (copy->data) + sizeof *copy;
  while (feed->kept_bytes > feed->keep_bytes)
    {
      log_record_t *oldest = g_queue_pop_head (&feed->kept);
      feed->kept_bytes -= g_bytes_get_size (oldest->data) + sizeof *oldest;
      feed->begin = oldest->offset + 1;
      record_free (oldest);
    }
}

/* What is kept begins at NEXT again. */
static void
restart (feed_t *feed, int64_t next)
{
  g_queue_clear_full (&feed->kept, record_free);
  feed->kept_bytes = 0;
  feed->begin = next;
  feed->next = next;
}

static void
apply (feed_t *feed, const log_record_t *record)
{
  feed->next = record->offset + 1;
  keep (feed, record);
  feed->ops.record (record, feed->ops.data);
}

feed_result_t
feed_add (feed_t *feed, const log_batch_t *batch)
{
  if (batch->next <= feed->next && batch->first <= feed->next)
    return FEED_OLD;
  if (batch->from > feed->next)
    return FEED_GAP;
  if (batch->first > feed->next)
    {
      restart (feed, batch->first);
      if (feed->ops.lost)
        feed->ops.lost (batch->first, feed->ops.data);
    }
  for (guint i = 0; i < batch->records->len; i++)
    {
      const log_record_t *record = &g_array_index (batch->records, log_record_t, i);
      if (record->offset >= feed->next)
        apply (feed, record);
    }
  feed->next = MAX (feed->next, batch->next);
  return FEED_APPLIED;
}

int64_t
feed_next (const feed_t *feed)
{
  return feed->next;
}

void
feed_skip (feed_t *feed, int64_t next)
{
  if (next > feed->next)
    restart (feed, next);
}

bool
feed_keeps (const feed_t *feed, int64_t from)
{
  return from >= feed->begin;
}

log_batch_t *
feed_since (const feed_t *feed, int64_t from, size_t max_bytes)
{
  log_batch_t *batch = log_batch_new (from, feed->begin, MAX (from, feed->next));
  size_t bytes = 0;
  for (const GList *link = feed->kept.head; link; link = link->next)
    {
      const log_record_t *record = link->data;
      if (record->offset < from)
        continue;
      if (bytes > 0 && bytes + g_bytes_get_size (record->data) > max_bytes)
        {
          batch->next = record->offset;
          break;
        }
      bytes += g_bytes_get_size (record->data);
      log_batch_add (batch, record->offset, record->at_ms, record->data);
    }
  batch->end = feed->next;
  return batch;
}
