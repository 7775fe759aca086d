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
#define OUTLIER_MAX_PERCENT 50
#define OUTLIER_DOUBT_MS 2000
#define OUTLIER_BACKOFF_MIN_MS 2000
#define OUTLIER_BACKOFF_MAX_MS 60000

typedef enum
{
  OUTLIER_IN,
  OUTLIER_OUT
} outlier_state_t;

typedef struct
{
  outlier_state_t state;
  double score;          /* 0 .. threshold */
  int64_t probe_at_ms;   /* OUT: a repeatable task may probe from here on */
  int64_t backoff_ms;    /* next back-off */
  int64_t readmit_at_ms; /* IN: when it was last readmitted */
  bool probing;          /* a probe is under way */
  int64_t doubted_to_ms; /* IN: it failed lately, others go first */
} outlier_t;

/* How often tasks of one kind fail over the whole fleet. */
typedef struct
{
  double rate;
  bool known;
} outlier_base_t;

typedef struct
{
  int32_t members;
  int32_t ejected;
} outlier_fleet_t;

/* Takes an outcome into account.  BASE is that of the task's kind.  Returns
 * true if the endpoint's state has changed. */
bool outlier_outcome (outlier_t *outlier,
                      outlier_fleet_t *fleet,
                      outlier_base_t *base,
                      bool failed,
                      int64_t now_ms);

/* True for OUTLIER_DOUBT_MS after a failure: other endpoints should go first,
 * which also shows whether they do better. */
bool outlier_is_doubted (const outlier_t *outlier, int64_t now_ms);

/* True if an ejected endpoint may get a probe now.  A task that may be repeated
 * is allowed first; any other only after a second back-off has passed, since a
 * probe that fails costs its job. */
bool outlier_wants_probe (const outlier_t *outlier, bool repeatable, int64_t now_ms);

/* Connects of one endpoint that failed. */
typedef struct
{
  int64_t retry_at_ms;
  int64_t backoff_ms;
} reach_t;

void reach_failed (reach_t *reach, int64_t now_ms);
void reach_answered (reach_t *reach);

#endif
