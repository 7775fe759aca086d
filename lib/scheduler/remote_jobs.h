/* remote_jobs.h -- jobs whose tasks may be running for another coordinator
 *
 * A caller may send its job again at another host while the first one still runs it.  Each host
 * therefore announces jobs that stay open for some time, and this is what a host has heard of the
 * others.  An entry tells who has the job, and until when its runs may go on: for as long as the
 * job is open there, or until a known time after it has ended early or its host was restarted.
 * That its host is not heard ends no run: the host may be cut off together with the owners and the
 * endpoints that run the job.  Its runs are over once the owners say so, or some time after the
 * job's deadline.  A job
 * has an entry for each host that has it: the one that runs it, and others at which requests wait.
 * Jobs that this host itself has ended early are kept as well, under its own name.
 *
 * Pure.  Times are milliseconds of the boot clock.  Ids are copied, host names are interned.  Not
 * thread-safe.
 */
#ifndef SCHEDULER_REMOTE_JOBS_H
#define SCHEDULER_REMOTE_JOBS_H

#include "scheduler/job_status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* While so many jobs are known, further ones are not recorded. */
#define REMOTE_JOBS_MAX 65536

typedef struct remote_jobs_t remote_jobs_t;

typedef struct
{
  const char *host;        /* interned */
  int64_t learned_at_ms;   /* the last time that HOST, or a relay, told of the job */
  int64_t over_at_ms;      /* its runs have certainly ended by then; INT64_MAX while it is open */
  int64_t expires_at_ms;   /* the entry is forgotten then */
  job_evidence_t evidence; /* of OVER_AT_MS */
  bool unheard;            /* its host is not heard: it can't tell the end of the job */
  bool runs;               /* its host has said last that it runs the job */
  int64_t asked_at_ms;     /* the last time that its host asked for the job, as it waits; 0 if it
                              has not since it ran it */
} remote_job_t;

remote_jobs_t *remote_jobs_new (void);
void remote_jobs_free (remote_jobs_t *jobs);

/* HOST has the job with ID, and nobody waits for it there after DEADLINE_AT_MS.  If it is not known
 * that it RUNS, it may run all the same.  Returns false if there is no place for it. */
bool remote_jobs_open (remote_jobs_t *jobs,
                       const char *id,
                       const char *host,
                       bool runs,
                       int64_t deadline_at_ms,
                       int64_t now_ms);

/* HOST, which has the job with ID, asks for it: it waits for the end of the job elsewhere. */
void remote_jobs_asked (remote_jobs_t *jobs, const char *id, const char *host, int64_t now_ms);

/* Ends the entries of the job with ID that are open. */
void remote_jobs_end_open (remote_jobs_t *jobs, const char *id);

/* HOST has ended the job with ID, by EVIDENCE; its runs may go on until OVER_AT_MS. */
void remote_jobs_ended (remote_jobs_t *jobs,
                        const char *id,
                        const char *host,
                        job_evidence_t evidence,
                        int64_t over_at_ms,
                        int64_t now_ms);

/* HOST is not heard any more. */
void remote_jobs_host_lost (remote_jobs_t *jobs, const char *host);

/* The same for the job with ID alone, about which HOST does not answer questions. */
void remote_jobs_host_silent (remote_jobs_t *jobs, const char *id, const char *host);

/* The process of HOST that had jobs is gone; all its runs have ended by OVER_AT_MS. */
void remote_jobs_host_restarted (remote_jobs_t *jobs, const char *host, int64_t over_at_ms);

/* Calls FUNCTION for each entry of a job whose runs may go on, with its id; an open one gets no
 * answer there after DEADLINE_AT_MS. */
void remote_jobs_foreach (
    const remote_jobs_t *jobs,
    int64_t now_ms,
    void (*function) (const char *id, const remote_job_t *job, int64_t deadline_at_ms, void *data),
    void *data);

/* Returns the entry of the job with ID of a host that runs it, or whose runs may go on at NOW_MS;
 * else that of one that may run it; else that of one that waits; of several, the last to be added.
 * NULL if there is none.  Valid until the next call. */
const remote_job_t *remote_jobs_find (const remote_jobs_t *jobs, const char *id, int64_t now_ms);

/* Returns the entry of the job with ID of HOST; NULL if there is none.  Valid until the next call.
 */
const remote_job_t *
remote_jobs_find_host (const remote_jobs_t *jobs, const char *id, const char *host, int64_t now_ms);

/* Calls FUNCTION for each entry of the job with ID. */
void remote_jobs_foreach_host (const remote_jobs_t *jobs,
                               const char *id,
                               int64_t now_ms,
                               void (*function) (const remote_job_t *job, void *data),
                               void *data);

/* Returns the least name of the hosts other than SELF that have the job with ID, if all of them
 * wait and have asked for it since ASKED_SINCE_MS; NULL if there is none, or if one may run it or
 * its runs may go on.  Interned. */
const char *remote_jobs_first_waiting (const remote_jobs_t *jobs,
                                       const char *id,
                                       const char *self,
                                       int64_t asked_since_ms,
                                       int64_t now_ms);

/* Until when runs of the job with ID for HOST may go on; NOW_MS if they have ended. */
int64_t
remote_jobs_over_at (const remote_jobs_t *jobs, const char *id, const char *host, int64_t now_ms);

/* Forgets the entries whose time is over. */
void remote_jobs_expire (remote_jobs_t *jobs, int64_t now_ms);

#endif
