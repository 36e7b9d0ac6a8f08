#include "standin/peer_net.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define S_US INT64_C (1000000)
#define MS_US INT64_C (1000)
#define LENGTH(table) (sizeof (table) / sizeof (table)[0])

/* What happened at the machines, that is, daemons, of a simulated network. */
struct observed
{
  struct pn_net *net;
  uint32_t deaths; /* declarations of death, by all machines */
  uint32_t left;   /* members reported as left, by all machines */
  uint32_t marks;  /* marks received from peers, by all machines */
  uint32_t conflicts;
  bool applies_config; /* apply newer configurations when they are reported */
};

static void
record_action (void *user_data, uint32_t machine, int64_t now_us,
               const struct mem_action *action)
{
  struct observed *observed = user_data;
  switch (action->kind)
    {
    case MEM_MEMBER_CHANGED:
      observed->deaths += action->state == MBR_DEAD;
      observed->left += action->state == MBR_LEFT;
      break;
    case MEM_MARK_RECEIVED:
      observed->marks += 1;
      break;
    case MEM_NEWER_CONFIG:
      if (observed->applies_config)
        {
          mem_set_config_version (pn_fleet (observed->net, machine),
                                  action->config_version, now_us);
        }
      break;
    case MEM_NAME_CONFLICT:
      observed->conflicts += 1;
      break;
    default:
      break;
    }
}

/* Runs NET until all running machines count ALIVE active members, at most for
   BOUND_US.  Returns the simulated time that it took in us.  */
static int64_t
wait_for_all (struct pn_net *net, uint32_t alive, int64_t bound_us)
{
  const int64_t start_us = pn_now_us (net);
  while (!pn_all_see (net, alive) && pn_now_us (net) - start_us < bound_us)
    {
      pn_run (net, 100 * MS_US);
    }
  return pn_now_us (net) - start_us;
}

static struct pn_net *
create_net (uint32_t machines, uint32_t seed, struct observed *observed)
{
  struct pn_net *net = pn_create (machines, seed);
  *observed = (struct observed){ .net = net };
  pn_on_action (net, record_action, observed);
  return net;
}

/* Returns a network whose machines all know one another.  */
static struct pn_net *
create_joined_net (uint32_t machines, uint32_t seed, struct observed *observed)
{
  struct pn_net *net = create_net (machines, seed, observed);
  pn_start_all (net);
  wait_for_all (net, machines, 60 * S_US);
  assert_true (pn_all_see (net, machines));
  pn_run (net, 20 * S_US);
  observed->deaths = 0;
  return net;
}

static void
simultaneous_restart_converges (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t machines;
    uint32_t candidates;
    uint32_t loss_per_mille;
    int64_t bound_us;
  } cases[] = {
    { 2, 2, 0, 3 * S_US },   { 3, 1, 0, 3 * S_US },    { 9, 9, 0, 3 * S_US },
    { 9, 3, 50, 15 * S_US }, { 85, 85, 0, 20 * S_US }, { 85, 3, 0, 40 * S_US },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      struct observed observed;
      struct pn_net *net = create_net (cases[i].machines, 7, &observed);
      pn_set_candidates (net, cases[i].candidates);
      pn_set_loss (net, cases[i].loss_per_mille);
      pn_start_all (net);
      wait_for_all (net, cases[i].machines, cases[i].bound_us);
      assert_true (pn_all_see (net, cases[i].machines));
      assert_int_equal (observed.deaths, 0);
      pn_destroy (net);
    }
}

static void
dead_member_is_detected_by_all (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t machines;
    uint32_t loss_per_mille;
    int64_t bound_us;
  } cases[] = {
    { 2, 0, 12 * S_US },  { 3, 0, 12 * S_US },  { 9, 0, 16 * S_US },
    { 9, 50, 20 * S_US }, { 20, 0, 18 * S_US }, { 85, 0, 20 * S_US },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      const uint32_t machines = cases[i].machines;
      struct observed observed;
      struct pn_net *net = create_joined_net (machines, 3, &observed);
      pn_set_loss (net, cases[i].loss_per_mille);
      pn_kill (net, machines - 1);
      wait_for_all (net, machines - 1, cases[i].bound_us);
      assert_true (pn_all_see (net, machines - 1));
      assert_int_equal (observed.deaths, machines - 1);
      pn_destroy (net);
    }
}

/* A fault that must not lead to a declaration of death. */
struct fault
{
  uint32_t machines;
  uint32_t loss_per_mille;
  int64_t latency_us;
  int64_t pause_us;   /* of machine 0 */
  bool cut_one_way;   /* from machine 0 to machine 1 */
  bool cut_both_ways; /* between machines 0 and 1 */
};

static void
responsive_member_is_not_declared_dead (void **state)
{
  (void)state;
  static const struct fault cases[] = {
    { .machines = 9, .loss_per_mille = 100 },
    { .machines = 20, .loss_per_mille = 100 },
    { .machines = 20, .latency_us = 100 * MS_US },
    { .machines = 9, .pause_us = 4 * S_US },
    { .machines = 85, .pause_us = 4 * S_US },
    { .machines = 9, .cut_one_way = true },
    { .machines = 9, .cut_both_ways = true },
    { .machines = 20, .cut_both_ways = true, .loss_per_mille = 30 },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      const struct fault *fault = &cases[i];
      for (uint32_t seed = 1; seed <= 3; seed++)
        {
          struct observed observed;
          struct pn_net *net
              = create_joined_net (fault->machines, seed, &observed);
          pn_set_loss (net, fault->loss_per_mille);
          pn_set_latency (net, MAX (fault->latency_us, PN_STEP_US));
          pn_block (net, 0, 1, fault->cut_one_way || fault->cut_both_ways);
          pn_block (net, 1, 0, fault->cut_both_ways);
          pn_pause (net, 0, fault->pause_us > 0);
          pn_run (net, fault->pause_us);
          pn_pause (net, 0, false);
          pn_run (net, 120 * S_US);
          assert_int_equal (observed.deaths, 0);
          assert_true (pn_all_see (net, fault->machines));
          pn_destroy (net);
        }
    }
}

static void
long_pause_causes_death_and_return (void **state)
{
  (void)state;
  static const uint32_t sizes[] = { 2, 9, 40 };
  for (size_t i = 0; i < LENGTH (sizes); i++)
    {
      struct observed observed;
      struct pn_net *net = create_joined_net (sizes[i], 5, &observed);
      pn_pause (net, 0, true);
      pn_run (net, 60 * S_US);
      assert_int_equal (observed.deaths, sizes[i] - 1);
      pn_pause (net, 0, false);
      pn_run (net, 15 * S_US);
      assert_int_equal (observed.deaths, sizes[i] - 1);
      assert_true (pn_all_see (net, sizes[i]));
      pn_destroy (net);
    }
}

static void
healed_partition_merges (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t machines;
    uint32_t first_side;
    int64_t duration_us;
    int64_t bound_us;
  } cases[] = {
    { 2, 1, 60 * S_US, 20 * S_US },   { 9, 3, 60 * S_US, 20 * S_US },
    { 9, 3, 3600 * S_US, 20 * S_US }, { 40, 13, 3600 * S_US, 30 * S_US },
    { 85, 1, 120 * S_US, 30 * S_US }, { 85, 28, 120 * S_US, 30 * S_US },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      const uint32_t machines = cases[i].machines;
      const uint32_t first = cases[i].first_side;
      struct observed observed;
      struct pn_net *net = create_joined_net (machines, 11, &observed);
      pn_block_groups (net, first, true);
      pn_run (net, cases[i].duration_us);
      assert_int_equal (mem_active_count (pn_fleet (net, 0)), first);
      assert_int_equal (mem_active_count (pn_fleet (net, machines - 1)),
                        machines - first);
      const uint32_t deaths = observed.deaths;
      pn_block_groups (net, first, false);
      wait_for_all (net, machines, cases[i].bound_us);
      assert_true (pn_all_see (net, machines));
      pn_run (net, 60 * S_US);
      assert_true (pn_all_see (net, machines));
      assert_int_equal (observed.deaths, deaths);
      pn_destroy (net);
    }
}

/* Guards against replacements that leave daemons with different views: 110
   replacements, as many as in a day, within an hour.  Each is a kill and a
   start under the same name 20 s later.  */
static void
replacements_converge (void **state)
{
  (void)state;
  const uint32_t machines = 40;
  struct observed observed;
  struct pn_net *net = create_joined_net (machines, 13, &observed);
  for (uint32_t i = 0; i < 110; i++)
    {
      const uint32_t machine = i * 7 % machines;
      pn_kill (net, machine);
      pn_run (net, 20 * S_US);
      pn_start (net, machine);
      pn_run (net, 12 * S_US);
    }
  pn_run (net, 30 * S_US);
  assert_true (pn_all_see (net, machines));
  pn_destroy (net);
}

/* Guards against a replacement that is missed or reported as a death when the
   process restarts before any probe fails: the higher incarnation replaces the
   old one.  */
static void
quick_replacement_stays_one_member (void **state)
{
  (void)state;
  struct observed observed;
  struct pn_net *net = create_joined_net (9, 17, &observed);
  const uint64_t before
      = mem_find (pn_fleet (net, 0), pn_name (net, 4))->incarnation;
  pn_kill (net, 4);
  pn_start (net, 4);
  pn_run (net, 20 * S_US);
  assert_true (pn_all_see (net, 9));
  assert_int_equal (observed.deaths, 0);
  assert_true (mem_find (pn_fleet (net, 0), pn_name (net, 4))->incarnation
               > before);
  pn_destroy (net);
}

static void
planned_stop_is_announced (void **state)
{
  (void)state;
  static const uint32_t sizes[] = { 2, 9, 85 };
  for (size_t i = 0; i < LENGTH (sizes); i++)
    {
      struct observed observed;
      struct pn_net *net = create_joined_net (sizes[i], 19, &observed);
      mem_leave (pn_fleet (net, 0), pn_now_us (net));
      pn_run (net, 3 * S_US);
      assert_int_equal (observed.left, sizes[i] - 1);
      pn_kill (net, 0);
      pn_run (net, 60 * S_US);
      assert_int_equal (observed.deaths, 0);
      assert_true (pn_all_see (net, sizes[i] - 1));
      pn_destroy (net);
    }
}

static void
mark_reaches_all_within_3_s (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t machines;
    uint32_t loss_per_mille;
    int64_t latency_us;
  } cases[] = {
    { 2, 0, 0 },  { 9, 0, 0 },   { 9, 100, 0 },
    { 85, 0, 0 }, { 85, 50, 0 }, { 85, 0, 80 * MS_US },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      struct observed observed;
      struct pn_net *net
          = create_joined_net (cases[i].machines, 23, &observed);
      pn_set_loss (net, cases[i].loss_per_mille);
      pn_set_latency (net, MAX (cases[i].latency_us, PN_STEP_US));
      const struct lv_mark mark = {
        .host = "runner-17", .cause = LV_ENDPOINT, .order = 1, .leaving = true
      };
      mem_broadcast_mark (pn_fleet (net, 0), &mark, pn_now_us (net));
      pn_run (net, 3 * S_US);
      assert_int_equal (observed.marks, cases[i].machines - 1);
      pn_destroy (net);
    }
}

static void
late_starter_receives_marks (void **state)
{
  (void)state;
  struct observed observed;
  struct pn_net *net = create_joined_net (9, 29, &observed);
  const struct lv_mark mark = {
    .host = "runner-17", .cause = LV_LIST, .order = 40, .leaving = true
  };
  mem_broadcast_mark (pn_fleet (net, 0), &mark, pn_now_us (net));
  pn_run (net, 300 * S_US);
  observed.marks = 0;
  pn_kill (net, 8);
  pn_start (net, 8);
  pn_run (net, 3 * S_US);
  assert_int_equal (observed.marks, 1);
  pn_destroy (net);
}

static void
new_config_version_reaches_all (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t machines;
    int64_t bound_us;
    int64_t reported_us; /* until a daemon knows that all have it */
  } cases[] = {
    { 3, 3 * S_US, 6 * S_US },
    { 9, 3 * S_US, 15 * S_US },
    { 85, 5 * S_US, 40 * S_US },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      const uint32_t machines = cases[i].machines;
      struct observed observed;
      struct pn_net *net = create_joined_net (machines, 31, &observed);
      observed.applies_config = true;
      mem_set_config_version (pn_fleet (net, 0), 7, pn_now_us (net));
      pn_run (net, cases[i].bound_us);
      for (uint32_t j = 0; j < machines; j++)
        {
          struct mem_fleet *fleet = pn_fleet (net, j);
          assert_int_equal (mem_find (fleet, pn_name (net, j))->config_version,
                            7);
        }
      pn_run (net, cases[i].reported_us);
      assert_int_equal (mem_in_force_count (pn_fleet (net, machines / 2), 7),
                        machines);
      pn_destroy (net);
    }
}

static void
ready_daemons_are_counted (void **state)
{
  (void)state;
  struct observed observed;
  struct pn_net *net = create_joined_net (9, 37, &observed);
  assert_int_equal (mem_ready_count (pn_fleet (net, 8)), 0);
  for (uint32_t i = 0; i < 5; i++)
    {
      mem_set_ready (pn_fleet (net, i), true, pn_now_us (net));
    }
  pn_run (net, 3 * S_US);
  assert_int_equal (mem_ready_count (pn_fleet (net, 8)), 5);
  mem_set_ready (pn_fleet (net, 2), false, pn_now_us (net));
  mem_set_reaches_log (pn_fleet (net, 1), true, pn_now_us (net));
  mem_set_reaches_log (pn_fleet (net, 8), true, pn_now_us (net));
  pn_run (net, 3 * S_US);
  assert_int_equal (mem_reaching_log_count (pn_fleet (net, 8)), 1);
  assert_int_equal (mem_ready_count (pn_fleet (net, 8)), 4);
  pn_destroy (net);
}

/* Returns the mean number of bytes that one machine sends and receives per
   second.  */
static double
bytes_per_s (struct pn_net *net, uint32_t machines, int64_t duration_us)
{
  pn_reset_usage (net);
  pn_run (net, duration_us);
  double bytes = 0;
  for (uint32_t i = 0; i < machines; i++)
    {
      const struct pn_usage usage = pn_usage (net, i);
      bytes += (double)(usage.bytes + usage.received_bytes);
    }
  return bytes / machines / ((double)duration_us / S_US);
}

static void
traffic_is_independent_of_fleet_size (void **state)
{
  (void)state;
  static const uint32_t sizes[] = { 3, 20, 85 };
  for (size_t i = 0; i < LENGTH (sizes); i++)
    {
      struct observed observed;
      struct pn_net *net = create_joined_net (sizes[i], 41, &observed);
      pn_run (net, 60 * S_US);
      assert_true (bytes_per_s (net, sizes[i], 30 * S_US) < 300);
      pn_destroy (net);
    }
}

/* Runs 340 daemons through a simultaneous start, a mark, a new configuration,
   a death and a partition of three minutes, which stands for one of an hour.
   The traffic is what a daemon sends and receives, averaged over all daemons
   and the interval.  */
static void
fleet_of_340_daemons (void **state)
{
  (void)state;
  const uint32_t machines = 340;
  struct observed observed;
  struct pn_net *net = create_net (machines, 43, &observed);
  pn_start_all (net);
  assert_true (bytes_per_s (net, machines, 40 * S_US) < 12000);
  assert_true (pn_all_see (net, machines));
  const struct lv_mark mark = {
    .host = "runner-17", .cause = LV_ENDPOINT, .order = 1, .leaving = true
  };
  mem_broadcast_mark (pn_fleet (net, 0), &mark, pn_now_us (net));
  pn_run (net, 3 * S_US);
  assert_int_equal (observed.marks, machines - 1);

  observed.applies_config = true;
  mem_set_config_version (pn_fleet (net, 0), 7, pn_now_us (net));
  pn_run (net, 12 * S_US);
  for (uint32_t j = 0; j < machines; j++)
    {
      const struct mem_fleet *fleet = pn_fleet (net, j);
      assert_int_equal (mem_find (fleet, pn_name (net, j))->config_version, 7);
    }
  assert_int_equal (observed.deaths, 0);

  pn_run (net, 180 * S_US);
  pn_kill (net, machines - 1);
  wait_for_all (net, machines - 1, 25 * S_US);
  assert_true (pn_all_see (net, machines - 1));
  assert_true (bytes_per_s (net, machines, 20 * S_US) < 300);
  assert_int_equal (observed.deaths, machines - 1);

  pn_block_groups (net, 113, true);
  pn_run (net, 180 * S_US);
  assert_int_equal (mem_active_count (pn_fleet (net, 0)), 113);
  assert_int_equal (mem_active_count (pn_fleet (net, 113)), 226);
  const uint32_t deaths = observed.deaths;
  pn_block_groups (net, 113, false);
  assert_true (bytes_per_s (net, machines, 30 * S_US) < 12000);
  wait_for_all (net, machines - 1, 30 * S_US);
  assert_true (pn_all_see (net, machines - 1));
  assert_int_equal (observed.deaths, deaths);
  pn_destroy (net);
}

static struct mem_fleet *
create_single_daemon (void)
{
  const struct mem_settings settings = { .name = "entry-a",
                                         .address = "10.0.0.1:7000",
                                         .data_centre = "dc-a",
                                         .incarnation = 100,
                                         .seed = 1 };
  return mem_create (&settings, 0);
}

/* Removes all queued actions.  Returns how many of them were of KIND.  */
static uint32_t
drain_actions (struct mem_fleet *fleet, enum mem_action_kind kind)
{
  uint32_t count = 0;
  struct mem_action action;
  while (mem_next_action (fleet, &action))
    {
      count += action.kind == kind;
      mem_action_clear (&action);
    }
  return count;
}

/* An update in a message from entry-b to entry-a, and the expected result. */
struct update
{
  const char *name;
  const char *address;
  uint64_t incarnation;
  int state;
  bool known;               /* whether NAME is known afterwards */
  uint64_t own_incarnation; /* of entry-a afterwards */
  uint32_t conflicts;
};

static void
updates_on_members (void **state)
{
  (void)state;
  char *const long_name = g_strnfill (CFG_NAME_BYTES, 'x');
  const struct update cases[] = {
    { "entry-c", "10.0.0.3:7000", 5, MBR_ALIVE, true, 100, 0 },
    { "entry-c", "10.0.0.3:7000", 5, MBR_SUSPECT, true, 100, 0 },
    { "entry-c", "10.0.0.3:7000", 5, MBR_DEAD, false, 100, 0 },
    { "entry-c", "10.0.0.3:7000", 5, MBR_LEFT, false, 100, 0 },
    { "entry-c", "", 5, MBR_ALIVE, false, 100, 0 },
    { "entry-c", "10.0.0.3:7000", 5, 9, false, 100, 0 },
    { "entry-c", "10.0.0.3:7000", 5, -1, false, 100, 0 },
    { "", "10.0.0.3:7000", 5, MBR_ALIVE, false, 100, 0 },
    { long_name, "10.0.0.3:7000", 5, MBR_ALIVE, false, 100, 0 },
    { "entry-a", "10.0.0.1:7000", 99, MBR_DEAD, true, 100, 0 },
    { "entry-a", "10.0.0.1:7000", 100, MBR_ALIVE, true, 100, 0 },
    { "entry-a", "10.0.0.1:7000", 100, MBR_SUSPECT, true, 101, 0 },
    { "entry-a", "10.0.0.1:7000", 100, MBR_DEAD, true, 101, 0 },
    { "entry-a", "10.0.0.1:7000", 500, MBR_ALIVE, true, 501, 0 },
    { "entry-a", "10.0.0.9:7000", 500, MBR_ALIVE, true, 501, 1 },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      struct mem_fleet *fleet = create_single_daemon ();
      Peer__Member sender = PEER__MEMBER__INIT;
      sender.name = (char *)"entry-b";
      sender.address = (char *)"10.0.0.2:7000";
      Peer__Member update = PEER__MEMBER__INIT;
      update.name = (char *)cases[i].name;
      update.address = (char *)cases[i].address;
      update.incarnation = cases[i].incarnation;
      update.state = (Peer__MemberState)cases[i].state;
      Peer__Member *updates[] = { &update };
      Peer__Membership message = PEER__MEMBERSHIP__INIT;
      message.sender = &sender;
      message.members = updates;
      message.n_members = 1;
      mem_receive (fleet, &message, 1);
      assert_int_equal (drain_actions (fleet, MEM_NAME_CONFLICT),
                        cases[i].conflicts);
      assert_int_equal (mem_find (fleet, cases[i].name) != NULL,
                        cases[i].known);
      assert_int_equal (mem_find (fleet, "entry-a")->incarnation,
                        cases[i].own_incarnation);
      mem_destroy (fleet);
    }
  g_free (long_name);
}

static Peer__Membership
ping_from_peer (Peer__Member *sender, uint64_t incarnation)
{
  Peer__Membership message = PEER__MEMBERSHIP__INIT;
  peer__member__init (sender);
  sender->name = (char *)"entry-b";
  sender->address = (char *)"10.0.0.2:7000";
  sender->incarnation = incarnation;
  message.kind = PEER__MEMBERSHIP__KIND__PING;
  message.sender = sender;
  return message;
}

/* Guards against a replacement that is ignored for ever because its clock is
   behind, so that its incarnation is lower than that of the process before it.
   Every reply tells it the higher incarnation.  */
static void
replacement_with_lower_incarnation_is_corrected (void **state)
{
  (void)state;
  struct mem_fleet *fleet = create_single_daemon ();
  Peer__Member sender;
  Peer__Membership message = ping_from_peer (&sender, 500);
  for (int i = 0; i < 40; i++) /* until the gossip on entry-b is used up */
    {
      mem_receive (fleet, &message, 1);
    }
  drain_actions (fleet, MEM_SEND);
  message = ping_from_peer (&sender, 5);
  mem_receive (fleet, &message, 2);
  struct mem_action action = { 0 };
  bool corrected = false;
  while (mem_next_action (fleet, &action))
    {
      for (size_t i = 0;
           action.kind == MEM_SEND && i < action.message->n_members; i++)
        {
          const Peer__Member *update = action.message->members[i];
          corrected |= strcmp (update->name, "entry-b") == 0
                       && update->incarnation == 500;
        }
      mem_action_clear (&action);
    }
  assert_true (corrected);
  mem_destroy (fleet);
}

/* Messages that lack a complete sender, or come from the daemon itself, are
   ignored.  */
static void
messages_without_valid_sender_are_dropped (void **state)
{
  (void)state;
  static const struct
  {
    bool has_sender;
    const char *name;
    const char *address;
  } cases[] = {
    { false, "", "" },
    { true, "", "10.0.0.2:7000" },
    { true, "entry-b", "" },
    { true, "entry-b", "10.0.0.1:7000" },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      struct mem_fleet *fleet = create_single_daemon ();
      Peer__Member sender = PEER__MEMBER__INIT;
      sender.name = (char *)cases[i].name;
      sender.address = (char *)cases[i].address;
      Peer__Membership message = PEER__MEMBERSHIP__INIT;
      message.kind = PEER__MEMBERSHIP__KIND__PING;
      message.sender = cases[i].has_sender ? &sender : NULL;
      mem_receive (fleet, &message, 1);
      assert_int_equal (drain_actions (fleet, MEM_SEND), 0);
      assert_int_equal (mem_active_count (fleet), 1);
      mem_destroy (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (simultaneous_restart_converges),
    cmocka_unit_test (dead_member_is_detected_by_all),
    cmocka_unit_test (responsive_member_is_not_declared_dead),
    cmocka_unit_test (long_pause_causes_death_and_return),
    cmocka_unit_test (healed_partition_merges),
    cmocka_unit_test (replacements_converge),
    cmocka_unit_test (quick_replacement_stays_one_member),
    cmocka_unit_test (planned_stop_is_announced),
    cmocka_unit_test (mark_reaches_all_within_3_s),
    cmocka_unit_test (late_starter_receives_marks),
    cmocka_unit_test (new_config_version_reaches_all),
    cmocka_unit_test (ready_daemons_are_counted),
    cmocka_unit_test (traffic_is_independent_of_fleet_size),
    cmocka_unit_test (fleet_of_340_daemons),
    cmocka_unit_test (updates_on_members),
    cmocka_unit_test (replacement_with_lower_incarnation_is_corrected),
    cmocka_unit_test (messages_without_valid_sender_are_dropped),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
