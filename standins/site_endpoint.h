/* site_endpoint.h -- an endpoint as a stand-in: runs, leases, tokens, ends
 *
 * It runs a task for as many milliseconds as its spec says; a spec that begins with F fails at
 * its end, and one that begins with X crashes the endpoint then, which is back a little later.
 * After a crash it is a new instance under the same id: it has no runs, ends, token or stops, and
 * its clock, the numbers of its ends and the sequence of its entries begin anew.
 * Orders come over HTTP on its own address.  With a ledger each start and each end is a line on
 * standard output, written at once, so that it outlives the process.
 *
 * Runs on the loop's thread.
 */
#ifndef STANDINS_SITE_ENDPOINT_H
#define STANDINS_SITE_ENDPOINT_H

#include "reactor/web.h"
#include "standins/site_faults.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct site_endpoint_t site_endpoint_t;

typedef struct
{
  const char *id;
  const char *address;  /* IP:port where it listens */
  const char *known_as; /* IP:port that its entry tells */
  const char *data_centre;
  const char *rack;
  int32_t room; /* tasks at once */
  bool ledger;
} site_endpoint_options_t;

/* All endpoints of this process together. */
typedef struct
{
  int32_t starts;
  int32_t twice;   /* starts of a task that ran at another endpoint */
  int32_t again;   /* starts after a run of the task was done, if that end was acknowledged ever */
  int32_t crowded; /* orders to start beyond the room; a smaller room counts after a grace */
  int32_t refused; /* orders to start that found no room */
  int32_t running;
  int32_t unacknowledged; /* ends */
} site_endpoint_totals_t;

/* Returns 0 and *ENDPOINT, or ERROR_IO if the address can't be had.  The strings of OPTIONS must
 * last. */
int site_endpoint_new (loop_t *loop,
                       const site_endpoint_options_t *options,
                       site_endpoint_t **endpoint);
const char *site_endpoint_id (const site_endpoint_t *endpoint);
int64_t site_endpoint_token (const site_endpoint_t *endpoint);

/* Starts so far, and runs now, at the endpoints of DATA_CENTRE. */
int32_t site_endpoint_starts_in (const char *data_centre);
int32_t site_endpoint_running_in (const char *data_centre);

/* What an endpoint does with its entry in the directory. */
typedef enum
{
  SITE_ENTRY_KEEP, /* nothing: it is down, or misbehaves so */
  SITE_ENTRY_PUT,
  SITE_ENTRY_REPLACE /* removes it and puts it again */
} site_entry_change_t;

/* What to do now.  Unless that is SITE_ENTRY_KEEP, *ENTRY is the text of the entry, which the
 * caller frees. */
site_entry_change_t site_endpoint_register (site_endpoint_t *endpoint, char **entry);

/* Takes the faults that BODY names, also over its address: POST /fault.  With down_ms the endpoint
 * crashes now and is down for so long.  GET /seen there tells what runs and which ends are not
 * acknowledged. */
void site_endpoint_set_faults (site_endpoint_t *endpoint, const char *body);

site_endpoint_totals_t site_endpoint_totals (void);
void site_endpoint_tick (int64_t now_ms);

#endif
