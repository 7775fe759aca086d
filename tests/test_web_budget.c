/* test_web_budget.c -- lib/reactor budget of a web server: shares of the limits, who is given up */
#include "reactor/web_budget.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>

#define MIB (INT64_C (1024) * 1024)

static const struct
{
  const char *name;
  web_process_limits_t limits;
  web_budget_t callers;
  web_budget_t operator;
} share_cases[] = {
  { "no limit is known", { 0, 0 }, { INT32_MAX, INT64_MAX }, { 64, INT64_MAX } },
  { "a usual host", { 260 * MIB, 3900 }, { 2340, 65 * MIB }, { 64, 13 * MIB } },
  { "a small host", { 120 * MIB, 2875 }, { 1725, 30 * MIB }, { 64, 6 * MIB } },
  { "few sockets", { 64 * MIB, 100 }, { 60, 16 * MIB }, { 8, 3355443 } },
  { "little memory", { 4 * MIB, 100000 }, { 128, 1 * MIB }, { 25, 209715 } },
  { "next to nothing", { 1, 1 }, { 4, 0 }, { 4, 0 } },
};

static void
test_shares (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (share_cases); i++)
    {
      web_budget_t callers = web_budget_for_callers (&share_cases[i].limits);
      web_budget_t operator= web_budget_for_operator (&share_cases[i].limits);
      CU_ASSERT_EQUAL (callers.connections_max, share_cases[i].callers.connections_max);
      CU_ASSERT_EQUAL (callers.held_bytes_max, share_cases[i].callers.held_bytes_max);
      CU_ASSERT_EQUAL (operator.connections_max, share_cases[i].operator.connections_max);
      CU_ASSERT_EQUAL (operator.held_bytes_max, share_cases[i].operator.held_bytes_max);
    }
}

/* Each goes before the next one. */
static const struct
{
  const char *name;
  web_held_t held;
  bool may_go;
} order[] = {
  { "a large unfinished request", { WEB_UNFINISHED, 200000 }, true },
  { "an idle connection with large buffers", { WEB_IDLE, 100000 }, false },
  { "a small unfinished request", { WEB_UNFINISHED, 4096 }, true },
  { "an idle connection", { WEB_IDLE, 4096 }, false },
  { "much sent ahead of an answer", { WEB_WAITING, 200000 }, true },
  { "little sent ahead of an answer", { WEB_WAITING, 100 }, true },
  { "a request that waits", { WEB_WAITING, 0 }, false },
};

static void
test_order (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (order); i++)
    {
      CU_ASSERT_EQUAL (web_budget_may_give_up (&order[i].held), order[i].may_go);
      for (size_t k = 0; k < G_N_ELEMENTS (order); k++)
        CU_ASSERT_EQUAL (web_budget_goes_first (&order[i].held, &order[k].held), i < k);
    }
}

static const struct
{
  int32_t connections;
  int64_t held_bytes;
  bool accepts;
  bool reads_ahead;
  bool serves;
} load_cases[] = {
  { 0, 0, true, true, true },      { 9, 500, true, true, true },
  { 10, 501, false, false, true }, { 11, 1000, false, false, true },
  { 9, 1001, true, false, false },
};

static void
test_load (void)
{
  const web_budget_t budget = { 10, 1000 };

  for (size_t i = 0; i < G_N_ELEMENTS (load_cases); i++)
    {
      int64_t held_bytes = load_cases[i].held_bytes;
      CU_ASSERT_EQUAL (web_budget_may_accept (&budget, load_cases[i].connections),
                       load_cases[i].accepts);
      CU_ASSERT_EQUAL (web_budget_may_read_ahead (&budget, held_bytes), load_cases[i].reads_ahead);
      CU_ASSERT_EQUAL (web_budget_may_serve (&budget, held_bytes), load_cases[i].serves);
      CU_ASSERT_EQUAL (web_budget_is_exceeded (&budget, held_bytes), !load_cases[i].serves);
    }
}

static const unit_test_t tests[] = {
  { "shares of the limits", test_shares },
  { "order in which connections are given up", test_order },
  { "load", test_load },
};

int
main (void)
{
  return unit_run ("web budget", tests, G_N_ELEMENTS (tests));
}
