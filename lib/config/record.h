/* record.h -- the two kinds of record of the configuration's log stream
 *
 * EDITS: one publication.  Its edits win or lose together, so that readers
 * never see half of a publication.  CHECKPOINT: the whole state that the
 * records before an offset lead to, so that these may leave the log.
 *
 * A record is a msgpack array as in wire/frame.h, without length prefix.
 * Pure; a record belongs to one thread at a time.
 */
#ifndef CONFIG_RECORD_H
#define CONFIG_RECORD_H

#include "config/state.h"

#include <stddef.h>

/* The log stream of the configuration. */
#define CONFIG_STREAM "config"

/* Frame types of the records. */
#define CONFIG_RECORD_EDITS 50
#define CONFIG_RECORD_CHECKPOINT 51

#define CONFIG_ID_BYTES 16
/* Bounds what one record makes a reader allocate. */
#define CONFIG_RECORD_EDITS_MAX 1000000
#define CONFIG_RECORD_ENTRIES_MAX 4000000
#define CONFIG_RECORD_RECENT_MAX 4096

/* Names one publication over all its copies in the log; random. */
typedef struct
{
  uint8_t bytes[CONFIG_ID_BYTES];
} config_id_t;

typedef struct
{
  config_kind_t kind;
  char *name;
  int64_t base;          /* offset up to which its author knew the entry */
  config_entry_t *value; /* NULL removes the entry */
} config_edit_t;

typedef struct
{
  config_id_t id;
  GArray *edits; /* of config_edit_t */
} config_edits_t;

/* A removed entry, whose last change is still known. */
typedef struct
{
  config_kind_t kind;
  char *name;
  int64_t revision;
} config_removed_t;

/* A recent publication. */
typedef struct
{
  config_id_t id;
  bool accepted;
  int64_t offset;
} config_recent_t;

typedef struct
{
  int64_t next;  /* the state after all records before this offset */
  int64_t floor; /* last change of any removed entry that is not in REMOVED; -1 for none */
  config_t *config;
  GArray *removed; /* of config_removed_t, oldest first */
  GArray *recent;  /* of config_recent_t, oldest first */
} config_checkpoint_t;

/* Exactly one of the two is set after a successful parse. */
typedef struct
{
  config_edits_t *edits;
  config_checkpoint_t *checkpoint;
} config_record_t;

config_edits_t *config_edits_new (const config_id_t *id);
void config_edits_free (config_edits_t *edits);
/* Adds an edit; VALUE (may be NULL, a removal) is referenced. */
void config_edits_add (config_edits_t *edits,
                       config_kind_t kind,
                       const char *name,
                       int64_t base,
                       config_entry_t *value);
GBytes *config_edits_encode (const config_edits_t *edits);

config_checkpoint_t *config_checkpoint_new (int64_t next, int64_t floor, config_t *config);
void config_checkpoint_free (config_checkpoint_t *checkpoint);
void config_checkpoint_add_removed (config_checkpoint_t *checkpoint,
                                    config_kind_t kind,
                                    const char *name,
                                    int64_t revision);
/* The same state gives the same bytes. */
GBytes *config_checkpoint_encode (const config_checkpoint_t *checkpoint);

/* Parses the record at OFFSET.  Returns 0, or ERROR_PROTOCOL with RECORD
 * empty.  Free with config_record_clear (). */
int config_record_parse (const void *data, size_t size, int64_t offset, config_record_t *record);
void config_record_clear (config_record_t *record);

#endif
