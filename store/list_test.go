package store

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// pagesOf is a store whose pages come from copies of different age.
type pagesOf struct {
	Store
	pages []Page
}

// Range implements Store.
func (s *pagesOf) Range(context.Context, string, string, bool) (Page, error) {
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

// The second page of a stale listing comes from an older copy than the first one. A watch from
// the revision of the first page would not show what the second one lacks.
func TestListSkipsChangesOfOlderPage(t *testing.T) {
	s := &pagesOf{pages: []Page{
		{Items: []Item{{Key: "a", Revision: 5}}, More: true, Revision: 20},
		{Items: []Item{{Key: "b", Revision: 7}}, More: true, Revision: 12},
		{Items: []Item{{Key: "c", Revision: 21}}, Revision: 25},
	}}
	items, revision, err := List(context.Background(), s, "", true)
	require.NoError(t, err)
	require.Len(t, items, 3)
	require.EqualValues(t, 12, revision)
}
