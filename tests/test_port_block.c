/* test_port_block.c -- blocks of ports: which one is taken */
#include "tests/port_block.h"
#include "tests/unit_runner.h"
#include "wire/socket.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <unistd.h>

#define PORTS 4
static const port_range_t test_ports = { .first_port = 19960, .ports = PORTS, .blocks = 10 };

static const struct
{
  const char *name;
  int port; /* of the block, in use by a process that does not hold the block */
} port_cases[] = {
  { "the first port of the block", 0 },
  { "a port within the block", 1 },
  { "the last port that is for use", PORTS - 2 },
};

/* Processes that a killed test left behind kept the ports of a block, and the tests that took the
 * block next failed. */
static void
test_block_with_a_port_in_use (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (port_cases); i++)
    {
      port_block_t first;
      port_block_t second;

      CU_ASSERT_EQUAL_FATAL (port_block_take (&test_ports, &first), 0);
      char *address = g_strdup_printf ("127.0.0.1:%d", first.first_port + port_cases[i].port);
      int fd = socket_listen (address);
      CU_ASSERT_TRUE (fd >= 0);
      port_block_free (&first);
      CU_ASSERT_EQUAL_FATAL (port_block_take (&test_ports, &second), 0);
      if (second.first_port == first.first_port)
        printf ("  %s\n", port_cases[i].name);
      CU_ASSERT_NOT_EQUAL (second.first_port, first.first_port);
      port_block_free (&second);
      close (fd);
      g_free (address);
    }
}

/* A block that is held is not taken again, and can be once it is free. */
static void
test_block_is_held (void)
{
  port_block_t first;
  port_block_t second;

  CU_ASSERT_EQUAL_FATAL (port_block_take (&test_ports, &first), 0);
  CU_ASSERT_EQUAL_FATAL (port_block_take (&test_ports, &second), 0);
  CU_ASSERT_NOT_EQUAL (first.first_port, second.first_port);
  port_block_free (&second);
  port_block_free (&first);
}

static const unit_test_t tests[] = {
  { "a block with a port in use", test_block_with_a_port_in_use },
  { "a block is held", test_block_is_held },
};

int
main (void)
{
  return unit_run ("port block", tests, G_N_ELEMENTS (tests));
}
