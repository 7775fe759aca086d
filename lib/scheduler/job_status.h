/* job_status.h -- what coordinators tell each other about a job
 *
 * Plain data.  Times are milliseconds of the boot clock of the host that holds the status.
 */
#ifndef SCHEDULER_JOB_STATUS_H
#define SCHEDULER_JOB_STATUS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  JOB_STATUS_OPEN,      /* it runs, and is answered by UNTIL_MS */
  JOB_STATUS_WAITING,   /* a request waits for its end at another host, until UNTIL_MS */
  JOB_STATUS_STOPPED,   /* it runs no more, but its runs may end as late as UNTIL_MS */
  JOB_STATUS_COMPLETE,  /* all tasks are done */
  JOB_STATUS_FAILED,    /* answered as failed */
  JOB_STATUS_CANCELLED, /* by its caller */
  JOB_STATUS_LAST = JOB_STATUS_CANCELLED
} job_status_kind_t;

typedef struct
{
  const char *id; /* of the job */
  job_status_kind_t kind;
  int64_t until_ms; /* 0 for the last three kinds */
} job_status_t;

/* What a registrar knows of a job that another host registers (job_registry.c): HOST has it too. */
typedef struct
{
  const char *host;
  job_status_kind_t kind; /* JOB_STATUS_OPEN, JOB_STATUS_WAITING or JOB_STATUS_STOPPED */
  int64_t until_ms;       /* as in job_status_t */
  bool unheard;           /* the registrar does not hear HOST */
} job_claim_t;

/* What a host rests on when it says until when the runs of a job elsewhere may go on. */
typedef enum
{
  JOB_EVIDENCE_TOLD,           /* the other host has told of the job */
  JOB_EVIDENCE_HOST_RESTARTED, /* a later process of the other host is heard */
  JOB_EVIDENCE_OWNERS,         /* the other host is not heard, and no owner has a run of the job */
  JOB_EVIDENCE_DEADLINE /* the other host is not heard, and the job's deadline there has passed */
} job_evidence_t;

/* Empties an array of job_status_t that owns their ids, and frees these. */
void job_statuses_clear (GArray *statuses);

#endif
