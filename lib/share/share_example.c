/* share_example.c -- one host that holds and allots a limit of three units */
#include "share/share.h"

#include <stdio.h>

#define TICK_MS 50
#define RUN_MS 3000
#define TASK_MS 500

/* Delivers what the host sends to itself; there is no other host. */
static void
run_step (share_t *share, const share_event_t *event, int64_t now_ms)
{
  g_autoptr (GPtrArray) actions = share_actions_new ();

  share_step (share, event, now_ms, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const share_action_t *action = actions->pdata[i];
      share_event_t message = {
        .kind = SHARE_EVENT_MESSAGE, .host = "a1", .data_centre = "dc", .message = action->message
      };
      run_step (share, &message, now_ms);
    }
}

int
main (void)
{
  g_autoptr (GPtrArray) centres = g_ptr_array_new ();
  g_autoptr (GPtrArray) members = g_ptr_array_new ();
  share_event_t view = { .kind = SHARE_EVENT_VIEW, .number = 1, .members = members };
  share_event_t limit = { .kind = SHARE_EVENT_LIMIT, .name = "running/gold", .units = 3 };
  share_event_t tick = { .kind = SHARE_EVENT_TICK };
  int64_t now_ms = 1;

  g_ptr_array_add (centres, (void *) "dc");
  g_ptr_array_add (members, (void *) "a1");
  share_t *share = share_new ("a1", "dc", 1, centres, &share_rules_all);
  run_step (share, &view, now_ms);
  run_step (share, &limit, now_ms);
  for (; now_ms < RUN_MS; now_ms += TICK_MS)
    run_step (share, &tick, now_ms);
  for (int i = 0; i < 4; i++)
    printf ("take: %d\n", share_take (share, "running/gold", now_ms + TASK_MS, now_ms));
  share_give (share, "running/gold", now_ms + TASK_MS, now_ms);
  printf ("available: %d\n", share_available (share, "running/gold", now_ms));
  share_unref (share);
  return 0;
}
