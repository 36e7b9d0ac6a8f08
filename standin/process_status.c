#include "standin/process_status.h"

#include <glib.h>
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
