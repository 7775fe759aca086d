/* web_budget.h -- what the clients of a web server may make its process hold
 *
 * A process may use so much memory and so many descriptors.  Part of both is reserved for its own
 * connections, files and tables; the rest is what its clients share.  All functions are pure; any
 * thread.
 */
#ifndef REACTOR_WEB_BUDGET_H
#define REACTOR_WEB_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* What a connection holds besides its buffers. */
#define WEB_CONNECTION_BYTES 4096

typedef struct
{
  int64_t memory_bytes; /* 0: no limit is known */
  int64_t sockets;      /* sockets and pipes; 0: no limit is known */
} web_process_limits_t;

typedef struct
{
  int32_t connections_max;
  int64_t held_bytes_max; /* of all connections together, which may exceed it by
                             WEB_CONNECTION_BYTES each while they are idle */
} web_budget_t;

/* What a connection does, in the order in which connections are given up. */
typedef enum
{
  WEB_UNFINISHED, /* a request that is incomplete, or answers that are not read */
  WEB_IDLE,       /* nothing, between requests */
  WEB_WAITING     /* a complete request waits for its answer; only input sent ahead counts */
} web_phase_t;

typedef struct
{
  web_phase_t phase;
  int64_t bytes; /* that giving the connection up releases and that don't belong to a request which
                    waits for its answer */
} web_held_t;

/* The parts of the process limits that the clients of a busy listener and those of a listener for
 * the operator and the load balancer share.  They are separate, so that a crowd at one listener
 * leaves the other one its own. */
web_budget_t web_budget_for_callers (const web_process_limits_t *limits);
web_budget_t web_budget_for_operator (const web_process_limits_t *limits);

/* Returns whether one more connection may be accepted beside CONNECTIONS. */
bool web_budget_may_accept (const web_budget_t *budget, int32_t connections);

/* Returns whether a complete request may be passed on while all connections hold HELD_BYTES.  If
 * not, it is refused with a status that tells its client to come back. */
bool web_budget_may_serve (const web_budget_t *budget, int64_t held_bytes);

/* Returns whether a connection whose request waits for its answer may read what is sent ahead. */
bool web_budget_may_read_ahead (const web_budget_t *budget, int64_t held_bytes);

/* Returns whether connections have to be given up. */
bool web_budget_is_exceeded (const web_budget_t *budget, int64_t held_bytes);

/* Returns whether a connection that holds A is given up before one that holds B: unfinished
 * requests and unread answers before waiting requests, and those that hold most first. */
bool web_budget_goes_first (const web_held_t *a, const web_held_t *b);

/* Returns whether giving up a connection that holds HELD helps.  False for a waiting request behind
 * which nothing was sent, and for an idle connection: its request may be on its way, and the number
 * of connections is such that idle ones hold at most half of the bytes. */
bool web_budget_may_give_up (const web_held_t *held);

#endif
