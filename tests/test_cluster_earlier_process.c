/* test_cluster_earlier_process.c -- a heartbeat of a process that has ended may be read after those
 * of the next process of its host: it came on another connection, which was slower or was held up
 */
#include "cluster/cluster.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define EARLIER 7
#define LATER 9
#define READ_AT_MS 10000

/* A heartbeat of process LATER, of age 500 ms, is followed 20 ms later by another one. */
static const struct
{
  const char *name;
  uint64_t incarnation;
  int64_t uptime_ms;
  bool is_lost;      /* the process that was heard first counts as lost */
  bool is_restarted; /* a later process counts as started */
} cases[] = {
  { "the same process", LATER, 520, false, false },
  { "an earlier process, held up", EARLIER, 60000, false, false },
  { "a later process", LATER + 2, 10, true, true },
  { "a later process, whose clock was set back", EARLIER - 2, 10, true, true },
};

static void
receive (cluster_t *cluster,
         uint64_t incarnation,
         int64_t uptime_ms,
         int64_t now_ms,
         GArray *actions)
{
  cluster_heartbeat_t heartbeat = { .host = (char *) "h1",
                                    .data_centre = (char *) "y",
                                    .incarnation = incarnation,
                                    .ready = true,
                                    .cpu_millicores = 200,
                                    .expected_epoch = 1,
                                    .interval_ms = 250,
                                    .uptime_ms = uptime_ms,
                                    .claims =
                                        g_array_new (FALSE, FALSE, sizeof (cluster_claim_t)) };

  cluster_receive_heartbeat (cluster, &heartbeat, now_ms, actions);
  g_array_unref (heartbeat.claims);
}

static bool
has_action (const GArray *actions, cluster_action_kind_t kind)
{
  for (guint i = 0; i < actions->len; i++)
    if (g_array_index (actions, cluster_action_t, i).kind == kind)
      return true;
  return false;
}

static void
test_order (void)
{
  for (size_t row = 0; row < G_N_ELEMENTS (cases); row++)
    {
      const cluster_options_t options = { .host = "h0",
                                          .data_centre = "x",
                                          .incarnation = 100,
                                          .cpu_millicores = 250,
                                          .retransmit_ms = 1300,
                                          .hubs_per_data_centre = CLUSTER_HUBS_PER_DATA_CENTRE };
      cluster_t *cluster = cluster_new (&options, 0);
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t));
      receive (cluster, LATER, 500, READ_AT_MS, actions);
      g_array_set_size (actions, 0);
      receive (cluster, cases[row].incarnation, cases[row].uptime_ms, READ_AT_MS + 20, actions);
      bool is_lost = has_action (actions, CLUSTER_HOST_LOST);
      bool is_restarted = has_action (actions, CLUSTER_HOST_RESTARTED);
      CU_ASSERT_EQUAL (is_lost, cases[row].is_lost);
      CU_ASSERT_EQUAL (is_restarted, cases[row].is_restarted);
      if (is_lost != cases[row].is_lost || is_restarted != cases[row].is_restarted)
        printf ("  %s: lost %d, restarted %d\n", cases[row].name, is_lost, is_restarted);
      cluster_free (cluster);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "heartbeats of two processes of a host", test_order },
};

int
main (void)
{
  return unit_run ("cluster_earlier_process", tests, G_N_ELEMENTS (tests));
}
