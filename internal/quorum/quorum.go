// Package quorum asks a set of voters at once and counts majorities among them.
package quorum

import "context"

// Majority tells whether granted voters are more than half of all voters.
func Majority(granted, voters int) bool { return granted*2 > voters }

// Collect calls all voters at once. It returns the responses received once a
// majority has granted the request, or once every voter has answered or failed.
// Calls that are still under way then end with ctx.
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
