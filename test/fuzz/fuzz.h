/* Helpers shared by the fuzz targets. */
#ifndef FUZZ_FUZZ_H
#define FUZZ_FUZZ_H

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

/* Prints MESSAGE and aborts.  Unlike the trap of g_error, SIGABRT makes the
   fuzzer save the input.  */
static inline void
fz_fail (const char *message)
{
  fprintf (stderr, "%s\n", message);
  abort ();
}

/* Appends what has arrived at the socket CALLER to ANSWER.  Returns false at
   its end.  */
static inline bool
fz_receive (int caller, GString *answer)
{
  char buffer[4096];
  ssize_t count = recv (caller, buffer, sizeof buffer, MSG_DONTWAIT);
  g_string_append_len (answer, buffer, MAX (count, 0));
  return count != 0 && (count > 0 || errno == EAGAIN);
}

#endif
