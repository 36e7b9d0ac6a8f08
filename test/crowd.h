/* Crowds of callers for tests: each sends what a table row says on a
   connection of its own, reads nothing and stays connected.  */
#ifndef TEST_CROWD_H
#define TEST_CROWD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What the callers of a crowd send. */
struct crw_load
{
  const char *name;
  uint32_t callers;
  uint32_t chunk_bytes; /* of the body; 0: `unit' is repeated instead */
  const char *headers;  /* after the head of a request; NULL: no request */
  const char *unit;
  uint64_t bytes;       /* of all units, without the chunks' heads */
  const char *end;      /* after the units */
  const char *trickle;  /* then sent in each round; NULL: none */
  uint32_t piece_bytes; /* sent at a time; 0: as many as the socket takes */
  bool unanswered;      /* endpoints don't answer the requests */
};

/* A caller of a crowd. */
struct crw_caller
{
  const struct crw_load *load;
  int fd;
  bool closed; /* by the daemon */
  GString *head;
  GString *block; /* repeated units */
  size_t unit_bytes;
  uint64_t sent;
  uint64_t units_bytes; /* of all units */
};

void crw_open (struct crw_caller *caller, const struct crw_load *load,
               const char *address, const char *head);
bool crw_send_round (struct crw_caller *callers, uint32_t count);
void crw_trickle_round (struct crw_caller *callers, uint32_t count);
bool crw_is_within_memory (uint64_t memory_kb, uint64_t host_mb);
void crw_close (struct crw_caller *caller);

#endif
