/* The directory of all entry daemons, a topic of the platform's store: each
   daemon publishes the address at which it serves callers, and looks the
   others up when it has to pass requests on.  For the control thread. */
#ifndef ENTRY_DIRECTORY_H
#define ENTRY_DIRECTORY_H

#include "entry/neighbours.h"
#include "net/client.h"

struct dir_directory;

struct dir_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *store_address;
  const char *name;           /* of this daemon */
  const char *caller_address; /* of this daemon */
  struct nbr_neighbours *neighbours;
};

struct dir_directory *dir_create (const struct dir_params *params);
void dir_destroy (struct dir_directory *directory);
void dir_publish_again (struct dir_directory *directory);
void dir_withdraw (struct dir_directory *directory);
void dir_step (struct dir_directory *directory, int64_t now_us);

#endif
