/* frame.h -- the messages between entry hosts: types, writer and bounded reader
 *
 * A frame on the wire is a 4-byte big-endian length, then a msgpack array:
 * its first element is the frame_type_t, the rest is the message's fields in
 * order.  A reader that meets the end before its last field, a wrong type or a
 * value over its bound enters a failed state in which every further read
 * returns a zero value; check frame_ok () once at the end.  Later versions may
 * append fields; readers ignore what they do not know.
 *
 * Not thread-safe: one writer or reader belongs to one thread.
 */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/* Bounds what one peer can make this host allocate. */
#define FRAME_MAX_BYTES (64u * 1024 * 1024)
#define FRAME_NAME_MAX_BYTES 256
#define FRAME_LENGTH_BYTES 4

/* One block of numbers for each part; a number is never used again. */
typedef enum
{
  /* 1..9: transport */
  FRAME_HELLO = 1,
  FRAME_PING = 2,
  FRAME_PONG = 3,
  /* 10..29: claim */
  FRAME_CLAIM_FIRST = 10,
  FRAME_CLAIM_LAST = 29,
  /* 30..49: view */
  FRAME_VIEW_FIRST = 30,
  FRAME_VIEW_LAST = 49,
  /* 50..69: configuration and lists */
  FRAME_CONFIG_FIRST = 50,
  FRAME_CONFIG_LAST = 69,
  /* 70..89: shares */
  FRAME_QUOTA_FIRST = 70,
  FRAME_QUOTA_LAST = 89,
  /* 90..109: jobs */
  FRAME_JOB_FIRST = 90,
  FRAME_JOB_LAST = 109,
  /* 110..129: service-level counters */
  FRAME_BURN_FIRST = 110,
  FRAME_BURN_LAST = 129,
  /* 130..149: tasks between coordinators and owners of endpoints */
  FRAME_EXECUTOR_FIRST = 130,
  FRAME_EXECUTOR_LAST = 149,
  /* 150..169: hosts and what they own */
  FRAME_CLUSTER_FIRST = 150,
  FRAME_CLUSTER_LAST = 169,
  /* 170..179: data centres that are drained */
  FRAME_DRAIN_FIRST = 170,
  FRAME_DRAIN_LAST = 179,
  FRAME_TYPE_MAX = 255
} frame_type_t;

typedef struct frame_writer_t frame_writer_t;
typedef struct frame_reader_t frame_reader_t;

/* Starts a frame of TYPE.  Free with frame_finish (). */
frame_writer_t *frame_begin (int type);

void frame_put_int (frame_writer_t *writer, int64_t value);
void frame_put_uint (frame_writer_t *writer, uint64_t value);
void frame_put_bool (frame_writer_t *writer, bool value);
/* TEXT may be NULL, which reads back as NULL. */
void frame_put_string (frame_writer_t *writer, const char *text);
void frame_put_bytes (frame_writer_t *writer, const void *data, size_t size);
/* Announces COUNT items that the caller puts next, flat. */
void frame_put_count (frame_writer_t *writer, size_t count);

/* Ends the frame and frees WRITER.  Returns the bytes with their length
 * prefix; the caller owns them (g_bytes_unref). */
GBytes *frame_finish (frame_writer_t *writer);

/* Parses the msgpack part of a frame (without the length prefix).  DATA must
 * outlive the reader.  Returns ERROR_PROTOCOL if it is not an array that
 * starts with a type from 1 to FRAME_TYPE_MAX.  Free with
 * frame_reader_free (). */
int frame_parse (const void *data, size_t size, frame_reader_t **reader);
void frame_reader_free (frame_reader_t *reader);

int frame_type (const frame_reader_t *reader);

int64_t frame_get_int (frame_reader_t *reader);
/* As above; outside of [MIN, MAX] the reader fails. */
int64_t frame_get_range (frame_reader_t *reader, int64_t min, int64_t max);
uint64_t frame_get_uint (frame_reader_t *reader);
bool frame_get_bool (frame_reader_t *reader);
/* A copy that the caller frees (g_free); NULL for a null string or on failure.
 * Over MAX_BYTES, or with a NUL inside, the reader fails. */
char *frame_get_string (frame_reader_t *reader, size_t max_bytes);
/* Points into the frame's data; *SIZE is set.  NULL on failure. */
const void *frame_get_bytes (frame_reader_t *reader, size_t max_bytes, size_t *size);
/* Reads SIZE bytes exactly into BUFFER; zeroes it on failure. */
void frame_get_fixed (frame_reader_t *reader, void *buffer, size_t size);
/* Reads an item count of at most MAX. */
size_t frame_get_count (frame_reader_t *reader, size_t max);

/* True while nothing has failed. */
bool frame_ok (const frame_reader_t *reader);

#endif
