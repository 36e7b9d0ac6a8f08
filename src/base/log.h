/* Structured log lines on standard output.  Their number is bounded for each
   event, and writing never blocks: what doesn't fit is dropped and counted. */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <syslog.h>

void lg_set_level (int priority);
void lg_set_buffered (bool buffered);
int lg_parse_level (const char *name);
void lg_line (int priority, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void lg_flush (void);
uint64_t lg_dropped (void);

#endif
