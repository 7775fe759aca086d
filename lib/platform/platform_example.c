/* platform_example.c -- appends to a stream and reads it back: platform_example IP:PORT */
#include "base/error.h"
#include "platform/platform.h"

#include <inttypes.h>
#include <stdio.h>

#define STREAM "example"
#define WAIT_MS 100

int
main (int argc, char **argv)
{
  const char *addresses[] = { argc > 1 ? argv[1] : "127.0.0.1:7000", NULL };
  platform_client_t *client = platform_client_new (addresses, NULL, 0);
  log_batch_t *batch = NULL;
  int64_t offset = 0;

  int result = platform_append (client, STREAM, "hello", 5, PLATFORM_TIMEOUT_MS, &offset);
  if (result == 0)
    result = platform_read (client, STREAM, offset, WAIT_MS, PLATFORM_TIMEOUT_MS, &batch);
  if (result == 0)
    printf ("record at %" PRId64 ", %u read, next %" PRId64 "\n", offset, batch->records->len,
            batch->next_offset);
  else
    printf ("%s\n", error_name (result));
  log_batch_free (batch);
  platform_client_free (client);
  return result == 0 ? 0 : 1;
}
