/* test_flow.c -- lib/flow step by step: single decisions on scripted events */
#include "flow/flow.h"
#include "flow/sizes.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

/* Jobs of sizes 1 to 100 have come before. */
static const struct
{
  const char *queue;
  double size;
  flow_size_t rank;
} ranks[] = {
  { "q", 101, FLOW_SIZE_LARGEST }, { "q", 91.5, FLOW_SIZE_LARGEST }, { "q", 89.5, FLOW_SIZE_LARGE },
  { "q", 71.5, FLOW_SIZE_LARGE },  { "q", 69.5, FLOW_SIZE_USUAL },   { "q", 1, FLOW_SIZE_USUAL },
  { "new", 101, FLOW_SIZE_USUAL },
};

static void
test_sizes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ranks); i++)
    {
      sizes_t *sizes = sizes_new ();
      for (int size = 1; size <= 100; size++)
        sizes_add (sizes, "q", size);
      CU_ASSERT_EQUAL (sizes_add (sizes, ranks[i].queue, ranks[i].size), ranks[i].rank);
      sizes_free (sizes);
    }
}

/* What came long ago no longer counts. */
static void
test_sizes_forgotten (void)
{
  sizes_t *sizes = sizes_new ();

  for (int i = 0; i < SIZES_KEPT; i++)
    sizes_add (sizes, "q", 1000);
  for (int i = 0; i < SIZES_KEPT; i++)
    sizes_add (sizes, "q", 10);
  CU_ASSERT_EQUAL (sizes_add (sizes, "q", 100), FLOW_SIZE_LARGEST);
  sizes_free (sizes);
}

/* A job of one task, due in 1.5 s. */
static flow_job_t
job_of (int64_t estimate_ms)
{
  return (flow_job_t){ .id = "j",
                       .spec = "work",
                       .service = "s",
                       .tasks = 1,
                       .need = { 1000, 10, 0 },
                       .estimate_ms = estimate_ms,
                       .stretch = 3,
                       .target_ms = 60,
                       .deadline_at_ms = 1500,
                       .attempts_max = 3,
                       .label = "",
                       .near_rack = "" };
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int32_t fast_slots; /* free, of 4 in x */
  int32_t slow_slots; /* free, of 4 in y */
  const char *to;
} spreads[] = {
  { "small: the slow slot is fast enough", 100, 4, 4, "y" },
  { "small, the slow slots are taken", 100, 4, 0, "x" },
  { "large", 1500, 4, 4, "x" },
  { "large, the fast slots are taken: waits there", 1500, 0, 4, "x" },
  { "larger, the fast slots are taken: waits there", 3000, 0, 4, "x" },
};

/* A large job is not given to an owner with slow endpoints because the fast ones are taken. */
static void
test_large_job_to_slow_owner (void)
{
  const flow_options_t options = { "h", "z", 1000, 1.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (spreads); i++)
    {
      const fleet_offer_t fast = { "s", spreads[i].fast_slots, 4, 0.7 };
      const fleet_offer_t slow = { "s", spreads[i].slow_slots, 4, 1.7 };
      const flow_job_t job = job_of (spreads[i].estimate_ms);
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      flow_t *flow = flow_new (&options);

      flow_owner (flow, "x", "hx", 1, 0, actions);
      flow_owner (flow, "y", "hy", 1, 0, actions);
      flow_offer (flow, "x", "hx", &fast, 1, 0);
      flow_offer (flow, "y", "hy", &slow, 1, 0);
      flow_submit (flow, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, 1);
      const flow_action_t *submit = &g_array_index (actions, flow_action_t, 0);
      if (strcmp (submit->shard, spreads[i].to) != 0)
        printf ("  %s: to %s\n", spreads[i].name, submit->shard);
      CU_ASSERT_STRING_EQUAL (submit->shard, spreads[i].to);
      g_array_unref (submit->indexes);
      flow_free (flow);
      g_array_unref (actions);
    }
}

typedef enum
{
  SENT_ONCE,
  SENT_AGAIN, /* after a new connection */
  SENT_ANEW   /* the owner had lost this host */
} sent_t;

static const struct
{
  const char *name;
  sent_t sent;
  flow_task_end_t how; /* what the owner then says of the task */
  bool placed_anew;
} returns[] = {
  { "never taken", SENT_ONCE, FLOW_TASK_NOT_OWNED, true },
  { "taken, and sent again to a host that no longer owns the shard", SENT_AGAIN,
    FLOW_TASK_NOT_OWNED, false },
  { "sent again to the owner", SENT_AGAIN, FLOW_TASK_RETURNED, true },
  { "dropped by the owner, which owns the shard no longer", SENT_ANEW, FLOW_TASK_NOT_OWNED, false },
};

/* A job that was given to host "hx", the owner of shard "x". */
static flow_t *
flow_with_job (GArray *actions)
{
  const flow_options_t options = { "h", "x", 1000, 1.0 };
  const fleet_offer_t offer = { "s", 4, 4, 1.0 };
  const flow_job_t job = job_of (100);
  flow_t *flow = flow_new (&options);

  flow_owner (flow, "x", "hx", 1, 0, actions);
  flow_offer (flow, "x", "hx", &offer, 1, 0);
  flow_submit (flow, &job, 0, actions);
  return flow;
}

static void
free_actions (GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    if (g_array_index (actions, flow_action_t, i).indexes != NULL)
      g_array_unref (g_array_index (actions, flow_action_t, i).indexes);
  g_array_unref (actions);
}

/* A host that may have had a task, and forgot it, can't say that it has not run. */
static void
test_not_run_after_forgotten (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (returns); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      flow_t *flow = flow_with_job (actions);

      if (returns[i].sent == SENT_AGAIN)
        flow_resync (flow, "hx", actions);
      if (returns[i].sent == SENT_ANEW)
        flow_dropped (flow, "hx", 1, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, returns[i].sent == SENT_ONCE ? 1 : 2);
      const flow_action_t *last = &g_array_index (actions, flow_action_t, actions->len - 1);
      CU_ASSERT_EQUAL (last->batch.maybe_running, returns[i].sent == SENT_ANEW);
      CU_ASSERT_EQUAL (last->batch.token, 1);
      uint64_t number = last->number;
      guint before = actions->len;
      flow_task_ended (flow, "hx", number, 0, returns[i].how, 2, actions);
      flow_step (flow, 3, actions);
      if ((actions->len > before) != returns[i].placed_anew)
        printf ("  %s\n", returns[i].name);
      CU_ASSERT_EQUAL (actions->len > before, returns[i].placed_anew);
      flow_free (flow);
      free_actions (actions);
    }
}

static int
count_of (const GArray *actions, flow_action_kind_t kind)
{
  int count = 0;

  for (guint i = 0; i < actions->len; i++)
    count += g_array_index (actions, flow_action_t, i).kind == kind;
  return count;
}

static const struct
{
  const char *name;
  bool lost;      /* this host no longer hears the owner */
  bool confirmed; /* the owner has confirmed the first release */
  int releases;   /* after four rounds of 70 ms */
} release_cases[] = {
  { "heard, confirmed", false, true, 1 },
  { "heard, not confirmed", false, false, 5 },
  { "lost, but it hears this host", true, true, 1 },
  { "lost", true, false, 5 },
};

/* The owner before must learn that its tasks are another's, or it starts them at its next claim. */
static void
test_release_arrives (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (release_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      flow_t *flow = flow_with_job (actions);
      uint64_t number = g_array_index (actions, flow_action_t, 0).number;

      if (release_cases[i].lost)
        flow_host_lost (flow, "hx", 10, 10, actions);
      flow_owner (flow, "x", "hy", 2, 20, actions);
      CU_ASSERT_EQUAL (count_of (actions, FLOW_SUBMIT), 2);
      if (release_cases[i].confirmed)
        flow_cancelled (flow, "hx", number, false, 21, actions);
      for (int64_t now_ms = 90; now_ms <= 300; now_ms += 70)
        flow_step (flow, now_ms, actions);
      if (count_of (actions, FLOW_RELEASE) != release_cases[i].releases)
        printf ("  %s\n", release_cases[i].name);
      CU_ASSERT_EQUAL (count_of (actions, FLOW_RELEASE), release_cases[i].releases);
      CU_ASSERT_EQUAL (count_of (actions, FLOW_ANSWER), 0);
      flow_free (flow);
      free_actions (actions);
    }
}

#define START_BY_MS 1000

typedef enum
{
  PART_SILENT, /* its owner says nothing */
  PART_UNSTARTED,
  PART_DONE
} part_t;

static const struct
{
  const char *name;
  part_t second; /* what becomes of the task at "hy"; that at "hx" has not started */
  int64_t at_ms; /* of the last step */
  int submits;   /* by then: two at first */
  int refused;
} start_cases[] = {
  { "no task has started", PART_UNSTARTED, START_BY_MS + 1, 2, 1 },
  { "the other owner may be about to answer", PART_SILENT, START_BY_MS + 1, 2, 0 },
  { "the other part runs", PART_SILENT, START_BY_MS + 100, 3, 0 },
  { "the other part is done", PART_DONE, START_BY_MS + 1, 3, 0 },
};

/* A job that has begun is not ended by its queue's time; one that has not is refused, truly. */
static void
test_queue_time (void)
{
  const flow_options_t options = { "h", "z", 1000, 1.0 };
  const fleet_offer_t offer = { "s", 1, 1, 1.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (start_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      flow_t *flow = flow_new (&options);
      flow_job_t job = job_of (100);

      job.tasks = 2;
      job.start_by_ms = START_BY_MS;
      job.deadline_at_ms = 8000;
      flow_owner (flow, "x", "hx", 1, 0, actions);
      flow_owner (flow, "y", "hy", 1, 0, actions);
      flow_offer (flow, "x", "hx", &offer, 1, 0);
      flow_offer (flow, "y", "hy", &offer, 1, 0);
      flow_submit (flow, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (count_of (actions, FLOW_SUBMIT), 2);
      for (guint k = 0; k < 2; k++)
        {
          const flow_action_t sent = g_array_index (actions, flow_action_t, k);
          int32_t index = g_array_index (sent.indexes, int32_t, 0);
          bool first = strcmp (sent.host, "hx") == 0;
          if (first || start_cases[i].second != PART_SILENT)
            flow_task_ended (flow, sent.host, sent.number, index,
                             !first && start_cases[i].second == PART_DONE ? FLOW_TASK_DONE
                                                                          : FLOW_TASK_UNSTARTED,
                             START_BY_MS, actions);
        }
      flow_step (flow, start_cases[i].at_ms, actions);
      int refused = 0;
      for (guint k = 0; k < actions->len; k++)
        {
          const flow_action_t *action = &g_array_index (actions, flow_action_t, k);
          refused += action->kind == FLOW_ANSWER && action->outcome == FLOW_REFUSED
                     && action->limit == FLOW_LIMIT_QUEUE_TIME;
        }
      if (refused != start_cases[i].refused
          || count_of (actions, FLOW_SUBMIT) != start_cases[i].submits)
        printf ("  %s\n", start_cases[i].name);
      CU_ASSERT_EQUAL (refused, start_cases[i].refused);
      CU_ASSERT_EQUAL (count_of (actions, FLOW_SUBMIT), start_cases[i].submits);
      flow_free (flow);
      free_actions (actions);
    }
}

/* Owners of "x" and "y" have offered endpoints for "s", that of "z" for another service. */
static const struct
{
  const char *name;
  const char *drained; /* names with a space between */
  const char *to;      /* where the job goes; NULL if it is refused */
} drained_cases[] = {
  { "none", "", "x" },
  { "the nearer one", "x", "y" },
  { "both", "x y", NULL },
  { "all", "x y z", NULL },
  { "another and one that does not exist", "y nowhere", "x" },
};

/* A job goes nowhere into a drained data centre, and is not held if there is no other. */
static void
test_drained_places (void)
{
  const flow_options_t options = { "h", "x", 1000, 1.0 };
  const fleet_offer_t offer = { "s", 4, 4, 1.0 };
  const fleet_offer_t drained_offer = { "s", 0, 0, 1.0 };
  const fleet_offer_t other = { "t", 4, 4, 1.0 };
  static const char *const shards[] = { "x", "y" };

  for (size_t i = 0; i < G_N_ELEMENTS (drained_cases); i++)
    for (int told = 0; told < 2; told++)
      {
        GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
        flow_t *flow = flow_new (&options);
        const flow_job_t job = job_of (100);
        char **names = g_strsplit (drained_cases[i].drained, " ", -1);

        /* A host that has just started knows the set before it hears any owner, and hears those of
         * drained data centres offer nothing. */
        for (char **name = names; told == 0 && *name != NULL; name++)
          flow_set_drained (flow, *name, true);
        for (size_t k = 0; k < G_N_ELEMENTS (shards); k++)
          {
            bool empty = told == 0 && g_strv_contains ((const char *const *) names, shards[k]);
            flow_owner (flow, shards[k], "o", 1, 0, actions);
            flow_offer (flow, shards[k], "o", empty ? &drained_offer : &offer, 1, 0);
          }
        flow_owner (flow, "z", "o", 1, 0, actions);
        flow_offer (flow, "z", "o", &other, 1, 0);
        for (char **name = names; told == 1 && *name != NULL; name++)
          flow_set_drained (flow, *name, true);
        CU_ASSERT_TRUE (flow_has_offers (flow));
        flow_submit (flow, &job, 0, actions);
        flow_step (flow, 5, actions);
        CU_ASSERT_EQUAL_FATAL (actions->len, 1);
        const flow_action_t *first = &g_array_index (actions, flow_action_t, 0);
        if (drained_cases[i].to != NULL)
          {
            CU_ASSERT_EQUAL (first->kind, FLOW_SUBMIT);
            CU_ASSERT_STRING_EQUAL (first->shard, drained_cases[i].to);
          }
        else
          {
            CU_ASSERT_EQUAL (first->kind, FLOW_ANSWER);
            CU_ASSERT_EQUAL (first->outcome, FLOW_REFUSED);
            CU_ASSERT_EQUAL (first->limit, FLOW_LIMIT_DRAINED);
            CU_ASSERT_TRUE (first->retry_after_ms >= 1000);
          }
        /* After the drain it is as before. */
        for (char **name = names; *name != NULL; name++)
          flow_set_drained (flow, *name, false);
        for (size_t k = 0; k < G_N_ELEMENTS (shards); k++)
          flow_offer (flow, shards[k], "o", &offer, 1, 0);
        guint before = actions->len;
        flow_job_t again = job_of (100);
        again.id = "k";
        flow_submit (flow, &again, 10, actions);
        CU_ASSERT_EQUAL_FATAL (actions->len, before + 1);
        CU_ASSERT_STRING_EQUAL (g_array_index (actions, flow_action_t, before).shard, "x");
        g_strfreev (names);
        flow_free (flow);
        free_actions (actions);
      }
}

/* An owner that has offered nothing yet may have endpoints: its data centre is waited for. */
static void
test_drained_other_unknown (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
  flow_t *flow = flow_with_job (actions);
  flow_job_t job = job_of (100);

  job.id = "k";
  flow_owner (flow, "y", "hy", 1, 0, actions);
  flow_set_drained (flow, "x", true);
  guint before = actions->len;
  flow_submit (flow, &job, 0, actions);
  flow_step (flow, 5, actions);
  CU_ASSERT_EQUAL (actions->len, before);
  flow_free (flow);
  free_actions (actions);
}

static const struct
{
  const char *name;
  flow_task_end_t how;
  bool other;             /* another data centre has endpoints */
  flow_outcome_t outcome; /* if there is none */
} sent_away_cases[] = {
  { "never started, placed elsewhere", FLOW_TASK_RETURNED, true, FLOW_REFUSED },
  { "never started, nowhere to go", FLOW_TASK_RETURNED, false, FLOW_REFUSED },
  { "its run is over, placed elsewhere", FLOW_TASK_VACATED, true, FLOW_REFUSED },
  { "its run is over, nowhere to go", FLOW_TASK_VACATED, false, FLOW_GIVEN_UP },
};

/* What a drained data centre sends away is placed elsewhere at once; "not run" stays true of it. */
static void
test_sent_away (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sent_away_cases); i++)
    {
      const fleet_offer_t offer = { "s", 4, 4, 1.0 };
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      flow_t *flow = flow_with_job (actions);
      uint64_t number = g_array_index (actions, flow_action_t, 0).number;

      if (sent_away_cases[i].other)
        {
          flow_owner (flow, "y", "hy", 1, 0, actions);
          flow_offer (flow, "y", "hy", &offer, 1, 0);
        }
      flow_set_drained (flow, "x", true);
      flow_task_ended (flow, "hx", number, 0, sent_away_cases[i].how, 10, actions);
      flow_step (flow, 15, actions);
      const flow_action_t *last = &g_array_index (actions, flow_action_t, actions->len - 1);
      CU_ASSERT_EQUAL_FATAL (actions->len, 2);
      CU_ASSERT_EQUAL (last->kind, sent_away_cases[i].other ? FLOW_SUBMIT : FLOW_ANSWER);
      if (!sent_away_cases[i].other)
        CU_ASSERT_EQUAL (last->outcome, sent_away_cases[i].outcome);
      if (sent_away_cases[i].other)
        CU_ASSERT_FALSE (last->batch.maybe_running);
      flow_free (flow);
      free_actions (actions);
    }
}

#define LOAD_JOBS 200

/* The load of a drain: one of three data centres is drained at full load, and sends away what waits
 * there.  All of it is with the other two owners in the next step, none where it was. */
static void
test_drain_at_full_load (void)
{
  static const char *const shards[] = { "x", "y", "z" };
  const flow_options_t options = { "h", "x", 1000, 1.0 };
  const fleet_offer_t full = { "s", 0, 80, 1.0 };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
  flow_t *flow = flow_new (&options);
  int in_x = 0;
  int placed = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (shards); i++)
    {
      flow_owner (flow, shards[i], shards[i], 1, 0, actions);
      flow_offer (flow, shards[i], shards[i], &full, 1, 0);
    }
  for (int i = 0; i < LOAD_JOBS; i++)
    {
      char *id = g_strdup_printf ("j%d", i);
      flow_job_t job = job_of (60);
      job.id = id;
      job.tasks = 8;
      flow_submit (flow, &job, 0, actions);
      g_free (id);
    }
  guint sent = actions->len;
  flow_set_drained (flow, "x", true);
  for (guint i = 0; i < sent; i++)
    {
      const flow_action_t batch = g_array_index (actions, flow_action_t, i);
      if (strcmp (batch.shard, "x") != 0)
        continue;
      for (guint k = 0; k < batch.indexes->len; k++, in_x++)
        flow_task_ended (flow, "x", batch.number, g_array_index (batch.indexes, int32_t, k),
                         FLOW_TASK_RETURNED, 10, actions);
    }
  flow_step (flow, 10, actions);
  for (guint i = sent; i < actions->len; i++)
    {
      const flow_action_t *action = &g_array_index (actions, flow_action_t, i);
      CU_ASSERT_EQUAL (action->kind, FLOW_SUBMIT);
      CU_ASSERT_STRING_NOT_EQUAL (action->shard, "x");
      placed += (int) action->indexes->len;
    }
  CU_ASSERT_TRUE (in_x > LOAD_JOBS);
  CU_ASSERT_EQUAL (placed, in_x);
  flow_free (flow);
  free_actions (actions);
}

static const struct
{
  const char *name;
  bool second_told;      /* the other owner has told its load */
  int64_t told_at_ms;    /* by both */
  int32_t slots;         /* free at each */
  int64_t backlog_ms[2]; /* of the two owners, for all their cores */
  bool refused;
} admissions[] = {
  { "no backlog", true, 0, 0, { 0, 0 }, false },
  { "a long backlog everywhere", true, 0, 0, { 9000, 9000 }, true },
  { "a long backlog at one owner", true, 0, 0, { 9000, 0 }, false },
  { "the other owner has told nothing yet", false, 0, 0, { 9000, 9000 }, false },
  { "a free slot", true, 0, 1, { 9000, 9000 }, false },
  { "a late answer is worth something", true, 0, 0, { 1200, 1200 }, false },
  { "reports 2 s old", true, -2000, 0, { 9000, 9000 }, true },
  { "reports 2 s old, the backlog may be done", true, -2000, 0, { 4500, 4500 }, false },
  { "owners that have told nothing for long", true, -3000, 0, { 9000, 9000 }, false },
};

/* Checks that a job was refused with the figures that decided. */
static void
check_refusal (const flow_action_t *action, int64_t told_at_ms)
{
  CU_ASSERT_EQUAL (action->outcome, FLOW_REFUSED);
  CU_ASSERT_EQUAL (action->limit, FLOW_LIMIT_CAPACITY);
  CU_ASSERT_EQUAL (action->report_age_ms, -told_at_ms);
  CU_ASSERT_EQUAL (action->expected_wait_ms, 9000 + MAX (told_at_ms, -300));
  CU_ASSERT_TRUE (action->retry_after_ms > 1000);
}

/* A job that can't be served was held until its deadline; one that can must never be refused. */
static void
test_admission (void)
{
  const flow_options_t options = { "h", "z", 1000, 1.0 };
  const flow_job_t job = job_of (100);

  for (size_t i = 0; i < G_N_ELEMENTS (admissions); i++)
    {
      const fleet_offer_t offer = { "s", admissions[i].slots, 4, 1.0 };
      fleet_load_t load = { .service = "s", .cores_milli = 4000 };
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      flow_t *flow = flow_new (&options);

      flow_owner (flow, "x", "hx", 1, 0, actions);
      flow_owner (flow, "y", "hy", 1, 0, actions);
      flow_offer (flow, "x", "hx", &offer, 1, 0);
      flow_offer (flow, "y", "hy", &offer, 1, 0);
      load.backlog_core_ms[0] = admissions[i].backlog_ms[0] * 4;
      flow_load (flow, "x", "hx", &load, 1, admissions[i].told_at_ms);
      load.backlog_core_ms[0] = admissions[i].backlog_ms[1] * 4;
      if (admissions[i].second_told)
        flow_load (flow, "y", "hy", &load, 1, admissions[i].told_at_ms);
      flow_submit (flow, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, 1);
      const flow_action_t *action = &g_array_index (actions, flow_action_t, 0);
      bool refused = action->kind == FLOW_ANSWER;
      if (refused != admissions[i].refused)
        printf ("  %s\n", admissions[i].name);
      CU_ASSERT_EQUAL (refused, admissions[i].refused);
      CU_ASSERT_EQUAL (flow_jobs (flow), refused ? 0 : 1);
      if (refused)
        check_refusal (action, admissions[i].told_at_ms);
      else if (admissions[i].backlog_ms[1] < admissions[i].backlog_ms[0])
        CU_ASSERT_STRING_EQUAL (action->shard, "y");
      flow_free (flow);
      free_actions (actions);
    }
}

static const struct
{
  const char *name;
  int64_t offered_at_ms; /* when the owner of "y" offers slots, after a return at 1,000 ms */
  bool placed;
} stuck_cases[] = {
  { "an owner offers slots soon", 1250, true },
  { "an owner offers slots too late", 1400, false },
};

/* A job that has been under way for long is not refused in the moment in which its returned task
 * finds no owner. */
static void
test_returned_task_without_owner (void)
{
  const flow_options_t options = { "h", "z", 1000, 1.0 };
  const fleet_offer_t offer = { "s", 4, 4, 1.0 };
  const flow_job_t job = job_of (100);

  for (size_t i = 0; i < G_N_ELEMENTS (stuck_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      flow_t *flow = flow_new (&options);

      flow_owner (flow, "x", "hx", 1, 0, actions);
      flow_owner (flow, "y", "hy", 1, 0, actions);
      flow_offer (flow, "x", "hx", &offer, 1, 0);
      flow_submit (flow, &job, 0, actions);
      CU_ASSERT_EQUAL_FATAL (count_of (actions, FLOW_SUBMIT), 1);
      flow_set_drained (flow, "x", true);
      flow_task_ended (flow, "hx", g_array_index (actions, flow_action_t, 0).number, 0,
                       FLOW_TASK_RETURNED, 1000, actions);
      for (int64_t now_ms = 1000; now_ms <= 1400; now_ms += 10)
        {
          if (now_ms == stuck_cases[i].offered_at_ms)
            flow_offer (flow, "y", "hy", &offer, 1, 0);
          flow_step (flow, now_ms, actions);
        }
      if ((count_of (actions, FLOW_SUBMIT) == 2) != stuck_cases[i].placed)
        printf ("  %s\n", stuck_cases[i].name);
      CU_ASSERT_EQUAL (count_of (actions, FLOW_SUBMIT), stuck_cases[i].placed ? 2 : 1);
      CU_ASSERT_EQUAL (count_of (actions, FLOW_ANSWER), stuck_cases[i].placed ? 0 : 1);
      flow_free (flow);
      free_actions (actions);
    }
}

static const struct
{
  const char *name;
  void (*run) (void);
} cases[] = {
  { "a job goes into a drained data centre", test_drained_places },
  { "a data centre that is not known yet", test_drained_other_unknown },
  { "sent away by a drained data centre", test_sent_away },
  { "a drain at full load", test_drain_at_full_load },
  { "a job's rank by size", test_sizes },
  { "sizes are forgotten", test_sizes_forgotten },
  { "a large job to a slow owner", test_large_job_to_slow_owner },
  { "not run, after it was forgotten", test_not_run_after_forgotten },
  { "a release arrives", test_release_arrives },
  { "a returned task without an owner", test_returned_task_without_owner },
  { "a job is admitted or refused on arrival", test_admission },
  { "a job that has begun is ended by its queue's time", test_queue_time },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("flow", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_add_test (suite, cases[i].name, cases[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
