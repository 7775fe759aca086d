/* outlier.c -- outlier detection: ejects endpoints that fail and readmits them
 *
 * The sequential test compares two hypotheses: a broken endpoint fails a fraction
 * BROKEN_FAILURE_RATE of its tasks, a working one the fraction RATE that the fleet
 * fails for this kind.  A failure adds log (BROKEN_FAILURE_RATE / RATE) to the score, a
 * success log ((1 - BROKEN_FAILURE_RATE) / (1 - RATE)), which is not positive.  The
 * score is kept at or above 0.
 */
#include "dispatch/outlier.h"

#include <math.h>

#define BROKEN_FAILURE_RATE 0.9
/* Score at which an endpoint is ejected: odds of about 10000 to 1 (e^9.2) that it is broken. */
#define SCORE_MAX 9.2
/* Score after readmission, so that half the evidence ejects the endpoint again. */
#define SCORE_READMITTED (SCORE_MAX / 2)
/* The failure rate of the fleet is averaged over about this many outcomes per endpoint,
 * but over no fewer and no more in all than the two bounds. */
#define BASELINE_OUTCOMES_PER_ENDPOINT 4
#define BASELINE_OUTCOMES_MIN 32
#define BASELINE_OUTCOMES_MAX 256
/* Bounds of the failure rate of the fleet as used in the test.  With a much lower rate
 * two consecutive failures could eject an endpoint; with a rate above
 * BROKEN_FAILURE_RATE failures would lower the score. */
#define BASELINE_RATE_MIN 0.02
#define BASELINE_RATE_MAX BROKEN_FAILURE_RATE
/* An endpoint that is ejected later than this after its last readmission gets the
 * shortest back-off again. */
#define BACKOFF_RESET_AFTER_MS 120000
/* First and longest back-off after failed connects. */
#define CONNECT_BACKOFF_MIN_MS 250
#define CONNECT_BACKOFF_MAX_MS 5000

static double
log_likelihood_ratio (const outlier_baseline_t *baseline, bool failed)
{
  double rate = fmin (fmax (baseline->failure_rate, BASELINE_RATE_MIN), BASELINE_RATE_MAX);

  return failed ? log (BROKEN_FAILURE_RATE / rate) : log ((1 - BROKEN_FAILURE_RATE) / (1 - rate));
}

static void
update_baseline (outlier_baseline_t *baseline, const outlier_fleet_t *fleet, bool failed)
{
  double outcomes =
      fmin (fmax (BASELINE_OUTCOMES_PER_ENDPOINT * fleet->endpoints, BASELINE_OUTCOMES_MIN),
            BASELINE_OUTCOMES_MAX);

  if (!baseline->initialised)
    *baseline = (outlier_baseline_t){ .failure_rate = BASELINE_RATE_MIN, .initialised = true };
  baseline->failure_rate += ((failed ? 1.0 : 0.0) - baseline->failure_rate) / outcomes;
}

static bool
may_eject (const outlier_fleet_t *fleet)
{
  return (fleet->ejected + 1) * 100 <= fleet->endpoints * OUTLIER_MAX_EJECTED_PERCENT;
}

static void
eject (outlier_t *outlier, outlier_fleet_t *fleet, int64_t now_ms)
{
  bool was_admitted = outlier->state == OUTLIER_ADMITTED;
  bool reset_backoff = was_admitted && now_ms - outlier->readmitted_at_ms > BACKOFF_RESET_AFTER_MS;

  if (outlier->backoff_ms == 0 || reset_backoff)
    outlier->backoff_ms = OUTLIER_BACKOFF_MIN_MS;
  fleet->ejected += was_admitted;
  outlier->state = OUTLIER_EJECTED;
  outlier->probe_running = false;
  outlier->next_probe_at_ms = now_ms + outlier->backoff_ms;
  outlier->backoff_ms *= 2;
  if (outlier->backoff_ms > OUTLIER_BACKOFF_MAX_MS)
    outlier->backoff_ms = OUTLIER_BACKOFF_MAX_MS;
}

static void
readmit (outlier_t *outlier, outlier_fleet_t *fleet, int64_t now_ms)
{
  fleet->ejected--;
  outlier->state = OUTLIER_ADMITTED;
  outlier->probe_running = false;
  outlier->score = SCORE_READMITTED;
  outlier->readmitted_at_ms = now_ms;
}

/* Records the outcome of a task at an ejected endpoint.  Tasks that were running at the
 * time of the ejection may end while no probe runs; they are ignored. */
static bool
record_probe (outlier_t *outlier, outlier_fleet_t *fleet, bool failed, int64_t now_ms)
{
  if (!outlier->probe_running)
    return false;
  if (failed)
    eject (outlier, fleet, now_ms);
  else
    readmit (outlier, fleet, now_ms);
  return true;
}

bool
outlier_record (outlier_t *outlier,
                outlier_fleet_t *fleet,
                outlier_baseline_t *baseline,
                bool failed,
                int64_t now_ms)
{
  if (outlier->state == OUTLIER_EJECTED)
    return record_probe (outlier, fleet, failed, now_ms);
  outlier->score += log_likelihood_ratio (baseline, failed);
  update_baseline (baseline, fleet, failed);
  if (failed)
    outlier->suspect_until_ms = now_ms + OUTLIER_SUSPECT_MS;
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
outlier_is_suspect (const outlier_t *outlier, int64_t now_ms)
{
  return now_ms < outlier->suspect_until_ms;
}

bool
outlier_may_probe (const outlier_t *outlier, bool repeatable, int64_t now_ms)
{
  if (outlier->state != OUTLIER_EJECTED || outlier->probe_running)
    return false;
  int64_t allowed_from_ms = outlier->next_probe_at_ms + (repeatable ? 0 : outlier->backoff_ms);
  return now_ms >= allowed_from_ms;
}

void
connect_backoff_failed (connect_backoff_t *backoff, int64_t now_ms)
{
  backoff->backoff_ms = backoff->backoff_ms == 0 ? CONNECT_BACKOFF_MIN_MS : 2 * backoff->backoff_ms;
  if (backoff->backoff_ms > CONNECT_BACKOFF_MAX_MS)
    backoff->backoff_ms = CONNECT_BACKOFF_MAX_MS;
  backoff->retry_at_ms = now_ms + backoff->backoff_ms;
}

void
connect_backoff_reset (connect_backoff_t *backoff)
{
  *backoff = (connect_backoff_t){ 0 };
}
