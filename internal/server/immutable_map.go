package server

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// mapShards is the number of shards of an immutableMap. With a few thousand
// entries, each shard holds only a few, so that a change copies little.
const mapShards = 512

// immutableMap is an immutable map with names as keys. An edit produces a new map
// that shares all unmodified shards.
type immutableMap[V any] struct {
	shards [mapShards]map[string]V
}

// shardIndex returns the index of the shard that holds a name.
func shardIndex(name string) uint64 { return xxhash.Sum64String(name) % mapShards }

// get returns an entry; the receiver may be nil.
func (m *immutableMap[V]) get(name string) (V, bool) {
	if m == nil {
		var none V
		return none, false
	}
	value, ok := m.shards[shardIndex(name)][name]
	return value, ok
}

// all iterates over all entries; the receiver may be nil.
func (m *immutableMap[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m == nil {
			return
		}
		for _, shard := range m.shards {
			for name, value := range shard {
				if !yield(name, value) {
					return
				}
			}
		}
	}
}

// edit returns an editor for a copy of the map; the receiver may be nil.
func (m *immutableMap[V]) edit() *mapEditor[V] {
	e := &mapEditor[V]{result: &immutableMap[V]{}}
	if m != nil {
		e.result.shards = m.shards
	}
	return e
}

// mapEditor builds an immutableMap, which must not be modified once it is shared.
// The editor is not safe for concurrent use.
type mapEditor[V any] struct {
	result *immutableMap[V]
	// copied is set for the shards that result does not share with another map.
	copied [mapShards]bool
}

// shard returns the shard of a name for modification, copying it on first use.
func (e *mapEditor[V]) shard(name string) map[string]V {
	i := shardIndex(name)
	if !e.copied[i] {
		e.copied[i] = true
		if e.result.shards[i] == nil {
			e.result.shards[i] = make(map[string]V)
		} else {
			e.result.shards[i] = maps.Clone(e.result.shards[i])
		}
	}
	return e.result.shards[i]
}

func (e *mapEditor[V]) set(name string, value V) { e.shard(name)[name] = value }

func (e *mapEditor[V]) remove(name string) { delete(e.shard(name), name) }
