/* executor_example.c -- polls one endpoint, starts one task on it and receives its end */
#include "executor/executor.h"

#include <stdio.h>

static const char *const names[] = { [EXECUTOR_START] = "start",
                                     [EXECUTOR_STOP] = "stop",
                                     [EXECUTOR_POLL] = "poll",
                                     [EXECUTOR_DONE] = "done",
                                     [EXECUTOR_LOG] = "log" };

/* Prints the actions and stores the serial of the last order of each kind. */
static void
print_actions (GArray *actions, uint64_t *serials, int64_t now_ms)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (actions, executor_action_t, i);
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
  const executor_options_t options = { .lease_ms = 1000, .stop_ms = 50 };
  const executor_endpoint_t endpoint = { .id = "e1",
                                         .address = "127.0.0.1:1",
                                         .service = "s",
                                         .kind = "a",
                                         .rack = "r1",
                                         .free = { 4000, 100, 0 } };
  const executor_batch_t batch = { .coordinator = "h1",
                                   .batch = 1,
                                   .job = "j",
                                   .spec = "work",
                                   .service = "s",
                                   .need = { 1000, 10, 0 },
                                   .estimate_ms = 60,
                                   .objective_at_ms = 200,
                                   .deadline_at_ms = 1500,
                                   .attempts_max = 3,
                                   .required_label = "",
                                   .preferred_rack = "",
                                   .indexes = indexes,
                                   .count = 1 };
  const poll_result_t idle = { .endpoint_clock_ms = 500 };
  const poll_ended_t end = { 1, "j.0.0.0", 1, RUN_DONE };
  const poll_result_t ended = { .endpoint_clock_ms = 560, .ended = &end, .ended_count = 1 };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (executor_action_t));
  GArray *other_offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
  executor_t *executor = executor_new (&options);
  uint64_t serials[EXECUTOR_LOG + 1] = { 0 };

  executor_set_endpoint (executor, &endpoint, 0);
  executor_submit (executor, &batch, 0);
  executor_run_round (executor, other_offers, 0, actions);
  print_actions (actions, serials, 0);
  executor_poll_answered (executor, serials[EXECUTOR_POLL], EXECUTOR_OK, &idle, 2, actions);
  executor_run_round (executor, other_offers, 2, actions);
  print_actions (actions, serials, 2);
  executor_start_answered (executor, serials[EXECUTOR_START], EXECUTOR_OK, 502, 4, actions);
  executor_poll_answered (executor, serials[EXECUTOR_POLL], EXECUTOR_OK, &ended, 62, actions);
  print_actions (actions, serials, 62);
  executor_free (executor);
  g_array_unref (other_offers);
  g_array_unref (actions);
  return 0;
}
