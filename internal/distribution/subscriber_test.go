package distribution

import (
	"context"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
	"saltreel/internal/rpc"
)

// network connects each address to its server; dialing any other address fails.
type network struct {
	mu      sync.Mutex
	servers map[string]*httpwire.Server
	dials   []string
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials = append(n.dials, addr)
	server := n.servers[addr]
	if server == nil {
		return nil, io.EOF
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(context.WithoutCancel(ctx), serverConn)
	return clientConn, nil
}

func (n *network) remove(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[addr].Shutdown(canceled())
	delete(n.servers, addr)
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestSubscriberChangesParentAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const contact = 4 * time.Second
		source := newTestJournal("core", 3)
		publisher := NewPublisher(PublisherConfig{Journal: source, MaxWait: contact / 2, BatchDelay: contact / 32})
		serve := func() *httpwire.Server {
			return &httpwire.Server{Handle: rpc.Mux{watchPath: publisher.Handle}.Handle}
		}
		net := &network{servers: map[string]*httpwire.Server{"core-1:1": serve(), "core-2:1": serve()}}
		var lines strings.Builder
		ownJournal := journal.New("store", time.Hour, PrefixNode)
		client := rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: net.dial}})
		s := NewSubscriber(SubscriberConfig{
			Self: membership.Node{Name: "store-1", Role: roleStore, Zone: "a"}, Journal: ownJournal, Client: client,
			Seeds: []string{"core-1:1", "core-2:1"}, ContactTimeout: contact, Log: log.New(&lines, "", 0),
		})
		if s.UpToDate() {
			t.Error("up to date before any response")
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		synctest.Wait()
		if !s.UpToDate() || !ownJournal.NotEmpty() {
			t.Error("not up to date after the first response")
		}
		first := net.dials[0]
		net.remove(first)
		time.Sleep(contact)
		if !s.UpToDate() {
			t.Error("not up to date after a change of the parent")
		}
		for addr := range net.servers {
			net.remove(addr)
		}
		time.Sleep(contact)
		if s.UpToDate() {
			t.Error("up to date although no parent answers")
		}
		cancel()
		<-done
		if got := lines.String(); strings.Count(got, "distribution: following") != 2 || strings.Count(got, "distribution: parent lost") != 2 {
			t.Errorf("logged %q", got)
		}
	})
}

func TestConfigurationIsChecked(t *testing.T) {
	for name, construct := range map[string]func(){
		"a publisher without a journal": func() { NewPublisher(PublisherConfig{MaxWait: time.Second}) },
		"a publisher without a bound":   func() { NewPublisher(PublisherConfig{Journal: newTestJournal("j", 0)}) },
		"an empty subscriber":           func() { NewSubscriber(SubscriberConfig{}) },
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s is accepted", name)
				}
			}()
			construct()
		}()
	}
}
