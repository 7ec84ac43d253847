package quarantine

const (
	// maxCounted limits the requests and the subjects in each generation of a prevalence.
	maxCounted = 4096
	// maxCountedSubjects limits the subjects that are counted of one request. Common ones come
	// first in a prompt.
	maxCountedSubjects = 16
)

// prevalence counts in how many of the recent requests each subject was. Requests are counted in
// groups, such as the organisation's requests to a service: a subject is never in those of another
// group. It has two generations: when the newer one is full, the older one is dropped. The zero
// value is empty.
type prevalence struct {
	newer, older requestCounts
}

// requestCounts counts requests.
type requestCounts struct {
	total    int
	groups   map[Digest]int
	subjects map[Digest]subjectCount
}

// subjectCount is the number of requests of a group with one subject.
type subjectCount struct {
	group Digest
	n     int
}

// add counts a request.
func (p *prevalence) add(group Digest, subjects []Digest) {
	if p.newer.subjects == nil || p.newer.total >= maxCounted || len(p.newer.subjects) >= maxCounted {
		p.older, p.newer = p.newer, requestCounts{groups: map[Digest]int{}, subjects: map[Digest]subjectCount{}}
	}
	p.newer.total++
	p.newer.groups[group]++
	for _, d := range subjects[:min(len(subjects), maxCountedSubjects)] {
		p.newer.subjects[d] = subjectCount{group: group, n: p.newer.subjects[d].n + 1}
	}
}

// rare reports whether a subject was in fewer than half of its group's recent requests. It is not
// known to be rare before three requests of the group were counted.
func (p *prevalence) rare(d Digest) bool {
	newer, older := p.newer.subjects[d], p.older.subjects[d]
	n := newer.n + older.n
	if n == 0 {
		return false
	}
	group := newer.group
	if newer.n == 0 {
		group = older.group
	}
	return 2*n < p.newer.groups[group]+p.older.groups[group]
}
