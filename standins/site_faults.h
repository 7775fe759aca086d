/* site_faults.h -- how a stand-in endpoint misbehaves
 *
 * Pure functions; any thread.
 */
#ifndef STANDINS_SITE_FAULTS_H
#define STANDINS_SITE_FAULTS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool failing;      /* all runs fail */
  bool hanging;      /* runs never end */
  bool mute;         /* starts are carried out and not answered */
  bool draining;     /* its entry says that it leaves */
  int64_t late_ms;   /* orders get no answer and are carried out so much later */
  bool unlisted;     /* does not register in the directory */
  int64_t slow;      /* runs take so many times as long; 0 counts as 1 */
  bool unguarded;    /* it starts what it has no room for */
  int64_t lost_room; /* its room is so much smaller, and its entry says so */
  bool refusing;     /* while down it closes its connections and accepts none; else it is silent */
  int64_t entry_lag_ms; /* after a crash its old entry stays until so long after its return */
  bool relisted;        /* its first entry after a crash is removed and put again at once */
  int64_t born; /* as if it had started anew with its clock at this time; 0 for its own start */
} site_endpoint_faults_t;

/* Sets those of FAULTS that OBJECT has a member for, under the names of the members above. */
void site_faults_read (json_object *object, site_endpoint_faults_t *faults);

#endif
