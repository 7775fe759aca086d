/* net_link.c -- one connection between entry hosts: its state, and what waits to be sent on it
 *
 * net_send () writes to the socket directly if nothing is queued, which avoids a thread switch in
 * the common case.  Bytes that the socket does not accept remain queued and are sent when epoll
 * reports the socket as writable.
 *
 * Invariant: frames are sent completely and in order, because the queue is not
 * empty as long as a part of a frame remains to be sent.
 */
#include "wire/net_private.h"

#include "base/counter.h"
#include "base/error.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

void
net_link_set_events (net_t *net, link_t *link, int operation, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = link };

  epoll_ctl (net->epoll_fd, operation, link->fd, &event);
}

void
net_count_closed (const char *cause)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "cause=\"%s\"", cause);
  counter_add (counter_get ("jaytrail_peer_connections_closed_total", labels), 1);
}

bool
net_refuse_link (const char *cause)
{
  net_count_closed (cause);
  return false;
}

link_t *
net_link_new (net_t *net, bool outgoing)
{
  link_t *link = g_new0 (link_t, 1);

  link->fd = -1;
  link->outgoing = outgoing;
  g_queue_init (&link->send_queue);
  link->receive_buffer = g_byte_array_new ();
  link->inbox = inbox_new (net->inbox);
  link->reconnect_delay_ms = RECONNECT_DELAY_MIN_MS;
  g_ptr_array_add (net->links, link);
  return link;
}

void
net_link_free (void *data)
{
  link_t *link = data;

  if (link->fd >= 0)
    close (link->fd);
  g_queue_clear_full (&link->send_queue, (GDestroyNotify) g_bytes_unref);
  g_byte_array_unref (link->receive_buffer);
  inbox_free (link->inbox);
  g_free (link->address);
  g_free (link->data_centre);
  g_free (link->host);
  g_free (link);
}

void
net_link_drop_unfinished (net_t *net, link_t *link)
{
  net->unfinished_bytes -= link->receive_buffer->len;
  link->frame_timeout_at_ms = 0;
  if (link->receive_buffer->len == 0)
    return;
  g_byte_array_unref (link->receive_buffer);
  link->receive_buffer = g_byte_array_new ();
}

/* Drops the frames that wait for LINK. */
static void
drop_queued (net_t *net, link_t *link)
{
  g_queue_clear_full (&link->send_queue, (GDestroyNotify) g_bytes_unref);
  link->send_offset = 0;
  net->queued_bytes -= link->queued_bytes;
  link->queued_bytes = 0;
}

char *
net_link_close (net_t *net, link_t *link, int64_t now_ms)
{
  char *closed_host = NULL;

  if (link->fd >= 0)
    close (link->fd);
  link->fd = -1;
  drop_queued (net, link);
  link->send_failed = false;
  link->paused = false;
  net_link_drop_unfinished (net, link);
  if (link->outgoing && link->host != NULL
      && g_hash_table_lookup (net->links_by_host, link->host) == link)
    {
      g_hash_table_remove (net->links_by_host, link->host);
      closed_host = g_steal_pointer (&link->host);
    }
  g_clear_pointer (&link->host, g_free);
  if (link->state == LINK_OPEN)
    link->expires_at_ms = now_ms + NET_ADDRESS_RETENTION_MS;
  link->state = LINK_IDLE;
  link->reconnect_at_ms = now_ms + link->reconnect_delay_ms
                          + g_random_int_range (0, (gint32) link->reconnect_delay_ms + 1);
  link->reconnect_delay_ms =
      CLAMP (link->reconnect_delay_ms * 2, RECONNECT_DELAY_MIN_MS, RECONNECT_DELAY_MAX_MS);
  if (!link->outgoing)
    g_ptr_array_remove_fast (net->links, link);
  return closed_host;
}

void
net_link_abort (net_t *net, link_t *link)
{
  link->failed = true;
  net_link_drop_unfinished (net, link);
  shutdown (link->fd, SHUT_RDWR);
}

void
net_link_watch (net_t *net, link_t *link)
{
  uint32_t read_events = link->paused ? 0 : EPOLLIN;
  uint32_t write_events = g_queue_is_empty (&link->send_queue) ? 0 : EPOLLOUT;

  net_link_set_events (net, link, EPOLL_CTL_MOD, read_events | write_events);
}

bool
net_link_flush (net_t *net, link_t *link)
{
  while (!g_queue_is_empty (&link->send_queue))
    {
      GBytes *frame = g_queue_peek_head (&link->send_queue);
      gsize size = 0;
      const char *data = g_bytes_get_data (frame, &size);
      ssize_t sent =
          send (link->fd, data + link->send_offset, size - link->send_offset, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (sent < 0)
        return false;
      link->send_offset += (gsize) sent;
      link->queued_bytes -= (gsize) sent;
      net->queued_bytes -= (gsize) sent;
      net->totals.sent_bytes += sent;
      if (link->send_offset < size)
        continue;
      g_bytes_unref (g_queue_pop_head (&link->send_queue));
      link->send_offset = 0;
      net->totals.sent_frames++;
    }
  net_link_watch (net, link);
  return true;
}

/* Closes the link for which most waits to be sent.  Its peer does not read, or cannot keep up;
 * after the next connection both sides exchange again what may have been lost.  Any thread: the
 * socket is only shut down, and the I/O thread closes the link. */
static void
close_longest_queue (net_t *net)
{
  link_t *longest = net->links->pdata[0];

  for (guint i = 1; i < net->links->len; i++)
    {
      link_t *link = net->links->pdata[i];
      if (link->queued_bytes > longest->queued_bytes)
        longest = link;
    }
  if (longest->queued_bytes == 0)
    return;
  longest->send_failed = true;
  drop_queued (net, longest);
  shutdown (longest->fd, SHUT_RDWR);
  net_count_closed ("unsent_frames");
}

int
net_link_queue (net_t *net, link_t *link, GBytes *frame)
{
  gsize size = g_bytes_get_size (frame);
  bool was_empty = g_queue_is_empty (&link->send_queue);

  if (net->queued_bytes + size > net->buffer_max_bytes)
    close_longest_queue (net);
  if (net->queued_bytes + size > net->buffer_max_bytes || link->send_failed)
    {
      g_bytes_unref (frame);
      return ERROR_FULL;
    }
  g_queue_push_tail (&link->send_queue, frame);
  link->queued_bytes += size;
  net->queued_bytes += size;
  /* A failed connection is closed by the I/O thread, which detects it as well. */
  if (was_empty)
    net_link_flush (net, link);
  return 0;
}
