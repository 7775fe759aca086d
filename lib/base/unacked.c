/* unacked.c -- how much of what was written to a socket its peer has not acknowledged */
#include "base/unacked.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

int32_t
unacked_bytes (int fd)
{
  int bytes = 0;

  return ioctl (fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}
