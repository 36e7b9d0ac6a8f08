/* A proxy before the store that cuts the daemon off: what is under way and all
   that begins during the cut never arrives. */
#include "lab2.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 10

struct link
{
  int ends[2]; /* the daemon's and the store's */
  bool lost;   /* was open during the cut */
};

static int listener;
static uint16_t port;
static volatile bool cut;
static volatile int64_t newest_list_ms;

/* Passes on what the end FROM of LINK has sent.  Returns false at the end of
   the link.  */
static bool
pass_on (struct link *link, int from)
{
  char buffer[65536];
  ssize_t count = recv (link->ends[from], buffer, sizeof buffer - 1, 0);
  if (count <= 0)
    {
      return false;
    }
  buffer[count] = '\0';
  if (from == 0 && strstr (buffer, "Topic=keyed.servers&") != NULL)
    {
      newest_list_ms = lab_now_ms ();
    }
  return link->lost || lab_write (link->ends[1 - from], buffer, (size_t)count);
}

static void *
run_link (void *context)
{
  struct link *link = context;
  struct pollfd ends[2];
  bool open = link->ends[1] >= 0;
  while (open)
    {
      for (int i = 0; i < 2; i++)
        {
          ends[i] = (struct pollfd){ .fd = link->ends[i], .events = POLLIN };
        }
      link->lost = link->lost || cut;
      if (poll (ends, 2, POLL_MS) > 0)
        {
          link->lost = link->lost || cut;
          for (int i = 0; open && i < 2; i++)
            {
              open = ends[i].revents == 0 || pass_on (link, i);
            }
        }
    }
  close (link->ends[0]);
  close (link->ends[1]);
  free (link);
  return NULL;
}

static void *
accept_links (void *context)
{
  (void)context;
  while (true)
    {
      int descriptor = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (descriptor >= 0)
        {
          struct link *link = calloc (1, sizeof *link);
          link->ends[0] = descriptor;
          link->ends[1] = lab_connect (lab_store_port ());
          lab_start_thread (run_link, link);
        }
    }
  return NULL;
}

/* Starts the proxy.  Returns its port.  */
uint16_t
lab_start_proxy (void)
{
  port = lab_listen (&listener);
  lab_start_thread (accept_links, NULL);
  return port;
}

/* Begins or ends the cut.  */
void
lab_set_cut (bool is_cut)
{
  cut = is_cut;
}

/* Returns when the daemon has last asked for the list of runners.  */
int64_t
lab_newest_list_ms (void)
{
  return newest_list_ms;
}
