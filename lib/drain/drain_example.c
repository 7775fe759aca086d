/* drain_example.c -- records drain a data centre and end the drain; another host merges the set */
#include "drain/drain.h"

#include <stdio.h>

static void
show (const char *host, GArray *changes)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const drain_t *change = &g_array_index (changes, drain_t, i);
      printf ("%s: %s %s\n", host, change->data_centre, change->drained ? "drained" : "in use");
    }
  g_array_set_size (changes, 0);
}

int
main (void)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
  drains_t *reader = drains_new ();
  drains_t *other = drains_new ();

  drains_merge (reader, NULL, 0, 5, 0, changes);
  drains_apply_record (reader, "x", 5, true, 10, changes);
  drains_advance (reader, 6);
  show ("reader", changes);
  GArray *list = drains_list (reader, false);
  drains_merge (other, (const drain_t *) (void *) list->data, list->len, drains_end_offset (reader),
                20, changes);
  show ("other", changes);
  drains_apply_record (reader, "x", 6, false, 30, changes);
  show ("reader", changes);
  g_array_unref (list);
  drains_free (other);
  drains_free (reader);
  g_array_unref (changes);
  return 0;
}
