package gateway

import (
	"strings"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// identity is the customer that a key belongs to, with the default class and budget of the key's requests.
type identity struct {
	customer string
	class    string
	budget   string
}

// authTable maps the hashes of keys to their identities.
type authTable struct {
	version int64
	keys    map[string]identity
}

func newAuthTable(doc *declare.Document) *authTable {
	t := &authTable{version: doc.Version, keys: make(map[string]identity)}
	for name, c := range doc.Decl.Customers {
		for _, ref := range c.Keys {
			t.keys[ref.Hash] = identity{customer: name, class: ref.Class, budget: c.Budget}
		}
	}
	return t
}

// authenticate returns the identity of the bearer key in an Authorization header.
func (g *Gateway) authenticate(header string) (identity, error) {
	secret, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || secret == "" {
		return identity{}, verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, "a bearer key is needed", verdict.WithField("Authorization"))
	}
	g.mu.Lock()
	t := g.auth
	g.mu.Unlock()
	id, ok := t.keys[declare.HashKey(secret)]
	if !ok {
		return identity{}, verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, "the key is not known", verdict.WithField("Authorization"))
	}
	return id, nil
}
