/* record.h -- the two kinds of record in the configuration's log stream
 *
 * An EDITS record is one publication.  Its edits are accepted or rejected
 * together, so that readers never see part of a publication.  A CHECKPOINT
 * record contains the complete state that results from all records before an
 * offset, so that the log may drop those records.
 *
 * A record is a msgpack array as described in wire/frame.h, without the length
 * prefix.  The functions have no shared state; a record must be used by one
 * thread at a time.
 */
#ifndef CONFIG_RECORD_H
#define CONFIG_RECORD_H

#include "config/state.h"

#include <stddef.h>

/* Name of the configuration's log stream. */
#define CONFIG_STREAM "config"

/* Frame types of the records. */
#define CONFIG_RECORD_EDITS 50
#define CONFIG_RECORD_CHECKPOINT 51

#define CONFIG_PUBLICATION_ID_BYTES 16
/* Bounds on the memory that one record makes its reader allocate. */
#define CONFIG_RECORD_EDITS_MAX 1000000
#define CONFIG_RECORD_ENTRIES_MAX 4000000
#define CONFIG_RECORD_OUTCOMES_MAX 4096

/* Random id of a publication.  Copies that the author appends again, because an
 * answer was lost, have the same id. */
typedef struct
{
  uint8_t bytes[CONFIG_PUBLICATION_ID_BYTES];
} config_publication_id_t;

typedef struct
{
  config_kind_t kind;
  char *name;
  int64_t base_offset;   /* the author knew all changes of the entry up to this offset */
  config_entry_t *entry; /* new value; NULL removes the entry */
} config_edit_t;

/* A publication. */
typedef struct
{
  config_publication_id_t id;
  GArray *edits; /* of config_edit_t */
} config_edits_t;

/* A removed entry with the offset of its removal. */
typedef struct
{
  config_kind_t kind;
  char *name;
  int64_t revision;
} config_tombstone_t;

/* The outcome of a publication. */
typedef struct
{
  config_publication_id_t id;
  bool accepted;
  int64_t offset;
} config_outcome_t;

typedef struct
{
  int64_t next_offset;      /* the state results from all records before this offset */
  int64_t evicted_revision; /* no removed entry without a tombstone changed after this offset;
                             * -1 for none */
  config_t *config;
  GArray *tombstones; /* of config_tombstone_t, oldest first */
  GArray *outcomes;   /* of config_outcome_t, oldest first */
} config_checkpoint_t;

/* A parsed record: exactly one of the two is set. */
typedef struct
{
  config_edits_t *edits;
  config_checkpoint_t *checkpoint;
} config_record_t;

config_edits_t *config_edits_new (const config_publication_id_t *id);
/* EDITS may be NULL. */
void config_edits_free (config_edits_t *edits);
/* Adds an edit of the entry NAME.  Takes its own reference of ENTRY; NULL removes
 * the entry. */
void config_edits_add (config_edits_t *edits,
                       config_kind_t kind,
                       const char *name,
                       int64_t base_offset,
                       config_entry_t *entry);
/* Encodes the record; the caller frees it (g_bytes_unref). */
GBytes *config_edits_encode (const config_edits_t *edits);

/* A checkpoint without tombstones and outcomes; takes its own reference of
 * CONFIG. */
config_checkpoint_t *
config_checkpoint_new (int64_t next_offset, int64_t evicted_revision, config_t *config);
/* CHECKPOINT may be NULL. */
void config_checkpoint_free (config_checkpoint_t *checkpoint);
void config_checkpoint_add_tombstone (config_checkpoint_t *checkpoint,
                                      config_kind_t kind,
                                      const char *name,
                                      int64_t revision);
/* Encodes the record; the caller frees it (g_bytes_unref).  Equal states give
 * identical bytes. */
GBytes *config_checkpoint_encode (const config_checkpoint_t *checkpoint);

/* Parses the record at OFFSET.  Returns 0, or ERROR_PROTOCOL with *RECORD empty.
 * Free with config_record_clear (). */
int config_record_parse (const void *data, size_t size, int64_t offset, config_record_t *record);
void config_record_clear (config_record_t *record);

#endif
