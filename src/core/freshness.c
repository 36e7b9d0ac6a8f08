#include "core/freshness.h"

/* Covers the difference between clock readings of different threads and the
   network delay until the request reaches its endpoint. */
#define MARGIN_US 150000

/* Returns true when requests with an API key may be served at NOW_US.
   PROVED_US is when the configuration was last proved to be the newest.
   Both times come from a clock that also advances while the process is
   suspended.  */
bool
frs_may_serve_keys (const struct frs_params *params, int64_t proved_us,
                    int64_t now_us)
{
  return now_us - proved_us < params->revoke_us - MARGIN_US;
}

/* Returns true when the configuration, last proved to be the newest at
   PROVED_US, is recent enough at NOW_US to reject a request for an unknown
   route or API key.  An older configuration may lack routes and keys that
   callers already use.  */
bool
frs_may_deny (const struct frs_params *params, int64_t proved_us,
              int64_t now_us)
{
  return now_us - proved_us < params->revoke_us + params->change_us;
}
