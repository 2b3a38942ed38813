package continuity

import "time"

// history returns the software versions that endpoints have had within the lifetime of a stream. It is empty if this
// instance has not observed them for so long, or if its list of endpoints may not be current.
func (t *Tracker) history() historyReply {
	if !t.ObservedForLifetime() || !t.current() {
		return historyReply{}
	}
	now, out := t.now(), historyReply{Observed: true}
	for _, service := range t.endpoints.Services() {
		for _, version := range t.endpoints.SoftwareSince(service, now.Add(-t.lifetime())) {
			out.Versions = append(out.Versions, seenVersion{Service: service, Software: version})
		}
	}
	if len(out.Versions) > maxVersions {
		return historyReply{}
	}
	return out
}

// listed returns the versions of the endpoints that are listed. It returns false if the list may be outdated or
// incomplete.
func (t *Tracker) listed() (list []seenVersion, ok bool) {
	if !t.current() {
		return nil, false
	}
	future := t.now().Add(maxLifetime) // versions without endpoints were last seen before
	for _, service := range t.endpoints.Services() {
		for _, version := range t.endpoints.SoftwareSince(service, future) {
			list = append(list, seenVersion{Service: service, Software: version})
		}
	}
	return list, len(list) > 0 && len(list) <= maxVersions
}

// adopt takes over the history that another instance has sent. Its versions count as listed until now.
func (t *Tracker) adopt(h historyReply) {
	if !h.Observed || len(h.Versions) > maxVersions {
		return
	}
	now := t.now()
	for _, v := range h.Versions {
		if len(v.Service) > maxNameLen || len(v.Software) > maxNameLen {
			return
		}
	}
	for _, v := range h.Versions {
		t.endpoints.NoteSoftware(v.Service, v.Software, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if since := now.Add(-t.lifetime()); t.observedSince.After(since) {
		t.observedSince = since
	}
}

// lifetimeBounds limit how long a stream may be taken up again.
const (
	minLifetime = 10 * time.Second
	maxLifetime = 5 * time.Minute
	// lifetimeFactor is how often the time limit of a route fits into the time in which its callers come back.
	lifetimeFactor = 2
)

// LifetimeFor returns how long after its first event a stream may be taken up again, for the time limits of the routes of
// streams. A limit of 0 means none.
func LifetimeFor(timeouts []time.Duration) time.Duration {
	longest := minLifetime
	for _, limit := range timeouts {
		if limit <= 0 {
			return maxLifetime
		}
		longest = max(longest, lifetimeFactor*limit)
	}
	return min(longest, maxLifetime)
}
