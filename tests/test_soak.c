/* test_soak.c -- the soak's own parts: its checks on doctored books, its plan, its proxy
 *
 * A check that cannot fail is worth nothing: each row of the table is a book in which one promise
 * is broken, or a fault nearby excuses it.
 */
#include "base/clock.h"
#include "tests/port_block.h"
#include "tests/site_call.h"
#include "tests/soak/book.h"
#include "tests/soak/plan.h"
#include "tests/soak/proxy.h"
#include "tests/unit_runner.h"
#include "wire/socket.h"

#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROWS_MAX 8
#define JOB 7

typedef struct
{
  const char *name;
  int findings;
  int64_t trouble_from_ms; /* 0: none */
  int64_t trouble_until_ms;
  book_row_t rows[ROWS_MAX]; /* until one without a time */
} book_case_t;

#define SENT(at, tasks)                                                                            \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_SENT, .job = JOB, .index = (tasks), .number = 1, .text = "20"      \
  }
#define START(at, task, n, where)                                                                  \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_START, .job = JOB, .index = (task), .attempt = (n),                \
    .endpoint = (where), .text = "20"                                                              \
  }
#define END(at, task, n, where, how)                                                               \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_END, .job = JOB, .index = (task), .attempt = (n),                  \
    .endpoint = (where), .text = (how)                                                             \
  }
#define ANSWERED(at, code, body)                                                                   \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_ANSWERED, .job = JOB, .number = 1, .status = (code),               \
    .text = (body)                                                                                 \
  }
#define BROKEN(at)                                                                                 \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_BROKEN, .job = JOB, .number = 1, .text = "closed"                  \
  }
#define CANCELLED(at)                                                                              \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_CANCELLED, .job = JOB, .status = 200                               \
  }
#define OF_ENDPOINT(at, what, where)                                                               \
  {                                                                                                \
    .at_ms = (at), .kind = (what), .endpoint = (where)                                             \
  }
#define CONFIG(at, version)                                                                        \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_CONFIG, .number = (version)                                        \
  }
#define PROBED(at, life, version, code)                                                            \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_PROBED, .attempt = (life), .number = (version), .status = (code)   \
  }
#define HOST_ENDED(at, code, why)                                                                  \
  {                                                                                                \
    .at_ms = (at), .kind = BOOK_HOST_ENDED, .status = (code), .text = (why)                        \
  }

static const book_case_t books[] = {
  { "a good job",
    0,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), END (130, 0, 1, 1, "done"),
      ANSWERED (131, 200, "completed") } },
  { "nobody asked", 1, 0, 0, { START (110, 0, 1, 1), SENT (200, 1) } },
  { "a task too many", 1, 0, 0, { SENT (100, 1), START (110, 1, 1, 1) } },
  { "refused, and ran", 1, 0, 0, { SENT (100, 1), ANSWERED (110, 503, ""), START (900, 0, 1, 1) } },
  { "refused after it was lost: may have run",
    0,
    90,
    120,
    { SENT (100, 1), START (105, 0, 1, 1), BROKEN (110), SENT (120, 1), ANSWERED (130, 503, "") } },
  { "complete without a task",
    1,
    0,
    0,
    { SENT (100, 2), START (110, 0, 1, 1), END (130, 0, 1, 1, "done"),
      ANSWERED (131, 200, "completed") } },
  { "complete by a stopped task",
    1,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), END (130, 0, 1, 1, "stopped"),
      ANSWERED (131, 200, "completed") } },
  { "failed after one end",
    1,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), END (130, 0, 1, 1, "failed"),
      ANSWERED (131, 200, "failed") } },
  { "failed after its endpoint was killed once",
    1,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), OF_ENDPOINT (115, BOOK_ENDPOINT_GONE, 1),
      ANSWERED (120, 200, "failed") } },
  { "failed after a restart and a kill under one task",
    0,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), END (115, 0, 1, 1, "crashed"), START (120, 0, 2, 2),
      OF_ENDPOINT (125, BOOK_ENDPOINT_GONE, 2), ANSWERED (130, 200, "failed") } },
  { "failed after two endpoints were killed, one of them after its run",
    1,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), OF_ENDPOINT (115, BOOK_ENDPOINT_GONE, 1),
      START (120, 0, 2, 2), END (125, 0, 2, 2, "lapsed"), OF_ENDPOINT (126, BOOK_ENDPOINT_GONE, 2),
      ANSWERED (130, 200, "failed") } },
  { "failed after two endpoints were killed under different tasks",
    1,
    0,
    0,
    { SENT (100, 2), START (110, 0, 1, 1), START (111, 1, 1, 2),
      OF_ENDPOINT (115, BOOK_ENDPOINT_GONE, 1), OF_ENDPOINT (115, BOOK_ENDPOINT_GONE, 2),
      ANSWERED (130, 200, "failed") } },
  { "failed, and the second endpoint was killed afterwards",
    1,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), OF_ENDPOINT (115, BOOK_ENDPOINT_GONE, 1),
      START (120, 0, 2, 2), ANSWERED (130, 200, "failed"),
      OF_ENDPOINT (135, BOOK_ENDPOINT_GONE, 2) } },
  { "two runs at once", 1, 0, 0, { SENT (100, 1), START (110, 0, 1, 1), START (120, 0, 2, 2) } },
  { "one run after the other",
    0,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), END (120, 0, 1, 1, "lapsed"), START (120, 0, 2, 2) } },
  { "a run whose endpoint crashed in the millisecond of its start ran on for ever",
    0,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), END (110, 0, 1, 1, "crashed"), START (120, 0, 2, 2) } },
  { "a run that crashed at once, while another one was there",
    1,
    0,
    0,
    { SENT (100, 1), START (105, 0, 1, 1), START (110, 0, 2, 2), END (110, 0, 2, 2, "crashed") } },
  { "another run crashed in the millisecond of the start",
    1,
    0,
    0,
    { SENT (100, 2), START (110, 0, 1, 1), START (110, 1, 1, 1), END (110, 1, 1, 1, "crashed"),
      START (120, 0, 2, 2) } },
  { "a run that lapsed in the millisecond of its start ran on for ever",
    0,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), END (110, 0, 1, 1, "lapsed"), START (120, 0, 2, 2) } },
  { "a run that lapsed at once, while another one was there",
    1,
    0,
    0,
    { SENT (100, 1), START (105, 0, 1, 1), START (110, 0, 2, 2), END (110, 0, 2, 2, "lapsed") } },
  { "another run lapsed in the millisecond of the start",
    1,
    0,
    0,
    { SENT (100, 2), START (110, 0, 1, 1), START (110, 1, 1, 1), END (110, 1, 1, 1, "lapsed"),
      START (120, 0, 2, 2) } },
  { "its endpoint was killed",
    0,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), OF_ENDPOINT (115, BOOK_ENDPOINT_GONE, 1),
      START (120, 0, 2, 2) } },
  { "its endpoint is paused, the lease may last",
    1,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), OF_ENDPOINT (115, BOOK_ENDPOINT_PAUSED, 1),
      START (900, 0, 2, 2) } },
  { "its endpoint is paused, the lease is over",
    0,
    0,
    0,
    { SENT (100, 1), START (110, 0, 1, 1), OF_ENDPOINT (115, BOOK_ENDPOINT_PAUSED, 1),
      START (1200, 0, 2, 2) } },
  { "cancelled, and starts again",
    1,
    0,
    0,
    { SENT (100, 1), CANCELLED (110), START (3300, 0, 1, 1) } },
  { "cancelled, and ends late",
    1,
    0,
    0,
    { SENT (100, 1), START (105, 0, 1, 1), CANCELLED (110), END (3300, 0, 1, 1, "done") } },
  { "cancelled in a fault",
    0,
    1000,
    3000,
    { SENT (100, 1), CANCELLED (110), START (3300, 0, 1, 1) } },
  { "lost while it ran", 1, 0, 0, { SENT (100, 1), START (110, 0, 1, 1), BROKEN (150) } },
  { "lost long after it was sent", 1, 0, 0, { SENT (100, 1), BROKEN (400) } },
  { "closed before it was read", 0, 0, 0, { SENT (100, 1), BROKEN (150) } },
  { "lost in a fault", 0, 50, 60, { SENT (100, 1), BROKEN (400) } },
  { "leaving, and given work",
    1,
    0,
    0,
    { SENT (100, 1), OF_ENDPOINT (100, BOOK_ENDPOINT_LEAVING, 1), START (2200, 0, 1, 1) } },
  { "leaving for a moment only",
    0,
    0,
    0,
    { SENT (100, 1), OF_ENDPOINT (100, BOOK_ENDPOINT_LEAVING, 1), START (2000, 0, 1, 1) } },
  { "another one in its place",
    0,
    0,
    0,
    { SENT (100, 1), OF_ENDPOINT (100, BOOK_ENDPOINT_LEAVING, 1),
      OF_ENDPOINT (2100, BOOK_ENDPOINT_BACK, 1), START (2200, 0, 1, 1) } },
  { "configuration goes back", 1, 0, 0, { PROBED (100, 1, 2, 410), PROBED (400, 1, 2, 404) } },
  { "an older one goes", 1, 0, 0, { PROBED (100, 1, 3, 410), PROBED (400, 1, 2, 404) } },
  { "a new life", 0, 0, 0, { PROBED (100, 1, 2, 410), PROBED (400, 2, 2, 404) } },
  { "configuration late", 1, 0, 0, { CONFIG (100, 2), PROBED (2200, 1, 2, 404) } },
  { "configuration late in a fault", 0, 50, 60, { CONFIG (100, 2), PROBED (2200, 1, 2, 404) } },
  { "configuration on its way", 0, 0, 0, { CONFIG (100, 2), PROBED (1900, 1, 2, 404) } },
  { "a host ends by itself", 1, 0, 0, { HOST_ENDED (100, 11, "") } },
  { "a host stops badly", 1, 0, 0, { HOST_ENDED (100, 9, "stopped") } },
  { "a host stops well", 0, 0, 0, { HOST_ENDED (100, 0, "stopped") } },
  { "a host was killed", 0, 0, 0, { HOST_ENDED (100, 9, "killed") } },
};

static void
test_books (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (books); i++)
    {
      book_t *book = book_new ();
      for (size_t k = 0; k < ROWS_MAX && books[i].rows[k].at_ms != 0; k++)
        book_add (book, &books[i].rows[k]);
      if (books[i].trouble_from_ms != 0)
        book_trouble_over (book, book_trouble (book, books[i].trouble_from_ms),
                           books[i].trouble_until_ms);
      int32_t findings = book_check (book, INT64_MAX);
      if (findings != books[i].findings)
        printf ("  %s: %d findings\n", books[i].name, (int) findings);
      CU_ASSERT_EQUAL (findings, books[i].findings);
      CU_ASSERT_EQUAL (book_check (book, INT64_MAX), findings);
      book_free (book);
    }
}

static void
test_ledger (void)
{
  book_t *book = book_new ();

  book_ledger (book, "{\"at_ms\":5,\"endpoint\":\"e3\",\"what\":\"start\",\"task\":"
                     "\"00000000000000ff.0.0.2\",\"attempt\":1,\"spec\":\"20\",\"token\":1}");
  book_ledger (book, "listening");
  CU_ASSERT_EQUAL (book_totals (book).starts, 1);
  CU_ASSERT_EQUAL (book_check (book, INT64_MAX), 1);
  book_free (book);
}

static void
test_last_taker (void)
{
  static const book_row_t rows[] = {
    SENT (10, 1),
    START (12, 0, 1, 1),
    { .at_ms = 20, .kind = BOOK_SENT, .job = JOB, .host = 4, .number = 2, .text = "20" },
    { .at_ms = 30, .kind = BOOK_SENT, .job = JOB + 1, .host = 5, .number = 3, .text = "20" },
    { .at_ms = 31, .kind = BOOK_START, .job = JOB + 1, .attempt = 1, .text = "20" },
    START (11, 1, 1, 2),
  };
  static const int32_t takers[] = { -1, 0, 4, 4, 5, 5 };
  book_t *book = book_new ();

  CU_ASSERT_EQUAL (book_last_taker (book), -1);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      book_add (book, &rows[i]);
      CU_ASSERT_EQUAL (book_last_taker (book), takers[i]);
    }
  book_free (book);
}

/* Of two requests without an answer the runs of one go on; the other one's caller left unseen. */
static void
test_stop_times (void)
{
  static const book_row_t rows[] = {
    SENT (10, 1),
    START (12, 0, 1, 1),
    ANSWERED (50, 504, "{}"),
    END (85, 0, 1, 1, "stopped"),
    START (90, 0, 2, 2),
    { .at_ms = 95, .kind = BOOK_BROKEN, .job = JOB, .text = BOOK_LEFT_UNSEEN },
    END (400, 0, 2, 2, "done"),
  };
  book_t *book = book_new ();

  CU_ASSERT_EQUAL (book_stop_times (book).requests, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    book_add (book, &rows[i]);
  book_stop_times_t times = book_stop_times (book);
  CU_ASSERT_EQUAL (times.requests, 1);
  CU_ASSERT_EQUAL (times.half_ms, 35);
  CU_ASSERT_EQUAL (times.longest_ms, 35);
  CU_ASSERT_EQUAL (times.longest_job, JOB);
  book_free (book);
}

/* The same seed makes the same plan; faults are in their order, inside of their bounds. */
static void
test_plan (void)
{
  const plan_options_t options = { 6, 12, 3, 7000 };

  for (uint32_t seed = 1; seed <= 300; seed++)
    {
      GArray *plan = plan_new (seed, &options);
      GArray *again = plan_new (seed, &options);
      char *text = plan_text (plan);
      char *same = plan_text (again);
      CU_ASSERT_STRING_EQUAL (text, same);
      CU_ASSERT_TRUE (plan->len >= 2);
      for (guint i = 0; i < plan->len; i++)
        {
          const plan_fault_t *fault = &g_array_index (plan, plan_fault_t, i);
          const plan_fault_t *before = &g_array_index (plan, plan_fault_t, i > 0 ? i - 1 : 0);
          CU_ASSERT_TRUE (fault->at_ms >= before->at_ms && fault->until_ms > fault->at_ms);
          CU_ASSERT_TRUE (fault->target >= 0 && fault->target < options.endpoints);
          CU_ASSERT_TRUE (seed % 3 != 0 || plan_is_planned (fault->kind));
        }
      g_free (text);
      g_free (same);
      g_array_unref (plan);
      g_array_unref (again);
    }
}

/* --- the proxy, in front of an echo --- */

#define PROXY_IP "127.0.9.1"
#define GUARD_MS 5000
#define SILENCE_MS 250

typedef enum
{
  NOTHING,
  HOLD,
  HOLD_AND_END,
  DELAY,
  RESET,
  BREAK,
  MUTE
} harm_t;

typedef enum
{
  ANSWERED_SOON,
  ANSWERED_LATE, /* not within SILENCE_MS */
  SILENT,
  CLOSED
} seen_t;

static const struct
{
  const char *name;
  harm_t harm;
  seen_t seen;
} harms[] = {
  { "nothing", NOTHING, ANSWERED_SOON },
  { "held for good", HOLD, SILENT },
  { "held for a while", HOLD_AND_END, ANSWERED_LATE },
  { "delayed both ways", DELAY, ANSWERED_LATE },
  { "reset", RESET, CLOSED },
  { "cut with resets", BREAK, CLOSED },
  { "silent for good", MUTE, SILENT },
};

/* Sends back what one connection sends. */
static void *
run_echo (void *data)
{
  int fd = accept (*(int *) data, NULL, NULL);
  char bytes[64];
  ssize_t got = 0;

  while ((got = recv (fd, bytes, sizeof bytes, 0)) > 0)
    (void) !send (fd, bytes, (size_t) got, MSG_NOSIGNAL);
  close (fd);
  return NULL;
}

static void
do_harm (proxy_t *proxy, harm_t harm)
{
  if (harm == HOLD || harm == HOLD_AND_END)
    proxy_rule (proxy, 1, PROXY_HOLD, NULL, "echo", 0, false);
  if (harm == DELAY)
    proxy_rule (proxy, 1, PROXY_DELAY, NULL, "echo", SILENCE_MS, false);
  if (harm == BREAK)
    proxy_rule (proxy, 1, PROXY_BREAK, NULL, "echo", 0, false);
  if (harm == RESET)
    proxy_reset (proxy, "echo");
  if (harm == MUTE)
    proxy_mute (proxy, "echo");
  clock_sleep_ms (50);
}

/* Whether an answer comes, or an end, within WAIT_MS. */
static bool
hears (int fd, int64_t wait_ms, bool *closed)
{
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  char byte = 0;

  if (poll (&wait, 1, (int) wait_ms) <= 0)
    return false;
  *closed = recv (fd, &byte, 1, 0) <= 0;
  return true;
}

static seen_t
see (proxy_t *proxy, int fd, harm_t harm)
{
  bool closed = false;

  (void) !send (fd, "x", 1, MSG_NOSIGNAL);
  if (hears (fd, SILENCE_MS, &closed))
    return closed ? CLOSED : ANSWERED_SOON;
  if (harm == HOLD_AND_END)
    proxy_end_rule (proxy, 1);
  if (harm == HOLD || harm == MUTE)
    return hears (fd, SILENCE_MS, &closed) ? ANSWERED_LATE : SILENT;
  return hears (fd, GUARD_MS, &closed) ? ANSWERED_LATE : SILENT;
}

static void
test_proxy (void)
{
  static const port_range_t range = { .first_port = 19600, .ports = 20, .blocks = 18 };
  port_block_t block;

  CU_ASSERT_EQUAL_FATAL (port_block_take (&range, &block), 0);
  for (size_t i = 0; i < G_N_ELEMENTS (harms); i++)
    {
      proxy_t *proxy = proxy_new ();
      int port = block.first_port + (int) i;
      char *address = g_strdup_printf ("127.0.0.1:%d", port);
      int listener = socket_listen (address);
      fcntl (listener, F_SETFL, 0);
      GThread *echo = g_thread_new ("echo", run_echo, &listener);

      CU_ASSERT_EQUAL (proxy_listen (proxy, PROXY_IP, port, port, NULL, "echo", "echoes"), 0);
      int fd = site_connect (PROXY_IP, port);
      bool closed = false;
      (void) !send (fd, "a", 1, MSG_NOSIGNAL);
      CU_ASSERT_TRUE (hears (fd, GUARD_MS, &closed));
      do_harm (proxy, harms[i].harm);
      seen_t seen = see (proxy, fd, harms[i].harm);
      if (seen != harms[i].seen)
        printf ("  %s: %d\n", harms[i].name, (int) seen);
      CU_ASSERT_EQUAL (seen, harms[i].seen);
      close (fd);
      proxy_free (proxy);
      g_thread_join (echo);
      close (listener);
      g_free (address);
    }
  port_block_free (&block);
}

static const unit_test_t tests[] = {
  { "checks on doctored books", test_books },
  { "a ledger's line", test_ledger },
  { "the host that took work last", test_last_taker },
  { "how long runs go on", test_stop_times },
  { "plans", test_plan },
  { "the proxy", test_proxy },
};

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  return unit_run ("soak", tests, G_N_ELEMENTS (tests));
}
