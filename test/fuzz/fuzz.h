/* Helpers shared by the fuzz targets. */
#ifndef FUZZ_FUZZ_H
#define FUZZ_FUZZ_H

#include <stdio.h>
#include <stdlib.h>

/* Prints MESSAGE and aborts.  Unlike the trap of g_error, SIGABRT makes the
   fuzzer save the input.  */
static inline void
fz_fail (const char *message)
{
  fprintf (stderr, "%s\n", message);
  abort ();
}

#endif
