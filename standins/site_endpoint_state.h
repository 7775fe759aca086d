/* site_endpoint_state.h -- state of a stand-in endpoint, shared by its source files
 *
 * Private to site_endpoint.c, site_runs.c, site_orders.c and site_audit.c.
 */
#ifndef STANDINS_SITE_ENDPOINT_STATE_H
#define STANDINS_SITE_ENDPOINT_STATE_H

#include "standins/site_endpoint.h"

typedef struct
{
  char *task;
  char *spec;
  int32_t attempt;
  int64_t started_at_ms;
  int64_t ends_at_ms;
  int64_t stop_at_ms;
  bool fails;
  bool crashes;
} run_t;

typedef struct
{
  int64_t number;
  char *task;
  int32_t attempt;
  const char *how;
  int32_t starts_after; /* of the same task, at any endpoint */
} end_t;

struct site_endpoint_t
{
  site_endpoint_options_t options;
  site_endpoint_faults_t faults;
  int64_t born_at_ms;
  int64_t born_wall_ms;
  int64_t down_until_ms; /* 0 unless it has crashed */
  int64_t entry_from_ms; /* no entry before */
  bool entry_replaces;   /* the next entry replaces that of an earlier instance */
  int32_t starts;
  int64_t token;
  int64_t lease_until_ms;
  int64_t last_end;
  int64_t sequence;
  int32_t earlier_room; /* counts until EARLIER_ROOM_UNTIL_MS */
  int64_t earlier_room_until_ms;
  GPtrArray *runs;    /* run_t */
  GPtrArray *ends;    /* end_t */
  GPtrArray *waiters; /* polls that wait for an end (site_orders.c) */
  GPtrArray *late;    /* orders that are carried out later (site_orders.c) */
  GHashTable *seen;   /* task -> highest attempt that was stopped or has ended */
  loop_t *loop;
  web_server_t *web; /* NULL while it accepts no connections */
};

/* The time on the endpoint's own clock, which begins at 1 with each instance. */
int64_t site_endpoint_clock (const site_endpoint_t *endpoint, int64_t now_ms);

/* When its instance has started, as it tells it itself. */
int64_t site_endpoint_born (const site_endpoint_t *endpoint);

#endif
