/* test_scheduler.c -- single decisions of lib/scheduler on scripted events */
#include "scheduler/scheduler.h"
#include "scheduler/size_history.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* The size class of a job after jobs of sizes 1 to 100 in queue "q". */
static const struct
{
  const char *queue;
  double size;
  scheduler_size_class_t rank;
} size_cases[] = {
  { "q", 101, SCHEDULER_SIZE_LARGEST }, { "q", 91.5, SCHEDULER_SIZE_LARGEST },
  { "q", 89.5, SCHEDULER_SIZE_LARGE },  { "q", 71.5, SCHEDULER_SIZE_LARGE },
  { "q", 69.5, SCHEDULER_SIZE_USUAL },  { "q", 1, SCHEDULER_SIZE_USUAL },
  { "new", 101, SCHEDULER_SIZE_USUAL },
};

static void
test_size_classes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (size_cases); i++)
    {
      size_history_t *sizes = size_history_new ();
      for (int size = 1; size <= 100; size++)
        size_history_add (sizes, "q", size);
      CU_ASSERT_EQUAL (size_history_add (sizes, size_cases[i].queue, size_cases[i].size),
                       size_cases[i].rank);
      size_history_free (sizes);
    }
}

/* Sizes older than the last SIZE_HISTORY_JOBS must no longer count. */
static void
test_size_history_length (void)
{
  size_history_t *sizes = size_history_new ();

  for (int i = 0; i < SIZE_HISTORY_JOBS; i++)
    size_history_add (sizes, "q", 1000);
  for (int i = 0; i < SIZE_HISTORY_JOBS; i++)
    size_history_add (sizes, "q", 10);
  CU_ASSERT_EQUAL (size_history_add (sizes, "q", 100), SCHEDULER_SIZE_LARGEST);
  size_history_free (sizes);
}

/* Returns a job of one task with its deadline at 1.5 s. */
static scheduler_job_t
make_job (int64_t estimate_ms)
{
  return (scheduler_job_t){ .id = "j",
                            .spec = "work",
                            .service = "s",
                            .tasks = 1,
                            .need = { 1000, 10, 0 },
                            .estimate_ms = estimate_ms,
                            .stretch_factor = 3,
                            .target_ms = 60,
                            .deadline_at_ms = 1500,
                            .attempts_max = 3,
                            .label = "",
                            .preferred_rack = "" };
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int32_t fast_slots; /* free slots, of 4 in x */
  int32_t slow_slots; /* free slots, of 4 in y */
  const char *to;
} slow_owner_cases[] = {
  { "small, both are fast enough", 100, 4, 4, "x" },
  { "small, the fast slots are taken, the slow one is fast enough", 100, 0, 4, "y" },
  { "small, the slow slots are taken", 100, 4, 0, "x" },
  { "large", 1500, 4, 4, "x" },
  { "large, the fast slots are taken, waits for them", 1500, 0, 4, "x" },
  { "larger, the fast slots are taken, waits for them", 3000, 0, 4, "x" },
};

/* A large job must not be sent to an owner with slow endpoints only because the fast ones are
 * occupied. */
static void
test_large_job_to_slow_owner (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };

  for (size_t i = 0; i < G_N_ELEMENTS (slow_owner_cases); i++)
    {
      const executor_offer_t fast = { "s", slow_owner_cases[i].fast_slots, 4, 0.7 };
      const executor_offer_t slow = { "s", slow_owner_cases[i].slow_slots, 4, 1.7 };
      const scheduler_job_t job = make_job (slow_owner_cases[i].estimate_ms);
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);

      scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
      scheduler_set_owner (scheduler, "y", "hy", 1, 0, actions);
      report_offers (scheduler, "x", "hx", &fast, 1, NULL, 0);
      report_offers (scheduler, "y", "hy", &slow, 1, NULL, 0);
      scheduler_submit (scheduler, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, 1);
      const scheduler_action_t *submit = &g_array_index (actions, scheduler_action_t, 0);
      if (strcmp (submit->shard, slow_owner_cases[i].to) != 0)
        printf ("  %s: to %s\n", slow_owner_cases[i].name, submit->shard);
      CU_ASSERT_STRING_EQUAL (submit->shard, slow_owner_cases[i].to);
      g_array_unref (submit->task_indexes);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

#define ANSWER_BY_MS 1000 /* before the deadline of make_job () */

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int64_t submitted_at_ms;
  bool stopping;          /* the host stops already */
  bool sent;              /* an owner has free slots */
  bool never_started;     /* the owner's confirmation says so; else it says nothing */
  int64_t answered_at_ms; /* at the latest */
  scheduler_outcome_t outcome;
} stop_cases[] = {
  { "submitted before, not confirmed", 100, 0, false, true, false, 1100, SCHEDULER_GIVEN_UP },
  { "submitted before, not started", 100, 0, false, true, true, 1010, SCHEDULER_REFUSED },
  { "submitted before, too long", 1400, 0, false, true, true, 1010, SCHEDULER_REFUSED },
  { "submitted after, not started", 100, 600, true, true, true, 1010, SCHEDULER_REFUSED },
  { "submitted after, too long", 1400, 600, true, false, false, 600, SCHEDULER_REFUSED },
  { "submitted after the last answer", 10, 1020, true, false, false, 1020, SCHEDULER_REFUSED },
};

/* Steps until a job is answered.  Returns the time of the answer, or -1. */
static int64_t
step_until_answered (scheduler_t *scheduler,
                     GArray *actions,
                     int64_t from_ms,
                     bool never_started,
                     scheduler_outcome_t *outcome)
{
  for (int64_t now_ms = from_ms; now_ms < 1500; now_ms += 5)
    {
      for (guint i = 0; i < actions->len; i++)
        {
          const scheduler_action_t action = g_array_index (actions, scheduler_action_t, i);
          *outcome = action.outcome;
          if (action.kind == SCHEDULER_ANSWER)
            return now_ms;
          if (action.kind == SCHEDULER_SUBMIT)
            g_array_unref (action.task_indexes);
          if (action.kind == SCHEDULER_CANCEL && never_started)
            scheduler_batch_end_confirmed (scheduler, action.host, action.batch_number, true,
                                           now_ms, actions);
        }
      g_array_set_size (actions, 0);
      scheduler_step (scheduler, now_ms, actions);
    }
  return -1;
}

/* A host that stopped ended with jobs that it had not answered.  Every job has its answer by the
 * time that the host has set, and a job that can't end by then is refused on arrival. */
static void
test_host_stops_with_jobs (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (stop_cases); i++)
    {
      const scheduler_job_t job = make_job (stop_cases[i].estimate_ms);
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);
      scheduler_outcome_t outcome = SCHEDULER_COMPLETE;

      scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
      report_offers (scheduler, "x", "hx", &offer, 1, NULL, 0);
      if (stop_cases[i].stopping)
        scheduler_stop (scheduler, ANSWER_BY_MS);
      scheduler_submit (scheduler, &job, stop_cases[i].submitted_at_ms, actions);
      CU_ASSERT_EQUAL (g_array_index (actions, scheduler_action_t, 0).kind == SCHEDULER_SUBMIT,
                       stop_cases[i].sent);
      scheduler_stop (scheduler, ANSWER_BY_MS);
      int64_t answered_at_ms = step_until_answered (
          scheduler, actions, stop_cases[i].submitted_at_ms, stop_cases[i].never_started, &outcome);
      bool in_time = answered_at_ms >= 0 && answered_at_ms <= stop_cases[i].answered_at_ms;
      if (!in_time || outcome != stop_cases[i].outcome)
        printf ("  %s: %d at %d ms\n", stop_cases[i].name, (int) outcome, (int) answered_at_ms);
      CU_ASSERT_TRUE (in_time);
      CU_ASSERT_EQUAL (outcome, stop_cases[i].outcome);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

typedef enum
{
  SENT_ONCE,
  RESENT,         /* sent again after a reconnect */
  SENT_AFTER_DROP /* sent again because the owner had lost this host and dropped the batch */
} delivery_t;

static const struct
{
  const char *name;
  delivery_t sent;
  scheduler_task_end_t how; /* what the owner then reports about the task */
  bool reassigned;
} not_run_cases[] = {
  { "never accepted", SENT_ONCE, SCHEDULER_TASK_NOT_OWNED, true },
  { "accepted, then sent again to a host that no longer owns the shard", RESENT,
    SCHEDULER_TASK_NOT_OWNED, false },
  { "sent again to the owner", RESENT, SCHEDULER_TASK_RETURNED, true },
  { "dropped by an owner that no longer owns the shard", SENT_AFTER_DROP, SCHEDULER_TASK_NOT_OWNED,
    false },
};

/* Returns the scheduler of a process with one job, sent to host "hx", the owner of shard "x". */
static scheduler_t *
scheduler_of_process (uint64_t incarnation, GArray *actions)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "x",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = incarnation,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const scheduler_job_t job = make_job (100);
  scheduler_t *scheduler = scheduler_new (&options);

  scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
  report_offers (scheduler, "x", "hx", &offer, 1, NULL, 0);
  scheduler_submit (scheduler, &job, 0, actions);
  return scheduler;
}

static scheduler_t *
scheduler_with_job (GArray *actions)
{
  return scheduler_of_process (0, actions);
}

static void
free_actions (GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    if (g_array_index (actions, scheduler_action_t, i).task_indexes != NULL)
      g_array_unref (g_array_index (actions, scheduler_action_t, i).task_indexes);
  g_array_unref (actions);
}

/* A host that no longer owns the shard may have accepted a task and forgotten it since.  If its
 * answer "not owned" counted as "never started", the task could run twice. */
static void
test_not_owned_after_resend (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (not_run_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_with_job (actions);

      if (not_run_cases[i].sent == RESENT)
        scheduler_resend_batches (scheduler, "hx", actions);
      if (not_run_cases[i].sent == SENT_AFTER_DROP)
        scheduler_batches_dropped (scheduler, "hx", 1, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, not_run_cases[i].sent == SENT_ONCE ? 1 : 2);
      const scheduler_action_t *last =
          &g_array_index (actions, scheduler_action_t, actions->len - 1);
      CU_ASSERT_EQUAL (last->batch.maybe_running, not_run_cases[i].sent == SENT_AFTER_DROP);
      CU_ASSERT_EQUAL (last->batch.token, 1);
      uint64_t number = last->batch_number;
      guint before = actions->len;
      scheduler_task_ended (scheduler, "hx", number, 0, not_run_cases[i].how, 2, actions);
      scheduler_step (scheduler, 3, actions);
      if ((actions->len > before) != not_run_cases[i].reassigned)
        printf ("  %s\n", not_run_cases[i].name);
      CU_ASSERT_EQUAL (actions->len > before, not_run_cases[i].reassigned);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

static int
count_of (const GArray *actions, scheduler_action_kind_t kind)
{
  int count = 0;

  for (guint i = 0; i < actions->len; i++)
    count += g_array_index (actions, scheduler_action_t, i).kind == kind;
  return count;
}

static const struct
{
  const char *name;
  bool lost;      /* this host no longer receives messages from the owner */
  bool confirmed; /* the owner has confirmed the first release */
  int releases;   /* after four steps of 70 ms */
} release_cases[] = {
  { "owner reachable, confirmed", false, true, 1 },
  { "owner reachable, not confirmed", false, false, 5 },
  { "owner lost, but it receives and confirms", true, true, 1 },
  { "owner lost", true, false, 5 },
};

/* A release must be sent again until it is confirmed.  An old owner that missed it would start the
 * tasks at its next claim, although they belong to another owner now. */
static void
test_release_is_resent (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (release_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_with_job (actions);
      uint64_t number = g_array_index (actions, scheduler_action_t, 0).batch_number;

      if (release_cases[i].lost)
        scheduler_host_lost (scheduler, "hx", 10, 10, actions);
      scheduler_set_owner (scheduler, "x", "hy", 2, 20, actions);
      CU_ASSERT_EQUAL (count_of (actions, SCHEDULER_SUBMIT), 2);
      if (release_cases[i].confirmed)
        scheduler_batch_end_confirmed (scheduler, "hx", number, false, 21, actions);
      for (int64_t now_ms = 90; now_ms <= 300; now_ms += 70)
        scheduler_step (scheduler, now_ms, actions);
      if (count_of (actions, SCHEDULER_RELEASE) != release_cases[i].releases)
        printf ("  %s\n", release_cases[i].name);
      CU_ASSERT_EQUAL (count_of (actions, SCHEDULER_RELEASE), release_cases[i].releases);
      CU_ASSERT_EQUAL (count_of (actions, SCHEDULER_ANSWER), 0);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

#define START_BY_MS 1000

typedef enum
{
  SECOND_SILENT, /* its owner reports nothing */
  SECOND_UNSTARTED,
  SECOND_DONE
} second_task_t;

static const struct
{
  const char *name;
  second_task_t second; /* the end of the task at "hy"; the one at "hx" has not started */
  int64_t at_ms;        /* time of the last step */
  int submits;          /* until then, with the two of the start */
  int refused;
} start_cases[] = {
  { "no task has started", SECOND_UNSTARTED, START_BY_MS + 1, 2, 1 },
  { "the other owner may be about to report", SECOND_SILENT, START_BY_MS + 1, 2, 0 },
  { "the other part may run", SECOND_SILENT, START_BY_MS + 100, 3, 0 },
  { "the other part is done", SECOND_DONE, START_BY_MS + 1, 3, 0 },
};

/* A job of which a part has started must not be ended by its queue's time.  One that has not
 * started must be refused, but only once no owner can have started a part of it. */
static void
test_queue_time (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 1, 1, 1.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (start_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);
      scheduler_job_t job = make_job (100);

      job.tasks = 2;
      job.start_by_ms = START_BY_MS;
      job.deadline_at_ms = 8000;
      scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
      scheduler_set_owner (scheduler, "y", "hy", 1, 0, actions);
      report_offers (scheduler, "x", "hx", &offer, 1, NULL, 0);
      report_offers (scheduler, "y", "hy", &offer, 1, NULL, 0);
      scheduler_submit (scheduler, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (count_of (actions, SCHEDULER_SUBMIT), 2);
      for (guint k = 0; k < 2; k++)
        {
          const scheduler_action_t sent = g_array_index (actions, scheduler_action_t, k);
          int32_t index = g_array_index (sent.task_indexes, int32_t, 0);
          bool first = strcmp (sent.host, "hx") == 0;
          if (first || start_cases[i].second != SECOND_SILENT)
            scheduler_task_ended (scheduler, sent.host, sent.batch_number, index,
                                  !first && start_cases[i].second == SECOND_DONE
                                      ? SCHEDULER_TASK_DONE
                                      : SCHEDULER_TASK_UNSTARTED,
                                  START_BY_MS, actions);
        }
      scheduler_step (scheduler, start_cases[i].at_ms, actions);
      int refused = 0;
      for (guint k = 0; k < actions->len; k++)
        {
          const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, k);
          refused += action->kind == SCHEDULER_ANSWER && action->outcome == SCHEDULER_REFUSED
                     && action->limit == SCHEDULER_LIMIT_QUEUE_TIME;
        }
      if (refused != start_cases[i].refused
          || count_of (actions, SCHEDULER_SUBMIT) != start_cases[i].submits)
        printf ("  %s\n", start_cases[i].name);
      CU_ASSERT_EQUAL (refused, start_cases[i].refused);
      CU_ASSERT_EQUAL (count_of (actions, SCHEDULER_SUBMIT), start_cases[i].submits);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

/* The owners of "x" and "y" offer endpoints for service "s", that of "z" for another service. */
static const struct
{
  const char *name;
  const char *drained; /* names separated by spaces */
  const char *to;      /* shard that the job is sent to; NULL if it is refused */
} drained_cases[] = {
  { "none is drained", "", "x" },
  { "the local one", "x", "y" },
  { "both with endpoints", "x y", NULL },
  { "all three", "x y z", NULL },
  { "another one and an unknown one", "y nowhere", "x" },
};

/* No job may be sent to a drained data centre, and a job must be refused at once, rather than held
 * until a timeout, if there is no other data centre for it. */
static void
test_drained_data_centres (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "x",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const executor_offer_t drained_offer = { "s", 0, 0, 1.0 };
  const executor_offer_t other = { "t", 4, 4, 1.0 };
  static const char *const shards[] = { "x", "y" };

  for (size_t i = 0; i < G_N_ELEMENTS (drained_cases); i++)
    for (int drained_after_offers = 0; drained_after_offers < 2; drained_after_offers++)
      {
        GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
        scheduler_t *scheduler = scheduler_new (&options);
        const scheduler_job_t job = make_job (100);
        char **names = g_strsplit (drained_cases[i].drained, " ", -1);

        /* A host that has just started knows the drained data centres before it receives any offer,
         * and their owners offer no slots. */
        for (char **name = names; drained_after_offers == 0 && *name != NULL; name++)
          scheduler_set_drained (scheduler, *name, true);
        for (size_t k = 0; k < G_N_ELEMENTS (shards); k++)
          {
            bool empty = drained_after_offers == 0
                         && g_strv_contains ((const char *const *) names, shards[k]);
            scheduler_set_owner (scheduler, shards[k], "o", 1, 0, actions);
            report_offers (scheduler, shards[k], "o", empty ? &drained_offer : &offer, 1, NULL, 0);
          }
        scheduler_set_owner (scheduler, "z", "o", 1, 0, actions);
        report_offers (scheduler, "z", "o", &other, 1, NULL, 0);
        for (char **name = names; drained_after_offers == 1 && *name != NULL; name++)
          scheduler_set_drained (scheduler, *name, true);
        CU_ASSERT_TRUE (scheduler_has_offers (scheduler));
        scheduler_submit (scheduler, &job, 0, actions);
        scheduler_step (scheduler, 5, actions);
        CU_ASSERT_EQUAL_FATAL (actions->len, 1);
        const scheduler_action_t *first = &g_array_index (actions, scheduler_action_t, 0);
        if (drained_cases[i].to != NULL)
          {
            CU_ASSERT_EQUAL (first->kind, SCHEDULER_SUBMIT);
            CU_ASSERT_STRING_EQUAL (first->shard, drained_cases[i].to);
          }
        else
          {
            CU_ASSERT_EQUAL (first->kind, SCHEDULER_ANSWER);
            CU_ASSERT_EQUAL (first->outcome, SCHEDULER_REFUSED);
            CU_ASSERT_EQUAL (first->limit, SCHEDULER_LIMIT_DRAINED);
            CU_ASSERT_TRUE (first->retry_after_ms >= 1000);
          }
        /* Once the drain has ended, jobs are sent to the local data centre again. */
        for (char **name = names; *name != NULL; name++)
          scheduler_set_drained (scheduler, *name, false);
        for (size_t k = 0; k < G_N_ELEMENTS (shards); k++)
          report_offers (scheduler, shards[k], "o", &offer, 1, NULL, 0);
        guint before = actions->len;
        scheduler_job_t again = make_job (100);
        again.id = "k";
        scheduler_submit (scheduler, &again, 10, actions);
        CU_ASSERT_EQUAL_FATAL (actions->len, before + 1);
        CU_ASSERT_STRING_EQUAL (g_array_index (actions, scheduler_action_t, before).shard, "x");
        g_strfreev (names);
        scheduler_free (scheduler);
        free_actions (actions);
      }
}

/* A job must not be refused because of a drain while another data centre, whose owner has not sent
 * an offer yet, may have endpoints for it. */
static void
test_drained_unknown_owner (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  scheduler_t *scheduler = scheduler_with_job (actions);
  scheduler_job_t job = make_job (100);

  job.id = "k";
  scheduler_set_owner (scheduler, "y", "hy", 1, 0, actions);
  scheduler_set_drained (scheduler, "x", true);
  guint before = actions->len;
  scheduler_submit (scheduler, &job, 0, actions);
  scheduler_step (scheduler, 5, actions);
  CU_ASSERT_EQUAL (actions->len, before);
  scheduler_free (scheduler);
  free_actions (actions);
}

static const struct
{
  const char *name;
  const char *host; /* that tells the failure */
  task_failure_cause_t told;
  scheduler_task_end_t how;
  task_failure_cause_t cause; /* in the answer */
  scheduler_outcome_t outcome;
  scheduler_limit_t limit;
} failure_cases[] = {
  { "its attempts", "hx", TASK_FAILURE_ATTEMPTS, SCHEDULER_TASK_FAILED, TASK_FAILURE_ATTEMPTS,
    SCHEDULER_FAILED, SCHEDULER_LIMIT_ATTEMPTS },
  { "crashes", "hx", TASK_FAILURE_CRASHES, SCHEDULER_TASK_FAILED, TASK_FAILURE_CRASHES,
    SCHEDULER_FAILED, SCHEDULER_LIMIT_ATTEMPTS },
  { "its orders were rejected: none of its runs has failed", "hx", TASK_FAILURE_REJECTED,
    SCHEDULER_TASK_OVERDUE, TASK_FAILURE_REJECTED, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_ATTEMPTS },
  { "its orders were rejected, the cause is not told", "hy", TASK_FAILURE_REJECTED,
    SCHEDULER_TASK_OVERDUE, TASK_FAILURE_UNKNOWN, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_CALLER_WAIT },
  { "told by another host", "hy", TASK_FAILURE_ATTEMPTS, SCHEDULER_TASK_FAILED,
    TASK_FAILURE_UNKNOWN, SCHEDULER_FAILED, SCHEDULER_LIMIT_ATTEMPTS },
};

/* The answer of a failed job names the whole cause, as lines of single runs may be left out. */
static void
test_failure_in_answer (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (failure_cases); i++)
    {
      const task_failure_t failure = { failure_cases[i].told, 4, 3, 3, { 1, 1, 0 } };
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_with_job (actions);
      uint64_t number = g_array_index (actions, scheduler_action_t, 0).batch_number;

      scheduler_note_failure (scheduler, failure_cases[i].host, number, 0, &failure);
      scheduler_task_ended (scheduler, "hx", number, 0, failure_cases[i].how, 10, actions);
      const scheduler_action_t *answer =
          &g_array_index (actions, scheduler_action_t, actions->len - 1);
      CU_ASSERT_EQUAL_FATAL (answer->kind, SCHEDULER_ANSWER);
      CU_ASSERT_EQUAL (answer->outcome, failure_cases[i].outcome);
      CU_ASSERT_EQUAL (answer->limit, failure_cases[i].limit);
      CU_ASSERT_EQUAL (answer->failure.cause, failure_cases[i].cause);
      CU_ASSERT_EQUAL (answer->failure.failed_runs,
                       failure_cases[i].cause != TASK_FAILURE_UNKNOWN ? 3 : 0);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

static const struct
{
  const char *name;
  scheduler_task_end_t how;
  bool other;                  /* another data centre has endpoints for it */
  scheduler_outcome_t outcome; /* if no other has */
} returned_cases[] = {
  { "never started, assigned elsewhere", SCHEDULER_TASK_RETURNED, true, SCHEDULER_REFUSED },
  { "never started, no other data centre", SCHEDULER_TASK_RETURNED, false, SCHEDULER_REFUSED },
  { "its run has ended, assigned elsewhere", SCHEDULER_TASK_VACATED, true, SCHEDULER_REFUSED },
  { "its run has ended, no other data centre", SCHEDULER_TASK_VACATED, false, SCHEDULER_GIVEN_UP },
};

/* Tasks that a drained data centre returns must be assigned elsewhere at once.  If there is no
 * other data centre, the job may be answered as not run only if none of its tasks has run. */
static void
test_drained_task_returned (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (returned_cases); i++)
    {
      const executor_offer_t offer = { "s", 4, 4, 1.0 };
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_with_job (actions);
      uint64_t number = g_array_index (actions, scheduler_action_t, 0).batch_number;

      if (returned_cases[i].other)
        {
          scheduler_set_owner (scheduler, "y", "hy", 1, 0, actions);
          report_offers (scheduler, "y", "hy", &offer, 1, NULL, 0);
        }
      scheduler_set_drained (scheduler, "x", true);
      scheduler_task_ended (scheduler, "hx", number, 0, returned_cases[i].how, 10, actions);
      scheduler_step (scheduler, 15, actions);
      const scheduler_action_t *last =
          &g_array_index (actions, scheduler_action_t, actions->len - 1);
      CU_ASSERT_EQUAL_FATAL (actions->len, 2);
      CU_ASSERT_EQUAL (last->kind, returned_cases[i].other ? SCHEDULER_SUBMIT : SCHEDULER_ANSWER);
      if (!returned_cases[i].other)
        CU_ASSERT_EQUAL (last->outcome, returned_cases[i].outcome);
      if (returned_cases[i].other)
        CU_ASSERT_FALSE (last->batch.maybe_running);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

#define LOAD_JOBS 200

/* One of three data centres is drained at full load and returns all tasks that wait there.  The
 * next step must assign all of them to the other two owners and none to the drained one. */
static void
test_drain_at_full_load (void)
{
  static const char *const shards[] = { "x", "y", "z" };
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "x",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t full = { "s", 0, 80, 1.0 };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  scheduler_t *scheduler = scheduler_new (&options);
  int in_x = 0;
  int assigned = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (shards); i++)
    {
      scheduler_set_owner (scheduler, shards[i], shards[i], 1, 0, actions);
      report_offers (scheduler, shards[i], shards[i], &full, 1, NULL, 0);
    }
  for (int i = 0; i < LOAD_JOBS; i++)
    {
      char *id = g_strdup_printf ("j%d", i);
      scheduler_job_t job = make_job (60);
      job.id = id;
      job.tasks = 8;
      scheduler_submit (scheduler, &job, 0, actions);
      g_free (id);
    }
  guint sent = actions->len;
  scheduler_set_drained (scheduler, "x", true);
  for (guint i = 0; i < sent; i++)
    {
      const scheduler_action_t batch = g_array_index (actions, scheduler_action_t, i);
      if (strcmp (batch.shard, "x") != 0)
        continue;
      for (guint k = 0; k < batch.task_indexes->len; k++, in_x++)
        scheduler_task_ended (scheduler, "x", batch.batch_number,
                              g_array_index (batch.task_indexes, int32_t, k),
                              SCHEDULER_TASK_RETURNED, 10, actions);
    }
  scheduler_step (scheduler, 10, actions);
  for (guint i = sent; i < actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      CU_ASSERT_EQUAL (action->kind, SCHEDULER_SUBMIT);
      CU_ASSERT_STRING_NOT_EQUAL (action->shard, "x");
      assigned += (int) action->task_indexes->len;
    }
  CU_ASSERT_TRUE (in_x > LOAD_JOBS);
  CU_ASSERT_EQUAL (assigned, in_x);
  scheduler_free (scheduler);
  free_actions (actions);
}

static const struct
{
  const char *name;
  bool second_reported;   /* the other owner has reported its load */
  int64_t reported_at_ms; /* time of both reports */
  int32_t slots;          /* free slots at each owner */
  int64_t backlog_ms[2];  /* backlog of the two owners, as time of all their cores */
  bool refused;
} admission_cases[] = {
  { "no backlog", true, 0, 0, { 0, 0 }, false },
  { "a long backlog everywhere", true, 0, 0, { 9000, 9000 }, true },
  { "a long backlog at one owner", true, 0, 0, { 9000, 0 }, false },
  { "the other owner has not reported yet", false, 0, 0, { 9000, 9000 }, false },
  { "a free slot", true, 0, 1, { 9000, 9000 }, false },
  { "it would be late, but within its deadline", true, 0, 0, { 1200, 1200 }, false },
  { "reports 2 s old", true, -2000, 0, { 9000, 9000 }, true },
  { "reports 2 s old, the backlog may have been worked off",
    true,
    -2000,
    0,
    { 4500, 4500 },
    false },
  { "reports too old to be used", true, -3000, 0, { 9000, 9000 }, false },
};

/* Checks that the refusal names the limit and the forecast that it is based on. */
static void
check_refusal (const scheduler_action_t *action, int64_t reported_at_ms)
{
  CU_ASSERT_EQUAL (action->outcome, SCHEDULER_REFUSED);
  CU_ASSERT_EQUAL (action->limit, SCHEDULER_LIMIT_CAPACITY);
  CU_ASSERT_EQUAL (action->report_age_ms, -reported_at_ms);
  CU_ASSERT_EQUAL (action->expected_wait_ms, 9000 + MAX (reported_at_ms, -300));
  CU_ASSERT_TRUE (action->retry_after_ms > 1000);
}

/* Guards against holding a job that can't be served until its deadline, and against refusing one
 * that can be served. */
static void
test_admission (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const scheduler_job_t job = make_job (100);

  for (size_t i = 0; i < G_N_ELEMENTS (admission_cases); i++)
    {
      const executor_offer_t offer = { "s", admission_cases[i].slots, 4, 1.0 };
      executor_load_t load = { .service = "s", .cores_milli = 4000 };
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);

      scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
      scheduler_set_owner (scheduler, "y", "hy", 1, 0, actions);
      int64_t reported_at_ms = admission_cases[i].reported_at_ms;
      load.backlog_core_ms[0] = admission_cases[i].backlog_ms[0] * 4;
      report_offers (scheduler, "x", "hx", &offer, 1, &load, reported_at_ms);
      load.backlog_core_ms[0] = admission_cases[i].backlog_ms[1] * 4;
      report_offers (scheduler, "y", "hy", &offer, 1,
                     admission_cases[i].second_reported ? &load : NULL, reported_at_ms);
      scheduler_submit (scheduler, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, 1);
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, 0);
      bool refused = action->kind == SCHEDULER_ANSWER;
      if (refused != admission_cases[i].refused)
        printf ("  %s\n", admission_cases[i].name);
      CU_ASSERT_EQUAL (refused, admission_cases[i].refused);
      CU_ASSERT_EQUAL (scheduler_job_count (scheduler), refused ? 0 : 1);
      if (refused)
        check_refusal (action, admission_cases[i].reported_at_ms);
      else if (admission_cases[i].backlog_ms[1] < admission_cases[i].backlog_ms[0])
        CU_ASSERT_STRING_EQUAL (action->shard, "y");
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

static const struct
{
  const char *name;
  int32_t tasks;
  int64_t cores_milli;
  int64_t estimate_ms;
} endless_cases[] = {
  { "the longest estimate", 1, 1000, INT32_MAX },
  { "the longest estimate of many tasks", 510, 1000, INT32_MAX },
  { "the most cores", 510, (INT64_C (1) << 40) - 1, 100 },
  { "the most of all", 510, (INT64_C (1) << 40) - 1, INT32_MAX },
};

/* The time that all tasks of a job need overflowed, and a job that can't be served was admitted. */
static void
test_endless_job (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 0, 4, 1.0 };
  /* So long that none of the tasks may start at once. */
  const executor_load_t load = { .service = "s",
                                 .cores_milli = 4000,
                                 .backlog_core_ms = { INT64_C (4) * INT32_MAX } };

  for (size_t i = 0; i < G_N_ELEMENTS (endless_cases); i++)
    {
      scheduler_job_t job = make_job (endless_cases[i].estimate_ms);
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);

      job.tasks = endless_cases[i].tasks;
      job.need.cores_milli = endless_cases[i].cores_milli;
      scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
      report_offers (scheduler, "x", "hx", &offer, 1, &load, 0);
      scheduler_submit (scheduler, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, 1);
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, 0);
      bool refused = action->kind == SCHEDULER_ANSWER && action->outcome == SCHEDULER_REFUSED;
      if (!refused)
        printf ("  %s: admitted\n", endless_cases[i].name);
      CU_ASSERT_TRUE (refused);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

static const struct
{
  const char *name;
  int64_t offered_at_ms; /* when the owner of "y" offers slots; the task is returned at 1,000 ms */
  bool assigned;
} no_owner_cases[] = {
  { "an owner offers slots soon", 1250, true },
  { "an owner offers slots too late", 1400, false },
};

/* A returned task gets NO_OWNER_TIMEOUT_MS to find an owner, counted from its return.  Counted from
 * the start of the job, the job would be refused at once. */
static void
test_returned_task_without_owner (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const scheduler_job_t job = make_job (100);

  for (size_t i = 0; i < G_N_ELEMENTS (no_owner_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);

      scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
      scheduler_set_owner (scheduler, "y", "hy", 1, 0, actions);
      report_offers (scheduler, "x", "hx", &offer, 1, NULL, 0);
      scheduler_submit (scheduler, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (count_of (actions, SCHEDULER_SUBMIT), 1);
      scheduler_set_drained (scheduler, "x", true);
      scheduler_task_ended (scheduler, "hx",
                            g_array_index (actions, scheduler_action_t, 0).batch_number, 0,
                            SCHEDULER_TASK_RETURNED, 1000, actions);
      for (int64_t now_ms = 1000; now_ms <= 1400; now_ms += 10)
        {
          if (now_ms == no_owner_cases[i].offered_at_ms)
            report_offers (scheduler, "y", "hy", &offer, 1, NULL, 0);
          scheduler_step (scheduler, now_ms, actions);
        }
      if ((count_of (actions, SCHEDULER_SUBMIT) == 2) != no_owner_cases[i].assigned)
        printf ("  %s\n", no_owner_cases[i].name);
      CU_ASSERT_EQUAL (count_of (actions, SCHEDULER_SUBMIT), no_owner_cases[i].assigned ? 2 : 1);
      CU_ASSERT_EQUAL (count_of (actions, SCHEDULER_ANSWER), no_owner_cases[i].assigned ? 0 : 1);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

typedef enum
{
  OLD_END,      /* the end HOW of the task */
  OLD_CONFIRMED /* its batch was cancelled, and none of its tasks had started */
} old_message_t;

static const struct
{
  const char *name;
  old_message_t message;
  scheduler_task_end_t how;
} earlier_process_cases[] = {
  { "failed", OLD_END, SCHEDULER_TASK_FAILED },
  { "done", OLD_END, SCHEDULER_TASK_DONE },
  { "too late", OLD_END, SCHEDULER_TASK_OVERDUE },
  { "never started", OLD_CONFIRMED, SCHEDULER_TASK_RETURNED },
};

/* A job was answered by the end of another one, whose batch an earlier process of the host had sent
 * to the same owner: the numbers of batches began anew.  The owner does not know yet that the host
 * has started again. */
static void
test_end_for_earlier_process (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (earlier_process_cases); i++)
    {
      const task_failure_t failure = { TASK_FAILURE_ATTEMPTS, 1, 1, 1, { 0, 0, 0 } };
      GArray *earlier_actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *earlier = scheduler_of_process (1 << 16, earlier_actions);
      scheduler_t *scheduler = scheduler_of_process (2 << 16, actions);
      uint64_t number = g_array_index (earlier_actions, scheduler_action_t, 0).batch_number;

      if (earlier_process_cases[i].message == OLD_CONFIRMED)
        {
          /* The deadline of the job has passed, so that it waits for a confirmation. */
          scheduler_step (scheduler, 1500, actions);
          scheduler_batch_end_confirmed (scheduler, "hx", number, true, 1501, actions);
        }
      else
        {
          scheduler_note_failure (scheduler, "hx", number, 0, &failure);
          scheduler_task_ended (scheduler, "hx", number, 0, earlier_process_cases[i].how, 10,
                                actions);
        }
      if (count_of (actions, SCHEDULER_ANSWER) != 0)
        printf ("  %s: answered\n", earlier_process_cases[i].name);
      CU_ASSERT_EQUAL (count_of (actions, SCHEDULER_ANSWER), 0);
      scheduler_free (earlier);
      scheduler_free (scheduler);
      free_actions (earlier_actions);
      free_actions (actions);
    }
}

static const unit_test_t cases[] = {
  { "no job is sent to a drained data centre", test_drained_data_centres },
  { "a drain while another owner is unknown", test_drained_unknown_owner },
  { "a failed job is answered with its cause", test_failure_in_answer },
  { "a job failed by an end of an earlier process", test_end_for_earlier_process },
  { "tasks returned by a drained data centre", test_drained_task_returned },
  { "a drain at full load", test_drain_at_full_load },
  { "size classes of jobs", test_size_classes },
  { "old sizes no longer count", test_size_history_length },
  { "a large job is not sent to a slow owner", test_large_job_to_slow_owner },
  { "a host stops with jobs", test_host_stops_with_jobs },
  { "\"not owned\" after a batch was sent again", test_not_owned_after_resend },
  { "a release is sent until it is confirmed", test_release_is_resent },
  { "a returned task without an owner", test_returned_task_without_owner },
  { "a job is admitted or refused on arrival", test_admission },
  { "a job that takes longer than can be counted", test_endless_job },
  { "the queue's time ends only jobs that have not started", test_queue_time },
};

int
main (void)
{
  return unit_run ("scheduler", cases, G_N_ELEMENTS (cases));
}
