/* site_log.h -- the platform's log as a stand-in: topics, reads, the newest record of each key
 *
 * Runs on the loop's thread.  Requests that it takes are answered by it, now or later.
 */
#ifndef STANDINS_SITE_LOG_H
#define STANDINS_SITE_LOG_H

#include "reactor/web.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct site_log_t site_log_t;

/* How it misbehaves. */
typedef struct
{
  bool down;       /* every call gets 503 */
  bool silent;     /* no call is answered */
  int64_t slow_ms; /* every answer is so late */
  double lost;     /* part of the appends that are done and not answered */
} site_log_faults_t;

site_log_t *site_log_new (void);
site_log_faults_t *site_log_faults (site_log_t *log);

/* Takes a request.  Returns false if its path is not one of the log's. */
bool site_log_request (site_log_t *log, web_request_t *request);

/* Its caller has gone. */
void site_log_abandoned (site_log_t *log, web_request_t *request);

/* Puts VALUE ("": none, the key is dropped) under KEY of TOPIC. */
void site_log_put (site_log_t *log, const char *topic, const char *key, const char *value);

/* Puts SIZE bytes (0: the key is dropped) under KEY of TOPIC. */
void site_log_put_bytes (site_log_t *log,
                         const char *topic,
                         const char *key,
                         const void *value,
                         size_t size);

/* The history of all topics goes, but the newest record of each key; of TOPIC (NULL: none) those go
 * too. */
void site_log_forget (site_log_t *log, const char *without);

void site_log_tick (site_log_t *log, int64_t now_ms);

#endif
