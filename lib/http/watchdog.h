/* watchdog.h -- enforces the deadlines of HTTP exchanges (private to lib/http)
 *
 * CivetWeb's client reads a body without a timeout and does not expose its socket.  The
 * socket is therefore identified by its peer address after a connect.  A thread shuts it
 * down when the deadline of its exchange has passed, which unblocks the reader.
 */
#ifndef HTTP_WATCHDOG_H
#define HTTP_WATCHDOG_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int fd;                 /* -1: not monitored */
  int64_t deadline_at_ms; /* boot clock */
  bool timed_out;         /* the socket was shut down */
} watchdog_entry_t;

/* Starts to monitor ENTRY, which must stay valid until watchdog_remove ().  May be called
 * from any thread. */
void watchdog_add (watchdog_entry_t *entry);

/* Stops monitoring ENTRY.  Returns whether its socket was shut down. */
bool watchdog_remove (watchdog_entry_t *entry);

/* Finds a socket of this process that is connected to ADDRESS (IP:port) and not yet
 * claimed, and claims it.  Returns the descriptor, or -1 if there is none.  The caller
 * must ensure that no two connects to the same address overlap. */
int watchdog_claim_socket (const char *address);

/* Releases the claim on FD; must be called before the socket is closed.  A negative FD
 * is a no-op. */
void watchdog_release_socket (int fd);

#endif
