/* order_window.c -- how many start orders of an owner may be unanswered */
#include "executor/order_window.h"

#include <glib.h>

#define INTERVAL_MS 50
#define EPOCH_MS 30000
/* In an epoch in which no answer was prompt the usual time rises by this much at most: the delay
 * may have lasted for all of it. */
#define USUAL_RISE_MS 1
#define MS_PER_S 1000.0

#define LIMIT_INITIAL 128
#define LIMIT_MIN 4
#define LIMIT_MAX 8192
#define GROW_PERCENT 50
/* The window shrinks above the first delay and grows below the second. */
#define LATE_MS 30
#define PROMPT_MS 20

/* One element of the calls covers this time, so that all of them cover DELAY_MAX_MS. */
#define CALLS_STEP_MS 5
/* After PROBE_AFTER_MS at LIMIT_MIN the window is 1 for PROBE_MS.  The quickest answer of that time
 * counts as usual, as far as it is not later by more than PROBE_RISE_MS. */
#define PROBE_AFTER_MS 4000
#define PROBE_MS 150
#define PROBE_RISE_MS 15
/* A silence of fewer calls may be that of their endpoints. */
#define CALLS_MIN 3
/* A poll that is lost ends by so much later, and the next one must still renew a lease of 1,000 ms.
 */
#define DELAY_MAX_MS 200

/* Weight of an interval in the mean of the work that was started. */
#define WORK_WEIGHT 0.1
#define WORK_SETTLES_MS 500
/* The window counts as limiting for this long after a task has waited for it. */
#define LIMITING_MS 500

void
order_window_init (order_window_t *window)
{
  *window = (order_window_t){ .limit = LIMIT_INITIAL,
                              .quickest_ms = INT64_MAX,
                              .usual_ms = INT64_MAX,
                              .epoch_quickest_ms = INT64_MAX,
                              .probe_quickest_ms = INT64_MAX };
}

bool
order_window_is_open (const order_window_t *window)
{
  return window->in_flight < window->limit;
}

void
order_window_record_wait (order_window_t *window)
{
  window->was_full = true;
}

void
order_window_record_start (order_window_t *window, int64_t core_ms)
{
  window->in_flight++;
  window->most_in_flight = MAX (window->most_in_flight, window->in_flight);
  window->sent_core_ms += core_ms;
}

void
order_window_record_end (order_window_t *window)
{
  window->in_flight--;
  window->ended++;
}

void
order_window_record_call (order_window_t *window, uint64_t serial, int64_t now_ms)
{
  order_window_calls_t *newest = &window->calls[(window->calls_count - 1) % ORDER_WINDOW_CALLS];

  if (window->calls_in_flight++ == 0)
    window->answered_sent_at_ms = MAX (window->answered_sent_at_ms, now_ms);
  if (window->calls_count == 0 || now_ms - newest->sent_at_ms >= CALLS_STEP_MS)
    {
      newest = &window->calls[window->calls_count % ORDER_WINDOW_CALLS];
      newest->sent_at_ms = now_ms;
      window->calls_count++;
    }
  newest->last_serial = serial;
}

void
order_window_record_call_end (order_window_t *window)
{
  window->calls_in_flight--;
}

void
order_window_record_answer (order_window_t *window,
                            uint64_t serial,
                            int64_t sent_at_ms,
                            int64_t now_ms)
{
  window->quickest_ms = MIN (window->quickest_ms, now_ms - sent_at_ms);
  window->epoch_quickest_ms = MIN (window->epoch_quickest_ms, now_ms - sent_at_ms);
  window->probe_quickest_ms = MIN (window->probe_quickest_ms, now_ms - sent_at_ms);
  window->answered_serial = MAX (window->answered_serial, serial);
  window->answered_sent_at_ms = MAX (window->answered_sent_at_ms, sent_at_ms);
}

/* How long the quickest answer takes without a delay of this host. */
static int64_t
usual_answer_ms (const order_window_t *window)
{
  int64_t usual_ms = MIN (window->usual_ms, window->epoch_quickest_ms);

  return usual_ms != INT64_MAX ? usual_ms : PROMPT_MS;
}

/* Returns when the oldest call was sent of those that are newer than all answered ones; NOW_MS if
 * there is none. */
static int64_t
oldest_unanswered_at_ms (const order_window_t *window, int64_t now_ms)
{
  uint32_t kept = MIN (window->calls_count, ORDER_WINDOW_CALLS);
  int64_t oldest_ms = now_ms;

  for (uint32_t i = 1; i <= kept; i++)
    {
      const order_window_calls_t *calls =
          &window->calls[(window->calls_count - i) % ORDER_WINDOW_CALLS];
      if (calls->last_serial <= window->answered_serial)
        break;
      oldest_ms = calls->sent_at_ms;
    }
  return oldest_ms;
}

/* Calls leave in the order in which they were sent.  While several are under way and nothing that
 * was sent lately is answered, they wait here. */
static int64_t
unanswered_delay_ms (const order_window_t *window, int64_t now_ms)
{
  if (window->calls_in_flight < CALLS_MIN)
    return 0;
  return MAX (now_ms - oldest_unanswered_at_ms (window, now_ms) - usual_answer_ms (window), 0);
}

/* The delay that certainly is this host's: what limits the starts. */
static int64_t
certain_delay_ms (const order_window_t *window, int64_t now_ms)
{
  return MIN (MAX (window->delay_ms, unanswered_delay_ms (window, now_ms)), DELAY_MAX_MS);
}

/* In doubt a call has more time: the next call to leave may have been sent right after the newest
 * one that was answered. */
int64_t
order_window_delay_ms (const order_window_t *window, int64_t now_ms)
{
  int64_t possible_ms = now_ms - window->answered_sent_at_ms - usual_answer_ms (window);

  if (window->calls_in_flight < CALLS_MIN)
    possible_ms = 0;
  return MIN (MAX (window->delay_ms, possible_ms), DELAY_MAX_MS);
}

bool
order_window_is_limiting (const order_window_t *window, int64_t now_ms)
{
  return now_ms < window->limiting_until_ms;
}

int32_t
order_window_room (const order_window_t *window, int64_t now_ms)
{
  if (!order_window_is_limiting (window, now_ms))
    return INT32_MAX;
  return MAX (window->limit - window->in_flight, 0);
}

int64_t
order_window_cores_milli (const order_window_t *window, int64_t now_ms)
{
  if (!order_window_is_limiting (window, now_ms)
      || now_ms - window->limiting_since_ms < WORK_SETTLES_MS)
    return INT64_MAX;
  return MAX ((int64_t) window->cores_milli, 1);
}

static void
update_delay (order_window_t *window)
{
  if (window->quickest_ms != INT64_MAX)
    window->delay_ms = window->quickest_ms - usual_answer_ms (window);
  else if (window->calls_in_flight == 0)
    window->delay_ms = 0;
  window->quickest_ms = INT64_MAX;
}

/* What was under way took the usual time and DELAY_MS; less of it takes proportionally less. */
static int32_t
shrunk_limit (const order_window_t *window, int64_t delay_ms)
{
  int64_t usual_ms = usual_answer_ms (window);
  int64_t most = MIN (window->limit, window->most_in_flight);
  int64_t limit = most * (usual_ms + PROMPT_MS) / (usual_ms + delay_ms);

  return (int32_t) MAX (limit, LIMIT_MIN);
}

/* A prompt answer alone does not show that the link carries more: it may be the first of many. */
static bool
may_grow (const order_window_t *window, int64_t delay_ms)
{
  return delay_ms < PROMPT_MS && window->was_full && window->ended * 2 >= window->most_in_flight;
}

static void
update_limit (order_window_t *window, int64_t now_ms)
{
  int64_t delay_ms = certain_delay_ms (window, now_ms);

  if (delay_ms > LATE_MS && window->most_in_flight > 0)
    window->limit = shrunk_limit (window, delay_ms);
  else if (may_grow (window, delay_ms))
    window->limit = MIN (window->limit + window->limit * GROW_PERCENT / 100, LIMIT_MAX);
  window->most_in_flight = window->in_flight;
  window->ended = 0;
}

/* A single order can't be the cause of a delay that lasts.  If it is answered as late as several
 * are, it is the endpoints that have become slower. */
static void
measure_usual_answer (order_window_t *window, int64_t now_ms)
{
  if (window->probe_ends_at_ms == 0 && window->limit > LIMIT_MIN)
    window->probe_at_ms = 0;
  else if (window->probe_ends_at_ms == 0 && window->probe_at_ms == 0)
    window->probe_at_ms = now_ms + PROBE_AFTER_MS;
  else if (window->probe_ends_at_ms == 0 && now_ms >= window->probe_at_ms)
    {
      window->limit = 1;
      window->probe_ends_at_ms = now_ms + PROBE_MS;
      window->probe_quickest_ms = INT64_MAX;
    }
  else if (window->probe_ends_at_ms != 0 && now_ms >= window->probe_ends_at_ms)
    {
      if (window->probe_quickest_ms != INT64_MAX)
        window->usual_ms =
            MIN (window->probe_quickest_ms, usual_answer_ms (window) + PROBE_RISE_MS);
      if (window->probe_quickest_ms != INT64_MAX)
        window->epoch_quickest_ms = window->usual_ms;
      window->limit = LIMIT_MIN;
      window->probe_at_ms = 0;
      window->probe_ends_at_ms = 0;
    }
}

static void
update_work (order_window_t *window)
{
  double cores_milli = (double) window->sent_core_ms * MS_PER_S / INTERVAL_MS;

  window->cores_milli += (cores_milli - window->cores_milli) * WORK_WEIGHT;
  window->sent_core_ms = 0;
}

/* Prompt answers show that the window only has to grow. */
static void
update_limiting (order_window_t *window, int64_t now_ms)
{
  bool limits = window->was_full && certain_delay_ms (window, now_ms) >= PROMPT_MS;

  if (limits && !order_window_is_limiting (window, now_ms))
    window->limiting_since_ms = now_ms;
  if (limits)
    window->limiting_until_ms = now_ms + LIMITING_MS;
  window->was_full = false;
}

static void
begin_epoch_if_due (order_window_t *window, int64_t now_ms)
{
  if (now_ms < window->epoch_ends_at_ms)
    return;
  if (window->epoch_quickest_ms != INT64_MAX)
    window->usual_ms = window->usual_ms == INT64_MAX
                           ? window->epoch_quickest_ms
                           : MIN (window->epoch_quickest_ms, window->usual_ms + USUAL_RISE_MS);
  window->epoch_quickest_ms = INT64_MAX;
  window->epoch_ends_at_ms = now_ms + EPOCH_MS;
}

void
order_window_step (order_window_t *window, int64_t now_ms)
{
  if (now_ms < window->interval_ends_at_ms)
    return;
  window->interval_ends_at_ms = now_ms + INTERVAL_MS;
  update_delay (window);
  if (window->probe_ends_at_ms == 0)
    update_limit (window, now_ms);
  measure_usual_answer (window, now_ms);
  update_work (window);
  update_limiting (window, now_ms);
  begin_epoch_if_due (window, now_ms);
}
