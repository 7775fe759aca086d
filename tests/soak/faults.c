/* faults.c -- how each fault of a plan is begun and ended on the processes of a soak */
#include "tests/soak/rig_private.h"

#include "base/clock.h"
#include "tests/site_call.h"

#include <signal.h>

#define DELAY_MS 150
#define SLOW_BYTES 20
#define LATE_MS 2500
#define SLOW_LOG_MS 400
#define RESTART_DOWN_MS 700

/* --- the log and endpoints by request --- */

static void
fault_log (const rig_t *rig, const char *fault)
{
  site_call (rig_log_port (rig), "POST", "/fault", fault);
}

static void
fault_endpoint (const rig_t *rig, int32_t number, const char *fault)
{
  if (rig->endpoints[number].pid != 0 && !rig->endpoints[number].paused)
    site_call (rig_endpoint_port (rig, number), "POST", "/fault", fault);
}

/* Each version has a queue of its own beside those of all versions before. */
void
rig_put_config (rig_t *rig)
{
  GString *body = g_string_new (NULL);
  int32_t version = rig->version + 1;

  g_string_append_printf (body, "{\"version\":%d,\"routes\":[", (int) version);
  for (int32_t i = 0; i <= version; i++)
    {
      char *prefix = i == 0 ? g_strdup ("/q/") : g_strdup_printf ("/v%d/", (int) i);
      g_string_append_printf (
          body,
          "%s{\"name\":\"r%d\",\"host\":\"" SITE_CALL_QUEUE_HOST
          "\",\"path_prefix\":\"%s\",\"timeout_ms\":3000,\"target_latency_ms\":60,\"priority\":0,"
          "\"service\":\"s\",\"max_attempts\":3,\"stretch_factor\":1.6}",
          i > 0 ? "," : "", (int) i, prefix);
      g_free (prefix);
    }
  g_string_append (body, "],\"services\":[],\"limits\":{}}");
  if (site_call (rig_log_port (rig), "POST", "/config", body->str).status == 200)
    {
      book_row_t row = { .at_ms = clock_boot_ms (), .kind = BOOK_CONFIG, .number = version };
      book_add (rig->book, &row);
      rig->version = version;
    }
  g_string_free (body, TRUE);
}

static void
change_settings (rig_t *rig, int32_t number)
{
  rig_host_t *host = &rig->hosts[number];
  char *file = g_strdup_printf ("%s/%s.conf", rig->directory, host->name);
  char *text = NULL;

  host->settings++;
  if (g_file_get_contents (file, &text, NULL, NULL))
    {
      char *more = g_strdup_printf ("%sanother.new=%d\n", text, (int) host->settings);
      g_file_set_contents (file, more, -1, NULL);
      g_free (more);
    }
  g_free (text);
  g_free (file);
}

/* --- faults --- */

static void
cut_host (rig_t *rig, const plan_fault_t *fault)
{
  const char *name = rig->hosts[fault->target].name;
  bool one_way = fault->kind == PLAN_CUT_ONE_WAY;

  for (int32_t i = 0; i < rig->hosts_count; i++)
    if (i != fault->target)
      proxy_rule (rig->proxy, fault->number, PROXY_HOLD, name, rig->hosts[i].name, 0, one_way);
}

const char *
rig_zone_name (int32_t zone)
{
  static const char *const names[] = { "zone-x", "zone-y", "zone-z" };

  return names[zone % G_N_ELEMENTS (names)];
}

static void
zone_rule (rig_t *rig, const plan_fault_t *fault, proxy_mode_t mode, int64_t value)
{
  for (int32_t i = 0; i < rig->zones; i++)
    if (i != fault->target)
      proxy_rule (rig->proxy, fault->number, mode, rig_zone_name (fault->target), rig_zone_name (i),
                  value, false);
}

static void
drain_zone (const rig_t *rig, int32_t zone, bool drained)
{
  char *target = g_strdup_printf ("/drain/%s", rig_zone_name (zone));

  site_call (rig_log_port (rig), drained ? "POST" : "DELETE", target, "");
  g_free (target);
}

static void
begin_leaving (rig_t *rig, int32_t number)
{
  if (rig->endpoints[number].pid == 0 || rig->endpoints[number].paused)
    return;
  fault_endpoint (rig, number, "{\"draining\":true}");
  /* Its next entry is a beat away. */
  book_row_t row = { .at_ms = clock_boot_ms () + 300,
                     .kind = BOOK_ENDPOINT_LEAVING,
                     .endpoint = number };
  book_add (rig->book, &row);
}

/* It is gone, and a new one takes its place. */
static void
end_leaving (rig_t *rig, int32_t number)
{
  char *target = g_strdup_printf ("/entry/e%d", (int) number);

  rig_kill_endpoint (rig, number);
  site_call (rig_log_port (rig), "POST", target, "");
  rig_start_endpoint (rig, number);
  g_free (target);
}

static void
restart_endpoints (rig_t *rig, const plan_fault_t *fault)
{
  int64_t length_ms = fault->until_ms - fault->at_ms;
  int64_t down_ms = MIN (length_ms, RESTART_DOWN_MS);
  char *body = g_strdup_printf ("{\"down_ms\":%d,\"entry_lag_ms\":%d}", (int) down_ms,
                                (int) (length_ms - down_ms));

  for (int32_t i = fault->target; i < rig->endpoints_count; i++)
    fault_endpoint (rig, i, body);
  g_free (body);
}

#define ENDPOINT_WELL                                                                              \
  "{\"failing\":false,\"hanging\":false,\"mute\":false,\"late_ms\":0,\"slow\":1}"
#define LOG_WELL "{\"log_down\":false,\"log_silent\":false,\"log_slow_ms\":0,\"log_lost\":0}"

/* A fault that keeps hosts down begins (1) or ends (-1). */
static void
hold_down (rig_t *rig, const plan_fault_t *fault, int32_t change)
{
  bool one = fault->kind == PLAN_STOP_HOST || fault->kind == PLAN_KILL_HOST;

  for (int32_t i = 0; i < rig->hosts_count; i++)
    if ((one && i == fault->target) || fault->kind == PLAN_KILL_ALL)
      rig->hosts[i].held += change;
}

void
rig_begin (rig_t *rig, const plan_fault_t *fault)
{
  int32_t target = fault->target;
  char *endpoint = g_strdup_printf ("e%d", (int) target);

  hold_down (rig, fault, 1);
  switch (fault->kind)
    {
    case PLAN_STOP_HOST:
      rig_stop_host (rig, target);
      break;
    case PLAN_HANGUP:
      if (rig->hosts[target].told[0] == '\0')
        rig_tell (rig->hosts[target].pid, SIGHUP);
      break;
    case PLAN_SETTINGS:
      change_settings (rig, target);
      break;
    case PLAN_CONFIG:
      rig_put_config (rig);
      break;
    case PLAN_ENDPOINT_LEAVES:
      begin_leaving (rig, target);
      break;
    case PLAN_KILL_HOST:
      rig_kill_host (rig, target, "killed");
      break;
    case PLAN_PAUSE_HOST:
      rig_pause_host (rig, target, true);
      break;
    case PLAN_KILL_ALL:
      for (int32_t i = 0; i < rig->hosts_count; i++)
        rig_kill_host (rig, i, "killed");
      break;
    case PLAN_CUT_HOST:
    case PLAN_CUT_ONE_WAY:
      cut_host (rig, fault);
      break;
    case PLAN_CUT_ZONE:
      zone_rule (rig, fault, PROXY_HOLD, 0);
      break;
    case PLAN_BREAK_ZONE:
      zone_rule (rig, fault, PROXY_BREAK, 0);
      break;
    case PLAN_DELAY:
      zone_rule (rig, fault, PROXY_DELAY, DELAY_MS);
      break;
    case PLAN_RESET:
      proxy_reset (rig->proxy, rig->hosts[target].name);
      break;
    case PLAN_MUTE:
      proxy_mute (rig->proxy, rig->hosts[target].name);
      break;
    case PLAN_CUT_ENDPOINT:
      proxy_rule (rig->proxy, fault->number, PROXY_HOLD, NULL, endpoint, 0, false);
      break;
    case PLAN_CUT_LOG:
      proxy_rule (rig->proxy, fault->number, PROXY_HOLD, rig->hosts[target].name, "log", 0, false);
      break;
    case PLAN_BREAK_LOG:
      proxy_rule (rig->proxy, fault->number, PROXY_BREAK, rig->hosts[target].name, "log", 0, false);
      break;
    case PLAN_SLOW_CALLERS:
      proxy_rule (rig->proxy, fault->number, PROXY_SLOW, "callers", rig->hosts[target].name,
                  SLOW_BYTES, false);
      break;
    case PLAN_LOG_DOWN:
      fault_log (rig, "{\"log_down\":true}");
      break;
    case PLAN_LOG_SILENT:
      fault_log (rig, "{\"log_silent\":true}");
      break;
    case PLAN_LOG_SLOW:
      fault_log (rig, "{\"log_slow_ms\":" G_STRINGIFY (SLOW_LOG_MS) "}");
      break;
    case PLAN_LOG_LOSES:
      fault_log (rig, "{\"log_lost\":0.5}");
      break;
    case PLAN_LOG_FORGETS:
      site_call (rig_log_port (rig), "POST", "/forget", "");
      break;
    case PLAN_LOG_WIPED:
      site_call (rig_log_port (rig), "POST", "/wipe", "");
      break;
    case PLAN_ENDPOINT_FAILS:
      fault_endpoint (rig, target, "{\"failing\":true}");
      break;
    case PLAN_ENDPOINT_HANGS:
      fault_endpoint (rig, target, "{\"hanging\":true}");
      break;
    case PLAN_ENDPOINT_MUTE:
      fault_endpoint (rig, target, "{\"mute\":true}");
      break;
    case PLAN_ENDPOINT_LATE:
      fault_endpoint (rig, target, "{\"late_ms\":" G_STRINGIFY (LATE_MS) "}");
      break;
    case PLAN_ENDPOINT_SLOW:
      fault_endpoint (rig, target, "{\"slow\":6}");
      break;
    case PLAN_KILL_ENDPOINT:
      rig_kill_endpoint (rig, target);
      break;
    case PLAN_PAUSE_ENDPOINT:
      rig_pause_endpoint (rig, target, true);
      break;
    case PLAN_DRAIN:
      drain_zone (rig, target, true);
      break;
    case PLAN_RESTART_ENDPOINTS:
      restart_endpoints (rig, fault);
      break;
    case PLAN_CALLERS_LEAVE:
    case PLAN_KILL_TAKER: /* tests/deployment/ makes them PLAN_KILL_HOST when it knows the host */
    case PLAN_KILL_OWNER:
    case PLAN_KINDS:
    default:
      break;
    }
  g_free (endpoint);
}

void
rig_end (rig_t *rig, const plan_fault_t *fault)
{
  int32_t target = fault->target;

  proxy_end_rule (rig->proxy, fault->number);
  if (fault->kind >= PLAN_LOG_DOWN && fault->kind <= PLAN_LOG_WIPED)
    fault_log (rig, LOG_WELL);
  if (fault->kind >= PLAN_ENDPOINT_FAILS && fault->kind <= PLAN_ENDPOINT_SLOW)
    fault_endpoint (rig, target, ENDPOINT_WELL);
  if (fault->kind == PLAN_DRAIN)
    drain_zone (rig, target, false);
  if (fault->kind == PLAN_ENDPOINT_LEAVES)
    end_leaving (rig, target);
  if (fault->kind == PLAN_PAUSE_HOST)
    rig_pause_host (rig, target, false);
  if (fault->kind == PLAN_PAUSE_ENDPOINT)
    rig_pause_endpoint (rig, target, false);
  if (fault->kind == PLAN_KILL_ENDPOINT && rig->endpoints[target].pid == 0)
    rig_start_endpoint (rig, target);
  hold_down (rig, fault, -1);
}

void
rig_heal (rig_t *rig)
{
  fault_log (rig, LOG_WELL);
  for (int32_t i = 0; i < rig->zones; i++)
    drain_zone (rig, i, false);
  for (int32_t i = 0; i < rig->endpoints_count; i++)
    {
      rig_pause_endpoint (rig, i, false);
      if (rig->endpoints[i].pid == 0)
        rig_start_endpoint (rig, i);
      fault_endpoint (rig, i, ENDPOINT_WELL);
    }
  for (int32_t i = 0; i < rig->hosts_count; i++)
    {
      rig_pause_host (rig, i, false);
      rig->hosts[i].held = 0;
    }
  rig_watch (rig);
}
