/* crashes.h -- history of the tasks whose endpoints were lost
 *
 * A task may crash each endpoint that starts it.  The history holds, for each task, the endpoints
 * that were lost while a run of it was there, and decides whether and how it may start again.
 *
 * A loss is suspected if the endpoint has stopped answering: it has crashed or is only cut off.  It
 * is confirmed when a later instance answers under the id of the endpoint, or another endpoint
 * answers at its address.  It is withdrawn when the endpoint answers as the same instance, or says
 * that it leaves.  A run whose start was never confirmed may not have begun, so that its loss stays
 * suspected.  A run that had started may have ended, its end unread, before its endpoint crashed.
 *
 * A task is given up for confirmed losses only.  As long as too many are suspected, it neither
 * starts nor is it given up.
 *
 * A loss is identified by its task, attempt and endpoint instance, and the owner of the endpoint
 * numbers its states.  Histories of several hosts are merged loss by loss, in any order: no loss
 * counts twice, the latest state wins, and a confirmed loss stays confirmed, since an instance that
 * is gone does not come back.
 *
 * Entries are kept for CRASH_RETENTION_MS, and at most CRASH_TASKS_MAX of them.  The module does no
 * I/O.  Not thread-safe.  Strings are copied.
 */
#ifndef EXECUTOR_CRASHES_H
#define EXECUTOR_CRASHES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A task is given up after this many confirmed losses.  One of three runs may have ended, its end
 * unread, before its endpoint crashed. */
#define CRASH_CONFIRMED_MAX 3
/* A task that is not given up waits for as long as this many losses of runs that had started, or
 * this many in all, are not withdrawn: a start order that was not answered may have come to an
 * endpoint that had crashed before. */
#define CRASH_STARTED_MAX 3
#define CRASH_LOSSES_MAX 5
/* After its second loss, and each later one, a task waits until all are confirmed or withdrawn, for
 * this time at most: an endpoint that has crashed is back within some seconds. */
#define CRASH_HOLD_LOSSES 2
#define CRASH_HOLD_MS 5000
/* The longest time for which a job may wait. */
#define CRASH_RETENTION_MS 3600000
#define CRASH_TASKS_MAX 4096

typedef struct crash_history_t crash_history_t;

typedef enum
{
  CRASH_SUSPECTED,
  CRASH_WITHDRAWN,
  CRASH_CONFIRMED
} crash_state_t;

/* A run that was lost with its endpoint. */
typedef struct
{
  const char *task;
  int32_t attempt;
  const char *endpoint;
  int64_t endpoint_started_at_ms; /* instance of the endpoint */
  bool had_started;               /* its start was confirmed */
  crash_state_t state;
  int32_t revision;    /* incremented when the state changes */
  const char *address; /* where the endpoint answered; NULL if unknown; not told to other hosts */
} crash_loss_t;

/* Endpoints that were lost under a task. */
typedef struct
{
  int32_t lost;      /* suspected and confirmed */
  int32_t started;   /* of these, where the run had certainly started */
  int32_t confirmed; /* of these */
} crash_counts_t;

typedef enum
{
  CRASH_START,       /* it may start like any other task */
  CRASH_START_ALONE, /* it may start on an endpoint of its own */
  CRASH_HOLD,        /* it must not start yet, for a limited time */
  CRASH_UNDECIDED,   /* it must not start until losses are confirmed or withdrawn */
  CRASH_GIVE_UP      /* it must not start any more */
} crash_decision_t;

/* Frees the strings of a crash_loss_t that owns them. */
void crash_loss_clear (void *loss);

/* Called with a loss, whose strings are valid during the call. */
typedef void (*crash_loss_func_t) (const crash_loss_t *loss, void *user);

crash_history_t *crash_history_new (void);
void crash_history_free (crash_history_t *history);

/* Records that this host has found LOSS, whose revision is ignored.  Returns true if that is new;
 * LOSS->revision is set then. */
bool crash_history_add (crash_history_t *history, crash_loss_t *loss, int64_t now_ms);

/* Merges LOSS, which another host has told. */
void crash_history_merge (crash_history_t *history, const crash_loss_t *loss, int64_t now_ms);

/* ENDPOINT has answered at ADDRESS (NULL if unknown) as the instance that started at STARTED_AT_MS
 * (0 if unknown). CHANGED is called for each loss that this confirms or withdraws. */
void crash_history_endpoint_answered (crash_history_t *history,
                                      const char *endpoint,
                                      const char *address,
                                      int64_t started_at_ms,
                                      crash_loss_func_t changed,
                                      void *user);

/* Another endpoint has answered at ADDRESS.  If ENDPOINT was lost there, it is gone: its suspected
 * losses of runs that had started are confirmed.  CHANGED is called for each of them. */
void crash_history_endpoint_replaced (crash_history_t *history,
                                      const char *endpoint,
                                      const char *address,
                                      crash_loss_func_t changed,
                                      void *user);

/* ENDPOINT leaves: its suspected losses are withdrawn.  CHANGED is called for each of them. */
void crash_history_endpoint_left (crash_history_t *history,
                                  const char *endpoint,
                                  crash_loss_func_t changed,
                                  void *user);

/* The run that RUN names (task, attempt, endpoint and instance) is alive: withdraws its loss if
 * that is suspected, and calls CHANGED then. */
void crash_history_withdraw (crash_history_t *history,
                             const crash_loss_t *run,
                             crash_loss_func_t changed,
                             void *user);

/* TASK has succeeded.  Its losses go on counting towards giving it up, but it starts like any other
 * task again. */
void crash_history_note_success (crash_history_t *history, const char *task);

/* Removes entries to which nothing was added for CRASH_RETENTION_MS.  To be called from time to
 * time wherever losses are merged, also where no endpoint is owned. */
void crash_history_expire (crash_history_t *history, int64_t now_ms);

/* Returns the number of tasks that are held for the endpoints whose answers may resolve their
 * losses. */
size_t crash_history_suspect_count (const crash_history_t *history);

void crash_history_foreach (const crash_history_t *history, crash_loss_func_t func, void *user);

crash_counts_t crash_history_counts (const crash_history_t *history, const char *task);
crash_decision_t
crash_history_decide (const crash_history_t *history, const char *task, int64_t now_ms);

#endif
