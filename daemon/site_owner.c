/* site_owner.c -- the shards that this host owns
 *
 * Each owned shard has an executor, which decides, and a run client, which carries its decisions to
 * the endpoints.  This file connects the two, and sends offers of free capacity to the
 * coordinators; site_owner_log.c logs what happens.
 */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/event.h"
#include "executor/discovery.h"

#include <string.h>

/* Time after which all orders of a yielded shard have been answered. */
#define RETIRED_RETENTION_MS 5000
/* The interval between offers of a shard is at least OFFER_INTERVAL_MIN_MS, and at least
 * OFFER_INTERVAL_PER_HOST_MS for each connected host, as each of them receives every offer; it is
 * OFFER_INTERVAL_CONGESTED_FACTOR times longer while this host's link is busy.  An offer that has
 * not changed is sent again after OFFER_INTERVAL_MAX_MS. */
#define OFFER_INTERVAL_MIN_MS 15
#define OFFER_INTERVAL_PER_HOST_MS 2
#define OFFER_INTERVAL_CONGESTED_FACTOR 3
#define OFFER_INTERVAL_MAX_MS 300

static owned_shard_t *
find_owned (const site_t *site, const char *shard)
{
  return g_hash_table_lookup (site->owned_shards, g_intern_string (shard));
}

/* --- actions, and answers to orders --- */

/* Carries out the actions of an executor.  Ends of tasks are only collected, since reporting them
 * would change what the remaining actions point to. */
static void
run_actions (owned_shard_t *owned, int64_t now_ms)
{
  site_t *site = owned->site;
  GArray *losses = g_array_new (FALSE, FALSE, sizeof (crash_loss_t));

  owner_log_stops (owned->actions, now_ms);
  for (guint i = 0; i < owned->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (owned->actions, executor_action_t, i);
      pending_task_end_t pending = {
        action->coordinator, { action->batch, action->index, action->kind, action->failure }
      };
      switch (action->kind)
        {
        case EXECUTOR_START:
          owner_log_start (action);
          run_client_send (owned->run_client, action, owned->token, now_ms);
          break;
        case EXECUTOR_LOG:
          owner_log_event (action);
          break;
        case EXECUTOR_LOSS:
          owner_log_loss (action);
          g_array_append_val (losses, action->loss);
          break;
        case EXECUTOR_STOP:
        case EXECUTOR_POLL:
          run_client_send (owned->run_client, action, owned->token, now_ms);
          break;
        case EXECUTOR_FENCED:
          if (event_begin (EVENT_ENDPOINT_SHUT_OUT))
            {
              event_add_text ("endpoint", action->endpoint);
              event_add_text ("shard", owned->name);
              event_add_number ("token", owned->token);
              event_end ();
            }
          cluster_token_superseded (site->cluster, owned->name, now_ms, clock_wall_ms (),
                                    site->cluster_actions);
          break;
        default:
          owner_log_waiting_task (action);
          owned->returned_by_drain += action->drained;
          g_array_append_val (site->task_ends, pending);
          break;
        }
    }
  if (losses->len > 0)
    peers_send_all (
        site, executor_msg_losses ((const crash_loss_t *) (void *) losses->data, losses->len));
  g_array_unref (losses);
  g_array_set_size (owned->actions, 0);
}

/* Carries out the actions that followed from an endpoint's answer, and schedules a round. */
static void
process_answer (owned_shard_t *owned, int64_t now_ms)
{
  run_actions (owned, now_ms);
  owned->needs_round = true;
  site_schedule_actions (owned->site);
}

static void
on_started (uint64_t serial, executor_answer_t answer, int64_t endpoint_clock_ms, void *user)
{
  owned_shard_t *owned = user;

  executor_start_answered (owned->executor, serial, answer, endpoint_clock_ms, clock_boot_ms (),
                           owned->actions);
  process_answer (owned, clock_boot_ms ());
}

static void
on_stopped (uint64_t serial, executor_answer_t answer, int64_t endpoint_clock_ms, void *user)
{
  owned_shard_t *owned = user;

  executor_stop_answered (owned->executor, serial, answer, endpoint_clock_ms, clock_boot_ms (),
                          owned->actions);
  process_answer (owned, clock_boot_ms ());
}

static void
on_polled (uint64_t serial, executor_answer_t answer, const poll_result_t *result, void *user)
{
  owned_shard_t *owned = user;

  executor_poll_answered (owned->executor, serial, answer, result, clock_boot_ms (),
                          owned->actions);
  process_answer (owned, clock_boot_ms ());
}

static const run_client_ops_t order_ops = { on_started, on_stopped, on_polled };

/* --- shards --- */

static void
set_endpoint (owned_shard_t *owned, const executor_entry_t *entry, int64_t now_ms)
{
  if (strcmp (entry->shard, owned->name) == 0)
    executor_set_endpoint (owned->executor, &entry->endpoint, now_ms);
}

/* The endpoint gets no tasks, but is asked what an earlier owner has started there. */
static void
set_removed_endpoint (const executor_entry_t *entry, void *data)
{
  owned_shard_t *owned = data;

  executor_set_endpoint (owned->executor, &entry->endpoint, clock_boot_ms ());
  executor_remove_endpoint (owned->executor, entry->endpoint.id);
}

static executor_options_t
executor_options_of (const site_t *site)
{
  const platform_settings_t *settings = site->settings;

  return (executor_options_t){ settings->lease_max_ms, settings->stop_timeout_ms,
                               settings->remote_factor, site->crashes,
                               settings->resubmit_after_ms };
}

void
owner_claimed (site_t *site, const char *shard, int64_t token, const char *why)
{
  owned_shard_t *owned = find_owned (site, shard);
  int64_t now_ms = clock_boot_ms ();
  GHashTableIter iter;
  void *value = NULL;

  owner_log_shard (EVENT_SHARD_CLAIMED, shard, why, token);
  if (owned == NULL)
    {
      executor_options_t options = executor_options_of (site);
      owned = g_new0 (owned_shard_t, 1);
      owned->site = site;
      owned->name = g_intern_string (shard);
      owned->executor = executor_new (&options);
      owned->run_client = run_client_new (site->http_client, &order_ops, owned, &site->traffic);
      owned->actions = g_array_new (FALSE, FALSE, sizeof (executor_action_t));
      g_hash_table_insert (site->owned_shards, (void *) owned->name, owned);
    }
  owned->token = token;
  owned->surveyed = false;
  owned->needs_round = true;
  g_clear_pointer (&owned->last_offer, g_bytes_unref);
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    set_endpoint (owned, value, now_ms);
  removed_entries_foreach (site->removed_entries, shard, now_ms, set_removed_endpoint, owned);
  const directory_view_t view = { site->follows_directory, site->directory_followed_since_ms,
                                  log_client_directory_listed_at_ms (site->log_client),
                                  cluster_started_together (site->cluster, now_ms) };
  executor_set_drained (owned->executor, drains_contain (site->drains, shard));
  executor_set_discovery_until (owned->executor, discovery_until_ms (&view, now_ms));
  executor_set_token (owned->executor, token, now_ms);
}

void
owner_update_directory (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  int64_t read_at_ms = log_client_directory_read_at_ms (site->log_client);

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      executor_t *executor = ((owned_shard_t *) value)->executor;
      int64_t needed_ms = executor_directory_needed_ms (executor);
      executor_set_directory_read (executor, read_at_ms);
      if (needed_ms > read_at_ms)
        log_client_read_directory_after (site->log_client, needed_ms, now_ms);
    }
}

void
owner_yielded (site_t *site, const char *shard, const char *why)
{
  owned_shard_t *owned = find_owned (site, shard);

  if (owned == NULL)
    return;
  owner_log_shard (EVENT_SHARD_YIELDED, shard, why, 0);
  executor_yield_all (owned->executor);
  g_hash_table_steal (site->owned_shards, owned->name);
  /* Orders without an answer still refer to the shard, so it is freed later. */
  owned->retired_at_ms = clock_boot_ms ();
  g_ptr_array_add (site->retired_shards, owned);
}

void
owner_free_retired (site_t *site, int64_t now_ms)
{
  while (site->retired_shards->len > 0
         && now_ms - ((owned_shard_t *) site->retired_shards->pdata[0])->retired_at_ms
                > RETIRED_RETENTION_MS)
    g_ptr_array_remove_index (site->retired_shards, 0);
}

void
owner_free_shard (void *data)
{
  owned_shard_t *owned = data;

  run_client_free (owned->run_client);
  executor_free (owned->executor);
  g_array_unref (owned->actions);
  if (owned->last_offer != NULL)
    g_bytes_unref (owned->last_offer);
  g_free (owned);
}

void
owner_set_entry (site_t *site, const executor_entry_t *entry)
{
  owned_shard_t *owned = find_owned (site, entry->shard);

  if (owned == NULL)
    return;
  set_endpoint (owned, entry, clock_boot_ms ());
  owned->needs_round = true;
}

void
owner_set_drained (site_t *site, const char *shard, bool drained)
{
  owned_shard_t *owned = find_owned (site, shard);

  if (owned == NULL)
    return;
  executor_set_drained (owned->executor, drained);
  owned->needs_round = true;
  /* Coordinators learn of the change from the next offer, so the next offer is sent without
   * delay. */
  owned->offer_sent_at_ms = 0;
}

void
owner_remove_endpoint (site_t *site, const char *id, const char *data_centre)
{
  owned_shard_t *owned = find_owned (site, data_centre);

  if (owned == NULL)
    return;
  executor_remove_endpoint (owned->executor, id);
  owned->needs_round = true;
}

/* --- batches --- */

void
owner_submit (site_t *site, const char *shard, const executor_batch_t *batch)
{
  owned_shard_t *owned = find_owned (site, shard);

  if (owned == NULL)
    {
      /* The coordinator submits the tasks again once it knows the owner of the shard. */
      for (size_t i = 0; i < batch->count; i++)
        {
          pending_task_end_t pending = {
            g_intern_string (batch->coordinator),
            { batch->batch, batch->indexes[i], EXECUTOR_NOT_OWNED, { 0 } }
          };
          g_array_append_val (site->task_ends, pending);
        }
      return;
    }
  int64_t now_ms = clock_boot_ms ();
  if (strcmp (batch->coordinator, site->host) != 0)
    executor_coordinator_heard (owned->executor, batch->coordinator,
                                cluster_alive_at_ms (site->cluster, batch->coordinator));
  executor_submit (owned->executor, batch, now_ms);
  owned->needs_round = true;
}

bool
owner_cancel (site_t *site, const char *coordinator, uint64_t batch, stop_reason_t reason)
{
  GHashTableIter iter;
  void *value = NULL;
  bool never_started = false;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_shard_t *owned = value;
      int64_t now_ms = clock_boot_ms ();
      never_started |=
          executor_cancel (owned->executor, coordinator, batch, reason, now_ms, owned->actions);
      /* The actions are read now, as the next call would invalidate them. */
      run_actions (owned, now_ms);
      owned->needs_round = true;
    }
  return never_started;
}

void
owner_update_options (site_t *site)
{
  executor_options_t options = executor_options_of (site);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    executor_set_options (((owned_shard_t *) value)->executor, &options);
}

void
owner_release (site_t *site, const char *coordinator, uint64_t batch)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_shard_t *owned = value;
      executor_release (owned->executor, coordinator, batch, clock_boot_ms ());
      owned->needs_round = true;
    }
}

bool
owner_has_no_runs (site_t *site,
                   const char *shard,
                   const char *holder,
                   const char *job,
                   int64_t *token)
{
  owned_shard_t *owned = find_owned (site, shard);
  int64_t lost_at_ms = cluster_lost_at_ms (site->cluster, holder);
  bool alone = cluster_lost_hosts (site->cluster) <= 1;

  if (owned == NULL || lost_at_ms == INT64_MAX
      || !cluster_is_sole_owner (site->cluster, shard, clock_boot_ms ())
      || executor_may_run_job (owned->executor, job, lost_at_ms, alone, clock_boot_ms ()))
    return false;
  *token = owned->token;
  return true;
}

void
owner_coordinator_heard (site_t *site, const char *coordinator, int64_t at_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    executor_coordinator_heard (((owned_shard_t *) value)->executor, coordinator, at_ms);
}

void
owner_remove_coordinator (site_t *site, const char *coordinator, int64_t last_heard_at_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_shard_t *owned = value;
      int64_t now_ms = clock_boot_ms ();
      executor_remove_coordinator (owned->executor, coordinator, last_heard_at_ms, now_ms,
                                   owned->actions);
      run_actions (owned, now_ms);
      owned->needs_round = true;
    }
}

/* --- rounds --- */

bool
owner_run_rounds (site_t *site, bool all)
{
  GHashTableIter iter;
  void *value = NULL;
  bool done = false;
  int64_t now_ms = clock_boot_ms ();

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_shard_t *owned = value;
      if (!owned->needs_round && !all)
        continue;
      owned->needs_round = false;
      g_array_set_size (site->other_offers, 0);
      scheduler_append_other_offers (site->scheduler, owned->name, now_ms, site->other_offers);
      executor_run_round (owned->executor, site->other_offers, now_ms, owned->actions);
      done |= owned->actions->len > 0;
      run_actions (owned, now_ms);
    }
  return done;
}

int64_t
owner_own_delay_ms (const site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  int64_t delay_ms = 0;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    delay_ms = MAX (delay_ms, executor_own_delay_ms (((owned_shard_t *) value)->executor, now_ms));
  return delay_ms;
}

void
owner_send_offers (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  int64_t interval_min_ms = MAX (
      OFFER_INTERVAL_MIN_MS, OFFER_INTERVAL_PER_HOST_MS * g_hash_table_size (site->connections));

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_shard_t *owned = value;
      int64_t factor =
          executor_is_congested (owned->executor, now_ms) ? OFFER_INTERVAL_CONGESTED_FACTOR : 1;
      if (now_ms - owned->offer_sent_at_ms < interval_min_ms * factor)
        continue;
      executor_totals_t totals = executor_totals (owned->executor, now_ms);
      GArray *offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
      executor_offers (owned->executor, &totals.usual_need, now_ms, offers);
      GArray *loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));
      executor_loads (owned->executor, now_ms, loads);
      GBytes *offer = executor_msg_offer (owned->name, totals.waiting, offers, loads);
      if (owned->last_offer == NULL || !g_bytes_equal (offer, owned->last_offer)
          || now_ms - owned->offer_sent_at_ms > OFFER_INTERVAL_MAX_MS)
        {
          owned->offer_sent_at_ms = now_ms;
          const scheduler_report_t report = { offers, loads, totals.waiting };
          scheduler_set_report (site->scheduler, owned->name, site->host, &report, now_ms);
          peers_send_all (site, g_bytes_ref (offer));
          g_clear_pointer (&owned->last_offer, g_bytes_unref);
          owned->last_offer = g_bytes_ref (offer);
        }
      g_bytes_unref (offer);
      g_array_unref (loads);
      g_array_unref (offers);
    }
}

void
owner_announce_surveyed (site_t *site)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_shard_t *owned = value;
      if (owned->surveyed || !executor_is_surveyed (owned->executor))
        continue;
      owned->surveyed = true;
      scheduler_set_surveyed (site->scheduler, owned->name, owned->token);
      peers_send_all (site, executor_msg_surveyed (owned->name, owned->token));
    }
}

void
owner_send_surveyed (site_t *site, const char *host)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned_shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const owned_shard_t *owned = value;
      if (owned->surveyed)
        peers_send (site, host, executor_msg_surveyed (owned->name, owned->token));
    }
}
