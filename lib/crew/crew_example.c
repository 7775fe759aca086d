/* crew_example.c -- a host alone claims its data centre, and yields to a better claim */
#include "crew/crew.h"

#include <stdio.h>

static const char *const names[] = { [CREW_CLAIMED] = "claimed",
                                     [CREW_YIELDED] = "yielded",
                                     [CREW_OWNER] = "owner",
                                     [CREW_LOST] = "lost",
                                     [CREW_FOUND] = "found" };

static void
show (GArray *actions, int64_t now_ms)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const crew_action_t *action = &g_array_index (actions, crew_action_t, i);
      printf ("%d ms: %s %s %s\n", (int) now_ms, names[action->kind],
              action->shard != NULL ? action->shard : "", action->host != NULL ? action->host : "");
    }
  g_array_set_size (actions, 0);
}

int
main (void)
{
  const crew_options_t options = { "h1", "x", 1, 250, 1300, CREW_HUBS };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (crew_action_t));
  crew_t *crew = crew_new (&options, 0);
  crew_claim_t claim = { (char *) "x", INT64_C (1) << 60 };
  crew_beat_t beat = {
    .host = (char *) "h2", .data_centre = (char *) "x", .incarnation = 2, .ready = true
  };

  crew_add_shard (crew, "x");
  crew_set_ready (crew, true);
  for (int64_t now_ms = 0; now_ms <= 400; now_ms += 100)
    {
      crew_step (crew, now_ms, now_ms, actions);
      show (actions, now_ms);
    }
  beat.claims = g_array_new (FALSE, FALSE, sizeof (crew_claim_t));
  g_array_append_val (beat.claims, claim);
  crew_heard (crew, &beat, 500, actions);
  crew_step (crew, 500, 500, actions);
  show (actions, 500);
  g_array_unref (beat.claims);
  crew_free (crew);
  g_array_unref (actions);
  return 0;
}
