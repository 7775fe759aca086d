/* resent_cut.h -- plays a job that is sent again to another host while the first one is cut off
 *
 * Real processes and the proxy of the soak.  Hosts are in the data centres zone-x, zone-y and
 * zone-z in turn, as are the six endpoints.  The first request goes to one host; 600 ms later, or
 * as the case says, a cut begins or the host is killed; 1,300 ms after that the same job is sent to
 * another host.  Or the first request is sent when the cut is known already.
 */
#ifndef TESTS_RESENT_CUT_H
#define TESTS_RESENT_CUT_H

#include <stdbool.h>
#include <stddef.h>

/* A job that is open for so long was announced. */
#define RESENT_ANNOUNCED_MS 600

typedef enum
{
  CUT_ALL,               /* the first host's data centre from the others, the log and callers */
  CUT_NOT_CALLERS,       /* callers still reach it */
  CUT_SECOND,            /* the second host's data centre, but not from callers */
  CUT_HOSTS,             /* only its hosts, and only from hosts of the others */
  CUT_HOSTS_SENT,        /* what its hosts send to hosts of the others does not arrive */
  CUT_NOT_CALLERS_TWICE, /* as CUT_NOT_CALLERS, for 700 ms, and again 300 ms later */
  CUT_ALL_OWNER_KILLED,  /* as CUT_ALL, and the other host of the data centre is killed */
  CUT_FIRST_HOST,        /* the first host from all other hosts, not from endpoints */
  CUT_FIRST_HOST_SENT,   /* what the first host sends to hosts does not arrive */
  CUT_SECOND_HOST,       /* the second host from all other hosts, not from endpoints */
  CUT_BOTH_HOSTS,        /* the first host from the second one, and from no other */
  CUT_HALF,              /* half of its data centre, hosts and endpoint, from the other half and
                            from the other data centres */
  CUT_EACH,              /* each data centre from each other one, and from the log */
  CUT_LINK_BY_LINK,      /* as CUT_HOSTS, one pair of hosts after the other */
  HOST_KILLED            /* the first host is killed; nothing is cut */
} resent_cut_t;

typedef struct
{
  const char *name;
  resent_cut_t cut;
  int hosts;
  int first_host;
  int second_host;
  int work_ms;
  int cut_after_ms;      /* from the first request to the cut */
  bool first_is_no_hub;  /* another host of the data centre of FIRST_HOST, which is no hub */
  bool second_is_no_hub; /* the same for SECOND_HOST */
  bool first_is_held;    /* the first request is sent when the cut has begun, which holds it up */
  int known_cut_ms;      /* the first request is sent so long after the cut has begun; 0: before */
  bool first_zone_busy;  /* the endpoints of the first host's data centre are taken by another job,
                            so that owners elsewhere run this one */
  bool broken_at_once; /* the first channel breaks as the first request is sent, so that the second
                          one follows 1,300 ms after it */
  int callers_cut_ms;  /* callers are cut from the first host so long after the first request */
  int callers_held_ms; /* the first request is sent in the cut, on a connection that was opened
                          before, which its caller closes after the 1,300 ms; it is delivered so
                          long after the end of the cut, and just after the second request */
  int cut_ends_ms;     /* the cut ends so long after the second request; 0: in 6 s; with
                          callers_held_ms: after the first connection is closed */
  bool third_request;  /* and the job is sent to THIRD_HOST, too, after the same time */
  int third_host;
  bool may_be_unserved; /* the second request may be answered 503 or 504, as no host can know that
                           the job does not run elsewhere; it is sent again when the cut has ended,
                           and must be answered 200 then */
} resent_cut_case_t;

/* The main () of a test program SUITE with the one test NAME: plays COUNT cases, one after the
 * other, with the programs in the directory above that of ARGV[0], and asserts that the second
 * request is answered 200, or as the case allows, that no promise of book.h is broken, and that the
 * hosts serve a small job afterwards.  Prints what was seen where that is not so.  Returns the exit
 * status. */
int resent_cut_main (const char *suite,
                     const char *name,
                     const resent_cut_case_t *cases,
                     size_t count,
                     int argc,
                     char **argv);

#endif
