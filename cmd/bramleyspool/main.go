// Command bramleyspool is the load balancer for expert-parallel model groups.
package main

import "fmt"

func main() {
	fmt.Println("bramleyspool")
}
