/* Settings of an entry daemon on the users' platform. */
#ifndef CONFIG_ENTRY_SETTINGS_H
#define CONFIG_ENTRY_SETTINGS_H

#include <glib.h>
#include <stdint.h>

struct ens_settings
{
  char *name; /* of this daemon, unique in the fleet */
  char *data_centre;
  char *caller_address; /* IP:PORT */
  char *ready_address;
  char *metrics_address;
  char *store_address;
  char *relay_address;       /* where other daemons ask this one */
  char **relays;             /* addresses of daemons to ask; NULL-terminated */
  uint32_t store_partitions; /* of each topic */
  uint32_t descriptors;
  int64_t drain_us;  /* a leaving endpoint may get work so long */
  int64_t config_us; /* a configuration is in force after this */
  int64_t revoke_us; /* a removed key may be served so long */
  int64_t stop_us;   /* from SIGTERM to SIGKILL */
  int64_t retry_window_us;
  double retry_ratio;   /* repeats for each request */
  uint32_t retry_slack; /* repeats beside these, of all daemons */
  int log_level;        /* LOG_ERR and so on */
};

struct ens_settings *ens_load (const char *path, GString *complaints,
                               GError **error);
void ens_destroy (struct ens_settings *settings);

#endif
