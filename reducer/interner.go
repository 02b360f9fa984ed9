package reducer

import "cowsliptally.example/cowsliptally/fleet"

// interner makes equal names of one checkpoint share their memory.
type interner map[string]string

func (n interner) intern(name string) string {
	shared, found := n[name]
	if !found {
		n[name] = name
		return name
	}
	return shared
}

func (n interner) backend(b fleet.Backend) fleet.Backend {
	b.Service = fleet.ServiceName(n.intern(string(b.Service)))
	b.Owner = fleet.NodeID(n.intern(string(b.Owner)))
	b.Zone = fleet.Zone(n.intern(string(b.Zone)))
	return b
}

func (n interner) route(r fleet.Route) fleet.Route {
	r.Service = fleet.ServiceName(n.intern(string(r.Service)))
	r.Host = n.intern(r.Host)
	r.Method = n.intern(r.Method)
	r.Kind = fleet.RequestKind(n.intern(string(r.Kind)))
	return r
}
