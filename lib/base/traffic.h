/* traffic.h -- messages and bytes that a host sends and receives, by kind of message
 *
 * A traffic_t holds sums since the start of the process; whoever sends or receives a message adds
 * to them.  A traffic_watch_t divides them into seconds, and says which seconds deserve a line in
 * the log.  Bytes are those of the messages, with HTTP headers and the length prefixes of frames,
 * but without the headers of TCP and IP.  A message counts as sent when it is handed to its
 * connection, although it may wait there.
 *
 * No function takes a lock or reads a clock: all calls for one object must be made by one thread.
 * Times are milliseconds of the boot clock.
 */
#ifndef BASE_TRAFFIC_H
#define BASE_TRAFFIC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  /* Frames between hosts. */
  TRAFFIC_OTHER, /* of a type that this version does not know */
  TRAFFIC_SUBMIT,
  TRAFFIC_CANCEL,
  TRAFFIC_TASK_ENDS,
  TRAFFIC_CANCELLED,
  TRAFFIC_OFFER,
  TRAFFIC_RELEASE,
  TRAFFIC_CANCEL_JOB,
  TRAFFIC_ENDPOINT,
  TRAFFIC_ENDPOINT_REMOVED,
  TRAFFIC_RESYNC,
  TRAFFIC_LOSSES,
  TRAFFIC_JOB_STATUS,
  TRAFFIC_HEARTBEAT,
  TRAFFIC_CONFIG_REQUEST,
  TRAFFIC_CONFIG,
  TRAFFIC_HOSTS,
  TRAFFIC_DRAINS_REQUEST,
  TRAFFIC_DRAINS,
  TRAFFIC_DRAINED_TASKS,
  /* Calls to endpoints: requests are sent and answers received. */
  TRAFFIC_START,
  TRAFFIC_STOP,
  TRAFFIC_POLL,
  TRAFFIC_PROBE,
  /* Calls to the platform's log, likewise. */
  TRAFFIC_LOG,
  /* Requests, which are received, and their answers: of callers, and at the ready address. */
  TRAFFIC_CALLER,
  TRAFFIC_READY,
  TRAFFIC_KINDS, /* the number of kinds */
  TRAFFIC_ENDPOINT_FIRST = TRAFFIC_START,
  TRAFFIC_ENDPOINT_LAST = TRAFFIC_PROBE
} traffic_kind_t;

typedef struct
{
  int64_t messages;
  int64_t bytes;
} traffic_sum_t;

typedef struct
{
  traffic_sum_t sent;
  traffic_sum_t received;
  int64_t unanswered;  /* calls that were not answered by their deadline */
  int64_t connections; /* opened for calls */
} traffic_count_t;

typedef struct
{
  traffic_count_t kinds[TRAFFIC_KINDS];
} traffic_t;

/* Returns the static name of KIND in metrics. */
const char *traffic_kind_name (traffic_kind_t kind);

/* Adds a message of BYTES to SUM. */
static inline void
traffic_add (traffic_sum_t *sum, size_t bytes)
{
  sum->messages++;
  sum->bytes += (int64_t) bytes;
}

/* What a host did within one second. */
typedef struct
{
  int64_t sent_bytes;
  int64_t received_bytes;
  int64_t unsent_bytes;  /* the largest that was observed */
  int64_t loop_delay_ms; /* the largest lateness of a tick */
  int64_t unanswered;    /* calls to endpoints */
  int64_t connections;   /* opened to endpoints */
} traffic_second_t;

typedef struct
{
  int64_t tick_ms;          /* interval of the ticks */
  int64_t ticked_at_ms;     /* 0 before the first tick */
  int64_t ends_at_ms;       /* end of the present second */
  traffic_second_t start;   /* sums at the start of the present second */
  traffic_second_t present; /* the maxima of the present second */
  traffic_second_t last;    /* the last whole second */
} traffic_watch_t;

/* Observes a tick at NOW_MS.  Returns true once a second: then WATCH->last is new. */
bool traffic_watch_tick (traffic_watch_t *watch, const traffic_t *traffic, int64_t now_ms);

/* Observes that UNSENT_BYTES wait in connections. */
void traffic_watch_unsent (traffic_watch_t *watch, int64_t unsent_bytes);

/* Returns whether calls stayed without an answer in SECOND, or the loop was late for so long, or so
 * much waited to be sent, that they may have done so for that reason. */
bool traffic_is_notable (const traffic_second_t *second);

#endif
