/* common_server.h -- what the stand-ins share: an HTTP server and JSON helpers
 *
 * A stand-in is one process with one listener.  Requests run on CivetWeb's
 * threads, one thread a connection, so that a long poll or a held answer
 * blocks no other connection.
 */
#ifndef STANDINS_COMMON_SERVER_H
#define STANDINS_COMMON_SERVER_H

#include <civetweb.h>
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* One request, its body read whole unless COMPLETE is false. */
typedef struct
{
  struct mg_connection *conn;
  const char *method;
  const char *path; /* decoded, without the query */
  const char *query;
  GString *body;
  bool complete;
} standin_request_t;

typedef void (*standin_handler_t) (standin_request_t *request);

/* Listens at LISTEN ("IP:PORT", port 0 chooses one), prints `listening
 * IP:PORT` on standard output, serves every request by HANDLER on one of
 * THREADS threads, and returns after SIGTERM or SIGINT.  Returns an exit
 * status. */
int standin_serve (const char *listen, int threads, standin_handler_t handler);

/* Sends a whole answer.  HEADERS are further lines, each ended by CR LF, or "". */
void standin_answer (standin_request_t *request,
                     int status,
                     const char *headers,
                     const char *type,
                     const char *body,
                     size_t size_bytes);

/* Sends TEXT as JSON. */
void standin_answer_json (standin_request_t *request, int status, const char *text);

/* Sends `{"error":MESSAGE}`. */
void standin_answer_error (standin_request_t *request, int status, const char *message);

/* Closes the connection once the handler returns, whatever has been sent. */
void standin_close (standin_request_t *request);

/* The value of the integer NAME in the query; OTHERWISE if absent. */
int64_t standin_query_int (const standin_request_t *request, const char *name, int64_t otherwise);

/* The header NAME, or "" if absent. */
const char *standin_header (const standin_request_t *request, const char *name);

/* Overwrite *VALUE by the member NAME of OBJECT, if it is there. */
void standin_get_bool (json_object *object, const char *name, bool *value);
void standin_get_int (json_object *object, const char *name, int64_t *value);
/* A fraction; true is 1 and false is 0. */
void standin_get_fraction (json_object *object, const char *name, double *value);

/* Waits on COND until the boot-independent monotonic time END_US. */
bool standin_wait (pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t end_us);

#endif
