package daemon

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// goodSettings has every required setting and no optional one.
const goodSettings = `{"name": "stock-1", "region": "ille", "centre": "rennes", "host": "127.0.0.1",
	"inbound": 7001, "outbound": 7002, "control": 7003, "operator": 7004, "target": "127.0.0.1:7005",
	"slots": 1, "conns": 100000, "store": "127.0.0.1:7006", "keys": ["000102030405060708090a0b0c0d0e0f"]}`

// TestSettingsPage checks the settings in docs/CONFIG.md against the code: names,
// types, units and defaults, and that Check enforces and reports the range of each
// number.
func TestSettingsPage(t *testing.T) {
	rows := settingRows(t)
	good, err := ReadSettings(strings.NewReader(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	settingsType := reflect.TypeOf(good)
	for n := range settingsType.NumField() {
		name, options, _ := strings.Cut(settingsType.Field(n).Tag.Get("json"), ",")
		row, ok := rows[name]
		delete(rows, name)
		if !ok {
			t.Errorf("the page does not name %s", name)
			continue
		}
		value := reflect.ValueOf(&good).Elem().Field(n)
		if kind := settingKind(value); row.kind != kind {
			t.Errorf("%s: the page says %s, the code %s", name, row.kind, kind)
		}
		if isTime := value.Type() == reflect.TypeFor[clock.Milli](); isTime != (row.unit == "ms") || row.kind == "number" && row.unit == "" {
			t.Errorf("%s: the page says unit %q for a %s", name, row.unit, value.Type())
		}
		if fallback := settingDefault(value, options == ""); row.fallback != fallback {
			t.Errorf("%s: the page says default %s, the code %s", name, row.fallback, fallback)
		}
		if row.kind == "number" {
			tryBounds(t, name, row.bounds, value, &good)
		}
	}
	for name := range rows {
		t.Errorf("the page names %s, which is no setting", name)
	}
}

// settingRow is the description of one setting in the page.
type settingRow struct{ kind, unit, fallback, bounds string }

func settingRows(t *testing.T) map[string]settingRow {
	t.Helper()
	text, err := os.ReadFile("../../docs/CONFIG.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "\n# Settings of a daemon\n")
	rows := make(map[string]settingRow)
	for _, m := range regexp.MustCompile("(?m)^\\| `(.+)` \\| (.*) \\| (.*)\\| (.*) \\| (.*)\\| .+ \\|$").FindAllStringSubmatch(section, -1) {
		rows[m[1]] = settingRow{
			kind:     m[2],
			unit:     strings.TrimSpace(m[3]),
			fallback: m[4],
			bounds:   strings.TrimSpace(m[5]),
		}
	}
	return rows
}

func settingKind(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Slice:
		return "array"
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	default:
		return "number"
	}
}

// settingDefault returns the default of a setting as the page writes it. The
// value v of an optional setting is its default.
func settingDefault(v reflect.Value, required bool) string {
	switch {
	case required:
		return "required"
	case v.Kind() == reflect.Slice:
		return "empty"
	case v.Kind() == reflect.String && v.IsZero():
		return "none"
	default:
		return fmt.Sprint(v.Interface())
	}
}

// tryBounds checks the values just inside and just outside the documented bounds of
// a number.
func tryBounds(t *testing.T, name, bounds string, v reflect.Value, s *Settings) {
	t.Helper()
	defer v.SetInt(v.Int())
	var low, high int64
	if _, err := fmt.Sscanf(bounds, "%d to %d", &low, &high); err != nil {
		t.Errorf("%s: the page gives %q, want a range", name, bounds)
		return
	}
	for _, n := range []int64{low - 1, low, high, high + 1} {
		v.SetInt(n)
		var refused *FieldError
		isRefused := errors.As(s.Check(), &refused) && refused.Field == name && refused.Allowed == bounds
		if want := n < low || n > high; isRefused != want {
			t.Errorf("%s = %d: refused %v (%v), the page says %v", name, n, isRefused, refused, want)
		}
	}
}

func TestSettingsRefused(t *testing.T) {
	// The keys are settings as written, the values a part of the error message.
	tests := map[string]string{
		`"name": ""`:                     `name is "", allowed is a name as in the document`,
		`"region": "il le"`:              `region is "il le", allowed is a name`,
		`"centre": "Rennes"`:             `centre is "Rennes", allowed is a name`,
		`"host": "localhost"`:            `host is "localhost", allowed is an IP address`,
		`"control": 7002`:                `is 7002 twice, allowed is four different ports`,
		`"target": "127.0.0.1"`:          `target is "127.0.0.1", allowed is an IP address and a port`,
		`"target": "localhost:80"`:       `target is "localhost:80", allowed is an IP address and a port`,
		`"slots": 9999999`:               `slots is 9999999, allowed is 1 to 10000`,
		`"conns": 0`:                     `conns is 0, allowed is 1 to 100000`,
		`"store": "127.0.0.1:0"`:         `store is "127.0.0.1:0", allowed is`,
		`"roster": "nowhere"`:            `roster is "nowhere", allowed is`,
		`"peers": ["[::1]:7003", "::1"]`: `peers[1] is "::1", allowed is`,
		`"keys": []`:                     `keys is empty, allowed is at least one key`,
		`"keys": ["c0ffee"]`:             `keys[0] is not usable, allowed is at least 16 bytes in hexadecimal`,
		`"log": "loud"`:                  `log is "loud", allowed is debug, info, warn or error`,
		`"slots": "30"`:                  `slots is a JSON string, allowed is a whole number`,
		`"slots": 1.5`:                   `slots is a JSON number 1.5, allowed is a whole number`,
		`"name": 1`:                      `name is a JSON number, allowed is a string`,
		`"peers": "::1"`:                 `peers is a JSON string, allowed is an array of strings`,
		`"slot": 1`:                      `unknown setting "slot"`,
	}
	for setting, want := range tests {
		t.Run(setting, func(t *testing.T) {
			// Of two fields with the same name the decoder uses the last.
			text := strings.TrimSuffix(goodSettings, "}") + ", " + setting + "}"
			_, err := ReadSettings(strings.NewReader(text))
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want ...%s...", err, want)
			}
			if err != nil && strings.Contains(err.Error(), "c0ffee") {
				t.Error("the message contains the key")
			}
		})
	}
}

func TestSettingsForm(t *testing.T) {
	for _, text := range []string{"", "[]", "{", goodSettings + "{}", goodSettings + "x", strconv.Quote(goodSettings)} {
		if _, err := ReadSettings(strings.NewReader(text)); err == nil {
			t.Errorf("%.40q was accepted", text)
		}
	}
}
