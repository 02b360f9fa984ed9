// Package authenticator determines the organisation of a request from its key. It does no
// I/O: a configuration and a key go in, an organisation comes out.
//
// It is built for every request of fleets with up to 490,000 organisations. The cost of a
// request does not depend on their number, and a new revision costs nothing here, as the
// configuration already holds the organisations by the digests of their keys.
package authenticator
