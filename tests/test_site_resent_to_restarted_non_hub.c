/* test_site_resent_to_restarted_non_hub.c -- a job that is sent again from one host that is no hub
 * to another one, which was restarted after the job was announced, must run once at a time */
#include "tests/resent_non_hubs.h"

#include "base/clock.h"
#include "tests/soak/rig_private.h"

#include <CUnit/CUnit.h>

/* The jobs were announced by then. */
#define RESTARTED_MS 900
#define READY_MAX_MS 3000

/* Restarts SECOND_HOSTS, and waits until all are ready. */
static void
restart (rig_t *rig, const int second_hosts[RESENT_ZONES_MAX])
{
  bool ready = false;

  clock_sleep_ms (RESTARTED_MS);
  int64_t began_at_ms = clock_boot_ms ();
  for (int i = 0; i < RESENT_ZONES_MAX; i++)
    rig_kill_host (rig, second_hosts[i], "killed");
  while (!ready && clock_boot_ms () < began_at_ms + READY_MAX_MS)
    {
      clock_sleep_ms (20);
      rig_watch (rig);
      ready = true;
      for (int i = 0; i < RESENT_ZONES_MAX; i++)
        ready = ready && rig_is_ready (rig, second_hosts[i]);
    }
  CU_ASSERT_TRUE (ready);
  printf ("  ready again after %d ms\n", (int) (clock_boot_ms () - began_at_ms));
}

static void
test_restarted (void)
{
  const resent_non_hubs_t scenario = { .work_ms = 5000,
                                       .caller_wait_ms = 12000,
                                       .between = restart };

  resent_non_hubs_play (&scenario);
}

static const unit_test_t tests[] = {
  { "sent again to a host that was restarted", test_restarted },
};

int
main (int argc, char **argv)
{
  return resent_non_hubs_main ("site_resent_to_restarted_non_hub", tests, G_N_ELEMENTS (tests),
                               argc, argv);
}
