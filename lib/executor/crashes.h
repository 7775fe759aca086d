/* crashes.h -- history of the tasks whose endpoints were lost
 *
 * A task may crash each endpoint that starts it.  The history counts, for each task, the endpoints
 * that were lost while a run of it was there, and decides whether and how it may start again.  A
 * loss is confirmed if the endpoint was found restarted, and suspected if the endpoint has stopped
 * answering and the lease of the run has expired.  A suspected loss is confirmed when the endpoint
 * answers as a later instance, and withdrawn when it answers as the same one: it was only cut off.
 * A run whose start was never confirmed may not have begun, so that its loss stays suspected.
 *
 * Counts from other owners are added with crash_history_learn (): the higher one is used.  Entries
 * are kept for CRASH_RETENTION_MS, and at most CRASH_TASKS_MAX of them.
 *
 * The module does no I/O.  Not thread-safe.  Strings are copied.
 */
#ifndef EXECUTOR_CRASHES_H
#define EXECUTOR_CRASHES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A task is given up after this many confirmed losses, or this many losses in all. */
#define CRASH_CONFIRMED_MAX 2
#define CRASH_LOSSES_MAX 3
/* A task with losses that are not all confirmed waits for this time after the second one: an
 * endpoint that has crashed is back within some seconds and shows what has happened. */
#define CRASH_HOLD_MS 5000
/* The longest time for which a job may wait. */
#define CRASH_RETENTION_MS 3600000
#define CRASH_TASKS_MAX 4096

typedef struct crash_history_t crash_history_t;

typedef struct
{
  int32_t lost;      /* endpoints, suspected and confirmed */
  int32_t confirmed; /* of these */
} crash_counts_t;

/* A task with losses, as owners and coordinators tell each other. */
typedef struct
{
  int32_t index;
  crash_counts_t counts;
} task_crashes_t;

/* A run on an endpoint. */
typedef struct
{
  const char *task;
  const char *endpoint;
  int64_t endpoint_started_at_ms; /* instance of the endpoint */
  bool confirmed;                 /* its start was confirmed */
} crash_run_t;

typedef enum
{
  CRASH_START,       /* it may start like any other task */
  CRASH_START_ALONE, /* it may start on an endpoint of its own */
  CRASH_HOLD,        /* it must not start yet */
  CRASH_GIVE_UP      /* it must not start any more */
} crash_decision_t;

/* A change of the counts of TASK. */
typedef enum
{
  CRASH_SUSPECTED,
  CRASH_CONFIRMED,
  CRASH_WITHDRAWN
} crash_change_t;

typedef struct
{
  char *task;
  char *endpoint;
  crash_change_t change;
} crash_event_t;

crash_history_t *crash_history_new (void);
void crash_history_free (crash_history_t *history);

/* The lease of RUN has expired, and its endpoint does not answer. */
void crash_history_add_lost (crash_history_t *history, const crash_run_t *run, int64_t now_ms);

/* The endpoint of RUN was found restarted. */
void crash_history_add_restarted (crash_history_t *history, const crash_run_t *run, int64_t now_ms);

/* ENDPOINT has answered as the instance that started at STARTED_AT_MS. */
void crash_history_endpoint_answered (crash_history_t *history,
                                      const char *endpoint,
                                      int64_t started_at_ms);

/* Another owner has counted these losses of TASK. */
void crash_history_learn (crash_history_t *history,
                          const char *task,
                          crash_counts_t counts,
                          int64_t now_ms);

/* TASK has succeeded. */
void crash_history_forget (crash_history_t *history, const char *task);

/* Removes entries that have not changed for CRASH_RETENTION_MS. */
void crash_history_expire (crash_history_t *history, int64_t now_ms);

crash_counts_t crash_history_counts (const crash_history_t *history, const char *task);
crash_decision_t
crash_history_decide (const crash_history_t *history, const char *task, int64_t now_ms);

bool crash_history_has_events (const crash_history_t *history);

/* Returns the crash_event_t since the last call; the caller unrefs the array. */
GPtrArray *crash_history_take_events (crash_history_t *history);

#endif
