package router

import "time"

// arrived is the time at which a caller's request is read. The boot time is read anew for it: a machine that was suspended must not take
// what it heard before for fresh.
func (r *Router) arrived() time.Time {
	r.boot.Check()
	return r.boot.Now()
}
