package kernel

import "sync"

// Jobs is a group of goroutines that a service starts, also from message handlers, which may still run while the service
// ends. The zero value is ready to use.
type Jobs struct {
	mu     sync.Mutex
	wg     sync.WaitGroup
	closed bool
}

// Go runs f in a goroutine, unless the group is closed. It reports whether it does.
func (j *Jobs) Go(f func()) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return false
	}
	j.wg.Go(f)
	return true
}

// Close waits until all goroutines have ended. No others start from then on.
func (j *Jobs) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.wg.Wait()
}
