/* resent_job.c -- what tests of jobs that are sent again share */
#include "tests/resent_job.h"

#include "base/clock.h"
#include "tests/site_call.h"

#define HUBS_PER_ZONE 4
#define HOST_CPU_MILLICORES 250

static void
send_on (rig_t *rig, int host, const resent_job_t *job, int32_t expected_ms, int fd)
{
  char *spec = g_strdup_printf ("%d", job->work_ms);
  char *body = site_job_json (job->tasks, spec, expected_ms, "");
  char *target = g_strdup_printf ("/q/%016" G_GINT64_MODIFIER "x", job->id);
  const book_row_t row = { .at_ms = clock_boot_ms (),
                           .kind = BOOK_SENT,
                           .job = job->id,
                           .index = job->tasks,
                           .host = host,
                           .number = host,
                           .text = spec };

  book_add (rig->book, &row);
  site_send_request (fd, "POST", target, body, job->caller_wait_ms);
  g_free (target);
  g_free (body);
  g_free (spec);
}

void
resent_job_send_on (rig_t *rig, int host, const resent_job_t *job, int fd)
{
  send_on (rig, host, job, job->work_ms, fd);
}

int
resent_job_send_expecting (rig_t *rig, int host, const resent_job_t *job, int32_t expected_ms)
{
  int fd = site_connect (RIG_CALLER_IP, rig_caller_port (rig, host));

  send_on (rig, host, job, expected_ms, fd);
  return fd;
}

int
resent_job_send (rig_t *rig, int host, const resent_job_t *job)
{
  return resent_job_send_expecting (rig, host, job, job->work_ms);
}

void
resent_job_answered (rig_t *rig, int host, const resent_job_t *job, int status, const char *body)
{
  const book_row_t row = { .at_ms = clock_boot_ms (),
                           .kind = BOOK_ANSWERED,
                           .job = job->id,
                           .index = job->tasks,
                           .host = host,
                           .number = host,
                           .status = status,
                           .text = body };

  book_add (rig->book, &row);
}

void
resent_job_broken (rig_t *rig, int host, const resent_job_t *job)
{
  const book_row_t row = { .at_ms = clock_boot_ms (),
                           .kind = BOOK_BROKEN,
                           .job = job->id,
                           .host = host,
                           .number = host,
                           .text = "closed" };

  book_add (rig->book, &row);
}

ranking_t *
resent_job_rank_hosts (const rig_t *rig)
{
  ranking_t *ranking =
      ranking_new (rig->hosts[0].name, rig->hosts[0].zone, HOST_CPU_MILLICORES, HUBS_PER_ZONE);

  for (int i = 1; i < rig->hosts_count; i++)
    {
      ranking_add_host (ranking, rig->hosts[i].name, rig->hosts[i].zone, HOST_CPU_MILLICORES);
      ranking_set_alive (ranking, rig->hosts[i].name, true, 0);
    }
  ranking_update (ranking, 1);
  return ranking;
}

void
resent_job_find_non_hubs (const rig_t *rig, bool last, int hosts_of[RESENT_ZONES_MAX])
{
  ranking_t *ranking = resent_job_rank_hosts (rig);

  for (int zone = 0; zone < rig->zones; zone++)
    hosts_of[zone] = -1;
  for (int i = 0; i < rig->hosts_count; i++)
    if (!ranking_is_hub (ranking, rig->hosts[i].name) && (last || hosts_of[i % rig->zones] == -1))
      hosts_of[i % rig->zones] = i;
  ranking_free (ranking);
}
