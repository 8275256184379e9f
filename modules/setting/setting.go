// Package setting decodes and validates the YAML settings of a process. Every
// invalid setting is reported as an *Error with file, line and key.
package setting

import "path/filepath"

//go:generate stringer -type=Role -linecomment -output=role_string.go

// Role is the function of a process in the fleet.
type Role int

// The roles.
const (
	Entry   Role = iota // entry
	Sidecar             // sidecar
)

// Settings are the settings of a process.
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

// Default returns the default values.
func Default() *Settings {
	return &Settings{
		Instance: defaultInstance(),
		Platform: defaultPlatform(),
		Caller:   defaultCaller(),
		Peer:     defaultPeer(),
		Ledger:   defaultLedger(),
		Policy:   defaultPolicy(),
		Log:      Log{Level: "info"},
	}
}

// Load reads and validates the settings of a process with the role. Relative paths in
// the file are relative to the directory of the file.
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
	s.resolvePaths(filepath.Dir(file))
	return s, nil
}

// resolvePaths joins relative paths with the directory.
func (s *Settings) resolvePaths(dir string) {
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

// checkpointsPerRetention is the minimum number of checkpoints within the retention
// time of the log.
const checkpointsPerRetention = 4

// checkRetention returns an error if the checkpoint interval is too long: the records
// that a new process needs could expire before the next checkpoint.
func (s *Settings) checkRetention(doc *Document) error {
	if limit := s.Platform.Retention / checkpointsPerRetention; s.Ledger.CheckpointInterval > limit {
		return doc.Errorf("ledger.checkpointInterval", "%s is above a quarter of platform.retention, which is %s",
			s.Ledger.CheckpointInterval, limit)
	}
	return nil
}

// checkRole validates the settings that depend on the role.
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
			return doc.Errorf("caller.listen", "callers connect to entries, not to sidecars; remove it")
		}
	}
	return nil
}
