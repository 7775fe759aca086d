/* validate.h -- validation of the names and values in the plans and limits lists
 *
 * Pure functions; may be called from any thread.
 */
#ifndef CONFIG_VALIDATE_H
#define CONFIG_VALIDATE_H

#include "config/config.h"

#include <stdbool.h>
#include <stddef.h>

#define CONFIG_NAME_MAX_BYTES 128
/* Text for error messages; must agree with config_name_valid (). */
#define CONFIG_NAME_ALLOWED "1 to 128 printable characters without space, quotes or backslash"

#define CONFIG_DEFAULT_TARGET_MS 1000
#define CONFIG_DEFAULT_OBJECTIVE_PPM 999000

/* A numeric member of an entry in the limits list. */
typedef struct
{
  const char *key;
  int64_t min;
  int64_t max;
  int64_t default_value; /* if the member is omitted; may lie outside the range */
} config_field_t;

typedef enum
{
  CONFIG_FIELD_RUNNING_MAX,
  CONFIG_FIELD_STARTS_PER_S_MAX,
  CONFIG_FIELD_WEIGHT,
  CONFIG_FIELD_TARGET_MS,
  CONFIG_FIELD_OBJECTIVE_PPM
} config_field_index_t;
#define CONFIG_FIELDS 5

/* Indexed by config_field_index_t. */
extern const config_field_t config_fields[CONFIG_FIELDS];

/* True if NAME is allowed as the name of a customer or plan. */
bool config_name_valid (const char *name);

/* True if VALUE is in the range of FIELD or is its default. */
bool config_field_valid (const config_field_t *field, int64_t value);

/* Convert between a limit and an array of its members, indexed by
 * config_field_index_t.  Neither copies the plan's name. */
void config_limit_to_values (const config_limit_t *limit, int64_t values[CONFIG_FIELDS]);
void config_limit_from_values (config_limit_t *limit, const int64_t values[CONFIG_FIELDS]);

#endif
