/* The platform's store: keyed topics and a group. */
#include "lab2.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TOPICS_MAX 8
#define RECORDS_MAX 4096
#define POLL_MS 20
#define PARTITIONS 16
#define MEMBERS_MAX 8
#define MEMBER_MS 2500

struct record
{
  char *key;
  char *value; /* NULL: removes the key */
  int64_t at_ms;
};

struct member
{
  char name[128];
  int64_t joined_ms; /* newest join */
};

struct topic
{
  char name[64];
  struct record records[RECORDS_MAX];
  size_t count;
};

static struct topic topics[TOPICS_MAX];
static size_t topic_count;
static struct member members[MEMBERS_MAX];
static int member_count;
static uint64_t generation = 1;
static uint64_t era = 1;
static bool away;
static bool busy;
static struct topic lost[TOPICS_MAX]; /* by the newest restore */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int listener;
static uint16_t port;

/* Returns the topic NAME, created if it is new.  */
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
  return topic;
}

static void
append (const char *topic_name, const char *key, const char *value)
{
  struct topic *topic = find_topic (topic_name);
  if (topic->count == RECORDS_MAX)
    {
      lab_fail ("too many records");
    }
  struct record *record = &topic->records[topic->count++];
  record->key = strdup (key);
  record->value = value == NULL ? NULL : strdup (value);
  record->at_ms = lab_now_ms ();
}

/* Appends a record with KEY and VALUE, which removes the key if it is NULL, to
   TOPIC.  */
void
lab_publish (const char *topic, const char *key, const char *value)
{
  pthread_mutex_lock (&lock);
  append (topic, key, value);
  pthread_mutex_unlock (&lock);
}

/* Copies the value of NAME in the query of the start line HEAD to VALUE.  */
static void
query_value (const char *head, const char *name, char *value, size_t bytes)
{
  char line[512];
  snprintf (line, sizeof line, "%.*s", (int)strcspn (head, "\r"), head);
  const char *found = strstr (line, name);
  snprintf (value, bytes, "%s", found == NULL ? "" : found + strlen (name));
  value[strcspn (value, "& ")] = '\0';
}

static void
add_number (struct lab_text *text, uint64_t value, int bytes)
{
  for (int i = bytes; i-- > 0;)
    {
      char byte = (char)(value >> (8 * i));
      lab_append (text, &byte, 1);
    }
}

static void
add_base64 (struct lab_text *text, const char *data)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                               "uvwxyz0123456789+/";
  size_t bytes = strlen (data);
  for (size_t i = 0; i < bytes; i += 3)
    {
      uint32_t group = 0;
      char out[4];
      for (size_t j = 0; j < 3; j++)
        {
          group = group << 8 | (i + j < bytes ? (uint8_t)data[i + j] : 0);
        }
      for (int j = 0; j < 4; j++)
        {
          out[j] = i + (size_t)j > bytes ? '='
                                         : digits[group >> (18 - 6 * j) & 63];
        }
      lab_append (text, out, 4);
    }
}

static bool
respond (int descriptor, int status, const struct lab_text *body)
{
  struct lab_text answer = { 0 };
  lab_print (&answer,
             "HTTP/1.1 %d -\r\nStore-Era: %lu\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, (unsigned long)era, body->length);
  lab_append (&answer, body->data, body->length);
  bool sent = lab_write (descriptor, answer.data, answer.length);
  free (answer.data);
  return sent;
}

/* Adds the newest record of each key of TOPIC to BODY.  */
static void
list_newest (const struct topic *topic, struct lab_text *body)
{
  lab_print (body, "{\"Items\":[");
  const char *mark = "";
  for (size_t i = 0; i < topic->count; i++)
    {
      bool newest = topic->records[i].value != NULL;
      for (size_t j = i + 1; j < topic->count; j++)
        {
          newest
              = newest
                && strcmp (topic->records[j].key, topic->records[i].key) != 0;
        }
      if (newest)
        {
          lab_print (body, "%s{\"Key\":\"%s\",\"Offset\":%zu,\"Value\":\"",
                     mark, topic->records[i].key, i);
          add_base64 (body, topic->records[i].value);
          lab_print (body, "\"}");
          mark = ",";
        }
    }
  lab_print (body, "],\"HasMore\":false,\"End\":%zu}", topic->count);
}

/* Adds the records of TOPIC from the offset FROM on to BODY.  */
static void
list_records (const struct topic *topic, size_t from, struct lab_text *body)
{
  add_number (body, topic->count, 8);
  add_number (body, 0, 8);
  for (size_t i = from; i < topic->count; i++)
    {
      const struct record *record = &topic->records[i];
      size_t key_bytes = strlen (record->key);
      size_t value_bytes = record->value == NULL ? 0 : strlen (record->value);
      add_number (body, 1 + key_bytes + value_bytes, 4);
      add_number (body, key_bytes, 1);
      lab_append (body, record->key, key_bytes);
      lab_append (body, record->value, value_bytes);
    }
}

/* Waits until TOPIC has a record at the offset FROM, for WAIT_MS at most.  The
   lock is held.  */
static void
await_record (const struct topic *topic, size_t from, int64_t wait_ms)
{
  int64_t until_ms = lab_now_ms () + wait_ms;
  while (topic->count <= from && lab_now_ms () < until_ms)
    {
      pthread_mutex_unlock (&lock);
      lab_sleep_ms (POLL_MS);
      pthread_mutex_lock (&lock);
    }
}

/* Appends the records in the body of REQUEST to the topic NAME.  */
static void
append_records (const char *name, const struct lab_request *request)
{
  const uint8_t *data = (const uint8_t *)request->body;
  size_t at = 0;
  while (at + 5 <= request->body_bytes)
    {
      size_t bytes = (size_t)data[at] << 24 | (size_t)data[at + 1] << 16
                     | (size_t)data[at + 2] << 8 | data[at + 3];
      size_t key_bytes = data[at + 4];
      if (at + 4 + bytes > request->body_bytes || key_bytes + 1 > bytes)
        {
          return;
        }
      char *key = strndup (request->body + at + 5, key_bytes);
      char *value = strndup (request->body + at + 5 + key_bytes,
                             bytes - 1 - key_bytes);
      append (name, key, bytes > 1 + key_bytes ? value : NULL);
      free (key);
      free (value);
      at += 4 + bytes;
    }
}

/* Returns the member that the body TEXT of a call names, added if it is new
   and JOINS; else -1.  Members that haven't joined for long are removed.  */
static int
find_member (const char *text, bool joins)
{
  char name[128] = "";
  const char *found = strstr (text, "\"Member\":\"");
  snprintf (name, sizeof name, "%s", found == NULL ? "" : found + 10);
  name[strcspn (name, "\"")] = '\0';
  for (int i = member_count; i-- > 0;)
    {
      if (lab_now_ms () - members[i].joined_ms > MEMBER_MS)
        {
          members[i] = members[--member_count];
          generation++;
        }
    }
  for (int i = 0; i < member_count; i++)
    {
      if (strcmp (members[i].name, name) == 0)
        {
          return i;
        }
    }
  if (!joins || member_count == MEMBERS_MAX)
    {
      return -1;
    }
  generation++;
  memcpy (members[member_count].name, name, sizeof name);
  return member_count++;
}

/* Handles a call that joins the group.  */
static void
join (const struct lab_request *request, struct lab_text *body)
{
  int member = find_member (request->body, true);
  const char *mark = "";
  if (member >= 0)
    {
      members[member].joined_ms = lab_now_ms ();
    }
  lab_print (body, "{\"Generation\":%lu,\"TtlMs\":%d,\"parts\":[",
             (unsigned long)generation, MEMBER_MS);
  for (int i = member; member >= 0 && i < PARTITIONS; i += member_count)
    {
      lab_print (body, "%s[\"entry-shares\",%d,0]", mark, i);
      mark = ",";
    }
  lab_print (body, "]}");
}

/* Handles a call that leaves the group.  */
static void
leave (const struct lab_request *request, struct lab_text *body)
{
  int member = find_member (request->body, false);
  if (member >= 0)
    {
      members[member] = members[--member_count];
      generation++;
    }
  lab_print (body, "{}");
}

/* Handles a call that asks for the owners of the group's partitions.  */
static void
list_owners (struct lab_text *body)
{
  find_member ("", false);
  lab_print (body, "{\"parts\":[");
  for (int i = 0; member_count > 0 && i < PARTITIONS; i++)
    {
      lab_print (body, "%s[\"entry-shares\",%d,\"%s\",0]", i == 0 ? "" : ",",
                 i, members[i % member_count].name);
    }
  lab_print (body, "]}");
}

/* Answers REQUEST.  */
static bool
serve (int descriptor, const struct lab_request *request)
{
  struct lab_text body = { 0 };
  char name[64];
  char text[32];
  query_value (request->head, "Topic=", name, sizeof name);
  pthread_mutex_lock (&lock);
  int status = 200;
  if (busy)
    {
      status = 503;
    }
  else if (strstr (request->head, "/api/log-newest") != NULL)
    {
      list_newest (find_topic (name), &body);
    }
  else if (strstr (request->head, "/api/log-read") != NULL)
    {
      struct topic *topic = find_topic (name);
      query_value (request->head, "From=", text, sizeof text);
      size_t from = strtoul (text, NULL, 10);
      query_value (request->head, "WaitMs=", text, sizeof text);
      uint64_t era_before = era;
      await_record (topic, from, strtol (text, NULL, 10));
      if (busy)
        {
          status = 503;
        }
      else if (from > topic->count || era != era_before)
        {
          status = 410;
          lab_print (&body, "{\"First\":0}");
        }
      else
        {
          list_records (topic, from, &body);
        }
    }
  else if (strstr (request->head, "/api/log-append") != NULL)
    {
      append_records (name, request);
      lab_print (&body, "{}");
    }
  else if (strstr (request->head, "/api/log-join") != NULL)
    {
      join (request, &body);
    }
  else if (strstr (request->head, "/api/log-leave") != NULL)
    {
      leave (request, &body);
    }
  else if (strstr (request->head, "/api/log-owners") != NULL)
    {
      list_owners (&body);
    }
  else
    {
      status = 404;
    }
  pthread_mutex_unlock (&lock);
  bool sent = respond (descriptor, status, &body);
  free (body.data);
  return sent;
}

static void *
serve_connection (void *context)
{
  int descriptor = (int)(intptr_t)context;
  struct lab_text unread = { 0 };
  struct lab_request request;
  bool open = true;
  while (open && lab_read_request (descriptor, &unread, &request))
    {
      open = !away && serve (descriptor, &request);
      lab_clear_request (&request);
    }
  close (descriptor);
  free (unread.data);
  return NULL;
}

static void *
accept_connections (void *context)
{
  (void)context;
  while (true)
    {
      int descriptor = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (descriptor >= 0)
        {
          lab_start_thread (serve_connection, (void *)(intptr_t)descriptor);
        }
    }
  return NULL;
}

/* Starts the store without records.  */
void
lab_start_store (void)
{
  port = lab_listen (&listener);
  lab_start_thread (accept_connections, NULL);
}

uint16_t
lab_store_port (void)
{
  return port;
}

/* Sets whether the store is away: it closes the connections of all calls.  */
void
lab_set_store_away (bool is_away)
{
  away = is_away;
}

/* Sets whether the store is busy: it answers all calls with status 503.  */
void
lab_set_store_busy (bool is_busy)
{
  busy = is_busy;
}

/* Writes what the operator and the runners had written, and the newest restore
   has lost, again.  */
static void *
rewrite_lost (void *context)
{
  lab_sleep_ms ((int64_t)(intptr_t)context);
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < topic_count; i++)
    {
      bool of_platform = strcmp (topics[i].name, "keyed.op") == 0
                         || strcmp (topics[i].name, "keyed.servers") == 0;
      for (size_t j = 0; of_platform && j < lost[i].count; j++)
        {
          append (topics[i].name, lost[i].records[j].key,
                  lost[i].records[j].value);
        }
    }
  pthread_mutex_unlock (&lock);
  lab_record ("the operator and the runners have written again");
  return NULL;
}

/* Restores the store from a copy that is AGE_MS old.  What the operator and
   the runners have written since is written again REWRITE_MS later.  */
void
lab_restore_store (int64_t age_ms, int64_t rewrite_ms)
{
  int64_t copied_ms = lab_now_ms () - age_ms;
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < topic_count; i++)
    {
      size_t kept = 0;
      while (kept < topics[i].count
             && topics[i].records[kept].at_ms <= copied_ms)
        {
          kept++;
        }
      lost[i].count = topics[i].count - kept;
      memcpy (lost[i].records, topics[i].records + kept,
              lost[i].count * sizeof *lost[i].records);
      topics[i].count = kept;
    }
  era++;
  pthread_mutex_unlock (&lock);
  lab_start_thread (rewrite_lost, (void *)(intptr_t)rewrite_ms);
}
