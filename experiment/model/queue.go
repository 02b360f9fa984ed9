package model

import "time"

// action is the action of a queue entry.
type action uint8

const (
	actionArrive action = iota + 1
	actionServed
	actionAnswer
	actionTimeout
	actionTick
	actionScenario
)

// entry is an action scheduled at a time.
type entry struct {
	at       time.Duration
	sequence uint64
	action   action
	attempt  *attempt
	ingress  *ingress
}

// queue is a binary heap of entries ordered by time, then by order of insertion.
type queue struct {
	entries  []entry
	sequence uint64
}

func (q *queue) push(e entry) {
	q.sequence++
	e.sequence = q.sequence
	q.entries = append(q.entries, e)
	i := len(q.entries) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.entries[i].before(&q.entries[parent]) {
			return
		}
		q.entries[i], q.entries[parent] = q.entries[parent], q.entries[i]
		i = parent
	}
}

func (q *queue) pop() entry {
	first := q.entries[0]
	last := len(q.entries) - 1
	q.entries[0] = q.entries[last]
	q.entries[last] = entry{}
	q.entries = q.entries[:last]
	q.siftDown()
	return first
}

// siftDown moves the first entry down until the heap order holds.
func (q *queue) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q.entries) {
			return
		}
		if child+1 < len(q.entries) && q.entries[child+1].before(&q.entries[child]) {
			child++
		}
		if !q.entries[child].before(&q.entries[i]) {
			return
		}
		q.entries[i], q.entries[child] = q.entries[child], q.entries[i]
		i = child
	}
}

func (e *entry) before(other *entry) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}
