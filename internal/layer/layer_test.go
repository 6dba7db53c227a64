package layer

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "siskinswitch.example/siskin/"

func TestIsAllowed(t *testing.T) {
	tests := map[string]struct {
		from string
		to   string
		want bool
	}{
		"transport uses state": {
			from: "internal/trans/link",
			to:   "internal/state/guard",
			want: true,
		},
		"state uses coordination": {
			from: "internal/state/guard",
			to:   "internal/coord/member",
			want: false,
		},
		"coordination uses protocol": {
			from: "internal/coord/member",
			to:   "internal/proto/wire",
			want: false,
		},
		"public uses state": {
			from: "pkg/client",
			to:   "internal/state/rules",
			want: false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := IsAllowed(tt.from, tt.to); got != tt.want {
				t.Errorf("IsAllowed(%q, %q) = %v, want %v", tt.from, tt.to, got, tt.want)
			}
		})
	}
}

// TestModuleRespectsLayers checks the imports of every Go file of the module.
func TestModuleRespectsLayers(t *testing.T) {
	root := filepath.Join("..", "..")
	seen := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		seen++
		checkImports(t, path, filepath.ToSlash(filepath.Dir(rel)))
		return nil
	})
	if err != nil {
		t.Fatalf("walk the module: %v", err)
	}
	if seen == 0 {
		t.Fatal("found no Go files")
	}
}

func checkImports(t *testing.T, path, from string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatalf("parse %s: %v", path, err)
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatalf("unquote %s: %v", spec.Path.Value, err)
		}
		to, ok := strings.CutPrefix(name, module)
		if !ok || IsAllowed(from, to) {
			continue
		}
		t.Errorf("%s imports %s, which is in a higher layer", path, name)
	}
}
