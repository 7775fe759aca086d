/* burn_msg.h -- the frame that carries a source's counters to a peer */
#ifndef BURN_BURN_MSG_H
#define BURN_BURN_MSG_H

#include "burn/burn.h"
#include "wire/frame.h"

#define FRAME_BURN_COUNTS FRAME_BURN_FIRST

/* Calls SEND (frame taken over) with the buckets of SOURCE from minute SINCE
 * on, in as many frames as needed, one at least.  AS_OF_MS is how far they
 * reach. */
void burn_msg_write (const burn_source_t *source,
                     int64_t since,
                     int64_t as_of_ms,
                     void (*send) (GBytes *frame, void *data),
                     void *data);

/* Takes the counters of a frame into BURN.  Returns ERROR_PROTOCOL if it is not
 * valid, ERROR_FULL if there are too many sources. */
int burn_msg_read (burn_t *burn, frame_reader_t *reader, int64_t now_ms);

#endif
