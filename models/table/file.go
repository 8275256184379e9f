package table

import (
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/setting"
)

// Files of a tables directory.
const (
	RoutesFile     = "routes.yaml"
	PoolsFile      = "pools.yaml"
	WorkspacesFile = "workspaces.yaml"
)

type routesFile struct {
	Routes map[string]Route `yaml:"routes" validate:"dive,keys,name,endkeys"`
}

type poolsFile struct {
	Pools map[string]Pool `yaml:"pools" validate:"dive,keys,name,endkeys"`
}

type workspacesFile struct {
	Workspaces map[string]Workspace `yaml:"workspaces" validate:"dive,keys,name,endkeys"`
}

// Load reads the tables from the YAML files of a directory and validates them. For an
// invalid value it returns a *setting.Error with the file and line.
func Load(dir string) (*Tables, error) {
	t := New()
	routes := routesFile{Routes: t.Routes}
	pools := poolsFile{Pools: t.Pools}
	workspaces := workspacesFile{Workspaces: t.Workspaces}
	docs := map[string]*setting.Document{}
	for _, file := range []struct {
		table, name string
		target      any
	}{
		{"routes", RoutesFile, &routes},
		{"pools", PoolsFile, &pools},
		{"workspaces", WorkspacesFile, &workspaces},
	} {
		doc, err := setting.DecodeFile(filepath.Join(dir, file.name), file.target)
		if err != nil {
			return nil, err
		}
		docs[file.table] = doc
	}
	var invalid *ValidationError
	if err := t.Validate(); errors.As(err, &invalid) {
		return nil, docs[invalid.Table].Errorf(invalid.Key(), "%s", invalid.Problem)
	}
	return t, nil
}
