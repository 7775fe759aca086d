/* slots.c -- what the slots that an owner offers are worth for the tasks of a job */
#include "scheduler/state.h"

#include <string.h>

bool
slots_shard_accepts_tasks (const shard_t *shard)
{
  return shard->owner != NULL && !shard->drained;
}

bool
slots_serve_job (const offer_row_t *offer, const scheduled_job_t *job)
{
  return offer->total_slots > 0 && strcmp (offer->service, job->request.service) == 0;
}

double
slots_remote_factor (const scheduler_t *scheduler, const shard_t *shard, const scheduled_job_t *job)
{
  if (job->request.preferred_rack[0] == '\0')
    return 1.0;
  const char *home = g_hash_table_lookup (scheduler->shard_by_rack, job->request.preferred_rack);
  return home == shard->name && job->returned_tasks == 0 ? 1.0 : scheduler->remote_factor;
}

int64_t
slots_expected_run_ms (double ratio, const scheduled_job_t *job)
{
  return (int64_t) (ratio * (double) job->request.estimate_ms);
}

bool
slots_are_acceptable (double ratio,
                      const scheduled_job_t *job,
                      const placement_best_t *best_outcome,
                      int64_t now_ms)
{
  return placement_is_acceptable (placement_tier (&job->aim, ratio, now_ms),
                                  slots_expected_run_ms (ratio, job), best_outcome);
}

slot_summary_t
slots_summarise (const scheduler_t *scheduler,
                 const shard_t *shard,
                 const scheduled_job_t *job,
                 const placement_best_t *best_outcome,
                 int64_t now_ms)
{
  double remote_factor = slots_remote_factor (scheduler, shard, job);
  slot_summary_t slots = { 0 };

  for (guint i = 0; i < shard->offers->len; i++)
    {
      const offer_row_t *offer = &g_array_index (shard->offers, offer_row_t, i);
      double ratio = MAX (offer->duration_ratio * remote_factor, G_MINFLOAT);
      if (!slots_serve_job (offer, job))
        continue;
      slots.total += offer->total_slots;
      if (slots.min_ratio <= 0 || ratio < slots.min_ratio)
        slots.min_ratio = ratio;
      if (best_outcome != NULL && !slots_are_acceptable (ratio, job, best_outcome, now_ms))
        continue;
      slots.acceptable += offer->total_slots;
      slots.total_speed += offer->total_slots / ratio;
    }
  return slots;
}
