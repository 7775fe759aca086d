/* heap.c -- binary heap of nodes that lie in the caller's structs */
#include "dispatch/heap.h"

#include <assert.h>
#include <glib.h>

#define FIRST_ROOM 16

static bool
is_before (const heap_node_t *a, const heap_node_t *b)
{
  return a->key != b->key ? a->key < b->key : a->order < b->order;
}

static void
put (heap_t *heap, uint32_t place, heap_node_t *node)
{
  heap->nodes[place - 1] = node;
  node->place = place;
}

static void
sift_up (heap_t *heap, heap_node_t *node)
{
  uint32_t place = node->place;

  while (place > 1 && is_before (node, heap->nodes[place / 2 - 1]))
    {
      put (heap, place, heap->nodes[place / 2 - 1]);
      place /= 2;
    }
  put (heap, place, node);
}

static void
sift_down (heap_t *heap, heap_node_t *node)
{
  uint32_t place = node->place;

  for (;;)
    {
      uint32_t child = 2 * place;
      if (child > heap->count)
        break;
      if (child < heap->count && is_before (heap->nodes[child], heap->nodes[child - 1]))
        child++;
      if (!is_before (heap->nodes[child - 1], node))
        break;
      put (heap, place, heap->nodes[child - 1]);
      place = child;
    }
  put (heap, place, node);
}

void
heap_push (heap_t *heap, heap_node_t *node)
{
  assert (node->place == 0);
  if (heap->count == heap->room)
    {
      heap->room = heap->room == 0 ? FIRST_ROOM : 2 * heap->room;
      heap->nodes = g_renew (heap_node_t *, heap->nodes, heap->room);
    }
  heap->count++;
  put (heap, heap->count, node);
  sift_up (heap, node);
}

heap_node_t *
heap_first (const heap_t *heap)
{
  return heap->count == 0 ? NULL : heap->nodes[0];
}

void
heap_remove (heap_t *heap, heap_node_t *node)
{
  if (node->place == 0)
    return;
  assert (heap->nodes[node->place - 1] == node);
  heap_node_t *last = heap->nodes[heap->count - 1];
  uint32_t place = node->place;

  heap->count--;
  node->place = 0;
  if (last == node)
    return;
  put (heap, place, last);
  heap_moved (heap, last);
}

void
heap_moved (heap_t *heap, heap_node_t *node)
{
  if (node->place == 0)
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
