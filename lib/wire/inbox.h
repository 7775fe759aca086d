/* inbox.h -- counts the received frames that their receivers have not released yet
 *
 * A frame is handed over as GBytes; while anybody holds a reference to it, its bytes count
 * toward the inbox of its connection.  A connection is not read while its inbox is full, so that
 * a peer that sends faster than its frames are handled waits, instead of filling the memory.
 *
 * The inboxes of all connections have one parent, which counts their frames together.
 *
 * inbox_is_full () and inbox_frame () belong to one thread; a frame may be released on any thread,
 * also after inbox_free ().
 */
#ifndef WIRE_INBOX_H
#define WIRE_INBOX_H

#include <glib.h>
#include <stdbool.h>

typedef struct inbox_t inbox_t;

/* Returns an empty inbox, which the caller frees.  PARENT counts its frames as well; it may be
 * NULL, and may be freed first. */
inbox_t *inbox_new (inbox_t *parent);
void inbox_free (inbox_t *inbox);

/* Returns a copy of the SIZE bytes at DATA, counted until the last reference to it is dropped.  The
 * caller drops one (g_bytes_unref). */
GBytes *inbox_frame (inbox_t *inbox, const void *data, gsize size);

/* Returns true if the frames that have not been released have more than BYTES_MAX bytes, with what
 * handing over each of them takes. */
bool inbox_is_full (const inbox_t *inbox, gsize bytes_max);

#endif
