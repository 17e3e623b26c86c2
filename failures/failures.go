// Package failures holds fault-injection tests of a whole fleet. The instances are real processes on loopback, and
// instances, targets and the platform fail under load. No request may be lost, executed twice or answered wrongly.
package failures
