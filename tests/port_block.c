/* port_block.c -- blocks of TCP ports for test programs that run side by side */
#include "tests/port_block.h"

#include "wire/socket.h"

#include <errno.h>
#include <glib.h>
#include <unistd.h>

int
port_block_take (const port_range_t *range, port_block_t *block)
{
  for (int i = 0; i < range->blocks; i++)
    {
      int first_port = range->first_port + i * range->ports;
      char *address = g_strdup_printf ("127.0.0.1:%d", first_port + range->ports - 1);
      int fd = socket_listen (address);

      g_free (address);
      if (fd < 0)
        continue;
      *block = (port_block_t){ first_port, fd };
      return 0;
    }
  return -EADDRINUSE;
}

void
port_block_free (port_block_t *block)
{
  close (block->lock_fd);
  block->lock_fd = -1;
}
