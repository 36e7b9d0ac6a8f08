/* One budget of memory for what the connections of an event loop keep: heads,
   bodies, pipelined bytes, buffered answers and bytes that callers haven't
   read.  Callers may send many bodies at once and stop at any point; without a
   common bound they exhaust the memory of the process.  Pure accounting,
   without I/O and without a clock. */
#ifndef NET_BODY_BUDGET_H
#define NET_BODY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A body up to this size is small: small requests may use a part of the budget
   that large bodies can't. */
#define BBG_SMALL_BYTES 16384

/* A caller that hasn't sent BBG_PROGRESS_BYTES of a body, or the rest of a
   head, for this long is stalled: its connection may be closed when memory is
   short. */
#define BBG_STALL_US INT64_C (1000000)
#define BBG_PROGRESS_BYTES 16384

/* What an account keeps. */
enum bbg_part
{
  BBG_CONNECTION, /* its state, and descriptors' memory in the process */
  BBG_HEAD,
  BBG_BODY,
  BBG_PIPELINED,
  BBG_ANSWERS, /* buffered until they are complete */
  BBG_UNSENT,  /* to slow callers */
  BBG_PART_COUNT
};

struct bbg_budget;

/* The share of one connection, or of all buffered answers.  Only bbg_
   functions change the members. */
struct bbg_account
{
  struct bbg_budget *budget; /* NULL: not accounted */
  void *owner;
  uint64_t bytes[BBG_PART_COUNT];
  bool receiving;      /* a request that isn't complete */
  int64_t mark_us;     /* monotonic time of the last progress */
  uint64_t since_mark; /* bytes of the body that have arrived since */
};

/* What bbg_read returns. */
struct bbg_state
{
  uint64_t bytes_max;
  uint64_t used;    /* bytes, of all accounts */
  uint64_t bodies;  /* bytes of large bodies */
  uint64_t refused; /* requests and connections, for want of memory */
  uint64_t evicted; /* stalled ones that were closed for others */
};

uint64_t bbg_allocated (uint64_t count);
uint64_t bbg_size_for_host (uint64_t memory_mb);
struct bbg_budget *bbg_create (uint64_t bytes_max);
void bbg_destroy (struct bbg_budget *budget);
void bbg_read (const struct bbg_budget *budget, struct bbg_state *state);
void bbg_open (struct bbg_account *account, struct bbg_budget *budget,
               void *owner);
void bbg_close (struct bbg_account *account);
bool bbg_resize (struct bbg_account *account, enum bbg_part part,
                 uint64_t bytes);
void bbg_force (struct bbg_account *account, enum bbg_part part,
                uint64_t bytes);
void bbg_begin (struct bbg_account *account, int64_t now_us);
void bbg_add_progress (struct bbg_account *account, uint64_t count);
void bbg_mark_progress (struct bbg_account *account, int64_t now_us);
void bbg_end (struct bbg_account *account);
struct bbg_account *bbg_find_stalled (const struct bbg_account *account,
                                      enum bbg_part part, uint64_t bytes,
                                      int64_t now_us);
bool bbg_is_exceeded (const struct bbg_account *account);
void bbg_count_refused (struct bbg_account *account);
void bbg_count_evicted (struct bbg_account *account);

#endif
