/* test_cluster_stopped_hosts.c -- a data centre whose hosts that are heard are being stopped, or
 * have been, still has to confirm jobs: others there may serve callers, who send them again
 */
#include "cluster/cluster.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define STEP_MS 10
#define INTERVAL_MS 250
/* This host has been up for longer than it remembers hosts. */
#define LEAVING_AT_MS 30000
/* A host that is being stopped serves open connections for so long. */
#define STOP_TAKES_MS 2600
#define HEARD 2 /* h2 and h3; h4 is known only */

static const cluster_options_t options = { .host = "h1",
                                           .data_centre = "x",
                                           .incarnation = 100,
                                           .cpu_millicores = 250,
                                           .retransmit_ms = 1300,
                                           .hubs_per_data_centre = HEARD };
static const char *const hosts[] = { "h2", "h3", "h4" };

typedef enum
{
  STOPPING, /* all that are heard say so, and serve on */
  CUT_OFF,  /* they say so, and are silent from then on */
  KILLED,   /* they say so, and their connections break when the stop has taken its time */
  ENDED     /* the same, and they have said that they end */
} stop_t;

static const struct
{
  const char *name;
  stop_t stop;
  bool has_unheard; /* h4 is known */
  int64_t asked_after_ms;
  bool must_confirm;
  bool unreached;
} cases[] = {
  { "being stopped", STOPPING, false, 1000, true, false },
  { "being stopped, with another host", STOPPING, true, 1000, true, false },
  { "being stopped as a cut begins", CUT_OFF, false, 1200, true, true },
  { "being stopped as a cut begins, with another host", CUT_OFF, true, 1200, true, true },
  { "stopped, with another host", ENDED, true, STOP_TAKES_MS + 200, true, false },
  { "stopped, with another host that is cut off", ENDED, true, STOP_TAKES_MS + 1200, true, true },
  { "stopped long ago, with another host", ENDED, true, 30000, false, false },
  { "the whole data centre was stopped", ENDED, false, STOP_TAKES_MS + 200, false, false },
  { "killed while being stopped", KILLED, false, STOP_TAKES_MS + 1200, true, true },
  { "killed long ago", KILLED, false, 30000, false, false },
};

typedef struct
{
  cluster_t *cluster;
  GArray *actions;
  int64_t now_ms;
} fixture_t;

static void
exchange (fixture_t *fixture, bool leaving)
{
  for (int i = 0; i < HEARD; i++)
    {
      const cluster_heartbeat_t heartbeat = { .host = (char *) hosts[i],
                                              .data_centre = (char *) "y",
                                              .incarnation = 7,
                                              .ready = true,
                                              .leaving = leaving,
                                              .cpu_millicores = 250,
                                              .interval_ms = INTERVAL_MS,
                                              .uptime_ms = fixture->now_ms,
                                              .expected_epoch = 1,
                                              .clock_ms = fixture->now_ms,
                                              .echo_ms = fixture->now_ms };
      cluster_heartbeat_t sent = { 0 };

      cluster_receive_heartbeat (fixture->cluster, &heartbeat, fixture->now_ms, fixture->actions);
      cluster_make_heartbeat (fixture->cluster, hosts[i], fixture->now_ms, &sent);
      g_array_unref (sent.claims);
    }
}

static bool
is_heard (size_t row, int64_t now_ms)
{
  switch (cases[row].stop)
    {
    case STOPPING:
      return true;
    case CUT_OFF:
      return now_ms <= LEAVING_AT_MS;
    case KILLED:
    case ENDED:
    default:
      return now_ms < LEAVING_AT_MS + STOP_TAKES_MS;
    }
}

static void
break_connections (fixture_t *fixture, size_t row)
{
  for (int i = 0; i < HEARD; i++)
    {
      if (cases[row].stop == ENDED)
        cluster_host_ended (fixture->cluster, hosts[i]);
      cluster_connection_lost (fixture->cluster, hosts[i], fixture->now_ms);
    }
}

static void
play (fixture_t *fixture, size_t row)
{
  int64_t until_ms = LEAVING_AT_MS + cases[row].asked_after_ms;
  bool ends = cases[row].stop == KILLED || cases[row].stop == ENDED;
  int known = cases[row].has_unheard ? HEARD + 1 : HEARD;

  for (int i = 0; i < known; i++)
    cluster_add_host (fixture->cluster, hosts[i], "y", 250);
  for (; fixture->now_ms < until_ms; fixture->now_ms += STEP_MS)
    {
      if (fixture->now_ms % INTERVAL_MS == 0 && is_heard (row, fixture->now_ms))
        exchange (fixture, fixture->now_ms >= LEAVING_AT_MS);
      if (ends && fixture->now_ms == LEAVING_AT_MS + STOP_TAKES_MS)
        break_connections (fixture, row);
      cluster_step (fixture->cluster, fixture->now_ms, fixture->now_ms, fixture->actions);
      g_array_set_size (fixture->actions, 0);
    }
}

static void
test_stopped (void)
{
  for (size_t row = 0; row < G_N_ELEMENTS (cases); row++)
    {
      fixture_t fixture = { .cluster = cluster_new (&options, 0),
                            .actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t)) };
      GArray *unreached = g_array_new (FALSE, FALSE, sizeof (cluster_unreached_t));
      play (&fixture, row);
      bool must_confirm = cluster_confirmed_at_ms (fixture.cluster, fixture.now_ms) != INT64_MAX;
      cluster_append_unreached (fixture.cluster, fixture.now_ms, unreached);
      CU_ASSERT_EQUAL (must_confirm, cases[row].must_confirm);
      CU_ASSERT_EQUAL (unreached->len, cases[row].unreached);
      if (must_confirm != cases[row].must_confirm || unreached->len != cases[row].unreached)
        printf ("  %s: must confirm %d, unreached %d\n", cases[row].name, must_confirm,
                (int) unreached->len);
      g_array_unref (unreached);
      g_array_unref (fixture.actions);
      cluster_free (fixture.cluster);
    }
}

static const unit_test_t tests[] = {
  { "hosts that are being stopped count until they end", test_stopped },
};

int
main (int argc, char **argv)
{
  (void) argc;
  (void) argv;
  return unit_run ("cluster_stopped_hosts", tests, G_N_ELEMENTS (tests));
}
