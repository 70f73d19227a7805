package relayer

import "net/http"

const (
	// headerLineBytes is what a line of the headers takes beside its bytes: entries of the maps of the request and of its copy
	// for the replica. Within 16 KB there may be 4,000 lines.
	headerLineBytes = 256
	// headAllowance is what the headers of a request may take without a reservation. It is a part of what a connection may
	// hold; ordinary headers stay below it.
	headAllowance = 32 << 10
)

// headBytes returns what headers take beyond headAllowance.
func headBytes(header http.Header) int64 {
	size := int64(0)
	for name, values := range header {
		for _, value := range values {
			size += headerLineBytes + 2*int64(len(name)+len(value))
		}
	}
	return max(size-headAllowance, 0)
}

// reserveHead reserves bytes for the headers. It does not wait, since they are held already, and reports whether the request
// goes on.
func (f *relayedRequest) reserveHead() bool {
	if f.headBytes = headBytes(f.r.Header); f.headBytes == 0 || f.account.TryReserve(f.headBytes) {
		return true
	}
	f.headBytes = 0
	f.w.Header().Set("Connection", "close")
	return f.refuse("no memory for the headers is left", overloadedBodyRetryAfter)
}
