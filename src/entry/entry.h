/* The entry daemon: starts its threads, and stops them without cutting a
   request off. */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "config/entry_settings.h"

#include <stdbool.h>

bool ent_run (const char *settings_path, struct ens_settings *settings,
              GError **error);

#endif
