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

// acceptedChange is a change that its operator was told to be accepted.
type acceptedChange struct {
	id, key, value string
	revision       int64
	at             time.Time
}

// operator changes entries that others change too.
type operator struct {
	run     *configRun
	number  int
	random  *rand.Rand
	client  *operators.Client
	changes int
}

// contendedKeys is the number of entries that operators race for.
const contendedKeys = 12

func newOperator(r *configRun, number int, random *rand.Rand) *operator {
	addresses := append([]string(nil), r.http...)
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return &operator{run: r, number: number, random: random, client: operators.NewClient(addresses, agreementTimeout)}
}

// makeChanges makes changes until the working context ends. A change whose end is not
// known is repeated until it is, or the outer context ends.
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

// nextChange returns a change of one entry as the operator sees it.
func (o *operator) nextChange() (*api.ChangeRequest, error) {
	current, err := o.client.Configuration()
	if err != nil {
		return nil, err
	}
	o.changes++
	key := fmt.Sprintf("quotas/team%d", o.random.IntN(contendedKeys))
	// Every value is unique, so that a lost one shows.
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
		request.Repeated = true
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
