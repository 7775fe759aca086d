/* throttle.c -- keeps the hosts of a rig to their shares of a processor */
#include "tests/deployment/throttle.h"

#include "base/clock.h"

#include <signal.h>
#include <stdatomic.h>
#include <time.h>

#define PERIOD_MS 100
#define STEP_MS 3
#define US_PER_MS 1000
#define US_PER_S 1000000
#define NS_PER_US 1000

typedef struct
{
  pid_t pid;
  int64_t used_us; /* as the period began */
  bool suspended;
} host_state_t;

struct throttle_t
{
  rig_t *rig;
  GThread *thread;
  atomic_bool stop;
  host_state_t *states;
  int32_t suspensions;
};

/* The processor time of PID; -1 if it is gone. */
static int64_t
used_us (pid_t pid)
{
  clockid_t clock = 0;
  struct timespec time = { 0 };

  if (clock_getcpuclockid (pid, &clock) != 0 || clock_gettime (clock, &time) != 0)
    return -1;
  return (int64_t) time.tv_sec * US_PER_S + time.tv_nsec / NS_PER_US;
}

static void
resume (const rig_host_t *host, host_state_t *state)
{
  if (state->suspended && host->pid == state->pid && !host->paused)
    kill (state->pid, SIGCONT);
  state->suspended = false;
}

static void
begin_period (throttle_t *throttle)
{
  for (int32_t i = 0; i < throttle->rig->hosts_count; i++)
    {
      const rig_host_t *host = &throttle->rig->hosts[i];
      host_state_t *state = &throttle->states[i];
      resume (host, state);
      state->pid = host->pid;
      state->used_us = host->pid != 0 ? used_us (host->pid) : -1;
    }
}

static void
step (throttle_t *throttle)
{
  for (int32_t i = 0; i < throttle->rig->hosts_count; i++)
    {
      const rig_host_t *host = &throttle->rig->hosts[i];
      host_state_t *state = &throttle->states[i];
      if (state->suspended || state->used_us < 0 || host->paused || host->pid == 0
          || host->pid != state->pid)
        continue;
      int64_t now_us = used_us (state->pid);
      if (now_us < 0
          || (double) (now_us - state->used_us)
                 < throttle->rig->cpu_share (i) * PERIOD_MS * US_PER_MS)
        continue;
      kill (state->pid, SIGSTOP);
      state->suspended = true;
      throttle->suspensions++;
    }
}

static void *
run (void *data)
{
  throttle_t *throttle = data;
  int64_t period_ends_ms = 0;

  while (!atomic_load (&throttle->stop))
    {
      int64_t now_ms = clock_boot_ms ();
      if (now_ms >= period_ends_ms)
        {
          begin_period (throttle);
          period_ends_ms = now_ms + PERIOD_MS;
        }
      step (throttle);
      clock_sleep_ms (STEP_MS);
    }
  return NULL;
}

throttle_t *
throttle_start (rig_t *rig)
{
  throttle_t *throttle = g_new0 (throttle_t, 1);

  throttle->rig = rig;
  throttle->states = g_new0 (host_state_t, rig->hosts_count);
  throttle->thread = g_thread_new ("throttle", run, throttle);
  return throttle;
}

int32_t
throttle_stop (throttle_t *throttle)
{
  atomic_store (&throttle->stop, true);
  g_thread_join (throttle->thread);
  for (int32_t i = 0; i < throttle->rig->hosts_count; i++)
    resume (&throttle->rig->hosts[i], &throttle->states[i]);
  int32_t suspensions = throttle->suspensions;
  g_free (throttle->states);
  g_free (throttle);
  return suspensions;
}
