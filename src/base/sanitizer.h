/* Tells the thread sanitizer of an order between threads that it can't see,
   since a library made it that isn't built with the sanitizer, such as
   liburcu.  In other builds these functions do nothing. */
#ifndef BASE_SANITIZER_H
#define BASE_SANITIZER_H

#if defined __has_feature
#if __has_feature(thread_sanitizer)
#define SAN_THREAD 1
#endif
#elif defined __SANITIZE_THREAD__
#define SAN_THREAD 1
#endif

#ifdef SAN_THREAD

#include <sanitizer/tsan_interface.h>

/* What this thread did so far comes before what another one does after its
   san_acquire with the same ADDRESS.  */
static inline void
san_release (void *address)
{
  __tsan_release (address);
}

/* See san_release.  */
static inline void
san_acquire (void *address)
{
  __tsan_acquire (address);
}

#else

static inline void
san_release (void *address)
{
  (void)address;
}

static inline void
san_acquire (void *address)
{
  (void)address;
}

#endif

#endif
