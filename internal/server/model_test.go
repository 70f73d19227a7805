package server_test

import (
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

func TestModelMatchesNameAndVersion(t *testing.T) {
	u := server.NewUpstream(server.Listing{ID: "e"}, &server.Gauge{},
		server.WithLoad(server.Load{Models: []string{"a@1", "a@2", "b", "c@9"}}),
		server.WithRetiringModels([]string{"c@9"}))
	tests := []struct {
		requested, want string
		ok              bool
	}{
		{"a", "a@2", true},
		{"a@1", "a@1", true},
		{"a@3", "", false},
		{"b", "b", true},
		{"c", "", false},
		{"c@9", "", false},
		{"", "", true},
	}
	for _, test := range tests {
		t.Run(test.requested, func(t *testing.T) {
			is := is.New(t)
			got, ok := u.ServingModel(test.requested)
			is.Equal(got, test.want)
			is.Equal(ok, test.ok)
		})
	}
}
