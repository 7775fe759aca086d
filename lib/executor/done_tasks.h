/* done_tasks.h -- tasks that are done although their coordinators may not know it; private to
 * lib/executor
 *
 * An end that was acknowledged is not listed again.  If the coordinator of its task was not told,
 * because the run was another owner's, or because the coordinator or its batch was lost meanwhile,
 * or if that message is still under way, the task may be submitted here later as one that may be
 * running.  A set of such tasks then tells that it is done.  That is a fact about the task: it
 * outlives the endpoint and its instance.
 *
 * Times are milliseconds of the boot clock.  Names are copied.  Not thread-safe.
 */
#ifndef EXECUTOR_DONE_TASKS_H
#define EXECUTOR_DONE_TASKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct done_tasks_t done_tasks_t;

/* For tasks whose coordinators were not told.  None submits a task later than this after its end,
 * since no job waits for longer. */
#define DONE_RETENTION_MS 600000
/* Coordinators that are connected submit their tasks within this time. */
#define DONE_RETENTION_MIN_MS 15000
/* For tasks that were reported to their coordinators: the report is under way for less than this.
 */
#define REPORTED_RETENTION_MS 15000
#define DONE_TASKS_MAX 65536

/* Returns a set that forgets a task RETENTION_MS after it was added, or, if there is no room for
 * another, once it is RETENTION_MIN_MS old. */
done_tasks_t *done_tasks_new (int64_t retention_ms, int64_t retention_min_ms);
void done_tasks_free (done_tasks_t *tasks);

/* Records that TASK is done.  If there are DONE_TASKS_MAX tasks, the oldest is forgotten.  Returns
 * false, and records nothing, if that is too young. */
bool done_tasks_add (done_tasks_t *tasks, const char *task, int64_t now_ms);

bool done_tasks_contain (const done_tasks_t *tasks, const char *task);

/* Forgets the tasks that were added more than the retention time ago. */
void done_tasks_expire (done_tasks_t *tasks, int64_t now_ms);

size_t done_tasks_count (const done_tasks_t *tasks);

#endif
