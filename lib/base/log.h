/* log.h -- structured logs over GLib, one fixed prefix for each part
 *
 * A message is a short sentence; what it is about goes into fields:
 *
 *   log_info ("claim", "Claim granted.", "key", key, "host", host, NULL);
 *
 * prints `2026-01-02T03:04:05.678Z info claim: Claim granted. key=k1 host=a1`
 * as text, or one JSON object a line.  Thread-safe.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <glib.h>

typedef enum
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG
} log_level_t;

/* Installs the writer.  Call once, before other threads start.  Messages above
 * LEVEL are dropped; JSON chooses JSON lines.  HOST is added to each line and
 * is copied; it may be NULL. */
void log_setup (log_level_t level, bool json, const char *host);

/* Finds the level with NAME ("error", "warning", "info", "debug").  Returns 0,
 * or ERROR_BAD_REQUEST. */
int log_level_from_name (const char *name, log_level_t *level);

/* Writes MESSAGE of PART with name/value pairs of strings, ended by NULL. */
void log_error (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;
void log_warning (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;
void log_info (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;
void log_debug (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;

#endif
