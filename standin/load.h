/* A load generator: many concurrent calls to a list of daemons.  Checks every
   answer against the model and writes a journal for the checker. */
#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

#include "standin/journal.h"

#include <stdint.h>

#define LT_DAEMONS_MAX 64
#define LT_ACCOUNTS_MAX 64

/* A client account and its load. */
struct lt_account
{
  char *name;
  char *token;
  double drafts_per_s; /* open loop, with Poisson arrivals */
  uint32_t streams;    /* closed loop: concurrent drafts */
};

struct lt_options
{
  const char *daemon_urls[LT_DAEMONS_MAX]; /* http://IP:PORT */
  uint32_t daemon_count;
  struct lt_account accounts[LT_ACCOUNTS_MAX];
  uint32_t account_count;
  const char *model;
  uint32_t layers;
  uint32_t prompt_bytes_min;
  uint32_t prompt_bytes_max;
  uint32_t shared_prefixes; /* 0: prompts share no prefix */
  uint32_t shared_prefix_bytes;
  uint32_t tokens_min;
  uint32_t tokens_max;
  const char *service; /* NULL: no bookings or look-ups */
  double bookings_per_s;
  double lookups_per_s;
  uint32_t booking_attempts;  /* at most, with the same key */
  uint32_t duplicate_percent; /* of bookings, sent to two daemons at once */
  uint32_t deadline_ms;       /* of each draft; 0: none */
  uint32_t repeat_percent;    /* of successful bookings, sent again later */
  double warmup_s;            /* load before the measured time */
  double measure_s;           /* length of the measured time */
  double drain_s;             /* limit for calls still open after that */
  uint32_t threads;
  uint32_t seed;
  struct jn_journal *journal; /* NULL: none */
};

char *lt_run (const struct lt_options *options);

#endif
