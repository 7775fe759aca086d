/* base_example.c -- uses error kinds, clocks, counters, hashes and log messages */
#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"

#include <stdio.h>

int
main (void)
{
  const error_row_t *row = error_row (ERROR_OVERLOADED);
  counter_t *counter = counter_get ("example_total", "kind=\"check\"");
  GString *text = g_string_new (NULL);

  log_setup (LOG_LEVEL_INFO, false, "a1");
  log_info ("example", "Started.", "key", "k1", NULL);
  printf ("%s is answered with %d: %s\n", row->name, row->http_status, row->message);
  printf ("a1 weighs more for k1 than a2: %d\n",
          hash_rendezvous ("k1", "a1") > hash_rendezvous ("k1", "a2"));
  counter_add (counter, 2);
  counter_print (text);
  printf ("%s", text->str);
  g_string_free (text, TRUE);
  return clock_boot_ms () > 0 ? 0 : 1;
}
