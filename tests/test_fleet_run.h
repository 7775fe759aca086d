/* test_fleet_run.h -- callers and faults of the random worlds, and the course of a world */
#ifndef TESTS_TEST_FLEET_RUN_H
#define TESTS_TEST_FLEET_RUN_H

#include "tests/test_fleet_node.h"
#include "tests/test_fleet_oracle.h"

#include <math.h>

/* --- callers --- */

static void
send_job (world_t *world, job_t *job)
{
  node_t *node = &world->nodes[draw (world, WORLD_HOSTS)];

  if (!is_up (node) || node->frozen_until_ms > world->now_ms || node->leaving_from_ms != 0)
    {
      job->resend_at_ms = world->now_ms + 200;
      return;
    }
  trace (world, job->id, "is sent to %s", node->name);
  job->host = node->number;
  job->incarnation = node->incarnation;
  job->starts = 0;
  job->refused = false;
  scheduler_job_t info = {
    .id = job->id,
    .spec = "work",
    .queue = job->mixed != NULL ? job->mixed->name : "",
    .service = "s",
    .priority = job->mixed != NULL ? job->mixed->priority : 0,
    .tasks = job->tasks,
    .need = { 1000, 1, 0 },
    .estimate_ms = job->estimate_ms,
    .stretch_factor = 1.6,
    .target_ms = 60,
    .received_at_ms = world->now_ms,
    .deadline_at_ms = job->deadline_at_ms,
    .start_by_ms = world->options->long_waits ? world->now_ms + DEADLINE_MS : 0,
    .attempts_max = ATTEMPTS_MAX,
    .label = "",
    .near_rack = job->near_zone >= 0 ? zone_name (job->near_zone) : "",
    .user_data = job,
  };
  job->number = scheduler_submit (node->flow, &info, world->now_ms, node->scheduler_actions);
  pump (node);
}

/* Work of 60 to 900 ms, as callers of sub-second tasks bring it. */
static const mixed_queue_t mixed_queues[WORLD_QUEUES] = {
  { "check", 0, 244, 8, 60 },
  { "lookup", 1, 712, 2, 200 },
  { "draft", 2, 44, 4, 900 },
};
/* Of a logarithm. */
#define SPREAD 0.4
#define TASK_SPREAD 0.15
#define WORK_MAX 4

/* A draw around MEAN, bounded by WORK_MAX times the mean. */
static double
draw_spread (world_t *world, double mean, double spread)
{
  double u = 1.0 - g_rand_double (world->mixed_rand);
  double normal = sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * g_rand_double (world->mixed_rand));

  return fmin (mean * exp (spread * normal - spread * spread / 2), WORK_MAX * mean);
}

/* A job of one of the queues; its estimate is rough. */
static void
draw_mixed (world_t *world, job_t *job)
{
  int place = g_rand_int_range (world->mixed_rand, 0, 1000);
  int number = 0;

  while (number < WORLD_QUEUES - 1 && place >= mixed_queues[number].share)
    place -= mixed_queues[number++].share;
  job->mixed = &mixed_queues[number];
  double tasks = draw_spread (world, job->mixed->tasks, SPREAD);
  double work_ms = draw_spread (world, job->mixed->work_ms, SPREAD);
  job->tasks = CLAMP ((int) lround (tasks), 1, TASKS_MAX);
  job->estimate_ms = (int64_t) draw_spread (world, work_ms, SPREAD) + 1;
  for (int i = 0; i < job->tasks; i++)
    {
      job->task_work_ms[i] = (int64_t) draw_spread (world, work_ms, TASK_SPREAD) + 1;
      job->work_ms += job->task_work_ms[i];
    }
}

static void
draw_plain (world_t *world, job_t *job)
{
  job->tasks = 1 + draw (world, TASKS_DRAWN);
  job->estimate_ms = draw (world, 8) == 0 ? 600 : 40 + draw (world, 120);
  for (int i = 0; i < job->tasks; i++)
    job->task_work_ms[i] = job->estimate_ms;
}

static int64_t
wait_of (const world_t *world, const job_t *job)
{
  int64_t longest_ms = 0;

  if (!world->options->long_waits)
    return DEADLINE_MS;
  for (int i = 0; i < job->tasks; i++)
    longest_ms = MAX (longest_ms, job->task_work_ms[i]);
  return DEADLINE_MS + WAIT_FACTOR * longest_ms;
}

static void
new_job (world_t *world)
{
  job_t *job = g_new0 (job_t, 1);

  g_snprintf (job->id, sizeof job->id, "%016d", (int) world->jobs->len);
  if (world->options->mixed)
    draw_mixed (world, job);
  else
    draw_plain (world, job);
  job->sent_at_ms = world->now_ms;
  job->wait_ms = wait_of (world, job);
  job->deadline_at_ms = world->now_ms + job->wait_ms;
  job->host = -1;
  job->near_zone = happens (world, world->options->racks) ? draw (world, WORLD_ZONES) : -1;
  job->leaves_at_ms =
      happens (world, world->options->leavers) ? world->now_ms + draw (world, 200) : INT64_MAX;
  g_ptr_array_add (world->jobs, job);
  world->result.jobs++;
  send_job (world, job);
}

/* Mixed jobs come with bursts. */
#define MIXED_BURST_EVERY_MS 15
#define BURST_EVERY_MS 12000
#define BURST_MS 4000

static void
bring_jobs (world_t *world)
{
  bool burst = world->options->mixed && world->now_ms % BURST_EVERY_MS < BURST_MS;
  int64_t every_ms = burst ? MIXED_BURST_EVERY_MS : JOB_EVERY_MS;

  if (world->options->every_ms != 0)
    every_ms = world->options->every_ms;
  if (world->now_ms % every_ms == 0)
    new_job (world);
}

/* The caller closes its connection; its host may not notice. */
static void
leave (world_t *world, job_t *job)
{
  node_t *node = job->host >= 0 ? &world->nodes[job->host] : NULL;

  job->over = true;
  if (node == NULL || !is_up (node) || node->incarnation != job->incarnation
      || node->frozen_until_ms > world->now_ms)
    return;
  scheduler_abandon (node->flow, job->number, world->now_ms, node->scheduler_actions);
  pump (node);
}

static void
step_job (world_t *world, job_t *job)
{
  if (job->over)
    return;
  if (world->now_ms >= job->leaves_at_ms)
    leave (world, job);
  else if (job->host < 0 && world->now_ms >= job->resend_at_ms)
    {
      if (world->now_ms < job->deadline_at_ms + 2 * DEADLINE_MS)
        {
          job->deadline_at_ms = MAX (job->deadline_at_ms, world->now_ms + DEADLINE_MS / 2);
          send_job (world, job);
        }
      else
        job->over = true;
    }
  else if (job->host >= 0 && world->now_ms > job->deadline_at_ms + 1000)
    {
      const node_t *node = &world->nodes[job->host];
      if (is_up (node) && node->incarnation == job->incarnation
          && node->frozen_until_ms + 500 < world->now_ms)
        {
          world->result.unanswered++;
          printf ("  unanswered: seed %u at %d ms: %s\n", world->options->seed, (int) world->now_ms,
                  job->id);
        }
      leave (world, job);
    }
}

/* --- faults --- */

#define CLOCK_STEP_MS 5000

/* Other hosts may see at once that their connections to NODE are broken; it does not. */
static void
cut_one_way (world_t *world, node_t *node)
{
  int64_t until_ms = world->now_ms + 100 + draw (world, 3000);
  int way = draw (world, 3);
  bool seen = draw (world, 2) == 0;

  if (way != 0)
    node->mute_until_ms = until_ms;
  if (way != 1)
    node->deaf_until_ms = until_ms;
  node->reconnects = true;
  for (int i = 0; seen && i < WORLD_HOSTS; i++)
    if (i != node->number && is_up (&world->nodes[i]))
      cluster_connection_lost (world->nodes[i].crew, node->name, world->now_ms);
}

static void
hurt_nodes (world_t *world)
{
  const world_options_t *options = world->options;

  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      node_t *node = &world->nodes[i];
      if (!is_up (node))
        continue;
      if (happens (world, options->crashes))
        {
          node_stop (node);
          node->down_until_ms = world->now_ms + 300 + draw (world, 3000);
        }
      else if (happens (world, options->freezes))
        node->frozen_until_ms = world->now_ms + 100 + draw (world, 4000);
      else if (happens (world, options->host_cuts))
        node->cut_until_ms = world->now_ms + 300 + draw (world, 5000);
      else if (happens (world, options->one_way_cuts))
        cut_one_way (world, node);
      else if (happens (world, options->clock_steps))
        {
          int step_ms = options->clock_step_ms > 0 ? options->clock_step_ms : CLOCK_STEP_MS;
          node->wall_ahead_ms = draw (world, 2 * step_ms) - step_ms;
        }
      else if (happens (world, options->terminations) && node->leaving_from_ms == 0)
        {
          node->leaving_from_ms = world->now_ms;
          cluster_leave (node->crew);
        }
    }
}

static void
machine_forget (world_t *world, machine_t *machine)
{
  for (guint i = 0; i < machine->runs->len; i++)
    lose_run (world, ((run_t *) machine->runs->pdata[i])->task);
  g_ptr_array_set_size (machine->runs, 0);
  g_ptr_array_set_size (machine->ends, 0);
  g_hash_table_remove_all (machine->seen);
  machine->token = 0;
  machine->lease_until_ms = 0;
  machine->last_end = 0;
}

static void
hurt_machines (world_t *world)
{
  const world_options_t *options = world->options;

  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      machine_t *machine = &world->machines[i];
      if (machine->down_until_ms == 0 && happens (world, options->endpoint_crashes))
        {
          machine_forget (world, machine);
          machine->down_until_ms = world->now_ms + 500 + draw (world, 3000);
          outage_t outage = { world->now_ms, machine->down_until_ms };
          g_array_append_val (machine->outages, outage);
        }
      else if (machine->down_until_ms != 0 && machine->down_until_ms <= world->now_ms)
        {
          machine->down_until_ms = 0;
          machine->born_at_ms = world->now_ms;
          for (int k = 0; k < WORLD_HOSTS; k++)
            if (world->nodes[k].owned[machine->zone].fleet != NULL)
              set_machines (&world->nodes[k], machine->zone);
        }
      if (happens (world, options->endpoint_cuts))
        machine->cut_until_ms = world->now_ms + 200 + draw (world, 3000);
    }
  for (int i = 0; i < WORLD_ZONES; i++)
    if (happens (world, options->zone_cuts))
      world->zone_cut_until_ms[i] = world->now_ms + 500 + draw (world, 5000);
  for (int i = 0; options->drains > 0 && i < WORLD_ZONES; i++)
    if (world->now_ms >= world->drain_until_ms[i] + DRAIN_MS && happens (world, options->drains))
      {
        world->drain_from_ms[i] = world->now_ms;
        world->drain_until_ms[i] = world->now_ms + 200 + draw (world, 6000);
      }
}

/* --- the world --- */

static void
world_tick (world_t *world, void *data)
{
  (void) data;
  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    machine_step (world, &world->machines[i]);
  for (int i = 0; i < WORLD_HOSTS; i++)
    node_tick (&world->nodes[i]);
  for (guint i = world->jobs->len > 400 ? world->jobs->len - 400 : 0; i < world->jobs->len; i++)
    step_job (world, world->jobs->pdata[i]);
  if (world->now_ms > 2000 && world->now_ms < world->options->length_ms - 4000)
    bring_jobs (world);
  if (world->now_ms % 1000 == 0 && world->now_ms > 3000)
    {
      hurt_nodes (world);
      hurt_machines (world);
    }
  plan (world, world->now_ms + TICK_MS, world_tick, NULL);
}

static void
world_init (world_t *world)
{
  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      node_t *node = &world->nodes[i];
      node->world = world;
      node->number = i;
      node->zone = i % WORLD_ZONES;
      g_snprintf (node->name, sizeof node->name, "h%d", i);
      node->crew_actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t));
      node->scheduler_actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      node->executor_actions = g_array_new (FALSE, FALSE, sizeof (executor_action_t));
    }
  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      machine_t *machine = &world->machines[i];
      g_snprintf (machine->id, sizeof machine->id, "e%d", i);
      machine->zone = i % WORLD_ZONES;
      machine->born_at_ms = 1;
      machine->slowness = i % 4 == 0 ? SLOW : FAST;
      machine->outages = g_array_new (FALSE, FALSE, sizeof (outage_t));
      machine->runs = g_ptr_array_new_with_free_func (free_run);
      machine->ends = g_ptr_array_new_with_free_func (free_end);
      machine->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
}

/* The first place is that of the largest job. */
static int
compare_sizes (const void *a, const void *b)
{
  int64_t x = (*(const job_t *const *) a)->work_ms;
  int64_t y = (*(const job_t *const *) b)->work_ms;

  return x < y ? 1 : -(x > y);
}

/* True if a fast endpoint that is free ends each task in time, from the moment on when a fault last
 * ended a run of it. */
static bool
is_feasible (const job_t *job)
{
  for (int i = 0; i < job->tasks; i++)
    if ((double) job->anew_ms[i] + FAST * (double) job->task_work_ms[i] >= (double) job->wait_ms)
      return false;
  return true;
}

/* Counts the drafts of mixed jobs by size, and which of them an endpoint could end in time. */
static void
count_sizes (const world_t *world, world_result_t *result)
{
  GPtrArray *drafts = g_ptr_array_new ();

  for (guint i = 0; i < world->jobs->len; i++)
    {
      job_t *job = world->jobs->pdata[i];
      if (job->mixed == &mixed_queues[WORLD_QUEUES - 1])
        g_ptr_array_add (drafts, job);
    }
  g_ptr_array_sort (drafts, compare_sizes);
  for (guint i = 0; i < drafts->len; i++)
    {
      const job_t *job = drafts->pdata[i];
      world_size_t *size = &result->sizes[i * 10 < drafts->len       ? 0
                                          : i * 10 < drafts->len * 3 ? 1
                                                                     : 2];
      size->jobs++;
      size->complete += job->complete;
      size->feasible += is_feasible (job);
      size->reachable += job->oracle_left == 0;
    }
  g_ptr_array_unref (drafts);
}

world_result_t
world_run (const world_options_t *options)
{
  world_t *world = g_new0 (world_t, 1);

  world->options = options;
  world->rand = g_rand_new_with_seed (options->seed);
  world->mixed_rand = g_rand_new_with_seed (options->seed);
  world->now_ms = 1000;
  world->events = g_sequence_new (g_free);
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  world_init (world);
  plan (world, world->now_ms, world_tick, NULL);
  while (world->now_ms < options->length_ms)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->events);
      event_t event = *(event_t *) g_sequence_get (first);
      g_sequence_remove (first);
      world->now_ms = event.at_ms;
      world->result.steps++;
      event.run (world, event.data);
    }
  world_result_t result = world->result;
  if (options->mixed)
    oracle_run (world);
  count_sizes (world, &result);
  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      if (is_up (&world->nodes[i]))
        node_stop (&world->nodes[i]);
      g_array_unref (world->nodes[i].crew_actions);
      g_array_unref (world->nodes[i].scheduler_actions);
      g_array_unref (world->nodes[i].executor_actions);
    }
  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      g_array_unref (world->machines[i].outages);
      g_ptr_array_unref (world->machines[i].runs);
      g_ptr_array_unref (world->machines[i].ends);
      g_hash_table_unref (world->machines[i].seen);
    }
  /* What is still on its way is freed with its event. */
  for (GSequenceIter *at = g_sequence_get_begin_iter (world->events); !g_sequence_iter_is_end (at);
       at = g_sequence_iter_next (at))
    {
      const event_t *event = g_sequence_get (at);
      if (event->run == message_arrives)
        message_free (event->data);
      else if (event->run == order_ends)
        order_free (event->data);
    }
  g_sequence_free (world->events);
  g_ptr_array_unref (world->jobs);
  g_rand_free (world->rand);
  g_rand_free (world->mixed_rand);
  g_free (world);
  return result;
}

#endif
