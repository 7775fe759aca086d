/* tcp.h -- TCP addresses and socket options (private to lib/reactor) */
#ifndef REACTOR_TCP_H
#define REACTOR_TCP_H

#include <sys/socket.h>

/* Parses an IPv4 address in the form IP:port.  Returns the size of the socket address,
 * or 0 if ADDRESS is invalid. */
socklen_t tcp_parse_address (const char *address, struct sockaddr_storage *storage);

/* Disables Nagle's algorithm, and lets the kernel detect an unreachable peer with
 * TCP_USER_TIMEOUT and keep-alive probes. */
void tcp_set_options (int fd);

#endif
