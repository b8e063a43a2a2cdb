// Package wire translates between the simulator's text protocol and the types of package balance. It holds no policy.
//
// A Reader turns the lines of its input into Events, a Writer turns actions into the lines of a reply, and SettingsJSON
// reads the settings of a sidecar in service, which have the same keys and words in a JSON object. The words of the
// protocol and the keys of the settings occur in this package alone.
//
// Malformed input ends the reading: Next returns a LineError, which wraps a FieldError, a SettingError or a
// MissingSettingError where one value is at fault. SettingsJSON returns the latter two unwrapped. A Writer keeps the
// first error of its output until FinishReply.
package wire
