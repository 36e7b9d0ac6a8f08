#include "standin/journal.h"

#include "base/clock.h"
#include "base/error.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct jn_journal
{
  pthread_mutex_t lock;
  FILE *file;
};

/* Creates a journal that appends to the file PATH, or one that discards every
   event when PATH is NULL.  Returns NULL and sets ERROR to ERR_SETTINGS when
   the file can't be opened.  */
struct jn_journal *
jn_create (const char *path, GError **error)
{
  FILE *file = NULL;
  if (path != NULL)
    {
      file = fopen (path, "ae");
      if (file == NULL)
        {
          g_set_error (error, ERR_DOMAIN, ERR_SETTINGS,
                       "cannot open journal %s: %s", path, strerror (errno));
          return NULL;
        }
    }
  struct jn_journal *journal = g_new0 (struct jn_journal, 1);
  pthread_mutex_init (&journal->lock, NULL);
  journal->file = file;
  return journal;
}

/* Closes and frees JOURNAL; NULL is allowed.  */
void
jn_destroy (struct jn_journal *journal)
{
  if (journal == NULL)
    {
      return;
    }
  if (journal->file != NULL)
    {
      fclose (journal->file);
    }
  pthread_mutex_destroy (&journal->lock);
  g_free (journal);
}

/* Appends the line `{"t": T, "event": EVENT, ...}' and flushes the file.  T is
   the monotonic time in microseconds and never falls from one line of this
   process to the next.  FORMAT formats further members and starts with a
   comma, or is empty.  Does nothing when JOURNAL is NULL.  Thread-safe.  */
void
jn_write (struct jn_journal *journal, const char *event, const char *format,
          ...)
{
  if (journal == NULL || journal->file == NULL)
    {
      return;
    }
  pthread_mutex_lock (&journal->lock);
  fprintf (journal->file, "{\"t\":%" PRId64 ",\"event\":\"%s\"",
           clk_monotonic_us (), event);
  va_list arguments;
  va_start (arguments, format);
  vfprintf (journal->file, format, arguments);
  va_end (arguments);
  fputs ("}\n", journal->file);
  fflush (journal->file);
  pthread_mutex_unlock (&journal->lock);
}

/* Appends TEXT, which is UTF-8, to OUT as a quoted JSON string.  */
void
jn_append_json (GString *out, const char *text)
{
  g_string_append_c (out, '"');
  for (const char *at = text; *at != '\0'; at++)
    {
      unsigned char byte = (unsigned char)*at;
      if (byte == '"' || byte == '\\')
        {
          g_string_append_c (out, '\\');
          g_string_append_c (out, *at);
        }
      else if (byte < 0x20)
        {
          g_string_append_printf (out, "\\u%04x", byte);
        }
      else
        {
          g_string_append_c (out, *at);
        }
    }
  g_string_append_c (out, '"');
}
