/* socket.h -- the sockets of lib/wire (private to it)
 *
 * All calls may be made from any thread.
 */
#ifndef WIRE_SOCKET_H
#define WIRE_SOCKET_H

#include <sys/socket.h>

/* Fills STORAGE from "IP:port".  Returns its size, or 0 if ADDRESS is not one. */
socklen_t socket_parse_address (const char *address, struct sockaddr_storage *storage);

/* Sets what every connection between hosts has: no delay, keep-alive, and an
 * end when the peer does not acknowledge. */
void socket_set_options (int fd);

/* Listens on "IP:port" without blocking.  Returns the descriptor, or -1. */
int socket_listen (const char *address);

#endif
