package retrybudget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudget has no order of successes, further attempts and clients' retries spend more than was put by at the start
// and earned, in a class or in all.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(2, 0.2, 20)
		var earned, spent [3]float64 // by class, and the whole
		for _, event := range rapid.SliceOfN(rapid.IntRange(0, 5), 0, 500).Draw(t, "events") {
			class := event % 2
			switch event / 2 {
			case 0:
				b.Earn(class)
				earned[class], earned[2] = earned[class]+0.2, earned[2]+0.2
			case 1:
				if b.Spend(class) {
					spent[class], spent[2] = spent[class]+1, spent[2]+1
				}
			case 2:
				b.Charge(class)
			}
			for i := range spent {
				if spent[i] > 20+earned[i]+1e-6 {
					t.Fatalf("%v spent after %v were earned", spent, earned)
				}
			}
		}
		for range 200 {
			b.Earn(0)
		}
		b.Charge(0)
		for range 19 {
			if !b.Spend(0) {
				t.Fatal("what was put by can't be spent")
			}
		}
		if b.Spend(0) || b.Spend(1) {
			t.Fatal("more was put by than the most, or a client's retry took nothing")
		}
		for range 200 {
			b.Earn(1)
		}
		if b.Spend(0) || !b.Spend(1) {
			t.Fatal("a class lives on what another earned")
		}
	})
}
