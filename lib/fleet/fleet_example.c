/* fleet_example.c -- one endpoint, one task: looked at, started, done */
#include "fleet/fleet.h"

#include <stdio.h>

static const char *const names[] = { [FLEET_START] = "start",
                                     [FLEET_STOP] = "stop",
                                     [FLEET_LOOK] = "look",
                                     [FLEET_DONE] = "done",
                                     [FLEET_NOTE] = "note" };

/* Prints what is asked for, and notes the serial of the last order of each kind. */
static void
show (GArray *actions, uint64_t *serials, int64_t now_ms)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const fleet_action_t *action = &g_array_index (actions, fleet_action_t, i);
      printf ("%d ms: %s %s\n", (int) now_ms, names[action->kind],
              action->task != NULL ? action->task : action->endpoint);
      serials[action->kind] = action->serial;
    }
  g_array_set_size (actions, 0);
}

int
main (void)
{
  static const int32_t indexes[] = { 0 };
  const fleet_options_t options = { .lease_ms = 1000, .stop_ms = 50 };
  const fleet_endpoint_t endpoint = { .id = "e1",
                                      .address = "127.0.0.1:1",
                                      .service = "s",
                                      .kind = "a",
                                      .rack = "r1",
                                      .free = { 4000, 100, 0 } };
  const fleet_batch_t batch = { .coordinator = "h1",
                                .batch = 1,
                                .job = "j",
                                .spec = "work",
                                .service = "s",
                                .need = { 1000, 10, 0 },
                                .estimate_ms = 60,
                                .goal_at_ms = 200,
                                .deadline_at_ms = 1500,
                                .attempts_max = 3,
                                .label = "",
                                .near_rack = "",
                                .indexes = indexes,
                                .count = 1 };
  const look_t idle = { .clock_there_ms = 500 };
  const look_ended_t end = { 1, "j.0.0.0", 1, RUN_DONE };
  const look_t ended = { .clock_there_ms = 560, .ended = &end, .ended_count = 1 };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (fleet_action_t));
  GArray *elsewhere = g_array_new (FALSE, FALSE, sizeof (fleet_offer_t));
  fleet_t *fleet = fleet_new (&options);
  uint64_t serials[FLEET_NOTE + 1] = { 0 };

  fleet_set_endpoint (fleet, &endpoint, 0);
  fleet_submit (fleet, &batch, 0);
  fleet_run (fleet, elsewhere, 0, actions);
  show (actions, serials, 0);
  fleet_looked (fleet, serials[FLEET_LOOK], FLEET_OK, &idle, 2, actions);
  fleet_run (fleet, elsewhere, 2, actions);
  show (actions, serials, 2);
  fleet_started (fleet, serials[FLEET_START], FLEET_OK, 502, 4, actions);
  fleet_looked (fleet, serials[FLEET_LOOK], FLEET_OK, &ended, 62, actions);
  show (actions, serials, 62);
  fleet_free (fleet);
  g_array_unref (elsewhere);
  g_array_unref (actions);
  return 0;
}
