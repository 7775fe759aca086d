/* quota_example.c -- one host that is holder and allocator of a limit of three
 * units
 */
#include "quota/quota.h"

#include <stdio.h>

#define TICK_MS 50
#define RUN_MS 3000
#define TASK_MS 500

/* Handles EVENT and delivers the messages that the host sends to itself.  There
 * is no other host. */
static void
run_step (quota_t *quota, const quota_event_t *event, int64_t now_ms)
{
  g_autoptr (GPtrArray) actions = quota_actions_new ();

  quota_step (quota, event, now_ms, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const quota_action_t *action = actions->pdata[i];
      quota_event_t message = {
        .kind = QUOTA_EVENT_MESSAGE, .host = "a1", .data_centre = "dc", .message = action->message
      };
      run_step (quota, &message, now_ms);
    }
}

int
main (void)
{
  g_autoptr (GPtrArray) centres = g_ptr_array_new ();
  g_autoptr (GPtrArray) members = g_ptr_array_new ();
  quota_event_t view = { .kind = QUOTA_EVENT_VIEW, .view_number = 1, .members = members };
  quota_event_t limit = { .kind = QUOTA_EVENT_LIMIT, .name = "running/gold", .units = 3 };
  quota_event_t tick = { .kind = QUOTA_EVENT_TICK };
  int64_t now_ms = 1;

  g_ptr_array_add (centres, (void *) "dc");
  g_ptr_array_add (members, (void *) "a1");
  quota_t *quota = quota_new ("a1", "dc", 1, centres, &quota_rules_all);
  run_step (quota, &view, now_ms);
  run_step (quota, &limit, now_ms);
  for (; now_ms < RUN_MS; now_ms += TICK_MS)
    run_step (quota, &tick, now_ms);
  for (int i = 0; i < 4; i++)
    printf ("take: %d\n", quota_acquire (quota, "running/gold", now_ms + TASK_MS, now_ms));
  quota_release (quota, "running/gold", now_ms + TASK_MS, now_ms);
  printf ("available: %d\n", quota_available (quota, "running/gold", now_ms));
  quota_free (quota);
  return 0;
}
