#include "core/freshness.h"

/* For the difference of clock readings between threads and the way to the
   endpoint. */
#define MARGIN_US 150000

/* True when a request with a key may be served at NOW_US, the configuration
   having been proved the newest at PROVED_US, on a clock that also counts
   while the process is suspended.  */
bool
frs_serves_keys (const struct frs_params *params, int64_t proved_us,
                 int64_t now_us)
{
  return now_us - proved_us < params->revoke_us - MARGIN_US;
}

/* True when the configuration is new enough to deny a request by it: an older
   one may lack a route or key that callers use already.  */
bool
frs_may_deny (const struct frs_params *params, int64_t proved_us,
              int64_t now_us)
{
  return now_us - proved_us < params->revoke_us + params->change_us;
}
