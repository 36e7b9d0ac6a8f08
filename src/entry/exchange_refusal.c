#include "entry/exchange_private.h"

#include "platform/headers.h"

/* Bounds of the Retry-After delay given to callers whose requests weren't
   run. */
#define RETRY_AFTER_MIN_S 0.2
#define RETRY_AFTER_MAX_S 0.6

/* Answers the current request of CALLER with STATUS and an empty body.  The
   answer bears the request's ID unless it is NULL, and a Retry-After header
   unless RETRY_AFTER_S is 0.  */
void
exg_answer_without_body (struct trf_traffic *traffic,
                         struct nsv_connection *caller, uint32_t status,
                         const char *id, double retry_after_s)
{
  GString *headers = g_string_sized_new (128);
  if (id != NULL)
    {
      g_string_append_printf (headers, PFH_REQUEST_ID ": %s\r\n", id);
    }
  if (retry_after_s > 0)
    {
      g_string_append_printf (headers, "Retry-After: %.2f\r\n", retry_after_s);
    }
  emt_count_answer (traffic->metrics, status);
  nsv_respond (caller, status, headers->str, "", 0);
  g_string_free (headers, TRUE);
}

/* Returns the delay in seconds after which a caller may retry a request that
   wasn't run.  It is random, so that callers don't all retry at the same
   time.  */
double
exg_retry_after_s (void)
{
  return g_random_double_range (RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
}
