// Package mustardstep is the root of a dispatcher for sub-second tasks. The
// daemons are in cmd; packages daemon, client, catalog and verdict are the
// library that others build on.
package mustardstep
