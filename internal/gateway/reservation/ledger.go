// Package reservation decides when a refused request may return to a batch service with
// capacity reserved for it, and recognises it when it does.
//
// The coordinator of a service keeps one Ledger. For each planned stage the ledger offers the
// earliest time at which a retry can have capacity. A node that refuses the request tells its
// client that time and asks for a reservation. A plan with the same digest that arrives in the
// window of the reservation claims it.
//
// At most a fraction of the service's rate is reserved (share), so that first attempts are
// never excluded. Each reservation has an interval of that reserved rate for itself, which
// ends before the reservation can be claimed. Between its quote and the decision of the node,
// an offer holds its interval, so that two requests are not offered the same capacity.
//
// A Ledger is in the memory of one member and is lost with it; a retry is then treated as one
// without a reservation. If two members coordinate a service at once, each reservation is with
// one of them and lapses there. The package performs no I/O and does not read the clock: all
// times are arguments. Reservations past their time are never claimed or counted, also after
// the process was suspended.
package reservation

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// share is the fraction of the service's rate that can be reserved. The rest is left to
	// first attempts.
	share = 0.5
	// maxAfter is the latest time from now for which capacity is offered. It is the longest
	// time after which clients are told to retry (rules.RetryAfter).
	maxAfter = 4 * time.Second
	// maxKeep bounds how long a reservation can be claimed. With maxAfter it bounds for how
	// long capacity is counted twice if two members coordinate the service.
	maxKeep = 500 * time.Millisecond
	// earlyMargin is how much earlier than its time a reservation can be claimed: clients are
	// told the time in hundredths of a second, and the message with the reservation may take
	// longer than the answer to the client.
	earlyMargin = 50 * time.Millisecond
	// holdTime is how long an offer holds its capacity. A node waits for quotes for 100 ms and
	// decides at once. Requests that are admitted hold the capacity of their later stages for
	// nothing, so that a longer time delays the offers of others.
	holdTime = 200 * time.Millisecond
	// maxEntries bounds the reservations and held offers, and so the memory of a ledger.
	maxEntries = 4096
)

// Request is a planned stage for whose retry capacity can be reserved.
type Request struct {
	// ID is that of the request, which its retry does not have.
	ID string
	// Digest identifies what the request asks for; 0 if unknown.
	Digest quarantine.Digest
	Stage  int
	Items  int
	// Bytes is the approximate size of one result.
	Bytes int64
	// Priority is 0 for the most urgent.
	Priority int
	// OverShare is whether the request's organisation is over its fair share. Such a request
	// is offered no capacity, since a claim is admitted whatever the share: the organisation
	// would get the reserved part of the rate in addition to its share.
	OverShare bool
}

func (r Request) key() key { return key{r.Digest, r.Stage} }

func (r Request) offerKey() offerKey { return offerKey{r.ID, r.Stage} }

// key identifies a reservation.
type key struct {
	digest quarantine.Digest
	stage  int
}

// offerKey identifies an offer.
type offerKey struct {
	request string
	stage   int
}

// Quote is the answer to a Request that claims no reservation: Offer, Held, Full or Unknown.
type Quote interface{ isQuote() }

// Offer is the time after which capacity can be reserved.
type Offer struct{ After time.Duration }

// Held means that the request already has a reservation, which can be claimed after a time.
type Held struct{ After time.Duration }

// Full means that no capacity can be reserved.
type Full struct{}

// Unknown means that the request could not be recognised when it returns.
type Unknown struct{}

func (Offer) isQuote()   {}
func (Held) isQuote()    {}
func (Full) isQuote()    {}
func (Unknown) isQuote() {}

// Stats counts what a ledger has done since it was created.
type Stats struct {
	Offered, Claimed, Lapsed, Dropped int64
}

// State describes a ledger for operators.
type State struct {
	Stats
	// Open counts the reservations that are neither claimed nor past their time.
	Open int
}

// Ledger holds the reservations of one service. The zero value is an empty ledger. It is not
// safe for concurrent use.
type Ledger struct {
	// epoch is the time that instants are relative to.
	epoch        time.Time
	reservations map[key]*entry
	offers       map[offerKey]*entry
	// byLapse holds all entries, the one that lapses first at the front.
	byLapse lapseHeap
	// byFrom holds the reservations in the order in which they can be claimed.
	byFrom []*entry
	// schedule holds the intervals of the reserved rate that are in use, in their order. They
	// do not overlap.
	schedule []interval
	stats    Stats
}

// instant is a time as its distance from the ledger's epoch, which is cheaper to compare than
// a time.Time.
type instant time.Duration

func (i instant) add(d time.Duration) instant { return i + instant(d) }

func (i instant) sub(other instant) time.Duration { return time.Duration(i - other) }

// at returns a time as an instant.
func (l *Ledger) at(t time.Time) instant {
	if l.epoch.IsZero() {
		l.epoch = t
	}
	return instant(t.Sub(l.epoch))
}

// entry is a reservation or a held offer.
type entry struct {
	Request
	// held is whether it is an offer.
	held bool
	// from is when the reservation can be claimed, lapses when the entry ends.
	from, lapses instant
	interval     interval
	// index is the position in the heap.
	index int
}

// Claim ends the reservation of a request and reports whether there was one that can be
// claimed now.
func (l *Ledger) Claim(now time.Time, r Request) bool {
	t := l.expire(now)
	e := l.reservations[r.key()]
	if r.Digest == 0 || e == nil || t < e.from.add(-earlyMargin) {
		return false
	}
	// The rest of its interval stays in use, since its items now are.
	l.remove(e)
	l.stats.Claimed++
	return true
}

// Quote returns the earliest time after which capacity for the retry of a request can be
// reserved, and holds that capacity for holdTime. perSecond is the service's current rate in
// items. A request that has a reservation already gets its time, and one of an organisation
// over its share gets no offer.
func (l *Ledger) Quote(now time.Time, r Request, perSecond float64) Quote {
	t := l.expire(now)
	l.Withdraw(r.ID, r.Stage)
	if r.Digest == 0 {
		return Unknown{}
	}
	if e := l.reservations[r.key()]; e != nil {
		return Held{After: max(e.from.sub(t), time.Millisecond)}
	}
	if r.OverShare {
		return Full{}
	}
	slot, ok := l.firstFit(t, t.add(maxAfter-time.Millisecond), r, perSecond)
	if !ok {
		return Full{}
	}
	l.add(&entry{Request: r, held: true, lapses: t.add(holdTime), interval: slot})
	l.stats.Offered++
	// Messages carry whole milliseconds; a shorter time would precede the end of the interval.
	return Offer{After: slot.end.sub(t).Truncate(time.Millisecond) + time.Millisecond}
}

// Reserve reserves capacity for the retry of a request, which can claim it from the time from
// on for keep. The capacity is that of the request's offer, or what is free if the offer is no
// longer held; without any, nothing is reserved. It leaves an earlier reservation as it is.
func (l *Ledger) Reserve(now time.Time, r Request, from time.Time, keep time.Duration, perSecond float64) {
	t, claimable := l.expire(now), l.at(from)
	offer := l.offers[r.offerKey()]
	l.Withdraw(r.ID, r.Stage)
	if r.Digest == 0 || l.reservations[r.key()] != nil {
		return
	}
	var slot interval
	ok := claimable > t.add(-earlyMargin) && claimable <= t.add(maxAfter)
	switch {
	case !ok:
	case offer != nil && offer.Items == r.Items:
		slot = offer.interval
	default:
		slot, ok = l.firstFit(t, claimable, r, perSecond)
	}
	if !ok {
		l.stats.Dropped++
		return
	}
	l.add(&entry{Request: r, from: claimable, lapses: claimable.add(min(max(keep, 0), maxKeep)), interval: slot})
}

// Withdraw ends the offer to one stage of a request, if there is one.
func (l *Ledger) Withdraw(request string, stage int) {
	if e := l.offers[offerKey{request, stage}]; e != nil {
		l.remove(e)
		l.free(e.interval)
	}
}

// Wait returns how long a first attempt waits that would wait for the given time without the
// reservations. It adds the time for the reservations that are not less urgent and can be
// claimed before the turn of the attempt, but not those from its due time on. What is claimed
// after its turn does not delay it; if that counted too, a service that is half reserved
// would refuse first attempts while its targets are idle. An attempt that comes before its own
// reservation can be claimed waits for that at least: it gains nothing by repeating at once.
func (l *Ledger) Wait(now time.Time, r Request, due time.Time, wait time.Duration, perSecond float64) time.Duration {
	t, end := l.expire(now), l.at(due)
	if perSecond <= 0 {
		return wait
	}
	own := l.reservations[r.key()]
	if r.Digest != 0 && own != nil {
		wait = max(wait, own.from.sub(t))
	}
	for _, e := range l.byFrom {
		if e.from > t.add(wait) || e.from >= end {
			break
		}
		if e.Priority <= r.Priority && e != own {
			wait += duration(e.Items, perSecond)
		}
	}
	return wait
}

// State returns the state of the ledger.
func (l *Ledger) State(now time.Time) State {
	l.expire(now)
	return State{Stats: l.stats, Open: len(l.reservations)}
}

// duration returns how long a number of items takes at a rate.
func duration(items int, perSecond float64) time.Duration {
	return saturate.Duration(float64(items) / perSecond * float64(time.Second))
}

// expire ends the entries whose time has passed. It returns the time as an instant.
func (l *Ledger) expire(now time.Time) instant {
	t := l.at(now)
	for len(l.byLapse) > 0 && t >= l.byLapse[0].lapses {
		e := l.byLapse[0]
		l.remove(e)
		l.free(e.interval)
		if !e.held {
			l.stats.Lapsed++
		}
	}
	past := 0
	for past < len(l.schedule) && l.schedule[past].end <= t {
		past++
	}
	l.schedule = slices.Delete(l.schedule, 0, past)
	return t
}

// add adds an entry. If the ledger is full, the entry that lapses first is dropped.
func (l *Ledger) add(e *entry) {
	if l.reservations == nil {
		l.reservations, l.offers = map[key]*entry{}, map[offerKey]*entry{}
	}
	if len(l.byLapse) >= maxEntries {
		first := l.byLapse[0]
		l.remove(first)
		l.free(first.interval)
		l.stats.Dropped++
	}
	heap.Push(&l.byLapse, e)
	l.occupy(e.interval)
	if e.held {
		l.offers[e.offerKey()] = e
		return
	}
	l.reservations[e.key()] = e
	i, _ := slices.BinarySearchFunc(l.byFrom, e, compareFrom)
	l.byFrom = slices.Insert(l.byFrom, i, e)
}

// remove removes an entry. Its interval stays in use.
func (l *Ledger) remove(e *entry) {
	heap.Remove(&l.byLapse, e.index)
	if e.held {
		delete(l.offers, e.offerKey())
		return
	}
	delete(l.reservations, e.key())
	i, _ := slices.BinarySearchFunc(l.byFrom, e, compareFrom)
	for l.byFrom[i] != e {
		i++
	}
	l.byFrom = slices.Delete(l.byFrom, i, i+1)
}

func compareFrom(a, b *entry) int { return cmp.Compare(a.from, b.from) }

// lapseHeap is a heap of entries by when they lapse.
type lapseHeap []*entry

func (h lapseHeap) Len() int           { return len(h) }
func (h lapseHeap) Less(i, j int) bool { return h[i].lapses < h[j].lapses }

func (h lapseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *lapseHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *lapseHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
