/* drain_msg.h -- the messages by which hosts tell each other what is drained
 *
 * Times cross hosts as milliseconds before now, since boot clocks differ.  A reader returns
 * ERROR_PROTOCOL for anything but a whole valid message.
 */
#ifndef DRAIN_DRAIN_MSG_H
#define DRAIN_DRAIN_MSG_H

#include "drain/drain.h"
#include "wire/frame.h"

typedef enum
{
  DRAIN_MSG_PULL = FRAME_DRAIN_FIRST, /* asks for the set */
  DRAIN_MSG_SET,                      /* the whole set with its end */
  DRAIN_MSG_RUNS                      /* how many tasks still run in a drained data centre */
} drain_msg_t;

#define DRAIN_NAMES_MAX 1024

GBytes *drain_msg_pull (void);

/* The whole set, which must be known. */
GBytes *drain_msg_set (const drains_t *drains, int64_t now_ms);
/* Appends drain_t to LISTED, whose names are the caller's (g_free), also on failure. */
int drain_msg_read_set (frame_reader_t *reader, int64_t now_ms, GArray *listed, uint64_t *end);

/* From the owner of the endpoints of NAME. */
GBytes *drain_msg_runs (const char *name, int32_t runs);
/* *NAME is the caller's (g_free). */
int drain_msg_read_runs (frame_reader_t *reader, char **name, int32_t *runs);

#endif
