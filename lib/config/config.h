/* config.h -- the configuration: the plan of each customer and the limits of each plan
 *
 * A config_t is the state that results from the configuration edits in the log.
 * It is immutable and reference-counted, so that other threads can read a
 * snapshot while the control thread applies further edits.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <glib.h>
#include <stdint.h>

/* Value of a maximum that is not set. */
#define CONFIG_NO_LIMIT (-1)

/* Limits and service-level objective of a plan, over the whole deployment. */
typedef struct
{
  char *plan;
  int64_t running_max;      /* tasks running at the same time, or CONFIG_NO_LIMIT */
  int64_t starts_per_s_max; /* or CONFIG_NO_LIMIT */
  int32_t weight;           /* at least 1 */
  int64_t target_ms;        /* objective: time within which a task is answered */
  int32_t objective_ppm;    /* objective: share of tasks answered in time, in parts per million */
} config_limit_t;

typedef struct config_t config_t;

config_t *config_ref (config_t *config);
/* CONFIG may be NULL. */
void config_unref (config_t *config);

/* The offset after the last accepted publication in the log; 0 before the first
 * one. */
int64_t config_revision (const config_t *config);

/* The plan of CUSTOMER, or NULL if it has none.  Valid while CONFIG is
 * referenced. */
const char *config_plan_of (const config_t *config, const char *customer);

/* The limits of PLAN, or NULL if the limits list has no entry for it.  A
 * customer of such a plan has no limits and weight 1.  Valid while CONFIG is
 * referenced. */
const config_limit_t *config_limit_of (const config_t *config, const char *plan);

/* Calls EACH for every entry of the limits list, sorted by plan name. */
void config_foreach_limit (const config_t *config,
                           void (*each) (const config_limit_t *limit, void *data),
                           void *data);

#endif
