/* frame.c -- encodes and decodes the frames exchanged by entry hosts
 *
 * A msgpack array starts with the number of its elements, which is not known
 * until the whole message has been written.  The writer therefore always uses
 * the five-byte array32 header, and frame_finish () fills in the count.  The
 * reader decodes one element at a time with msgpack_unpack_next ().  Scalars are
 * stored in the object, and strings and byte arrays are references into the
 * frame, so an element whose size exceeds the frame fails without an allocation.
 */
#include "wire/frame.h"

#include "base/error.h"

#include <msgpack.h>
#include <string.h>

#define ARRAY32_TAG 0xddu
#define ARRAY32_HEADER_BYTES 5
#define HEADER_BYTES (FRAME_LENGTH_BYTES + ARRAY32_HEADER_BYTES)
#define UINT8_TAG 0xccu /* of a number that does not fit into its tag */

struct frame_writer_t
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint32_t element_count;
};

struct frame_reader_t
{
  const char *data;
  size_t size;
  size_t offset;
  uint32_t remaining_elements;
  int type;
  bool failed;
  msgpack_unpacked element;
};

static void
store_be32 (unsigned char *out, uint32_t value)
{
  out[0] = (unsigned char) (value >> 24);
  out[1] = (unsigned char) (value >> 16);
  out[2] = (unsigned char) (value >> 8);
  out[3] = (unsigned char) value;
}

static uint32_t
load_be32 (const unsigned char *in)
{
  return (uint32_t) in[0] << 24 | (uint32_t) in[1] << 16 | (uint32_t) in[2] << 8 | in[3];
}

frame_writer_t *
frame_begin (int type)
{
  static const char header[HEADER_BYTES];
  frame_writer_t *writer = g_new0 (frame_writer_t, 1);

  msgpack_sbuffer_init (&writer->buffer);
  msgpack_sbuffer_write (&writer->buffer, header, sizeof header);
  msgpack_packer_init (&writer->packer, &writer->buffer, msgpack_sbuffer_write);
  frame_put_int (writer, type);
  return writer;
}

void
frame_put_int (frame_writer_t *writer, int64_t value)
{
  msgpack_pack_int64 (&writer->packer, value);
  writer->element_count++;
}

void
frame_put_uint (frame_writer_t *writer, uint64_t value)
{
  msgpack_pack_uint64 (&writer->packer, value);
  writer->element_count++;
}

void
frame_put_bool (frame_writer_t *writer, bool value)
{
  if (value)
    msgpack_pack_true (&writer->packer);
  else
    msgpack_pack_false (&writer->packer);
  writer->element_count++;
}

void
frame_put_string (frame_writer_t *writer, const char *text)
{
  if (text == NULL)
    msgpack_pack_nil (&writer->packer);
  else
    msgpack_pack_str_with_body (&writer->packer, text, strlen (text));
  writer->element_count++;
}

void
frame_put_bytes (frame_writer_t *writer, const void *data, size_t size)
{
  msgpack_pack_bin_with_body (&writer->packer, data, size);
  writer->element_count++;
}

void
frame_put_count (frame_writer_t *writer, size_t count)
{
  frame_put_uint (writer, count);
}

GBytes *
frame_finish (frame_writer_t *writer)
{
  unsigned char *start = (unsigned char *) writer->buffer.data;

  store_be32 (start, (uint32_t) (writer->buffer.size - FRAME_LENGTH_BYTES));
  start[FRAME_LENGTH_BYTES] = ARRAY32_TAG;
  store_be32 (start + FRAME_LENGTH_BYTES + 1, writer->element_count);
  GBytes *bytes = g_bytes_new (writer->buffer.data, writer->buffer.size);
  msgpack_sbuffer_destroy (&writer->buffer);
  g_free (writer);
  return bytes;
}

int
frame_type_of (GBytes *frame)
{
  const unsigned char *type = (const unsigned char *) g_bytes_get_data (frame, NULL) + HEADER_BYTES;

  return type[0] == UINT8_TAG ? type[1] : type[0];
}

static bool
read_element (frame_reader_t *reader, msgpack_object_type type)
{
  if (reader->failed || reader->remaining_elements == 0)
    reader->failed = true;
  else if (msgpack_unpack_next (&reader->element, reader->data, reader->size, &reader->offset)
           != MSGPACK_UNPACK_SUCCESS)
    reader->failed = true;
  else if (reader->element.data.type != type)
    reader->failed = true;
  else
    reader->remaining_elements--;
  return !reader->failed;
}

/* Returns true if TAG starts an array or a map.  Fields are never containers.  The
 * unpacker would allocate memory for one, so it is rejected before it is
 * decoded. */
static bool
is_container (unsigned char tag)
{
  bool has_short_header = tag >= 0x80 && tag <= 0x9f;
  bool has_long_header = tag >= 0xdc && tag <= 0xdf;

  return has_short_header || has_long_header;
}

static bool
read_scalar (frame_reader_t *reader, msgpack_object_type type)
{
  if (!reader->failed && reader->offset < reader->size
      && is_container ((unsigned char) reader->data[reader->offset]))
    reader->failed = true;
  return read_element (reader, type);
}

int
frame_parse (const void *data, size_t size, frame_reader_t **out)
{
  const unsigned char *start = data;

  if (size < ARRAY32_HEADER_BYTES || size > FRAME_MAX_BYTES || start[0] != ARRAY32_TAG)
    return ERROR_PROTOCOL;
  frame_reader_t *reader = g_new0 (frame_reader_t, 1);
  reader->data = data;
  reader->size = size;
  reader->offset = ARRAY32_HEADER_BYTES;
  reader->remaining_elements = load_be32 (start + 1);
  msgpack_unpacked_init (&reader->element);
  reader->type = (int) frame_get_range (reader, 1, FRAME_TYPE_MAX);
  if (reader->failed)
    {
      frame_reader_free (reader);
      return ERROR_PROTOCOL;
    }
  *out = reader;
  return 0;
}

void
frame_reader_free (frame_reader_t *reader)
{
  if (reader == NULL)
    return;
  msgpack_unpacked_destroy (&reader->element);
  g_free (reader);
}

int
frame_type (const frame_reader_t *reader)
{
  return reader->type;
}

bool
frame_has_more (const frame_reader_t *reader)
{
  return !reader->failed && reader->remaining_elements > 0;
}

int64_t
frame_get_int (frame_reader_t *reader)
{
  return frame_get_range (reader, INT64_MIN, INT64_MAX);
}

int64_t
frame_get_range (frame_reader_t *reader, int64_t min, int64_t max)
{
  int64_t value = 0;
  bool negative = reader->offset < reader->size
                  && ((unsigned char) reader->data[reader->offset] >= 0xe0
                      || ((unsigned char) reader->data[reader->offset] & 0xfc) == 0xd0);

  if (!read_scalar (reader,
                    negative ? MSGPACK_OBJECT_NEGATIVE_INTEGER : MSGPACK_OBJECT_POSITIVE_INTEGER))
    return 0;
  if (negative)
    value = reader->element.data.via.i64;
  else if (reader->element.data.via.u64 > INT64_MAX)
    reader->failed = true;
  else
    value = (int64_t) reader->element.data.via.u64;
  if (value < min || value > max)
    reader->failed = true;
  return reader->failed ? 0 : value;
}

uint64_t
frame_get_uint (frame_reader_t *reader)
{
  if (!read_scalar (reader, MSGPACK_OBJECT_POSITIVE_INTEGER))
    return 0;
  return reader->element.data.via.u64;
}

bool
frame_get_bool (frame_reader_t *reader)
{
  if (!read_scalar (reader, MSGPACK_OBJECT_BOOLEAN))
    return false;
  return reader->element.data.via.boolean;
}

#define NIL_TAG 0xc0u

char *
frame_get_string (frame_reader_t *reader, size_t max_bytes)
{
  if (!reader->failed && reader->offset < reader->size
      && (unsigned char) reader->data[reader->offset] == NIL_TAG)
    {
      read_scalar (reader, MSGPACK_OBJECT_NIL);
      return NULL;
    }
  if (!read_scalar (reader, MSGPACK_OBJECT_STR))
    return NULL;
  msgpack_object_str text = reader->element.data.via.str;
  bool has_nul = text.size > 0 && memchr (text.ptr, '\0', text.size) != NULL;
  if (text.size > max_bytes || has_nul)
    {
      reader->failed = true;
      return NULL;
    }
  return text.size > 0 ? g_strndup (text.ptr, text.size) : g_strdup ("");
}

const void *
frame_get_bytes (frame_reader_t *reader, size_t max_bytes, size_t *size)
{
  *size = 0;
  if (!read_scalar (reader, MSGPACK_OBJECT_BIN))
    return NULL;
  msgpack_object_bin raw = reader->element.data.via.bin;
  if (raw.size > max_bytes)
    {
      reader->failed = true;
      return NULL;
    }
  *size = raw.size;
  return raw.ptr;
}

void
frame_get_fixed (frame_reader_t *reader, void *buffer, size_t size)
{
  size_t actual_size = 0;
  const void *data = frame_get_bytes (reader, size, &actual_size);

  memset (buffer, 0, size);
  if (data == NULL || actual_size != size)
    reader->failed = true;
  else
    memcpy (buffer, data, size);
}

size_t
frame_get_count (frame_reader_t *reader, size_t max)
{
  return (size_t) frame_get_range (reader, 0, (int64_t) max);
}

bool
frame_ok (const frame_reader_t *reader)
{
  return !reader->failed;
}
