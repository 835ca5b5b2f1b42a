package claim

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of Answers.
const (
	DefaultMaxAnswers     = 4096
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxBodyBytes   = 1 << 20
	DefaultAnswerTTL      = 10 * time.Minute
)

// AnswerState tells what is known of an attempt's answer.
type AnswerState int

// States of an answer.
const (
	// AnswerUnknown means that nothing is known of the attempt, or that the
	// fate of its dispatch is unknown.
	AnswerUnknown AnswerState = iota
	// AnswerRunning means that the attempt has not ended.
	AnswerRunning
	// AnswerKept means that the whole answer is in memory.
	AnswerKept
	// AnswerGone means that the attempt ran and its answer is no longer, or was
	// never, in memory.
	AnswerGone
	// AnswerNotRun means that the attempt ended without a run.
	AnswerNotRun
)

// HeaderField is one header of an answer.
type HeaderField struct {
	Name   string
	Values []string
}

// Answer is the whole answer of an attempt. It must not be changed once kept.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// size returns the bytes that an answer counts for.
func (a Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Header {
		n += len(h.Name)
		for _, v := range h.Values {
			n += len(v)
		}
	}
	return n
}

// AnswersConfig sets the limits of Answers. Zero fields take the defaults.
type AnswersConfig struct {
	// MaxCount bounds the attempts, running ones included.
	MaxCount int
	// MaxBytes bounds the sum of the kept answers, and MaxBodyBytes each one.
	MaxBytes, MaxBodyBytes int
	// TTL is how long an ended attempt is remembered.
	TTL time.Duration
	// Now returns the present time. It must be set.
	Now func() time.Time
}

// answerEntry is an attempt and, once it has ended, its answer.
type answerEntry struct {
	attempt AttemptID
	state   AnswerState
	answer  Answer
	bytes   int
	endedAt time.Time
	// done is closed when the attempt ends.
	done chan struct{}
	// element is the entry's place in ended, once the attempt has ended.
	element *list.Element
}

// Answers keeps the answers of this router's attempts in memory, so that a
// repeated key gets the same answer. It is bounded by count, bytes and time. It
// is safe for concurrent use.
type Answers struct {
	cfg AnswersConfig

	mu      sync.Mutex
	entries map[AttemptID]*answerEntry
	// ended lists the ended entries, oldest first.
	ended *list.List
	bytes int
}

// NewAnswers returns an empty Answers.
func NewAnswers(cfg AnswersConfig) *Answers {
	setDefault(&cfg.MaxCount, DefaultMaxAnswers)
	setDefault(&cfg.MaxBytes, DefaultMaxAnswerBytes)
	setDefault(&cfg.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&cfg.TTL, DefaultAnswerTTL)
	return &Answers{cfg: cfg, entries: map[AttemptID]*answerEntry{}, ended: list.New()}
}

// Begin notes that an attempt is running. It must be called before the attempt
// is claimed, so that a repeated key never finds the claim without the attempt.
// It returns ErrTooManyAnswers while MaxCount attempts are running.
func (a *Answers) Begin(id AttemptID) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	if _, ok := a.entries[id]; ok {
		return nil
	}
	if len(a.entries) >= a.cfg.MaxCount && !a.evictOldest() {
		return eris.Wrapf(ErrTooManyAnswers, "limit %d", a.cfg.MaxCount)
	}
	a.entries[id] = &answerEntry{attempt: id, state: AnswerRunning, done: make(chan struct{})}
	return nil
}

// Finish keeps the whole answer of an attempt. An answer over MaxBodyBytes is
// not kept, only the fact that the attempt ran.
func (a *Answers) Finish(id AttemptID, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := answer.size()
	if size > a.cfg.MaxBodyBytes || size > a.cfg.MaxBytes {
		a.end(id, AnswerGone, Answer{}, 0)
		return
	}
	a.end(id, AnswerKept, answer, size)
}

// FinishUnknown notes that the fate of an attempt's dispatch is unknown.
func (a *Answers) FinishUnknown(id AttemptID) {
	a.finishState(id, AnswerUnknown)
}

// FinishNotRun notes that an attempt ended without a run. Its claim, if it has
// one, must be released first.
func (a *Answers) FinishNotRun(id AttemptID) {
	a.finishState(id, AnswerNotRun)
}

func (a *Answers) finishState(id AttemptID, s AnswerState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end(id, s, Answer{}, 0)
}

// Lookup returns what is known of an attempt, without waiting.
func (a *Answers) Lookup(id AttemptID) (Answer, AnswerState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	e, ok := a.entries[id]
	if !ok {
		return Answer{}, AnswerUnknown
	}
	return e.answer, e.state
}

// Wait returns what is known of an attempt once it is not running. It returns
// AnswerRunning and the context's error if the context ends first.
func (a *Answers) Wait(ctx context.Context, id AttemptID) (Answer, AnswerState, error) {
	a.mu.Lock()
	a.expire()
	e, ok := a.entries[id]
	a.mu.Unlock()
	if !ok {
		return Answer{}, AnswerUnknown, nil
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return Answer{}, AnswerRunning, ctx.Err()
	}
	// The entry is taken directly: it may have been evicted since it ended.
	a.mu.Lock()
	defer a.mu.Unlock()
	return e.answer, e.state, nil
}

// end moves a running attempt to its final state. Later calls have no effect.
func (a *Answers) end(id AttemptID, s AnswerState, answer Answer, size int) {
	e, ok := a.entries[id]
	if !ok || e.state != AnswerRunning {
		return
	}
	e.state, e.answer, e.bytes = s, answer, size
	e.endedAt = a.cfg.Now()
	e.element = a.ended.PushBack(e)
	a.bytes += size
	close(e.done)
	a.shrink()
}

// shrink drops the bodies of the oldest kept answers until the rest fits.
func (a *Answers) shrink() {
	for el := a.ended.Front(); el != nil && a.bytes > a.cfg.MaxBytes; el = el.Next() {
		e := el.Value.(*answerEntry)
		if e.state != AnswerKept {
			continue
		}
		a.bytes -= e.bytes
		e.state, e.answer, e.bytes = AnswerGone, Answer{}, 0
	}
}

// expire forgets the ended attempts older than the TTL.
func (a *Answers) expire() {
	oldest := a.cfg.Now().Add(-a.cfg.TTL)
	for el := a.ended.Front(); el != nil; el = a.ended.Front() {
		if el.Value.(*answerEntry).endedAt.After(oldest) {
			return
		}
		a.remove(el)
	}
}

func (a *Answers) evictOldest() bool {
	el := a.ended.Front()
	if el == nil {
		return false
	}
	a.remove(el)
	return true
}

func (a *Answers) remove(el *list.Element) {
	e := el.Value.(*answerEntry)
	a.ended.Remove(el)
	a.bytes -= e.bytes
	delete(a.entries, e.attempt)
}
