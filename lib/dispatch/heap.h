/* heap.h -- intrusive binary min-heap
 *
 * Nodes are embedded in the caller's structs and owned by the caller.  Each node stores
 * its index, so that any node can be removed in O(log n).  Nodes with equal keys are
 * ordered by tie_break, which the caller sets.  Not thread-safe.
 */
#ifndef DISPATCH_HEAP_H
#define DISPATCH_HEAP_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t key;        /* smallest first */
  uint64_t tie_break; /* smallest first among equal keys */
  uint32_t index;     /* 1-based index in the heap; 0 if in none */
} heap_node_t;

/* An all-zero struct is an empty heap. */
typedef struct
{
  heap_node_t **nodes;
  uint32_t count;
  uint32_t capacity;
} heap_t;

/* Adds NODE, which must be in no heap.  Its address must not change until it is
 * removed. */
void heap_push (heap_t *heap, heap_node_t *node);

/* Returns the first node without removing it; NULL if HEAP is empty. */
heap_node_t *heap_peek (const heap_t *heap);

/* Removes NODE.  No-op if it is in no heap. */
void heap_remove (heap_t *heap, heap_node_t *node);

/* Restores the heap order after a change of NODE's key.  No-op if it is in no heap. */
void heap_update (heap_t *heap, heap_node_t *node);

/* Frees the heap's own memory, not the nodes. */
void heap_clear (heap_t *heap);

#endif
