//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	storePartitions = 32
	recordBytes     = 262144
	requestBytes    = 2097152
	pageRecords     = 500
	pageBytes       = 1 << 20
	appendTime      = 2 * time.Millisecond
	groupTopic      = "keyed.jobs"
)

type partID struct {
	topic string
	part  int
}

type keyedValue struct {
	value  []byte
	offset int
}

type logPart struct {
	// appendMu is held during an append: a partition carries out its appends one at a time.
	appendMu sync.Mutex
	records  [][]byte
	newest   map[string]keyedValue
	producer bool
	epoch    uint64
	nextSeq  uint64
	// answers holds the first responses to the last five appends of the producer.
	answers map[uint64][]byte
}

type member struct {
	expiresAt time.Time
	ttl       time.Duration
}

// store is a stand-in of the platform's log store.
type store struct {
	// tooLarge counts the appends that were refused as malformed or too large.
	tooLarge atomic.Int64
	mu       sync.Mutex
	parts    map[partID]*logPart
	appended chan struct{}
	// The consumer group: who holds a partition, and who is to have it.
	members    map[string]*member
	holders    [storePartitions]string
	targets    [storePartitions]string
	generation uint64
}

func newStore() *store {
	return &store{parts: make(map[partID]*logPart), appended: make(chan struct{}), members: make(map[string]*member)}
}

// gate is one address of the store. While it is closed, calls over it are reset.
type gate struct {
	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// serveAt serves the store at an address of its own.
func (s *store) serveAt(address string) (*gate, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{listener: listener, conns: make(map[net.Conn]bool)}
	server := &http.Server{Handler: s, ConnState: g.track}
	go func() { _ = server.Serve(listener) }()
	return g, nil
}

func (g *gate) track(conn net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew:
		g.conns[conn] = true
		if g.closed {
			reset(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(g.conns, conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// cut resets the open connections and all later ones until heal.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for conn := range g.conns {
		reset(conn)
	}
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
}

func (s *store) part(id partID) *logPart {
	if s.parts[id] == nil {
		s.parts[id] = &logPart{newest: make(map[string]keyedValue), answers: make(map[uint64][]byte)}
	}
	return s.parts[id]
}

// put writes a record as the operator.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(partID{topic, 0}).add(append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (p *logPart) add(content []byte) {
	p.records = append(p.records, content)
	if len(content) == 0 || len(content) < 1+int(content[0]) {
		return
	}
	keyEnd := 1 + int(content[0])
	key, value := string(content[1:keyEnd]), content[keyEnd:]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = keyedValue{value: value, offset: len(p.records) - 1}
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	id := partID{query.Get("topic"), part}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case names["append"]:
		s.handleAppend(w, r, id, body)
	case names["read"]:
		s.handleRead(w, r, id)
	case names["newest"]:
		s.handleNewest(w, id, query.Get("after"))
	case names["join"], names["leave"]:
		s.handleJoin(w, r.URL.Path == names["leave"], body)
	case "/log-owners":
		s.handleOwners(w)
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

// split returns the records of a body; ok is false if they are malformed or too large.
func split(body []byte) (records [][]byte, ok bool) {
	if len(body) > requestBytes {
		return nil, false
	}
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > recordBytes || len(rest) < 4+size {
			return nil, false
		}
		records = append(records, slices.Clone(rest[4:4+size]))
		rest = rest[4+size:]
	}
	return records, true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, id partID, body []byte) {
	query := r.URL.Query()
	if id.topic == "keyed.op" || id.topic == "keyed.servers" {
		answer(w, http.StatusForbidden, struct{}{})
		return
	}
	records, ok := split(body)
	if !ok {
		if n := s.tooLarge.Add(1); n <= 5 || n%100 == 0 {
			logf("store: append to %s/%d refused: %d bytes, too large for the limits of the store (refusal %d; not all are recorded)", id.topic, id.part, len(body), n)
		}
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	p := s.part(id)
	s.mu.Unlock()
	p.appendMu.Lock()
	defer p.appendMu.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var seq uint64
	if query.Has("producer") {
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(query.Get("seq"), 10, 64)
		if epoch < p.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > p.epoch || !p.producer {
			p.producer, p.epoch, p.nextSeq, p.answers = true, epoch, seq, make(map[uint64][]byte)
		}
		if len(body) == 0 {
			answer(w, http.StatusOK, map[string]any{"offset": len(p.records), "end-offset": len(p.records)})
			return
		}
		if first, repeated := p.answers[seq]; repeated {
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write(first)
			return
		}
		if seq != p.nextSeq {
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.nextSeq})
			return
		}
		p.nextSeq++
	}
	offset := len(p.records)
	for _, record := range records {
		p.add(record)
	}
	encoded, _ := json.Marshal(map[string]any{"offset": offset, "end-offset": len(p.records)})
	if query.Has("producer") {
		p.answers[seq] = encoded
		delete(p.answers, seq-5)
	}
	s.wake()
	_, _ = w.Write(encoded)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, id partID) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get(names["wait"]))
	until := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		records, appended := s.part(id).records, s.appended
		s.mu.Unlock()
		if len(records) > from || over {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				if len(body) > pageBytes {
					break
				}
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(record))), record...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-appended:
		case <-until:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, id partID, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(id)
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		if len(items) == pageRecords || size > pageBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(p.newest[key].value), "offset": p.newest[key].offset})
		size += len(p.newest[key].value)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end-offset": len(p.records)})
}

// expire removes the members whose lease has run out. The caller holds the lock.
func (s *store) expire() {
	for name, m := range s.members {
		if time.Now().After(m.expiresAt) {
			s.remove(name)
		}
	}
}

func (s *store) remove(name string) {
	delete(s.members, name)
	for part, holder := range s.holders {
		if holder == name {
			s.holders[part] = ""
		}
	}
	s.distribute()
	logf("store: member %s left the group or its lease ran out, generation %d", name, s.generation)
}

// distribute assigns the partitions evenly, with as few moves as possible.
func (s *store) distribute() {
	s.generation++
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	counts := make(map[string]int)
	most := 0
	if len(names) > 0 {
		most = (storePartitions + len(names) - 1) / len(names)
	}
	for part, target := range s.targets {
		if s.members[target] == nil || counts[target] >= most {
			s.targets[part] = ""
			continue
		}
		counts[target]++
	}
	for part := range s.targets {
		if s.targets[part] != "" || len(names) == 0 {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
		s.targets[part] = least
		counts[least]++
	}
}

func (s *store) handleJoin(w http.ResponseWriter, leave bool, body []byte) {
	var request struct {
		Member     string `json:"member"`
		TTL        int64  `json:"ttl-ms"`
		Generation uint64 `json:"generation"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if leave {
		if s.members[request.Member] != nil {
			s.remove(request.Member)
		}
		answer(w, http.StatusOK, struct{}{})
		return
	}
	ttl := time.Duration(max(request.TTL, 1000)) * time.Millisecond
	if s.members[request.Member] == nil {
		s.members[request.Member] = &member{}
		s.distribute()
		logf("store: member %s joined the group, generation %d", request.Member, s.generation)
	}
	s.members[request.Member].expiresAt = time.Now().Add(ttl)
	rows := [][]any{}
	for part := range s.targets {
		if s.holders[part] == request.Member && s.targets[part] != request.Member && request.Generation >= s.generation {
			s.holders[part] = ""
		}
		if s.targets[part] == request.Member && (s.holders[part] == "" || s.holders[part] == request.Member) {
			s.holders[part] = request.Member
			rows = append(rows, []any{groupTopic, part, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": rows})
}

func (s *store) handleOwners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for part, holder := range s.holders {
		if holder == "" {
			rows = append(rows, []any{groupTopic, part})
			continue
		}
		rows = append(rows, []any{groupTopic, part, holder, 0})
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

// expireLoop ends the leases of members that are silent.
func (s *store) expireLoop() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}
