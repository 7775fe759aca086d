/* view_example.c -- applies two records with the same base, then finds the replicas of a key */
#include "view/view_directory.h"

#include <stdio.h>

static void
print_change (view_t *view, view_t *base, void *data)
{
  (void) base;
  (void) data;
  printf ("view %" G_GINT64_FORMAT " of %s has %d slots\n", view->number, view->data_centre,
          view->count);
}

static void
append (view_directory_t *directory, int64_t offset, int64_t base, const GPtrArray *members)
{
  GBytes *record = view_record_change ("tw-north-a", base, members);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);

  if (view_directory_apply_record (directory, offset, 0, data, size) != 0)
    puts ("malformed");
  g_bytes_unref (record);
}

int
main (void)
{
  view_directory_t *directory = view_directory_new (print_change, NULL);
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  int32_t slots[VIEW_REPLICAS_PER_KEY];

  g_ptr_array_add (members, member_new ("a1", 1, "127.0.0.1:8003", "tw-north-a"));
  g_ptr_array_add (members, member_new ("a2", 2, "127.0.0.1:8013", "tw-north-a"));
  append (directory, 0, 0, members);
  append (directory, 1, 0, members); /* ignored: not the first with this base */
  const view_t *view = view_directory_newest (directory, "tw-north-a");
  printf ("replicas of petition-1: %d\n", view_replicas (view, "petition-1", slots));
  view_directory_free (directory);
  return 0;
}
