/* part_config.h -- the daemon's configuration and host list
 *
 * Replicates the configuration and the list of hosts from the platform, directly
 * or through peers, and gives other parts access to the platform's log.  Control
 * thread only, except for part_config_snapshot ().
 */
#ifndef DAEMON_PART_CONFIG_H
#define DAEMON_PART_CONFIG_H

#include "config/config.h"
#include "daemon/part.h"
#include "platform/hosts.h"

/* Creates the part and starts its threads for requests to the platform.  Never NULL. */
part_t *part_config_new (daemon_t *daemon);

/* Returns a new reference to the current configuration, or NULL before the first
 * one was accepted.  Any thread. */
config_t *part_config_snapshot (part_t *part);

/* Returns the current configuration without a new reference, or NULL.  It is valid
 * until the control thread's next event. */
const config_t *part_config_current (part_t *part);

/* LISTENER runs on the control thread after each change of the configuration or
 * the host list.  CONFIG is NULL before the first configuration.  HOSTS holds
 * the host_t of all data centres. */
typedef void (*part_config_listener_t) (const config_t *config, GPtrArray *hosts, void *data);
void part_config_add_listener (part_t *part, part_config_listener_t listener, void *data);

/* A record of a stream of the platform's log. */
typedef struct
{
  int64_t offset;
  int64_t at_ms; /* wall clock of the platform */
  const void *data;
  size_t size;
} part_config_record_t;

/* Delivers the records of the log stream STREAM, such as "views", to another part.
 * ON_RECORD runs on the control thread once for each record, in the order of
 * offsets.  ON_STREAM_END runs after each read that reached the end of the log.
 * SENT_AT_MS is the boot time at which the read was sent: everything that was
 * appended before then has been delivered.  It runs only on hosts that read the
 * log from the platform. */
typedef struct
{
  void (*on_record) (const part_config_record_t *record, void *data);
  void (*on_stream_end) (int64_t sent_at_ms, void *data);
  void *data;
} part_config_follower_t;
void part_config_follow (part_t *part, const char *stream, const part_config_follower_t *follower);

/* Appends DATA, which is copied, to STREAM on a traffic thread, then runs DONE on
 * the control thread.  DONE may be NULL.  RESULT is 0 if the platform confirmed the
 * append.  With any other RESULT, the record may or may not have been appended. */
void part_config_append (part_t *part,
                         const char *stream,
                         const void *data,
                         size_t size,
                         void (*done) (int result, int64_t offset, void *user),
                         void *user);

#endif
