/* view_msg.h -- the membership protocol's messages and their codec
 *
 * Messages may be lost, duplicated, delayed or reordered; the receiver must
 * tolerate all of these.  A state is a view together with the epochs of its
 * slots (see view_version ()).  Pure functions; any thread.
 */
#ifndef VIEW_VIEW_MSG_H
#define VIEW_VIEW_MSG_H

#include "view/view.h"

/* Maximum number of rows in a summary and of views in a STATES message. */
#define VIEW_MSG_STATES_MAX 256

typedef enum
{
  VIEW_MSG_HEARTBEAT = FRAME_VIEW_FIRST, /* echoes the receiver's last heartbeat */
  VIEW_MSG_SUMMARY,                      /* version of each state that the sender has */
  VIEW_MSG_STATES,                       /* states that the receiver lacks */
  VIEW_MSG_SUSPICION_QUERY,              /* asks how long the receiver has not heard a member */
  VIEW_MSG_SUSPICION_REPLY               /* the answer to a query */
} view_msg_type_t;

typedef struct
{
  uint64_t incarnation; /* of the sender */
  int64_t sent_ms;      /* boot clock of the sender */
  int64_t echo_ms;      /* SENT_MS of the last heartbeat from the receiver; 0 before the first */
  int64_t view_number;  /* number of the sender's view, or 0 if it is not a member of it */
  bool leaving;
  uint64_t directory_digest; /* view_directory_digest () of the sender */
} view_heartbeat_t;

typedef struct
{
  char *data_centre;
  int64_t number;
  uint64_t version; /* view_version () */
} view_summary_row_t;

typedef struct
{
  bool is_reply; /* answers a summary; the receiver does not answer it with another one */
  int32_t count;
  view_summary_row_t *rows;
} view_summary_t;

typedef struct
{
  GPtrArray *views; /* view_t, owned */
} view_states_t;

typedef struct
{
  char *host;
  uint64_t incarnation;
} view_suspicion_query_t;

typedef struct
{
  char *host;
  uint64_t incarnation;       /* copied from the query */
  uint64_t known_incarnation; /* latest incarnation known to the sender, or 0 for none */
  int64_t silence_ms;         /* time since the sender last heard the host */
} view_suspicion_reply_t;

typedef struct
{
  view_msg_type_t type;
  union
  {
    view_heartbeat_t heartbeat;
    view_summary_t summary;
    view_states_t states;
    view_suspicion_query_t suspicion_query;
    view_suspicion_reply_t suspicion_reply;
  } u;
} view_msg_t;

/* Returns an empty message.  A STATES message has an empty array of views. */
view_msg_t *view_msg_new (view_msg_type_t type);
/* Frees MSG and all that it owns.  NULL is a no-op. */
void view_msg_free (view_msg_t *msg);

/* Encodes MSG as a frame, which the caller owns. */
GBytes *view_msg_encode (const view_msg_t *msg);

/* Decodes a frame.  Returns a message that the caller frees, or NULL if the frame
 * is malformed or exceeds a bound. */
view_msg_t *view_msg_decode (frame_reader_t *reader);

#endif
