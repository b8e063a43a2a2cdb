package consensus

import (
	"encoding/hex"
	"log/slog"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestEncodedForms checks that the stored and transmitted types still encode to the bytes that build af0b01d wrote, so
// that a renamed identifier cannot change the format.
func TestEncodedForms(t *testing.T) {
	voters := map[string]uint64{"a": 1}
	bootstrap := Bootstrap{voters, []byte("p"), map[string]uint64{"b": 2}}
	for _, tt := range []struct {
		name  string
		value any
		want  string
	}{
		{"identity", Identity{1, 2}, "a201010202"},
		{"bootstrap", bootstrap, "a301a161610102417003a1616202"},
		{"hello", Hello{"n", 3, 4, &bootstrap, voters},
			"a501616e0203030404a301a161610102417003a161620205a1616101"},
		{"envelope", Envelope{1, 2, 3, []byte("x"), map[uint64]uint64{4: 5}}, "a501010202030304417805a10405"},
		{"snapshot", snapshotData{[]byte("a"), []byte("b"), voters, voters}, "a401416102416203a161610104a1616101"},
		{"replacement", voterReplacement{"o", "i", 7}, "a301616f0261690307"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			encoded, err := cbor.Marshal(tt.value)
			if got := hex.EncodeToString(encoded); err != nil || got != tt.want {
				t.Errorf("encoded as %s, want %s, error %v", got, tt.want, err)
			}
			decoded := reflect.New(reflect.TypeOf(tt.value))
			if err := cbor.Unmarshal(encoded, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, tt.value) {
				t.Errorf("decoded as %+v, want %+v", got, tt.value)
			}
		})
	}
	if got, want := bootstrap.GroupID(), uint64(9768058050192613145); got != want {
		t.Errorf("group ID %d, want %d", got, want)
	}
	settings := testSettings(1, 2)
	settings.Bootstrap = Bootstrap{Voters: voters, InitialPolicy: []byte("p")}
	m, err := New(0, settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s, err := m.storage.Snapshot()
	if got := hex.EncodeToString(s.Data); err != nil || got != "a201417003a1616101" {
		t.Errorf("initial snapshot is %s, error %v", got, err)
	}
}
