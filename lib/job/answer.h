/* answer.h -- the answers that callers get, as HTTP status and JSON body
 *
 * An answer is immutable and reference-counted; any thread may read it.
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
  int error;  /* 0 for a complete job */
  int status; /* HTTP */
  bool not_run;
  int64_t retry_at_ms; /* wall clock, 0 for none */
  GBytes *body;
} job_answer_t;

/* One task's whole answer. */
typedef struct
{
  const char *task;
  int status;
  GByteArray *body;
} job_result_t;

/* All COUNT results, in the job's order. */
job_answer_t *job_answer_complete (const job_result_t *results, uint32_t count);

/* The answer of ERROR by the table of error kinds.  CONFIRMED says that two
 * replicas have confirmed that nobody holds the key and this host starts
 * nothing: only then "not_run" may be said.  RETRY_AT_MS is on the wall clock,
 * 0 for none.  MESSAGE may be NULL for the kind's own sentence. */
job_answer_t *
job_answer_error (int error, bool confirmed, int64_t retry_at_ms, const char *message);

/* Rebuilds an answer that came from another host; takes BODY over. */
job_answer_t *
job_answer_from_peer (int error, int status, bool not_run, int64_t retry_at_ms, GBytes *body);

/* The state of a job that has not ended: {"state":"running",...}. */
job_answer_t *job_answer_state (const char *state, uint32_t tasks, uint32_t started, uint32_t done);

job_answer_t *job_answer_ref (job_answer_t *answer);
void job_answer_unref (job_answer_t *answer);

#endif
