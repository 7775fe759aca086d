/* view.c -- immutable views, their slots and their codec */
#include "view/view.h"

#include "base/hash.h"

#include <string.h>

member_t *
member_new (const char *id, uint64_t incarnation, const char *address, const char *data_centre)
{
  member_t *member = g_new0 (member_t, 1);

  member->refs = 1;
  member->incarnation = incarnation;
  member->id = g_strdup (id);
  member->address = g_strdup (address);
  member->data_centre = g_strdup (data_centre);
  return member;
}

member_t *
member_ref (member_t *member)
{
  member->refs++;
  return member;
}

void
member_unref (member_t *member)
{
  if (member == NULL || --member->refs > 0)
    return;
  g_free (member->id);
  g_free (member->address);
  g_free (member->data_centre);
  g_free (member);
}

bool
member_equal (const member_t *a, const member_t *b)
{
  return a == b || (a->incarnation == b->incarnation && strcmp (a->id, b->id) == 0);
}

void
member_put (frame_writer_t *writer, const member_t *member)
{
  frame_put_string (writer, member->id);
  frame_put_uint (writer, member->incarnation);
  frame_put_string (writer, member->address);
  frame_put_string (writer, member->data_centre);
}

member_t *
member_get (frame_reader_t *reader)
{
  g_autofree char *id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  uint64_t incarnation = frame_get_uint (reader);
  g_autofree char *address = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  g_autofree char *data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);

  if (id == NULL || address == NULL || data_centre == NULL)
    return NULL;
  return member_new (id, incarnation, address, data_centre);
}

static view_t *
view_alloc (const char *data_centre, int64_t number, int64_t change_at_ms, int32_t count)
{
  view_t *view = g_malloc0 (sizeof (*view) + sizeof (slot_t) * (size_t) count);

  view->refs = 1;
  view->count = count;
  view->number = number;
  view->recorded_at_ms = change_at_ms;
  view->data_centre = g_strdup (data_centre);
  return view;
}

static int
compare_slots (const void *a, const void *b)
{
  return strcmp (((const slot_t *) a)->name, ((const slot_t *) b)->name);
}

view_t *
view_new (const char *data_centre, int64_t number, int64_t change_at_ms, const GPtrArray *members)
{
  int32_t count = (int32_t) MIN (members->len, VIEW_SLOTS_MAX);
  view_t *view = view_alloc (data_centre, number, change_at_ms, count);

  for (int32_t i = 0; i < count; i++)
    {
      member_t *member = g_ptr_array_index (members, i);
      view->slots[i].name = g_strdup (member->id);
      view->slots[i].occupant = member_ref (member);
    }
  qsort (view->slots, (size_t) count, sizeof (slot_t), compare_slots);
  return view;
}

view_t *
view_ref (view_t *view)
{
  view->refs++;
  return view;
}

void
view_unref (view_t *view)
{
  if (view == NULL || --view->refs > 0)
    return;
  for (int32_t i = 0; i < view->count; i++)
    {
      g_free (view->slots[i].name);
      member_unref (view->slots[i].occupant);
    }
  g_free (view->data_centre);
  g_free (view);
}

static view_t *
view_copy (const view_t *view)
{
  view_t *copy = view_alloc (view->data_centre, view->number, view->recorded_at_ms, view->count);

  for (int32_t i = 0; i < view->count; i++)
    {
      copy->slots[i].name = g_strdup (view->slots[i].name);
      copy->slots[i].epoch = view->slots[i].epoch;
      copy->slots[i].occupant = member_ref (view->slots[i].occupant);
    }
  return copy;
}

static void
slot_set (slot_t *slot, member_t *occupant, uint32_t epoch)
{
  member_t *old = slot->occupant;

  slot->occupant = member_ref (occupant);
  slot->epoch = epoch;
  member_unref (old);
}

view_t *
view_with_occupant (const view_t *view, int32_t slot, member_t *occupant, uint32_t epoch)
{
  view_t *copy = view_copy (view);

  slot_set (&copy->slots[slot], occupant, epoch);
  return copy;
}

int32_t
view_slot_of_member (const view_t *view, const member_t *member)
{
  for (int32_t i = 0; i < view->count; i++)
    if (member_equal (view->slots[i].occupant, member))
      return i;
  return -1;
}

int32_t
view_slot_named (const view_t *view, const char *name)
{
  for (int32_t i = 0; i < view->count; i++)
    if (strcmp (view->slots[i].name, name) == 0)
      return i;
  return -1;
}

int32_t
view_slot_of_host (const view_t *view, const char *id)
{
  for (int32_t i = 0; i < view->count; i++)
    if (strcmp (view->slots[i].occupant->id, id) == 0)
      return i;
  return -1;
}

int32_t
view_replicas (const view_t *view, const char *key, int32_t slots[VIEW_REPLICAS_PER_KEY])
{
  uint64_t weights[VIEW_REPLICAS_PER_KEY] = { 0 };
  int32_t found = 0;

  for (int32_t i = 0; i < view->count; i++)
    {
      uint64_t weight = hash_rendezvous (key, view->slots[i].name);
      int32_t position = found;
      while (position > 0 && weights[position - 1] < weight)
        position--;
      if (position >= VIEW_REPLICAS_PER_KEY)
        continue;
      if (found < VIEW_REPLICAS_PER_KEY)
        found++;
      for (int32_t j = found - 1; j > position; j--)
        {
          weights[j] = weights[j - 1];
          slots[j] = slots[j - 1];
        }
      weights[position] = weight;
      slots[position] = i;
    }
  return found;
}

int32_t
view_majority (int32_t count)
{
  return count / 2 + 1;
}

static uint64_t
epoch_sum (const view_t *view)
{
  uint64_t sum = 0;

  for (int32_t i = 0; i < view->count; i++)
    sum += view->slots[i].epoch;
  return sum;
}

int
view_compare (const view_t *a, const view_t *b)
{
  if (a->number != b->number)
    return a->number < b->number ? -1 : 1;
  uint64_t epochs_a = epoch_sum (a);
  uint64_t epochs_b = epoch_sum (b);
  return epochs_a < epochs_b ? -1 : epochs_a > epochs_b;
}

view_t *
view_merge (view_t *a, view_t *b)
{
  view_t *merged = NULL;

  if (a->number != b->number || a->count != b->count)
    return view_ref (a->number >= b->number ? a : b);
  for (int32_t i = 0; i < a->count; i++)
    {
      if (b->slots[i].epoch <= a->slots[i].epoch)
        continue;
      if (merged == NULL)
        merged = view_copy (a);
      slot_set (&merged->slots[i], b->slots[i].occupant, b->slots[i].epoch);
    }
  return merged != NULL ? merged : view_ref (a);
}

uint64_t
view_version (const view_t *view)
{
  uint64_t version = (uint64_t) view->number;

  for (int32_t i = 0; i < view->count; i++)
    version = version * 1000003 + view->slots[i].epoch;
  return version;
}

void
view_put (frame_writer_t *writer, const view_t *view)
{
  frame_put_string (writer, view->data_centre);
  frame_put_int (writer, view->number);
  frame_put_int (writer, view->recorded_at_ms);
  frame_put_count (writer, (size_t) view->count);
  for (int32_t i = 0; i < view->count; i++)
    {
      frame_put_string (writer, view->slots[i].name);
      frame_put_uint (writer, view->slots[i].epoch);
      member_put (writer, view->slots[i].occupant);
    }
}

static bool
slot_get (frame_reader_t *reader, slot_t *slot)
{
  slot->name = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  slot->epoch = (uint32_t) frame_get_range (reader, 0, UINT32_MAX);
  slot->occupant = member_get (reader);
  return slot->name != NULL && slot->occupant != NULL;
}

view_t *
view_get (frame_reader_t *reader)
{
  g_autofree char *data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  int64_t number = frame_get_range (reader, 0, INT64_MAX);
  int64_t change_at_ms = frame_get_int (reader);
  int32_t count = (int32_t) frame_get_count (reader, VIEW_SLOTS_MAX);

  if (!frame_ok (reader) || data_centre == NULL)
    return NULL;
  view_t *view = view_alloc (data_centre, number, change_at_ms, count);
  for (int32_t i = 0; i < count; i++)
    if (!slot_get (reader, &view->slots[i]))
      {
        view->count = i + 1;
        view_unref (view);
        return NULL;
      }
  return view;
}
