/* web_budget.c -- what the clients of a web server may make its process hold */
#include "reactor/web_budget.h"

#include <glib.h>

/* Shares of the memory.  The rest is the program, its tables and its other connections. */
#define CALLERS_MEMORY_PERCENT 25
#define OPERATOR_MEMORY_PERCENT 5
/* Shares of the sockets.  The rest serves endpoints, other hosts and the log. */
#define CALLERS_SOCKETS_PERCENT 60
#define OPERATOR_SOCKETS_PERCENT 8
#define OPERATOR_CONNECTIONS_MAX 64
/* Connections alone hold at most this part of their memory. */
#define CONNECTIONS_MEMORY_PERCENT 50
/* Below this part of the memory, requests that wait may have more sent ahead. */
#define AHEAD_PERCENT 50
#define CONNECTIONS_MIN 4

static int64_t
percent_of (int64_t all, int64_t percent)
{
  return all / 100 * percent + all % 100 * percent / 100;
}

static web_budget_t
share_of (const web_process_limits_t *limits,
          int64_t memory_percent,
          int64_t sockets_percent,
          int64_t connections_max)
{
  int64_t held_bytes_max = INT64_MAX;

  if (limits->sockets > 0)
    connections_max = MIN (connections_max, percent_of (limits->sockets, sockets_percent));
  if (limits->memory_bytes > 0)
    {
      held_bytes_max = percent_of (limits->memory_bytes, memory_percent);
      connections_max =
          MIN (connections_max,
               percent_of (held_bytes_max, CONNECTIONS_MEMORY_PERCENT) / WEB_CONNECTION_BYTES);
    }
  return (web_budget_t){ (int32_t) MAX (connections_max, CONNECTIONS_MIN), held_bytes_max };
}

web_budget_t
web_budget_for_callers (const web_process_limits_t *limits)
{
  return share_of (limits, CALLERS_MEMORY_PERCENT, CALLERS_SOCKETS_PERCENT, INT32_MAX);
}

web_budget_t
web_budget_for_operator (const web_process_limits_t *limits)
{
  return share_of (limits, OPERATOR_MEMORY_PERCENT, OPERATOR_SOCKETS_PERCENT,
                   OPERATOR_CONNECTIONS_MAX);
}

bool
web_budget_may_accept (const web_budget_t *budget, int32_t connections)
{
  return connections < budget->connections_max;
}

bool
web_budget_may_serve (const web_budget_t *budget, int64_t held_bytes)
{
  return held_bytes <= budget->held_bytes_max;
}

bool
web_budget_may_read_ahead (const web_budget_t *budget, int64_t held_bytes)
{
  return held_bytes <= percent_of (budget->held_bytes_max, AHEAD_PERCENT);
}

bool
web_budget_is_exceeded (const web_budget_t *budget, int64_t held_bytes)
{
  return held_bytes > budget->held_bytes_max;
}

bool
web_budget_goes_first (const web_held_t *a, const web_held_t *b)
{
  if ((a->phase == WEB_WAITING) != (b->phase == WEB_WAITING))
    return b->phase == WEB_WAITING;
  if (a->bytes != b->bytes)
    return a->bytes > b->bytes;
  return a->phase < b->phase;
}

bool
web_budget_may_give_up (const web_held_t *held)
{
  return held->phase == WEB_UNFINISHED || (held->phase == WEB_WAITING && held->bytes > 0);
}
