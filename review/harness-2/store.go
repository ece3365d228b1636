//go:build review2

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	storePartitions = 32
	recordBytes     = 262144
	requestBytes    = 2097152
	pageItems       = 500
	pageBytes       = 1 << 20
	storeDelay      = 4 * time.Millisecond
)

// store is a stand-in of the platform's log store. It serves each process at an address of its own, so
// that it can turn single machines away.
type store struct {
	mu      sync.Mutex
	logs    map[string]*logPartition
	changed chan struct{}
	groups  map[string]*group
	// turnedAway holds the names of the machines whose calls get status 503.
	turnedAway map[string]bool
	down       bool
	servers    []*http.Server
}

// logPartition is one partition of a topic.
type logPartition struct {
	records [][]byte
	newest  map[string]keyedValue
	// epoch, nextSeq and recent hold the state of the only producer.
	hasEpoch bool
	epoch    uint64
	nextSeq  uint64
	recent   map[uint64]appendResult
}

type keyedValue struct {
	value  []byte
	offset int
}

type appendResult struct {
	Offset int `json:"offset"`
	End    int `json:"end-offset"`
}

type member struct {
	seenAt time.Time
	ttl    time.Duration
}

// group assigns the partitions of a topic. A partition moves to its new member once the former one has
// joined with the present generation, has left, or has been silent for its time to live.
type group struct {
	topic      string
	generation uint64
	members    map[string]*member
	target     map[int]string
	holder     map[int]string
}

func newStore() *store {
	return &store{logs: make(map[string]*logPartition), changed: make(chan struct{}), groups: make(map[string]*group), turnedAway: make(map[string]bool)}
}

// serve serves a machine at an address.
func (store *store) serve(machine, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.handle(machine, writer, request)
	})}
	store.servers = append(store.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (store *store) close() {
	for _, server := range store.servers {
		_ = server.Close()
	}
}

// turnAway makes the store refuse the calls of a machine, or serve it again.
func (store *store) turnAway(machine string, refuse bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.turnedAway[machine] = refuse
	store.notify()
}

func (store *store) setDown(down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.down = down
	store.notify()
}

// put writes a record as the operator does.
func (store *store) put(topic, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	store.log(topic, 0).append(topic, append(content, value...))
	store.notify()
}

func (store *store) log(topic string, part int) *logPartition {
	name := topic + "/" + strconv.Itoa(part)
	if store.logs[name] == nil {
		store.logs[name] = &logPartition{newest: make(map[string]keyedValue), recent: make(map[uint64]appendResult)}
	}
	return store.logs[name]
}

func (store *store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (log *logPartition) append(topic string, content []byte) {
	log.records = append(log.records, content)
	if len(topic) < 6 || topic[:6] != "keyed." || len(content) < 1+int(content[0]) {
		return
	}
	key, value := string(content[1:1+int(content[0])]), content[1+int(content[0]):]
	if len(value) == 0 {
		delete(log.newest, key)
		return
	}
	log.newest[key] = keyedValue{value: value, offset: len(log.records) - 1}
}

func (store *store) refuses(machine string) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.down || store.turnedAway[machine]
}

func (store *store) handle(machine string, writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	if store.refuses(machine) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := request.URL.Query()
	topic := query.Get("topic")
	part, _ := strconv.Atoi(query.Get("part"))
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch request.URL.Path {
	case wire.Append:
		status, answer := store.append(topic, part, query.Get("producer") != "", query.Get("epoch"), query.Get("seq"), body)
		writeJSON(writer, status, answer)
	case wire.Read:
		store.read(request.Context(), machine, writer, topic, part, query.Get("from"), query.Get(wire.Wait))
	case wire.Newest:
		writeJSON(writer, http.StatusOK, store.page(topic, part, query.Get("after")))
	case wire.Join:
		writeJSON(writer, http.StatusOK, store.join(body))
	case "/log-leave":
		store.leave(body)
		writeJSON(writer, http.StatusOK, struct{}{})
	case "/log-owners":
		writeJSON(writer, http.StatusOK, store.owners(query.Get("group")))
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

type conflict struct {
	Reason string `json:"reason"`
	Seq    uint64 `json:"seq,omitempty"`
}

func (store *store) append(topic string, part int, producer bool, epochText, seqText string, body []byte) (status int, answer any) {
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || len(rest) < 4+int(binary.BigEndian.Uint32(rest)) {
			return http.StatusBadRequest, conflict{Reason: "format"}
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > recordBytes {
			return http.StatusBadRequest, conflict{Reason: "record-bytes"}
		}
		records = append(records, append([]byte(nil), rest[4:4+size]...))
		rest = rest[4+size:]
	}
	if len(body) > requestBytes {
		return http.StatusBadRequest, conflict{Reason: "request-bytes"}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	log := store.log(topic, part)
	epoch, _ := strconv.ParseUint(epochText, 10, 64)
	seq, _ := strconv.ParseUint(seqText, 10, 64)
	if producer {
		switch {
		case log.hasEpoch && epoch < log.epoch:
			return http.StatusConflict, conflict{Reason: "fenced"}
		case !log.hasEpoch || epoch > log.epoch:
			log.hasEpoch, log.epoch, log.nextSeq = true, epoch, seq
			clear(log.recent)
		}
		if len(body) == 0 {
			return http.StatusOK, appendResult{Offset: len(log.records), End: len(log.records)}
		}
		if known, repeated := log.recent[seq]; repeated {
			return http.StatusOK, known
		}
		if seq != log.nextSeq {
			return http.StatusConflict, conflict{Reason: "seq", Seq: log.nextSeq}
		}
	}
	result := appendResult{Offset: len(log.records), End: len(log.records) + len(records)}
	for _, record := range records {
		log.append(topic, record)
	}
	if producer {
		log.nextSeq++
		log.recent[seq] = result
		delete(log.recent, seq-5)
	}
	store.notify()
	return http.StatusOK, result
}

func (store *store) read(ctx context.Context, machine string, writer http.ResponseWriter, topic string, part int, fromText, waitText string) {
	from, _ := strconv.Atoi(fromText)
	waitMs, _ := strconv.Atoi(waitText)
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		if store.refuses(machine) {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.mu.Lock()
		records, changed := store.log(topic, part).records, store.changed
		store.mu.Unlock()
		if len(records) > from || !time.Now().Before(until) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				if len(body) > pageBytes {
					break
				}
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(record))), record...)
			}
			_, _ = writer.Write(body)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(time.Until(until)):
		}
	}
}

type pageItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

type newestPage struct {
	Items []pageItem `json:"items"`
	More  bool       `json:"has-more"`
	End   int        `json:"end-offset"`
}

func (store *store) page(topic string, part int, after string) (page newestPage) {
	store.mu.Lock()
	defer store.mu.Unlock()
	log, size := store.log(topic, part), 0
	page.Items, page.End = []pageItem{}, len(log.records)
	for _, key := range slices.Sorted(maps.Keys(log.newest)) {
		if key <= after {
			continue
		}
		if len(page.Items) == pageItems || size > pageBytes {
			page.More = true
			break
		}
		value := log.newest[key]
		size += len(value.value)
		page.Items = append(page.Items, pageItem{Key: key, Value: base64.StdEncoding.EncodeToString(value.value), Offset: value.offset})
	}
	return page
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttl-ms"`
	Generation uint64   `json:"generation"`
}

type joinAnswer struct {
	Generation uint64  `json:"generation"`
	Parts      [][]any `json:"parts"`
}

func (store *store) group(name string) *group {
	if store.groups[name] == nil {
		store.groups[name] = &group{members: make(map[string]*member), target: make(map[int]string), holder: make(map[int]string)}
	}
	return store.groups[name]
}

func (store *store) join(body []byte) (answer joinAnswer) {
	var call joinCall
	_ = json.Unmarshal(body, &call)
	store.mu.Lock()
	defer store.mu.Unlock()
	group := store.group(call.Group)
	if len(call.Topics) > 0 {
		group.topic = call.Topics[0]
	}
	now := time.Now()
	known := group.members[call.Member] != nil
	group.members[call.Member] = &member{seenAt: now, ttl: time.Duration(call.TTLMs) * time.Millisecond}
	group.expire(now, !known)
	if known && call.Generation >= group.generation {
		for part, holder := range group.holder {
			if holder == call.Member && group.target[part] != call.Member {
				delete(group.holder, part)
			}
		}
	}
	answer.Generation, answer.Parts = group.generation, [][]any{}
	for part := range storePartitions {
		if group.target[part] != call.Member || group.holder[part] != "" && group.holder[part] != call.Member {
			continue
		}
		group.holder[part] = call.Member
		answer.Parts = append(answer.Parts, []any{group.topic, part, 0})
	}
	return answer
}

// expire removes the silent members and deals the partitions evenly if the members have changed. A
// partition stays with its member where that is possible.
func (group *group) expire(now time.Time, changed bool) {
	for name, known := range group.members {
		if now.Sub(known.seenAt) > known.ttl {
			delete(group.members, name)
			changed = true
		}
	}
	if !changed {
		return
	}
	group.generation++
	names := slices.Sorted(maps.Keys(group.members))
	for part, holder := range group.holder {
		if group.members[holder] == nil {
			delete(group.holder, part)
		}
	}
	if len(names) == 0 {
		clear(group.target)
		return
	}
	counts, free := make(map[string]int), []int{}
	for part := range storePartitions {
		name := group.target[part]
		if group.members[name] == nil || counts[name] >= (storePartitions+len(names)-1)/len(names) {
			free = append(free, part)
			continue
		}
		counts[name]++
	}
	for _, part := range free {
		least := slices.MinFunc(names, func(left, right string) int { return counts[left] - counts[right] })
		group.target[part] = least
		counts[least]++
	}
}

func (store *store) leave(body []byte) {
	var call joinCall
	_ = json.Unmarshal(body, &call)
	store.mu.Lock()
	defer store.mu.Unlock()
	group := store.group(call.Group)
	_, known := group.members[call.Member]
	delete(group.members, call.Member)
	group.expire(time.Now(), known)
}

func (store *store) owners(name string) map[string]any {
	store.mu.Lock()
	defer store.mu.Unlock()
	group := store.group(name)
	rows := [][]any{}
	for part := range storePartitions {
		if holder := group.holder[part]; holder != "" {
			rows = append(rows, []any{group.topic, part, holder, 0})
		}
	}
	return map[string]any{"parts": rows}
}

// heldBy returns the partitions that a member whose ID begins with the prefix holds.
func (store *store) heldBy(prefix string) (parts []int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, group := range store.groups {
		for part, holder := range group.holder {
			if len(holder) >= len(prefix) && holder[:len(prefix)] == prefix {
				parts = append(parts, part)
			}
		}
	}
	slices.Sort(parts)
	return parts
}
