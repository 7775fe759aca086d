/* error.h -- the closed list of error kinds and the answer that each one gives
 *
 * Every function of jaytrail that can fail returns 0 (or a count) on success
 * and a negative error_kind_t on failure.  The table behind this header is the only
 * place that maps a kind to an HTTP status, to what may be said about
 * execution, and to whether a client should retry.
 *
 * All functions here are pure and may be called from any thread.
 */
#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <stdbool.h>
#include <stdint.h>

/* What an answer may claim about the execution of a submission. */
typedef enum
{
  /* "not_run" once two replicas have confirmed that nobody holds the key;
   * "may_have_run" until then. */
  EXECUTION_NOT_RUN_IF_CONFIRMED,
  /* Always "may_have_run". */
  EXECUTION_MAY_HAVE_RUN,
  /* Always "not_run": the request names no key, so nothing can have run. */
  EXECUTION_NOT_RUN
} execution_status_t;

typedef enum
{
  ERROR_NONE = 0,
  /* Kinds that callers see. */
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
  /* Kinds that stay inside, or that the tool turns into an exit status. */
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

/* One row of the table. */
typedef struct
{
  int kind;                     /* the negative number */
  const char *name;             /* as in the "kind" member of an answer */
  uint16_t http_status;         /* HTTP status */
  execution_status_t execution; /* what may be said about execution */
  bool retryable;               /* a later attempt may succeed */
  const char *state;            /* "refused" or "failed" */
  const char *message;          /* one sentence for the caller */
} error_row_t;

/* Returns the row of KIND; the row of ERROR_INTERNAL for a number that is not
 * in the list.  Never NULL; the row is static. */
const error_row_t *error_row (int kind);

/* Returns the name of KIND, "ok" for ERROR_NONE. */
const char *error_name (int kind);

/* Finds the kind with the given NAME.  Returns ERROR_INTERNAL if there is none. */
int error_from_name (const char *name);

/* Number of rows, for walking the table: kinds are -1 .. -error_kind_count (). */
int error_kind_count (void);

#endif
