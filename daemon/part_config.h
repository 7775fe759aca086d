/* part_config.h -- the daemon's configuration and host list
 *
 * Control thread only, but for part_config_snapshot ().
 */
#ifndef DAEMON_PART_CONFIG_H
#define DAEMON_PART_CONFIG_H

#include "config/config.h"
#include "daemon/part.h"
#include "platform/hosts.h"

/* Makes the part and starts its platform thread.  Never NULL. */
part_t *part_config_new (daemon_t *daemon);

/* The configuration in force, referenced for the caller; NULL before the first
 * accepted one.  Any thread. */
config_t *part_config_snapshot (part_t *part);

/* The same without a reference, for the control thread. */
const config_t *part_config_current (part_t *part);

/* Runs EACH on the control thread whenever a new host list or configuration is
 * in force.  HOSTS has host_t pointers of all data centres. */
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

/* Follows STREAM of the log for another part ("views"): RECORD runs on the
 * control thread for each record in offset order, once.  CAUGHT_UP runs after
 * each read that reached the end, with the boot time at which the read was
 * sent: everything appended before then has been delivered.  Only hosts that
 * read the log themselves get CAUGHT_UP. */
typedef struct
{
  void (*on_record) (const part_config_record_t *record, void *data);
  void (*on_stream_end) (int64_t sent_at_ms, void *data);
  void *data;
} part_config_follower_t;
void part_config_follow (part_t *part, const char *stream, const part_config_follower_t *follower);

/* Appends to STREAM on a traffic thread, then runs DONE on the control thread.
 * RESULT is 0 when the platform has answered; any other result may still have
 * taken effect.  DATA bytes are copied. */
void part_config_append (part_t *part,
                         const char *stream,
                         const void *data,
                         size_t size,
                         void (*done) (int result, int64_t offset, void *user),
                         void *user);

#endif
