/* open_order.h -- start orders that an endpoint may still carry out; private to lib/executor
 *
 * An order without an answer may be carried out seconds after it was sent.  The instance to which
 * it was sent refuses it when its deadline has passed or a stop has been confirmed.  A later
 * instance under the same id knows of no stop, and its clock starts anew, so that the deadline lies
 * far ahead on it: it has to be told to stop each attempt whose order is open.
 *
 * Times are milliseconds of the boot clock.  Not thread-safe.
 */
#ifndef EXECUTOR_OPEN_ORDER_H
#define EXECUTOR_OPEN_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* An order without an answer may be carried out this long after it was sent. */
#define ORDER_DELAY_MAX_MS 15000

typedef struct
{
  char *task;
  int32_t attempt;
  uint64_t serial;    /* of its call */
  int64_t until_ms;   /* it can't be carried out after that */
  bool answer_due;    /* its call may still be answered */
  bool stop_required; /* the present instance has not confirmed a stop yet */
  bool stopped;       /* the present instance has confirmed a stop */
  int64_t stop_sent_at_ms;
} open_order_t;

/* Returns an array of open_order_t, which owns them.  Freed with g_ptr_array_unref (). */
GPtrArray *open_orders_new (void);

void open_orders_add (GPtrArray *orders,
                      const char *task,
                      int32_t attempt,
                      uint64_t serial,
                      bool answer_due,
                      int64_t until_ms);

/* Records the answer to call SERIAL: its order is not open any more.  Returns false if it was not
 * among ORDERS. */
bool open_orders_answered (GPtrArray *orders, uint64_t serial);

/* Records that call SERIAL will not be answered. */
void open_orders_unanswered (GPtrArray *orders, uint64_t serial);

/* True if the present instance may still start TASK by one of the orders.  Those that will not be
 * answered are to be stopped from then on. */
bool open_orders_may_run (GPtrArray *orders, const char *task);

/* Records that the present instance has confirmed a stop of the attempt.  The order stays, for the
 * instances after it.  Returns false if no stop was required. */
bool open_orders_stopped (GPtrArray *orders, const char *task, int32_t attempt);

/* Removes the orders that can't be carried out any more. */
void open_orders_expire (GPtrArray *orders, int64_t now_ms);

/* Records that a later instance may carry out the orders. */
void open_orders_require_stops (GPtrArray *orders);

/* True if a later instance may start one of the attempts. */
bool open_orders_may_start (const GPtrArray *orders);

#endif
