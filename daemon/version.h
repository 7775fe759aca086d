/* version.h -- the version of jaytraild and jaytrail */
#ifndef DAEMON_VERSION_H
#define DAEMON_VERSION_H

#define JAYTRAIL_VERSION "0.1.0"

#endif
