package pool

import "time"

// Word is what an endpoint says of itself in the head of an answer.
type Word struct {
	Leaving bool          // it takes no new work, and will end
	Rest    time.Duration // it wants nothing from this instance for so long; 0: it does not say so
}

// Answer is the answer of an endpoint that a word stood in.
type Answer struct {
	Request string // its ID
	Status  int
}

// Heard tells of an endpoint's word that was taken, for logs.
type Heard struct {
	Endpoint Endpoint // by its record
	Word     Word
	Answer   Answer
	Age      time.Duration // of the record
}

// said is what an endpoint says of itself in answers.
type said struct {
	leaving time.Time // when it last said that it leaves; zero: it does not say so
	resting time.Time // until when it wants nothing from this instance
}

// Said takes what the endpoint says of itself in an answer.
func (s *Lease) Said(w Word, a Answer) {
	if w == (Word{}) {
		return
	}
	l := s.pool
	l.mu.Lock()
	defer l.mu.Unlock()
	now, m := l.now(), s.member
	if m.said == nil {
		m.said = &said{}
	}
	if m.said.take(w, now) {
		l.heard(Heard{Endpoint: m.Endpoint, Word: w, Answer: a, Age: now.Sub(m.told)})
	}
}

// take takes a word; true if it is news: an endpoint that leaves or rests says so in each of its answers.
func (s *said) take(w Word, now time.Time) (news bool) {
	if w.Leaving {
		news = s.leaving.IsZero()
		s.leaving = now
	}
	if until := now.Add(w.Rest); w.Rest > 0 && until.After(s.resting) {
		news = news || !now.Before(s.resting)
		s.resting = until
	}
	return news
}
