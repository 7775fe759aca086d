/* book.h -- what callers, endpoints and the soak itself have seen, and the checks over it
 *
 * Rows come from many threads in any order.  book_check () sorts them and goes over those that are
 * old enough; each finding is reported once.  The checks are the promises that users rely on; a
 * check that depends on time holds only where no fault was near (book_trouble ()).
 */
#ifndef SOAK_BOOK_H
#define SOAK_BOOK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct book_t book_t;

typedef enum
{
  /* In the order in which rows of one millisecond are read. */
  BOOK_END,              /* JOB, INDEX, ATTEMPT, ENDPOINT; TEXT: how */
  BOOK_ENDPOINT_GONE,    /* ENDPOINT: its process was killed */
  BOOK_ENDPOINT_PAUSED,  /* ENDPOINT */
  BOOK_ENDPOINT_LEAVING, /* ENDPOINT: its entry says so */
  BOOK_ENDPOINT_BACK,    /* ENDPOINT: started anew, not leaving */
  BOOK_SENT,             /* JOB, HOST, NUMBER of the request; TEXT: spec, INDEX: tasks */
  BOOK_START,            /* JOB, INDEX, ATTEMPT, ENDPOINT; TEXT: spec */
  BOOK_ANSWERED,         /* JOB, HOST, NUMBER of the request, STATUS; TEXT: body */
  BOOK_BROKEN,           /* JOB, HOST, NUMBER: no whole answer; TEXT: "closed" or "timeout" */
  BOOK_CANCELLED,        /* JOB, HOST, STATUS: a cancellation was answered; at its answer */
  BOOK_HOST_STOPPING,    /* HOST: asked to stop */
  BOOK_HOST_ENDED, /* HOST: its process is gone; STATUS: as wait () tells; TEXT: why it should */
  BOOK_CONFIG,     /* NUMBER: version that the log has accepted */
  BOOK_PROBED      /* HOST, ATTEMPT: its life; NUMBER: version; STATUS of the answer */
} book_kind_t;

typedef struct
{
  int64_t at_ms;
  book_kind_t kind;
  uint64_t job;
  int32_t index;
  int32_t attempt;
  int32_t host;
  int32_t endpoint;
  int32_t status;
  int64_t number;
  const char *text; /* copied */
} book_row_t;

/* The text of BOOK_BROKEN where the host does not see that its caller has left. */
#define BOOK_LEFT_UNSEEN "left unseen"

book_t *book_new (void);
void book_free (book_t *book);

/* Any thread. */
void book_add (book_t *book, const book_row_t *row);

/* A fault was at work from AT_MS to UNTIL_MS (INT64_MAX: it has not ended); returns its number, for
 * book_trouble_over (). */
int32_t book_trouble (book_t *book, int64_t at_ms);
void book_trouble_over (book_t *book, int32_t number, int64_t until_ms);

/* Reads a line of an endpoint's ledger. */
void book_ledger (book_t *book, const char *line);

/* Goes over the rows up to UNTIL_MS.  Returns how many findings there are by now; new ones are
 * printed to standard output. */
int32_t book_check (book_t *book, int64_t until_ms);

/* The host to which the job of the last start was sent, the last time that it was; -1: none.  It
 * knows of a start once book_ledger () has read it.  Any thread. */
int32_t book_last_taker (book_t *book);

/* What there was, for the summary. */
typedef struct
{
  int32_t sent;
  int32_t complete;
  int32_t failed;
  int32_t refused;
  int32_t broken;
  int32_t other;
  int32_t starts;
} book_totals_t;
book_totals_t book_totals (book_t *book);

/* Prints, for each job of which a task ran twice at one time, all that there is of it; at most a
 * few jobs.  Returns the number of such tasks.  After book_check (). */
int32_t book_print_twice (book_t *book);

/* How long runs of a job go on after a request for it ended without a whole answer (no answer, a
 * broken connection that the host sees, 504), by what its caller saw, in milliseconds. */
typedef struct
{
  int32_t requests; /* that ended so while runs of the job went on */
  int64_t half_ms;
  int64_t most_of_hundred_ms; /* 99 of 100 */
  int64_t longest_ms;
  uint64_t longest_job;
} book_stop_times_t;
book_stop_times_t book_stop_times (book_t *book);

/* Prints all that there is of JOB. */
void book_print_job (book_t *book, uint64_t job);

/* A finding from outside of the book. */
void book_find (book_t *book, const char *text);

#endif
