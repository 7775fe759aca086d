/* job_query.c -- state and cancellation of a job, at a host that need not coordinate it
 *
 * A query for a job that this host coordinates is answered at once.  For any
 * other key this host asks the replicas who holds it, in the home data centre or,
 * if the query names none, in all data centres.  It then forwards the query to
 * the claimant.
 */
#include "base/clock.h"
#include "base/error.h"
#include "daemon/job_private.h"
#include "settings/settings.h"

#include <assert.h>
#include <string.h>

static void
query_free (job_query_t *query)
{
  g_free (query->key);
  g_free (query->host);
  g_free (query);
}

/* The probes of one query: one for each data centre that may be the key's home. */
typedef struct
{
  job_query_t *query; /* NULL once it has been forwarded to the claimant */
  uint32_t pending_probes;
  bool all_confirmed_free;
  bool claimant_is_self; /* an earlier process of this host, or its answer is no longer kept */
} claimant_search_t;

static void
end_search (claimant_search_t *search)
{
  job_query_t *query = search->query;

  if (query != NULL)
    {
      int error = search->claimant_is_self     ? ERROR_CLAIMANT_LOST
                  : search->all_confirmed_free ? ERROR_UNKNOWN_KEY
                                               : ERROR_HOME_UNREACHABLE;
      waiter_complete (query->waiter,
                       job_answer_error (error, search->all_confirmed_free, 0, NULL));
      query_free (query);
    }
  g_free (search);
}

static void
handle_claimant_found (claimant_search_t *search, const claim_outcome_t *outcome)
{
  job_query_t *query = search->query;
  const char *host = outcome->claimant;
  uint64_t incarnation = outcome->claimant_incarnation;

  job_transfer_resolve (query->part, outcome->claimant_incarnation, &host, &incarnation);
  if (strcmp (host, daemon_host_id (query->part->base.daemon)) == 0)
    {
      search->claimant_is_self = true;
      return;
    }
  search->query = NULL;
  query->host = g_strdup (host);
  job_peer_send_query (query);
}

static void
on_query_probed (const claim_outcome_t *outcome, void *data)
{
  claimant_search_t *search = data;

  search->all_confirmed_free = search->all_confirmed_free && outcome->result == CLAIM_FREE;
  if (outcome->result == CLAIM_HELD && search->query != NULL)
    handle_claimant_found (search, outcome);
  if (--search->pending_probes == 0)
    end_search (search);
}

/* Probes the replicas of the key's home.  If the query names no home, the submission
 * may have named any data centre, so the key is free only if the replicas of all
 * data centres confirm it. */
static void
search_claimant (job_query_t *query, const char *home)
{
  job_part_t *part = query->part;
  const GPtrArray *data_centres = daemon_settings (part->base.daemon)->data_centres;
  claimant_search_t *search = g_new0 (claimant_search_t, 1);
  char *key = g_strdup (query->key);
  int64_t timeout_at_ms = daemon_now_ms (part->base.daemon) + CLAIM_TIMEOUT_MS;

  query->timeout_at_ms = timeout_at_ms;
  search->query = query;
  search->all_confirmed_free = true;
  search->pending_probes = home != NULL ? 1 : data_centres->len;
  assert (search->pending_probes > 0);
  /* The last callback frees SEARCH, and any callback may run inside
   * part_claim_probe (): the loop must not read SEARCH or QUERY. */
  for (guint i = 0, count = search->pending_probes; i < count; i++)
    {
      const settings_data_centre_t *data_centre = data_centres->pdata[i];
      part_claim_probe (part->parts.claim, key, home != NULL ? home : data_centre->name,
                        timeout_at_ms, on_query_probed, search);
    }
  g_free (key);
}

typedef struct
{
  job_query_t *query;
  char *home;
} query_message_t;

static void
handle_query (void *data)
{
  query_message_t *message = data;
  job_query_t *query = message->query;
  job_part_t *part = query->part;
  job_entry_t *entry = g_hash_table_lookup (part->entries, query->key);

  if (entry == NULL || entry->state == JOB_ENTRY_ATTACHED)
    search_claimant (query, message->home);
  else if (query->cancel && entry->state != JOB_ENTRY_ENDED)
    {
      g_ptr_array_add (entry->waiters, query->waiter);
      job_entry_ref (entry);
      job_entry_cancel (entry);
      job_entry_unref (entry);
      query_free (query);
    }
  else
    {
      waiter_complete (query->waiter, job_entry_state (entry));
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

  message->query = g_new0 (job_query_t, 1);
  message->query->part = (job_part_t *) base;
  message->query->key = g_strdup (key);
  message->query->waiter = waiter;
  message->query->cancel = cancel;
  message->home = g_strdup (home);
  daemon_post (base->daemon, handle_query, message);
  return waiter_wait (waiter, clock_boot_ms () + CLAIM_TIMEOUT_MS + ANSWER_WAIT_MARGIN_MS);
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
