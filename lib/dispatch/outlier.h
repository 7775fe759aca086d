/* outlier.h -- outlier detection: ejects endpoints that fail and readmits them
 *
 * Each endpoint has a sequential test (CUSUM): every outcome adds the log-likelihood
 * ratio of "this endpoint is broken" against "it fails as often as the whole fleet does
 * on this kind of task".  Tasks that fail on every endpoint therefore eject none.  At
 * most half of the fleet is ejected at a time.  After a back-off, which doubles with
 * each failed probe, an ejected endpoint may get one task as a probe; it is readmitted
 * if the probe succeeds.
 *
 * Failed connects do not enter the test.  They have a shorter back-off of their own
 * (connect_backoff_t), because nothing was started and no job was lost.
 *
 * Functions use no state but their arguments; not thread-safe.
 */
#ifndef DISPATCH_OUTLIER_H
#define DISPATCH_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/* Largest part of the fleet that may be ejected at a time. */
#define OUTLIER_MAX_EJECTED_PERCENT 50
/* Time after a failure during which other endpoints are preferred. */
#define OUTLIER_SUSPECT_MS 2000
/* First and longest time from an ejection or a failed probe to the next probe. */
#define OUTLIER_BACKOFF_MIN_MS 2000
#define OUTLIER_BACKOFF_MAX_MS 60000

typedef enum
{
  OUTLIER_ADMITTED,
  OUTLIER_EJECTED
} outlier_state_t;

/* The test of one endpoint.  All zero is an admitted endpoint without outcomes. */
typedef struct
{
  outlier_state_t state;
  double score;             /* CUSUM of the log-likelihood ratios, from 0 to the threshold */
  int64_t next_probe_at_ms; /* if ejected: from then on a repeatable task may probe */
  int64_t backoff_ms;       /* to be used at the next ejection or failed probe */
  int64_t readmitted_at_ms; /* time of the last readmission */
  bool probe_running;
  int64_t suspect_until_ms; /* if admitted: until then other endpoints are preferred */
} outlier_t;

/* Failures of the tasks of one kind over the whole fleet. */
typedef struct
{
  double failure_rate; /* moving average, 0 to 1 */
  bool initialised;    /* false until the first outcome */
} outlier_baseline_t;

/* Numbers of endpoints in the fleet. */
typedef struct
{
  int32_t endpoints; /* all, ejected ones included */
  int32_t ejected;
} outlier_fleet_t;

/* Records the outcome of a task; BASELINE is that of its kind.  Updates *FLEET if the
 * endpoint is ejected or readmitted.  Returns true if it was ejected or readmitted, or
 * if a probe failed. */
bool outlier_record (outlier_t *outlier,
                     outlier_fleet_t *fleet,
                     outlier_baseline_t *baseline,
                     bool failed,
                     int64_t now_ms);

/* True for OUTLIER_SUSPECT_MS after a failure.  The caller should prefer other
 * endpoints, which also shows whether the tasks succeed there. */
bool outlier_is_suspect (const outlier_t *outlier, int64_t now_ms);

/* True if an ejected endpoint may get a probe now.  From next_probe_at_ms on only a
 * repeatable task may be used; any other task only after a further backoff_ms, since
 * its job fails if the probe fails. */
bool outlier_may_probe (const outlier_t *outlier, bool repeatable, int64_t now_ms);

/* Back-off after failed connects to one endpoint.  All zero means that there is none. */
typedef struct
{
  int64_t retry_at_ms;
  int64_t backoff_ms;
} connect_backoff_t;

/* Records a failed connect: starts the back-off or doubles it. */
void connect_backoff_failed (connect_backoff_t *backoff, int64_t now_ms);
/* Ends the back-off, after an answer. */
void connect_backoff_reset (connect_backoff_t *backoff);

#endif
