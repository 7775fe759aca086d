/* late_requests.c -- requests that a cut may have held up until now
 *
 * What is sent into a cut arrives when it ends, or seconds later with a retransmission of TCP.  By
 * then the caller may have sent its job again to a host on its own side, which this host hears of
 * only a little later.  A request therefore waits if nothing has come on its connection since
 * before a data centre was out of reach.  One whose connection was in use since then has a caller
 * on this side.
 */
#include "scheduler/state.h"

/* A request that was held up for a smaller part of resubmit_ms than this came before its caller
 * could send it again. */
#define HELD_UP_PERCENT 50
/* Hosts that are heard again have told their jobs within this time, also if a connection of theirs
 * is replaced. */
#define TOLD_MS 1000
/* If the caller has gone, the end of its connection follows the request within a few round trips.
 * Hosts that the end of a cut brings back are mostly heard by then, too. */
#define HELD_MS 100

static int64_t
held_up_ms (const scheduler_t *scheduler)
{
  return scheduler->resubmit_ms * HELD_UP_PERCENT / 100;
}

/* Whether REQUEST may have been held up by the cut that puts UNREACHED out of reach. */
static bool
may_be_late (const scheduler_t *scheduler,
             const scheduler_job_t *request,
             const scheduler_unreached_t *unreached)
{
  return request->idle_ms >= held_up_ms (scheduler)
         && request->received_at_ms - request->idle_ms < unreached->since_ms;
}

bool
late_request_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  job->held_until_ms = now_ms + HELD_MS;
  job->told_until_ms = now_ms + TOLD_MS;
  if (!late_request_is_held (scheduler, job, now_ms))
    return false;
  job->waits_since_ms = now_ms;
  scheduler_action_t *action =
      repeats_add_action (scheduler, SCHEDULER_NOTE, scheduler->host, job->request.id, actions);
  action->finding = SCHEDULER_FOUND_LATE;
  action->age_ms = job->request.idle_ms;
  return true;
}

bool
late_request_is_held (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  for (guint i = 0; i < scheduler->unreached->len; i++)
    {
      const scheduler_unreached_t *unreached =
          &g_array_index (scheduler->unreached, scheduler_unreached_t, i);
      int64_t until_ms = unreached->heard ? job->told_until_ms : job->held_until_ms;
      if (now_ms < until_ms && may_be_late (scheduler, &job->request, unreached))
        return true;
    }
  return false;
}
