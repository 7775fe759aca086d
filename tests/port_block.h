/* port_block.h -- blocks of TCP ports for test programs that run side by side
 *
 * Processes that a test starts listen on ports that the test names.  Each user of a range of ports
 * takes one block of it, and holds the block by listening on its last port: the kernel lets only
 * one process do so, whichever test, build or checkout it belongs to.
 *
 * Ranges must not overlap each other, the ports of tests/system (20000 to 29999), or the ephemeral
 * ports of the system (from 32768).
 */
#ifndef TESTS_PORT_BLOCK_H
#define TESTS_PORT_BLOCK_H

typedef struct
{
  int first_port;
  int ports;  /* in each block; the last one is not for use */
  int blocks; /* in the range */
} port_range_t;

typedef struct
{
  int first_port;
  int lock_fd; /* listens on the last port of the block */
} port_block_t;

/* Takes the first block of RANGE that nobody holds and whose ports are all free.  Returns 0, or
 * -EADDRINUSE if there is none. */
int port_block_take (const port_range_t *range, port_block_t *block);

/* Frees BLOCK for other runs. */
void port_block_free (port_block_t *block);

#endif
