/* publish.h -- reads the configuration from the log and publishes whole lists
 *
 * Calls block.  One thread.
 */
#ifndef TOOL_PUBLISH_H
#define TOOL_PUBLISH_H

#include "config/diff.h"
#include "platform/platform.h"

/* Reads the configuration's stream to its end into FOLD.  Returns 0;
 * ERROR_TIMEOUT if the log's end could not be read before END_AT_MS (boot
 * clock); ERROR_NOT_FOUND if the log has lost records that no checkpoint
 * covers. */
int config_read (platform_client_t *client, config_replica_t *fold, int64_t end_at_ms);

typedef struct
{
  int result;       /* 0: accepted */
  int64_t revision; /* in force after it */
  guint edit_count; /* 0: the lists were in force already */
  char *changed;    /* ERROR_LOST_RACE: entries that others changed, or NULL */
} config_publish_t;

/* Publishes LISTS as one record and reads it back.  The result is 0; or
 * ERROR_LOST_RACE: another publication changed an entry first, and nothing of
 * this one is or will be in force; ERROR_UNKNOWN_OUTCOME: it may or may not
 * come into force; ERROR_TIMEOUT or ERROR_NOT_FOUND as above, or
 * ERROR_NOT_CONNECTED: nothing has been published.  Clear with
 * config_publish_clear (). */
void config_publish (platform_client_t *client,
                     GPtrArray *const lists[CONFIG_KINDS],
                     const config_publication_id_t *id,
                     int64_t end_at_ms,
                     config_publish_t *outcome);
void config_publish_clear (config_publish_t *outcome);

/* A new random id. */
config_publication_id_t config_id_random (void);

#endif
