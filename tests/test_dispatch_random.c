/* test_dispatch_random.c -- randomised tests of lib/dispatch against simple models
 *
 * Each part of the decision code is compared with a naive implementation that keeps
 * plain lists and searches all of them.  The seeds are fixed and printed.
 */
#include "dispatch/backlog.h"
#include "dispatch/fair_queue.h"
#include "dispatch/outlier.h"
#include "tests/test_dispatch_fake.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define FAIR_STEPS 600000
#define BACKLOG_STEPS 200000
#define OUTLIER_STEPS 100000
#define MODEL_STEPS 150000

/* --- fair queue --- */

#define PLANS 6
#define ITEMS_MAX 40
#define WEIGHT_SCALE 1024

typedef struct
{
  fair_queue_item_t item;
  int plan;
  int64_t deadline_at_ms;
  uint64_t sequence;
  bool queued;
} naive_item_t;

/* A fair queue and the naive one that it is compared with. */
typedef struct
{
  fair_queue_t *fair_queue;
  fair_queue_plan_t *plans[PLANS];
  naive_item_t items[ITEMS_MAX];
  int64_t virtual_time_us[PLANS];
  int32_t weight[PLANS];
  unsigned block_reasons[PLANS];
  int64_t system_virtual_us;
  uint64_t last_sequence;
} fair_pair_t;

static int
naive_queued (const fair_pair_t *pair, int plan)
{
  int count = 0;

  for (int i = 0; i < ITEMS_MAX; i++)
    count += pair->items[i].queued && pair->items[i].plan == plan;
  return count;
}

static const naive_item_t *
naive_first (const fair_pair_t *pair, int plan)
{
  const naive_item_t *first = NULL;

  for (int i = 0; i < ITEMS_MAX; i++)
    {
      const naive_item_t *item = &pair->items[i];
      if (!item->queued || item->plan != plan)
        continue;
      if (first == NULL || item->deadline_at_ms < first->deadline_at_ms
          || (item->deadline_at_ms == first->deadline_at_ms && item->sequence < first->sequence))
        first = item;
    }
  return first;
}

static const naive_item_t *
naive_next (const fair_pair_t *pair)
{
  int best = -1;

  for (int p = 0; p < PLANS; p++)
    if (pair->block_reasons[p] == 0 && naive_queued (pair, p) > 0
        && (best < 0 || pair->virtual_time_us[p] < pair->virtual_time_us[best]))
      best = p;
  return best < 0 ? NULL : naive_first (pair, best);
}

static int64_t
naive_active_weight (const fair_pair_t *pair)
{
  int64_t sum = 0;

  for (int p = 0; p < PLANS; p++)
    if (naive_queued (pair, p) > 0
        && (pair->block_reasons[p] & ~(unsigned) FAIR_QUEUE_NO_ENDPOINT) == 0)
      sum += pair->weight[p];
  return sum;
}

static void
pair_add (fair_pair_t *pair, GRand *random)
{
  naive_item_t *item = &pair->items[g_rand_int_range (random, 0, ITEMS_MAX)];

  if (item->queued)
    return;
  int plan = g_rand_int_range (random, 0, PLANS);
  if (naive_queued (pair, plan) == 0 && pair->virtual_time_us[plan] < pair->system_virtual_us)
    pair->virtual_time_us[plan] = pair->system_virtual_us;
  item->plan = plan;
  item->deadline_at_ms = g_rand_int_range (random, 0, 50);
  item->sequence = ++pair->last_sequence;
  item->queued = true;
  fair_queue_add (pair->fair_queue, pair->plans[plan], &item->item, item->deadline_at_ms);
}

static void
pair_remove (fair_pair_t *pair, GRand *random)
{
  naive_item_t *item = &pair->items[g_rand_int_range (random, 0, ITEMS_MAX)];

  fair_queue_remove (pair->fair_queue, &item->item);
  item->queued = false;
}

static void
naive_charge (fair_pair_t *pair, int plan, int64_t us)
{
  pair->virtual_time_us[plan] += us * WEIGHT_SCALE / pair->weight[plan];
}

static void
pair_start (fair_pair_t *pair, GRand *random)
{
  fair_queue_item_t *next = fair_queue_next (pair->fair_queue);
  int64_t cost_us = g_rand_int_range (random, 0, 100000);

  if (next == NULL)
    return;
  naive_item_t *item = (naive_item_t *) next;
  if (pair->virtual_time_us[item->plan] > pair->system_virtual_us)
    pair->system_virtual_us = pair->virtual_time_us[item->plan];
  naive_charge (pair, item->plan, cost_us);
  item->queued = false;
  fair_queue_start (pair->fair_queue, next, cost_us);
}

static void
pair_block (fair_pair_t *pair, GRand *random)
{
  int plan = g_rand_int_range (random, 0, PLANS);
  fair_queue_reason_t reason = (fair_queue_reason_t) (1 << g_rand_int_range (random, 0, 3));

  if (g_rand_int_range (random, 0, 4) == 0)
    {
      pair->block_reasons[plan] |= reason;
      fair_queue_block (pair->fair_queue, pair->plans[plan], reason);
      return;
    }
  if ((pair->block_reasons[plan] & reason) != 0 && reason != FAIR_QUEUE_NO_ENDPOINT
      && pair->virtual_time_us[plan] < pair->system_virtual_us)
    pair->virtual_time_us[plan] = pair->system_virtual_us;
  pair->block_reasons[plan] &= ~(unsigned) reason;
  fair_queue_unblock (pair->fair_queue, pair->plans[plan], reason);
}

static void
pair_charge_or_weigh (fair_pair_t *pair, GRand *random)
{
  int plan = g_rand_int_range (random, 0, PLANS);

  if (g_rand_int_range (random, 0, 4) == 0)
    {
      pair->weight[plan] = g_rand_int_range (random, 1, 100);
      fair_queue_set_weight (pair->fair_queue, pair->plans[plan], pair->weight[plan]);
      return;
    }
  int64_t delta_us = g_rand_int_range (random, -50000, 50000);
  naive_charge (pair, plan, delta_us);
  fair_queue_charge (pair->fair_queue, pair->plans[plan], delta_us);
}

static void (*const pair_steps[]) (fair_pair_t *pair, GRand *random) = {
  pair_add,    pair_add,   pair_add,
  pair_add,    pair_start, pair_start,
  pair_remove, pair_block, pair_charge_or_weigh,
};

static void
run_fair (uint32_t seed, int steps)
{
  fair_pair_t *pair = g_new0 (fair_pair_t, 1);
  GRand *random = g_rand_new_with_seed (seed);
  int mismatches = 0;

  pair->fair_queue = fair_queue_new ();
  for (int p = 0; p < PLANS; p++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "p%d", p);
      pair->plans[p] = fair_queue_get_plan (pair->fair_queue, name);
      pair->weight[p] = 1;
    }
  for (int step = 0; step < steps && mismatches == 0; step++)
    {
      gint32 kind = g_rand_int_range (random, 0, (gint32) G_N_ELEMENTS (pair_steps));
      pair_steps[kind](pair, random);
      mismatches +=
          (const void *) fair_queue_next (pair->fair_queue) != (const void *) naive_next (pair);
      mismatches += fair_queue_active_weight (pair->fair_queue) != naive_active_weight (pair);
      if (mismatches > 0)
        printf ("seed %u, step %d\n", seed, step);
    }
  CU_ASSERT_EQUAL (mismatches, 0);
  fair_queue_free (pair->fair_queue);
  g_rand_free (random);
  g_free (pair);
}

static void
test_fair (void)
{
  printf ("seeds 1..4, %d steps ", FAIR_STEPS);
  for (uint32_t seed = 1; seed <= 4; seed++)
    run_fair (seed, FAIR_STEPS / 4);
}

/* --- backlog --- */

#define WORK_ITEMS_MAX 64

/* Queued work.  It is in whole milliseconds, so that the sums do not depend on the
 * order of additions. */
typedef struct
{
  int64_t bucket;
  double work_ms;
  bool queued;
} work_item_t;

/* A backlog and the naive one that it is compared with. */
typedef struct
{
  backlog_t backlog;
  work_item_t work_items[WORK_ITEMS_MAX];
  double reserved_ms[BACKLOG_BUCKETS]; /* index: bucket % BACKLOG_BUCKETS */
  int64_t first_bucket;
  int64_t now_ms;
  int64_t decayed_at_ms;
} backlog_pair_t;

static int64_t
naive_bucket (const backlog_pair_t *pair, int64_t latest_start_ms)
{
  int64_t bucket = latest_start_ms / BACKLOG_BUCKET_MS;

  return CLAMP (bucket, pair->first_bucket, pair->first_bucket + BACKLOG_BUCKETS - 1);
}

/* Queued and reserved work in the buckets up to LAST, or in LAST alone if ONLY_LAST. */
static double
naive_work_up_to (const backlog_pair_t *pair, int64_t last, bool only_last)
{
  double sum_ms = 0;

  for (int i = 0; i < WORK_ITEMS_MAX; i++)
    {
      const work_item_t *work_item = &pair->work_items[i];
      bool counts = only_last ? work_item->bucket == last : work_item->bucket <= last;
      if (work_item->queued && work_item->bucket >= pair->first_bucket && counts)
        sum_ms += work_item->work_ms;
    }
  for (int64_t b = only_last ? last : pair->first_bucket; b <= last; b++)
    sum_ms += pair->reserved_ms[b % BACKLOG_BUCKETS];
  return sum_ms;
}

static double
naive_start_ms (const backlog_job_t *job, double work_ms)
{
  return fmax (0, work_ms - job->free_slots * job->task_ms) / job->slots;
}

static backlog_verdict_t
naive_admit (const backlog_pair_t *pair, const backlog_job_t *job)
{
  double own_ms = job->task_count * job->task_ms * job->slots_per_task;
  int64_t own_bucket = naive_bucket (pair, job->latest_start_ms);
  double available_ms = (double) (job->latest_start_ms - pair->now_ms);

  if (available_ms < fmax (0, own_ms - job->slots * job->task_ms) / job->slots)
    return BACKLOG_DEADLINE_UNREACHABLE;
  if (naive_start_ms (job, own_ms + naive_work_up_to (pair, own_bucket, false)) > available_ms)
    return BACKLOG_FULL;
  for (int64_t b = own_bucket + 1; b < pair->first_bucket + BACKLOG_BUCKETS; b++)
    {
      double available_until_ms = (double) ((b + 1) * BACKLOG_BUCKET_MS - pair->now_ms);
      if (naive_work_up_to (pair, b, true) > 0
          && naive_start_ms (job, own_ms + naive_work_up_to (pair, b, false)) > available_until_ms)
        return BACKLOG_FULL;
    }
  return BACKLOG_FITS;
}

static void
pair_advance (backlog_pair_t *pair, int64_t ms)
{
  pair->now_ms += ms;
  backlog_advance (&pair->backlog, pair->now_ms);
  int64_t first = pair->now_ms / BACKLOG_BUCKET_MS;
  for (int64_t b = MAX (pair->first_bucket, first - BACKLOG_BUCKETS); b < first; b++)
    pair->reserved_ms[b % BACKLOG_BUCKETS] = 0;
  pair->first_bucket = first;
  if (pair->now_ms - pair->decayed_at_ms < 500)
    return;
  pair->decayed_at_ms = pair->now_ms;
  for (int b = 0; b < BACKLOG_BUCKETS; b++)
    pair->reserved_ms[b] /= 2;
}

static void
pair_add_or_remove (backlog_pair_t *pair, GRand *random)
{
  work_item_t *work_item = &pair->work_items[g_rand_int_range (random, 0, WORK_ITEMS_MAX)];
  int64_t latest_start_ms = pair->now_ms + g_rand_int_range (random, -500, 30000);

  if (work_item->queued)
    {
      backlog_remove (&pair->backlog, work_item->bucket, work_item->work_ms);
      work_item->queued = false;
      return;
    }
  work_item->work_ms = g_rand_int_range (random, 1, 4000);
  work_item->queued = true;
  work_item->bucket = backlog_add (&pair->backlog, latest_start_ms, work_item->work_ms);
  CU_ASSERT_EQUAL (work_item->bucket, naive_bucket (pair, latest_start_ms));
  double *reserved = &pair->reserved_ms[work_item->bucket % BACKLOG_BUCKETS];
  *reserved = fmax (0, *reserved - work_item->work_ms);
}

static void
pair_admit (backlog_pair_t *pair, GRand *random)
{
  backlog_job_t job = { .task_count = g_rand_int_range (random, 1, 100),
                        .task_ms = g_rand_int_range (random, 0, 500),
                        .slots_per_task = g_rand_int_range (random, 1, 3),
                        .slots = g_rand_int_range (random, 1, 16),
                        .free_slots = g_rand_int_range (random, 0, 16),
                        .latest_start_ms = pair->now_ms + g_rand_int_range (random, -100, 30000) };
  int64_t retry_at_ms = 0;
  backlog_verdict_t expected = naive_admit (pair, &job);
  backlog_verdict_t verdict = backlog_admit (&pair->backlog, &job, pair->now_ms, &retry_at_ms);

  CU_ASSERT_EQUAL (verdict, expected);
  if (verdict == BACKLOG_FITS)
    pair->reserved_ms[naive_bucket (pair, job.latest_start_ms) % BACKLOG_BUCKETS] +=
        job.task_count * job.task_ms * job.slots_per_task;
  if (verdict == BACKLOG_FULL)
    CU_ASSERT (retry_at_ms > pair->now_ms);
}

static void
test_backlog (void)
{
  backlog_pair_t *pair = g_new0 (backlog_pair_t, 1);
  GRand *random = g_rand_new_with_seed (5);

  printf ("seed 5, %d steps ", BACKLOG_STEPS);
  for (int step = 0; step < BACKLOG_STEPS; step++)
    {
      gint32 kind = g_rand_int_range (random, 0, 10);
      if (kind < 1)
        pair_advance (pair, g_rand_int_range (random, 0, 300));
      else if (kind < 8)
        pair_add_or_remove (pair, random);
      else
        pair_admit (pair, random);
    }
  g_rand_free (random);
  g_free (pair);
}

/* --- ejection --- */

#define ENDPOINTS 12
#define HISTORY_MAX 4096

/* All outcomes of an endpoint since it was admitted, with the failure rate of the fleet
 * at the time of each. */
typedef struct
{
  bool failed[HISTORY_MAX];
  double baseline_rate[HISTORY_MAX];
  int count;
  double initial_score;
  bool ejected;
} history_t;

/* Computes the score of an endpoint from all its outcomes. */
static double
replay (const history_t *history)
{
  double score = history->initial_score;

  for (int i = 0; i < history->count; i++)
    {
      double baseline_rate = CLAMP (history->baseline_rate[i], 0.02, 0.9);
      score += history->failed[i] ? log (0.9 / baseline_rate) : log (0.1 / (1 - baseline_rate));
      score = CLAMP (score, 0, 9.2);
    }
  return score;
}

static int
naive_ejected (const history_t *histories)
{
  int count = 0;

  for (int e = 0; e < ENDPOINTS; e++)
    count += histories[e].ejected;
  return count;
}

static void
test_outlier (void)
{
  outlier_t *outliers = g_new0 (outlier_t, ENDPOINTS);
  history_t *histories = g_new0 (history_t, ENDPOINTS);
  outlier_fleet_t fleet = { .endpoints = ENDPOINTS };
  outlier_baseline_t baseline = { 0 };
  GRand *random = g_rand_new_with_seed (6);
  double failure_rates[ENDPOINTS] = { 0 };
  double baseline_rate = 0.02;
  int64_t now_ms = 1000;
  int ejections = 0;
  int readmissions = 0;

  printf ("seed 6, %d steps ", OUTLIER_STEPS);
  for (int step = 0; step < OUTLIER_STEPS; step++)
    {
      int e = g_rand_int_range (random, 0, ENDPOINTS);
      history_t *history = &histories[e];
      now_ms += g_rand_int_range (random, 0, 40);
      if (step % 500 == 0)
        failure_rates[e] = g_rand_int_range (random, 0, 3) == 0 ? g_rand_double (random) : 0.01;
      bool failed = g_rand_double (random) < failure_rates[e];
      if (outliers[e].state == OUTLIER_EJECTED)
        {
          if (!outlier_may_probe (&outliers[e], true, now_ms))
            continue;
          outliers[e].probe_running = true;
          outlier_record (&outliers[e], &fleet, &baseline, failed, now_ms);
          history->ejected = failed;
          history->count = 0;
          history->initial_score = 4.6;
          readmissions += !failed;
        }
      else
        {
          if (history->count == HISTORY_MAX)
            {
              history->initial_score = replay (history);
              history->count = 0;
            }
          history->failed[history->count] = failed;
          history->baseline_rate[history->count++] = baseline_rate;
          double score = replay (history);
          bool at_max_ejected =
              (naive_ejected (histories) + 1) * 100 > ENDPOINTS * OUTLIER_MAX_EJECTED_PERCENT;
          history->ejected = failed && score >= 9.2 && !at_max_ejected;
          ejections += history->ejected;
          outlier_record (&outliers[e], &fleet, &baseline, failed, now_ms);
          baseline_rate += ((failed ? 1.0 : 0.0) - baseline_rate) / (4 * ENDPOINTS);
        }
      CU_ASSERT_EQUAL_FATAL (outliers[e].state == OUTLIER_EJECTED, history->ejected);
      CU_ASSERT_EQUAL_FATAL (fleet.ejected, naive_ejected (histories));
    }
  printf ("%d ejections, %d readmissions ", ejections, readmissions);
  CU_ASSERT (ejections > 10 && readmissions > 10);
  g_rand_free (random);
  g_free (histories);
  g_free (outliers);
}

/* --- dispatch_t --- */

#define MODEL_ENDPOINTS 8
#define TASKS_MAX 200
#define NAME_COUNT 3

typedef enum
{
  TASK_NONE,
  TASK_QUEUED,
  TASK_RUNNING
} model_state_t;

typedef struct
{
  model_state_t state;
  int plan;
  int64_t deadline_at_ms;
  int endpoint;
  int32_t slots;
  int32_t cores;
} model_task_t;

/* A dispatch_t and what the test expects of it. */
typedef struct
{
  fake_limits_t *limits;
  dispatch_t *dispatch;
  dispatch_endpoint_t endpoints[MODEL_ENDPOINTS];
  char names[MODEL_ENDPOINTS][8];
  model_task_t tasks[TASKS_MAX]; /* index: ticket % TASKS_MAX */
  uint64_t last_ticket;
  int32_t used_slots[MODEL_ENDPOINTS];
  int32_t running[NAME_COUNT];
  int64_t now_ms;
  GArray *actions;
  int starts;
  int given_up;
} model_t;

static const char *const plan_names[NAME_COUNT] = { "gold", "silver", "bronze" };
static const char *const kind_names[NAME_COUNT] = { "check", "lookup", "draft" };
static const int32_t running_max[NAME_COUNT] = { 20, 10, INT32_MAX };
static const int32_t task_cores[NAME_COUNT] = { 1, 1, 9 };

static model_task_t *
task_for (model_t *model, uint64_t ticket)
{
  return &model->tasks[ticket % TASKS_MAX];
}

static void
model_add (model_t *model, GRand *random)
{
  model_task_t *task = task_for (model, model->last_ticket + 1);
  int kind = g_rand_int_range (random, 0, NAME_COUNT);

  if (task->state != TASK_NONE)
    return;
  *task = (model_task_t){ .state = TASK_QUEUED,
                          .plan = g_rand_int_range (random, 0, NAME_COUNT),
                          .cores = task_cores[g_rand_int_range (random, 0, NAME_COUNT)],
                          .deadline_at_ms = model->now_ms + g_rand_int_range (random, 50, 3000) };
  dispatch_task_t request = { .plan = plan_names[task->plan],
                              .kind = kind_names[kind],
                              .cores = task->cores,
                              .memory_mb = 100,
                              .repeatable = kind == 0,
                              .deadline_at_ms = task->deadline_at_ms };
  dispatch_event_t event = { .kind = DISPATCH_ADD,
                             .ticket = ++model->last_ticket,
                             .task = &request };
  dispatch_step (model->dispatch, &event, model->now_ms, model->actions);
}

static void
model_remove (model_t *model, GRand *random)
{
  uint64_t ticket = model->last_ticket - (uint64_t) g_rand_int_range (random, 0, TASKS_MAX / 2);
  dispatch_event_t event = { .kind = DISPATCH_REMOVE, .ticket = ticket };

  if (ticket > model->last_ticket || ticket == 0)
    return;
  dispatch_step (model->dispatch, &event, model->now_ms, model->actions);
  if (task_for (model, ticket)->state == TASK_QUEUED)
    task_for (model, ticket)->state = TASK_NONE;
}

/* Endpoint 0 fails all tasks and endpoint 2 refuses a third of the connects.  Endpoint
 * 1 is slow, see model_end (). */
static dispatch_outcome_t
draw_outcome (int endpoint, GRand *random)
{
  if (endpoint == 0)
    return DISPATCH_FAILED;
  if (endpoint == 2 && g_rand_int_range (random, 0, 3) == 0)
    return DISPATCH_NOT_STARTED;
  static const dispatch_outcome_t rare[] = { DISPATCH_TIMEOUT, DISPATCH_CONNECTION_LOST,
                                             DISPATCH_ABANDONED, DISPATCH_FAILED };
  if (g_rand_int_range (random, 0, 50) == 0)
    return rare[g_rand_int_range (random, 0, (gint32) G_N_ELEMENTS (rare))];
  return DISPATCH_DONE;
}

static void
model_end (model_t *model, GRand *random)
{
  uint64_t ticket = model->last_ticket - (uint64_t) g_rand_int_range (random, 0, TASKS_MAX);
  model_task_t *task = task_for (model, ticket);

  if (ticket > model->last_ticket || ticket == 0 || task->state != TASK_RUNNING)
    return;
  dispatch_outcome_t outcome = draw_outcome (task->endpoint, random);
  dispatch_event_t event = { .kind = DISPATCH_ENDED,
                             .ticket = ticket,
                             .outcome = outcome,
                             .elapsed_us = task->endpoint == 1 ? 400000 : 20000 };
  dispatch_step (model->dispatch, &event, model->now_ms, model->actions);
  model->used_slots[task->endpoint] -= task->slots;
  model->running[task->plan]--;
  task->state = outcome == DISPATCH_NOT_STARTED ? TASK_QUEUED : TASK_NONE;
}

static void
check_start (model_t *model, const dispatch_action_t *action)
{
  model_task_t *task = task_for (model, action->ticket);

  CU_ASSERT_EQUAL_FATAL (task->state, TASK_QUEUED);
  task->state = TASK_RUNNING;
  task->endpoint = (int) g_ascii_strtoll (action->endpoint + 1, NULL, 10);
  CU_ASSERT_FALSE (model->endpoints[task->endpoint].leaving);
  /* Each of the 8 slots stands for 4 of the 32 cores, so 9 cores take 3 slots. */
  task->slots = task->cores == 9 ? 3 : 1;
  model->used_slots[task->endpoint] += task->slots;
  model->running[task->plan]++;
  model->starts++;
  CU_ASSERT (model->used_slots[task->endpoint] <= model->endpoints[task->endpoint].slots);
  CU_ASSERT (model->running[task->plan] <= running_max[task->plan]);
}

static void
model_run (model_t *model, GRand *random)
{
  const dispatch_event_t run = { .kind = DISPATCH_RUN };

  (void) random;
  g_array_set_size (model->actions, 0);
  dispatch_step (model->dispatch, &run, model->now_ms, model->actions);
  for (guint i = 0; i < model->actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (model->actions, dispatch_action_t, i);
      if (action->kind == DISPATCH_START)
        {
          check_start (model, action);
          continue;
        }
      CU_ASSERT_EQUAL_FATAL (task_for (model, action->ticket)->state, TASK_QUEUED);
      task_for (model, action->ticket)->state = TASK_NONE;
      model->given_up++;
    }
}

static void
model_wait (model_t *model, GRand *random)
{
  model->now_ms += g_rand_int_range (random, 0, 30);
}

/* Lets the last two endpoints leave and return at random. */
static void
model_set_endpoints (model_t *model, GRand *random)
{
  if (g_rand_int_range (random, 0, 20) != 0)
    return;
  model->endpoints[MODEL_ENDPOINTS - 1].leaving = g_rand_boolean (random);
  model->endpoints[MODEL_ENDPOINTS - 2].leaving = g_rand_boolean (random);
  size_t count =
      model->endpoints[MODEL_ENDPOINTS - 1].leaving ? MODEL_ENDPOINTS - 1 : MODEL_ENDPOINTS;
  dispatch_set_endpoints (model->dispatch, model->endpoints, count, model->now_ms);
}

static void (*const model_steps[]) (model_t *model, GRand *random) = {
  model_add, model_add, model_add, model_end,  model_end,    model_end,           model_end,
  model_end, model_run, model_run, model_wait, model_remove, model_set_endpoints,
};

static void
check_totals (model_t *model)
{
  dispatch_totals_t totals = dispatch_totals (model->dispatch);
  uint32_t queued = 0;
  uint32_t running = 0;

  for (int i = 0; i < TASKS_MAX; i++)
    {
      queued += model->tasks[i].state == TASK_QUEUED;
      running += model->tasks[i].state == TASK_RUNNING;
    }
  CU_ASSERT_EQUAL_FATAL (totals.queued, queued);
  CU_ASSERT_EQUAL_FATAL (totals.running, running);
  CU_ASSERT (totals.ejected * 2 <= totals.endpoints);
}

static void
test_model (void)
{
  model_t *model = g_new0 (model_t, 1);
  GRand *random = g_rand_new_with_seed (7);
  dispatch_options_t options = DISPATCH_OPTIONS_DEFAULT;

  printf ("seed 7, %d steps ", MODEL_STEPS);
  model->limits = fake_new ();
  model->dispatch = dispatch_new (&options, &model->limits->base);
  model->actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));
  model->now_ms = 5000;
  for (int e = 0; e < MODEL_ENDPOINTS; e++)
    {
      g_snprintf (model->names[e], sizeof model->names[e], "e%d", e);
      model->endpoints[e] = (dispatch_endpoint_t){ .id = model->names[e],
                                                   .rack = "",
                                                   .slots = 8,
                                                   .connections = 60,
                                                   .cores = 32,
                                                   .memory_mb = 8192 };
      fake_set (model->limits, DISPATCH_LIMIT_SLOTS, model->names[e], 8);
    }
  fake_set (model->limits, DISPATCH_LIMIT_RUNNING, "gold", running_max[0]);
  fake_set (model->limits, DISPATCH_LIMIT_RUNNING, "silver", running_max[1]);
  dispatch_set_endpoints (model->dispatch, model->endpoints, MODEL_ENDPOINTS, model->now_ms);
  for (int step = 0; step < MODEL_STEPS; step++)
    {
      gint32 kind = g_rand_int_range (random, 0, (gint32) G_N_ELEMENTS (model_steps));
      model_steps[kind](model, random);
      check_totals (model);
    }
  printf ("%d starts, %d given up ", model->starts, model->given_up);
  CU_ASSERT (model->starts > 1000);
  dispatch_free (model->dispatch);
  fake_free (model->limits);
  g_array_unref (model->actions);
  g_rand_free (random);
  g_free (model);
}

static const unit_test_t tests[] = {
  { "fair queue", test_fair },
  { "backlog", test_backlog },
  { "ejection", test_outlier },
  { "dispatch_t against a model", test_model },
};

int
main (void)
{
  return unit_run ("dispatch, random", tests, G_N_ELEMENTS (tests));
}
