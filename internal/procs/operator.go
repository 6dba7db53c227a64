package procs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/admin"
)

// operatorTimeout bounds a request to an operator interface.
const operatorTimeout = 2 * time.Second

// operatorClient reads reports from daemons. Each request closes its connection,
// because a connection kept open would fail after a restart of the daemon.
var operatorClient = &fasthttp.Client{
	MaxResponseBodySize:       admin.MaxAnswer,
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
}

// getReport decodes the report at path of a daemon into report.
func (f *Fleet) getReport(name, path string, report any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr(f.hosts[name], operatorPort) + path)
	req.SetConnectionClose()
	op := "read " + path + " of " + name
	if err := operatorClient.DoTimeout(req, resp, operatorTimeout); err != nil {
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
