package parser_test

import (
	"testing"

	"oriolemill.example/oriolemill/pkg/parser"
)

// BenchmarkContract compares parsing a contract of an example from its text and
// from its checked form.
func BenchmarkContract(b *testing.B) {
	text := readFile(b, examples, "lutvik", "contracts", "alvkraft.yaml")
	form, err := parser.EncodeCheckedForm(parseContract(b, examples, "lutvik", "contracts", "alvkraft.yaml"), text)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("text", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := parser.ParseContract("alvkraft.yaml", text); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("form", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := parser.ParseCheckedForm("alvkraft.yaml", form, text); err != nil {
				b.Fatal(err)
			}
		}
	})
}
