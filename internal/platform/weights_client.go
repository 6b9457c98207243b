package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// WeightClient implements WeightStore over HTTP.
type WeightClient struct {
	*client
}

// NewWeightClient returns a client for the store at the base URL. MaxAnswerBytes bounds the
// size of a file, Timeout the duration of a Fetch.
func NewWeightClient(options Options) *WeightClient {
	return &WeightClient{newClient(options)}
}

var _ WeightStore = (*WeightClient)(nil)

// Fetch writes the weights to w.
func (c *WeightClient) Fetch(ctx context.Context, ref WeightRef, w io.Writer) (FetchResult, error) {
	const op = "weights.fetch"
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	path := "/v1/weights/" + url.PathEscape(ref.Name) + "/" + url.PathEscape(ref.Version)
	response, err := c.send(ctx, op, c.base.New().Get(path))
	if err != nil {
		return FetchResult{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return FetchResult{}, c.fetchStatusError(op, response)
	}
	return c.copyWeights(op, response, w)
}

func (c *WeightClient) fetchStatusError(op string, response *http.Response) error {
	body, err := c.readBody(op, response, nil)
	if err != nil {
		return err
	}
	return statusError(op, bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
}

func (c *WeightClient) copyWeights(op string, response *http.Response, w io.Writer) (FetchResult, error) {
	want, err := strconv.ParseUint(response.Header.Get(HeaderDigest), 16, 64)
	if err != nil {
		return FetchResult{}, &Error{Kind: KindGarbage, Op: op, Detail: "response without a valid digest header", Err: err}
	}
	if response.ContentLength > c.options.MaxAnswerBytes {
		return FetchResult{}, c.tooLarge(op, response)
	}
	digest := xxhash.New()
	limited := io.LimitReader(response.Body, c.options.MaxAnswerBytes+1)
	copied, err := io.Copy(io.MultiWriter(w, digest), limited)
	if err != nil {
		return FetchResult{}, &Error{Kind: KindUnknown, Op: op, Detail: "copying the response failed", Err: err}
	}
	if copied > c.options.MaxAnswerBytes {
		return FetchResult{}, c.tooLarge(op, response)
	}
	if got := digest.Sum64(); got != want {
		detail := fmt.Sprintf("digest is %016x, expected %016x", got, want)
		return FetchResult{}, &Error{Kind: KindGarbage, Op: op, Detail: detail}
	}
	return FetchResult{Bytes: copied, Digest: want}, nil
}
