/* net.c -- connections between entry hosts
 *
 * All links live in one list under one lock.  A dialed link is found by host
 * id once its HELLO has come.  net_send () writes to the socket directly while
 * nothing is queued, which saves a change of threads on the common path; what
 * the socket does not take is queued and flushed when epoll says so.
 *
 * Invariant: bytes of a frame go out whole and in order, because the queue is
 * non-empty from the first byte that was left over until it has been flushed.
 */
#include "wire/net.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "wire/frame.h"
#include "wire/socket.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "net"
#define HELLO_VERSION 1
/* What may wait for one peer before frames to it are dropped. */
#define QUEUE_MAX_BYTES (64 * 1024 * 1024)
/* Reconnects: the wait doubles from the first to the last bound, with jitter. */
#define REDIAL_MIN_MS 50
#define REDIAL_MAX_MS 400
/* A connect, or a greeting, that is not answered is given up after this. */
#define DIAL_MAX_MS 600
/* A connect that was begun before its host showed that it is there is given up after this. */
#define DIAL_LOST_MS 50
#define LOOP_MS 50
#define EVENTS_MAX 64
#define READ_CHUNK_BYTES 65536

typedef enum
{
  LINK_IDLE, /* dialed links only: waits for its next attempt */
  LINK_DIALING,
  LINK_OPEN
} link_state_t;

typedef struct
{
  int fd;
  bool dialed;
  bool permanent;
  bool is_self; /* the address is this host's own */
  link_state_t state;
  char *address;     /* dialed: where to */
  char *data_centre; /* known or expected; may be NULL */
  char *host;        /* from its HELLO, else NULL */
  GQueue out;        /* GBytes */
  gsize out_offset;  /* bytes of the first that are sent */
  gsize out_bytes;
  GByteArray *in;
  int64_t redial_at_ms;
  int64_t redial_wait_ms;
  int64_t dialed_at_ms;
  int64_t give_up_at_ms;
  int64_t forget_at_ms; /* of an address that is not permanent */
} link_t;

struct net_t
{
  net_peer_t self;
  const net_ops_t *ops;
  void *data;
  int listen_fd;
  int epoll_fd;
  int wake_fd;
  GThread *thread;
  atomic_bool stop;
  pthread_mutex_t lock;
  GPtrArray *links;
  GHashTable *by_host; /* host id -> dialed link, open and greeted */
  GHashTable *cut_in;  /* names of data centres */
  GHashTable *cut_out;
  net_totals_t totals;
};

static void
watch (net_t *net, link_t *link, int operation, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = link };

  epoll_ctl (net->epoll_fd, operation, link->fd, &event);
}

/* --- links --- */

static link_t *
link_new (net_t *net, bool dialed)
{
  link_t *link = g_new0 (link_t, 1);

  link->fd = -1;
  link->dialed = dialed;
  g_queue_init (&link->out);
  link->in = g_byte_array_new ();
  link->redial_wait_ms = REDIAL_MIN_MS;
  g_ptr_array_add (net->links, link);
  return link;
}

static void
link_free (void *data)
{
  link_t *link = data;

  if (link->fd >= 0)
    close (link->fd);
  g_queue_clear_full (&link->out, (GDestroyNotify) g_bytes_unref);
  g_byte_array_unref (link->in);
  g_free (link->address);
  g_free (link->data_centre);
  g_free (link->host);
  g_free (link);
}

/* Closes the socket and, for a dialed link, plans the next attempt.  Returns
 * the host id that went down, which the caller frees, or NULL. */
static char *
link_close (net_t *net, link_t *link, int64_t now_ms)
{
  char *gone = NULL;

  if (link->fd >= 0)
    close (link->fd);
  link->fd = -1;
  g_queue_clear_full (&link->out, (GDestroyNotify) g_bytes_unref);
  link->out_offset = 0;
  link->out_bytes = 0;
  g_byte_array_set_size (link->in, 0);
  if (link->dialed && link->host != NULL && g_hash_table_lookup (net->by_host, link->host) == link)
    {
      g_hash_table_remove (net->by_host, link->host);
      gone = g_steal_pointer (&link->host);
    }
  g_clear_pointer (&link->host, g_free);
  if (link->state == LINK_OPEN)
    link->forget_at_ms = now_ms + NET_ADDRESS_RETENTION_MS;
  link->state = LINK_IDLE;
  link->redial_at_ms =
      now_ms + link->redial_wait_ms + g_random_int_range (0, (gint32) link->redial_wait_ms + 1);
  link->redial_wait_ms = CLAMP (link->redial_wait_ms * 2, REDIAL_MIN_MS, REDIAL_MAX_MS);
  if (!link->dialed)
    g_ptr_array_remove_fast (net->links, link);
  return gone;
}

/* Writes what is queued.  Returns false if the connection is broken. */
static bool
link_flush (net_t *net, link_t *link)
{
  while (!g_queue_is_empty (&link->out))
    {
      GBytes *frame = g_queue_peek_head (&link->out);
      gsize size = 0;
      const char *data = g_bytes_get_data (frame, &size);
      ssize_t sent =
          send (link->fd, data + link->out_offset, size - link->out_offset, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (sent < 0)
        return false;
      link->out_offset += (gsize) sent;
      link->out_bytes -= (gsize) sent;
      net->totals.sent_bytes += sent;
      if (link->out_offset < size)
        continue;
      g_bytes_unref (g_queue_pop_head (&link->out));
      link->out_offset = 0;
      net->totals.sent_frames++;
    }
  watch (net, link, EPOLL_CTL_MOD, EPOLLIN | (g_queue_is_empty (&link->out) ? 0 : EPOLLOUT));
  return true;
}

static int
link_queue (net_t *net, link_t *link, GBytes *frame)
{
  gsize size = g_bytes_get_size (frame);
  bool was_empty = g_queue_is_empty (&link->out);

  if (link->out_bytes + size > QUEUE_MAX_BYTES)
    {
      g_bytes_unref (frame);
      return ERROR_FULL;
    }
  g_queue_push_tail (&link->out, frame);
  link->out_bytes += size;
  /* A broken connection is closed by the thread, which sees it too. */
  if (was_empty)
    link_flush (net, link);
  return 0;
}

static GBytes *
make_hello (const net_t *net)
{
  frame_writer_t *writer = frame_begin (FRAME_HELLO);

  frame_put_int (writer, HELLO_VERSION);
  frame_put_string (writer, net->self.host);
  frame_put_string (writer, net->self.data_centre);
  frame_put_uint (writer, net->self.incarnation);
  frame_put_string (writer, net->self.address);
  return frame_finish (writer);
}

/* --- dialing and accepting --- */

static void
link_dial (net_t *net, link_t *link, int64_t now_ms)
{
  struct sockaddr_storage storage;
  socklen_t size = socket_parse_address (link->address, &storage);

  link->fd = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (link->fd < 0)
    {
      link->redial_at_ms = now_ms + REDIAL_MAX_MS;
      return;
    }
  socket_set_options (link->fd);
  if (connect (link->fd, (struct sockaddr *) &storage, size) != 0 && errno != EINPROGRESS)
    {
      g_free (link_close (net, link, now_ms));
      return;
    }
  link->state = LINK_DIALING;
  link->dialed_at_ms = now_ms;
  link->give_up_at_ms = now_ms + DIAL_MAX_MS;
  watch (net, link, EPOLL_CTL_ADD, EPOLLOUT);
}

static bool
finish_dial (net_t *net, link_t *link)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    return false;
  link->state = LINK_OPEN;
  link->give_up_at_ms = clock_boot_ms () + DIAL_MAX_MS;
  return link_queue (net, link, make_hello (net)) == 0;
}

static void
accept_links (net_t *net)
{
  int fd = -1;

  while ((fd = accept4 (net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      socket_set_options (fd);
      pthread_mutex_lock (&net->lock);
      link_t *link = link_new (net, false);
      link->fd = fd;
      link->state = LINK_OPEN;
      link->give_up_at_ms = clock_boot_ms () + DIAL_MAX_MS;
      watch (net, link, EPOLL_CTL_ADD, EPOLLIN);
      pthread_mutex_unlock (&net->lock);
    }
}

/* --- receiving --- */

/* Takes note of a HELLO.  Returns false to close the link. */
static bool
greet (net_t *net, link_t *link, frame_reader_t *reader)
{
  frame_get_int (reader);
  net_peer_t peer = { 0 };
  peer.host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  peer.data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  peer.incarnation = frame_get_uint (reader);
  peer.address = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  bool valid = frame_ok (reader) && peer.host != NULL && peer.data_centre != NULL
               && peer.address != NULL && link->host == NULL;
  bool up = false;
  pthread_mutex_lock (&net->lock);
  if (valid && g_hash_table_contains (net->cut_in, peer.data_centre))
    valid = false;
  if (valid && strcmp (peer.host, net->self.host) == 0)
    {
      /* Either this host itself, or another one with its id: keep no link. */
      link->is_self = peer.incarnation == net->self.incarnation;
      valid = false;
    }
  if (valid)
    {
      link->host = g_strdup (peer.host);
      g_free (link->data_centre);
      link->data_centre = g_strdup (peer.data_centre);
      link->redial_wait_ms = REDIAL_MIN_MS;
    }
  if (valid && link->dialed)
    {
      g_hash_table_replace (net->by_host, link->host, link);
      up = true;
    }
  if (valid && !link->dialed)
    link_queue (net, link, make_hello (net));
  pthread_mutex_unlock (&net->lock);
  if (up)
    net->ops->on_peer_up (&peer, net->data);
  if (valid && !link->dialed)
    net_add_address (net, peer.address, peer.data_centre, false);
  g_free (peer.host);
  g_free (peer.data_centre);
  g_free (peer.address);
  return valid;
}

static bool
is_cut (net_t *net, GHashTable *set, const link_t *link)
{
  pthread_mutex_lock (&net->lock);
  bool cut = link->data_centre != NULL && g_hash_table_contains (set, link->data_centre);
  pthread_mutex_unlock (&net->lock);
  return cut;
}

static bool
deliver (net_t *net, link_t *link, const guint8 *data, gsize size)
{
  frame_reader_t *reader = NULL;
  bool keep = true;

  if (is_cut (net, net->cut_in, link))
    return true;
  if (frame_parse (data, size, &reader) != 0)
    return false;
  if (frame_type (reader) == FRAME_HELLO)
    keep = greet (net, link, reader);
  else if (link->host == NULL)
    keep = false;
  else
    {
      GBytes *frame = g_bytes_new (data, size);
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

/* Delivers the whole frames that have come in. */
static bool
take_frames (net_t *net, link_t *link)
{
  gsize offset = 0;

  while (link->in->len - offset >= FRAME_LENGTH_BYTES)
    {
      const guint8 *at = link->in->data + offset;
      gsize size = (gsize) at[0] << 24 | (gsize) at[1] << 16 | (gsize) at[2] << 8 | at[3];
      if (size > FRAME_MAX_BYTES)
        return false;
      if (link->in->len - offset - FRAME_LENGTH_BYTES < size)
        break;
      count_received (net, FRAME_LENGTH_BYTES + size);
      if (!deliver (net, link, at + FRAME_LENGTH_BYTES, size))
        return false;
      offset += FRAME_LENGTH_BYTES + size;
    }
  if (offset > 0)
    g_byte_array_remove_range (link->in, 0, (guint) offset);
  return true;
}

static bool
receive (net_t *net, link_t *link)
{
  guint8 chunk[READ_CHUNK_BYTES];

  for (;;)
    {
      ssize_t got = recv (link->fd, chunk, sizeof chunk, 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      if (got <= 0)
        return false;
      g_byte_array_append (link->in, chunk, (guint) got);
      if (!take_frames (net, link))
        return false;
    }
}

/* --- the thread --- */

static void
drop_link (net_t *net, link_t *link)
{
  pthread_mutex_lock (&net->lock);
  char *gone = link_close (net, link, clock_boot_ms ());
  pthread_mutex_unlock (&net->lock);
  if (gone != NULL)
    net->ops->on_peer_down (gone, net->data);
  g_free (gone);
}

static void
serve_link (net_t *net, link_t *link, uint32_t events)
{
  bool keep = true;

  if (link->state == LINK_IDLE)
    return;
  if (events & EPOLLOUT)
    {
      pthread_mutex_lock (&net->lock);
      keep = link->state == LINK_DIALING ? finish_dial (net, link) : link_flush (net, link);
      pthread_mutex_unlock (&net->lock);
    }
  if (keep && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    keep = receive (net, link);
  if (!keep)
    drop_link (net, link);
}

static bool
is_due (const link_t *link, int64_t now_ms)
{
  return link->dialed && !link->is_self && link->state == LINK_IDLE && now_ms >= link->redial_at_ms;
}

/* Not connected, or not greeted, in time. */
static bool
is_unanswered (const link_t *link, int64_t now_ms)
{
  bool open = link->state == LINK_DIALING || (link->state == LINK_OPEN && link->host == NULL);

  return open && now_ms >= link->give_up_at_ms;
}

static bool
is_forgotten (const link_t *link, int64_t now_ms)
{
  return link->dialed && !link->permanent && link->state == LINK_IDLE
         && now_ms >= link->forget_at_ms;
}

static void
dial_due (net_t *net)
{
  int64_t now_ms = clock_boot_ms ();

  pthread_mutex_lock (&net->lock);
  for (guint i = 0; i < net->links->len; i++)
    {
      link_t *link = net->links->pdata[i];
      if (is_unanswered (link, now_ms))
        {
          bool stays = link->dialed;
          g_free (link_close (net, link, now_ms));
          if (!stays)
            {
              i--;
              continue;
            }
        }
      if (is_due (link, now_ms))
        link_dial (net, link, now_ms);
      if (is_forgotten (link, now_ms))
        g_ptr_array_remove_index_fast (net->links, i--);
    }
  pthread_mutex_unlock (&net->lock);
}

static void *
run (void *data)
{
  net_t *net = data;
  struct epoll_event events[EVENTS_MAX];
  uint64_t woken = 0;

  while (!atomic_load (&net->stop))
    {
      dial_due (net);
      int count = epoll_wait (net->epoll_fd, events, EVENTS_MAX, LOOP_MS);
      for (int i = 0; i < count; i++)
        if (events[i].data.ptr == NULL)
          accept_links (net);
        else if (events[i].data.ptr == net)
          (void) !read (net->wake_fd, &woken, sizeof woken);
        else
          serve_link (net, events[i].data.ptr, events[i].events);
    }
  return NULL;
}

/* Whoever tells of the address of LINK, or greets from there, shows that its host may be back.  The
 * thread dials it at once; a connect from before is given up soon.  Returns false if there is
 * nothing to do. */
static bool
link_hurry (link_t *link)
{
  if (link->state == LINK_IDLE)
    link->redial_at_ms = 0;
  else if (link->state == LINK_DIALING)
    {
      link->give_up_at_ms = MIN (link->give_up_at_ms, link->dialed_at_ms + DIAL_LOST_MS);
      link->redial_wait_ms = 0;
    }
  else
    return false;
  return true;
}

/* --- public --- */

int
net_start (const net_options_t *options, net_t **out)
{
  int listen_fd = socket_listen (options->listen_address);

  if (listen_fd < 0)
    return ERROR_IO;
  net_t *net = g_new0 (net_t, 1);
  net->self.host = g_strdup (options->self.host);
  net->self.data_centre = g_strdup (options->self.data_centre);
  net->self.address = g_strdup (options->self.address);
  net->self.incarnation = options->self.incarnation;
  net->ops = options->ops;
  net->data = options->data;
  net->listen_fd = listen_fd;
  net->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  net->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  pthread_mutex_init (&net->lock, NULL);
  net->links = g_ptr_array_new_with_free_func (link_free);
  net->by_host = g_hash_table_new (g_str_hash, g_str_equal);
  net->cut_in = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net->cut_out = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct epoll_event accept_event = { .events = EPOLLIN, .data.ptr = NULL };
  struct epoll_event wake_event = { .events = EPOLLIN, .data.ptr = net };
  epoll_ctl (net->epoll_fd, EPOLL_CTL_ADD, net->listen_fd, &accept_event);
  epoll_ctl (net->epoll_fd, EPOLL_CTL_ADD, net->wake_fd, &wake_event);
  net->thread = g_thread_new ("net", run, net);
  *out = net;
  return 0;
}

static void
wake (net_t *net)
{
  uint64_t one = 1;

  (void) !write (net->wake_fd, &one, sizeof one);
}

void
net_add_address (net_t *net, const char *address, const char *data_centre, bool permanent)
{
  bool known = strcmp (address, net->self.address) == 0;
  bool due = false;

  if (address_split (address, NULL, NULL) != 0)
    return;
  pthread_mutex_lock (&net->lock);
  for (guint i = 0; i < net->links->len && !known; i++)
    {
      link_t *link = net->links->pdata[i];
      known = link->dialed && strcmp (link->address, address) == 0;
      due = known && link_hurry (link);
    }
  if (!known)
    {
      link_t *link = link_new (net, true);
      link->address = g_strdup (address);
      link->data_centre = g_strdup (data_centre);
      link->permanent = permanent;
      link->forget_at_ms = clock_boot_ms () + NET_ADDRESS_RETENTION_MS;
    }
  pthread_mutex_unlock (&net->lock);
  if (!known || due)
    wake (net);
}

int
net_send (net_t *net, const char *host, GBytes *frame)
{
  int result = ERROR_NOT_CONNECTED;

  pthread_mutex_lock (&net->lock);
  link_t *link = g_hash_table_lookup (net->by_host, host);
  if (link != NULL && link->data_centre != NULL
      && g_hash_table_contains (net->cut_out, link->data_centre))
    {
      result = 0;
      g_bytes_unref (frame);
    }
  else if (link != NULL)
    result = link_queue (net, link, frame);
  else
    g_bytes_unref (frame);
  pthread_mutex_unlock (&net->lock);
  return result;
}

/* The thread closes it: it may be at work on it now. */
void
net_reconnect (net_t *net, const char *host)
{
  pthread_mutex_lock (&net->lock);
  link_t *link = g_hash_table_lookup (net->by_host, host);
  if (link != NULL)
    shutdown (link->fd, SHUT_RDWR);
  pthread_mutex_unlock (&net->lock);
}

static void
set_cut (GHashTable *set, const char *data_centre, bool cut)
{
  if (cut)
    g_hash_table_add (set, g_strdup (data_centre));
  else
    g_hash_table_remove (set, data_centre);
}

void
net_set_partition (net_t *net, const char *data_centre, bool in, bool out)
{
  pthread_mutex_lock (&net->lock);
  set_cut (net->cut_in, data_centre, in);
  set_cut (net->cut_out, data_centre, out);
  pthread_mutex_unlock (&net->lock);
  log_warning (PART, "Test cut changed.", "data_centre", data_centre, "in", in ? "cut" : "open",
               "out", out ? "cut" : "open", NULL);
}

void
net_totals (net_t *net, net_totals_t *totals)
{
  pthread_mutex_lock (&net->lock);
  *totals = net->totals;
  pthread_mutex_unlock (&net->lock);
}

void
net_stop (net_t *net)
{
  if (net == NULL)
    return;
  atomic_store (&net->stop, true);
  wake (net);
  g_thread_join (net->thread);
  g_ptr_array_unref (net->links);
  g_hash_table_unref (net->by_host);
  g_hash_table_unref (net->cut_in);
  g_hash_table_unref (net->cut_out);
  close (net->listen_fd);
  close (net->epoll_fd);
  close (net->wake_fd);
  pthread_mutex_destroy (&net->lock);
  g_free (net->self.host);
  g_free (net->self.data_centre);
  g_free (net->self.address);
  g_free (net);
}
