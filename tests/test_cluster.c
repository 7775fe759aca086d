/* test_cluster.c -- lib/cluster step by step: claims, tokens, incarnations, epochs */
#include "cluster/cluster_msg.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define STEP_MS 10
#define WALL_MS INT64_C (1000000000)
/* One millisecond of a clock that was ahead adds 1 << TOKEN_MS_BITS to its tokens. */
#define TOKEN_MS_BITS 11
/* The longest time until an owner is obeyed, whatever clock the endpoints' last token came from. */
#define RECLAIM_MAX_MS 1000

typedef struct
{
  cluster_t *cluster;
  GArray *actions;
  int64_t now_ms;
  int32_t counts[CLUSTER_HOST_FOUND + 1]; /* number of actions of each kind so far */
  int64_t token;                          /* token of the last claim */
} fixture_t;

static void
count_actions (fixture_t *fixture)
{
  for (guint i = 0; i < fixture->actions->len; i++)
    {
      const cluster_action_t *action = &g_array_index (fixture->actions, cluster_action_t, i);
      fixture->counts[action->kind]++;
      if (action->kind == CLUSTER_CLAIMED)
        fixture->token = action->token;
    }
  g_array_set_size (fixture->actions, 0);
}

/* Steps the cluster until AT_MS, with a wall clock that stands still. */
static void
advance_at_wall_ms (fixture_t *fixture, int64_t at_ms, int64_t wall_ms)
{
  for (; fixture->now_ms < at_ms; fixture->now_ms += STEP_MS)
    {
      cluster_step (fixture->cluster, fixture->now_ms, wall_ms, fixture->actions);
      count_actions (fixture);
    }
}

/* Steps the cluster until AT_MS. */
static void
advance_to (fixture_t *fixture, int64_t at_ms)
{
  for (; fixture->now_ms < at_ms; fixture->now_ms += STEP_MS)
    {
      cluster_step (fixture->cluster, fixture->now_ms, WALL_MS + fixture->now_ms, fixture->actions);
      count_actions (fixture);
    }
}

static void
set_up_host (fixture_t *fixture, const char *host)
{
  const cluster_options_t options = { .host = host,
                                      .data_centre = "x",
                                      .incarnation = 100,
                                      .cpu_millicores = 250,
                                      .retransmit_ms = 1300 };

  *fixture = (fixture_t){ .cluster = cluster_new (&options, 0),
                          .actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t)) };
  cluster_add_shard (fixture->cluster, "x");
  cluster_set_ready (fixture->cluster, true, 0);
}

static void
set_up (fixture_t *fixture)
{
  set_up_host (fixture, "h1");
}

static void
tear_down (fixture_t *fixture)
{
  cluster_free (fixture->cluster);
  g_array_unref (fixture->actions);
}

/* Receives a heartbeat of HOST, which claims shard "x" with TOKEN. */
static void
receive_owner_heartbeat (fixture_t *fixture,
                         const char *host,
                         const char *data_centre,
                         int32_t cpu_millicores,
                         int64_t token)
{
  cluster_claim_t claim = { (char *) "x", token };
  cluster_heartbeat_t heartbeat = { .host = (char *) host,
                                    .data_centre = (char *) data_centre,
                                    .incarnation = 7,
                                    .ready = true,
                                    .cpu_millicores = cpu_millicores,
                                    .expected_epoch = 1,
                                    .claims =
                                        g_array_new (FALSE, FALSE, sizeof (cluster_claim_t)) };

  g_array_append_val (heartbeat.claims, claim);
  cluster_receive_heartbeat (fixture->cluster, &heartbeat, fixture->now_ms, fixture->actions);
  count_actions (fixture);
  g_array_unref (heartbeat.claims);
}

/* Receives a heartbeat of HOST without claims. */
static void
receive_incarnation (fixture_t *fixture, const char *host, uint64_t incarnation, uint64_t epoch)
{
  cluster_heartbeat_t heartbeat = { .host = (char *) host,
                                    .data_centre = (char *) "x",
                                    .incarnation = incarnation,
                                    .ready = true,
                                    .cpu_millicores = 1,
                                    .expected_epoch = epoch,
                                    .echo_ms = fixture->now_ms };

  cluster_receive_heartbeat (fixture->cluster, &heartbeat, fixture->now_ms, fixture->actions);
  count_actions (fixture);
}

static void
receive_heartbeat (fixture_t *fixture, const char *host, uint64_t epoch)
{
  receive_incarnation (fixture, host, 7, epoch);
}

/* A host that has started and becomes ready at READY_AT_MS.  An owner, if there is one, is heard
 * HEARD_AFTER_MS later. */
static const struct
{
  const char *name;
  int64_t ready_at_ms;
  int64_t heard_after_ms; /* 0: there is no owner */
  int64_t claim_min_ms;   /* after it became ready; 0: none */
  int64_t claim_max_ms;
} start_cases[] = {
  /* Service is back before the shortest objectives of callers, of 150 ms, have passed. */
  { "all hosts were lost", 15, 0, 50, 100 },
  { "all hosts were lost, the log is slow", 800, 0, 50, 100 },
  { "the host alone was restarted", 15, 20, 0, 0 },
  { "the host alone was restarted, a link of 20 ms", 15, 45, 0, 0 },
  { "the host alone was restarted, the log is slow", 800, 45, 0, 0 },
};

/* Replays the start of a host under load.  Without a claim nothing runs; a claim beside an owner
 * that is alive interrupts it. */
static void
test_claim_after_start (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (start_cases); i++)
    {
      fixture_t fixture;
      int64_t ready_at_ms = start_cases[i].ready_at_ms;
      int64_t claimed_at_ms = 0;

      set_up (&fixture);
      cluster_set_ready (fixture.cluster, false, 0);
      advance_to (&fixture, ready_at_ms);
      cluster_set_ready (fixture.cluster, true, fixture.now_ms);
      while (fixture.now_ms < ready_at_ms + 400)
        {
          if (start_cases[i].heard_after_ms != 0
              && fixture.now_ms >= ready_at_ms + start_cases[i].heard_after_ms)
            receive_owner_heartbeat (&fixture, "h2", "x", 250, 1);
          advance_to (&fixture, fixture.now_ms + STEP_MS);
          if (fixture.counts[CLUSTER_CLAIMED] > 0 && claimed_at_ms == 0)
            claimed_at_ms = fixture.now_ms;
        }
      int64_t after_ms = claimed_at_ms != 0 ? claimed_at_ms - ready_at_ms : 0;
      if (after_ms < start_cases[i].claim_min_ms || after_ms > start_cases[i].claim_max_ms)
        printf ("  %s: %d ms\n", start_cases[i].name, (int) after_ms);
      CU_ASSERT_TRUE (after_ms >= start_cases[i].claim_min_ms);
      CU_ASSERT_TRUE (after_ms <= start_cases[i].claim_max_ms);
      tear_down (&fixture);
    }
}

/* Endpoints may obey a higher token, from before a restart or from a host whose clock was ahead.
 * The owner must exceed it within a few reclaims, even if its token is refused at once. */
static void
test_token_superseded (void)
{
  static const int64_t clock_ahead_ms[] = { 0, 200, 1000, 5000, 10000, 60000 };

  for (size_t i = 0; i < G_N_ELEMENTS (clock_ahead_ms); i++)
    {
      fixture_t fixture;
      set_up (&fixture);
      advance_to (&fixture, 400);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_CLAIMED], 1);
      int64_t obeyed_token = fixture.token + (clock_ahead_ms[i] << TOKEN_MS_BITS) + 1;
      while (fixture.token < obeyed_token && fixture.now_ms < 4000)
        {
          int64_t token = fixture.token;
          cluster_token_superseded (fixture.cluster, "x", fixture.now_ms, WALL_MS + fixture.now_ms,
                                    fixture.actions);
          count_actions (&fixture);
          advance_to (&fixture, fixture.now_ms + STEP_MS);
          while (fixture.token == token && fixture.now_ms < 4000)
            advance_to (&fixture, fixture.now_ms + STEP_MS);
        }
      CU_ASSERT_TRUE (fixture.token >= obeyed_token);
      CU_ASSERT_TRUE (fixture.now_ms - 400 <= RECLAIM_MAX_MS);
      tear_down (&fixture);
    }
}

static const struct
{
  const char *name;
  const char *host; /* that claims with the token of this host, h1 */
  const char *data_centre;
  bool yields;
} equal_token_cases[] = {
  { "the other host wins", "h0", "x", true },
  { "the other host loses", "h2", "x", false },
  { "the other host, of another data centre, loses", "h0", "y", false },
};

/* Two hosts that claim a shard with the same token must not both stay its owner; the one that does
 * must fence the other with a higher token. */
static void
test_two_claims_with_one_token (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (equal_token_cases); i++)
    {
      fixture_t fixture;
      bool yields = equal_token_cases[i].yields;
      set_up (&fixture);
      advance_to (&fixture, 400);
      int64_t token = fixture.token;
      receive_owner_heartbeat (&fixture, equal_token_cases[i].host,
                               equal_token_cases[i].data_centre, 250, token);
      advance_to (&fixture, fixture.now_ms + 2 * STEP_MS);
      if ((fixture.counts[CLUSTER_YIELDED] == 1) != yields || (fixture.token > token) == yields)
        printf ("  %s\n", equal_token_cases[i].name);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_YIELDED], yields);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_CLAIMED], yields ? 1 : 2);
      CU_ASSERT_EQUAL (fixture.token > token, !yields);
      tear_down (&fixture);
    }
}

/* Returns the token of the first claim of HOST at WALL_MS.  HOST knows OTHER, unless it is NULL,
 * but does not hear it. */
static int64_t
first_token (const char *host, const char *other, int64_t wall_ms)
{
  fixture_t fixture;

  set_up_host (&fixture, host);
  if (other != NULL)
    cluster_add_host (fixture.cluster, other, "x", 250);
  advance_at_wall_ms (&fixture, 400, wall_ms);
  CU_ASSERT_EQUAL (fixture.counts[CLUSTER_CLAIMED], 1);
  int64_t token = fixture.token;
  tear_down (&fixture);
  return token;
}

/* As many hosts as a large site has. */
#define SITE_HOSTS 39
/* So many that the names of two of them have the same hash. */
#define COLLIDING_HOSTS_MAX 4000

/* Hosts that claim at the same time and do not hear each other must not issue the same token. */
static void
test_tokens_of_different_hosts (void)
{
  GHashTable *hosts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  bool found = false;

  for (int i = 0; i < COLLIDING_HOSTS_MAX && !found; i++)
    {
      char *host = g_strdup_printf ("h%d", i);
      int64_t token = first_token (host, NULL, WALL_MS);
      const char *other = g_hash_table_lookup (hosts, &token);
      found = other != NULL;
      if (found)
        {
          CU_ASSERT_TRUE (i >= SITE_HOSTS);
          CU_ASSERT_NOT_EQUAL (first_token (host, other, WALL_MS),
                               first_token (other, host, WALL_MS));
        }
      g_hash_table_replace (hosts, g_memdup2 (&token, sizeof token), host);
    }
  CU_ASSERT_TRUE (found);
  g_hash_table_unref (hosts);
}

/* A token is sent as a JSON number, which is exact up to this value only. */
#define TOKEN_MAX (INT64_C (1) << 53)

/* Tokens of later claims are higher, also after a change to this version, whose predecessors
 * shifted the wall clock by 8 bits. */
static void
test_range_of_tokens (void)
{
  static const int64_t wall_ms[] = { INT64_C (1700000000000), INT64_C (4102444800000) };

  for (size_t i = 0; i < G_N_ELEMENTS (wall_ms); i++)
    {
      int64_t token = first_token ("h1", NULL, wall_ms[i]);
      CU_ASSERT_TRUE (token < TOKEN_MAX);
      CU_ASSERT_TRUE (token > wall_ms[i] << 8);
      CU_ASSERT_TRUE (first_token ("h1", NULL, wall_ms[i] + 100) > token);
    }
}

static const struct
{
  const char *name;
  const char *data_centre;
  int32_t cpu_millicores; /* of the owner; this host has 250 */
  int64_t until_ms;
  bool takes_over;
} owner_cpu_cases[] = {
  { "same CPU", "x", 250, 4000, false },
  { "somewhat less CPU", "x", 130, 4000, false },
  { "much less CPU", "x", 90, 4000, true },
  { "much less CPU, but this host has just started", "x", 90, 1400, false },
  { "much more CPU", "x", 500, 4000, false },
};

/* The first host to be ready becomes the owner of a shard.  If it has much less CPU than another
 * host of the data centre, it must not stay the owner; with a smaller difference it must. */
static void
test_takeover_from_weak_owner (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (owner_cpu_cases); i++)
    {
      fixture_t fixture;
      set_up (&fixture);
      while (fixture.now_ms < owner_cpu_cases[i].until_ms)
        {
          receive_owner_heartbeat (&fixture, "h2", owner_cpu_cases[i].data_centre,
                                   owner_cpu_cases[i].cpu_millicores, 1000);
          advance_to (&fixture, fixture.now_ms + 100);
        }
      if ((fixture.counts[CLUSTER_CLAIMED] > 0) != owner_cpu_cases[i].takes_over)
        printf ("  %s\n", owner_cpu_cases[i].name);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_CLAIMED], owner_cpu_cases[i].takes_over);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_YIELDED], 0);
      CU_ASSERT_EQUAL (fixture.token > 1000, owner_cpu_cases[i].takes_over);
      tear_down (&fixture);
    }
}

/* The epoch that a host must send changes when it was lost, so that its earlier messages are
 * refused, and each change of a received epoch is reported. */
static void
test_epoch_fencing (void)
{
  fixture_t fixture;

  set_up (&fixture);
  advance_to (&fixture, 300);
  CU_ASSERT_FALSE (cluster_accepts_tasks (fixture.cluster, "h2", 0, fixture.now_ms));
  receive_heartbeat (&fixture, "h2", 5);
  CU_ASSERT_EQUAL (fixture.counts[CLUSTER_EPOCH_CHANGED], 1);
  CU_ASSERT_EQUAL (cluster_send_epoch (fixture.cluster, "h2"), 5);
  cluster_heartbeat_t heartbeat;
  cluster_make_heartbeat (fixture.cluster, "h2", fixture.now_ms, &heartbeat);
  uint64_t epoch = heartbeat.expected_epoch;
  g_array_unref (heartbeat.claims);
  CU_ASSERT_TRUE (cluster_accepts_tasks (fixture.cluster, "h2", epoch, fixture.now_ms));
  CU_ASSERT_FALSE (cluster_accepts_tasks (fixture.cluster, "h3", epoch, fixture.now_ms));
  advance_to (&fixture, 2000);
  CU_ASSERT_EQUAL (fixture.counts[CLUSTER_HOST_LOST], 1);
  CU_ASSERT_FALSE (cluster_accepts_tasks (fixture.cluster, "h2", epoch, fixture.now_ms));
  receive_heartbeat (&fixture, "h2", 5);
  CU_ASSERT_FALSE (cluster_accepts_tasks (fixture.cluster, "h2", epoch, fixture.now_ms));
  CU_ASSERT_EQUAL (fixture.counts[CLUSTER_EPOCH_CHANGED], 1);
  receive_heartbeat (&fixture, "h2", 6);
  CU_ASSERT_EQUAL (fixture.counts[CLUSTER_EPOCH_CHANGED], 2);
  tear_down (&fixture);
}

static const struct
{
  const char *name;
  bool owner_before; /* whether the other host owns a shard when the last heartbeat is sent to it */
  bool owner_after;
  int64_t after_ms;
  bool due;
} heartbeat_cases[] = {
  { "within the interval", false, false, 990, false },
  { "after the interval", false, false, 1000, true },
  { "to an owner, within the interval", true, true, 240, false },
  { "to an owner, after the interval", true, true, 250, true },
  { "the host becomes an owner", false, true, 10, true },
  { "the host yields its shard", true, false, 10, false },
};

static void
receive_heartbeat_of_owner_or_not (fixture_t *fixture, bool owner)
{
  if (owner)
    receive_owner_heartbeat (fixture, "h2", "x", 250, 1000);
  else
    receive_heartbeat (fixture, "h2", 1);
}

/* A new owner must not wait for a coordinator that dies as long as a host that owns nothing may. */
static void
test_heartbeat_due_to_new_owner (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (heartbeat_cases); i++)
    {
      fixture_t fixture;
      cluster_heartbeat_t sent;
      set_up (&fixture);
      cluster_set_ready (fixture.cluster, false, 0);
      CU_ASSERT_TRUE (cluster_heartbeat_is_due (fixture.cluster, "h2", fixture.now_ms));
      receive_heartbeat_of_owner_or_not (&fixture, heartbeat_cases[i].owner_before);
      cluster_make_heartbeat (fixture.cluster, "h2", fixture.now_ms, &sent);
      g_array_unref (sent.claims);
      while (fixture.now_ms < heartbeat_cases[i].after_ms)
        {
          receive_heartbeat_of_owner_or_not (&fixture, heartbeat_cases[i].owner_after);
          advance_to (&fixture, fixture.now_ms + STEP_MS);
        }
      bool due = cluster_heartbeat_is_due (fixture.cluster, "h2", fixture.now_ms);
      if (due != heartbeat_cases[i].due)
        printf ("  %s\n", heartbeat_cases[i].name);
      CU_ASSERT_EQUAL (due, heartbeat_cases[i].due);
      tear_down (&fixture);
    }
}

static const struct
{
  int64_t interval_ms; /* as announced by the coordinator */
  bool accepted;
  int64_t lost_before_ms; /* when accepted: how soon its loss must be noticed */
} announced_interval_cases[] = {
  { 100, true, 780 },
  { 250, true, 780 },
  { 251, false, 0 },
  { 1000, false, 0 },
};

/* An owner takes no tasks of a coordinator whose loss it would notice only after callers have
 * submitted their jobs again. */
static void
test_tasks_of_rarely_heard_coordinator (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (announced_interval_cases); i++)
    {
      fixture_t fixture;
      cluster_heartbeat_t heartbeat = { .host = (char *) "h2",
                                        .data_centre = (char *) "y",
                                        .incarnation = 7,
                                        .interval_ms = announced_interval_cases[i].interval_ms };
      set_up (&fixture);
      advance_to (&fixture, STEP_MS);
      heartbeat.echo_ms = fixture.now_ms;
      cluster_receive_heartbeat (fixture.cluster, &heartbeat, fixture.now_ms, fixture.actions);
      cluster_make_heartbeat (fixture.cluster, "h2", fixture.now_ms, &heartbeat);
      g_array_unref (heartbeat.claims);
      CU_ASSERT_EQUAL (
          cluster_accepts_tasks (fixture.cluster, "h2", heartbeat.expected_epoch, fixture.now_ms),
          announced_interval_cases[i].accepted);
      advance_to (&fixture, announced_interval_cases[i].lost_before_ms + 3 * STEP_MS);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_HOST_LOST], announced_interval_cases[i].accepted);
      tear_down (&fixture);
    }
}

static const struct
{
  const char *name;
  int64_t delay_ms;       /* from when a clock was sent until it was returned, at first */
  int64_t growth_percent; /* of the delay, per time that passes */
  bool echoes;
  bool answers; /* this host sends heartbeats too */
  bool lost;
  bool accepted; /* tasks are accepted at the end */
} delay_cases[] = {
  { "no delay", 0, 0, true, true, false, true },
  { "a long round trip", 500, 0, true, true, false, true },
  { "a delay that grows", 0, 100, true, true, true, false },
  { "a delay that grows slowly", 0, 50, true, true, true, false },
  { "a delay that shrinks", 900, -50, true, true, false, true },
  { "no clock is returned", 0, 0, false, true, false, false },
  { "no newer clock was sent", 0, 100, true, false, false, false },
};

#define DELAYED_FROM_MS 1000
#define DELAYED_UNTIL_MS 3200

/* A coordinator must not count as alive, nor its tasks be accepted, while its heartbeats arrive
 * steadily but each later than the one before. */
static void
test_delayed_heartbeats_of_dead_coordinator (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (delay_cases); i++)
    {
      fixture_t fixture;
      cluster_heartbeat_t sent;
      cluster_heartbeat_t heartbeat = {
        .host = (char *) "h2", .data_centre = (char *) "x", .incarnation = 7, .interval_ms = 100
      };
      set_up (&fixture);
      advance_to (&fixture, DELAYED_FROM_MS);
      while (fixture.now_ms < DELAYED_UNTIL_MS)
        {
          int64_t passed_ms = fixture.now_ms - DELAYED_FROM_MS;
          int64_t delay_ms =
              delay_cases[i].delay_ms + passed_ms * delay_cases[i].growth_percent / 100;
          heartbeat.echo_ms = delay_cases[i].echoes ? fixture.now_ms - MAX (delay_ms, 0) : 0;
          cluster_receive_heartbeat (fixture.cluster, &heartbeat, fixture.now_ms, fixture.actions);
          count_actions (&fixture);
          if (delay_cases[i].answers)
            {
              cluster_make_heartbeat (fixture.cluster, "h2", fixture.now_ms, &sent);
              g_array_unref (sent.claims);
            }
          advance_to (&fixture, fixture.now_ms + heartbeat.interval_ms);
        }
      int64_t arrived_ms = fixture.now_ms - heartbeat.interval_ms;
      int64_t alive_ms = cluster_alive_at_ms (fixture.cluster, "h2");
      cluster_make_heartbeat (fixture.cluster, "h2", fixture.now_ms, &sent);
      g_array_unref (sent.claims);
      bool lost = fixture.counts[CLUSTER_HOST_LOST] > 0;
      if (!lost)
        CU_ASSERT_EQUAL (alive_ms, delay_cases[i].echoes && delay_cases[i].answers
                                       ? heartbeat.echo_ms
                                       : arrived_ms);
      bool accepted =
          cluster_accepts_tasks (fixture.cluster, "h2", sent.expected_epoch, fixture.now_ms);
      if (lost != delay_cases[i].lost || accepted != delay_cases[i].accepted)
        printf ("  %s\n", delay_cases[i].name);
      CU_ASSERT_EQUAL (lost, delay_cases[i].lost);
      CU_ASSERT_EQUAL (accepted, delay_cases[i].accepted);
      tear_down (&fixture);
    }
}

/* Each side returns the newest clock that it has received, also through the codec. */
static void
test_heartbeats_return_clocks (void)
{
  fixture_t fixture;
  cluster_heartbeat_t sent;
  cluster_heartbeat_t received;
  frame_reader_t *reader = NULL;
  cluster_heartbeat_t heartbeat = {
    .host = (char *) "h2", .data_centre = (char *) "x", .incarnation = 7, .clock_ms = 123456
  };
  gsize size = 0;

  set_up (&fixture);
  advance_to (&fixture, 300);
  cluster_receive_heartbeat (fixture.cluster, &heartbeat, fixture.now_ms, fixture.actions);
  cluster_make_heartbeat (fixture.cluster, "h2", fixture.now_ms, &sent);
  GBytes *frame = cluster_msg_heartbeat (&sent);
  g_array_unref (sent.claims);
  const char *data = g_bytes_get_data (frame, &size);
  CU_ASSERT_EQUAL_FATAL (
      frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
  CU_ASSERT_EQUAL_FATAL (cluster_msg_read_heartbeat (reader, &received), 0);
  CU_ASSERT_EQUAL (received.clock_ms, 300);
  CU_ASSERT_EQUAL (received.echo_ms, 123456);
  cluster_heartbeat_clear (&received);
  frame_reader_free (reader);
  g_bytes_unref (frame);
  tear_down (&fixture);
}

static const struct
{
  const char *name;
  uint64_t incarnation; /* of the heartbeat that follows one of incarnation 7 */
  bool restarted;
} incarnation_cases[] = {
  { "the same incarnation", 7, false },
  { "a higher incarnation", 9, true },
  { "a lower incarnation, after the clock went back", 5, true },
};

/* Incarnations of a host are compared for equality only: its clock may have gone back between them,
 * so that a later incarnation can have a lower number. */
static void
test_restart (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (incarnation_cases); i++)
    {
      fixture_t fixture;
      set_up (&fixture);
      receive_incarnation (&fixture, "h2", 7, 1);
      receive_incarnation (&fixture, "h2", incarnation_cases[i].incarnation, 1);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_HOST_LOST], incarnation_cases[i].restarted);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_HOST_FOUND], 1 + incarnation_cases[i].restarted);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_HOST_RESTARTED], incarnation_cases[i].restarted);
      tear_down (&fixture);
    }
}

typedef enum
{
  OWNS_ALONE,
  OWNS_BESIDE_OTHERS, /* two more hosts are heard */
  HEARS_MINORITY,     /* they were heard, and are not any more */
  IS_SUPERSEDED,      /* an endpoint obeys a higher token */
  ANOTHER_HAS_HIGHER_CLAIM
} ownership_t;

static const struct
{
  const char *name;
  ownership_t ownership;
  bool sole;
} owner_cases[] = {
  { "the only host", OWNS_ALONE, true },
  { "beside others", OWNS_BESIDE_OTHERS, true },
  { "hears a minority", HEARS_MINORITY, false },
  { "an endpoint obeys a higher token", IS_SUPERSEDED, false },
  { "another host has a higher claim", ANOTHER_HAS_HIGHER_CLAIM, false },
};

/* What an owner says of runs must not be overtaken by another owner that it does not hear. */
static void
test_sole_owner (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (owner_cases); i++)
    {
      fixture_t fixture;
      ownership_t ownership = owner_cases[i].ownership;
      set_up (&fixture);
      advance_to (&fixture, 120);
      CU_ASSERT_EQUAL (fixture.counts[CLUSTER_CLAIMED], 1);
      if (ownership == OWNS_BESIDE_OTHERS || ownership == HEARS_MINORITY)
        {
          receive_heartbeat (&fixture, "h2", 1);
          receive_heartbeat (&fixture, "h3", 1);
        }
      if (ownership == HEARS_MINORITY)
        advance_to (&fixture, 2000);
      if (ownership == IS_SUPERSEDED)
        cluster_token_superseded (fixture.cluster, "x", fixture.now_ms, WALL_MS + fixture.now_ms,
                                  fixture.actions);
      if (ownership == ANOTHER_HAS_HIGHER_CLAIM)
        receive_owner_heartbeat (&fixture, "h2", "x", 250, fixture.token + 1);
      advance_to (&fixture, fixture.now_ms + STEP_MS);
      bool sole = cluster_is_sole_owner (fixture.cluster, "x", fixture.now_ms);
      CU_ASSERT_EQUAL (sole, owner_cases[i].sole);
      if (sole != owner_cases[i].sole)
        printf ("  %s: %d\n", owner_cases[i].name, sole);
      CU_ASSERT_FALSE (cluster_is_sole_owner (fixture.cluster, "y", fixture.now_ms));
      tear_down (&fixture);
    }
}

/* Hosts that hear each other well have told each other what was sent half a second ago, also when
 * one of them ends. */
static void
test_told_before_end (void)
{
  fixture_t fixture;
  int64_t echo_ms = 0;

  set_up (&fixture);
  for (int64_t at_ms = 100; at_ms <= 3000; at_ms += 100)
    {
      cluster_heartbeat_t sent = { 0 };
      cluster_heartbeat_t heartbeat = { .host = (char *) "h2",
                                        .data_centre = (char *) "y",
                                        .incarnation = 7,
                                        .ready = true,
                                        .interval_ms = 100,
                                        .expected_epoch = 1,
                                        .clock_ms = at_ms,
                                        .echo_ms = echo_ms };
      cluster_receive_heartbeat (fixture.cluster, &heartbeat, fixture.now_ms, fixture.actions);
      cluster_make_heartbeat (fixture.cluster, "h2", fixture.now_ms, &sent);
      echo_ms = sent.clock_ms;
      g_array_unref (sent.claims);
      advance_to (&fixture, at_ms);
    }
  int64_t end_ms = fixture.now_ms;
  CU_ASSERT_TRUE (end_ms - cluster_told_at_ms (fixture.cluster, end_ms) <= 300);
  /* Its process ends, and its connection breaks. */
  cluster_connection_lost (fixture.cluster, "h2", end_ms);
  advance_to (&fixture, end_ms + 300);
  CU_ASSERT_TRUE (end_ms - cluster_told_at_ms (fixture.cluster, end_ms + 300) <= 300);
  tear_down (&fixture);
}

static const unit_test_t tests[] = {
  { "claim after a start", test_claim_after_start },
  { "endpoints that obey a higher token", test_token_superseded },
  { "two hosts claim with one token", test_two_claims_with_one_token },
  { "tokens of different hosts", test_tokens_of_different_hosts },
  { "the range of tokens", test_range_of_tokens },
  { "an owner with too little CPU is replaced", test_takeover_from_weak_owner },
  { "a host was restarted", test_restart },
  { "an owner that no other can overtake", test_sole_owner },
  { "what a host was told before its end", test_told_before_end },
  { "epochs fence lost hosts", test_epoch_fencing },
  { "a heartbeat is due to a new owner", test_heartbeat_due_to_new_owner },
  { "delayed heartbeats of a dead coordinator", test_delayed_heartbeats_of_dead_coordinator },
  { "heartbeats return clocks", test_heartbeats_return_clocks },
  { "tasks of a coordinator that is rarely heard", test_tasks_of_rarely_heard_coordinator },
};

int
main (void)
{
  return unit_run ("cluster", tests, G_N_ELEMENTS (tests));
}
