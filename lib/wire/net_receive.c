/* net_receive.c -- reads the frames that come from entry hosts, and limits what is kept of them
 *
 * A link is not read while too many of its frames, or of those of all links, have not been handled.
 */
#include "wire/net_private.h"

#include "base/clock.h"
#include "base/counter.h"

#include <errno.h>
#include <sys/socket.h>

#define READ_CHUNK_BYTES 65536
/* A link is read for at most this many chunks before the other links have their turn. */
#define READ_CHUNKS_MAX 16
/* Maximum size of a HELLO, with room for fields that later versions append.  Until it has come,
 * nothing larger is kept for a link. */
#define HELLO_MAX_BYTES 4096
/* A link is not read while more than this of what came from it has not been handled. */
#define UNHANDLED_MAX_BYTES (8 * 1024 * 1024)

static bool
is_blocked (net_t *net, GHashTable *set, const link_t *link)
{
  pthread_mutex_lock (&net->lock);
  bool blocked = link->data_centre != NULL && g_hash_table_contains (set, link->data_centre);
  pthread_mutex_unlock (&net->lock);
  return blocked;
}

static bool
handle_frame (net_t *net, link_t *link, const guint8 *data, gsize size)
{
  frame_reader_t *reader = NULL;
  bool keep = true;

  if (is_blocked (net, net->blocked_in, link))
    return true;
  if (frame_parse (data, size, &reader) != 0)
    return false;
  if (frame_type (reader) == FRAME_HELLO)
    keep = net_handle_hello (net, link, reader);
  else if (link->host == NULL)
    keep = false;
  else
    {
      GBytes *frame = inbox_frame (link->inbox, data, size);
      net->ops->on_frame (link->host, frame, net->data);
      g_bytes_unref (frame);
    }
  frame_reader_free (reader);
  return keep;
}

static void
count_received (net_t *net, gsize size)
{
  pthread_mutex_lock (&net->lock);
  net->totals.received_frames++;
  net->totals.received_bytes += (int64_t) size;
  pthread_mutex_unlock (&net->lock);
}

/* Removes the first SIZE bytes of the receive buffer, which have been handled.  A buffer that has
 * become empty gives its memory back. */
static void
drop_handled (net_t *net, link_t *link, gsize size)
{
  if (size > 0 && size == link->receive_buffer->len)
    net_link_drop_unfinished (net, link);
  else if (size > 0)
    {
      g_byte_array_remove_range (link->receive_buffer, 0, (guint) size);
      net->unfinished_bytes -= size;
      link->frame_timeout_at_ms = 0;
    }
  if (link->receive_buffer->len > 0 && link->frame_timeout_at_ms == 0)
    link->frame_timeout_at_ms = clock_boot_ms () + FRAME_TIMEOUT_MS;
}

/* Processes all complete frames in the receive buffer.  Returns false if LINK must
 * be closed. */
static bool
handle_received_frames (net_t *net, link_t *link)
{
  gsize offset = 0;

  while (link->receive_buffer->len - offset >= FRAME_LENGTH_BYTES)
    {
      const guint8 *at = link->receive_buffer->data + offset;
      gsize size = (gsize) at[0] << 24 | (gsize) at[1] << 16 | (gsize) at[2] << 8 | at[3];
      if (size > (link->host != NULL ? FRAME_MAX_BYTES : HELLO_MAX_BYTES))
        return net_refuse_link (link->host != NULL ? "frame_size" : "hello_size");
      if (link->receive_buffer->len - offset - FRAME_LENGTH_BYTES < size)
        break;
      count_received (net, FRAME_LENGTH_BYTES + size);
      /* A HELLO may have closed this link, with its buffer, as one too many. */
      if (!handle_frame (net, link, at + FRAME_LENGTH_BYTES, size) || link->failed)
        return false;
      offset += FRAME_LENGTH_BYTES + size;
    }
  drop_handled (net, link, offset);
  return true;
}

/* Closes the link that has most of an incomplete frame, while all together have too much. */
static void
limit_unfinished_frames (net_t *net)
{
  pthread_mutex_lock (&net->lock);
  while (net->unfinished_bytes > net->buffer_max_bytes)
    {
      link_t *largest = net->links->pdata[0];
      for (guint i = 1; i < net->links->len; i++)
        {
          link_t *link = net->links->pdata[i];
          if (link->receive_buffer->len > largest->receive_buffer->len)
            largest = link;
        }
      net_link_abort (net, largest);
      net_count_closed ("unfinished_frames");
    }
  pthread_mutex_unlock (&net->lock);
}

void
net_set_paused (net_t *net, link_t *link, bool paused)
{
  if (paused && !link->paused)
    counter_add (counter_get ("jaytrail_peer_reads_paused_total", NULL), 1);
  link->paused = paused;
  net_link_watch (net, link);
}

bool
net_is_inbox_full (const net_t *net, const link_t *link)
{
  return inbox_is_full (link->inbox, UNHANDLED_MAX_BYTES)
         || inbox_is_full (net->inbox, net->buffer_max_bytes);
}

/* Returns true if LINK must not be read now. */
static bool
pause_if_full (net_t *net, link_t *link)
{
  if (!net_is_inbox_full (net, link))
    return false;
  pthread_mutex_lock (&net->lock);
  net_set_paused (net, link, true);
  pthread_mutex_unlock (&net->lock);
  return true;
}

bool
net_receive_frames (net_t *net, link_t *link, bool ended)
{
  guint8 chunk[READ_CHUNK_BYTES];

  for (int i = 0; i < READ_CHUNKS_MAX && (ended || !pause_if_full (net, link)); i++)
    {
      ssize_t got = recv (link->fd, chunk, sizeof chunk, 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      if (got <= 0)
        return false;
      link->last_received_ms = clock_boot_ms ();
      g_byte_array_append (link->receive_buffer, chunk, (guint) got);
      net->unfinished_bytes += (gsize) got;
      if (!handle_received_frames (net, link))
        return false;
      limit_unfinished_frames (net);
      if (link->failed)
        return false;
    }
  return true;
}
