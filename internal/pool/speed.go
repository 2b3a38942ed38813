package pool

import (
	"math"
	"time"
)

const (
	defaultSpeed       = 20000           // tokens a second, until responses are measured; known endpoints are several times faster
	speedDecay         = 200 * 1000      // tokens of prompts after which a measurement weighs a third
	minPrompt          = 1000            // tokens: shorter prompts give no usable measurement
	maxResponseTimeout = 5 * time.Second // upper bound, for slow services and huge prompts
)

// speed is how fast a service's endpoints process prompts, including cached parts and queueing.
type speed struct{ tokens, seconds float64 }

func (s *speed) perSecond() float64 {
	if s == nil || s.tokens < speedDecay/10 || s.seconds <= 0 {
		return defaultSpeed
	}
	return s.tokens / s.seconds
}

// ObserveFirstEvent records how long an endpoint took to the first event of the response to a prompt.
func (l *Lease) ObserveFirstEvent(prompt int64, took time.Duration) {
	if prompt < minPrompt {
		return
	}
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.speeds[l.endpoint.Service]
	if x == nil {
		x = &speed{}
		p.speeds[l.endpoint.Service] = x
	}
	decay := math.Exp(-float64(prompt) / speedDecay)
	x.tokens = x.tokens*decay + float64(prompt)
	x.seconds = x.seconds*decay + took.Seconds()
}

// ResponseTimeout returns how long the endpoint may take until the response begins: a multiple of the time that
// reading the prompt is expected to take, within bounds.
func (l *Lease) ResponseTimeout() time.Duration { return l.responseTimeout }

// responseTimeout is how long an endpoint may take until the response begins. The caller holds mu.
func (p *Pool) responseTimeout(q Query) time.Duration {
	return max(p.policy.MinResponseTimeout, min(maxResponseTimeout, time.Duration(p.policy.ResponseTimeoutFactor*float64(p.readingTime(q)))))
}

// readingTime is how long an endpoint is expected to take until the response begins. The caller holds mu.
func (p *Pool) readingTime(q Query) time.Duration {
	return time.Duration(float64(q.Prompt) / p.speeds[q.Service].perSecond() * float64(time.Second))
}
