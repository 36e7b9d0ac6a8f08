/* Settings of an entry daemon, read from a YAML file. */
#ifndef CONFIG_ENTRY_SETTINGS_H
#define CONFIG_ENTRY_SETTINGS_H

#include <glib.h>
#include <stdint.h>

struct ens_settings
{
  char *name; /* of this daemon, unique in the fleet */
  char *data_centre;
  char *caller_address;  /* IP:PORT to listen on for clients' requests */
  char *ready_address;   /* IP:PORT to listen on for readiness probes */
  char *metrics_address; /* IP:PORT to listen on for metrics */
  char *store_address;   /* IP:PORT of the store to connect to */
  char *relay_address;   /* IP:PORT to listen on for other daemons' requests */
  char **relays;         /* IP:PORT of daemons that relay; NULL-terminated */
  uint32_t store_partitions; /* of each topic in the store */
  uint32_t descriptors;      /* file descriptors that the process may open */
  uint32_t memory_mb;        /* of the host, for this process */
  int64_t drain_us; /* how long a leaving endpoint may still get requests */
  int64_t
      config_apply_max_us; /* within this, a new configuration is in force */
  int64_t revoke_us;       /* how long a revoked API key may still be served */
  int64_t quarantine_us;   /* within this, a part of prompts that crashes
                              engines is kept away from them */
  int64_t settle_us;       /* after an outage of the store, until the other
                              bounds hold again */
  int64_t stop_us;         /* time from SIGTERM to SIGKILL */
  int64_t retry_window_us; /* sliding window of the retry budget */
  double retry_ratio;      /* retries per request in the window */
  double retry_slack;      /* additional retries per window, for all daemons */
  int64_t membership_min_us; /* shortest membership that the store accepts */
  int log_level;             /* LOG_EMERG to LOG_DEBUG */
};

struct ens_settings *ens_load (const char *path, GString *messages,
                               GError **error);
void ens_destroy (struct ens_settings *settings);

#endif
