/* heap.h -- binary heap of nodes that lie in the caller's structs
 *
 * A node knows its place, so that it leaves from anywhere in O(log n).  Equal
 * keys come out in the order of `order`, which the caller chooses.  Not
 * thread-safe.
 */
#ifndef DISPATCH_HEAP_H
#define DISPATCH_HEAP_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t key;        /* smallest first */
  uint64_t tie_break; /* smallest first among equal keys */
  uint32_t index;     /* 1-based index in the heap; 0 when in none */
} heap_node_t;

/* All zero is an empty heap. */
typedef struct
{
  heap_node_t **nodes;
  uint32_t count;
  uint32_t capacity;
} heap_t;

/* Adds NODE, which must be in no heap and stay in place until it leaves. */
void heap_push (heap_t *heap, heap_node_t *node);

/* The smallest node, or NULL. */
heap_node_t *heap_peek (const heap_t *heap);

/* Takes NODE out; a node that is in no heap is a no-op. */
void heap_remove (heap_t *heap, heap_node_t *node);

/* Restores the order after NODE's key has changed. */
void heap_update (heap_t *heap, heap_node_t *node);

/* Frees the heap's own memory, not the nodes. */
void heap_clear (heap_t *heap);

#endif
