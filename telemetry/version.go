package telemetry

// Version is the version of the program. Release builds set it with -ldflags -X.
var Version = "0.1.0-dev"
