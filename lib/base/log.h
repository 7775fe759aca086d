/* log.h -- structured log messages, written to standard error through GLib
 *
 * A message is a short, constant sentence; variable data goes into fields:
 *
 *   log_info ("claim", "Claim granted.", "key", key, "host", host, NULL);
 *
 * prints `2026-01-02T03:04:05.678Z info claim: Claim granted. key=k1 host=a1`
 * as text, or one JSON object on each line.  The first argument names the
 * module.  The functions are thread-safe, except log_setup ().
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

/* Installs the log writer.  Must be called once, before other threads start.
 * Messages less severe than LEVEL are dropped.  If JSON is true, each line is a
 * JSON object, to which the host id HOST is added.  HOST is copied and may be
 * NULL. */
void log_setup (log_level_t level, bool json, const char *host);

/* Stores the level with NAME ("error", "warning", "info" or "debug") in *LEVEL
 * and returns 0.  Returns ERROR_BAD_REQUEST if there is no such level. */
int log_level_from_name (const char *name, log_level_t *level);

/* Write MESSAGE of the module PART.  The further arguments are pairs of a field
 * name and its value, both strings, ended by NULL.  Names must start with a
 * lower-case letter; at most 14 pairs are written. */
void log_error (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;
void log_warning (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;
void log_info (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;
void log_debug (const char *part, const char *message, ...) G_GNUC_NULL_TERMINATED;

#endif
