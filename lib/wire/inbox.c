/* inbox.c -- counts the received frames that their receivers have not released yet */
#include "wire/inbox.h"

#include <stdatomic.h>
#include <string.h>

/* Memory for the bookkeeping of a frame on its way to its receiver, in bytes. */
#define FRAME_OVERHEAD_BYTES 256

struct inbox_t
{
  inbox_t *parent; /* a reference, or NULL */
  atomic_size_t bytes;
};

typedef struct
{
  inbox_t *inbox;
  gsize size;
  char data[];
} counted_frame_t;

inbox_t *
inbox_new (inbox_t *parent)
{
  inbox_t *inbox = g_atomic_rc_box_new0 (inbox_t);

  if (parent != NULL)
    inbox->parent = g_atomic_rc_box_acquire (parent);
  return inbox;
}

static void
inbox_clear (void *data)
{
  inbox_t *inbox = data;

  if (inbox->parent != NULL)
    inbox_free (inbox->parent);
}

void
inbox_free (inbox_t *inbox)
{
  g_atomic_rc_box_release_full (inbox, inbox_clear);
}

/* Adds SIZE bytes to INBOX and its parent. */
static void
count_frame (inbox_t *inbox, gsize size)
{
  for (; inbox != NULL; inbox = inbox->parent)
    atomic_fetch_add (&inbox->bytes, size + FRAME_OVERHEAD_BYTES);
}

static void
uncount_frame (inbox_t *inbox, gsize size)
{
  for (; inbox != NULL; inbox = inbox->parent)
    atomic_fetch_sub (&inbox->bytes, size + FRAME_OVERHEAD_BYTES);
}

static void
counted_frame_free (void *data)
{
  counted_frame_t *frame = data;

  uncount_frame (frame->inbox, frame->size);
  inbox_free (frame->inbox);
  g_free (frame);
}

GBytes *
inbox_frame (inbox_t *inbox, const void *data, gsize size)
{
  counted_frame_t *frame = g_malloc (sizeof *frame + size);

  frame->inbox = g_atomic_rc_box_acquire (inbox);
  frame->size = size;
  memcpy (frame->data, data, size);
  count_frame (inbox, size);
  return g_bytes_new_with_free_func (frame->data, size, counted_frame_free, frame);
}

bool
inbox_is_full (const inbox_t *inbox, gsize bytes_max)
{
  return atomic_load (&inbox->bytes) > bytes_max;
}
