/* Measures the time and memory of admission at the largest size: one daemon of
   a fleet of 340, whose configuration has 2,200 accounts.  The time is taken
   under three times the daemon's share of the load, the memory before the
   first request.  Prints lines `name value unit target'; a target of `-' is
   none, and a unit of 1 a ratio.

     build/release/bench/admission [--seed N]  */

#include "core/admission.h"
#include "base/clock.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCOUNTS 2200
#define DAEMONS 340
#define FLEET_TOKENS_PER_S 550000.0
#define REQUESTS 200000
#define REQUEST_TOKENS 100
#define QUEUE_LENGTH 256

/* Three times one daemon's share of 1,600 requests a second. */
#define ARRIVALS_PER_S 14

static struct cfg_config *
make_config (void)
{
  struct cfg_config *config = cfg_config_create ();
  config->accounts = g_new0 (struct cfg_account, ACCOUNTS);
  config->account_count = ACCOUNTS;
  for (uint32_t i = 0; i < ACCOUNTS; i++)
    {
      struct cfg_account *account = &config->accounts[i];
      g_snprintf (account->name, sizeof account->name, "account-%u", i);
      account->requests_per_s = 1000000;
      account->tokens_per_s = 100000000;
      account->streams = 100000;
      account->weight = 1 + i % 4;
    }
  config->rules.queue_length = QUEUE_LENGTH;
  return config;
}

int
main (int argc, char **argv)
{
  uint32_t seed = 1;
  if (argc == 3 && strcmp (argv[1], "--seed") == 0)
    {
      seed = (uint32_t)strtoul (argv[2], NULL, 10);
    }
  GRand *rand = g_rand_new_with_seed (seed);
  struct cfg_config *config = make_config ();
  size_t before = mallinfo2 ().uordblks;
  struct adm *adm = adm_create ();
  adm_configure (adm, config, DAEMONS, FLEET_TOKENS_PER_S, 0);
  size_t memory_bytes = mallinfo2 ().uordblks - before;
  GQueue admitted = G_QUEUE_INIT;
  uint32_t refused = 0;
  uint32_t from_queue = 0;
  int64_t start_us = clk_monotonic_us ();
  for (uint64_t id = 1; id <= REQUESTS; id++)
    {
      int64_t now_us = (int64_t)id * CLK_S_US / ARRIVALS_PER_S;
      const struct adm_request request = {
        .id = id,
        .account = (uint32_t)g_rand_int_range (rand, 0, ACCOUNTS),
        .priority = (uint32_t)id % 3,
        .tokens = REQUEST_TOKENS,
        .deadline_us = now_us + 60 * CLK_S_US,
      };
      struct adm_verdict verdict;
      enum adm_decision decision
          = adm_arrive (adm, &request, now_us, &verdict);
      refused += decision == ADM_REFUSED;
      if (decision == ADM_ADMITTED)
        {
          g_queue_push_tail (&admitted, GSIZE_TO_POINTER (id));
        }
      adm_observe_token_interval (adm, 39 * CLK_MS_US);
      /* One admitted stream ends for every third arrival. */
      if (id % 3 == 0 && admitted.length > 0)
        {
          gsize finished = GPOINTER_TO_SIZE (g_queue_pop_head (&admitted));
          adm_finish (adm, finished, REQUEST_TOKENS, now_us);
        }
      uint64_t next;
      while ((decision = adm_next (adm, now_us, &next, &verdict))
             != ADM_NOTHING)
        {
          refused += decision == ADM_REFUSED;
          if (decision == ADM_ADMITTED)
            {
              from_queue++;
              g_queue_push_tail (&admitted, GSIZE_TO_POINTER (next));
            }
        }
    }
  double elapsed_us = (double)(clk_monotonic_us () - start_us);
  printf ("admission.time_per_request %.3f us -\n", elapsed_us / REQUESTS);
  printf ("admission.memory %.1f KiB -\n", (double)memory_bytes / 1024);
  printf ("admission.refused_share %.3f 1 -\n", (double)refused / REQUESTS);
  printf ("admission.from_queue %u requests -\n", from_queue);
  g_queue_clear (&admitted);
  adm_destroy (adm);
  cfg_config_destroy (config);
  g_rand_free (rand);
  return 0;
}
