/* socket.h -- creates and configures the sockets of lib/wire (internal header)
 *
 * The functions keep no state and may be called from any thread.
 */
#ifndef WIRE_SOCKET_H
#define WIRE_SOCKET_H

#include <sys/socket.h>

/* Parses "IP:port" into STORAGE.  Returns the size of the socket address, or 0 if
 * ADDRESS is malformed. */
socklen_t socket_parse_address (const char *address, struct sockaddr_storage *storage);

/* Sets the options of a connection between hosts: TCP_NODELAY, keep-alive, and a
 * time-out for data that the peer does not acknowledge. */
void socket_set_options (int fd);

/* Creates a non-blocking socket that listens on "IP:port".  Returns its file
 * descriptor, which the caller closes, or -1. */
int socket_listen (const char *address);

#endif
