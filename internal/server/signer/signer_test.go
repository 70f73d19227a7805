package signer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/signer"
)

func TestTokenIsBoundToServiceKeyAndTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	s := signer.New("key", clock)
	token := s.Token("mill-gateway")
	is.NoErr(s.Check("mill-gateway", token))
	is.True(s.Check("kiln-watch", token) != nil)
	is.True(signer.New("other", clock).Check("mill-gateway", token) != nil)
	is.True(s.Check("mill-gateway", token[:len(token)-1]+"x") != nil)
	is.True(s.Check("mill-gateway", "") != nil)
	is.True(signer.New("", clock).Check("mill-gateway", signer.New("", clock).Token("mill-gateway")) != nil)
	now = now.Add(2 * time.Minute)
	is.True(s.Check("mill-gateway", token) != nil)
}

func FuzzCheck(f *testing.F) {
	f.Add("mill-gateway", "1000.mill-gateway.00")
	f.Add("a.b", "..")
	f.Fuzz(func(t *testing.T, service, token string) {
		s := signer.New("key", func() time.Time { return time.Unix(1000, 0) })
		if s.Check(service, token) == nil && token != s.Token(service) {
			t.Fatal("accepted a token that Token did not return")
		}
		if err := s.Check(service, s.Token(service)); err != nil {
			t.Fatalf("refused a token that Token returned: %v", err)
		}
	})
}
