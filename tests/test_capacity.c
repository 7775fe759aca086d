/* test_capacity.c -- capacity of an endpoint that shrinks and grows while it runs */
#include "executor/capacity.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>

#define STEPS_MAX 14

typedef enum
{
  STEPS_END,
  REPORT,   /* the endpoint reports CORES */
  ORDER,    /* a start is ordered; CORES are allocated with it */
  REFUSE,   /* it is refused */
  ACCEPT,   /* it is accepted */
  FITS,     /* one core more than CORES fits */
  FITS_NOT, /* it does not */
  SLOTS     /* so many tasks of one core fit beside NUMBER cores */
} step_kind_t;

typedef struct
{
  int64_t at_ms;
  step_kind_t kind;
  int32_t cores;
  int32_t number;
} step_t;

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
} cases[] = {
  { "nothing is known before the first report", { { 0, FITS_NOT, 0, 0 }, { 0, SLOTS, 0, 0 } } },
  { "shrinks while idle",
    { { 0, REPORT, 8, 0 },
      { 0, SLOTS, 8, 0 },
      { 100, REPORT, 2, 0 },
      { 100, FITS, 1, 0 },
      { 100, FITS_NOT, 2, 0 },
      { 100, SLOTS, 2, 0 } } },
  { "shrinks while full",
    { { 0, REPORT, 8, 0 },
      { 0, SLOTS, 0, 8 },
      { 100, REPORT, 2, 0 },
      { 100, FITS_NOT, 7, 0 },
      { 100, SLOTS, 0, 8 },
      { 200, FITS_NOT, 2, 0 },
      { 300, FITS, 1, 0 } } },
  { "shrinks to nothing and grows back",
    { { 0, REPORT, 8, 0 },
      { 100, REPORT, 0, 0 },
      { 100, FITS_NOT, 0, 0 },
      { 200, REPORT, 8, 0 },
      { 200, FITS, 7, 0 },
      { 200, SLOTS, 8, 0 } } },
  { "grows beyond its first report",
    { { 0, REPORT, 2, 0 }, { 100, REPORT, 8, 0 }, { 100, FITS, 7, 0 } } },
  /* A report states the whole capacity, so a start that it does not cover changes nothing. */
  { "the report is older than the last starts",
    { { 0, REPORT, 8, 0 },
      { 10, ORDER, 6, 0 },
      { 11, ACCEPT, 6, 0 },
      { 12, REPORT, 8, 0 },
      { 12, SLOTS, 2, 6 },
      { 12, FITS_NOT, 8, 0 } } },
  { "a refusal without a report bounds the capacity, for a while",
    { { 0, REPORT, 8, 0 },
      { 10, ORDER, 6, 0 },
      { 11, REFUSE, 6, 0 },
      { 12, FITS_NOT, 5, 0 },
      { 12, FITS_NOT, 6, 0 },
      { 12, FITS, 4, 0 },
      { 12, SLOTS, 3, 2 },
      { 30, FITS_NOT, 5, 0 },
      { 31, FITS, 5, 0 } } },
  { "orders under way at the first refusal are no tries, the least one counts",
    { { 0, REPORT, 8, 0 },
      { 10, ORDER, 6, 0 },
      { 10, ORDER, 7, 0 },
      { 10, ORDER, 8, 0 },
      { 11, REFUSE, 8, 0 },
      { 11, REFUSE, 7, 0 },
      { 11, REFUSE, 6, 0 },
      { 12, FITS_NOT, 5, 0 },
      { 12, FITS, 4, 0 },
      { 31, FITS, 5, 0 } } },
  { "the back-off doubles with each try",
    { { 0, REPORT, 8, 0 },
      { 0, ORDER, 8, 0 },
      { 0, REFUSE, 8, 0 },
      { 20, ORDER, 8, 0 },
      { 20, FITS_NOT, 7, 0 },
      { 20, REFUSE, 8, 0 },
      { 59, FITS_NOT, 7, 0 },
      { 60, ORDER, 8, 0 },
      { 60, REFUSE, 8, 0 },
      { 139, FITS_NOT, 7, 0 },
      { 140, FITS, 7, 0 } } },
  { "only one try at a time",
    { { 0, REPORT, 8, 0 },
      { 0, ORDER, 3, 0 },
      { 0, REFUSE, 3, 0 },
      { 20, FITS, 2, 0 },
      { 20, ORDER, 3, 0 },
      { 20, FITS_NOT, 3, 0 } } },
  { "an accepted try ends the back-off",
    { { 0, REPORT, 8, 0 },
      { 0, ORDER, 3, 0 },
      { 0, REFUSE, 3, 0 },
      { 20, ORDER, 3, 0 },
      { 21, ACCEPT, 3, 0 },
      { 21, FITS, 3, 0 },
      { 21, SLOTS, 5, 3 } } },
  { "an accepted start of less does not end it",
    { { 0, REPORT, 8, 0 },
      { 0, ORDER, 3, 0 },
      { 0, REFUSE, 3, 0 },
      { 1, ORDER, 2, 0 },
      { 2, ACCEPT, 2, 0 },
      { 2, FITS_NOT, 2, 0 } } },
  { "a report of another capacity ends the back-off",
    { { 0, REPORT, 8, 0 },
      { 0, ORDER, 8, 0 },
      { 0, REFUSE, 8, 0 },
      { 5, REPORT, 9, 0 },
      { 5, FITS, 7, 0 } } },
  /* It may have been written before the refusal. */
  { "a report of the same capacity does not",
    { { 0, REPORT, 8, 0 },
      { 0, ORDER, 8, 0 },
      { 0, REFUSE, 8, 0 },
      { 5, REPORT, 8, 0 },
      { 5, FITS_NOT, 7, 0 } } },
};

static resources_t
resources_of (int32_t cores)
{
  return (resources_t){ cores * 1000, cores * 100, 0 };
}

/* Returns false if the step does not show what it should. */
static bool
take_step (capacity_t *capacity, const step_t *step)
{
  const resources_t need = resources_of (1);
  const resources_t amount = resources_of (step->cores);
  const resources_t used = resources_of (step->number);

  switch (step->kind)
    {
    case REPORT:
      capacity_report (capacity, &amount);
      return true;
    case ORDER:
      capacity_record_start (capacity, &amount, step->at_ms);
      return true;
    case REFUSE:
      capacity_record_refusal (capacity, &amount, step->at_ms);
      return true;
    case ACCEPT:
      capacity_record_accepted (capacity, &amount);
      return true;
    case FITS:
      return capacity_fits (capacity, &amount, &need, step->at_ms);
    case FITS_NOT:
      return !capacity_fits (capacity, &amount, &need, step->at_ms);
    case SLOTS:
      return capacity_slots (capacity, &used, &need, step->at_ms) == step->cores;
    case STEPS_END:
    default:
      return true;
    }
}

static void
test_capacity (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      capacity_t capacity = { 0 };
      for (int k = 0; k < STEPS_MAX; k++)
        {
          bool shown = take_step (&capacity, &cases[i].steps[k]);
          if (!shown)
            printf ("  %s: step %d\n", cases[i].name, k);
          CU_ASSERT_TRUE (shown);
        }
    }
}

#define OUTAGE_MS 60000

/* An endpoint refuses everything for a minute and no report says so.  The number of orders must
 * not grow with the time that passes between two rounds, and it is tried at least once a second. */
static void
test_refusals_are_few (void)
{
  const resources_t reported = resources_of (8);
  const resources_t need = resources_of (1);
  const resources_t none = { 0 };
  capacity_t capacity = { 0 };
  int64_t last_try_ms = 0;
  int32_t tries = 0;

  capacity_report (&capacity, &reported);
  for (int64_t now_ms = 0; now_ms < OUTAGE_MS; now_ms++)
    {
      if (!capacity_fits (&capacity, &none, &need, now_ms))
        continue;
      CU_ASSERT_TRUE (now_ms - last_try_ms <= 1000);
      last_try_ms = now_ms;
      tries++;
      capacity_record_start (&capacity, &need, now_ms);
      capacity_record_refusal (&capacity, &need, now_ms);
    }
  CU_ASSERT_TRUE (tries <= 2 * OUTAGE_MS / 1000);
}

static const unit_test_t tests[] = {
  { "capacity that shrinks and grows", test_capacity },
  { "refusals without a report are few", test_refusals_are_few },
};

int
main (void)
{
  return unit_run ("capacity", tests, G_N_ELEMENTS (tests));
}
