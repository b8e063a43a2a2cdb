package admin

import "testing"

// FuzzParseServerID checks that parseServerID returns either an ID within the size limit or an error.
func FuzzParseServerID(f *testing.F) {
	for _, s := range []string{`{"target":"a"}`, `{"target":1}`, `{}`, `[]`, ``, `{"target":"a","target":"b"}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		id, err := parseServerID(body)
		if (err == nil) != (id != "") || len(id) > maxServerIDBytes {
			t.Errorf("body %q: ID %q, error %v", body, id, err)
		}
	})
}
