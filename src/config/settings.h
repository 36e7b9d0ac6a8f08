/* Settings of a daemon, read from a YAML file and the files with secrets that
   it names. */
#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <glib.h>
#include <stdint.h>

struct set_settings
{
  char *name; /* of this daemon, unique in the fleet */
  char *data_centre;
  char *caller_address;   /* IP:PORT to listen on; port 0: any free port */
  char *operator_address; /* as caller_address */
  char *peer_address;     /* as caller_address */
  char **log_urls;        /* http://IP:PORT; NULL-terminated */
  char *host_list_url;    /* http://IP:PORT */
  char **seeds; /* IP:PORT of peers known at the start; NULL-terminated */
  char *operator_token; /* content of the operator_token_file */
  char *peer_secret;    /* content of the peer_secret_file */
  int log_level;        /* LOG_EMERG to LOG_DEBUG */
  uint32_t traffic_threads;
  uint32_t memory_mb;         /* of the host, for this process */
  uint32_t caller_timeout_ms; /* limit for a caller that sends slowly */
};

struct set_settings *set_load (const char *path, GString *messages,
                               GError **error);
void set_destroy (struct set_settings *settings);

#endif
