/* All error kinds, and for each the HTTP status, the retry advice and the
   default message that callers receive. */
#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <glib.h>
#include <stdint.h>

/* What went wrong; the table in error.c describes each kind. */
enum err_kind
{
  ERR_NONE = 0,
  ERR_BAD_REQUEST,
  ERR_UNAUTHORIZED,
  ERR_NOT_FOUND,
  ERR_TOO_LARGE,
  ERR_RATE_LIMITED,
  ERR_OVERLOADED,
  ERR_DEADLINE_UNMEETABLE,
  ERR_DEADLINE_EXCEEDED,
  ERR_NO_CAPACITY,
  ERR_ENDPOINT_FAILED,
  ERR_ENDPOINT_SILENT,
  ERR_ENDPOINT_REFUSED,
  ERR_OUT_OF_ORDER,
  ERR_STALE_FENCE,
  ERR_LOG_UNAVAILABLE,
  ERR_APPEND_UNKNOWN,
  ERR_KEY_CONFLICT,
  ERR_KEY_UNKNOWN,
  ERR_KEY_IN_PROGRESS,
  ERR_KEY_EXPIRED,
  ERR_CONFIG_INVALID,
  ERR_CONFIG_STALE_BASE,
  ERR_CALLER_GONE,
  ERR_NOT_READY,
  ERR_SHUTTING_DOWN,
  ERR_PROTOCOL,
  ERR_SETTINGS,
  ERR_USAGE,
  ERR_INTERNAL,
  ERR_KIND_COUNT
};

/* Whether the requested work was executed. */
enum err_ran
{
  ERR_RAN_NO,
  ERR_RAN_YES,
  ERR_RAN_UNKNOWN
};

/* What a caller receives for one error kind. */
struct err_info
{
  const char *name; /* the `kind` field of an error body */
  uint16_t http_status;
  enum err_ran ran;       /* default; the code that fails may know more */
  uint32_t retry_after_s; /* 0: a retry does not help */
  const char *summary;    /* the default message */
};

#define ERR_MESSAGE_BYTES 160 /* with the terminating NUL */

/* The error response to one request; KIND is never ERR_NONE. */
struct err_failure
{
  enum err_kind kind;
  enum err_ran ran;
  uint32_t retry_after_s; /* 0: no Retry-After */
  char message[ERR_MESSAGE_BYTES];
};

/* The GError domain of this project; the codes are enum err_kind. */
#define ERR_DOMAIN (err_domain ())

GQuark err_domain (void);
const struct err_info *err_info (enum err_kind kind);
const char *err_ran_name (enum err_ran ran);
enum err_kind err_kind_of (const GError *error);
void err_set_failure (struct err_failure *failure, enum err_kind kind,
                      const char *message);

#endif
