/* What calls have shown of endpoints, for both of this daemon's threads: which
   are dead, which said that they leave, to this daemon or to one whose relay
   it reads, and which want no requests for a time.  The control thread
   replaces the dead and the leaving ones before the endpoint list says so.
   Thread-safe. */
#ifndef ENTRY_VERDICTS_H
#define ENTRY_VERDICTS_H

#include <glib.h>
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
GPtrArray *vdt_list_leaving (struct vdt_verdicts *verdicts, uint64_t after,
                             uint32_t limit, uint64_t *up_to);
int64_t vdt_turn_away (struct vdt_verdicts *verdicts, const char *id,
                       int64_t born_ms, int64_t duration_us, int64_t now_us);
int64_t vdt_opens_us (struct vdt_verdicts *verdicts, const char *id,
                      int64_t born_ms);

#endif
