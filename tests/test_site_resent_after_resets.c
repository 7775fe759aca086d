/* test_site_resent_after_resets.c -- a job that is sent again from one host that is no hub to
 * another one must run once at a time, also if connections of the second one broke as it was
 * announced */
#include "tests/resent_non_hubs.h"

#include "base/clock.h"

/* The job is announced 390 to 590 ms after it was received, and passed on 200 ms later at the most.
 */
#define BREAKS_FROM_MS 350
#define BREAK_EVERY_MS 25
#define BREAKS 20

/* Breaks the connections of SECOND_HOSTS while others announce. */
static void
break_connections (rig_t *rig, plan_kind_t kind, const int second_hosts[RESENT_ZONES_MAX])
{
  clock_sleep_ms (BREAKS_FROM_MS);
  for (int i = 0; i < BREAKS; i++)
    {
      for (int zone = 0; zone < RESENT_ZONES_MAX && (kind == PLAN_RESET || i == 0); zone++)
        rig_begin (rig, &(plan_fault_t){ .kind = kind, .target = second_hosts[zone] });
      clock_sleep_ms (BREAK_EVERY_MS);
    }
}

static void
reset (rig_t *rig, const int second_hosts[RESENT_ZONES_MAX])
{
  break_connections (rig, PLAN_RESET, second_hosts);
}

static void
mute (rig_t *rig, const int second_hosts[RESENT_ZONES_MAX])
{
  break_connections (rig, PLAN_MUTE, second_hosts);
}

static void
test_resets (void)
{
  const resent_non_hubs_t scenario = { .work_ms = 3500, .caller_wait_ms = 9000, .between = reset };

  resent_non_hubs_play (&scenario);
}

static void
test_silence (void)
{
  const resent_non_hubs_t scenario = { .work_ms = 3500, .caller_wait_ms = 9000, .between = mute };

  resent_non_hubs_play (&scenario);
}

static const unit_test_t tests[] = {
  { "connections are reset", test_resets },
  { "connections fall silent", test_silence },
};

int
main (int argc, char **argv)
{
  return resent_non_hubs_main ("site_resent_after_resets", tests, G_N_ELEMENTS (tests), argc, argv);
}
