/* event.h -- the closed list of events that a site's hosts log, one JSON object a line
 *
 * A line is begun, given its fields in any order, and ended:
 *
 *   if (event_begin (EVENT_HOST_LOST))
 *     {
 *       event_add_text ("host", host);
 *       event_add_number ("silent_ms", silent_ms);
 *       event_end ();
 *     }
 *
 * Lines go to standard output and never block: what the reader does not take waits in
 * a bounded buffer, and what does not fit there is left out.  Routine events also have a budget
 * of lines a second.  What was left out is told by a line of its own.  Single thread.
 */
#ifndef BASE_EVENT_H
#define BASE_EVENT_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  /* The process and what it depends on. */
  EVENT_STARTED,
  EVENT_STOPPING,
  EVENT_STOPPED,
  EVENT_RELOADED,
  EVENT_STOOD_STILL,
  EVENT_LOG_LOST,
  EVENT_LOG_REGAINED,
  EVENT_LINES_LEFT_OUT,
  /* What it believes. */
  EVENT_CONFIGURATION,
  EVENT_CONFIGURATION_INVALID,
  EVENT_HOST_FOUND,
  EVENT_HOST_LOST,
  EVENT_SHARD_CLAIMED,
  EVENT_SHARD_YIELDED,
  EVENT_SHARD_OWNER,
  EVENT_DRAIN_BEGUN,
  EVENT_DRAIN_ENDED,
  EVENT_DRAIN_SENT_AWAY,
  EVENT_ENDPOINT_FOUND,
  EVENT_ENDPOINT_LEAVING,
  EVENT_ENDPOINT_GONE,
  EVENT_ENDPOINT_INVALID,
  EVENT_ENDPOINT_SILENT,
  EVENT_ENDPOINT_HEARD,
  EVENT_ENDPOINT_REBORN,
  EVENT_ENDPOINT_EJECTED,
  EVENT_ENDPOINT_READMITTED,
  EVENT_ENDPOINT_SHUT_OUT,
  /* Jobs at their coordinator. */
  EVENT_JOB_TAKEN,
  EVENT_JOB_UNREADY,
  EVENT_JOB_UNROUTED,
  EVENT_JOB_CANCEL,
  EVENT_JOB_INVALID,
  EVENT_JOB_UNSUPPORTED,
  EVENT_JOB_ANSWERED,
  EVENT_JOB_MISSED, /* answered, but not complete and in time */
  EVENT_JOB_ABANDONED,
  EVENT_BATCH_SENT,
  EVENT_BATCH_MOVED,
  EVENT_BATCH_STALE,
  /* Tasks at the owner of their endpoint. */
  EVENT_TASK_STARTED,
  EVENT_TASK_DOUBTFUL,
  EVENT_TASK_DONE,
  EVENT_TASK_FAILED,
  EVENT_TASK_LAPSED,
  EVENT_TASK_HUNG,
  EVENT_TASK_MOVED,
  EVENT_TASK_CUT, /* stopped at work, its job has ended */
  EVENT_TASK_RETURNED,
  EVENT_TASK_EXPIRED,
  EVENT_TASK_ADOPTED,
  EVENT_ORDER_REFUSED,
  EVENT_ORDER_UNANSWERED,
  EVENT_LAST = EVENT_ORDER_UNANSWERED
} event_t;

typedef enum
{
  EVENT_CLASS_ROUTINE, /* counted instead of written once there are many */
  EVENT_CLASS_PROBLEM, /* a request is worse off */
  EVENT_CLASS_STATE    /* what the process believes, or the process itself */
} event_class_t;

typedef struct
{
  event_t event;
  event_class_t class;
  const char *name;
  const char *fields;           /* names, separated by spaces, beside `at`, `host_id` and `event` */
  const char *message_template; /* for people; {NAME} stands for a field */
} event_row_t;

const event_row_t *event_row (event_t event);
/* The row with NAME, or NULL. */
const event_row_t *event_from_name (const char *name);

/* HOST is added to each line and must last. */
void event_setup (const char *host);

/* Begins a line.  Returns false if it is to be left out: then nothing more is called. */
bool event_begin (event_t event);
void event_add_text (const char *field, const char *value);
void event_add_number (const char *field, int64_t value);
void event_end (void);

/* Writes what the reader takes.  Call every few milliseconds; does nothing if nothing waits. */
void event_flush (int64_t now_ms);

/* Lines written and left out, of all events. */
int64_t event_written_count (void);
int64_t event_dropped_count (void);

#endif
