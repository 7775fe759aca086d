/* request.h -- a submission: read from a caller's JSON and checked
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

#define JOB_TASKS_MAX 510
#define JOB_KEY_MAX_BYTES 128
#define JOB_NAME_MAX_BYTES 128

typedef struct
{
  char *id;
  GBytes *body;
  int32_t cores;
  int64_t memory_mb;
} job_task_t;

typedef struct
{
  atomic_int refs;
  char *key;
  hash_digest_t digest; /* of the body as it came */
  char *customer;
  char *kind;
  char *home;             /* data centre that remembers the key, or NULL */
  int64_t issued_at_ms;   /* wall clock */
  int64_t deadline_at_ms; /* wall clock */
  bool repeatable;
  job_task_t *tasks;
  uint32_t task_count;
} job_request_t;

/* Checks an idempotency key: 1..JOB_KEY_MAX_BYTES visible ASCII characters. */
bool job_key_valid (const char *key);

/* Reads BODY, submitted under KEY.  Returns 0 and *REQUEST
 * (job_request_unref), or ERROR_BAD_REQUEST or ERROR_TOO_LARGE with *MESSAGE:
 * one sentence that names the field (g_free). */
int job_request_parse (const char *key, GBytes *body, job_request_t **request, char **message);

job_request_t *job_request_ref (job_request_t *request);
void job_request_unref (job_request_t *request);

#endif
