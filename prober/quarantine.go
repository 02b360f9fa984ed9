package prober

import (
	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/translator"
)

// quarantineBytes bounds the size of the records in one message. Further ones follow in later rounds.
const quarantineBytes = 64 << 10

// Quarantine holds what this node knows of requests that were running on backend servers that crashed. They are
// compared with the membership, as a node that was away has missed the reports.
type Quarantine interface {
	// Hashes returns a hash of the records in each bucket, or nothing without records.
	Hashes() []uint64
	// Differing returns the buckets whose hashes are not those of another node.
	Differing(theirs []uint64) []int
	// Bucket returns the records in a bucket, those with the latest crashes first.
	Bucket(bucket int) []quarantiner.Record
	// Merge merges records of other nodes.
	Merge(records ...quarantiner.Record)
}

// noQuarantine knows of none.
type noQuarantine struct{}

func (noQuarantine) Hashes() []uint64                { return nil }
func (noQuarantine) Differing([]uint64) []int        { return nil }
func (noQuarantine) Bucket(int) []quarantiner.Record { return nil }
func (noQuarantine) Merge(...quarantiner.Record)     {}

// WithQuarantine sets what is known of requests that were running on backend servers that crashed.
func WithQuarantine(quarantine Quarantine) Option {
	return func(p *Prober) { p.quarantine = quarantine }
}

// includeRecords adds the records of the buckets that differ to a response.
func (p *Prober) includeRecords(response *cowsliptallyv1.CompareResponse, theirs []uint64) {
	for _, bucket := range p.quarantine.Differing(theirs) {
		response.DifferingRecords = append(response.DifferingRecords, uint32(bucket))
	}
	response.Gossip.Records = p.recordsIn(response.DifferingRecords)
}

// recordsIn returns the records in some buckets, up to quarantineBytes. It begins at a random one, so that all of
// them are exchanged in time.
func (p *Prober) recordsIn(buckets []uint32) (messages []*cowsliptallyv1.QuarantineRecord) {
	if len(buckets) == 0 {
		return nil
	}
	now := p.clock.Now()
	bytes := quarantineBytes
	first := p.randomIndex(len(buckets))
	for i := range buckets {
		bucket := buckets[(first+i)%len(buckets)]
		for _, record := range p.quarantine.Bucket(int(bucket)) {
			message := translator.QuarantineRecordToMessage(record, now)
			if bytes -= proto.Size(message) + fieldBytes; bytes < 0 {
				return messages
			}
			messages = append(messages, message)
		}
	}
	return messages
}

// mergeRecords merges the records of another node.
func (p *Prober) mergeRecords(gossip *cowsliptallyv1.Gossip) {
	if told := gossip.GetRecords(); len(told) > 0 {
		p.quarantine.Merge(translator.QuarantineRecordsFromMessages(told, p.clock.Now())...)
	}
}
