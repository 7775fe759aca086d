/* scheduler_example.c -- submits a job of two tasks, which go to an owner with free slots, and
 * prints the answer */
#include "scheduler/scheduler.h"

#include <stdio.h>

int
main (void)
{
  const scheduler_options_t options = { .host = "h1",
                                        .data_centre = "x",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const scheduler_job_t job = { .id = "j",
                                .spec = "work",
                                .service = "s",
                                .tasks = 2,
                                .need = { 1000, 10, 0 },
                                .estimate_ms = 60,
                                .stretch_factor = 1.6,
                                .target_ms = 60,
                                .deadline_at_ms = 1500,
                                .attempts_max = 3,
                                .label = "",
                                .preferred_rack = "" };
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  scheduler_t *scheduler = scheduler_new (&options);

  scheduler_set_owner (scheduler, "x", "h2", 7, 0, actions);
  g_array_append_val (offers, offer);
  scheduler_set_report (scheduler, "x", "h2", &(scheduler_report_t){ offers, NULL, 0 }, 0);
  scheduler_submit (scheduler, &job, 0, actions);
  const scheduler_action_t *submit = &g_array_index (actions, scheduler_action_t, 0);
  uint64_t batch = submit->batch_number;
  printf ("%u tasks to %s\n", submit->task_indexes->len, submit->host);
  g_array_unref (submit->task_indexes);
  g_array_set_size (actions, 0);
  scheduler_task_ended (scheduler, "h2", batch, 0, SCHEDULER_TASK_DONE, 70, actions);
  scheduler_task_ended (scheduler, "h2", batch, 1, SCHEDULER_TASK_DONE, 72, actions);
  const scheduler_action_t *answer = &g_array_index (actions, scheduler_action_t, 0);
  printf ("%s after %d ms\n", answer->outcome == SCHEDULER_COMPLETE ? "complete" : "not complete",
          (int) answer->elapsed_ms);
  scheduler_free (scheduler);
  g_array_unref (actions);
  g_array_unref (offers);
  return 0;
}
