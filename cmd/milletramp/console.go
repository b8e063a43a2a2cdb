package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Replies of consoles are cut at these sizes, in bytes.
const (
	maxFleetReply  = 8 << 20
	maxPolicyReply = 16 << 20
)

// statusError is a console's reply with another status than 200.
type statusError struct {
	code int
	text string
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.code, e.text) }

// console is the HTTP interface of one sidecar for operators.
type console struct {
	address  string
	maxReply int64
}

// get fetches a path and decodes the reply into reply.
func (c console) get(ctx context.Context, path string, reply any) error {
	return c.call(ctx, http.MethodGet, path, nil, reply)
}

// post sends body as JSON and decodes the reply into reply.
func (c console) post(ctx context.Context, path string, body, reply any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, text, reply)
}

// call makes one call on a connection of its own. A refusal by the console is a statusError.
func (c console) call(ctx context.Context, method, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, c.maxReply))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &statusError{code: response.StatusCode, text: strings.TrimSpace(string(text))}
	}
	return json.Unmarshal(text, reply)
}
