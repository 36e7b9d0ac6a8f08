/* A TCP proxy on loopback that spoils its connections on demand. */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <glib.h>
#include <uv.h>

enum spx_mode
{
  SPX_PASS,
  SPX_DELAY,   /* every byte comes later */
  SPX_ONE_WAY, /* what the target sends is held back */
  SPX_SILENT,  /* nothing comes through, either way */
  SPX_RESET,   /* connections are reset, new ones too */
  SPX_MODES
};

struct spx_proxy;

struct spx_proxy *spx_create (uv_loop_t *loop, const char *target);
void spx_destroy (struct spx_proxy *proxy);
const char *spx_address (const struct spx_proxy *proxy);
void spx_set_mode (struct spx_proxy *proxy, enum spx_mode mode,
                   int64_t delay_us);

#endif
