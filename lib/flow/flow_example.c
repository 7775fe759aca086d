/* flow_example.c -- a job of two tasks goes to the owner that offers room, and is answered */
#include "flow/flow.h"

#include <stdio.h>

int
main (void)
{
  const flow_options_t options = { "h1", "x", 1000, 1.0 };
  const fleet_offer_t offer = { "s", 4, 4, 1.0 };
  const flow_job_t job = { .id = "j",
                           .spec = "work",
                           .service = "s",
                           .tasks = 2,
                           .need = { 1000, 10, 0 },
                           .estimate_ms = 60,
                           .stretch = 1.6,
                           .target_ms = 60,
                           .deadline_at_ms = 1500,
                           .attempts_max = 3,
                           .label = "",
                           .near_rack = "" };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
  flow_t *flow = flow_new (&options);

  flow_owner (flow, "x", "h2", 7, 0, actions);
  flow_offer (flow, "x", "h2", &offer, 1, 0);
  flow_submit (flow, &job, 0, actions);
  const flow_action_t *submit = &g_array_index (actions, flow_action_t, 0);
  uint64_t batch = submit->number;
  printf ("%u tasks to %s\n", submit->indexes->len, submit->host);
  g_array_unref (submit->indexes);
  g_array_set_size (actions, 0);
  flow_task_ended (flow, "h2", batch, 0, FLOW_TASK_DONE, 70, actions);
  flow_task_ended (flow, "h2", batch, 1, FLOW_TASK_DONE, 72, actions);
  const flow_action_t *answer = &g_array_index (actions, flow_action_t, 0);
  printf ("%s after %d ms\n", answer->outcome == FLOW_COMPLETE ? "complete" : "not complete",
          (int) answer->elapsed_ms);
  flow_free (flow);
  g_array_unref (actions);
  return 0;
}
