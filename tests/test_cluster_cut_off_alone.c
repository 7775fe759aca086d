/* test_cluster_cut_off_alone.c -- a host that is cut off from all others must not claim its data
 * centre's endpoints while it still takes hosts to be alive whose silence can't show yet
 */
#include "cluster/cluster.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define STEP_MS 10
#define WALL_MS INT64_C (1000000000)
#define OWNER_TOKEN 5
#define SILENT_FROM_MS 4000
#define UNTIL_MS 12000
#define HOSTS_MAX 8
#define NEVER INT64_MAX

/* Other hosts; this one is "h0" in "x", whose owner is "h1". */
typedef struct
{
  const char *name;
  const char *data_centre;
  int64_t interval_ms;
} other_host_t;

static const struct
{
  const char *name;
  other_host_t others[HOSTS_MAX];
  uint32_t lost; /* bits: the others that fall silent at SILENT_FROM_MS */
  bool claims;
  int64_t claims_by_ms; /* after SILENT_FROM_MS */
} cases[] = {
  { "two hosts in each data centre, cut off",
    { { "h1", "x", 100 },
      { "h2", "y", 100 },
      { "h3", "y", 100 },
      { "h4", "z", 100 },
      { "h5", "z", 100 } },
    0x1f,
    false,
    NEVER },
  { "two hosts in each data centre, the owner is lost",
    { { "h1", "x", 100 },
      { "h2", "y", 100 },
      { "h3", "y", 100 },
      { "h4", "z", 100 },
      { "h5", "z", 100 } },
    0x01,
    true,
    700 },
  { "rare heartbeats of most hosts, cut off",
    { { "h1", "x", 100 },
      { "h2", "x", 1000 },
      { "h3", "x", 1000 },
      { "h4", "x", 1000 },
      { "h5", "y", 250 },
      { "h6", "z", 250 } },
    0x3f,
    false,
    NEVER },
  { "rare heartbeats of most hosts, the owner is lost",
    { { "h1", "x", 100 },
      { "h2", "x", 1000 },
      { "h3", "x", 1000 },
      { "h4", "x", 1000 },
      { "h5", "y", 250 },
      { "h6", "z", 250 } },
    0x01,
    true,
    1000 },
  { "the data centre is cut off, its owner is lost",
    { { "h1", "x", 100 }, { "h2", "x", 100 }, { "h3", "x", 100 }, { "h4", "y", 250 } },
    0x09,
    true,
    700 },
};

static void
receive (cluster_t *cluster, const other_host_t *other, int64_t now_ms, GArray *actions)
{
  cluster_claim_t claim = { (char *) "x", OWNER_TOKEN };
  cluster_heartbeat_t heartbeat = { .host = (char *) other->name,
                                    .data_centre = (char *) other->data_centre,
                                    .incarnation = 7,
                                    .ready = true,
                                    .cpu_millicores = 200,
                                    .expected_epoch = 1,
                                    .interval_ms = other->interval_ms,
                                    .uptime_ms = 60000,
                                    .claims =
                                        g_array_new (FALSE, FALSE, sizeof (cluster_claim_t)) };

  if (g_strcmp0 (other->name, "h1") == 0)
    g_array_append_val (heartbeat.claims, claim);
  cluster_receive_heartbeat (cluster, &heartbeat, now_ms, actions);
  g_array_unref (heartbeat.claims);
}

static bool
has_claimed (GArray *actions)
{
  bool claimed = false;

  for (guint i = 0; i < actions->len; i++)
    claimed |= g_array_index (actions, cluster_action_t, i).kind == CLUSTER_CLAIMED;
  g_array_set_size (actions, 0);
  return claimed;
}

/* Returns when this host claims its shard, after SILENT_FROM_MS; NEVER if it does not. */
static int64_t
play (cluster_t *cluster, size_t row, GArray *actions)
{
  for (int64_t now_ms = 0; now_ms < UNTIL_MS; now_ms += STEP_MS)
    {
      for (int i = 0; i < HOSTS_MAX && cases[row].others[i].name != NULL; i++)
        {
          const other_host_t *other = &cases[row].others[i];
          bool silent = now_ms > SILENT_FROM_MS && (cases[row].lost >> i & 1) != 0;
          if (!silent && now_ms % other->interval_ms == 0)
            receive (cluster, other, now_ms, actions);
        }
      cluster_step (cluster, now_ms, WALL_MS + now_ms, actions);
      if (has_claimed (actions) && now_ms > SILENT_FROM_MS)
        return now_ms - SILENT_FROM_MS;
    }
  return NEVER;
}

static void
test_claims (void)
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
      cluster_add_shard (cluster, "x");
      cluster_set_ready (cluster, true, 0);
      int64_t claimed_ms = play (cluster, row, actions);
      CU_ASSERT_EQUAL (claimed_ms != NEVER, cases[row].claims);
      CU_ASSERT_TRUE (claimed_ms <= cases[row].claims_by_ms);
      if ((claimed_ms != NEVER) != cases[row].claims || claimed_ms > cases[row].claims_by_ms)
        printf ("  %s: claimed after %" G_GINT64_FORMAT " ms\n", cases[row].name, claimed_ms);
      cluster_free (cluster);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "who claims a shard whose owner is silent", test_claims },
};

int
main (void)
{
  return unit_run ("cluster_cut_off_alone", tests, G_N_ELEMENTS (tests));
}
