/* part_burn.c -- service-level counters of this host and what peers reported */
#include "daemon/part_burn.h"

typedef struct
{
  part_t base;
  part_t *config;
} burn_part_t;

void
part_burn_record (part_t *base,
                  const char *plan,
                  const char *kind,
                  int error,
                  int64_t elapsed_ms,
                  int32_t tasks,
                  int64_t now_ms)
{
  (void) base;
  (void) plan;
  (void) kind;
  (void) error;
  (void) elapsed_ms;
  (void) tasks;
  (void) now_ms;
}

void
part_burn_report (part_t *base, json_object *out)
{
  json_object_object_add (out, "host", json_object_new_string (daemon_host_id (base->daemon)));
}

static const part_ops_t burn_ops = { .name = "burn",
                                     .frame_first = FRAME_BURN_FIRST,
                                     .frame_last = FRAME_BURN_LAST };

part_t *
part_burn_new (daemon_t *daemon, part_t *config)
{
  burn_part_t *part = g_new0 (burn_part_t, 1);

  part->base.ops = &burn_ops;
  part->base.daemon = daemon;
  part->config = config;
  daemon_add_part (daemon, &part->base);
  return &part->base;
}
