/* settings.h -- the daemon's settings: JSON with comments, checked at start
 *
 * A file is read once.  Every value is checked for type and range, every key
 * must be known, and addresses must be IP:port and not stand twice.  The first
 * fault is told in one line that names file, key, value and what is allowed.
 *
 * The result is immutable; any thread may read it.
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
  GPtrArray *addresses; /* of char *: peer listeners known at start */
} settings_data_centre_t;

typedef struct settings_t
{
  char *host_id;
  char *data_centre;
  char *caller_listen;
  char *admin_listen;
  char *peer_listen;
  GPtrArray *platform;     /* of char * */
  GPtrArray *data_centres; /* of settings_data_centre_t *, sorted by name */
  char *log_level;
  char *log_format;           /* "text" or "json" */
  int64_t caller_threads;     /* callers that can wait at once, and a reserve */
  int64_t endpoint_threads;   /* tasks that this host can have at endpoints at once */
  int64_t max_body_bytes;     /* of one submission */
  int64_t max_total_bytes;    /* of the submissions held at once */
  int64_t max_answer_bytes;   /* of one endpoint's answer to a task */
  int64_t kept_answers_bytes; /* of all answers kept for resubmissions */
  int64_t key_window_ms;      /* how long an idempotency key is remembered */
  int64_t clock_skew_ms;      /* how far clocks may be apart */
  int64_t stop_after_ms;      /* how long a graceful stop may take */
  bool test_faults;           /* lets tests cut this host off by POST /v1/test/cut */
} settings_t;

/* Reads FILE.  Returns 0 and *SETTINGS (settings_free), or ERROR_BAD_FILE and
 * *MESSAGE, one line that the caller frees (g_free). */
int settings_read (const char *file, settings_t **settings, char **message);

/* Frees SETTINGS; NULL is a no-op. */
void settings_free (settings_t *settings);

/* Reads a JSON file with comments whole.  Returns 0 and *ROOT
 * (json_object_put), or ERROR_BAD_FILE and *MESSAGE as above. */
int settings_read_json (const char *file, json_object **root, char **message);

#endif
