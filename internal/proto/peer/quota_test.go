package peer

import (
	"reflect"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/state/quota"
	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against a message that arrives as another one than was sent.
func TestQuotaRoundTrip(t *testing.T) {
	full := quota.Message{
		Sender:  1<<64 - 1,
		Seq:     1<<64 - 1,
		Members: 780,
		Account: 1<<64 - 1,
		Want:    quota.MaxWant,
		Back:    quota.MaxWant,
	}
	for shard := range quota.Shards {
		full.Shares = append(full.Shares, quota.Share{
			Shard: shard,
			Time:  quota.MaxShare,
		})
	}
	tests := map[string]quota.Message{
		"the largest": full,
		"only a want": {
			Sender:  7,
			Seq:     1,
			Members: 3,
			Account: 9,
			Want:    2,
		},
		"only a share": {
			Sender:  7,
			Seq:     2,
			Members: 3,
			Shares: []quota.Share{
				{
					Shard: 5,
					Time:  500 * clock.Millisecond,
				},
			},
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseQuota(FormatQuota(&want))
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v and %v, want %+v", got, err, want)
			}
		})
	}
}

// Guards against nonsense from outside that is taken for a message, or that costs more
// than its bound.
func FuzzParseQuota(f *testing.F) {
	for _, s := range []string{"", "1,2,3,4:5;6:7,8,9,a", "1,2,3,,8,9,a", "-1,2,3,,8,9,a", "1,2,3,4,8,9,a",
		"1,2,3,4:5;,8,9,a", "1,2,zzzzzzzzz,,8,9,a", strings.Repeat("1", 600), "1,2,3," + strings.Repeat("1:1;", 99) + ",1,1,1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		m, err := ParseQuota(s)
		if err != nil {
			return
		}
		if len(s) > maxQuotaBytes || len(m.Shares) > quota.Shards || m.Members < 0 || m.Want < 0 || m.Back < 0 {
			t.Fatalf("%q was taken for %+v", s, m)
		}
		again, err := ParseQuota(FormatQuota(&m))
		if err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%q: got %+v and %v, want %+v", s, again, err, m)
		}
		quota.NewLender().Receive(clock.Second, &m)
	})
}
