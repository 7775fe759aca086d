/* resent_rig.c -- what tests share that play jobs which are sent again while hosts are cut off */
#include "tests/resent_rig.h"

#include "base/clock.h"
#include "tests/resent_job.h"
#include "tests/site_rig.h"
#include "tests/soak/rig_private.h"

#include <CUnit/CUnit.h>

#define WATCH_INTERVAL_MS 5

void
resent_sleep_until (int64_t at_ms)
{
  clock_sleep_ms (MAX (at_ms - clock_boot_ms (), 0));
}

void
resent_cut_hosts (rig_t *rig, int zone)
{
  for (int i = zone; i < rig->hosts_count; i += rig->zones)
    for (int k = 0; k < rig->hosts_count; k++)
      if (k % rig->zones != zone)
        proxy_rule (rig->proxy, RESENT_CUT_RULE, PROXY_HOLD, rig->hosts[i].name, rig->hosts[k].name,
                    0, false);
}

static bool
are_ready (const rig_t *rig, const int *hosts, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!rig_is_ready (rig, hosts[i]))
      return false;
  return true;
}

bool
resent_restart (rig_t *rig, const int *hosts, size_t count, int64_t ready_ms)
{
  int64_t until_ms = clock_boot_ms () + ready_ms;
  bool ready = false;

  for (size_t i = 0; i < count; i++)
    rig_kill_host (rig, hosts[i], "killed");
  while (!ready && clock_boot_ms () < until_ms)
    {
      clock_sleep_ms (WATCH_INTERVAL_MS);
      rig_watch (rig);
      ready = are_ready (rig, hosts, count);
    }
  return ready;
}

void
resent_play_rows (int hosts,
                  int endpoints,
                  int64_t settled_ms,
                  size_t rows,
                  void (*play) (rig_t *rig, size_t row))
{
  for (size_t row = 0; row < rows; row++)
    {
      rig_t rig = { .programs = site_programs (),
                    .hosts_count = hosts,
                    .endpoints_count = endpoints,
                    .zones = RESENT_ZONES_MAX,
                    .book = book_new () };

      CU_ASSERT_TRUE_FATAL (rig_start (&rig));
      clock_sleep_ms (settled_ms);
      play (&rig, row);
      rig_watch (&rig);
      int32_t findings = book_check (rig.book, clock_boot_ms ());
      CU_ASSERT_EQUAL (findings, 0);
      rig_stop (&rig, findings > 0);
      book_free (rig.book);
    }
}
