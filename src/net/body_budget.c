#include "net/body_budget.h"

#define BYTES_PER_MB 1000000

/* The process itself and the control thread, which may take 32 MB, leave
   56 MB to connections on the smallest hosts, which have 112 MB.  Of more
   memory they get five eighths; the rest is for the kernel's buffers, which
   count toward the memory of a host, and for the allocator. */
#define HOST_NUMERATOR 5
#define HOST_DENOMINATOR 8
#define PROCESS_BYTES ((uint64_t)14 * BYTES_PER_MB)

/* The least budget, whose part for bodies holds one of 4 MiB. */
#define BYTES_MIN ((uint64_t)16 * BYTES_PER_MB)

/* Of the budget, an eighth is for small requests alone, and another eighth
   isn't for bodies, so that the answers to accepted requests have room. */
#define SMALL_SHARE 8
#define BODIES_NUMERATOR 3
#define BODIES_DENOMINATOR 4

struct bbg_budget
{
  struct bbg_state state;
  GPtrArray *accounts; /* open ones, struct bbg_account */
};

/* Returns the memory that GLib allocates for an array of COUNT bytes: the next
   power of two.  */
uint64_t
bbg_allocated (uint64_t count)
{
  uint64_t bytes = count > 0;
  while (bytes < count)
    {
      bytes *= 2;
    }
  return bytes;
}

/* Returns the size of the budget of a process on a host of MEMORY_MB.  */
uint64_t
bbg_size_for_host (uint64_t memory_mb)
{
  uint64_t share
      = memory_mb * BYTES_PER_MB / HOST_DENOMINATOR * HOST_NUMERATOR;
  return MAX (share, BYTES_MIN + PROCESS_BYTES) - PROCESS_BYTES;
}

/* Creates a budget of BYTES_MAX.  It must outlive its accounts.  */
struct bbg_budget *
bbg_create (uint64_t bytes_max)
{
  struct bbg_budget *budget = g_new0 (struct bbg_budget, 1);
  budget->state.bytes_max = bytes_max;
  budget->accounts = g_ptr_array_new ();
  return budget;
}

/* Frees BUDGET; NULL is allowed.  */
void
bbg_destroy (struct bbg_budget *budget)
{
  if (budget != NULL)
    {
      g_ptr_array_free (budget->accounts, TRUE);
      g_free (budget);
    }
}

/* Sets STATE to the present state of BUDGET.  */
void
bbg_read (const struct bbg_budget *budget, struct bbg_state *state)
{
  *state = budget->state;
}

/* Opens ACCOUNT, of OWNER, on BUDGET, which may be NULL: then nothing is
   accounted and nothing refused.  */
void
bbg_open (struct bbg_account *account, struct bbg_budget *budget, void *owner)
{
  *account = (struct bbg_account){ .budget = budget, .owner = owner };
  if (budget != NULL)
    {
      g_ptr_array_add (budget->accounts, account);
    }
}

/* Returns the bytes that BYTES of PART are as a large body.  */
static uint64_t
large_bytes (enum bbg_part part, uint64_t bytes)
{
  return part == BBG_BODY && bytes > BBG_SMALL_BYTES ? bytes : 0;
}

/* Sets PART of ACCOUNT to BYTES whether or not they fit, as for answers to
   accepted requests.  */
void
bbg_force (struct bbg_account *account, enum bbg_part part, uint64_t bytes)
{
  if (account->budget == NULL)
    {
      return;
    }
  struct bbg_state *state = &account->budget->state;
  uint64_t before = account->bytes[part];
  state->used = state->used - before + bytes;
  state->bodies
      = state->bodies - large_bytes (part, before) + large_bytes (part, bytes);
  account->bytes[part] = bytes;
}

/* Returns true if PART of ACCOUNT may grow to BYTES.  */
static bool
fits (const struct bbg_account *account, enum bbg_part part, uint64_t bytes)
{
  const struct bbg_state *state = &account->budget->state;
  uint64_t before = account->bytes[part];
  uint64_t large = large_bytes (part, bytes);
  uint64_t used = state->used - before + bytes;
  uint64_t bodies = state->bodies - large_bytes (part, before) + large;
  bool is_small = large == 0 && part != BBG_ANSWERS;
  uint64_t limit = is_small
                       ? state->bytes_max
                       : state->bytes_max - state->bytes_max / SMALL_SHARE;
  return used <= limit
         && (large == 0
             || bodies <= state->bytes_max / BODIES_DENOMINATOR
                              * BODIES_NUMERATOR);
}

/* Sets PART of ACCOUNT to BYTES.  Returns false and changes nothing if it
   would grow to more than the budget allows.  */
bool
bbg_resize (struct bbg_account *account, enum bbg_part part, uint64_t bytes)
{
  if (account->budget != NULL && bytes > account->bytes[part]
      && !fits (account, part, bytes))
    {
      return false;
    }
  bbg_force (account, part, bytes);
  return true;
}

/* Releases all that ACCOUNT keeps and closes it.  */
void
bbg_close (struct bbg_account *account)
{
  if (account->budget == NULL)
    {
      return;
    }
  for (int part = 0; part < BBG_PART_COUNT; part++)
    {
      bbg_force (account, (enum bbg_part)part, 0);
    }
  g_ptr_array_remove_fast (account->budget->accounts, account);
  account->budget = NULL;
}

/* Notes that the head or the body of a request of ACCOUNT begins to arrive at
   NOW_US.  */
void
bbg_begin (struct bbg_account *account, int64_t now_us)
{
  account->receiving = true;
  account->mark_us = now_us;
  account->since_mark = 0;
}

/* Counts COUNT bytes of a body that have arrived for ACCOUNT.  */
void
bbg_add_progress (struct bbg_account *account, uint64_t count)
{
  account->since_mark += count;
}

/* Notes at NOW_US whether the body of ACCOUNT has made progress.  */
void
bbg_mark_progress (struct bbg_account *account, int64_t now_us)
{
  if (account->since_mark >= BBG_PROGRESS_BYTES)
    {
      account->since_mark = 0;
      account->mark_us = now_us;
    }
}

/* Notes that the request of ACCOUNT is complete, or refused.  */
void
bbg_end (struct bbg_account *account)
{
  account->receiving = false;
}

/* Returns the account to close so that PART of ACCOUNT can grow to BYTES: the
   one without progress for the longest time of those stalled at NOW_US.  For a
   large body it is one with a large body.  Returns NULL if none is stalled. */
struct bbg_account *
bbg_find_stalled (const struct bbg_account *account, enum bbg_part part,
                  uint64_t bytes, int64_t now_us)
{
  struct bbg_account *slowest = NULL;
  bool needs_large = large_bytes (part, bytes) > 0;
  for (guint i = 0; i < account->budget->accounts->len; i++)
    {
      struct bbg_account *other
          = g_ptr_array_index (account->budget->accounts, i);
      bool helps
          = !needs_large || large_bytes (BBG_BODY, other->bytes[BBG_BODY]) > 0;
      if (other != account && other->receiving && helps
          && now_us - other->mark_us >= BBG_STALL_US
          && (slowest == NULL || other->mark_us < slowest->mark_us))
        {
          slowest = other;
        }
    }
  return slowest;
}

/* Returns true if the budget of ACCOUNT is exceeded, which only bbg_force can
   do.  */
bool
bbg_is_exceeded (const struct bbg_account *account)
{
  return account->budget != NULL
         && account->budget->state.used > account->budget->state.bytes_max;
}

/* Counts that something of ACCOUNT was refused.  */
void
bbg_count_refused (struct bbg_account *account)
{
  account->budget->state.refused++;
}

/* Counts that ACCOUNT's request was ended for others.  */
void
bbg_count_evicted (struct bbg_account *account)
{
  account->budget->state.evicted++;
}
