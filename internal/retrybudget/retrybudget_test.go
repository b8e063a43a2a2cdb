package retrybudget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudget checks that in any order of successes, additional attempts and clients' own retries, neither a class nor
// all classes together spend more than the initial budget plus what they earned.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(2, 0.2, 20)
		var earned, spent [3]float64 // by class, then in total
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
					t.Fatalf("spent %v by class and in total, more than the initial 20 plus the earned %v", spent, earned)
				}
			}
		}
		for range 200 {
			b.Earn(0)
		}
		b.Charge(0)
		for range 19 {
			if !b.Spend(0) {
				t.Fatal("Spend refused an attempt within the budget")
			}
		}
		if b.Spend(0) || b.Spend(1) {
			t.Fatal("the balance exceeds the capacity, or Charge deducted nothing")
		}
		for range 200 {
			b.Earn(1)
		}
		if b.Spend(0) || !b.Spend(1) {
			t.Fatal("a class spends what another class earned, or cannot spend what it earned itself")
		}
	})
}
