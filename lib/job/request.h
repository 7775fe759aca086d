/* request.h -- a submission, parsed from a caller's JSON and validated
 *
 * A request is immutable and reference-counted; any thread may read it.
 */
#ifndef JOB_REQUEST_H
#define JOB_REQUEST_H

#include "base/hash.h"

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Limit of tasks in one job. */
#define JOB_TASKS_MAX 510
#define JOB_KEY_MAX_BYTES 128
/* Limit of the names of customers, kinds, data centres and tasks. */
#define JOB_NAME_MAX_BYTES 128

typedef struct
{
  char *id;
  GBytes *body;      /* sent to the endpoint unchanged */
  int32_t cores;     /* 0 if not given */
  int64_t memory_mb; /* 0 if not given */
} job_task_t;

typedef struct
{
  atomic_int refs;
  char *key;
  hash_digest_t digest; /* of the unparsed body */
  char *customer;
  char *kind;
  char *home;             /* data centre whose hosts keep the key's replicas, or NULL */
  int64_t issued_at_ms;   /* wall clock */
  int64_t deadline_at_ms; /* wall clock */
  bool repeatable;        /* a task may run more than once */
  job_task_t *tasks;
  uint32_t task_count;
} job_request_t;

/* True if KEY (may be NULL) is a valid idempotency key: 1 to JOB_KEY_MAX_BYTES
 * visible ASCII characters. */
bool job_key_is_valid (const char *key);

/* Parses BODY, submitted with KEY, which must be valid.  On success returns 0 and
 * sets *REQUEST (job_request_unref).  Otherwise returns ERROR_BAD_REQUEST or
 * ERROR_TOO_LARGE and sets *MESSAGE to one sentence that names the invalid field
 * (g_free). */
int job_request_parse (const char *key, GBytes *body, job_request_t **request, char **message);

job_request_t *job_request_ref (job_request_t *request);
/* REQUEST may be NULL. */
void job_request_unref (job_request_t *request);

#endif
