package blocker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// partKeys returns the names of parts in the tables, of which each has a bounded length and is no key
// of a request.
func partKeys(parts []string) []string {
	keys := make([]string, min(len(parts), maxParts))
	for i := range keys {
		if keys[i] = parts[i]; len(parts[i]) > maxPartBytes || isRequestKey(parts[i]) {
			keys[i] = fmt.Sprintf("hash:%016x", xxhash.Sum64String(parts[i]))
		}
	}
	return keys
}

// requestKeys returns those of the keys in a message that requests may have.
func requestKeys(keys []string) []string {
	return slices.DeleteFunc(keys[:min(len(keys), maxRequestKeys)], func(key string) bool { return !isRequestKey(key) || len(key) > maxPartBytes })
}

// allKeys returns the names in the tables of a request's parts, and its own keys.
func allKeys(content server.RequestContent) []string {
	return append(partKeys(content.Parts), content.Keys...)
}

// describe returns what a key stands for, in log lines.
func describe(key string) string {
	if isRequestKey(key) {
		return "request"
	}
	return "part of prompts"
}

// isRequestKey reports whether a key is that of a request.
func isRequestKey(key string) bool { return strings.HasPrefix(key, server.ContentKeyPrefix) }
