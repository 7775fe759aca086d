/* test_fleet.c -- lib/fleet step by step: single decisions on scripted events */
#include "fleet/fleet.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

#define LEASE_MS 1000
#define STOP_MS 50
#define SERVICE "s"
#define LIMIT_MS 1500
#define FAR_MS 20000

typedef struct
{
  fleet_t *fleet;
  GArray *actions;
  GArray *elsewhere;
  int64_t now_ms;
  uint64_t look_serial[2]; /* by number of the endpoint */
  uint64_t start_serial;   /* of the last start */
  char start_at[8];        /* and its endpoint */
  char start_task[32];     /* task of the last start */
  char stop_task[32];      /* task of the last stop */
} script_t;

static const char *const ids[] = { "e0", "e1" };

static void
script_begin (script_t *script)
{
  const fleet_options_t options = { .lease_ms = LEASE_MS, .stop_ms = STOP_MS, .remote_factor = 2 };

  *script = (script_t){ .fleet = fleet_new (&options),
                        .actions = g_array_new (FALSE, FALSE, sizeof (fleet_action_t)),
                        .elsewhere = g_array_new (FALSE, FALSE, sizeof (fleet_offer_t)) };
}

static void
script_end (script_t *script)
{
  fleet_free (script->fleet);
  g_array_unref (script->actions);
  g_array_unref (script->elsewhere);
}

static void
add_endpoint (script_t *script, int number, const char *rack, int64_t cores_milli)
{
  fleet_endpoint_t endpoint = { .id = ids[number],
                                .address = "127.0.0.1:1",
                                .service = SERVICE,
                                .kind = "a",
                                .rack = rack,
                                .born_at_ms = 1,
                                .free = { cores_milli, 1000, 0 } };

  fleet_set_endpoint (script->fleet, &endpoint, script->now_ms);
}

/* One round at NOW_MS; notes the orders that it gives. */
static void
run_at (script_t *script, int64_t now_ms)
{
  script->now_ms = now_ms;
  script->stop_task[0] = '\0';
  script->start_at[0] = '\0';
  g_array_set_size (script->actions, 0);
  fleet_run (script->fleet, script->elsewhere, now_ms, script->actions);
  for (guint i = 0; i < script->actions->len; i++)
    {
      const fleet_action_t *action = &g_array_index (script->actions, fleet_action_t, i);
      if (action->kind == FLEET_LOOK)
        script->look_serial[strcmp (action->endpoint, ids[1]) == 0] = action->serial;
      if (action->kind == FLEET_STOP)
        g_strlcpy (script->stop_task, action->task, sizeof script->stop_task);
      if (action->kind == FLEET_START)
        {
          script->start_serial = action->serial;
          g_strlcpy (script->start_at, action->endpoint, sizeof script->start_at);
          g_strlcpy (script->start_task, action->task, sizeof script->start_task);
        }
    }
}

/* The endpoint answers its last look with COUNT rows. */
static void
answer_look (script_t *script, int number, const look_active_t *rows, size_t count)
{
  const look_t look = { .clock_there_ms = script->now_ms + 5,
                        .active = rows,
                        .active_count = count };

  g_array_set_size (script->actions, 0);
  fleet_looked (script->fleet, script->look_serial[number], FLEET_OK, &look, script->now_ms,
                script->actions);
}

/* A script with one endpoint, "e0" in rack "r1", where nothing runs. */
static void
script_begin_idle (script_t *script, int64_t cores_milli)
{
  script_begin (script);
  add_endpoint (script, 0, "r1", cores_milli);
  run_at (script, 0);
  answer_look (script, 0, NULL, 0);
}

/* True if the last event or round gave an action of KIND. */
static bool
gave (const script_t *script, fleet_action_kind_t kind)
{
  for (guint i = 0; i < script->actions->len; i++)
    if (g_array_index (script->actions, fleet_action_t, i).kind == kind)
      return true;
  return false;
}

static fleet_batch_t
batch_of (const char *job, uint64_t number)
{
  static const int32_t indexes[] = { 0 };

  return (fleet_batch_t){ .coordinator = "h1",
                          .batch = number,
                          .job = job,
                          .spec = "work",
                          .service = SERVICE,
                          .need = { 1000, 10, 0 },
                          .estimate_ms = 60,
                          .goal_at_ms = 10000,
                          .deadline_at_ms = FAR_MS,
                          .attempts_max = 3,
                          .label = "",
                          .near_rack = "",
                          .indexes = indexes,
                          .count = 1 };
}

/* A run of another owner is stopped, and in the same round taken over by a coordinator: the order
 * still names it. */
static void
test_adopted_while_stopped (void)
{
  static const look_active_t row = { "job-with-a-long-name.0.0.0", 2, 10 };
  fleet_batch_t batch = batch_of ("job-with-a-long-name", 1);
  script_t script;

  script_begin (&script);
  add_endpoint (&script, 0, "r1", 4000);
  run_at (&script, 0);
  answer_look (&script, 0, &row, 1);
  batch.maybe_running = true;
  batch.wait_until_ms = 5000;
  script.now_ms = 300;
  fleet_submit (script.fleet, &batch, 300);
  run_at (&script, 300);
  CU_ASSERT_STRING_EQUAL (script.stop_task, row.task);
  script_end (&script);
}

static const struct
{
  const char *name;
  const char *near;
  int64_t estimate_ms;
  int64_t goal_at_ms;
  int64_t cores_near; /* of the endpoint in rack "r1"; the other one, in "r2", has 4,000 */
  bool taken;         /* all cores near are in use */
  const char *starts_at;
  int64_t deadline_at_ms;
} rack_cases[] = {
  { "no rack: the tighter fit", "", 60, 10000, 2000, false, "e0", FAR_MS },
  { "the rack is free", "r1", 400, 600, 4000, false, "e0", FAR_MS },
  { "the other rack", "r2", 400, 600, 4000, false, "e1", FAR_MS },
  { "a rack that is not there costs time, not the job", "r9", 400, 10000, 2000, false, "e0",
    FAR_MS },
  { "too small near, in time elsewhere", "r1", 60, 10000, 500, false, "e1", FAR_MS },
  { "too small near, too late elsewhere", "r1", 600, 900, 500, false, "e1", FAR_MS },
  { "no room near, in time elsewhere", "r1", 60, 10000, 1000, true, "e1", FAR_MS },
  { "no room near, too late elsewhere: waits", "r1", 600, 900, 1000, true, "", FAR_MS },
  { "large, room near", "r1", 1200, 3000, 2000, false, "e0", 1500 },
  { "large, no room near, far too slow elsewhere: waits", "r1", 1200, 3000, 1000, true, "", 1500 },
  { "large, equally slow everywhere", "r9", 1200, 3000, 2000, false, "e0", 1500 },
};

/* Work away from its data takes longer, so that it starts near them where that matters. */
static void
test_racks (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rack_cases); i++)
    {
      fleet_batch_t batch = batch_of ("j", 1);
      script_t script;

      script_begin (&script);
      add_endpoint (&script, 0, "r1", rack_cases[i].cores_near);
      add_endpoint (&script, 1, "r2", 4000);
      run_at (&script, 0);
      answer_look (&script, 0, NULL, 0);
      answer_look (&script, 1, NULL, 0);
      if (rack_cases[i].taken)
        {
          fleet_batch_t other = batch_of ("other", 2);
          other.near_rack = "r1";
          other.goal_at_ms = 130;
          fleet_submit (script.fleet, &other, 1);
          run_at (&script, 1);
          CU_ASSERT_STRING_EQUAL (script.start_at, "e0");
        }
      batch.near_rack = rack_cases[i].near;
      batch.estimate_ms = rack_cases[i].estimate_ms;
      batch.goal_at_ms = rack_cases[i].goal_at_ms;
      batch.deadline_at_ms = rack_cases[i].deadline_at_ms;
      fleet_submit (script.fleet, &batch, 1);
      run_at (&script, 1);
      if (strcmp (script.start_at, rack_cases[i].starts_at) != 0)
        printf ("  %s: \"%s\"\n", rack_cases[i].name, script.start_at);
      CU_ASSERT_STRING_EQUAL (script.start_at, rack_cases[i].starts_at);
      script_end (&script);
    }
}

/* Tasks whose objective is 1.6 times their work and 60 ms, from 0 on. */
static const struct
{
  const char *name;
  int64_t work_ms;
  int64_t deadline_at_ms;
  double ratio;
  int64_t now_ms;
  place_tier_t tier;
} tier_cases[] = {
  { "fast endpoint, whatever the work turns out to be", 1000, FAR_MS, 0.7, 0, PLACE_SURE },
  { "slow, and the work small enough for the 60 ms", 200, FAR_MS, 1.7, 0, PLACE_SURE },
  { "slow, in time unless the work is far larger", 400, FAR_MS, 1.7, 0, PLACE_IN_TIME },
  { "slow, and late whatever the work turns out to be", 1000, FAR_MS, 1.7, 0, PLACE_LATE },
  { "fast, has waited for what a smaller task has", 1000, FAR_MS, 0.7, 740, PLACE_LATE },
  { "fast, has waited a little less", 1000, FAR_MS, 0.7, 730, PLACE_SURE },
  { "fast, the deadline leaves too little margin", 1000, 1700, 0.7, 0, PLACE_LATE },
  { "fast, the deadline leaves hardly any", 1000, 1000, 0.7, 0, PLACE_UNLIKELY },
};

/* An endpoint that is always too slow for the objective is not taken for fast enough because the
 * estimate is lower than the caller's. */
static void
test_slow_endpoint_for_long_task (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (tier_cases); i++)
    {
      const place_aim_t aim = { .work_ms = tier_cases[i].work_ms,
                                .goal_at_ms = tier_cases[i].work_ms * 16 / 10 + 60,
                                .stretch = 1.6,
                                .deadline_at_ms = tier_cases[i].deadline_at_ms };
      place_tier_t tier = place_tier (&aim, tier_cases[i].ratio, tier_cases[i].now_ms);
      if (tier != tier_cases[i].tier)
        printf ("  %s: %d\n", tier_cases[i].name, (int) tier);
      CU_ASSERT_EQUAL (tier, tier_cases[i].tier);
    }
}

static const struct
{
  const char *name;
  place_tier_t tier;
  int64_t expected_ms;
  place_hope_t hope;
  bool worth;
} worth_cases[] = {
  { "as good as can be", PLACE_SURE, 100, { PLACE_SURE, 100 }, true },
  { "good enough", PLACE_IN_TIME, 200, { PLACE_SURE, 100 }, true },
  { "late, where it can be in time", PLACE_LATE, 300, { PLACE_IN_TIME, 100 }, false },
  { "late, where it is late anyway", PLACE_LATE, 300, { PLACE_LATE, 100 }, true },
  { "unlikely, where it can be in time", PLACE_UNLIKELY, 100, { PLACE_IN_TIME, 100 }, false },
  { "unlikely everywhere, near the fastest", PLACE_UNLIKELY, 150, { PLACE_UNLIKELY, 100 }, true },
  { "unlikely everywhere, slow", PLACE_UNLIKELY, 151, { PLACE_UNLIKELY, 100 }, false },
  { "there is no other", PLACE_UNLIKELY, 151, { PLACE_UNLIKELY, INT64_MAX }, true },
};

static void
test_worth (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (worth_cases); i++)
    {
      bool worth =
          place_is_worth (worth_cases[i].tier, worth_cases[i].expected_ms, &worth_cases[i].hope);
      if (worth != worth_cases[i].worth)
        printf ("  %s\n", worth_cases[i].name);
      CU_ASSERT_EQUAL (worth, worth_cases[i].worth);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  double ratio; /* of the free slot elsewhere */
  bool returned;
} offer_cases[] = {
  { "as fast elsewhere", 600, 1.0, true },
  { "slow elsewhere, but in time", 300, 1.7, true },
  { "large, as fast elsewhere", 1200, 1.0, true },
  { "large, far too slow elsewhere", 1200, 1.7, false },
};

/* A large task is not given away to where it would surely miss its deadline. */
static void
test_large_task_given_away (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (offer_cases); i++)
    {
      fleet_offer_t offer = { SERVICE, 1, 1, offer_cases[i].ratio };
      fleet_batch_t other = batch_of ("other", 1);
      fleet_batch_t batch = batch_of ("j", 2);
      script_t script;

      script_begin_idle (&script, 1000);
      fleet_submit (script.fleet, &other, 0);
      run_at (&script, 0);
      batch.estimate_ms = offer_cases[i].estimate_ms;
      batch.goal_at_ms = 3000;
      batch.deadline_at_ms = LIMIT_MS;
      fleet_submit (script.fleet, &batch, 0);
      g_array_append_val (script.elsewhere, offer);
      run_at (&script, 10);
      bool returned = gave (&script, FLEET_RETURNED);
      if (returned != offer_cases[i].returned)
        printf ("  %s\n", offer_cases[i].name);
      CU_ASSERT_EQUAL (returned, offer_cases[i].returned);
      script_end (&script);
    }
}

static const struct
{
  const char *name;
  int64_t token; /* under which the batch was sent; the claim in force is 7 */
  bool maybe_running;
  bool never_started; /* what a coordinator may be told */
} doubt_cases[] = {
  { "under the claim in force", 7, false, true },
  { "under an earlier claim", 6, false, false },
  { "maybe running", 7, true, false },
};

/* What another owner may have started is not called "never started": a second run would be begun
 * elsewhere. */
static void
test_not_run_in_doubt (void)
{
  static const fleet_action_kind_t ends[] = { FLEET_RETURNED, FLEET_EXPIRED };

  for (size_t i = 0; i < G_N_ELEMENTS (doubt_cases); i++)
    for (size_t k = 0; k <= G_N_ELEMENTS (ends); k++)
      {
        fleet_offer_t offer = { SERVICE, 1, 1, 1.0 };
        fleet_batch_t other = batch_of ("other", 1);
        fleet_batch_t batch = batch_of ("j", 2);
        script_t script;

        script_begin (&script);
        fleet_renew (script.fleet, 7, 0);
        add_endpoint (&script, 0, "r1", 1000);
        run_at (&script, 0);
        answer_look (&script, 0, NULL, 0);
        other.token = 7;
        fleet_submit (script.fleet, &other, 0);
        run_at (&script, 0);
        batch.token = doubt_cases[i].token;
        batch.maybe_running = doubt_cases[i].maybe_running;
        batch.estimate_ms = 600;
        batch.deadline_at_ms = 900;
        fleet_submit (script.fleet, &batch, 0);
        run_at (&script, 1);
        answer_look (&script, 0, NULL, 0);
        if (k == G_N_ELEMENTS (ends))
          {
            CU_ASSERT_EQUAL (fleet_cancel (script.fleet, "h1", 2, 10, script.actions),
                             doubt_cases[i].never_started);
            script_end (&script);
            continue;
          }
        if (ends[k] == FLEET_RETURNED)
          g_array_append_val (script.elsewhere, offer);
        run_at (&script, ends[k] == FLEET_RETURNED ? 10 : 800);
        if (gave (&script, ends[k]) != doubt_cases[i].never_started)
          printf ("  %s\n", doubt_cases[i].name);
        CU_ASSERT_EQUAL (gave (&script, ends[k]), doubt_cases[i].never_started);
        script_end (&script);
      }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int64_t at_ms; /* when the third task of one endpoint comes, of which the second waits since 0 */
  bool refused;
} like_cases[] = {
  { "fits", 700, 1, false },
  { "its like have waited too long", 900, 990, true },
  { "large: its estimate may be too high", 2000, 1, false },
  { "large, and its like have waited too long", 2000, 600, true },
  { "far too large", 2600, 1, true },
};

/* A large job is not refused at once because another like it came at the same time. */
static void
test_large_job_refused_at_once (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (like_cases); i++)
    {
      fleet_batch_t running = batch_of ("running", 1);
      fleet_batch_t waiting = batch_of ("waiting", 2);
      fleet_batch_t batch = batch_of ("j", 3);
      script_t script;

      script_begin_idle (&script, 1000);
      fleet_submit (script.fleet, &running, 0);
      run_at (&script, 0);
      waiting.estimate_ms = like_cases[i].estimate_ms;
      waiting.deadline_at_ms = like_cases[i].at_ms + LIMIT_MS;
      fleet_submit (script.fleet, &waiting, 0);
      batch.estimate_ms = like_cases[i].estimate_ms;
      batch.deadline_at_ms = like_cases[i].at_ms + LIMIT_MS;
      fleet_submit (script.fleet, &batch, like_cases[i].at_ms);
      run_at (&script, like_cases[i].at_ms);
      bool refused = gave (&script, FLEET_EXPIRED);
      if (refused != like_cases[i].refused)
        printf ("  %s\n", like_cases[i].name);
      CU_ASSERT_EQUAL (refused, like_cases[i].refused);
      script_end (&script);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int32_t percent; /* after ELAPSED_MS of 1,500 ms */
  bool given_up;
} outlooks[] = {
  { "in time", 900, 30, false },
  { "far too large", 1500, 10, true },
  { "a little too large: too early to say", 1500, 19, false },
  { "too large, unless it is almost one percent further than shown", 1500, 18, false },
  { "just begun", 1500, 4, false },
  { "slow endpoint: would be in time elsewhere", 200, 6, false },
};

#define START_BY_MS 1500

static const struct
{
  const char *name;
  int64_t start_by_ms;
  bool second_runs; /* the batch's other task has been started */
  bool maybe_running;
  int64_t at_ms;
  bool unstarted;
} unstarted_cases[] = {
  { "just before", START_BY_MS, false, false, START_BY_MS - 1, false },
  { "nothing has started", START_BY_MS, false, false, START_BY_MS, true },
  { "its queue has no time", 0, false, false, START_BY_MS, false },
  { "a part has started", START_BY_MS, true, false, START_BY_MS, false },
  { "an owner before may have started it", START_BY_MS, false, true, START_BY_MS, false },
};

/* A job of which nothing has started is not held past its queue's time; one that has begun is not
 * ended by it. */
static void
test_held_past_queue_time (void)
{
  static const int32_t indexes[] = { 0, 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (unstarted_cases); i++)
    {
      fleet_batch_t batch = batch_of ("j", 1);
      script_t script;

      script_begin_idle (&script, unstarted_cases[i].second_runs ? 1000 : 500);
      batch.indexes = indexes;
      batch.count = 2;
      batch.start_by_ms = unstarted_cases[i].start_by_ms;
      batch.maybe_running = unstarted_cases[i].maybe_running;
      fleet_submit (script.fleet, &batch, 1);
      run_at (&script, 1);
      run_at (&script, unstarted_cases[i].at_ms);
      bool unstarted = gave (&script, FLEET_UNSTARTED);
      if (unstarted != unstarted_cases[i].unstarted)
        printf ("  %s\n", unstarted_cases[i].name);
      CU_ASSERT_EQUAL (unstarted, unstarted_cases[i].unstarted);
      script_end (&script);
    }
}

static const struct
{
  const char *name;
  int64_t goal_at_ms; /* of the task that came first; that of the second is 1,000 */
  int32_t priority;   /* of the second; that of the first is 1 */
  const char *first;  /* to start once there is room, at 500 ms */
} late_cases[] = {
  { "both in time: by their objectives", 600, 1, "a.0.0.0" },
  { "the first is late: the second can still be in time", 400, 1, "b.0.0.0" },
  { "the first is late, the second less urgent", 400, 2, "a.0.0.0" },
};

/* A task that is late anyway does not make those late that can still be in time. */
static void
test_late_before_timely (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (late_cases); i++)
    {
      fleet_batch_t other = batch_of ("other", 1);
      fleet_batch_t a = batch_of ("a", 2);
      fleet_batch_t b = batch_of ("b", 3);
      script_t script;

      script_begin_idle (&script, 1000);
      fleet_submit (script.fleet, &other, 0);
      run_at (&script, 0);
      a.priority = 1;
      a.goal_at_ms = late_cases[i].goal_at_ms;
      b.priority = late_cases[i].priority;
      b.goal_at_ms = 1000;
      fleet_submit (script.fleet, &a, 1);
      fleet_submit (script.fleet, &b, 2);
      run_at (&script, 450);
      fleet_cancel (script.fleet, "h1", 1, 490, script.actions);
      fleet_release (script.fleet, "h1", 1);
      fleet_started (script.fleet, script.start_serial, FLEET_LATE, 500, 500, script.actions);
      run_at (&script, 500);
      answer_look (&script, 0, NULL, 0);
      run_at (&script, 501);
      if (strcmp (script.start_task, late_cases[i].first) != 0)
        printf ("  %s: %s\n", late_cases[i].name, script.start_task);
      CU_ASSERT_STRING_EQUAL (script.start_task, late_cases[i].first);
      script_end (&script);
    }
}

#define ELAPSED_MS 300

/* A task that can't end in time anywhere is given up when its progress shows it, and stopped. */
static void
test_overdue (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (outlooks); i++)
    {
      fleet_batch_t batch = batch_of ("j", 1);
      look_active_t row = { "j.0.0.0", 1, outlooks[i].percent };
      script_t script;

      script_begin_idle (&script, 1000);
      batch.estimate_ms = outlooks[i].estimate_ms;
      batch.deadline_at_ms = LIMIT_MS;
      fleet_submit (script.fleet, &batch, 0);
      run_at (&script, 0);
      fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 0, script.actions);
      run_at (&script, ELAPSED_MS);
      answer_look (&script, 0, &row, 1);
      bool told = gave (&script, FLEET_OVERDUE);
      if (told != outlooks[i].given_up)
        printf ("  %s\n", outlooks[i].name);
      CU_ASSERT_EQUAL (told, outlooks[i].given_up);
      run_at (&script, ELAPSED_MS + 1);
      CU_ASSERT_EQUAL (script.stop_task[0] != '\0', outlooks[i].given_up);
      script_end (&script);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int64_t still_ms; /* after the start was confirmed a look shows no progress */
  bool stopped;
} hang_cases[] = {
  { "small", 60, 310, true },        { "small, too early to say", 60, 290, false },
  { "large", 1000, 310, true },      { "large, too early to say", 1000, 290, false },
  { "very large", 4000, 810, true }, { "very large, too early to say", 4000, 790, false },
};

/* A task that stands still is stopped before it is too late to start it elsewhere. */
static void
test_large_task_hung (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hang_cases); i++)
    {
      static const look_active_t row = { "j.0.0.0", 1, 0 };
      fleet_batch_t batch = batch_of ("j", 1);
      script_t script;

      script_begin_idle (&script, 1000);
      batch.estimate_ms = hang_cases[i].estimate_ms;
      fleet_submit (script.fleet, &batch, 1);
      run_at (&script, 1);
      fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 1, script.actions);
      run_at (&script, 1 + hang_cases[i].still_ms);
      answer_look (&script, 0, &row, 1);
      run_at (&script, 2 + hang_cases[i].still_ms);
      if ((script.stop_task[0] != '\0') != hang_cases[i].stopped)
        printf ("  %s\n", hang_cases[i].name);
      CU_ASSERT_EQUAL (script.stop_task[0] != '\0', hang_cases[i].stopped);
      script_end (&script);
    }
}

/* An endpoint whose entry is gone may live: what runs there starts elsewhere only once it is
 * surely over. */
static void
test_entry_gone (void)
{
  fleet_batch_t batch = batch_of ("j", 1);
  look_active_t row = { "j.0.0.0", 1, 10 };
  script_t script;

  script_begin_idle (&script, 1000);
  fleet_submit (script.fleet, &batch, 0);
  run_at (&script, 0);
  CU_ASSERT_STRING_EQUAL (script.start_at, "e0");
  fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 0, script.actions);
  add_endpoint (&script, 1, "r1", 4000);
  run_at (&script, 10);
  answer_look (&script, 1, NULL, 0);
  g_array_set_size (script.actions, 0);
  fleet_drop_endpoint (script.fleet, "e0");
  for (int64_t now_ms = 20; now_ms < LEASE_MS; now_ms += 20)
    {
      run_at (&script, now_ms);
      CU_ASSERT_STRING_EQUAL (script.start_at, "");
      if (now_ms == 100)
        answer_look (&script, 0, &row, 1);
    }
  bool started = false;
  for (int64_t now_ms = LEASE_MS; now_ms < 3 * LEASE_MS; now_ms += 20)
    {
      run_at (&script, now_ms);
      started |= strcmp (script.start_at, "e1") == 0;
    }
  CU_ASSERT_TRUE (started);
  script_end (&script);
}

/* How often the task of BATCH was told as done by the last call. */
static int
count_done (const script_t *script, uint64_t batch)
{
  int count = 0;

  for (guint i = 0; i < script->actions->len; i++)
    {
      const fleet_action_t *action = &g_array_index (script->actions, fleet_action_t, i);
      count += action->kind == FLEET_DONE && action->batch == batch;
    }
  return count;
}

/* A coordinator that may have missed something sends its batch again: it is not taken twice, and
 * what has ended is told again; once the batch was cancelled it is a new one. */
static void
test_sent_again (void)
{
  const look_ended_t done = { 1, "j.0.0.0", 1, RUN_DONE };
  const look_t look = { .clock_there_ms = 65, .ended = &done, .ended_count = 1 };
  fleet_batch_t batch = batch_of ("j", 1);
  script_t script;

  script_begin_idle (&script, 1000);
  fleet_submit (script.fleet, &batch, 0);
  run_at (&script, 0);
  fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 0, script.actions);
  fleet_submit (script.fleet, &batch, 10);
  run_at (&script, 10);
  CU_ASSERT_STRING_EQUAL (script.start_at, "");
  CU_ASSERT_EQUAL (count_done (&script, 1), 0);
  script.now_ms = 60;
  g_array_set_size (script.actions, 0);
  fleet_looked (script.fleet, script.look_serial[0], FLEET_OK, &look, 60, script.actions);
  CU_ASSERT_EQUAL (count_done (&script, 1), 1);
  fleet_submit (script.fleet, &batch, 70);
  run_at (&script, 70);
  CU_ASSERT_STRING_EQUAL (script.start_at, "");
  CU_ASSERT_EQUAL (count_done (&script, 1), 1);
  run_at (&script, 80);
  CU_ASSERT_EQUAL (count_done (&script, 1), 0);
  fleet_drop_coordinator (script.fleet, "h1", 90, script.actions);
  fleet_submit (script.fleet, &batch, 100);
  run_at (&script, 100);
  CU_ASSERT_STRING_EQUAL (script.start_at, "e0");
  script_end (&script);
}

/* The last action of KIND of the last event or round; NULL if there is none. */
static const fleet_action_t *
last_of (const script_t *script, fleet_action_kind_t kind)
{
  const fleet_action_t *found = NULL;

  for (guint i = 0; i < script->actions->len; i++)
    if (g_array_index (script->actions, fleet_action_t, i).kind == kind)
      found = &g_array_index (script->actions, fleet_action_t, i);
  return found;
}

typedef enum
{
  NEVER_STARTED,
  FAILED_ONCE, /* its run has ended, another attempt is due */
  IN_DOUBT     /* an owner before may have started it */
} waits_t;

static const struct
{
  const char *name;
  waits_t waits;
  int64_t at_ms; /* of the round, after the drain began */
  bool returned;
  bool vacated;
} drain_cases[] = {
  { "never started", NEVER_STARTED, 1, true, false },
  { "its run has failed", FAILED_ONCE, 1, false, true },
  { "in doubt, the owner before may still start it", IN_DOUBT, 1000, false, false },
  { "in doubt, the owner before has dropped it", IN_DOUBT, 3001, false, true },
};

/* Nothing starts in a drained data centre, and what waits there is not held until its deadline; a
 * task that another owner may start is not given to a third. */
static void
test_drained_sends_away (void)
{
  const look_ended_t failed = { 1, "j.0.0.0", 1, RUN_FAILED };
  const look_t look = { .clock_there_ms = 65, .ended = &failed, .ended_count = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (drain_cases); i++)
    {
      fleet_batch_t batch = batch_of ("j", 1);
      script_t script;

      script_begin_idle (&script, 4000);
      batch.maybe_running = drain_cases[i].waits == IN_DOUBT;
      batch.wait_until_ms = 3000;
      fleet_submit (script.fleet, &batch, 0);
      if (drain_cases[i].waits == FAILED_ONCE)
        {
          run_at (&script, 0);
          fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 0, script.actions);
          fleet_looked (script.fleet, script.look_serial[0], FLEET_OK, &look, 60, script.actions);
        }
      fleet_set_drained (script.fleet, true);
      if (drain_cases[i].waits == IN_DOUBT)
        {
          run_at (&script, 1);
          answer_look (&script, 0, NULL, 0);
        }
      run_at (&script, drain_cases[i].at_ms);
      if (gave (&script, FLEET_RETURNED) != drain_cases[i].returned
          || gave (&script, FLEET_VACATED) != drain_cases[i].vacated)
        printf ("  %s\n", drain_cases[i].name);
      CU_ASSERT_EQUAL (gave (&script, FLEET_RETURNED), drain_cases[i].returned);
      CU_ASSERT_EQUAL (gave (&script, FLEET_VACATED), drain_cases[i].vacated);
      CU_ASSERT_FALSE (gave (&script, FLEET_START));
      script_end (&script);
    }
}

/* Runs of a drained data centre end in their own time, under a lease that is renewed, also where
 * they would have been moved to a faster endpoint. */
static void
test_drained_runs_go_on (void)
{
  look_active_t row = { "j.0.0.0", 1, 10 };
  const look_ended_t done = { 1, "j.0.0.0", 1, RUN_DONE };
  const look_t look = { .clock_there_ms = 900, .ended = &done, .ended_count = 1 };
  fleet_batch_t batch = batch_of ("j", 1);
  script_t script;

  script_begin_idle (&script, 4000);
  fleet_submit (script.fleet, &batch, 0);
  run_at (&script, 0);
  fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 0, script.actions);
  fleet_set_drained (script.fleet, true);
  for (int64_t now_ms = 100; now_ms <= 800; now_ms += 100)
    {
      row.percent = (int32_t) (now_ms / 10);
      script.now_ms = now_ms;
      answer_look (&script, 0, &row, 1);
      CU_ASSERT_FALSE (gave (&script, FLEET_OVERDUE));
      run_at (&script, now_ms);
      CU_ASSERT_FALSE (gave (&script, FLEET_STOP));
      const fleet_action_t *asked = last_of (&script, FLEET_LOOK);
      CU_ASSERT_TRUE (asked != NULL && asked->lease_until_there_ms > now_ms);
    }
  run_at (&script, 850);
  fleet_looked (script.fleet, script.look_serial[0], FLEET_OK, &look, 850, script.actions);
  CU_ASSERT_TRUE (gave (&script, FLEET_DONE));
  script_end (&script);
}

/* Offers of a drained data centre name its services without slots, and are whole again at once
 * after the drain, when tasks start again. */
static void
test_drained_offers (void)
{
  const room_t need = { 1000, 10, 0 };
  fleet_batch_t batch = batch_of ("j", 1);
  script_t script;

  script_begin_idle (&script, 4000);
  for (int drained = 1; drained >= 0; drained--)
    {
      GArray *offers = g_array_new (FALSE, FALSE, sizeof (fleet_offer_t));
      fleet_set_drained (script.fleet, drained);
      fleet_offers (script.fleet, &need, 10, offers);
      CU_ASSERT_EQUAL_FATAL (offers->len, 1);
      CU_ASSERT_STRING_EQUAL (g_array_index (offers, fleet_offer_t, 0).service, SERVICE);
      CU_ASSERT_EQUAL (g_array_index (offers, fleet_offer_t, 0).slots, drained ? 0 : 4);
      CU_ASSERT_EQUAL (g_array_index (offers, fleet_offer_t, 0).slots_all, drained ? 0 : 4);
      CU_ASSERT_EQUAL (fleet_totals (script.fleet, 10).endpoints_ready, drained ? 0 : 1);
      g_array_unref (offers);
    }
  fleet_submit (script.fleet, &batch, 10);
  run_at (&script, 10);
  CU_ASSERT_STRING_EQUAL (script.start_at, "e0");
  script_end (&script);
}

#define LOAD_ENDPOINTS 40
#define LOAD_WAITING 600

/* The load of a drain: an owner of a third of 120 endpoints, all of them full, with a queue; in one
 * round all that waits goes back to its coordinators, and nothing of what runs is touched. */
static void
test_drained_at_full_load (void)
{
  char names[LOAD_ENDPOINTS][8];
  script_t script;
  int starts = 0;
  int returned = 0;

  script_begin (&script);
  for (int i = 0; i < LOAD_ENDPOINTS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "e%d", i);
      fleet_endpoint_t endpoint = { .id = names[i],
                                    .address = "127.0.0.1:1",
                                    .service = SERVICE,
                                    .kind = "a",
                                    .rack = "r1",
                                    .born_at_ms = 1,
                                    .free = { 16000, 100000, 0 } };
      fleet_set_endpoint (script.fleet, &endpoint, 0);
    }
  run_at (&script, 0);
  GArray *looks = g_array_copy (script.actions);
  const look_t look = { .clock_there_ms = 5 };
  for (guint i = 0; i < looks->len; i++)
    fleet_looked (script.fleet, g_array_index (looks, fleet_action_t, i).serial, FLEET_OK, &look, 0,
                  script.actions);
  g_array_unref (looks);
  for (int i = 0; i < 2 * LOAD_ENDPOINTS + LOAD_WAITING; i++)
    {
      char *job = g_strdup_printf ("j%d", i);
      fleet_batch_t batch = batch_of (job, (uint64_t) i + 1);
      batch.need.cores_milli = 8000;
      fleet_submit (script.fleet, &batch, 0);
      g_free (job);
    }
  run_at (&script, 1);
  for (guint i = 0; i < script.actions->len; i++)
    starts += g_array_index (script.actions, fleet_action_t, i).kind == FLEET_START;
  CU_ASSERT_EQUAL (starts, 2 * LOAD_ENDPOINTS);
  CU_ASSERT_EQUAL (fleet_totals (script.fleet, 1).waiting, LOAD_WAITING);
  fleet_set_drained (script.fleet, true);
  run_at (&script, 2);
  for (guint i = 0; i < script.actions->len; i++)
    returned += g_array_index (script.actions, fleet_action_t, i).kind == FLEET_RETURNED;
  CU_ASSERT_EQUAL (returned, LOAD_WAITING);
  CU_ASSERT_FALSE (gave (&script, FLEET_START));
  CU_ASSERT_FALSE (gave (&script, FLEET_STOP));
  CU_ASSERT_EQUAL (fleet_totals (script.fleet, 2).waiting, 0);
  CU_ASSERT_EQUAL (fleet_totals (script.fleet, 2).running, 2 * LOAD_ENDPOINTS);
  script_end (&script);
}

/* A task that took 600 ms for 60 ms of work, on an endpoint that had just restarted or had not:
 * what the next one is expected to take. */
static const struct
{
  const char *name;
  int64_t cold_until_ms;
  bool learnt;
} cold_cases[] = {
  { "warm", 0, true },
  { "cold at its start", 300, false },
};

static void
test_cold_endpoint (void)
{
  const look_ended_t done = { 1, "j.0.0.0", 1, RUN_DONE };
  const look_t look = { .clock_there_ms = 605, .ended = &done, .ended_count = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (cold_cases); i++)
    {
      fleet_endpoint_t endpoint = { .id = "e0",
                                    .address = "127.0.0.1:1",
                                    .service = SERVICE,
                                    .kind = "a",
                                    .rack = "r1",
                                    .born_at_ms = 1,
                                    .free = { 4000, 1000, 0 },
                                    .cold_until_ms = cold_cases[i].cold_until_ms };
      fleet_batch_t batch = batch_of ("j", 1);
      fleet_batch_t next = batch_of ("k", 2);
      script_t script;

      script_begin (&script);
      fleet_set_endpoint (script.fleet, &endpoint, 0);
      run_at (&script, 0);
      answer_look (&script, 0, NULL, 0);
      fleet_submit (script.fleet, &batch, 0);
      run_at (&script, 0);
      CU_ASSERT_STRING_EQUAL (script.start_at, "e0");
      fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 1, script.actions);
      fleet_looked (script.fleet, script.look_serial[0], FLEET_OK, &look, 600, script.actions);
      fleet_submit (script.fleet, &next, 610);
      run_at (&script, 610);
      const fleet_action_t *started = last_of (&script, FLEET_START);
      CU_ASSERT_PTR_NOT_NULL (started);
      int64_t expected_ms = started != NULL ? started->expected_ms : -1;
      if ((expected_ms > 60) != cold_cases[i].learnt)
        printf ("  %s: %d\n", cold_cases[i].name, (int) expected_ms);
      CU_ASSERT_EQUAL (expected_ms > 60, cold_cases[i].learnt);
      script_end (&script);
    }
}

/* An endpoint starts anew after its clock went back, or its entry lags behind its answers. */
static const struct
{
  const char *name;
  int64_t entry_born; /* of the second entry */
  int64_t look_born;  /* of the look after it */
  bool lost;          /* the run that was under way */
} life_cases[] = {
  { "the same life", 1000, 1000, false },
  { "a later life", 2000, 2000, true },
  { "a later life, its clock went back", 10, 10, true },
  { "a later life, the entry lags", 1000, 10, true },
  { "an entry of another life, which the look does not know", 2000, 1000, false },
};

/* Times of birth tell lives apart and say nothing about their order. */
static void
test_life_after_clock_went_back (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (life_cases); i++)
    {
      const look_active_t row = { "j.0.0.0", 1, 10 };
      look_t look = { .clock_there_ms = 5, .born_at_ms = 1000 };
      fleet_endpoint_t endpoint = { .id = "e0",
                                    .address = "127.0.0.1:1",
                                    .service = SERVICE,
                                    .kind = "a",
                                    .rack = "r1",
                                    .born_at_ms = 1000,
                                    .free = { 1000, 1000, 0 } };
      fleet_batch_t batch = batch_of ("j", 1);
      script_t script;

      script_begin (&script);
      fleet_set_endpoint (script.fleet, &endpoint, 0);
      run_at (&script, 0);
      fleet_looked (script.fleet, script.look_serial[0], FLEET_OK, &look, 0, script.actions);
      fleet_submit (script.fleet, &batch, 0);
      run_at (&script, 0);
      fleet_started (script.fleet, script.start_serial, FLEET_OK, 5, 0, script.actions);
      endpoint.born_at_ms = life_cases[i].entry_born;
      fleet_set_endpoint (script.fleet, &endpoint, 100);
      CU_ASSERT_EQUAL (fleet_totals (script.fleet, 100).running, 1);
      run_at (&script, 100);
      look.born_at_ms = life_cases[i].look_born;
      look.active = &row;
      look.active_count = life_cases[i].lost ? 0 : 1;
      g_array_set_size (script.actions, 0);
      fleet_looked (script.fleet, script.look_serial[0], FLEET_OK, &look, 101, script.actions);
      if ((fleet_totals (script.fleet, 101).running == 0) != life_cases[i].lost)
        printf ("  %s\n", life_cases[i].name);
      CU_ASSERT_EQUAL (fleet_totals (script.fleet, 101).running == 0, life_cases[i].lost);
      /* The entry of a life that a look has shown gives the endpoint its room. */
      endpoint.born_at_ms = life_cases[i].look_born;
      if (life_cases[i].lost && life_cases[i].entry_born != life_cases[i].look_born)
        fleet_set_endpoint (script.fleet, &endpoint, 102);
      run_at (&script, 102);
      CU_ASSERT_EQUAL (strcmp (script.start_at, "e0") == 0, life_cases[i].lost);
      script_end (&script);
    }
}

static fleet_load_t
load_at (const script_t *script, int64_t now_ms)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (fleet_load_t));

  fleet_loads (script->fleet, now_ms, loads);
  CU_ASSERT_EQUAL_FATAL (loads->len, 1);
  fleet_load_t load = g_array_index (loads, fleet_load_t, 0);
  g_array_unref (loads);
  return load;
}

/* The backlog that is told must follow the queue: what has left it, counted on, would turn callers
 * away from idle endpoints. */
static void
test_load (void)
{
  script_t script;

  script_begin_idle (&script, 1000);
  fleet_batch_t batch = batch_of ("j", 1);
  batch.priority = 1;
  fleet_submit (script.fleet, &batch, 0);
  CU_ASSERT_EQUAL (load_at (&script, 0).backlog_core_ms[1], batch.estimate_ms);
  run_at (&script, 0);
  fleet_load_t load = load_at (&script, 0);
  CU_ASSERT_EQUAL (load.cores_milli, 1000);
  CU_ASSERT_EQUAL (load.backlog_core_ms[1], 0);
  CU_ASSERT_EQUAL (load.next_free_ms, 0);
  fleet_batch_t urgent = batch_of ("k", 2);
  urgent.goal_at_ms = 0;
  fleet_submit (script.fleet, &urgent, 0);
  run_at (&script, 1);
  load = load_at (&script, 1);
  CU_ASSERT_EQUAL (load.backlog_core_ms[0], urgent.estimate_ms);
  CU_ASSERT_EQUAL (load.late_core_ms[0], urgent.estimate_ms);
  CU_ASSERT_EQUAL (load.backlog_core_ms[1], 0);
  CU_ASSERT_EQUAL (load.room_milli, 0);
  CU_ASSERT_TRUE (load.next_free_ms > 0);
  fleet_cancel (script.fleet, "h1", 2, 2, script.actions);
  load = load_at (&script, 2);
  CU_ASSERT_EQUAL (load.backlog_core_ms[0], 0);
  CU_ASSERT_EQUAL (load.late_core_ms[0], 0);
  script_end (&script);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "a drained data centre sends away what waits", test_drained_sends_away },
  { "runs of a drained data centre go on", test_drained_runs_go_on },
  { "offers of a drained data centre", test_drained_offers },
  { "a drain at full load", test_drained_at_full_load },
  { "a cold endpoint's speed", test_cold_endpoint },
  { "a life after the clock went back", test_life_after_clock_went_back },
  { "a batch is sent again", test_sent_again },
  { "the load that is told", test_load },
  { "an entry is gone", test_entry_gone },
  { "given up once it can't be in time", test_overdue },
  { "a run is adopted while it is stopped", test_adopted_while_stopped },
  { "work near its data", test_racks },
  { "a slow endpoint for a long task", test_slow_endpoint_for_long_task },
  { "worth a start", test_worth },
  { "not run, in doubt", test_not_run_in_doubt },
  { "a large task is given away", test_large_task_given_away },
  { "a large job is refused at once", test_large_job_refused_at_once },
  { "held past its queue's time", test_held_past_queue_time },
  { "late ones before those in time", test_late_before_timely },
  { "a large task stands still", test_large_task_hung },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("fleet", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
