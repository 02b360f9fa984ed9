// Package fetcher queries other nodes over PeerService for their replicated state
// and their revision of the configuration.
//
//	f := fetcher.New(self, table.Members, fetcher.WithClient(httpClient))
//	r := replicator.New(log, replicator.WithPeers(f))
//	c := configurator.New(r, f)
package fetcher
