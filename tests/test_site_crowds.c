/* test_site_crowds.c -- crowds that send ahead and never read must not make a host end or outgrow
 * the memory that its settings name, on real processes */
#include "tests/site_crowd.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define MIB (1024 * 1024)
/* limits.memory_mb of the hosts' settings: a process that exceeds it is killed (DEPLOY.md). */
#define MEMORY_MB 64
/* limits.max_open_files of the hosts' settings: no crowd here has as many connections. */
#define MAX_OPEN_FILES 4100
/* Under AddressSanitizer the program takes more than MEMORY_MB before it serves anything, and each
 * object has red zones and shadow memory: there the growth is bound, to SANITIZER_FACTOR times what
 * the settings leave beside the program.  The factor is the mean of the sanitizer's publication. */
#define PROGRAM_MB 16
#define SANITIZER_FACTOR 3
/* By each of the 8 connections: all together are four times MEMORY_MB. */
#define SENT_MAX_BYTES (32 * (int64_t) MIB)

/* The answers are longer than the requests. */
#define METRICS_SENT_MAX_BYTES (SENT_MAX_BYTES / 4)

#ifdef __SANITIZE_ADDRESS__
static const bool growth_only = true;
#else
static const bool growth_only = false;
#endif

#define HOST_LINE "Host: q.example\r\n\r\n"
#define UNKNOWN_PATH "GET /x HTTP/1.1\r\n" HOST_LINE
#define UNKNOWN_JOB_GET "GET /q/% HTTP/1.1\r\n" HOST_LINE
#define UNKNOWN_JOB_DELETE "DELETE /q/% HTTP/1.1\r\n" HOST_LINE
#define METRICS "GET /metrics HTTP/1.1\r\n" HOST_LINE
#define METRICS_LAST "GET /metrics HTTP/1.1\r\nConnection: close\r\n" HOST_LINE
#define LONG_BODY_POST                                                                             \
  "POST /q/% HTTP/1.1\r\nHost: q.example\r\nContent-Type: application/json\r\n"                    \
  "Content-Length: 61440\r\n\r\n"
/* A frame of 60 MB (lib/wire/frame.h): less than the largest allowed. */
#define FRAME_LENGTH "\x03\xc0\xc0\xc0"

static const crowd_t crowds[] = {
  { "unknown paths", CROWD_FRONTEND, 8, NULL, UNKNOWN_PATH, NULL, SENT_MAX_BYTES },
  { "GETs of unknown jobs", CROWD_FRONTEND, 8, NULL, UNKNOWN_JOB_GET, NULL, SENT_MAX_BYTES },
  { "DELETEs of unknown jobs", CROWD_FRONTEND, 8, NULL, UNKNOWN_JOB_DELETE, NULL, SENT_MAX_BYTES },
  { "GETs at ready", CROWD_READY, 8, NULL, UNKNOWN_JOB_GET, NULL, SENT_MAX_BYTES },
  { "metrics at ready", CROWD_READY, 8, NULL, METRICS, NULL, METRICS_SENT_MAX_BYTES },
  { "jobs behind an open job", CROWD_FRONTEND, 8, CROWD_JOB_POST, CROWD_JOB_POST, NULL,
    SENT_MAX_BYTES },
  { "unknown paths behind an open job", CROWD_FRONTEND, 8, CROWD_JOB_POST, UNKNOWN_PATH, NULL,
    SENT_MAX_BYTES },
  { "bodies that never end", CROWD_FRONTEND, 1500, LONG_BODY_POST, " ", NULL, 59 * 1024 },
  { "heads that never end", CROWD_FRONTEND, 500, "GET /q/% HTTP/1.1\r\nHost: q.exa", NULL, NULL,
    0 },
  { "last answers unread", CROWD_READY, 500, NULL, METRICS, METRICS_LAST,
    40 * (int64_t) (sizeof METRICS - 1) },
  { "frames of 60 MB", CROWD_CONTROL_PLANE, 8, FRAME_LENGTH, "z", NULL, SENT_MAX_BYTES },
  { "garbage at the control plane", CROWD_CONTROL_PLANE, 8, NULL, "\xff\xfe\xfd garbage ", NULL,
    SENT_MAX_BYTES },
};

static int64_t
resident_max_bytes (const crowd_result_t *result)
{
  return growth_only
             ? result->idle_bytes + SANITIZER_FACTOR * (MEMORY_MB - PROGRAM_MB) * (int64_t) MIB
             : MEMORY_MB * (int64_t) MIB;
}

static void
test_crowds (void)
{
  static const site_limits_t limits = { .memory_mb = MEMORY_MB, .max_open_files = MAX_OPEN_FILES };

  for (size_t i = 0; i < G_N_ELEMENTS (crowds); i++)
    {
      crowd_result_t result = crowd_play (&crowds[i], &limits);
      CU_ASSERT_TRUE (result.lives);
      CU_ASSERT_TRUE (result.idle_bytes > 0 && result.idle_bytes < resident_max_bytes (&result));
      CU_ASSERT_TRUE (result.resident_bytes <= resident_max_bytes (&result));
      CU_ASSERT_TRUE (result.descriptors <= MAX_OPEN_FILES);
      CU_ASSERT_TRUE (result.answers);
    }
}

static const unit_test_t tests[] = {
  { "crowds", test_crowds },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  /* Memory that is freed but kept by the sanitizer is none of the program's growth. */
  setenv ("ASAN_OPTIONS", "quarantine_size_mb=1", 0);
  site_find_programs (argv[0]);
  return unit_run ("crowds", tests, G_N_ELEMENTS (tests));
}
