/* test_cluster_reach.c -- when a data centre counts as out of reach, and as of when it was reached
 */
#include "cluster/cluster.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define STEP_MS 10
#define RETRANSMIT_MS 1300
/* From the last clock that came back, which a cut may follow at once. */
#define FOUND_OUT_MS 1100
#define IDLE_MS 1000
#define FREQUENT_MS 250
#define CUT_AT_MS 5000

/* What goes on from CUT_AT_MS. */
typedef enum
{
  HEARD,          /* heartbeats and clocks go both ways */
  SILENT,         /* nothing arrives here any more */
  ONE_WAY,        /* heartbeats arrive here, but no further clock comes back */
  HEARD_OF_SECOND /* the first host of the data centre is silent, the second one is not */
} link_t;

static const struct
{
  const char *name;
  const char *data_centre; /* of the hosts */
  link_t link;
  int64_t interval_ms;
  int64_t asked_after_ms; /* of CUT_AT_MS */
  bool unreached;
} reach_cases[] = {
  { "heard", "y", HEARD, FREQUENT_MS, 3000, false },
  { "silent for a moment", "y", SILENT, FREQUENT_MS, 400, false },
  { "silent", "y", SILENT, FREQUENT_MS, FOUND_OUT_MS, true },
  { "silent for long", "y", SILENT, FREQUENT_MS, 6000, true },
  { "forgotten", "y", SILENT, FREQUENT_MS, 30000, false },
  { "receives nothing", "y", ONE_WAY, FREQUENT_MS, FOUND_OUT_MS, true },
  { "receives nothing for long", "y", ONE_WAY, FREQUENT_MS, 6000, true },
  { "one of two hosts is silent", "y", HEARD_OF_SECOND, FREQUENT_MS, 3000, false },
  { "rare heartbeats", "y", HEARD, IDLE_MS, 3000, false },
  { "rare heartbeats, silent for a moment", "y", SILENT, IDLE_MS, FOUND_OUT_MS, false },
  { "rare heartbeats, silent", "y", SILENT, IDLE_MS, 4500, true },
  { "the same data centre", "x", SILENT, FREQUENT_MS, FOUND_OUT_MS, false },
};

typedef struct
{
  cluster_t *cluster;
  GArray *actions;
  int64_t now_ms;
} fixture_t;

static const cluster_options_t options = { .host = "h1",
                                           .data_centre = "x",
                                           .incarnation = 100,
                                           .cpu_millicores = 250,
                                           .retransmit_ms = RETRANSMIT_MS,
                                           .hubs_per_data_centre = 4 };

/* The heartbeat of process INCARNATION of HOST arrives, and returns the clock ECHO_MS. */
static void
receive_process (fixture_t *fixture,
                 size_t row,
                 const char *host,
                 uint64_t incarnation,
                 int64_t echo_ms)
{
  const cluster_heartbeat_t heartbeat = { .host = (char *) host,
                                          .data_centre = (char *) reach_cases[row].data_centre,
                                          .incarnation = incarnation,
                                          .ready = true,
                                          .interval_ms = reach_cases[row].interval_ms,
                                          .expected_epoch = 1,
                                          .clock_ms = fixture->now_ms,
                                          .echo_ms = echo_ms };

  cluster_receive_heartbeat (fixture->cluster, &heartbeat, fixture->now_ms, fixture->actions);
}

static void
receive (fixture_t *fixture, size_t row, const char *host, int64_t echo_ms)
{
  receive_process (fixture, row, host, 7, echo_ms);
}

static void
send_heartbeat (fixture_t *fixture, const char *host)
{
  cluster_heartbeat_t sent = { 0 };

  cluster_make_heartbeat (fixture->cluster, host, fixture->now_ms, &sent);
  g_array_unref (sent.claims);
}

static void
exchange (fixture_t *fixture, size_t row)
{
  link_t link = reach_cases[row].link;
  bool cut = fixture->now_ms >= CUT_AT_MS;
  bool first_heard = !cut || link == HEARD || link == ONE_WAY;
  bool second_heard = first_heard || link == HEARD_OF_SECOND;
  int64_t echo_ms = cut && link == ONE_WAY ? CUT_AT_MS - 1 : fixture->now_ms;

  if (first_heard)
    receive (fixture, row, "h2", echo_ms);
  if (second_heard)
    receive (fixture, row, "h3", echo_ms);
  send_heartbeat (fixture, "h2");
  send_heartbeat (fixture, "h3");
}

static void
play (fixture_t *fixture, size_t row)
{
  int64_t until_ms = CUT_AT_MS + reach_cases[row].asked_after_ms;

  for (; fixture->now_ms < until_ms; fixture->now_ms += STEP_MS)
    {
      if (fixture->now_ms % reach_cases[row].interval_ms == 0)
        exchange (fixture, row);
      cluster_step (fixture->cluster, fixture->now_ms, fixture->now_ms, fixture->actions);
      g_array_set_size (fixture->actions, 0);
    }
}

static void
test_reach (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (reach_cases); i++)
    {
      fixture_t fixture = { .cluster = cluster_new (&options, 0),
                            .actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t)) };
      GArray *unreached = g_array_new (FALSE, FALSE, sizeof (cluster_unreached_t));
      play (&fixture, i);
      cluster_append_unreached (fixture.cluster, fixture.now_ms, unreached);
      CU_ASSERT_EQUAL (unreached->len, reach_cases[i].unreached);
      if (unreached->len != reach_cases[i].unreached)
        printf ("  %s: %d\n", reach_cases[i].name, (int) unreached->len);
      for (guint k = 0; k < unreached->len; k++)
        {
          const cluster_unreached_t *entry = &g_array_index (unreached, cluster_unreached_t, k);
          CU_ASSERT_STRING_EQUAL (entry->data_centre, "y");
          /* Nothing that is sent in the cut counts as received. */
          CU_ASSERT_TRUE (entry->reached_at_ms < CUT_AT_MS);
          CU_ASSERT_TRUE (entry->since_ms < fixture.now_ms);
          CU_ASSERT_EQUAL (entry->heard, reach_cases[i].link == ONE_WAY);
        }
      g_array_unref (unreached);
      g_array_unref (fixture.actions);
      cluster_free (fixture.cluster);
    }
}

/* What a host confirms counts as received, although no heartbeat has returned a clock since; not
 * what it can't have received, nor what an earlier process of it has. */
static void
test_confirmed (void)
{
  static const struct
  {
    const char *name;
    int64_t clock_ms;
    bool restarts;
    bool counts;
  } confirmations[] = {
    { "the last announcement", CUT_AT_MS - 1, false, true },
    { "a clock ahead", CUT_AT_MS + 60000, false, false },
    { "a clock of an earlier process of this host", -1, false, false },
    { "by an earlier process", CUT_AT_MS - 1, true, false },
  };
  const size_t silent_row = 2;

  for (size_t i = 0; i < G_N_ELEMENTS (confirmations); i++)
    {
      fixture_t fixture = { .cluster = cluster_new (&options, 0),
                            .actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t)) };
      GArray *unreached = g_array_new (FALSE, FALSE, sizeof (cluster_unreached_t));
      play (&fixture, silent_row);
      cluster_confirmed (fixture.cluster, "h2", confirmations[i].clock_ms, fixture.now_ms);
      if (confirmations[i].restarts)
        receive_process (&fixture, silent_row, "h2", 8, 0);
      cluster_append_unreached (fixture.cluster, fixture.now_ms + 2000, unreached);
      CU_ASSERT_EQUAL_FATAL (unreached->len, 1);
      int64_t reached_at_ms = g_array_index (unreached, cluster_unreached_t, 0).reached_at_ms;
      CU_ASSERT_EQUAL (reached_at_ms == CUT_AT_MS, confirmations[i].counts);
      if ((reached_at_ms == CUT_AT_MS) != confirmations[i].counts)
        printf ("  %s: %d\n", confirmations[i].name, (int) reached_at_ms);
      g_array_unref (unreached);
      g_array_unref (fixture.actions);
      cluster_free (fixture.cluster);
    }
}

/* A host that starts while a data centre is cut off knows its hosts from others. */
static void
test_never_heard (void)
{
  static const struct
  {
    const char *name;
    const char *data_centre; /* of the host that is known */
    int64_t now_ms;          /* after the start */
    bool counts;
  } rows[] = {
    { "just started", "y", 2000, true },
    { "a moment after the start", "y", 500, false },
    { "long after the start", "y", 30000, false },
    { "of the same data centre", "x", 2000, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      cluster_t *cluster = cluster_new (&options, CUT_AT_MS);
      GArray *unreached = g_array_new (FALSE, FALSE, sizeof (cluster_unreached_t));
      int64_t now_ms = CUT_AT_MS + rows[i].now_ms;
      cluster_add_host (cluster, "h2", rows[i].data_centre, 250);
      cluster_append_unreached (cluster, now_ms, unreached);
      int64_t confirmed_at_ms = cluster_confirmed_at_ms (cluster, now_ms);
      CU_ASSERT_EQUAL (unreached->len, rows[i].counts);
      bool may_not_know = rows[i].data_centre[0] == 'y' && rows[i].now_ms < 20000;
      CU_ASSERT_EQUAL (confirmed_at_ms < CUT_AT_MS, may_not_know);
      if (unreached->len != rows[i].counts)
        printf ("  %s: %d\n", rows[i].name, (int) unreached->len);
      g_array_unref (unreached);
      cluster_free (cluster);
    }
}

/* Each data centre has to confirm by one of its hosts. */
static void
test_confirmed_at (void)
{
  static const struct
  {
    const char *name;
    int64_t y_ms; /* confirmed by the host in y */
    int64_t z_ms;
    int64_t confirmed_at_ms;
  } rows[] = {
    { "both", 3000, 2000, 2001 },
    { "one", 3000, 0, 1 },
    { "none", 0, 0, 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t fixture = { .cluster = cluster_new (&options, 0),
                            .actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t)),
                            .now_ms = CUT_AT_MS };
      cluster_heartbeat_t heartbeat = { .host = (char *) "h4",
                                        .data_centre = (char *) "z",
                                        .incarnation = 7,
                                        .interval_ms = FREQUENT_MS };
      CU_ASSERT_EQUAL (cluster_confirmed_at_ms (fixture.cluster, CUT_AT_MS), INT64_MAX);
      receive (&fixture, 0, "h2", CUT_AT_MS);
      cluster_receive_heartbeat (fixture.cluster, &heartbeat, CUT_AT_MS, fixture.actions);
      cluster_confirmed (fixture.cluster, "h2", rows[i].y_ms, CUT_AT_MS);
      cluster_confirmed (fixture.cluster, "h4", rows[i].z_ms, CUT_AT_MS);
      int64_t confirmed_at_ms = cluster_confirmed_at_ms (fixture.cluster, CUT_AT_MS);
      CU_ASSERT_EQUAL (confirmed_at_ms, rows[i].confirmed_at_ms);
      if (confirmed_at_ms != rows[i].confirmed_at_ms)
        printf ("  %s: %d\n", rows[i].name, (int) confirmed_at_ms);
      g_array_unref (fixture.actions);
      cluster_free (fixture.cluster);
    }
}

static const unit_test_t tests[] = {
  { "data centres that were never heard", test_never_heard },
  { "confirmed by all data centres", test_confirmed_at },
  { "data centres out of reach", test_reach },
  { "confirmations", test_confirmed },
};

int
main (void)
{
  return unit_run ("cluster_reach", tests, G_N_ELEMENTS (tests));
}
