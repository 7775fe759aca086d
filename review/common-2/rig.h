/* rig.h -- a small deployment as processes, for the cases of the second review
 *
 * A rig is one process of the project's stand-in (the platform's log, and endpoints e0, e1, ... in
 * the data centres x and y in turn) and the hosts h0 to h3, also in turn, with one queue under
 * /q/.  With one data centre all are in x.  All addresses are loopback addresses.  Times are
 * milliseconds of the boot clock.
 *
 * A program that uses a rig exits with REVIEW_HELD, REVIEW_BROKEN or REVIEW_NOT_RUN.  If it takes
 * longer than REVIEW_TIMEOUT_S, it and all processes that it started are killed.
 */
#ifndef REVIEW_COMMON_2_RIG_H
#define REVIEW_COMMON_2_RIG_H

#include "tests/port_block.h"
#include "tests/site_call.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define REVIEW_HELD 0
#define REVIEW_BROKEN 1
#define REVIEW_NOT_RUN 2
#define REVIEW_TIMEOUT_S 110

#define RIG_ARGUMENTS 4
#define RIG_HOSTS 4
#define RIG_ENDPOINTS 6
/* Bounds of the deployment, as in the settings of the hosts. */
#define RIG_CONTACT_WINDOW_MS 3000
#define RIG_CANCEL_MS 3000
#define RIG_RETRANSMIT_MS 1300
/* Ports of the rig that no process of its own listens on, for further stand-ins. */
#define RIG_SPARE_PORTS 10

typedef struct
{
  const char *programs; /* directory of the programs */
  char *directory;      /* temporary; settings and logs */
  port_block_t ports;
  pid_t standin;
  pid_t hosts[RIG_HOSTS]; /* 0: not running */
  int data_centres;       /* 1 or 2 */
  FILE *record;           /* NULL: standard output */
  int64_t opened_at_ms;
  bool troubled; /* false: without the disruption */
} rig_t;

/* Starts the stand-in and all hosts; ends the program with REVIEW_NOT_RUN if they do not become
 * ready.  ARGV are the RIG_ARGUMENTS arguments of the program: its name, the directory of the
 * programs, the file of the record, and "with" or "without" for the disruption. */
void rig_open (rig_t *rig, int data_centres, int argc, char **argv);
/* Ends all processes and removes the temporary directory.  Returns RESULT. */
int rig_close (rig_t *rig, int result);
/* Writes a line to the record, with the time since the start. */
void rig_record (rig_t *rig, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* Ends the program with REVIEW_NOT_RUN. */
void rig_fail (rig_t *rig, const char *why) __attribute__ ((noreturn));

void rig_start_host (rig_t *rig, int host);
/* Sends SIGKILL to HOST and waits for its end. */
void rig_kill_host (rig_t *rig, int host);
/* Waits until HOST reports itself as ready. */
void rig_wait_ready (rig_t *rig, int host);

int rig_log_port (const rig_t *rig);
int rig_caller_port (const rig_t *rig, int host);
/* NUMBER is less than RIG_SPARE_PORTS. */
int rig_spare_port (const rig_t *rig, int number);

typedef struct
{
  const char *id;
  int tasks;
  int work_ms;      /* of each task */
  int estimate_ms;  /* what the request says of that */
  int wait_ms;      /* how long the caller waits for the answer */
  const char *more; /* as in site_job_json () */
} rig_job_t;

/* Sends JOB to HOST, and returns the connection, on which its answer arrives. */
int rig_send_job (rig_t *rig, int host, const rig_job_t *job);
/* Asks HOST to cancel the job ID.  Returns the status of the answer. */
int rig_cancel_job (const rig_t *rig, int host, const char *id);
/* Counts the starts of tasks of the job ID at the endpoints of the rig since AT_MS, and writes all
 * that happened to them since then to the record. */
int rig_count_starts (rig_t *rig, const char *id, int64_t at_ms);

#endif
