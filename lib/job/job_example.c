/* job_example.c -- parses a submission, runs its only task and prints the answer */
#include "job/job.h"

#include <stdio.h>
#include <string.h>

int
main (void)
{
  static const char text[] = "{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":1,"
                             "\"deadline_at_ms\":2,\"tasks\":[{\"id\":\"0\",\"body\":\"x\"}]}";
  GBytes *body = g_bytes_new_static (text, strlen (text));
  job_request_t *request = NULL;
  char *message = NULL;

  if (job_request_parse ("key-1", body, &request, &message) != 0)
    {
      fprintf (stderr, "%s\n", message);
      return 1;
    }
  job_t *job = job_new (request);
  job_start_task (job, 0);
  job_action_t action = job_end_task (job, 0, JOB_ATTEMPT_DONE, 200, g_byte_array_new ());
  job_answer_t *answer = job_complete_answer (job);
  gsize size = 0;
  const char *json = g_bytes_get_data (answer->body, &size);
  printf ("%.*s\n", (int) size, json);
  job_answer_unref (answer);
  job_free (job);
  job_request_unref (request);
  g_bytes_unref (body);
  return action == JOB_ACTION_COMPLETE ? 0 : 1;
}
