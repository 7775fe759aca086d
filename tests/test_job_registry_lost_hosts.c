/* test_job_registry_lost_hosts.c -- what becomes of a job that hosts of one data centre register,
 * where hosts are lost, and where it is sent again at any time
 *
 * Schedulers of four hosts, all of them registrars, that reach each other at once.  One owner,
 * which no host is, has all endpoints; runs go on until they are cancelled or their host was
 * killed.
 */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define HOSTS 4
#define JOB "00000000000000a1"
#define STEP_MS 10
#define EXCHANGE_MS 200
#define LOST_AFTER_MS 130
#define RESUBMIT_MS 1300
#define CALLER_WAIT_MS 9000
/* Owners have stopped the runs of a lost host, and say so, this long after its loss. */
#define OWNERS_KNOW_AFTER_MS 100
#define OWNER "ox"
#define SHARD "x"

typedef struct
{
  const char *name;
  scheduler_t *scheduler;
  GArray *actions;
  uint64_t request;
  int64_t killed_at_ms; /* 0 if it is up */
  bool lost;            /* the others have been told */
  bool runs;
  bool stops_late; /* orders to stop its runs have not been carried out yet */
  bool answered;
  scheduler_outcome_t outcome;
} host_t;

typedef struct
{
  host_t hosts[HOSTS];
  int64_t now_ms;
  bool twice; /* two hosts have run the job at one time */
} world_t;

static host_t *
find_host (world_t *world, const char *name)
{
  for (size_t i = 0; i < HOSTS; i++)
    if (g_strcmp0 (world->hosts[i].name, name) == 0)
      return &world->hosts[i];
  return NULL;
}

static void
check_runs (world_t *world)
{
  int count = 0;

  for (size_t i = 0; i < HOSTS; i++)
    count += world->hosts[i].runs;
  world->twice |= count > 1;
}

static void
register_at (world_t *world, host_t *from, host_t *to, const scheduler_action_t *action)
{
  GArray *claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t));
  bool confirmed =
      scheduler_register (to->scheduler, from->name, &action->status, world->now_ms, claims);

  for (guint i = 0; i < claims->len; i++)
    scheduler_job_claimed (from->scheduler, JOB, &g_array_index (claims, job_claim_t, i),
                           world->now_ms, from->actions);
  if (confirmed)
    scheduler_job_registered (from->scheduler, to->name, JOB, action->registration, world->now_ms,
                              from->actions);
  g_array_unref (claims);
}

static void
ask_owner (world_t *world, host_t *from, const scheduler_action_t *action)
{
  const host_t *holder = find_host (world, action->holder);

  if (holder->lost && world->now_ms >= holder->killed_at_ms + LOST_AFTER_MS + OWNERS_KNOW_AFTER_MS)
    scheduler_runs_over (from->scheduler, JOB, action->holder, SHARD, 1, world->now_ms);
}

static void
carry_out (world_t *world, host_t *from, const scheduler_action_t *action)
{
  host_t *to = action->host != NULL ? find_host (world, action->host) : NULL;
  bool heard = to != NULL && to->killed_at_ms == 0;

  switch (action->kind)
    {
    case SCHEDULER_SUBMIT:
      from->runs = true;
      check_runs (world);
      break;
    case SCHEDULER_CANCEL:
      from->runs = from->runs && from->stops_late;
      break;
    case SCHEDULER_ANSWER:
      from->answered = true;
      from->outcome = action->outcome;
      break;
    case SCHEDULER_ASK:
      if (heard)
        scheduler_job_asked (to->scheduler, from->name, JOB, world->now_ms, to->actions);
      break;
    case SCHEDULER_TELL:
      if (heard)
        scheduler_job_told (to->scheduler, from->name, &action->status, world->now_ms, to->actions);
      break;
    case SCHEDULER_REGISTER:
      if (heard)
        register_at (world, from, to, action);
      break;
    case SCHEDULER_ASK_OWNER:
      ask_owner (world, from, action);
      break;
    default:
      break;
    }
}

/* Carries out all actions, and those that follow from them. */
static void
settle (world_t *world)
{
  bool more = true;

  while (more)
    {
      more = false;
      for (size_t i = 0; i < HOSTS; i++)
        {
          host_t *host = &world->hosts[i];
          GArray *actions = host->actions;
          host->actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
          more |= actions->len > 0;
          for (guint j = 0; j < actions->len; j++)
            {
              const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, j);
              carry_out (world, host, action);
              if (action->task_indexes != NULL)
                g_array_unref (action->task_indexes);
            }
          g_array_unref (actions);
        }
    }
}

/* HOST tells the others the ends that it has collected, then its announcements. */
static void
exchange (world_t *world, host_t *host)
{
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));

  scheduler_collect_registered_ends (host->scheduler, statuses);
  scheduler_collect_statuses (host->scheduler, world->now_ms, statuses);
  for (guint i = 0; i < statuses->len; i++)
    for (size_t j = 0; j < HOSTS; j++)
      if (&world->hosts[j] != host && world->hosts[j].killed_at_ms == 0)
        scheduler_job_told (world->hosts[j].scheduler, host->name,
                            &g_array_index (statuses, job_status_t, i), world->now_ms,
                            world->hosts[j].actions);
  g_array_unref (statuses);
}

/* The hosts that are up lose HOST, and its runs are stopped. */
static void
lose (world_t *world, host_t *host)
{
  GPtrArray *heard = g_ptr_array_new ();

  host->lost = true;
  host->runs = false;
  for (size_t i = 1; i < HOSTS; i++)
    if (!world->hosts[i].lost)
      g_ptr_array_add (heard, (void *) world->hosts[i].name);
  for (size_t i = 0; i < HOSTS; i++)
    {
      host_t *other = &world->hosts[i];
      if (other->killed_at_ms != 0)
        continue;
      scheduler_host_lost (other->scheduler, host->name, host->killed_at_ms, world->now_ms,
                           other->actions);
      scheduler_set_registrars (other->scheduler, heard, other->actions);
    }
  g_ptr_array_unref (heard);
}

static void
run_until (world_t *world, int64_t until_ms)
{
  for (; world->now_ms < until_ms; world->now_ms += STEP_MS)
    for (size_t i = 0; i < HOSTS; i++)
      {
        host_t *host = &world->hosts[i];
        if (host->killed_at_ms != 0 && !host->lost
            && world->now_ms >= host->killed_at_ms + LOST_AFTER_MS)
          lose (world, host);
        settle (world);
        if (host->killed_at_ms != 0)
          continue;
        scheduler_step (host->scheduler, world->now_ms, host->actions);
        settle (world);
        /* Hosts don't do this at one moment. */
        if (world->now_ms % EXCHANGE_MS == (int64_t) i * STEP_MS)
          exchange (world, host);
        settle (world);
      }
}

static void
send_job (world_t *world, const char *name, int64_t wait_ms)
{
  host_t *host = find_host (world, name);
  const scheduler_job_t job = test_job (JOB, world->now_ms, wait_ms);

  host->answered = false;
  host->request = scheduler_submit (host->scheduler, &job, world->now_ms, host->actions);
  settle (world);
}

static void
caller_leaves (world_t *world, const char *name)
{
  host_t *host = find_host (world, name);

  scheduler_abandon (host->scheduler, host->request, world->now_ms, host->actions);
  settle (world);
}

static void
kill_host (world_t *world, const char *name)
{
  find_host (world, name)->killed_at_ms = world->now_ms;
}

static void
set_offers (world_t *world, const char *name, int32_t slots)
{
  const executor_offer_t offer = { "s", slots, slots, 1.0 };

  report_offers (find_host (world, name)->scheduler, SHARD, OWNER, &offer, 1, NULL, world->now_ms);
}

static world_t *
new_world (void)
{
  static const char *const names[HOSTS] = { "a", "b", "c", "d" };
  world_t *world = g_new0 (world_t, 1);
  GPtrArray *all = g_ptr_array_new ();

  world->now_ms = 10000;
  for (size_t i = 1; i < HOSTS; i++)
    g_ptr_array_add (all, (void *) names[i]);
  for (size_t i = 0; i < HOSTS; i++)
    {
      host_t *host = &world->hosts[i];
      const scheduler_options_t options = { .host = names[i],
                                            .data_centre = "z",
                                            .lease_ms = 1000,
                                            .remote_factor = 1.0,
                                            .resubmit_ms = RESUBMIT_MS };
      host->name = g_intern_string (names[i]);
      host->scheduler = scheduler_new (&options);
      host->actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_set_owner (host->scheduler, SHARD, OWNER, 1, 0, host->actions);
      scheduler_set_registrars (host->scheduler, all, host->actions);
      set_offers (world, names[i], 4);
    }
  g_ptr_array_unref (all);
  return world;
}

static void
free_world (world_t *world)
{
  for (size_t i = 0; i < HOSTS; i++)
    {
      scheduler_free (world->hosts[i].scheduler);
      g_array_unref (world->hosts[i].actions);
    }
  g_free (world);
}

/* The job must run at the host with NAME now, unanswered, and must have run nowhere beside it. */
static void
check_serves (world_t *world, const char *name)
{
  const host_t *host = find_host (world, name);

  CU_ASSERT_FALSE (world->twice);
  CU_ASSERT_TRUE (host->runs);
  CU_ASSERT_FALSE (host->answered);
  if (host->answered)
    printf ("  answered with outcome %d\n", (int) host->outcome);
}

/* --- cases --- */

typedef struct
{
  world_t *world;
  host_t *to;
} relay_t;

static void
tell_known (const char *host, const job_status_t *status, void *data)
{
  const relay_t *relay = data;

  scheduler_job_told (relay->to->scheduler, host, status, relay->world->now_ms, relay->to->actions);
  /* As the daemon does. */
  if (find_host (relay->world, host)->lost)
    scheduler_job_unheard (relay->to->scheduler, status->id, host);
}

/* Registrars that lose a host tell the others all jobs that they know. */
static void
pass_on (world_t *world)
{
  for (size_t i = 1; i < HOSTS; i++)
    for (size_t j = 1; j < HOSTS; j++)
      {
        const host_t *from = &world->hosts[i];
        relay_t relay = { world, &world->hosts[j] };
        if (i != j && from->killed_at_ms == 0 && relay.to->killed_at_ms == 0)
          scheduler_foreach_remote (from->scheduler, relay.to->name, world->now_ms, tell_known,
                                    &relay);
      }
  settle (world);
}

/* Owners know that the runs have ended 230 ms after the kill. */
static void
test_relayed_after_the_loss (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 80);
  kill_host (world, "a");
  run_until (world, start_ms + 230);
  pass_on (world);
  send_job (world, "b", CALLER_WAIT_MS);
  run_until (world, start_ms + 900);
  check_serves (world, "b");
  free_world (world);
}

static void
test_after_an_announced_job (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 700);
  kill_host (world, "a");
  run_until (world, start_ms + 750);
  send_job (world, "b", CALLER_WAIT_MS);
  run_until (world, start_ms + 2000);
  check_serves (world, "b");
  free_world (world);
}

static void
test_after_two_lost_hosts (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 80);
  kill_host (world, "a");
  run_until (world, start_ms + 130);
  send_job (world, "b", CALLER_WAIT_MS);
  run_until (world, start_ms + 180);
  kill_host (world, "b");
  run_until (world, start_ms + 400);
  send_job (world, "c", CALLER_WAIT_MS);
  run_until (world, start_ms + 3000);
  check_serves (world, "c");
  free_world (world);
}

static void
test_two_wait_for_a_lost_host (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 80);
  kill_host (world, "a");
  run_until (world, start_ms + 130);
  send_job (world, "b", CALLER_WAIT_MS);
  run_until (world, start_ms + 230);
  send_job (world, "c", CALLER_WAIT_MS);
  run_until (world, start_ms + 3000);
  CU_ASSERT_FALSE (world->twice);
  CU_ASSERT_TRUE (find_host (world, "b")->runs || find_host (world, "c")->runs);
  free_world (world);
}

/* The job ends unsent at a host, as its caller leaves, and is sent there again before the others
 * are told of the end. */
static void
test_end_that_is_told_late (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  for (size_t i = 0; i < HOSTS; i++)
    set_offers (world, world->hosts[i].name, 0);
  run_until (world, start_ms + 60);
  send_job (world, "d", CALLER_WAIT_MS);
  caller_leaves (world, "d");
  run_until (world, start_ms + 110);
  set_offers (world, "d", 4);
  set_offers (world, "b", 4);
  send_job (world, "d", CALLER_WAIT_MS);
  run_until (world, start_ms + 300);
  send_job (world, "b", CALLER_WAIT_MS);
  run_until (world, start_ms + 340);
  check_serves (world, "d");
  free_world (world);
}

/* An answer of 503, and a request of the same job to the same host just after it. */
static void
test_refused_and_sent_again (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  for (size_t i = 0; i < HOSTS; i++)
    set_offers (world, world->hosts[i].name, 0);
  run_until (world, start_ms + 40);
  send_job (world, "d", 50);
  run_until (world, start_ms + 150);
  CU_ASSERT_TRUE (find_host (world, "d")->answered);
  set_offers (world, "d", 4);
  set_offers (world, "b", 4);
  send_job (world, "d", CALLER_WAIT_MS);
  run_until (world, start_ms + 300);
  send_job (world, "b", CALLER_WAIT_MS);
  run_until (world, start_ms + 340);
  check_serves (world, "d");
  free_world (world);
}

/* The runs of the first request have been cancelled, and may go on for RESUBMIT_MS; the second one
 * leaves as well, before it is sent. */
static void
test_left_twice (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  find_host (world, "a")->stops_late = true;
  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 60);
  caller_leaves (world, "a");
  run_until (world, start_ms + 110);
  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 150);
  caller_leaves (world, "a");
  run_until (world, start_ms + 400);
  send_job (world, "b", CALLER_WAIT_MS);
  run_until (world, start_ms + 440);
  CU_ASSERT_FALSE (world->twice);
  free_world (world);
}

static void
set_registrars (world_t *world, const char *name, const char *first, const char *second)
{
  host_t *host = find_host (world, name);
  GPtrArray *hosts = g_ptr_array_new ();

  g_ptr_array_add (hosts, (void *) first);
  if (second != NULL)
    g_ptr_array_add (hosts, (void *) second);
  scheduler_set_registrars (host->scheduler, hosts, host->actions);
  g_ptr_array_unref (hosts);
  settle (world);
}

/* A host that has heard none of the others for a moment takes the job, and hears them before it has
 * started it.  Another one that is no hub runs the job. */
static void
test_registered_alone (void)
{
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;

  set_registrars (world, "a", "b", "c");
  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 60);
  set_offers (world, "d", 0);
  set_registrars (world, "d", "d", NULL);
  send_job (world, "d", CALLER_WAIT_MS);
  run_until (world, start_ms + 100);
  set_registrars (world, "d", "b", "c");
  run_until (world, start_ms + 120);
  set_offers (world, "d", 4);
  run_until (world, start_ms + 200);
  check_serves (world, "a");
  CU_ASSERT_FALSE (find_host (world, "d")->answered);
  free_world (world);
}

/* A host is started anew 300 ms after it was killed, and is sent its job again before a hub has
 * told it what the process before had.  Its runs may go on for a lease. */
static void
test_sent_to_the_restarted_host (void)
{
  const scheduler_options_t options = { .host = "a",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .resubmit_ms = RESUBMIT_MS,
                                        .started_at_ms = 10380,
                                        .cold_until_ms = 10380 + 1080 };
  world_t *world = new_world ();
  int64_t start_ms = world->now_ms;
  host_t *host = find_host (world, "a");

  send_job (world, "a", CALLER_WAIT_MS);
  run_until (world, start_ms + 80);
  kill_host (world, "a");
  run_until (world, start_ms + 380);
  scheduler_free (host->scheduler);
  host->scheduler = scheduler_new (&options);
  host->killed_at_ms = 0;
  host->lost = false;
  scheduler_set_owner (host->scheduler, SHARD, OWNER, 1, 0, host->actions);
  set_offers (world, "a", 4);
  set_registrars (world, "a", "b", "c");
  for (size_t i = 1; i < HOSTS; i++)
    scheduler_host_restarted (world->hosts[i].scheduler, "a", options.started_at_ms);
  send_job (world, "a", CALLER_WAIT_MS);
  relay_t relay = { world, host };
  scheduler_foreach_remote (find_host (world, "b")->scheduler, "a", world->now_ms, tell_known,
                            &relay);
  scheduler_all_told (host->scheduler);
  run_until (world, start_ms + 600);
  CU_ASSERT_FALSE (host->runs);
  free_world (world);
}

static const unit_test_t tests[] = {
  { "a job whose announced host was killed is not served", test_after_an_announced_job },
  { "a job that two killed hosts had is not served", test_after_two_lost_hosts },
  { "a lost host counts as heard once it is relayed", test_relayed_after_the_loss },
  { "two hosts wait for one that was killed, and neither serves", test_two_wait_for_a_lost_host },
  { "an end that is told late undoes a registration", test_end_that_is_told_late },
  { "a refusal that is told late undoes a registration", test_refused_and_sent_again },
  { "a request that ends unsent hides runs of the one before", test_left_twice },
  { "a host that registered a job alone starts it beside another one", test_registered_alone },
  { "a restarted host starts its job beside its earlier runs", test_sent_to_the_restarted_host },
};

int
main (int argc, char **argv)
{
  return unit_run_named ("job_registry_lost_hosts", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
