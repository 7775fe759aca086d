/* burn.h -- service-level counters: answers by plan, kind and minute
 *
 * A burn_t holds the counters of this process (its own source) and copies of
 * the counters of other processes (sources), each named by host id and
 * incarnation.  A bucket is a minute of the wall clock; buckets are kept for
 * BURN_KEPT_MINUTES.  Counters of a bucket only grow, so that a copy may be sent
 * again, late or doubled without harm.
 *
 * Pure; times are wall clock.  Not thread-safe.
 */
#ifndef BURN_BURN_H
#define BURN_BURN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BURN_MINUTE_MS 60000
/* Six hours and the running minute. */
#define BURN_KEPT_MINUTES 361
/* Bounds of what one source, and all of them, can make this host keep; further
 * kinds are counted as "other". */
#define BURN_SERIES_MAX 1024
#define BURN_SOURCES_MAX 32

/* What an answer means for the plan's objective. */
typedef enum
{
  BURN_GOOD,    /* complete within the target */
  BURN_LATE,    /* complete, but later */
  BURN_REFUSED, /* refused although the caller may ask that */
  BURN_FAILED,
  BURN_EXCUSED, /* due to the caller: counts for nothing */
  BURN_CLASSES
} burn_class_t;

/* The class of an answer with ERROR (0: complete). */
burn_class_t burn_class (int error, bool late);

/* Name of a class in reports. */
const char *burn_class_name (burn_class_t class);

typedef struct burn_t burn_t;
typedef struct burn_source_t burn_source_t;

burn_t *burn_new (const char *host, uint64_t incarnation, int64_t now_ms);
void burn_free (burn_t *burn);

/* Counts TASKS tasks answered by this process. */
void burn_count (burn_t *burn,
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
  uint32_t counts[BURN_CLASSES];
} burn_row_t;

/* Answers with one error in one bucket. */
typedef struct
{
  const char *plan;
  const char *kind;
  int64_t minute;
  int32_t error;
  uint32_t count;
} burn_error_row_t;

/* The source of this process. */
burn_source_t *burn_own (burn_t *burn);

/* The source HOST/INCARNATION, made if need be; NULL if there are too many or
 * if it is this process.  FROM_MS is when it began to count. */
burn_source_t *
burn_copy (burn_t *burn, const char *host, uint64_t incarnation, int64_t from_ms, int64_t now_ms);

/* What a copy's sender reports: totals of a bucket, and how far they reach. */
void burn_take (burn_source_t *source, const burn_row_t *row, int64_t now_ms);
void burn_take_error (burn_source_t *source, const burn_error_row_t *row, int64_t now_ms);
void burn_reached (burn_source_t *source, int64_t as_of_ms);

typedef struct
{
  const char *host;
  uint64_t incarnation;
  bool own;
  int64_t from_ms;  /* counts from here on */
  int64_t as_of_ms; /* to here; of the own source the time of the last count */
} burn_source_info_t;
burn_source_info_t burn_source_info (const burn_source_t *source);

void burn_each_source (burn_t *burn, void (*each) (burn_source_t *source, void *data), void *data);

/* Calls ROW and ERROR (either may be NULL) for all buckets from minute SINCE on
 * that are not empty. */
typedef struct
{
  void (*row) (const burn_row_t *row, void *data);
  void (*error) (const burn_error_row_t *row, void *data);
  void *data;
} burn_visitor_t;
void burn_visit (const burn_source_t *source, int64_t since, const burn_visitor_t *visitor);

/* Drops errors and copies that are older than what is kept. */
void burn_prune (burn_t *burn, int64_t now_ms);

#endif
