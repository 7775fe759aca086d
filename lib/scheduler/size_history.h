/* size_history.h -- ranks a job's size among the recent jobs of its queue
 *
 * The size of a job is the work that its caller expects: tasks x cores x time.  The sizes of the
 * last SIZE_HISTORY_JOBS jobs of each queue are kept.  Pure; to be used on the control thread only.
 */
#ifndef SCHEDULER_SIZE_HISTORY_H
#define SCHEDULER_SIZE_HISTORY_H

#include "scheduler/scheduler.h"

#define SIZE_HISTORY_JOBS 200

typedef struct size_history_t size_history_t;

size_history_t *size_history_new (void);
void size_history_free (size_history_t *sizes);

/* Returns the size class of a job of SIZE among the earlier jobs of QUEUE, and then adds SIZE to
 * the history.  The first jobs of a queue are always SCHEDULER_SIZE_USUAL. */
scheduler_size_class_t size_history_add (size_history_t *sizes, const char *queue, double size);

#endif
