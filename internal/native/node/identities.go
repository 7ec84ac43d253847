package node

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/honeydyke/honeydyke/internal/wire"
)

// maxIdentity bounds the identity that a caller may give its request, in bytes.
const maxIdentity = 128

// identities gives requests and jobs identities that no other of the fleet has.
type identities struct {
	incarnation string
	last        atomic.Uint64
}

func (i *identities) next() string {
	return i.incarnation + "-" + strconv.FormatUint(i.last.Add(1), 10)
}

// of returns the identity that the caller gave, or a new one when it gave none
// that can be written to a log.
func (i *identities) of(r *http.Request) string {
	id := r.Header.Get(wire.HeaderIdentity)
	if id == "" || len(id) > maxIdentity || strings.ContainsFunc(id, unprintable) {
		return i.next()
	}
	return id
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' }
