/* site_audit.h -- counts what must never happen at the stand-in endpoints of this process
 *
 * A task must not run at two endpoints at one time, nor start again after it was done, nor beyond
 * an endpoint's room.
 *
 * Runs on the loop's thread.  Private to the stand-in endpoint; the counts are public.
 */
#ifndef STANDINS_SITE_AUDIT_H
#define STANDINS_SITE_AUDIT_H

#include "standins/site_endpoint_state.h"

/* Adds an endpoint to those that are watched; it must last. */
void site_audit_add (site_endpoint_t *endpoint);

/* Calls VISIT for all endpoints in the order in which they were added. */
void site_audit_each (void (*visit) (site_endpoint_t *endpoint, int64_t now_ms), int64_t now_ms);

/* ENDPOINT is about to start TASK.  Steps all endpoints. */
void site_audit_start (const site_endpoint_t *endpoint, const char *task, int64_t now_ms);

/* An order to start goes beyond the room that an owner has to know of, or is refused. */
void site_audit_crowded (void);
void site_audit_refused (void);

/* END, of a run that was done, is acknowledged. */
void site_audit_done (const end_t *end);

#endif
