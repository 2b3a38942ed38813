package pool

import (
	"slices"
	"time"
)

// maxSoftwareVersions limits how many former software versions of a service are remembered.
const maxSoftwareVersions = 64

// softwareUse records that endpoints of a service have, or had, a software version.
type softwareUse struct {
	endpoints int       // listed now
	lastSeen  time.Time // when the last one was removed; not meaningful while any is listed
}

// SoftwareSince returns the software versions of the endpoints of a service that are listed, or were at any moment since
// the given time. An empty version is unknown.
func (p *Pool) SoftwareSince(service string, since time.Time) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for version, use := range p.software[service] {
		if use.endpoints > 0 || !use.lastSeen.Before(since) {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// FormerSoftware reports whether endpoints of a service had a software version and none is listed now.
func (p *Pool) FormerSoftware(service, version string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	use := p.software[service][version]
	return use != nil && use.endpoints == 0
}

// NoteSoftware records that endpoints of a service had a software version at some time, as another instance reports.
func (p *Pool) NoteSoftware(service, version string, lastSeen time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	use := p.softwareUse(service, version)
	if lastSeen.After(use.lastSeen) {
		use.lastSeen = lastSeen
	}
}

// softwareUse returns the record of a software version. The caller holds mu.
func (p *Pool) softwareUse(service, version string) *softwareUse {
	versions := p.software[service]
	if versions == nil {
		versions = make(map[string]*softwareUse)
		p.software[service] = versions
	}
	use := versions[version]
	if use == nil {
		forgetOldest(versions)
		use = &softwareUse{}
		versions[version] = use
	}
	return use
}

// forgetOldest removes the version that has been absent for longest if there are too many. Versions that are listed stay.
func forgetOldest(versions map[string]*softwareUse) {
	if len(versions) < maxSoftwareVersions {
		return
	}
	oldest, found := "", false
	for version, use := range versions {
		if use.endpoints == 0 && (!found || use.lastSeen.Before(versions[oldest].lastSeen)) {
			oldest, found = version, true
		}
	}
	if found {
		delete(versions, oldest)
	}
}

// countSoftware adds n listed endpoints with a record's software version. The caller holds mu.
func (p *Pool) countSoftware(e Endpoint, n int) {
	use := p.softwareUse(e.Service, e.Software)
	use.endpoints += n
	if use.endpoints == 0 {
		use.lastSeen = p.now()
	}
}
