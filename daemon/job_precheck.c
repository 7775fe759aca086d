/* job_precheck.c -- checks of a submission before its key is claimed
 *
 * The checks read only the state of this host.  The caller of
 * job_entry_check_before_claim () then asks the key's replicas to confirm a
 * refusal.
 */
#include "base/clock.h"
#include "base/error.h"
#include "daemon/job_private.h"
#include "daemon/part_config.h"
#include "settings/settings.h"

#include <string.h>

dispatch_task_t
job_entry_describe_task (const job_entry_t *entry, const job_task_t *task)
{
  return (dispatch_task_t){ .plan = entry->plan,
                            .kind = entry->kind,
                            .cores = task->cores,
                            .memory_mb = task->memory_mb,
                            .deadline_at_ms = entry->deadline_at_ms,
                            .repeatable = entry->request->repeatable };
}

static int
check_times (job_part_t *part, const job_request_t *request)
{
  const settings_t *settings = daemon_settings (part->base.daemon);
  int64_t now_ms = clock_wall_ms ();

  if (request->issued_at_ms > now_ms + settings->clock_skew_ms)
    return ERROR_CLOCK_AHEAD;
  if (request->issued_at_ms + settings->key_window_ms <= now_ms)
    return ERROR_SUBMISSION_EXPIRED;
  if (request->deadline_at_ms <= now_ms)
    return ERROR_DEADLINE_PASSED;
  return 0;
}

static int
check_home (job_part_t *part, const job_entry_t *entry)
{
  const settings_t *settings = daemon_settings (part->base.daemon);

  for (guint i = 0; i < settings->data_centres->len; i++)
    {
      const settings_data_centre_t *data_centre = settings->data_centres->pdata[i];
      if (strcmp (data_centre->name, entry->home) == 0)
        return 0;
    }
  return ERROR_BAD_REQUEST;
}

/* Asks the dispatcher whether the job can end in time.  All tasks are taken to
 * need as many cores and as much memory as the largest request of any task. */
static int
check_capacity (job_entry_t *entry, int64_t *retry_at_ms)
{
  job_part_t *part = entry->part;
  dispatch_task_t largest = job_entry_describe_task (entry, &entry->request->tasks[0]);

  for (uint32_t i = 1; i < entry->request->task_count; i++)
    {
      largest.cores = MAX (largest.cores, entry->request->tasks[i].cores);
      largest.memory_mb = MAX (largest.memory_mb, entry->request->tasks[i].memory_mb);
    }
  return part_dispatch_admit (part->parts.dispatch, &largest, (int32_t) entry->request->task_count,
                              daemon_now_ms (part->base.daemon), retry_at_ms);
}

static bool
is_limit_zero (const config_limit_t *limit)
{
  return limit != NULL && (limit->running_max == 0 || limit->starts_per_s_max == 0);
}

int
job_entry_check_before_claim (job_entry_t *entry, int64_t *retry_at_ms, const char **message)
{
  job_part_t *part = entry->part;
  const config_t *config = part_config_current (part->parts.config);

  if (check_home (part, entry) != 0)
    {
      *message = "home is not a known data centre.";
      return ERROR_BAD_REQUEST;
    }
  int error = check_times (part, entry->request);
  if (error != 0)
    return error;
  if (daemon_is_draining (part->base.daemon))
    return ERROR_DRAINING;
  if (config == NULL)
    return ERROR_NOT_READY;
  const char *plan = config_plan_of (config, entry->request->customer);
  if (plan == NULL)
    return ERROR_UNKNOWN_CUSTOMER;
  entry->plan = g_strdup (plan);
  if (is_limit_zero (config_limit_of (config, plan)))
    return ERROR_PLAN_LIMIT;
  return check_capacity (entry, retry_at_ms);
}
