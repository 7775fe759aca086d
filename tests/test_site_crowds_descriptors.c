/* test_site_crowds_descriptors.c -- crowds of more connections than a host may have descriptors
 * must not make it end, pass its limit, fill its log or stop answering, on real processes */
#include "tests/site_crowd.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* limits.memory_mb of the hosts' settings.  The bound of memory is checked by test_site_crowds.c.
 */
#define MEMORY_MB 64
/* limits.max_open_files of the hosts' settings, of which FILES are reserved for files: sockets and
 * pipes share the remainder (DEPLOY.md, "Memory and descriptors"). */
#define MAX_OPEN_FILES 300
#define FILES 200
/* RLIMIT_NOFILE of a process that is allowed less than its settings name. */
#define KERNEL_MAX_FILES 150
#define NAMED_MAX_FILES 4100
#define CONNECTIONS (2 * MAX_OPEN_FILES)
/* The budget of the log, twice 400 lines a second (docs/LOGS.md), of 256 bytes, for 10 s, in which
 * a row is over. */
#define LOG_MAX_BYTES (2 * 400 * 256 * 10)

/* One line of a listener in 5 s, for the same time. */
#define LIMIT_LINES_MAX 3

#define METRICS "GET /metrics HTTP/1.1\r\nHost: q.example\r\n\r\n"
#define METRICS_LAST "GET /metrics HTTP/1.1\r\nConnection: close\r\nHost: q.example\r\n\r\n"
#define HALF_A_HEAD "GET /q/% HTTP/1.1\r\nHost: q.exa"

static const crowd_t crowds[] = {
  { "connections at frontend", CROWD_FRONTEND, CONNECTIONS, NULL, NULL, NULL, 0 },
  { "connections at ready", CROWD_READY, CONNECTIONS, NULL, NULL, NULL, 0 },
  { "connections at the control plane", CROWD_CONTROL_PLANE, CONNECTIONS, NULL, NULL, NULL, 0 },
  { "half heads at frontend", CROWD_FRONTEND, CONNECTIONS, HALF_A_HEAD, NULL, NULL, 0 },
  { "last answers unread", CROWD_READY, CONNECTIONS, NULL, METRICS, METRICS_LAST,
    40 * (int64_t) (sizeof METRICS - 1) },
};

static void
play_all (const site_limits_t *limits, int descriptors_max, int channels_max)
{
  for (size_t i = 0; i < G_N_ELEMENTS (crowds); i++)
    {
      crowd_result_t result = crowd_play (&crowds[i], limits);
      CU_ASSERT_TRUE (result.lives);
      CU_ASSERT_TRUE (result.descriptors > 0 && result.descriptors <= descriptors_max);
      CU_ASSERT_TRUE (result.channels <= channels_max);
      CU_ASSERT_TRUE (result.log_bytes <= LOG_MAX_BYTES);
      CU_ASSERT_TRUE (result.answers);
      int lines_min = crowds[i].listener == CROWD_CONTROL_PLANE ? 0 : 1;
      int lines_max = crowds[i].listener == CROWD_CONTROL_PLANE ? 0 : LIMIT_LINES_MAX;
      CU_ASSERT_TRUE (result.clients_max > 0 && result.clients_max <= descriptors_max);
      CU_ASSERT_TRUE (result.limits_counted >= lines_min);
      CU_ASSERT_TRUE (result.limit_lines >= lines_min && result.limit_lines <= lines_max);
    }
}

static void
test_limit_of_the_settings (void)
{
  static const site_limits_t limits = { .memory_mb = MEMORY_MB, .max_open_files = MAX_OPEN_FILES };

  play_all (&limits, MAX_OPEN_FILES, MAX_OPEN_FILES - FILES);
}

/* Here accept () fails, unless the host keeps to what the kernel allows. */
static void
test_limit_of_the_kernel (void)
{
  static const site_limits_t limits = { .memory_mb = MEMORY_MB,
                                        .max_open_files = NAMED_MAX_FILES,
                                        .kernel_max_files = KERNEL_MAX_FILES };

  play_all (&limits, KERNEL_MAX_FILES, KERNEL_MAX_FILES);
}

static const unit_test_t tests[] = {
  { "limit of the settings", test_limit_of_the_settings },
  { "limit of the kernel", test_limit_of_the_kernel },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("crowds_descriptors", tests, G_N_ELEMENTS (tests));
}
