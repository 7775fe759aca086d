/* sizes.h -- how large a job is among the last ones of its queue
 *
 * A size is the work that a job's caller expects of it: tasks x cores x time.  For each queue
 * the last SIZES_KEPT are remembered.  Pure; control thread only.
 */
#ifndef FLOW_SIZES_H
#define FLOW_SIZES_H

#include "flow/flow.h"

#define SIZES_KEPT 200

typedef struct sizes_t sizes_t;

sizes_t *sizes_new (void);
void sizes_free (sizes_t *sizes);

/* Takes in a job of SIZE at QUEUE, and returns its rank among those before it.  The first ones of a
 * queue are FLOW_SIZE_USUAL. */
flow_size_t sizes_add (sizes_t *sizes, const char *queue, double size);

#endif
