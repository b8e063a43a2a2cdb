package main

import (
	"fmt"
	"os"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/proxy"
)

type policyCheck struct {
	File   string `arg:"" type:"existingfile" help:"The document."`
	Config string `required:"" type:"existingfile" help:"The configuration file of a sidecar that is to run it."`
}

// Help says what the exit status means.
func (policyCheck) Help() string {
	return "Calls no console. Exit status: 0 if the sidecar can run the document, 1 if not."
}

// Run reads the document as that sidecar would.
func (c policyCheck) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	loaded, err := config.Load(c.getenv)
	if err != nil {
		return err
	}
	if err := proxy.CheckPolicy(loaded, text); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Printf("%s: a sidecar of %s can run it\n", c.File, c.Config)
	return nil
}

// getenv stands for the environment of the sidecar: its configuration file alone.
func (c policyCheck) getenv(key string) string {
	if key == "PROXY_CONFIG" {
		return c.Config
	}
	return ""
}
