/* test_scheduler_report.h -- reports of owners to a scheduler under test */
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

#endif
