/* test_executor_losses.c -- endpoints that are lost under a task
 */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Endpoint NUMBER answers its last poll as the instance STARTED_AT_MS, without runs. */
static void
answer_as_instance (scenario_t *scenario, int number, int64_t started_at_ms)
{
  const poll_result_t result = { .endpoint_clock_ms = scenario->now_ms + 5,
                                 .started_at_ms = started_at_ms };

  g_array_set_size (scenario->actions, 0);
  executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_OK, &result,
                          scenario->now_ms, scenario->actions);
}

/* Begins a scenario with two idle endpoints and a batch, whose first task has started on e0. */
static void
scenario_begin_with_run (scenario_t *scenario, const executor_batch_t *batch)
{
  scenario_begin (scenario);
  add_endpoint (scenario, 0, "r1", 3000);
  add_endpoint (scenario, 1, "r1", 4000);
  run_round_at (scenario, 10);
  answer_as_instance (scenario, 0, 1);
  answer_as_instance (scenario, 1, 1);
  executor_submit (scenario->executor, batch, 10);
  run_round_at (scenario, 10);
  CU_ASSERT_STRING_EQUAL (scenario->start_endpoint, "e0");
  confirm_starts (scenario);
}

static const struct
{
  const char *name;
  bool confirmed; /* the start, before the poll shows the restart */
} unnoticed_instance_cases[] = {
  { "the start was confirmed", true },
  { "the start was not answered", false },
};

/* The first order to an endpoint that has restarted unnoticed starts a run on the new instance.
 * That run goes on, and its task does not start elsewhere. */
static void
test_run_on_unnoticed_instance (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (unnoticed_instance_cases); i++)
    {
      const poll_active_t row = { "j.0.0.0", 1, 10 };
      const poll_result_t result = {
        .endpoint_clock_ms = 5, .started_at_ms = 900, .active = &row, .active_count = 1
      };
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", 3000);
      add_endpoint (&scenario, 1, "r1", 4000);
      run_round_at (&scenario, 0);
      answer_as_instance (&scenario, 0, 1);
      answer_as_instance (&scenario, 1, 1);
      executor_submit (scenario.executor, &batch, 1000);
      run_round_at (&scenario, 1000);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      if (unnoticed_instance_cases[i].confirmed)
        executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 101, 1001,
                                 scenario.actions);
      run_round_at (&scenario, 1002);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                              1003, scenario.actions);
      bool stopped = false;
      for (int64_t now_ms = 1004; now_ms < 1004 + LEASE_MS / 2; now_ms += 10)
        {
          run_round_at (&scenario, now_ms);
          CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
          stopped |= scenario.stop_task[0] != '\0';
        }
      if (stopped)
        printf ("  %s: stopped\n", unnoticed_instance_cases[i].name);
      CU_ASSERT_FALSE (stopped);
      scenario_end (&scenario);
    }
}

/* The endpoint of the last start order restarts at NOW_MS. */
static void
restart_endpoint_at (scenario_t *scenario, int64_t now_ms)
{
  int number = strcmp (scenario->start_endpoint, "e1") == 0;

  executor_start_answered (scenario->executor, scenario->start_serial, EXECUTOR_OK,
                           scenario->now_ms, scenario->now_ms, scenario->actions);
  run_round_at (scenario, now_ms);
  answer_as_instance (scenario, number, now_ms);
  run_round_at (scenario, now_ms + 1);
}

/* A task that crashes the endpoints that start it would take them down one after the other. */
static void
test_crashing_task_given_up (void)
{
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_with_run (&scenario, &batch);
  restart_endpoint_at (&scenario, 50);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  add_instance (&scenario, 0, "r1", 3000, 50);
  restart_endpoint_at (&scenario, 100);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  add_instance (&scenario, 1, "r1", 4000, 100);
  restart_endpoint_at (&scenario, 150);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_FAILED));
  scenario_end (&scenario);
}

/* Endpoints that leave and start again have not crashed under the tasks that they cut short. */
static void
test_leaving_endpoints_not_crashed (void)
{
  executor_endpoint_t leaving = { .address = "127.0.0.1:1",
                                  .service = SERVICE,
                                  .kind = "a",
                                  .rack = "r1",
                                  .started_at_ms = 1,
                                  .free = { 3000, 1000, 0 },
                                  .leaving = true };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_with_run (&scenario, &batch);
  for (int number = 0; number < 2; number++)
    {
      leaving.id = endpoint_ids[number];
      executor_set_endpoint (scenario.executor, &leaving, scenario.now_ms);
      restart_endpoint_at (&scenario, 50 + 50 * number);
      add_instance (&scenario, number, "r1", 3000, 50 + 50 * number);
      run_round_at (&scenario, 60 + 50 * number);
      answer_as_instance (&scenario, number, 50 + 50 * number);
      run_round_at (&scenario, 61 + 50 * number);
    }
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 120).running, 1);
  scenario_end (&scenario);
}

/* A run on a later instance, which is alive, must not count as lost with the earlier instance. */
static void
test_run_on_later_instance_not_lost (void)
{
  const poll_active_t row = { "j.0.0.0", 1, 10 };
  const poll_result_t result = {
    .endpoint_clock_ms = 5, .started_at_ms = 8, .active = &row, .active_count = 1
  };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_with_run (&scenario, &batch);
  for (int64_t now_ms = 200; now_ms <= 400; now_ms += 200)
    {
      run_round_at (&scenario, now_ms);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_NO_ANSWER, NULL,
                              now_ms + 100, scenario.actions);
    }
  run_round_at (&scenario, 600);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 601,
                          scenario.actions);
  run_round_at (&scenario, 610);
  answer_as_instance (&scenario, 0, 605);
  run_round_at (&scenario, 620);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  int64_t restarted_at_ms; /* start of the instance that answers in the end; 0 if none answers */
  bool starts;             /* again, at once */
  bool given_up;           /* when the endpoint of that run has crashed */
} lost_cases[] = {
  { "e0 has crashed as well", 2000, true, true },
  { "e0 was only cut off", 1, true, false },
  { "e0 stays silent", 0, false, false },
};

/* A lease that expires shows a crash only once its endpoint answers as another instance.  Until
 * then the task is held back. */
static void
test_lost_endpoint_resolved (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (lost_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;
      int64_t now_ms = 0;

      scenario_begin_with_run (&scenario, &batch);
      uint64_t lost_poll = scenario.poll_serial[0];
      executor_poll_answered (scenario.executor, lost_poll, EXECUTOR_NO_ANSWER, NULL, 500,
                              scenario.actions);
      while (now_ms < 2 * LEASE_MS && strcmp (scenario.start_endpoint, "e1") != 0)
        run_round_at (&scenario, now_ms += 10);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
      restart_endpoint_at (&scenario, now_ms + 10);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
      add_instance (&scenario, 1, "r1", 4000, now_ms + 10);
      if (lost_cases[i].restarted_at_ms != 0)
        answer_as_instance (&scenario, 0, lost_cases[i].restarted_at_ms);
      run_round_at (&scenario, now_ms + 20);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
      CU_ASSERT_EQUAL (scenario.start_endpoint[0] != '\0', lost_cases[i].starts);
      if (lost_cases[i].starts)
        restart_endpoint_at (&scenario, now_ms + 50);
      if (has_action (&scenario, EXECUTOR_FAILED) != lost_cases[i].given_up)
        printf ("  %s\n", lost_cases[i].name);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_FAILED), lost_cases[i].given_up);
      scenario_end (&scenario);
    }
}

/* How the endpoint of the third run that was lost is found, after it was silent. */
typedef enum
{
  STAYS_SILENT,
  ONLY_CUT_OFF,
  RESTARTED,
  GONE /* another endpoint answers at its address */
} found_t;

static const struct
{
  const char *name;
  crash_state_t earlier; /* of the two losses before */
  found_t found;
  bool starts; /* again */
  bool failed; /* it is reported as failed */
} cut_off_cases[] = {
  { "all three stay silent", CRASH_SUSPECTED, STAYS_SILENT, false, false },
  { "the third was only cut off", CRASH_SUSPECTED, ONLY_CUT_OFF, true, false },
  { "only the third has crashed", CRASH_SUSPECTED, RESTARTED, false, false },
  { "two have crashed, the third is silent", CRASH_CONFIRMED, STAYS_SILENT, false, false },
  { "two have crashed, the third was only cut off", CRASH_CONFIRMED, ONLY_CUT_OFF, true, false },
  { "all three have crashed", CRASH_CONFIRMED, RESTARTED, false, true },
  { "all three have crashed, another has its address", CRASH_CONFIRMED, GONE, false, true },
};

/* Endpoint e0 answers its last poll, or another endpoint in its place. */
static void
find_lost_endpoint (scenario_t *scenario, found_t found)
{
  if (found == GONE)
    executor_poll_answered (scenario->executor, scenario->poll_serial[0], EXECUTOR_INSTANCE_GONE,
                            NULL, scenario->now_ms, scenario->actions);
  else if (found != STAYS_SILENT)
    answer_as_instance (scenario, 0, found == ONLY_CUT_OFF ? 1 : scenario->now_ms);
}

/* A job was answered as failed when three of its endpoints did not answer, although none of them
 * was known to have crashed. */
static void
test_failed_though_only_cut_off (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cut_off_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      crash_history_t *crashes = crash_history_new ();
      const executor_options_t options = { .lease_ms = LEASE_MS,
                                           .stop_ms = STOP_TIMEOUT_MS,
                                           .remote_factor = 2,
                                           .resubmit_ms = RESUBMIT_MS,
                                           .crashes = crashes };
      scenario_t scenario;
      bool failed = false;
      bool started = false;

      scenario_begin (&scenario);
      executor_free (scenario.executor);
      scenario.executor = executor_new (&options);
      for (int32_t attempt = 101; attempt <= 102; attempt++)
        {
          crash_loss_t loss = { .task = "j.0.0.0",
                                .attempt = attempt,
                                .endpoint = attempt == 101 ? "x0" : "x1",
                                .endpoint_started_at_ms = 1,
                                .had_started = true,
                                .state = cut_off_cases[i].earlier };
          crash_history_add (crashes, &loss, -2 * CRASH_HOLD_MS);
        }
      add_endpoint (&scenario, 0, "r1", 3000);
      run_round_at (&scenario, 10);
      answer_as_instance (&scenario, 0, 1);
      batch.deadline_at_ms = 100000;
      executor_submit (scenario.executor, &batch, 10);
      run_round_at (&scenario, 10);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      confirm_starts (&scenario);
      int64_t silent_until_ms = 3 * LEASE_MS;
      for (int64_t now_ms = 20; now_ms < silent_until_ms; now_ms += 10)
        {
          run_round_at (&scenario, now_ms);
          failed |= has_action (&scenario, EXECUTOR_FAILED);
          if (now_ms % 100 == 0)
            executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_NO_ANSWER,
                                    NULL, now_ms, scenario.actions);
        }
      CU_ASSERT_FALSE (failed);
      find_lost_endpoint (&scenario, cut_off_cases[i].found);
      for (int64_t now_ms = silent_until_ms; now_ms < silent_until_ms + 2 * CRASH_HOLD_MS;
           now_ms += 10)
        {
          run_round_at (&scenario, now_ms);
          failed |= has_action (&scenario, EXECUTOR_FAILED);
          started |= scenario.start_endpoint[0] != '\0';
          if (cut_off_cases[i].found == ONLY_CUT_OFF || cut_off_cases[i].found == RESTARTED)
            answer_as_instance (&scenario, 0,
                                cut_off_cases[i].found == ONLY_CUT_OFF ? 1 : silent_until_ms - 10);
        }
      if (failed != cut_off_cases[i].failed || started != cut_off_cases[i].starts)
        printf ("  %s: failed %d, started %d\n", cut_off_cases[i].name, failed, started);
      CU_ASSERT_EQUAL (failed, cut_off_cases[i].failed);
      CU_ASSERT_EQUAL (started, cut_off_cases[i].starts);
      scenario_end (&scenario);
      crash_history_free (crashes);
    }
}

/* A job was answered as failed when one endpoint rejected one order. */
static void
test_failed_by_one_rejection (void)
{
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin (&scenario);
  add_endpoint (&scenario, 0, "r1", 3000);
  add_endpoint (&scenario, 1, "r1", 4000);
  run_round_at (&scenario, 10);
  answer_as_instance (&scenario, 0, 1);
  answer_as_instance (&scenario, 1, 1);
  executor_submit (scenario.executor, &batch, 10);
  run_round_at (&scenario, 10);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_INVALID, 12, 12,
                           scenario.actions);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  run_round_at (&scenario, 20);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_INVALID, 22, 22,
                           scenario.actions);
  run_round_at (&scenario, 30);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_INVALID, 32, 32,
                           scenario.actions);
  /* Not EXECUTOR_FAILED, as the cause is told in a message of its own, which may be lost. */
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_FAILED));
  const executor_action_t *given_up = last_action (&scenario, EXECUTOR_OVERDUE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (given_up);
  CU_ASSERT_TRUE (given_up != NULL && given_up->failure.cause == TASK_FAILURE_REJECTED);
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  int64_t e1_started_at_ms; /* start of the instance of e1 that answers after the stop */
  int32_t confirmed;
} stopped_cases[] = {
  { "e1 has crashed", 105, 2 },
  { "e1 is the same instance", 1, 1 },
};

/* An endpoint that had confirmed a stop, and crashed before the run was over, was not counted. */
static void
test_crash_while_stopped_not_counted (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (stopped_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;
      int32_t confirmed = 0;

      scenario_begin_with_run (&scenario, &batch);
      restart_endpoint_at (&scenario, 50);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
      confirm_starts (&scenario);
      executor_cancel (scenario.executor, batch.coordinator, batch.batch, STOP_UNKNOWN, 90,
                       scenario.actions);
      run_round_at (&scenario, 100);
      CU_ASSERT_STRING_EQUAL (scenario.stop_task, "j.0.0.0");
      executor_stop_answered (scenario.executor, last_action (&scenario, EXECUTOR_STOP)->serial,
                              EXECUTOR_OK, 101, 101, scenario.actions);
      run_round_at (&scenario, 101 + STOP_TIMEOUT_MS + 40);
      answer_as_instance (&scenario, 1, stopped_cases[i].e1_started_at_ms);
      run_round_at (&scenario, 101 + STOP_TIMEOUT_MS + 50);
      const executor_action_t *loss = last_action (&scenario, EXECUTOR_LOSS);
      confirmed = loss != NULL ? loss->crashes.confirmed : 0;
      if (confirmed != stopped_cases[i].confirmed)
        printf ("  %s: %d confirmed\n", stopped_cases[i].name, confirmed);
      CU_ASSERT_EQUAL (confirmed, stopped_cases[i].confirmed);
      scenario_end (&scenario);
    }
}

/* Runs beside a task that crashes its endpoint would be lost with it. */
static void
test_nothing_starts_beside_suspect (void)
{
  static const int32_t other_indexes[] = { 0, 1, 2, 3, 4, 5, 6 };
  executor_batch_t batch = batch_of ("j", 1);
  executor_batch_t other = batch_of ("other", 2);
  scenario_t scenario;
  int starts[2] = { 0, 0 };

  scenario_begin_with_run (&scenario, &batch);
  restart_endpoint_at (&scenario, 50);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  add_instance (&scenario, 0, "r1", 3000, 50);
  answer_as_instance (&scenario, 0, 50);
  other.indexes = other_indexes;
  other.count = G_N_ELEMENTS (other_indexes);
  executor_submit (scenario.executor, &other, 52);
  run_round_at (&scenario, 52);
  for (guint i = 0; i < scenario.actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario.actions, executor_action_t, i);
      if (action->kind == EXECUTOR_START)
        starts[strcmp (action->endpoint, "e1") == 0]++;
    }
  CU_ASSERT_EQUAL (starts[0], 3);
  CU_ASSERT_EQUAL (starts[1], 0);
  scenario_end (&scenario);
}

/* A task that is held back after crashes must not make others be refused for the time that it has
 * waited. */
static void
test_held_task_refuses_no_other (void)
{
  const executor_options_t options = { .lease_ms = LEASE_MS, .stop_ms = STOP_TIMEOUT_MS };
  executor_batch_t running = batch_of ("running", 1);
  executor_batch_t held = batch_of ("held", 2);
  executor_batch_t other = batch_of ("other", 3);
  scenario_t scenario;

  scenario_begin (&scenario);
  executor_free (scenario.executor);
  crash_history_t *crashes = crash_history_new ();
  executor_options_t with_crashes = options;
  with_crashes.crashes = crashes;
  scenario.executor = executor_new (&with_crashes);
  for (int i = 0; i < 2; i++)
    {
      crash_loss_t loss = { .task = "held.0.0.0",
                            .attempt = i + 1,
                            .endpoint = endpoint_ids[i],
                            .endpoint_started_at_ms = 1,
                            .had_started = true };
      CU_ASSERT_TRUE (crash_history_add (crashes, &loss, 0));
    }
  add_endpoint (&scenario, 0, "r1", 1000);
  run_round_at (&scenario, 0);
  answer_poll (&scenario, 0, NULL, 0);
  executor_submit (scenario.executor, &running, 0);
  executor_submit (scenario.executor, &held, 0);
  run_round_at (&scenario, 0);
  CU_ASSERT_STRING_EQUAL (scenario.start_task, "running.0.0.0");
  confirm_starts (&scenario);
  other.deadline_at_ms = 560;
  executor_submit (scenario.executor, &other, 300);
  run_round_at (&scenario, 300);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_EXPIRED));
  scenario_end (&scenario);
  crash_history_free (crashes);
}

/* If several endpoints are lost, those that are left must not all be given to the tasks that were
 * on them. */
static void
test_suspects_leave_endpoints (void)
{
  static const int32_t indexes[] = { 0, 1, 2 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;
  int starts = 0;

  batch.indexes = indexes;
  batch.count = G_N_ELEMENTS (indexes);
  scenario_begin_with_run (&scenario, &batch);
  run_round_at (&scenario, 49);
  answer_as_instance (&scenario, 0, 50);
  run_round_at (&scenario, 50);
  answer_as_instance (&scenario, 0, 50);
  run_round_at (&scenario, 51);
  for (guint i = 0; i < scenario.actions->len; i++)
    starts += g_array_index (scenario.actions, executor_action_t, i).kind == EXECUTOR_START;
  CU_ASSERT_TRUE (starts <= 1);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 51).running, 1);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 51).waiting, 2);
  scenario_end (&scenario);
}

/* Entry of endpoint e0 that names ADDRESS. */
static void
set_address_of_e0 (scenario_t *scenario, const char *address)
{
  const executor_endpoint_t entry = { .id = endpoint_ids[0],
                                      .address = address,
                                      .service = SERVICE,
                                      .kind = "a",
                                      .rack = "r1",
                                      .started_at_ms = 1,
                                      .free = { 3000, 1000, 0 } };

  executor_set_endpoint (scenario->executor, &entry, scenario->now_ms);
}

#define OWN_ADDRESS "127.0.0.1:1"
#define OTHER_ADDRESS "127.0.0.1:9"

static const struct
{
  const char *name;
  const char *lost; /* endpoint whose loss is suspected, and which was at LOST_ADDRESS */
  const char *lost_address;
  const char *address; /* of e0, by an entry that comes while e0 is polled */
  bool answers;        /* e0 answers that poll; else the polls after it name another endpoint */
  int32_t confirmed;
} address_cases[] = {
  { "another endpoint is where e0 was", "e0", OWN_ADDRESS, OWN_ADDRESS, false, 1 },
  { "another endpoint is where e0 never answered", "e0", OWN_ADDRESS, OTHER_ADDRESS, false, 0 },
  { "e0 answers where the lost one was", "e9", OWN_ADDRESS, OWN_ADDRESS, true, 1 },
  { "e0 has answered elsewhere", "e9", OTHER_ADDRESS, OTHER_ADDRESS, true, 0 },
};

/* An endpoint was taken to have crashed because an entry named an address that no answer had come
 * from. */
static void
test_crash_shown_by_entry_alone (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (address_cases); i++)
    {
      crash_history_t *crashes = crash_history_new ();
      const executor_options_t options = {
        .lease_ms = LEASE_MS, .stop_ms = STOP_TIMEOUT_MS, .remote_factor = 2, .crashes = crashes
      };
      crash_loss_t loss = { .task = TASK,
                            .attempt = 1,
                            .endpoint = address_cases[i].lost,
                            .address = address_cases[i].lost_address,
                            .endpoint_started_at_ms = 1,
                            .had_started = true };
      scenario_t scenario;

      scenario_begin (&scenario);
      executor_free (scenario.executor);
      scenario.executor = executor_new (&options);
      set_address_of_e0 (&scenario, OWN_ADDRESS);
      run_round_at (&scenario, 10);
      crash_history_add (crashes, &loss, 10);
      set_address_of_e0 (&scenario, address_cases[i].address);
      if (address_cases[i].answers)
        answer_as_instance (&scenario, 0, 1);
      for (int64_t now_ms = 20; now_ms < 200 && !address_cases[i].answers; now_ms += 10)
        {
          run_round_at (&scenario, now_ms);
          executor_poll_answered (scenario.executor, scenario.poll_serial[0],
                                  EXECUTOR_INSTANCE_GONE, NULL, now_ms, scenario.actions);
        }
      int32_t confirmed = crash_history_counts (crashes, TASK).confirmed;
      if (confirmed != address_cases[i].confirmed)
        printf ("  %s: %d confirmed\n", address_cases[i].name, confirmed);
      CU_ASSERT_EQUAL (confirmed, address_cases[i].confirmed);
      scenario_end (&scenario);
      crash_history_free (crashes);
    }
}

static const struct
{
  const char *name;
  int64_t told_ms; /* start time that the endpoint tells in polls; 0 if it tells none */
  bool by_entry; /* an entry names a later start; else a poll has an earlier clock or that start */
  int32_t confirmed;
} restart_cases[] = {
  { "an entry, of an endpoint that tells no start time", 0, true, 0 },
  { "an earlier clock, of an endpoint that tells no start time", 0, false, 0 },
  { "an entry, before the endpoint tells it", 1, true, 0 },
  { "the endpoint tells it", 1, false, 1 },
};

/* A crash counted as certain although its endpoint had not told that it had started again. */
static void
test_crash_not_told_by_endpoint (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (restart_cases); i++)
    {
      const int64_t told_ms = restart_cases[i].told_ms;
      const executor_batch_t batch = batch_of ("j", 1);
      const poll_result_t first = { .endpoint_clock_ms = 5000, .started_at_ms = told_ms };
      const poll_active_t run = { TASK, 1, 10 };
      const poll_result_t listed = {
        .endpoint_clock_ms = 5002, .started_at_ms = told_ms, .active = &run, .active_count = 1
      };
      const poll_result_t later = { .endpoint_clock_ms = 10,
                                    .started_at_ms = told_ms != 0 ? 40 : 0 };
      crash_history_t *crashes = crash_history_new ();
      const executor_options_t options = {
        .lease_ms = LEASE_MS, .stop_ms = STOP_TIMEOUT_MS, .remote_factor = 2, .crashes = crashes
      };
      scenario_t scenario;

      scenario_begin (&scenario);
      executor_free (scenario.executor);
      scenario.executor = executor_new (&options);
      add_instance (&scenario, 0, "r1", 3000, 1);
      run_round_at (&scenario, 10);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &first, 10,
                              scenario.actions);
      executor_submit (scenario.executor, &batch, 10);
      run_round_at (&scenario, 10);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5001, 11,
                               scenario.actions);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &listed, 12,
                              scenario.actions);
      run_round_at (&scenario, 50);
      if (restart_cases[i].by_entry)
        add_instance (&scenario, 0, "r1", 3000, 40);
      else
        executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &later, 51,
                                scenario.actions);
      int32_t confirmed = crash_history_counts (crashes, TASK).confirmed;
      if (confirmed != restart_cases[i].confirmed)
        printf ("  %s: %d confirmed\n", restart_cases[i].name, confirmed);
      CU_ASSERT_EQUAL (confirmed, restart_cases[i].confirmed);
      scenario_end (&scenario);
      crash_history_free (crashes);
    }
}

static const unit_test_t tests[] = {
  { "a run on an instance that was not noticed before", test_run_on_unnoticed_instance },
  { "a task that crashes endpoints is given up", test_crashing_task_given_up },
  { "endpoints that leave have not crashed", test_leaving_endpoints_not_crashed },
  { "a run on a later instance does not count as lost", test_run_on_later_instance_not_lost },
  { "a lost endpoint answers again", test_lost_endpoint_resolved },
  { "a job failed though its endpoints were only cut off", test_failed_though_only_cut_off },
  { "a job failed because one endpoint rejected one order", test_failed_by_one_rejection },
  { "an endpoint that an entry alone shows as crashed", test_crash_shown_by_entry_alone },
  { "a crash that its endpoint has not told", test_crash_not_told_by_endpoint },
  { "a crash under a run that was being stopped was not counted",
    test_crash_while_stopped_not_counted },
  { "nothing starts beside a suspect task", test_nothing_starts_beside_suspect },
  { "a task that is held back refuses no other", test_held_task_refuses_no_other },
  { "suspect tasks leave endpoints to others", test_suspects_leave_endpoints },
};

int
main (void)
{
  return unit_run ("endpoints that are lost", tests, G_N_ELEMENTS (tests));
}
