/* What this daemon's own calls have shown of endpoints, for both of its
   threads: which are dead, and which said that they leave.  The control thread
   replaces both before the endpoint list says so.  Thread-safe. */
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
bool vdt_set_leaving (struct vdt_verdicts *verdicts, const char *id,
                      int64_t born_ms);
bool vdt_is_leaving (struct vdt_verdicts *verdicts, const char *id,
                     int64_t born_ms);
uint64_t vdt_leaving_count (struct vdt_verdicts *verdicts);

#endif
