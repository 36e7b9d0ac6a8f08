/* Reads the bodies of callers' requests and keeps to one budget of memory for
   all of them (net/body_budget.h).  Each thread of the server reads one body
   at a time, so without the budget the number of threads alone would bound
   their memory.  Thread-safe. */
#ifndef CALLER_BODY_STORE_H
#define CALLER_BODY_STORE_H

#include "base/counter.h"
#include "base/http.h"
#include "net/body_budget.h"

struct bst_store;

/* A body that is kept in memory until bst_release. */
struct bst_body
{
  GString *text; /* NULL: it wasn't read */
  struct bbg_account account;
  bool evicted; /* it stalls while memory is short */
};

struct bst_params
{
  uint32_t memory_mb;  /* of the host */
  uint32_t bytes_max;  /* of a body */
  uint32_t timeout_ms; /* within which BBG_PROGRESS_BYTES must arrive */
  struct cnt_set *counters;
};

struct bst_store *bst_create (const struct bst_params *params);
void bst_destroy (struct bst_store *store);
bool bst_read (struct bst_store *store, struct mg_connection *connection,
               struct bst_body *body, struct err_failure *failure);
void bst_release (struct bst_store *store, struct bst_body *body);
void bst_begin_parse (struct bst_store *store, const struct bst_body *body);
void bst_end_parse (struct bst_store *store, const struct bst_body *body);

#endif
