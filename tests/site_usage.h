/* site_usage.h -- memory and descriptors that a process of a test holds
 *
 * May be called from any thread.
 */
#ifndef TESTS_SITE_USAGE_H
#define TESTS_SITE_USAGE_H

#include <stdint.h>
#include <sys/types.h>

/* All members are 0 if the process has ended. */
typedef struct
{
  int64_t resident_bytes;
  int64_t resident_max_bytes; /* since its start */
  int descriptors;
  int channels; /* sockets and pipes among them */
} site_usage_t;

/* Reads it from /proc, which PID must be visible in. */
site_usage_t site_read_usage (pid_t pid);

#endif
