package roster

import (
	"encoding/binary"
	"net/netip"
)

// address is an IPv4 address with its port, or the number of an interned string.
type address struct {
	host     uint32
	port     uint16
	interned bool
}

// packAddress packs text; anything but a plain IPv4 address with port is interned.
func packAddress(text string, strings *interner) address {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || !parsed.Addr().Is4() || parsed.String() != text {
		return address{host: strings.acquire(text), interned: true}
	}
	host := parsed.Addr().As4()
	return address{host: binary.BigEndian.Uint32(host[:]), port: parsed.Port()}
}

// text returns the address in its original form.
func (a address) text(strings *interner) string {
	if a.interned {
		return strings.value(a.host)
	}
	var host [4]byte
	binary.BigEndian.PutUint32(host[:], a.host)
	return netip.AddrPortFrom(netip.AddrFrom4(host), a.port).String()
}

// release releases the string of an interned address.
func (a address) release(strings *interner) {
	if a.interned {
		strings.release(a.host)
	}
}
