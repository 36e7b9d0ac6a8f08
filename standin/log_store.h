/* The append-only log of the simulated platform: named streams of records with
   offsets, a limit on the append rate, expiry and injected outages.
   Thread-safe. */
#ifndef STANDIN_LOG_STORE_H
#define STANDIN_LOG_STORE_H

#include "base/error.h"

#include <stdbool.h>

struct ls_store;

struct ls_store *ls_create (uint32_t appends_per_s, int64_t retention_us);
void ls_destroy (struct ls_store *store);
void ls_stop (struct ls_store *store);
void ls_set_down_until (struct ls_store *store, int64_t until_us);
enum err_kind ls_append (struct ls_store *store, const char *stream,
                         const char *record, int64_t *offset);
enum err_kind ls_read (struct ls_store *store, const char *stream,
                       int64_t from, int64_t max, int64_t wait_us,
                       GString *out);

#endif
