/* done_tasks.h -- tasks that are done although their coordinators may not know it; private to
 * lib/executor
 *
 * An end that was acknowledged is not listed again.  If the coordinator of its task was not told,
 * because the run was another owner's, or because the coordinator or its batch was lost meanwhile,
 * the task may be submitted here later as one that may be running.  This set then tells that it is
 * done.  That is a fact about the task: it outlives the endpoint and its instance.
 *
 * Times are milliseconds of the boot clock.  Names are copied.  Not thread-safe.
 */
#ifndef EXECUTOR_DONE_TASKS_H
#define EXECUTOR_DONE_TASKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct done_tasks_t done_tasks_t;

/* No coordinator submits a task later than this after its end, since no job waits for longer. */
#define DONE_RETENTION_MS 600000
/* Coordinators that are in touch submit their tasks within this time. */
#define DONE_RETENTION_MIN_MS 15000
#define DONE_TASKS_MAX 65536

done_tasks_t *done_tasks_new (void);
void done_tasks_free (done_tasks_t *tasks);

/* Records that TASK is done.  If there are DONE_TASKS_MAX tasks, the oldest is forgotten.  Returns
 * false, and records nothing, if that is younger than DONE_RETENTION_MIN_MS: the end must not be
 * acknowledged yet. */
bool done_tasks_add (done_tasks_t *tasks, const char *task, int64_t now_ms);

bool done_tasks_contain (const done_tasks_t *tasks, const char *task);

/* Forgets the tasks that were added more than DONE_RETENTION_MS ago. */
void done_tasks_expire (done_tasks_t *tasks, int64_t now_ms);

size_t done_tasks_count (const done_tasks_t *tasks);

#endif
