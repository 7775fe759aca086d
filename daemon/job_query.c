/* job_query.c -- state and cancellation of a job, asked at any host
 *
 * A job that this host coordinates is answered here.  For any other key the
 * replicas are asked who holds it, and the question goes on to the claimant.
 */
#include "base/clock.h"
#include "base/error.h"
#include "daemon/job_private.h"

#include <string.h>

static void
query_free (query_t *query)
{
  g_free (query->key);
  g_free (query->host);
  g_free (query);
}

static void
on_query_probed (const claim_outcome_t *outcome, void *data)
{
  query_t *query = data;
  const char *self = daemon_host_id (query->part->base.daemon);
  const char *host = outcome->claimant;
  uint64_t incarnation = outcome->claimant_incarnation;

  if (outcome->result == CLAIM_HELD)
    job_move_resolve (query->part, outcome->claimant_incarnation, &host, &incarnation);
  if (outcome->result == CLAIM_HELD && strcmp (host, self) != 0)
    {
      query->host = g_strdup (host);
      job_peer_query (query);
      return;
    }
  int error = outcome->result == CLAIM_FREE   ? ERROR_UNKNOWN_KEY
              : outcome->result == CLAIM_HELD ? ERROR_CLAIMANT_LOST
                                              : ERROR_HOME_UNREACHABLE;
  waiter_give (query->waiter, job_answer_error (error, outcome->result == CLAIM_FREE, 0, NULL));
  query_free (query);
}

typedef struct
{
  query_t *query;
  char *home;
} query_message_t;

static void
take_query (void *data)
{
  query_message_t *message = data;
  query_t *query = message->query;
  job_part_t *part = query->part;
  entry_t *entry = g_hash_table_lookup (part->entries, query->key);

  if (entry == NULL || entry->state == ENTRY_ATTACHED)
    {
      query->give_up_at_ms = daemon_now_ms (part->base.daemon) + CLAIM_WITHIN_MS;
      const char *home =
          message->home != NULL ? message->home : part_job_home_of (&part->base, query->key);
      part_claim_probe (part->parts.claim, query->key, home, query->give_up_at_ms, on_query_probed,
                        query);
    }
  else if (query->cancel && entry->state != ENTRY_ENDED)
    {
      g_ptr_array_add (entry->waiters, query->waiter);
      entry_ref (entry);
      entry_cancel (entry);
      entry_unref (entry);
      query_free (query);
    }
  else
    {
      waiter_give (query->waiter, entry_state (entry));
      query_free (query);
    }
  g_free (message->home);
  g_free (message);
}

static job_answer_t *
run_query (part_t *base, const char *key, const char *home, bool cancel)
{
  query_message_t *message = g_new0 (query_message_t, 1);
  waiter_t *waiter = waiter_new ();

  message->query = g_new0 (query_t, 1);
  message->query->part = (job_part_t *) base;
  message->query->key = g_strdup (key);
  message->query->waiter = waiter;
  message->query->cancel = cancel;
  message->home = g_strdup (home);
  daemon_post (base->daemon, take_query, message);
  return waiter_take (waiter, clock_boot_ms () + CLAIM_WITHIN_MS + WAIT_SLACK_MS);
}

job_answer_t *
part_job_state (part_t *base, const char *key, const char *home)
{
  return run_query (base, key, home, false);
}

job_answer_t *
part_job_cancel (part_t *base, const char *key, const char *home)
{
  return run_query (base, key, home, true);
}
