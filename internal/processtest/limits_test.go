package processtest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Limits of the machines in the tests with many clients. The memory is that of the smallest
// machine of any deployment. The descriptors are fewer than on any machine, so that a small
// crowd needs more of them.
const (
	limitedMemoryMB    = 102
	limitedDescriptors = 512
)

// limitedSettings returns the settings lines of these limits.
func limitedSettings() []string {
	return []string{
		fmt.Sprintf("limits.memory-mb=%d", limitedMemoryMB),
		fmt.Sprintf("limits.max-fds=%d", limitedDescriptors),
	}
}

// resourceMonitor records the peak use of resources of a process.
type resourceMonitor struct {
	process *process
	ip      string // of its machine
	stop    chan struct{}
	done    sync.WaitGroup

	mu          sync.Mutex
	descriptors int // the most that were open at once
	unread      int // the most bytes that had arrived but were not read
	unreadErr   error
}

// unreadBytes returns how many bytes have arrived at a machine that its process has not read.
// They count as memory of the process.
func unreadBytes(ip string) (sum int, err error) {
	octets := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", octets[3], octets[2], octets[1], octets[0])
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line) // slot, local, remote, state, transmit:receive queue, ...
		const listening = "0A"
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseUint(queue, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("receive queue of %q: %w", line, err)
		}
		sum += int(unread)
	}
	return sum, nil
}

const descriptorPollInterval = 20 * time.Millisecond

// monitorResources starts to record the peak use of resources of a process, until check is
// called. Earlier use does not count.
func monitorResources(p *process, ip string) *resourceMonitor {
	p.t.Helper()
	m := &resourceMonitor{process: p, ip: ip, stop: make(chan struct{})}
	const resetPeakMemory = "5"
	if err := os.WriteFile(m.path("clear_refs"), []byte(resetPeakMemory), 0); err != nil {
		p.t.Fatal(err)
	}
	m.done.Go(m.poll)
	return m
}

func (m *resourceMonitor) path(name string) string { return m.process.procPath(name) }

// procPath returns the path of a file of the process in /proc.
func (p *process) procPath(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, name)
}

func (m *resourceMonitor) poll() {
	for {
		unread, unreadErr := unreadBytes(m.ip)
		if unreadErr != nil {
			m.mu.Lock()
			m.unreadErr = unreadErr
			m.mu.Unlock()
		}
		if list, err := os.ReadDir(m.path("fd")); err == nil {
			m.mu.Lock()
			m.descriptors = max(m.descriptors, len(list))
			m.unread = max(m.unread, unread)
			m.mu.Unlock()
		}
		select {
		case <-m.stop:
			return
		case <-time.After(descriptorPollInterval):
		}
	}
}

// check ends the recording. The process must still run, and its peak memory and descriptors
// must be within the limits of its settings.
func (m *resourceMonitor) check(t *testing.T) {
	t.Helper()
	close(m.stop)
	m.done.Wait()
	m.process.checkRunning(t)
	memory, err := m.process.peakMemoryMB()
	if err = errors.Join(err, m.unreadErr); err != nil {
		t.Fatal(err)
	}
	unread := m.unread >> 20
	t.Logf("%s: peak memory %d MB and %d MB not read, of %d MB, descriptors %d of %d", m.process.role, memory, unread, limitedMemoryMB, m.descriptors, limitedDescriptors)
	if memory+unread > limitedMemoryMB {
		t.Errorf("%s: peak memory %d MB and %d MB not read, limits.memory-mb=%d", m.process.role, memory, unread, limitedMemoryMB)
	}
	if m.descriptors > limitedDescriptors {
		t.Errorf("%s: %d open descriptors, limits.max-fds=%d", m.process.role, m.descriptors, limitedDescriptors)
	}
}

// peakMemoryMB returns the peak resident set size of the process.
func (p *process) peakMemoryMB() (int, error) {
	raw, err := os.ReadFile(p.procPath("status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10, err
		}
	}
	return 0, errors.New("no peak memory in the status of the process")
}

// A single request of the largest permitted size is served on the smallest machine.
func TestLargestRequestsAreServed(t *testing.T) {
	c := newCluster(t, clusterLargest)
	c.settings = limitedSettings()
	core, _, edge := c.startAll()
	monitors := []*resourceMonitor{monitorResources(core, c.ip("core")), monitorResources(edge, c.ip("edge"))}
	if status := c.sendBody("largest", strings.Repeat("x", clientBodyBytes), waitTimeout); status != http.StatusAccepted {
		t.Errorf("message of the largest size: status %d", status)
	}
	chunked := c.newMessage("largest-chunked", struct{ io.Reader }{strings.NewReader(strings.Repeat("x", clientBodyBytes))})
	chunked.Header.Set("Filler", strings.Repeat("x", headerBytes-512))
	if response, err := httpClient(waitTimeout).Do(chunked); err != nil || response.StatusCode != http.StatusAccepted {
		t.Errorf("chunked message of the largest size: %v, %v", response, err)
	}
	c.configuration = padded(strings.Replace(configurationJSON, `"revision":1`, `"revision":2`, 1), configurationBytes)
	c.waitUntil("the largest configuration is accepted", func() bool { return c.putConfigurationOn("1") })
	response, err := httpClient(waitTimeout).Get("http://" + c.address("core", portControl) + "/v1/configuration")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != c.configuration {
		t.Errorf("read %d bytes of the configuration of %d bytes: %v", len(got), len(c.configuration), err)
	}
	for _, m := range monitors {
		m.check(t)
	}
}
