/* counters.h -- service-level counters: answers by plan, kind and minute
 *
 * A slo_counters_t holds the counters of this process (its own source) and copies of
 * the counters of other processes (sources), callback named by host id and
 * incarnation.  A bucket is a minute of the wall clock; buckets are kept for
 * SLO_RETENTION_MINUTES.  Counters of a bucket only grow, so that a copy may be sent
 * again, late or doubled without harm.
 *
 * Pure; times are wall clock.  Not thread-safe.
 */
#ifndef SLO_COUNTERS_H
#define SLO_COUNTERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SLO_MINUTE_MS 60000
/* Six hours and the running minute. */
#define SLO_RETENTION_MINUTES 361
/* Bounds of what one source, and all of them, can make this host keep; further
 * kinds are counted as "other". */
#define SLO_SERIES_MAX 1024
#define SLO_SOURCES_MAX 32

/* What an answer means for the plan's objective. */
typedef enum
{
  SLO_GOOD,    /* complete within the target */
  SLO_LATE,    /* complete, but later */
  SLO_REFUSED, /* refused although the caller may ask that */
  SLO_FAILED,
  SLO_EXCLUDED, /* due to the caller: counts for nothing */
  SLO_CLASSES
} slo_class_t;

/* The class of an answer with ERROR (0: complete). */
slo_class_t slo_classify (int error, bool late);

/* Name of a class in reports. */
const char *slo_class_name (slo_class_t class);

typedef struct slo_counters_t slo_counters_t;
typedef struct slo_source_t slo_source_t;

slo_counters_t *slo_counters_new (const char *host, uint64_t incarnation, int64_t now_ms);
void slo_counters_free (slo_counters_t *counters);

/* Counts TASKS tasks answered by this process. */
void slo_count_tasks (slo_counters_t *counters,
                      const char *plan,
                      const char *kind,
                      int error,
                      bool late,
                      uint32_t tasks,
                      int64_t now_ms);

/* One bucket of one series. */
typedef struct
{
  const char *plan;
  const char *kind;
  int64_t minute;
  uint32_t counts[SLO_CLASSES];
} slo_count_row_t;

/* Answers with one error in one bucket. */
typedef struct
{
  const char *plan;
  const char *kind;
  int64_t minute;
  int32_t error;
  uint32_t count;
} slo_error_row_t;

/* The source of this process. */
slo_source_t *slo_local_source (slo_counters_t *counters);

/* The source HOST/INCARNATION, made if need be; NULL if there are too many or
 * if it is this process.  FROM_MS is when it began to count. */
slo_source_t *slo_get_copy (slo_counters_t *counters,
                            const char *host,
                            uint64_t incarnation,
                            int64_t from_ms,
                            int64_t now_ms);

/* What a copy's sender reports: totals of a bucket, and how far they reach. */
void slo_copy_update_counts (slo_source_t *source, const slo_count_row_t *row, int64_t now_ms);
void slo_copy_update_error (slo_source_t *source, const slo_error_row_t *row, int64_t now_ms);
void slo_copy_advance (slo_source_t *source, int64_t as_of_ms);

typedef struct
{
  const char *host;
  uint64_t incarnation;
  bool is_local;
  int64_t start_ms; /* counts from here on */
  int64_t as_of_ms; /* to here; of the own source the time of the last count */
} slo_source_info_t;
slo_source_info_t slo_source_info (const slo_source_t *source);

void slo_foreach_source (slo_counters_t *counters,
                         void (*callback) (slo_source_t *source, void *data),
                         void *data);

/* Calls ROW and ERROR (either may be NULL) for all buckets from minute SINCE on
 * that are not empty. */
typedef struct
{
  void (*on_counts) (const slo_count_row_t *counts, void *data);
  void (*on_error) (const slo_error_row_t *entry, void *data);
  void *data;
} slo_visitor_t;
void
slo_visit_counts (const slo_source_t *source, int64_t since_minute, const slo_visitor_t *visitor);

/* Drops errors and copies that are older than what is kept. */
void slo_prune (slo_counters_t *counters, int64_t now_ms);

#endif
