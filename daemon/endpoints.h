/* endpoints.h -- calls to endpoints on traffic threads, over kept connections
 *
 * A call is made by one thread of a bounded pool.  DONE runs on the control
 * thread, exactly once for each call, at the latest ENDPOINT_GRACE_MS after the
 * call's deadline, also if the endpoint never closes its connection.
 */
#ifndef DAEMON_ENDPOINTS_H
#define DAEMON_ENDPOINTS_H

#include "daemon/part.h"
#include "daemon/part_dispatch.h"

/* A call that has no outcome this long after its deadline is reported as timed
 * out, while its thread waits on. */
#define ENDPOINT_GRACE_MS 500

typedef struct endpoints_t endpoints_t;

/* How a call ended. */
typedef struct
{
  dispatch_outcome_t outcome;
  int status;       /* of a whole answer */
  GByteArray *body; /* of a whole answer; the callee takes it over */
  int64_t elapsed_us;
} endpoint_result_t;

typedef void (*endpoint_done_t) (endpoint_result_t *result, void *data);

typedef struct
{
  const char *address;
  const char *kind;
  const char *key;
  const char *task;
  const char *plan;
  GBytes *body;
  int64_t deadline_at_ms;      /* boot clock */
  int64_t deadline_wall_at_ms; /* for the endpoint */
} endpoint_call_t;

endpoints_t *endpoints_new (daemon_t *daemon);

/* Starts CALL; everything in it is copied or referenced.  Control thread. */
void endpoints_call (endpoints_t *endpoints,
                     const endpoint_call_t *call,
                     endpoint_done_t done,
                     void *data);

/* Reports calls that are overdue.  Control thread, every tick. */
void endpoints_tick (endpoints_t *endpoints, int64_t now_ms);

#endif
