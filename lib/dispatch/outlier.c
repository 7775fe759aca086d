/* outlier.c -- ejection of endpoints that fail, and their readmission
 *
 * The test's two hypotheses: a broken endpoint fails BROKEN_RATE of its tasks,
 * a sound one as many as the fleet's rate for the kind.  A failure adds
 * log (BROKEN_RATE / base), a success log ((1 - BROKEN_RATE) / (1 - base)),
 * which is negative; the sum is kept at or above zero.
 */
#include "dispatch/outlier.h"

#include <math.h>

#define BROKEN_RATE 0.9
/* Ejects at odds of about ten thousand to one. */
#define SCORE_MAX 9.2
/* A readmitted endpoint is ejected again by half the evidence. */
#define SCORE_READMITTED (SCORE_MAX / 2)
/* The fleet's rate follows about this many outcomes of each endpoint, within the
 * bounds below it. */
#define BASE_OUTCOMES_EACH 4
#define BASE_OUTCOMES_MIN 32
#define BASE_OUTCOMES_MAX 256
/* Bounds of the fleet's rate: below, two failures in a row could eject; above,
 * the test would reverse. */
#define BASE_RATE_MIN 0.02
#define BASE_RATE_MAX BROKEN_RATE
/* An endpoint that has done well for this long starts from the shortest
 * back-off again. */
#define FORGIVEN_AFTER_MS 120000
#define REACH_BACKOFF_MIN_MS 250
#define REACH_BACKOFF_MAX_MS 5000

static double
evidence (const outlier_base_t *base, bool failed)
{
  double rate = fmin (fmax (base->rate, BASE_RATE_MIN), BASE_RATE_MAX);

  return failed ? log (BROKEN_RATE / rate) : log ((1 - BROKEN_RATE) / (1 - rate));
}

static void
update_base (outlier_base_t *base, const outlier_fleet_t *fleet, bool failed)
{
  double outcomes =
      fmin (fmax (BASE_OUTCOMES_EACH * fleet->members, BASE_OUTCOMES_MIN), BASE_OUTCOMES_MAX);

  if (!base->known)
    *base = (outlier_base_t){ .rate = BASE_RATE_MIN, .known = true };
  base->rate += ((failed ? 1.0 : 0.0) - base->rate) / outcomes;
}

static bool
may_eject (const outlier_fleet_t *fleet)
{
  return (fleet->ejected + 1) * 100 <= fleet->members * OUTLIER_MAX_PERCENT;
}

static void
eject (outlier_t *outlier, outlier_fleet_t *fleet, int64_t now_ms)
{
  bool was_in = outlier->state == OUTLIER_IN;
  bool forgiven = was_in && now_ms - outlier->readmit_at_ms > FORGIVEN_AFTER_MS;

  if (outlier->backoff_ms == 0 || forgiven)
    outlier->backoff_ms = OUTLIER_BACKOFF_MIN_MS;
  fleet->ejected += was_in;
  outlier->state = OUTLIER_OUT;
  outlier->probing = false;
  outlier->probe_at_ms = now_ms + outlier->backoff_ms;
  outlier->backoff_ms *= 2;
  if (outlier->backoff_ms > OUTLIER_BACKOFF_MAX_MS)
    outlier->backoff_ms = OUTLIER_BACKOFF_MAX_MS;
}

static void
readmit (outlier_t *outlier, outlier_fleet_t *fleet, int64_t now_ms)
{
  fleet->ejected--;
  outlier->state = OUTLIER_IN;
  outlier->probing = false;
  outlier->score = SCORE_READMITTED;
  outlier->readmit_at_ms = now_ms;
}

/* Tasks that were under way at the ejection end later; only the probe counts. */
static bool
judge_probe (outlier_t *outlier, outlier_fleet_t *fleet, bool failed, int64_t now_ms)
{
  if (!outlier->probing)
    return false;
  if (failed)
    eject (outlier, fleet, now_ms);
  else
    readmit (outlier, fleet, now_ms);
  return true;
}

bool
outlier_outcome (outlier_t *outlier,
                 outlier_fleet_t *fleet,
                 outlier_base_t *base,
                 bool failed,
                 int64_t now_ms)
{
  if (outlier->state == OUTLIER_OUT)
    return judge_probe (outlier, fleet, failed, now_ms);
  outlier->score += evidence (base, failed);
  update_base (base, fleet, failed);
  if (failed)
    outlier->doubted_to_ms = now_ms + OUTLIER_DOUBT_MS;
  if (outlier->score < 0)
    outlier->score = 0;
  if (outlier->score < SCORE_MAX)
    return false;
  outlier->score = SCORE_MAX;
  if (!failed || !may_eject (fleet))
    return false;
  eject (outlier, fleet, now_ms);
  return true;
}

bool
outlier_is_doubted (const outlier_t *outlier, int64_t now_ms)
{
  return now_ms < outlier->doubted_to_ms;
}

bool
outlier_wants_probe (const outlier_t *outlier, bool repeatable, int64_t now_ms)
{
  if (outlier->state != OUTLIER_OUT || outlier->probing)
    return false;
  int64_t from_ms = outlier->probe_at_ms + (repeatable ? 0 : outlier->backoff_ms);
  return now_ms >= from_ms;
}

void
reach_failed (reach_t *reach, int64_t now_ms)
{
  reach->backoff_ms = reach->backoff_ms == 0 ? REACH_BACKOFF_MIN_MS : 2 * reach->backoff_ms;
  if (reach->backoff_ms > REACH_BACKOFF_MAX_MS)
    reach->backoff_ms = REACH_BACKOFF_MAX_MS;
  reach->retry_at_ms = now_ms + reach->backoff_ms;
}

void
reach_answered (reach_t *reach)
{
  *reach = (reach_t){ 0 };
}
