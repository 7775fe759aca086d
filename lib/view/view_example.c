/* view_example.c -- the fold of two records on one base, and a key's replicas */
#include "view/directory.h"

#include <stdio.h>

static void
print_change (view_t *view, view_t *base, void *data)
{
  (void) base;
  (void) data;
  printf ("view %" G_GINT64_FORMAT " of %s has %d seats\n", view->number, view->data_centre,
          view->count);
}

static void
append (directory_t *directory, int64_t offset, int64_t base, const GPtrArray *members)
{
  GBytes *record = view_record_change ("tw-north-a", base, members);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);

  if (directory_record (directory, offset, 0, data, size) != 0)
    puts ("malformed");
  g_bytes_unref (record);
}

int
main (void)
{
  directory_t *directory = directory_new (print_change, NULL);
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  int32_t seats[VIEW_REPLICAS];

  g_ptr_array_add (members, member_new ("a1", 1, "127.0.0.1:8003", "tw-north-a"));
  g_ptr_array_add (members, member_new ("a2", 2, "127.0.0.1:8013", "tw-north-a"));
  append (directory, 0, 0, members);
  append (directory, 1, 0, members); /* loses: not the first on its base */
  const view_t *view = directory_view (directory, "tw-north-a");
  printf ("replicas of petition-1: %d\n", view_replicas (view, "petition-1", seats));
  directory_free (directory);
  return 0;
}
