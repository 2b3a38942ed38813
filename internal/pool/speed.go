package pool

import (
	"math"
	"time"
)

const (
	defaultSpeed       = 20000           // tokens a second, until answers have told; a few times slower than the endpoints that are known
	speedMemory        = 200 * 1000      // tokens of prompts after which what was learnt of a speed counts a third
	minPrompt          = 1000            // shorter prompts tell nothing of a speed
	maxResponseTimeout = 5 * time.Second // bounds what a slow service or a huge prompt may take
)

// speed is how fast a service's endpoints get through prompts, kept parts and waiting counted in.
type speed struct{ tokens, seconds float64 }

func (s *speed) perSecond() float64 {
	if s == nil || s.tokens < speedMemory/10 || s.seconds <= 0 {
		return defaultSpeed
	}
	return s.tokens / s.seconds
}

// ObserveFirstEvent notes how long an endpoint took to the first event of an answer to a prompt.
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
	keep := math.Exp(-float64(prompt) / speedMemory)
	x.tokens = x.tokens*keep + float64(prompt)
	x.seconds = x.seconds*keep + took.Seconds()
}

// ResponseTimeout is how long the endpoint may take to the first word of the answer: what reading the prompt is expected to take, some times.
func (s *Lease) ResponseTimeout() time.Duration { return s.responseTimeout }

// responseTimeout is how long an endpoint may take to the first word of an answer. The caller holds mu.
func (l *Pool) responseTimeout(q Query) time.Duration {
	return max(l.policy.MinResponseTimeout, min(maxResponseTimeout, time.Duration(l.policy.ResponseTimeoutFactor*float64(l.readingTime(q)))))
}

// readingTime is how long an endpoint is expected to take to the first word of an answer. The caller holds mu.
func (l *Pool) readingTime(q Query) time.Duration {
	return time.Duration(float64(q.Prompt) / l.speeds[q.Service].perSecond() * float64(time.Second))
}
