package main

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// startEngine serves an engine with version 1 and starts its loader.
func (d *deployment) startEngine(host int, origin *platformtest.Origin) (*platformtest.Endpoint, error) {
	endpoint := &platformtest.Endpoint{
		ID: fmt.Sprintf("i-%d", host), Incarnation: time.Now().UnixMilli(), Service: serviceName, Address: d.address(host, enginePort), Zone: zoneName,
		Slots: engineConfig.Slots, Engine: platformtest.NewEngine(modelName, engineConfig, origin, 1), Store: d.store,
	}
	listener, err := net.Listen("tcp4", endpoint.Address)
	if err != nil {
		return nil, err
	}
	d.tasks.Go(func(ctx context.Context) { endpoint.Serve(ctx, listener) })
	d.tasks.Go(func(ctx context.Context) {
		time.Sleep(100 * time.Millisecond)
		endpoint.Register("ready")
		for ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			endpoint.Heartbeat()
		}
	})
	_, err = d.start("loader", host, serviceName)
	return endpoint, err
}

// startGateways starts gateways and waits until they are ready.
func (d *deployment) startGateways(hosts []int) ([]*exec.Cmd, error) {
	var processes []*exec.Cmd
	for _, host := range hosts {
		process, err := d.start("gateway", host, "")
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
	}
	for _, host := range hosts {
		if err := d.awaitReady(host); err != nil {
			return nil, err
		}
	}
	return processes, nil
}
