/* error.c -- the table that maps an error kind to the answer
 *
 * Row i describes kind -(i + 1), so that a row is found by its index.
 * error_row () asserts that the rows are in this order, and test_base checks
 * every row.
 */
#include "base/error.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#define REFUSED "refused"
#define FAILED "failed"

static const error_row_t rows[] = {
  { ERROR_BAD_REQUEST, "bad_request", 400, EXECUTION_NOT_RUN_IF_CONFIRMED, false, REFUSED,
    "The request is malformed." },
  { ERROR_TOO_LARGE, "too_large", 413, EXECUTION_NOT_RUN_IF_CONFIRMED, false, REFUSED,
    "The request exceeds a size limit." },
  { ERROR_KEY_REUSED, "key_reused", 422, EXECUTION_MAY_HAVE_RUN, false, REFUSED,
    "The idempotency key was used with another body." },
  { ERROR_UNKNOWN_CUSTOMER, "unknown_customer", 403, EXECUTION_NOT_RUN_IF_CONFIRMED, false, REFUSED,
    "The customer holds no plan." },
  { ERROR_NOT_READY, "not_ready", 503, EXECUTION_NOT_RUN_IF_CONFIRMED, true, REFUSED,
    "This host has no accepted configuration yet." },
  { ERROR_DRAINING, "draining", 503, EXECUTION_NOT_RUN_IF_CONFIRMED, true, REFUSED,
    "This host is shutting down." },
  { ERROR_OVERLOADED, "overloaded", 503, EXECUTION_NOT_RUN_IF_CONFIRMED, true, REFUSED,
    "This host has no room for another job." },
  { ERROR_DEADLINE_UNREACHABLE, "deadline_unreachable", 503, EXECUTION_NOT_RUN_IF_CONFIRMED, true,
    REFUSED, "The job cannot finish before its deadline." },
  { ERROR_DEADLINE_PASSED, "deadline_passed", 504, EXECUTION_NOT_RUN_IF_CONFIRMED, false, FAILED,
    "The deadline passed before the job was complete." },
  { ERROR_SUBMISSION_EXPIRED, "submission_expired", 410, EXECUTION_MAY_HAVE_RUN, false, REFUSED,
    "The submission was issued before the idempotency window." },
  { ERROR_CLOCK_AHEAD, "clock_ahead", 400, EXECUTION_NOT_RUN_IF_CONFIRMED, false, REFUSED,
    "issued_at_ms is too far ahead of this host's clock." },
  { ERROR_HOME_UNREACHABLE, "home_unreachable", 503, EXECUTION_MAY_HAVE_RUN, true, REFUSED,
    "The key's home data centre cannot be asked." },
  { ERROR_KEY_UNCERTAIN, "key_uncertain", 503, EXECUTION_MAY_HAVE_RUN, false, FAILED,
    "The hosts that remembered the key were lost." },
  { ERROR_CLAIMANT_LOST, "claimant_lost", 502, EXECUTION_MAY_HAVE_RUN, false, FAILED,
    "The host that ran the job is gone." },
  { ERROR_ANSWER_GONE, "answer_gone", 410, EXECUTION_MAY_HAVE_RUN, false, FAILED,
    "The job has ended and its answer is no longer kept." },
  { ERROR_TASK_FAILED, "task_failed", 502, EXECUTION_MAY_HAVE_RUN, false, FAILED,
    "A task failed." },
  { ERROR_NEVER_FITS, "never_fits", 422, EXECUTION_NOT_RUN_IF_CONFIRMED, false, REFUSED,
    "No endpoint is large enough for a task." },
  { ERROR_CANCELLED, "cancelled", 409, EXECUTION_NOT_RUN_IF_CONFIRMED, false, FAILED,
    "The job was cancelled." },
  /* May have run: the key is forgotten when its idempotency window ends. */
  { ERROR_UNKNOWN_KEY, "unknown_key", 404, EXECUTION_MAY_HAVE_RUN, false, REFUSED,
    "No job with this key is known." },
  { ERROR_NOT_FOUND, "not_found", 404, EXECUTION_NOT_RUN, false, REFUSED,
    "There is no such resource." },
  { ERROR_METHOD_NOT_ALLOWED, "method_not_allowed", 405, EXECUTION_NOT_RUN, false, REFUSED,
    "The resource does not take this method." },
  { ERROR_PLAN_LIMIT, "plan_limit", 429, EXECUTION_NOT_RUN_IF_CONFIRMED, true, REFUSED,
    "The plan's limit leaves no room for the job before its deadline." },
  { ERROR_INTERNAL, "internal", 500, EXECUTION_MAY_HAVE_RUN, false, FAILED,
    "An internal error occurred." },
  { ERROR_TIMEOUT, "timeout", 504, EXECUTION_MAY_HAVE_RUN, true, FAILED,
    "An operation timed out." },
  { ERROR_IO, "io", 502, EXECUTION_MAY_HAVE_RUN, true, FAILED, "Input or output failed." },
  { ERROR_CLOSED, "closed", 502, EXECUTION_MAY_HAVE_RUN, true, FAILED,
    "The connection was closed." },
  { ERROR_PROTOCOL, "protocol", 502, EXECUTION_MAY_HAVE_RUN, false, FAILED,
    "A peer sent a bad message." },
  { ERROR_FULL, "full", 503, EXECUTION_MAY_HAVE_RUN, true, FAILED, "A bounded table is full." },
  { ERROR_BAD_FILE, "bad_file", 400, EXECUTION_NOT_RUN, false, REFUSED, "A file is not valid." },
  { ERROR_STALE_BASE, "stale_base", 409, EXECUTION_NOT_RUN, false, REFUSED,
    "The edit was made on an older revision." },
  { ERROR_LOST_RACE, "lost_race", 409, EXECUTION_NOT_RUN, false, REFUSED,
    "Another edit of the same entry won." },
  { ERROR_UNKNOWN_OUTCOME, "unknown_outcome", 504, EXECUTION_NOT_RUN, true, FAILED,
    "The outcome of the edit is not known." },
  { ERROR_NOT_CONNECTED, "not_connected", 502, EXECUTION_NOT_RUN_IF_CONFIRMED, true, FAILED,
    "No connection could be made." },
};

#define ROW_COUNT ((int) (sizeof rows / sizeof rows[0]))

int
error_kind_count (void)
{
  return ROW_COUNT;
}

const error_row_t *
error_row (int kind)
{
  if (kind >= 0 || kind < ERROR_LAST)
    kind = ERROR_INTERNAL;
  const error_row_t *row = &rows[-kind - 1];
  assert (row->kind == kind);
  return row;
}

const char *
error_name (int kind)
{
  return kind == ERROR_NONE ? "ok" : error_row (kind)->name;
}

int
error_from_name (const char *name)
{
  for (int i = 0; i < ROW_COUNT; i++)
    if (strcmp (rows[i].name, name) == 0)
      return rows[i].kind;
  return ERROR_INTERNAL;
}
