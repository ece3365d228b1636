//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	recordBytes  = 262144
	requestBytes = 2097152
	// storeDelay is the time of one answer of the store.
	storeDelay   = 4 * time.Millisecond
	newestPage   = 500
	keptAppends  = 5
	operatorKey  = "config"
	operatorName = "keyed.op"
	jobsTopic    = "keyed.jobs"
)

type partitionID struct {
	topic  string
	number int
}

type newestValue struct {
	value  []byte
	offset int
}

type producerAppend struct {
	sequence uint64
	status   int
	body     []byte
}

type logPartition struct {
	records  [][]byte
	newest   map[string]newestValue
	epoch    uint64
	hasEpoch bool
	next     uint64
	last     []producerAppend
}

type member struct {
	expiresAt time.Time
	ttl       time.Duration
}

// store is a stand-in for the platform's log store as PROTOCOL.md describes it, with its limits on
// the size of records and requests.
type store struct {
	record *record
	parts  int

	mu         sync.Mutex
	partitions map[partitionID]*logPartition
	appended   chan struct{}
	generation uint64
	members    map[string]*member
	owners     map[int]string
	desired    map[int]string
	// loseAppend decides whether an append to a topic gets no answer and is carried out after the
	// returned delay.
	loseAppend func(topic string) (after time.Duration, lost bool)
	refused    int
}

func newStore(record *record, parts int) *store {
	return &store{
		record: record, parts: parts, partitions: make(map[partitionID]*logPartition), appended: make(chan struct{}),
		members: make(map[string]*member), owners: make(map[int]string), desired: make(map[int]string),
	}
}

func (s *store) partition(id partitionID) *logPartition {
	if s.partitions[id] == nil {
		s.partitions[id] = &logPartition{newest: make(map[string]newestValue)}
	}
	return s.partitions[id]
}

// put writes a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(partitionID{topic, 0}, append(append([]byte{byte(len(key))}, key...), value...))
	s.notify()
}

func (s *store) notify() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) appendRecord(id partitionID, content []byte) {
	p := s.partition(id)
	p.records = append(p.records, content)
	if !strings.HasPrefix(id.topic, "keyed.") || len(content) == 0 || len(content) < 1+int(content[0]) {
		return
	}
	key, value := string(content[1:1+content[0]]), content[1+content[0]:]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = newestValue{value, len(p.records) - 1}
}

// serve serves one machine. translate replaces addresses of other machines by those of the
// network between them.
func (s *store) serve(listener net.Listener, translate func([]byte) []byte) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		time.Sleep(storeDelay)
		status, response, answered := s.handle(request, body, translate)
		if !answered {
			if conn, _, err := writer.(http.Hijacker).Hijack(); err == nil {
				// A connection on which a response is lost returns nothing further.
				go func() { _, _ = io.Copy(io.Discard, conn); _ = conn.Close() }()
			}
			return
		}
		writer.WriteHeader(status)
		_, _ = writer.Write(response)
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

func (s *store) handle(request *http.Request, body []byte, translate func([]byte) []byte) (status int, response []byte, answered bool) {
	query := request.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	id := partitionID{query.Get("topic"), number}
	switch request.URL.Path {
	case wire.Append:
		s.mu.Lock()
		lose := s.loseAppend
		s.mu.Unlock()
		if lose != nil {
			if after, lost := lose(id.topic); lost {
				s.record.line("store: append to %s/%d gets no answer and is carried out %s later", id.topic, id.number, after.Round(time.Millisecond))
				time.AfterFunc(after, func() { s.append(id, query, body) })
				return 0, nil, false
			}
		}
		status, response = s.append(id, query, body)
	case wire.Read:
		status, response = s.read(request, id, translate)
	case wire.Newest:
		status, response = s.listNewest(id, query.Get("after"), translate)
	case wire.Join:
		status, response = s.join(body, false)
	case "/log-leave":
		status, response = s.join(body, true)
	case "/log-owners":
		status, response = s.listOwners(translate)
	default:
		status = http.StatusNotFound
	}
	return status, response, true
}

func (s *store) append(id partitionID, query map[string][]string, body []byte) (status int, response []byte) {
	get := func(name string) string {
		if len(query[name]) == 0 {
			return ""
		}
		return query[name][0]
	}
	var contents [][]byte
	total := 0
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if len(rest) < 4+size {
			return http.StatusBadRequest, nil
		}
		total += size
		if size > recordBytes || total > requestBytes {
			s.mu.Lock()
			s.refused++
			first := s.refused <= 3
			s.mu.Unlock()
			if first {
				s.record.line("store: append to %s/%d refused with 400: a record of %d bytes, the limit is %d (further refusals are counted only)", id.topic, id.number, size, recordBytes)
			}
			return http.StatusBadRequest, encode(map[string]any{"error": "too large"})
		}
		contents = append(contents, append([]byte(nil), rest[4:4+size]...))
		rest = rest[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	if get("producer") != "" {
		epoch, _ := strconv.ParseUint(get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(get("seq"), 10, 64)
		switch {
		case p.hasEpoch && epoch < p.epoch:
			return http.StatusConflict, encode(map[string]any{"reason": "fenced"})
		case !p.hasEpoch || epoch > p.epoch:
			p.epoch, p.hasEpoch, p.next, p.last = epoch, true, sequence, nil
		}
		if len(contents) == 0 {
			return http.StatusOK, encode(map[string]any{"offset": len(p.records), "end-offset": len(p.records)})
		}
		for _, earlier := range p.last {
			if earlier.sequence == sequence {
				return earlier.status, earlier.body
			}
		}
		if sequence != p.next {
			return http.StatusConflict, encode(map[string]any{"reason": "seq", "seq": p.next})
		}
		p.next++
		defer func() {
			p.last = append(p.last, producerAppend{sequence, status, response})
			if len(p.last) > keptAppends {
				p.last = p.last[1:]
			}
		}()
	}
	offset := len(p.records)
	for _, content := range contents {
		s.appendRecord(id, content)
	}
	s.notify()
	return http.StatusOK, encode(map[string]any{"offset": offset, "end-offset": len(p.records)})
}

func (s *store) read(request *http.Request, id partitionID, translate func([]byte) []byte) (status int, response []byte) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get(wire.Wait))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		records, appended := s.partition(id).records, s.appended
		s.mu.Unlock()
		if len(records) > from || expired {
			response = binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			response = binary.BigEndian.AppendUint64(response, 0)
			for _, record := range records[min(from, len(records)):] {
				record = translate(record)
				response = append(binary.BigEndian.AppendUint32(response, uint32(len(record))), record...)
			}
			return http.StatusOK, response
		}
		select {
		case <-appended:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *store) listNewest(id partitionID, after string, translate func([]byte) []byte) (status int, response []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items, more, size := []item{}, false, 0
	p := s.partition(id)
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after {
			continue
		}
		if len(items) == newestPage || size > 1<<20 {
			more = true
			break
		}
		size += len(p.newest[key].value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(translate(p.newest[key].value)), p.newest[key].offset})
	}
	return http.StatusOK, encode(map[string]any{"items": items, "has-more": more, "end-offset": len(p.records)})
}

func (s *store) join(body []byte, leaves bool) (status int, response []byte) {
	var call struct {
		Member     string `json:"member"`
		TTLMs      int64  `json:"ttl-ms"`
		Generation uint64 `json:"generation"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers()
	switch {
	case leaves:
		if s.members[call.Member] != nil {
			delete(s.members, call.Member)
			s.rebalance()
		}
		return http.StatusOK, []byte("{}")
	case s.members[call.Member] == nil:
		s.members[call.Member] = &member{}
		s.rebalance()
	case call.Generation >= s.generation:
		// The member knows which partitions it has to give up.
		for number, owner := range s.owners {
			if owner == call.Member && s.desired[number] != owner {
				s.owners[number] = s.desired[number]
			}
		}
	}
	known := s.members[call.Member]
	known.ttl = time.Duration(call.TTLMs) * time.Millisecond
	known.expiresAt = time.Now().Add(known.ttl)
	rows := [][]any{}
	for number := range s.parts {
		if s.owners[number] == call.Member && s.desired[number] == call.Member {
			rows = append(rows, []any{jobsTopic, number, 0})
		}
	}
	return http.StatusOK, encode(map[string]any{"generation": s.generation, "parts": rows})
}

// expireMembers removes the members that have not joined in time.
func (s *store) expireMembers() {
	now := time.Now()
	for name, known := range s.members {
		if !known.expiresAt.IsZero() && now.After(known.expiresAt) {
			s.record.line("store: member %s has expired", name)
			delete(s.members, name)
			s.rebalance()
		}
	}
}

// rebalance distributes the partitions evenly and moves as few as possible.
func (s *store) rebalance() {
	s.generation++
	names := slices.Sorted(maps.Keys(s.members))
	if len(names) == 0 {
		clear(s.owners)
		clear(s.desired)
		return
	}
	counts, most := make(map[string]int), (s.parts+len(names)-1)/len(names)
	var open []int
	for number := range s.parts {
		name := s.desired[number]
		if s.members[name] == nil || counts[name] == most {
			open = append(open, number)
			continue
		}
		counts[name]++
	}
	for _, number := range open {
		least := slices.MinFunc(names, func(left, right string) int { return counts[left] - counts[right] })
		s.desired[number] = least
		counts[least]++
	}
	for number := range s.parts {
		if s.members[s.owners[number]] == nil {
			s.owners[number] = s.desired[number]
		}
	}
}

func (s *store) listOwners(translate func([]byte) []byte) (status int, response []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers()
	rows := [][]any{}
	for number := range s.parts {
		if owner := s.owners[number]; owner != "" {
			rows = append(rows, []any{jobsTopic, number, string(translate([]byte(owner))), 0})
		}
	}
	return http.StatusOK, encode(map[string]any{"parts": rows})
}

// ownedBy returns how many partitions the member at an address owns.
func (s *store) ownedBy(address string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, owner := range s.owners {
		if strings.HasPrefix(owner, address+"/") {
			count++
		}
	}
	return count
}

func describeOwners(s *store, addresses []string) string {
	parts := make([]string, len(addresses))
	for index, address := range addresses {
		parts[index] = fmt.Sprint(s.ownedBy(address))
	}
	return strings.Join(parts, ", ")
}
