package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies what a request asks of a service, whichever node it comes to and
// whatever identity, connection and time its caller gives this try. It is no proof against
// a caller who looks for two texts with one hash: such a caller only has both of its own
// requests taken for one.
type Digest uint64

// digestBase is hexadecimal, as other hashes are logged.
const digestBase = 16

// DigestOf returns the digest of a request of an organisation at a service; the name is
// empty for requests without a key. content is the hash of method, path, query and body.
// Services run different software: what ends the targets of one may do others no harm, and
// an answer of one says nothing of another.
func DigestOf(organisation, service string, content uint64) Digest {
	return digest(organisation, service, binary.BigEndian.AppendUint64(nil, content))
}

// StageDigestOf returns the digest of one stage of a request, which runs at the stage's
// service. Its items have digests of their own (Item).
func StageDigestOf(organisation, service string, stage int, content uint64) Digest {
	text := binary.BigEndian.AppendUint64(nil, content)
	return digest(organisation, service, binary.BigEndian.AppendUint64(text, uint64(stage)))
}

// Item returns the digest of one item of a stage, by its number; 0 of an unknown stage.
// One item may end its targets while the others of its stage are computed.
func (d Digest) Item(i int) Digest {
	if d == 0 {
		return 0
	}
	return digest("", "", binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(d)), uint64(i)))
}

// digest hashes texts of which the first two have their lengths before them.
func digest(organisation, service string, content []byte) Digest {
	var text []byte
	for _, s := range []string{organisation, service} {
		text = append(binary.AppendUvarint(text, uint64(len(s))), s...)
	}
	return Digest(xxhash.Sum64(append(text, content...)))
}

// ParseDigest reads what String gives; false for any other text.
func ParseDigest(s string) (Digest, bool) {
	n, err := strconv.ParseUint(s, digestBase, digestBits)
	return Digest(n), err == nil
}

// digestBits is the size of a digest in bits.
const digestBits = 64

// String gives the digest as the log shows it.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), digestBase) }
