package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cluster is a small deployment on loopback: in each of three zones a core, a store
// and an edge, started with the commands of deploy/system.toml.
type cluster struct {
	dir                                string
	net                                int // second number of the addresses
	data, ready, control, first, spare int // ports
	record                             *record
	live                               bool // topics of realtime clients

	mu    sync.Mutex
	procs map[string]*exec.Cmd
}

const (
	core  = 1
	store = 2
	edge  = 3
)

// role is the role that runs on a class of machines, as in deploy/system.toml.
func (c *cluster) role(class int) string {
	switch {
	case class == core:
		return "core"
	case class == store && c.live:
		return "broker"
	case class == store:
		return "store"
	case c.live:
		return "gateway"
	}
	return "edge"
}

// name is the name of a process in the record.
func (c *cluster) name(zone, class int) string { return fmt.Sprintf("%s-%d", c.role(class), zone) }

func (c *cluster) address(zone, class int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net, zone, class)
}

func newCluster(r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "saltreel-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: r, procs: map[string]*exec.Cmd{}, net: 20 + rand.IntN(200)}
	for range 50 {
		base := 20000 + rand.IntN(10000)
		if c.portsAreFree(base) {
			c.data, c.ready, c.control, c.first, c.spare = base, base+1, base+2, base+3, base+20
			return c, nil
		}
	}
	return nil, errors.New("no free ports")
}

// portsAreFree reports whether nobody listens on the ports on any of the addresses.
func (c *cluster) portsAreFree(base int) bool {
	for port := base; port < base+40; port++ {
		for zone := 1; zone <= 3; zone++ {
			for class := core; class <= 9; class++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.address(zone, class), port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (c *cluster) settings(zone, class int, bootstrap bool) string {
	ip := c.address(zone, class)
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node-name=%s-zone-%d-1\nrole=%s", c.role(class), zone, c.role(class))
	line("ip-address=%s\nzone=zone-%d\nregion=region-%d", ip, zone, zone)
	line("zones.zone-1=region-1\nzones.zone-2=region-2\nzones.zone-3=region-3")
	switch class {
	case core:
		line("platform-class=core\nserved-planes=control\nquorum-member=true\nlimits.cpu-share=0.24\nlimits.memory-mb=280\nlimits.disk-mb=128")
		line("listeners.control-plane=%s:%d", ip, c.control)
	case store:
		line("platform-class=storage\nserved-planes=storage\nquorum-member=true\nlimits.cpu-share=0.8\nlimits.memory-mb=294\nlimits.disk-mb=340")
	case edge:
		line("platform-class=edge\nserved-planes=edge\nquorum-member=false\nlimits.cpu-share=0.4\nlimits.memory-mb=284\nlimits.disk-mb=0")
		line("listeners.data-plane=%s:%d\nlisteners.readiness=%s:%d", ip, c.data, ip, c.ready)
	}
	if class != edge {
		line("data-path=%s", c.dataPath(zone, class))
	}
	line("internal-port-range=%d,%d", c.first, c.first+15)
	line("seed-peers=%s:%d,%s:%d,%s:%d", c.address(1, core), c.control, c.address(2, core), c.control, c.address(3, core), c.control)
	line("bootstrap=%v", bootstrap)
	line("limits.core-count=1\nlimits.max-fds=4100\nlimits.link-speed-mbps=1000\ndiscovery-source=registration\nentry-mode=anycast_vip\nkeepalive-ms=1200")
	line("fault-tolerance.host-failures=1\nfault-tolerance.zones=0\nfault-tolerance.region-failures=0")
	if c.live {
		b.WriteString(liveTimers)
	} else {
		b.WriteString(ingestTimers)
	}
	return b.String()
}

func (c *cluster) dataPath(zone, class int) string {
	return filepath.Join(c.dir, c.name(zone, class))
}

// start starts one process with the command of the deploy file.
func (c *cluster) start(zone, class int, bootstrap bool) error {
	name := c.name(zone, class)
	conf := filepath.Join(c.dir, name+".conf")
	if err := os.WriteFile(conf, []byte(c.settings(zone, class, bootstrap)), 0o600); err != nil {
		return err
	}
	if class != edge {
		if err := os.MkdirAll(c.dataPath(zone, class), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program := "target/saltreel-data"
	if class == core {
		program = "target/saltreel-control"
	}
	cmd := exec.Command(program, c.role(class))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LANG=C", "SALTREEL_BOOT=" + conf}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.procs[name] = cmd
	c.mu.Unlock()
	return nil
}

func (c *cluster) startAll() error {
	for class := core; class <= edge; class++ {
		for zone := 1; zone <= 3; zone++ {
			if err := c.start(zone, class, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// signal sends a signal to one process.
func (c *cluster) signal(zone, class int, s syscall.Signal) {
	name := c.name(zone, class)
	c.mu.Lock()
	cmd := c.procs[name]
	c.mu.Unlock()
	c.record.line("disruption: %v to %s", s, name)
	_ = cmd.Process.Signal(s)
}

// wait waits for the end of one process.
func (c *cluster) wait(zone, class int) {
	c.mu.Lock()
	cmd := c.procs[c.name(zone, class)]
	c.mu.Unlock()
	_ = cmd.Wait()
}

// end ends all processes and removes their files.
func (c *cluster) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	for _, cmd := range c.procs {
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs are in", c.dir)
	}
}

// awaitReady waits until all edges say that they are ready.
func (c *cluster) awaitReady(d time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		n := 0
		for zone := 1; zone <= 3; zone++ {
			answer, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", c.address(zone, edge), c.ready))
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == 200 {
					n++
				}
			}
		}
		if n == 3 {
			return nil
		}
	}
	return errors.New("the edges do not become ready")
}

// putConfiguration is the operator: it sends a configuration, again and again as the
// pages say, until it is acknowledged. It returns when that was.
func (c *cluster) putConfiguration(conf map[string]any, match int, d time.Duration) (time.Time, error) {
	raw, err := json.Marshal(conf)
	if err != nil {
		return time.Time{}, err
	}
	last := errors.New("no answer")
	client := &http.Client{Timeout: time.Second}
	for deadline, i := time.Now().Add(d), 0; time.Now().Before(deadline); i++ {
		request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/configuration", c.address(1+i%3, core), c.control), bytes.NewReader(raw))
		if err != nil {
			return time.Time{}, err
		}
		request.Header.Set("If-Match", fmt.Sprint(match))
		request.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(request)
		if err == nil {
			text, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			if answer.StatusCode == 200 {
				c.record.line("operator: revision %v is acknowledged: %s", conf["revision"], raw)
				return time.Now(), nil
			}
			err = fmt.Errorf("%d %s", answer.StatusCode, text)
			if answer.StatusCode == 400 || answer.StatusCode == 412 {
				return time.Time{}, err
			}
		}
		last = err
		time.Sleep(150 * time.Millisecond)
	}
	return time.Time{}, last
}

// message is what a client sends.
type message struct {
	path, orderKey, body string
	delay                time.Duration
	at                   time.Time // when it shall fall due; the delay follows from it
}

// accepted is a message that got its 202.
type accepted struct {
	message
	id, name           string
	sent, acknowledged time.Time
}

var httpClient = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
}

const (
	host   = "app.example"
	apiKey = "example-key"
)

var (
	idMu   sync.Mutex
	idNext int
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	idNext++
	return fmt.Sprintf("m%04d", idNext)
}

// send is a client: it sends a message to an edge, and tries a few times more, each try
// with an id of its own, after an answer that promises that the message was not taken.
func (c *cluster) send(zone int, m message) (accepted, error) {
	last := errors.New("no try")
	deadline := time.Now().Add(8 * time.Second)
	for try := 0; try < 6 && time.Now().Before(deadline); try++ {
		id := newID()
		a, status, err := c.try(zone, id, m, time.Until(deadline))
		if err == nil && status == 202 {
			return a, nil
		}
		last = fmt.Errorf("%s: %d %v", id, status, err)
		c.record.line("client: %s was not accepted: %v", id, last)
		if err != nil || status != 503 && status != 429 {
			return accepted{}, last // it may have been taken: another try would be another message
		}
		time.Sleep(300 * time.Millisecond)
	}
	return accepted{}, last
}

func (c *cluster) try(zone int, id string, m message, wait time.Duration) (accepted, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", c.address(zone, edge), c.data, m.path), strings.NewReader(m.body))
	if err != nil {
		return accepted{}, 0, err
	}
	request.Host = host
	request.Header.Set("Saltreel-Attempt-Id", id)
	request.Header.Set("Saltreel-Key", apiKey)
	request.Header.Set("Saltreel-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if m.orderKey != "" {
		request.Header.Set("Saltreel-Order-Key", m.orderKey)
	}
	if !m.at.IsZero() {
		m.delay = time.Until(m.at)
	}
	if m.delay > 0 {
		request.Header.Set("Saltreel-Delay-Ms", fmt.Sprint(m.delay.Milliseconds()))
	}
	a := accepted{message: m, id: id, sent: time.Now()}
	answer, err := httpClient.Do(request)
	if err != nil {
		return a, 0, err
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	a.acknowledged = time.Now()
	a.name = answer.Header.Get("Saltreel-Message-Name")
	if answer.StatusCode == 202 {
		c.record.line("client: %s (%s key %q delay %v) sent %s, accepted as %s", id, m.path, m.orderKey, m.delay, c.record.at(a.sent), a.name)
	}
	return a, answer.StatusCode, nil
}

// state asks an edge for the state of a message; "" if nobody answers in time.
func (c *cluster) state(a accepted) string {
	name := a.name
	if name == "" {
		name = a.id
	}
	for i := range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/message/%s", c.address(1+i%3, edge), c.data, name), nil)
		request.Host = host
		request.Header.Set("Saltreel-Key", apiKey)
		answer, err := httpClient.Do(request)
		if err == nil {
			raw, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			cancel()
			var s struct {
				State string `json:"oper-state"`
			}
			if answer.StatusCode == 200 && json.Unmarshal(raw, &s) == nil {
				return s.State
			}
			if answer.StatusCode == 404 || answer.StatusCode == 410 {
				return fmt.Sprint(answer.StatusCode)
			}
		} else {
			cancel()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// The bounds of the pages' small deployments of each kind.
const (
	ingestTimers = `deployment=ingest
policy-sections=base,drain,config,cost,ingest,tenants,quota
timers.seed-lag-s=3
timers.address-holddown-s=2
timers.contact-ms=4000
timers.ack-timeout-ms=5000
timers.sync-time-s=4.3
timers.recovery-s=12
timers.drain-ms=3000
timers.grace-s=6
timers.loss-slack-ms=200
timers.config-apply-ms=3000
timers.revert-slack-ms=250
timers.max-stretch-ms=12000
timers.strict-revocation=false
timers.revoke-ms=5000
timers.quota-window-s=5
timers.quota-overshoot=0.1
timers.quota-allowance=20
timers.completion-s=10
timers.status-ttl-s=120
timers.callback-ttl-s=5
timers.visibility-ms=3000
timers.early-slack-ms=100
timers.origin-window-s=5
timers.origin-overshoot=1.1
`
	liveTimers = `deployment=live
policy-sections=base,drain,config,cost,live,tenants,quota
timers.seed-lag-s=3
timers.address-holddown-s=2
timers.contact-ms=6000
timers.ack-timeout-ms=8000
timers.sync-time-s=6
timers.drain-ms=5000
timers.grace-s=6
timers.loss-slack-ms=200
timers.config-apply-ms=5000
timers.revert-slack-ms=250
timers.max-stretch-ms=20000
timers.recovery-s=15
timers.quota-window-s=5
timers.quota-overshoot=0.1
timers.quota-allowance=20
timers.status-ttl-s=120
timers.ping-interval-s=2
timers.reconnect-s=2
timers.retransmit-s=10
timers.presence-ms=5000
timers.presence-tolerance=0.05
`
)
