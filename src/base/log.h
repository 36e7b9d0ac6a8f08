/* Structured log lines on standard output.  Each event has a rate limit, and
   writing never blocks: lines beyond the limit, or that standard output does
   not accept in time, are dropped and counted. */
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
