/* test_dispatch_random.c -- lib/dispatch against naive versions on random steps
 *
 * Each part of the decision code runs beside a version that keeps plain lists
 * and searches them from end to end.  Seeds are fixed and printed.
 */
#include "dispatch/backlog.h"
#include "dispatch/fair_queue.h"
#include "dispatch/outlier.h"
#include "tests/test_dispatch_fake.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define FAIR_STEPS 600000
#define BACKLOG_STEPS 200000
#define OUTLIER_STEPS 100000
#define WHOLE_STEPS 150000

/* --- queues and fairness --- */

#define PLANS 6
#define ITEMS_MAX 40
#define SCALE 1024

typedef struct
{
  fair_queue_item_t item;
  int plan;
  int64_t deadline_at_ms;
  uint64_t order;
  bool queued;
} naive_item_t;

typedef struct
{
  fair_queue_t *fair;
  fair_queue_plan_t *plans[PLANS];
  naive_item_t items[ITEMS_MAX];
  int64_t virtual_us[PLANS];
  int32_t weight[PLANS];
  unsigned reasons[PLANS];
  int64_t system_us;
  uint64_t last_order;
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
          || (item->deadline_at_ms == first->deadline_at_ms && item->order < first->order))
        first = item;
    }
  return first;
}

static const naive_item_t *
naive_next (const fair_pair_t *pair)
{
  int best = -1;

  for (int p = 0; p < PLANS; p++)
    if (pair->reasons[p] == 0 && naive_queued (pair, p) > 0
        && (best < 0 || pair->virtual_us[p] < pair->virtual_us[best]))
      best = p;
  return best < 0 ? NULL : naive_first (pair, best);
}

static int64_t
naive_active (const fair_pair_t *pair)
{
  int64_t sum = 0;

  for (int p = 0; p < PLANS; p++)
    if (naive_queued (pair, p) > 0 && (pair->reasons[p] & ~(unsigned) FAIR_QUEUE_NO_ENDPOINT) == 0)
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
  if (naive_queued (pair, plan) == 0 && pair->virtual_us[plan] < pair->system_us)
    pair->virtual_us[plan] = pair->system_us;
  item->plan = plan;
  item->deadline_at_ms = g_rand_int_range (random, 0, 50);
  item->order = ++pair->last_order;
  item->queued = true;
  fair_queue_add (pair->fair, pair->plans[plan], &item->item, item->deadline_at_ms);
}

static void
pair_remove (fair_pair_t *pair, GRand *random)
{
  naive_item_t *item = &pair->items[g_rand_int_range (random, 0, ITEMS_MAX)];

  fair_queue_remove (pair->fair, &item->item);
  item->queued = false;
}

static void
naive_charge (fair_pair_t *pair, int plan, int64_t us)
{
  pair->virtual_us[plan] += us * SCALE / pair->weight[plan];
}

static void
pair_start (fair_pair_t *pair, GRand *random)
{
  fair_queue_item_t *next = fair_queue_next (pair->fair);
  int64_t cost_us = g_rand_int_range (random, 0, 100000);

  if (next == NULL)
    return;
  naive_item_t *item = (naive_item_t *) next;
  if (pair->virtual_us[item->plan] > pair->system_us)
    pair->system_us = pair->virtual_us[item->plan];
  naive_charge (pair, item->plan, cost_us);
  item->queued = false;
  fair_queue_start (pair->fair, next, cost_us);
}

static void
pair_park (fair_pair_t *pair, GRand *random)
{
  int plan = g_rand_int_range (random, 0, PLANS);
  fair_queue_reason_t reason = (fair_queue_reason_t) (1 << g_rand_int_range (random, 0, 3));

  if (g_rand_int_range (random, 0, 4) == 0)
    {
      pair->reasons[plan] |= reason;
      fair_queue_block (pair->fair, pair->plans[plan], reason);
      return;
    }
  if ((pair->reasons[plan] & reason) != 0 && reason != FAIR_QUEUE_NO_ENDPOINT
      && pair->virtual_us[plan] < pair->system_us)
    pair->virtual_us[plan] = pair->system_us;
  pair->reasons[plan] &= ~(unsigned) reason;
  fair_queue_unblock (pair->fair, pair->plans[plan], reason);
}

static void
pair_other (fair_pair_t *pair, GRand *random)
{
  int plan = g_rand_int_range (random, 0, PLANS);

  if (g_rand_int_range (random, 0, 4) == 0)
    {
      pair->weight[plan] = g_rand_int_range (random, 1, 100);
      fair_queue_set_weight (pair->fair, pair->plans[plan], pair->weight[plan]);
      return;
    }
  int64_t delta_us = g_rand_int_range (random, -50000, 50000);
  naive_charge (pair, plan, delta_us);
  fair_queue_charge (pair->fair, pair->plans[plan], delta_us);
}

static void (*const pair_steps[]) (fair_pair_t *pair, GRand *random) = {
  pair_add,   pair_add,    pair_add,  pair_add,   pair_start,
  pair_start, pair_remove, pair_park, pair_other,
};

static void
run_fair (uint32_t seed, int steps)
{
  fair_pair_t *pair = g_new0 (fair_pair_t, 1);
  GRand *random = g_rand_new_with_seed (seed);
  int wrong = 0;

  pair->fair = fair_queue_new ();
  for (int p = 0; p < PLANS; p++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "p%d", p);
      pair->plans[p] = fair_queue_get_plan (pair->fair, name);
      pair->weight[p] = 1;
    }
  for (int step = 0; step < steps && wrong == 0; step++)
    {
      gint32 kind = g_rand_int_range (random, 0, (gint32) G_N_ELEMENTS (pair_steps));
      pair_steps[kind](pair, random);
      wrong += (const void *) fair_queue_next (pair->fair) != (const void *) naive_next (pair);
      wrong += fair_queue_active_weight (pair->fair) != naive_active (pair);
      if (wrong > 0)
        printf ("seed %u, step %d\n", seed, step);
    }
  CU_ASSERT_EQUAL (wrong, 0);
  fair_queue_free (pair->fair);
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

#define PIECES_MAX 64

/* Work in whole milliseconds, so that sums are exact in any order. */
typedef struct
{
  int64_t bucket;
  double work_ms;
  bool queued;
} piece_t;

typedef struct
{
  backlog_t backlog;
  piece_t pieces[PIECES_MAX];
  double promised_ms[BACKLOG_BUCKETS]; /* by bucket modulo the count */
  int64_t first;
  int64_t now_ms;
  int64_t faded_at_ms;
} backlog_pair_t;

static int64_t
naive_bucket (const backlog_pair_t *pair, int64_t latest_start_ms)
{
  int64_t bucket = latest_start_ms / BACKLOG_BUCKET_MS;

  return CLAMP (bucket, pair->first, pair->first + BACKLOG_BUCKETS - 1);
}

static double
naive_work_up_to (const backlog_pair_t *pair, int64_t last, bool only)
{
  double sum_ms = 0;

  for (int i = 0; i < PIECES_MAX; i++)
    {
      const piece_t *piece = &pair->pieces[i];
      bool counts = only ? piece->bucket == last : piece->bucket <= last;
      if (piece->queued && piece->bucket >= pair->first && counts)
        sum_ms += piece->work_ms;
    }
  for (int64_t b = only ? last : pair->first; b <= last; b++)
    sum_ms += pair->promised_ms[b % BACKLOG_BUCKETS];
  return sum_ms;
}

static double
naive_start_ms (const backlog_job_t *job, double work_ms)
{
  return fmax (0, work_ms - job->free_slots * job->task_ms) / job->slots;
}

static backlog_verdict_t
naive_judge (const backlog_pair_t *pair, const backlog_job_t *job)
{
  double own_ms = job->task_count * job->task_ms * job->slots_per_task;
  int64_t own = naive_bucket (pair, job->latest_start_ms);
  double left_ms = (double) (job->latest_start_ms - pair->now_ms);

  if (left_ms < fmax (0, own_ms - job->slots * job->task_ms) / job->slots)
    return BACKLOG_DEADLINE_UNREACHABLE;
  if (naive_start_ms (job, own_ms + naive_work_up_to (pair, own, false)) > left_ms)
    return BACKLOG_FULL;
  for (int64_t b = own + 1; b < pair->first + BACKLOG_BUCKETS; b++)
    {
      double until_ms = (double) ((b + 1) * BACKLOG_BUCKET_MS - pair->now_ms);
      if (naive_work_up_to (pair, b, true) > 0
          && naive_start_ms (job, own_ms + naive_work_up_to (pair, b, false)) > until_ms)
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
  for (int64_t b = MAX (pair->first, first - BACKLOG_BUCKETS); b < first; b++)
    pair->promised_ms[b % BACKLOG_BUCKETS] = 0;
  pair->first = first;
  if (pair->now_ms - pair->faded_at_ms < 500)
    return;
  pair->faded_at_ms = pair->now_ms;
  for (int b = 0; b < BACKLOG_BUCKETS; b++)
    pair->promised_ms[b] /= 2;
}

static void
pair_put (backlog_pair_t *pair, GRand *random)
{
  piece_t *piece = &pair->pieces[g_rand_int_range (random, 0, PIECES_MAX)];
  int64_t latest_start_ms = pair->now_ms + g_rand_int_range (random, -500, 30000);

  if (piece->queued)
    {
      backlog_remove (&pair->backlog, piece->bucket, piece->work_ms);
      piece->queued = false;
      return;
    }
  piece->work_ms = g_rand_int_range (random, 1, 4000);
  piece->queued = true;
  piece->bucket = backlog_add (&pair->backlog, latest_start_ms, piece->work_ms);
  CU_ASSERT_EQUAL (piece->bucket, naive_bucket (pair, latest_start_ms));
  double *promised = &pair->promised_ms[piece->bucket % BACKLOG_BUCKETS];
  *promised = fmax (0, *promised - piece->work_ms);
}

static void
pair_judge (backlog_pair_t *pair, GRand *random)
{
  backlog_job_t job = { .task_count = g_rand_int_range (random, 1, 100),
                        .task_ms = g_rand_int_range (random, 0, 500),
                        .slots_per_task = g_rand_int_range (random, 1, 3),
                        .slots = g_rand_int_range (random, 1, 16),
                        .free_slots = g_rand_int_range (random, 0, 16),
                        .latest_start_ms = pair->now_ms + g_rand_int_range (random, -100, 30000) };
  int64_t retry_at_ms = 0;
  backlog_verdict_t expected = naive_judge (pair, &job);
  backlog_verdict_t verdict = backlog_admit (&pair->backlog, &job, pair->now_ms, &retry_at_ms);

  CU_ASSERT_EQUAL (verdict, expected);
  if (verdict == BACKLOG_FITS)
    pair->promised_ms[naive_bucket (pair, job.latest_start_ms) % BACKLOG_BUCKETS] +=
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
        pair_put (pair, random);
      else
        pair_judge (pair, random);
    }
  g_rand_free (random);
  g_free (pair);
}

/* --- ejection --- */

#define MEMBERS 12
#define HISTORY_MAX 4096

/* All outcomes since the endpoint came in, with the fleet's rate of the time. */
typedef struct
{
  bool failed[HISTORY_MAX];
  double rate[HISTORY_MAX];
  int count;
  double start_score;
  bool out;
} history_t;

static double
replay (const history_t *history)
{
  double score = history->start_score;

  for (int i = 0; i < history->count; i++)
    {
      double rate = CLAMP (history->rate[i], 0.02, 0.9);
      score += history->failed[i] ? log (0.9 / rate) : log (0.1 / (1 - rate));
      score = CLAMP (score, 0, 9.2);
    }
  return score;
}

static int
naive_ejected (const history_t *histories)
{
  int count = 0;

  for (int e = 0; e < MEMBERS; e++)
    count += histories[e].out;
  return count;
}

static void
test_outlier (void)
{
  outlier_t *outliers = g_new0 (outlier_t, MEMBERS);
  history_t *histories = g_new0 (history_t, MEMBERS);
  outlier_fleet_t fleet = { .endpoints = MEMBERS };
  outlier_baseline_t base = { 0 };
  GRand *random = g_rand_new_with_seed (6);
  double fail_part[MEMBERS] = { 0 };
  double rate = 0.02;
  int64_t now_ms = 1000;
  int ejections = 0;
  int readmissions = 0;

  printf ("seed 6, %d steps ", OUTLIER_STEPS);
  for (int step = 0; step < OUTLIER_STEPS; step++)
    {
      int e = g_rand_int_range (random, 0, MEMBERS);
      history_t *history = &histories[e];
      now_ms += g_rand_int_range (random, 0, 40);
      if (step % 500 == 0)
        fail_part[e] = g_rand_int_range (random, 0, 3) == 0 ? g_rand_double (random) : 0.01;
      bool failed = g_rand_double (random) < fail_part[e];
      if (outliers[e].state == OUTLIER_EJECTED)
        {
          if (!outlier_may_probe (&outliers[e], true, now_ms))
            continue;
          outliers[e].probe_running = true;
          outlier_record (&outliers[e], &fleet, &base, failed, now_ms);
          history->out = failed;
          history->count = 0;
          history->start_score = 4.6;
          readmissions += !failed;
        }
      else
        {
          if (history->count == HISTORY_MAX)
            {
              history->start_score = replay (history);
              history->count = 0;
            }
          history->failed[history->count] = failed;
          history->rate[history->count++] = rate;
          double score = replay (history);
          bool full = (naive_ejected (histories) + 1) * 100 > MEMBERS * OUTLIER_MAX_EJECTED_PERCENT;
          history->out = failed && score >= 9.2 && !full;
          ejections += history->out;
          outlier_record (&outliers[e], &fleet, &base, failed, now_ms);
          rate += ((failed ? 1.0 : 0.0) - rate) / (4 * MEMBERS);
        }
      CU_ASSERT_EQUAL_FATAL (outliers[e].state == OUTLIER_EJECTED, history->out);
      CU_ASSERT_EQUAL_FATAL (fleet.ejected, naive_ejected (histories));
    }
  printf ("%d ejections, %d readmissions ", ejections, readmissions);
  CU_ASSERT (ejections > 10 && readmissions > 10);
  g_rand_free (random);
  g_free (histories);
  g_free (outliers);
}

/* --- the whole, against a ledger --- */

#define FLEET 8
#define TICKETS_MAX 200
#define NAMES 3

typedef enum
{
  TICKET_NONE,
  TICKET_QUEUED,
  TICKET_RUNNING
} ticket_state_t;

typedef struct
{
  ticket_state_t state;
  int plan;
  int64_t deadline_at_ms;
  int endpoint;
  int32_t units;
  int32_t cores;
} ledger_row_t;

typedef struct
{
  fake_limits_t *limits;
  dispatch_t *dispatch;
  dispatch_endpoint_t endpoints[FLEET];
  char names[FLEET][8];
  ledger_row_t rows[TICKETS_MAX]; /* ticket modulo the count */
  uint64_t last_ticket;
  int32_t used[FLEET];
  int32_t running[NAMES];
  int64_t now_ms;
  GArray *actions;
  int starts;
  int given_up;
} whole_t;

static const char *const plan_names[NAMES] = { "gold", "silver", "bronze" };
static const char *const kind_names[NAMES] = { "check", "lookup", "draft" };
static const int32_t running_max[NAMES] = { 20, 10, INT32_MAX };
static const int32_t cores_of[NAMES] = { 1, 1, 9 };

static ledger_row_t *
row_of (whole_t *whole, uint64_t ticket)
{
  return &whole->rows[ticket % TICKETS_MAX];
}

static void
whole_add (whole_t *whole, GRand *random)
{
  ledger_row_t *row = row_of (whole, whole->last_ticket + 1);
  int kind = g_rand_int_range (random, 0, NAMES);

  if (row->state != TICKET_NONE)
    return;
  *row = (ledger_row_t){ .state = TICKET_QUEUED,
                         .plan = g_rand_int_range (random, 0, NAMES),
                         .cores = cores_of[g_rand_int_range (random, 0, NAMES)],
                         .deadline_at_ms = whole->now_ms + g_rand_int_range (random, 50, 3000) };
  dispatch_task_t task = { .plan = plan_names[row->plan],
                           .kind = kind_names[kind],
                           .cores = row->cores,
                           .memory_mb = 100,
                           .repeatable = kind == 0,
                           .deadline_at_ms = row->deadline_at_ms };
  dispatch_event_t event = { .kind = DISPATCH_ADD, .ticket = ++whole->last_ticket, .task = &task };
  dispatch_step (whole->dispatch, &event, whole->now_ms, whole->actions);
}

static void
whole_remove (whole_t *whole, GRand *random)
{
  uint64_t ticket = whole->last_ticket - (uint64_t) g_rand_int_range (random, 0, TICKETS_MAX / 2);
  dispatch_event_t event = { .kind = DISPATCH_REMOVE, .ticket = ticket };

  if (ticket > whole->last_ticket || ticket == 0)
    return;
  dispatch_step (whole->dispatch, &event, whole->now_ms, whole->actions);
  if (row_of (whole, ticket)->state == TICKET_QUEUED)
    row_of (whole, ticket)->state = TICKET_NONE;
}

/* Endpoint 0 fails everything, 1 is slow, 2 refuses connects at times. */
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
whole_end (whole_t *whole, GRand *random)
{
  uint64_t ticket = whole->last_ticket - (uint64_t) g_rand_int_range (random, 0, TICKETS_MAX);
  ledger_row_t *row = row_of (whole, ticket);

  if (ticket > whole->last_ticket || ticket == 0 || row->state != TICKET_RUNNING)
    return;
  dispatch_outcome_t outcome = draw_outcome (row->endpoint, random);
  dispatch_event_t event = { .kind = DISPATCH_ENDED,
                             .ticket = ticket,
                             .outcome = outcome,
                             .elapsed_us = row->endpoint == 1 ? 400000 : 20000 };
  dispatch_step (whole->dispatch, &event, whole->now_ms, whole->actions);
  whole->used[row->endpoint] -= row->units;
  whole->running[row->plan]--;
  row->state = outcome == DISPATCH_NOT_STARTED ? TICKET_QUEUED : TICKET_NONE;
}

static void
check_start (whole_t *whole, const dispatch_action_t *action)
{
  ledger_row_t *row = row_of (whole, action->ticket);

  CU_ASSERT_EQUAL_FATAL (row->state, TICKET_QUEUED);
  row->state = TICKET_RUNNING;
  row->endpoint = (int) g_ascii_strtoll (action->endpoint + 1, NULL, 10);
  CU_ASSERT_FALSE (whole->endpoints[row->endpoint].leaving);
  /* Nine of 32 cores are more than two of eight slots stand for. */
  row->units = row->cores == 9 ? 3 : 1;
  whole->used[row->endpoint] += row->units;
  whole->running[row->plan]++;
  whole->starts++;
  CU_ASSERT (whole->used[row->endpoint] <= whole->endpoints[row->endpoint].slots);
  CU_ASSERT (whole->running[row->plan] <= running_max[row->plan]);
}

static void
whole_run (whole_t *whole, GRand *random)
{
  const dispatch_event_t run = { .kind = DISPATCH_RUN };

  (void) random;
  g_array_set_size (whole->actions, 0);
  dispatch_step (whole->dispatch, &run, whole->now_ms, whole->actions);
  for (guint i = 0; i < whole->actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (whole->actions, dispatch_action_t, i);
      if (action->kind == DISPATCH_START)
        {
          check_start (whole, action);
          continue;
        }
      CU_ASSERT_EQUAL_FATAL (row_of (whole, action->ticket)->state, TICKET_QUEUED);
      row_of (whole, action->ticket)->state = TICKET_NONE;
      whole->given_up++;
    }
}

static void
whole_wait (whole_t *whole, GRand *random)
{
  whole->now_ms += g_rand_int_range (random, 0, 30);
}

/* The last two endpoints leave and come back. */
static void
whole_list (whole_t *whole, GRand *random)
{
  if (g_rand_int_range (random, 0, 20) != 0)
    return;
  whole->endpoints[FLEET - 1].leaving = g_rand_boolean (random);
  whole->endpoints[FLEET - 2].leaving = g_rand_boolean (random);
  size_t count = whole->endpoints[FLEET - 1].leaving ? FLEET - 1 : FLEET;
  dispatch_set_endpoints (whole->dispatch, whole->endpoints, count, whole->now_ms);
}

static void (*const whole_steps[]) (whole_t *whole, GRand *random) = {
  whole_add, whole_add, whole_add, whole_end,  whole_end,    whole_end,  whole_end,
  whole_end, whole_run, whole_run, whole_wait, whole_remove, whole_list,
};

static void
check_totals (whole_t *whole)
{
  dispatch_totals_t totals = dispatch_totals (whole->dispatch);
  uint32_t queued = 0;
  uint32_t running = 0;

  for (int i = 0; i < TICKETS_MAX; i++)
    {
      queued += whole->rows[i].state == TICKET_QUEUED;
      running += whole->rows[i].state == TICKET_RUNNING;
    }
  CU_ASSERT_EQUAL_FATAL (totals.queued, queued);
  CU_ASSERT_EQUAL_FATAL (totals.running, running);
  CU_ASSERT (totals.ejected * 2 <= totals.endpoints);
}

static void
test_whole (void)
{
  whole_t *whole = g_new0 (whole_t, 1);
  GRand *random = g_rand_new_with_seed (7);
  dispatch_options_t options = DISPATCH_OPTIONS_DEFAULT;

  printf ("seed 7, %d steps ", WHOLE_STEPS);
  whole->limits = fake_new ();
  whole->dispatch = dispatch_new (&options, &whole->limits->base);
  whole->actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));
  whole->now_ms = 5000;
  for (int e = 0; e < FLEET; e++)
    {
      g_snprintf (whole->names[e], sizeof whole->names[e], "e%d", e);
      whole->endpoints[e] = (dispatch_endpoint_t){ .id = whole->names[e],
                                                   .rack = "",
                                                   .slots = 8,
                                                   .connections = 60,
                                                   .cores = 32,
                                                   .memory_mb = 8192 };
      fake_set (whole->limits, DISPATCH_LIMIT_SLOTS, whole->names[e], 8);
    }
  fake_set (whole->limits, DISPATCH_LIMIT_RUNNING, "gold", running_max[0]);
  fake_set (whole->limits, DISPATCH_LIMIT_RUNNING, "silver", running_max[1]);
  dispatch_set_endpoints (whole->dispatch, whole->endpoints, FLEET, whole->now_ms);
  for (int step = 0; step < WHOLE_STEPS; step++)
    {
      gint32 kind = g_rand_int_range (random, 0, (gint32) G_N_ELEMENTS (whole_steps));
      whole_steps[kind](whole, random);
      check_totals (whole);
    }
  printf ("%d starts, %d given up ", whole->starts, whole->given_up);
  CU_ASSERT (whole->starts > 1000);
  dispatch_free (whole->dispatch);
  fake_free (whole->limits);
  g_array_unref (whole->actions);
  g_rand_free (random);
  g_free (whole);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "queues and fairness", test_fair },
  { "backlog", test_backlog },
  { "ejection", test_outlier },
  { "the whole against a ledger", test_whole },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("dispatch, random", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
