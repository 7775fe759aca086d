/* site_owner.c -- the shards that this host owns: their fleets, orders and offers */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/event.h"

#include <string.h>

/* All orders of a shard that was yielded have been answered by then. */
#define RETIRED_MS 5000
/* The directory may lack endpoints for this long after it was first listed: those that could not
 * reach the log, which another owner may know from before.  Where all hosts have just started
 * there is no such owner, and only what has registered since may be missing. */
#define SETTLED_AFTER_MS 3000
#define SETTLED_NEW_MS 700
/* Offers are told no more often than this for each host that hears them, and no less often
 * than that. */
#define OFFER_MIN_MS 15
#define OFFER_EACH_MS 2
#define OFFER_MAX_MS 300

/* The event of each note of a fleet, and which of its figures are told. */
static const struct
{
  event_t event;
  bool task;
  bool elapsed;
  bool expected;
  bool percent;
} notes[] = {
  [EXECUTOR_LOG_DONE] = { EVENT_TASK_DONE, true, true, true, false },
  [EXECUTOR_LOG_FAILED] = { EVENT_TASK_FAILED, true, true, false, false },
  [EXECUTOR_LOG_LEASE_EXPIRED] = { EVENT_TASK_LAPSED, true, true, false, false },
  [EXECUTOR_LOG_HUNG] = { EVENT_TASK_HUNG, true, true, false, true },
  [EXECUTOR_LOG_MOVED] = { EVENT_TASK_MOVED, true, true, false, true },
  [EXECUTOR_LOG_ABORTED] = { EVENT_TASK_CUT, true, true, true, true },
  [EXECUTOR_LOG_ADOPTED] = { EVENT_TASK_ADOPTED, true, false, false, false },
  [EXECUTOR_LOG_REFUSED] = { EVENT_ORDER_REFUSED, true, false, false, false },
  [EXECUTOR_LOG_UNANSWERED] = { EVENT_ORDER_UNANSWERED, true, false, false, false },
  [EXECUTOR_LOG_UNRESPONSIVE] = { EVENT_ENDPOINT_SILENT, false, false, false, false },
  [EXECUTOR_LOG_RESPONSIVE] = { EVENT_ENDPOINT_HEARD, false, false, false, false },
  [EXECUTOR_LOG_RESTARTED] = { EVENT_ENDPOINT_REBORN, false, false, false, false },
  [EXECUTOR_LOG_EJECTED] = { EVENT_ENDPOINT_EJECTED, false, false, false, false },
  [EXECUTOR_LOG_READMITTED] = { EVENT_ENDPOINT_READMITTED, false, false, false, false },
};

static void
log_note (const executor_action_t *action)
{
  event_t event = notes[action->log_event].event;

  metrics_task (event, action->elapsed_ms);
  if (!event_begin (event))
    return;
  event_text ("endpoint", action->endpoint);
  if (notes[action->log_event].task)
    {
      event_text ("task", action->task);
      event_number ("attempt", action->attempt);
    }
  if (notes[action->log_event].elapsed)
    event_number ("elapsed_ms", action->elapsed_ms);
  if (notes[action->log_event].expected)
    event_number ("expected_ms", action->expected_ms);
  if (notes[action->log_event].percent)
    event_number ("percent", action->percent);
  if (event == EVENT_ENDPOINT_SILENT || event == EVENT_ENDPOINT_REBORN)
    event_number ("runs", action->count);
  if (event == EVENT_ENDPOINT_HEARD)
    event_number ("silent_ms", action->elapsed_ms);
  if (event == EVENT_ORDER_REFUSED)
    event_text ("why", action->reason);
  event_end ();
}

static void
log_start (const executor_action_t *action)
{
  bool doubtful = action->expected_ms > action->remaining_ms;

  metrics_wait (action->elapsed_ms, doubtful);
  if (!event_begin (doubtful ? EVENT_TASK_DOUBTFUL : EVENT_TASK_STARTED))
    return;
  event_text ("task", action->task);
  event_number ("attempt", action->attempt);
  event_text ("endpoint", action->endpoint);
  event_number ("expected_ms", action->expected_ms);
  event_number ("waited_ms", action->elapsed_ms);
  if (doubtful)
    {
      event_number ("least_ms", action->min_ms);
      event_number ("left_ms", action->remaining_ms);
    }
  event_end ();
}

static void
log_queue (const executor_action_t *action)
{
  bool expired = action->kind == EXECUTOR_EXPIRED;

  /* Tasks that a drain sends away are told together. */
  if (action->drained || (!expired && action->kind != EXECUTOR_RETURNED)
      || !event_begin (expired ? EVENT_TASK_EXPIRED : EVENT_TASK_RETURNED))
    return;
  event_text ("task", action->task);
  event_number ("waited_ms", action->elapsed_ms);
  if (expired)
    {
      event_number ("least_ms", action->expected_ms);
      event_number ("usable", action->count);
      event_number ("waiting", action->waiting);
    }
  event_end ();
}

static void
log_shard (event_t event, const char *shard, const char *why, int64_t token)
{
  if (!event_begin (event))
    return;
  event_text ("shard", shard);
  event_text ("why", why);
  if (event == EVENT_SHARD_CLAIMED)
    event_number ("token", token);
  event_end ();
}

static owned_t *
find_owned (const site_t *site, const char *shard)
{
  return g_hash_table_lookup (site->owned, g_intern_string (shard));
}

/* --- actions, and answers to orders --- */

/* Carries out orders; ends are kept until all actions are read, since telling them changes
 * what actions point to. */
static void
run_actions (owned_t *owned, int64_t now_ms)
{
  site_t *site = owned->site;

  for (guint i = 0; i < owned->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (owned->actions, executor_action_t, i);
      told_end_t told = { action->coordinator, { action->batch, action->index, action->kind } };
      switch (action->kind)
        {
        case EXECUTOR_START:
          log_start (action);
          run_client_send (owned->orders, action, owned->token, now_ms);
          break;
        case EXECUTOR_LOG:
          log_note (action);
          break;
        case EXECUTOR_STOP:
        case EXECUTOR_POLL:
          run_client_send (owned->orders, action, owned->token, now_ms);
          break;
        case EXECUTOR_FENCED:
          if (event_begin (EVENT_ENDPOINT_SHUT_OUT))
            {
              event_text ("endpoint", action->endpoint);
              event_text ("shard", owned->name);
              event_number ("token", owned->token);
              event_end ();
            }
          cluster_token_superseded (site->crew, owned->name, now_ms, clock_wall_ms (),
                                    site->crew_actions);
          break;
        default:
          log_queue (action);
          owned->sent_away += action->drained;
          g_array_append_val (site->ends, told);
          break;
        }
    }
  g_array_set_size (owned->actions, 0);
}

/* An answer has come: carries on with what it changed. */
static void
carry_on (owned_t *owned, int64_t now_ms)
{
  run_actions (owned, now_ms);
  owned->dirty = true;
  site_pump (owned->site);
}

static void
on_started (uint64_t serial, executor_answer_t answer, int64_t clock_there_ms, void *user)
{
  owned_t *owned = user;

  executor_start_answered (owned->fleet, serial, answer, clock_there_ms, clock_boot_ms (),
                           owned->actions);
  carry_on (owned, clock_boot_ms ());
}

static void
on_stopped (uint64_t serial, executor_answer_t answer, int64_t clock_there_ms, void *user)
{
  owned_t *owned = user;

  executor_stop_answered (owned->fleet, serial, answer, clock_there_ms, clock_boot_ms (),
                          owned->actions);
  carry_on (owned, clock_boot_ms ());
}

static void
on_looked (uint64_t serial, executor_answer_t answer, const poll_result_t *look, void *user)
{
  owned_t *owned = user;

  executor_poll_answered (owned->fleet, serial, answer, look, clock_boot_ms (), owned->actions);
  carry_on (owned, clock_boot_ms ());
}

static const run_client_ops_t order_ops = { on_started, on_stopped, on_looked };

/* --- shards --- */

static void
set_endpoint (owned_t *owned, const executor_entry_t *entry, int64_t now_ms)
{
  if (strcmp (entry->shard, owned->name) == 0)
    executor_set_endpoint (owned->fleet, &entry->endpoint, now_ms);
}

static executor_options_t
bounds_of (const site_t *site)
{
  const platform_settings_t *settings = site->settings;

  return (executor_options_t){ settings->lease_max_ms, settings->stop_timeout_ms,
                               settings->remote_factor };
}

void
owner_claimed (site_t *site, const char *shard, int64_t token, const char *why)
{
  owned_t *owned = find_owned (site, shard);
  int64_t now_ms = clock_boot_ms ();
  GHashTableIter iter;
  void *value = NULL;

  log_shard (EVENT_SHARD_CLAIMED, shard, why, token);
  if (owned == NULL)
    {
      executor_options_t options = bounds_of (site);
      owned = g_new0 (owned_t, 1);
      owned->site = site;
      owned->name = g_intern_string (shard);
      owned->fleet = executor_new (&options);
      owned->orders = run_client_new (site->client, &order_ops, owned);
      owned->actions = g_array_new (FALSE, FALSE, sizeof (executor_action_t));
      g_hash_table_insert (site->owned, (void *) owned->name, owned);
    }
  owned->token = token;
  owned->dirty = true;
  g_clear_pointer (&owned->told, g_bytes_unref);
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    set_endpoint (owned, value, now_ms);
  /* Entries that lapsed while the log was away are back by then. */
  int64_t listed_at_ms = log_client_directory_listed_at_ms (site->store);
  int64_t settle_ms =
      cluster_started_together (site->crew, now_ms) ? SETTLED_NEW_MS : SETTLED_AFTER_MS;
  executor_set_drained (owned->fleet, drains_contain (site->drains, shard));
  executor_set_discovery_until (owned->fleet,
                                (listed_at_ms != 0 ? listed_at_ms : now_ms) + settle_ms);
  executor_set_token (owned->fleet, token, now_ms);
}

void
owner_yielded (site_t *site, const char *shard, const char *why)
{
  owned_t *owned = find_owned (site, shard);

  if (owned == NULL)
    return;
  log_shard (EVENT_SHARD_YIELDED, shard, why, 0);
  executor_yield_all (owned->fleet);
  g_hash_table_steal (site->owned, owned->name);
  /* Orders that are on their way still refer to it. */
  owned->retired_at_ms = clock_boot_ms ();
  g_ptr_array_add (site->retired, owned);
}

void
owner_free_retired (site_t *site, int64_t now_ms)
{
  while (site->retired->len > 0
         && now_ms - ((owned_t *) site->retired->pdata[0])->retired_at_ms > RETIRED_MS)
    g_ptr_array_remove_index (site->retired, 0);
}

void
owner_free (void *data)
{
  owned_t *owned = data;

  run_client_free (owned->orders);
  executor_free (owned->fleet);
  g_array_unref (owned->actions);
  if (owned->told != NULL)
    g_bytes_unref (owned->told);
  g_free (owned);
}

void
owner_entry (site_t *site, const executor_entry_t *entry)
{
  owned_t *owned = find_owned (site, entry->shard);

  if (owned == NULL)
    return;
  set_endpoint (owned, entry, clock_boot_ms ());
  owned->dirty = true;
}

void
owner_set_drained (site_t *site, const char *shard, bool drained)
{
  owned_t *owned = find_owned (site, shard);

  if (owned == NULL)
    return;
  executor_set_drained (owned->fleet, drained);
  owned->dirty = true;
  /* Coordinators learn by the next offer, which must not wait. */
  owned->told_at_ms = 0;
}

void
owner_gone (site_t *site, const char *id, const char *data_centre)
{
  owned_t *owned = find_owned (site, data_centre);

  if (owned == NULL)
    return;
  executor_remove_endpoint (owned->fleet, id);
  owned->dirty = true;
}

/* --- batches --- */

void
owner_submit (site_t *site, const char *shard, const executor_batch_t *batch)
{
  owned_t *owned = find_owned (site, shard);

  if (owned == NULL)
    {
      /* The coordinator places them elsewhere once it has heard who owns the shard. */
      for (size_t i = 0; i < batch->count; i++)
        {
          told_end_t told = { g_intern_string (batch->coordinator),
                              { batch->batch, batch->indexes[i], EXECUTOR_NOT_OWNED } };
          g_array_append_val (site->ends, told);
        }
      return;
    }
  executor_submit (owned->fleet, batch, clock_boot_ms ());
  owned->dirty = true;
}

bool
owner_cancel (site_t *site, const char *coordinator, uint64_t batch)
{
  GHashTableIter iter;
  void *value = NULL;
  bool never = false;

  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_t *owned = value;
      int64_t now_ms = clock_boot_ms ();
      never |= executor_cancel (owned->fleet, coordinator, batch, now_ms, owned->actions);
      /* Its notes are read before the next call makes them invalid. */
      run_actions (owned, now_ms);
      owned->dirty = true;
    }
  return never;
}

void
owner_set_bounds (site_t *site)
{
  executor_options_t options = bounds_of (site);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    executor_set_options (((owned_t *) value)->fleet, &options);
}

void
owner_release (site_t *site, const char *coordinator, uint64_t batch)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_t *owned = value;
      executor_release (owned->fleet, coordinator, batch);
      owned->dirty = true;
    }
}

void
owner_drop_coordinator (site_t *site, const char *coordinator)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_t *owned = value;
      int64_t now_ms = clock_boot_ms ();
      executor_remove_coordinator (owned->fleet, coordinator, now_ms, owned->actions);
      run_actions (owned, now_ms);
      owned->dirty = true;
    }
}

/* --- rounds --- */

bool
owner_rounds (site_t *site, bool all)
{
  GHashTableIter iter;
  void *value = NULL;
  bool done = false;
  int64_t now_ms = clock_boot_ms ();

  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_t *owned = value;
      if (!owned->dirty && !all)
        continue;
      owned->dirty = false;
      g_array_set_size (site->elsewhere, 0);
      scheduler_append_other_offers (site->flow, owned->name, site->elsewhere);
      executor_run_round (owned->fleet, site->elsewhere, now_ms, owned->actions);
      done |= owned->actions->len > 0;
      run_actions (owned, now_ms);
    }
  return done;
}

void
owner_tell_offers (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  int64_t least_ms = MAX (OFFER_MIN_MS, OFFER_EACH_MS * g_hash_table_size (site->connected));

  g_hash_table_iter_init (&iter, site->owned);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      owned_t *owned = value;
      if (now_ms - owned->told_at_ms < least_ms)
        continue;
      executor_totals_t totals = executor_totals (owned->fleet, now_ms);
      GArray *offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
      executor_offers (owned->fleet, &totals.usual_need, now_ms, offers);
      GArray *loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));
      executor_loads (owned->fleet, now_ms, loads);
      GBytes *offer = executor_msg_offer (owned->name, totals.waiting, offers, loads);
      if (owned->told == NULL || !g_bytes_equal (offer, owned->told)
          || now_ms - owned->told_at_ms > OFFER_MAX_MS)
        {
          owned->told_at_ms = now_ms;
          scheduler_set_offers (site->flow, owned->name, site->host,
                                (const executor_offer_t *) (void *) offers->data, offers->len,
                                totals.waiting);
          scheduler_set_loads (site->flow, owned->name, site->host,
                               (const executor_load_t *) (void *) loads->data, loads->len, now_ms);
          peers_send_all (site, g_bytes_ref (offer));
          g_clear_pointer (&owned->told, g_bytes_unref);
          owned->told = g_bytes_ref (offer);
        }
      g_bytes_unref (offer);
      g_array_unref (loads);
      g_array_unref (offers);
    }
}
