/* job_query.c -- state and cancellation of a job, asked at any host
 *
 * A job that this host coordinates is answered here.  For any other key the
 * replicas of its home are asked who holds it, or those of all data centres if
 * the question names no home, and the question goes on to the claimant.
 */
#include "base/clock.h"
#include "base/error.h"
#include "daemon/job_private.h"
#include "settings/settings.h"

#include <assert.h>
#include <string.h>

static void
query_free (query_t *query)
{
  g_free (query->key);
  g_free (query->host);
  g_free (query);
}

/* The probes of one query: one for each data centre that may be the home. */
typedef struct
{
  query_t *query; /* NULL once it went on to the claimant */
  uint32_t pending;
  bool all_free;
  bool held_here; /* by this host's earlier process, or with its answer gone */
} search_t;

static void
end_search (search_t *search)
{
  query_t *query = search->query;

  if (query != NULL)
    {
      int error = search->held_here  ? ERROR_CLAIMANT_LOST
                  : search->all_free ? ERROR_UNKNOWN_KEY
                                     : ERROR_HOME_UNREACHABLE;
      waiter_give (query->waiter, job_answer_error (error, search->all_free, 0, NULL));
      query_free (query);
    }
  g_free (search);
}

static void
meet_claimant (search_t *search, const claim_outcome_t *outcome)
{
  query_t *query = search->query;
  const char *host = outcome->claimant;
  uint64_t incarnation = outcome->claimant_incarnation;

  job_move_resolve (query->part, outcome->claimant_incarnation, &host, &incarnation);
  if (strcmp (host, daemon_host_id (query->part->base.daemon)) == 0)
    {
      search->held_here = true;
      return;
    }
  search->query = NULL;
  query->host = g_strdup (host);
  job_peer_query (query);
}

static void
on_query_probed (const claim_outcome_t *outcome, void *data)
{
  search_t *search = data;

  search->all_free = search->all_free && outcome->result == CLAIM_FREE;
  if (outcome->result == CLAIM_HELD && search->query != NULL)
    meet_claimant (search, outcome);
  if (--search->pending == 0)
    end_search (search);
}

/* Without a home in the question the submission may have named any: only all
 * data centres together can say that nobody holds the key. */
static void
search_claimant (query_t *query, const char *home)
{
  job_part_t *part = query->part;
  const GPtrArray *data_centres = daemon_settings (part->base.daemon)->data_centres;
  search_t *search = g_new0 (search_t, 1);
  char *key = g_strdup (query->key);
  int64_t until_ms = daemon_now_ms (part->base.daemon) + CLAIM_WITHIN_MS;

  query->give_up_at_ms = until_ms;
  search->query = query;
  search->all_free = true;
  search->pending = home != NULL ? 1 : data_centres->len;
  assert (search->pending > 0);
  /* The last callback frees the search. */
  for (guint i = 0, count = search->pending; i < count; i++)
    {
      const settings_data_centre_t *data_centre = data_centres->pdata[i];
      part_claim_probe (part->parts.claim, key, home != NULL ? home : data_centre->name, until_ms,
                        on_query_probed, search);
    }
  g_free (key);
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
    search_claimant (query, message->home);
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
