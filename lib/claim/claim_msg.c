/* claim_msg.c -- codec of the messages about idempotency keys */
#include "claim/claim_msg.h"

typedef struct
{
  void (*put) (frame_writer_t *writer, const claim_msg_t *msg);
  bool (*get) (frame_reader_t *reader, claim_msg_t *msg);
  void (*clear) (claim_msg_t *msg);
} codec_t;

void
claim_holders_clear (claim_holder_t *holders, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    member_unref (holders[i].member);
}

void
claim_losses_clear (GArray *losses)
{
  for (guint i = 0; i < losses->len; i++)
    view_unref (g_array_index (losses, claim_loss_t, i).from);
  g_array_set_size (losses, 0);
}

void
claim_key_free (claim_key_t *key)
{
  claim_holders_clear (key->holders, key->holder_count);
  g_free (key->key);
  g_free (key);
}

static void
put_holders (frame_writer_t *writer, const claim_holder_t *holders, int32_t count)
{
  frame_put_count (writer, (size_t) count);
  for (int32_t i = 0; i < count; i++)
    {
      member_put (writer, holders[i].member);
      frame_put_uint (writer, holders[i].attempt);
      frame_put_bytes (writer, holders[i].digest.bytes, HASH_DIGEST_BYTES);
    }
}

static bool
get_holders (frame_reader_t *reader, claim_holder_t *holders, int32_t *count)
{
  int32_t announced = (int32_t) frame_get_count (reader, CLAIM_HOLDERS_MAX);

  for (int32_t i = 0; i < announced; i++)
    {
      holders[i].member = member_get (reader);
      if (holders[i].member == NULL)
        return false;
      *count = i + 1;
      holders[i].attempt = frame_get_uint (reader);
      frame_get_fixed (reader, holders[i].digest.bytes, HASH_DIGEST_BYTES);
    }
  return true;
}

static char *
get_key (frame_reader_t *reader)
{
  return frame_get_string (reader, CLAIM_KEY_MAX_BYTES);
}

static char *
get_name (frame_reader_t *reader)
{
  return frame_get_string (reader, FRAME_NAME_MAX_BYTES);
}

static void
claim_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  const claim_request_t *claim = &msg->u.claim;

  frame_put_uint (writer, claim->attempt);
  frame_put_int (writer, claim->view_number);
  frame_put_string (writer, claim->key);
  frame_put_bytes (writer, claim->digest.bytes, HASH_DIGEST_BYTES);
  frame_put_int (writer, claim->issued_at_ms);
}

static bool
claim_get (frame_reader_t *reader, claim_msg_t *msg)
{
  claim_request_t *claim = &msg->u.claim;

  claim->attempt = frame_get_uint (reader);
  claim->view_number = frame_get_int (reader);
  claim->key = get_key (reader);
  frame_get_fixed (reader, claim->digest.bytes, HASH_DIGEST_BYTES);
  claim->issued_at_ms = frame_get_int (reader);
  return claim->key != NULL;
}

static void
claim_clear (claim_msg_t *msg)
{
  g_free (msg->u.claim.key);
}

static void
probe_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  const claim_probe_t *probe = &msg->u.probe;

  frame_put_uint (writer, probe->request_id);
  frame_put_int (writer, probe->view_number);
  frame_put_string (writer, probe->key);
  frame_put_int (writer, probe->issued_at_ms);
  frame_put_string (writer, probe->erase_host);
  frame_put_uint (writer, probe->erase_incarnation);
  frame_put_uint (writer, probe->erase_attempt);
}

static bool
probe_get (frame_reader_t *reader, claim_msg_t *msg)
{
  claim_probe_t *probe = &msg->u.probe;

  probe->request_id = frame_get_uint (reader);
  probe->view_number = frame_get_int (reader);
  probe->key = get_key (reader);
  probe->issued_at_ms = frame_get_int (reader);
  probe->erase_host = get_name (reader);
  probe->erase_incarnation = frame_get_uint (reader);
  probe->erase_attempt = frame_get_uint (reader);
  return probe->key != NULL;
}

static void
probe_clear (claim_msg_t *msg)
{
  g_free (msg->u.probe.key);
  g_free (msg->u.probe.erase_host);
}

static void
reply_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  const claim_reply_t *reply = &msg->u.reply;

  frame_put_uint (writer, reply->request_id);
  frame_put_uint (writer, reply->incarnation);
  frame_put_int (writer, reply->view_number);
  frame_put_string (writer, reply->slot);
  frame_put_int (writer, reply->result);
  put_holders (writer, reply->holders, reply->holder_count);
}

static bool
reply_get (frame_reader_t *reader, claim_msg_t *msg)
{
  claim_reply_t *reply = &msg->u.reply;

  reply->request_id = frame_get_uint (reader);
  reply->incarnation = frame_get_uint (reader);
  reply->view_number = frame_get_int (reader);
  reply->slot = get_name (reader);
  reply->result = (claim_reply_result_t) frame_get_range (reader, 0, CLAIM_REPLY_LAST);
  return get_holders (reader, reply->holders, &reply->holder_count);
}

static void
reply_clear (claim_msg_t *msg)
{
  g_free (msg->u.reply.slot);
  claim_holders_clear (msg->u.reply.holders, msg->u.reply.holder_count);
}

static void
query_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  frame_put_uint (writer, msg->u.query.request_id);
  frame_put_uint (writer, msg->u.query.incarnation);
  frame_put_string (writer, msg->u.query.key);
}

static bool
query_get (frame_reader_t *reader, claim_msg_t *msg)
{
  msg->u.query.request_id = frame_get_uint (reader);
  msg->u.query.incarnation = frame_get_uint (reader);
  msg->u.query.key = get_key (reader);
  return msg->u.query.key != NULL;
}

static void
query_clear (claim_msg_t *msg)
{
  g_free (msg->u.query.key);
}

static void
answer_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  frame_put_uint (writer, msg->u.answer.request_id);
  frame_put_uint (writer, msg->u.answer.incarnation);
  frame_put_int (writer, msg->u.answer.result);
  frame_put_uint (writer, msg->u.answer.attempt);
}

static bool
answer_get (frame_reader_t *reader, claim_msg_t *msg)
{
  claim_answer_t *answer = &msg->u.answer;

  answer->request_id = frame_get_uint (reader);
  answer->incarnation = frame_get_uint (reader);
  answer->result = (claim_answer_result_t) frame_get_range (reader, 0, CLAIM_ANSWER_LAST);
  answer->attempt = frame_get_uint (reader);
  return true;
}

static void
answer_clear (claim_msg_t *msg)
{
  (void) msg;
}

static void
pull_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  frame_put_int (writer, msg->u.pull.to_view_number);
  frame_put_uint (writer, msg->u.pull.cursor);
  frame_put_string (writer, msg->u.pull.transferred_slot);
}

static bool
pull_get (frame_reader_t *reader, claim_msg_t *msg)
{
  msg->u.pull.to_view_number = frame_get_int (reader);
  msg->u.pull.cursor = frame_get_uint (reader);
  msg->u.pull.transferred_slot = get_name (reader);
  return true;
}

static void
pull_clear (claim_msg_t *msg)
{
  g_free (msg->u.pull.transferred_slot);
}

/* Returns the distinct claimants in BATCH and stores their indices in PLACES.  A
 * batch has few claimants, so each is encoded once and keys refer to it by its
 * index. */
static GPtrArray *
batch_members (const claim_batch_t *batch, GHashTable *places)
{
  GPtrArray *members = g_ptr_array_new ();

  for (guint i = 0; i < batch->keys->len; i++)
    {
      const claim_key_t *key = g_ptr_array_index (batch->keys, i);
      for (int32_t j = 0; j < key->holder_count; j++)
        {
          member_t *member = key->holders[j].member;
          if (g_hash_table_contains (places, member))
            continue;
          g_hash_table_insert (places, member, GUINT_TO_POINTER (members->len));
          g_ptr_array_add (members, member);
        }
    }
  return members;
}

static void
put_batch_key (frame_writer_t *writer, const claim_key_t *key, GHashTable *places)
{
  frame_put_string (writer, key->key);
  frame_put_int (writer, key->issued_at_ms);
  frame_put_count (writer, (size_t) key->holder_count);
  for (int32_t i = 0; i < key->holder_count; i++)
    {
      const claim_holder_t *holder = &key->holders[i];
      frame_put_uint (writer, GPOINTER_TO_UINT (g_hash_table_lookup (places, holder->member)));
      frame_put_uint (writer, holder->attempt);
      frame_put_bytes (writer, holder->digest.bytes, HASH_DIGEST_BYTES);
    }
}

static void
batch_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  const claim_batch_t *batch = &msg->u.batch;
  g_autoptr (GHashTable) places = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_autoptr (GPtrArray) members = batch_members (batch, places);

  frame_put_int (writer, batch->to_view_number);
  frame_put_string (writer, batch->transferred_slot);
  frame_put_string (writer, batch->from_slot);
  frame_put_uint (writer, batch->cursor);
  frame_put_uint (writer, batch->next_cursor);
  frame_put_bool (writer, batch->done);
  frame_put_int (writer, batch->sealed_at_ms);
  frame_put_int (writer, batch->expired_until_ms);
  frame_put_count (writer, batch->losses->len);
  for (guint i = 0; i < batch->losses->len; i++)
    {
      const claim_loss_t *loss = &g_array_index (batch->losses, claim_loss_t, i);
      view_put (writer, loss->from);
      frame_put_uint (writer, loss->handed_over);
      frame_put_int (writer, loss->max_issued_at_ms);
    }
  frame_put_count (writer, members->len);
  for (guint i = 0; i < members->len; i++)
    member_put (writer, g_ptr_array_index (members, i));
  frame_put_count (writer, batch->keys->len);
  for (guint i = 0; i < batch->keys->len; i++)
    put_batch_key (writer, g_ptr_array_index (batch->keys, i), places);
}

static bool
get_losses (frame_reader_t *reader, GArray *losses)
{
  size_t count = frame_get_count (reader, CLAIM_LOSSES_MAX);

  for (size_t i = 0; i < count; i++)
    {
      claim_loss_t loss = { .from = view_get (reader) };
      if (loss.from == NULL)
        return false;
      loss.handed_over = frame_get_uint (reader);
      loss.max_issued_at_ms = frame_get_int (reader);
      g_array_append_val (losses, loss);
    }
  return true;
}

static claim_key_t *
get_batch_key (frame_reader_t *reader, const GPtrArray *members)
{
  claim_key_t *key = g_new0 (claim_key_t, 1);

  key->key = get_key (reader);
  key->issued_at_ms = frame_get_int (reader);
  int32_t count = (int32_t) frame_get_count (reader, CLAIM_HOLDERS_MAX);
  for (int32_t i = 0; i < count && members->len > 0; i++)
    {
      guint place = (guint) frame_get_range (reader, 0, members->len - 1);
      key->holders[i].member = member_ref (g_ptr_array_index (members, place));
      key->holders[i].attempt = frame_get_uint (reader);
      frame_get_fixed (reader, key->holders[i].digest.bytes, HASH_DIGEST_BYTES);
      key->holder_count = i + 1;
    }
  if (frame_ok (reader) && key->key != NULL && key->holder_count > 0)
    return key;
  claim_key_free (key);
  return NULL;
}

static bool
get_batch_keys (frame_reader_t *reader, GPtrArray *keys)
{
  g_autoptr (GPtrArray) members = g_ptr_array_new_with_free_func ((GDestroyNotify) member_unref);
  size_t member_count = frame_get_count (reader, CLAIM_BATCH_KEYS * CLAIM_HOLDERS_MAX);

  for (size_t i = 0; i < member_count; i++)
    {
      member_t *member = member_get (reader);
      if (member == NULL)
        return false;
      g_ptr_array_add (members, member);
    }
  size_t key_count = frame_get_count (reader, CLAIM_BATCH_KEYS);
  for (size_t i = 0; i < key_count; i++)
    {
      claim_key_t *key = get_batch_key (reader, members);
      if (key == NULL)
        return false;
      g_ptr_array_add (keys, key);
    }
  return true;
}

static bool
batch_get (frame_reader_t *reader, claim_msg_t *msg)
{
  claim_batch_t *batch = &msg->u.batch;

  batch->to_view_number = frame_get_int (reader);
  batch->transferred_slot = get_name (reader);
  batch->from_slot = get_name (reader);
  batch->cursor = frame_get_uint (reader);
  batch->next_cursor = frame_get_uint (reader);
  batch->done = frame_get_bool (reader);
  batch->sealed_at_ms = frame_get_int (reader);
  batch->expired_until_ms = frame_get_int (reader);
  return batch->from_slot != NULL && get_losses (reader, batch->losses)
         && get_batch_keys (reader, batch->keys);
}

static void
batch_clear (claim_msg_t *msg)
{
  claim_batch_t *batch = &msg->u.batch;

  g_free (batch->transferred_slot);
  g_free (batch->from_slot);
  claim_losses_clear (batch->losses);
  g_array_unref (batch->losses);
  g_ptr_array_unref (batch->keys);
}

static void
slot_put (frame_writer_t *writer, const claim_msg_t *msg)
{
  frame_put_int (writer, msg->u.slot.view_number);
  frame_put_string (writer, msg->u.slot.slot);
  frame_put_uint (writer, msg->u.slot.epoch);
}

static bool
slot_get (frame_reader_t *reader, claim_msg_t *msg)
{
  msg->u.slot.view_number = frame_get_int (reader);
  msg->u.slot.slot = get_name (reader);
  msg->u.slot.epoch = (uint32_t) frame_get_range (reader, 0, UINT32_MAX);
  return msg->u.slot.slot != NULL;
}

static void
slot_clear (claim_msg_t *msg)
{
  g_free (msg->u.slot.slot);
}

static const codec_t codecs[] = {
  [CLAIM_MSG_CLAIM] = { claim_put, claim_get, claim_clear },
  [CLAIM_MSG_PROBE] = { probe_put, probe_get, probe_clear },
  [CLAIM_MSG_REPLY] = { reply_put, reply_get, reply_clear },
  [CLAIM_MSG_QUERY] = { query_put, query_get, query_clear },
  [CLAIM_MSG_ANSWER] = { answer_put, answer_get, answer_clear },
  [CLAIM_MSG_PULL] = { pull_put, pull_get, pull_clear },
  [CLAIM_MSG_BATCH] = { batch_put, batch_get, batch_clear },
  [CLAIM_MSG_SLOT_OFFER] = { slot_put, slot_get, slot_clear },
  [CLAIM_MSG_SLOT_READY] = { slot_put, slot_get, slot_clear },
  [CLAIM_MSG_SLOT_TRANSFERRED] = { slot_put, slot_get, slot_clear },
};

claim_msg_t *
claim_msg_new (claim_msg_type_t type)
{
  claim_msg_t *msg = g_new0 (claim_msg_t, 1);

  msg->type = type;
  if (type == CLAIM_MSG_BATCH)
    {
      msg->u.batch.losses = g_array_new (FALSE, FALSE, sizeof (claim_loss_t));
      msg->u.batch.keys = g_ptr_array_new_with_free_func ((GDestroyNotify) claim_key_free);
    }
  return msg;
}

void
claim_msg_free (claim_msg_t *msg)
{
  if (msg == NULL)
    return;
  codecs[msg->type].clear (msg);
  g_free (msg);
}

GBytes *
claim_msg_encode (const claim_msg_t *msg)
{
  frame_writer_t *writer = frame_begin (msg->type);

  codecs[msg->type].put (writer, msg);
  return frame_finish (writer);
}

claim_msg_t *
claim_msg_decode (frame_reader_t *reader)
{
  int type = frame_type (reader);

  if (type < CLAIM_MSG_CLAIM || type > CLAIM_MSG_SLOT_TRANSFERRED)
    return NULL;
  claim_msg_t *msg = claim_msg_new ((claim_msg_type_t) type);
  if (codecs[type].get (reader, msg) && frame_ok (reader))
    return msg;
  claim_msg_free (msg);
  return NULL;
}
