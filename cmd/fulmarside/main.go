// Command fulmarside runs the sidecar beside one upstream.
package main

func main() {}
