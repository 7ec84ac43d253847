package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue bounds the calls that a target works on and orders those that wait by
// priority, then by arrival.
type slotQueue struct {
	mu      sync.Mutex
	free    int
	running int
	turn    int
	waiting waiters
}

// waiter is one waiting call.
type waiter struct {
	priority int
	turn     int
	ready    chan struct{}
	gone     bool
}

// enter takes a slot, waiting for one until ctx ends.
func (q *slotQueue) enter(ctx context.Context, priority int) error {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.running++
		q.mu.Unlock()
		return nil
	}
	q.turn++
	me := &waiter{priority: priority, turn: q.turn, ready: make(chan struct{})}
	heap.Push(&q.waiting, me)
	q.mu.Unlock()
	select {
	case <-me.ready:
		return nil
	case <-ctx.Done():
		return q.abandon(ctx, me)
	}
}

// abandon ends a wait; a slot that came at the same moment is given back.
func (q *slotQueue) abandon(ctx context.Context, me *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-me.ready:
		q.release()
	default:
		me.gone = true
	}
	return ctx.Err()
}

// leave gives a slot back.
func (q *slotQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release()
}

// release hands a slot to the next waiter. The lock is held.
func (q *slotQueue) release() {
	q.free++
	q.running--
	for q.free > 0 && len(q.waiting) > 0 {
		next := heap.Pop(&q.waiting).(*waiter)
		if next.gone {
			continue
		}
		q.free--
		q.running++
		close(next.ready)
	}
}

// counts returns the calls that hold a slot and those that wait.
func (q *slotQueue) counts() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		if !w.gone {
			waiting++
		}
	}
	return q.running, waiting
}

// waiters is a heap: the lowest priority number first, then the earliest.
type waiters []*waiter

func (ws waiters) Len() int { return len(ws) }

func (ws waiters) Less(i, j int) bool {
	if ws[i].priority != ws[j].priority {
		return ws[i].priority < ws[j].priority
	}
	return ws[i].turn < ws[j].turn
}

func (ws waiters) Swap(i, j int) { ws[i], ws[j] = ws[j], ws[i] }

// Push implements heap.Interface.
func (ws *waiters) Push(x any) { *ws = append(*ws, x.(*waiter)) }

// Pop implements heap.Interface.
func (ws *waiters) Pop() any {
	old := *ws
	w := old[len(old)-1]
	*ws = old[:len(old)-1]
	return w
}
