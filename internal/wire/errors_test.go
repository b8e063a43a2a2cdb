package wire

import (
	"errors"
	"strings"
	"testing"
)

// TestErrorTypes: callers find the line, and the field or setting at fault, by type.
func TestErrorTypes(t *testing.T) {
	_, err := read("FRAME\t1\nDUE\tsoon\n")
	var lineErr *LineError
	var fieldErr *FieldError
	if !errors.As(err, &lineErr) || lineErr.Line != 2 {
		t.Errorf("error %v, want a LineError of line 2", err)
	}
	if !errors.As(err, &fieldErr) || *fieldErr != (FieldError{Index: 1, Value: "soon", Expected: "a whole number"}) {
		t.Errorf("error %v, want a FieldError of field 1", err)
	}

	_, err = read("FRAME\n")
	if !errors.As(err, &fieldErr) || !fieldErr.Missing {
		t.Errorf("error %v, want a FieldError of a missing field", err)
	}

	_, err = read(strings.Replace(open, "ordinal=1", "ordinal=x", 1) + "\n")
	var settingErr *SettingError
	if !errors.As(err, &settingErr) || settingErr.Key != "ordinal" || settingErr.Value != "x" {
		t.Errorf("error %v, want a SettingError of ordinal", err)
	}

	_, _, _, err = SettingsJSON(1, []byte(`{"peers_total": 1}`))
	var missing *MissingSettingError
	if !errors.As(err, &missing) || missing.Key != "ordinal" {
		t.Errorf("error %v, want a MissingSettingError of ordinal", err)
	}
}
