/* job_cancellations.h -- cancellations of jobs, sent to other hosts until each has confirmed
 *
 * Any host may coordinate a job, and more than one if its caller has submitted it again.  A host
 * that gets a cancellation therefore sends it to all others.  A message can be lost with its
 * connection, so it is sent again, at intervals that grow and on each new connection, until the
 * host has confirmed it or the job can't live any more.
 *
 * Whoever asked for the cancellation, the waiter, is answered as soon as one host had the job, or
 * all have confirmed that they did not, or its time is over.  In the last case nothing is known
 * about the job, and sending goes on.
 *
 * A host that is not connected to all others sends the cancellation through a hub, which confirms
 * for all.  Hosts of versions that don't know the confirmation never confirm.
 *
 * No I/O and no clock: actions are appended to a GArray of job_cancellation_action_t.  Times are
 * milliseconds of the boot clock.  Host names are interned.  Not thread-safe.
 */
#ifndef SCHEDULER_JOB_CANCELLATIONS_H
#define SCHEDULER_JOB_CANCELLATIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct job_cancellations_t job_cancellations_t;

/* Sent again after this time at first, and at most this much later in the end. */
#define JOB_CANCELLATION_RESEND_MIN_MS 100
#define JOB_CANCELLATION_RESEND_MAX_MS 2000
/* No job lives longer. */
#define JOB_CANCELLATION_RETENTION_MS 600000
/* One more takes the place of the oldest; holds for ended jobs, too. */
#define JOB_CANCELLATIONS_MAX 1024
/* A host whose confirmation was lost is asked again within this time. */
#define JOB_CANCELLATION_ENDED_MS 10000

typedef enum
{
  JOB_CANCELLATION_FOUND,      /* a host had the job and has ended it */
  JOB_CANCELLATION_NOT_FOUND,  /* no host has it */
  JOB_CANCELLATION_UNCONFIRMED /* the hosts that have answered don't have it */
} job_cancellation_result_t;

typedef enum
{
  JOB_CANCELLATION_SEND,    /* send the cancellation of JOB to HOST; NULL: to a hub, for all */
  JOB_CANCELLATION_ANSWER,  /* answer WAITER, which is forgotten */
  JOB_CANCELLATION_GIVEN_UP /* a cancellation that a host hasn't confirmed is not sent any more */
} job_cancellation_action_kind_t;

typedef struct
{
  job_cancellation_action_kind_t kind;
  const char *job; /* JOB_CANCELLATION_SEND only; valid until the next call */
  const char *host;
  void *waiter;
  job_cancellation_result_t result;
} job_cancellation_action_t;

typedef struct
{
  const char *job;
  const GPtrArray *hosts; /* those that may have the job; NULL: it is sent through a hub */
  bool found;             /* the job was ended at this host */
  void *waiter;           /* not NULL */
  int64_t answer_by_ms;
} job_cancellation_request_t;

job_cancellations_t *job_cancellations_new (void);
/* Waiters are not answered.  NULL is a no-op. */
void job_cancellations_free (job_cancellations_t *cancellations);

/* Sends a cancellation.  If that of the same job is under way, all hosts are asked once more, as
 * the job may have been submitted since. */
void job_cancellations_add (job_cancellations_t *cancellations,
                            const job_cancellation_request_t *request,
                            int64_t now_ms,
                            GArray *actions);

/* HOST has ended JOB, or does not have it.  FOR_ALL: it is a hub that confirms for all hosts. */
void job_cancellations_confirm (job_cancellations_t *cancellations,
                                const char *job,
                                const char *host,
                                bool for_all,
                                bool found,
                                GArray *actions);

/* A connection to HOST, which may be a new host, was opened. */
void
job_cancellations_connected (job_cancellations_t *cancellations, const char *host, GArray *actions);

/* JOB was ended at this host at NOW_MS because another host has sent its cancellation. */
void job_cancellations_ended (job_cancellations_t *cancellations, const char *job, int64_t now_ms);

/* Whether that was so a short time ago, so that a cancellation that is sent again is not answered
 * as if the job had not been here. */
bool
job_cancellations_was_ended (job_cancellations_t *cancellations, const char *job, int64_t now_ms);

/* WAITER needs no answer any more; no-op if it has one. */
void job_cancellations_forget (job_cancellations_t *cancellations, const void *waiter);

/* Sends again, and answers, where that is due.  Call every few milliseconds. */
void job_cancellations_step (job_cancellations_t *cancellations, int64_t now_ms, GArray *actions);

#endif
