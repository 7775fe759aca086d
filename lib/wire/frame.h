/* frame.h -- encodes and decodes the frames exchanged by entry hosts
 *
 * A frame is a 4-byte big-endian length followed by a msgpack array.  The first
 * element of the array is the frame_type_t, the others are the fields of the
 * message in order.  If a field is missing, has the wrong type or exceeds its
 * bound, the reader enters a failed state in which all further reads return
 * zero, false or NULL; callers check frame_ok () once after the last field.
 * Later versions may append fields, which older readers ignore.
 *
 * A writer or reader must be used by one thread at a time.
 */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/* Maximum size of a frame without its length prefix.  Limits the memory that a
 * peer can make this host allocate. */
#define FRAME_MAX_BYTES (64u * 1024 * 1024)
#define FRAME_NAME_MAX_BYTES 256 /* of a host id, the name of a data centre or an address */
#define FRAME_LENGTH_BYTES 4     /* size of the length prefix */

/* Each module has a range of type numbers.  The number of a type that was
 * removed must not be reused. */
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
  /* 50..69: configuration and list of hosts */
  FRAME_CONFIG_FIRST = 50,
  FRAME_CONFIG_LAST = 69,
  /* 70..89: quotas */
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
  /* 150..169: cluster membership and ownership of shards */
  FRAME_CLUSTER_FIRST = 150,
  FRAME_CLUSTER_LAST = 169,
  /* 170..179: drains of data centres */
  FRAME_DRAIN_FIRST = 170,
  FRAME_DRAIN_LAST = 179,
  /* 180..199: jobs between coordinators */
  FRAME_SCHEDULER_FIRST = 180,
  FRAME_SCHEDULER_LAST = 199,
  FRAME_TYPE_MAX = 255
} frame_type_t;

typedef struct frame_writer_t frame_writer_t;
typedef struct frame_reader_t frame_reader_t;

/* Starts a frame of TYPE.  The writer is freed by frame_finish (). */
frame_writer_t *frame_begin (int type);

/* Append a field to the frame. */
void frame_put_int (frame_writer_t *writer, int64_t value);
void frame_put_uint (frame_writer_t *writer, uint64_t value);
void frame_put_bool (frame_writer_t *writer, bool value);
/* TEXT may be NULL; frame_get_string () then returns NULL. */
void frame_put_string (frame_writer_t *writer, const char *text);
void frame_put_bytes (frame_writer_t *writer, const void *data, size_t size);
/* Appends the number of items in a list.  The caller then appends the fields of
 * the items one after the other, without a nested array. */
void frame_put_count (frame_writer_t *writer, size_t count);

/* Completes the frame and frees WRITER.  Returns the frame with its length
 * prefix, which the caller frees (g_bytes_unref). */
GBytes *frame_finish (frame_writer_t *writer);

/* Creates a reader for a frame without its length prefix.  DATA is not copied
 * and must outlive the reader.  Returns 0 and *READER, which the caller frees
 * with frame_reader_free (), or ERROR_PROTOCOL if the data is not an array that
 * starts with a type from 1 to FRAME_TYPE_MAX. */
int frame_parse (const void *data, size_t size, frame_reader_t **reader);
void frame_reader_free (frame_reader_t *reader);

/* Returns the type number of FRAME, which frame_finish () has made. */
int frame_type_of (GBytes *frame);

/* Returns the type number of the frame. */
int frame_type (const frame_reader_t *reader);

/* Whether there is a field that was not read: a later version may have added some. */
bool frame_has_more (const frame_reader_t *reader);

/* Read the next field. */
int64_t frame_get_int (frame_reader_t *reader);
/* Fails the reader if the value is outside of [MIN, MAX]. */
int64_t frame_get_range (frame_reader_t *reader, int64_t min, int64_t max);
uint64_t frame_get_uint (frame_reader_t *reader);
bool frame_get_bool (frame_reader_t *reader);
/* Returns a copy that the caller frees (g_free), or NULL for a null string or on
 * failure.  Fails the reader if the string is longer than MAX_BYTES or contains
 * a NUL byte. */
char *frame_get_string (frame_reader_t *reader, size_t max_bytes);
/* Returns a pointer into the data of the frame and sets *SIZE; NULL on failure.
 * Fails the reader if there are more than MAX_BYTES. */
const void *frame_get_bytes (frame_reader_t *reader, size_t max_bytes, size_t *size);
/* Reads a field of exactly SIZE bytes into BUFFER, which is zeroed on failure. */
void frame_get_fixed (frame_reader_t *reader, void *buffer, size_t size);
/* Reads the number of items in a list.  Fails the reader if it exceeds MAX. */
size_t frame_get_count (frame_reader_t *reader, size_t max);

/* Returns true if no read has failed. */
bool frame_ok (const frame_reader_t *reader);

#endif
