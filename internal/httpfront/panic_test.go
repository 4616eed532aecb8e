package httpfront

import (
	"context"
	"net/http"
	"testing"

	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// TestPanicFailsItsCallOnly guards against one call that terminates the process.
func TestPanicFailsItsCallOnly(t *testing.T) {
	_, b, listener := serve(t, testConfig)
	answer := b.answer
	b.answer = func(context.Context, *submission.Request) submission.Answer { panic("unexpected state") }
	response := exchange(t, listener, request(http.MethodPost, alertPath, alert, caller))
	require.Equal(t, http.StatusInternalServerError, response.StatusCode())
	require.Equal(t, verdict.MayHaveRun, decode(t, response).Verdict)
	b.answer = answer
	response = exchange(t, listener, request(http.MethodPost, alertPath, alert, caller))
	require.Equal(t, http.StatusOK, response.StatusCode())
}
