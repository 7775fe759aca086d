/* deployment.h -- a small deployment for the scripts of the review, and the record of what it did
 *
 * The processes and the proxy in front of them are those of the soak (tests/soak/rig.h).  Times in
 * the record are milliseconds since deployment_start ().
 */
#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include "tests/soak/rig_private.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Exit statuses of a script. */
#define REVIEW_HELD 0
#define REVIEW_BROKEN 1
#define REVIEW_NOT_RUN 2

/* Bounds of the small sites (bounds.* in their settings). */
#define REVIEW_CONTACT_WINDOW_MS 3000
#define REVIEW_CANCEL_MS 3000

typedef struct
{
  rig_t rig;
  FILE *record;
  int64_t started_at_ms;
} deployment_t;

/* A start that an endpoint's ledger tells. */
typedef struct
{
  int64_t at_ms; /* of the boot clock */
  char *task;
  char *endpoint;
  char *spec;
} review_start_t;

/* Whether the script runs with its disruption: TROUBLE is not 0 in the environment. */
bool review_has_trouble (void);

/* Starts HOSTS and ENDPOINTS in ZONES zones, and writes the record to FILE.  Returns false if they
 * are not ready in time. */
bool
deployment_start (deployment_t *deployment, const char *file, int hosts, int endpoints, int zones);

/* Appends the ledgers of the endpoints to the record and ends all processes. */
void deployment_stop (deployment_t *deployment);

/* Writes a line with the time to the record. */
void deployment_note (deployment_t *deployment, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Whether HOST owns the endpoints of a zone; true if it does not tell. */
bool deployment_owns_shard (const deployment_t *deployment, int host);

/* The number of a host that owns no shard and is not EXCEPT; -1 if there is none. */
int deployment_host_without_shard (const deployment_t *deployment, int except);

/* All starts so far, as review_start_t. */
GArray *deployment_starts (const deployment_t *deployment);

/* The number of starts later than AT_MS, which is written to the record too. */
int deployment_count_starts_after (deployment_t *deployment, int64_t at_ms);

#endif
