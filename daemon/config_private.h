/* config_private.h -- what the files of the configuration part share
 *
 * Control thread only, but for PUBLISHED under MUTEX.
 */
#ifndef DAEMON_CONFIG_PRIVATE_H
#define DAEMON_CONFIG_PRIVATE_H

#include "base/counter.h"
#include "config/checkpoint.h"
#include "config/config_msg.h"
#include "config/feed.h"
#include "config/fold.h"
#include "config/hosts_msg.h"
#include "config/relay.h"
#include "daemon/config_poll.h"
#include "daemon/part_config.h"

#include <pthread.h>

/* Where a host has its last records from. */
typedef enum
{
  CONFIG_SOURCE_NONE,
  CONFIG_SOURCE_LOG,
  CONFIG_SOURCE_RELAY, /* a host of this data centre */
  CONFIG_SOURCE_PEER   /* a host of another data centre */
} config_source_t;

typedef struct config_part_t config_part_t;

typedef struct
{
  config_part_t *config;
  char *name;
  bool is_config; /* the stream of the configuration itself */
  feed_t *buffer;
  config_poll_t *poll;
  part_config_follower_t follower; /* of any other stream */
  int32_t consecutive_short_reads; /* reads in a row in which the log ended before this feed */
} config_stream_t;

typedef struct
{
  hosts_clock_t clock;
  GPtrArray *list;         /* of host_t; empty before the first list */
  uint64_t digest;         /* of it; 0 before the first list */
  int64_t confirmed_at_ms; /* boot time at which it was last confirmed */
  config_poll_t *poll;
} config_hosts_t;

struct config_part_t
{
  part_t part;
  GPtrArray *streams; /* of config_stream_t; the first one is the configuration */
  config_fold_t *replica;
  config_hosts_t hosts;
  relay_t *relay;
  relay_actions_t relay_actions; /* of the last tick */
  config_append_t *append;
  checkpoint_plan_t checkpoint_schedule;
  checkpoint_facts_t checkpoint_inputs;
  int64_t log_answered_at_ms;
  int64_t hosts_answered_at_ms;
  bool caught_up; /* a source's end was reached at least once */
  config_source_t source;
  int64_t confirmed_at_ms;      /* boot time of the last news of the configuration's stream */
  GHashTable *state_sent_at_ms; /* host id -> boot time of the last whole state sent */
  GArray *listeners;
  bool notify_pending; /* listeners have something new */
  pthread_mutex_t mutex;
  config_t *published;
  counter_t *count_revision;
  counter_t *count_reads;
  counter_t *count_read_errors;
  counter_t *count_appends;
  counter_t *count_append_errors;
  counter_t *count_messages;
  counter_t *count_bytes;
};

/* Reads, from the platform or from a peer. */

/* Takes BATCH of STREAM from SOURCE and, on a reader, sends on what is new. */
void config_apply_batch (config_stream_t *stream, const log_batch_t *batch, config_source_t source);

/* The frames of this part. */
void config_handle_frame (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms);

/* Sends a beat to all hosts of this data centre. */
void config_send_heartbeat (config_part_t *config, bool answered);

/* Asks HOST for what this host lacks. */
void config_send_pull (config_part_t *config, const char *host);

/* Sends the records of STREAM from FROM on to HOST, or to all hosts of this
 * data centre if HOST is NULL. */
void config_send_records (config_stream_t *stream, const char *host, int64_t from);

/* True if this host lacks state that only a peer may have. */
bool config_lacks_state (const config_part_t *config);

/* The list of hosts: as read here, or as relayed. */
void config_hosts_init (config_part_t *config);
void config_hosts_on_poll (const config_poll_result_t *result, void *data);
void config_hosts_on_list (config_part_t *config, frame_reader_t *reader, int64_t now_ms);
void config_hosts_on_unchanged (config_part_t *config, frame_reader_t *reader, int64_t now_ms);
/* A reader's beat: returns true if its list is newer and differs. */
bool
config_hosts_on_heartbeat (config_part_t *config, const config_have_t *progress, int64_t now_ms);
/* Answers a pull of HOST. */
void
config_hosts_answer_pull (config_part_t *config, const char *host, const config_have_t *progress);

/* Sends FRAME (taken over) to HOST, or to all hosts of this data centre. */
void config_send (config_part_t *config, const char *host, GBytes *frame);

/* The platform has answered this host. */
void config_note_platform_answer (config_part_t *config);

#endif
