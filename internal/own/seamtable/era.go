package seamtable

// The store may come back from a copy, and loses what it acknowledged since. Each time its era rises by one. Epochs and
// fencing tokens contain the era in their high bits, so that those of a later era are above all that were lost.
const (
	// epochRandomBits is the number of random low bits of an epoch, so that two assigners that read the same table use
	// different epochs.
	epochRandomBits = 16
	// epochEraShift is the position of the era in an epoch. The bits between count the epochs of the era.
	epochEraShift = 40
	// fenceEraShift is the position of the era in the fencing tokens that are issued in it.
	fenceEraShift = 32
)

// NextEpoch returns an epoch of the era that is above the former one. random provides the low bits.
func NextEpoch(former uint64, era int64, random uint64) uint64 {
	count := max(former>>epochRandomBits, uint64(era)<<(epochEraShift-epochRandomBits)) + 1
	return count<<epochRandomBits | random&(1<<epochRandomBits-1)
}

// EpochEra returns the era in which an assigner of the epoch was elected.
func EpochEra(epoch uint64) int64 { return int64(epoch >> epochEraShift) }

// MinFence returns a bound above which all fencing tokens lie that are issued in the era, and below which all of the eras
// before lie.
func MinFence(era int64) uint64 { return uint64(era) << fenceEraShift }

// LostAssigner stands in Table.Assigners for those that were elected after the copy was made from which the store came
// back. Nobody knows them, so none of them can be known to have resigned.
func LostAssigner() Assigner { return Assigner{} }

// LostHolder stands in a table for the holders of the keys that any of these assigners may have leased to somebody.
func LostHolder() Holder { return Holder{} }
