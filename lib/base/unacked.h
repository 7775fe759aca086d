/* unacked.h -- how much of what was written to a socket its peer has not acknowledged */
#ifndef BASE_UNACKED_H
#define BASE_UNACKED_H

#include <stdint.h>

/* Returns how many of the bytes written to the socket FD its peer has not acknowledged, or 0 if
 * that is not known.  One system call; any thread. */
int32_t unacked_bytes (int fd);

#endif
