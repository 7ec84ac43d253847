package tcpconn

import (
	"io"
	"sync"
	"time"
)

// settleTimeout bounds waiting for a write whose connection has ended for its reader. One that
// would succeed needs no room for that: its bytes have been read at the other end.
const settleTimeout = 250 * time.Millisecond

// Writes records the writes on a connection for its reader. The operating system reports a reset
// once, to a write or a read, whichever comes first; after a write that failed, the end of what is
// read is as clean as an orderly one. Writes must not overlap. The zero value has seen none.
type Writes struct {
	mu     sync.Mutex
	bytes  int64
	failed bool
	// writing is set while a write is in progress, and settled is closed when it ends; nil if nobody
	// waits for that.
	writing bool
	settled chan struct{}
}

// Write writes to w.
func (w *Writes) Write(to io.Writer, b []byte) (int, error) {
	w.mu.Lock()
	w.writing = true
	w.mu.Unlock()
	n, err := to.Write(b)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	w.bytes += int64(n)
	w.failed = w.failed || err != nil
	if w.settled != nil {
		close(w.settled)
		w.settled = nil
	}
	return n, err
}

// Bytes returns how many bytes were written so far.
func (w *Writes) Bytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Settle waits for the write in progress, if there is one, and returns how many bytes were written.
// It returns false if a write failed, or is still in progress after a short time.
func (w *Writes) Settle() (bytes int64, ok bool) {
	w.mu.Lock()
	var settled chan struct{}
	if w.writing {
		if w.settled == nil {
			w.settled = make(chan struct{})
		}
		settled = w.settled
	}
	w.mu.Unlock()
	if settled != nil {
		timeout := time.NewTimer(settleTimeout)
		defer timeout.Stop()
		select {
		case <-settled:
		case <-timeout.C:
			return w.Bytes(), false
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes, !w.failed
}
