package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies what a request asks for, whichever node it comes to and whatever
// identity, connection and time its caller gives this try: the hash of its content and
// of the organisation that asks. It is no proof against a caller who looks for two texts
// with one hash: such a caller only has both of its own requests taken for one.
type Digest uint64

// digestBase is hexadecimal, as other hashes are logged.
const digestBase = 16

// DigestOf returns the digest of a request of an organisation; the name is empty for
// requests without a key. content is the hash of method, path, query and body.
func DigestOf(organisation string, content uint64) Digest {
	text := binary.BigEndian.AppendUint64(nil, content)
	return Digest(xxhash.Sum64(append(text, organisation...)))
}

// String gives the digest as the log shows it.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), digestBase) }
