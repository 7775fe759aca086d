/* site_endpoint.c -- an endpoint as a stand-in: its listener, its entry, its faults */
#include "standins/site_endpoint.h"

#include "base/clock.h"
#include "standins/site_audit.h"
#include "standins/site_endpoint_state.h"
#include "standins/site_orders.h"
#include "standins/site_runs.h"

#include <json-c/json.h>
#include <stdio.h>

#define BODY_MAX (4 * 1024 * 1024)
#define CORES_EACH_MILLI 1000
#define MEMORY_EACH_MB 100

int64_t
site_endpoint_clock (const site_endpoint_t *endpoint, int64_t now_ms)
{
  return now_ms - endpoint->born_at_ms + 1;
}

int64_t
site_endpoint_born (const site_endpoint_t *endpoint)
{
  return endpoint->faults.born != 0 ? endpoint->faults.born : endpoint->born_wall_ms;
}

void
site_endpoint_set_faults (site_endpoint_t *endpoint, const char *body)
{
  json_object *fault = json_tokener_parse (body);
  json_object *down = NULL;
  int64_t now_ms = clock_boot_ms ();
  int32_t counted = site_runs_counted_room (endpoint, now_ms);

  if (fault == NULL)
    return;
  site_faults_read (fault, &endpoint->faults);
  site_runs_room_changed (endpoint, counted, now_ms);
  json_object_object_get_ex (fault, "down_ms", &down);
  if (json_object_get_int64 (down) > 0)
    site_runs_crash (endpoint, json_object_get_int64 (down), now_ms);
  json_object_put (fault);
}

/* --- time --- */

static int
open_listener (site_endpoint_t *endpoint)
{
  static const web_server_handlers_t ops = { site_orders_take, site_orders_abandoned };
  web_server_options_t options = { .address = endpoint->options.address,
                                   .limits = { 65536, BODY_MAX, 10000, 60000 },
                                   .handlers = &ops,
                                   .data = endpoint };

  return web_server_start (endpoint->loop, &options, &endpoint->web);
}

/* An address that can't be had is tried again on the next tick. */
static void
open_or_close_listener (site_endpoint_t *endpoint)
{
  bool closed = endpoint->down_until_ms != 0 && endpoint->faults.refusing;

  if (closed && endpoint->web != NULL)
    {
      web_server_free (endpoint->web);
      endpoint->web = NULL;
    }
  else if (!closed && endpoint->web == NULL)
    (void) open_listener (endpoint);
}

static void
tick (site_endpoint_t *endpoint, int64_t now_ms)
{
  site_runs_step (endpoint, now_ms);
  open_or_close_listener (endpoint);
  site_orders_tick (endpoint, now_ms);
}

void
site_endpoint_tick (int64_t now_ms)
{
  site_audit_each (tick, now_ms);
}

/* --- reports --- */

/* The free capacity in an entry is the whole room, whatever runs there. */
static char *
entry_text (site_endpoint_t *endpoint, int64_t now_ms)
{
  int32_t room = site_runs_room (endpoint);

  return g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
      "\"capacity\":8,\"state\":\"%s\",\"cold_remaining_ms\":0,\"free_capacity\":"
      "{\"cpu_millis\":%d,\"mem_mb\":%d,\"gpus\":0},\"labels\":[\"a\",\"%s\"],"
      "\"clock_ms\":%" G_GINT64_FORMAT ",\"sequence\":%" G_GINT64_FORMAT
      ",\"born\":%" G_GINT64_FORMAT "}",
      endpoint->options.known_as, endpoint->options.data_centre,
      endpoint->faults.draining ? "draining" : "ready", room * CORES_EACH_MILLI,
      room * MEMORY_EACH_MB, endpoint->options.rack, site_endpoint_clock (endpoint, now_ms),
      ++endpoint->sequence, site_endpoint_born (endpoint));
}

site_entry_change_t
site_endpoint_register (site_endpoint_t *endpoint, char **entry)
{
  int64_t now_ms = clock_boot_ms ();
  bool replaces = endpoint->entry_replaces;

  if (endpoint->faults.unlisted || endpoint->down_until_ms != 0 || now_ms < endpoint->entry_from_ms)
    return SITE_ENTRY_KEEP;
  endpoint->entry_replaces = false;
  *entry = entry_text (endpoint, now_ms);
  return replaces ? SITE_ENTRY_REPLACE : SITE_ENTRY_PUT;
}

const char *
site_endpoint_id (const site_endpoint_t *endpoint)
{
  return endpoint->options.id;
}

int64_t
site_endpoint_token (const site_endpoint_t *endpoint)
{
  return endpoint->token;
}

/* --- start --- */

int
site_endpoint_new (loop_t *loop, const site_endpoint_options_t *options, site_endpoint_t **out)
{
  site_endpoint_t *endpoint = g_new0 (site_endpoint_t, 1);

  endpoint->options = *options;
  endpoint->loop = loop;
  endpoint->born_at_ms = clock_boot_ms ();
  endpoint->born_wall_ms = clock_wall_ms ();
  site_runs_init (endpoint);
  site_orders_init (endpoint);
  int result = open_listener (endpoint);
  if (result != 0)
    return result;
  site_audit_add (endpoint);
  *out = endpoint;
  return 0;
}
