package seamfleet

import (
	"os"
	"path/filepath"

	"gopkg.in/yaml.v3"
)

// settings are the settings of a node that differ from their defaults.
type settings struct {
	Name     string        `yaml:"name"`
	Region   string        `yaml:"region"`
	Domain   string        `yaml:"domain"`
	Listen   string        `yaml:"listen"`
	Address  string        `yaml:"address"`
	Peers    []string      `yaml:"peers,omitempty"`
	Ingress  listenSetting `yaml:"ingress"`
	Announce listenSetting `yaml:"announce"`
	Admin    listenSetting `yaml:"admin"`
	Store    storeSetting  `yaml:"store"`
	Cell     *CellSettings `yaml:"cell,omitempty"`
	Target   targetSetting `yaml:"target"`
	Log      logSetting    `yaml:"log"`
}

type listenSetting struct {
	Listen string `yaml:"listen"`
}

type storeSetting struct {
	Endpoints []string `yaml:"endpoints"`
}

type targetSetting struct {
	Fence bool `yaml:"fence"`
}

type logSetting struct {
	Level string `yaml:"level"`
}

// Cell overrides the timing of cells; durations are texts such as 300ms.
type CellSettings struct {
	Heartbeat string `yaml:"heartbeat,omitempty"`
	Takeover  string `yaml:"takeover,omitempty"`
	Margin    string `yaml:"margin,omitempty"`
	Grant     string `yaml:"grant,omitempty"`
	Horizon   string `yaml:"horizon,omitempty"`
	Max       int    `yaml:"max,omitempty"`
	Min       int    `yaml:"min,omitempty"`
}

func (s settings) write(directory string) (string, error) {
	body, err := yaml.Marshal(s)
	if err != nil {
		return "", err
	}
	file := filepath.Join(directory, s.Name+".yaml")
	return file, os.WriteFile(file, body, 0o600)
}
