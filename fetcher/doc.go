// Package fetcher asks other nodes what they have folded, over PeerService.
//
//	f := fetcher.New(self, roster.Members, fetcher.WithClient(httpClient))
//	k := keeper.New(log, keeper.WithPeers(f))
//	o := operator.New(k, f)
package fetcher
