//go:build cgo

package earlysignal

// The constructor runs before the Go runtime, which handles these signals itself, apart from SIGHUP: it leaves that ignored
// until signal.Notify is called for it.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_early_signals(void) {
	signal(SIGHUP, SIG_IGN);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, SIG_IGN);
	signal(SIGUSR2, SIG_IGN);
}
*/
import "C"
