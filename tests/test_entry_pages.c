/* test_entry_pages.c -- the client of the log on odd listings, records and keys of the directory
 *
 * The test is the log: it answers the listings and the reads of a case in order, and collects what
 * the client reports.
 */
#include "base/clock.h"
#include "base/event.h"
#include "platform/log_client.h"
#include "reactor/loop.h"
#include "tests/port_block.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 5
#define LISTINGS_MAX 4
#define RECORDS_MAX 6
/* Pause before the reads of the configuration are answered, and the listings once there are many
 * of them. */
#define ANSWER_PAUSE_MS 100
#define LISTINGS_WITHOUT_PAUSE 8
/* More listings than this mean that the client does not get on. */
#define LISTINGS_ASKED_MAX 6
/* Longer than the time for which an entry that another host knows is waited for. */
#define EXPECTED_ENTRY_MS 3200
/* Keeps a faulty run from hanging. */
#define CASE_TIMEOUT_MS 4000
#define REQUEST_MAX_BYTES 65536

static const port_range_t port_range = { .first_port = 32700, .ports = 8, .blocks = 8 };

#define VALID                                                                                      \
  "{\"service\":\"s\",\"address\":\"10.2.64.22:8444\",\"zone\":\"x\",\"state\":\"ready\","         \
  "\"free_capacity\":{\"cpu_millis\":16000,\"mem_mb\":32768,\"gpus\":0},\"sequence\":4}"
#define ODD "{\"service\":\"s\",\"address\":\"10.2.64.22:99999\"}"
/* In base64; the text in the parentheses is put in the place of "%V" or "%O". */
#define ITEM(key) "{\"key\":\"" key "\",\"value\":\"%V\",\"offset\":1}"
#define ODD_ITEM(key) "{\"key\":\"" key "\",\"value\":\"%O\",\"offset\":1}"
#define PAGE(items) "{\"items\":[" items "],\"has_more\":false,\"end_offset\":9}"
#define PAGE_WITH_MORE(items) "{\"items\":[" items "],\"has_more\":true,\"end_offset\":9}"
#define KEY(text) text, sizeof (text) - 1

typedef struct
{
  const char *key;
  size_t key_bytes;
  const char *value;
} entry_record_t;

typedef struct
{
  const char *name;
  const char *listings[LISTINGS_MAX]; /* answers, in order; the last one is repeated */
  int expired_reads;                  /* so many reads are answered 410 first */
  entry_record_t records[RECORDS_MAX];
  const char *listed;   /* ids that are listed at the end, each followed by a space */
  int removed_count;    /* reported removals of endpoints that were listed */
  int invalid_count;    /* lines that name an invalid entry */
  const char *expected; /* an endpoint that another host knows when the listing is done, or NULL */
  bool left_out;        /* the listings leave entries out, so that the directory isn't known */
} page_case_t;

static const page_case_t cases[] = {
  { .name = "an odd entry among others",
    .listings = { PAGE (ITEM ("e0") "," ODD_ITEM ("e1") "," ITEM ("e2")) },
    .listed = "e0 e2 ",
    .invalid_count = 1 },
  { .name = "a listing that is cut off is read again",
    .listings = { "{\"items\":[" ITEM ("e0"), PAGE (ITEM ("e0")) },
    .listed = "e0 " },
  { .name = "a listing that is no object is read again",
    .listings = { "[]", "null", "", PAGE (ITEM ("e0")) },
    .listed = "e0 " },
  { .name = "a listing without items is read again",
    .listings = { "{\"has_more\":false,\"end_offset\":9}", "{\"items\":{},\"end_offset\":9}",
                  PAGE (ITEM ("e0")) },
    .listed = "e0 " },
  { .name = "a listing without a whole end offset is read again",
    .listings = { "{\"items\":[],\"has_more\":false}", "{\"items\":[],\"end_offset\":\"9\"}",
                  "{\"items\":[],\"end_offset\":-9}", PAGE (ITEM ("e0")) },
    .listed = "e0 " },
  { .name = "what was listed holds while a later listing can't be read",
    .listings = { PAGE (ITEM ("e0")), "{", "{\"items\":[],\"end_offset\":null}",
                  PAGE (ITEM ("e0")) },
    .expired_reads = 1,
    .listed = "e0 " },
  { .name = "items that are none",
    .listings = { PAGE ("7,null,{},{\"key\":5,\"value\":\"%V\"},{\"key\":\"e1\"},"
                        "{\"key\":\"e2\",\"value\":7}," ITEM ("e0")) },
    .listed = "e0 " },
  { .name = "a value that is not base64",
    .listings = { PAGE ("{\"key\":\"e1\",\"value\":\"!!\",\"offset\":1}," ITEM ("e0")) },
    .listed = "e0 " },
  { .name = "an item without an offset",
    .listings = { PAGE ("{\"key\":\"e1\",\"value\":\"%V\"}," ITEM ("e0")) },
    .listed = "e0 e1 " },
  { .name = "a page of items that are none, then another one",
    .listings = { PAGE_WITH_MORE ("{\"key\":\"e1\",\"value\":7}"), PAGE (ITEM ("e0")) },
    .listed = "e0 " },
  { .name = "pages that do not get on: the records are read nevertheless",
    .listings = { PAGE_WITH_MORE (ITEM ("")) },
    .records = { { KEY ("e0"), VALID } },
    .listed = "e0 ",
    .invalid_count = 1,
    .left_out = true },
  { .name = "a page with more and without a key: the records are read nevertheless",
    .listings = { PAGE_WITH_MORE ("7") },
    .records = { { KEY ("e0"), VALID } },
    .listed = "e0 ",
    .left_out = true },
  { .name = "a listed key with a NUL is not the key before it",
    .listings = { PAGE (ITEM ("e0") "," ODD_ITEM ("e0\\u0000x") "," ITEM ("e1\\u0000")) },
    .listed = "e0 ",
    .invalid_count = 2 },

  { .name = "an odd record among others",
    .listings = { PAGE (ITEM ("e0")) },
    .records = { { KEY ("e1"), VALID }, { KEY ("e2"), ODD }, { KEY ("e3"), VALID } },
    .listed = "e0 e1 e3 ",
    .invalid_count = 1 },
  { .name = "an entry that is overwritten by an odd one",
    .listings = { PAGE (ITEM ("e0")) },
    .records = { { KEY ("e0"), ODD } },
    .listed = "",
    .removed_count = 1,
    .invalid_count = 1 },
  { .name = "an entry that is overwritten by an odd one, and mended",
    .listings = { PAGE (ITEM ("e0")) },
    .records = { { KEY ("e0"), ODD }, { KEY ("e0"), VALID } },
    .listed = "e0 ",
    .removed_count = 1,
    .invalid_count = 1 },
  { .name = "an odd entry that is written again is logged once",
    .listings = { PAGE (ODD_ITEM ("e1")) },
    .records = { { KEY ("e1"), ODD }, { KEY ("e1"), "{}" }, { KEY ("e1"), "[" } },
    .listed = "",
    .invalid_count = 1 },
  { .name = "an odd entry that is listed again is logged once",
    .listings = { PAGE (ODD_ITEM ("e1")) },
    .expired_reads = 2,
    .listed = "",
    .invalid_count = 1 },
  { .name = "an entry that is mended and odd again is logged again",
    .listings = { PAGE (ODD_ITEM ("e1")) },
    .records = { { KEY ("e1"), VALID },
                 { KEY ("e1"), ODD },
                 { KEY ("e1"), "" },
                 { KEY ("e1"), ODD } },
    .listed = "",
    .removed_count = 1,
    .invalid_count = 3 },
  { .name = "a key with a NUL is not the key before it",
    .listings = { PAGE (ITEM ("e0")) },
    .records = { { KEY ("e0\0x"), ODD }, { KEY ("e0\0"), "" }, { KEY ("e1\0"), VALID } },
    .listed = "e0 ",
    .invalid_count = 2 },
  { .name = "keys that are no ids",
    .listings = { PAGE (ITEM ("e0")) },
    .records = { { KEY (""), VALID },
                 { KEY ("\xff"), VALID },
                 { KEY ("a b"), VALID },
                 { KEY ("a\r\nX: y"), VALID },
                 { KEY ("e1"), VALID } },
    .listed = "e0 e1 ",
    .invalid_count = 4 },
  { .name = "an endpoint that another host knows has an odd entry here",
    .listings = { PAGE (ITEM ("e0") "," ODD_ITEM ("e1")) },
    .listed = "e0 ",
    .removed_count = 1,
    .invalid_count = 1,
    .expected = "e1" },
};

/* --- the log --- */

typedef struct
{
  const page_case_t *page_case;
  loop_t *loop;
  web_server_t *server;
  web_client_t *webclient;
  log_client_t *log_client;
  GPtrArray *waiting; /* web_request_t: answered later */
  GPtrArray *waiting_listings;
  GHashTable *listed; /* ids */
  int64_t started_at_ms;
  int64_t answered_at_ms;
  int64_t expected_at_ms; /* when the client was told of the expected endpoint; 0: not yet */
  int listings_asked;
  int reads_answered; /* of the directory */
  int removed_count;
} page_test_t;

static void
append_number (GByteArray *out, uint64_t value, int bytes)
{
  for (int i = bytes; i-- > 0;)
    {
      guint8 byte = (guint8) (value >> (8 * i));
      g_byte_array_append (out, &byte, 1);
    }
}

static void
append_record (GByteArray *out, const entry_record_t *record)
{
  size_t value_bytes = strlen (record->value);

  append_number (out, 1 + record->key_bytes + value_bytes, 4);
  append_number (out, record->key_bytes, 1);
  g_byte_array_append (out, (const guint8 *) record->key, (guint) record->key_bytes);
  g_byte_array_append (out, (const guint8 *) record->value, (guint) value_bytes);
}

/* The first read that is not answered 410 gets the records, later ones none. */
static void
answer_read (page_test_t *test, web_request_t *request)
{
  const page_case_t *page_case = test->page_case;
  int number = test->reads_answered++ - page_case->expired_reads;
  GByteArray *out = g_byte_array_new ();

  append_number (out, 9, 8);
  append_number (out, 0, 8);
  for (int i = 0; number == 0 && i < RECORDS_MAX && page_case->records[i].key != NULL; i++)
    append_record (out, &page_case->records[i]);
  if (number < 0)
    web_reply (request, 410, NULL, "{\"start_offset\":9}");
  else
    web_reply_bytes (request, 200, NULL, out->data, out->len);
  g_byte_array_unref (out);
}

/* Puts the encoded VALUE in the place of each MARK in TEXT. */
static void
put_value (GString *text, const char *mark, const char *value)
{
  char *encoded = g_base64_encode ((const guchar *) value, strlen (value));

  g_string_replace (text, mark, encoded, 0);
  g_free (encoded);
}

static void
answer_listing (page_test_t *test, web_request_t *request)
{
  const char *const *listings = test->page_case->listings;
  int number = MIN (test->listings_asked, LISTINGS_MAX - 1);

  test->listings_asked++;
  while (listings[number] == NULL)
    number--;
  GString *body = g_string_new (listings[number]);
  put_value (body, "%V", VALID);
  put_value (body, "%O", ODD);
  web_reply (request, 200, NULL, body->str);
  g_string_free (body, TRUE);
}

static void
on_request (web_request_t *request, void *data)
{
  page_test_t *test = data;
  bool of_directory = strstr (request->target, "keyed.servers") != NULL;

  if (strcmp (request->method, "GET") != 0)
    web_reply (request, 404, NULL, "{}");
  else if (g_str_has_prefix (request->target, "/log-newest") && !of_directory)
    web_reply (request, 200, NULL, PAGE (""));
  else if (g_str_has_prefix (request->target, "/log-newest"))
    {
      if (test->listings_asked < LISTINGS_WITHOUT_PAUSE)
        answer_listing (test, request);
      else
        g_ptr_array_add (test->waiting_listings, request);
    }
  else if (of_directory)
    answer_read (test, request);
  else
    g_ptr_array_add (test->waiting, request);
}

static void
on_abandoned (web_request_t *request, void *data)
{
  page_test_t *test = data;

  g_ptr_array_remove (test->waiting, request);
  g_ptr_array_remove (test->waiting_listings, request);
}

static void
answer_waiting (page_test_t *test)
{
  static const guint8 no_records[16];

  while (test->waiting->len > 0)
    web_reply_bytes (g_ptr_array_steal_index (test->waiting, 0), 200, NULL, no_records,
                     sizeof no_records);
  while (test->waiting_listings->len > 0)
    answer_listing (test, g_ptr_array_steal_index (test->waiting_listings, 0));
}

/* --- what the client reports --- */

static void
on_config (const char *data, size_t size, void *user)
{
  (void) data;
  (void) size;
  (void) user;
}

static void
on_drain (const char *data_centre, uint64_t offset, bool drained, void *user)
{
  (void) data_centre;
  (void) offset;
  (void) drained;
  (void) user;
}

static void
on_drains_listed (const drain_t *listed, size_t count, uint64_t end, void *user)
{
  (void) listed;
  (void) count;
  (void) end;
  (void) user;
}

static void
on_drains_read (uint64_t end, void *user)
{
  (void) end;
  (void) user;
}

static void
on_updated (const executor_entry_t *entry, void *user)
{
  page_test_t *test = user;

  g_hash_table_add (test->listed, g_strdup (entry->endpoint.id));
}

static void
on_removed (const char *id, void *user)
{
  page_test_t *test = user;

  test->removed_count += g_hash_table_remove (test->listed, id);
}

static void
on_peer (const char *host, const char *address, const char *data_centre, int32_t cores, void *user)
{
  (void) host;
  (void) address;
  (void) data_centre;
  (void) cores;
  (void) user;
}

static void
on_reachable (bool reachable, void *user)
{
  (void) reachable;
  (void) user;
}

static const log_client_ops_t ops = { on_config,  on_drain,   on_drains_listed, on_drains_read,
                                      on_updated, on_removed, on_peer,          on_reachable };

/* --- a case --- */

/* Tells the client of the expected endpoint, as a host does that has taken it in from a peer. */
static void
expect_endpoint (page_test_t *test, int64_t now_ms)
{
  test->expected_at_ms = now_ms;
  g_hash_table_add (test->listed, g_strdup (test->page_case->expected));
  log_client_expect_endpoint (test->log_client, test->page_case->expected, now_ms);
}

/* The records have been taken in when the read after them is answered. */
static bool
is_done (const page_test_t *test, int64_t now_ms)
{
  if (now_ms - test->started_at_ms > CASE_TIMEOUT_MS)
    return true;
  if (test->page_case->expected != NULL)
    return test->expected_at_ms > 0 && now_ms - test->expected_at_ms > EXPECTED_ENTRY_MS;
  return test->reads_answered > test->page_case->expired_reads + 1;
}

static void
on_tick (void *data)
{
  page_test_t *test = data;
  int64_t now_ms = clock_boot_ms ();

  web_server_tick (test->server, now_ms);
  web_client_tick (test->webclient, now_ms);
  log_client_tick (test->log_client, now_ms);
  if (now_ms - test->answered_at_ms >= ANSWER_PAUSE_MS)
    {
      test->answered_at_ms = now_ms;
      answer_waiting (test);
    }
  if (test->page_case->expected != NULL && test->expected_at_ms == 0 && test->reads_answered > 0)
    expect_endpoint (test, now_ms);
  if (is_done (test, now_ms))
    loop_stop (test->loop);
}

static void
page_test_start (page_test_t *test, const page_case_t *page_case, const char *address)
{
  static const web_server_handlers_t handlers = { on_request, on_abandoned };
  const web_server_options_t server_options = { .address = address,
                                                .limits = { REQUEST_MAX_BYTES, REQUEST_MAX_BYTES,
                                                            CASE_TIMEOUT_MS, CASE_TIMEOUT_MS },
                                                .handlers = &handlers,
                                                .data = test };
  const log_client_options_t options = { .address = address,
                                         .host = "h0",
                                         .peer_address = "127.0.0.1:9",
                                         .data_centre = "x",
                                         .cores_milli = 1000,
                                         .config_apply_ms = 2000,
                                         .drain_apply_ms = 2000,
                                         .ops = &ops,
                                         .user = test };

  *test = (page_test_t){ .page_case = page_case, .started_at_ms = clock_boot_ms () };
  test->waiting = g_ptr_array_new ();
  test->waiting_listings = g_ptr_array_new ();
  test->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  test->loop = loop_new (TICK_MS, on_tick, test);
  test->webclient = web_client_new (test->loop);
  CU_ASSERT_EQUAL_FATAL (web_server_start (test->loop, &server_options, &test->server), 0);
  test->log_client = log_client_new (test->webclient, &options, test->started_at_ms);
}

static void
page_test_free (page_test_t *test)
{
  log_client_free (test->log_client);
  web_client_free (test->webclient);
  web_server_free (test->server);
  loop_free (test->loop);
  g_ptr_array_unref (test->waiting);
  g_ptr_array_unref (test->waiting_listings);
  g_hash_table_unref (test->listed);
}

/* The ids that are listed, sorted, each followed by a space. */
static char *
listed_ids (const page_test_t *test)
{
  GList *ids = g_list_sort (g_hash_table_get_keys (test->listed), (GCompareFunc) strcmp);
  GString *text = g_string_new (NULL);

  for (GList *at = ids; at != NULL; at = at->next)
    g_string_append_printf (text, "%s ", (const char *) at->data);
  g_list_free (ids);
  return g_string_free (text, FALSE);
}

static void
run_case (const page_case_t *page_case, const char *address)
{
  page_test_t test;
  int64_t lines_before = event_written_count ();

  page_test_start (&test, page_case, address);
  loop_run (test.loop);
  char *ids = listed_ids (&test);
  int invalid_count = (int) (event_written_count () - lines_before);
  bool read_on = test.reads_answered > page_case->expired_reads + 1
                 || (page_case->expected != NULL && test.reads_answered > 0);
  bool held = strcmp (ids, page_case->listed) == 0 && test.removed_count == page_case->removed_count
              && invalid_count == page_case->invalid_count && read_on
              && test.listings_asked <= LISTINGS_ASKED_MAX;
  if (!held)
    printf ("\n  %s: listed %s; %d removed, %d lines, %d reads, %d listings", page_case->name, ids,
            test.removed_count, invalid_count, test.reads_answered, test.listings_asked);
  CU_ASSERT_TRUE (held);
  CU_ASSERT_EQUAL (log_client_directory_read_at_ms (test.log_client) == 0, page_case->left_out);
  g_free (ids);
  page_test_free (&test);
}

static void
test_pages (void)
{
  port_block_t block;

  CU_ASSERT_EQUAL_FATAL (port_block_take (&port_range, &block), 0);
  event_setup ("h0");
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *address = g_strdup_printf ("127.0.0.1:%d", block.first_port + (int) i % 4);
      run_case (&cases[i], address);
      g_free (address);
    }
  port_block_free (&block);
}

static const unit_test_t tests[] = {
  { "pages and records", test_pages },
};

int
main (void)
{
  return unit_run ("pages of entries", tests, G_N_ELEMENTS (tests));
}
