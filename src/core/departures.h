/* The incarnations of endpoints that said in an answer that they leave.

   The load: in a release, or while the endpoint list is out of reach, the list
   names an endpoint as ready long after it began to leave.  An endpoint that
   said so gets no new requests from then on, whatever the list says and
   however often it drops and names the same incarnation again.  Only a newer
   incarnation, or another id at its address, gets requests again. */
#ifndef CORE_DEPARTURES_H
#define CORE_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>

/* Limit on the incarnations that are remembered; the one that said it longest
   ago is forgotten first. */
#define DEP_KEPT_MAX 4096

struct dep_set;

struct dep_set *dep_create (void);
void dep_destroy (struct dep_set *set);
bool dep_add (struct dep_set *set, const char *id, int64_t born_ms);
bool dep_contains (const struct dep_set *set, const char *id, int64_t born_ms);
uint64_t dep_count (const struct dep_set *set);

#endif
