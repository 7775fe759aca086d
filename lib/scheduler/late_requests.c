/* late_requests.c -- requests that a cut may have held up until now
 *
 * What is sent into a cut arrives when it ends.  By then the caller may have sent its job again to
 * a host on its own side, which this host hears of only a little later.  A request therefore waits
 * if nothing has come on its connection since before a data centre was out of reach.  One whose
 * connection was in use since then has a caller on this side.
 */
#include "scheduler/state.h"

/* A request that was held up for a smaller part of resubmit_ms than this came before its caller
 * could send it again; and it waits for no longer, as hosts that are heard again have told their
 * jobs by then. */
#define HELD_UP_PERCENT 50

static int64_t
held_up_ms (const scheduler_t *scheduler)
{
  return scheduler->resubmit_ms * HELD_UP_PERCENT / 100;
}

static bool
may_be_late (const scheduler_t *scheduler, const scheduler_job_t *request)
{
  int64_t idle_since_ms = request->received_at_ms - request->idle_ms;

  if (scheduler->resubmit_ms == 0 || request->idle_ms < held_up_ms (scheduler))
    return false;
  for (guint i = 0; i < scheduler->unreached->len; i++)
    if (idle_since_ms < g_array_index (scheduler->unreached, unreached_t, i).since_ms)
      return true;
  return false;
}

bool
late_request_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (!may_be_late (scheduler, &job->request))
    return false;
  job->waits_since_ms = now_ms;
  job->held_until_ms = now_ms + held_up_ms (scheduler);
  scheduler_action_t *action =
      repeats_add_action (scheduler, SCHEDULER_NOTE, scheduler->host, job->request.id, actions);
  action->finding = SCHEDULER_FOUND_LATE;
  action->age_ms = job->request.idle_ms;
  return true;
}

bool
late_request_is_held (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  return now_ms < job->held_until_ms && may_be_late (scheduler, &job->request);
}
