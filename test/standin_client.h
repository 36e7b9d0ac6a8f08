/* An HTTP client for the contract tests of the stand-ins.  Sends requests one
   after another on one kept-alive connection. */
#ifndef TEST_STANDIN_CLIENT_H
#define TEST_STANDIN_CLIENT_H

#include <glib.h>
#include <stdint.h>

#define EXCHANGES_MAX 12
#define STATUS_NONE 0      /* the connection closed without an answer */
#define STATUS_SILENT (-1) /* no answer arrived before the timeout */

/* A request and the answer that a test expects. */
struct exchange
{
  const char *path;
  const char *body;   /* sent by POST; NULL: GET */
  int status;         /* expected; may be STATUS_NONE or STATUS_SILENT */
  const char *expect; /* substring of the body or the headers; NULL: any */
};

struct client;

struct client *client_create (uint16_t port);
void client_destroy (struct client *client);
int client_call (struct client *client, const char *path, const char *body,
                 GString *answer);
void client_run (struct client *client, const char *name,
                 const struct exchange *exchanges);

#endif
