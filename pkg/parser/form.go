package parser

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// ErrCheckedFormMismatch means that a checked form does not match its text or was written
// by a program version with other fields. The caller must parse the text instead.
var ErrCheckedFormMismatch = merry.New("checked form does not match the text or this program version")

// checkedForm is the checked form of a contract: its fields as JSON, which is
// parsed many times faster than YAML, with the hash of the YAML text.
type checkedForm struct {
	// TextHash is the hash of the text that the form was made from.
	TextHash string       `json:"text"`
	Contract *rawContract `json:"contract"`
}

// EncodeCheckedForm returns the checked form of a contract that was parsed from text. The
// contract must not come from WithoutSource or ParseCheckedForm.
func EncodeCheckedForm(contract *Contract, text []byte) ([]byte, error) {
	return json.Marshal(checkedForm{TextHash: hashText(text), Contract: contract.raw})
}

// ParseCheckedForm parses a contract from its checked form and validates it. The result
// equals that of ParseContract for the same text, but for what WithoutSource omits. The
// error is ErrCheckedFormMismatch if the form was made from another text or by a program
// version with other fields; any other error is of type Problems, without positions.
func ParseCheckedForm(file string, data, text []byte) (*Contract, error) {
	var form checkedForm
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil || form.Contract == nil || form.TextHash != hashText(text) {
		return nil, merry.Prepend(ErrCheckedFormMismatch, file)
	}
	r := &reader{file: file}
	contract := form.Contract.build(r)
	if err := r.err(); err != nil {
		return nil, err
	}
	return contract.WithoutSource(), nil
}

// WithoutSource returns a copy of the contract without the raw fields and positions, which
// only EncodeCheckedForm and the messages of CrossCheck need, to save memory.
func (c *Contract) WithoutSource() *Contract {
	stripped := *c
	stripped.raw, stripped.positions = nil, nil
	return &stripped
}

// hashText returns the hexadecimal xxHash of a text. It detects a change of the
// text; it is not a protection against forgery.
func hashText(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }
