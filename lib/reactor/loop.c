/* loop.c -- single-threaded event loop with a periodic tick and a queue of posted calls
 *
 * Posted calls are queued under a lock.  An eventfd wakes the loop once for all queued
 * calls, so that a burst of them costs one system call.
 */
#include "reactor/loop.h"

#include <event2/event.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <sys/eventfd.h>
#include <unistd.h>

typedef struct
{
  loop_fn_t fn;
  void *data;
} posted_call_t;

struct loop_t
{
  struct event_base *base;
  struct event *tick_event;
  struct event *wake_event;
  struct event *deferred_event;
  bool deferred_pending;
  loop_fn_t deferred;
  GPtrArray *signal_events;
  int wake_fd;
  loop_fn_t tick;
  void *data;
  pthread_mutex_t lock;
  GArray *posts;     /* posted_call_t, under LOCK */
  GArray *running;   /* calls being run; swapped with POSTS */
  bool wake_pending; /* the eventfd has been written, under LOCK */
};

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  loop_t *loop = data;

  (void) fd;
  (void) what;
  loop->tick (loop->data);
}

static void
on_deferred (evutil_socket_t fd, short what, void *data)
{
  loop_t *loop = data;

  (void) fd;
  (void) what;
  loop->deferred_pending = false;
  loop->deferred (loop->data);
}

static void
on_wake (evutil_socket_t fd, short what, void *data)
{
  loop_t *loop = data;
  uint64_t count = 0;

  (void) what;
  (void) !read (fd, &count, sizeof count);
  pthread_mutex_lock (&loop->lock);
  GArray *posts = loop->posts;
  loop->posts = loop->running;
  loop->running = posts;
  loop->wake_pending = false;
  pthread_mutex_unlock (&loop->lock);
  for (guint i = 0; i < posts->len; i++)
    {
      const posted_call_t *post = &g_array_index (posts, posted_call_t, i);
      post->fn (post->data);
    }
  g_array_set_size (posts, 0);
}

loop_t *
loop_new (int64_t tick_ms, loop_fn_t tick, void *data)
{
  struct event_config *config = event_config_new ();
  loop_t *loop = g_new0 (loop_t, 1);

  event_config_set_flag (config, EVENT_BASE_FLAG_NOLOCK | EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST
                                     | EVENT_BASE_FLAG_PRECISE_TIMER);
  loop->base = event_base_new_with_config (config);
  event_config_free (config);
  loop->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (loop->base == NULL || loop->wake_fd < 0)
    {
      g_free (loop);
      return NULL;
    }
  loop->tick = tick;
  loop->data = data;
  pthread_mutex_init (&loop->lock, NULL);
  loop->posts = g_array_new (FALSE, FALSE, sizeof (posted_call_t));
  loop->running = g_array_new (FALSE, FALSE, sizeof (posted_call_t));
  loop->signal_events = g_ptr_array_new_with_free_func ((GDestroyNotify) event_free);
  struct timeval period = { tick_ms / 1000, (tick_ms % 1000) * 1000 };
  loop->tick_event = event_new (loop->base, -1, EV_PERSIST, on_tick, loop);
  event_add (loop->tick_event, &period);
  loop->wake_event = event_new (loop->base, loop->wake_fd, EV_READ | EV_PERSIST, on_wake, loop);
  event_add (loop->wake_event, NULL);
  loop->deferred_event = event_new (loop->base, -1, 0, on_deferred, loop);
  return loop;
}

void
loop_set_deferred (loop_t *loop, loop_fn_t fn)
{
  loop->deferred = fn;
}

void
loop_defer (loop_t *loop)
{
  struct timeval at_once = { 0 };

  if (loop->deferred_pending)
    return;
  loop->deferred_pending = true;
  event_add (loop->deferred_event, &at_once);
}

void
loop_post (loop_t *loop, loop_fn_t fn, void *data)
{
  posted_call_t post = { fn, data };
  uint64_t one = 1;

  pthread_mutex_lock (&loop->lock);
  g_array_append_val (loop->posts, post);
  bool wake = !loop->wake_pending;
  loop->wake_pending = true;
  pthread_mutex_unlock (&loop->lock);
  if (wake)
    (void) !write (loop->wake_fd, &one, sizeof one);
}

typedef struct
{
  loop_fn_t fn;
  void *data;
} signal_handler_t;

static void
on_signal (evutil_socket_t signal_number, short what, void *data)
{
  const signal_handler_t *handler = data;

  (void) signal_number;
  (void) what;
  handler->fn (handler->data);
}

void
loop_on_signal (loop_t *loop, int signal_number, loop_fn_t fn, void *data)
{
  /* Never freed: a signal handler stays in use until the process exits. */
  signal_handler_t *handler = g_new0 (signal_handler_t, 1);

  handler->fn = fn;
  handler->data = data;
  struct event *event = evsignal_new (loop->base, signal_number, on_signal, handler);
  event_add (event, NULL);
  g_ptr_array_add (loop->signal_events, event);
}

void
loop_run (loop_t *loop)
{
  event_base_dispatch (loop->base);
}

static void
exit_loop (void *data)
{
  event_base_loopbreak (((loop_t *) data)->base);
}

void
loop_stop (loop_t *loop)
{
  loop_post (loop, exit_loop, loop);
}

void
loop_free (loop_t *loop)
{
  if (loop == NULL)
    return;
  event_free (loop->tick_event);
  event_free (loop->wake_event);
  event_free (loop->deferred_event);
  g_ptr_array_unref (loop->signal_events);
  event_base_free (loop->base);
  close (loop->wake_fd);
  g_array_unref (loop->posts);
  g_array_unref (loop->running);
  pthread_mutex_destroy (&loop->lock);
  g_free (loop);
}

struct event_base *
loop_event_base (loop_t *loop)
{
  return loop->base;
}
