package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	sample "siskinswitch.example/siskin/examples"
	"siskinswitch.example/siskin/internal/proto/config"
)

// leavingMember inserts a member into the sample document that marks two of
// the four payment targets as leaving.
const leavingMember = `"leaving":["payment-1","payment-2"],"regions"`

// logOfCaller and logOfTarget are the log lines of two hosts about one request
// and the call that it made. logOfCaller also says that lines were left out;
// logOfTarget also has a line that cannot be parsed.
const (
	logOfCaller = `{"ts":"2026-07-17T11:20:44.425Z","event":500,"host":"h1","id":"a","service":"s","route":"r","importance":"high","tried":["t1"],"end":"done","reason":"done call","status":500,"took":9}
{"event":502,"lines":3}
`
	logOfTarget = `{"ts":"2026-07-17T11:20:44.424Z","event":500,"host":"h2","id":"a.b","service":"deep","depth":1,"importance":"high","tried":["t2"],"end":"refused","reason":"choice: none","status":503,"took":4}
{"ts":"2026-07-17T11:20:44.423Z","event":501,"host":"h3","id":"a.b","target":"t2","depth":1,"outcome":"not-run","reason":"full","running":9,"limit":8,"status":503,"took":1}
no line
`
)

// recordInForce is a configuration in the form of the platform's store.
const recordInForce = `{"version":"r7",
"limits":{"max-header-bytes":9000,"max-body-bytes":9000,"header-timeout-ms":900,"idle-timeout-ms":900},
"tenants":[{"name":"hut","api-keys":["k-secret","k-secret-1"]}],
"clusters":[{"name":"s"},{"name":"idle"}],
"listeners":[{"host":"h","rules":[{"name":"a","kind":"safe","match":{"prefix":"/a"},
"action":{"service":"s","timeout-ms":900}}]}]}`

// run runs a command line in a directory with a few documents, registers and
// logs. The standard input holds the sample document.
func run(t *testing.T, commandLine string) (code int, out, stderr string) {
	t.Helper()
	xaalis := string(sample.Xaalis)
	files := map[string]string{
		"good.json":   xaalis,
		"bad.json":    strings.Replace(xaalis, `"slots":30`, `"slots":0`, 1),
		"shape.json":  strings.Replace(xaalis, `"slots":30`, `"slot":30`, 1),
		"drain.json":  strings.Replace(xaalis, `"regions"`, leavingMember, 1),
		"one.json":    strings.Replace(xaalis, `"regions"`, `"leaving":["payment-2"],"regions"`, 1),
		"more.json":   strings.Replace(xaalis, `"allowance": 4`, `"allowance": 5`, 1),
		"armor.json":  string(sample.Armor),
		"large.json":  string(sample.Large),
		"full.csv":    string(sample.RegisterXaalis),
		"faulty.csv":  string(sample.RegisterFaulty),
		"names.json":  string(sample.RegisterArmor),
		"french.csv":  strings.ReplaceAll(string(sample.RegisterXaalis), ",", ";"),
		"header.csv":  "service,owner\n",
		"long.csv":    longRegister(),
		"element.csv": `[1, {"instance": "x"}]`,
		"host-1.log":  logOfCaller,
		"host-2.log":  logOfTarget,
		"side.json":   `{"name":"h1","centre":"c1","region":"r1","service":"s","address":"10.0.0"}`,
		"record.json": `{"version":"seven","limits":{}}`,
		"now.json":    recordInForce,
		"next.json":   strings.NewReplacer(`"r7"`, `"r8"`, `"k-secret-1"`, `"k-secret-2"`, `"/a"`, `"/"`).Replace(recordInForce),
		"wrong.json":  strings.NewReplacer(`"safe"`, `"sound"`, `"r7"`, `"r-7"`, `"timeout-ms":900`, `"timeout-ms":-1`).Replace(recordInForce),
	}
	t.Chdir(t.TempDir())
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), newFileMode); err != nil {
			t.Fatal(err)
		}
	}
	var outBuf, errBuf bytes.Buffer
	code = Run(t.Context(), Env{
		In:  strings.NewReader(xaalis),
		Out: &outBuf,
		Err: &errBuf,
	}, strings.Fields(commandLine))
	return code, outBuf.String(), errBuf.String()
}

func TestRun(t *testing.T) {
	tests := map[string]struct {
		line string
		code int
		out  string
		err  string
	}{
		"no subcommand": {
			code: 2,
			err:  "Subcommands",
		},
		"unknown subcommand": {
			line: "chekc good.json",
			code: 2,
			err:  "Subcommands",
		},
		"unknown subcommand is named": {
			line: "chekc good.json",
			code: 2,
			err:  `there is no subcommand "chekc"`,
		},
		"seal into a file": {
			line: "seal --author awa --reason more --out next.json good.json more.json",
			out:  "version 1 to 2, by awa: more",
			err:  "is in next.json, ready to be published",
		},
		"unknown flag": {
			line: "check --fast good.json",
			code: 2,
			err:  "-fast",
		},
		"check": {
			line: "check good.json armor.json",
			out:  "armor.json: good: version 1, 4 services, 16 instances",
		},
		"check the standard input": {
			line: "check -",
			out:  "-: good",
		},
		"check an invalid document": {
			line: "check good.json bad.json",
			code: 1,
			out:  "bad.json: services[3].instances[0].slots: 0 is outside",
		},
		"check with a flag after the file": {
			line: "check bad.json --json",
			code: 1,
			out:  `"path": "services[3].instances[0].slots"`,
		},
		"check a missing file": {
			line: "check none.json",
			code: 1,
			out:  "none.json: open none.json",
		},
		"trace": {
			line: "trace a host-1.log host-2.log",
			code: 1,
			out:  "a: no room at the target\n  t2: no room at the target (full), 9 running of 8, 1 targets tried\n  in its call a.b\n  on host h3\n",
			err:  "left out 3 lines",
		},
		"trace counts unreadable lines": {
			line: "trace a host-1.log host-2.log",
			code: 1,
			err:  "1 line could not be read",
		},
		"trace without the host of the call": {
			line: "trace a host-1.log",
			code: 1,
			out:  "a: target failed",
		},
		"trace an unknown request": {
			line: "trace zz host-1.log",
			code: 1,
			out:  "zz: not in these logs",
		},
		"trace without a log": {
			line: "trace a",
			code: 2,
			err:  "no log file is named",
		},
		"trace nothing": {
			line: "trace",
			code: 2,
			err:  "no request id is named",
		},
		"trace as JSON": {
			line: "trace --json a host-1.log host-2.log",
			code: 1,
			out:  `"cause": "no room at the target"`,
		},
		"day": {
			line: "day host-1.log host-2.log",
			out:  "deep, high, calls of targets: about 0 served, 1 not\n        1  refused: choice: none\n",
		},
		"day draws a chart": {
			line: "day host-1.log host-2.log",
			out:  "11:20:44      1 ##################################################\n",
		},
		"day of a missing file": {
			line: "day none.log",
			code: 1,
			err:  "none.log",
		},
		"check settings of the platform": {
			line: "check --kind settings side.json",
			code: 1,
			out:  `side.json: settings: field address: "10.0.0" is not an IP`,
		},
		"check a record of the platform": {
			line: "check --kind record record.json",
			code: 1,
			out:  "record.json: version: strconv.ParseUint: parsing \"seven\": invalid syntax\n",
		},
		"check a record of the platform lists all errors": {
			line: "check --kind record wrong.json",
			code: 1,
			out: "wrong.json: version: strconv.ParseUint: parsing \"-7\": invalid syntax\n" +
				"wrong.json: host h, rule a: field timeout-ms: -1 is not between 0 and 8.64e+07\n" +
				"wrong.json: host h, rule a: unknown kind \"sound\"\n" +
				"wrong.json: WARNING: service idle: no route uses it\n" +
				"wrong.json: refused: 3 problems\n",
		},
		"check a record with a warning": {
			line: "check --kind record now.json",
			out: "now.json: WARNING: service idle: no route uses it\n" +
				"now.json: good: version 7, 2 services, 1 warning\n",
		},
		"check a record against the one in force": {
			line: "check --kind record --against now.json next.json",
			out: "next.json: CHANGES: host h, route a: prefix: /a to /\n" +
				"next.json: CHANGES: account hut: keys withdrawn: 1 of 2\n" +
				"next.json: changes: account hut: keys added: 1\n" +
				"next.json: WARNING: service idle: no route uses it\n" +
				"next.json: good: version 8, 2 services, 1 warning, 3 changes\n",
		},
		"check a record against itself": {
			line: "check --kind record --against now.json now.json",
			code: 1,
			out:  "now.json: version: 7 is not above 7, the version in force",
		},
		"check a record against a faulty one": {
			line: "check --kind record --against record.json next.json",
			code: 1,
			out:  "next.json: record.json: version: strconv.ParseUint",
		},
		"check a document against another": {
			line: "check --against good.json good.json",
			code: 2,
			err:  "--against is only for --kind record",
		},
		"check another kind": {
			line: "check --kind recipe good.json",
			code: 2,
			err:  `there is no kind "recipe"`,
		},
		"check nothing": {
			line: "check",
			code: 2,
			err:  "no file is named",
		},
		"diff": {
			line: "diff good.json more.json",
			out:  "5 extra attempts instead of 4",
		},
		"diff with a warning": {
			line: "diff good.json drain.json",
			code: 1,
			out:  "WARNING: removes 60 of payment's 120 slots (50 %)",
		},
		"diff of an invalid document": {
			line: "diff good.json shape.json",
			code: 1,
			err:  "services[3].instances[0].slot: there is no such field here",
		},
		"diff of one document": {
			line: "diff good.json",
			code: 2,
			err:  "two documents",
		},
		"seal": {
			line: "seal --author awa --reason more good.json more.json",
			out:  `"version": 2,`,
			err:  "version 1 to 2, by awa: more",
		},
		"seal with one of four targets leaving": {
			line: "seal --author awa --reason drain good.json one.json",
			out:  `"leaving": ["payment-2"]`,
			err:  "1 change, 0 warnings",
		},
		"seal stops at a warning": {
			line: "seal --author awa --reason drain good.json drain.json",
			code: 1,
			err:  "nothing was written because of 2 warnings",
		},
		"seal despite a warning": {
			line: "seal --yes --author awa --reason drain good.json drain.json",
			out:  `"leaving": ["payment-1","payment-2"]`,
		},
		"seal without a change": {
			line: "seal --author awa --reason none good.json good.json",
			code: 1,
			err:  "nothing changes",
		},
		"seal an invalid draft": {
			line: "seal --author awa --reason bad good.json bad.json",
			code: 1,
			err:  "slots: 0 is outside",
		},
		"seal the first version": {
			line: "seal --first --author awa --reason first more.json",
			out:  `"parent": "",`,
		},
		"seal without a reason": {
			line: "seal --author awa good.json more.json",
			code: 2,
			err:  "--reason is needed",
		},
		"leave": {
			line: "leave good.json payment-3",
			out:  `"leaving": ["payment-3"]`,
		},
		"leave and come back": {
			line: "leave --back drain.json payment-1",
			out:  `"leaving": ["payment-2"]`,
		},
		"leave twice": {
			line: "leave drain.json payment-1",
			code: 1,
			err:  "payment-1 is leaving already",
		},
		"leave an absent target": {
			line: "leave good.json payment-9",
			code: 1,
			err:  `no target "payment-9"`,
		},
		"leave nothing": {
			line: "leave good.json",
			code: 2,
			err:  "at least one target",
		},
		"completion": {
			line: "completion bash",
			out:  `diff) flags="--json" ;;`,
		},
		"completion of another shell": {
			line: "completion tcsh",
			code: 2,
			err:  "must be bash",
		},
		"import all columns": {
			line: "import --base good.json full.csv",
			out:  string(sample.Xaalis),
			err:  "16 rows, 16 taken, 0 refused",
		},
		"import semicolons": {
			line: "import --base good.json french.csv",
			out:  string(sample.Xaalis),
			err:  "columns ignored: asset",
		},
		"import JSON without numbers": {
			line: "import --base armor.json names.json",
			out:  string(sample.Armor),
		},
		"import without a base": {
			line: "import full.csv",
			out:  `"operations": []`,
			err:  "still to do: services[0].operations",
		},
		"import invalid rows": {
			line: "import --base good.json faulty.csv",
			code: 1,
			err:  "line 13 merchant-4: refused: inbound: port 21210 of 127.0.0.1 is taken by instance merchant-2",
		},
		"import writes nothing after a refusal": {
			line: "import --json --base good.json faulty.csv",
			code: 1,
			err:  `"written": false`,
		},
		"import in part": {
			line: "import --partial --base good.json faulty.csv",
			code: 1,
			out:  `"name":"payment-5"`,
			err:  "17 rows, 11 taken, 6 refused",
		},
		"import only a header": {
			line: "import header.csv",
			code: 1,
			err:  `no column "instance"`,
		},
		"import too many rows": {
			line: "import long.csv",
			code: 1,
			err:  "more than 10000 rows",
		},
		"import elements of the wrong shape": {
			line: "import element.csv",
			code: 1,
			err:  "line 1: refused: the element is no object\nline 2 x: refused: service is missing",
		},
		"sample": {
			line: "sample",
			out:  string(sample.Large),
		},
		"sample too large": {
			line: "sample --instances 5000",
			code: 2,
			err:  "--instances must be 1 to 1276",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, stderr := run(t, tt.line)
			if code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			if !strings.Contains(out, tt.out) {
				t.Errorf("standard output %.2000q, want ...%.200q...", out, tt.out)
			}
			if !strings.Contains(stderr, tt.err) {
				t.Errorf("standard error %.2000q, want ...%.200q...", stderr, tt.err)
			}
		})
	}
}

// TestHelp checks that the help of each subcommand has an example and the exit
// codes.
func TestHelp(t *testing.T) {
	for _, command := range commands(Env{}) {
		if !strings.Contains(command.Help, "Example: siskinctl "+command.Keyword+" ") {
			t.Errorf("the help of %s has no example", command.Keyword)
		}
		if !strings.Contains(command.Help, "Exit code") {
			t.Errorf("the help of %s does not explain its exit codes", command.Keyword)
		}
	}
}

// TestSealedChain checks that a sealed document has the digest of the
// published bytes as its parent.
func TestSealedChain(t *testing.T) {
	_, out, _ := run(t, "seal --author awa --reason more good.json more.json")
	set, err := config.Parse([]byte(out))
	if err != nil {
		t.Fatal(err)
	}
	if parent := set.Document().Parent; parent != config.Digest(sample.Xaalis) {
		t.Errorf("parent %s, want the digest of the published bytes", parent)
	}
}

func TestReportsAreJSON(t *testing.T) {
	for _, line := range []string{
		"check --json good.json bad.json",
		"diff --json good.json drain.json",
		"import --json --base good.json --out draft.json faulty.csv",
		"seal --json --yes --author a --reason b --out next.json good.json drain.json",
	} {
		_, out, _ := run(t, line)
		var report any
		if err := json.Unmarshal([]byte(out), &report); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// TestTerminal checks that progress lines and colours are written to a
// terminal. The other tests of this file run without a terminal.
func TestTerminal(t *testing.T) {
	var out bytes.Buffer
	env := Env{
		In:      bytes.NewReader(sample.RegisterXaalis),
		Out:     &out,
		Err:     &out,
		OutTerm: true,
		ErrTerm: true,
	}
	Run(t.Context(), env, []string{"import", "-"})
	if !strings.Contains(out.String(), "\rreading -: 100 %") {
		t.Errorf("no progress in %q", out.String())
	}
	out.Reset()
	Run(t.Context(), env, []string{"check", "none.json"})
	if !strings.Contains(out.String(), escapeRed) {
		t.Errorf("no colour in %q", out.String())
	}
}
