/* loop.h -- single-threaded event loop with a periodic tick and a queue of posted calls
 *
 * A thin layer over libevent.  All callbacks run on the thread that calls
 * loop_run ().  Only loop_post () and loop_stop () may be called from any thread.
 */
#ifndef REACTOR_LOOP_H
#define REACTOR_LOOP_H

#include <stdint.h>

struct event_base;

typedef struct loop_t loop_t;
typedef void (*loop_fn_t) (void *data);

/* Creates a loop that calls TICK with DATA every TICK_MS.  Returns NULL if its file
 * descriptors cannot be created.  Freed with loop_free (). */
loop_t *loop_new (int64_t tick_ms, loop_fn_t tick, void *data);

/* Queues a call of FN with DATA on the loop's thread; queued calls run in order.  May be
 * called from any thread. */
void loop_post (loop_t *loop, loop_fn_t fn, void *data);

/* Schedules one call of the function set with loop_set_deferred (), after the events that
 * are ready now.  Further calls before it runs have no effect. */
void loop_defer (loop_t *loop);

/* Sets the function that loop_defer () schedules; it receives the DATA of loop_new (). */
void loop_set_deferred (loop_t *loop, loop_fn_t fn);

/* Calls FN with DATA on the loop's thread when SIGNAL_NUMBER arrives. */
void loop_on_signal (loop_t *loop, int signal_number, loop_fn_t fn, void *data);

/* Runs until loop_stop (). */
void loop_run (loop_t *loop);

/* Ends loop_run () after the calls posted before.  May be called from any thread. */
void loop_stop (loop_t *loop);

/* Frees LOOP without running the calls still queued.  NULL is a no-op. */
void loop_free (loop_t *loop);

/* Returns the libevent base of LOOP, for use within lib/reactor. */
struct event_base *loop_event_base (loop_t *loop);

#endif
