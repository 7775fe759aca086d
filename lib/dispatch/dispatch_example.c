/* dispatch_example.c -- queues three tasks for two endpoints and prints the decisions */
#include "dispatch/dispatch.h"

#include <stdio.h>

/* Limits without bounds.  The number of slots of an endpoint still limits its tasks. */
static int
acquire (dispatch_limits_t *limits,
         dispatch_limit_t limit,
         const char *name,
         int32_t units,
         int64_t ends_at_ms,
         int64_t now_ms)
{
  (void) limits;
  printf ("acquire %d unit(s) of limit %d of %s at %d ms, until %d ms\n", units, limit, name,
          (int) now_ms, (int) ends_at_ms);
  return 0;
}

static void
release (dispatch_limits_t *limits,
         dispatch_limit_t limit,
         const char *name,
         int32_t units,
         int64_t ends_at_ms,
         int64_t now_ms)
{
  (void) limits;
  (void) ends_at_ms;
  (void) now_ms;
  printf ("release %d unit(s) of limit %d of %s\n", units, limit, name);
}

static int32_t
available (dispatch_limits_t *limits, dispatch_limit_t limit, const char *name, int64_t now_ms)
{
  (void) limits;
  (void) limit;
  (void) name;
  (void) now_ms;
  return INT32_MAX;
}

int
main (void)
{
  static const dispatch_limits_ops_t ops = { acquire, release, available };
  dispatch_limits_t limits = { &ops };
  dispatch_options_t options = DISPATCH_OPTIONS_DEFAULT;
  dispatch_endpoint_t endpoints[] = {
    { "e1", "r1", .slots = 1, .connections = 8, .cores = 4, .memory_mb = 1024 },
    { "e2", "r1", .slots = 1, .connections = 8, .cores = 4, .memory_mb = 1024 },
  };
  dispatch_task_t task = { "gold", "check", .cores = 1, .memory_mb = 64, .deadline_at_ms = 5000 };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));
  dispatch_t *dispatch = dispatch_new (&options, &limits);

  dispatch_set_endpoints (dispatch, endpoints, G_N_ELEMENTS (endpoints), 0);
  for (uint64_t ticket = 1; ticket <= 3; ticket++)
    dispatch_step (dispatch, &(dispatch_event_t){ DISPATCH_ADD, ticket, &task, 0, 0 }, 0, actions);
  dispatch_step (dispatch, &(dispatch_event_t){ .kind = DISPATCH_RUN }, 0, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (actions, dispatch_action_t, i);
      printf ("ticket %d starts on %s\n", (int) action->ticket, action->endpoint);
    }
  printf ("%u still queued\n", dispatch_totals (dispatch).queued);
  dispatch_free (dispatch);
  g_array_unref (actions);
  return 0;
}
