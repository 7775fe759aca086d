/* executor_scenario.h -- an executor with one or two endpoints, for scripted events
 *
 * Times are milliseconds of simulated time.
 */
#ifndef TESTS_EXECUTOR_SCENARIO_H
#define TESTS_EXECUTOR_SCENARIO_H

#include "executor/executor.h"

#define LEASE_MS 1000
#define STOP_TIMEOUT_MS 50
#define RESUBMIT_MS 1300
#define SERVICE "s"
#define DEADLINE_MS 1500
#define FAR_DEADLINE_MS 20000
/* The task of batch_of ("j", ...). */
#define TASK "j.0.0.0"
/* When the first instance of an endpoint has started, where a scenario has several. */
#define FIRST_INSTANCE_MS 1

typedef struct
{
  executor_t *executor;
  GArray *actions;
  GArray *other_offers;
  int64_t now_ms;
  uint64_t poll_serial[2]; /* by number of the endpoint */
  uint64_t start_serial;   /* of the last start order */
  char start_endpoint[8];  /* endpoint of the last start order */
  char start_task[32];     /* task of the last start order */
  char stop_task[32];      /* task of the last stop order */
} scenario_t;

/* What an instance of an endpoint lists when it answers a poll. */
typedef struct
{
  int64_t instance_ms; /* when it has started; its clock showed 1 then */
  const poll_active_t *active;
  size_t active_count;
  const poll_ended_t *ended;
  size_t ended_count;
} listing_t;

extern const char *const endpoint_ids[2];

/* Begins a scenario without endpoints, in which the directory counts as read all the time;
 * scenario_end () frees what it holds. */
void scenario_begin (scenario_t *scenario);
void scenario_end (scenario_t *scenario);

/* Adds endpoint NUMBER, or updates it, by an entry of the instance that started at STARTED_AT_MS;
 * add_endpoint () by one of instance 1. */
void add_instance (scenario_t *scenario,
                   int number,
                   const char *rack,
                   int64_t cores_milli,
                   int64_t started_at_ms);
void add_endpoint (scenario_t *scenario, int number, const char *rack, int64_t cores_milli);

/* Runs one round at NOW_MS and records the orders that it appends. */
void run_round_at (scenario_t *scenario, int64_t now_ms);

/* The endpoint answers its last poll with COUNT active runs. */
void answer_poll (scenario_t *scenario, int number, const poll_active_t *rows, size_t count);

/* The instance that LISTING describes answers the last poll of endpoint NUMBER at NOW_MS. */
void
answer_with_listing (scenario_t *scenario, int number, const listing_t *listing, int64_t now_ms);

/* The first instance of endpoint NUMBER answers its last poll at NOW_MS and lists nothing. */
void answer_with_nothing (scenario_t *scenario, int number, int64_t now_ms);

/* The last poll of endpoint NUMBER has got no answer by NOW_MS. */
void lose_last_poll (scenario_t *scenario, int number, int64_t now_ms);

/* The endpoints confirm all starts that the last round has ordered. */
void confirm_starts (scenario_t *scenario);

/* Begins a scenario with one endpoint, "e0" in rack "r1", without runs. */
void scenario_begin_idle (scenario_t *scenario, int64_t cores_milli);

/* Begins a scenario with the first instances of "e0" (3 cores) and "e1" (4 cores) in rack "r1".
 * scenario_begin_polled_pair () also polls both at 0, and they list nothing. */
void scenario_begin_pair (scenario_t *scenario);
void scenario_begin_polled_pair (scenario_t *scenario);

/* True if the last event or round appended an action of KIND. */
bool has_action (const scenario_t *scenario, executor_action_kind_t kind);

/* Returns a batch of one task of one core. */
executor_batch_t batch_of (const char *job, uint64_t number);

/* Returns the last action of KIND of the last event or round, or NULL. */
const executor_action_t *last_action (const scenario_t *scenario, executor_action_kind_t kind);

/* Returns the load that the executor reports for its only service. */
executor_load_t load_report_at (const scenario_t *scenario, int64_t now_ms);

#endif
