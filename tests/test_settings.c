/* test_settings.c -- lib/settings: valid files, and the message for each kind of error; settings of
 * the platform with a NUL */
#include "base/address.h"
#include "base/error.h"
#include "platform/settings.h"
#include "settings/settings.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define REQUIRED_KEYS                                                                              \
  "\"host_id\":\"a1\",\"data_centre\":\"dc\",\"caller_listen\":\"127.0.0.1:1\","                   \
  "\"admin_listen\":\"127.0.0.1:2\",\"peer_listen\":\"127.0.0.1:3\",\"platform\":[\"127.0.0.1:"    \
  "4\"]"
#define DATA_CENTRES "\"data_centres\":{\"dc\":[\"127.0.0.1:3\"]}"

/* FRAGMENT must occur in the message; NULL means that the file is valid. */
static const struct
{
  const char *text;
  const char *fragment;
} file_cases[] = {
  { "{" REQUIRED_KEYS "," DATA_CENTRES "}", NULL },
  { "// comment\n{" REQUIRED_KEYS ", /* here */ " DATA_CENTRES "}\n", NULL },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"log_level\":\"debug\"}", NULL },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"caller_threads\":3}",
    "caller_threads: 3: must be a whole number" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"caller_threads\":\"9\"}",
    "caller_threads: \"9\": must be" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"caller_threads\":9.5}", "caller_threads: 9.5: must be" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"log_level\":\"loud\"}",
    "must be one of error|warning|info|debug" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"test_faults\":1}",
    "test_faults: 1: must be true or false" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"colour\":1}",
    "colour: 1: must be removed: the key is unknown" },
  { "{" REQUIRED_KEYS ",\"data_centres\":{\"other\":[]}}",
    "data_centre: \"dc\": must be one of the names" },
  { "{" REQUIRED_KEYS ",\"data_centres\":{\"dc\":[\"127.0.0.1:3\",\"127.0.0.1:3\"]}}",
    "must be an address that is listed only once" },
  { "{" REQUIRED_KEYS ",\"data_centres\":{\"dc\":[\"host:3\"]}}", "must be an address as IP:port" },
  { "{" REQUIRED_KEYS ",\"data_centres\":{\"dc\":[\"127.0.0.1:0\"]}}",
    "must be an address as IP:port" },
  { "{" REQUIRED_KEYS ",\"data_centres\":[]}", "data_centres: []: must be an object" },
  { "{" REQUIRED_KEYS "}", "data_centres: (absent): must be present" },
  { "{" DATA_CENTRES "}", "host_id: (absent): must be present" },
  { "{\"host_id\":\"\"}", "host_id: \"\": must be 1 to 128" },
  { "{\"host_id\":7}", "host_id: 7: must be 1 to 128" },
  { "{\"host_id\":\"a\\u0000b\"}", "must be 1 to 128" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES ",\"log_level\":\"debug\\u0000\"}",
    "must be one of error|warning|info|debug" },
  { "{" REQUIRED_KEYS ",\"data_centres\":{\"dc\":[\"127.0.0.1:3\\u00001\"]}}",
    "must be an address as IP:port" },
  { "", "not valid JSON" },
  { "[]", "must be one JSON object" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES, "not valid JSON" },
  { "{" REQUIRED_KEYS "," DATA_CENTRES "} x", "nothing may follow the object" },
};

static void
check_file (const char *path, size_t i)
{
  settings_t *settings = NULL;
  char *message = NULL;

  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, file_cases[i].text, -1, NULL));
  int result = settings_read (path, &settings, &message);
  if (file_cases[i].fragment == NULL)
    {
      CU_ASSERT_EQUAL (result, 0);
      CU_ASSERT_PTR_NULL (message);
    }
  else
    {
      CU_ASSERT_EQUAL (result, ERROR_BAD_FILE);
      if (message == NULL)
        {
          CU_FAIL ("settings_read () failed without a message");
          return;
        }
      if (strstr (message, file_cases[i].fragment) == NULL)
        printf ("\n  got: %s\n", message);
      CU_ASSERT_PTR_NOT_NULL (strstr (message, file_cases[i].fragment));
      CU_ASSERT_PTR_NOT_NULL (strstr (message, path));
      CU_ASSERT_PTR_NULL (strchr (message, '\n'));
    }
  settings_free (settings);
  g_free (message);
}

static void
test_files (void)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);

  close (fd);
  for (size_t i = 0; i < G_N_ELEMENTS (file_cases); i++)
    check_file (path, i);
  g_unlink (path);
  g_free (path);
}

static void
test_example (void)
{
  settings_t *settings = NULL;
  char *message = NULL;

  CU_ASSERT_EQUAL (settings_read ("examples/settings.json", &settings, &message), 0);
  CU_ASSERT_PTR_NULL (message);
  settings_free (settings);
  CU_ASSERT_EQUAL (settings_read ("examples/absent.json", &settings, &message), ERROR_BAD_FILE);
  g_free (message);
}

static const struct
{
  const char *address;
  const char *ip; /* NULL: invalid */
  uint16_t port;
} address_cases[] = {
  { "127.0.0.1:80", "127.0.0.1", 80 },
  { "[::1]:65535", "::1", 65535 },
  { "::1:80", NULL, 0 },
  { "127.0.0.1", NULL, 0 },
  { "127.0.0.1:65536", NULL, 0 },
  { ":80", NULL, 0 },
  { "127.0.0.1:+8", NULL, 0 },
  { "localhost:80", NULL, 0 },
  { "", NULL, 0 },
};

static void
test_addresses (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (address_cases); i++)
    {
      char *ip = NULL;
      uint16_t port = 0;
      int result = address_split (address_cases[i].address, &ip, &port);
      CU_ASSERT_EQUAL (result, address_cases[i].ip != NULL ? 0 : ERROR_BAD_REQUEST);
      CU_ASSERT_EQUAL (g_strcmp0 (ip, address_cases[i].ip), 0);
      CU_ASSERT_EQUAL (port, address_cases[i].port);
      g_free (ip);
    }
}

#define PLATFORM_SETTINGS                                                                          \
  "node_name=a\nzone=x\nlisten_addrs.frontend=127.0.0.1:1\nlisten_addrs.ready=127.0.0.1:2\n"       \
  "listen_addrs.control_plane=127.0.0.1:3\nplatform.address=127.0.0.1:4\n"                         \
  "bounds.max_hold_ms=1000\nbounds.stop_timeout_ms=50\nbounds.grace_period_s=6\n"                  \
  "bounds.retransmit_ms=1300\nbounds.config_apply_ms=2000\nlimits.cpu_fraction=0.25\n"
#define MIB (INT64_C (1024) * 1024)
#define MORE_SETTINGS "bounds.remote_penalty=2\n"

static const struct
{
  const char *text;
  gsize bytes;
  int result;
} platform_file_cases[] = {
  { PLATFORM_SETTINGS MORE_SETTINGS, sizeof (PLATFORM_SETTINGS MORE_SETTINGS) - 1, 0 },
  { PLATFORM_SETTINGS "\0" MORE_SETTINGS, sizeof (PLATFORM_SETTINGS "\0" MORE_SETTINGS) - 1,
    ERROR_BAD_FILE },
  { PLATFORM_SETTINGS "\0", sizeof (PLATFORM_SETTINGS "\0") - 1, ERROR_BAD_FILE },
};

/* The lines after a NUL were left out without a word, and defaults used in their place. */
static void
test_platform_file_with_nul (void)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);

  close (fd);
  for (size_t i = 0; i < G_N_ELEMENTS (platform_file_cases); i++)
    {
      platform_settings_t *settings = NULL;
      char *message = NULL;
      CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, platform_file_cases[i].text,
                                                 (gssize) platform_file_cases[i].bytes, NULL));
      int result = platform_settings_read (path, &settings, &message);
      CU_ASSERT_EQUAL (result, platform_file_cases[i].result);
      CU_ASSERT_EQUAL (message != NULL, platform_file_cases[i].result != 0);
      if (result == 0)
        platform_settings_free (settings);
      g_free (message);
    }
  g_unlink (path);
  g_free (path);
}

/* LINE is added to a valid file.  Zeros mean that the file is invalid then. */
static const struct
{
  const char *line;
  int64_t memory_bytes;
  int64_t open_files_max;
} limit_cases[] = {
  { "", 256 * MIB, 1048576 },
  { "limits.memory_mb=16", 16 * MIB, 1048576 },
  { "limits.memory_mb=260", 260 * MIB, 1048576 },
  { "limits.memory_mb=1048576", 1048576 * MIB, 1048576 },
  { "limits.memory_mb=15", 0, 0 },
  { "limits.memory_mb=1048577", 0, 0 },
  { "limits.memory_mb=0", 0, 0 },
  { "limits.memory_mb=-260", 0, 0 },
  { "limits.memory_mb=", 0, 0 },
  { "limits.memory_mb=much", 0, 0 },
  { "limits.memory_mb=260 MB", 0, 0 },
  { "limits.memory_mb=nan", 0, 0 },
  { "limits.memory_mb=inf", 0, 0 },
  { "limits.max_open_files=64", 256 * MIB, 64 },
  { "limits.max_open_files=4100", 256 * MIB, 4100 },
  { "limits.max_open_files=1048576", 256 * MIB, 1048576 },
  { "limits.max_open_files=63", 0, 0 },
  { "limits.max_open_files=1048577", 0, 0 },
  { "limits.max_open_files=-1", 0, 0 },
  { "limits.max_open_files=", 0, 0 },
  { "limits.max_open_files=all", 0, 0 },
  { "limits.max_open_files=nan", 0, 0 },
  { "limits.memory_mb=120\nlimits.max_open_files=3075", 120 * MIB, 3075 },
};

static void
check_limits (const char *path, size_t i)
{
  platform_settings_t *settings = NULL;
  char *message = NULL;
  char *text = g_strconcat (PLATFORM_SETTINGS, limit_cases[i].line, "\n", NULL);

  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  int result = platform_settings_read (path, &settings, &message);
  CU_ASSERT_EQUAL (result, limit_cases[i].memory_bytes > 0 ? 0 : ERROR_BAD_FILE);
  if (result == 0)
    {
      CU_ASSERT_EQUAL (settings->memory_bytes, limit_cases[i].memory_bytes);
      CU_ASSERT_EQUAL (settings->open_files_max, limit_cases[i].open_files_max);
      platform_settings_free (settings);
    }
  else
    CU_ASSERT_TRUE (message != NULL && strstr (message, "limits.m") != NULL);
  if ((result == 0) != (limit_cases[i].memory_bytes > 0))
    printf ("\n  %s\n", limit_cases[i].line);
  g_free (message);
  g_free (text);
}

static void
test_limits (void)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);

  close (fd);
  for (size_t i = 0; i < G_N_ELEMENTS (limit_cases); i++)
    check_limits (path, i);
  g_unlink (path);
  g_free (path);
}

static const unit_test_t tests[] = {
  { "files", test_files },
  { "a file of the platform with a NUL", test_platform_file_with_nul },
  { "limits of memory and descriptors", test_limits },
  { "example file", test_example },
  { "addresses", test_addresses },
};

int
main (void)
{
  return unit_run ("settings", tests, G_N_ELEMENTS (tests));
}
