/* test_crew.c -- lib/crew step by step: claims, tokens, epochs */
#include "crew/crew.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

#define STEP_MS 10
#define WALL_MS INT64_C (1000000000)
/* No shard is without an owner that is obeyed for longer, whatever clock its last token came from.
 */
#define SHUT_OUT_MAX_MS 1000

typedef struct
{
  crew_t *crew;
  GArray *actions;
  int64_t now_ms;
  int32_t counts[CREW_FOUND + 1]; /* of actions so far */
  int64_t token;                  /* of the last claim */
} script_t;

static void
take_actions (script_t *script)
{
  for (guint i = 0; i < script->actions->len; i++)
    {
      const crew_action_t *action = &g_array_index (script->actions, crew_action_t, i);
      script->counts[action->kind]++;
      if (action->kind == CREW_CLAIMED)
        script->token = action->token;
    }
  g_array_set_size (script->actions, 0);
}

/* Lets time pass until AT_MS. */
static void
run_until (script_t *script, int64_t at_ms)
{
  for (; script->now_ms < at_ms; script->now_ms += STEP_MS)
    {
      crew_step (script->crew, script->now_ms, WALL_MS + script->now_ms, script->actions);
      take_actions (script);
    }
}

static void
begin (script_t *script)
{
  const crew_options_t options = {
    .host = "h1", .data_centre = "x", .incarnation = 100, .power = 250, .resend_ms = 1300
  };

  *script = (script_t){ .crew = crew_new (&options, 0),
                        .actions = g_array_new (FALSE, FALSE, sizeof (crew_action_t)) };
  crew_add_shard (script->crew, "x");
  crew_set_ready (script->crew, true);
}

static void
end (script_t *script)
{
  crew_free (script->crew);
  g_array_unref (script->actions);
}

/* A beat of HOST, which claims shard "x" under TOKEN. */
static void
hear_owner (script_t *script,
            const char *host,
            const char *data_centre,
            int32_t power,
            int64_t token)
{
  crew_claim_t claim = { (char *) "x", token };
  crew_beat_t beat = { .host = (char *) host,
                       .data_centre = (char *) data_centre,
                       .incarnation = 7,
                       .ready = true,
                       .power = power,
                       .epoch = 1,
                       .claims = g_array_new (FALSE, FALSE, sizeof (crew_claim_t)) };

  g_array_append_val (beat.claims, claim);
  crew_heard (script->crew, &beat, script->now_ms, script->actions);
  take_actions (script);
  g_array_unref (beat.claims);
}

static void
hear_life (script_t *script, const char *host, uint64_t incarnation, uint64_t epoch)
{
  crew_beat_t beat = { .host = (char *) host,
                       .data_centre = (char *) "x",
                       .incarnation = incarnation,
                       .ready = true,
                       .power = 1,
                       .epoch = epoch };

  crew_heard (script->crew, &beat, script->now_ms, script->actions);
  take_actions (script);
}

static void
hear (script_t *script, const char *host, uint64_t epoch)
{
  hear_life (script, host, 7, epoch);
}

/* Endpoints that obey a higher token, from before a restart or of a clock that was ahead, are
 * taken over in a few steps, however soon they say so. */
static void
test_shut_out (void)
{
  static const int64_t ahead_ms[] = { 0, 200, 1000, 5000, 10000, 60000 };

  for (size_t i = 0; i < G_N_ELEMENTS (ahead_ms); i++)
    {
      script_t script;
      begin (&script);
      run_until (&script, 400);
      CU_ASSERT_EQUAL (script.counts[CREW_CLAIMED], 1);
      int64_t obeyed = script.token + (ahead_ms[i] << 8) + 1;
      while (script.token < obeyed && script.now_ms < 4000)
        {
          int64_t token = script.token;
          crew_shut_out (script.crew, "x", script.now_ms, WALL_MS + script.now_ms, script.actions);
          take_actions (&script);
          run_until (&script, script.now_ms + STEP_MS);
          while (script.token == token && script.now_ms < 4000)
            run_until (&script, script.now_ms + STEP_MS);
        }
      CU_ASSERT_TRUE (script.token >= obeyed);
      CU_ASSERT_TRUE (script.now_ms - 400 <= SHUT_OUT_MAX_MS);
      end (&script);
    }
}

static const struct
{
  const char *name;
  const char *data_centre;
  int32_t power; /* of the owner; this host has 250 */
  int64_t until_ms;
  bool taken;
} owner_cases[] = {
  { "as strong", "x", 250, 4000, false },
  { "a little weaker", "x", 130, 4000, false },
  { "much weaker", "x", 90, 4000, true },
  { "much weaker, but this host has just come", "x", 90, 1400, false },
  { "much stronger", "x", 500, 4000, false },
};

/* The first host that was ready keeps a shard that it is too weak for. */
static void
test_owner_too_weak (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (owner_cases); i++)
    {
      script_t script;
      begin (&script);
      while (script.now_ms < owner_cases[i].until_ms)
        {
          hear_owner (&script, "h2", owner_cases[i].data_centre, owner_cases[i].power, 1000);
          run_until (&script, script.now_ms + 100);
        }
      if ((script.counts[CREW_CLAIMED] > 0) != owner_cases[i].taken)
        printf ("  %s\n", owner_cases[i].name);
      CU_ASSERT_EQUAL (script.counts[CREW_CLAIMED], owner_cases[i].taken);
      CU_ASSERT_EQUAL (script.counts[CREW_YIELDED], 0);
      CU_ASSERT_EQUAL (script.token > 1000, owner_cases[i].taken);
      end (&script);
    }
}

/* What a host must say changes when it was lost, and each side learns of it. */
static void
test_epochs (void)
{
  script_t script;

  begin (&script);
  run_until (&script, 300);
  CU_ASSERT_FALSE (crew_accepts (script.crew, "h2", 0));
  hear (&script, "h2", 5);
  CU_ASSERT_EQUAL (script.counts[CREW_DROPPED], 1);
  CU_ASSERT_EQUAL (crew_epoch_for (script.crew, "h2"), 5);
  crew_beat_t beat;
  crew_beat_for (script.crew, "h2", script.now_ms, &beat);
  uint64_t epoch = beat.epoch;
  g_array_unref (beat.claims);
  CU_ASSERT_TRUE (crew_accepts (script.crew, "h2", epoch));
  CU_ASSERT_FALSE (crew_accepts (script.crew, "h3", epoch));
  run_until (&script, 2000);
  CU_ASSERT_EQUAL (script.counts[CREW_LOST], 1);
  CU_ASSERT_FALSE (crew_accepts (script.crew, "h2", epoch));
  hear (&script, "h2", 5);
  CU_ASSERT_FALSE (crew_accepts (script.crew, "h2", epoch));
  CU_ASSERT_EQUAL (script.counts[CREW_DROPPED], 1);
  hear (&script, "h2", 6);
  CU_ASSERT_EQUAL (script.counts[CREW_DROPPED], 2);
  end (&script);
}

static const struct
{
  const char *name;
  uint64_t incarnation; /* of the beat after one of life 7 */
  bool anew;
} life_cases[] = {
  { "the same life", 7, false },
  { "a later one", 9, true },
  { "a later one whose clock went back", 5, true },
};

/* Lives of a host are told apart, not ordered: its clock may have gone back between them. */
static void
test_started_anew (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (life_cases); i++)
    {
      script_t script;
      begin (&script);
      hear_life (&script, "h2", 7, 1);
      hear_life (&script, "h2", life_cases[i].incarnation, 1);
      CU_ASSERT_EQUAL (script.counts[CREW_LOST], life_cases[i].anew);
      CU_ASSERT_EQUAL (script.counts[CREW_FOUND], 1 + life_cases[i].anew);
      end (&script);
    }
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "endpoints that obey a higher token", test_shut_out },
  { "its owner is too weak", test_owner_too_weak },
  { "a host has started anew", test_started_anew },
  { "epochs", test_epochs },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("crew", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
