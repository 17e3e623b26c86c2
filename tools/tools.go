// Package tools pins the generators and formatters that the build scripts run; see go.mod beside it.
package tools
