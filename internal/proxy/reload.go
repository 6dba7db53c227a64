package proxy

import (
	"reflect"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
)

// Reload takes in settings that may have changed. The grace of a stop and the
// memory limit hold from then on; all else needs a restart. The log says which
// fields changed and which of them wait for one. It must not be called together
// with Stop.
func (d *Daemon) Reload(set Settings) {
	d.reloadError = ""
	changed := d.latest.changedFields(&set)
	d.latest = set
	if len(changed) == 0 {
		return
	}
	d.set.Grace = set.Grace
	d.set.Memory = set.Memory
	limitMemory(set.Memory)
	event.Info(d.log, event.Reloaded, zap.Strings("changed", changed), zap.Strings("waiting", d.set.changedFields(&set)))
}

// ReloadFailed records that changed settings could not be read. The present ones
// stay in force. The same fault is told once.
func (d *Daemon) ReloadFailed(err error) {
	if text := err.Error(); text != d.reloadError {
		d.reloadError = text
		event.Warn(d.log, event.ReloadFailed, zap.Error(err))
	}
}

// changedFields returns the names of the fields in which two settings differ.
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
