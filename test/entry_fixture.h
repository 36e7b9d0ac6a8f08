/* Runs an entry daemon as a process of its own against a stand-in fleet, for
   tests, and sends requests to it.  */
#ifndef TEST_ENTRY_FIXTURE_H
#define TEST_ENTRY_FIXTURE_H

#include "net/client.h"
#include "standin/entry_process.h"
#include "standin/fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define EFX_FLEET_HOST "fleet.example"
#define EFX_ENGINES 4
#define EFX_ENGINES_LARGE 12 /* of efx_set_up_large */
#define EFX_SERVICES 2
#define EFX_EVENT_MS 15

/* Settings of the daemon under test. */
#define EFX_DRAIN_MS 800
#define EFX_CONFIG_MS 1000
#define EFX_REVOKE_MS 2000
#define EFX_STOP_S 6

/* Time-out of waiting in a test. */
#define EFX_TIMEOUT_US (20 * CLK_S_US)

struct efx_fixture
{
  uv_loop_t loop;
  uv_timer_t tick;
  struct sfl_fleet *fleet;
  struct ncl_client *client;
  char *folder;
  struct sep_process *daemon;
  uint32_t next_id;
  uint64_t highest_fence; /* of the orders that have reached engines */
  bool fence_fell;        /* an order had a lower one than an earlier order */
  uint32_t orders;
  uint32_t orders_to[EFX_ENGINES_LARGE];
  GPtrArray *proxies; /* struct spx_proxy, of a test; NULL: none */
};

/* Limits on callers; 0: the default. */
struct efx_limits
{
  uint32_t header_bytes_max; /* this and the next one as in sfl_params */
  uint32_t body_bytes_max;
  uint32_t descriptors; /* this and the next one as in sep_params */
  uint32_t memory_mb;
};

/* A request of a caller and its answer so far. */
struct efx_call
{
  struct ncl_exchange *exchange;
  uint32_t status;
  bool done;
  bool complete;
  bool ends_with_connection;
  bool has_retry_after;
  double retry_after_s;
  int64_t took_us; /* until the end of the answer */
  int64_t sent_us;
  GString *body;
};

void efx_run_for (struct efx_fixture *fixture, int64_t duration_us);
void efx_start_call (struct efx_fixture *fixture, struct efx_call *call,
                     const char *address, const char *request,
                     size_t request_bytes);
void efx_await_begun (struct efx_fixture *fixture,
                      const struct efx_call *call);
void efx_kill_daemon (struct efx_fixture *fixture);
void efx_await_call (struct efx_fixture *fixture, struct efx_call *call);
void efx_clear_call (struct efx_call *call);
uint32_t efx_probe (struct efx_fixture *fixture);
void efx_await_ready (struct efx_fixture *fixture);
int efx_set_up (void **state);
int efx_set_up_limited (void **state, const struct efx_limits *limits);
int efx_set_up_large (void **state);
int efx_tear_down (void **state);
char *efx_build_request (const char *method, const char *host,
                         const char *path, const char *key, const char *id,
                         const char *body);
GString *efx_expected_stream (const char *id);
uint32_t efx_send_booking_to (struct efx_fixture *fixture,
                              const struct sep_process *daemon,
                              const char *key);
uint32_t efx_send_booking (struct efx_fixture *fixture, const char *key);
char *efx_read_setting (const struct efx_fixture *fixture, const char *daemon,
                        const char *setting);
struct sep_process *efx_create_daemon (struct efx_fixture *fixture,
                                       const char *name,
                                       const char *store_address,
                                       uint32_t store_partitions);
struct sep_process *efx_create_second (struct efx_fixture *fixture,
                                       const char *store_address,
                                       uint32_t store_partitions,
                                       bool knows_relay);
void efx_start_second (struct efx_fixture *fixture,
                       struct sep_process *second);
bool efx_replace_engine (struct efx_fixture *fixture);
void efx_await_exit (struct efx_fixture *fixture);
void efx_start_stream (struct efx_fixture *fixture, struct efx_call *call,
                       uint32_t output_tokens);
void efx_start_stream_as (struct efx_fixture *fixture, struct efx_call *call,
                          uint32_t output_tokens, const char *version);

#endif
