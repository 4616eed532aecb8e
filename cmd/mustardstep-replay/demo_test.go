package main

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/stretchr/testify/require"
)

// shellWord matches one word of a printed command: in single quotes, or without a space.
var shellWord = regexp.MustCompile(`'[^']*'|[^ ]+`)

// parseCurl returns the request of a curl command with the flags that the demo uses.
func parseCurl(t *testing.T, command string) *http.Request {
	words := shellWord.FindAllString(command, -1)
	method, url, body := http.MethodGet, "", ""
	header := http.Header{}
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-i":
		case "-H":
			i++
			name, value, found := strings.Cut(strings.Trim(words[i], "'"), ": ")
			require.True(t, found, command)
			header.Add(name, value)
		case "-d":
			i++
			method, body = http.MethodPost, strings.Trim(words[i], "'")
		default:
			require.Empty(t, url, command)
			url = words[i]
		}
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Header = header
	return request
}

// A command that the demo printed was answered with 400. Each is sent as curl would send it.
func TestCommandsThatDemoPrints(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := replay.RunDemo(ctx, writer, true)
		writer.CloseWithError(io.EOF)
		done <- err
	}()
	// The line with the paths for GET is the last.
	var commands []string
	var text strings.Builder
	buffer := make([]byte, 4096)
	for !strings.Contains(text.String(), "/debug/vars\n") {
		n, err := reader.Read(buffer)
		text.Write(buffer[:n])
		require.NoError(t, err, text.String())
	}
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "curl ") {
			commands = append(commands, strings.Split(strings.TrimSpace(line), "; ")...)
		}
	}
	require.Len(t, commands, 4, text.String())
	for _, command := range commands {
		response, err := http.DefaultClient.Do(parseCurl(t, command))
		require.NoError(t, err, command)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode, "%s: %s", command, body)
	}
	stop()
	go io.Copy(io.Discard, reader)
	require.NoError(t, <-done)
}
