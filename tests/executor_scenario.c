/* executor_scenario.c -- an executor with one or two endpoints, for scripted events */
#include "tests/executor_scenario.h"

#include <CUnit/CUnit.h>
#include <string.h>

const char *const endpoint_ids[2] = { "e0", "e1" };
static const char *const endpoint_addresses[2] = { "127.0.0.1:1", "127.0.0.1:2" };

void
scenario_begin (scenario_t *scenario)
{
  const executor_options_t options = {
    .lease_ms = LEASE_MS, .stop_ms = STOP_TIMEOUT_MS, .remote_factor = 2, .resubmit_ms = RESUBMIT_MS
  };

  *scenario = (scenario_t){ .executor = executor_new (&options),
                            .actions = g_array_new (FALSE, FALSE, sizeof (executor_action_t)),
                            .other_offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t)) };
  executor_set_directory_read (scenario->executor, INT64_MAX);
}

void
scenario_end (scenario_t *scenario)
{
  executor_free (scenario->executor);
  g_array_unref (scenario->actions);
  g_array_unref (scenario->other_offers);
}

void
add_instance (scenario_t *scenario,
              int number,
              const char *rack,
              int64_t cores_milli,
              int64_t started_at_ms)
{
  executor_endpoint_t endpoint = { .id = endpoint_ids[number],
                                   .address = endpoint_addresses[number],
                                   .service = SERVICE,
                                   .kind = "a",
                                   .rack = rack,
                                   .started_at_ms = started_at_ms,
                                   .free = { cores_milli, 1000, 0 } };

  executor_set_endpoint (scenario->executor, &endpoint, scenario->now_ms);
}

void
add_endpoint (scenario_t *scenario, int number, const char *rack, int64_t cores_milli)
{
  add_instance (scenario, number, rack, cores_milli, 1);
}

void
run_round_at (scenario_t *scenario, int64_t now_ms)
{
  scenario->now_ms = now_ms;
  scenario->stop_task[0] = '\0';
  scenario->start_endpoint[0] = '\0';
  g_array_set_size (scenario->actions, 0);
  executor_run_round (scenario->executor, scenario->other_offers, now_ms, scenario->actions);
  for (guint i = 0; i < scenario->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario->actions, executor_action_t, i);
      if (action->kind == EXECUTOR_POLL)
        scenario->poll_serial[strcmp (action->endpoint, endpoint_ids[1]) == 0] = action->serial;
      if (action->kind == EXECUTOR_STOP)
        g_strlcpy (scenario->stop_task, action->task, sizeof scenario->stop_task);
      if (action->kind == EXECUTOR_START)
        {
          scenario->start_serial = action->serial;
          g_strlcpy (scenario->start_endpoint, action->endpoint, sizeof scenario->start_endpoint);
          g_strlcpy (scenario->start_task, action->task, sizeof scenario->start_task);
        }
    }
}

void
answer_poll (scenario_t *scenario, int number, const poll_active_t *rows, size_t count)
{
  const poll_result_t result = { .endpoint_clock_ms = scenario->now_ms + 5,
                                 .active = rows,
                                 .active_count = count };

  g_array_set_size (scenario->actions, 0);
  executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_OK, &result,
                          scenario->now_ms, scenario->actions);
}

void
answer_with_listing (scenario_t *scenario, int number, const listing_t *listing, int64_t now_ms)
{
  const poll_result_t result = { .endpoint_clock_ms = now_ms - listing->instance_ms + 1,
                                 .started_at_ms = listing->instance_ms,
                                 .active = listing->active,
                                 .active_count = listing->active_count,
                                 .ended = listing->ended,
                                 .ended_count = listing->ended_count };

  g_array_set_size (scenario->actions, 0);
  executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_OK, &result,
                          now_ms, scenario->actions);
}

void
answer_with_nothing (scenario_t *scenario, int number, int64_t now_ms)
{
  const listing_t nothing = { .instance_ms = FIRST_INSTANCE_MS };

  answer_with_listing (scenario, number, &nothing, now_ms);
}

void
lose_last_poll (scenario_t *scenario, int number, int64_t now_ms)
{
  g_array_set_size (scenario->actions, 0);
  executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_NO_ANSWER,
                          NULL, now_ms, scenario->actions);
}

void
confirm_starts (scenario_t *scenario)
{
  GArray *serials = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (guint i = 0; i < scenario->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario->actions, executor_action_t, i);
      if (action->kind == EXECUTOR_START)
        g_array_append_val (serials, action->serial);
    }
  for (guint i = 0; i < serials->len; i++)
    executor_start_answered (scenario->executor, g_array_index (serials, uint64_t, i), EXECUTOR_OK,
                             scenario->now_ms + 5, scenario->now_ms, scenario->actions);
  g_array_unref (serials);
}

void
scenario_begin_idle (scenario_t *scenario, int64_t cores_milli)
{
  scenario_begin (scenario);
  add_endpoint (scenario, 0, "r1", cores_milli);
  run_round_at (scenario, 0);
  answer_poll (scenario, 0, NULL, 0);
}

void
scenario_begin_pair (scenario_t *scenario)
{
  scenario_begin (scenario);
  add_instance (scenario, 0, "r1", 3000, FIRST_INSTANCE_MS);
  add_instance (scenario, 1, "r1", 4000, FIRST_INSTANCE_MS);
}

void
scenario_begin_polled_pair (scenario_t *scenario)
{
  const poll_result_t nothing = { .endpoint_clock_ms = 5, .started_at_ms = FIRST_INSTANCE_MS };

  scenario_begin_pair (scenario);
  run_round_at (scenario, 0);
  for (int number = 0; number < 2; number++)
    executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_OK,
                            &nothing, 0, scenario->actions);
}

bool
has_action (const scenario_t *scenario, executor_action_kind_t kind)
{
  for (guint i = 0; i < scenario->actions->len; i++)
    if (g_array_index (scenario->actions, executor_action_t, i).kind == kind)
      return true;
  return false;
}

executor_batch_t
batch_of (const char *job, uint64_t number)
{
  static const int32_t indexes[] = { 0 };

  return (executor_batch_t){ .coordinator = "h1",
                             .batch = number,
                             .job = job,
                             .spec = "work",
                             .service = SERVICE,
                             .need = { 1000, 10, 0 },
                             .estimate_ms = 60,
                             .objective_at_ms = 10000,
                             .deadline_at_ms = FAR_DEADLINE_MS,
                             .attempts_max = 3,
                             .required_label = "",
                             .preferred_rack = "",
                             .indexes = indexes,
                             .count = 1 };
}

const executor_action_t *
last_action (const scenario_t *scenario, executor_action_kind_t kind)
{
  const executor_action_t *found = NULL;

  for (guint i = 0; i < scenario->actions->len; i++)
    if (g_array_index (scenario->actions, executor_action_t, i).kind == kind)
      found = &g_array_index (scenario->actions, executor_action_t, i);
  return found;
}

executor_load_t
load_report_at (const scenario_t *scenario, int64_t now_ms)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));

  executor_loads (scenario->executor, now_ms, loads);
  CU_ASSERT_EQUAL_FATAL (loads->len, 1);
  executor_load_t load = g_array_index (loads, executor_load_t, 0);
  g_array_unref (loads);
  return load;
}
