/* inbox.c -- counts the received frames that their receivers have not released yet */
#include "wire/inbox.h"

#include <stdatomic.h>
#include <string.h>

/* Memory for the bookkeeping of a frame on its way to its receiver, in bytes. */
#define FRAME_OVERHEAD_BYTES 256

struct inbox_t
{
  atomic_size_t bytes;
};

typedef struct
{
  inbox_t *inbox;
  gsize size;
  char data[];
} counted_frame_t;

inbox_t *
inbox_new (void)
{
  return g_atomic_rc_box_new0 (inbox_t);
}

void
inbox_free (inbox_t *inbox)
{
  g_atomic_rc_box_release (inbox);
}

static void
counted_frame_free (void *data)
{
  counted_frame_t *frame = data;

  atomic_fetch_sub (&frame->inbox->bytes, frame->size + FRAME_OVERHEAD_BYTES);
  g_atomic_rc_box_release (frame->inbox);
  g_free (frame);
}

GBytes *
inbox_frame (inbox_t *inbox, const void *data, gsize size)
{
  counted_frame_t *frame = g_malloc (sizeof *frame + size);

  frame->inbox = g_atomic_rc_box_acquire (inbox);
  frame->size = size;
  memcpy (frame->data, data, size);
  atomic_fetch_add (&inbox->bytes, size + FRAME_OVERHEAD_BYTES);
  return g_bytes_new_with_free_func (frame->data, size, counted_frame_free, frame);
}

bool
inbox_is_full (const inbox_t *inbox, gsize bytes_max)
{
  return atomic_load (&inbox->bytes) > bytes_max;
}
