/* counters.h -- service-level counters: answers by plan, kind and minute
 *
 * An slo_counters_t holds one source for this process (the local source) and
 * copies of the sources of other processes.  A source is identified by host id
 * and incarnation.  A bucket covers one minute of the wall clock and is retained
 * for SLO_RETENTION_MINUTES.  The counters of a bucket only increase and copies
 * are merged by maximum, so a copy may arrive late, repeatedly or out of order.
 *
 * Times are wall clock, in milliseconds or in minutes since the epoch.  The
 * module does no I/O and is not thread-safe.
 */
#ifndef SLO_COUNTERS_H
#define SLO_COUNTERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SLO_MINUTE_MS 60000
/* The longest alert window of six hours, and the current minute. */
#define SLO_RETENTION_MINUTES 361
/* Limits on memory: the number of series of one source, and of sources.  Kinds
 * beyond SLO_SERIES_MAX are counted as "other". */
#define SLO_SERIES_MAX 1024
#define SLO_SOURCES_MAX 32

/* Classes of answers with respect to the plan's objective. */
typedef enum
{
  SLO_GOOD,    /* completed within the target */
  SLO_LATE,    /* completed after the target */
  SLO_REFUSED, /* refused although the request was permitted */
  SLO_FAILED,
  SLO_EXCLUDED, /* caused by the caller; counts neither as good nor as bad */
  SLO_CLASSES
} slo_class_t;

/* Returns the class of an answer with ERROR, 0 for a completed task.  LATE only
 * matters if ERROR is 0. */
slo_class_t slo_classify (int error, bool late);

/* Returns the name of a class in reports. */
const char *slo_class_name (slo_class_t class);

typedef struct slo_counters_t slo_counters_t;
typedef struct slo_source_t slo_source_t;

/* HOST and INCARNATION identify this process.  Free with slo_counters_free (). */
slo_counters_t *slo_counters_new (const char *host, uint64_t incarnation, int64_t now_ms);
void slo_counters_free (slo_counters_t *counters);

/* Adds TASKS tasks answered by this process to the local source.  LATE: the tasks
 * completed after the plan's target. */
void slo_count_tasks (slo_counters_t *counters,
                      const char *plan,
                      const char *kind,
                      int error,
                      bool late,
                      uint32_t tasks,
                      int64_t now_ms);

/* One bucket of one series, that is of one plan and kind. */
typedef struct
{
  const char *plan;
  const char *kind;
  int64_t minute;
  uint32_t counts[SLO_CLASSES];
} slo_count_row_t;

/* Number of answers with one error in one bucket. */
typedef struct
{
  const char *plan;
  const char *kind;
  int64_t minute;
  int32_t error;
  uint32_t count;
} slo_error_row_t;

/* Returns the source of this process, owned by COUNTERS. */
slo_source_t *slo_local_source (slo_counters_t *counters);

/* Returns the copy of the source of HOST and INCARNATION, which is created if it
 * does not exist; NULL if there are SLO_SOURCES_MAX sources already or if it is
 * this process.  START_MS is when the source began to count.  The copy belongs to
 * COUNTERS and may be freed by slo_prune (). */
slo_source_t *slo_get_copy (slo_counters_t *counters,
                            const char *host,
                            uint64_t incarnation,
                            int64_t start_ms,
                            int64_t now_ms);

/* Update the copy SOURCE from what its sender reports: raise the counters of a
 * bucket to those of ROW, or record that all counts up to AS_OF_MS are included.
 * Rows outside the retention period are ignored. */
void slo_copy_update_counts (slo_source_t *source, const slo_count_row_t *row, int64_t now_ms);
void slo_copy_update_error (slo_source_t *source, const slo_error_row_t *row, int64_t now_ms);
void slo_copy_advance (slo_source_t *source, int64_t as_of_ms);

typedef struct
{
  const char *host;
  uint64_t incarnation;
  bool is_local;
  int64_t start_ms; /* when the source began to count */
  int64_t as_of_ms; /* counts up to here are included; last count of the local source */
} slo_source_info_t;

/* The host name belongs to SOURCE. */
slo_source_info_t slo_source_info (const slo_source_t *source);

/* Calls CALLBACK for each source.  It must not add or remove sources. */
void slo_foreach_source (slo_counters_t *counters,
                         void (*callback) (slo_source_t *source, void *data),
                         void *data);

/* Callbacks of slo_visit_counts (); ON_COUNTS or ON_ERROR may be NULL. */
typedef struct
{
  void (*on_counts) (const slo_count_row_t *counts, void *data);
  void (*on_error) (const slo_error_row_t *entry, void *data);
  void *data;
} slo_visitor_t;

/* Calls ON_COUNTS for every non-empty bucket and ON_ERROR for every error entry
 * from minute SINCE_MINUTE on. */
void
slo_visit_counts (const slo_source_t *source, int64_t since_minute, const slo_visitor_t *visitor);

/* Removes error entries and copies that are past the retention period. */
void slo_prune (slo_counters_t *counters, int64_t now_ms);

#endif
