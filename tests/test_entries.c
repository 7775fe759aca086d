/* test_entries.c -- odd entries among those of the endpoints: decoded, relayed to peers, and logged
 *
 * Another writer may leave anything in the directory.  What is not a usable endpoint must be
 * refused, and what is accepted must be accepted by every other host too.
 */
#include "base/clock.h"
#include "base/event.h"
#include "executor/executor_msg.h"
#include "platform/decode.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define NOW_MS 1000
#define DEEP_LEVELS 10000
#define LARGE_BYTES (4 * 1024 * 1024)
#define CORES_MAX_MILLI INT64_C (100000000)
#define MEMORY_MAX_MB (INT64_C (1) << 32)
#define GPUS_MAX 100000
#define INTEGER_MAX (INT64_C (1) << 53)
/* What a cold start may take at most, by decode.c. */
#define COLD_MAX_MS 600000
#define LINE_BYTES 65536

typedef enum
{
  NONE,  /* names no endpoint */
  USABLE /* names an endpoint, with values in range */
} verdict_t;

/* --- one member of a valid entry, replaced --- */

/* The members of a valid entry; the version is not read. */
static const struct
{
  const char *name;
  const char *json;
} members[] = {
  { "service", "\"s\"" },
  { "address", "\"10.2.64.22:8444\"" },
  { "zone", "\"x\"" },
  { "state", "\"ready\"" },
  { "free_capacity", "{\"cpu_millis\":16000,\"mem_mb\":32768,\"gpus\":0}" },
  { "labels", "[\"a\",\"r1-3\"]" },
  { "sequence", "4" },
  { "born", "1700000000000" },
  { "cold_remaining_ms", "0" },
  { "version", "\"v1\"" },
};

static const struct
{
  const char *name;
  const char *member; /* one of the above, or a further one; NULL: nothing is replaced */
  const char *json;   /* its value; NULL: it is left out */
  verdict_t verdict;
} member_cases[] = {
  { "valid", NULL, NULL, USABLE },

  { "address missing", "address", NULL, NONE },
  { "address empty", "address", "\"\"", NONE },
  { "address of another type", "address", "8444", NONE },
  { "address null", "address", "null", NONE },
  { "address a list", "address", "[\"10.2.64.22:8444\"]", NONE },
  { "port 99999", "address", "\"10.2.64.22:99999\"", NONE },
  { "port 65536", "address", "\"10.2.64.22:65536\"", NONE },
  { "port 65535", "address", "\"10.2.64.22:65535\"", USABLE },
  { "port 0", "address", "\"10.2.64.22:0\"", NONE },
  { "port 1", "address", "\"10.2.64.22:1\"", USABLE },
  { "port -1", "address", "\"10.2.64.22:-1\"", NONE },
  { "port missing", "address", "\"10.2.64.22\"", NONE },
  { "port empty", "address", "\"10.2.64.22:\"", NONE },
  { "port a word", "address", "\"10.2.64.22:http\"", NONE },
  { "port of many digits", "address", "\"10.2.64.22:18446744073709560060\"", NONE },
  { "IP missing", "address", "\":8444\"", NONE },
  { "IP out of range", "address", "\"10.2.64.256:8444\"", NONE },
  { "IP too short", "address", "\"10.2.64:8444\"", NONE },
  { "IP of no host", "address", "\"0.0.0.0:8444\"", NONE },
  { "multicast IP", "address", "\"224.0.0.1:8444\"", NONE },
  { "broadcast IP", "address", "\"255.255.255.255:8444\"", NONE },
  { "IPv6, which is not connected to", "address", "\"[::1]:8444\"", NONE },
  { "host name", "address", "\"server.example:8444\"", NONE },
  { "URL", "address", "\"http://10.2.64.22:8444/\"", NONE },
  { "address with spaces", "address", "\" 10.2.64.22:8444 \"", NONE },
  { "address with a line break", "address", "\"10.2.64.22:8444\\r\\nX: y\"", NONE },
  { "address with a NUL", "address", "\"10.2.64.22:8444\\u0000x\"", NONE },

  { "service missing", "service", NULL, NONE },
  { "service empty", "service", "\"\"", NONE },
  { "service of another type", "service", "7", NONE },
  { "service with a control character", "service", "\"s\\n\"", NONE },
  { "service with a NUL", "service", "\"s\\u0000x\"", NONE },
  { "service beyond ASCII", "service", "\"s\\u00e9\"", USABLE },
  { "zone missing", "zone", NULL, NONE },
  { "zone empty", "zone", "\"\"", NONE },
  { "zone of another type", "zone", "{}", NONE },
  { "zone with a control character", "zone", "\"x\\u0007\"", NONE },
  { "zone with a NUL", "zone", "\"x\\u0000\"", NONE },

  { "state missing", "state", NULL, NONE },
  { "state draining", "state", "\"draining\"", USABLE },
  { "state unknown", "state", "\"asleep\"", NONE },
  { "state with a NUL", "state", "\"ready\\u0000\"", NONE },
  { "state of another type", "state", "true", NONE },

  { "capacity missing", "free_capacity", NULL, NONE },
  { "capacity of another type", "free_capacity", "16000", NONE },
  { "capacity empty", "free_capacity", "{}", NONE },
  { "no cores", "free_capacity", "{\"cpu_millis\":0,\"mem_mb\":0}", USABLE },
  { "cores -1", "free_capacity", "{\"cpu_millis\":-1,\"mem_mb\":1}", NONE },
  { "cores -0.5", "free_capacity", "{\"cpu_millis\":-0.5,\"mem_mb\":1}", NONE },
  { "cores text", "free_capacity", "{\"cpu_millis\":\"16000\",\"mem_mb\":1}", NONE },
  { "cores 16000.0", "free_capacity", "{\"cpu_millis\":16000.0,\"mem_mb\":1}", USABLE },
  { "cores 1e400", "free_capacity", "{\"cpu_millis\":1e400,\"mem_mb\":1}", NONE },
  { "cores 1e18", "free_capacity", "{\"cpu_millis\":1e18,\"mem_mb\":1}", NONE },
  { "cores 2^40 - 1", "free_capacity", "{\"cpu_millis\":1099511627775,\"mem_mb\":1}", NONE },
  { "cores 2^63", "free_capacity", "{\"cpu_millis\":9223372036854775808,\"mem_mb\":1}", NONE },
  { "cores NaN", "free_capacity", "{\"cpu_millis\":NaN,\"mem_mb\":1}", NONE },
  { "cores Infinity", "free_capacity", "{\"cpu_millis\":Infinity,\"mem_mb\":1}", NONE },
  { "memory NaN", "free_capacity", "{\"cpu_millis\":1,\"mem_mb\":NaN}", NONE },
  { "memory 2^40 - 1", "free_capacity", "{\"cpu_millis\":1,\"mem_mb\":1099511627775}", NONE },
  { "GPUs missing", "free_capacity", "{\"cpu_millis\":1,\"mem_mb\":1}", USABLE },
  { "GPUs -1", "free_capacity", "{\"cpu_millis\":1,\"mem_mb\":1,\"gpus\":-1}", NONE },
  { "GPUs text", "free_capacity", "{\"cpu_millis\":1,\"mem_mb\":1,\"gpus\":\"2\"}", NONE },
  { "GPUs null", "free_capacity", "{\"cpu_millis\":1,\"mem_mb\":1,\"gpus\":null}", NONE },
  { "GPUs NaN", "free_capacity", "{\"cpu_millis\":1,\"mem_mb\":1,\"gpus\":NaN}", NONE },
  { "GPUs 2^63 - 1", "free_capacity",
    "{\"cpu_millis\":1,\"mem_mb\":1,\"gpus\":9223372036854775807}", NONE },

  { "labels missing", "labels", NULL, USABLE },
  { "labels empty", "labels", "[]", USABLE },
  { "labels of another type", "labels", "\"a\"", NONE },
  { "label of another type", "labels", "[1,\"r\"]", NONE },
  { "label null", "labels", "[\"a\",null]", NONE },
  { "label with a control character", "labels", "[\"a\\u001b[0m\",\"r\"]", NONE },
  { "label with a NUL", "labels", "[\"a\\u0000b\",\"r\"]", NONE },

  { "sequence missing", "sequence", NULL, NONE },
  { "sequence text", "sequence", "\"4\"", NONE },
  { "sequence -1", "sequence", "-1", NONE },
  { "sequence 4.0", "sequence", "4.0", USABLE },
  { "sequence 1.5", "sequence", "1.5", NONE },
  { "sequence 1e400", "sequence", "1e400", NONE },
  { "sequence 2^63", "sequence", "9223372036854775808", NONE },
  { "sequence of 40 digits", "sequence", "9999999999999999999999999999999999999999", NONE },

  { "born missing", "born", NULL, USABLE },
  { "born text", "born", "\"yesterday\"", NONE },
  { "born null", "born", "null", NONE },
  { "born -1", "born", "-1", NONE },
  { "born 1.5", "born", "1.5", NONE },
  { "born 1.7e12", "born", "1.7e12", USABLE },
  { "born NaN", "born", "NaN", NONE },
  { "born -Infinity", "born", "-Infinity", NONE },
  { "born 1e400", "born", "1e400", NONE },
  { "born 2^53", "born", "9007199254740992", USABLE },
  { "born 2^53 + 2", "born", "9007199254740994", NONE },
  { "born 2^63 - 1", "born", "9223372036854775807", NONE },
  { "born 2^63", "born", "9223372036854775808", NONE },
  { "born 2^64", "born", "18446744073709551616", NONE },

  { "cold time missing", "cold_remaining_ms", NULL, USABLE },
  { "cold time 812.4", "cold_remaining_ms", "812.4", USABLE },
  { "cold time of a day, of which ten minutes count", "cold_remaining_ms", "86400000", USABLE },
  { "cold time -1", "cold_remaining_ms", "-1", NONE },
  { "cold time text", "cold_remaining_ms", "\"soon\"", NONE },
  { "cold time NaN", "cold_remaining_ms", "NaN", NONE },
  { "cold time 1e400", "cold_remaining_ms", "1e400", NONE },

  { "version missing, which is not read", "version", NULL, USABLE },
  { "a further member", "more", "{\"a\":[1,2,3]}", USABLE },
  { "a second address, which holds", "address\":\"10.2.64.22:1\",\"address", "\"10.2.64.22:99999\"",
    NONE },
  { "a second born of another type, which holds", "born\":5,\"born", "\"5\"", NONE },
};

static char *
entry_with (const char *member, const char *json)
{
  GString *text = g_string_new ("{");
  const char *separator = "";

  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    if (g_strcmp0 (members[i].name, member) != 0)
      {
        g_string_append_printf (text, "%s\"%s\":%s", separator, members[i].name, members[i].json);
        separator = ",";
      }
  if (member != NULL && json != NULL)
    g_string_append_printf (text, "%s\"%s\":%s", separator, member, json);
  g_string_append_c (text, '}');
  return g_string_free (text, FALSE);
}

/* --- checks --- */

static bool
is_in_range (const executor_entry_t *entry)
{
  const executor_endpoint_t *endpoint = &entry->endpoint;
  const resources_t *amounts = &endpoint->free;

  return amounts->cores_milli >= 0 && amounts->cores_milli <= CORES_MAX_MILLI
         && amounts->memory_mb >= 0 && amounts->memory_mb <= MEMORY_MAX_MB && amounts->gpus >= 0
         && amounts->gpus <= GPUS_MAX && endpoint->started_at_ms >= 0
         && endpoint->started_at_ms <= INTEGER_MAX && endpoint->cold_until_ms >= 0
         && endpoint->cold_until_ms <= NOW_MS + COLD_MAX_MS;
}

/* Relays ENTRY, as a host does to its peers.  Returns whether they take it in. */
static bool
is_taken_by_peers (const executor_entry_t *entry)
{
  GBytes *frame = executor_msg_endpoint (entry, NOW_MS);
  gsize size = 0;
  const char *data = g_bytes_get_data (frame, &size);
  frame_reader_t *reader = NULL;
  executor_entry_t received;

  CU_ASSERT_EQUAL_FATAL (
      frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
  bool taken = executor_msg_read_endpoint (reader, NOW_MS, &received) == 0;
  if (taken)
    executor_entry_clear (&received);
  frame_reader_free (reader);
  g_bytes_unref (frame);
  return taken;
}

static void
check_entry (const char *name, const char *id, const char *data, size_t size, verdict_t verdict)
{
  executor_entry_t entry;
  bool usable = decode_entry (id, data, size, NOW_MS, &entry) == 0;
  bool held = usable == (verdict == USABLE);

  if (usable)
    {
      held = held && is_in_range (&entry) && is_taken_by_peers (&entry);
      executor_entry_clear (&entry);
    }
  if (!held)
    printf ("\n  %s: %s", name, usable ? "used" : "not used");
  CU_ASSERT_TRUE (held);
}

static void
test_members (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (member_cases); i++)
    {
      char *text = entry_with (member_cases[i].member, member_cases[i].json);
      check_entry (member_cases[i].name, "e0", text, strlen (text), member_cases[i].verdict);
      g_free (text);
    }
}

/* --- lengths --- */

static const struct
{
  const char *name;
  const char *member;
  const char *format; /* of its value */
  size_t length;
  verdict_t verdict;
} length_cases[] = {
  { "service of 256 bytes", "service", "\"%s\"", 256, USABLE },
  { "service of 257 bytes", "service", "\"%s\"", 257, NONE },
  { "zone of 256 bytes", "zone", "\"%s\"", 256, USABLE },
  { "zone of 257 bytes", "zone", "\"%s\"", 257, NONE },
  { "kind of 256 bytes", "labels", "[\"%s\",\"r\"]", 256, USABLE },
  { "kind of 257 bytes", "labels", "[\"%s\",\"r\"]", 257, NONE },
  { "rack of 257 bytes", "labels", "[\"a\",\"%s\"]", 257, NONE },
  { "service of several MB", "service", "\"%s\"", LARGE_BYTES, NONE },
  { "address of several MB", "address", "\"%s\"", LARGE_BYTES, NONE },
};

static void
test_lengths (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (length_cases); i++)
    {
      char *value = g_strnfill (length_cases[i].length, 'k');
      char **parts = g_strsplit (length_cases[i].format, "%s", 2);
      char *json = g_strconcat (parts[0], value, parts[1], NULL);
      char *text = entry_with (length_cases[i].member, json);
      check_entry (length_cases[i].name, "e0", text, strlen (text), length_cases[i].verdict);
      g_free (text);
      g_free (json);
      g_strfreev (parts);
      g_free (value);
    }
}

/* --- ids --- */

static const struct
{
  const char *name;
  const char *id;
  verdict_t verdict;
} id_cases[] = {
  { "id of this platform", "i-508a4cf2c3", USABLE },
  { "id with a slash", "rack/7", USABLE },
  { "id with a quote", "i-\"7\"", USABLE },
  { "id empty", "", NONE },
  { "id with a space", "i 7", NONE },
  { "id with a line break, which would add a header", "i-7\r\nX-Other: 1", NONE },
  { "id with a newline", "i-7\n", NONE },
  { "id with a tab", "i\t7", NONE },
  { "id with DEL", "i\x7f", NONE },
  { "id that is not UTF-8", "i-\xff\xfe", NONE },
  { "id beyond ASCII", "i-\xc3\xa9", NONE },
};

static void
test_ids (void)
{
  char *text = entry_with (NULL, NULL);
  char *longest = g_strnfill (256, 'i');
  char *too_long = g_strnfill (257, 'i');

  for (size_t i = 0; i < G_N_ELEMENTS (id_cases); i++)
    check_entry (id_cases[i].name, id_cases[i].id, text, strlen (text), id_cases[i].verdict);
  check_entry ("id of 256 bytes", longest, text, strlen (text), USABLE);
  check_entry ("id of 257 bytes", too_long, text, strlen (text), NONE);
  g_free (too_long);
  g_free (longest);
  g_free (text);
}

/* --- whole documents --- */

#define BYTES(text) text, sizeof (text) - 1

static const struct
{
  const char *name;
  const char *data;
  size_t size;
} document_cases[] = {
  { "no bytes", BYTES ("") },
  { "a NUL", BYTES ("\0") },
  { "spaces", BYTES ("   ") },
  { "a word", BYTES ("gone") },
  { "null", BYTES ("null") },
  { "a list", BYTES ("[]") },
  { "a number", BYTES ("1e400") },
  { "a text", BYTES ("\"ready\"") },
  { "an empty object", BYTES ("{}") },
  { "an object that is cut off", BYTES ("{\"service\":\"s\",\"address\":\"10.2.64.22:8444\"") },
  { "msgpack", BYTES ("\x82\xa7service\xa1s\xa4zone\xa1x") },
  { "UTF-16", BYTES ("\xff\xfe{\0}\0") },
};

static void
test_documents (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (document_cases); i++)
    check_entry (document_cases[i].name, "e0", document_cases[i].data, document_cases[i].size,
                 NONE);
}

/* A valid entry with a text inserted at the beginning of its last member, the version, or after its
 * end. */
static const struct
{
  const char *name;
  const char *data;
  size_t size;
  bool after_end;
  verdict_t verdict;
} inserted_cases[] = {
  { "a NUL in a text", BYTES ("\0"), false, NONE },
  { "bytes that are not UTF-8", BYTES ("\xff"), false, NONE },
  { "a surrogate in UTF-8", BYTES ("\xed\xa0\x80"), false, NONE },
  { "an emoji", BYTES ("\xf0\x9f\x99\x82"), false, USABLE },
  { "a NUL after the end", BYTES ("\0"), true, NONE },
  { "a newline after the end", BYTES ("\n"), true, USABLE },
  { "a second object", BYTES ("{}"), true, NONE },
};

static void
test_inserted_bytes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (inserted_cases); i++)
    {
      char *valid = entry_with (NULL, NULL);
      GString *text = g_string_new (valid);
      gssize at = inserted_cases[i].after_end ? (gssize) text->len
                                              : (gssize) (strstr (text->str, "v1") - text->str);
      g_string_insert_len (text, at, inserted_cases[i].data, (gssize) inserted_cases[i].size);
      check_entry (inserted_cases[i].name, "e0", text->str, text->len, inserted_cases[i].verdict);
      g_string_free (text, TRUE);
      g_free (valid);
    }
}

static char *
repeat (const char *open, const char *inner, const char *close, int levels)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < levels; i++)
    g_string_append (text, open);
  g_string_append (text, inner);
  for (int i = 0; i < levels; i++)
    g_string_append (text, close);
  return g_string_free (text, FALSE);
}

static const struct
{
  const char *name;
  const char *member;
  const char *open;
  const char *close;
} nested_cases[] = {
  { "arrays in a member that is not read", "more", "[", "]" },
  { "objects in a member that is not read", "more", "{\"a\":", "}" },
  { "arrays for the labels", "labels", "[", "]" },
  { "objects for the capacity", "free_capacity", "{\"cpu_millis\":", "}" },
  { "arrays that are not closed", "more", "[", "" },
};

static void
test_deep_nesting (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (nested_cases); i++)
    {
      char *json = repeat (nested_cases[i].open, "1", nested_cases[i].close, DEEP_LEVELS);
      char *text = entry_with (nested_cases[i].member, json);
      check_entry (nested_cases[i].name, "e0", text, strlen (text), NONE);
      check_entry (nested_cases[i].name, "e0", json, strlen (json), NONE);
      g_free (text);
      g_free (json);
    }
}

/* --- what a peer sends --- */

typedef enum
{
  FIELD_SHARD,
  FIELD_ID,
  FIELD_ADDRESS,
  FIELD_SERVICE,
  FIELD_KIND,
  FIELD_CORES,
  FIELD_GPUS,
  FIELD_BORN
} field_t;

static const struct
{
  const char *name;
  field_t field;
  const char *text;
  int64_t number;
  bool taken;
} relayed_cases[] = {
  { "valid", FIELD_BORN, NULL, 5, true },
  { "shard empty", FIELD_SHARD, "", 0, false },
  { "shard that is not UTF-8", FIELD_SHARD, "x\xff", 0, false },
  { "id empty", FIELD_ID, "", 0, false },
  { "id with a line break", FIELD_ID, "e0\r\nX: y", 0, false },
  { "address empty", FIELD_ADDRESS, "", 0, false },
  { "port 99999", FIELD_ADDRESS, "10.2.64.22:99999", 0, false },
  { "host name", FIELD_ADDRESS, "server.example:8444", 0, false },
  { "service empty", FIELD_SERVICE, "", 0, false },
  { "service that is not UTF-8", FIELD_SERVICE, "\xc3", 0, false },
  { "kind with a control character", FIELD_KIND, "a\n", 0, false },
  { "cores beyond any endpoint", FIELD_CORES, NULL, INT64_C (1) << 39, false },
  { "GPUs beyond any endpoint", FIELD_GPUS, NULL, INT64_C (1) << 39, false },
  { "born -1", FIELD_BORN, NULL, -1, false },
  { "born 2^63 - 1", FIELD_BORN, NULL, INT64_MAX, false },
};

static void
set_field (executor_entry_t *entry, field_t field, const char *text, int64_t number)
{
  const char **texts[] = { (const char **) &entry->shard, &entry->endpoint.id,
                           &entry->endpoint.address, &entry->endpoint.service,
                           &entry->endpoint.kind };

  if (field < G_N_ELEMENTS (texts))
    *texts[field] = text;
  else if (field == FIELD_CORES)
    entry->endpoint.free.cores_milli = number;
  else if (field == FIELD_GPUS)
    entry->endpoint.free.gpus = number;
  else
    entry->endpoint.started_at_ms = number;
}

static void
test_relayed_entries (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (relayed_cases); i++)
    {
      executor_entry_t entry = { .endpoint = { .id = "e0",
                                               .address = "10.2.64.22:8444",
                                               .service = "s",
                                               .kind = "a",
                                               .rack = "r",
                                               .free = { 16000, 32768, 0 } },
                                 .shard = (char *) "x" };
      set_field (&entry, relayed_cases[i].field, relayed_cases[i].text, relayed_cases[i].number);
      bool taken = is_taken_by_peers (&entry);
      if (taken != relayed_cases[i].taken)
        printf ("\n  %s: %s", relayed_cases[i].name, taken ? "taken" : "not taken");
      CU_ASSERT_EQUAL (taken, relayed_cases[i].taken);
    }
}

/* --- log lines --- */

static const struct
{
  const char *name;
  const char *id;
} logged_cases[] = {
  { "plain", "i-508a4cf2c3" },
  { "quotes and slashes", "a\"b\\c/d" },
  { "control characters", "a\x01\x1f\x7f" },
  { "line breaks", "a\r\nb" },
  { "not UTF-8", "a\xff\xfe" },
  { "cut off in a character", "a\xe2\x82" },
  { "a surrogate in UTF-8", "a\xed\xa0\x80" },
  { "beyond ASCII", "a\xc3\xa9\xe2\x82\xac" },
};

/* Writes the event line of an invalid entry to a pipe.  Returns it; the caller frees it. */
static char *
logged_line (const char *id)
{
  int pipe_fds[2];
  char *line = g_malloc0 (LINE_BYTES);

  fflush (stdout);
  CU_ASSERT_EQUAL_FATAL (pipe2 (pipe_fds, O_NONBLOCK), 0);
  int output = dup (STDOUT_FILENO);
  dup2 (pipe_fds[1], STDOUT_FILENO);
  if (event_begin (EVENT_ENDPOINT_INVALID))
    {
      event_add_text ("endpoint", id);
      event_end ();
    }
  static int64_t flushed_at_ms;
  flushed_at_ms = MAX (flushed_at_ms, clock_boot_ms ()) + 1000;
  event_flush (flushed_at_ms);
  dup2 (output, STDOUT_FILENO);
  close (output);
  ssize_t size = read (pipe_fds[0], line, LINE_BYTES - 1);
  CU_ASSERT_TRUE (size > 0);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
  return line;
}

/* A line is UTF-8, one JSON object, and ends with the only line break in it. */
static void
test_log_lines (void)
{
  event_setup ("h0");
  for (size_t i = 0; i < G_N_ELEMENTS (logged_cases); i++)
    {
      char *line = logged_line (logged_cases[i].id);
      json_object *object = json_tokener_parse (line);
      const char *line_end = strchr (line, '\n');
      bool valid = object != NULL && g_utf8_validate (line, -1, NULL)
                   && line_end == line + strlen (line) - 1;
      if (!valid)
        printf ("\n  %s: not one line of JSON", logged_cases[i].name);
      CU_ASSERT_TRUE (valid);
      json_object_put (object);
      g_free (line);
    }
}

static const unit_test_t tests[] = {
  { "members", test_members },
  { "lengths", test_lengths },
  { "ids", test_ids },
  { "documents", test_documents },
  { "inserted bytes", test_inserted_bytes },
  { "deep nesting", test_deep_nesting },
  { "relayed entries", test_relayed_entries },
  { "log lines", test_log_lines },
};

int
main (void)
{
  return unit_run ("entries", tests, G_N_ELEMENTS (tests));
}
