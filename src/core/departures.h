/* The incarnations of endpoints that said in an answer that they leave.

   The load: in a release, or while the endpoint list is out of reach, the list
   names an endpoint as ready long after it began to leave.  An endpoint that
   said so gets no new requests from then on, whatever the list says and
   however often it drops and names the same incarnation again.  Only a newer
   incarnation, or another id at its address, gets requests again.  Daemons
   pass on what they know: a report closes an incarnation and the ones before
   it, and none ever opens one. */
#ifndef CORE_DEPARTURES_H
#define CORE_DEPARTURES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Limit on the incarnations that are remembered; the one that said it longest
   ago is forgotten first. */
#define DEP_KEPT_MAX 4096

/* Limit on the length of an id that another daemon reports. */
#define DEP_ID_BYTES_MAX 255

/* A report of another daemon speaks of an incarnation that started, by its
   host's clock, at most this long in the future. */
#define DEP_AHEAD_MAX_MS INT64_C (60000)

/* An incarnation that said that it leaves. */
struct dep_departure
{
  char *id; /* of the endpoint */
  int64_t born_ms;
};

struct dep_set;

struct dep_set *dep_create (void);
void dep_destroy (struct dep_set *set);
bool dep_add (struct dep_set *set, const char *id, int64_t born_ms);
bool dep_contains (const struct dep_set *set, const char *id, int64_t born_ms);
uint64_t dep_count (const struct dep_set *set);
GPtrArray *dep_list (const struct dep_set *set, uint64_t after, uint32_t limit,
                     uint64_t *up_to);
GPtrArray *dep_list_create (void);
void dep_list_add (GPtrArray *list, const char *id, int64_t born_ms);
bool dep_is_plausible (const char *id, int64_t born_ms, int64_t now_ms);

#endif
