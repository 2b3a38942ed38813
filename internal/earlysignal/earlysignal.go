// Package earlysignal keeps signals that do not ask for a stop from ending a process that does not handle signals yet.
// Programs import it for its side effect, which ends where the Go runtime or signal.Notify takes over.
package earlysignal
