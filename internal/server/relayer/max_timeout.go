package relayer

// MaxTimeout is the longest time that a request waits for its response. Longer timeouts of clients and routes count as this.
const MaxTimeout = defaultClientTimeout
