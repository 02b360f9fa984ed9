package prober

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/disseminator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/roster"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// piggybackBytes bounds the changes in one probe or its response.
	piggybackBytes = 1 << 10
	// pushBytes bounds the changes in one push.
	pushBytes = 4 << 10
	// fieldBytes is the encoded size of one entry's tag and length.
	fieldBytes = 3
	// maxReadAgeMs bounds the age of a read that a message may tell, so that it fits a duration.
	maxReadAgeMs = 24 * 60 * 60 * 1000
)

// gossip returns the changes for a probe or its response: the newest ones, those that
// stop new work first, without the entries that the receiver has just sent.
func (p *Prober) gossip(received *cowsliptallyv1.Gossip) *cowsliptallyv1.Gossip {
	nodes, known := p.Nodes(), p.knownKeys(received)
	take := func(queue *disseminator.Disseminator, budget int, size sizer) []disseminator.Key {
		return queue.NextEntries(budget, nodes, func(key disseminator.Key) int {
			if known[key] {
				return disseminator.SkipEntry
			}
			return size(key)
		})
	}
	return p.collect(piggybackBytes, 1, take)
}

// knownKeys returns the entries in gossip of which this node has no newer version.
func (p *Prober) knownKeys(gossip *cowsliptallyv1.Gossip) map[disseminator.Key]bool {
	keys := make(map[disseminator.Key]bool, entryCount(gossip))
	for _, message := range gossip.GetMembers() {
		m, _ := p.roster.Member(fleet.NodeID(message.GetId()))
		if !roster.NewerMember(m, translator.MemberFromMessage(message)) {
			keys[disseminator.Key{Class: disseminator.ClassMember, ID: message.GetId()}] = true
		}
	}
	for _, message := range gossip.GetBackends() {
		b, _ := p.roster.Backend(fleet.BackendID(message.GetId()))
		if !roster.NewerBackend(b, translator.BackendFromMessage(message)) {
			keys[disseminator.Key{Class: disseminator.ClassBackend, ID: message.GetId()}] = true
		}
	}
	return keys
}

// pushGossip returns the changes for one push of a queue.
func (p *Prober) pushGossip(q *changeQueue) *cowsliptallyv1.Gossip {
	take := func(queue *disseminator.Disseminator, budget int, size sizer) []disseminator.Key {
		if queue != q.pending {
			return nil
		}
		return queue.UnpushedEntries(budget, size)
	}
	return p.collect(pushBytes, q.fanout, take)
}

// sizer returns the bytes of an entry, or 0 when it no longer exists.
type sizer func(disseminator.Key) int

// collect fills a message for the given number of receivers, within the given bytes per
// copy and within this node's budget of bytes per second.
func (p *Prober) collect(
	bytes, copies int, take func(*disseminator.Disseminator, int, sizer) []disseminator.Key,
) *cowsliptallyv1.Gossip {
	now := p.clock.Now()
	bytes = min(bytes, int(p.budget.TokensAt(now))/copies)
	messages := make(map[disseminator.Key]proto.Message)
	size := func(key disseminator.Key) int {
		message, found := messages[key]
		if !found {
			message = p.message(key)
			messages[key] = message
		}
		if message == nil {
			return 0
		}
		return proto.Size(message) + fieldBytes
	}
	gossip := &cowsliptallyv1.Gossip{}
	total := 0
	for _, q := range []*changeQueue{p.stopChanges, p.otherChanges} {
		for _, key := range take(q.pending, bytes-total, size) {
			total += size(key)
			appendTo(gossip, messages[key])
		}
	}
	p.budget.AllowN(now, total*copies)
	p.counters.gossipBytes.Inc(int64(total * copies))
	p.includeProgress(gossip)
	return gossip
}

// includeProgress adds this node's progress to a message.
func (p *Prober) includeProgress(gossip *cowsliptallyv1.Gossip) {
	progress := p.progress.Progress()
	gossip.Revision, gossip.NextOffset = uint64(progress.Revision), progress.NextOffset
	if !progress.LastRead.IsZero() {
		gossip.ReadAgeMs = uint64(max(1, p.clock.Since(progress.LastRead).Milliseconds()))
	}
}

// progressOf returns the progress in a message that has just arrived.
func (p *Prober) progressOf(gossip *cowsliptallyv1.Gossip) fleet.Progress {
	progress := fleet.Progress{Revision: fleet.Revision(gossip.GetRevision()), NextOffset: gossip.GetNextOffset()}
	if age := gossip.GetReadAgeMs(); age > 0 {
		progress.LastRead = p.clock.Now().Add(-time.Duration(min(age, maxReadAgeMs)) * time.Millisecond)
	}
	return progress
}

func appendTo(gossip *cowsliptallyv1.Gossip, message proto.Message) {
	switch m := message.(type) {
	case *cowsliptallyv1.Member:
		gossip.Members = append(gossip.Members, m)
	case *cowsliptallyv1.BackendServer:
		gossip.Backends = append(gossip.Backends, m)
	}
}

// message returns the newest version of an entry, or nil when it no longer exists or is
// implied by another: the backend servers of a node that left or died.
func (p *Prober) message(key disseminator.Key) proto.Message {
	if key.Class == disseminator.ClassMember {
		if m, found := p.roster.Member(fleet.NodeID(key.ID)); found {
			return memberMessage(m)
		}
		return nil
	}
	b, found := p.roster.Backend(fleet.BackendID(key.ID))
	if !found {
		return nil
	}
	owner, _ := p.roster.Member(b.Owner)
	if owner.State == fleet.MemberLeft || owner.State == fleet.MemberDead {
		return nil
	}
	return backendMessage(b)
}

// memberMessage omits the fields that peers already have when a node is not alive.
func memberMessage(m fleet.Member) *cowsliptallyv1.Member {
	if m.State != fleet.MemberAlive {
		m = fleet.Member{ID: m.ID, Incarnation: m.Incarnation, State: m.State}
	}
	return translator.MemberToMessage(m)
}

// backendMessage omits the fields that peers already have when a backend server takes
// no more work.
func backendMessage(b fleet.Backend) *cowsliptallyv1.BackendServer {
	if !b.AcceptsRequests() {
		b = fleet.Backend{ID: b.ID, Owner: b.Owner, State: b.State, Sequence: b.Sequence, Left: b.Left}
	}
	return translator.BackendToMessage(b)
}

// merge applies entries received from another node; spread selects whether changes are
// queued for other peers.
func (p *Prober) merge(gossip *cowsliptallyv1.Gossip, spread bool) {
	for _, message := range gossip.GetMembers() {
		p.mergeMember(translator.MemberFromMessage(message), spread)
	}
	for _, message := range gossip.GetBackends() {
		p.mergeBackend(translator.BackendFromMessage(message), spread)
	}
	p.mergeRecords(gossip)
}

// handleExchange applies one exchange with a peer: the sender, its changes and its progress.
func (p *Prober) handleExchange(from *cowsliptallyv1.Member, gossip *cowsliptallyv1.Gossip) {
	now := p.clock.Now()
	p.lastExchange.Store(&now)
	sender := translator.MemberFromMessage(from)
	p.mergeMember(sender, true)
	p.merge(gossip, true)
	p.progress.RecordPeerProgress(sender, p.progressOf(gossip))
}

func (p *Prober) mergeMember(m fleet.Member, spread bool) {
	if m.ID == "" || m.State < fleet.MemberAlive || m.State > fleet.MemberLeft {
		p.counters.invalid.Inc(1)
		return
	}
	if m.ID == p.node {
		p.refute(m)
		return
	}
	_, known := p.roster.Member(m.ID)
	if !known && m.State == fleet.MemberSuspect {
		return
	}
	if !p.roster.PutMember(m) {
		return
	}
	p.memberChanged(m, "told by a peer")
	if !spread {
		return
	}
	p.queueMemberChange(m)
}

// refute raises this node's incarnation when a peer reports this node as not alive or
// with a newer incarnation.
func (p *Prober) refute(m fleet.Member) {
	p.mu.Lock()
	obsolete := m.Incarnation < p.self.Incarnation
	same := m.Incarnation == p.self.Incarnation && m.State == fleet.MemberAlive
	if obsolete || same || p.self.State == fleet.MemberLeft {
		p.mu.Unlock()
		return
	}
	p.self = p.self.WithIncarnation(m.Incarnation + 1)
	self := p.self
	p.awareness = p.awareness.increased()
	p.mu.Unlock()
	p.counters.refutations.Inc(1)
	p.roster.PutMember(self)
	p.journal.Record(fleet.NewEvent(fleet.EventMemberState, string(self.ID), "refuted: "+m.State.String()))
	p.queueMemberChange(self)
}

func (p *Prober) mergeBackend(b fleet.Backend, spread bool) {
	if b.ID == "" || b.Owner == "" || b.State < fleet.BackendStarting || b.State > fleet.BackendGone {
		p.counters.invalid.Inc(1)
		return
	}
	old, _ := p.roster.Backend(b.ID)
	changed := p.roster.PutBackend(b)
	if _, local := p.owner.Backend(b.ID); local || b.Owner == p.node {
		p.owner.ResolveConflict(b)
	}
	if changed && spread {
		p.queueBackendChange(b, old.AcceptsRequests())
	}
}

// memberChanged records a change of another node in the membership table.
func (p *Prober) memberChanged(m fleet.Member, reason string) {
	p.mu.Lock()
	p.peersStale = true
	if entry, suspected := p.suspicions[m.ID]; suspected {
		if m.State != fleet.MemberSuspect || m.Incarnation > entry.incarnation {
			delete(p.suspicions, m.ID)
		}
	}
	p.mu.Unlock()
	p.journal.Record(fleet.NewEvent(fleet.EventMemberState, string(m.ID), m.State.String()+": "+reason))
}
