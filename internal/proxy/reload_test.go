package proxy

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap/zapcore"

	"siskinswitch.example/siskin/pkg/clock"
)

// testSettings returns valid settings.
func testSettings() Settings {
	return Settings{
		Name:     "h1",
		Address:  "127.0.0.1",
		Centre:   "c1",
		Region:   "r1",
		Centres:  map[string]string{"c1": "r1"},
		Service:  "stock",
		Target:   "127.0.0.1:1",
		Outbound: "127.0.0.1:2",
		Inbound:  "127.0.0.1:3",
		Ready:    "127.0.0.1:4",
		Metrics:  5,
		Store:    "127.0.0.1:6",
		Memory:   100,
		Drain:    2500,
		Grace:    6,
		Ratio:    0.2,
		Window:   10,
		Slack:    49,
	}
}

func TestReloadTellsWhatChanged(t *testing.T) {
	tests := map[string]struct {
		change func(s *Settings)
		// want is part of the only log line; if empty, nothing may be logged.
		want  string
		grace float64
	}{
		"nothing": {
			change: func(*Settings) {},
			grace:  6,
		},
		"grace, effective at once": {
			change: func(s *Settings) { s.Grace = 9 },
			want:   `"changed":["grace"],"waiting":[]`,
			grace:  9,
		},
		"an address, effective after a restart": {
			change: func(s *Settings) { s.Inbound, s.Memory = "127.0.0.1:9", 50 },
			want:   `"changed":["inbound","memory"],"waiting":["inbound"]`,
			grace:  6,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var log syncBuffer
			d, err := New(testSettings(), clock.System(), NewLogger(zapcore.AddSync(&log)))
			if err != nil {
				t.Fatal(err)
			}
			set := testSettings()
			tt.change(&set)
			d.Reload(set)
			d.Reload(set)
			lines := strings.Count(log.String(), "\n")
			if want := min(len(tt.want), 1); lines != want || !strings.Contains(log.String(), tt.want) {
				t.Errorf("log = %s, want at most one line, with %s", log.String(), tt.want)
			}
			if d.settings.Grace != tt.grace {
				t.Errorf("grace = %v, want %v", d.settings.Grace, tt.grace)
			}
		})
	}
}

func TestUnreadableSettingsAreToldOnce(t *testing.T) {
	var log syncBuffer
	d, err := New(testSettings(), clock.System(), NewLogger(zapcore.AddSync(&log)))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		d.ReloadFailed(errors.New("settings: field grace is missing"))
	}
	if n := strings.Count(log.String(), "\n"); n != 1 {
		t.Errorf("%d log lines, want 1: %s", n, log.String())
	}
}

func TestReadSettingsNamesTheFault(t *testing.T) {
	tests := map[string]struct {
		change func(s *Settings)
		want   string
	}{
		"good": {
			change: func(*Settings) {},
		},
		"no name": {
			change: func(s *Settings) { s.Name = "" },
			want:   "field name is missing",
		},
		"address is not an IP": {
			change: func(s *Settings) { s.Address = "host" },
			want:   "field address",
		},
		"no port": {
			change: func(s *Settings) { s.Store = "127.0.0.1" },
			want:   "field store",
		},
		"centre of another region": {
			change: func(s *Settings) { s.Region = "r2" },
			want:   "field centres",
		},
		"no grace": {
			change: func(s *Settings) { s.Grace = 0 },
			want:   "field grace",
		},
		"no window": {
			change: func(s *Settings) { s.Window = 0 },
			want:   "field window",
		},
		"a negative ratio": {
			change: func(s *Settings) { s.Ratio = -1 },
			want:   "field ratio",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			tt.change(&set)
			body, err := json.Marshal(set)
			if err != nil {
				t.Fatal(err)
			}
			_, err = ReadSettings(strings.NewReader(string(body)))
			switch {
			case tt.want == "" && err != nil:
				t.Error(err)
			case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
				t.Errorf("error = %v, want %s", err, tt.want)
			}
		})
	}
}

// Guards against a daemon that does not start because a number in its settings is
// written as the platform may write it: bounds may be fractions (RECOVER).
func TestSettingsTakeNumbersInEachForm(t *testing.T) {
	tests := map[string]struct {
		number string
		// isBad says that the error must name the field.
		isBad bool
	}{
		"whole": {
			number: "6",
		},
		"a fraction": {
			number: "6.5",
		},
		"a fraction that is whole": {
			number: "6.0",
		},
		"an exponent": {
			number: "6e0",
		},
		"an exponent that makes it whole": {
			number: "0.65E+1",
		},
		"a truth value": {
			number: "true",
			isBad:  true,
		},
		"text": {
			number: `"6"`,
			isBad:  true,
		},
		"beyond a float": {
			number: "1e999",
			isBad:  true,
		},
		"beyond reason": {
			number: "1e300",
			isBad:  true,
		},
		"negative": {
			number: "-1.5",
			isBad:  true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, field := range []string{"memory", "change", "stable", "report", "drain", "grace", "ratio", "window", "slack"} {
				_, err := ReadSettings(strings.NewReader(settingsWith(t, field, tt.number)))
				if !tt.isBad && err != nil || tt.isBad && (err == nil || !strings.Contains(err.Error(), field)) {
					t.Errorf("%s: %s: got %v", field, tt.number, err)
				}
			}
		})
	}
}

// settingsWith returns valid settings in JSON, in which one field has the given text.
func settingsWith(t *testing.T, field, text string) string {
	t.Helper()
	body, err := json.Marshal(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	var values map[string]any
	if err := json.Unmarshal(body, &values); err != nil {
		t.Fatal(err)
	}
	delete(values, field)
	rest, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSuffix(string(rest), "}") + `,"` + field + `":` + text + "}"
}

func TestFractionsOfSettingsCount(t *testing.T) {
	s := testSettings()
	s.Grace, s.Window, s.Drain, s.Change = 6.5, 10.25, 2500.75, 2499.5
	got := []clock.Milli{s.graceTime(), s.windowTime(), s.drainTime(), s.changeBound()}
	if want := []clock.Milli{6500, 10250, 2500, 2499}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
