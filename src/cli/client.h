/* HTTP client of a daemon's administration API, for the subcommands. */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include <jansson.h>
#include <stdint.h>

/* Where to send requests, and how to authenticate them. */
struct cli_api
{
  const char *url;        /* http://IP:PORT */
  const char *token_file; /* path of the file with the bearer token */
};

json_t *cli_call (const struct cli_api *api, const char *method,
                  const char *path, const char *body, uint32_t body_bytes);

#endif
