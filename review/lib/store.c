/* The platform's store, as far as entry daemons use it: topics with one
   partition, keyed topics, and groups.  */
#include "lab.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TOPICS_MAX 32
#define RECORDS_MAX 65536
#define MEMBERS_MAX 64
#define PARTITIONS 16
#define APPEND_MS 3

struct record
{
  uint8_t *bytes;
  uint32_t count;
};

struct topic
{
  char name[64];
  struct record *records;
  uint64_t end;
};

struct member
{
  char name[96];
  double expires_s;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended = PTHREAD_COND_INITIALIZER;
static struct topic topics[TOPICS_MAX];
static size_t topic_count;
static struct member members[MEMBERS_MAX];
static size_t member_count;
static char owners[PARTITIONS][96]; /* empty: nobody */
static uint64_t generation;

static struct topic *
find_topic (const char *name)
{
  for (size_t i = 0; i < topic_count; i++)
    {
      if (strcmp (topics[i].name, name) == 0)
        {
          return &topics[i];
        }
    }
  if (topic_count == TOPICS_MAX)
    {
      lab_fail ("too many topics");
    }
  struct topic *topic = &topics[topic_count++];
  snprintf (topic->name, sizeof topic->name, "%s", name);
  topic->records = calloc (RECORDS_MAX, sizeof *topic->records);
  return topic;
}

/* Appends COUNT BYTES, the content of a record.  The caller holds the lock. */
static void
append (struct topic *topic, const uint8_t *bytes, uint32_t count)
{
  if (topic->end == RECORDS_MAX)
    {
      lab_fail ("too many records");
    }
  struct record *record = &topic->records[topic->end++];
  record->bytes = malloc (count + 1);
  memcpy (record->bytes, bytes, count);
  record->count = count;
  pthread_cond_broadcast (&appended);
}

/* Writes VALUE, or the removal of KEY if it is NULL, as the operator and the
   runners do.  */
void
lab_store_put (const char *topic, const char *key, const char *value)
{
  size_t key_bytes = strlen (key);
  size_t value_bytes = value == NULL ? 0 : strlen (value);
  uint8_t *bytes = malloc (1 + key_bytes + value_bytes + 1);
  bytes[0] = (uint8_t)key_bytes;
  memcpy (bytes + 1, key, key_bytes);
  memcpy (bytes + 1 + key_bytes, value == NULL ? "" : value, value_bytes);
  pthread_mutex_lock (&lock);
  append (find_topic (topic), bytes, (uint32_t)(1 + key_bytes + value_bytes));
  pthread_mutex_unlock (&lock);
  free (bytes);
}

static void
put_number (uint8_t *bytes, uint64_t value, size_t count)
{
  for (size_t i = count; i-- > 0; value >>= 8)
    {
      bytes[i] = (uint8_t)value;
    }
}

static bool
answer (int fd, int status, const char *type, const void *body, size_t bytes)
{
  static const char *const reasons[]
      = { [200 / 100] = "OK", [400 / 100] = "Refused" };
  return lab_send_text (fd,
                        "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
                        "Content-Length: %zu\r\n\r\n",
                        status, reasons[status / 100], type, bytes)
         && lab_send (fd, body, bytes);
}

static bool
answer_json (int fd, int status, const char *text)
{
  return answer (fd, status, "application/json", text, strlen (text));
}

static void
topic_of (const char *url, char *name, size_t bytes)
{
  const char *found = strstr (url, "Topic=");
  const char *start = found == NULL ? "" : found + strlen ("Topic=");
  snprintf (name, bytes, "%.*s", (int)strcspn (start, "& "), start);
}

static bool
read_records (int fd, const char *url)
{
  char name[64];
  topic_of (url, name, sizeof name);
  uint64_t from = lab_query (url, "From=");
  double until_s = lab_now_s () + (double)lab_query (url, "WaitMs=") / 1000;
  pthread_mutex_lock (&lock);
  struct topic *topic = find_topic (name);
  while (topic->end <= from && lab_now_s () < until_s)
    {
      struct timespec time;
      clock_gettime (CLOCK_REALTIME, &time);
      time.tv_nsec += 10000000;
      if (time.tv_nsec >= 1000000000)
        {
          time.tv_sec++;
          time.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&appended, &lock, &time);
    }
  size_t bytes = 16;
  uint64_t end = from;
  while (end < topic->end && bytes < 1048576)
    {
      bytes += 4 + topic->records[end++].count;
    }
  uint8_t *body = malloc (bytes);
  put_number (body, topic->end, 8);
  put_number (body + 8, 0, 8);
  size_t at = 16;
  for (uint64_t i = from; i < end; i++)
    {
      const struct record *record = &topic->records[i];
      put_number (body + at, record->count, 4);
      memcpy (body + at + 4, record->bytes, record->count);
      at += 4 + record->count;
    }
  pthread_mutex_unlock (&lock);
  bool sent = answer (fd, 200, "application/octet-stream", body, bytes);
  free (body);
  return sent;
}

static size_t
encode_base64 (const uint8_t *bytes, size_t count, char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                               "uvwxyz0123456789+/";
  size_t at = 0;
  for (size_t i = 0; i < count; i += 3)
    {
      uint32_t left = (uint32_t)(count - i);
      uint32_t group = (uint32_t)bytes[i] << 16;
      group |= left > 1 ? (uint32_t)bytes[i + 1] << 8 : 0;
      group |= left > 2 ? bytes[i + 2] : 0;
      text[at++] = digits[group >> 18];
      text[at++] = digits[group >> 12 & 63];
      text[at++] = left > 1 ? digits[group >> 6 & 63] : '=';
      text[at++] = left > 2 ? digits[group & 63] : '=';
    }
  text[at] = '\0';
  return at;
}

static bool
is_newest (const struct topic *topic, uint64_t index)
{
  const struct record *record = &topic->records[index];
  for (uint64_t i = index + 1; i < topic->end; i++)
    {
      const struct record *later = &topic->records[i];
      if (later->bytes[0] == record->bytes[0]
          && memcmp (later->bytes + 1, record->bytes + 1, record->bytes[0])
                 == 0)
        {
          return false;
        }
    }
  return record->count > 1u + record->bytes[0];
}

static bool
list_newest (int fd, const char *url)
{
  char name[64];
  topic_of (url, name, sizeof name);
  pthread_mutex_lock (&lock);
  const struct topic *topic = find_topic (name);
  size_t room = 256;
  for (uint64_t i = 0; i < topic->end; i++)
    {
      room += is_newest (topic, i) ? topic->records[i].count * 2 + 512 : 0;
    }
  char *text = malloc (room);
  size_t at = (size_t)sprintf (text, "{\"Items\":[");
  bool first = true;
  for (uint64_t i = 0; i < topic->end; i++)
    {
      const struct record *record = &topic->records[i];
      if (!is_newest (topic, i))
        {
          continue;
        }
      size_t key_bytes = record->bytes[0];
      at += (size_t)sprintf (text + at, "%s{\"Key\":\"%.*s\",\"Value\":\"",
                             first ? "" : ",", (int)key_bytes,
                             (const char *)record->bytes + 1);
      at += encode_base64 (record->bytes + 1 + key_bytes,
                           record->count - 1 - key_bytes, text + at);
      at += (size_t)sprintf (text + at, "\",\"Offset\":%lu}",
                             (unsigned long)i);
      first = false;
    }
  sprintf (text + at, "],\"HasMore\":false,\"End\":%lu}",
           (unsigned long)topic->end);
  pthread_mutex_unlock (&lock);
  bool sent = answer_json (fd, 200, text);
  free (text);
  return sent;
}

static bool
append_records (int fd, const struct lab_message *request)
{
  char name[64];
  char text[96];
  topic_of (request->url, name, sizeof name);
  if (strcmp (name, "keyed.op") == 0 || strcmp (name, "keyed.servers") == 0)
    {
      return answer_json (fd, 403, "{}");
    }
  lab_sleep_s (APPEND_MS / 1000.0);
  pthread_mutex_lock (&lock);
  struct topic *topic = find_topic (name);
  uint64_t offset = topic->end;
  const uint8_t *bytes = (const uint8_t *)request->body;
  size_t left = request->body_bytes;
  while (left >= 4)
    {
      uint32_t count = (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16
                       | (uint32_t)bytes[2] << 8 | bytes[3];
      if (count > left - 4)
        {
          break;
        }
      append (topic, bytes + 4, count);
      bytes += 4 + count;
      left -= 4 + count;
    }
  snprintf (text, sizeof text, "{\"Offset\":%lu,\"End\":%lu}",
            (unsigned long)offset, (unsigned long)topic->end);
  pthread_mutex_unlock (&lock);
  return answer_json (fd, 200, text);
}

static bool
text_field (const char *json, const char *name, char *value, size_t bytes)
{
  char pattern[64];
  snprintf (pattern, sizeof pattern, "\"%s\":\"", name);
  const char *found = json == NULL ? NULL : strstr (json, pattern);
  if (found == NULL)
    {
      return false;
    }
  found += strlen (pattern);
  snprintf (value, bytes, "%.*s", (int)strcspn (found, "\""), found);
  return true;
}

static void
remove_member (size_t index)
{
  for (uint32_t i = 0; i < PARTITIONS; i++)
    {
      if (strcmp (owners[i], members[index].name) == 0)
        {
          owners[i][0] = '\0';
        }
    }
  members[index] = members[--member_count];
  generation++;
}

static void
expire_members (void)
{
  for (size_t i = member_count; i-- > 0;)
    {
      if (lab_now_s () > members[i].expires_s)
        {
          remove_member (i);
        }
    }
}

/* Gives the joining member NAME its even part of the partitions: what nobody
   owns is taken, and what is too much is given up at once, as NAME learns of
   it with this answer.  */
static void
deal_partitions (const char *name)
{
  uint32_t most = (uint32_t)((PARTITIONS + member_count - 1) / member_count);
  uint32_t owned = 0;
  for (uint32_t i = 0; i < PARTITIONS; i++)
    {
      bool own = strcmp (owners[i], name) == 0;
      if (own && owned >= most)
        {
          owners[i][0] = '\0';
          generation++;
        }
      else if (!own && owners[i][0] == '\0' && owned < most)
        {
          snprintf (owners[i], sizeof owners[i], "%s", name);
          generation++;
          owned++;
        }
      else if (own)
        {
          owned++;
        }
    }
}

static bool
join (int fd, const struct lab_message *request)
{
  char name[96];
  const char *ttl
      = request->body == NULL ? NULL : strstr (request->body, "\"TtlMs\":");
  if (ttl == NULL || !text_field (request->body, "Member", name, sizeof name))
    {
      return answer_json (fd, 400, "{}");
    }
  double ttl_s = strtod (ttl + strlen ("\"TtlMs\":"), NULL) / 1000;
  pthread_mutex_lock (&lock);
  expire_members ();
  size_t index = 0;
  while (index < member_count && strcmp (members[index].name, name) != 0)
    {
      index++;
    }
  if (index == member_count && member_count < MEMBERS_MAX)
    {
      snprintf (members[member_count++].name, sizeof members[0].name, "%s",
                name);
      generation++;
    }
  members[index].expires_s = lab_now_s () + ttl_s;
  deal_partitions (name);
  char text[2048];
  size_t at = (size_t)snprintf (text, sizeof text,
                                "{\"Generation\":%lu,\"TtlMs\":%.0f,"
                                "\"parts\":[",
                                (unsigned long)generation, ttl_s * 1000);
  bool first = true;
  for (uint32_t i = 0; i < PARTITIONS; i++)
    {
      if (strcmp (owners[i], name) == 0)
        {
          at += (size_t)snprintf (text + at, sizeof text - at,
                                  "%s[\"work\",%u,0]", first ? "" : ",", i);
          first = false;
        }
    }
  snprintf (text + at, sizeof text - at, "]}");
  pthread_mutex_unlock (&lock);
  return answer_json (fd, 200, text);
}

static bool
leave (int fd, const struct lab_message *request)
{
  char name[96];
  if (text_field (request->body, "Member", name, sizeof name))
    {
      pthread_mutex_lock (&lock);
      for (size_t i = member_count; i-- > 0;)
        {
          if (strcmp (members[i].name, name) == 0)
            {
              remove_member (i);
            }
        }
      pthread_mutex_unlock (&lock);
    }
  return answer_json (fd, 200, "{}");
}

static bool
list_owners (int fd)
{
  char text[4096];
  size_t at = (size_t)snprintf (text, sizeof text, "{\"parts\":[");
  bool first = true;
  pthread_mutex_lock (&lock);
  expire_members ();
  for (uint32_t i = 0; i < PARTITIONS; i++)
    {
      if (owners[i][0] != '\0')
        {
          at += (size_t)snprintf (text + at, sizeof text - at,
                                  "%s[\"work\",%u,\"%s\",0]", first ? "" : ",",
                                  i, owners[i]);
          first = false;
        }
    }
  pthread_mutex_unlock (&lock);
  snprintf (text + at, sizeof text - at, "]}");
  return answer_json (fd, 200, text);
}

static bool
handle (void *context, struct lab_connection *connection,
        const struct lab_message *request)
{
  (void)context;
  int fd = connection->fd;
  const char *url = request->url;
  if (strncmp (url, "/api/log-read", 13) == 0)
    {
      return read_records (fd, url);
    }
  if (strncmp (url, "/api/log-newest", 15) == 0)
    {
      return list_newest (fd, url);
    }
  if (strncmp (url, "/api/log-append", 15) == 0)
    {
      return append_records (fd, request);
    }
  if (strncmp (url, "/api/log-join", 13) == 0)
    {
      return join (fd, request);
    }
  if (strncmp (url, "/api/log-leave", 14) == 0)
    {
      return leave (fd, request);
    }
  if (strncmp (url, "/api/log-owners", 15) == 0)
    {
      return list_owners (fd);
    }
  return answer_json (fd, 404, "{}");
}

void
lab_store_start (char address[LAB_ADDRESS_BYTES])
{
  lab_serve (handle, NULL, address);
}
