/* part_claim.c -- idempotency keys, granted by this host alone */
#include "daemon/part_claim.h"

#include <string.h>

/* How long a grant lets this host start. */
#define CLAIM_START_WITHIN_MS 2000

typedef struct
{
  hash_digest_t digest;
  int64_t start_before_ms;
  bool started;
} entry_t;

typedef struct
{
  part_t part;
  GHashTable *keys; /* char * -> entry_t * */
} part_claim_t;

static const part_ops_t claim_ops = {
  .name = "claim",
  .frame_first = FRAME_CLAIM_FIRST,
  .frame_last = FRAME_CLAIM_LAST,
};

part_t *
part_claim_new (daemon_t *daemon, part_t *view)
{
  part_claim_t *claim = g_new0 (part_claim_t, 1);
  (void) view;
  claim->part = (part_t){ &claim_ops, daemon };
  claim->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return &claim->part;
}

static claim_outcome_t
held_here (part_claim_t *claim)
{
  daemon_t *daemon = claim->part.daemon;
  return (claim_outcome_t){ CLAIM_HELD, daemon_host_id (daemon), daemon_peer_address (daemon),
                            daemon_data_centre (daemon), daemon_incarnation (daemon) };
}

void
part_claim_request (part_t *part,
                    const char *key,
                    const char *home,
                    const hash_digest_t *digest,
                    int64_t issued_at_ms,
                    int64_t give_up_at_ms,
                    claim_done_t done,
                    void *data)
{
  part_claim_t *claim = (part_claim_t *) part;
  entry_t *entry = g_hash_table_lookup (claim->keys, key);
  claim_outcome_t outcome = { .result = CLAIM_GRANTED };
  (void) home;
  (void) issued_at_ms;
  (void) give_up_at_ms;
  if (entry != NULL)
    {
      outcome = held_here (claim);
      if (memcmp (&entry->digest, digest, sizeof (*digest)) != 0)
        outcome.result = CLAIM_REUSED;
      done (&outcome, data);
      return;
    }
  entry = g_new0 (entry_t, 1);
  entry->digest = *digest;
  entry->start_before_ms = daemon_now_ms (part->daemon) + CLAIM_START_WITHIN_MS;
  g_hash_table_insert (claim->keys, g_strdup (key), entry);
  done (&outcome, data);
}

void
part_claim_probe (part_t *part,
                  const char *key,
                  const char *home,
                  int64_t give_up_at_ms,
                  claim_done_t done,
                  void *data)
{
  part_claim_t *claim = (part_claim_t *) part;
  claim_outcome_t outcome = { .result = CLAIM_FREE };
  (void) home;
  (void) give_up_at_ms;
  if (g_hash_table_contains (claim->keys, key))
    outcome = held_here (claim);
  done (&outcome, data);
}

void
part_claim_release (part_t *part, const char *key, claim_done_t done, void *data)
{
  part_claim_t *claim = (part_claim_t *) part;
  entry_t *entry = g_hash_table_lookup (claim->keys, key);
  claim_outcome_t outcome = { .result = CLAIM_FREE };
  if (entry != NULL && entry->started)
    outcome = held_here (claim);
  else
    g_hash_table_remove (claim->keys, key);
  if (done != NULL)
    done (&outcome, data);
}

bool
part_claim_may_start (part_t *part, const char *key, int64_t now_ms)
{
  const entry_t *entry = g_hash_table_lookup (((part_claim_t *) part)->keys, key);
  return entry != NULL && (entry->started || now_ms < entry->start_before_ms);
}

void
part_claim_started (part_t *part, const char *key)
{
  entry_t *entry = g_hash_table_lookup (((part_claim_t *) part)->keys, key);
  if (entry != NULL)
    entry->started = true;
}
