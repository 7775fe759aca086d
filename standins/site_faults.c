/* site_faults.c -- how a stand-in endpoint misbehaves */
#include "standins/site_faults.h"

#include <glib.h>
#include <stddef.h>

#define FIELD(name) #name, offsetof(site_endpoint_faults_t, name)

typedef struct
{
  const char *key;
  size_t offset; /* in site_endpoint_faults_t */
} field_t;

static const field_t flags[] = {
  { FIELD (failing) },  { FIELD (hanging) },   { FIELD (mute) },     { FIELD (draining) },
  { FIELD (unlisted) }, { FIELD (unguarded) }, { FIELD (refusing) }, { FIELD (relisted) },
};

static const field_t numbers[] = {
  { FIELD (lost_room) }, { FIELD (late_ms) },      { FIELD (slow) },
  { FIELD (born) },      { FIELD (entry_lag_ms) },
};

void
site_faults_read (json_object *object, site_endpoint_faults_t *faults)
{
  json_object *value = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (flags); i++)
    if (json_object_object_get_ex (object, flags[i].key, &value))
      *(bool *) (void *) ((char *) faults + flags[i].offset) = json_object_get_boolean (value);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (json_object_object_get_ex (object, numbers[i].key, &value))
      *(int64_t *) (void *) ((char *) faults + numbers[i].offset) = json_object_get_int64 (value);
}
