package peer

import (
	"reflect"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/state/quota"
	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against a bound of the size that the largest message exceeds.
func TestLargestQuota(t *testing.T) {
	want := quota.Message{
		Sender:  1<<64 - 1,
		Seq:     1<<64 - 1,
		Members: 1 << 30,
		Account: 1<<64 - 1,
		Want:    quota.MaxWant,
		Back:    quota.MaxWant,
	}
	for shard := range quota.Shards {
		want.Shares = append(want.Shares, quota.Share{
			Shard: shard,
			Time:  quota.MaxShare,
		})
	}
	got, err := ParseQuota(FormatQuota(&want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and %v, want %+v", got, err, want)
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
