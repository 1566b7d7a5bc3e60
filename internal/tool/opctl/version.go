package opctl

import "runtime/debug"

// buildVersion returns the revision that the program was built from, or else the module's version, or "unknown"
// without build information.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
