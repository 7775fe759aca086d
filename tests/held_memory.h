/* held_memory.h -- how much memory the test's process holds, for bounds on crowds
 *
 * Resident memory; with the address sanitizer, which keeps freed memory for a while, what is
 * allocated.  Any thread.
 */
#ifndef TESTS_HELD_MEMORY_H
#define TESTS_HELD_MEMORY_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <unistd.h>

#ifdef __SANITIZE_ADDRESS__
size_t __sanitizer_get_current_allocated_bytes (void);
#endif

/* Returns bytes, or INT64_MAX if they cannot be read. */
static inline int64_t
held_memory_bytes (void)
{
#ifdef __SANITIZE_ADDRESS__
  return (int64_t) __sanitizer_get_current_allocated_bytes ();
#else
  long pages = 0;
  FILE *file = fopen ("/proc/self/statm", "r");

  if (file == NULL)
    return INT64_MAX;
  int count = fscanf (file, "%*s %ld", &pages);
  fclose (file);
  return count == 1 ? (int64_t) pages * sysconf (_SC_PAGESIZE) : INT64_MAX;
#endif
}

#endif
