/* answer.h -- the answers that callers get, as HTTP status and JSON body
 *
 * An answer is immutable and reference-counted; any thread may read it.
 * Functions that return an answer return a reference that the caller owns.
 */
#ifndef JOB_ANSWER_H
#define JOB_ANSWER_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  atomic_int refs;
  int error;           /* error_kind_t, 0 for a complete job or a state */
  int status;          /* HTTP */
  bool not_run;        /* the body says "not_run": no task has started or will start */
  int64_t retry_at_ms; /* wall clock, 0 for none */
  GBytes *body;        /* JSON */
} job_answer_t;

/* The complete response of an endpoint to one task. */
typedef struct
{
  const char *task; /* id */
  int status;       /* HTTP */
  GByteArray *body; /* NULL if empty */
} job_result_t;

/* Returns the answer of a complete job: all COUNT results, in the job's order. */
job_answer_t *job_answer_complete (const job_result_t *results, uint32_t count);

/* Returns the answer for ERROR, built from its row in the error table.
 * CONFIRMED says that two replicas have confirmed that no host holds the key,
 * and that this host will start no task of it: kinds that depend on it may
 * answer "not_run" only then.  RETRY_AT_MS is on the wall clock, 0 for none.
 * MESSAGE may be NULL for the default message of ERROR. */
job_answer_t *
job_answer_error (int error, bool confirmed, int64_t retry_at_ms, const char *message);

/* Rebuilds an answer that was received from another host; takes BODY over. */
job_answer_t *
job_answer_from_peer (int error, int status, bool not_run, int64_t retry_at_ms, GBytes *body);

/* Returns the state of a job that has not ended: {"state":"running",...}.
 * TASKS, STARTED and DONE are numbers of tasks. */
job_answer_t *job_answer_state (const char *state, uint32_t tasks, uint32_t started, uint32_t done);

job_answer_t *job_answer_ref (job_answer_t *answer);
/* ANSWER may be NULL. */
void job_answer_unref (job_answer_t *answer);

#endif
