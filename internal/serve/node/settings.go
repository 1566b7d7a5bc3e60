package node

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap/zapcore"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/spare"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
)

// Settings are the settings of one entry instance. Values stay strings until Check parses them, so that all invalid
// ones are reported at once.
type Settings struct {
	Name, Zone                 string
	Listen, PeerListen         string
	Advertise, PeerAdvertise   string
	Table, Object, Roster      string
	PeerToken, AdminToken      string
	Document                   string
	Certificate, Key           string
	PeerCertificate, PeerKey   string
	PeerCA                     string
	BodyTimeout, BalancerPause string
	SpareSmooth, SpareHold     string
	SpareRelease, SparePace    string
	BodyMemory                 string
	LogLevel                   string

	sources       map[*string]*source
	bodyTimeout   time.Duration
	bodyMemory    int64
	balancerPause time.Duration
	sparePolicy   spare.Policy
	level         zapcore.Level
}

// source is the flag or environment variable that a setting's value comes from.
type source struct {
	flag, variable string
	byFlag         bool
}

func (s *source) String() string {
	if !s.byFlag && os.Getenv(s.variable) != "" {
		return s.variable
	}
	return "--" + s.flag
}

// Prefix is the prefix of the environment variables of all settings.
const Prefix = "YUCCAHAVEN_"

// Flags declares all settings on a command, each as a flag with an environment variable.
func (s *Settings) Flags(c *kingpin.CmdClause) {
	s.sources = map[*string]*source{}
	s.flag(c, &s.Name, "name", "", "name of this entry instance, as the platform lists it")
	s.flag(c, &s.Zone, "zone", "", "availability zone of this entry instance")
	s.flag(c, &s.Listen, "listen", "127.0.0.1:8080", "address for callers and operators")
	s.flag(c, &s.PeerListen, "peer-listen", "127.0.0.1:8081", "address for other entry instances")
	s.flag(c, &s.Advertise, "advertise", "",
		"address under which callers reach this instance; default: the one listened on")
	s.flag(c, &s.PeerAdvertise, "peer-advertise", "",
		"address under which other entry instances reach this one; default: the one listened on")
	s.flag(c, &s.Table, "table", "", "URL of the platform's table service")
	s.flag(c, &s.Object, "object", "", "URL of the platform's object store")
	s.flag(c, &s.Roster, "roster", "", "URL of the platform's list of instances")
	s.flag(c, &s.PeerToken, "peer-token", "", "secret shared by the entry instances")
	s.flag(c, &s.AdminToken, "admin-token", "",
		"credential of the operators; without it only keys with the admin role are accepted")
	s.flag(c, &s.Document, "document", "", "YAML file of sections that is written to an empty table")
	s.flag(c, &s.Certificate, "cert", "",
		"certificate file for callers and operators; without it HTTP is not encrypted")
	s.flag(c, &s.Key, "cert-key", "", "file of the certificate's key")
	s.flag(c, &s.PeerCertificate, "peer-cert", "", "certificate file towards other entry instances")
	s.flag(c, &s.PeerKey, "peer-cert-key", "", "file of the key of --peer-cert")
	s.flag(c, &s.PeerCA, "peer-ca", "", "file of the authority that signs the entry instances' certificates")
	s.flag(c, &s.BodyTimeout, "body-timeout", "30s", "time in which a caller must send its request body")
	s.flag(c, &s.BodyMemory, "body-memory", strconv.Itoa(admit.DefaultMemory),
		"bytes of request bodies held in memory; further requests are refused as full")
	s.flag(c, &s.BalancerPause, "balancer-pause", "2s",
		"time between the end of readiness and the end of acceptance at shutdown")
	s.flag(c, &s.SpareSmooth, "spare-smooth", spare.Default.SmoothingTime.String(),
		"time over which the demand for a pool is averaged before spare instances move")
	s.flag(c, &s.SpareHold, "spare-hold", spare.Default.LendDelay.String(),
		"time of high demand after which a pool gets spare instances")
	s.flag(c, &s.SpareRelease, "spare-release", spare.Default.ReturnDelay.String(),
		"time of low demand after which a lent instance returns")
	s.flag(c, &s.SparePace, "spare-pace", spare.Default.ReturnInterval.String(),
		"time between the returns of two instances of a pool")
	s.flag(c, &s.LogLevel, "log-level", "info", "least level that is logged: debug, info, warn or error")
}

func (s *Settings) flag(c *kingpin.CmdClause, v *string, name, defaultValue, help string) {
	variable := Prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	p := &source{flag: name, variable: variable}
	c.Flag(name, help).Envar(variable).Default(defaultValue).IsSetByUser(&p.byFlag).StringVar(v)
	s.sources[v] = p
}

// InvalidSetting is one invalid setting and the flag or environment variable that it comes from.
type InvalidSetting struct {
	Source, Message string
}

// SettingsError lists all invalid settings.
type SettingsError []InvalidSetting

// Error returns the invalid settings, one per line.
func (e SettingsError) Error() string {
	lines := make([]string, 0, len(e))
	for _, x := range e {
		lines = append(lines, x.Source+": "+x.Message)
	}
	return strings.Join(lines, "\n")
}

// Check parses all settings and returns a SettingsError if any is invalid.
func (s *Settings) Check() error {
	var invalid SettingsError
	report := func(v *string, format string, args ...any) {
		invalid = append(invalid, InvalidSetting{Source: s.sourceOf(v), Message: fmt.Sprintf(format, args...)})
	}
	s.checkNames(report)
	s.checkAddresses(report)
	s.checkFiles(report)
	s.checkValues(report)
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

func (s *Settings) sourceOf(v *string) string {
	if p, ok := s.sources[v]; ok {
		return p.String()
	}
	return "settings"
}

type reportFunc func(v *string, format string, args ...any)

// maxEntryName, in bytes, leaves room for the incarnation number in an entry instance's ID.
const maxEntryName = 30

func (s *Settings) checkNames(report reportFunc) {
	if err := fleet.CheckName(s.Name); err != nil || len(s.Name) > maxEntryName {
		report(&s.Name, "%q is not a name of at most %d letters, digits, '-' and '.'", s.Name, maxEntryName)
	}
	if err := fleet.CheckName(s.Zone); err != nil {
		report(&s.Zone, "%q is not a name of an availability zone", s.Zone)
	}
	if s.PeerToken == "" {
		report(&s.PeerToken, "is required")
	}
}

func (s *Settings) checkAddresses(report reportFunc) {
	for _, v := range []*string{&s.Listen, &s.PeerListen} {
		if _, _, err := net.SplitHostPort(*v); err != nil {
			report(v, "%q is not host:port", *v)
		}
	}
	for _, v := range []*string{&s.Advertise, &s.PeerAdvertise} {
		if host, _, err := net.SplitHostPort(*v); *v != "" && (err != nil || host == "") {
			report(v, "%q is not host:port", *v)
		}
	}
	for _, v := range []*string{&s.Table, &s.Object, &s.Roster} {
		if u, err := url.Parse(*v); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			report(v, "%q is not an HTTP URL", *v)
		}
	}
}

func (s *Settings) checkFiles(report reportFunc) {
	for _, v := range []*string{&s.Document, &s.Certificate, &s.Key, &s.PeerCertificate, &s.PeerKey, &s.PeerCA} {
		if *v == "" {
			continue
		}
		if _, err := os.ReadFile(*v); err != nil {
			report(v, "%v", err)
		}
	}
	if (s.Certificate == "") != (s.Key == "") {
		report(&s.Certificate, "--cert and --cert-key are given together")
	}
	if given := s.PeerCertificate != ""; given != (s.PeerKey != "") || given != (s.PeerCA != "") {
		report(&s.PeerCertificate, "--peer-cert, --peer-cert-key and --peer-ca are given together")
	}
}

func (s *Settings) checkValues(report reportFunc) {
	var err error
	if s.bodyTimeout, err = time.ParseDuration(s.BodyTimeout); err != nil || s.bodyTimeout <= 0 {
		report(&s.BodyTimeout, "%q is not a duration above 0", s.BodyTimeout)
	}
	if s.balancerPause, err = time.ParseDuration(s.BalancerPause); err != nil || s.balancerPause < 0 {
		report(&s.BalancerPause, "%q is not a duration", s.BalancerPause)
	}
	s.checkSpares(report)
	s.bodyMemory = admit.DefaultMemory
	if s.BodyMemory != "" {
		if s.bodyMemory, err = strconv.ParseInt(s.BodyMemory, 10, 64); err != nil || s.bodyMemory <= 0 {
			report(&s.BodyMemory, "%q is not a number of bytes above 0", s.BodyMemory)
		}
	}
	if s.level, err = zapcore.ParseLevel(s.LogLevel); err != nil {
		report(&s.LogLevel, "%q is not a level", s.LogLevel)
	}
}

// checkSpares uses the default for an empty value, because settings that are not parsed from flags leave it empty.
func (s *Settings) checkSpares(report reportFunc) {
	s.sparePolicy = spare.Default
	for _, x := range []struct {
		text  *string
		value *time.Duration
	}{{&s.SpareSmooth, &s.sparePolicy.SmoothingTime}, {&s.SpareHold, &s.sparePolicy.LendDelay},
		{&s.SpareRelease, &s.sparePolicy.ReturnDelay}, {&s.SparePace, &s.sparePolicy.ReturnInterval}} {
		if *x.text == "" {
			continue
		}
		d, err := time.ParseDuration(*x.text)
		if err != nil || d < 0 {
			report(x.text, "%q is not a duration", *x.text)
		}
		*x.value = d
	}
}
