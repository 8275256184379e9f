package platform

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/crocusline/crocusline/modules/platform"
	platformv1 "github.com/crocusline/crocusline/modules/wire/platform/v1"
	"github.com/crocusline/crocusline/modules/wire/platform/v1/platformv1connect"
	"github.com/crocusline/crocusline/standin/control"
)

// ClientHeader carries the client's name, to which Faults.Cut applies.
const ClientHeader = "Crocusline-Client"

// Limits of a call.
const (
	maxRecordBytes = 4 << 20
	maxReadRecords = 1000
	maxReadWait    = time.Minute
)

// Handler returns the HTTP handler of the platform's services. Tests set the list
// of instances at /instances and the faults at /faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewLogServiceHandler(&logService{store: s}))
	mux.Handle(platformv1connect.NewInstanceServiceHandler(&instanceService{store: s}))
	mux.HandleFunc("PUT /instances", s.putInstances)
	mux.HandleFunc("PUT /instances/{name}", s.putInstance)
	mux.HandleFunc("DELETE /instances/{name}", func(_ http.ResponseWriter, r *http.Request) {
		s.RemoveInstance(r.PathValue("name"))
	})
	control.RegisterHandlers(mux, s)
	return mux
}

type logService struct {
	store *Store
}

// Append implements the platform's LogService.
func (l *logService) Append(ctx context.Context, req *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	name, data := req.Msg.GetStream(), req.Msg.GetData()
	if name == "" || len(data) > maxRecordBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("no stream name, or record too large"))
	}
	offset, err := l.store.append(ctx, req.Header().Get(ClientHeader), name, data)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&platformv1.AppendResponse{Offset: offset}), nil
}

// Read implements the platform's LogService.
func (l *logService) Read(ctx context.Context, req *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	name, from := req.Msg.GetStream(), req.Msg.GetFrom()
	if name == "" || from < 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("no stream name, or offset below 0"))
	}
	limit := int(req.Msg.GetMaxRecords())
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	wait := min(req.Msg.GetWait().AsDuration(), maxReadWait)
	batch, err := l.store.read(ctx, req.Header().Get(ClientHeader), name, from, limit, wait)
	var gap *platform.GapError
	if err != nil && !errors.As(err, &gap) {
		return nil, connectError(err)
	}
	resp := &platformv1.ReadResponse{Oldest: batch.Oldest, Next: batch.Next}
	for _, r := range batch.Records {
		resp.Records = append(resp.Records, &platformv1.Record{
			Offset: r.Offset,
			Time:   timestamppb.New(r.Time),
			Data:   r.Data,
		})
	}
	return connect.NewResponse(resp), nil
}

func connectError(err error) error {
	var limit *platform.LimitError
	if errors.As(err, &limit) {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

type instanceService struct {
	store *Store
}

// List implements the platform's InstanceService.
func (i *instanceService) List(ctx context.Context, req *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	delay, err := i.store.beginCall(ctx, req.Header().Get(ClientHeader), "instances")
	if err != nil {
		return nil, connectError(err)
	}
	resp := &platformv1.ListResponse{}
	for _, instance := range i.store.Instances() {
		resp.Instances = append(resp.Instances, &platformv1.Instance{
			Name:          instance.Name,
			Role:          instance.Role,
			Address:       instance.Address.String(),
			Region:        instance.Region,
			FailureDomain: instance.FailureDomain,
			Leaving:       instance.Leaving,
		})
	}
	if err := i.store.sleep(ctx, delay); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(resp), nil
}

// Instance is the JSON form of an instance at /instances.
type Instance struct {
	Name          string         `json:"name"`
	Role          string         `json:"role"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failureDomain"`
	Leaving       bool           `json:"leaving"`
}

func (s *Store) putInstances(w http.ResponseWriter, r *http.Request) {
	data, ok := control.ReadBody(w, r)
	if !ok {
		return
	}
	var body []Instance
	if err := control.Decode(data, &body); err != nil {
		control.WriteError(w, http.StatusBadRequest, err)
		return
	}
	var list []platform.Instance
	for _, instance := range body {
		list = append(list, platform.Instance(instance))
	}
	s.SetInstances(list)
}

func (s *Store) putInstance(w http.ResponseWriter, r *http.Request) {
	data, ok := control.ReadBody(w, r)
	if !ok {
		return
	}
	body := Instance{}
	if err := control.Decode(data, &body); err != nil {
		control.WriteError(w, http.StatusBadRequest, err)
		return
	}
	body.Name = r.PathValue("name")
	s.PutInstance(platform.Instance(body))
}
