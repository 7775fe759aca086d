/* loop.h -- one thread's event loop: sockets, a tick, and work from other threads
 *
 * A thin layer over libevent.  Everything that belongs to a loop runs on the
 * thread that calls loop_run (); only loop_post () and loop_stop () may be
 * called from any thread.
 */
#ifndef REACTOR_LOOP_H
#define REACTOR_LOOP_H

#include <stdint.h>

struct event_base;

typedef struct loop_t loop_t;
typedef void (*loop_fn_t) (void *data);

/* Makes a loop that calls TICK with DATA every TICK_MS.  Returns NULL if the
 * system gives no descriptors for it. */
loop_t *loop_new (int64_t tick_ms, loop_fn_t tick, void *data);

/* Calls FN with DATA on the loop's thread, in the order of the posts.  Any
 * thread. */
void loop_post (loop_t *loop, loop_fn_t fn, void *data);

/* Calls the function of loop_set_later () once, after the events that are ready now. */
void loop_later (loop_t *loop);
void loop_set_later (loop_t *loop, loop_fn_t fn);

/* Calls FN with DATA on the loop's thread when SIGNAL_NUMBER arrives. */
void loop_on_signal (loop_t *loop, int signal_number, loop_fn_t fn, void *data);

/* Runs until loop_stop (). */
void loop_run (loop_t *loop);

/* Any thread. */
void loop_stop (loop_t *loop);

void loop_free (loop_t *loop);

/* For the other files of this library. */
struct event_base *loop_base (loop_t *loop);

#endif
