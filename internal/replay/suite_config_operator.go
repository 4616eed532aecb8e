package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/operators"
	"github.com/valyala/fasthttp"
)

// acceptedChange is a change whose acceptance the operator received.
type acceptedChange struct {
	id, key, value string
	revision       int64
	at             time.Time
}

// operator is a client that changes entries concurrently with other operators.
type operator struct {
	run     *configRun
	number  int
	random  *rand.Rand
	client  *operators.Client
	changes int
}

// contendedKeys is the number of entries that the operators change.
const contendedKeys = 12

func newOperator(r *configRun, number int, random *rand.Rand) *operator {
	addresses := append([]string(nil), r.httpAddrs...)
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return &operator{run: r, number: number, random: random, client: operators.NewClient(addresses, agreementTimeout)}
}

// makeChanges submits changes until loadCtx ends. A change with an unknown outcome is
// retried until its outcome is known or ctx ends.
func (o *operator) makeChanges(ctx, loadCtx context.Context) {
	for loadCtx.Err() == nil {
		if request, err := o.nextChange(); err == nil {
			o.submit(ctx, request)
		}
		select {
		case <-time.After(operatorPause/2 + rand.N(operatorPause)):
		case <-loadCtx.Done():
		}
	}
}

// nextChange returns a change of one random entry, based on the current configuration.
func (o *operator) nextChange() (*api.ChangeRequest, error) {
	current, err := o.client.Configuration()
	if err != nil {
		return nil, err
	}
	o.changes++
	key := fmt.Sprintf("quotas/team%d", o.random.IntN(contendedKeys))
	// Values are unique, so that a lost change is detectable.
	value := strconv.Itoa(1 + o.number*1_000_000 + o.changes)
	edit := api.ConfigurationEdit{Key: key, After: &value}
	for _, e := range current.Entries {
		if e.Key == key {
			edit.Before = &e.Value
		}
	}
	return &api.ChangeRequest{
		ID: fmt.Sprintf("operator%d-%d", o.number, o.changes), Author: fmt.Sprintf("operator%d", o.number),
		Base: current.Revision, Edits: []api.ConfigurationEdit{edit},
	}, nil
}

func (o *operator) submit(ctx context.Context, request *api.ChangeRequest) {
	for ctx.Err() == nil {
		response, err := o.client.Change(request)
		if err == nil && (response.Outcome == api.ChangeAccepted || response.Outcome == api.ChangeConflict) {
			o.record(request, response)
			return
		}
		request.Retry = true
		time.Sleep(operatorPause)
	}
}

func (o *operator) record(request *api.ChangeRequest, response *api.ChangeResponse) {
	o.run.mu.Lock()
	defer o.run.mu.Unlock()
	if response.Outcome == api.ChangeConflict {
		o.run.conflicts++
		return
	}
	o.run.accepted = append(o.run.accepted, acceptedChange{
		id: request.ID, key: request.Edits[0].Key, value: *request.Edits[0].After,
		revision: response.Revision, at: time.Now(),
	})
}

func getJSON[T any](url string) (*T, error) {
	status, body, err := fasthttp.GetTimeout(nil, url, startTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Newf("%s: status %d", url, status)
	}
	value := new(T)
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	return value, err
}
