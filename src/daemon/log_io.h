/* Threads that read streams of the platform's log and append to them, on
   behalf of the control thread. */
#ifndef DAEMON_LOG_IO_H
#define DAEMON_LOG_IO_H

#include "core/action.h"
#include "platform/log_client.h"

/* Called on a reader thread after each read.  RESULT is ERR_NONE when PAGE was
   read; PAGE is valid during the call.  The read was sent at the monotonic
   time REQUESTED_US, and PAGE shows the log as of then, however long the
   thread was paused since. */
typedef void (*lio_on_page) (const char *stream, enum err_kind result,
                             const struct plog_page *page,
                             int64_t requested_us, void *user_data);
/* Called on an appender thread after each append.  OWNER and TOKEN are those
   of the append.  OFFSET is that of the record when RESULT is ERR_NONE.
   LOG_UNAVAILABLE: the log itself has answered that it is unavailable. */
typedef void (*lio_on_append) (enum act_owner owner, uint64_t token,
                               enum err_kind result, uint64_t offset,
                               bool log_unavailable, void *user_data);

struct lio_params
{
  char *const *urls;          /* of the log; NULL-terminated */
  const char *const *streams; /* NULL-terminated */
  lio_on_page on_page;
  lio_on_append on_append;
  void *user_data;
};

struct lio_io;

struct lio_io *lio_create (const struct lio_params *params);
void lio_destroy (struct lio_io *io);
void lio_log_change (const char *stream, enum err_kind error,
                     enum err_kind *last);
void lio_append (struct lio_io *io, const struct act_append *append);

#endif
