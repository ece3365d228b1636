//go:build review

package main

import (
	"net"
	"sync"
)

// relay is the network between two machines. A cut holds the bytes of open connections in both
// directions until it is over, and connections that are opened during it are reset at its end. A
// silenced connection delivers nothing for good; connections that are opened later work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cond  *sync.Cond
	isCut bool
	held  []net.Conn
	pairs map[*pair]bool
}

type pair struct {
	client, server net.Conn
	silent         bool
}

func newRelay(from, target string) (*relay, error) {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, pairs: make(map[*pair]bool)}
	r.cond = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.isCut {
			r.held = append(r.held, client)
			r.mu.Unlock()
			continue
		}
		r.mu.Unlock()
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			reset(client)
			continue
		}
		p := &pair{client: client, server: server}
		r.mu.Lock()
		r.pairs[p] = true
		r.mu.Unlock()
		go r.copy(p, server, client)
		go r.copy(p, client, server)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pass blocks during a cut and reports whether the connection still delivers.
func (r *relay) pass(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.isCut && !p.silent {
		r.cond.Wait()
	}
	return !p.silent
}

func (r *relay) copy(p *pair, target, source net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := source.Read(buffer)
		delivers := r.pass(p)
		if size > 0 && delivers {
			if _, writeErr := target.Write(buffer[:size]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if delivers {
				_ = target.Close()
				_ = source.Close()
				r.mu.Lock()
				delete(r.pairs, p)
				r.mu.Unlock()
			}
			return
		}
	}
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = true
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = false
	for _, conn := range r.held {
		reset(conn)
	}
	r.held = nil
	r.cond.Broadcast()
}

// silence makes all open connections silent for good and returns how many there are.
func (r *relay) silence() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent = true
		count++
	}
	r.cond.Broadcast()
	clear(r.pairs)
	return count
}
