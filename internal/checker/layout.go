package checker

import (
	"bytes"
	"encoding/json"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// Layout holds the places of the fields in a JSON text that a decoder has accepted.
type Layout struct {
	// Unknown and Repeated are the paths of fields that the decoder ignores: those that it does not know, and
	// those that occur again, of which the last one counts.
	Unknown, Repeated []string
	offsets           map[string]int64
	lineEnds          []int64
}

// ReadLayout returns the layout of a text for the Go type that encoding/json decodes it to. Only the syntax of the text
// needs to be valid.
func ReadLayout(text []byte, form reflect.Type) *Layout {
	r := layoutReader{Layout: &Layout{offsets: make(map[string]int64)}, text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	r.decoder.UseNumber()
	for i, b := range text {
		if b == '\n' {
			r.lineEnds = append(r.lineEnds, int64(i))
		}
	}
	r.readValue("", form)
	return r.Layout
}

// Offset returns the offset of the value at a path, or of the closest one that encloses it.
func (l *Layout) Offset(path string) int64 {
	for path != "" {
		if offset, ok := l.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// Line returns the line of an offset, from 1.
func (l *Layout) Line(offset int64) int {
	return 1 + sort.Search(len(l.lineEnds), func(i int) bool { return l.lineEnds[i] >= offset })
}

// PathAt returns the path of the last value that begins before an offset.
func (l *Layout) PathAt(offset int64) string {
	found, foundOffset := "", int64(-1)
	for path, begin := range l.offsets {
		if begin < offset && (begin > foundOffset || begin == foundOffset && len(path) > len(found)) {
			found, foundOffset = path, begin
		}
	}
	return found
}

// layoutReader reads a layout token by token.
type layoutReader struct {
	*Layout
	text    []byte
	decoder *json.Decoder
	failed  bool
}

var rawType = reflect.TypeFor[json.RawMessage]()

// readValue reads a value. Fields in values whose form is nil are not recorded.
func (r *layoutReader) readValue(path string, form reflect.Type) {
	for form != nil && form.Kind() == reflect.Pointer {
		form = form.Elem()
	}
	if form != nil {
		r.offsets[path] = r.nextOffset()
	}
	token, err := r.decoder.Token()
	if err != nil {
		r.failed = true
		return
	}
	switch token {
	case json.Delim('{'):
		if form != nil && form.Kind() != reflect.Struct {
			form = nil
		}
		r.readObject(path, form)
	case json.Delim('['):
		if form != nil && (form.Kind() != reflect.Slice || form == rawType) {
			form = nil
		}
		r.readList(path, form)
	}
}

// nextOffset returns the offset of the next value.
func (r *layoutReader) nextOffset() int64 {
	offset := r.decoder.InputOffset()
	for offset < int64(len(r.text)) && strings.IndexByte(" \t\r\n:,", r.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// readObject reads the fields and the end of an object.
func (r *layoutReader) readObject(path string, form reflect.Type) {
	seen := make(map[string]bool)
	for !r.failed && r.decoder.More() {
		token, err := r.decoder.Token()
		key, isKey := token.(string)
		if err != nil || !isKey {
			r.failed = true
			return
		}
		if form == nil {
			r.readValue("", nil)
			continue
		}
		field, ok := findField(form, key)
		fieldPath := joinPath(path, key)
		if !ok {
			r.Unknown = append(r.Unknown, fieldPath)
			r.offsets[fieldPath] = r.nextOffset()
			r.readValue("", nil)
			continue
		}
		fieldPath = joinPath(path, field.Name)
		if seen[field.Name] {
			r.Repeated = append(r.Repeated, fieldPath)
		}
		seen[field.Name] = true
		r.readValue(fieldPath, field.Type)
	}
	_, _ = r.decoder.Token()
}

// readList reads the items and the end of a list.
func (r *layoutReader) readList(path string, form reflect.Type) {
	for i := 0; !r.failed && r.decoder.More(); i++ {
		if form == nil {
			r.readValue("", nil)
			continue
		}
		r.readValue(path+"["+strconv.Itoa(i)+"]", form.Elem())
	}
	_, _ = r.decoder.Token()
}

// findField returns the field that encoding/json stores a key in: the one of that name or, without one, of a name that
// differs in case only.
func findField(form reflect.Type, key string) (reflect.StructField, bool) {
	if field, ok := form.FieldByName(key); ok && field.IsExported() {
		return field, true
	}
	return form.FieldByNameFunc(func(name string) bool { return strings.EqualFold(name, key) })
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
