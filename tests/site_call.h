/* site_call.h -- HTTP calls on loopback for tests of a site: blocking, with a deadline
 *
 * Any thread.  Times are on the boot clock.
 */
#ifndef TESTS_SITE_CALL_H
#define TESTS_SITE_CALL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SITE_CALL_BODY_BYTES 8192
#define SITE_CALL_QUEUE_HOST "q.example"

typedef struct
{
  int status;             /* 0 if there was no whole answer */
  bool connection_closed; /* STATUS 0: the connection ended; else time ran out */
  bool keep_alive;        /* the connection may carry another request */
  int retry_after_s;      /* as its header says; 0 without one */
  char body[SITE_CALL_BODY_BYTES];
} site_response_t;

/* Connects to IP:PORT.  Returns the descriptor, or -1. */
int site_connect (const char *ip, int port);

/* Sends a whole request; the caller waits DEADLINE_MS for its answer. */
void site_send_request (int fd,
                        const char *method,
                        const char *target,
                        const char *body,
                        int deadline_ms);

/* Reads one answer until UNTIL_MS. */
site_response_t site_read_response (int fd, int64_t until_ms);

/* One request on a connection of its own to 127.0.0.1. */
site_response_t site_call (int port, const char *method, const char *target, const char *body);

/* The number NAME in a flat JSON BODY; -1 if it is not there. */
int site_json_number (const char *body, const char *name);

/* A job of TASKS tasks with SPEC; MORE are further members of its step.  The caller frees it. */
char *site_job_json (int tasks, const char *spec, int estimate_ms, const char *more);

/* Starts a program with JAYTRAIL_SETTINGS (unless NULL); its output is appended to LOG. */
pid_t site_run (char **argv, const char *settings, const char *log);

/* Removes a directory of plain files. */
void site_remove_directory (const char *directory);

#endif
