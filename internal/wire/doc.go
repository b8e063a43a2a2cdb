// Package wire translates between the simulator's text protocol and the types of package balance. It makes no balancing
// decisions.
//
// A Reader parses input lines into Events. A Writer encodes actions as the lines of a reply. SettingsJSON parses the
// settings of a production sidecar, a JSON object with the same keys and words as in the text protocol. The words of
// the protocol and the keys of the settings are defined only in this package.
//
// Reading stops at malformed input: Next returns a LineError, which wraps a FieldError, a SettingError or a
// MissingSettingError if a single value is invalid. SettingsJSON returns a SettingError or a MissingSettingError
// unwrapped. A Writer keeps the first output error until FinishReply.
package wire
