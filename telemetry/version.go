package telemetry

// Version is the version of the product. The linker sets it in releases.
var Version = "0.1.0-dev"
