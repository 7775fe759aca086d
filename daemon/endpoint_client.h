/* endpoint_client.h -- HTTP calls to endpoints on traffic threads, with persistent connections
 *
 * Each call runs on a thread of a bounded pool.  DONE runs on the control thread,
 * exactly once for each call, at the first tick that is more than
 * ENDPOINT_GRACE_MS after the deadline of the call at the latest, even if the
 * endpoint never answers and never closes the connection.
 */
#ifndef DAEMON_ENDPOINT_CLIENT_H
#define DAEMON_ENDPOINT_CLIENT_H

#include "daemon/part.h"
#include "daemon/part_dispatch.h"

/* A call without an outcome this long after its deadline is reported as timed out.  Its
 * thread stays blocked until the exchange ends. */
#define ENDPOINT_GRACE_MS 500

typedef struct endpoint_client_t endpoint_client_t;

/* How a call ended. */
typedef struct
{
  dispatch_outcome_t outcome;
  int status;       /* of a complete answer */
  GByteArray *body; /* of a complete answer; DONE takes ownership */
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
  int64_t deadline_wall_ms; /* wall clock; sent to the endpoint */
} endpoint_call_t;

endpoint_client_t *endpoint_client_new (daemon_t *daemon);

/* Starts CALL, whose contents are copied or referenced.  Control thread. */
void endpoint_client_call (endpoint_client_t *client,
                           const endpoint_call_t *call,
                           endpoint_done_t done,
                           void *data);

/* Reports overdue calls as timed out and closes expired connections.  Called on the control
 * thread in every tick. */
void endpoint_client_tick (endpoint_client_t *client, int64_t now_ms);

#endif
