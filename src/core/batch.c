#include "core/batch.h"

#include <string.h>

/* Encoded size of an entry without its account, key and body; an estimate. */
#define ENTRY_OVERHEAD_BYTES 64

/* The waiting entries of one account. */
struct account_queue
{
  GQueue durable;  /* struct rec_entry; served first */
  GQueue claims;   /* struct rec_entry */
  uint32_t weight; /* entries per turn */
  bool is_ready;   /* in ready_accounts */
};

struct bat_queue
{
  GHashTable *accounts;  /* account to struct account_queue */
  GQueue ready_accounts; /* struct account_queue; those with entries, in the
                            order of their turns */
  uint32_t claims_per_account;
  uint32_t length; /* entries of all accounts */
};

static void
destroy_entry (gpointer data)
{
  rec_entry_destroy (data);
}

static void
destroy_account_queue (gpointer data)
{
  struct account_queue *account_queue = data;
  g_queue_clear_full (&account_queue->durable, destroy_entry);
  g_queue_clear_full (&account_queue->claims, destroy_entry);
  g_free (account_queue);
}

/* Creates an empty queue that holds at most CLAIMS_PER_ACCOUNT claims of one
   account.  */
struct bat_queue *
bat_queue_create (uint32_t claims_per_account)
{
  struct bat_queue *queue = g_new0 (struct bat_queue, 1);
  queue->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           destroy_account_queue);
  g_queue_init (&queue->ready_accounts);
  queue->claims_per_account = claims_per_account;
  return queue;
}

/* Frees QUEUE and its entries; NULL is allowed.  */
void
bat_queue_destroy (struct bat_queue *queue)
{
  if (queue == NULL)
    {
      return;
    }
  g_queue_clear (&queue->ready_accounts);
  g_hash_table_destroy (queue->accounts);
  g_free (queue);
}

/* Returns the queue of ACCOUNT, which is created if there is none.  */
static struct account_queue *
find_account_queue (struct bat_queue *queue, const char *account)
{
  struct account_queue *account_queue
      = g_hash_table_lookup (queue->accounts, account);
  if (account_queue == NULL)
    {
      account_queue = g_new0 (struct account_queue, 1);
      g_queue_init (&account_queue->durable);
      g_queue_init (&account_queue->claims);
      account_queue->weight = 1;
      g_hash_table_insert (queue->accounts, g_strdup (account), account_queue);
    }
  return account_queue;
}

/* Sets the number of entries that ACCOUNT may place into a batch in one turn
   to WEIGHT; 0 counts as 1.  The default is 1.  */
void
bat_set_weight (struct bat_queue *queue, const char *account, uint32_t weight)
{
  find_account_queue (queue, account)->weight = MAX (weight, 1);
}

/* Counts an entry that was added to ACCOUNT_QUEUE and gives the account a turn
   if it has none.  */
static void
note_added (struct bat_queue *queue, struct account_queue *account_queue)
{
  queue->length++;
  if (!account_queue->is_ready)
    {
      account_queue->is_ready = true;
      g_queue_push_tail (&queue->ready_accounts, account_queue);
    }
}

/* Queues the claim ENTRY and takes it over.  Returns false, and leaves ENTRY
   to the caller, when the account has too many claims waiting.  */
bool
bat_add_claim (struct bat_queue *queue, struct rec_entry *entry)
{
  struct account_queue *account_queue
      = find_account_queue (queue, entry->account);
  if (account_queue->claims.length >= queue->claims_per_account)
    {
      return false;
    }
  g_queue_push_tail (&account_queue->claims, entry);
  note_added (queue, account_queue);
  return true;
}

/* Queues ENTRY, which has to reach the log, and takes it over.  No limit is
   needed: there are no more such entries than there were claims.  */
void
bat_add_durable (struct bat_queue *queue, struct rec_entry *entry)
{
  struct account_queue *account_queue
      = find_account_queue (queue, entry->account);
  g_queue_push_tail (&account_queue->durable, entry);
  note_added (queue, account_queue);
}

/* Removes and frees the claim NONCE of ACCOUNT.  Returns false when there is
   no such claim in the queue.  */
bool
bat_remove_claim (struct bat_queue *queue, const char *account, uint64_t nonce)
{
  struct account_queue *account_queue = find_account_queue (queue, account);
  for (GList *link = account_queue->claims.head; link != NULL;
       link = link->next)
    {
      struct rec_entry *entry = link->data;
      if (entry->nonce == nonce)
        {
          g_queue_delete_link (&account_queue->claims, link);
          rec_entry_destroy (entry);
          queue->length--;
          return true;
        }
    }
  return false;
}

static uint32_t
entry_bytes (const struct rec_entry *entry)
{
  gsize body = entry->body == NULL ? 0 : g_bytes_get_size (entry->body);
  return (uint32_t)(ENTRY_OVERHEAD_BYTES + strlen (entry->account)
                    + strlen (entry->key) + body);
}

static GQueue *
next_queue (struct account_queue *account_queue)
{
  return account_queue->durable.length > 0 ? &account_queue->durable
                                           : &account_queue->claims;
}

/* Moves up to ACCOUNT_QUEUE's weight of entries to BATCH.  Returns false when
   BATCH is full.  */
static bool
take_entries (struct bat_queue *queue, struct account_queue *account_queue,
              GPtrArray *batch, uint32_t max_entries, uint32_t *bytes_left)
{
  for (uint32_t i = 0; i < account_queue->weight; i++)
    {
      GQueue *source = next_queue (account_queue);
      struct rec_entry *entry = g_queue_peek_head (source);
      if (entry == NULL)
        {
          return true;
        }
      uint32_t bytes = entry_bytes (entry);
      if (batch->len >= max_entries || (batch->len > 0 && bytes > *bytes_left))
        {
          return false;
        }
      g_ptr_array_add (batch, g_queue_pop_head (source));
      queue->length--;
      *bytes_left -= MIN (bytes, *bytes_left);
    }
  return true;
}

/* Takes entries for one append, by weighted round robin over the accounts: at
   most MAX_ENTRIES, with an estimated size of at most MAX_BYTES unless the
   first entry alone is larger.  Returns an array that owns its entries (struct
   rec_entry); it is empty when no entry waits.  */
GPtrArray *
bat_take (struct bat_queue *queue, uint32_t max_entries, uint32_t max_bytes)
{
  GPtrArray *batch = g_ptr_array_new_with_free_func (destroy_entry);
  uint32_t bytes_left = max_bytes;
  bool has_space = true;
  while (has_space && queue->ready_accounts.length > 0)
    {
      struct account_queue *account_queue
          = g_queue_pop_head (&queue->ready_accounts);
      has_space = take_entries (queue, account_queue, batch, max_entries,
                                &bytes_left);
      account_queue->is_ready = next_queue (account_queue)->length > 0;
      if (account_queue->is_ready && has_space)
        {
          g_queue_push_tail (&queue->ready_accounts, account_queue);
        }
      else if (account_queue->is_ready)
        {
          g_queue_push_head (&queue->ready_accounts, account_queue);
        }
    }
  return batch;
}

/* Returns the number of waiting entries of all accounts.  */
uint32_t
bat_length (const struct bat_queue *queue)
{
  return queue->length;
}
