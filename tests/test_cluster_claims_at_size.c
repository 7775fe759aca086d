/* test_cluster_claims_at_size.c -- a shard gets an owner soon although several of the hosts with
 * frequent heartbeats are lost at one moment, as long as a majority of all hosts is heard
 */
#include "cluster/cluster.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define STEP_MS 10
#define WALL_MS INT64_C (1000000000)
#define OWNER_TOKEN 5
#define SILENT_FROM_MS 4000
#define UNTIL_MS 12000
#define NEVER INT64_MAX
#define HUBS 4
#define HOSTS_PER_DATA_CENTRE 10

/* Ten hosts in each of three data centres, four of them hubs.  This one is "x0", a hub; the owner
 * of "x" is "x1". */
static const struct
{
  const char *name;
  int lost_hubs[3]; /* of each data centre, the owner first */
  int lost_others[3];
  bool claims;
  int64_t claims_by_ms; /* after SILENT_FROM_MS */
} cases[] = {
  { "the owner is lost", { 1, 0, 0 }, { 0, 0, 0 }, true, 700 },
  { "a third of all hosts, cut off one by one", { 3, 2, 2 }, { 1, 1, 1 }, true, 1000 },
  { "the data centre is cut off, two of its hubs are lost", { 2, 4, 4 }, { 0, 6, 6 }, true, 1000 },
  { "this host is cut off", { 3, 4, 4 }, { 6, 6, 6 }, false, NEVER },
  { "this host and two more are cut off together", { 3, 4, 4 }, { 4, 6, 6 }, false, NEVER },
};

/* Whether host NUMBER of data centre DC is lost; those of "x" are counted without this host. */
static bool
is_lost (size_t row, int dc, int number)
{
  int hubs = dc == 0 ? HUBS - 1 : HUBS;

  if (number < hubs)
    return number < cases[row].lost_hubs[dc];
  return number - hubs < cases[row].lost_others[dc];
}

static void
receive (cluster_t *cluster,
         int dc,
         int number,
         int64_t interval_ms,
         GArray *actions,
         int64_t now_ms)
{
  static const char *const names[] = { "x", "y", "z" };
  char *host = g_strdup_printf ("%s%d", names[dc], dc == 0 ? number + 1 : number);
  cluster_claim_t claim = { (char *) "x", OWNER_TOKEN };
  cluster_heartbeat_t heartbeat = { .host = host,
                                    .data_centre = (char *) names[dc],
                                    .incarnation = 7,
                                    .ready = true,
                                    .cpu_millicores = 200,
                                    .expected_epoch = 1,
                                    .interval_ms = interval_ms,
                                    .uptime_ms = 60000 + now_ms,
                                    .claims =
                                        g_array_new (FALSE, FALSE, sizeof (cluster_claim_t)) };

  if (dc == 0 && number == 0)
    g_array_append_val (heartbeat.claims, claim);
  cluster_receive_heartbeat (cluster, &heartbeat, now_ms, actions);
  g_array_unref (heartbeat.claims);
  g_free (host);
}

static void
receive_all (cluster_t *cluster, size_t row, int64_t now_ms, GArray *actions)
{
  for (int dc = 0; dc < 3; dc++)
    for (int number = 0; number < HOSTS_PER_DATA_CENTRE - (dc == 0); number++)
      {
        bool is_hub = number < (dc == 0 ? HUBS - 1 : HUBS);
        int64_t interval_ms = !is_hub ? 1000 : dc == 0 ? 100 : 250;
        /* Hosts don't send at the same moment. */
        int64_t phase_ms = (dc * HOSTS_PER_DATA_CENTRE + number) * 70 % interval_ms;
        bool silent = now_ms > SILENT_FROM_MS && is_lost (row, dc, number);
        if (!silent && now_ms % interval_ms == phase_ms)
          receive (cluster, dc, number, interval_ms, actions, now_ms);
      }
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
      receive_all (cluster, row, now_ms, actions);
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
      const cluster_options_t options = { .host = "x0",
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
      bool as_expected =
          (claimed_ms != NEVER) == cases[row].claims && claimed_ms <= cases[row].claims_by_ms;
      CU_ASSERT_TRUE (as_expected);
      if (!as_expected)
        printf ("  %s: claimed after %" G_GINT64_FORMAT " ms\n", cases[row].name, claimed_ms);
      cluster_free (cluster);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "who claims a shard when many hosts are lost", test_claims },
};

int
main (void)
{
  return unit_run ("cluster_claims_at_size", tests, G_N_ELEMENTS (tests));
}
