/* heap.c -- intrusive binary min-heap */
#include "dispatch/heap.h"

#include <assert.h>
#include <glib.h>

#define INITIAL_CAPACITY 16

static bool
is_before (const heap_node_t *a, const heap_node_t *b)
{
  return a->key != b->key ? a->key < b->key : a->tie_break < b->tie_break;
}

static void
set_node (heap_t *heap, uint32_t index, heap_node_t *node)
{
  heap->nodes[index - 1] = node;
  node->index = index;
}

static void
sift_up (heap_t *heap, heap_node_t *node)
{
  uint32_t index = node->index;

  while (index > 1 && is_before (node, heap->nodes[index / 2 - 1]))
    {
      set_node (heap, index, heap->nodes[index / 2 - 1]);
      index /= 2;
    }
  set_node (heap, index, node);
}

static void
sift_down (heap_t *heap, heap_node_t *node)
{
  uint32_t index = node->index;

  for (;;)
    {
      uint32_t child = 2 * index;
      if (child > heap->count)
        break;
      if (child < heap->count && is_before (heap->nodes[child], heap->nodes[child - 1]))
        child++;
      if (!is_before (heap->nodes[child - 1], node))
        break;
      set_node (heap, index, heap->nodes[child - 1]);
      index = child;
    }
  set_node (heap, index, node);
}

void
heap_push (heap_t *heap, heap_node_t *node)
{
  assert (node->index == 0);
  if (heap->count == heap->capacity)
    {
      heap->capacity = heap->capacity == 0 ? INITIAL_CAPACITY : 2 * heap->capacity;
      heap->nodes = g_renew (heap_node_t *, heap->nodes, heap->capacity);
    }
  heap->count++;
  set_node (heap, heap->count, node);
  sift_up (heap, node);
}

heap_node_t *
heap_peek (const heap_t *heap)
{
  return heap->count == 0 ? NULL : heap->nodes[0];
}

void
heap_remove (heap_t *heap, heap_node_t *node)
{
  if (node->index == 0)
    return;
  assert (heap->nodes[node->index - 1] == node);
  heap_node_t *last = heap->nodes[heap->count - 1];
  uint32_t index = node->index;

  heap->count--;
  node->index = 0;
  if (last == node)
    return;
  set_node (heap, index, last);
  heap_update (heap, last);
}

void
heap_update (heap_t *heap, heap_node_t *node)
{
  if (node->index == 0)
    return;
  sift_up (heap, node);
  sift_down (heap, node);
}

void
heap_clear (heap_t *heap)
{
  g_free (heap->nodes);
  *heap = (heap_t){ 0 };
}
