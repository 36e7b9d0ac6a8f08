/* The state of each idempotency key, built by applying the entries of one
   claims stream in log order.  The table depends on nothing but the entries
   and their log times, so that all readers of the stream agree on every key.
   All times are log times, in microseconds since 1970. */
#ifndef CORE_KEYTABLE_H
#define CORE_KEYTABLE_H

#include "core/record.h"

struct key_table;

struct key_state
{
  char *joined;        /* key_join () of account and key */
  const char *account; /* shared by the keys of the account */
  const char *key;     /* points into joined */
  uint64_t body_hash;
  uint32_t generation;
  uint64_t incarnation; /* of the holder */
  uint64_t nonce;       /* of the claim */
  enum rec_state state;
  uint32_t status;      /* HTTP status of the recorded answer */
  GBytes *body;         /* may be NULL */
  bool body_omitted;    /* the recorded answer was too large to keep */
  int64_t claimed_us;   /* log time of the claim */
  int64_t refreshed_us; /* log time of the newest record with this state */
};

/* The effect of an entry on its key. */
enum key_result
{
  KEY_IGNORED, /* none */
  KEY_WON,     /* the entry is the first claim for its key and generation */
  KEY_LOST,    /* the entry is a later claim, or was released before */
  KEY_CHANGED  /* another entry changed the state of the key */
};

struct key_table *key_table_create (int64_t key_retention_us);
void key_table_destroy (struct key_table *table);
enum key_result key_table_apply (struct key_table *table,
                                 const struct rec_entry *entry,
                                 int64_t time_us);
const struct key_state *key_table_find (const struct key_table *table,
                                        const char *account, const char *key,
                                        int64_t time_us);
void key_table_sweep (struct key_table *table, int64_t time_us);
void key_table_foreach (const struct key_table *table,
                        void (*visit) (const struct key_state *state,
                                       void *user_data),
                        void *user_data);
uint32_t key_table_size (const struct key_table *table);
uint32_t key_table_conflicts (const struct key_table *table);
bool key_state_open (const struct key_state *state);
char *key_join (const char *account, const char *key);
int64_t key_uuid_time_us (const char *key);

#endif
