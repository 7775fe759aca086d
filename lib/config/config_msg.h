/* config_msg.h -- the messages by which hosts relay log streams and the list of hosts
 *
 * Encoders return whole frames with their length prefix.  Decoders return
 * false on a malformed frame and leave nothing to free then.  Pure; one thread.
 */
#ifndef CONFIG_CONFIG_MSG_H
#define CONFIG_CONFIG_MSG_H

#include "config/hosts_version.h"
#include "platform/batch.h"
#include "wire/frame.h"

/* Frame types; 50 and 51 are records of the log. */
typedef enum
{
  CONFIG_MSG_BEAT = 52,
  CONFIG_MSG_PULL = 53,
  CONFIG_MSG_RECORDS = 54,
  CONFIG_MSG_STATE = 55,
  CONFIG_MSG_HOSTS = 56,
  CONFIG_MSG_HOSTS_SAME = 57
} config_msg_type_t;

#define CONFIG_MSG_STREAMS_MAX 16
#define CONFIG_MSG_STREAM_MAX_BYTES 64
#define CONFIG_MSG_RECORDS_MAX 100000

typedef struct
{
  char *stream;
  int64_t next;
} config_position_t;

/* BEAT: what the sender, a reader, has.  PULL: what the sender wants to go on
 * from. */
typedef struct
{
  bool answered;         /* BEAT: the platform has answered the sender lately */
  bool want_state;       /* PULL: the sender needs the whole configuration */
  hosts_version_t hosts; /* of the sender's list */
  uint64_t hosts_digest; /* hosts_list_digest (); 0 for none */
  GArray *positions;     /* of config_position_t */
} config_have_t;

config_have_t *config_have_new (void);
void config_have_free (config_have_t *have);
void config_have_add (config_have_t *have, const char *stream, int64_t next);

GBytes *config_msg_have (config_msg_type_t type, const config_have_t *have);
bool config_msg_get_have (frame_reader_t *reader, config_have_t **have);

/* Records of STREAM. */
GBytes *config_msg_records (const char *stream, const log_batch_t *batch);
/* The caller frees *STREAM and *BATCH. */
bool config_msg_get_records (frame_reader_t *reader, char **stream, log_batch_t **batch);

/* A checkpoint record (record.h). */
GBytes *config_msg_state (GBytes *checkpoint);
/* *DATA points into the frame. */
bool config_msg_get_state (frame_reader_t *reader, const void **data, size_t *size);

/* The list with this digest was read again and is still in force. */
GBytes *config_msg_hosts_same (const hosts_version_t *version, uint64_t digest);
bool config_msg_get_hosts_same (frame_reader_t *reader, hosts_version_t *version, uint64_t *digest);

#endif
