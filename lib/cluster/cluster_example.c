/* cluster_example.c -- a host claims the shard of its data centre, then yields to a higher claim */
#include "cluster/cluster.h"

#include <stdio.h>

static const char *const names[] = { [CLUSTER_CLAIMED] = "claimed",
                                     [CLUSTER_YIELDED] = "yielded",
                                     [CLUSTER_OWNER_CHANGED] = "owner",
                                     [CLUSTER_HOST_LOST] = "lost",
                                     [CLUSTER_HOST_FOUND] = "found" };

static void
show (GArray *actions, int64_t now_ms)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const cluster_action_t *action = &g_array_index (actions, cluster_action_t, i);
      printf ("%d ms: %s %s %s\n", (int) now_ms, names[action->kind],
              action->shard != NULL ? action->shard : "", action->host != NULL ? action->host : "");
    }
  g_array_set_size (actions, 0);
}

int
main (void)
{
  const cluster_options_t options = { "h1", "x", 1, 250, 1300, CLUSTER_HUBS_PER_DATA_CENTRE };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t));
  cluster_t *cluster = cluster_new (&options, 0);
  cluster_claim_t claim = { (char *) "x", INT64_C (1) << 60 };
  cluster_heartbeat_t heartbeat = {
    .host = (char *) "h2", .data_centre = (char *) "x", .incarnation = 2, .ready = true
  };

  cluster_add_shard (cluster, "x");
  cluster_set_ready (cluster, true, 0);
  for (int64_t now_ms = 0; now_ms <= 400; now_ms += 100)
    {
      cluster_step (cluster, now_ms, now_ms, actions);
      show (actions, now_ms);
    }
  heartbeat.claims = g_array_new (FALSE, FALSE, sizeof (cluster_claim_t));
  g_array_append_val (heartbeat.claims, claim);
  cluster_receive_heartbeat (cluster, &heartbeat, 500, actions);
  cluster_step (cluster, 500, 500, actions);
  show (actions, 500);
  g_array_unref (heartbeat.claims);
  cluster_free (cluster);
  g_array_unref (actions);
  return 0;
}
