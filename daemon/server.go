package daemon

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"cowsliptally.example/cowsliptally/acceptor"
	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/heads/gatekeeper"
	"cowsliptally.example/cowsliptally/pipeliner"
	"cowsliptally.example/cowsliptally/quota/enforcer"
	"cowsliptally.example/cowsliptally/recorder"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections that are not used.
	idleTimeout = 2 * time.Minute
	// maxStreams bounds the requests of one HTTP/2 connection: their heads are parsed before
	// their memory is reserved.
	maxStreams = 8
	// streamBuffer is the part of a body of HTTP/2 that is buffered until it is read.
	streamBuffer = 64 << 10
	// maxMessage bounds a message to the services for nodes and operators, in bytes. What 4,000
	// nodes tell each other of all members is below 2 MB.
	maxMessage = 16 << 20
	// maxAnswerHead bounds the head of another node's answer to a call, in bytes.
	maxAnswerHead = 64 << 10
	// callTimeout bounds a call to another node.
	callTimeout = 2 * time.Second
	// idlePerPeer is the number of unused connections kept to one peer for calls.
	idlePerPeer = 2
)

// servers are the two HTTP servers of a node with their listeners.
type servers struct {
	callers, peers *http.Server
	callerListener *acceptor.Acceptor
	peerListener   net.Listener
	unused         *unused
	errs           chan error
}

// listen opens both addresses.
func (d *Daemon) listen() (*servers, error) {
	callerListener, err := net.Listen("tcp", d.set.CallerAddress)
	if err != nil {
		return nil, &Error{Operation: "listen on --caller-address", Kind: KindListen, Err: err}
	}
	peerListener, err := net.Listen("tcp", d.set.PeerAddress)
	if err != nil {
		callerListener.Close()
		return nil, &Error{Operation: "listen on --peer-address", Kind: KindListen, Err: err}
	}
	callers := d.guard(callerListener, "callers", d.acceptedLimits(d.maxHead(), callersDivisor), d.callerRefusals()...)
	peers := d.guard(peerListener, "peers", d.acceptedLimits(d.maxHead()+peerHeadExtra, peersDivisor), gatekeeper.WithRefusalLines(refusalLines...))
	s := &servers{
		callers:        newServer(callers, d.callerHandler(), d.maxHead(), cmp.Or(d.set.IdleTimeout, idleTimeout)),
		peers:          newServer(peers, d.peerRouter(), d.maxHead()+peerHeadExtra, idleTimeout),
		callerListener: acceptor.New(callers, acceptor.WithClock(d.clock), acceptor.WithDrainer(d.work)),
		peerListener:   peers,
		unused:         newUnused(d.clock),
		errs:           make(chan error, 2),
	}
	s.callers.ConnState, s.peers.ConnState = s.unused.observe, s.unused.observe
	s.callers.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return pipeliner.Context(acceptor.Context(callers.Context(ctx, c), c))
	}
	return s, nil
}

// serve starts both servers; a failure is sent on the channel.
func (s *servers) serve() <-chan error {
	go s.serveOne(s.callers, s.callerListener)
	go s.serveOne(s.peers, s.peerListener)
	return s.errs
}

func (s *servers) serveOne(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.errs <- &Error{Operation: "serve", Kind: KindListen, Err: err}
	}
}

// closeCallers waits for callers' connections in use and closes their server.
func (s *servers) closeCallers(ctx context.Context) error {
	defer s.unused.closeSoon()()
	return errors.Join(s.callers.Shutdown(ctx), s.callers.Close())
}

// closePeers waits for other nodes' connections in use and closes their server.
func (s *servers) closePeers(ctx context.Context) error {
	defer s.unused.closeSoon()()
	return errors.Join(s.peers.Shutdown(ctx), s.peers.Close())
}

// newServer returns the server of a port. A new connection may be unused for as long as one in
// use before, as clients open some in advance; the gatekeeper limits the time of each head.
func newServer(g *gatekeeper.Gatekeeper, handler http.Handler, maxHead int, idle time.Duration) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           g.Handler(handler),
		ReadHeaderTimeout: idle,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maxHead,
		ConnContext:       g.Context,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: maxStreams * streamBuffer,
			MaxReceiveBufferPerStream:     streamBuffer,
		},
		Protocols: protocols,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
}

func newClient() *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxAnswerHead,
	}
	return &http.Client{Transport: transport, Timeout: callTimeout}
}

// callerHandler returns the handler of callers' requests. Pipelined ones that may run twice
// are begun side by side.
func (d *Daemon) callerHandler() http.Handler {
	return pipeliner.New(d.callerRouter(),
		pipeliner.WithClock(d.clock),
		pipeliner.WithDrainer(d.work),
		pipeliner.WithEligible(d.mayRepeat),
		pipeliner.WithLeaving(d.leaving.Load),
		pipeliner.WithMemory(d.memory.Share(d.memory.Bound()/earlyDivisor)))
}

// mayRepeat reports whether a request may run twice, by the form in which the middleware passes it
// on to the forwarder. The middleware changes headers, so it gets a copy.
func (d *Daemon) mayRepeat(r *http.Request) bool {
	may := false
	d.wrapCaller(http.HandlerFunc(func(_ http.ResponseWriter, translated *http.Request) {
		may = d.forwarder.MayRepeat(translated)
	})).ServeHTTP(nil, r.Clone(r.Context()))
	return may
}

func (d *Daemon) callerRouter() http.Handler {
	router := chi.NewRouter()
	router.Use(d.closeWhenLeaving)
	router.Handle("/*", d.wrapCaller(d.forwarder))
	return router
}

func (d *Daemon) peerRouter() http.Handler {
	router := chi.NewRouter()
	router.Handle(dispatcher.PathPrefix+"/*", d.dispatcher)
	router.HandleFunc(dispatcher.OfferPath, d.dispatcher.ServeOffer)
	mount(router)(cowsliptallyv1connect.NewBackendServiceHandler(d.registrar))
	mount(router)(cowsliptallyv1connect.NewRequestServiceHandler(d.dispatcher))
	mount(router)(recorder.NewHandler(d.journal, d))
	if d.quota != nil {
		router.Post(enforcer.AskPath, d.quota.ServeAsk)
		mount(router)(cowsliptallyv1connect.NewQuotaServiceHandler(d.quota))
	}
	if d.source != nil {
		mount(router)(cowsliptallyv1connect.NewPeerServiceHandler(d.prober))
		mount(router)(cowsliptallyv1connect.NewConfigurationServiceHandler(d.adopter))
		return router
	}
	mount(router)(cowsliptallyv1connect.NewPeerServiceHandler(peerService{d.prober, d.replicator}))
	mount(router)(cowsliptallyv1connect.NewOperatorServiceHandler(d.configurator))
	mount(router)(cowsliptallyv1connect.NewHealthServiceHandler(d.ejector))
	return router
}

// mount returns a function that adds a Connect handler under its path.
func mount(router chi.Router) func(path string, handler http.Handler) {
	return func(path string, handler http.Handler) {
		router.Handle(path+"*", http.MaxBytesHandler(handler, maxMessage))
	}
}
