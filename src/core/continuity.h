/* Decides how long the answer of a stream may be silent before its daemon
   acts, and how many retries it keeps back.

   The load: an engine in the middle of several paths stops.  All streams over
   it fall silent at the same time, and each is late once its pause exceeds the
   route's target, which is often only three or four usual intervals between
   events.  Reading the prompt again on another path takes a large part of that
   pause, so a daemon that waits for a long silence of each stream, and then
   asks for a report, resumes all of them late.  A stream that falls silent
   after an engine of its path has failed other requests, and on which no
   stream went on since, is resumed after little more than its usual interval.

   In a fleet of hundreds of daemons each one's part of the retry budget is a
   few retries.  A fixed reserve would exceed it, and silent streams would wait
   until their callers leave. */
#ifndef CORE_CONTINUITY_H
#define CORE_CONTINUITY_H

#include <stdbool.h>
#include <stdint.h>

/* The answer of a stream as far as it has arrived. */
struct ctn_stream
{
  bool begun; /* the caller has received events */
  bool path_suspected;
  double interval_us;    /* between events, moving average; 0: unknown */
  double deviation_us;   /* from `interval_us', moving mean absolute one */
  double first_event_us; /* average time to the first event of streams; 0:
                            unknown */
};

/* What is known of an engine on the path of a stream.  Monotonic times; 0:
   never. */
struct ctn_engine
{
  bool dead;
  int64_t failed_us;     /* newest conclusive failure */
  int64_t progressed_us; /* newest event of any stream over it */
};

bool ctn_is_suspected (const struct ctn_engine *engine);
int64_t ctn_silence_limit_us (const struct ctn_stream *stream);
uint32_t ctn_retry_reserve (double allowed);

#endif
