// Package setting reads the YAML settings of a process and checks them. Every
// problem is reported as an *Error with file, line and key.
package setting

import "path/filepath"

//go:generate stringer -type=Role -linecomment -output=role_string.go

// Role is what the process that reads the settings does.
type Role int

// The roles.
const (
	Entry   Role = iota // entry
	Sidecar             // sidecar
)

// Settings are all settings of a process.
type Settings struct {
	Instance Instance `yaml:"instance"`
	Platform Platform `yaml:"platform"`
	Caller   Caller   `yaml:"caller"`
	Peer     Peer     `yaml:"peer"`
	Operator Operator `yaml:"operator"`
	Server   *Server  `yaml:"server"`
	Ledger   Ledger   `yaml:"ledger"`
	Policy   Policy   `yaml:"policy"`
	Log      Log      `yaml:"log"`
}

// Default returns the settings that hold where a file says nothing.
func Default() *Settings {
	return &Settings{
		Platform: defaultPlatform(),
		Caller:   defaultCaller(),
		Peer:     defaultPeer(),
		Ledger:   defaultLedger(),
		Policy:   defaultPolicy(),
		Log:      Log{Level: "info"},
	}
}

// Load reads and checks the settings of a process of the role. Paths in the
// file start from the file's own directory.
func Load(file string, role Role) (*Settings, error) {
	s := Default()
	doc, err := DecodeFile(file, s)
	if err != nil {
		return nil, err
	}
	if err := s.checkRole(doc, role); err != nil {
		return nil, err
	}
	if err := s.checkRetention(doc); err != nil {
		return nil, err
	}
	s.resolve(filepath.Dir(file))
	return s, nil
}

// resolve makes relative paths start from the directory.
func (s *Settings) resolve(dir string) {
	paths := []*string{
		&s.Caller.CertFile, &s.Caller.KeyFile,
		&s.Peer.CertFile, &s.Peer.KeyFile, &s.Peer.CAFile,
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

// checkpointsPerRetention is how many checkpoints there have to be at least in
// the time for which the log keeps records.
const checkpointsPerRetention = 4

// checkRetention refuses checkpoints that come too late for a newcomer.
func (s *Settings) checkRetention(doc *Document) error {
	if limit := s.Platform.Retention / checkpointsPerRetention; s.Ledger.CheckpointInterval > limit {
		return doc.Errorf("ledger.checkpointInterval", "%s is above a quarter of platform.retention, which is %s",
			s.Ledger.CheckpointInterval, limit)
	}
	return nil
}

// checkRole checks what only one of the roles needs.
func (s *Settings) checkRole(doc *Document, role Role) error {
	switch role {
	case Entry:
		if s.Server != nil {
			return doc.Errorf("server", "only a sidecar has a backend server; remove the section")
		}
		if !s.Caller.Listen.IsValid() {
			return doc.Errorf("caller.listen", "missing; an entry needs an address for callers")
		}
	case Sidecar:
		if s.Server == nil {
			return doc.Errorf("server", "missing; a sidecar needs its backend server")
		}
		if s.Caller.Listen.IsValid() {
			return doc.Errorf("caller.listen", "callers use the entries; remove it")
		}
	}
	return nil
}
