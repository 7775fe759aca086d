/* job.h -- submissions of the system tests and the answers that they must get */
#ifndef TESTS_SYSTEM_JOB_H
#define TESTS_SYSTEM_JOB_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *id;
  GString *body;   /* what the endpoint gets */
  GString *answer; /* what the caller must get */
  int32_t status;
} job_task_t;

typedef struct
{
  char *key;
  char *customer;
  char *kind;
  char *home; /* NULL: left out */
  int64_t issued_at_ms;
  int64_t deadline_at_ms;
  bool repeatable;
  int32_t cores; /* 0: left out */
  int64_t memory_mb;
  GPtrArray *tasks; /* of job_task_t */
  char *text;       /* the submission's body, once asked for */
} job_t;

/* A job without tasks for customer "lantern" of kind "check", issued now, with
 * DEADLINE_MS from now.  KEY is copied. */
job_t *job_new (const char *key, int64_t deadline_ms);

/* Adds a task that runs for RUN_MS and answers STATUS with a text of its own. */
void job_add (job_t *job, int64_t run_ms, int32_t status);

/* Adds a task whose body is echoed.  It must not begin with a brace. */
void job_add_echo (job_t *job, const char *body, gsize size_bytes);

/* Adds a task with MORE members of the endpoint's directions, such as
 * "\"drop\":true", which has no answer. */
void job_add_fault (job_t *job, const char *more);

/* A job with COUNT tasks of RUN_MS. */
job_t *job_simple (const char *key, int32_t count, int64_t run_ms);

/* The body to submit; the same bytes every time. */
const char *job_text (job_t *job);

/* Compares a whole answer byte by byte.  Returns NULL, or what is wrong (g_free). */
char *job_compare (const job_t *job, json_object *answer);

void job_free (job_t *job);

#endif
