// Command tanagerspread is the process that runs on an entry VM.
package main

func main() {}
