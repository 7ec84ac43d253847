package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies what a request asks of a service. It does not depend on the node that
// receives the request or on the identity, connection and time of the attempt. It is not
// collision resistant: a caller that constructs two requests with the same digest only
// causes its own two requests to be treated as one.
type Digest uint64

const (
	// digestBase is the number base of a digest's text, hexadecimal like other hashes in
	// the log.
	digestBase = 16
	// digestBits is the size of a digest in bits.
	digestBits = 64
)

// DigestOf returns the digest of a request from an organisation to a service. The
// organisation is empty for requests without a key. content is the hash of method, path,
// query and body. The service is part of the digest because services run different
// software: a request that crashes the targets of one may be harmless to another, and an
// answer of one is no evidence about another.
func DigestOf(organisation, service string, content uint64) Digest {
	return digest(organisation, service, binary.BigEndian.AppendUint64(nil, content))
}

// StageDigestOf returns the digest of one stage of a request, which runs at the stage's
// service. Items of the stage have their own digests (Item).
func StageDigestOf(organisation, service string, stage int, content uint64) Digest {
	text := binary.BigEndian.AppendUint64(nil, content)
	return digest(organisation, service, binary.BigEndian.AppendUint64(text, uint64(stage)))
}

// PartDigestOf returns the digest of a part of prompts, which an organisation's requests to a
// service may have in common. Parts of different organisations are distinguished, so that one
// cannot have the parts of another held.
func PartDigestOf(organisation, service, part string) Digest {
	return digest(organisation, service, []byte(part))
}

// GroupDigestOf returns the digest of all requests of an organisation to a service.
func GroupDigestOf(organisation, service string) Digest { return digest(organisation, service, nil) }

// Item returns the digest of the i-th item of a stage, or 0 if the digest of the stage is
// unknown. Items are distinguished because one may crash its targets while the others of
// the stage are processed.
func (d Digest) Item(i int) Digest {
	if d == 0 {
		return 0
	}
	return digest("", "", binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(d)), uint64(i)))
}

// digest hashes its arguments, with length prefixes that separate the strings.
func digest(organisation, service string, content []byte) Digest {
	var text []byte
	for _, s := range []string{organisation, service} {
		text = append(binary.AppendUvarint(text, uint64(len(s))), s...)
	}
	return Digest(xxhash.Sum64(append(text, content...)))
}

// ParseDigest parses the result of String, and reports whether the text is a digest.
func ParseDigest(s string) (Digest, bool) {
	n, err := strconv.ParseUint(s, digestBase, digestBits)
	return Digest(n), err == nil
}

// String returns the digest in hexadecimal, as it appears in logs.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), digestBase) }
