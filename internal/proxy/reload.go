package proxy

import (
	"reflect"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
)

// Reload applies settings that may have changed. Grace and Memory take effect
// at once, other fields only after a restart. The log names the fields that
// changed since the last reload and those that wait for a restart. Reload must
// not be called concurrently with Stop.
func (d *Daemon) Reload(set Settings) {
	d.reloadError = ""
	changed := d.latest.changedFields(&set)
	d.latest = set
	if len(changed) == 0 {
		return
	}
	d.settings.Grace = set.Grace
	d.settings.Memory = set.Memory
	limitMemory(set.Memory)
	event.Info(d.log, event.Reloaded, zap.Strings("changed", changed), zap.Strings("waiting", d.settings.changedFields(&set)))
}

// ReloadFailed logs that the changed settings could not be read. The current
// ones stay in force. Consecutive failures with the same error are logged once.
func (d *Daemon) ReloadFailed(err error) {
	if text := err.Error(); text != d.reloadError {
		d.reloadError = text
		event.Warn(d.log, event.ReloadFailed, zap.Error(err))
	}
}

// changedFields returns the JSON names of the fields in which s and other
// differ.
func (s *Settings) changedFields(other *Settings) []string {
	var names []string
	a, b := reflect.ValueOf(s).Elem(), reflect.ValueOf(other).Elem()
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, a.Type().Field(i).Tag.Get("json"))
		}
	}
	return names
}
