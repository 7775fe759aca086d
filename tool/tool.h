/* tool.h -- what the subcommands of jaytrail share
 *
 * A subcommand is `int cmd_NAME (int argc, char **argv)` with argv[0] as its
 * name; it returns the exit status.
 */
#ifndef TOOL_TOOL_H
#define TOOL_TOOL_H

#include <stdbool.h>
#include <stdio.h>

/* Exit statuses, the same for all subcommands. */
#define TOOL_OK 0
#define TOOL_FAILED 1
#define TOOL_USAGE 2     /* bad file or usage */
#define TOOL_LOST_RACE 3 /* publish: another edit won */
#define TOOL_UNKNOWN 4   /* publish: the outcome is not known */
#define TOOL_SLOW_BURN 5 /* burn: the budget burns slowly */
#define TOOL_FAST_BURN 6 /* burn: the budget burns fast */

int cmd_check (int argc, char **argv);
int cmd_publish (int argc, char **argv);
int cmd_show (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_submit (int argc, char **argv);
int cmd_burn (int argc, char **argv);
int cmd_load (int argc, char **argv);
int cmd_explain (int argc, char **argv);
int cmd_drains (int argc, char **argv);

/* Parses ARGV by the argtable TABLE, whose last entry is its arg_end and whose
 * first is the --help flag.  Prints help or errors.  Returns true to go on;
 * else *STATUS is the exit status.  The caller frees the table either way. */
bool
tool_parse (int argc, char **argv, void **table, size_t count, const char *summary, int *status);

#endif
