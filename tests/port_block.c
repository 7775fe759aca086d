/* port_block.c -- blocks of TCP ports for test programs that run side by side */
#include "tests/port_block.h"

#include "wire/socket.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <unistd.h>

static int
listen_on (int port)
{
  char *address = g_strdup_printf ("127.0.0.1:%d", port);
  int fd = socket_listen (address);

  g_free (address);
  return fd;
}

/* Processes of a test that was killed may still listen on ports of a block that nobody holds. */
static bool
ports_are_free (int first_port, int ports)
{
  for (int port = first_port; port < first_port + ports; port++)
    {
      int fd = listen_on (port);
      if (fd < 0)
        return false;
      close (fd);
    }
  return true;
}

int
port_block_take (const port_range_t *range, port_block_t *block)
{
  for (int i = 0; i < range->blocks; i++)
    {
      int first_port = range->first_port + i * range->ports;
      int lock_fd = listen_on (first_port + range->ports - 1);

      if (lock_fd < 0)
        continue;
      if (ports_are_free (first_port, range->ports - 1))
        {
          *block = (port_block_t){ first_port, lock_fd };
          return 0;
        }
      close (lock_fd);
    }
  return -EADDRINUSE;
}

void
port_block_free (port_block_t *block)
{
  close (block->lock_fd);
  block->lock_fd = -1;
}
