/* site_cancel.c -- cancellations of jobs, whichever host has them
 *
 * lib/scheduler/job_cancellations.h decides what is sent and answered.  A waiter is a caller, or a
 * host that has sent a cancellation through this one.
 */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"

/* Time within which a host that wants a cancellation passed on is answered or asks again. */
#define RELAY_ANSWER_MS 2000

typedef struct
{
  void *request;    /* of the ingress; NULL: HOST waits */
  const char *host; /* interned */
  char *job;
} cancel_waiter_t;

static cancel_waiter_t *
waiter_new (void *request, const char *host, const char *job)
{
  cancel_waiter_t *waiter = g_new0 (cancel_waiter_t, 1);

  waiter->request = request;
  waiter->host = host;
  waiter->job = g_strdup (job);
  return waiter;
}

static void
waiter_free (cancel_waiter_t *waiter)
{
  g_free (waiter->job);
  g_free (waiter);
}

static void
answer_waiter (site_t *site, cancel_waiter_t *waiter, job_cancellation_result_t result)
{
  if (waiter->request != NULL)
    ingress_cancelled (waiter->request, result);
  else if (result != JOB_CANCELLATION_UNCONFIRMED)
    peers_send (site, waiter->host,
                executor_msg_job_cancelled (waiter->job, true, result == JOB_CANCELLATION_FOUND));
  waiter_free (waiter);
}

static void
send_request (site_t *site, const job_cancellation_action_t *action)
{
  bool relay = action->host == NULL;
  const char *host = relay ? cluster_find_hub (site->cluster) : action->host;

  if (host != NULL && g_hash_table_contains (site->connections, host))
    peers_send (site, host, executor_msg_cancel_job (action->job, relay));
}

static void
run_action (site_t *site, const job_cancellation_action_t *action)
{
  switch (action->kind)
    {
    case JOB_CANCELLATION_SEND:
      send_request (site, action);
      break;
    case JOB_CANCELLATION_GIVEN_UP:
      counter_add (counter_get ("jaytrail_job_cancellations_given_up_total", NULL), 1);
      break;
    case JOB_CANCELLATION_ANSWER:
    default:
      answer_waiter (site, action->waiter, action->result);
      break;
    }
}

/* Carries out ACTIONS and frees them.  Answers come last: the next request on the same connection
 * may follow at once and change the cancellations, to which the other actions point. */
static void
run_actions (site_t *site, GArray *actions)
{
  for (int answers = 0; answers < 2; answers++)
    for (guint i = 0; i < actions->len; i++)
      {
        job_cancellation_action_t action = g_array_index (actions, job_cancellation_action_t, i);
        if ((action.kind == JOB_CANCELLATION_ANSWER) == (answers == 1))
          run_action (site, &action);
      }
  g_array_unref (actions);
}

static GArray *
new_actions (void)
{
  return g_array_new (FALSE, FALSE, sizeof (job_cancellation_action_t));
}

/* The hosts that may have a job besides this one.  Those that are lost are among them. */
static GPtrArray *
other_hosts (const site_t *site)
{
  GPtrArray *hosts = g_ptr_array_new ();
  GHashTable *const sources[] = { site->known_hosts, site->connections };

  for (size_t i = 0; i < G_N_ELEMENTS (sources); i++)
    {
      GHashTableIter iter;
      void *host = NULL;
      g_hash_table_iter_init (&iter, sources[i]);
      while (g_hash_table_iter_next (&iter, &host, NULL))
        g_ptr_array_add (hosts, host);
    }
  return hosts;
}

/* Ends job ID at this host.  Returns false if it is not here; its request, if it still arrives, is
 * answered as cancelled all the same. */
static bool
cancel_here (site_t *site, const char *id)
{
  bool found = scheduler_cancel (site->scheduler, id, clock_boot_ms (), site->scheduler_actions);

  site_run_scheduler_actions (site);
  site_schedule_actions (site);
  return found;
}

/* The same for a cancellation that another host has sent, maybe not for the first time. */
static bool
cancel_sent (site_t *site, const char *id)
{
  int64_t now_ms = clock_boot_ms ();
  bool found = cancel_here (site, id);

  if (found)
    job_cancellations_ended (site->job_cancellations, id, now_ms);
  return found || job_cancellations_was_ended (site->job_cancellations, id, now_ms);
}

/* Cancels the job at all other hosts, itself or through a hub. */
static void
cancel_elsewhere (site_t *site,
                  cancel_waiter_t *waiter,
                  bool through_hub,
                  bool found,
                  int64_t answer_by_ms)
{
  GArray *actions = new_actions ();
  GPtrArray *hosts = through_hub ? NULL : other_hosts (site);
  const job_cancellation_request_t request = { waiter->job, hosts, found, waiter, answer_by_ms };

  job_cancellations_add (site->job_cancellations, &request, clock_boot_ms (), actions);
  if (hosts != NULL)
    g_ptr_array_unref (hosts);
  run_actions (site, actions);
}

void
cancel_job (const char *id, int64_t answer_by_ms, void *user_data, void **handle, void *user)
{
  site_t *site = user;
  cancel_waiter_t *waiter = waiter_new (user_data, NULL, id);

  *handle = waiter;
  bool found = cancel_here (site, id);

  cancel_elsewhere (site, waiter, !cluster_is_hub (site->cluster), found, answer_by_ms);
}

void
cancel_forget (void *waiter, void *user)
{
  site_t *site = user;

  job_cancellations_forget (site->job_cancellations, waiter);
  waiter_free (waiter);
}

void
cancel_read_request (site_t *site, const char *host, frame_reader_t *reader)
{
  char *job = NULL;
  bool relay = false;

  if (executor_msg_read_cancel_job (reader, &job, &relay) != 0)
    return;
  bool found = cancel_sent (site, job);
  if (relay)
    cancel_elsewhere (site, waiter_new (NULL, host, job), false, found,
                      clock_boot_ms () + RELAY_ANSWER_MS);
  else
    peers_send (site, host, executor_msg_job_cancelled (job, false, found));
  g_free (job);
}

void
cancel_read_confirmation (site_t *site, const char *host, frame_reader_t *reader)
{
  char *job = NULL;
  bool relay = false;
  bool found = false;
  GArray *actions = new_actions ();

  if (executor_msg_read_job_cancelled (reader, &job, &relay, &found) == 0)
    job_cancellations_confirm (site->job_cancellations, job, host, relay, found, actions);
  run_actions (site, actions);
  g_free (job);
}

void
cancel_host_connected (site_t *site, const char *host)
{
  GArray *actions = new_actions ();

  job_cancellations_connected (site->job_cancellations, host, actions);
  run_actions (site, actions);
}

void
cancel_tick (site_t *site, int64_t now_ms)
{
  GArray *actions = new_actions ();

  job_cancellations_step (site->job_cancellations, now_ms, actions);
  run_actions (site, actions);
}
