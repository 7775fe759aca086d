/* job_cancellations.c -- cancellations of jobs, sent to other hosts until each has confirmed */
#include "scheduler/job_cancellations.h"

typedef struct
{
  void *waiter;
  int64_t answer_by_ms;
} waiter_t;

typedef struct
{
  char *job;
  GHashTable *unconfirmed; /* set of interned hosts; through a hub: empty */
  GHashTable *confirmed;   /* likewise */
  bool through_hub;
  bool hub_confirmed;
  bool found;
  GArray *waiters; /* waiter_t */
  int64_t asked_at_ms;
  int64_t resend_at_ms;
  int64_t expires_at_ms;
} cancellation_t;

/* A job that was ended at this host. */
typedef struct
{
  char *job;
  int64_t forget_at_ms;
} ended_job_t;

struct job_cancellations_t
{
  GHashTable *by_job; /* id -> cancellation_t, owned */
  GQueue *ended;      /* ended_job_t, the oldest first */
};

static void
cancellation_free (void *data)
{
  cancellation_t *cancellation = data;

  g_free (cancellation->job);
  g_hash_table_unref (cancellation->unconfirmed);
  g_hash_table_unref (cancellation->confirmed);
  g_array_unref (cancellation->waiters);
  g_free (cancellation);
}

static cancellation_t *
cancellation_new (const char *job)
{
  cancellation_t *cancellation = g_new0 (cancellation_t, 1);

  cancellation->job = g_strdup (job);
  cancellation->unconfirmed = g_hash_table_new (NULL, NULL);
  cancellation->confirmed = g_hash_table_new (NULL, NULL);
  cancellation->waiters = g_array_new (FALSE, FALSE, sizeof (waiter_t));
  return cancellation;
}

static void
ended_job_free (void *data)
{
  ended_job_t *ended = data;

  g_free (ended->job);
  g_free (ended);
}

job_cancellations_t *
job_cancellations_new (void)
{
  job_cancellations_t *cancellations = g_new0 (job_cancellations_t, 1);

  cancellations->by_job = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cancellation_free);
  cancellations->ended = g_queue_new ();
  return cancellations;
}

void
job_cancellations_free (job_cancellations_t *cancellations)
{
  if (cancellations == NULL)
    return;
  g_hash_table_unref (cancellations->by_job);
  g_queue_free_full (cancellations->ended, ended_job_free);
  g_free (cancellations);
}

static job_cancellation_action_t *
add_action (GArray *actions, job_cancellation_action_kind_t kind)
{
  job_cancellation_action_t action = { .kind = kind };

  g_array_append_val (actions, action);
  return &g_array_index (actions, job_cancellation_action_t, actions->len - 1);
}

static void
send_to (const cancellation_t *cancellation, const char *host, GArray *actions)
{
  job_cancellation_action_t *action = add_action (actions, JOB_CANCELLATION_SEND);

  action->job = cancellation->job;
  action->host = host;
}

/* Sends to all that have not confirmed.  The interval is the age, so that it doubles each time. */
static void
send_to_unconfirmed (cancellation_t *cancellation, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *host = NULL;
  int64_t age_ms = now_ms - cancellation->asked_at_ms;

  cancellation->resend_at_ms =
      now_ms + CLAMP (age_ms, JOB_CANCELLATION_RESEND_MIN_MS, JOB_CANCELLATION_RESEND_MAX_MS);
  if (cancellation->through_hub)
    send_to (cancellation, NULL, actions);
  g_hash_table_iter_init (&iter, cancellation->unconfirmed);
  while (g_hash_table_iter_next (&iter, &host, NULL))
    send_to (cancellation, host, actions);
}

/* Answers the waiters whose time is over at UNTIL_MS. */
static void
answer_waiters (cancellation_t *cancellation,
                job_cancellation_result_t result,
                int64_t until_ms,
                GArray *actions)
{
  for (guint i = cancellation->waiters->len; i-- > 0;)
    {
      const waiter_t *waiter = &g_array_index (cancellation->waiters, waiter_t, i);
      if (waiter->answer_by_ms > until_ms)
        continue;
      job_cancellation_action_t *action = add_action (actions, JOB_CANCELLATION_ANSWER);
      action->waiter = waiter->waiter;
      action->result = result;
      g_array_remove_index (cancellation->waiters, i);
    }
}

static bool
is_confirmed (const cancellation_t *cancellation)
{
  return cancellation->through_hub ? cancellation->hub_confirmed
                                   : g_hash_table_size (cancellation->unconfirmed) == 0;
}

/* Answers what can be answered, and drops CANCELLATION if nothing remains to be sent. */
static void
settle (job_cancellations_t *cancellations, cancellation_t *cancellation, GArray *actions)
{
  bool confirmed = is_confirmed (cancellation);

  if (cancellation->found)
    answer_waiters (cancellation, JOB_CANCELLATION_FOUND, INT64_MAX, actions);
  else if (confirmed)
    answer_waiters (cancellation, JOB_CANCELLATION_NOT_FOUND, INT64_MAX, actions);
  if (confirmed)
    g_hash_table_remove (cancellations->by_job, cancellation->job);
}

static void
give_up (cancellation_t *cancellation, GArray *actions)
{
  answer_waiters (cancellation, JOB_CANCELLATION_UNCONFIRMED, INT64_MAX, actions);
  add_action (actions, JOB_CANCELLATION_GIVEN_UP);
}

static void
give_up_oldest (job_cancellations_t *cancellations, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;
  cancellation_t *oldest = NULL;

  g_hash_table_iter_init (&iter, cancellations->by_job);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest == NULL || ((cancellation_t *) value)->asked_at_ms < oldest->asked_at_ms)
      oldest = value;
  if (oldest == NULL)
    return;
  give_up (oldest, actions);
  g_hash_table_remove (cancellations->by_job, oldest->job);
}

static cancellation_t *
find_or_add (job_cancellations_t *cancellations, const char *job, GArray *actions)
{
  cancellation_t *cancellation = g_hash_table_lookup (cancellations->by_job, job);

  if (cancellation != NULL)
    return cancellation;
  if (g_hash_table_size (cancellations->by_job) >= JOB_CANCELLATIONS_MAX)
    give_up_oldest (cancellations, actions);
  cancellation = cancellation_new (job);
  g_hash_table_insert (cancellations->by_job, cancellation->job, cancellation);
  return cancellation;
}

void
job_cancellations_add (job_cancellations_t *cancellations,
                       const job_cancellation_request_t *request,
                       int64_t now_ms,
                       GArray *actions)
{
  cancellation_t *cancellation = find_or_add (cancellations, request->job, actions);
  const waiter_t waiter = { request->waiter, request->answer_by_ms };

  cancellation->through_hub = request->hosts == NULL;
  cancellation->hub_confirmed = false;
  cancellation->found = request->found;
  cancellation->asked_at_ms = now_ms;
  cancellation->expires_at_ms = now_ms + JOB_CANCELLATION_RETENTION_MS;
  g_hash_table_remove_all (cancellation->confirmed);
  for (guint i = 0; request->hosts != NULL && i < request->hosts->len; i++)
    g_hash_table_add (cancellation->unconfirmed, request->hosts->pdata[i]);
  g_array_append_val (cancellation->waiters, waiter);
  send_to_unconfirmed (cancellation, now_ms, actions);
  settle (cancellations, cancellation, actions);
}

void
job_cancellations_confirm (job_cancellations_t *cancellations,
                           const char *job,
                           const char *host,
                           bool for_all,
                           bool found,
                           GArray *actions)
{
  cancellation_t *cancellation = g_hash_table_lookup (cancellations->by_job, job);

  if (cancellation == NULL)
    return;
  cancellation->found |= found;
  cancellation->hub_confirmed |= for_all;
  g_hash_table_remove (cancellation->unconfirmed, host);
  g_hash_table_add (cancellation->confirmed, (void *) host);
  settle (cancellations, cancellation, actions);
}

void
job_cancellations_connected (job_cancellations_t *cancellations, const char *host, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cancellations->by_job);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cancellation_t *cancellation = value;
      if (g_hash_table_contains (cancellation->confirmed, host))
        continue;
      if (!cancellation->through_hub)
        g_hash_table_add (cancellation->unconfirmed, (void *) host);
      send_to (cancellation, cancellation->through_hub ? NULL : host, actions);
    }
}

static void
drop_ended (job_cancellations_t *cancellations, int64_t now_ms)
{
  const ended_job_t *oldest = g_queue_peek_head (cancellations->ended);

  while (oldest != NULL
         && (now_ms >= oldest->forget_at_ms
             || g_queue_get_length (cancellations->ended) > JOB_CANCELLATIONS_MAX))
    {
      ended_job_free (g_queue_pop_head (cancellations->ended));
      oldest = g_queue_peek_head (cancellations->ended);
    }
}

void
job_cancellations_ended (job_cancellations_t *cancellations, const char *job, int64_t now_ms)
{
  ended_job_t *ended = g_new0 (ended_job_t, 1);

  ended->job = g_strdup (job);
  ended->forget_at_ms = now_ms + JOB_CANCELLATION_ENDED_MS;
  g_queue_push_tail (cancellations->ended, ended);
  drop_ended (cancellations, now_ms);
}

bool
job_cancellations_was_ended (job_cancellations_t *cancellations, const char *job, int64_t now_ms)
{
  drop_ended (cancellations, now_ms);
  for (const GList *at = cancellations->ended->head; at != NULL; at = at->next)
    if (g_str_equal (((const ended_job_t *) at->data)->job, job))
      return true;
  return false;
}

void
job_cancellations_forget (job_cancellations_t *cancellations, const void *waiter)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cancellations->by_job);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GArray *waiters = ((cancellation_t *) value)->waiters;
      for (guint i = waiters->len; i-- > 0;)
        if (g_array_index (waiters, waiter_t, i).waiter == waiter)
          g_array_remove_index (waiters, i);
    }
}

void
job_cancellations_step (job_cancellations_t *cancellations, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cancellations->by_job);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cancellation_t *cancellation = value;
      answer_waiters (cancellation, JOB_CANCELLATION_UNCONFIRMED, now_ms, actions);
      if (now_ms >= cancellation->expires_at_ms)
        {
          give_up (cancellation, actions);
          g_hash_table_iter_remove (&iter);
        }
      else if (now_ms >= cancellation->resend_at_ms)
        send_to_unconfirmed (cancellation, now_ms, actions);
    }
}
