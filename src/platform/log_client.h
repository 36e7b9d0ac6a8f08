/* Client of the platform's append-only log, which consists of named streams of
   records.  The log's HTTP interface: docs/interfaces/log.md. */
#ifndef PLATFORM_LOG_CLIENT_H
#define PLATFORM_LOG_CLIENT_H

#include "endpoint/connection.h"

struct plog_client;

struct plog_record
{
  uint64_t offset;
  int64_t time_us; /* of the append, since 1970, by the log's clock */
  const uint8_t *bytes;
  size_t byte_count;
};

/* The result of one read. */
struct plog_page
{
  uint64_t first; /* oldest offset retained; older records have expired */
  uint64_t next;  /* offset of the next record to be appended */
  struct plog_record *records;
  size_t record_count;
  bool unavailable; /* the log responded that it is unavailable (503) */
};

struct plog_client *plog_create (char *const *urls);
void plog_destroy (struct plog_client *client);
enum err_kind plog_append (struct plog_client *client, const char *stream,
                           const uint8_t *bytes, size_t byte_count,
                           uint64_t *offset, bool *unavailable);
enum err_kind plog_read (struct plog_client *client, const char *stream,
                         uint64_t from, uint32_t records_max, uint32_t wait_ms,
                         struct plog_page *page);
void plog_page_clear (struct plog_page *page);

#endif
