/* Time, the record, sockets and HTTP messages.  */
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static FILE *record;
static double began_s;
static char folder[64];
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
clock_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
lab_now_s (void)
{
  return clock_s () - began_s;
}

void
lab_sleep_s (double seconds)
{
  struct timespec time = { .tv_sec = (time_t)seconds };
  if (seconds <= 0)
    {
      return;
    }
  time.tv_nsec = (long)((seconds - (double)time.tv_sec) * 1e9);
  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    {
    }
}

void
lab_begin (const char *record_path)
{
  began_s = clock_s ();
  signal (SIGPIPE, SIG_IGN);
  record = fopen (record_path, "w");
  snprintf (folder, sizeof folder, "/tmp/review-XXXXXX");
  if (record == NULL || mkdtemp (folder) == NULL)
    {
      fprintf (stderr, "can't write the record or create a folder\n");
      exit (LAB_NOT_RUN);
    }
}

const char *
lab_folder (void)
{
  return folder;
}

bool
lab_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

void
lab_record (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ", lab_now_s ());
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

/* Ends the script's own child processes and removes its folder.  */
int
lab_end (enum lab_result result)
{
  char command[128];
  extern void lab_daemons_end (void);
  lab_daemons_end ();
  lab_record ("result: %s", result == LAB_HELD     ? "the rule held"
                            : result == LAB_BROKEN ? "the rule was broken"
                                                   : "the case couldn't run");
  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (getenv ("KEEP") == NULL && system (command) != 0)
    {
      fprintf (stderr, "can't remove %s\n", folder);
    }
  return result;
}

void
lab_fail (const char *format, ...)
{
  char text[512];
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  lab_record ("can't run: %s", text);
  fprintf (stderr, "can't run: %s\n", text);
  exit (lab_end (LAB_NOT_RUN));
}

bool
lab_header (const struct lab_message *message, const char *name, char *value,
            size_t value_bytes)
{
  size_t name_bytes = strlen (name);
  for (const char *line = message->head; *line != '\0';)
    {
      const char *end = strstr (line, "\r\n");
      size_t bytes = end == NULL ? strlen (line) : (size_t)(end - line);
      if (bytes > name_bytes && strncasecmp (line, name, name_bytes) == 0
          && line[name_bytes] == ':')
        {
          const char *start = line + name_bytes + 1;
          while (*start == ' ')
            {
              start++;
            }
          snprintf (value, value_bytes, "%.*s", (int)(line + bytes - start),
                    start);
          return true;
        }
      line += bytes + (end == NULL ? 0 : 2);
    }
  return false;
}

uint64_t
lab_query (const char *url, const char *name)
{
  const char *found = strstr (url, name);
  return found == NULL ? 0 : strtoull (found + strlen (name), NULL, 10);
}

bool
lab_send (int fd, const void *bytes, size_t count)
{
  const char *at = bytes;
  while (count > 0)
    {
      ssize_t sent = send (fd, at, count, MSG_NOSIGNAL);
      if (sent <= 0)
        {
          return false;
        }
      at += sent;
      count -= (size_t)sent;
    }
  return true;
}

bool
lab_send_text (int fd, const char *format, ...)
{
  char text[32768];
  va_list arguments;
  va_start (arguments, format);
  int bytes = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  return bytes >= 0 && (size_t)bytes < sizeof text
         && lab_send (fd, text, (size_t)bytes);
}

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  char ip[LAB_ADDRESS_BYTES];
  int port = 0;
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  if (sscanf (text, "%31[^:]:%d", ip, &port) != 2
      || inet_pton (AF_INET, ip, &address->sin_addr) != 1)
    {
      return false;
    }
  address->sin_port = htons ((uint16_t)port);
  return true;
}

/* Returns a socket that is bound to ADDRESS, whose port is set if it is 0.  */
static int
bind_socket (char address[LAB_ADDRESS_BYTES])
{
  struct sockaddr_in name;
  socklen_t bytes = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int reuse = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (!parse_address (address, &name)
      || bind (fd, (struct sockaddr *)&name, sizeof name) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, (struct sockaddr *)&name, &bytes);
  snprintf (address, LAB_ADDRESS_BYTES, "127.0.0.1:%u", ntohs (name.sin_port));
  return fd;
}

/* Sets ADDRESS to one with a free port.  The port stays bound, without a
   listener, so that no other program takes it before the daemon listens.  */
void
lab_free_port (char address[LAB_ADDRESS_BYTES])
{
  snprintf (address, LAB_ADDRESS_BYTES, "127.0.0.1:0");
  if (bind_socket (address) < 0)
    {
      lab_fail ("no port is free");
    }
}

int
lab_connect (const char *address)
{
  struct sockaddr_in name;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!parse_address (address, &name)
      || connect (fd, (struct sockaddr *)&name, sizeof name) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/* Reads until the head of a request is in CONNECTION.  Returns its bytes, with
   the empty line; 0 at the end of the connection.  */
static size_t
read_head (struct lab_connection *connection)
{
  for (;;)
    {
      connection->bytes[connection->used] = '\0';
      char *end = strstr (connection->bytes, "\r\n\r\n");
      if (end != NULL)
        {
          return (size_t)(end - connection->bytes) + 4;
        }
      size_t room = sizeof connection->bytes - 1 - connection->used;
      ssize_t count
          = room == 0 ? 0
                      : recv (connection->fd,
                              connection->bytes + connection->used, room, 0);
      if (count <= 0)
        {
          return 0;
        }
      connection->used += (size_t)count;
    }
}

static void
use_bytes (struct lab_connection *connection, size_t count)
{
  connection->used -= count;
  memmove (connection->bytes, connection->bytes + count, connection->used);
}

static bool
read_body (struct lab_connection *connection, struct lab_message *message)
{
  size_t at = 0;
  message->body = malloc (message->body_bytes + 1);
  while (at < message->body_bytes)
    {
      size_t take = connection->used;
      if (take > message->body_bytes - at)
        {
          take = message->body_bytes - at;
        }
      memcpy (message->body + at, connection->bytes, take);
      use_bytes (connection, take);
      at += take;
      if (at == message->body_bytes)
        {
          break;
        }
      ssize_t count = recv (connection->fd, connection->bytes,
                            sizeof connection->bytes - 1, 0);
      if (count <= 0)
        {
          return false;
        }
      connection->used = (size_t)count;
    }
  message->body[message->body_bytes] = '\0';
  return true;
}

/* Reads the next request.  Returns false at the end of the connection.  */
static bool
read_request (struct lab_connection *connection, struct lab_message *message)
{
  char length[32];
  size_t head_bytes = read_head (connection);
  *message = (struct lab_message){ .body_bytes = 0 };
  char *line_end = head_bytes == 0 ? NULL : strstr (connection->bytes, "\r\n");
  if (line_end == NULL
      || sscanf (connection->bytes, "%15s %1023s", message->method,
                 message->url)
             != 2)
    {
      return false;
    }
  size_t line_bytes = (size_t)(line_end - connection->bytes) + 2;
  snprintf (message->head, sizeof message->head, "%.*s",
            (int)(head_bytes - line_bytes - 2),
            connection->bytes + line_bytes);
  use_bytes (connection, head_bytes);
  if (lab_header (message, "Content-Length", length, sizeof length))
    {
      message->body_bytes = strtoul (length, NULL, 10);
      return read_body (connection, message);
    }
  return true;
}

struct lab_server
{
  int fd;
  lab_handler handler;
  void *context;
  pthread_mutex_t lock;
  int open[1024]; /* descriptors of its connections */
  size_t open_count;
  bool stopped;
};

struct accepted
{
  struct lab_server *server;
  int fd;
};

static void
add_open (struct lab_server *server, int fd)
{
  pthread_mutex_lock (&server->lock);
  if (server->open_count < 1024)
    {
      server->open[server->open_count++] = fd;
    }
  pthread_mutex_unlock (&server->lock);
}

static void
remove_open (struct lab_server *server, int fd)
{
  pthread_mutex_lock (&server->lock);
  for (size_t i = 0; i < server->open_count; i++)
    {
      if (server->open[i] == fd)
        {
          server->open[i] = server->open[--server->open_count];
          break;
        }
    }
  close (fd);
  pthread_mutex_unlock (&server->lock);
}

static void *
serve_connection (void *data)
{
  struct accepted *accepted = data;
  struct lab_server *server = accepted->server;
  struct lab_connection *connection = calloc (1, sizeof *connection);
  struct lab_message *message = calloc (1, sizeof *message);
  connection->fd = accepted->fd;
  free (accepted);
  bool open = true;
  while (open && read_request (connection, message))
    {
      open = server->handler (server->context, connection, message);
      free (message->body);
      message->body = NULL;
    }
  remove_open (server, connection->fd);
  free (message->body);
  free (message);
  free (connection->note);
  free (connection);
  return NULL;
}

static void *
accept_connections (void *data)
{
  struct lab_server *server = data;
  for (;;)
    {
      int on = 1;
      int fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        {
          if (server->stopped)
            {
              return NULL;
            }
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      add_open (server, fd);
      struct accepted *accepted = malloc (sizeof *accepted);
      *accepted = (struct accepted){ server, fd };
      pthread_t thread;
      if (pthread_create (&thread, NULL, serve_connection, accepted) != 0)
        {
          lab_fail ("no thread can be started");
        }
      pthread_detach (thread);
    }
}

static struct lab_server *
serve (int fd, lab_handler handler, void *context)
{
  struct lab_server *server = calloc (1, sizeof *server);
  pthread_t thread;
  *server = (struct lab_server){
    .fd = fd,
    .handler = handler,
    .context = context,
    .lock = PTHREAD_MUTEX_INITIALIZER,
  };
  if (listen (fd, 512) != 0
      || pthread_create (&thread, NULL, accept_connections, server) != 0)
    {
      lab_fail ("a stand-in can't listen");
    }
  pthread_detach (thread);
  return server;
}

struct lab_server *
lab_serve (lab_handler handler, void *context, char address[LAB_ADDRESS_BYTES])
{
  snprintf (address, LAB_ADDRESS_BYTES, "127.0.0.1:0");
  int fd = bind_socket (address);
  if (fd < 0)
    {
      lab_fail ("no port is free");
    }
  return serve (fd, handler, context);
}

/* Ends SERVER as the end of its process would: the listener is closed and all
   connections are reset or closed.  */
void
lab_stop_serving (struct lab_server *server)
{
  server->stopped = true;
  shutdown (server->fd, SHUT_RDWR);
  close (server->fd);
  pthread_mutex_lock (&server->lock);
  for (size_t i = 0; i < server->open_count; i++)
    {
      shutdown (server->open[i], SHUT_RDWR);
    }
  pthread_mutex_unlock (&server->lock);
}

/* Serves at ADDRESS, at which another server has ended.  Returns NULL when the
   address can't be used.  */
struct lab_server *
lab_serve_at (lab_handler handler, void *context, const char *address)
{
  char name[LAB_ADDRESS_BYTES];
  snprintf (name, sizeof name, "%s", address);
  int fd = bind_socket (name);
  return fd < 0 ? NULL : serve (fd, handler, context);
}
