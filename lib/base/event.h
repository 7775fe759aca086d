/* event.h -- the event log of a host: one JSON object per line on standard output
 *
 * All events and their fields are listed in event.c.  A caller begins a line,
 * adds the fields of the event in any order, and ends the line:
 *
 *   if (event_begin (EVENT_HOST_LOST))
 *     {
 *       event_add_text ("host", host);
 *       event_add_number ("silent_ms", silent_ms);
 *       event_end ();
 *     }
 *
 * Writing never blocks.  Lines that the reader of standard output has not yet
 * taken are kept in bounded buffers; if its buffer is full, a further line is
 * dropped.  The number of lines per second is limited as well, with a lower
 * limit for routine events.  Dropped lines are counted and reported by
 * EVENT_LINES_LEFT_OUT.
 *
 * All functions must be called by one thread.
 */
#ifndef BASE_EVENT_H
#define BASE_EVENT_H

#include <stdbool.h>
#include <stdint.h>

/* Each enumerator has the name under which the event is logged. */
typedef enum
{
  /* State of the process and of the platform's log. */
  EVENT_STARTED,
  EVENT_STOPPING,
  EVENT_STOPPED,
  EVENT_RELOADED,
  EVENT_STOOD_STILL,
  EVENT_TRAFFIC,
  EVENT_CLIENTS_LIMITED,
  EVENT_LOG_LOST,
  EVENT_LOG_REGAINED,
  EVENT_LINES_LEFT_OUT,
  /* Changes of the host's view of the configuration, other hosts, shards, drains and
   * endpoints. */
  EVENT_CONFIGURATION,
  EVENT_CONFIGURATION_INVALID,
  EVENT_HOST_FOUND,
  EVENT_HOST_LOST,
  EVENT_DATA_CENTRE_UNREACHED,
  EVENT_DATA_CENTRE_REACHED,
  EVENT_SHARD_CLAIMED,
  EVENT_SHARD_YIELDED,
  EVENT_SHARD_OWNER,
  EVENT_DRAIN_BEGUN,
  EVENT_DRAIN_ENDED,
  EVENT_DRAIN_SENT_AWAY,
  EVENT_ENDPOINT_FOUND,
  EVENT_ENDPOINT_LEAVING,
  EVENT_ENDPOINT_CAPACITY,
  EVENT_ENDPOINT_GONE,
  EVENT_ENDPOINT_INVALID,
  EVENT_ENDPOINT_SILENT,
  EVENT_ENDPOINT_HEARD,
  EVENT_ENDPOINT_REBORN,
  EVENT_ENDPOINT_EJECTED,
  EVENT_ENDPOINT_READMITTED,
  EVENT_ENDPOINT_SHUT_OUT,
  /* Jobs, logged by their coordinator. */
  EVENT_JOB_TAKEN,
  EVENT_JOB_UNREADY,
  EVENT_JOB_STALE,
  EVENT_JOB_UNROUTED,
  EVENT_JOB_CANCEL,
  EVENT_JOB_INVALID,
  EVENT_JOB_UNSUPPORTED,
  EVENT_JOB_ANSWERED,
  EVENT_JOB_REPEATED, /* answered without a run, as it had ended before */
  EVENT_JOB_MISSED,   /* answered late or incomplete */
  EVENT_JOB_FAILED,   /* why it was answered as failed */
  EVENT_JOB_ABANDONED,
  EVENT_JOB_ELSEWHERE, /* another host runs it, or has run it */
  EVENT_JOB_STARTS,    /* it starts although this process, or a cut, is young */
  EVENT_JOB_GOES_ON,   /* it is open for so long that its caller may send it again */
  EVENT_BATCH_SENT,
  EVENT_BATCH_MOVED,
  EVENT_BATCH_STALE,
  /* Tasks, logged by the owner of their endpoint. */
  EVENT_TASK_STARTED,
  EVENT_TASK_DOUBTFUL,
  EVENT_TASK_DONE,
  EVENT_TASK_FAILED,
  EVENT_TASK_LAPSED,
  EVENT_TASK_CRASH_SUSPECTED,
  EVENT_TASK_CRASH_CONFIRMED,
  EVENT_TASK_CRASH_WITHDRAWN,
  EVENT_TASK_CRASH_GIVEN_UP,
  EVENT_TASK_HUNG,
  EVENT_TASK_MOVED,
  EVENT_TASK_CUT, /* stopped while running because its job had ended */
  EVENT_TASK_RETURNED,
  EVENT_TASK_EXPIRED,
  EVENT_TASK_ADOPTED,
  EVENT_RUN_UNCLAIMED,
  EVENT_STOP_ORDERED,
  EVENT_RUN_AT_RESTART,
  EVENT_ORDER_REFUSED,
  EVENT_ORDER_UNANSWERED,
  EVENT_LAST = EVENT_ORDER_UNANSWERED
} event_t;

/* The documentation and the counts in EVENT_LINES_LEFT_OUT call these classes
 * routine, trouble, belief and order. */
typedef enum
{
  EVENT_CLASS_ROUTINE, /* ordinary decision; dropped first under load */
  EVENT_CLASS_PROBLEM, /* a job or task is delayed, refused or lost */
  EVENT_CLASS_STATE,   /* the process, or its view of the deployment, has changed */
  EVENT_CLASS_ORDER,   /* what a run is stopped for, or started in spite of; with a limit of its
                          own */
  EVENT_CLASS_COUNT
} event_class_t;

typedef struct
{
  event_t event;
  event_class_t class;
  const char *name;
  const char *fields; /* names, separated by spaces, in addition to `at`, `host_id` and `event` */
  const char *message_template; /* description for operators; {NAME} is replaced by that field */
} event_row_t;

/* Returns the static row of EVENT. */
const event_row_t *event_row (event_t event);

/* Returns the static row of the event with NAME, or NULL if there is none. */
const event_row_t *event_from_name (const char *name);

/* Enables the event log.  HOST is written as `host_id` in each line; it is not
 * copied and must remain valid.  Before this call all lines are discarded without being counted. */
void event_setup (const char *host);

/* Begins a line.  Returns false if the line is dropped; the caller must then add
 * no fields and must not call event_end (). */
bool event_begin (event_t event);

/* Add a field to the current line.  VALUE is escaped, and bytes in it that are not
 * UTF-8 are replaced; NULL is written as an empty string. */
void event_add_text (const char *field, const char *value);
void event_add_number (const char *field, int64_t value);

/* Ends the current line. */
void event_end (void);

/* Writes buffered lines as far as possible without blocking, at most every 50 ms
 * unless there are lines about orders, and reports dropped lines once a second.  Call every few
 * milliseconds; NOW_MS is on the boot clock. */
void event_flush (int64_t now_ms);

/* Return the number of lines added to the buffer and dropped since the process
 * started. */
int64_t event_written_count (void);
int64_t event_dropped_count (void);

#endif
