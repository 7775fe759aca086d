/* part_view.c -- the view of this host's data centre: this host and the peers met */
#include "daemon/part_view.h"

#include <string.h>

typedef struct
{
  part_t part;
  GPtrArray *members;
} part_view_t;

static void
add_peer (const daemon_peer_t *peer, void *data)
{
  part_view_t *view = data;
  if (peer->connected && strcmp (peer->data_centre, daemon_data_centre (view->part.daemon)) == 0)
    g_ptr_array_add (view->members, (void *) peer->host);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static void
view_tick (part_t *part, int64_t now_ms)
{
  part_view_t *view = (part_view_t *) part;
  (void) now_ms;
  g_ptr_array_set_size (view->members, 0);
  g_ptr_array_add (view->members, (void *) daemon_host_id (part->daemon));
  daemon_each_peer (part->daemon, add_peer, view);
  g_ptr_array_sort (view->members, compare_names);
}

static const part_ops_t view_ops = {
  .name = "view",
  .frame_first = FRAME_VIEW_FIRST,
  .frame_last = FRAME_VIEW_LAST,
  .tick = view_tick,
};

part_t *
part_view_new (daemon_t *daemon, part_t *config)
{
  part_view_t *view = g_new0 (part_view_t, 1);
  (void) config;
  view->part = (part_t){ &view_ops, daemon };
  view->members = g_ptr_array_new ();
  g_ptr_array_add (view->members, (void *) daemon_host_id (daemon));
  return &view->part;
}

GPtrArray *
part_view_members (part_t *part)
{
  return ((part_view_t *) part)->members;
}

int64_t
part_view_number (part_t *part)
{
  (void) part;
  return 1;
}
