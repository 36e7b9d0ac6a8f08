/* What the source files of the injector share. */
#ifndef SOAK_INJECTOR_PRIVATE_H
#define SOAK_INJECTOR_PRIVATE_H

#include "base/clock.h"
#include "soak/injector.h"

/* Periods of this length alternate: one in which any disruption may begin, and
   one of planned work alone, in which the judge checks the time limits. */
#define STB_PERIOD_US (10 * CLK_S_US)

struct disruption_kind;

/* An active disruption. */
struct disruption
{
  const struct disruption_kind *kind;
  guint record_index; /* of the fault, or of the drain */
  guint interruption; /* index in the record, if the kind causes one, or of
                         the outage */
  uint32_t target; /* index of a daemon or endpoint; of an endpoint's fault: 1
                      for the engines, 0 for the services */
  uint32_t instance;       /* of the endpoint that is the target; of spoiled
                              responses: the fault */
  struct spx_proxy *proxy; /* whose connections are disturbed */
  int64_t due_us;          /* of the next phase */
  int64_t begun_us;        /* what the store loses was written from then on */
  int64_t rewrite_us;      /* when lost records are written again */
  int64_t restart_us;      /* when crashed engines start again */
  int64_t end_us;          /* of a harm */
  uint32_t phase;
  bool ended;
};

struct stb_injector
{
  struct stb_params params;
  GPtrArray *active; /* struct disruption */
  /* The drills: kinds of their own, drawn by their own generator, so that they
     don't change what a seed draws otherwise. */
  GPtrArray *active_drills; /* struct disruption */
  GRand *drills;
  /* Requests that harm engines, drawn by a generator of their own too. */
  GPtrArray *active_harms; /* struct disruption */
  GRand *harms;
  int64_t next_harm_us;
  /* Invalid and ambiguous responses, drawn by a generator of their own too. */
  GPtrArray *active_responses; /* struct disruption */
  GRand *responses;
  int64_t next_response_us;
  bool harmful;         /* some requests crash endpoints at present */
  uint32_t harms_begun; /* so far */
  int64_t start_us;
  int64_t next_us;       /* when the next disruption may begin */
  int64_t next_drill_us; /* the same for the drills */
  uint64_t version;      /* of the newest configuration */
  uint32_t extra_key;    /* index of the newest extra key; 0: none yet */
  bool has_extra_key;    /* the newest configuration contains the extra key */
  int64_t hold_until_us; /* a drill has the store to itself until then */
  int64_t written_us; /* when what the newest restore lost is written again */
  bool ending;        /* no disruption begins any more */
  bool rehearsing;    /* the drills of the rehearsal are carried out */
  uint32_t rehearsed; /* number of them that have begun */
};

/* A kind of disruption: `step' carries out the next phase and sets either when
   the phase after it is due, or that the disruption has ended. */
struct disruption_kind
{
  const char *name;
  bool planned;
  void (*step) (struct stb_injector *, struct disruption *, int64_t now_us);
};

#define STB_DRILL_KINDS 9

extern const struct disruption_kind stb_drill_kinds[STB_DRILL_KINDS];

/* The disruptions that are rehearsed, in their order: the harm, and the drills
   that need the store to themselves. */
#define STB_REHEARSED_KINDS 3

extern const struct disruption_kind stb_rehearsed_kinds[STB_REHEARSED_KINDS];

bool stb_is_down (const struct stb_injector *injector, uint32_t endpoint);
bool stb_has_disruption (const struct stb_injector *injector,
                         const struct disruption *own, uint32_t index);
void stb_publish (struct stb_injector *injector, bool with_key, uint32_t step);
void stb_end_restores (struct stb_injector *injector, int64_t now_us);
void stb_crash_endpoints (struct stb_injector *injector,
                          struct disruption *harm, int64_t now_us);
void stb_spoil_responses (struct stb_injector *injector,
                          struct disruption *disruption, int64_t now_us);
uint32_t stb_draw_drill (struct stb_injector *injector, uint32_t first,
                         uint32_t end);

#endif
