/* Proof that the configuration in force is the newest.  Answers the load of
   keys that are taken away while a daemon is cut off from the platform: it
   stops serving keys in time, and begins again with the next proof. */
#ifndef CORE_FRESHNESS_H
#define CORE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

struct frs_params
{
  int64_t revoke_us; /* a key may be served so long after it was taken away */
  int64_t change_us; /* a configuration is in force everywhere after this */
};

bool frs_serves_keys (const struct frs_params *params, int64_t proved_us,
                      int64_t now_us);
bool frs_may_deny (const struct frs_params *params, int64_t proved_us,
                   int64_t now_us);

#endif
