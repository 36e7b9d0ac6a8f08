/* The journal of a stand-in: a file with one line of JSON for each event,
   which the checker reads. */
#ifndef STANDIN_JOURNAL_H
#define STANDIN_JOURNAL_H

#include <glib.h>
#include <stdbool.h>

struct jn_journal;

struct jn_journal *jn_create (const char *path, GError **error);
void jn_destroy (struct jn_journal *journal);
void jn_write (struct jn_journal *journal, const char *event,
               const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void jn_append_json (GString *out, const char *text);

#endif
