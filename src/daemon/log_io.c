#include "daemon/log_io.h"

#include "base/clock.h"
#include "base/log.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define APPEND_THREADS 3
#define PAGE_RECORDS_MAX 512

/* How long the log holds a read open when there are no new records. */
#define READ_WAIT_MS 500

/* Between a failed read and the next one. */
#define RETRY_WAIT_US (200 * CLK_MS_US)

/* A thread that reads one stream. */
struct reader
{
  struct lio_io *io;
  char *stream;
  pthread_t thread;
};

struct lio_io
{
  struct lio_params params;
  struct plog_client *client;
  GAsyncQueue *appends; /* struct append_job */
  pthread_t append_threads[APPEND_THREADS];
  struct reader *readers;
  size_t reader_count;
  _Atomic bool stopping;
};

struct append_job
{
  bool stop_thread; /* ends the appender thread; there is no append */
  struct act_append append;
};

static void *
run_appender (void *user_data)
{
  struct lio_io *io = user_data;
  struct append_job *job = g_async_queue_pop (io->appends);
  while (!job->stop_thread)
    {
      gsize byte_count = 0;
      uint64_t offset = 0;
      bool log_unavailable = false;
      const uint8_t *bytes = g_bytes_get_data (job->append.bytes, &byte_count);
      enum err_kind result
          = plog_append (io->client, job->append.stream, bytes, byte_count,
                         &offset, &log_unavailable);
      io->params.on_append (job->append.owner, job->append.token, result,
                            offset, log_unavailable, io->params.user_data);
      g_bytes_unref (job->append.bytes);
      g_free (job);
      job = g_async_queue_pop (io->appends);
    }
  g_free (job);
  return NULL;
}

/* Logs the outcome of a read of STREAM when it differs from LAST, that of the
   previous read.  */
void
lio_log_change (const char *stream, enum err_kind error, enum err_kind *last)
{
  if (error != *last)
    {
      lg_line (error != ERR_NONE ? LOG_WARNING : LOG_NOTICE, "log-read",
               "stream=%s kind=%s", stream, err_info (error)->name);
      *last = error;
    }
}

static void *
run_reader (void *user_data)
{
  struct reader *reader = user_data;
  struct lio_io *io = reader->io;
  uint64_t from = 0;
  enum err_kind last = ERR_NONE;
  while (!atomic_load (&io->stopping))
    {
      struct plog_page page;
      int64_t requested_us = clk_monotonic_us ();
      enum err_kind error = plog_read (io->client, reader->stream, from,
                                       PAGE_RECORDS_MAX, READ_WAIT_MS, &page);
      lio_log_change (reader->stream, error, &last);
      io->params.on_page (reader->stream, error, &page, requested_us,
                          io->params.user_data);
      if (error != ERR_NONE)
        {
          g_usleep ((gulong)RETRY_WAIT_US);
        }
      else if (page.record_count > 0)
        {
          from = page.records[page.record_count - 1].offset + 1;
        }
      else
        {
          from = MAX (from, page.first);
        }
      plog_page_clear (&page);
    }
  return NULL;
}

/* Starts the appender threads, and one reader thread for each stream, which
   reads the stream from its first offset on.  The strings of PARAMS must
   outlive the result.  */
struct lio_io *
lio_create (const struct lio_params *params)
{
  struct lio_io *io = g_new0 (struct lio_io, 1);
  io->params = *params;
  io->client = plog_create (params->urls);
  io->appends = g_async_queue_new ();
  for (int i = 0; i < APPEND_THREADS; i++)
    {
      pthread_create (&io->append_threads[i], NULL, run_appender, io);
    }
  while (params->streams[io->reader_count] != NULL)
    {
      io->reader_count++;
    }
  io->readers = g_new0 (struct reader, io->reader_count);
  for (size_t i = 0; i < io->reader_count; i++)
    {
      io->readers[i].io = io;
      io->readers[i].stream = g_strdup (params->streams[i]);
      pthread_create (&io->readers[i].thread, NULL, run_reader,
                      &io->readers[i]);
    }
  return io;
}

/* Performs the queued appends, stops the threads and frees IO, which may be
   NULL.  */
void
lio_destroy (struct lio_io *io)
{
  if (io == NULL)
    {
      return;
    }
  atomic_store (&io->stopping, true);
  for (int i = 0; i < APPEND_THREADS; i++)
    {
      struct append_job *job = g_new0 (struct append_job, 1);
      job->stop_thread = true;
      g_async_queue_push (io->appends, job);
    }
  for (int i = 0; i < APPEND_THREADS; i++)
    {
      pthread_join (io->append_threads[i], NULL);
    }
  for (size_t i = 0; i < io->reader_count; i++)
    {
      pthread_join (io->readers[i].thread, NULL);
      g_free (io->readers[i].stream);
    }
  g_free (io->readers);
  g_async_queue_unref (io->appends);
  plog_destroy (io->client);
  g_free (io);
}

/* Queues an append and returns at once; on_append reports the result.  Adds a
   reference to the bytes.  Thread-safe.  */
void
lio_append (struct lio_io *io, const struct act_append *append)
{
  struct append_job *job = g_new0 (struct append_job, 1);
  job->append = *append;
  g_bytes_ref (job->append.bytes);
  g_async_queue_push (io->appends, job);
}
