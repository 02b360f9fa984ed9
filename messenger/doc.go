// Package messenger calls the PeerService of other nodes over Connect.
package messenger
