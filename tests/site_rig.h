/* site_rig.h -- a stand-in of the platform and hosts as processes, for tests of the daemon
 *
 * A rig is one process of the stand-in (the log and endpoints e0, e1, ... in the data centres x and
 * y in turn) and hosts h0, h1, ..., also in turn, with a queue under /q/.  What the processes write
 * is kept in files of the rig's directory.
 *
 * Functions that check something do so with the asserts of CUnit.  Those that take a const rig may
 * be called from any thread.  Times are milliseconds of the boot clock.
 */
#ifndef TESTS_SITE_RIG_H
#define TESTS_SITE_RIG_H

#include "tests/port_block.h"
#include "tests/site_call.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SITE_HOSTS 4
#define SITE_ENDPOINTS 6
#define SITE_SLOTS (3 * SITE_ENDPOINTS) /* the stand-in gives each endpoint room for three */
/* Keeps a faulty run from hanging; no case depends on its value. */
#define SITE_TEST_TIMEOUT_MS 20000
#define SITE_DEADLINE_MS 3000
/* After this time from the start of the hosts, entries that are missing count as gone. */
#define SITE_DISCOVERY_END_MS 3500

/* Limits of all hosts; a member that is 0 sets none. */
typedef struct
{
  int memory_mb;        /* limits.memory_mb of the settings */
  int max_open_files;   /* limits.max_open_files of the settings */
  int kernel_max_files; /* RLIMIT_NOFILE of the process */
} site_limits_t;

typedef struct
{
  site_limits_t limits;
  pid_t standin;
  pid_t hosts[SITE_HOSTS]; /* 0: not running */
  char *directory;
  port_block_t ports;
  int port;                 /* of the stand-in */
  unsigned failures_before; /* failed checks when the rig was started */
} site_rig_t;

/* Must be called first, with argv[0] of the test program: the programs are in the parent of its
 * directory, which site_programs () returns. */
void site_find_programs (const char *program);
const char *site_programs (void);

/* --- processes --- */

/* Returns when all hosts are ready. */
void site_rig_start (site_rig_t *rig);
void site_rig_start_limited (site_rig_t *rig, const site_limits_t *limits);

/* The same with ENDPOINTS of them, at most 99, which write a line for each start and each end to
 * site.log in the rig's directory. */
void site_rig_start_ledger (site_rig_t *rig, int endpoints);

/* Checks what must hold after every case, no task ran at two endpoints at a time and no endpoint
 * was sent more tasks than it has room for, and ends all processes.  The directory is kept if a
 * check has failed since the start. */
void site_rig_stop (site_rig_t *rig);

void site_start_host (site_rig_t *rig, int host);

/* Sends SIGNAL_NUMBER, and waits for the end of the process.  Does nothing if *PID is 0. */
void site_end_process (pid_t *pid, int signal_number);

bool site_is_ready (const site_rig_t *rig, int host);
bool site_wait_until_all_ready (const site_rig_t *rig);

/* The gauge NAME of HOST; -1 if it is missing. */
int site_host_gauge (const site_rig_t *rig, int host, const char *name);

/* The number of lines in the log of HOST that contain WHAT. */
int site_count_lines (const site_rig_t *rig, int host, const char *what);

/* Returns false if there are fewer than COUNT of these within 5 s. */
bool site_wait_for_log_lines (const site_rig_t *rig, int host, const char *what, int count);

/* --- the stand-in --- */

/* A number in the statistics of the stand-in; -1 if it is missing. */
int site_standin_number (const site_rig_t *rig, const char *name);
bool site_wait_for_number (const site_rig_t *rig, const char *name, int value, int64_t within_ms);

/* FAULT is the JSON of a POST /fault. */
void site_set_fault (const site_rig_t *rig, const char *fault);
void site_post_to_standin (const site_rig_t *rig, const char *target);

/* Puts a configuration whose only queue has PREFIX. */
void site_put_queue (const site_rig_t *rig, int version, const char *prefix, int timeout_ms);
void site_put_queue_prefix (const site_rig_t *rig, int version, const char *prefix);

/* The status of HOST's answer to a request for a job that it does not have, under PREFIX: 410, or
 * 404 if no queue in force has the prefix. */
int site_status_of_get (const site_rig_t *rig, int host, const char *prefix);

/* Returns false if a queue with PREFIX is not in force at all hosts WITHIN_MS from now. */
bool site_wait_for_queue (const site_rig_t *rig, const char *prefix, int64_t within_ms);

/* --- jobs --- */

/* The port of HOST for callers. */
int site_caller_port (const site_rig_t *rig, int host);

/* The JSON of a job of TASKS tasks of WORK_MS; MORE as in site_job_json ().  The caller frees it.
 */
char *site_job_body (int tasks, int work_ms, const char *more);

/* The response of HOST to a job with the number JOB as its id. */
site_response_t site_submit (const site_rig_t *rig, int host, int job, int tasks, int work_ms);

/* A caller that submits one job after the other, and what the responses were. */
typedef struct
{
  const site_rig_t *rig;
  int first_job; /* the number of the first job; the others follow */
  int job_count;
  int host; /* -1: all hosts in turn */
  int tasks;
  int work_ms;
  int64_t pause_ms;
  bool *job_completed; /* of each job, or NULL */
  gint completed;
  gint unanswered; /* no complete response */
  gint failed;     /* any other response */
} site_load_t;

/* DATA is a site_load_t; for g_thread_new ().  Returns NULL. */
void *site_run_load (void *data);

#endif
