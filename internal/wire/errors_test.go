package wire

import (
	"errors"
	"strings"
	"testing"
)

// TestErrorTypes checks that callers can find the line and the invalid field or setting through the error types.
func TestErrorTypes(t *testing.T) {
	_, err := readAll("FRAME\t1\nDUE\tsoon\n")
	var lineErr *LineError
	var fieldErr *FieldError
	if !errors.As(err, &lineErr) || lineErr.Line != 2 {
		t.Errorf("error %v, want a LineError for line 2", err)
	}
	if !errors.As(err, &fieldErr) || *fieldErr != (FieldError{Index: 1, Value: "soon", Expected: "an unsigned integer"}) {
		t.Errorf("error %v, want a FieldError for field 1", err)
	}

	_, err = readAll("FRAME\n")
	if !errors.As(err, &fieldErr) || !fieldErr.Missing {
		t.Errorf("error %v, want a FieldError for a missing field", err)
	}

	_, err = readAll(strings.Replace(openInstanceLine, "ordinal=1", "ordinal=x", 1) + "\n")
	var settingErr *SettingError
	if !errors.As(err, &settingErr) || settingErr.Key != "ordinal" || settingErr.Value != "x" {
		t.Errorf("error %v, want a SettingError for ordinal", err)
	}

	_, _, _, err = SettingsJSON(1, []byte(`{"peers_total": 1}`))
	var missing *MissingSettingError
	if !errors.As(err, &missing) || missing.Key != "ordinal" {
		t.Errorf("error %v, want a MissingSettingError for ordinal", err)
	}
}
