package batching

// dueOrder sums work by due time, in a balanced binary search tree whose nodes hold the sums
// of their subtrees. It is a treap whose ranks are hashes of the keys, so that the same events
// give the same tree. Changes and sums take logarithmic time in the number of different due
// times. The zero value is empty.
type dueOrder struct{ root *dueNode }

type dueNode struct {
	due  int64
	rank uint64
	// own is the work that is due at due, sum that of the subtree.
	own, sum    footprint
	left, right *dueNode
}

func (f footprint) plus(other footprint) footprint {
	return footprint{items: f.items + other.items, bytes: f.bytes + other.bytes}
}

func (f footprint) minus(other footprint) footprint {
	return footprint{items: f.items - other.items, bytes: f.bytes - other.bytes}
}

// add adds work; a negative size removes work that was added before.
func (o *dueOrder) add(due int64, size footprint) {
	if size != (footprint{}) {
		o.root = o.root.add(due, size)
	}
}

// total returns all work.
func (o *dueOrder) total() footprint { return o.root.total() }

// upTo returns the work that is due at due or before.
func (o *dueOrder) upTo(due int64) footprint {
	var sum footprint
	for n := o.root; n != nil; {
		if due < n.due {
			n = n.left
			continue
		}
		sum = sum.plus(n.own).plus(n.left.total())
		n = n.right
	}
	return sum
}

func (n *dueNode) total() footprint {
	if n == nil {
		return footprint{}
	}
	return n.sum
}

func (n *dueNode) update() { n.sum = n.own.plus(n.left.total()).plus(n.right.total()) }

func (n *dueNode) add(due int64, size footprint) *dueNode {
	switch {
	case n == nil:
		return &dueNode{due: due, rank: hashKey(due), own: size, sum: size}
	case due == n.due:
		n.own = n.own.plus(size)
		if n.own == (footprint{}) {
			return mergeNodes(n.left, n.right)
		}
	case due < n.due:
		n.left = n.left.add(due, size)
		if l := n.left; l != nil && l.rank > n.rank {
			n.left, l.right = l.right, n
			n.update()
			n = l
		}
	default:
		n.right = n.right.add(due, size)
		if r := n.right; r != nil && r.rank > n.rank {
			n.right, r.left = r.left, n
			n.update()
			n = r
		}
	}
	n.update()
	return n
}

// mergeNodes joins two subtrees, all keys of the first being lower.
func mergeNodes(a, b *dueNode) *dueNode {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.rank > b.rank:
		a.right = mergeNodes(a.right, b)
		a.update()
		return a
	}
	b.left = mergeNodes(a, b.left)
	b.update()
	return b
}

// hashKey is the finaliser of SplitMix64, which spreads neighbouring keys evenly.
func hashKey(key int64) uint64 {
	z := uint64(key) + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
