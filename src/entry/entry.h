/* The main loop of the entry daemon: starts the traffic and control threads,
   handles signals and shuts down gracefully once the requests in progress have
   ended. */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "config/entry_settings.h"

#include <stdbool.h>

bool ent_run (const char *settings_path, struct ens_settings *settings,
              GError **error);

#endif
