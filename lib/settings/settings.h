/* settings.h -- the daemon's settings file, JSON with comments
 *
 * The file is read once at start.  Every value is checked for type and range, unknown
 * keys are rejected, and addresses must be IP:port without duplicates within a list or
 * among the data centres.  Reading stops at the first error, which is reported in one
 * line with file, key, value and the values allowed.
 *
 * The result is immutable and may be read by any thread.
 */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *name;
  GPtrArray *addresses; /* of char *, IP:port: peer listeners of hosts, known at start */
} settings_data_centre_t;

typedef struct settings_t
{
  char *host_id;
  char *data_centre;
  char *caller_listen;
  char *admin_listen;
  char *peer_listen;
  GPtrArray *platform;        /* of char *, IP:port; at least one */
  GPtrArray *data_centres;    /* of settings_data_centre_t *, sorted by name */
  char *log_level;            /* "error", "warning", "info" or "debug" */
  char *log_format;           /* "text" or "json" */
  int64_t caller_threads;     /* of the caller listener: callers waiting at once, and a reserve */
  int64_t endpoint_threads;   /* tasks of this host in progress at endpoints at once */
  int64_t max_body_bytes;     /* limit for one submission */
  int64_t max_total_bytes;    /* limit for all submissions held at once */
  int64_t max_answer_bytes;   /* limit for an endpoint's answer to one task */
  int64_t kept_answers_bytes; /* limit for all answers kept for resubmissions */
  int64_t key_window_ms;      /* retention period of an idempotency key */
  int64_t clock_skew_ms;      /* largest expected difference between the clocks of two hosts */
  int64_t stop_after_ms;      /* limit for a graceful stop */
  bool test_faults;           /* enables POST /v1/test/cut, with which tests isolate this host */
} settings_t;

/* Reads and checks FILE.  Returns 0 and *SETTINGS (settings_free), or ERROR_BAD_FILE and
 * *MESSAGE (g_free), a single line without a newline. */
int settings_read (const char *file, settings_t **settings, char **message);

/* Frees SETTINGS; NULL is a no-op. */
void settings_free (settings_t *settings);

/* Parses FILE as a single JSON object, in which comments are allowed.  *MESSAGE must be
 * NULL on entry.  Returns 0 and *ROOT (json_object_put), or ERROR_BAD_FILE and *MESSAGE as
 * above. */
int settings_read_json (const char *file, json_object **root, char **message);

#endif
