/* check.h -- what names and values of the two lists are allowed; pure, any thread */
#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "config/config.h"

#include <stdbool.h>
#include <stddef.h>

#define CONFIG_NAME_MAX_BYTES 128
#define CONFIG_NAME_ALLOWED "1 to 128 printable characters without space, quotes or backslash"

#define CONFIG_TARGET_MS 1000
#define CONFIG_OBJECTIVE_PPM 999000

/* One member of a row of the limits list. */
typedef struct
{
  const char *key;
  int64_t min;
  int64_t max;
  int64_t absent; /* the value of a member that is left out */
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

/* The table of members, by config_field_index_t. */
extern const config_field_t config_fields[CONFIG_FIELDS];

/* True if NAME may be a customer or a plan. */
bool config_name_valid (const char *name);

/* True if VALUE is in the field's range or is its value when absent. */
bool config_field_valid (const config_field_t *field, int64_t value);

/* Between a limit and its members as an array; the plan's name is not copied. */
void config_limit_get (const config_limit_t *limit, int64_t values[CONFIG_FIELDS]);
void config_limit_set (config_limit_t *limit, const int64_t values[CONFIG_FIELDS]);

#endif
