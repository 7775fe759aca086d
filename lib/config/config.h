/* config.h -- the state that the fold of configuration edits leads to
 *
 * A config_t is immutable and reference-counted, so that traffic threads may
 * read a snapshot while the control thread folds on.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <glib.h>
#include <stdint.h>

/* Stands for an absent maximum. */
#define CONFIG_NO_LIMIT (-1)

/* What a plan may use, over the whole deployment. */
typedef struct
{
  char *plan;
  int64_t running_max;      /* tasks at once, or CONFIG_NO_LIMIT */
  int64_t starts_per_s_max; /* or CONFIG_NO_LIMIT */
  int32_t weight;           /* at least 1 */
  int64_t target_ms;        /* objective: answered within this time */
  int32_t objective_ppm;    /* objective: share of tasks, in parts per million */
} config_limit_t;

typedef struct config_t config_t;

config_t *config_ref (config_t *config);
void config_unref (config_t *config);

/* The position in the log right after the last publication that was accepted:
 * its offset plus 1; 0 before the first. */
int64_t config_revision (const config_t *config);

/* The plan of CUSTOMER, or NULL.  Valid while CONFIG is referenced. */
const char *config_plan_of (const config_t *config, const char *customer);

/* The limits of PLAN, or NULL if the list has no such plan.  A customer whose
 * plan has no row in the limits list is not limited, with weight 1. */
const config_limit_t *config_limit_of (const config_t *config, const char *plan);

/* Calls EACH for every row of the limits list, in the order of names. */
void config_each_limit (const config_t *config,
                        void (*each) (const config_limit_t *limit, void *data),
                        void *data);

#endif
