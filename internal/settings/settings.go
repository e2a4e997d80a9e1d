// Package settings defines the settings files of all programs: their format,
// defaults and validation. It must not depend on the packages that implement the
// programs.
package settings

// Instance identifies the instance that a process runs on.
type Instance struct {
	Name             string `json:"name" check:"required" doc:"Unique name; a replacement instance has a new name."`
	AvailabilityZone string `json:"availabilityZone" check:"required" doc:"Availability zone of the instance."`
	Region           string `json:"region" check:"required" doc:"Region of the instance."`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	ObjectAPI    string `json:"objectApi" check:"required,url" doc:"Base URL of the object API."`
	InstanceList string `json:"instanceList" check:"required,url" doc:"Base URL of the instance list."`
}

// Log configures the format and level of the log.
type Log struct {
	Format string `json:"format" check:"logFormat" doc:"Format of log records: json or text."`
	Level  string `json:"level" check:"logLevel" doc:"Lowest level that is logged: debug, info, warning or error."`
}

func defaultLog() Log { return Log{Format: "json", Level: "info"} }
