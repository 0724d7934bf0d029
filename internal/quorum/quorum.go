// Package quorum sends a request to a set of voters in parallel and counts majorities.
package quorum

import "context"

// Majority reports whether granted is more than half of voters.
func Majority(granted, voters int) bool { return granted*2 > voters }

// Collect calls all voters in parallel. It returns the responses received as soon
// as a majority has granted the request, or when every voter has answered or
// failed. Calls still in flight at that point are not canceled; they end with ctx.
func Collect[Req, Resp any](ctx context.Context, voters []string, request Req, granted func(Resp) bool,
	call func(ctx context.Context, voter string, request Req) (Resp, error)) []Resp {
	received := make(chan *Resp, len(voters))
	for _, voter := range voters {
		go func() {
			response, err := call(ctx, voter, request)
			if err != nil {
				received <- nil
				return
			}
			received <- &response
		}()
	}
	var responses []Resp
	grants := 0
	for range voters {
		response := <-received
		if response == nil {
			continue
		}
		responses = append(responses, *response)
		if granted(*response) {
			grants++
			if Majority(grants, len(voters)) {
				break
			}
		}
	}
	return responses
}
