// Package mustardstep is the root of a dispatcher for tasks that take less than a
// second. It contains no code. The programs are in cmd. Packages daemon, client,
// catalog and verdict are intended for use by other modules.
package mustardstep
