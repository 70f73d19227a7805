package pauser

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPause bounds a pause, so that a faulty value does not take a replica out of service for good.
const maxPause = time.Hour

// ParseHeader returns the pause that a response with a status requests by its Retry-After header, as
// received at now; zero for none. It accepts seconds, with a fraction as well, and HTTP dates, which it
// compares with the Date header if there is one. Of several values the longest counts. Values that are
// not positive or cannot be read request nothing.
func ParseHeader(status int, header http.Header, now time.Time) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	var longest time.Duration
	for _, value := range header["Retry-After"] {
		value = strings.TrimSpace(value)
		if date, err := http.ParseTime(value); err == nil {
			if sentAt, err := http.ParseTime(header.Get("Date")); err == nil {
				now = sentAt
			}
			longest = max(longest, date.Sub(now))
			continue
		}
		for text := range strings.SplitSeq(value, ",") {
			longest = max(longest, parseSeconds(strings.TrimSpace(text)))
		}
	}
	return min(longest, maxPause)
}

// parseSeconds parses decimal seconds; zero if they are malformed.
func parseSeconds(text string) time.Duration {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	// Digits that are out of range result in infinity.
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && seconds == 0 {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}
