/* config_private.h -- internals of the configuration part, shared by its files
 *
 * A reader is a host that reads the platform; relay_step () decides which hosts
 * of a data centre are readers.  Everything is used on the control thread only,
 * except PUBLISHED, which MUTEX protects.
 */
#ifndef DAEMON_CONFIG_PRIVATE_H
#define DAEMON_CONFIG_PRIVATE_H

#include "base/counter.h"
#include "config/checkpoint.h"
#include "config/config_msg.h"
#include "config/stream_buffer.h"
#include "config/replica.h"
#include "config/hosts_msg.h"
#include "config/relay.h"
#include "daemon/config_poll.h"
#include "daemon/part_config.h"

#include <pthread.h>

/* Where this host received its latest records from. */
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
  bool is_config; /* the stream of the configuration, not that of a follower */
  stream_buffer_t *buffer;
  config_poll_t *poll;
  part_config_follower_t follower; /* unused for the configuration's stream */
  int32_t consecutive_short_reads; /* consecutive reads in which the log ended before BUFFER */
} config_stream_t;

typedef struct
{
  hosts_clock_t clock;
  GPtrArray *list;         /* of host_t; empty before the first list */
  uint64_t digest;         /* of LIST; 0 before the first list */
  int64_t confirmed_at_ms; /* boot time of the last confirmation that LIST is current */
  config_poll_t *poll;
} config_hosts_t;

struct config_part_t
{
  part_t part;
  GPtrArray *streams; /* of config_stream_t; the configuration's stream is the first */
  config_replica_t *replica;
  config_hosts_t hosts;
  relay_t *relay;
  relay_actions_t relay_actions; /* result of relay_step () in the last tick */
  config_append_t *append;
  checkpoint_schedule_t checkpoint_schedule;
  checkpoint_inputs_t checkpoint_inputs;
  int64_t log_answered_at_ms;
  int64_t hosts_answered_at_ms;
  bool caught_up; /* has reached the end of a source at least once */
  config_source_t source;
  int64_t confirmed_at_ms;      /* boot time at which the configuration was last current */
  GHashTable *state_sent_at_ms; /* host id -> boot time at which the whole state was last sent */
  GArray *listeners;
  bool notify_pending; /* changes that listeners have not been told of */
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

/* Adds BATCH, which came from SOURCE, to STREAM.  A reader sends the new records to the
 * hosts of its data centre. */
void config_apply_batch (config_stream_t *stream, const log_batch_t *batch, config_source_t source);

/* Handles a frame of this part from host FROM. */
void config_handle_frame (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms);

/* Sends a heartbeat to all hosts of this data centre.  ANSWERED says whether the platform
 * answers this host. */
void config_send_heartbeat (config_part_t *config, bool answered);

/* Requests the records, state and host list that HOST has and this host lacks. */
void config_send_pull (config_part_t *config, const char *host);

/* Sends the records of STREAM from offset FROM onwards to HOST, or to all hosts of this
 * data centre if HOST is NULL. */
void config_send_records (config_stream_t *stream, const char *host, int64_t from);

/* True if this host has no complete state yet, so that it needs the one of a peer. */
bool config_lacks_state (const config_part_t *config);

/* config_hosts.c: initialises the list of hosts, and takes in the result of a poll, a list
 * from a peer, and a peer's confirmation that the list is unchanged. */
void config_hosts_init (config_part_t *config);
void config_hosts_on_poll (const config_poll_result_t *result, void *data);
void config_hosts_on_list (config_part_t *config, frame_reader_t *reader, int64_t now_ms);
void config_hosts_on_unchanged (config_part_t *config, frame_reader_t *reader, int64_t now_ms);

/* Handles the host list's part of a reader's heartbeat.  Returns true if the reader's list
 * is newer and differs. */
bool config_hosts_on_heartbeat (config_part_t *config,
                                const config_progress_t *progress,
                                int64_t now_ms);

/* Answers a pull of HOST, if the list here is newer. */
void config_hosts_answer_pull (config_part_t *config,
                               const char *host,
                               const config_progress_t *progress);

/* Sends FRAME to HOST, or to all hosts of this data centre if HOST is NULL.  Takes
 * ownership of FRAME. */
void config_send (config_part_t *config, const char *host, GBytes *frame);

/* Tells the relay when the platform last answered both kinds of request. */
void config_note_platform_answer (config_part_t *config);

#endif
