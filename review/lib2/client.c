/* Clients. */
#include "lab2.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Returns a connection to PORT, or -1.  */
int
lab_connect (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int descriptor = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  if (descriptor < 0
      || connect (descriptor, (struct sockaddr *)&address, sizeof address)
             != 0)
    {
      close (descriptor);
      return -1;
    }
  setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return descriptor;
}

/* Sets what TEXT shows of the answer.  */
static void
parse (const struct lab_text *text, struct lab_answer *answer)
{
  const char *end = text->length == 0 ? NULL : strstr (text->data, "\r\n\r\n");
  if (end == NULL)
    {
      return;
    }
  size_t head_bytes = (size_t)(end - text->data) + 4;
  lab_clear_answer (answer);
  answer->status = text->length > 12 ? atoi (text->data + 9) : 0;
  answer->head = strndup (text->data, head_bytes);
  answer->body = strndup (text->data + head_bytes, text->length - head_bytes);
  size_t body_bytes = text->length - head_bytes;
  char *length = lab_header (answer->head, "Content-Length");
  char *coding = lab_header (answer->head, "Transfer-Encoding");
  if (length != NULL)
    {
      answer->complete = body_bytes >= strtoul (length, NULL, 10);
    }
  else if (coding != NULL)
    {
      answer->complete = strstr (answer->body, "0\r\n\r\n") != NULL;
    }
  else
    {
      answer->complete = answer->closed;
    }
  free (length);
  free (coding);
}

/* Reads the answer on DESCRIPTOR until UNTIL_MS.  Returns whether it is
   complete.  ANSWER, all zero at first, gets what has arrived.  */
bool
lab_read_answer (int descriptor, int64_t until_ms, struct lab_answer *answer)
{
  struct lab_text text = { 0 };
  char buffer[65536];
  while (!answer->complete && !answer->closed)
    {
      int64_t left_ms = until_ms - lab_now_ms ();
      struct pollfd readable = { .fd = descriptor, .events = POLLIN };
      if (left_ms <= 0 || poll (&readable, 1, (int)left_ms) <= 0)
        {
          break;
        }
      ssize_t count = recv (descriptor, buffer, sizeof buffer, 0);
      answer->closed = count <= 0;
      if (count > 0)
        {
          lab_append (&text, buffer, (size_t)count);
        }
      parse (&text, answer);
    }
  if (answer->complete)
    {
      answer->answered_ms = lab_now_ms ();
    }
  free (text.data);
  return answer->complete;
}

/* Frees what ANSWER holds.  */
void
lab_clear_answer (struct lab_answer *answer)
{
  free (answer->head);
  free (answer->body);
  answer->head = NULL;
  answer->body = NULL;
}
