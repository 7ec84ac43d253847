package tcpconn

import (
	"sync"
	"time"
)

// hosts are the open connections of a dialer by remote address.
type hosts struct {
	mu        sync.Mutex
	byAddress map[string]*host
	// checkedAt is when the connections were last checked because one seemed to be silent.
	checkedAt time.Time
}

// host is the connections to one address.
type host struct {
	conns map[*limitedConn]bool
	// upAt is when a connection last came up.
	upAt time.Time
	// probing is set while a connection is tried.
	probing bool
}

func newHosts() *hosts { return &hosts{byAddress: map[string]*host{}} }

// add adds a connection that came up now.
func (h *hosts) add(c *limitedConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	of := h.byAddress[c.address]
	if of == nil {
		of = &host{conns: map[*limitedConn]bool{}}
		h.byAddress[c.address] = of
	}
	of.conns[c] = true
	of.upAt = time.Now()
}

func (h *hosts) remove(c *limitedConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	of := h.byAddress[c.address]
	if of == nil {
		return
	}
	delete(of.conns, c)
	if len(of.conns) == 0 {
		delete(h.byAddress, c.address)
	}
}

// upAt returns when a connection to an address last came up; zero if none is open.
func (h *hosts) upAt(address string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if of := h.byAddress[address]; of != nil {
		return of.upAt
	}
	return time.Time{}
}

// beginProbe reports whether the caller is to try a connection to an address; one at a time does.
func (h *hosts) beginProbe(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	of := h.byAddress[address]
	if of == nil || of.probing {
		return false
	}
	of.probing = true
	return true
}

func (h *hosts) endProbe(address string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	of := h.byAddress[address]
	if of == nil {
		return
	}
	of.probing = false
	if up {
		of.upAt = time.Now()
	}
}

// toCheck returns the connections to check because one seems to be silent. They are not due if that
// was done within probeInterval.
func (h *hosts) toCheck() (list []*limitedConn, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.checkedAt) < probeInterval {
		return nil, false
	}
	h.checkedAt = time.Now()
	for _, of := range h.byAddress {
		for c := range of.conns {
			list = append(list, c)
		}
	}
	return list, true
}
