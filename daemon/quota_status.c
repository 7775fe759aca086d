/* quota_status.c -- the state of the limits in GET /v1/status */
#include "daemon/quota_status.h"

#include <string.h>

typedef struct
{
  json_object *limits;
  json_object *slots;
} sections_t;

static json_object *
get_or_add_object (json_object *parent, const char *name)
{
  json_object *object = NULL;

  if (json_object_object_get_ex (parent, name, &object))
    return object;
  object = json_object_new_object ();
  json_object_object_add (parent, name, object);
  return object;
}

static void
add_limit (const quota_status_t *limit, void *data)
{
  sections_t *sections = data;
  const char *slash = strchr (limit->name, '/');

  if (slash == NULL)
    return;
  char *kind = g_strndup (limit->name, (gsize) (slash - limit->name));
  json_object *row =
      strcmp (kind, "slots") == 0
          ? get_or_add_object (sections->slots, slash + 1)
          : get_or_add_object (get_or_add_object (sections->limits, slash + 1), kind);
  json_object_object_add (row, "limit", json_object_new_int64 (limit->limit));
  json_object_object_add (row, "held", json_object_new_int64 (limit->held));
  json_object_object_add (row, "in_use", json_object_new_int64 (limit->in_use));
  json_object_object_add (row, "wanted", json_object_new_int64 (limit->demand));
  if (limit->allocator != NULL)
    json_object_object_add (row, "allotter", json_object_new_string (limit->allocator));
  json_object_object_add (row, "allots", json_object_new_boolean (limit->is_allocator));
  g_free (kind);
}

void
quota_status_add (quota_t *quota, int64_t now_ms, json_object *status)
{
  sections_t sections = { json_object_new_object (), json_object_new_object () };

  quota_for_each (quota, now_ms, add_limit, &sections);
  json_object_object_add (status, "limits", sections.limits);
  json_object_object_add (status, "slots", sections.slots);
}
