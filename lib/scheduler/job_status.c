/* job_status.c -- what coordinators tell each other about a job */
#include "scheduler/job_status.h"

void
job_statuses_clear (GArray *statuses)
{
  for (guint i = 0; i < statuses->len; i++)
    g_free ((char *) g_array_index (statuses, job_status_t, i).id);
  g_array_set_size (statuses, 0);
}
