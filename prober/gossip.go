package prober

import (
	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/disseminator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/roster"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// piggybackBytes bounds the changes in one probe or its answer.
	piggybackBytes = 1 << 10
	// pushBytes bounds the changes in one push.
	pushBytes = 4 << 10
	// fieldBytes is the cost of one entry's tag and length.
	fieldBytes = 3
)

// gossip returns what a probe or its answer carries: the newest changes, those
// that stop work first, but for what the receiver just told.
func (p *Prober) gossip(told *cowsliptallyv1.Gossip) *cowsliptallyv1.Gossip {
	nodes, known := p.Nodes(), p.known(told)
	take := func(queue *disseminator.Disseminator, budget int, size sizer) []disseminator.Key {
		return queue.Take(budget, nodes, func(key disseminator.Key) int {
			if known[key] {
				return disseminator.Skip
			}
			return size(key)
		})
	}
	return p.collect(piggybackBytes, 1, take)
}

// known returns the entries in gossip of which this node has no newer version.
func (p *Prober) known(gossip *cowsliptallyv1.Gossip) map[disseminator.Key]bool {
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

// freshGossip returns what a push of an outlet carries.
func (p *Prober) freshGossip(o *outlet) *cowsliptallyv1.Gossip {
	take := func(queue *disseminator.Disseminator, budget int, size sizer) []disseminator.Key {
		if queue != o.queue {
			return nil
		}
		return queue.Push(budget, size)
	}
	return p.collect(pushBytes, o.fanout, take)
}

// sizer returns the bytes of an entry, or 0 when it no longer exists.
type sizer func(disseminator.Key) int

// collect fills a message that is sent to a number of nodes, within a number of
// bytes a copy and within the bytes a second that this node may send.
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
	for _, o := range []*outlet{p.stops, p.changes} {
		for _, key := range take(o.queue, bytes-total, size) {
			total += size(key)
			appendTo(gossip, messages[key])
		}
	}
	p.budget.AllowN(now, total*copies)
	p.counters.gossipBytes.Inc(int64(total * copies))
	revision, nextOffset := p.progress.Known()
	gossip.Revision, gossip.NextOffset = uint64(revision), nextOffset
	return gossip
}

func appendTo(gossip *cowsliptallyv1.Gossip, message proto.Message) {
	switch m := message.(type) {
	case *cowsliptallyv1.Member:
		gossip.Members = append(gossip.Members, m)
	case *cowsliptallyv1.BackendServer:
		gossip.Backends = append(gossip.Backends, m)
	}
}

// message returns the newest version of an entry, or nil when it no longer exists
// or when it goes without saying: the backend servers of a node that left or died.
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

// memberMessage leaves out what others know already of a node that is not alive.
func memberMessage(m fleet.Member) *cowsliptallyv1.Member {
	if m.State != fleet.MemberAlive {
		m = fleet.Member{ID: m.ID, Incarnation: m.Incarnation, State: m.State}
	}
	return translator.MemberToMessage(m)
}

// backendMessage leaves out what others know already of a backend server that takes
// no more work.
func backendMessage(b fleet.Backend) *cowsliptallyv1.BackendServer {
	if !b.TakesWork() {
		b = fleet.Backend{ID: b.ID, Owner: b.Owner, State: b.State, Sequence: b.Sequence}
	}
	return translator.BackendToMessage(b)
}

// merge takes in what another node tells; spread tells whether to pass it on.
func (p *Prober) merge(gossip *cowsliptallyv1.Gossip, spread bool) {
	for _, message := range gossip.GetMembers() {
		p.mergeMember(translator.MemberFromMessage(message), spread)
	}
	for _, message := range gossip.GetBackends() {
		p.mergeBackend(translator.BackendFromMessage(message), spread)
	}
}

// hear takes in a whole exchange: its sender, the changes and how far it is.
func (p *Prober) hear(from *cowsliptallyv1.Member, gossip *cowsliptallyv1.Gossip) {
	now := p.clock.Now()
	p.heard.Store(&now)
	sender := translator.MemberFromMessage(from)
	p.mergeMember(sender, true)
	p.merge(gossip, true)
	p.progress.Heard(sender, fleet.Revision(gossip.GetRevision()), gossip.GetNextOffset())
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
	p.queueMember(m)
}

// refute raises the own incarnation when another node spreads that this one is
// not alive, or a newer life of it.
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
	p.awareness = p.awareness.worse()
	p.mu.Unlock()
	p.counters.refutations.Inc(1)
	p.roster.PutMember(self)
	p.journal.Record(fleet.NewEvent(fleet.EventMember, string(self.ID), "refuted: "+m.State.String()))
	p.queueMember(self)
}

func (p *Prober) mergeBackend(b fleet.Backend, spread bool) {
	if b.ID == "" || b.Owner == "" || b.State < fleet.BackendStarting || b.State > fleet.BackendGone {
		p.counters.invalid.Inc(1)
		return
	}
	old, _ := p.roster.Backend(b.ID)
	changed := p.roster.PutBackend(b)
	if _, local := p.owner.Backend(b.ID); local || b.Owner == p.node {
		p.owner.Claim(b)
	}
	if changed && spread {
		p.queueBackend(b, old.TakesWork())
	}
}

// memberChanged notes a change of another node in the roster.
func (p *Prober) memberChanged(m fleet.Member, reason string) {
	p.mu.Lock()
	p.stale = true
	if entry, accused := p.suspicions[m.ID]; accused {
		if m.State != fleet.MemberSuspect || m.Incarnation > entry.incarnation {
			delete(p.suspicions, m.ID)
		}
	}
	p.mu.Unlock()
	p.journal.Record(fleet.NewEvent(fleet.EventMember, string(m.ID), m.State.String()+": "+reason))
}
