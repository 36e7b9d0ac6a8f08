#include "base/error.h"

/* The kinds' names and HTTP statuses are part of the API.  Entries leave out
   `ran' when it is ERR_RAN_NO and `retry_after_s' when it is 0. */
static const struct err_info infos[ERR_KIND_COUNT] = {
  [ERR_NONE] = { .name = "none",
                 .http_status = 200,
                 .ran = ERR_RAN_YES,
                 .summary = "no error" },
  [ERR_BAD_REQUEST] = { .name = "bad_request",
                        .http_status = 400,
                        .summary = "the request is malformed" },
  [ERR_UNAUTHORIZED] = { .name = "unauthorized",
                         .http_status = 401,
                         .summary = "the bearer token is missing or unknown" },
  [ERR_NOT_FOUND] = { .name = "not_found",
                      .http_status = 404,
                      .summary = "no such model, service, path or key" },
  [ERR_TOO_LARGE] = { .name = "too_large",
                      .http_status = 413,
                      .summary = "the request exceeds a size limit" },
  [ERR_RATE_LIMITED] = { .name = "rate_limited",
                         .http_status = 429,
                         .retry_after_s = 1,
                         .summary = "the account is over its limit" },
  [ERR_OVERLOADED] = { .name = "overloaded",
                       .http_status = 503,
                       .retry_after_s = 2,
                       .summary = "the queue is full" },
  [ERR_DEADLINE_UNMEETABLE]
  = { .name = "deadline_unmeetable",
      .http_status = 503,
      .retry_after_s = 2,
      .summary = "the deadline cannot be met at the present load" },
  [ERR_DEADLINE_EXCEEDED] = { .name = "deadline_exceeded",
                              .http_status = 504,
                              .retry_after_s = 1,
                              .ran = ERR_RAN_UNKNOWN,
                              .summary = "the deadline passed" },
  [ERR_NO_CAPACITY] = { .name = "no_capacity",
                        .http_status = 503,
                        .retry_after_s = 2,
                        .summary = "no endpoint can take the request" },
  [ERR_ENDPOINT_FAILED] = { .name = "endpoint_failed",
                            .http_status = 502,
                            .retry_after_s = 1,
                            .ran = ERR_RAN_UNKNOWN,
                            .summary = "the endpoint failed" },
  [ERR_ENDPOINT_SILENT] = { .name = "endpoint_silent",
                            .http_status = 504,
                            .retry_after_s = 1,
                            .ran = ERR_RAN_UNKNOWN,
                            .summary = "the endpoint did not answer" },
  [ERR_ENDPOINT_REFUSED] = { .name = "endpoint_refused",
                             .http_status = 503,
                             .retry_after_s = 1,
                             .summary = "the endpoint refused the work" },
  [ERR_OUT_OF_ORDER] = { .name = "out_of_order",
                         .http_status = 409,
                         .summary = "the step is out of order" },
  [ERR_STALE_FENCE] = { .name = "stale_fence",
                        .http_status = 409,
                        .summary = "the fencing number is old" },
  [ERR_LOG_UNAVAILABLE] = { .name = "log_unavailable",
                            .http_status = 503,
                            .retry_after_s = 5,
                            .summary = "the log cannot be reached" },
  [ERR_APPEND_UNKNOWN] = { .name = "append_unknown",
                           .http_status = 503,
                           .retry_after_s = 5,
                           .ran = ERR_RAN_UNKNOWN,
                           .summary = "the answer to an append was lost" },
  [ERR_KEY_CONFLICT]
  = { .name = "key_conflict",
      .http_status = 422,
      .summary = "the idempotency key was used with another request" },
  [ERR_KEY_UNKNOWN]
  = { .name = "key_unknown",
      .http_status = 409,
      .ran = ERR_RAN_UNKNOWN,
      .summary = "whether the call ran is unknown; an operator settles it" },
  [ERR_KEY_IN_PROGRESS] = { .name = "key_in_progress",
                            .http_status = 409,
                            .retry_after_s = 1,
                            .ran = ERR_RAN_UNKNOWN,
                            .summary = "the call is under way" },
  [ERR_KEY_EXPIRED] = { .name = "key_expired",
                        .http_status = 410,
                        .ran = ERR_RAN_UNKNOWN,
                        .summary = "the key is older than the key lifetime" },
  [ERR_CONFIG_INVALID] = { .name = "config_invalid",
                           .http_status = 422,
                           .summary = "the configuration is not valid" },
  [ERR_CONFIG_STALE_BASE]
  = { .name = "config_stale_base",
      .http_status = 409,
      .summary = "the configuration is not based on the current version" },
  [ERR_CALLER_GONE] = { .name = "caller_gone",
                        .http_status = 499,
                        .ran = ERR_RAN_UNKNOWN,
                        .summary = "the caller closed the connection" },
  [ERR_NOT_READY] = { .name = "not_ready",
                      .http_status = 503,
                      .retry_after_s = 2,
                      .summary = "the daemon has no configuration yet" },
  [ERR_SHUTTING_DOWN] = { .name = "shutting_down",
                          .http_status = 503,
                          .retry_after_s = 1,
                          .summary = "the daemon is shutting down" },
  [ERR_PROTOCOL] = { .name = "protocol",
                     .http_status = 502,
                     .ran = ERR_RAN_UNKNOWN,
                     .summary = "a peer broke the protocol" },
  [ERR_SETTINGS] = { .name = "settings",
                     .http_status = 500,
                     .summary = "the settings are not valid" },
  [ERR_USAGE] = { .name = "usage",
                  .http_status = 400,
                  .summary = "the command line is not valid" },
  [ERR_INTERNAL] = { .name = "internal",
                     .http_status = 500,
                     .ran = ERR_RAN_UNKNOWN,
                     .summary = "an internal invariant failed" },
};

/* Returns the GError domain of every error of this project.  */
GQuark
err_domain (void)
{
  return g_quark_from_static_string ("kumquatthread");
}

/* Returns the name, HTTP status and defaults of KIND, or those of ERR_INTERNAL
   if KIND is out of range.  The result is static.  */
const struct err_info *
err_info (enum err_kind kind)
{
  if (kind >= ERR_KIND_COUNT)
    {
      return &infos[ERR_INTERNAL];
    }
  return &infos[kind];
}

/* Returns the value of the `ran' field of an error body: "no", "yes" or
   "unknown".  */
const char *
err_ran_name (enum err_ran ran)
{
  switch (ran)
    {
    case ERR_RAN_NO:
      return "no";
    case ERR_RAN_YES:
      return "yes";
    case ERR_RAN_UNKNOWN:
      break;
    }
  return "unknown";
}

/* Returns the kind that ERROR carries: ERR_NONE for NULL, ERR_INTERNAL for an
   error of another domain.  */
enum err_kind
err_kind_of (const GError *error)
{
  if (error == NULL)
    {
      return ERR_NONE;
    }
  if (error->domain != ERR_DOMAIN || error->code <= 0
      || error->code >= ERR_KIND_COUNT)
    {
      return ERR_INTERNAL;
    }
  return (enum err_kind)error->code;
}

/* Sets FAILURE to KIND with the kind's defaults for `ran' and retry_after_s.
   MESSAGE is truncated to ERR_MESSAGE_BYTES - 1 bytes; NULL stands for the
   kind's summary.  */
void
err_set_failure (struct err_failure *failure, enum err_kind kind,
                 const char *message)
{
  const struct err_info *answer = err_info (kind);
  failure->kind = kind;
  failure->ran = answer->ran;
  failure->retry_after_s = answer->retry_after_s;
  g_strlcpy (failure->message, message != NULL ? message : answer->summary,
             sizeof failure->message);
}
