package roster

// BucketCount is the number of coarse buckets, and of fine ones in each of them.
const BucketCount = 64

const (
	bucketBits = 6
	fineCount  = BucketCount * BucketCount
)

// buckets holds one hash for each fine bucket: the exclusive or of its entries' hashes.
type buckets [fineCount]uint64

// toggle adds or removes one version of an entry.
func (b *buckets) toggle(id, version uint64) {
	b[fineBucket(id)] ^= version
}

// coarse returns the hashes of the coarse buckets.
func (b *buckets) coarse() []uint64 {
	hashes := make([]uint64, BucketCount)
	for i, hash := range b {
		hashes[i/BucketCount] ^= hash
	}
	return hashes
}

// fine returns the hashes of the fine buckets of a coarse one.
func (b *buckets) fine(coarse int) []uint64 {
	hashes := make([]uint64, BucketCount)
	copy(hashes, b[coarse*BucketCount:])
	return hashes
}

func fineBucket(id uint64) int {
	return int(id >> (64 - 2*bucketBits))
}
