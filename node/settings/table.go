package settings

import (
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"tanagerspread/core/code"
)

// Setting describes one key of the settings file. The table lists the fields in
// this order, unkeyed.
type Setting struct {
	Section string
	Key     string
	// Form describes the format of the value.
	Form     string
	Required bool
	// Default is the text of the default, or empty when there is none.
	Default string
	Meaning string
	// set parses a value and stores it in the settings.
	set func(*Settings, string) *code.Error
}

const (
	// maxBodyBytesLimit is the upper bound of the setting max-body-bytes.
	maxBodyBytesLimit = 64 << 20
	// maxServerSlots is the upper bound of the setting server-slots.
	maxServerSlots = 1024
	// maxDrainDelay is the upper bound of the setting drain-delay.
	maxDrainDelay = 10 * time.Minute
)

// Descriptions of the value formats, as printed in the generated settings
// reference (see Page).
const (
	formName     = "name of letters, digits, dots, hyphens and underscores"
	formAddress  = "IP address and port"
	formDuration = "duration with unit"
	formInteger  = "integer"
	formFile     = "path of a PEM file"
)

// table lists every setting in the order of the generated settings reference (see
// Page).
var table = []Setting{
	{"node", "id", formName, true, "", "name of the node, unique among the nodes", textSetter(func(s *Settings) *string { return &s.Node }, checkName)},
	{"node", "domain", formName, true, "", "failure domain of the node", textSetter(func(s *Settings) *string { return &s.Domain }, checkName)},
	{"node", "listen", formAddress, true, "", "address for callers", textSetter(func(s *Settings) *string { return &s.Listen }, checkAddress)},
	{"node", "admin-listen", formAddress, true, "", "address for operators and metrics scrapers", textSetter(func(s *Settings) *string { return &s.AdminListen }, checkAddress)},
	{"node", "peer-listen", formAddress, true, "", "address for the other nodes", textSetter(func(s *Settings) *string { return &s.PeerListen }, checkAddress)},
	{"node", "drain-delay", formDuration + ", 100ms to 10m", false, "5s", "time during which a draining node still accepts requests while its readiness check fails", setDrainDelay},
	{"platform", "key-value", formAddress, true, "", "address of the key-value service", textSetter(func(s *Settings) *string { return &s.KeyValue }, checkAddress)},
	{"platform", "vm-list", formAddress, true, "", "address of the VM list", textSetter(func(s *Settings) *string { return &s.VMList }, checkAddress)},
	{"limits", "max-body-bytes", formInteger + ", 1 to 67108864", false, "8388608", "largest request body in bytes", setMaxBodyBytes},
	{"limits", "server-slots", formInteger + ", 1 to 1024", false, "64", "concurrent attempts of the node at one backend server", setServerSlots},
	{"tls", "caller-cert", formFile, false, "", "certificate for callers; without it callers use plain HTTP", textSetter(func(s *Settings) *string { return &s.CallerTLS.Cert }, nil)},
	{"tls", "caller-key", formFile, false, "", "private key of caller-cert", textSetter(func(s *Settings) *string { return &s.CallerTLS.Key }, nil)},
	{"tls", "admin-cert", formFile, false, "", "certificate for operators; without it operators use plain HTTP", textSetter(func(s *Settings) *string { return &s.AdminTLS.Cert }, nil)},
	{"tls", "admin-key", formFile, false, "", "private key of admin-cert", textSetter(func(s *Settings) *string { return &s.AdminTLS.Key }, nil)},
	{"tls", "admin-ca", formFile, false, "", "certificate authority that operators' certificates must be signed by", textSetter(func(s *Settings) *string { return &s.AdminTLS.CA }, nil)},
	{"tls", "peer-cert", formFile, false, "", "certificate for the other nodes; without it nodes use plain TCP", textSetter(func(s *Settings) *string { return &s.PeerTLS.Cert }, nil)},
	{"tls", "peer-key", formFile, false, "", "private key of peer-cert", textSetter(func(s *Settings) *string { return &s.PeerTLS.Key }, nil)},
	{"tls", "peer-ca", formFile, false, "", "certificate authority that the other nodes' certificates must be signed by", textSetter(func(s *Settings) *string { return &s.PeerTLS.CA }, nil)},
	{"charts", "directory", "path of a directory", false, "", "chart files that replace embedded ones of the same name", textSetter(func(s *Settings) *string { return &s.ChartsDir }, checkDirectory)},
	{"log", "level", "error, info or debug", false, "info", "least severe level that is logged", textSetter(func(s *Settings) *string { return &s.LogLevel }, checkLevel)},
}

// Table returns every setting in the order of the generated settings reference.
func Table() []Setting {
	return slices.Clone(table)
}

// findSetting returns the setting, or nil and the reason why it is unknown.
func findSetting(section, key string) (*Setting, string) {
	reason := "the section is unknown"
	for i := range table {
		if table[i].Section != section {
			continue
		}
		if table[i].Key == key {
			return &table[i], ""
		}
		reason = "the key is unknown"
	}
	return nil, reason
}

// textSetter returns a function that stores a non-empty value if it passes the
// check. A nil check accepts any.
func textSetter(field func(*Settings) *string, check func(string) *code.Error) func(*Settings, string) *code.Error {
	return func(s *Settings, value string) *code.Error {
		if value == "" {
			return code.New(code.SettingInvalid, "the value is empty")
		}
		if check != nil {
			if err := check(value); err != nil {
				return err
			}
		}
		*field(s) = value
		return nil
	}
}

// namePattern matches a node name or the name of a failure domain.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func checkName(value string) *code.Error {
	if !namePattern.MatchString(value) {
		return code.New(code.SettingInvalid, "the value is not a "+formName)
	}
	return nil
}

func checkAddress(value string) *code.Error {
	if _, err := netip.ParseAddrPort(value); err == nil {
		return nil
	}
	colon := strings.LastIndex(value, ":")
	if colon < 0 {
		return code.New(code.SettingInvalid, "the address has no port")
	}
	if _, err := netip.ParseAddr(strings.Trim(value[:colon], "[]")); err != nil {
		return code.New(code.SettingHostName, "the address is not an IP address with a port")
	}
	return code.New(code.SettingInvalid, "the port is not a number from 0 to 65535")
}

func checkDirectory(value string) *code.Error {
	info, err := os.Stat(value)
	if err != nil || !info.IsDir() {
		return code.New(code.SettingInvalid, "the directory cannot be read")
	}
	return nil
}

func checkLevel(value string) *code.Error {
	if !slices.Contains([]string{"error", "info", "debug"}, value) {
		return code.New(code.SettingInvalid, "the level is not error, info or debug")
	}
	return nil
}

func setDrainDelay(s *Settings, value string) *code.Error {
	delay, err := time.ParseDuration(value)
	if err != nil || delay < 100*time.Millisecond || delay > maxDrainDelay {
		return code.New(code.SettingInvalid, "the value is not a duration with unit between 100ms and 10m")
	}
	s.DrainDelay = delay
	return nil
}

func setMaxBodyBytes(s *Settings, value string) *code.Error {
	bytes, err := strconv.ParseInt(value, 10, 64)
	if err != nil || bytes < 1 || bytes > maxBodyBytesLimit {
		return code.Newf(code.SettingInvalid, "the value is not an integer between 1 and %d", maxBodyBytesLimit)
	}
	s.MaxBodyBytes = bytes
	return nil
}

func setServerSlots(s *Settings, value string) *code.Error {
	slots, err := strconv.Atoi(value)
	if err != nil || slots < 1 || slots > maxServerSlots {
		return code.Newf(code.SettingInvalid, "the value is not an integer between 1 and %d", maxServerSlots)
	}
	s.ServerSlots = slots
	return nil
}
