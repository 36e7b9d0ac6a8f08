/* Clock, record, texts and HTTP requests of the laboratory. */
#include "lab2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;
static int64_t record_start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* Returns the time of the clock that always runs, in milliseconds.  */
int64_t
lab_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
lab_sleep_ms (int64_t duration_ms)
{
  struct timespec duration = { .tv_sec = duration_ms / 1000,
                               .tv_nsec = duration_ms % 1000 * 1000000 };
  while (duration_ms > 0 && nanosleep (&duration, &duration) != 0)
    {
    }
}

/* Ends the program since the case can't run.  */
void
lab_fail (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
  lab_end_daemons ();
  _exit (2);
}

/* Returns whether the run has the disruption: TROUBLE isn't 0.  */
bool
lab_has_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");
  return trouble == NULL || strcmp (trouble, "0") != 0;
}

/* Opens the record, the file that LAB_RECORD names.  */
void
lab_open_record (void)
{
  const char *path = getenv ("LAB_RECORD");
  record_file = fopen (path == NULL ? "record.txt" : path, "w");
  record_start_ms = lab_now_ms ();
  if (record_file == NULL)
    {
      lab_fail ("the record can't be written");
    }
}

/* Adds a line to the record, with the time since it was opened.  */
void
lab_record (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8.3f ",
           (double)(lab_now_ms () - record_start_ms) / 1000);
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

void
lab_append (struct lab_text *text, const void *data, size_t bytes)
{
  if (text->length + bytes + 1 > text->capacity)
    {
      text->capacity = 2 * (text->length + bytes + 1);
      text->data = realloc (text->data, text->capacity);
      if (text->data == NULL)
        {
          abort ();
        }
    }
  if (bytes > 0)
    {
      memcpy (text->data + text->length, data, bytes);
    }
  text->length += bytes;
  text->data[text->length] = '\0';
}

void
lab_print (struct lab_text *text, const char *format, ...)
{
  char *line = NULL;
  va_list arguments;
  va_start (arguments, format);
  int bytes = vasprintf (&line, format, arguments);
  va_end (arguments);
  if (bytes < 0)
    {
      abort ();
    }
  lab_append (text, line, (size_t)bytes);
  free (line);
}

/* Returns the value of the header NAME in HEAD, allocated, or NULL.  */
char *
lab_header (const char *head, const char *name)
{
  size_t bytes = strlen (name);
  const char *line = strstr (head, "\r\n");
  while (line != NULL)
    {
      line += 2;
      if (strncasecmp (line, name, bytes) == 0 && line[bytes] == ':')
        {
          const char *value = line + bytes + 1;
          value += strspn (value, " ");
          return strndup (value, strcspn (value, "\r\n"));
        }
      line = strstr (line, "\r\n");
    }
  return NULL;
}

/* Opens LISTENER on a free loopback port, and returns the port.  */
uint16_t
lab_listen (int *listener)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t bytes = sizeof address;
  *listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (*listener < 0
      || bind (*listener, (struct sockaddr *)&address, bytes) != 0
      || listen (*listener, 512) != 0
      || getsockname (*listener, (struct sockaddr *)&address, &bytes) != 0)
    {
      lab_fail ("can't listen: %s", strerror (errno));
    }
  return ntohs (address.sin_port);
}

void
lab_start_thread (void *(*run) (void *), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    {
      lab_fail ("no thread can be started");
    }
  pthread_attr_destroy (&attributes);
}

/* Writes all of DATA.  Returns false if the connection has ended.  */
bool
lab_write (int descriptor, const void *data, size_t bytes)
{
  const char *rest = data;
  while (bytes > 0)
    {
      ssize_t written = send (descriptor, rest, bytes, MSG_NOSIGNAL);
      if (written <= 0)
        {
          return false;
        }
      rest += written;
      bytes -= (size_t)written;
    }
  return true;
}

/* Reads the next request on DESCRIPTOR, whose body has a length.  UNREAD holds
   what has arrived after the previous one.  Returns false at the end of the
   connection.  */
bool
lab_read_request (int descriptor, struct lab_text *unread,
                  struct lab_request *request)
{
  char buffer[65536];
  size_t head_bytes = 0;
  size_t body_bytes = 0;
  while (true)
    {
      char *end = head_bytes > 0 || unread->length == 0
                      ? NULL
                      : strstr (unread->data, "\r\n\r\n");
      if (end != NULL)
        {
          head_bytes = (size_t)(end - unread->data) + 4;
          request->head = strndup (unread->data, head_bytes - 2);
          char *length = lab_header (request->head, "Content-Length");
          body_bytes = length == NULL ? 0 : strtoul (length, NULL, 10);
          free (length);
        }
      if (head_bytes > 0 && unread->length >= head_bytes + body_bytes)
        {
          break;
        }
      ssize_t count = recv (descriptor, buffer, sizeof buffer, 0);
      if (count <= 0)
        {
          if (head_bytes > 0)
            {
              free (request->head);
            }
          return false;
        }
      lab_append (unread, buffer, (size_t)count);
    }
  request->body = malloc (body_bytes + 1);
  memcpy (request->body, unread->data + head_bytes, body_bytes);
  request->body[body_bytes] = '\0';
  request->body_bytes = body_bytes;
  unread->length -= head_bytes + body_bytes;
  memmove (unread->data, unread->data + head_bytes + body_bytes,
           unread->length + 1);
  return true;
}

void
lab_clear_request (struct lab_request *request)
{
  free (request->head);
  free (request->body);
}
