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
	plain := &model.Config{
		Hosts: map[string][]model.Route{
			"h": {
				{
					AtMostOnce: true,
				},
			},
		},
	}
	withAccounts := &model.Config{
		Accounts: accounts,
	}
	withUploads := &model.Config{
		Hosts: map[string][]model.Route{
			"h": {
				{},
				{
					Upload: true,
				},
			},
		},
	}
	tests := map[string]struct {
		learn  string
		config *model.Config
		want   bool
	}{
		"missing":                   {config: plain},
		"missing, with accounts":    {config: withAccounts, want: true},
		"auto":                      {learn: learnAuto, config: plain},
		"auto, with uploads":        {learn: learnAuto, config: withUploads, want: true},
		"auto, no configuration":    {learn: learnAuto},
		"on":                        {learn: learnOn, config: plain, want: true},
		"on, no configuration":      {learn: learnOn, want: true},
		"off, with accounts":        {learn: learnOff, config: withAccounts},
		"off, with uploads as well": {learn: learnOff, config: withUploads},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.Learn = tt.learn
			if err := s.validate(); err != nil {
				t.Fatal(err)
			}
			if got := s.isLearning(tt.config); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
