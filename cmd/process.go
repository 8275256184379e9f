package cmd

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/log"
	"github.com/crocusline/crocusline/modules/peer"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/modules/setting"
	"github.com/crocusline/crocusline/services/control"
	"github.com/crocusline/crocusline/services/ledger"
	"github.com/crocusline/crocusline/services/shard"
	"github.com/crocusline/crocusline/services/status"
	"github.com/crocusline/crocusline/services/stream"
)

// process holds what entries and sidecars have in common.
type process struct {
	settings *setting.Settings
	log      hclog.Logger
	member   fleet.Member
	identity *peer.Identity
	peers    *peer.Client
	platform *platform.Client
	control  *control.Service
	ledger   *ledger.Client
	kernel   *kernel.Kernel
}

// newProcess creates a process of the role from a settings file. The services are started
// by run; only the peer client is active before, until run closes it.
func newProcess(file string, logTo io.Writer, role setting.Role) (*process, error) {
	settings, err := setting.Load(file, role)
	if err != nil {
		return nil, err
	}
	logger, err := log.New(logTo, settings.Log.Level)
	if err != nil {
		return nil, err
	}
	identity, err := peer.NewIdentity(peer.Files{
		Cert: settings.Peer.CertFile,
		Key:  settings.Peer.KeyFile,
		CA:   settings.Peer.CAFile,
	})
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: settings,
		log:      logger,
		member:   newMember(settings),
		identity: identity,
		peers: peer.NewClient(identity,
			peer.WithIdleTimeout(settings.Peer.IdleTimeout), peer.WithDialTimeout(settings.Peer.DialTimeout)),
	}
	p.platform = platform.NewClient(&http.Client{}, settings.Platform.URL, platform.WithClientName(p.member.Incarnation))
	p.control = control.New(logger, p.platform, p.member, p.controlOptions()...)
	p.ledger = ledger.New(p.member.Incarnation, p.platform, p.ledgerOptions()...)
	p.kernel = kernel.New(logger)
	return p, nil
}

func newMember(s *setting.Settings) fleet.Member {
	m := fleet.Member{
		Incarnation:   s.Instance.Name + "/" + uuid.Must(uuid.NewV7()).String(),
		Name:          s.Instance.Name,
		Address:       s.Instance.PeerAddress,
		Region:        s.Instance.Region,
		FailureDomain: s.Instance.FailureDomain,
		Shards:        s.Ledger.Shards,
	}
	if s.Server != nil {
		m.Role = fleet.Sidecar
		m.Server = s.Server.Name
	}
	return m
}

func (p *process) ledgerOptions() []ledger.Option {
	return []ledger.Option{
		ledger.WithLogger(p.log.Named(ledger.Name)),
		ledger.WithShards(p.settings.Ledger.Shards),
		ledger.WithAppendInterval(p.settings.Ledger.BatchInterval),
		ledger.WithSchedule(p.checkpointSchedule()),
		ledger.WithOwners(p.ownerAddress, p.peers.HTTP()),
		ledger.WithStandingReserve(p.isSameDomainEntry),
	}
}

// isSameDomainEntry reports whether this process and the incarnation are entries of the
// same failure domain.
func (p *process) isSameDomainEntry(incarnation string) bool {
	m, ok := p.control.State().Members[incarnation]
	return ok && p.member.Role == fleet.Entry && m.Role == fleet.Entry &&
		m.Region == p.member.Region && m.FailureDomain == p.member.FailureDomain
}

// checkpointSchedule returns how often checkpoints of a stream are written.
func (p *process) checkpointSchedule() fence.CheckpointSchedule {
	return fence.CheckpointSchedule{Records: stream.DefaultSchedule.Records, Interval: p.settings.Ledger.CheckpointInterval}
}

// ownerAddress returns the peer address of a ledger shard's owner.
func (p *process) ownerAddress(number int) (netip.AddrPort, bool) {
	return shard.OwnerAddress(p.control.State(), number)
}

func (p *process) statusOptions() []status.Option {
	return []status.Option{
		status.WithLedger(p.ledger),
		status.WithPeerClient(status.NewPeerClient(p.peers.HTTP())),
		status.WithCheck(ledger.Name, p.ledger.Err),
	}
}

func (p *process) controlOptions() []control.Option {
	return []control.Option{
		control.WithPeers(control.NewPeerClient(p.peers.HTTP()), p.settings.Peer.Seeds...),
		control.WithAppendInterval(p.settings.Ledger.BatchInterval),
		control.WithSchedule(p.checkpointSchedule()),
	}
}

// run starts the services and closes them when the context ends.
func (p *process) run(ctx context.Context, services ...kernel.Service) error {
	if err := p.kernel.Add(services...); err != nil {
		return err
	}
	if err := p.kernel.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	p.log.Info("process started", "incarnation", p.member.Incarnation, "role", p.member.Role)
	<-ctx.Done()
	drainStart := time.Now()
	p.log.Info("process draining")
	err := p.kernel.Close()
	if closeErr := p.peers.Close(); err == nil {
		err = closeErr
	}
	p.log.Info("process ended", "took", time.Since(drainStart))
	return err
}
