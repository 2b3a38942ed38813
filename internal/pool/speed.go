package pool

import (
	"math"
	"time"
)

const (
	defaultSpeed       = 20000           // tokens a second, until responses are measured; a few times below known endpoints
	speedMemory        = 200 * 1000      // tokens of prompts after which a measurement weighs a third
	minPrompt          = 1000            // tokens: shorter prompts give no usable measurement
	maxResponseTimeout = 5 * time.Second // upper bound, for slow services and huge prompts
)

// speed is how fast a service's endpoints process prompts, including cached parts and queueing.
type speed struct{ tokens, seconds float64 }

func (s *speed) perSecond() float64 {
	if s == nil || s.tokens < speedMemory/10 || s.seconds <= 0 {
		return defaultSpeed
	}
	return s.tokens / s.seconds
}

// ObserveFirstEvent records how long an endpoint took to the first event of the response to a prompt.
func (s *Lease) ObserveFirstEvent(prompt int64, took time.Duration) {
	if prompt < minPrompt {
		return
	}
	l := s.pool
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.speeds[s.endpoint.Service]
	if x == nil {
		x = &speed{}
		l.speeds[s.endpoint.Service] = x
	}
	decay := math.Exp(-float64(prompt) / speedMemory)
	x.tokens = x.tokens*decay + float64(prompt)
	x.seconds = x.seconds*decay + took.Seconds()
}

// ResponseTimeout returns how long the endpoint may take until the response begins: a multiple of the time that
// reading the prompt is expected to take, within bounds.
func (s *Lease) ResponseTimeout() time.Duration { return s.responseTimeout }

// responseTimeout is how long an endpoint may take until the response begins. The caller holds mu.
func (l *Pool) responseTimeout(q Query) time.Duration {
	return max(l.policy.MinResponseTimeout, min(maxResponseTimeout, time.Duration(l.policy.ResponseTimeoutFactor*float64(l.readingTime(q)))))
}

// readingTime is how long an endpoint is expected to take until the response begins. The caller holds mu.
func (l *Pool) readingTime(q Query) time.Duration {
	return time.Duration(float64(q.Prompt) / l.speeds[q.Service].perSecond() * float64(time.Second))
}
