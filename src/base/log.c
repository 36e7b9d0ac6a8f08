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

#define LINE_BYTES 1024
#define BUFFER_BYTES 65536

/* A pipe that polls writable takes so much at once (PIPE_BUF). */
#define WRITE_BYTES 4096

/* Lines a second of one event, and how many may come at once. */
#define EVENT_LINES_PER_S 40
#define EVENT_LINES_BURST 80
#define EVENTS_MAX 96

/* Between two statements of how many lines of an event were dropped. */
#define STATE_DROPPED_US CLK_S_US

static const char *const level_names[] = {
  [LOG_EMERG] = "emerg", [LOG_ALERT] = "alert",     [LOG_CRIT] = "crit",
  [LOG_ERR] = "err",     [LOG_WARNING] = "warning", [LOG_NOTICE] = "notice",
  [LOG_INFO] = "info",   [LOG_DEBUG] = "debug",
};

/* The budget of one event's lines. */
struct event_budget
{
  const char *event; /* a literal, compared by address */
  double lines;
  int64_t filled_at_us;
  uint64_t dropped; /* not yet stated */
  int64_t stated_at_us;
};

/* The process has one standard output, so there is one log. */
static struct
{
  pthread_mutex_t lock;
  char buffer[BUFFER_BYTES];
  size_t used;
  struct event_budget budgets[EVENTS_MAX];
  uint32_t budget_count;
  uint64_t dropped;
} output = { .lock = PTHREAD_MUTEX_INITIALIZER };

static _Atomic int max_priority = LOG_INFO;
static _Atomic bool is_buffered;

/* Drops lines less severe than PRIORITY, one of the LOG_ values of
   syslog.h.  */
void
lg_set_level (int priority)
{
  atomic_store (&max_priority, priority);
}

/* With BUFFERED, lines wait for lg_flush, which the caller then runs some
   times a second.  */
void
lg_set_buffered (bool buffered)
{
  atomic_store (&is_buffered, buffered);
}

/* Returns the priority called NAME, or -1 when there is none.  */
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

/* Returns the budget of EVENT, or NULL when there are too many events.  */
static struct event_budget *
find_budget (const char *event, int64_t now_us)
{
  for (uint32_t i = 0; i < output.budget_count; i++)
    {
      if (output.budgets[i].event == event)
        {
          return &output.budgets[i];
        }
    }
  if (output.budget_count == EVENTS_MAX)
    {
      return NULL;
    }
  struct event_budget *budget = &output.budgets[output.budget_count++];
  *budget = (struct event_budget){
    .event = event,
    .lines = EVENT_LINES_BURST,
    .filled_at_us = now_us,
  };
  return budget;
}

/* Takes one line out of BUDGET.  Returns false when it is spent.  */
static bool
take_line (struct event_budget *budget, int64_t now_us)
{
  budget->lines += (double)(now_us - budget->filled_at_us) * EVENT_LINES_PER_S
                   / CLK_S_US;
  budget->filled_at_us = now_us;
  if (budget->lines > EVENT_LINES_BURST)
    {
      budget->lines = EVENT_LINES_BURST;
    }
  if (budget->lines < 1)
    {
      return false;
    }
  budget->lines -= 1;
  return true;
}

/* Writes what the buffer holds as far as standard output takes it at once.  */
static void
write_buffer (void)
{
  size_t done = 0;
  while (done < output.used)
    {
      struct pollfd descriptor = { .fd = STDOUT_FILENO, .events = POLLOUT };
      if (poll (&descriptor, 1, 0) <= 0 || (descriptor.revents & POLLOUT) == 0)
        {
          break;
        }
      size_t count = output.used - done;
      ssize_t written
          = write (STDOUT_FILENO, output.buffer + done,
                   count > WRITE_BYTES ? (size_t)WRITE_BYTES : count);
      if (written <= 0)
        {
          break;
        }
      done += (size_t)written;
    }
  memmove (output.buffer, output.buffer + done, output.used - done);
  output.used -= done;
}

/* Appends a line of LENGTH bytes.  Returns false when there is no room.  */
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

/* Formats `time=... level=... event=... ' into LINE.  Returns its length.  */
static size_t
format_start (char *line, size_t line_bytes, int priority, const char *event)
{
  struct timespec now;
  struct tm parts;
  char stamp[32];
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &parts);
  int used
      = snprintf (line, line_bytes, "time=%s.%03ldZ level=%s event=%s ", stamp,
                  now.tv_nsec / 1000000, level_names[priority], event);
  return (size_t)used;
}

/* Says how many lines of BUDGET's event were dropped, if that is due.  */
static void
state_dropped (struct event_budget *budget, int64_t now_us)
{
  if (budget->dropped == 0 || now_us - budget->stated_at_us < STATE_DROPPED_US)
    {
      return;
    }
  budget->stated_at_us = now_us;
  char line[LINE_BYTES];
  size_t used
      = format_start (line, sizeof line, LOG_WARNING, "log_lines_dropped");
  int more = snprintf (line + used, sizeof line - used, "of=%s lines=%lu\n",
                       budget->event, (unsigned long)budget->dropped);
  if (append (line, used + (size_t)more))
    {
      budget->dropped = 0;
    }
}

/* Adds LINE under the budget of EVENT.  */
static void
add_line (const char *event, const char *line, size_t length)
{
  int64_t now_us = clk_monotonic_us ();
  pthread_mutex_lock (&output.lock);
  struct event_budget *budget = find_budget (event, now_us);
  if (budget == NULL || !take_line (budget, now_us))
    {
      output.dropped++;
      if (budget != NULL)
        {
          budget->dropped++;
        }
    }
  else
    {
      state_dropped (budget, now_us);
      if (!append (line, length))
        {
          budget->dropped++;
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
   literal; FORMAT gives the key=value fields.  Never pass secrets or prompts.
   The line is cut at 1024 bytes.  Thread-safe; never blocks on the output.  */
void
lg_line (int priority, const char *event, const char *format, ...)
{
  if (priority > atomic_load (&max_priority))
    {
      return;
    }
  char line[LINE_BYTES];
  size_t used = format_start (line, sizeof line, priority, event);
  va_list arguments;
  va_start (arguments, format);
  int more
      = vsnprintf (line + used, sizeof line - used - 1, format, arguments);
  va_end (arguments);
  size_t length = used + (more > 0 ? (size_t)more : 0);
  if (length > sizeof line - 2)
    {
      length = sizeof line - 2;
    }
  line[length] = '\n';
  add_line (event, line, length + 1);
}

/* Writes the lines that wait, as far as standard output takes them at once.
   Thread-safe.  */
void
lg_flush (void)
{
  pthread_mutex_lock (&output.lock);
  write_buffer ();
  pthread_mutex_unlock (&output.lock);
}

/* Returns the number of lines dropped since the start.  */
uint64_t
lg_dropped (void)
{
  pthread_mutex_lock (&output.lock);
  uint64_t dropped = output.dropped;
  pthread_mutex_unlock (&output.lock);
  return dropped;
}
