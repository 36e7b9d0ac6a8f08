#include "standin/program.h"
#include "standin/service.h"

#include <argtable2.h>

#define CONNECTIONS_DEFAULT 64

/* Runs the service stand-in until SIGTERM or SIGINT.  */
int
main (int argc, char **argv)
{
  struct arg_int *port
      = arg_int0 (NULL, "port", "N", "0: chosen by the kernel");
  struct arg_int *connections
      = arg_int0 (NULL, "connections", "N", "open at one time");
  struct arg_str *journal
      = arg_str0 (NULL, "journal", "FILE", "events are appended");
  struct arg_str *name = arg_str1 (NULL, "name", "NAME", "of the host");
  struct arg_int *work = arg_int0 (NULL, "work-ms", "N", "time of one call");
  void *table[] = { port, connections, journal, name, work, arg_end (8) };
  connections->ival[0] = CONNECTIONS_DEFAULT;
  work->ival[0] = 5;
  int status = prg_parse (argc, argv, table);
  if (status != 0)
    {
      return status;
    }
  GError *error = NULL;
  struct fs_options options = {
    .port = (uint16_t)port->ival[0],
    .connections = (uint32_t)connections->ival[0],
    .name = name->sval[0],
    .work_ms = (uint32_t)work->ival[0],
    .journal
    = jn_create (journal->count > 0 ? journal->sval[0] : NULL, &error),
  };
  prg_block_signals ();
  struct fs_service *service
      = options.journal == NULL ? NULL : fs_create (&options, &error);
  if (service == NULL)
    {
      return prg_fail (argv[0], error);
    }
  prg_serve (fs_port (service));
}
