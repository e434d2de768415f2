// Command tanagerctl is the operators' tool.
package main

func main() {}
