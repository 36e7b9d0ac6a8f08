#include "core/record.h"

#include "record.pb-c.h"

#include <string.h>

/* Creates an entry of KIND.  ACCOUNT and KEY are copied; both are "" for
   REC_NOOP.  */
struct rec_entry *
rec_entry_create (enum rec_kind kind, const char *account, const char *key)
{
  struct rec_entry *entry = g_new0 (struct rec_entry, 1);
  entry->kind = kind;
  entry->account = g_strdup (account);
  entry->key = g_strdup (key);
  return entry;
}

/* Returns a copy of ENTRY, which shares the body by reference.  */
struct rec_entry *
rec_entry_copy (const struct rec_entry *entry)
{
  struct rec_entry *copy = g_new (struct rec_entry, 1);
  *copy = *entry;
  copy->account = g_strdup (entry->account);
  copy->key = g_strdup (entry->key);
  copy->body = entry->body == NULL ? NULL : g_bytes_ref (entry->body);
  return copy;
}

/* Frees ENTRY; NULL is allowed.  */
void
rec_entry_destroy (struct rec_entry *entry)
{
  if (entry == NULL)
    {
      return;
    }
  g_free (entry->account);
  g_free (entry->key);
  g_bytes_unref (entry->body);
  g_free (entry);
}

static void
destroy_entry (gpointer data)
{
  rec_entry_destroy (data);
}

/* Points FIELD to the bytes of BODY, which has to outlive it.  */
static void
borrow_bytes (ProtobufCBinaryData *field, GBytes *body)
{
  if (body != NULL)
    {
      gsize size = 0;
      field->data = (uint8_t *)g_bytes_get_data (body, &size);
      field->len = size;
    }
}

/* Returns MESSAGE in its encoded form.  */
static GBytes *
pack (const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  uint8_t *data = g_malloc (size > 0 ? size : 1);
  protobuf_c_message_pack (message, data);
  return g_bytes_new_take (data, size);
}

/* Returns the message that BYTES encode, or NULL when they are malformed.  */
static ProtobufCMessage *
unpack (const ProtobufCMessageDescriptor *descriptor, GBytes *bytes)
{
  gsize size = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  return protobuf_c_message_unpack (descriptor, NULL, size, data);
}

static void
fill_entry_message (Record__Entry *message, const struct rec_entry *entry)
{
  record__entry__init (message);
  message->kind = (uint32_t)entry->kind;
  message->account = entry->account;
  message->key = entry->key;
  message->body_hash = entry->body_hash;
  message->generation = entry->generation;
  message->incarnation = entry->incarnation;
  message->nonce = entry->nonce;
  message->state = (uint32_t)entry->state;
  message->status = entry->status;
  message->body_omitted = entry->body_omitted;
  message->claimed_us = entry->claimed_us;
  borrow_bytes (&message->body, entry->body);
}

/* Packs ENTRIES, an array of struct rec_entry, into one record.  SEQUENCE
   identifies the record among those of the writer with INCARNATION.  */
GBytes *
rec_pack_batch (uint64_t incarnation, uint64_t sequence,
                const GPtrArray *entries)
{
  Record__Batch batch = RECORD__BATCH__INIT;
  Record__Entry *messages = g_new (Record__Entry, entries->len + 1);
  Record__Entry **pointers = g_new (Record__Entry *, entries->len + 1);
  for (guint i = 0; i < entries->len; i++)
    {
      fill_entry_message (&messages[i], g_ptr_array_index (entries, i));
      pointers[i] = &messages[i];
    }
  batch.format = REC_FORMAT;
  batch.incarnation = incarnation;
  batch.sequence = sequence;
  batch.n_entries = entries->len;
  batch.entries = pointers;
  GBytes *bytes = pack (&batch.base);
  g_free (pointers);
  g_free (messages);
  return bytes;
}

/* Returns whether MESSAGE is a well-formed entry of a known kind.  */
static bool
entry_valid (const Record__Entry *message)
{
  if (message->kind == REC_NONE || message->kind > REC_NOOP
      || message->state > REC_STATE_DONE)
    {
      return false;
    }
  if (message->kind == REC_NOOP)
    {
      return true;
    }
  return message->key[0] != '\0' && message->account[0] != '\0'
         && message->generation > 0 && message->incarnation != 0
         && strlen (message->key) <= REC_KEY_BYTES_MAX
         && message->body.len <= REC_BODY_BYTES_MAX;
}

static struct rec_entry *
unpack_entry (const Record__Entry *message)
{
  struct rec_entry *entry = rec_entry_create ((enum rec_kind)message->kind,
                                              message->account, message->key);
  entry->body_hash = message->body_hash;
  entry->generation = message->generation;
  entry->incarnation = message->incarnation;
  entry->nonce = message->nonce;
  entry->state = (enum rec_state)message->state;
  entry->status = message->status;
  entry->body_omitted = message->body_omitted;
  entry->claimed_us = message->claimed_us;
  if (message->body.len > 0)
    {
      entry->body = g_bytes_new (message->body.data, message->body.len);
    }
  return entry;
}

/* Unpacks a record of a claims stream.  Unknown fields are ignored; entries
   that are malformed or of an unknown kind are left out and counted.  Returns
   NULL when the record as a whole is malformed or of another format.  */
struct rec_batch *
rec_unpack_batch (GBytes *bytes)
{
  ProtobufCMessage *base = unpack (&record__batch__descriptor, bytes);
  if (base == NULL)
    {
      return NULL;
    }
  const Record__Batch *message = (const Record__Batch *)base;
  struct rec_batch *batch = NULL;
  if (message->format == REC_FORMAT)
    {
      batch = g_new0 (struct rec_batch, 1);
      batch->incarnation = message->incarnation;
      batch->sequence = message->sequence;
      batch->entries = g_ptr_array_new_with_free_func (destroy_entry);
      for (size_t i = 0; i < message->n_entries; i++)
        {
          if (!entry_valid (message->entries[i]))
            {
              batch->skipped++;
              continue;
            }
          g_ptr_array_add (batch->entries, unpack_entry (message->entries[i]));
        }
    }
  protobuf_c_message_free_unpacked (base, NULL);
  return batch;
}

/* Frees BATCH and its entries; NULL is allowed.  */
void
rec_batch_destroy (struct rec_batch *batch)
{
  if (batch == NULL)
    {
      return;
    }
  g_ptr_array_free (batch->entries, TRUE);
  g_free (batch);
}

/* Packs a record of the stream `config'.  */
GBytes *
rec_pack_configuration (const struct rec_configuration *record)
{
  Record__Configuration message = RECORD__CONFIGURATION__INIT;
  message.format = REC_FORMAT;
  message.incarnation = record->incarnation;
  message.nonce = record->nonce;
  message.base_version = record->base_version;
  message.version = record->version;
  message.published_us = record->published_us;
  message.after = record->after;
  message.withdrawn = record->withdrawn;
  if (record->publisher != NULL)
    {
      message.publisher = record->publisher;
    }
  borrow_bytes (&message.yaml, record->yaml);
  return pack (&message.base);
}

/* Unpacks a record of the stream `config', or returns NULL when it is
   malformed or of another format.  */
struct rec_configuration *
rec_unpack_configuration (GBytes *bytes)
{
  ProtobufCMessage *base = unpack (&record__configuration__descriptor, bytes);
  if (base == NULL)
    {
      return NULL;
    }
  const Record__Configuration *message = (const Record__Configuration *)base;
  struct rec_configuration *record = NULL;
  if (message->format == REC_FORMAT && message->incarnation != 0)
    {
      record = g_new0 (struct rec_configuration, 1);
      record->incarnation = message->incarnation;
      record->nonce = message->nonce;
      record->base_version = message->base_version;
      record->version = message->version;
      record->published_us = message->published_us;
      record->after = message->after;
      record->withdrawn = message->withdrawn;
      record->publisher = g_strdup (message->publisher);
      record->yaml = g_bytes_new (message->yaml.data, message->yaml.len);
    }
  protobuf_c_message_free_unpacked (base, NULL);
  return record;
}

/* Frees RECORD; NULL is allowed.  */
void
rec_configuration_destroy (struct rec_configuration *record)
{
  if (record == NULL)
    {
      return;
    }
  g_free (record->publisher);
  g_bytes_unref (record->yaml);
  g_free (record);
}

/* Packs a record of the stream `lease'.  */
GBytes *
rec_pack_lease (const struct rec_lease *record)
{
  Record__Lease message = RECORD__LEASE__INIT;
  message.format = REC_FORMAT;
  message.incarnation = record->incarnation;
  message.nonce = record->nonce;
  message.fence = record->fence;
  message.after = record->after;
  message.duration_us = record->duration_us;
  message.operation = (uint32_t)record->operation;
  if (record->holder != NULL)
    {
      message.holder = record->holder;
    }
  return pack (&message.base);
}

/* Unpacks a record of the stream `lease', or returns NULL when it is
   malformed or of another format.  */
struct rec_lease *
rec_unpack_lease (GBytes *bytes)
{
  ProtobufCMessage *base = unpack (&record__lease__descriptor, bytes);
  if (base == NULL)
    {
      return NULL;
    }
  const Record__Lease *message = (const Record__Lease *)base;
  struct rec_lease *record = NULL;
  if (message->format == REC_FORMAT && message->incarnation != 0
      && message->duration_us > 0 && message->operation <= REC_LEASE_RELEASE)
    {
      record = g_new0 (struct rec_lease, 1);
      record->incarnation = message->incarnation;
      record->nonce = message->nonce;
      record->fence = message->fence;
      record->after = message->after;
      record->holder = g_strdup (message->holder);
      record->duration_us = message->duration_us;
      record->operation = (enum rec_lease_operation)message->operation;
    }
  protobuf_c_message_free_unpacked (base, NULL);
  return record;
}

/* Frees RECORD; NULL is allowed.  */
void
rec_lease_destroy (struct rec_lease *record)
{
  if (record == NULL)
    {
      return;
    }
  g_free (record->holder);
  g_free (record);
}
