#include "base/log.h"

#include "base/clock.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Longest line, with the newline. */
#define LINE_BYTES 1024

/* Lines not yet written to standard output. */
#define BUFFER_BYTES 65536

/* Largest single write.  A pipe that poll reports as writable accepts this
   many bytes (PIPE_BUF) without blocking. */
#define WRITE_BYTES_MAX 4096

/* Rate limit of the lines of one event: sustained lines per second, and the
   largest burst in lines. */
#define EVENT_LINES_PER_S 40
#define EVENT_LINES_BURST 80

/* Different events with a rate limit; lines of further events are dropped. */
#define EVENTS_MAX 256

/* Least interval between two log_lines_dropped lines about one event. */
#define DROP_REPORT_INTERVAL_US CLK_S_US

static const char *const level_names[] = {
  [LOG_EMERG] = "emerg", [LOG_ALERT] = "alert",     [LOG_CRIT] = "crit",
  [LOG_ERR] = "err",     [LOG_WARNING] = "warning", [LOG_NOTICE] = "notice",
  [LOG_INFO] = "info",   [LOG_DEBUG] = "debug",
};

/* The rate limit of one event's lines, a token bucket. */
struct event_bucket
{
  const char *event; /* a literal, compared by address */
  double tokens;     /* lines that may be written now */
  int64_t refilled_at_us;
  uint64_t dropped; /* lines dropped since the last log_lines_dropped line */
  int64_t reported_at_us; /* when the last such line was added */
};

/* The state of the log.  It is global, as the process has one standard
   output. */
static struct
{
  pthread_mutex_t lock;
  char buffer[BUFFER_BYTES];
  size_t used; /* bytes of BUFFER */
  struct event_bucket buckets[EVENTS_MAX];
  uint32_t bucket_count;
  uint64_t dropped; /* lines, since the start */
} output = { .lock = PTHREAD_MUTEX_INITIALIZER };

static _Atomic int max_priority = LOG_INFO;
static _Atomic bool is_buffered;

/* Discards all further lines that are less severe than PRIORITY, one of the
   LOG_ values of syslog.h.  The default is LOG_INFO.  Thread-safe.  */
void
lg_set_level (int priority)
{
  atomic_store (&max_priority, priority);
}

/* Sets whether lines stay in the buffer until lg_flush, which the caller then
   must call several times a second.  By default, lg_line writes at once.
   Thread-safe.  */
void
lg_set_buffered (bool buffered)
{
  atomic_store (&is_buffered, buffered);
}

/* Returns the priority with NAME, as "warning", or -1 when no priority has
   that name.  */
int
lg_parse_level (const char *name)
{
  for (int i = LOG_EMERG; i <= LOG_DEBUG; i++)
    {
      if (strcmp (level_names[i], name) == 0)
        {
          return i;
        }
    }
  return -1;
}

/* Returns the bucket of EVENT, which is created full, or NULL when EVENTS_MAX
   other events have one.  */
static struct event_bucket *
find_bucket (const char *event, int64_t now_us)
{
  for (uint32_t i = 0; i < output.bucket_count; i++)
    {
      if (output.buckets[i].event == event)
        {
          return &output.buckets[i];
        }
    }
  if (output.bucket_count == EVENTS_MAX)
    {
      return NULL;
    }
  struct event_bucket *bucket = &output.buckets[output.bucket_count++];
  *bucket = (struct event_bucket){
    .event = event,
    .tokens = EVENT_LINES_BURST,
    .refilled_at_us = now_us,
  };
  return bucket;
}

/* Refills BUCKET and takes one line's token out.  Returns false when no token
   is left.  */
static bool
take_token (struct event_bucket *bucket, int64_t now_us)
{
  bucket->tokens += (double)(now_us - bucket->refilled_at_us)
                    * EVENT_LINES_PER_S / CLK_S_US;
  bucket->refilled_at_us = now_us;
  if (bucket->tokens > EVENT_LINES_BURST)
    {
      bucket->tokens = EVENT_LINES_BURST;
    }
  if (bucket->tokens < 1)
    {
      return false;
    }
  bucket->tokens -= 1;
  return true;
}

/* Writes as much of the buffer as standard output accepts without blocking,
   and keeps the rest.  */
static void
write_buffer (void)
{
  size_t written = 0;
  while (written < output.used)
    {
      struct pollfd descriptor = { .fd = STDOUT_FILENO, .events = POLLOUT };
      if (poll (&descriptor, 1, 0) <= 0 || (descriptor.revents & POLLOUT) == 0)
        {
          break;
        }
      size_t count = output.used - written;
      ssize_t result
          = write (STDOUT_FILENO, output.buffer + written,
                   count > WRITE_BYTES_MAX ? (size_t)WRITE_BYTES_MAX : count);
      if (result <= 0)
        {
          break;
        }
      written += (size_t)result;
    }
  memmove (output.buffer, output.buffer + written, output.used - written);
  output.used -= written;
}

/* Appends LINE, of LENGTH bytes, to the buffer.  Returns false when the buffer
   is full and standard output accepts no more.  */
static bool
append (const char *line, size_t length)
{
  if (length > BUFFER_BYTES - output.used)
    {
      write_buffer ();
    }
  if (length > BUFFER_BYTES - output.used)
    {
      return false;
    }
  memcpy (output.buffer + output.used, line, length);
  output.used += length;
  return true;
}

/* Formats `time=... level=... event=... ' into LINE.  Returns the number of
   bytes.  */
static size_t
format_prefix (char *line, size_t line_bytes, int priority, const char *event)
{
  struct timespec now;
  struct tm parts;
  char timestamp[32];
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &parts);
  int used = snprintf (line, line_bytes, "time=%s.%03ldZ level=%s event=%s ",
                       timestamp, now.tv_nsec / 1000000, level_names[priority],
                       event);
  return (size_t)used;
}

/* Adds a log_lines_dropped line with the number of dropped lines of BUCKET's
   event, at most once per DROP_REPORT_INTERVAL_US.  */
static void
report_dropped (struct event_bucket *bucket, int64_t now_us)
{
  if (bucket->dropped == 0
      || now_us - bucket->reported_at_us < DROP_REPORT_INTERVAL_US)
    {
      return;
    }
  bucket->reported_at_us = now_us;
  char line[LINE_BYTES];
  size_t used
      = format_prefix (line, sizeof line, LOG_WARNING, "log_lines_dropped");
  int field_bytes
      = snprintf (line + used, sizeof line - used, "of=%s lines=%lu\n",
                  bucket->event, (unsigned long)bucket->dropped);
  if (append (line, used + (size_t)field_bytes))
    {
      bucket->dropped = 0;
    }
}

/* Adds LINE, of LENGTH bytes, or drops it when EVENT exceeds its rate limit or
   the buffer is full.  */
static void
add_line (const char *event, const char *line, size_t length)
{
  int64_t now_us = clk_monotonic_us ();
  pthread_mutex_lock (&output.lock);
  struct event_bucket *bucket = find_bucket (event, now_us);
  if (bucket == NULL || !take_token (bucket, now_us))
    {
      output.dropped++;
      if (bucket != NULL)
        {
          bucket->dropped++;
        }
    }
  else
    {
      report_dropped (bucket, now_us);
      if (!append (line, length))
        {
          bucket->dropped++;
          output.dropped++;
        }
    }
  if (!atomic_load (&is_buffered))
    {
      write_buffer ();
    }
  pthread_mutex_unlock (&output.lock);
}

/* Writes one line: `time=... level=... event=EVENT key=value ...'.  EVENT is a
   string literal; the rate limit identifies it by its address.  FORMAT gives
   the key=value fields.  Never pass secrets or prompts.  The line is truncated
   to 1024 bytes.  Thread-safe; never blocks on standard output, but drops
   lines beyond the rate limit of EVENT.  */
void
lg_line (int priority, const char *event, const char *format, ...)
{
  if (priority > atomic_load (&max_priority))
    {
      return;
    }
  char line[LINE_BYTES];
  size_t used = format_prefix (line, sizeof line, priority, event);
  va_list arguments;
  va_start (arguments, format);
  int field_bytes
      = vsnprintf (line + used, sizeof line - used - 1, format, arguments);
  va_end (arguments);
  size_t length = used + (field_bytes > 0 ? (size_t)field_bytes : 0);
  if (length > sizeof line - 2)
    {
      length = sizeof line - 2;
    }
  line[length] = '\n';
  add_line (event, line, length + 1);
}

/* Writes buffered lines as far as standard output accepts them without
   blocking; the rest stays in the buffer.  Thread-safe.  */
void
lg_flush (void)
{
  pthread_mutex_lock (&output.lock);
  write_buffer ();
  pthread_mutex_unlock (&output.lock);
}

/* Returns how many lines were dropped since the process started.
   Thread-safe.  */
uint64_t
lg_dropped (void)
{
  pthread_mutex_lock (&output.lock);
  uint64_t dropped = output.dropped;
  pthread_mutex_unlock (&output.lock);
  return dropped;
}
