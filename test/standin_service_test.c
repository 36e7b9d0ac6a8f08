#include "standin/service.h"
#include "standin_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define BOOK "/book"
#define SLOT "{\"slot\":\"monday \\\"9\\\"\"}"

/* Exchanges with one service. */
struct service_case
{
  const char *name;
  struct exchange exchanges[EXCHANGES_MAX];
};

static const struct service_case service_cases[] = {
  { .name = "repeated bookings aren't deduplicated",
    .exchanges = { { BOOK, SLOT, 200, "{\"booking\":1,\"slot\":\"monday" },
                   { BOOK, SLOT, 200, "{\"booking\":2,\"slot\":\"monday" } } },
  { .name = "look-ups are repeatable",
    .exchanges = { { "/lookup?job=K-7", NULL, 200, "{\"job\":\"K-7\"" },
                   { "/lookup?job=K-7", NULL, 200, "{\"job\":\"K-7\"" },
                   { "/lookup", NULL, 400, NULL } } },
  { .name = "malformed requests are rejected",
    .exchanges = { { BOOK, "{}", 400, NULL },
                   { BOOK, "nonsense", 400, NULL },
                   { "/none", "{}", 404, NULL } } },
  { .name = "a refused booking isn't run",
    .exchanges = { { "/fault", "{\"not_run\":1}", 200, NULL },
                   { BOOK, SLOT, 503, "X-Not-Run: true" },
                   { BOOK, SLOT, 200, "{\"booking\":1," } } },
  { .name = "a booking whose answer is lost is run",
    .exchanges = { { "/fault", "{\"lose_answers\":1}", 200, NULL },
                   { BOOK, SLOT, STATUS_NONE, NULL },
                   { BOOK, SLOT, 200, "{\"booking\":2," } } },
  { .name = "a leaving host refuses bookings",
    .exchanges = { { "/fault", "{\"leaving\":true}", 200, NULL },
                   { BOOK, SLOT, 503, "\"endpoint_refused\"" },
                   { "/fault", "{\"leaving\":false}", 200, NULL },
                   { BOOK, SLOT, 200, "{\"booking\":1," } } },
  { .name = "a delayed booking is run",
    .exchanges = { { "/fault", "{\"delay_ms\":1000}", 200, NULL },
                   { BOOK, SLOT, STATUS_SILENT, NULL },
                   { "/fault", "{\"delay_ms\":0}", 200, NULL },
                   { BOOK, SLOT, 200, "{\"booking\":2," } } },
};

static void
service_answers_as_specified (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (service_cases); i++)
    {
      const struct service_case *test_case = &service_cases[i];
      const struct fs_options options = { .connections = 8, .name = "desk" };
      GError *error = NULL;
      struct fs_service *service = fs_create (&options, &error);
      assert_non_null (service);
      struct client *client = client_create (fs_port (service));
      client_run (client, test_case->name, test_case->exchanges);
      client_destroy (client);
      fs_destroy (service);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (service_answers_as_specified),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
