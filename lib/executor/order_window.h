/* order_window.h -- how many start orders of an owner may be unanswered; private to lib/executor
 *
 * All orders and answers of an owner pass the link and the processor of its host.  If even the
 * quickest answers of an interval are later than usual, the delay is taken for the host's own.  The
 * window then shrinks, so that what the link does not carry waits in the queue of tasks, where the
 * most urgent goes first and what is too late is refused, and not in the link, where heartbeats and
 * polls would wait behind it.  The window grows again while the quickest answers are prompt.  It
 * needs no knowledge of the link's speed, and follows one that changes.
 *
 * The functions are pure.  Times are milliseconds of the boot clock.  Not thread-safe.
 */
#ifndef EXECUTOR_ORDER_WINDOW_H
#define EXECUTOR_ORDER_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/* Calls that were sent within some milliseconds. */
typedef struct
{
  int64_t sent_at_ms;   /* of the first one */
  uint64_t last_serial; /* of the last one */
} order_window_calls_t;

#define ORDER_WINDOW_CALLS 64

typedef struct
{
  int32_t limit;           /* start orders that may be unanswered */
  int32_t in_flight;       /* start orders that are unanswered */
  int32_t calls_in_flight; /* these and other calls that endpoints answer at once */
  order_window_calls_t calls[ORDER_WINDOW_CALLS]; /* those of the last time, as a ring */
  uint32_t calls_count;                           /* of all elements that were stored there */
  uint64_t answered_serial;                       /* of the newest call that has been answered */
  int64_t answered_sent_at_ms; /* when it was sent, or a later call while nothing was under way */
  int64_t probe_at_ms;         /* at LIMIT_MIN: when the usual time is measured anew; else 0 */
  int64_t probe_ends_at_ms;    /* while that lasts; else 0 */
  int64_t probe_quickest_ms;   /* quickest answer of it; INT64_MAX if there is none */
  /* Of the present interval: */
  int64_t interval_ends_at_ms;
  int32_t most_in_flight;
  int32_t ended;        /* start orders that were answered or given up */
  bool was_full;        /* a task has waited for the window */
  int64_t sent_core_ms; /* work that was started */
  int64_t quickest_ms;  /* quickest answer; INT64_MAX if there is none */
  /* Of the last interval with answers: */
  int64_t delay_ms;          /* the quickest one, less the usual one */
  int64_t usual_ms;          /* quickest answers of the epochs before; INT64_MAX if there is none */
  int64_t epoch_quickest_ms; /* quickest answer of the present epoch, likewise */
  int64_t epoch_ends_at_ms;
  double cores_milli; /* cores that the starts of the last intervals keep busy, in thousandths */
  int64_t limiting_since_ms; /* since then the window has limited the starts, */
  int64_t limiting_until_ms; /* and until then it counts as doing so */
} order_window_t;

void order_window_init (order_window_t *window);

/* Ends the present interval, and adjusts the window, if it is time.  Call every few milliseconds.
 */
void order_window_step (order_window_t *window, int64_t now_ms);

/* True if another start order may be sent. */
bool order_window_is_open (const order_window_t *window);

/* Records that a task waits because the window is not open. */
void order_window_record_wait (order_window_t *window);

/* Records that a start order was sent, for a task of CORE_MS core-milliseconds. */
void order_window_record_start (order_window_t *window, int64_t core_ms);

/* Records that a start order was answered or given up. */
void order_window_record_end (order_window_t *window);

/* Records that a call was sent, a start order among them, which endpoints answer at once.  SERIAL
 * rises with each call. */
void order_window_record_call (order_window_t *window, uint64_t serial, int64_t now_ms);

/* Records that such a call was answered or given up. */
void order_window_record_call_end (order_window_t *window);

/* Records that an endpoint has answered such a call, which was sent at SENT_AT_MS. */
void order_window_record_answer (order_window_t *window,
                                 uint64_t serial,
                                 int64_t sent_at_ms,
                                 int64_t now_ms);

/* For how long this host itself delays its calls: unanswered calls are late only after that. */
int64_t order_window_delay_ms (const order_window_t *window, int64_t now_ms);

/* True if the window, and not the endpoints, has limited the starts a short time ago. */
bool order_window_is_limiting (const order_window_t *window, int64_t now_ms);

/* Start orders that may be sent now; INT32_MAX unless the window is limiting. */
int32_t order_window_room (const order_window_t *window, int64_t now_ms);

/* Cores that the starts keep busy, in thousandths; INT64_MAX unless the window is limiting. */
int64_t order_window_cores_milli (const order_window_t *window, int64_t now_ms);

#endif
