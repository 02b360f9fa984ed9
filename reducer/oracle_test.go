package reducer_test

import (
	"sort"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// oracle is a reference implementation: it applies records to plain maps and
// recomputes all counts each time.
type oracle struct {
	revision  uint64
	floors    map[string]int
	routes    map[string]string
	overrides map[string]string
	backends  map[string]*cowsliptallyv1.BackendServer
	ejected   map[string]uint64
	results   map[string]uint64
}

func newOracle() *oracle {
	return &oracle{
		floors:    map[string]int{},
		routes:    map[string]string{},
		overrides: map[string]string{},
		backends:  map[string]*cowsliptallyv1.BackendServer{},
		ejected:   map[string]uint64{},
		results:   map[string]uint64{},
	}
}

func (o *oracle) healthy(service string) (healthy, all int) {
	for id, b := range o.backends {
		if b.GetService() != service {
			continue
		}
		all += int(b.GetSlots())
		_, ejected := o.ejected[id]
		decision, overridden := o.overrides[id]
		if (overridden && decision == "in") || (!overridden && !ejected) {
			healthy += int(b.GetSlots())
		}
	}
	return healthy, all
}

// returnEjections returns the oldest ejected backend servers of each service that
// is below its floor, until it is at its floor or nothing is ejected.
func (o *oracle) returnEjections() {
	for service, floor := range o.floors {
		for {
			healthy, _ := o.healthy(service)
			var ids []string
			for id := range o.ejected {
				if o.backends[id].GetService() == service {
					ids = append(ids, id)
				}
			}
			if healthy >= floor || len(ids) == 0 {
				break
			}
			sort.Slice(ids, func(i, j int) bool {
				if o.ejected[ids[i]] != o.ejected[ids[j]] {
					return o.ejected[ids[i]] < o.ejected[ids[j]]
				}
				return ids[i] < ids[j]
			})
			delete(o.ejected, ids[0])
		}
	}
}

func (o *oracle) apply(offset uint64, record *cowsliptallyv1.Record) {
	switch body := record.GetBody().(type) {
	case *cowsliptallyv1.Record_Proposal:
		o.propose(body.Proposal)
	case *cowsliptallyv1.Record_Ejection:
		o.eject(offset, body.Ejection)
	case *cowsliptallyv1.Record_Return:
		delete(o.ejected, body.Return.GetBackend())
	case *cowsliptallyv1.Record_Join:
		o.join(body.Join.GetBackend())
	case *cowsliptallyv1.Record_Leave:
		b, found := o.backends[body.Leave.GetBackend()]
		if found && (body.Leave.GetOwner() == "" || body.Leave.GetOwner() == b.GetOwner()) {
			delete(o.backends, b.GetId())
			delete(o.ejected, b.GetId())
		}
	case *cowsliptallyv1.Record_Group:
		for _, inner := range body.Group.GetRecords() {
			if inner.GetGroup() == nil {
				o.apply(offset, inner)
			}
		}
	}
	o.returnEjections()
}

func (o *oracle) join(b *cowsliptallyv1.BackendServer) {
	if b.GetId() == "" || b.GetSlots() == 0 {
		return
	}
	known, found := o.backends[b.GetId()]
	if found && known.GetOwner() == b.GetOwner() && known.GetSequence() >= b.GetSequence() {
		return
	}
	if found && known.GetService() != b.GetService() {
		delete(o.ejected, b.GetId())
	}
	o.backends[b.GetId()] = b
}

func (o *oracle) eject(offset uint64, e *cowsliptallyv1.Ejection) {
	b, joined := o.backends[e.GetBackend()]
	floor, known := o.floors[e.GetService()]
	_, ejected := o.ejected[e.GetBackend()]
	_, overridden := o.overrides[e.GetBackend()]
	if !joined || !known || ejected || overridden || b.GetService() != e.GetService() {
		return
	}
	if healthy, _ := o.healthy(e.GetService()); healthy-int(b.GetSlots()) >= floor {
		o.ejected[e.GetBackend()] = offset
	}
}

func (o *oracle) propose(p *cowsliptallyv1.Proposal) {
	if _, done := o.results[p.GetOperation()]; done || p.GetOperation() == "" {
		return
	}
	o.results[p.GetOperation()] = 0
	if p.GetBaseRevision() != o.revision || len(p.GetChanges()) == 0 {
		return
	}
	floors, routes, overrides := clone(o.floors), clone(o.routes), clone(o.overrides)
	for _, change := range p.GetChanges() {
		if !o.change(change) {
			o.floors, o.routes, o.overrides = floors, routes, overrides
			return
		}
	}
	for _, service := range o.routes {
		if _, found := o.floors[service]; !found {
			o.floors, o.routes, o.overrides = floors, routes, overrides
			return
		}
	}
	for _, change := range p.GetChanges() {
		delete(o.ejected, change.GetPutOverride().GetBackend())
		delete(o.ejected, change.GetDeleteOverride())
	}
	o.revision++
	o.results[p.GetOperation()] = o.revision
}

func (o *oracle) change(change *cowsliptallyv1.Change) bool {
	switch edit := change.GetEdit().(type) {
	case *cowsliptallyv1.Change_PutService:
		name, floor := edit.PutService.GetName(), int(edit.PutService.GetMinHealthySlots())
		_, all := o.healthy(name)
		if floor > o.floors[name] && all > 0 && floor > all {
			return false
		}
		o.floors[name] = floor
		return edit.PutService.GetRule().GetErrorRate() <= 1
	case *cowsliptallyv1.Change_DeleteService:
		_, found := o.floors[edit.DeleteService]
		delete(o.floors, edit.DeleteService)
		return found
	case *cowsliptallyv1.Change_PutRoute:
		_, found := o.floors[edit.PutRoute.GetService()]
		o.routes[edit.PutRoute.GetName()] = edit.PutRoute.GetService()
		return found
	case *cowsliptallyv1.Change_DeleteRoute:
		_, found := o.routes[edit.DeleteRoute]
		delete(o.routes, edit.DeleteRoute)
		return found
	case *cowsliptallyv1.Change_PutOverride:
		_, joined := o.backends[edit.PutOverride.GetBackend()]
		_, found := o.overrides[edit.PutOverride.GetBackend()]
		o.overrides[edit.PutOverride.GetBackend()] = edit.PutOverride.GetDecision()
		return joined || found
	case *cowsliptallyv1.Change_DeleteOverride:
		_, found := o.overrides[edit.DeleteOverride]
		delete(o.overrides, edit.DeleteOverride)
		return found
	}
	return false
}

func clone[V any](entries map[string]V) map[string]V {
	copied := map[string]V{}
	for key, value := range entries {
		copied[key] = value
	}
	return copied
}
