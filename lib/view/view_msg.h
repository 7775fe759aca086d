/* view_msg.h -- the messages of the membership, and their codec
 *
 * Every message may be lost, doubled, delayed or reordered.  Pure; any thread.
 */
#ifndef VIEW_VIEW_MSG_H
#define VIEW_VIEW_MSG_H

#include "view/view.h"

/* Bounds the states of one message. */
#define VIEW_STATES_MAX 256

typedef enum
{
  VIEW_MSG_BEAT = FRAME_VIEW_FIRST, /* contact, with an echo of the receiver's last beat */
  VIEW_MSG_SUMMARY,                 /* which states the sender has */
  VIEW_MSG_STATES,                  /* views that the receiver lacks */
  VIEW_MSG_DOUBT,                   /* do you hear this member? */
  VIEW_MSG_OPINION                  /* the answer */
} view_msg_type_t;

typedef struct
{
  uint64_t incarnation; /* of the sender */
  int64_t sent_ms;      /* boot clock of the sender */
  int64_t echo_ms;      /* SENT_MS of the receiver's last beat, or 0 */
  int64_t view;         /* number of the sender's view if it is a member, else 0 */
  bool leaving;
  uint64_t digest; /* of the sender's directory */
} view_beat_t;

typedef struct
{
  char *data_centre;
  int64_t number;
  uint64_t version;
} view_summary_row_t;

typedef struct
{
  bool reply; /* the receiver's own summary led to this one */
  int32_t count;
  view_summary_row_t *rows;
} view_summary_t;

typedef struct
{
  GPtrArray *views; /* view_t */
} view_states_t;

typedef struct
{
  char *host;
  uint64_t incarnation;
} view_doubt_t;

typedef struct
{
  char *host;
  uint64_t incarnation; /* as doubted */
  uint64_t seen;        /* the incarnation that the sender has met last, 0 for none */
  int64_t silent_ms;    /* since the sender heard of it */
} view_opinion_t;

typedef struct
{
  view_msg_type_t type;
  union
  {
    view_beat_t beat;
    view_summary_t summary;
    view_states_t states;
    view_doubt_t doubt;
    view_opinion_t opinion;
  } u;
} view_msg_t;

view_msg_t *view_msg_new (view_msg_type_t type);
void view_msg_free (view_msg_t *msg);

/* Encodes MSG as a frame, which the caller owns. */
GBytes *view_msg_encode (const view_msg_t *msg);

/* Decodes a frame; NULL if it is malformed or over a bound. */
view_msg_t *view_msg_decode (frame_reader_t *reader);

#endif
