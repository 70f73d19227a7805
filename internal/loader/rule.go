package loader

import (
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Rule determines the valid values of a setting.
type Rule struct {
	// allowedValues describes the valid values for errors and the reference page.
	allowedValues string
	accepts       func(value string) bool
}

// maxPort is the highest TCP port.
const maxPort = 65535

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// AnyValue accepts every value; allowedValues describes for operators which are meant.
func AnyValue(allowedValues string) Rule {
	return Rule{allowedValues: allowedValues, accepts: func(string) bool { return true }}
}

// Name accepts names of instances and data centres.
func Name() Rule {
	return Rule{
		allowedValues: "1 to 63 small letters, digits, dots and dashes, the first a letter or digit",
		accepts:       namePattern.MatchString,
	}
}

// Address accepts an IP address, which may be empty, with a port.
func Address() Rule {
	return Rule{
		allowedValues: "IP:PORT, such as 127.0.0.1:8080; port 0 takes a free one",
		accepts: func(value string) bool {
			host, port, err := net.SplitHostPort(value)
			if err != nil || host != "" && net.ParseIP(host) == nil {
				return false
			}
			number, err := strconv.Atoi(port)
			return err == nil && number >= 0 && number <= maxPort
		},
	}
}

// URL accepts an HTTP or HTTPS URL without a path.
func URL() Rule {
	return Rule{
		allowedValues: "http://HOST:PORT or https://HOST:PORT, without a path",
		accepts: func(value string) bool {
			u, err := url.Parse(value)
			return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && strings.Trim(u.Path, "/") == ""
		},
	}
}

// Choice accepts each of the given values.
func Choice(values ...string) Rule {
	return Rule{
		allowedValues: strings.Join(values, " or "),
		accepts:       func(value string) bool { return slices.Contains(values, value) },
	}
}

// hashPattern matches a SHA-256 hash in hexadecimal digits.
var hashPattern = regexp.MustCompile("^[0-9a-f]{64}$")

// OptionalSHA256 accepts the SHA-256 hash of a token in hexadecimal digits, or the empty
// string.
func OptionalSHA256() Rule {
	return Rule{
		allowedValues: "64 lower-case hexadecimal digits, the SHA-256 hash, or nothing",
		accepts:       func(value string) bool { return value == "" || hashPattern.MatchString(value) },
	}
}

// nonNegativeDuration accepts durations of zero or more.
func nonNegativeDuration() Rule {
	return Rule{
		allowedValues: "a time of zero or more, such as 500ms or 5s",
		accepts: func(value string) bool {
			d, err := time.ParseDuration(value)
			return err == nil && d >= 0
		},
	}
}
