/* dial.h -- addresses and socket options of lib/reactor (private to it) */
#ifndef REACTOR_DIAL_H
#define REACTOR_DIAL_H

#include <sys/socket.h>

/* Parses IP:port of IPv4.  Returns the size of the address, or 0. */
socklen_t dial_address (const char *address, struct sockaddr_storage *storage);

/* Sends at once, and lets the system notice a peer that is gone. */
void dial_tune (int fd);

#endif
