/* watchdog.h -- ends exchanges whose deadline has passed (private to lib/http)
 *
 * CivetWeb's client reads a body without a timeout and does not tell its
 * socket.  The socket is found after a connect by its peer address, and a
 * thread shuts it down when the deadline of its exchange has passed, which
 * wakes the reader.
 */
#ifndef HTTP_WATCHDOG_H
#define HTTP_WATCHDOG_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int fd;
  int64_t deadline_at_ms; /* boot clock */
  bool fired;
} watch_t;

/* Watches WATCH, which must live until watchdog_remove ().  Any thread. */
void watchdog_add (watch_t *watch);

/* Stops watching.  Returns true if the socket was shut down. */
bool watchdog_remove (watch_t *watch);

/* Finds the socket of this process that is connected to ADDRESS (IP:port) and
 * that is not claimed yet, and claims it.  Returns the descriptor, or -1.  The
 * caller makes sure that no two connects to one address overlap. */
int watchdog_claim_socket (const char *address);

/* Gives up the claim, before the socket is closed. */
void watchdog_release_socket (int fd);

#endif
