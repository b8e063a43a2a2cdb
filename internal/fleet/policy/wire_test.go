package policy

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestEncodedForms requires that messages, log entries and snapshots are encoded to the same bytes as by commit
// af0b01d.
func TestEncodedForms(t *testing.T) {
	stored := ledgerOf(proposal("a", 1, "x"), Entry{Commit: 2}, Entry{Switch: 2}, Entry{InForce: 2},
		proposal("b", 1, "z"), proposal("c", 2, "y"))
	snapshot, err := stored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name  string
		value any
		want  string
	}{
		{"proposal", proposal("a", 1, "x"), "a101a40161610267736f6d656f6e650301044178"},
		{"refusal", refusal(2), "a102a2010202666e313a206e6f"},
		{"commit", Entry{Commit: 2}, "a10302"},
		{"switch", Entry{Switch: 3}, "a10403"},
		{"in force", Entry{InForce: 4}, "a10504"},
		{"request", LeaseRequest{"n1", 7, Stamp{2, 3}, 4, "no"}, "a501626e31020703a201020203040405626e6f"},
		{"response", LeaseResponse{Stamp{2, 3}, 4, time.Second, 5, time.Minute, time.Hour, 6},
			"a701a2010202030204031a3b9aca000405051b0000000df8475800061b0000034630b8a0000706"},
		{"snapshot", cbor.RawMessage(snapshot),
			"a601a201020241780203030604a201a5624944616366417574686f7267736f6d656f6e65664e756d6265720365537461" +
				"74650166526561736f6e600241790582a5624944616166417574686f7267736f6d656f6e65664e756d62657202655374" +
				"6174650466526561736f6e60a5624944616266417574686f7267736f6d656f6e65664e756d6265720065537461746505" +
				"66526561736f6e782b697420697320746f20666f6c6c6f7720706f6c69637920312c20616e64203220697320696e2066" +
				"6f7263650681a2010102456669727374"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text, err := cbor.Marshal(tt.value)
			if got := hex.EncodeToString(text); err != nil || got != tt.want {
				t.Errorf("%s, error %v; want %s", got, err, tt.want)
			}
		})
	}
}
