package folder

import "cowsliptally.example/cowsliptally/fleet"

// interner lets equal names of one checkpoint share their memory.
type interner map[string]string

func (n interner) share(name string) string {
	shared, found := n[name]
	if !found {
		n[name] = name
		return name
	}
	return shared
}

func (n interner) backend(b fleet.Backend) fleet.Backend {
	b.Service = fleet.ServiceName(n.share(string(b.Service)))
	b.Owner = fleet.NodeID(n.share(string(b.Owner)))
	b.Zone = fleet.Zone(n.share(string(b.Zone)))
	return b
}

func (n interner) route(r fleet.Route) fleet.Route {
	r.Service = fleet.ServiceName(n.share(string(r.Service)))
	r.Host = n.share(r.Host)
	r.Method = n.share(r.Method)
	r.Kind = fleet.RequestKind(n.share(string(r.Kind)))
	return r
}
