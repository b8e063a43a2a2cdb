package scenario

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Set returns a validated copy of the scenario with one value changed. path is the path of its key, such as "load.use"
// or "trouble[1].size". A duration is written with its unit, or as a number of seconds.
func (s *Scenario) Set(path, value string) (*Scenario, error) {
	t := *s
	t.Classes, t.Tenants, t.Faults = slices.Clone(s.Classes), slices.Clone(s.Tenants), slices.Clone(s.Faults)
	t.Fleet.Kinds, t.Fleet.Zones = slices.Clone(s.Fleet.Kinds), slices.Clone(s.Fleet.Zones)
	v := reflect.ValueOf(&t).Elem()
	for part := range strings.SplitSeq(path, ".") {
		name, index, indexed := strings.Cut(part, "[")
		if v.Kind() != reflect.Struct {
			return nil, fmt.Errorf("%s: a %s has no keys", path, v.Type())
		}
		field := fieldOf(v, name)
		if !field.IsValid() {
			return nil, fmt.Errorf("%s: there is no %q", path, name)
		}
		v = field
		if indexed {
			i, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
			if err != nil || v.Kind() != reflect.Slice || i < 0 || i >= v.Len() {
				return nil, fmt.Errorf("%s: %s has no entry [%s", path, name, index)
			}
			v = v.Index(i)
		}
	}
	if err := assign(v, value); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	switch path { // rate and use exclude each other
	case "load.use":
		t.Load.Rate = 0
	case "load.rate":
		t.Load.Utilization = 0
	}
	c := &validator{file: t.Name + " with " + path + "=" + value}
	if c.checkScenario(&t); len(c.problems) > 0 {
		return nil, c.problems[0]
	}
	return &t, nil
}

// fieldOf returns the field of a struct with the TOML key, or the zero Value if there is none.
func fieldOf(v reflect.Value, key string) reflect.Value {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("toml") == key {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

func assign(v reflect.Value, text string) error {
	if v.Type() == reflect.TypeFor[Duration]() {
		if f, err := strconv.ParseFloat(text, 64); err == nil {
			v.SetInt(int64(f * float64(time.Second)))
			return nil
		}
		var d Duration
		if err := d.UnmarshalText([]byte(text)); err != nil {
			return err
		}
		v.SetInt(int64(d))
		return nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("%q is not a number", text)
	}
	switch v.Kind() {
	case reflect.Float64:
		v.SetFloat(f)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f))
	default:
		return fmt.Errorf("a %s cannot be varied", v.Type())
	}
	return nil
}
