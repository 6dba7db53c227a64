package proxy

import (
	"testing"

	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/model"
)

// Guards against learning in a deployment whose configuration does not call for it,
// and the other way round.
func TestIsLearning(t *testing.T) {
	accounts, err := acct.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	with := func(routes ...model.Route) *model.Config {
		return &model.Config{
			Hosts: map[string][]model.Route{"h": routes},
		}
	}
	plain, withUploads, withAccounts := with(model.Route{}), with(model.Route{}, model.Route{Upload: true}), with()
	withAccounts.Accounts = accounts
	configs := [...]*model.Config{nil, plain, withAccounts, withUploads}
	tests := map[string][len(configs)]bool{
		"":        {false, false, true, true},
		learnAuto: {false, false, true, true},
		learnOn:   {true, true, true, true},
		learnOff:  {},
	}
	for value, wants := range tests {
		s := testSettings()
		s.Learn = value
		if err := s.validate(); err != nil {
			t.Fatal(err)
		}
		for i, want := range wants {
			if got := s.isLearning(configs[i]); got != want {
				t.Errorf("learn %q with configuration %d: got %t, want %t", value, i, got, want)
			}
		}
	}
	s := testSettings()
	s.Learn = "yes"
	if s.validate() == nil {
		t.Error("another value is taken")
	}
}
