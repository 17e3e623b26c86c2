// Package failures holds runs of a whole fleet with real processes on loopback, in which instances, targets and the
// platform fail under load. Nothing may be lost, doubled or wrong in any of them.
package failures
