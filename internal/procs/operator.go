package procs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/admin"
)

// askWait bounds one question to an operator interface.
const askWait = 2 * time.Second

// operators asks daemons. Connections are not kept, so that none outlives the
// daemon it belongs to.
var operators = &fasthttp.Client{
	MaxResponseBodySize:       admin.MaxAnswer,
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
}

// get reads a report of a daemon.
func (f *Fleet) get(name, path string, report any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr(f.hosts[name], operatorPort) + path)
	req.SetConnectionClose()
	op := "read " + path + " of " + name
	if err := operators.DoTimeout(req, resp, askWait); err != nil {
		return fail(op, Read, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fail(op, Read, fmt.Errorf("status %d", resp.StatusCode()))
	}
	if err := json.Unmarshal(resp.Body(), report); err != nil {
		return fail(op, Read, err)
	}
	return nil
}
