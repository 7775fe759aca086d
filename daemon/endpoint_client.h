/* endpoint_client.h -- calls to client on traffic threads, over kept connections
 *
 * A call is made by one thread of a bounded pool.  DONE runs on the control
 * thread, exactly once for each call, at the latest ENDPOINT_GRACE_MS after the
 * call's deadline, also if the endpoint never closes its connection.
 */
#ifndef DAEMON_ENDPOINT_CLIENT_H
#define DAEMON_ENDPOINT_CLIENT_H

#include "daemon/part.h"
#include "daemon/part_dispatch.h"

/* A call that has no outcome this long after its deadline is reported as timed
 * out, while its thread waits on. */
#define ENDPOINT_GRACE_MS 500

typedef struct endpoint_client_t endpoint_client_t;

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
  const char *job_key;
  const char *task_id;
  const char *plan;
  GBytes *body;
  int64_t deadline_at_ms;   /* boot clock */
  int64_t deadline_wall_ms; /* for the endpoint */
} endpoint_call_t;

endpoint_client_t *endpoint_client_new (daemon_t *daemon);

/* Starts CALL; everything in it is copied or referenced.  Control thread. */
void endpoint_client_call (endpoint_client_t *client,
                           const endpoint_call_t *call,
                           endpoint_done_t done,
                           void *data);

/* Reports calls that are overdue.  Control thread, every tick. */
void endpoint_client_tick (endpoint_client_t *client, int64_t now_ms);

#endif
