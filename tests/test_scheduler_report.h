/* test_scheduler_report.h -- reports of owners to a scheduler under test, and what it sends */
#ifndef TESTS_TEST_SCHEDULER_REPORT_H
#define TESTS_TEST_SCHEDULER_REPORT_H

#include "scheduler/scheduler.h"

/* Reports COUNT OFFERS and, unless it is NULL, LOAD of HOST as the owner of SHARD. */
static inline void
report_offers (scheduler_t *scheduler,
               const char *shard,
               const char *host,
               const executor_offer_t *offers,
               size_t count,
               const executor_load_t *load,
               int64_t now_ms)
{
  GArray *offer_array = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
  GArray *load_array = g_array_new (FALSE, FALSE, sizeof (executor_load_t));
  const scheduler_report_t report = { offer_array, load != NULL ? load_array : NULL, 0 };

  g_array_append_vals (offer_array, offers, (guint) count);
  if (load != NULL)
    g_array_append_vals (load_array, load, 1);
  scheduler_set_report (scheduler, shard, host, &report, now_ms);
  g_array_unref (offer_array);
  g_array_unref (load_array);
}

/* Empties ACTIONS, and returns how many of them sent a batch. */
static inline int
take_submits (GArray *actions)
{
  int submits = 0;

  for (guint i = 0; i < actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      if (action->task_indexes != NULL)
        g_array_unref (action->task_indexes);
      submits += action->kind == SCHEDULER_SUBMIT;
    }
  g_array_set_size (actions, 0);
  return submits;
}

/* Returns a scheduler of HOST that knows one shard, "z", whose owner "hx" offers four slots for
 * service "s" as of NOW_MS.  The caller frees it. */
static inline scheduler_t *
new_scheduler_of (const char *host, int64_t resubmit_ms, int64_t now_ms, GArray *actions)
{
  const scheduler_options_t options = { .host = host,
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .resubmit_ms = resubmit_ms };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const executor_load_t load = { .service = "s", .cores_milli = 4000 };
  scheduler_t *scheduler = scheduler_new (&options);

  scheduler_set_owner (scheduler, "z", "hx", 1, 0, actions);
  report_offers (scheduler, "z", "hx", &offer, 1, &load, now_ms);
  return scheduler;
}

#endif
