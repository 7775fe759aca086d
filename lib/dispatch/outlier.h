/* outlier.h -- ejection of endpoints that fail, and their readmission
 *
 * Each endpoint is judged by a sequential test (CUSUM): every outcome adds the
 * log-likelihood ratio of "this endpoint is broken" against "it fails as often
 * as the fleet does on this kind of task".  Tasks that fail everywhere thus
 * eject nobody.  At most half of the fleet is ejected at a time.  After a
 * back-off that doubles, an endpoint may get one probe, and returns if that
 * succeeds.
 *
 * A failed connect is not judged here but by reach_: nothing has started, so
 * it costs no job, and the endpoint is only passed over for a short while.
 *
 * Pure; not thread-safe.
 */
#ifndef DISPATCH_OUTLIER_H
#define DISPATCH_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/* Bound on the ejected part of the fleet. */
#define OUTLIER_MAX_EJECTED_PERCENT 50
#define OUTLIER_SUSPECT_MS 2000
#define OUTLIER_BACKOFF_MIN_MS 2000
#define OUTLIER_BACKOFF_MAX_MS 60000

typedef enum
{
  OUTLIER_ADMITTED,
  OUTLIER_EJECTED
} outlier_state_t;

typedef struct
{
  outlier_state_t state;
  double score;             /* 0 .. threshold */
  int64_t next_probe_at_ms; /* OUT: a repeatable task may probe from here on */
  int64_t backoff_ms;       /* next back-off */
  int64_t readmitted_at_ms; /* IN: when it was last readmitted */
  bool probe_running;       /* a probe is under way */
  int64_t suspect_until_ms; /* IN: it failed lately, others go first */
} outlier_t;

/* How often tasks of one kind fail over the whole fleet. */
typedef struct
{
  double failure_rate;
  bool initialised;
} outlier_baseline_t;

typedef struct
{
  int32_t endpoints;
  int32_t ejected;
} outlier_fleet_t;

/* Takes an outcome into account.  BASE is that of the task's kind.  Returns
 * true if the endpoint's state has changed. */
bool outlier_record (outlier_t *outlier,
                     outlier_fleet_t *fleet,
                     outlier_baseline_t *baseline,
                     bool failed,
                     int64_t now_ms);

/* True for OUTLIER_SUSPECT_MS after a failure: other endpoints should go first,
 * which also shows whether they do better. */
bool outlier_is_suspect (const outlier_t *outlier, int64_t now_ms);

/* True if an ejected endpoint may get a probe now.  A task that may be repeated
 * is allowed first; any other only after a second back-off has passed, since a
 * probe that fails costs its job. */
bool outlier_may_probe (const outlier_t *outlier, bool repeatable, int64_t now_ms);

/* Connects of one endpoint that failed. */
typedef struct
{
  int64_t retry_at_ms;
  int64_t backoff_ms;
} connect_backoff_t;

void connect_backoff_failed (connect_backoff_t *backoff, int64_t now_ms);
void connect_backoff_reset (connect_backoff_t *backoff);

#endif
