#include "standin/platform.h"
#include "standin/program.h"

#include <argtable2.h>
#include <stdio.h>

#define HOSTS_MAX 1024
#define CONNECTIONS_DEFAULT 128
#define HOST_PART_COUNT 3

/* Adds the host in TEXT, which is NAME,ADDRESS,ROLE, to the host list.
   Returns false when TEXT has fewer parts.  */
static gboolean
add_host (struct fp_platform *platform, const char *text)
{
  gchar **parts = g_strsplit (text, ",", HOST_PART_COUNT);
  gboolean valid = g_strv_length (parts) == HOST_PART_COUNT;
  if (valid)
    {
      const struct hl_host host = {
        .name = parts[0],
        .address = parts[1],
        .role = parts[2],
      };
      fp_add_host (platform, &host);
    }
  g_strfreev (parts);
  return valid;
}

/* Runs the platform stand-in until SIGTERM or SIGINT.  */
int
main (int argc, char **argv)
{
  struct arg_int *port
      = arg_int0 (NULL, "port", "N", "0: chosen by the kernel");
  struct arg_int *connections
      = arg_int0 (NULL, "connections", "N", "open at one time");
  struct arg_str *journal
      = arg_str0 (NULL, "journal", "FILE", "events are appended");
  struct arg_int *appends
      = arg_int0 (NULL, "appends-per-s", "N", "limit of the log");
  struct arg_int *retention
      = arg_int0 (NULL, "retention-ms", "N", "time that records are kept");
  struct arg_int *lag
      = arg_int0 (NULL, "list-lag-ms", "N", "of the host list");
  struct arg_int *weights
      = arg_int0 (NULL, "weights-per-min", "N", "limit of the weight store");
  struct arg_str *hosts = arg_strn (NULL, "host", "NAME,ADDRESS,ROLE", 0,
                                    HOSTS_MAX, "listed at the start");
  void *table[] = { port, connections, journal, appends,    retention,
                    lag,  weights,     hosts,   arg_end (8) };
  connections->ival[0] = CONNECTIONS_DEFAULT;
  appends->ival[0] = 400;
  retention->ival[0] = 600000;
  lag->ival[0] = 1000;
  weights->ival[0] = 600;
  int status = prg_parse (argc, argv, table);
  if (status != 0)
    {
      return status;
    }
  GError *error = NULL;
  struct fp_options options = {
    .port = (uint16_t)port->ival[0],
    .connections = (uint32_t)connections->ival[0],
    .appends_per_s = (uint32_t)appends->ival[0],
    .retention_ms = (uint32_t)retention->ival[0],
    .list_lag_ms = (uint32_t)lag->ival[0],
    .weights_per_min = (uint32_t)weights->ival[0],
    .journal
    = jn_create (journal->count > 0 ? journal->sval[0] : NULL, &error),
  };
  prg_block_signals ();
  struct fp_platform *platform
      = options.journal == NULL ? NULL : fp_create (&options, &error);
  if (platform == NULL)
    {
      return prg_fail (argv[0], error);
    }
  for (int i = 0; i < hosts->count; i++)
    {
      if (!add_host (platform, hosts->sval[i]))
        {
          fputs ("give --host as NAME,ADDRESS,ROLE\n", stderr);
          return 2;
        }
    }
  prg_serve (fp_port (platform));
}
