package main

import "runtime/debug"

// unknownRevision stands for a build outside of a repository.
const unknownRevision = "unknown"

// revision returns the commit that the program was built from, with a "+" if files had changed. While
// builds run side by side, the log shows by it which one an entry runs.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	return revisionOf(info.Settings)
}

func revisionOf(settings []debug.BuildSetting) string {
	commit, changed := unknownRevision, ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = "+"
		}
	}
	return commit + changed
}
