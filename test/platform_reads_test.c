/* Tests what the log tells of reads of the platform that fail: those of the
   host list and of the streams of the platform's log. */
#include "base/clock.h"
#include "base/log.h"
#include "daemon/log_io.h"
#include "daemon/poller.h"
#include "standin/http_server.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define TIMEOUT_US (20 * CLK_S_US)
#define READS_PER_PHASE 2

/* How the platform answers for a while. */
struct phase
{
  const char *hosts; /* body for the host list */
  const char *page;  /* body for a stream of the log */
  int status;
  enum err_kind kind; /* of the reads */
};

static const struct phase phases[] = {
  { "{\"version\":1,\"hosts\":[]}", "{\"records\":[],\"next\":0}", 200,
    ERR_NONE },
  { "{\"version\":1}", "{\"records\":[{}],\"next\":1}", 200, ERR_PROTOCOL },
  { "nonsense", "nonsense", 200, ERR_PROTOCOL },
  { "", "", 500, ERR_LOG_UNAVAILABLE },
  { "{\"version\":2,\"hosts\":[]}", "{\"records\":[],\"next\":0}", 200,
    ERR_NONE },
};

struct platform
{
  _Atomic size_t phase;   /* index in `phases' */
  _Atomic uint32_t hosts; /* reads in this phase */
  _Atomic uint32_t pages; /* reads in this phase */
};

static void
answer (void *user, const struct hs_request *request, struct hs_answer *answer)
{
  struct platform *platform = user;
  bool hosts = g_str_has_prefix (request->path, "/v1/hosts");
  const struct phase *phase = &phases[atomic_load (&platform->phase)];
  answer->status = phase->status;
  g_string_assign (answer->body, hosts ? phase->hosts : phase->page);
  atomic_fetch_add (hosts ? &platform->hosts : &platform->pages, 1);
}

static void
ignore_host_list (const struct hl_list *list, void *user_data)
{
  (void)list;
  (void)user_data;
}

static void
ignore_page (const char *stream, enum err_kind result,
             const struct plog_page *page, int64_t requested_us,
             void *user_data)
{
  (void)stream;
  (void)result;
  (void)page;
  (void)requested_us;
  (void)user_data;
}

/* Lets the threads read from SERVER through all phases.  */
static void
run_phases (struct platform *platform, const struct hs_server *server)
{
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u", hs_port (server));
  char *urls[] = { url, NULL };
  static const char *const streams[] = { "config", NULL };
  const struct pol_callbacks callbacks = { .on_host_list = ignore_host_list };
  const struct lio_params params
      = { .urls = urls, .streams = streams, .on_page = ignore_page };
  struct pol_poller *poller = pol_create (url, &callbacks, NULL);
  struct lio_io *io = lio_create (&params);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  for (size_t i = 0; i < G_N_ELEMENTS (phases); i++)
    {
      atomic_store (&platform->phase, i);
      atomic_store (&platform->hosts, 0);
      atomic_store (&platform->pages, 0);
      while ((atomic_load (&platform->hosts) < READS_PER_PHASE
              || atomic_load (&platform->pages) < READS_PER_PHASE)
             && clk_monotonic_us () < end_us)
        {
          g_usleep ((gulong)(5 * CLK_MS_US));
        }
    }
  pol_destroy (poller);
  lio_destroy (io);
}

/* Returns the kinds of error in the lines of LOG that contain EVENT, each
   followed by a space.  */
static char *
find_kinds (const char *log, const char *event)
{
  GString *kinds = g_string_new (NULL);
  g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
  for (size_t i = 0; lines[i] != NULL; i++)
    {
      const char *kind = strstr (lines[i], " kind=");
      if (strstr (lines[i], event) != NULL && kind != NULL)
        {
          g_string_append_printf (kinds, "%s ", kind + strlen (" kind="));
        }
    }
  return g_string_free (kinds, FALSE);
}

/* The log has one line for each change of the outcome of reads, however many
   reads there are.  Guards against a host list that was never read, and a
   stream that a malformed record held up, without a line.  */
static void
failed_reads_are_logged (void **state)
{
  (void)state;
  struct platform platform = { 0 };
  const struct hs_options options
      = { .connections = 8, .handler = answer, .user = &platform };
  struct hs_server *server = hs_create (&options, NULL);
  char *path = NULL;
  char *log = NULL;
  int file = g_file_open_tmp (NULL, &path, NULL);
  int output = dup (STDOUT_FILENO);
  dup2 (file, STDOUT_FILENO);
  run_phases (&platform, server);
  lg_flush ();
  dup2 (output, STDOUT_FILENO);
  assert_true (g_file_get_contents (path, &log, NULL, NULL));
  g_autofree char *hosts = find_kinds (log, "event=host-list-read ");
  g_autofree char *pages = find_kinds (log, "event=log-read stream=config ");
  GString *expected = g_string_new (NULL);
  for (size_t i = 1; i < G_N_ELEMENTS (phases); i++)
    {
      if (phases[i].kind != phases[i - 1].kind)
        {
          g_string_append_printf (expected, "%s ",
                                  err_info (phases[i].kind)->name);
        }
    }
  assert_string_equal (hosts, expected->str);
  assert_string_equal (pages, expected->str);
  g_string_free (expected, TRUE);
  close (output);
  close (file);
  unlink (path);
  g_free (path);
  g_free (log);
  hs_destroy (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (failed_reads_are_logged),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
