package routes

import (
	"container/heap"
	"time"
)

// event is an action scheduled for a time; seq orders events of the same time.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// after schedules an action after the duration d.
func (w *world) after(d time.Duration, what func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, action: what})
}

// every repeats an action each d, beginning at a random time within the first d.
func (w *world) every(d time.Duration, what func()) {
	w.after(time.Duration(w.random.Int64N(int64(d))), func() {
		what()
		w.repeat(d, what)
	})
}

// repeat repeats an action each d, beginning after d.
func (w *world) repeat(d time.Duration, what func()) {
	w.after(d, func() {
		what()
		w.repeat(d, what)
	})
}
