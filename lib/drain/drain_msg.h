/* drain_msg.h -- the codec of the messages that exchange the set of drained data centres
 *
 * Times are sent as ages in milliseconds, since the boot clocks of hosts differ.  Functions that
 * write return a whole frame, which the caller unrefs.  Functions that read return 0, or
 * ERROR_PROTOCOL for anything but a valid message.
 */
#ifndef DRAIN_DRAIN_MSG_H
#define DRAIN_DRAIN_MSG_H

#include "drain/drain.h"
#include "wire/frame.h"

typedef enum
{
  DRAIN_MSG_SET_REQUEST = FRAME_DRAIN_FIRST, /* requests the receiver's set */
  DRAIN_MSG_SET,                             /* the whole set with its end offset */
  DRAIN_MSG_RUNNING_TASKS /* number of tasks that still run in a drained data centre */
} drain_msg_t;

/* Most entries in a message. */
#define DRAIN_ENTRIES_MAX 1024

GBytes *drain_msg_set_request (void);

/* Writes the whole set, which must be initialised. */
GBytes *drain_msg_set (const drains_t *drains, int64_t now_ms);
/* Appends drain_t to LISTED, also on failure.  The caller frees each data_centre (g_free). */
int drain_msg_read_set (frame_reader_t *reader, int64_t now_ms, GArray *listed, uint64_t *end);

/* Sent by the owner of the endpoints of DATA_CENTRE. */
GBytes *drain_msg_running_tasks (const char *data_centre, int32_t running_tasks);
/* The caller frees *DATA_CENTRE with g_free (); it is NULL after an error. */
int
drain_msg_read_running_tasks (frame_reader_t *reader, char **data_centre, int32_t *running_tasks);

#endif
