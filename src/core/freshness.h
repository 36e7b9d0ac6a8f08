/* Decides what a daemon may do with a configuration of a given age.  While a
   daemon is partitioned from the platform, it can't learn that an API key was
   revoked.  It therefore stops serving requests with API keys before the
   revocation bound expires, and resumes once its configuration is confirmed
   to be the newest again. */
#ifndef CORE_FRESHNESS_H
#define CORE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

struct frs_params
{
  int64_t revoke_us; /* a revoked API key is rejected after this time */
  int64_t change_us; /* a configuration is applied everywhere after this */
};

bool frs_may_serve_keys (const struct frs_params *params, int64_t proved_us,
                         int64_t now_us);
bool frs_may_deny (const struct frs_params *params, int64_t proved_us,
                   int64_t now_us);

#endif
