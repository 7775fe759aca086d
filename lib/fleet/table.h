/* table.h -- what the files of lib/fleet do with its tables; private to lib/fleet */
#ifndef FLEET_TABLE_H
#define FLEET_TABLE_H

#include "fleet/state.h"

endpoint_t *endpoint_find (const fleet_t *fleet, const char *id);

/* A new life of the endpoint: what ran there is over and goes back to the queue. */
void endpoint_reborn (fleet_t *fleet, endpoint_t *endpoint, int64_t now_ms);

/* Gives TASK's run, with its room, to ENDPOINT, or takes it from its endpoint. */
void task_attach (task_t *task, endpoint_t *endpoint);
void task_detach (task_t *task);

/* The run of TASK is over, or there was none: queues it again; frees it if it was
 * cancelled. */
void task_requeue (fleet_t *fleet, task_t *task, int64_t now_ms);

/* Takes TASK out of everything and frees it. */
void task_end (fleet_t *fleet, task_t *task);

/* The key of a batch in its table; the caller frees it. */
char *batch_key (const char *coordinator, uint64_t number);

/* Puts TASK in its place in the queue. */
void task_queue (fleet_t *fleet, task_t *task);

/* Takes TASK out of the queue. */
void task_unqueue (fleet_t *fleet, task_t *task);

/* Takes TASK out of its batch, which is freed with its last task. */
void task_leave (fleet_t *fleet, task_t *task);

/* TASK may be running under another owner: all endpoints are looked at from NOW_MS on. */
void task_doubt (fleet_t *fleet, task_t *task, int64_t now_ms);

/* TASK's run must end; it is stopped in the next round, and TASK is queued again once it is over.
 */
void task_stop (task_t *task, int64_t now_ms);

fleet_action_t *action_add (GArray *actions, fleet_action_kind_t kind);

/* Tells TASK's coordinator, if it still has one.  Returns the action, or NULL. */
fleet_action_t *tell (fleet_t *fleet,
                      GArray *actions,
                      fleet_action_kind_t kind,
                      const task_t *task,
                      const char *reason);

/* A note about ENDPOINT, and about TASK unless it is NULL.  The result may be filled on until the
 * next action. */
fleet_action_t *note (fleet_t *fleet,
                      GArray *actions,
                      fleet_note_t kind,
                      const endpoint_t *endpoint,
                      const task_t *task,
                      int64_t now_ms);

/* Forgets the names that actions of the last call pointed to. */
void names_clear (fleet_t *fleet);

/* Forgets endpoints whose entry is gone and where nothing runs any more. */
void forget_departed (fleet_t *fleet);

/* Forgets a batch at once; its tasks have left it. */
void batch_remove (fleet_t *fleet, batch_t *batch);

/* Forgets batches that ended a while ago. */
void forget_closed (fleet_t *fleet, int64_t now_ms);

/* Tells coordinators again what they have asked for again. */
void tell_again (fleet_t *fleet, GArray *actions);

#endif
