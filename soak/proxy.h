/* A TCP proxy on loopback that delays, holds back or resets its connections on
   demand.  What is held back is forwarded once the mode allows it again. */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

enum spx_mode
{
  SPX_PASS,         /* forwards unchanged */
  SPX_DELAY,        /* every byte is forwarded after a delay */
  SPX_HOLD_REPLIES, /* what the target sends is held back */
  SPX_HOLD_ALL,     /* nothing is forwarded in either direction */
  SPX_RESET,        /* open and new connections are reset */
  SPX_MODES
};

struct spx_proxy;

struct spx_proxy *spx_create (uv_loop_t *loop, const char *target);
void spx_destroy (struct spx_proxy *proxy);
const char *spx_address (const struct spx_proxy *proxy);
void spx_set_listening (struct spx_proxy *proxy, bool listening);
void spx_set_mode (struct spx_proxy *proxy, enum spx_mode mode,
                   int64_t delay_us);

#endif
