/* error.h -- all error kinds and the answer to the caller for each of them
 *
 * Every function of jaytrail that can fail returns 0 (or a count) on success
 * and a negative error_kind_t on failure.  The table in error.c is the only
 * place that maps an error kind to an HTTP status, to the statement about
 * execution in the answer, and to whether the client should retry.
 *
 * The functions keep no state and may be called from any thread.  All strings
 * and rows that they return are static.
 */
#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <stdbool.h>
#include <stdint.h>

/* What an answer states about the execution of a submission. */
typedef enum
{
  /* "not_run" if two replicas have confirmed that no host has claimed the
   * idempotency key, else "may_have_run". */
  EXECUTION_NOT_RUN_IF_CONFIRMED,
  /* Always "may_have_run". */
  EXECUTION_MAY_HAVE_RUN,
  /* Always "not_run": the request contains no idempotency key, so no job can
   * have run. */
  EXECUTION_NOT_RUN
} execution_status_t;

typedef enum
{
  ERROR_NONE = 0,
  /* Returned to callers of the HTTP interface. */
  ERROR_BAD_REQUEST = -1,
  ERROR_TOO_LARGE = -2,
  ERROR_KEY_REUSED = -3,
  ERROR_UNKNOWN_CUSTOMER = -4,
  ERROR_NOT_READY = -5,
  ERROR_DRAINING = -6,
  ERROR_OVERLOADED = -7,
  ERROR_DEADLINE_UNREACHABLE = -8,
  ERROR_DEADLINE_PASSED = -9,
  ERROR_SUBMISSION_EXPIRED = -10,
  ERROR_CLOCK_AHEAD = -11,
  ERROR_HOME_UNREACHABLE = -12,
  ERROR_KEY_UNCERTAIN = -13,
  ERROR_CLAIMANT_LOST = -14,
  ERROR_ANSWER_GONE = -15,
  ERROR_TASK_FAILED = -16,
  ERROR_NEVER_FITS = -17,
  ERROR_CANCELLED = -18,
  ERROR_UNKNOWN_KEY = -19,
  ERROR_NOT_FOUND = -20,
  ERROR_METHOD_NOT_ALLOWED = -21,
  ERROR_PLAN_LIMIT = -22,
  ERROR_INTERNAL = -23,
  /* Used between modules only, or mapped to an exit status by the command-line
   * tool. */
  ERROR_TIMEOUT = -24,
  ERROR_IO = -25,
  ERROR_CLOSED = -26,
  ERROR_PROTOCOL = -27,
  ERROR_FULL = -28,
  ERROR_BAD_FILE = -29,
  ERROR_STALE_BASE = -30,
  ERROR_LOST_RACE = -31,
  ERROR_UNKNOWN_OUTCOME = -32,
  ERROR_NOT_CONNECTED = -33,
  ERROR_LAST = -33
} error_kind_t;

/* Describes one error kind. */
typedef struct
{
  int kind;                     /* the error_kind_t */
  const char *name;             /* the "kind" member of an answer */
  uint16_t http_status;         /* status code of the response */
  execution_status_t execution; /* statement about execution */
  bool retryable;               /* a later attempt may succeed */
  const char *state;            /* the "state" member: "refused" or "failed" */
  const char *message;          /* one sentence for the caller */
} error_row_t;

/* Returns the row of KIND, or the row of ERROR_INTERNAL if KIND is not an error
 * kind.  Never returns NULL. */
const error_row_t *error_row (int kind);

/* Returns the name of KIND, or "ok" for ERROR_NONE. */
const char *error_name (int kind);

/* Returns the error kind with NAME, or ERROR_INTERNAL if there is none. */
int error_from_name (const char *name);

/* Returns the number of error kinds, which are -1 to -error_kind_count (). */
int error_kind_count (void);

#endif
