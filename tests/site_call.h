/* site_call.h -- blocking HTTP/1.1 client and process helpers for tests of the daemon
 *
 * All functions may be called from any thread.  Times are milliseconds of the boot clock.  The
 * client reads only responses with a Content-Length.
 */
#ifndef TESTS_SITE_CALL_H
#define TESTS_SITE_CALL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Size of the buffer for a response; a longer one is cut off. */
#define SITE_CALL_BODY_BYTES 32768
/* The Host header of all requests, by which the daemon finds the queue. */
#define SITE_CALL_QUEUE_HOST "q.example"

typedef struct
{
  int status;             /* 0 if no complete response arrived */
  bool connection_closed; /* with status 0: closed before the response was complete, not a time-out
                           */
  bool keep_alive;        /* the connection can be used for another request */
  int retry_after_s;      /* the Retry-After header; 0 if there is none */
  char body[SITE_CALL_BODY_BYTES];
} site_response_t;

/* Connects to IP:PORT.  Returns a socket, which the caller closes, or -1. */
int site_connect (const char *ip, int port);

/* Sends a request with DEADLINE_MS as its Jaytrail-Deadline-Ms header. */
void site_send_request (int fd,
                        const char *method,
                        const char *target,
                        const char *body,
                        int deadline_ms);

/* Reads one response, waiting until UNTIL_MS at the longest. */
site_response_t site_read_response (int fd, int64_t until_ms);

/* Sends one request to PORT of 127.0.0.1 on a new connection, and returns its response. */
site_response_t site_call (int port, const char *method, const char *target, const char *body);

/* Returns the integer member NAME of the JSON object BODY, which contains no other of that name; -1
 * if it is missing. */
int site_json_number (const char *body, const char *name);

/* Returns the JSON of a job with one phase of TASKS tasks, and MORE as further members of the
 * phase, with a leading comma.  The caller frees it. */
char *site_job_json (int tasks, const char *spec, int estimate_ms, const char *more);

/* Starts the program ARGV[0] with its output appended to the file LOG, and with JAYTRAIL_SETTINGS
 * set to SETTINGS unless that is NULL.  Returns its process id. */
pid_t site_run (char **argv, const char *settings, const char *log);

/* The same, with MAX_OPEN_FILES as the limit of its descriptors (RLIMIT_NOFILE); 0: as here. */
pid_t site_run_with_files (char **argv, const char *settings, const char *log, int max_open_files);

/* Removes DIRECTORY and the files in it; it must not contain directories. */
void site_remove_directory (const char *directory);

#endif
