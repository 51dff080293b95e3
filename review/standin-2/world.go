package main

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

//go:embed names.json
var namesFile []byte

// names are the names of the platform's messages.
var names = map[string]string{}

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func must(err error) {
	if err != nil {
		panic(unable{err})
	}
}

// unable says that the case could not run.
type unable struct{ cause error }

// world holds the stand-ins and the entry hosts of a case.
type world struct {
	directory string
	trouble   bool
	began     time.Time
	record    *bufio.Writer
	recording sync.Mutex
	port      int
	store     *store
	servers   []*server
	hosts     []*host
	ran       map[string][]run
	lastID    atomic.Int64
}

// run is a request that a server began to work on.
type run struct {
	id, server, service, zone, path string
	at                              time.Time
}

func newWorld() *world {
	must(json.Unmarshal(namesFile, &names))
	directory, err := os.MkdirTemp("", "review-")
	must(err)
	record, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	must(err)
	w := &world{directory: directory, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(record), ran: map[string][]run{}}
	w.port = freePorts(12)
	w.note("trouble %t", w.trouble)
	return w
}

// freePorts returns the first of some consecutive ports that are free.
func freePorts(count int) int {
	for first := 21000 + os.Getpid()%400*20; first < 60000; first += 20 {
		free := true
		for port := first; port < first+count && free; port++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first
		}
	}
	panic(unable{fmt.Errorf("no free ports")})
}

// since returns the time since the case began.
func (w *world) since(at time.Time) string {
	return fmt.Sprintf("%8.3f", at.Sub(w.began).Seconds())
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.noteAt(time.Now(), format, values...)
}

func (w *world) noteAt(at time.Time, format string, values ...any) {
	w.recording.Lock()
	defer w.recording.Unlock()
	fmt.Fprintf(w.record, "%s %s\n", w.since(at), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, values ...any) {
	w.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// close ends all processes that the case started, by their IDs.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	w.recording.Lock()
	_ = w.record.Flush()
	w.recording.Unlock()
	_ = os.RemoveAll(w.directory)
}

// host is an entry host process.
type host struct {
	w        *world
	name, ip string
	zone     string
	settings string
	mutex    sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	// piped says that the process writes its log to a pipe, which reading passes on to a
	// file until it stalls.
	piped   bool
	stalled chan struct{}
	pipe    *os.File
}

// stall ends the reading of the log, whose pipe stays open.
func (h *host) stall() { close(h.stalled) }

// passOn passes the log from a pipe on to a file until it stalls.
func (h *host) passOn(from *os.File, to *os.File) {
	buffer := make([]byte, 4096)
	for {
		select {
		case <-h.stalled:
			return
		default:
		}
		_ = from.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		count, err := from.Read(buffer)
		_, _ = to.Write(buffer[:count])
		if err != nil && !os.IsTimeout(err) {
			return
		}
	}
}

// addHost writes the settings of an entry host. Hosts use the same ports on addresses of
// their own.
func (w *world) addHost(number int, zone, storeAddress string, count int) *host {
	ip := func(i int) string { return fmt.Sprintf("127.0.9.%d", i+1) }
	h := &host{w: w, name: fmt.Sprintf("edge-%d", number), ip: ip(number), zone: zone}
	h.settings = filepath.Join(w.directory, h.name+".json")
	p := w.port
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	text := fmt.Sprintf(names["settings"], h.name, h.ip, zone, at(p), at(p+1), at(p+2), at(p+3), p+4, p+5,
		fmt.Sprintf("%s:%d", ip(0), p+3), fmt.Sprintf("%s:%d", ip(count-1), p+3), storeAddress)
	must(os.WriteFile(h.settings, []byte(text), 0o600))
	w.hosts = append(w.hosts, h)
	return h
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.w.port) }

// start starts the process with the command of the deploy file.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.w.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	command := exec.Command("target/baobabdrum", "edge")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), names["settings_variable"] + "=" + h.settings}
	command.Stdout, command.Stderr = log, log
	if h.piped {
		reader, writer, err := os.Pipe()
		must(err)
		command.Stdout, command.Stderr = writer, writer
		h.stalled, h.pipe = make(chan struct{}), reader
		defer writer.Close()
		go h.passOn(reader, log)
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	ended := make(chan struct{})
	h.mutex.Lock()
	h.process, h.ended = command, ended
	h.mutex.Unlock()
	h.w.note("start %s, process %d", h.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		h.w.note("%s ended: %v", h.name, err)
		_ = log.Close()
		close(ended)
	}()
}

func (h *host) signal(signal syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process != nil {
		h.w.note("signal %s to %s", signal, h.name)
		_ = h.process.Process.Signal(signal)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mutex.Lock()
	process, ended := h.process, h.ended
	h.mutex.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Kill()
	<-ended
}

// awaitReady waits until the host answers the readiness check with 200.
func (h *host) awaitReady(longest time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(longest); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d%s", h.ip, h.w.port+1, names["path_ready"]))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				h.w.note("%s is ready", h.name)
				return
			}
		}
	}
	panic(unable{fmt.Errorf("%s did not become ready", h.name)})
}

// saveLogs copies the logs of the hosts into a folder, if one is wanted.
func (w *world) saveLogs() {
	target := os.Getenv("KEEP_LOGS")
	if target == "" {
		return
	}
	for _, h := range w.hosts {
		if content, err := os.ReadFile(filepath.Join(w.directory, h.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(target, h.name+".log"), content, 0o600)
		}
	}
}

// server is an upstream.
type server struct {
	w                          *world
	id, service, zone, address string
	work                       time.Duration
	born                       time.Time
	mutex                      sync.Mutex
	state                      string
	sequence                   int
	running                    atomic.Int64
	http                       *http.Server
	// handle, if set, serves requests that are no liveness checks.
	handle func(w http.ResponseWriter, r *http.Request) bool
}

// addServer starts an upstream and registers it.
func (w *world) addServer(id, service, zone string, work time.Duration) *server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &server{w: w, id: id, service: service, zone: zone, address: listener.Addr().String(), work: work, born: time.Now().Add(-time.Minute), state: "ready"}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	w.servers = append(w.servers, s)
	go func() {
		for s.beat() {
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return s
}

// beat writes the entry of the upstream. It returns false once the upstream has left.
func (s *server) beat() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == "gone" {
		return false
	}
	s.sequence++
	s.w.store.put("servers", s.id, s.entry())
	return true
}

func (s *server) entry() string {
	return fmt.Sprintf(names["registration"], s.service, s.address, s.zone, s.state, s.sequence, s.born.UnixMilli())
}

// drain reports that the upstream is draining, and returns when the store accepted it.
func (s *server) drain() time.Time {
	s.mutex.Lock()
	s.state = "draining"
	s.mutex.Unlock()
	s.beat()
	return time.Now()
}

// leaving reports whether the upstream has reported that it is draining.
func (s *server) leaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state != "ready"
}

// leave removes the entry and ends the upstream.
func (s *server) leave() {
	s.mutex.Lock()
	s.state = "gone"
	s.mutex.Unlock()
	s.w.store.put("servers", s.id, "")
	_ = s.http.Close()
	s.w.note("server %s has ended", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := s.running.Load()
	header := w.Header()
	header.Set(names["load"], fmt.Sprintf("%d,%d,4,100", min(running, 4), max(running-4, 0)))
	header.Set(names["instance"], s.id)
	if s.leaving() {
		header.Set(names["leaving"], "1")
	}
	if r.URL.Path == "/health" {
		header.Set(names["warmup"], "0")
		if s.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names["request_id"])
	header.Set(names["request_id"], id)
	switch {
	case r.Header.Get(names["expect"]) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case running >= 12:
		header.Set(names["not_executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	begun := run{id: id, server: s.id, service: s.service, zone: s.zone, path: r.URL.Path, at: time.Now()}
	s.w.recording.Lock()
	s.w.ran[id] = append(s.w.ran[id], begun)
	s.w.recording.Unlock()
	s.w.note("run %s at %s of %s in %s: %s %s", id, s.id, s.service, s.zone, r.Method, r.RequestURI)
	if s.handle != nil && s.handle(w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(s.work)
	header.Set(names["signature"], "signed-by-"+s.id)
	_, _ = io.WriteString(w, answerTo(id))
}

// answerTo returns the body that only the request with this ID receives.
func answerTo(id string) string { return "answer to " + id + strings.Repeat(".", 500) }

// call is one request of a client.
type call struct {
	id, host, method, path, key string
	sent, answered              time.Time
	status                      int
	body                        string
	err                         error
}

// send sends one request to a host and records its answer.
func (w *world) send(client *http.Client, h *host, method, path, key string) call {
	c := call{id: fmt.Sprintf("%016x", 0x51a0000000000000+w.lastID.Add(1)), host: h.name, method: method, path: path, key: key}
	request, err := http.NewRequest(method, "http://"+h.front()+path, nil)
	must(err)
	request.Host = "shop.example"
	request.Header.Set(names["request_id"], c.id)
	request.Header.Set(names["deadline"], "2000")
	if key != "" {
		request.Header.Set(names["authorization"], names["key"]+key)
	}
	c.sent = time.Now()
	response, err := client.Do(request)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.status, c.body = response.StatusCode, string(content)
	}
	c.answered, c.err = time.Now(), err
	w.noteAt(c.sent, "send %s to %s: %s %s %s; after %d ms status %d error %v", c.id, h.name, method, path, key, c.answered.Sub(c.sent).Milliseconds(), c.status, err)
	return c
}

// runsOf returns where a request has run.
func (w *world) runsOf(id string) []run {
	w.recording.Lock()
	defer w.recording.Unlock()
	return append([]run(nil), w.ran[id]...)
}

func newClient() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
}
