/* The id of a caller's attempt, as its request states it.  Callers choose ids
   and may make them as long as the limit on heads allows.  An id goes to the
   endpoint and back to the caller as it is; lines of the log have a form of
   bounded length. */
#ifndef ENTRY_REQUEST_ID_H
#define ENTRY_REQUEST_ID_H

#include "net/message.h"

/* Size of the form for the log, with the final null character. */
#define RQI_LOG_BYTES 64

const char *rqi_find (const struct msg_message *request);
void rqi_format_for_log (const char *id, char text[RQI_LOG_BYTES]);

#endif
