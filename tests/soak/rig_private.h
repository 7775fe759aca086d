/* rig_private.h -- what rig.c and faults.c share */
#ifndef SOAK_RIG_PRIVATE_H
#define SOAK_RIG_PRIVATE_H

#include "tests/soak/rig.h"

int rig_log_port (const rig_t *rig);
int rig_endpoint_port (const rig_t *rig, int32_t endpoint);
const char *rig_zone_name (int32_t zone);

/* A signal to a process of the rig; none if PID is 0. */
void rig_tell (pid_t pid, int number);

void rig_start_endpoint (rig_t *rig, int32_t number);
void rig_kill_endpoint (rig_t *rig, int32_t number);
void rig_pause_endpoint (rig_t *rig, int32_t number, bool paused);

/* WHY: as rig_host_t has it. */
void rig_kill_host (rig_t *rig, int32_t number, const char *why);
void rig_pause_host (rig_t *rig, int32_t number, bool paused);
void rig_stop_host (rig_t *rig, int32_t number);

/* Puts the next configuration. */
void rig_put_config (rig_t *rig);

#endif
