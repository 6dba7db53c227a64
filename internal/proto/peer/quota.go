package peer

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/quota"
	"siskinswitch.example/siskin/pkg/clock"
)

// HeaderQuota names the header field that carries a message about rate limits: in a
// request, shares and tokens that a borrower moves or asks for; in the answer, the
// tokens that the lender lends.
const HeaderQuota = "Siskin-Quota"

const (
	quotaParts    = 7
	maxQuotaBytes = 512
)

var (
	errQuotaSize   = errors.New("peer: parse quota: too long")
	errQuotaParts  = errors.New("peer: parse quota: wrong number of fields")
	errQuotaShares = errors.New("peer: parse quota: too many shares")
)

// FormatQuota returns a message as the value of [HeaderQuota].
func FormatQuota(m *quota.Message) string {
	buf := make([]byte, 0, 128)
	buf = strconv.AppendUint(buf, m.Sender, base36)
	buf = append(buf, ',')
	buf = strconv.AppendUint(buf, m.Seq, base36)
	buf = append(buf, ',')
	buf = strconv.AppendInt(buf, int64(m.Members), base36)
	buf = append(buf, ',')
	for i, share := range m.Shares {
		if i > 0 {
			buf = append(buf, ';')
		}
		buf = strconv.AppendInt(buf, int64(share.Shard), base36)
		buf = append(buf, ':')
		buf = strconv.AppendInt(buf, int64(share.Time), base36)
	}
	buf = append(buf, ',')
	buf = strconv.AppendUint(buf, m.Account, base36)
	buf = append(buf, ',')
	buf = strconv.AppendInt(buf, int64(m.Want), base36)
	buf = append(buf, ',')
	buf = strconv.AppendInt(buf, int64(m.Back), base36)
	return string(buf)
}

// ParseQuota parses the value of [HeaderQuota] in a request. The bounds of the numbers
// are checked by the lender.
func ParseQuota(s string) (quota.Message, error) {
	if len(s) > maxQuotaBytes {
		return quota.Message{}, errQuotaSize
	}
	parts := strings.Split(s, ",")
	if len(parts) != quotaParts {
		return quota.Message{}, errQuotaParts
	}
	var wide [3]uint64
	for i, index := range []int{0, 1, 4} {
		n, err := strconv.ParseUint(parts[index], base36, 64)
		if err != nil {
			return quota.Message{}, fmt.Errorf("peer: parse quota: %w", err)
		}
		wide[i] = n
	}
	var counts [3]int
	for i, index := range []int{2, 5, 6} {
		n, err := parseCount(parts[index])
		if err != nil {
			return quota.Message{}, err
		}
		counts[i] = n
	}
	shares, err := parseShares(parts[3])
	if err != nil {
		return quota.Message{}, err
	}
	return quota.Message{
		Sender:  wide[0],
		Seq:     wide[1],
		Members: counts[0],
		Shares:  shares,
		Account: wide[2],
		Want:    counts[1],
		Back:    counts[2],
	}, nil
}

// parseShares parses a list of shares.
func parseShares(s string) ([]quota.Share, error) {
	if s == "" {
		return nil, nil
	}
	items := strings.Split(s, ";")
	if len(items) > quota.Shards {
		return nil, errQuotaShares
	}
	shares := make([]quota.Share, 0, len(items))
	for _, item := range items {
		first, second, _ := strings.Cut(item, ":")
		shard, err := parseCount(first)
		if err != nil {
			return nil, err
		}
		time, err := parseCount(second)
		if err != nil {
			return nil, err
		}
		shares = append(shares, quota.Share{
			Shard: shard,
			Time:  clock.Milli(time),
		})
	}
	return shares, nil
}

// parseCount parses a number that is not negative.
func parseCount(s string) (int, error) {
	n, err := strconv.ParseUint(s, base36, 31)
	if err != nil {
		return 0, fmt.Errorf("peer: parse quota: %w", err)
	}
	return int(n), nil
}

// FormatLent returns a number of tokens as the value of [HeaderQuota] in an answer.
func FormatLent(n int) string { return strconv.FormatInt(int64(n), base36) }

// ParseLent parses the value of [HeaderQuota] in an answer.
func ParseLent(s string) (int, error) {
	if len(s) > maxQuotaBytes {
		return 0, errQuotaSize
	}
	return parseCount(s)
}
