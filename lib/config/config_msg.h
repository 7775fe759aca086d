/* config_msg.h -- messages by which hosts relay log streams and the list of hosts
 *
 * Encoders return a complete frame with its length prefix, which the caller
 * frees (g_bytes_unref).  Decoders return false on a malformed frame, in which
 * case there is nothing to free.  The list of hosts itself is encoded by
 * hosts_msg.h.
 *
 * The functions have no shared state; their arguments must be used by one thread
 * at a time.
 */
#ifndef CONFIG_CONFIG_MSG_H
#define CONFIG_CONFIG_MSG_H

#include "config/hosts_version.h"
#include "platform/batch.h"
#include "wire/frame.h"

/* Frame types.  50 and 51 are the types of the records in the log (record.h). */
typedef enum
{
  CONFIG_MSG_HEARTBEAT = 52,
  CONFIG_MSG_PULL = 53,
  CONFIG_MSG_RECORDS = 54,
  CONFIG_MSG_STATE = 55,
  CONFIG_MSG_HOSTS = 56,
  CONFIG_MSG_HOSTS_UNCHANGED = 57
} config_msg_type_t;

#define CONFIG_MSG_STREAMS_MAX 16
#define CONFIG_MSG_STREAM_MAX_BYTES 64
#define CONFIG_MSG_RECORDS_MAX 100000

/* Position of a host in a log stream. */
typedef struct
{
  char *stream;
  int64_t next_offset; /* offset of the next record that the host needs */
} config_stream_position_t;

/* Body of HEARTBEAT and PULL: what the sender has.  A heartbeat comes from a
 * reader of the platform; a pull asks for everything newer. */
typedef struct
{
  bool platform_answered;        /* HEARTBEAT: the platform answered the sender recently */
  bool want_state;               /* PULL: the sender needs the whole configuration */
  hosts_version_t hosts_version; /* of the sender's list of hosts */
  uint64_t hosts_digest;         /* hosts_list_digest () of that list; 0 for none */
  GArray *positions;             /* of config_stream_position_t */
} config_progress_t;

config_progress_t *config_progress_new (void);
void config_progress_free (config_progress_t *progress);
/* STREAM is copied. */
void
config_progress_add_position (config_progress_t *progress, const char *stream, int64_t next_offset);

/* TYPE is CONFIG_MSG_HEARTBEAT or CONFIG_MSG_PULL. */
GBytes *config_msg_progress (config_msg_type_t type, const config_progress_t *progress);
/* The caller frees *PROGRESS. */
bool config_msg_get_progress (frame_reader_t *reader, config_progress_t **progress);

/* Records of STREAM. */
GBytes *config_msg_records (const char *stream, const log_batch_t *batch);
/* The caller frees *STREAM and *BATCH. */
bool config_msg_get_records (frame_reader_t *reader, char **stream, log_batch_t **batch);

/* A state, as a checkpoint record (record.h). */
GBytes *config_msg_state (GBytes *checkpoint);
/* *DATA points into the frame. */
bool config_msg_get_state (frame_reader_t *reader, const void **data, size_t *size);

/* Announces that the list with DIGEST was read again without changes and now
 * has VERSION. */
GBytes *config_msg_hosts_unchanged (const hosts_version_t *version, uint64_t digest);
bool
config_msg_get_hosts_unchanged (frame_reader_t *reader, hosts_version_t *version, uint64_t *digest);

#endif
