#include "standin/process_status.h"

#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>

/* Returns the most resident memory that the process PID has had, in KiB, or 0
   when it isn't running.  */
uint64_t
pst_memory_peak_kb (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  g_autofree char *text = NULL;
  if (pid <= 0 || !g_file_get_contents (path, &text, NULL, NULL))
    {
      return 0;
    }
  const char *line = strstr (text, "\nVmHWM:");
  return line == NULL
             ? 0
             : g_ascii_strtoull (line + strlen ("\nVmHWM:"), NULL, 10);
}

/* Returns the number of descriptors that the process PID has open, or 0 when
   it isn't running.  */
uint32_t
pst_descriptor_count (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", (int)pid);
  uint32_t count = 0;
  GDir *folder = pid <= 0 ? NULL : g_dir_open (path, 0, NULL);
  while (folder != NULL && g_dir_read_name (folder) != NULL)
    {
      count++;
    }
  if (folder != NULL)
    {
      g_dir_close (folder);
    }
  return count;
}

/* Returns the bytes that the kernel has received for PORT of this host, by
   IPv4, and that no process has read, in KiB.  */
uint64_t
pst_unread_kb (uint16_t port)
{
  g_autofree char *text = NULL;
  uint64_t bytes = 0;
  if (!g_file_get_contents ("/proc/net/tcp", &text, NULL, NULL))
    {
      return 0;
    }
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);
  for (guint i = 1; lines[i] != NULL; i++)
    {
      unsigned local_port = 0;
      unsigned state = 0;
      unsigned unread = 0;
      int fields = sscanf (lines[i], " %*u: %*8x:%4x %*8x:%*4x %2x %*8x:%8x",
                           &local_port, &state, &unread);
      if (fields == 3 && local_port == port && state != TCP_LISTEN)
        {
          bytes += unread;
        }
    }
  return bytes / 1024;
}
