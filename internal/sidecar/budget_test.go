package sidecar

import "testing"

// TestRoom checks that no more pieces are out than there may be, that those given back are used again, and that none are
// kept in a quiet time.
func TestRoom(t *testing.T) {
	r := &room{most: 3}
	if !r.take(2) || r.take(2) || !r.take(1) || r.take(1) {
		t.Fatal("more is taken than there may be, or less")
	}
	used := append(r.piece(), "secret"...)
	r.give(1, [][]byte{used})
	if !r.take(1) {
		t.Fatal("what was given back cannot be taken")
	}
	if again := r.piece(); len(again) != 0 || &again[:1][0] != &used[0] {
		t.Error("a piece that was given back is not used again, or not empty")
	}
	r.give(3, [][]byte{used, used})
	if len(r.free) != 0 || r.held != 0 {
		t.Errorf("%d pieces are kept in a quiet time, %d held", len(r.free), r.held)
	}
}
