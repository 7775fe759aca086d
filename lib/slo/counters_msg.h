/* counters_msg.h -- the frame that carries a source's counters to a peer */
#ifndef SLO_COUNTERS_MSG_H
#define SLO_COUNTERS_MSG_H

#include "slo/counters.h"
#include "wire/frame.h"

#define FRAME_SLO_COUNTS FRAME_BURN_FIRST

/* Encodes the counts of SOURCE from minute SINCE_MINUTE on, in one or more frames,
 * and calls SEND for each, which takes ownership of the frame.  AS_OF_MS is the
 * time up to which the counts are complete. */
void slo_msg_write (const slo_source_t *source,
                    int64_t since_minute,
                    int64_t as_of_ms,
                    void (*send) (GBytes *frame, void *data),
                    void *data);

/* Updates COUNTERS from a frame.  Returns 0, ERROR_PROTOCOL if the frame is not
 * valid, or ERROR_FULL if there are too many sources or if the frame describes
 * this process itself. */
int slo_msg_read (slo_counters_t *counters, frame_reader_t *reader, int64_t now_ms);

#endif
