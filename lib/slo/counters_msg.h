/* counters_msg.h -- the frame that carries a source's counters to a peer */
#ifndef SLO_COUNTERS_MSG_H
#define SLO_COUNTERS_MSG_H

#include "slo/counters.h"
#include "wire/frame.h"

#define FRAME_SLO_COUNTS FRAME_BURN_FIRST

/* Calls SEND (frame taken over) with the buckets of SOURCE from minute SINCE
 * on, in as many frames as needed, one at least.  AS_OF_MS is how far they
 * reach. */
void slo_msg_write (const slo_source_t *source,
                    int64_t since_minute,
                    int64_t as_of_ms,
                    void (*send) (GBytes *frame, void *data),
                    void *data);

/* Takes the counters of a frame into BURN.  Returns ERROR_PROTOCOL if it is not
 * valid, ERROR_FULL if there are too many sources. */
int slo_msg_read (slo_counters_t *counters, frame_reader_t *reader, int64_t now_ms);

#endif
