/* unannounced.c -- jobs that a data centre which is out of reach can't know of */
#include "scheduler/state.h"

/* Whether a data centre that has received what was sent before REACHED_AT_MS knows of JOB. */
static bool
is_told (const scheduled_job_t *job, int64_t reached_at_ms)
{
  return job->announced && job->announced_at_ms < reached_at_ms;
}

int32_t
scheduler_count_untold (const scheduler_t *scheduler, int64_t reached_at_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  int32_t count = 0;

  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += !is_told (value, reached_at_ms);
  return count;
}
