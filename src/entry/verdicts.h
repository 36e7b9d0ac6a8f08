/* Endpoints that the traffic thread has found dead.  The control thread
   replaces these before the endpoint list drops them.  Thread-safe. */
#ifndef ENTRY_VERDICTS_H
#define ENTRY_VERDICTS_H

#include <stdbool.h>
#include <stdint.h>

struct vdt_verdicts;

struct vdt_verdicts *vdt_create (void);
void vdt_destroy (struct vdt_verdicts *verdicts);
void vdt_set_dead (struct vdt_verdicts *verdicts, const char *id,
                   int64_t born_ms);
void vdt_clear (struct vdt_verdicts *verdicts, const char *id);
bool vdt_is_dead (struct vdt_verdicts *verdicts, const char *id,
                  int64_t born_ms);

#endif
