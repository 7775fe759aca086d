/* process.h -- child processes of the system tests
 *
 * A process's output goes to files in the rig's folder.  Children are killed
 * if the test program dies.  One thread only.
 */
#ifndef TESTS_SYSTEM_PROCESS_H
#define TESTS_SYSTEM_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Ends a wait that would go on for ever; no test result depends on it. */
#define HANG_GUARD_MS 30000

typedef struct
{
  char *name;
  char *out_file; /* standard output */
  char *log_file; /* standard error */
  GPid pid;
  bool running;
  bool frozen;
} process_t;

/* Starts ARGV with its output in DIR.  Returns NULL after a message. */
process_t *process_start (const char *dir, const char *name, char *const *argv);

/* Waits for `listening IP:PORT` on standard output.  Returns the address
 * (g_free), or NULL. */
char *process_listening (process_t *process);

void process_signal (process_t *process, int signal);
void process_freeze (process_t *process);
void process_thaw (process_t *process);

/* Waits for the end.  Returns the exit status, 128 + N after signal N, or -1
 * if the process was still there after HANG_GUARD_MS. */
int process_wait (process_t *process);

/* kill -9 and wait. */
void process_kill (process_t *process);

/* Kills it if it still runs, and frees it. */
void process_free (process_t *process);

/* Runs a program to its end.  Returns its exit status; *OUTPUT, if wanted, is
 * its standard output and error (g_free).  Any thread. */
int process_run (char *const *argv, char **output);

/* A free port of 127.0.0.1, which no other test process takes (tests/port_block.h). */
uint16_t process_free_port (void);

#endif
