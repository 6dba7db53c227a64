package diag

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// linePrefix starts each line of the tests.
const linePrefix = `{"ts":"2026-07-17T11:20:44.425Z",`

func answerLine(rest string) string {
	return linePrefix + `"event":500,"host":"h1","service":"s",` + rest + "}\n"
}

func attemptLine(rest string) string {
	return linePrefix + `"event":501,"host":"h2","target":"t1",` + rest + "}\n"
}

func TestExplain(t *testing.T) {
	tests := map[string]struct {
		log  string
		want Cause
		// id is the request or call in which the cause arose.
		id string
	}{
		"nothing is known": {
			want: Unknown,
			id:   "a",
		},
		"served": {
			log:  answerLine(`"id":"a","end":"done","status":200`) + attemptLine(`"id":"a","outcome":"done","reason":"run","status":200`),
			want: Served,
			id:   "a",
		},
		"the line of the answer is missing": {
			log:  attemptLine(`"id":"a","outcome":"not-run","reason":"full","status":503`),
			want: NoCapacity,
			id:   "a",
		},
		"another request's lines": {
			log:  answerLine(`"id":"ab","end":"lost","status":502`),
			want: Unknown,
			id:   "a",
		},
		"a reason without a cause": {
			log: answerLine(`"id":"a","end":"refused","reason":"not-run fenced","status":503,"tried":["t1"]`) +
				attemptLine(`"id":"a","outcome":"not-run","reason":"fenced","status":503`),
			want: Unknown,
			id:   "a",
		},
		"no target, and the lines of the tried targets are missing": {
			log:  answerLine(`"id":"a","end":"refused","reason":"choice: none","status":503,"tried":["t1"]`),
			want: NoTarget,
			id:   "a",
		},
		"a body that the daemon of the target gave up": {
			log: answerLine(`"id":"a","end":"refused","reason":"not-run unread","status":503`) +
				attemptLine(`"id":"a","outcome":"not-run","reason":"unread","status":408`),
			want: BodyNotRead,
			id:   "a",
		},
		"refused by its header, since every target would": {
			log:  answerLine(`"id":"a","end":"refused","reason":"early: every target would refuse","service":"s","status":503`),
			want: NoTarget,
			id:   "a",
		},
		"a query is not an attempt": {
			log: answerLine(`"id":"a","end":"refused","reason":"not-run unreached","status":503`) +
				attemptLine(`"id":"a","ask":true,"outcome":"not-run","reason":"full"`),
			want: TargetUnreached,
			id:   "a",
		},
		"a call two levels down had no room": {
			log: answerLine(`"id":"a","end":"done","reason":"done call","status":500`) +
				answerLine(`"id":"a.b","depth":1,"end":"done","reason":"done call","status":500`) +
				answerLine(`"id":"a.b.c","depth":2,"end":"refused","reason":"choice: none","status":503`) +
				attemptLine(`"id":"a.b.c","depth":2,"outcome":"not-run","reason":"full","status":503`),
			want: NoCapacity,
			id:   "a.b.c",
		},
		"a target failed by itself": {
			log:  answerLine(`"id":"a","end":"done","reason":"done run","status":500`),
			want: TargetFailed,
			id:   "a",
		},
		"a call took most of the time": {
			log: answerLine(`"id":"a","end":"late","reason":"unknown timeout","status":504,"took":1000`) +
				answerLine(`"id":"a.b","depth":1,"end":"late","reason":"unknown timeout","status":504,"took":900`),
			want: TargetTooSlow,
			id:   "a.b",
		},
		"the call was canceled when the request timed out": {
			log: answerLine(`"id":"a","end":"late","reason":"unknown timeout","status":504,"took":1000`) +
				answerLine(`"id":"a.b","depth":1,"end":"gone","reason":"unknown canceled","status":504,"took":900`),
			want: TargetTooSlow,
			id:   "a",
		},
		"no route": {
			log:  answerLine(`"id":"a","end":"unrouted","status":404`),
			want: NoRoute,
			id:   "a",
		},
		"unknown key": {
			log:  answerLine(`"id":"a","end":"denied","reason":"unknown key","status":401`),
			want: KeyUnknown,
			id:   "a",
		},
		"key that cannot be judged": {
			log:  answerLine(`"id":"a","end":"stale","reason":"the keys known here may be outdated","status":503`),
			want: KeyUnjudged,
			id:   "a",
		},
		"over the rate limit": {
			log:  answerLine(`"id":"a","end":"limited","reason":"over the limit of hut","status":429`),
			want: AccountLimited,
			id:   "a",
		},
		"no lender": {
			log:  answerLine(`"id":"a","end":"unmetered","reason":"no lender of rate limits answers","status":503`),
			want: NoLender,
			id:   "a",
		},
		"no room for the chain of calls": {
			log:  answerLine(`"id":"a","end":"refused","reason":"chain","status":503`),
			want: NoRoomForChain,
			id:   "a",
		},
		"no configuration": {
			log:  answerLine(`"id":"a","end":"unready","status":503`),
			want: DaemonNotReady,
			id:   "a",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCollector("a")
			if _, err := Read(strings.NewReader(tt.log), c.Add); err != nil {
				t.Fatal(err)
			}
			got := c.Explain().Verdict
			if got.Cause != tt.want || got.ID != tt.id || got.Text == "" {
				t.Errorf("verdict = %+v, want %s in %s", got, tt.want, tt.id)
			}
		})
	}
}

func TestReadPassesOverWhatIsNoLine(t *testing.T) {
	log := "  11.5 host-3 " + answerLine(`"id":"a","end":"done","status":200`) +
		"panic: no line\n" +
		`{"ts":"yesterday","event":500}` + "\n" +
		strings.Repeat("x", 2*maxLineBytes) + "\n" +
		`{"event":502,"lines":7}` + "\n\n" +
		strings.TrimSuffix(answerLine(`"id":"b","end":"done","status":200`), "\n")
	var got []Line
	unread, err := Read(strings.NewReader(log), func(l Line) { got = append(got, l) })
	if err != nil || unread != 3 || len(got) != 3 {
		t.Fatalf("%d lines, %d unread, %v", len(got), unread, err)
	}
	if got[0].Host != "h1" || got[1].Omitted != 7 || got[2].ID != "b" {
		t.Errorf("lines = %+v", got)
	}
}

func TestDay(t *testing.T) {
	d := NewSummary()
	log := answerLine(`"id":"a","end":"done","status":200,"sample":64,"importance":"high"`) +
		answerLine(`"id":"b","end":"refused","reason":"full","status":503,"sample":1,"importance":"high"`) +
		answerLine(`"id":"b.c","end":"late","reason":"slow","status":504,"sample":1,"importance":"high","depth":1`) +
		linePrefix + `"event":205,"msg":"store could not be read"}` + "\n" +
		`{"event":502,"lines":7}` + "\n"
	if _, err := Read(strings.NewReader(log), d.Add); err != nil {
		t.Fatal(err)
	}
	groups := d.Groups()
	if len(groups) != 2 || d.Omitted != 7 {
		t.Fatalf("%d groups, %d lines left out", len(groups), d.Omitted)
	}
	for _, g := range groups {
		if !g.IsCall && (g.Served != 64 || g.Failed != 1 || g.TopCauses()[0].Name != "refused: full") {
			t.Errorf("group = %+v", g)
		}
	}
	if s := d.Seconds(); len(s) != 1 || s[0].Failed != 1 || s[0].Served != 64 {
		t.Errorf("seconds = %+v", s)
	}
	if e := d.Events(); len(e) != 1 || e[0].N != 1 {
		t.Errorf("events = %+v", e)
	}
}

// TestExplainEndsOnAnyLines checks that inconsistent logs neither hang Explain
// nor leave its verdict empty.
func TestExplainEndsOnAnyLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCollector("a")
		for range rapid.IntRange(0, 20).Draw(t, "lines") {
			c.Add(Line{
				ID:      rapid.SampledFrom([]string{"a", "a.b", "a.b.c", "a.d", "a.", "b"}).Draw(t, "id"),
				Event:   rapid.SampledFrom([]int{500, 501}).Draw(t, "event"),
				End:     rapid.SampledFrom([]string{"done", "late", "refused", "lost", ""}).Draw(t, "end"),
				Outcome: rapid.SampledFrom([]string{"done", "not-run", "unknown"}).Draw(t, "outcome"),
				Reason:  rapid.SampledFrom([]string{"", "full", "call", "not-run late"}).Draw(t, "reason"),
				Status:  rapid.SampledFrom([]int{0, 200, 500, 503}).Draw(t, "status"),
				Took:    rapid.Int64Range(0, 2000).Draw(t, "took"),
			})
		}
		if v := c.Explain().Verdict; v.Cause == "" || v.Text == "" {
			t.Errorf("verdict = %+v", v)
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(answerLine(`"id":"a"`))
	f.Add("{}\n{")
	f.Fuzz(func(t *testing.T, log string) {
		if _, err := Read(strings.NewReader(log), func(Line) {}); err != nil {
			t.Error(err)
		}
	})
}
