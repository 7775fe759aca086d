/* validate.c -- validation of the names and values in the plans and limits lists */
#include "config/validate.h"

#include <string.h>

#define LIMIT_MAX 1000000000
#define WEIGHT_MAX 1000000
#define TARGET_MAX_MS (24 * 3600 * 1000)
/* An objective of 1,000,000 ppm would leave no error budget. */
#define OBJECTIVE_MAX_PPM 999999

const config_field_t config_fields[CONFIG_FIELDS] = {
  [CONFIG_FIELD_RUNNING_MAX] = { "running_max", 0, LIMIT_MAX, CONFIG_NO_LIMIT },
  [CONFIG_FIELD_STARTS_PER_S_MAX] = { "starts_per_s_max", 0, LIMIT_MAX, CONFIG_NO_LIMIT },
  [CONFIG_FIELD_WEIGHT] = { "weight", 1, WEIGHT_MAX, 1 },
  [CONFIG_FIELD_TARGET_MS] = { "target_ms", 1, TARGET_MAX_MS, CONFIG_DEFAULT_TARGET_MS },
  [CONFIG_FIELD_OBJECTIVE_PPM] = { "objective_ppm", 1, OBJECTIVE_MAX_PPM,
                                   CONFIG_DEFAULT_OBJECTIVE_PPM },
};

bool
config_name_valid (const char *name)
{
  size_t size = 0;
  for (; name[size] != '\0'; size++)
    if (size == CONFIG_NAME_MAX_BYTES || !g_ascii_isgraph (name[size])
        || strchr ("\"\\", name[size]) != NULL)
      return false;
  return size > 0;
}

bool
config_field_valid (const config_field_t *field, int64_t value)
{
  return value == field->default_value || (value >= field->min && value <= field->max);
}

void
config_limit_to_values (const config_limit_t *limit, int64_t values[CONFIG_FIELDS])
{
  values[CONFIG_FIELD_RUNNING_MAX] = limit->running_max;
  values[CONFIG_FIELD_STARTS_PER_S_MAX] = limit->starts_per_s_max;
  values[CONFIG_FIELD_WEIGHT] = limit->weight;
  values[CONFIG_FIELD_TARGET_MS] = limit->target_ms;
  values[CONFIG_FIELD_OBJECTIVE_PPM] = limit->objective_ppm;
}

void
config_limit_from_values (config_limit_t *limit, const int64_t values[CONFIG_FIELDS])
{
  limit->running_max = values[CONFIG_FIELD_RUNNING_MAX];
  limit->starts_per_s_max = values[CONFIG_FIELD_STARTS_PER_S_MAX];
  limit->weight = (int32_t) values[CONFIG_FIELD_WEIGHT];
  limit->target_ms = values[CONFIG_FIELD_TARGET_MS];
  limit->objective_ppm = (int32_t) values[CONFIG_FIELD_OBJECTIVE_PPM];
}
